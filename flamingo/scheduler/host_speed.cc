// The usual duration of a step's task is the mean of the measured durations, each divided by the
// current slowness of its host. Without that division, hosts that share steps with slow hosts would
// appear fast. Each task then contributes the ratio of its duration to the usual one. Ratios are
// averaged as logarithms, so that twice as slow and twice as fast cancel out.

#include "flamingo/scheduler/host_speed.h"

#include <algorithm>
#include <cmath>

namespace flamingo::scheduler {
namespace {

// Returns the factor by which the host's sums have decayed between `updatedAt` and `now`.
double decayFactor(const HostSpeeds &speeds, const HostSpeed &host, TimeMs now)
{
    return std::exp2(-double(now - host.updatedAt) / speeds.options.halfLifeMs);
}

void addRatio(HostSpeeds &speeds, const std::string &name, double ratio, TimeMs now)
{
    HostSpeed &host = speeds.hosts[name];
    const double decay = host.weight > 0 ? decayFactor(speeds, host, now) : 0;
    const double clamped = std::clamp(ratio, speeds.options.minRatio, speeds.options.maxRatio);
    host.logRatioSum = host.logRatioSum * decay + std::log(clamped);
    host.weight = host.weight * decay + 1;
    host.updatedAt = now;
}

bool onSeveralHosts(absl::Span<const TaskDuration> durations)
{
    return std::any_of(durations.begin(), durations.end(), [&durations](const TaskDuration &each) {
        return each.host != durations.front().host;
    });
}

} // namespace

void recordStepDurations(HostSpeeds &speeds, absl::Span<const TaskDuration> durations, TimeMs now)
{
    if (durations.empty() || !onSeveralHosts(durations))
        return;
    double sum = 0;
    for (const TaskDuration &duration : durations)
        sum += double(duration.ms) / slowness(speeds, duration.host, now);
    const double usualMs = sum / double(durations.size());
    if (usualMs <= 0)
        return;
    for (const TaskDuration &duration : durations)
        addRatio(speeds, duration.host, double(duration.ms) / usualMs, now);
}

double slowness(const HostSpeeds &speeds, std::string_view host, TimeMs now)
{
    const auto found = speeds.hosts.find(host);
    if (found == speeds.hosts.end())
        return 1;
    const double decay = decayFactor(speeds, found->second, now);
    return std::exp(found->second.logRatioSum * decay
                    / (found->second.weight * decay + speeds.options.priorWeight));
}

} // namespace flamingo::scheduler
