#ifndef FLAMINGO_ADAPTERS_LOG_RATE_LIMITER_H
#define FLAMINGO_ADAPTERS_LOG_RATE_LIMITER_H

// Limits how many log lines of one kind are written each second, so that a flood of requests does
// not flood the log. Lines that were saved up allow a burst, such as that of a new leader. The next
// line that is written gives the number of lines suppressed before it.

#include "flamingo/types.h"

#include <algorithm>
#include <string>

namespace flamingo::adapters {

class LogRateLimiter
{
public:
    // `burst`: lines that may be written at once after a quiet time.
    LogRateLimiter(std::uint32_t linesPerSecond, std::uint32_t burst)
        : linesPerSecond(linesPerSecond)
        , burst(burst)
        , allowance(burst)
    {
    }

    // Returns true and counts the line when a line may be written at `now`; otherwise counts it as
    // suppressed.
    bool allowLine(TimeMs now)
    {
        const double saved = double(now - this->refilledAt) / 1000 * this->linesPerSecond;
        this->allowance = std::min<double>(this->burst, this->allowance + saved);
        this->refilledAt = now;
        if (this->allowance < 1) {
            ++this->suppressedLines;
            return false;
        }
        this->allowance -= 1;
        return true;
    }

    // Returns the field to append to a line, and resets the count: left_out_before=N, or nothing
    // when no line was suppressed since the last call.
    std::string takeSuppressedField()
    {
        if (this->suppressedLines == 0)
            return "";
        std::string text = " left_out_before=" + std::to_string(this->suppressedLines);
        this->suppressedLines = 0;
        return text;
    }

private:
    std::uint32_t linesPerSecond;
    std::uint32_t burst;
    double allowance; // lines
    std::uint64_t suppressedLines = 0;
    TimeMs refilledAt = 0;
};

} // namespace flamingo::adapters

#endif
