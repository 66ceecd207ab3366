#ifndef FLAMINGO_ADAPTERS_LOG_RATE_LIMITER_H
#define FLAMINGO_ADAPTERS_LOG_RATE_LIMITER_H

// Limits how many log lines of one kind are written each second, so that a burst of requests does
// not flood the log. The next line that is written gives the number of lines suppressed before it.

#include "flamingo/types.h"

#include <string>

namespace flamingo::adapters {

class LogRateLimiter
{
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {
    }

    // Returns true and counts the line when a line may be written at `now`; otherwise counts it as
    // suppressed.
    bool allowLine(TimeMs now)
    {
        constexpr TimeMs windowMs = 1000;
        if (now - this->windowStart >= windowMs) {
            this->windowStart = now;
            this->writtenInWindow = 0;
        }
        if (this->writtenInWindow >= this->linesPerSecond) {
            ++this->suppressedLines;
            return false;
        }
        ++this->writtenInWindow;
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
    std::uint32_t writtenInWindow = 0;
    std::uint64_t suppressedLines = 0;
    TimeMs windowStart = 0;
};

} // namespace flamingo::adapters

#endif
