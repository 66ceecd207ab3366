#ifndef FLAMINGO_SCHEDULER_HOST_SPEED_H
#define FLAMINGO_SCHEDULER_HOST_SPEED_H

// How slow each host is beside the others, learned from the tasks that it has run.
//
// Estimates of run times are too rough to tell a slow host from a long task. Tasks of one step are
// alike, so the durations of a step that ran on several hosts are compared with one another. What
// was learned fades, because a host may be slow for a time only.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <map>
#include <string>
#include <string_view>

namespace flamingo::scheduler {

struct HostSpeedOptions
{
    double priorWeight = 2; // this many tasks at the usual speed are assumed of each host
    double halfLifeMs = 20000; // of what was learned; disturbances last 5 to 10 s
    double minRatio = 0.5; // one task says no more than that its host is this fast ...
    double maxRatio = 3; // ... or this slow
};

struct HostSpeed
{
    double logRatioSum = 0; // of the ratios, weighted
    double weight = 0;
    TimeMs updatedAt = 0; // both hold at this time
};

struct HostSpeeds
{
    HostSpeedOptions options;
    std::map<std::string, HostSpeed, std::less<>> hosts;
};

// One task of a step that has run to its end.
struct TaskDuration
{
    std::string host;
    TimeMs ms = 0;
};

// Learns from the tasks of one step; a step that ran on one host only teaches nothing.
void noteStep(HostSpeeds &speeds, absl::Span<const TaskDuration> durations, TimeMs now);

// Run time on the host as a multiple of the usual one; 1 when nothing is known.
double slowness(const HostSpeeds &speeds, std::string_view host, TimeMs now);

} // namespace flamingo::scheduler

#endif
