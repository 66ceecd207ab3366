#ifndef FLAMINGO_SCHEDULER_SCHEDULER_H
#define FLAMINGO_SCHEDULER_SCHEDULER_H

// The scheduling decisions: which task runs where, and how a host's report or a log record changes
// the scheduler's state.
//
// Every entry (see job_log.h) applies the records of the job log to a `JobTable`, from which it
// answers queries about jobs. One entry is the leader; its `Scheduler` processes the reports of the
// hosts' agents and plans.
//
// Safety rests on four rules:
//   * A start is ordered only after the progress record that names its worker and run is stored, so
//     a later leader finds every run that may exist in the log.
//   * A task is placed again only after its previous run has ended: the worker listed the end, or
//     the agent reported that the run is gone, or the worker's incarnation has ended, or its lease
//     has lapsed: the agent has not reported for long, or reports that the worker does not answer.
//   * The end of a run is acknowledged to its worker only after the progress record is stored.
//   * A worker is used only after it has accepted this leader's fencing token. From then on it
//     rejects orders of earlier leaders and orders meant for earlier incarnations.
//
// A flush is the append to the job log of the records that one call of takeRecords() returned; one
// without records counts as stored at once. Flushes are numbered consecutively under one leader.
//
// A run is dropped when it can no longer be running although its worker listed no end of it; its
// task is then placed again.
//
// No function does I/O or reads a clock: the time is an argument, and effects are returned or
// stored in the structures passed in.

#include "flamingo/scheduler/early_cancellations.h"
#include "flamingo/scheduler/evacuation.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/host_speed.h"
#include "flamingo/scheduler/placement.h"
#include "flamingo/scheduler/records.h"
#include "flamingo/scheduler/run_progress.h"
#include "flamingo/scheduler/run_times.h"
#include "flamingo/scheduler/unconfirmed_runs.h"
#include "flamingo/scheduler/wait_cause.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo::scheduler {

// A worker on which a run of a task has failed.
struct FailedWorker
{
    std::string key;
    TimeMs excludedUntil = 0; // the task is not placed there before
};

// How long and why the waiting tasks of a step have not been placed. It begins with the first plan
// that does not place them all, and is removed by the one that does.
struct WaitState
{
    TimeMs since = 0; // when a plan first failed to place them
    TimeMs checkedAt = 0; // when the cause was last searched for
    std::optional<WaitCause> cause; // nullopt: not searched for yet
    // Since when most of the service has been idle meanwhile, apart from moments.
    std::optional<TimeMs> idleSince;
    std::optional<TimeMs> busySince; // since when it has not, by the last plans
    bool reserving = false; // they hold a reservation
    // When they were expected to fit, by the earliest of their reservations; nullopt: before the
    // first one.
    std::optional<TimeMs> expectedAt;
    // Core-seconds of other work that was placed on capacity reserved for them and delays them.
    double delayingWork = 0;
    // Since when they have had room only on workers that they avoid because of failures; nullopt:
    // they have not, by the last search for the cause.
    std::optional<TimeMs> avoidedSince;
};

// A job's row in the job table.
struct JobRow
{
    std::optional<Job> job; // nullopt: its acceptance record has not been read yet
    JobProgress progress; // leader: current, may be ahead of the log; other entries: as stored
    bool cancelled = false; // a cancellation is stored
    // As stored in the log; callers are shown only this.
    Outcome storedOutcome = Outcome::Open;
    bool storedStarted = false; // a run of some task has been assigned
    // The acceptance of another caller's job with the same id replaces this job's in the log.
    bool acceptanceReplaced = false;
    // Leader only.
    bool dirty = false; // `progress` differs from its stored record
    bool cancellationHandled = false; // the cancellation has been applied to `progress`
    bool acceptanceLogged = false; // this leader has logged event=job_known
    bool leftOutLogged = false; // this leader has logged event=checkpoints_not_stored
    // When this leader set the outcome, took over after it was set, or found a row without a job.
    TimeMs endedAt = 0;
    // Earliest next placement, by task number; see SchedulerOptions::failureBackoffMs.
    std::map<std::size_t, TimeMs> notBefore;
    std::map<std::size_t, FailedWorker> lastFailedWorker; // by task number
    // Runs that this leader stopped as stalled before their percentage had changed, by task number.
    std::map<std::size_t, std::uint32_t> stalledRuns;
    // Run times of the tasks completed under this leader, by the number of their step's first task.
    // Removed when all tasks of the step are done.
    std::map<std::size_t, std::vector<TaskDuration>> durations;
    std::map<std::size_t, WaitState> waits; // by the number of the step's first task
};

