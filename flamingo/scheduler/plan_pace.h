#ifndef FLAMINGO_SCHEDULER_PLAN_PACE_H
#define FLAMINGO_SCHEDULER_PLAN_PACE_H

// Limits how often the leader plans. Each report may change what can be placed, but a plan looks at
// every job and every host: with many hosts, a plan after each report takes all processor time, and
// reports and callers wait. After each plan the leader therefore pauses for a multiple of the
// plan's duration, up to a limit, and one plan covers all reports that arrived meanwhile.

#include "flamingo/types.h"

#include <algorithm>

namespace flamingo::scheduler {

struct PlanPace
{
    // Planning takes a quarter of the time, or more when `maxPauseMs` shortens the pause.
    double pauseFactor = 3;
    TimeMs maxPauseMs = 200; // urgent work has to start within 2.7 s
    TimeMs nextAt = 0; // earliest start of the next plan
};

// Sets the earliest start of the next plan after one that ran from `began` to `ended`.
inline void recordPlan(PlanPace &pace, TimeMs began, TimeMs ended)
{
    const auto pause = static_cast<TimeMs>(pace.pauseFactor * double(ended - began));
    pace.nextAt = ended + std::min(pause, pace.maxPauseMs);
}

// Time until the next plan may start; 0: at once.
inline TimeMs timeUntilNextPlan(const PlanPace &pace, TimeMs now)
{
    return std::max<TimeMs>(0, pace.nextAt - now);
}

} // namespace flamingo::scheduler

#endif
