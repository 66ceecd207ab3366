#ifndef FLAMINGO_SCHEDULER_UNCONFIRMED_RUNS_H
#define FLAMINGO_SCHEDULER_UNCONFIRMED_RUNS_H

// Finds the runs that the leader counts on although no worker confirms them, and why. Their tasks
// are not placed again until the run has ended, so a job may have nothing running meanwhile.
//
// The runs are grouped by worker and cause. A group is logged when it has existed for
// `logAfterMs`, and again every `logEveryMs`, as event=runs_unconfirmed.

#include "flamingo/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingo::scheduler {

struct Scheduler;

enum class UnconfirmedCause : std::uint8_t {
    WorkerNotReported, // the worker has never reported to this leader
    HostSilent, // its host does not report any more
    WorkerNotFenced, // the worker has not accepted this leader's fencing token
    StartNotConfirmed, // a start was ordered, and the worker has not listed the run
    StopNotConfirmed, // the run is being stopped, and the worker has not listed its end
};

// Text for logs; valid as long as the program runs.
std::string_view unconfirmedCauseName(UnconfirmedCause cause);

// Runs of one worker that are unconfirmed for one cause.
struct UnconfirmedRuns
{
    std::string worker; // see workerKey()
    UnconfirmedCause cause = UnconfirmedCause::WorkerNotReported;
    std::size_t runs = 0;
    std::string firstTask; // name of one of the tasks
    // Time until their tasks are placed again if nothing more is heard; nullopt: not limited.
    std::optional<TimeMs> releaseInMs;
};

// The groups, ordered by worker and cause. Runs of jobs that have ended count only as
// StopNotConfirmed: they hold resources.
std::vector<UnconfirmedRuns> findUnconfirmedRuns(const Scheduler &scheduler, TimeMs now);

// When a group was first found and last logged.
struct UnconfirmedSince
{
    TimeMs foundAt = 0;
    TimeMs loggedAt = 0; // 0: not yet
};

struct UnconfirmedLog
{
    TimeMs checkEveryMs = 500;
    TimeMs logAfterMs = 1000;
    TimeMs logEveryMs = 5000;
    std::size_t maxLines = 20; // at one check; the other groups are counted in one line
    TimeMs checkedAt = 0;
    std::map<std::pair<std::string, UnconfirmedCause>, UnconfirmedSince> since; // by worker
};

// Adds the lines that are due to the scheduler's decisions; does nothing for `checkEveryMs` after
// the last check.
void logUnconfirmedRuns(Scheduler &scheduler, TimeMs now);

} // namespace flamingo::scheduler

#endif