// The end of a worker's incarnation that its agent has stored. The fields are the leader's.
struct EndedWorker
{
    TimeMs seenAt = 0; // when a plan of this leader first considered it; 0: not yet
    bool released = false; // its tasks are requeued; the next flush deletes the record
};

struct JobTable
{
    std::map<std::string, JobRow> jobs;
    EarlyCancellations earlyCancellations;
    std::map<std::string, EndedWorker> endedWorkers; // by worker key; see workerEndRecord()
    Leader leader; // the leader record with the highest epoch that was read
    Leader candidate; // the candidate record with the highest epoch that was read
    RunTimes runTimes; // leader: current; other entries: as stored
};

// Applies one record to the table. An empty value (a deletion) of an acceptance removes the job; an
// empty progress or cancellation is ignored. When `leading`, a progress record updates only the
// stored state that callers are shown, and learned run times change nothing, because the leader's
// own state is ahead of the log. Returns false and sets `reason` for a record that cannot be
// decoded, and for the acceptance of a job whose id another caller's job has; the job in the table
// is then unchanged.
bool applyRecord(JobTable &table, std::string_view key, std::string_view value, bool leading,
                 Reason &reason);

// State of a job for callers, from stored records: queued, running, completed, failed or cancelled;
// nullopt: the job is unknown. The last three are ends; only a progress record, which the leader
// writes, sets one. The leader never changes it, so all entries show the same end.
std::optional<std::string_view> callerVisibleState(const JobTable &table, std::string_view jobId);

// Number of open jobs of a queue of which no task has been started, from stored records.
std::size_t pendingJobs(const JobTable &table, std::string_view queue);

