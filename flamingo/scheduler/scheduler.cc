// The job table, the processing of host reports, and the orders. Planning is in planner.cc.
//
// A run occupies its worker from assignment until the worker can no longer execute it, whatever
// happens to its task meanwhile: resources are accounted by run, progress by task. `requeueTask`
// connects the two: it makes a task placeable again when its current run has ended.

#include "flamingo/scheduler/scheduler.h"

#include "flamingo/scheduler/scheduler_parts.h"

#include <algorithm>

namespace flamingo::scheduler {
namespace {

// Number of fencing tokens of one epoch. Each worker incarnation that reports to the leader gets
// one. 15,000 workers that are each replaced several times under one leader stay below this number.
constexpr std::uint64_t tokensPerEpoch = 1 << 18;

constexpr TimeMs earlyCancellationsCheckMs = 1000;

void logDecision(Scheduler &scheduler, std::string text)
{
    scheduler.decisions.push_back(std::move(text));
}

std::string_view endKindName(EndKind how)
{
    switch (how) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    case EndKind::Alone:
        return "alone";
    }
    return "?";
}

void setOutcome(JobRow &row, Outcome outcome, TimeMs now)
{
    row.progress.outcome = outcome;
    row.endedAt = now;
    row.dirty = true;
}

void completeJobIfDone(Scheduler &scheduler, JobRow &row, TimeMs now)
{
    for (const TaskProgress &task : row.progress.tasks) {
        if (task.phase != TaskPhase::Done)
            return;
    }
    setOutcome(row, Outcome::Completed, now);
    logDecision(scheduler, "event=job_completed job=" + row.job->id);
}

// Task numbers of the gang that a task belongs to; the task's own number when its step is no gang.
struct MemberRange
{
    std::size_t first = 0;
    std::size_t count = 1;
};

MemberRange memberRange(const Job &job, std::size_t taskNumber)
{
    const TaskPosition position = taskPosition(job, taskNumber);
    const Step &step = job.steps[position.step];
    if (!step.gang)
        return {taskNumber, 1};
    return {taskNumber - position.index, step.count};
}

// A gang cannot continue without one of its members, so the others are stopped.
void stopRemainingMembers(JobRow &row, MemberRange members)
{
    for (std::size_t i = members.first; i < members.first + members.count; ++i) {
        TaskProgress &task = row.progress.tasks[i];
        if (task.phase == TaskPhase::Assigned)
            task.phase = TaskPhase::Stopping;
    }
}

bool isCurrentRun(const JobRow &row, std::size_t taskNumber, std::uint32_t run)
{
    if (!row.job || taskNumber >= row.progress.tasks.size())
        return false;
    const TaskProgress &task = row.progress.tasks[taskNumber];
    return task.run == run
        && (task.phase == TaskPhase::Assigned || task.phase == TaskPhase::Stopping);
}

// One member's success completes the whole gang.
void recordSuccess(Scheduler &scheduler, Worker &worker, JobRow &row, std::size_t taskNumber,
                   TimeMs now)
{
    worker.consecutiveFailures = 0;
    worker.failedJobs.clear();
    worker.suspectUntil = 0;
    worker.quarantinedUntil = 0;
    const MemberRange members = memberRange(*row.job, taskNumber);
    for (std::size_t i = members.first; i < members.first + members.count; ++i)
        row.progress.tasks[i].phase = TaskPhase::Done;
    row.dirty = true;
    if (row.progress.outcome == Outcome::Open)
        completeJobIfDone(scheduler, row, now);
}

void quarantine(Scheduler &scheduler, Worker &worker, TimeMs now)
{
    worker.quarantinedUntil = now + scheduler.options.quarantineMs;
    logDecision(scheduler,
                "event=worker_quarantined worker=" + worker.key + " cause=\""
                    + std::to_string(worker.consecutiveFailures) + " failed runs of "
                    + std::to_string(worker.failedJobs.size())
                    + " jobs in a row\" for_ms=" + std::to_string(scheduler.options.quarantineMs));
}

// Runs of long-running steps are not counted: they may fail at any time, and never end with
// success, which would show that their worker is sound.
void countFailure(Scheduler &scheduler, Worker &worker, const std::string &jobId, TimeMs now)
{
    ++worker.consecutiveFailures;
    worker.failedJobs.insert(jobId);
    if (worker.failedJobs.size() > 1
        || worker.consecutiveFailures >= scheduler.options.quarantineAfterFailures)
        quarantine(scheduler, worker, now);
}

void recordFailure(Scheduler &scheduler, Worker &worker, JobRow &row, std::size_t taskNumber,
                   std::uint32_t run, TimeMs now)
{
    worker.suspectUntil = now + scheduler.options.suspectMs;
    row.lastFailedWorker[taskNumber] = {worker.key, worker.suspectUntil};
    const TaskPosition position = taskPosition(*row.job, taskNumber);
    const bool longRunning = row.job->steps[position.step].longRunning;
    if (!longRunning)
        countFailure(scheduler, worker, row.job->id, now);
    // A gang's run counts as one failure, however many of its members report it.
    const MemberRange members = memberRange(*row.job, taskNumber);
    TaskProgress &counter = row.progress.tasks[members.first];
    if (counter.failedRun != run) {
        counter.failedRun = run;
        ++counter.failures;
    }
    if (counter.failures < row.job->maxAttempts || longRunning
        || row.progress.outcome != Outcome::Open)
        return;
    row.progress.reason = "task " + taskName(*row.job, position) + " failed "
        + std::to_string(counter.failures) + " times";
    setOutcome(row, Outcome::Failed, now);
    logDecision(scheduler,
                "event=job_failed job=" + row.job->id + " reason=\"" + row.progress.reason + "\"");
}

// Records the duration of a completed run. When all tasks of its step are done, updates the speeds
// of the hosts from the step's durations. Counts only runs that this leader assigned and that did
// not resume from a checkpoint. Gangs are left out: their members wait for each other, so their
// durations do not show the speed of their hosts.
void updateHostSpeeds(Scheduler &scheduler, const Worker &worker, JobRow &row, const Run &run,
                      TimeMs now)
{
    const TaskPosition position = taskPosition(*row.job, run.taskNumber);
    const Step &step = row.job->steps[position.step];
    const bool fullRun = run.assignedAt != 0 && (run.run == 1 || !step.checkpointing);
    if (step.gang || step.count < 2 || !fullRun)
        return;
    const std::size_t first = run.taskNumber - position.index;
    std::vector<TaskDuration> &durations = row.durations[first];
    durations.push_back({worker.host, now - run.assignedAt});
    for (std::size_t i = first; i < first + step.count; ++i) {
        if (row.progress.tasks[i].phase != TaskPhase::Done)
            return;
    }
    recordStepDurations(scheduler.speeds, durations, now);
    row.durations.erase(first);
}

// Number of racks on which the members of the task's gang run; 1 outside a gang.
std::size_t racksOfGang(const Scheduler &scheduler, const JobRow &row, std::size_t taskNumber)
{
    const MemberRange members = memberRange(*row.job, taskNumber);
    std::set<std::string> racks;
    for (std::size_t i = members.first; i < members.first + members.count; ++i) {
        const auto found = scheduler.workers.find(row.progress.tasks[i].worker);
        if (found != scheduler.workers.end())
            racks.insert(rackOf(found->second.info));
    }
    return racks.size();
}

// Learns the run time of a run that has ended on the worker, converted to a usual worker near the
// task's data. Runs that another leader assigned or that resumed from a checkpoint say too little.
void learnRunTime(Scheduler &scheduler, const Worker &worker, const JobRow &row, const Run &run,
                  bool finished, TimeMs now)
{
    const TaskPosition position = taskPosition(*row.job, run.taskNumber);
    const Step &step = row.job->steps[position.step];
    if (!scheduler.options.runTimes.enabled || run.assignedAt == 0 || run.resumed
        || step.longRunning)
        return;
    const bool offRack = (!step.dataRack.empty() && rackOf(worker.info) != step.dataRack)
        || (step.sameRack && racksOfGang(scheduler, row, run.taskNumber) > 1);
    const double factor = slowness(scheduler.speeds, worker.host, now)
        * (offRack ? scheduler.options.offRackFactor : 1);
    const TimeMs since = run.runningSince == 0 ? run.assignedAt : run.runningSince;
    const auto usualMs = static_cast<TimeMs>(double(now - since) / factor);
    if (finished)
        recordFinishedRun(scheduler.table.runTimes, *row.job, position.step, usualMs);
    else
        recordUnfinishedRun(scheduler.table.runTimes, *row.job, position.step, usualMs);
}

void applyReportedEnd(Scheduler &scheduler, Worker &worker, const ReportedEnd &end, TimeMs now)
{
    const auto ended = worker.runs.extract({end.task, end.run});
    const auto name = parseTaskName(end.task);
    const auto found = name ? scheduler.table.jobs.find(name->jobId) : scheduler.table.jobs.end();
    if (found == scheduler.table.jobs.end() || !found->second.job)
        return;
    JobRow &row = found->second;
    const auto number = taskNumber(*row.job, name->position);
    if (!number)
        return;
    // A long-running task is placed again however its run ends.
    const bool longRunning = row.job->steps[name->position.step].longRunning;
    const bool success = end.how == EndKind::Done && !longRunning;
    // A success counts even if its run has been dropped meanwhile, because the work is done.
    const TaskProgress &task = row.progress.tasks[*number];
    const bool lateSuccess = success && end.run <= task.run && task.phase != TaskPhase::Done
        && row.progress.outcome == Outcome::Open;
    const bool current = isCurrentRun(row, *number, end.run) && task.worker == worker.key;
    if (!current && !lateSuccess)
        return;
    logDecision(scheduler,
                "event=run_ended task=" + end.task + " run=" + std::to_string(end.run)
                    + " how=" + std::string(endKindName(end.how)) + " worker=" + worker.key
                    + " end=" + std::to_string(end.number));
    if (!end.checkpoint.empty()) {
        const MemberRange members = memberRange(*row.job, *number);
        for (std::size_t i = members.first; i < members.first + members.count; ++i)
            row.progress.tasks[i].checkpoint = end.checkpoint;
    }
    if (success) {
        recordSuccess(scheduler, worker, row, *number, now);
        if (!ended.empty()) {
            learnRunTime(scheduler, worker, row, ended.mapped(), true, now);
            updateHostSpeeds(scheduler, worker, row, ended.mapped(), now);
        }
        return;
    }
    if (!ended.empty() && (end.how == EndKind::Stopped || end.how == EndKind::Failed))
        learnRunTime(scheduler, worker, row, ended.mapped(), false, now);
    if (end.how == EndKind::Failed)
        recordFailure(scheduler, worker, row, *number, end.run, now);
    if (end.how == EndKind::Done)
        row.notBefore[*number] = now + scheduler.options.failureBackoffMs;
    requeueTask(row, *number);
}

// Requeues the task of a run that no longer exists on its worker and whose end was not listed.
void dropRun(Scheduler &scheduler, const Run &run, const std::string &workerKey,
             std::string_view cause, TimeMs now)
{
    const auto found = scheduler.table.jobs.find(run.jobId);
    if (found == scheduler.table.jobs.end())
        return;
    JobRow &row = found->second;
    if (!isCurrentRun(row, run.taskNumber, run.run)
        || row.progress.tasks[run.taskNumber].worker != workerKey)
        return;
    logDecision(scheduler,
                "event=run_dropped task="
                    + taskName(*row.job, taskPosition(*row.job, run.taskNumber))
                    + " run=" + std::to_string(run.run) + " worker=" + workerKey + " cause=\""
                    + std::string(cause) + "\"");
    row.notBefore[run.taskNumber] = now + scheduler.options.failureBackoffMs;
    requeueTask(row, run.taskNumber);
}

// Creates the runs of the tasks that an earlier leader assigned to the worker. Called at the first
// report of the worker to this leader.
void adoptAssignments(Scheduler &scheduler, Worker &worker)
{
    for (auto &[id, row] : scheduler.table.jobs) {
        if (!row.job)
            continue;
        for (std::size_t i = 0; i < row.progress.tasks.size(); ++i) {
            const TaskProgress &task = row.progress.tasks[i];
            if (task.worker != worker.key
                || (task.phase != TaskPhase::Assigned && task.phase != TaskPhase::Stopping))
                continue;
            const TaskPosition position = taskPosition(*row.job, i);
            Run run;
            run.jobId = id;
            run.taskNumber = i;
            run.run = task.run;
            run.need = allocationFor(row.job->steps[position.step]);
            run.resumed = !task.checkpoint.empty();
            worker.runs[{taskName(*row.job, position), task.run}] = run;
        }
    }
}

std::uint64_t issueToken(Scheduler &scheduler)
{
    return scheduler.epoch * tokensPerEpoch + ++scheduler.issuedTokens;
}

// True for a token of a later epoch: this leader has a successor.
bool isOfLaterLeader(const Scheduler &scheduler, std::uint64_t token)
{
    return token >= (scheduler.epoch + 1) * tokensPerEpoch;
}

// Issues another token to a worker that has accepted a higher one of this epoch than its own, and
// would reject its own for ever. That happens when an agent that was restarted first followed a
// heartbeat with a wrong id or start time, for which a token was issued too. A token of a later
// epoch is left alone: this leader has a successor.
void replaceOutdatedToken(Scheduler &scheduler, Worker &worker, std::uint64_t accepted)
{
    if (accepted <= worker.fencingToken || isOfLaterLeader(scheduler, accepted))
        return;
    worker.fencingToken = issueToken(scheduler);
    worker.fenced = false;
    logDecision(scheduler,
                "event=token_replaced worker=" + worker.key + " accepted="
                    + std::to_string(accepted) + " token=" + std::to_string(worker.fencingToken));
}

Worker &findOrAddWorker(Scheduler &scheduler, const std::string &key, const HostReport &report)
{
    const auto found = scheduler.workers.find(key);
    if (found != scheduler.workers.end())
        return found->second;
    Worker &worker = scheduler.workers[key];
    worker.key = key;
    worker.host = report.host;
    worker.fencingToken = issueToken(scheduler);
    adoptAssignments(scheduler, worker);
    logDecision(scheduler,
                "event=worker_found worker=" + key + " host=" + report.host
                    + " token=" + std::to_string(worker.fencingToken));
    return worker;
}

// `listClockMs` is HostReport::listClockMs.
// `sinceLastReportMs` is the time since the worker's previous report.
void applyReportedRun(Scheduler &scheduler, Worker &worker, const ReportedRun &reported,
                      std::int64_t listClockMs, TimeMs sinceLastReportMs, TimeMs now)
{
    const RunKey key = {reported.task, reported.run};
    auto found = worker.runs.find(key);
    if (found == worker.runs.end()) {
        if (reported.state == RunState::Gone)
            return;
        // A run that this leader did not assign. It occupies resources until it has been stopped.
        Run run;
        const auto name = parseTaskName(reported.task);
        const auto job = name ? scheduler.table.jobs.find(name->jobId) : scheduler.table.jobs.end();
        if (job != scheduler.table.jobs.end() && job->second.job) {
            run.jobId = name->jobId;
            run.taskNumber = taskNumber(*job->second.job, name->position).value_or(0);
            if (name->position.step < job->second.job->steps.size())
                run.need = allocationFor(job->second.job->steps[name->position.step]);
        }
        run.run = reported.run;
        found = worker.runs.emplace(key, run).first;
        logDecision(scheduler,
                    "event=unexpected_run task=" + reported.task
                        + " run=" + std::to_string(reported.run) + " worker=" + worker.key);
    }
    Run &run = found->second;
    if (reported.state == RunState::Gone) {
        const Run dropped = run;
        worker.runs.erase(found);
        dropRun(scheduler, dropped, worker.key, reported.reason, now);
        return;
    }
    const bool stillStarting =
        run.reported == RunState::Starting && reported.state == RunState::Starting;
    // A host that did not report may not have sent the start.
    const bool counts = sinceLastReportMs <= scheduler.options.reportTimeoutMs;
    run.startingMs = stillStarting && counts ? run.startingMs + sinceLastReportMs : 0;
    run.reported = reported.state;
    if (reported.state == RunState::Running && run.runningSince == 0)
        run.runningSince = now;
    recordProgress(run.progress, reported.percent, listClockMs);
    const auto job = scheduler.table.jobs.find(run.jobId);
    if (!reported.checkpoint.empty() && job != scheduler.table.jobs.end()
        && isCurrentRun(job->second, run.taskNumber, run.run))
        job->second.progress.tasks[run.taskNumber].checkpoint = reported.checkpoint;
}

void applyReportedRuns(Scheduler &scheduler, Worker &worker, const HostReport &report,
                       TimeMs sinceLastReportMs, TimeMs now)
{
    std::map<RunKey, bool> listed;
    for (const ReportedRun &reported : report.runs) {
        listed[{reported.task, reported.run}] = true;
        applyReportedRun(scheduler, worker, reported, report.listClockMs, sinceLastReportMs, now);
    }
    for (auto run = worker.runs.begin(); run != worker.runs.end();) {
        if (listed.count(run->first) > 0 || run->second.reported == RunState::Unknown) {
            ++run;
            continue;
        }
        // The agent reported the run before and no longer does: the agent was restarted, or the end
        // of the run was acknowledged. The state becomes Unknown, so a run that should go on is
        // ordered again, and the answer shows its actual state.
        run->second.reported = RunState::Unknown;
        ++run;
    }
}

// Drops the runs of a worker whose leases have lapsed, see HostReport::leasesLapsed and
// `releasedToken`. A worker whose token is released needs another.
void releaseLapsedRuns(Scheduler &scheduler, Worker &worker, const HostReport &report, TimeMs now)
{
    const bool released = report.releasedToken >= worker.fencingToken
        && !isOfLaterLeader(scheduler, report.releasedToken);
    // The runs of a worker that has not accepted its token were ordered under a lower one.
    const bool lapsed =
        !worker.fenced && report.leasesLapsed && report.orderedToken == worker.fencingToken;
    if (!released && (!lapsed || worker.runs.empty()))
        return;
    // An agent that is restarted may still follow an earlier leader, which orders the runs that it
    // knows until `maxStoreUnreachableMs` after it lost contact with the store.
    if (!worker.fenced && now - scheduler.leadingSince <= scheduler.options.maxStoreUnreachableMs)
        return;
    if (released)
        worker.fencingToken = issueToken(scheduler);
    worker.fenced = worker.fenced && !released;
    logDecision(scheduler,
                "event=runs_released worker=" + worker.key
                    + " runs=" + std::to_string(worker.runs.size())
                    + " token=" + std::to_string(worker.fencingToken));
    for (const auto &[key, run] : std::exchange(worker.runs, {}))
        dropRun(scheduler, run, worker.key, "its worker does not answer and its lease has lapsed",
                now);
}

} // namespace

