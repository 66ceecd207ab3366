#ifndef FLAMINGO_SCHEDULER_SCHEDULER_H
#define FLAMINGO_SCHEDULER_SCHEDULER_H

// The decisions of the scheduler: which task runs where, and what a report or a record changes.
//
// Every entry folds the records of the job log into a `JobTable`; that table answers questions
// about jobs. One entry leads. Its `Scheduler` takes the reports of the hosts' agents and plans.
//
// Safety rests on four rules:
//   * A start is ordered only after the progress record that names its worker and run is stored, so
//     a later leader knows every run that may exist.
//   * A task is placed again only after its former run has ended: the worker listed the end, or the
//     agent reports that it is gone, or the worker's incarnation has ended, or its lease has
//     lapsed.
//   * The end of a run is acknowledged to its worker only after the progress record is stored.
//   * A worker is used only after it has taken this leader's fencing token, which shuts out the
//     orders of earlier leaders and those meant for earlier incarnations.
//
// All functions are pure: time is an argument, effects are returned or kept in the state.

#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/host_speed.h"
#include "flamingo/scheduler/placement.h"
#include "flamingo/scheduler/records.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace flamingo::scheduler {

struct JobEntry
{
    std::optional<Job> job; // nullopt: only other records of it were read so far
    JobProgress progress; // of the leader: in force; elsewhere: as stored
    bool cancelled = false;
    // As stored in the log; only this is shown to callers.
    Outcome storedOutcome = Outcome::Open;
    bool storedStarted = false;
    // Leader only.
    bool dirty = false; // progress differs from the stored one
    bool cancellationHandled = false; // the cancellation has been carried out
    bool acceptanceLogged = false; // the log says that this leader knows the job
    TimeMs endedAt = 0; // when the outcome was set here
    TimeMs notBefore = 0; // no placement before, after a start that did not succeed
    std::map<std::size_t, std::string> lastFailedWorker; // by task
    // Tasks that ran to their end under this leader, by the number of their step's first task.
    std::map<std::size_t, std::vector<TaskDuration>> durations;
};

struct JobTable
{
    std::map<std::string, JobEntry> jobs;
    Leader leader; // newest one read
};

// Folds one record; an empty value drops its key. When `leading`, progress records only update what
// is shown, because the leader's own progress is ahead of the log. Returns false, with the reason,
// for a record that cannot be read; it is then ignored.
bool applyRecord(JobTable &table, std::string_view key, std::string_view value, bool leading,
                 Reason &reason);

// State of a job for callers: queued, running, completed, failed or cancelled; nullopt: unknown.
std::optional<std::string_view> shownState(const JobTable &table, std::string_view jobId);

// Accepted jobs of a queue of which no task has been started.
std::size_t pendingJobs(const JobTable &table, std::string_view queue);

struct SchedulerOptions
{
    TimeMs grantMs = 9000; // lease of a worker after its agent's last answered report
    TimeMs leaseMaxMs = 10000; // no lease of a worker lasts longer, whatever was asked for
    TimeMs leaseSlackMs = 300; // a worker that was frozen goes on this long after its lease
    TimeMs guaranteeMs = 2700; // urgent work within a guarantee starts this soon after acceptance
    TimeMs stopMs = 1000; // a worker takes this long to stop a run
    TimeMs reportTimeoutMs = 2500; // a silent host gets no new work
    TimeMs maxStoreSilenceMs = 2500; // a leader without the store stops extending leases
    TimeMs retainMs = 300000; // ended jobs are kept this long
    TimeMs failureBackoffMs = 200; // before a task that failed to start is placed again
    TimeMs suspectMs = 5000; // a worker whose last run failed is the last choice this long
    TimeMs quarantineMs = 8000; // one with two failures in a row gets no work this long
    // A run without progress this long, and this share of its estimate, is moved. Progress is told
    // in hundredths, at least every 600 ms.
    TimeMs stallMs = 1400;
    double stallShare = 0.1;
};

// A run that holds room on a worker.
struct Run
{
    std::string jobId;
    std::size_t taskNumber = 0;
    std::uint32_t run = 0;
    Resources need;
    RunState reported = RunState::Unknown;
    std::uint64_t flush = 0; // ordered only after this flush is stored
    TimeMs assignedAt = 0;
    TimeMs runningSince = 0; // 0: not listed as running yet
    std::int64_t percent = 0;
    TimeMs progressAt = 0; // last change of `percent`
};

using RunKey = std::pair<std::string, std::uint32_t>; // task name, run

struct Worker
{
    std::string key;
    std::string host;
    WorkerInfo info;
    std::uint64_t fencingToken = 0;
    bool fenced = false; // the worker has taken the token
    TimeMs lastReport = 0;
    std::map<RunKey, Run> runs;
    std::uint64_t lastEnd = 0; // highest end taken note of
    std::map<std::uint64_t, std::uint64_t> endFlush; // end number -> flush that stores it
    std::uint64_t storedEnd = 0; // may be acknowledged
    std::uint32_t consecutiveFailures = 0;
    TimeMs suspectUntil = 0;
    TimeMs quarantinedUntil = 0;
};

// Newest report of a host's agent, to drop reports that arrive out of order.
struct HostState
{
    std::uint64_t agentStart = 0;
    std::uint64_t previousAgentStart = 0;
    std::uint64_t sequence = 0;
    TimeMs lastReport = 0;
    std::string workerKey;
};

struct Scheduler
{
    SchedulerOptions options;
    std::uint64_t epoch = 0;
    TimeMs leadingSince = 0;
    JobTable table;
    std::map<std::string, Worker> workers; // by key
    std::map<std::string, HostState> hosts; // by name
    std::map<std::string, std::int64_t> guarantees; // accelerators by organisation
    HostSpeeds speeds;
    std::uint64_t issuedTokens = 0;
    std::uint64_t flush = 1; // changes made now are stored by this flush
    std::uint64_t storedFlush = 0;
    std::vector<std::string> decisions; // for the log; emptied by the caller
};

// Begins to lead under `epoch`, with the table as folded so far.
void beginLeading(Scheduler &scheduler, std::uint64_t epoch, TimeMs now);

// Forgets everything that only a leader knows. The caller reads the table again from the log.
void endLeading(Scheduler &scheduler);

// False when the report is older than one already taken.
bool takeReport(Scheduler &scheduler, const HostReport &report, TimeMs now);

// Hosts whose reports arrived within the report timeout.
std::uint32_t reportingHosts(const Scheduler &scheduler, TimeMs now);

// Orders for a host, from its newest report.
HostOrders ordersFor(const Scheduler &scheduler, const std::string &host);

// True when ordersFor() has something that the host does not know yet.
bool hasOrders(const HostOrders &orders, const HostReport &lastReport);

// Ends what has lapsed, carries out cancellations, and places what can be placed.
void plan(Scheduler &scheduler, TimeMs now, std::uint64_t unixNow);

// The records of all changes since the last call; they belong to flush `scheduler.flush` - 1.
std::vector<Record> takeRecords(Scheduler &scheduler, TimeMs now);

// The whole state as JSON, for operators.
std::string dumpState(const Scheduler &scheduler);

// Every flush up to and including `flush` is stored.
void noteStored(Scheduler &scheduler, std::uint64_t flush);

} // namespace flamingo::scheduler

#endif
