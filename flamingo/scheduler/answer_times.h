#ifndef FLAMINGO_SCHEDULER_ANSWER_TIMES_H
#define FLAMINGO_SCHEDULER_ANSWER_TIMES_H

// How long a service has lately taken to answer, and how long to wait for it therefore.
//
// A fixed timeout is wrong for a service that turns slow: calls are given up while they are being
// carried out, and their repetitions add to the load that makes them late. A timeout that is long
// for good finds a dead connection too late. This one follows the slowest answer of the last
// seconds.

#include "flamingo/types.h"

namespace flamingo::scheduler {

struct AnswerTimesOptions
{
    TimeMs windowMs = 3000; // a slow answer counts this long; a slow store alternates within it
    double timeoutFactor = 4; // several writers queue at one partition, each behind the others
    TimeMs maxTimeoutMs = 2500; // callers wait 3 s; a later answer is of no use to them
};

struct AnswerTimes
{
    AnswerTimesOptions options;
    TimeMs slowestMs = 0;
    TimeMs slowestAt = 0;
};

void noteAnswer(AnswerTimes &times, TimeMs tookMs, TimeMs now);

// The slowest recent answer; 0 when none is recent.
TimeMs recentAnswerMs(const AnswerTimes &times, TimeMs now);

// At least `baseMs`, which suits a service at its usual speed.
TimeMs timeoutFor(const AnswerTimes &times, TimeMs baseMs, TimeMs now);

} // namespace flamingo::scheduler

#endif