void requeueTask(JobRow &row, std::size_t taskNumber)
{
    TaskProgress &task = row.progress.tasks[taskNumber];
    if (task.phase == TaskPhase::Done)
        return;
    task.phase = TaskPhase::Waiting;
    row.dirty = true;
    stopRemainingMembers(row, memberRange(*row.job, taskNumber));
}

bool applyRecord(JobTable &table, std::string_view key, std::string_view value, bool leading,
                 Reason &reason)
{
    const auto parsed = parseKey(key);
    if (!parsed) {
        reason = {ReasonCode::InvalidInput, "unknown record key '" + std::string(key) + "'"};
        return false;
    }
    if (parsed->kind == RecordKind::Leader) {
        const auto leader = decodeLeader(value, reason);
        if (!leader)
            return false;
        if (leader->epoch >= table.leader.epoch)
            table.leader = *leader;
        return true;
    }
    if (parsed->kind == RecordKind::RunTimes)
        return leading || value.empty() || applyRunTimesRecord(table.runTimes, value, reason);
    if (parsed->kind == RecordKind::Candidate) {
        const auto candidate = decodeLeader(value, reason);
        if (candidate && candidate->epoch >= table.candidate.epoch)
            table.candidate = *candidate;
        return candidate.has_value();
    }
    if (value.empty()) {
        if (parsed->kind == RecordKind::Acceptance)
            table.jobs.erase(parsed->jobId);
        if (parsed->kind == RecordKind::EarlyCancellation)
            removeEarlyCancellation(table.earlyCancellations, {parsed->jobId, parsed->callerKey});
        if (parsed->kind == RecordKind::WorkerEnd)
            table.endedWorkers.erase(parsed->workerKey);
        return true;
    }
    if (parsed->kind == RecordKind::WorkerEnd) {
        table.endedWorkers.try_emplace(parsed->workerKey);
        return true;
    }
    if (parsed->kind == RecordKind::Cancellation) {
        table.jobs[parsed->jobId].cancelled = true;
        return true;
    }
    if (parsed->kind == RecordKind::EarlyCancellation) {
        const auto caller = decodeCaller(value, reason);
        if (!caller)
            return false;
        addEarlyCancellation(table.earlyCancellations, {parsed->jobId, parsed->callerKey}, *caller);
        const auto found = table.jobs.find(parsed->jobId);
        if (found != table.jobs.end() && found->second.job && isJobOf(*found->second.job, *caller))
            found->second.cancelled = true;
        return true;
    }
    if (parsed->kind == RecordKind::Acceptance) {
        auto job = decodeJob(value, reason);
        if (!job)
            return false;
        if (job->id != parsed->jobId) {
            reason = {ReasonCode::InvalidInput, "the job's id '" + job->id + "' is not in the key"};
            return false;
        }
        JobRow &row = table.jobs[parsed->jobId];
        if (row.job) {
            row.acceptanceReplaced = !haveSameOwner(*row.job, *job);
            if (row.acceptanceReplaced)
                reason = {ReasonCode::InvalidInput,
                          "the id is in use by a job of queue '" + row.job->queue + "'"};
            return !row.acceptanceReplaced; // if it is the same caller's: a repeated acceptance
        }
        row.job = std::move(*job);
        row.cancelled = row.cancelled || isCancelledEarly(table.earlyCancellations, *row.job);
        row.progress.tasks.resize(taskCount(*row.job));
        return true;
    }
    auto progress = decodeProgress(value, reason);
    if (!progress)
        return false;
    JobRow &row = table.jobs[parsed->jobId];
    if (row.job && progress->tasks.size() != taskCount(*row.job)) {
        reason = {ReasonCode::InvalidInput,
                  "progress of " + std::to_string(progress->tasks.size()) + " tasks for a job of "
                      + std::to_string(taskCount(*row.job))};
        return false;
    }
    row.storedOutcome = progress->outcome;
    for (const TaskProgress &task : progress->tasks)
        row.storedStarted = row.storedStarted || task.run > 0;
    if (!leading)
        row.progress = std::move(*progress);
    return true;
}