struct SchedulerOptions
{
    TimeMs grantMs = 9000; // lease of a worker, counted from its agent's last answered report
    TimeMs leaseMaxMs = 10000; // upper bound of a worker's lease, whatever was requested
    TimeMs leaseSlackMs = 300; // a paused worker may continue its runs this long after its lease
    // Urgent work (priority 0) within a guarantee starts within this time after its acceptance.
    TimeMs guaranteeMs = 2700;
    // Work within a guarantee that has waited this long may stop urgent work of other organisations
    // beyond their guarantee.
    TimeMs reclaimUrgentAfterMs = 500;
    TimeMs stopMs = 1000; // a worker takes up to this long to stop a run
    TimeMs reportTimeoutMs = 2500; // a host without reports for this long gets no new work
    // A leader that has not reached the store for this long stops extending leases.
    TimeMs maxStoreUnreachableMs = 2500;
    TimeMs retainMs = 300000; // ended jobs and early cancellations are kept this long
    std::size_t maxRecordBytes = 261120; // value of a record; the job log refuses larger ones
    std::size_t maxEarlyCancellations = 4000; // of one organisation
    std::size_t maxEarlyCancellationsPerFlush = 500; // that one flush deletes
    // Before a task is placed again whose run was dropped, or a long-running one that has ended.
    TimeMs failureBackoffMs = 200;
    // After a failed run, a worker is the last choice for this long, and is not used for the failed
    // task.
    TimeMs suspectMs = 5000;
    // A worker that was too busy to start a run is the last choice for this long. Runs that end
    // with success meanwhile do not show that it accepts starts again.
    TimeMs busyMs = 3000;
    // After this many failed runs in a row, or after failed runs of two jobs, a worker gets no work
    // for `quarantineMs`. Runs of one job may fail because of the job. Runs of long-running steps
    // do not count.
    std::uint32_t quarantineAfterFailures = 4;
    TimeMs quarantineMs = 8000;
    // A task that has room only on workers in quarantine, or where tasks of its step have failed,
    // waits for others at most this long; a long-running task, which may fail any number of times,
    // only `maxHeldBackMs`.
    TimeMs maxAvoidMs = 20000;
    // While this share of a service's workers or more is in quarantine, the work is more likely at
    // fault than they are, and quarantine no longer keeps last attempts from them while most of the
    // service is idle.
    double maxQuarantinedShare = 0.5;
    // A run whose worker answers other calls but has not confirmed its start for this long is
    // stopped, and its task is placed again when the worker has confirmed that it does not run.
    TimeMs startTimeoutMs = 3000;
    std::size_t maxWaitingOccurrences = 8; // of one job that a plan places at the most
    // Run time off the preferred rack, as a multiple of the usual one.
    double offRackFactor = 3;
    // Tasks wait for a preferred rack at least this long, also without an estimate.
    TimeMs minRackWaitMs = 2000;
    // Tasks that have waited for this long may be placed on capacity that is reserved for others.
    TimeMs maxHeldBackMs = 2000;
    // When the use of a service has been below this for `maxHeldBackMs`, tasks that have waited all
    // the while are placed on any worker that may run them: neither reservations, except those
    // within a guarantee, nor preferred racks count, nor `suspectMs`, nor, while one more failure
    // does not fail the job or many workers are in it (`maxQuarantinedShare`), quarantine. The
    // use of a service is the share of accelerators, or of cores if that is larger, that runs hold
    // on its workers that report and are not draining.
    double maxUseToLift = 0.5;
    TimeMs maxBusyGapMs = 500; // a higher use for less than this does not interrupt that time
    // The cause of a wait is searched for and logged after this time, and again after each such
    // time.
    TimeMs waitCheckMs = 500;
    RunTimeOptions runTimes;
    // When a run counts as stalled: it is stopped, its task is placed again, and its worker gets no
    // work for `quarantineMs`.
    StallOptions stall;
};

// A run that occupies resources of a worker.
struct Run
{
    std::string jobId;
    std::size_t taskNumber = 0;
    std::uint32_t run = 0;
    Resources need;
    RunState reported = RunState::Unknown; // Unknown: the newest report does not contain the run
    std::uint64_t flush = 0; // the start is ordered only after this flush is stored
    TimeMs assignedAt = 0; // 0: not assigned by this leader
    TimeMs runningSince = 0; // 0: not yet reported as running
    TimeMs startingMs = 0; // for how long reports have listed it as starting
    RunProgress progress;
    bool resumed = false; // it was started from a checkpoint
};

using RunKey = std::pair<std::string, std::uint32_t>; // task name and run number

// The leader's state of one incarnation of a worker.
struct Worker
{
    std::string key; // see workerKey()
    std::string host;
    std::string dataCentre;
    WorkerInfo info;
    TimeMs coldUntil = 0; // the worker is slow until then, by its heartbeats
    std::uint64_t fencingToken = 0;
    bool fenced = false; // the worker has accepted `fencingToken`
    bool silent = false; // HostReport::workerSilent of the newest report
    TimeMs lastReport = 0;
    std::map<RunKey, Run> runs;
    std::uint64_t lastEnd = 0; // highest end number processed
    std::map<std::uint64_t, std::uint64_t> endFlush; // flush that stores an end, by end number
    std::uint64_t storedEnd = 0; // ends up to this number are stored and may be acknowledged
    std::uint32_t consecutiveFailures = 0;
    std::set<std::string> failedJobs; // jobs of these failures
    TimeMs suspectUntil = 0; // see SchedulerOptions::suspectMs
    TimeMs busyUntil = 0; // see SchedulerOptions::busyMs
    TimeMs quarantinedUntil = 0; // see SchedulerOptions::quarantineMs
};

