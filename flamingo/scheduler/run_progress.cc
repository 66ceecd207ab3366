// The limit of a run is the sum of a base, of a share of its estimate or of its own pace, whichever
// is larger, and of the time to restore a checkpoint. Its own pace is the mean time between two
// changes of the percentage so far; before the first change only the estimate is known.

#include "flamingo/scheduler/run_progress.h"

#include <algorithm>
#include <cmath>

namespace flamingo::scheduler {
namespace {

// Below this stillness a member is taken to advance. Members of a gang that stand still together
// reach the limit up to one report interval (600 ms) apart.
constexpr double advancingStillness = 0.5;

// A run's pace is taken for known when it has advanced by this much.
constexpr std::int64_t minAdvancePercent = 5;

// Mean time that one percent has taken; 0 before the first change.
double paceMs(const RunProgress &progress)
{
    const std::int64_t done = progress.percent - progress.firstPercent;
    return done > 0 ? double(progress.changedAt - progress.firstListedAt) / double(done) : 0;
}

} // namespace

void recordProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs)
{
    if (clockMs <= progress.listedAt || percent == unknownPercent)
        return;
    if (progress.firstListedAt == 0) {
        progress.firstListedAt = clockMs;
        progress.firstPercent = percent;
        progress.changedAt = clockMs;
    }
    if (percent != progress.percent)
        progress.changedAt = clockMs;
    progress.percent = percent;
    progress.listedAt = clockMs;
}

void restartStallTimer(RunProgress &progress)
{
    progress.changedAt = progress.listedAt;
}

double stillness(const RunProgress &progress, TimeMs estimateMs, bool resumed,
                 std::uint32_t stalledRuns, const StallOptions &options)
{
    if (progress.firstListedAt == 0)
        return 0;
    const double expectedMs =
        std::max(options.estimateShare * double(estimateMs), options.paceFactor * paceMs(progress));
    const double limitMs =
        double(options.baseMs) + expectedMs + (resumed ? double(options.restoreMs) : 0);
    const double patience =
        std::pow(options.retryFactor, double(std::min(stalledRuns, options.maxRetries)));
    return double(progress.listedAt - progress.changedAt) / (limitMs * patience);
}

std::optional<TimeMs> remainingAtPaceMs(const RunProgress &progress)
{
    if (progress.percent - progress.firstPercent < minAdvancePercent)
        return std::nullopt;
    return static_cast<TimeMs>(paceMs(progress) * double(completePercent - progress.percent));
}

StalledMembers findStalled(absl::Span<const MemberProgress> members)
{
    const auto incomplete = [](const MemberProgress &member) {
        return member.percent < completePercent;
    };
    const bool anyIncomplete = std::any_of(members.begin(), members.end(), incomplete);
    const bool allStandStill =
        std::all_of(members.begin(), members.end(),
                    [](const MemberProgress &member) { return member.stillness > 1; });
    if (!anyIncomplete && !allStandStill)
        return {};
    StalledMembers result;
    bool anyAdvances = false;
    bool severalWorkers = false;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const MemberProgress &member = members[i];
        severalWorkers = severalWorkers || member.worker != members[0].worker;
        // Complete members wait for the others.
        const bool waits = anyIncomplete && !incomplete(member);
        anyAdvances = anyAdvances || waits || member.stillness < advancingStillness;
        if (member.stillness > 1 && !waits)
            result.members.push_back(i);
    }
    result.workersAtFault = anyAdvances || !severalWorkers;
    return result;
}

} // namespace flamingo::scheduler