std::optional<std::string_view> callerVisibleState(const JobTable &table, std::string_view jobId)
{
    const auto found = table.jobs.find(std::string(jobId));
    if (found == table.jobs.end() || !found->second.job)
        return std::nullopt;
    const JobRow &row = found->second;
    switch (row.storedOutcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::Failed:
        return "failed";
    case Outcome::Cancelled:
        return "cancelled";
    case Outcome::Open:
        break;
    }
    // A stored cancellation alone is not the end: the leader may have decided another one already.
    return row.storedStarted ? "running" : "queued";
}

std::size_t pendingJobs(const JobTable &table, std::string_view queue)
{
    std::size_t result = 0;
    for (const auto &[id, row] : table.jobs) {
        if (row.job && row.job->queue == queue && !row.storedStarted && !row.cancelled
            && row.storedOutcome == Outcome::Open)
            ++result;
    }
    return result;
}

std::string rackOf(const WorkerInfo &worker)
{
    // The labels are the worker's kind, then its rack.
    return worker.labels.empty() ? "" : worker.labels.back();
}

Resources allocationFor(const Step &step)
{
    Resources result = step.need;
    if (step.fillsIdle)
        result.cpuMilli = 0;
    return result;
}

bool shouldRun(const Scheduler &scheduler, const Worker &worker, const Run &run)
{
    const auto found = scheduler.table.jobs.find(run.jobId);
    if (found == scheduler.table.jobs.end() || !found->second.job)
        return false;
    const JobRow &row = found->second;
    if (row.cancelled || row.progress.outcome != Outcome::Open
        || run.taskNumber >= row.progress.tasks.size())
        return false;
    const TaskProgress &task = row.progress.tasks[run.taskNumber];
    return task.phase == TaskPhase::Assigned && task.run == run.run && task.worker == worker.key;
}

