#ifndef FLAMINGO_ADAPTERS_DAY_ACCOUNT_H
#define FLAMINGO_ADAPTERS_DAY_ACCOUNT_H

// An account of the waits and of the discarded work of jobs, from the decisions that the leaders on
// the platform logged: what each job waited for and how long, where and when its runs started, why
// they ended, when it had nothing running, and how the job ended against its objective; and the
// sums by cause.
//
// Times are Unix times in ms. Work is measured in core-seconds of the resources that a run held
// from its assignment to its end; an accelerator counts as 8 cores, as in the planner.
//
// A decision counts when it has the epoch of the leader. Decisions that a deposed leader logged
// after its successor began to lead are counted, but not used.
//
// Limits: a wait shorter than 0.5 s is not logged, so it has no cause. How much work a checkpoint
// has saved is not logged either, so the work of such runs is summed separately. A line that was
// suppressed or cut off is missing: runs without a logged end count until their task starts again,
// their job ends or the period ends, and not as discarded unless it is certain.

#include "flamingo/adapters/log_history.h"

#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

enum class DayEventKind : std::uint8_t {
    Leading,
    JobKnown,
    JobCompleted,
    JobFailed,
    JobCancelled,
    TasksWaiting,
    TaskAssigned,
    RunStopping,
    RunEnded,
    RunDropped,
};

// What one task of a step needs, and properties of the step.
struct StepFacts
{
    std::uint32_t count = 0; // tasks
    double cpuCores = 0;
    std::int64_t accelerators = 0;
    bool gang = false;
    bool checkpointing = false;
    bool longRunning = false;
};

struct JobFacts
{
    std::string queue;
    std::string organisation;
    std::uint32_t priority = 0; // 0 is the most urgent
    bool guaranteed = false;
    std::uint32_t tasks = 0; // of one occurrence
    std::uint32_t occurrences = 1;
    std::int64_t accelerators = 0; // of all tasks of one occurrence
    bool gang = false; // of the first step
    bool checkpointing = false; // of the first step
    std::uint64_t acceptedMs = 0;
    std::uint64_t firstDueMs = 0; // of a repeating job; 0: not logged
    std::uint64_t lastDueMs = 0; // due time of the last occurrence; 0 unless the job repeats
    std::uint64_t objectiveMs = 0; // 0: not logged
    std::vector<StepFacts> steps; // the first ones; empty: not logged
};

// One decision of a leader.
struct DayEvent
{
    DayEventKind kind = DayEventKind::Leading;
    std::uint64_t unixMs = 0;
    std::uint64_t epoch = 0;
    std::string jobId;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0;
    std::string worker; // of a run; the leader's process for `Leading`
    std::string cause; // of a wait, stop or drop; how a run ended; why a job failed
    std::uint32_t priority = 0; // of a wait
    std::uint32_t tasks = 0; // that wait
    std::uint64_t waitedMs = 0;
    std::uint64_t placesFree = 0; // for tasks like those that wait, without reservations
    StepFacts need; // of the tasks that wait
    std::shared_ptr<const JobFacts> facts; // of `JobKnown`
};

// True when lines with this event contain a decision that the account uses.
bool isDayEvent(std::string_view event);

// Returns nullopt when the line lacks a field that the account needs, for example because it was
// cut off.
std::optional<DayEvent> toDayEvent(const LogLine &line);

enum class DaySignKind : std::uint8_t {
    JobStored, // an entry answered that the job is stored
    CancellationStored,
    Campaign, // an entry campaigns under `epoch`
    WorkerSeen, // the leader heard from `worker`
    WorkerGone, // an agent's worker has ended
    RunsUnconfirmed, // the leader has no confirmation of runs on `worker`
    LinesSuppressed, // by `process`
};

// A line that is no decision, but tells why a job had nothing running. Fields that its kind does
// not name are empty.
struct DaySign
{
    DaySignKind kind = DaySignKind::JobStored;
    std::uint64_t unixMs = 0;
    std::uint64_t epoch = 0;
    std::string process;
    std::string jobId;
    std::string worker; // key; HOST/ID, without the time of its start, for `WorkerGone`
    std::string cause;
    std::uint64_t sinceMs = 0; // time for which this has lasted; age of the former leader's sign
    std::uint64_t runs = 0;
    std::string firstTask; // one of `runs`
};

enum class JobEnd : std::uint8_t { Open, Completed, Failed, Cancelled };

struct WaitAccount
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint64_t beginMs = 0;
    std::uint64_t endMs = 0;
    std::uint64_t loggedMs = 0; // time of the last line about it
    std::string cause;
    std::uint32_t tasks = 0; // that waited at the begin
    std::uint64_t placesFree = 0; // as in DayEvent, at the begin
    double taskSeconds = 0; // sum over the waiting tasks
};

