#ifndef FLAMINGO_ADAPTERS_DECISION_LOG_H
#define FLAMINGO_ADAPTERS_DECISION_LOG_H

// Structured log of decisions on standard output: one line of key=value pairs each.
//
// A process writes at most `linesPerSecond` lines a second and never waits for the reader of its
// output. Lines left out, for either cause, are counted in the next line that is written.

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

    // `text` holds key=value pairs, the first of them event=NAME.
    void write(std::string_view text);

private:
    std::string process;
    LogRateLimiter rateLimiter;
    std::uint64_t unwritableLines = 0;
};

} // namespace flamingo::adapters

#endif