void dropWorker(Scheduler &scheduler, const std::string &key, std::string_view cause, TimeMs now)
{
    const auto found = scheduler.workers.find(key);
    if (found == scheduler.workers.end())
        return;
    const Worker worker = std::move(found->second);
    scheduler.workers.erase(found);
    logDecision(scheduler,
                "event=worker_lost worker=" + key + " cause=\"" + std::string(cause)
                    + "\" runs=" + std::to_string(worker.runs.size()));
    for (const auto &[runKey, run] : worker.runs)
        dropRun(scheduler, run, key, cause, now);
}

// Requeues the tasks that the table assigns to the workers for which `ended` is true, also those
// that an earlier leader assigned to workers that have never reported to this one.
void dropAssignments(Scheduler &scheduler, const std::function<bool(const std::string &)> &ended,
                     std::string_view cause, TimeMs now)
{
    for (auto &[id, row] : scheduler.table.jobs) {
        if (!row.job)
            continue;
        for (std::size_t i = 0; i < row.progress.tasks.size(); ++i) {
            const TaskProgress &task = row.progress.tasks[i];
            if (!ended(task.worker))
                continue;
            Run run;
            run.jobId = id;
            run.taskNumber = i;
            run.run = task.run;
            dropRun(scheduler, run, task.worker, cause, now);
        }
    }
}

