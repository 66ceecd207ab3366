#ifndef FLAMINGO_SCHEDULER_ANSWER_TIMES_H
#define FLAMINGO_SCHEDULER_ANSWER_TIMES_H

// Adaptive timeout for calls to a service, derived from its recent answer times.
//
// A short fixed timeout fails when the service slows down: callers abandon calls that are still
// being executed, and their retries add to the load that causes the delay. A long fixed timeout
// detects a dead connection too late. This timeout is a multiple of the slowest answer of the
// last few seconds, within limits.

#include "flamingo/types.h"

namespace flamingo::scheduler {

struct AnswerTimesOptions
{
    // The slowest answer counts for this long. Even a slow store gives some fast answers, which
    // must not shorten the timeout.
    TimeMs windowMs = 3000;
    // Multiple of the slowest answer. A call may wait for the calls of several other writers to the
    // same partition.
    double timeoutFactor = 4;
    TimeMs maxTimeoutMs = 2500; // callers give up after 3 s, so a later answer is useless to them
};

struct AnswerTimes
{
    AnswerTimesOptions options;
    TimeMs slowestMs = 0; // duration of the slowest recent call
    TimeMs slowestAt = 0; // when its answer arrived
};

// Records a call that was answered at `now` after `tookMs`.
void recordAnswerTime(AnswerTimes &times, TimeMs tookMs, TimeMs now);

// Returns the duration of the slowest call within the last `windowMs`; 0 when there was none.
TimeMs slowestRecentAnswerMs(const AnswerTimes &times, TimeMs now);

// Returns the timeout for the next call: `baseMs`, which suits the service at its usual speed, or
// more while answers are slow, up to `maxTimeoutMs`.
TimeMs timeoutFor(const AnswerTimes &times, TimeMs baseMs, TimeMs now);

} // namespace flamingo::scheduler

#endif
