#ifndef FLAMINGO_ADAPTERS_DECISION_LOG_H
#define FLAMINGO_ADAPTERS_DECISION_LOG_H

// Structured log of decisions on standard output: one line of key=value pairs each.
//
// A process writes at most `linesPerSecond` lines a second and never blocks on standard output. The
// next line that is written counts the dropped ones: left_out_before those above the rate limit,
// left_out_blocked those for which the output was not writable.

#include "flamingo/adapters/log_rate_limiter.h"

#include <string>
#include <string_view>

namespace flamingo::adapters {

class DecisionLog
{
public:
    DecisionLog(std::string process, std::uint32_t linesPerSecond)
        : process(std::move(process))
        , rateLimiter(linesPerSecond)
    {
    }

    // Writes one line, or drops it. `text` holds key=value pairs, the first of them event=NAME.
    void write(std::string_view text);

private:
    std::string process;
    LogRateLimiter rateLimiter;
    std::uint64_t unwritableLines = 0;
};

} // namespace flamingo::adapters

#endif