// Removes all workers of the host other than `currentKey`; all of them when it is empty. Requeues
// their tasks.
void dropOtherIncarnations(Scheduler &scheduler, const std::string &host,
                           const std::string &currentKey, TimeMs now)
{
    std::vector<std::string> old;
    for (const auto &[key, worker] : scheduler.workers) {
        if (worker.host == host && key != currentKey)
            old.push_back(key);
    }
    for (const std::string &key : old)
        dropWorker(scheduler, key, "replaced by another incarnation", now);
    dropAssignments(
        scheduler,
        [&](const std::string &worker) {
            return worker != currentKey && hostOfWorkerKey(worker) == host;
        },
        "replaced by another incarnation", now);
}

// A report of the worker's agent is newer than the stored end or will follow, so the end decides
// only when the worker's host is silent. One that a reporting worker contradicts is deleted; a
// report that arrives within the report timeout may have been sent before the end.
void releaseEndedWorkers(Scheduler &scheduler, TimeMs now)
{
    std::set<std::string> released;
    for (auto &[key, ended] : scheduler.table.endedWorkers) {
        if (ended.released)
            continue;
        if (ended.seenAt == 0)
            ended.seenAt = now;
        const auto worker = scheduler.workers.find(key);
        if (worker != scheduler.workers.end()
            && now - worker->second.lastReport <= scheduler.options.reportTimeoutMs) {
            ended.released =
                worker->second.lastReport - ended.seenAt > scheduler.options.reportTimeoutMs;
            continue;
        }
        ended.released = true;
        released.insert(key);
    }
    if (released.empty())
        return;
    constexpr std::string_view cause = "its agent has stored its end";
    for (const std::string &key : released)
        dropWorker(scheduler, key, cause, now);
    dropAssignments(
        scheduler, [&released](const std::string &worker) { return released.count(worker) > 0; },
        cause, now);
}

