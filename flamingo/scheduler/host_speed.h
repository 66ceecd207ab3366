#ifndef FLAMINGO_SCHEDULER_HOST_SPEED_H
#define FLAMINGO_SCHEDULER_HOST_SPEED_H

// Estimates how slow each host is compared with the others, from the durations of the tasks that it
// has run. The scheduler uses this to keep urgent tasks off slow hosts.
//
// The run times that callers estimate are too rough to tell a slow host from a long task. The tasks
// of one step are alike, so the durations of a step that ran on several hosts are compared with one
// another: each task contributes the ratio of its duration to the usual duration of the step. The
// weight of a ratio decays exponentially, because a host may be slow only temporarily.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <map>
#include <string>
#include <string_view>

namespace flamingo::scheduler {

struct HostSpeedOptions
{
    double priorWeight = 2; // each host starts with this many assumed tasks at average speed
    double halfLifeMs = 20000; // of the weight of a ratio; disturbances last 5 to 10 s
    double minRatio = 0.5; // the ratio of a single task is clamped to this minimum ...
    double maxRatio = 3; // ... and this maximum, which bounds the effect of an outlier
};

// Decayed sums over the tasks of one host.
struct HostSpeed
{
    double logRatioSum = 0; // weighted sum of the logarithms of the ratios
    double weight = 0; // sum of the weights
    TimeMs updatedAt = 0; // both sums are decayed to this time
};

struct HostSpeeds
{
    HostSpeedOptions options;
    std::map<std::string, HostSpeed, std::less<>> hosts;
};

// Run time of one completed task of a step.
struct TaskDuration
{
    std::string host;
    TimeMs ms = 0;
};

// Adds the durations of the tasks of one step to the statistics of their hosts. A step that ran on
// a single host is ignored, because there is nothing to compare it with.
void recordStepDurations(HostSpeeds &speeds, absl::Span<const TaskDuration> durations, TimeMs now);

// Returns the expected run time on `host` as a multiple of the average; 1 for a host without data.
double slowness(const HostSpeeds &speeds, std::string_view host, TimeMs now);

} // namespace flamingo::scheduler

#endif
