#ifndef FLAMINGO_ADAPTERS_LOG_BUDGET_H
#define FLAMINGO_ADAPTERS_LOG_BUDGET_H

// Limits how many log lines of one kind are written each second, so that a storm of requests does
// not become a storm of lines. The lines left out are counted in the next one that is written.

#include "flamingo/types.h"

#include <string>

namespace flamingo::adapters {

class LogBudget
{
public:
    explicit LogBudget(std::uint32_t linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {
    }

    // True when a line may be written now.
    bool take(TimeMs now)
    {
        constexpr TimeMs windowMs = 1000;
        if (now - this->windowStart >= windowMs) {
            this->windowStart = now;
            this->written = 0;
        }
        if (this->written >= this->linesPerSecond) {
            ++this->leftOut;
            return false;
        }
        ++this->written;
        return true;
    }

    // Text to append to a line: empty, or how many lines were left out since the last call.
    std::string takeLeftOut()
    {
        if (this->leftOut == 0)
            return "";
        std::string text = " left_out_before=" + std::to_string(this->leftOut);
        this->leftOut = 0;
        return text;
    }

private:
    std::uint32_t linesPerSecond;
    std::uint32_t written = 0;
    std::uint64_t leftOut = 0;
    TimeMs windowStart = 0;
};

} // namespace flamingo::adapters

#endif