void beginLeading(Scheduler &scheduler, std::uint64_t epoch, TimeMs now)
{
    scheduler.epoch = epoch;
    scheduler.leadingSince = now;
    scheduler.workers.clear();
    scheduler.hosts.clear();
    scheduler.speeds.hosts.clear();
    scheduler.unconfirmed.checkedAt = 0;
    scheduler.unconfirmed.since.clear();
    scheduler.issuedTokens = 0;
    scheduler.withdrawnStarts.clear();
    RunTimes &times = scheduler.table.runTimes;
    times.options = scheduler.options.runTimes;
    times.storedAt.reset();
    times.estimateErrorSum = times.expectationErrorSum = times.errorWeight = 0;
    scheduler.flush = 1;
    scheduler.storedFlush = 0;
    for (auto &[key, ended] : scheduler.table.endedWorkers)
        ended = {};
    for (auto &[id, row] : scheduler.table.jobs) {
        row.dirty = false;
        row.cancellationHandled = false;
        row.acceptanceLogged = false;
        row.durations.clear();
        row.waits.clear();
        row.endedAt = now;
        row.notBefore.clear();
    }
}

void endLeading(Scheduler &scheduler)
{
    scheduler.epoch = 0;
    scheduler.workers.clear();
    scheduler.hosts.clear();
    scheduler.table = {};
}

