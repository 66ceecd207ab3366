#ifndef FLAMINGO_ADAPTERS_DECISION_LOG_H
#define FLAMINGO_ADAPTERS_DECISION_LOG_H

// Structured log of decisions on standard output: one line of key=value pairs each.
//
// A process writes at most `linesPerSecond` lines a second, after a quiet time up to ten times as
// many at once, and never blocks on standard output.
// Other lines are dropped, and the next line that is written gives their number in two fields:
// left_out_before counts the lines above the rate limit, left_out_blocked those for which the
// output was not writable. The first count is lost if the line that contains it cannot be written.

#include "flamingo/adapters/log_rate_limiter.h"

#include <string>
#include <string_view>

namespace flamingo::adapters {

class DecisionLog
{
public:
    DecisionLog(std::string process, std::uint32_t linesPerSecond)
        : process(std::move(process))
        , rateLimiter(linesPerSecond, 10 * linesPerSecond)
    {
    }

    // Writes one line, or drops it. `text` holds key=value pairs, the first of them event=NAME; the
    // part after PIPE_BUF / 2 bytes is cut off.
    void write(std::string_view text);

private:
    std::string process;
    LogRateLimiter rateLimiter;
    std::uint64_t unwritableLines = 0; // dropped since the last written line
};

} // namespace flamingo::adapters

#endif