struct RunAccount
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0;
    std::string worker;
    std::uint64_t beginMs = 0; // assignment
    std::uint64_t endMs = 0; // the end of the log when no end is known
    std::string end; // "done", "stopped", "dropped" ...; "none" when no end is known
    std::string cause; // of the loss; empty: nothing was discarded
    std::string stoppedFor; // id of the urgent job that it was stopped for
    StepFacts need;
    bool exactNeed = false; // false: `need` is an estimate from other lines
    double coreSeconds = 0; // held from its assignment to its end
};

// The end of a run whose assignment is not in the log.
struct UnassignedRun
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t endMs = 0;
    std::string end; // as in RunAccount
};

struct JobAccount
{
    std::string id;
    JobFacts facts;
    bool known = false; // `facts` are valid: a job_known line was found
    std::uint64_t knownMs = 0;
    JobEnd end = JobEnd::Open;
    std::uint64_t endMs = 0;
    std::vector<WaitAccount> waits;
    std::vector<RunAccount> runs; // in the order of assignment
    std::vector<UnassignedRun> unassignedRuns;
};

// How a completed job ended against its objective: within it, within three times the objective, or
// later.
enum class Punctuality : std::uint8_t { Unknown, InTime, Late, TooLate };

Punctuality punctuality(const JobAccount &job);
std::uint64_t firstMs(const JobAccount &job); // time of the first decision about it
std::uint64_t timeTakenMs(const JobAccount &job); // of a job that has ended
double runCores(const RunAccount &run); // an accelerator counts as 8 cores

// Sums are kept for each queue and cause.
struct CauseKey
{
    std::uint32_t priority = 0;
    std::string queue;
    std::string cause;
};
bool operator<(const CauseKey &a, const CauseKey &b);

struct WaitSum
{
    std::uint64_t waits = 0;
    double seconds = 0; // sum over the steps that waited
    double taskSeconds = 0; // sum over their tasks
    double longestSeconds = 0;
};

struct LossSum
{
    std::uint64_t runs = 0;
    double coreSeconds = 0; // of runs without checkpoints
    double checkpointedCoreSeconds =
        0; // of runs with checkpoints, which keep an unknown part of it
};

// A part of an interval with one reason.
struct IdlePart
{
    std::string reason;
    std::uint64_t lengthMs = 0;
};

// Time in which a job had nothing running although a task's turn had come.
struct IdleInterval
{
    std::string jobId;
    std::uint64_t beginMs = 0;
    std::uint64_t endMs = 0;
    std::vector<IdlePart> parts; // one for each reason, longest first
    bool leaderChanged = false; // a leader began to lead meanwhile
    // Of the last wait meanwhile; nullopt: none.
    std::optional<std::uint32_t> tasksWaiting;
    std::uint64_t placesFree = 0;
};

struct IdleSum
{
    std::uint64_t intervals = 0; // with this reason
    double seconds = 0; // of their parts with this reason
    double longestSeconds = 0; // of one part
};

// Averages over bins of equal length, for plots. Lost work is a sum over the bin.
struct DaySeries
{
    std::uint64_t beginMs = 0;
    double binMs = 0;
    std::vector<double> runs;
    std::vector<double> accelerators;
    std::map<std::uint32_t, std::vector<double>> waitingTasks; // by priority
    std::map<std::string, std::vector<double>> lostCoreSeconds; // by cause
    std::map<std::string, std::vector<double>> checkpointedCoreSeconds; // by cause, as in LossSum
};

struct DayPeriod
{
    std::uint64_t fromMs = 0; // 0: from the first decision
    std::uint64_t toMs = 0; // 0: to the last decision
    std::size_t bins = 200; // of the series
    std::uint64_t idleMs = 3000; // shortest time without runs that is listed
};

struct DayAccount
{
    std::uint64_t beginMs = 0; // of the period
    std::uint64_t endMs = 0;
    std::vector<std::string> leaders; // processes, in the order in which they led
    std::uint64_t formerLeaderLines = 0; // decisions of deposed leaders, not used
    std::uint64_t runsWithoutStart = 0; // ends of runs whose assignment is not in the log
    std::uint64_t runsWithoutEnd = 0;
    std::uint64_t estimatedRuns = 0; // discarded runs without an exact need
    std::map<std::string, JobAccount, std::less<>>
        jobs; // that were known, ran or waited in the period
    std::map<CauseKey, WaitSum> waits; // within the period
    std::map<CauseKey, LossSum> losses; // of runs that ended within the period
    std::vector<IdleInterval> idle; // within the period, longest first
    std::map<std::string, IdleSum> idleByReason;
    DaySeries series;
};

// The events and signs may be in any order. Waits and idle intervals are cut at the ends of the
// period, discarded runs count when they end within it. Signs only add reasons, and jobs that no
// leader knew, to the idle intervals.
DayAccount makeDayAccount(std::vector<DayEvent> events, const DayPeriod &period,
                          std::vector<DaySign> signs = {});

} // namespace flamingo::adapters

#endif