// Identifies the newest report of a host's agent, so that reports that arrive late are rejected.
struct HostState
{
    std::uint64_t agentStart = 0;
    std::set<std::uint64_t> formerAgentStarts; // reports of former agent processes are rejected
    std::uint64_t sequence = 0;
    TimeMs lastReport = 0;
    std::string workerKey;
    std::string endedWorker; // the worker that was last reported as gone; empty: none
    std::uint64_t endedWorkerFlush = 0; // flush that stores the end of its runs
};

struct Scheduler
{
    SchedulerOptions options;
    std::uint64_t epoch = 0;
    TimeMs leadingSince = 0;
    JobTable table;
    std::map<std::string, Worker> workers; // by key
    std::map<std::string, HostState> hosts; // by name
    std::map<std::string, std::int64_t> guarantees; // guaranteed accelerators by organisation
    Evacuations evacuations; // kept up to date by the caller, also while it does not lead
    HostSpeeds speeds;
    std::uint64_t issuedTokens = 0; // number of fencing tokens issued in this epoch
    // Starts withdrawn in this epoch because of evacuations, by data centre.
    std::map<std::string, std::size_t> withdrawnStarts;
    TimeMs earlyCancellationsCheckedAt = 0; // when expired ones were last looked for
    std::uint64_t flush = 1; // number of the flush that will store changes made now
    std::uint64_t storedFlush = 0; // all flushes up to this number are stored
    UnconfirmedLog unconfirmed;
    std::vector<std::string> decisions; // log lines; cleared by the caller
};

// Starts leading under `epoch`, with the table as read from the log so far.
void beginLeading(Scheduler &scheduler, std::uint64_t epoch, TimeMs now);

// Clears the leader's state and the table. The caller reads the table again from the log.
void endLeading(Scheduler &scheduler);

// Updates a host's worker, its runs and their tasks from a report of the host's agent. Ignores
// a report that is no newer than one already processed, and returns false for it.
bool applyReport(Scheduler &scheduler, const HostReport &report, TimeMs now);

// Number of hosts whose last report arrived within the report timeout.
std::uint32_t reportingHosts(const Scheduler &scheduler, TimeMs now);

// Orders for a host's worker, based on the host's newest report.
HostOrders ordersFor(const Scheduler &scheduler, const std::string &host);

// True when `orders` holds a start, a stop, a fencing token, an acknowledgement or a stored end of
// the worker that the host had not received when it sent `lastReport`.
bool hasOrders(const HostOrders &orders, const HostReport &lastReport);

// Removes workers whose leases have lapsed or whose end is stored, requeues tasks of workers that
// never reported, applies cancellations, withdraws starts in evacuated data centres, stops stalled
// runs, places the waiting tasks that fit, and stops runs of lower priorities for urgent tasks that
// do not.
void plan(Scheduler &scheduler, TimeMs now, std::uint64_t unixNow);

// Returns the records of all changes since the last call, and those that delete expired jobs; they
// belong to flush `scheduler.flush` - 1.
std::vector<Record> takeRecords(Scheduler &scheduler, TimeMs now);

// An evacuated data centre, as seen by the leader.
struct EvacuationStatus
{
    std::string dataCentre;
    TimeMs since = 0; // when this process learned of the request
    std::size_t hosts = 0; // that have reported; 0: the request names none that is known
    std::size_t runs = 0; // that go on there
    std::size_t startsWithdrawn = 0; // under this leader
};
std::vector<EvacuationStatus> evacuationStatus(const Scheduler &scheduler);

// The whole state as JSON, for operators.
std::string dumpState(const Scheduler &scheduler);

// Marks every flush up to and including `flush` as stored.
void markFlushStored(Scheduler &scheduler, std::uint64_t flush);

} // namespace flamingo::scheduler

#endif