bool applyReport(Scheduler &scheduler, const HostReport &report, TimeMs now)
{
    HostState &host = scheduler.hosts[report.host];
    // Agent starts are compared for equality only, not for order: if the host's clock was set back,
    // the reports of a restarted agent must still be accepted.
    if (host.formerAgentStarts.count(report.agentStart) > 0
        || (report.agentStart == host.agentStart && report.sequence <= host.sequence))
        return false;
    if (report.agentStart != host.agentStart)
        host.formerAgentStarts.insert(std::exchange(host.agentStart, report.agentStart));
    host.sequence = report.sequence;
    host.lastReport = now;
    if (!report.worker) {
        host.endedWorker.clear();
        // The answer would grant a lease from this report on, which does not count for any worker.
        host.workerKey.clear();
        if (report.workerGone)
            dropOtherIncarnations(scheduler, report.host, "", now);
        return true;
    }
    const std::string key = workerKey(report.host, *report.worker);
    if (report.workerGone) {
        dropWorker(scheduler, key, "its process has ended", now);
        dropOtherIncarnations(scheduler, report.host, "", now);
        host.workerKey.clear();
        if (host.endedWorker != key) {
            host.endedWorker = key;
            host.endedWorkerFlush = scheduler.flush;
        }
        return true;
    }
    host.endedWorker.clear();
    Worker &worker = findOrAddWorker(scheduler, key, report);
    host.workerKey = key;
    worker.info = *report.worker;
    worker.dataCentre = report.dataCentre;
    worker.coldUntil = now + report.worker->coldMs;
    const TimeMs sinceLastReportMs = now - std::exchange(worker.lastReport, now);
    worker.silent = report.workerSilent;
    if (report.workerBusy)
        worker.busyUntil = now + scheduler.options.busyMs;
    replaceOutdatedToken(scheduler, worker, report.fencingToken);
    // The worker has not confirmed this leader's token, so its lists may still change by orders of
    // an earlier leader.
    if (report.fencingToken != worker.fencingToken) {
        releaseLapsedRuns(scheduler, worker, report, now);
        return true;
    }
    if (!worker.fenced) {
        worker.fenced = true;
        logDecision(scheduler,
                    "event=worker_fenced worker=" + key
                        + " token=" + std::to_string(worker.fencingToken));
        dropOtherIncarnations(scheduler, report.host, key, now);
    }
    for (const ReportedEnd &end : report.ends) {
        if (end.number <= worker.lastEnd)
            continue;
        worker.lastEnd = end.number;
        worker.endFlush[end.number] = scheduler.flush;
        applyReportedEnd(scheduler, worker, end, now);
    }
    applyReportedRuns(scheduler, worker, report, sinceLastReportMs, now);
    releaseLapsedRuns(scheduler, worker, report, now);
    return true;
}

std::uint32_t reportingHosts(const Scheduler &scheduler, TimeMs now)
{
    std::uint32_t result = 0;
    for (const auto &[name, host] : scheduler.hosts)
        result += now - host.lastReport <= scheduler.options.reportTimeoutMs ? 1 : 0;
    return result;
}

HostOrders ordersFor(const Scheduler &scheduler, const std::string &host)
{
    HostOrders orders;
    orders.epoch = scheduler.epoch;
    orders.grantMs = scheduler.options.grantMs;
    const auto state = scheduler.hosts.find(host);
    if (state == scheduler.hosts.end())
        return orders;
    if (state->second.endedWorkerFlush <= scheduler.storedFlush)
        orders.storedWorkerEnd = state->second.endedWorker;
    const auto found = scheduler.workers.find(state->second.workerKey);
    if (found == scheduler.workers.end())
        return orders;
    const Worker &worker = found->second;
    orders.workerKey = worker.key;
    orders.fencingToken = worker.fencingToken;
    orders.acknowledgedEnd = worker.storedEnd;
    orders.evacuated = isEvacuated(scheduler.evacuations, worker.dataCentre);
    if (!worker.fenced)
        return orders;
    for (const auto &[key, run] : worker.runs) {
        if (!shouldRun(scheduler, worker, run)) {
            if (run.reported != RunState::Stopping)
                orders.stops.push_back({key.first, key.second});
            continue;
        }
        if (run.reported != RunState::Unknown || run.flush > scheduler.storedFlush
            || orders.evacuated)
            continue;
        const JobRow &row = scheduler.table.jobs.at(run.jobId);
        orders.starts.push_back({key.first, key.second, row.job->payload,
                                 row.progress.tasks[run.taskNumber].checkpoint});
    }
    return orders;
}

bool hasOrders(const HostOrders &orders, const HostReport &lastReport)
{
    if (!orders.starts.empty() || !orders.stops.empty())
        return true;
    if (orders.workerKey.empty())
        return !orders.storedWorkerEnd.empty() && !lastReport.workerEndStored;
    if (orders.fencingToken != lastReport.fencingToken
        && orders.fencingToken != lastReport.orderedToken)
        return true;
    return std::any_of(
        lastReport.ends.begin(), lastReport.ends.end(),
        [&orders](const ReportedEnd &end) { return end.number <= orders.acknowledgedEnd; });
}

