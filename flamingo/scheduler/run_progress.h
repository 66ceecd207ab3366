#ifndef FLAMINGO_SCHEDULER_RUN_PROGRESS_H
#define FLAMINGO_SCHEDULER_RUN_PROGRESS_H

// Tells runs that have stalled from runs that are slow, wait for other members of their gang, or
// are reported late.
//
// Progress is measured on the clock of the worker, as read together with the list of its runs. The
// time that a report spends in a frozen agent, on the network or in a busy leader therefore never
// counts as a lack of progress, and neither does time without reports.
//
// The members of a gang advance independently and end together: a member that has done its work
// stays at 100% until the slowest member has done its own. Such a member is not stalled while any
// other member is below 100%.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <optional>
#include <vector>

namespace flamingo::scheduler {

// Progress of a run that the worker has not listed yet.
constexpr std::int64_t unknownPercent = -1;
constexpr std::int64_t completePercent = 100;

// Times are on the worker's clock, in ms; 0: the run has not been listed yet.
struct RunProgress
{
    std::int64_t percent = 0;
    std::int64_t firstPercent = 0; // when the run was first listed; above 0 after a checkpoint
    std::int64_t firstListedAt = 0;
    std::int64_t changedAt = 0; // last change of `percent`
    std::int64_t listedAt = 0; // the newest list that was recorded
};

struct StallOptions
{
    // Longest time without a change of the percentage. The shares of the estimate and of the run's
    // own pace are added, because workers report whole percents: a task that takes long, or that
    // takes far longer than estimated, changes its percentage rarely.
    TimeMs baseMs = 1400;
    double estimateShare = 0.1;
    double paceFactor = 3; // multiple of the time that one percent has taken on average
    TimeMs restoreMs = 600; // added for a run that resumes from a checkpoint
    // A run gets this multiple of the time for each earlier run of its task that was stopped
    // before its percentage had changed, because the task may take far longer than estimated.
    double retryFactor = 3;
    std::uint32_t maxRetries = 5; // that count
};

// Records the percentage of a run in a list that was read at `clockMs`. Ignores a list that is not
// newer than the last one, `clockMs` 0 (an agent that does not report the clock) and an unknown
// percentage.
void recordProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs);

// Excludes the time until the newest list: the run has been waiting for other members of its gang.
void restartStallTimer(RunProgress &progress);

// Returns the time since the percentage last changed, as a multiple of the time that `options`
// allow; 0 for a run that has not been listed. Above 1, the run stands still. `stalledRuns`:
// earlier runs of the task that were stopped before their percentage had changed.
double stillness(const RunProgress &progress, TimeMs estimateMs, bool resumed,
                 std::uint32_t stalledRuns, const StallOptions &options);

// Returns the time until the run is complete if it goes on at its own pace so far; nullopt while it
// has advanced too little to tell.
std::optional<TimeMs> remainingAtPaceMs(const RunProgress &progress);

// One member of a gang, or the only run of a task outside a gang.
struct MemberProgress
{
    std::size_t worker = 0; // number that identifies its worker
    std::int64_t percent = 0;
    double stillness = 0;
};

struct StalledMembers
{
    std::vector<std::size_t> members; // indices of the runs to stop
    // Whether the workers of these members caused the stall. That is not known of a gang on several
    // workers without a member that has advanced meanwhile: workers stall independently.
    bool workersAtFault = true;
};

// Returns the members that have stalled: those that stand still below 100%, or all members when all
// of them stand still at 100%.
StalledMembers findStalled(absl::Span<const MemberProgress> members);

} // namespace flamingo::scheduler

#endif
