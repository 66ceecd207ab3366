// Keeps the slowest answer until it is older than the window or a call takes at least as long. A
// maximum reacts to the first slow answer; a mean would need several.

#include "flamingo/scheduler/answer_times.h"

#include <algorithm>

namespace flamingo::scheduler {

void recordAnswerTime(AnswerTimes &times, TimeMs tookMs, TimeMs now)
{
    if (tookMs < slowestRecentAnswerMs(times, now))
        return;
    times.slowestMs = tookMs;
    times.slowestAt = now;
}

TimeMs slowestRecentAnswerMs(const AnswerTimes &times, TimeMs now)
{
    return now - times.slowestAt <= times.options.windowMs ? times.slowestMs : 0;
}

TimeMs timeoutFor(const AnswerTimes &times, TimeMs baseMs, TimeMs now)
{
    const auto scaledTimeout = static_cast<TimeMs>(times.options.timeoutFactor
                                                   * double(slowestRecentAnswerMs(times, now)));
    return std::max(baseMs, std::min(scaledTimeout, times.options.maxTimeoutMs));
}

} // namespace flamingo::scheduler