std::vector<EvacuationStatus> evacuationStatus(const Scheduler &scheduler)
{
    std::vector<EvacuationStatus> result;
    for (const auto &[dataCentre, evacuation] : scheduler.evacuations) {
        EvacuationStatus status;
        status.dataCentre = dataCentre;
        status.since = evacuation.since;
        const auto withdrawn = scheduler.withdrawnStarts.find(dataCentre);
        if (withdrawn != scheduler.withdrawnStarts.end())
            status.startsWithdrawn = withdrawn->second;
        for (const auto &[key, worker] : scheduler.workers) {
            if (worker.dataCentre != dataCentre)
                continue;
            ++status.hosts;
            status.runs += worker.runs.size();
        }
        result.push_back(std::move(status));
    }
    return result;
}

namespace {

// Removes the early cancellations that have expired and returns the records that delete them. One
// that concerns a job is kept until the job's end is stored.
std::vector<Record> takeExpiredEarlyCancellations(Scheduler &scheduler, TimeMs now)
{
    std::vector<Record> records;
    JobTable &table = scheduler.table;
    if (now - scheduler.earlyCancellationsCheckedAt < earlyCancellationsCheckMs)
        return records;
    scheduler.earlyCancellationsCheckedAt = now;
    std::vector<EarlyCancellations::Key> expired;
    for (auto &[key, cancellation] : table.earlyCancellations.entries) {
        if (cancellation.seenAt == 0)
            cancellation.seenAt = now;
        if (now - cancellation.seenAt <= scheduler.options.retainMs)
            continue;
        const auto found = table.jobs.find(key.first);
        if (found != table.jobs.end() && found->second.job
            && found->second.storedOutcome == Outcome::Open)
            continue;
        if (expired.size() == scheduler.options.maxEarlyCancellationsPerFlush)
            break;
        expired.push_back(key);
    }
    for (const auto &key : expired) {
        records.push_back({earlyCancellationKey(key.first, key.second), ""});
        removeEarlyCancellation(table.earlyCancellations, key);
    }
    return records;
}

} // namespace

std::vector<Record> takeRecords(Scheduler &scheduler, TimeMs now)
{
    std::vector<Record> records;
    std::vector<std::string> expired;
    for (auto &[id, row] : scheduler.table.jobs) {
        if (std::exchange(row.acceptanceReplaced, false))
            records.push_back(acceptanceRecord(*row.job));
        if (row.dirty) {
            row.dirty = false;
            std::size_t leftOut = 0;
            records.push_back(
                progressRecord(id, row.progress, scheduler.options.maxRecordBytes, leftOut));
            if (leftOut > 0 && !std::exchange(row.leftOutLogged, true))
                logDecision(scheduler,
                            "event=checkpoints_not_stored job=" + id
                                + " tasks=" + std::to_string(leftOut)
                                + " reason=\"the job's progress exceeds the size of a record\"");
            continue;
        }
        // The append of a cancellation may be carried out after the job has expired, and of its
        // deletion only a part may be stored.
        const bool remains =
            !row.job && (row.storedOutcome != Outcome::Open || row.progress.tasks.empty());
        if (remains && row.endedAt == 0)
            row.endedAt = now;
        const bool ended = row.job && row.progress.outcome != Outcome::Open;
        if ((ended || remains) && now - row.endedAt > scheduler.options.retainMs)
            expired.push_back(id);
    }
    for (const std::string &id : expired) {
        for (const std::string &key : jobRecordKeys(id))
            records.push_back({key, ""});
        scheduler.table.jobs.erase(id);
    }
    for (Record &record : takeExpiredEarlyCancellations(scheduler, now))
        records.push_back(std::move(record));
    auto &endedWorkers = scheduler.table.endedWorkers;
    for (auto item = endedWorkers.begin(); item != endedWorkers.end();) {
        if (item->second.released)
            records.push_back({workerEndRecord(item->first).key, ""});
        item = item->second.released ? endedWorkers.erase(item) : std::next(item);
    }
    // Only beside other records: an append of its own would cost as much as these together.
    if (!records.empty()) {
        if (auto value = takeRunTimesRecord(scheduler.table.runTimes, now))
            records.push_back({std::string(runTimesKey), std::move(*value)});
    }
    ++scheduler.flush;
    return records;
}

void markFlushStored(Scheduler &scheduler, std::uint64_t flush)
{
    scheduler.storedFlush = std::max(scheduler.storedFlush, flush);
    for (auto &[key, worker] : scheduler.workers) {
        while (!worker.endFlush.empty() && worker.endFlush.begin()->second <= flush) {
            worker.storedEnd = worker.endFlush.begin()->first;
            worker.endFlush.erase(worker.endFlush.begin());
        }
    }
}

} // namespace flamingo::scheduler
