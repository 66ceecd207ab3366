#ifndef FLAMINGO_SCHEDULER_PLAN_PACE_H
#define FLAMINGO_SCHEDULER_PLAN_PACE_H

// When the leader plans. Each report may change what can be placed, but a plan looks at every job
// and every host: with many hosts a plan after each report takes the whole processor, and reports
// and callers wait. A plan therefore leaves a multiple of its own time to everything else, and one
// plan serves the reports that came meanwhile.

#include "flamingo/types.h"

#include <algorithm>

namespace flamingo::scheduler {

struct PlanPace
{
    double pauseFactor = 3; // planning takes a quarter of the time at most
    TimeMs maxPauseMs = 200; // urgent work has to start within 2.7 s
    TimeMs nextAt = 0; // no plan before
};

inline void notePlan(PlanPace &pace, TimeMs began, TimeMs ended)
{
    const auto pause = static_cast<TimeMs>(pace.pauseFactor * double(ended - began));
    pace.nextAt = ended + std::min(pause, pace.maxPauseMs);
}

// Time until the next plan may begin.
inline TimeMs untilPlan(const PlanPace &pace, TimeMs now)
{
    return std::max<TimeMs>(0, pace.nextAt - now);
}

} // namespace flamingo::scheduler

#endif
