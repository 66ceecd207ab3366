#include "flamingo/agent_step.h"

#include <algorithm>

// Phases of a task: Waiting -> Running -> (Checkpointing ->) Stopping -> erased. A task for which
// RunTask was sent stays in Agent::tasks, and so keeps its accelerators, until the worker confirms
// that it ended. A lease that lapsed does not prove that, because a renewal without an answer may
// have reached the worker late and extended the lease. After a pause of this process of at least
// workerLeaseMs + stopBoundMs, the end of its tasks is therefore reported as unconfirmed.

namespace flamingo {

namespace {

// Added to the usage of a task, because the worker reports usage with a lag.
constexpr std::uint32_t usageHeadroomPercent = 25;

// A worker that is set aside returns to service only when its probe succeeds. The success of a job
// that started earlier does not show that new jobs can start.
void recordTaskSuccess(const AgentStep &step, const LocalTask &task)
{
    auto &health = step.agent.health;
    if (!health.setAside) {
        health.failedJobs.clear();
        return;
    }
    if (health.probe != task.id)
        return;
    health = {};
    step.agent.changeCount += 1;
}

// Sets the worker aside after failures of setAsideAfterFailures different jobs. A failed probe
// doubles the time until the next probe.
void recordTaskFailure(const AgentStep &step, const LocalTask &task)
{
    const auto &options = step.agent.options;
    auto &health = step.agent.health;
    health.failedJobs.insert(task.job);
    const bool probeFailed = health.setAside && health.probe == task.id;
    const bool tooManyFailures =
        !health.setAside && health.failedJobs.size() >= options.setAsideAfterFailures;
    if (!probeFailed && !tooManyFailures)
        return;
    health.probeWait =
        probeFailed ? std::min(health.probeWait * 2, options.probeMaxMs) : options.probeMs;
    health.probeAt = step.now + health.probeWait;
    health.probe.clear();
    health.setAside = true;
    health.failedJobs.clear();
    step.agent.changeCount += 1;
}

// Passes the end of a task to its GangMember or to its Attempt.
void reportEnding(const AgentStep &step, bool gangMember, std::string_view id, const Ending &ending)
{
    if (gangMember)
        handleMemberEnded(step, id, ending);
    else
        concludeAttempt(step, id, ending);
}

// Erases the task, which frees its allocation, and resumes the tasks of which it was the last
// blocker.
LocalTask eraseTask(const AgentStep &step, std::string_view id)
{
    auto &agent = step.agent;
    const auto found = agent.tasks.find(id);
    auto task = std::move(found->second);
    agent.tasks.erase(found);
    agent.changeCount += 1;
    if (agent.health.probe == task.id)
        agent.health.probe.clear();
    std::vector<std::pair<std::string, bool>> unblocked;
    for (auto &[otherId, other] : agent.tasks) {
        if (other.blockers.erase(task.id) > 0 && other.blockers.empty())
            unblocked.emplace_back(otherId, other.gangMember);
    }
    for (const auto &[otherId, gangMember] : unblocked) {
        if (gangMember)
            confirmHoldIfReady(step, otherId);
        else
            runIfReady(step, otherId);
    }
    return task;
}

void endTask(const AgentStep &step, std::string_view id, const Ending &ending)
{
    const auto task = eraseTask(step, id);
    if (!task.endReported)
        reportEnding(step, task.gangMember, task.id, ending);
}

// Returns the result of a task that was stopped before it finished. `confirmed` states that the
// worker reported the stop.
// agent.h defines when the verdict is NotRun.
Ending stoppedEnding(const LocalTask &task, bool confirmed)
{
    Ending ending;
    ending.reason = task.stopReason;
    const bool repeatable =
        task.idempotent && confirmed && task.stopReason.code != ReasonCode::Cancelled;
    ending.verdict = !task.issued || repeatable ? Verdict::NotRun : Verdict::MayHaveRun;
    if (task.stopReason.code == ReasonCode::Evicted)
        ending.answer = task.checkpoint;
    return ending;
}

void startStopping(const AgentStep &step, LocalTask &task)
{
    const auto &options = step.agent.options;
    task.phase = TaskPhase::Stopping;
    task.phaseUntil = step.now + options.workerLeaseMs + options.stopBoundMs;
    task.nextStop = step.now + options.stopBoundMs;
    step.out.commands.emplace_back(StopTask{task.id});
    step.agent.changeCount += 1;
}

// Stops a task for a guaranteed start. A checkpointable task that has started writes a checkpoint
// first.
void evictTask(const AgentStep &step, std::string_view id)
{
    auto *task = findTask(step.agent, id);
    if (task == nullptr || taskStopping(*task))
        return;
    const Reason reason{ReasonCode::Evicted, "the accelerators were reclaimed"};
    if (!task->started || !task->checkpointable) {
        stopTask(step, id, reason);
        return;
    }
    task->stopReason = reason;
    task->phase = TaskPhase::Checkpointing;
    task->phaseUntil = step.now + step.agent.options.checkpointBoundMs;
    step.out.commands.emplace_back(CheckpointTask{task->id});
    step.agent.changeCount += 1;
}

// Stops a task because the worker's lease lapsed.
void stopLapsedTask(const AgentStep &step, LocalTask &task)
{
    if (!task.issued || task.phase == TaskPhase::Stopping)
        return;
    task.stopReason = {ReasonCode::LeaseLapsed, "the worker's lease lapsed"};
    startStopping(step, task);
    if (task.gangMember)
        handleMemberLeaseLapsed(step, task.id);
}

// Reports the end of a task whose stop the worker has not confirmed. The task keeps its allocation,
// because it may still run.
void reportUnconfirmed(const AgentStep &step, LocalTask &task)
{
    task.endReported = true;
    const auto ending = stoppedEnding(task, false);
    const auto id = task.id;
    reportEnding(step, task.gangMember, id, ending);
}

void stepStopping(const AgentStep &step, LocalTask &task)
{
    // StopTask is resent without back-off, because a guaranteed start may wait for this task.
    if (step.now >= task.nextStop) {
        task.nextStop = step.now + step.agent.options.stopBoundMs;
        step.out.commands.emplace_back(StopTask{task.id});
    }
    if (task.endReported || step.now < task.phaseUntil)
        return;
    reportUnconfirmed(step, task);
}

// True when an urgent idempotent job got no start confirmation within urgentStartMs. Its attempt
// then ends instead of waiting for a stalled worker, so that the entry can start the job elsewhere
// in time.
bool urgentStartUnconfirmed(const AgentStep &step, const LocalTask &task)
{
    return task.urgent && task.idempotent && !task.gangMember
        && step.now - task.issuedAt >= step.agent.options.urgentStartMs;
}

void stepRunning(const AgentStep &step, LocalTask &task)
{
    const auto &options = step.agent.options;
    if (!task.started && urgentStartUnconfirmed(step, task)) {
        recordTaskFailure(step, task);
        task.stopReason = {ReasonCode::WorkerFailed, "the worker did not confirm the start"};
        startStopping(step, task);
        reportUnconfirmed(step, task);
        return;
    }
    if (!task.started && step.now - task.issuedAt >= options.taskStartBoundMs) {
        recordTaskFailure(step, task);
        stopTask(step, std::string(task.id),
                 {ReasonCode::WorkerFailed, "the worker did not confirm the start"});
        return;
    }
    if (!task.started || task.successRecorded
        || step.now - task.startedAt <= options.quickFailureMs)
        return;
    task.successRecorded = true;
    recordTaskSuccess(step, task);
}

void stepWaiting(const AgentStep &step, const LocalTask &task)
{
    const auto id = task.id;
    if (!task.gangMember && step.now - task.reservedAt >= step.agent.options.reclaimTimeoutMs)
        stopTask(step, id, {ReasonCode::NoRoom, "the worker did not free the resources in time"});
    else if (task.gangMember)
        confirmHoldIfReady(step, id);
    else
        runIfReady(step, id);
}

void stepTask(const AgentStep &step, LocalTask &task)
{
    if (task.phase == TaskPhase::Checkpointing && step.now >= task.phaseUntil)
        startStopping(step, task);
    switch (task.phase) {
    case TaskPhase::Waiting:
        return stepWaiting(step, task);
    case TaskPhase::Running:
        return stepRunning(step, task);
    case TaskPhase::Checkpointing:
        return;
    case TaskPhase::Stopping:
        return stepStopping(step, task);
    }
}

} // namespace

AllocationRequest allocationRequest(const JobSpec &spec, bool guaranteed)
{
    return {spec.organisation,
            spec.accelerators,
            spec.cores,
            spec.memoryMib,
            spec.idempotent || spec.checkpointable,
            guaranteed};
}

void reserveTask(const AgentStep &step, const TaskRequest &request, const Allocation &allocation)
{
    const auto &spec = *request.spec;
    LocalTask task;
    task.id = request.id;
    task.job = spec.job;
    task.organisation = spec.organisation;
    task.payload = request.payload;
    task.idempotent = spec.idempotent;
    task.checkpointable = spec.checkpointable;
    task.guaranteed = request.guaranteed;
    task.urgent = spec.jobClass == JobClass::Urgent;
    task.gangMember = request.gangMember;
    if (!request.gangMember)
        task.checkpoint = spec.checkpoint;
    task.gangSize = spec.members;
    task.mask = allocation.mask;
    task.cores = allocation.cores;
    task.memoryMib = allocation.memoryMib;
    task.blockers.insert(allocation.evict.begin(), allocation.evict.end());
    task.reservedAt = step.now;
    step.agent.tasks.emplace(task.id, std::move(task));
    step.agent.changeCount += 1;
    for (const auto &borrowingTask : allocation.evict)
        evictTask(step, borrowingTask);
}

bool runTask(const AgentStep &step, std::string_view id)
{
    auto *task = findTask(step.agent, id);
    if (task == nullptr || task->phase != TaskPhase::Waiting || !task->blockers.empty()
        || !leaseCurrent(step))
        return false;
    task->phase = TaskPhase::Running;
    task->issued = true;
    task->issuedAt = step.now;
    step.out.commands.emplace_back(RunTask{task->id, task->job, std::move(task->payload),
                                           task->checkpoint, task->mask, task->cores,
                                           task->memoryMib});
    task->payload.clear();
    step.agent.changeCount += 1;
    return true;
}

void stopTask(const AgentStep &step, std::string_view id, const Reason &reason)
{
    auto *task = findTask(step.agent, id);
    if (task == nullptr || task->phase == TaskPhase::Stopping)
        return;
    task->stopReason = reason;
    if (task->issued) {
        startStopping(step, *task);
        return;
    }
    endTask(step, std::string(id), {Verdict::NotRun, reason, {}});
}

void dropTask(const AgentStep &step, std::string_view id)
{
    const auto *task = findTask(step.agent, id);
    if (task != nullptr && !task->issued)
        eraseTask(step, std::string(id));
}

bool leaseCurrent(const AgentStep &step)
{
    return step.now <= step.agent.leaseUntil;
}

TimeMs workerAgeMs(const AgentStep &step)
{
    return std::max<TimeMs>(0, step.now - step.agent.leaseUntil + step.agent.options.workerLeaseMs);
}

void checkLease(const AgentStep &step)
{
    auto &agent = step.agent;
    const auto &options = agent.options;
    if (leaseCurrent(step))
        return;
    const bool longPause =
        step.now - agent.lastEventAt >= options.workerLeaseMs + options.stopBoundMs;
    for (const auto &id : copyKeys(agent.tasks)) {
        auto *task = findTask(agent, id);
        if (task == nullptr)
            continue;
        stopLapsedTask(step, *task);
        if (longPause && task->issued && !task->endReported)
            reportUnconfirmed(step, *task);
    }
}

void stepTasks(const AgentStep &step)
{
    for (const auto &id : copyKeys(step.agent.tasks)) {
        auto *task = findTask(step.agent, id);
        if (task != nullptr)
            stepTask(step, *task);
    }
}

void handleTaskStarted(const AgentStep &step, const TaskStarted &event)
{
    auto *task = findTask(step.agent, event.task);
    if (task == nullptr || !task->issued) {
        if (event.ok)
            step.out.commands.emplace_back(StopTask{event.task});
        return;
    }
    if (task->started)
        return;
    if (event.ok) {
        task->started = true;
        task->startedAt = step.now;
        if (task->phase == TaskPhase::Stopping)
            step.out.commands.emplace_back(StopTask{event.task});
        return;
    }
    if (event.mayHaveStarted) {
        if (!taskStopping(*task))
            recordTaskFailure(step, *task);
        stopTask(step, event.task, {ReasonCode::WorkerFailed, event.detail});
        return;
    }
    Ending ending{Verdict::NotRun, task->stopReason, {}};
    if (!taskStopping(*task)) {
        ending.reason = {ReasonCode::WorkerFailed, event.detail};
        recordTaskFailure(step, *task);
    }
    endTask(step, event.task, ending);
}

void handleTaskFinished(const AgentStep &step, const TaskFinished &event)
{
    const auto *task = findTask(step.agent, event.task);
    if (task == nullptr || !task->issued)
        return;
    if (event.ok) {
        if (!task->successRecorded)
            recordTaskSuccess(step, *task);
        endTask(step, event.task, {Verdict::Ran, {}, event.answer});
        return;
    }
    // The worker may report a task that it stopped because of StopTask as failed.
    if (taskStopping(*task)) {
        endTask(step, event.task, stoppedEnding(*task, true));
        return;
    }
    const auto runningSince = task->started ? task->startedAt : task->issuedAt;
    if (step.now - runningSince <= step.agent.options.quickFailureMs)
        recordTaskFailure(step, *task);
    endTask(step, event.task, {Verdict::Ran, {ReasonCode::TaskFailed, event.detail}, event.answer});
}

void handleTaskCheckpointed(const AgentStep &step, const TaskCheckpointed &event)
{
    auto *task = findTask(step.agent, event.task);
    if (task == nullptr || task->phase != TaskPhase::Checkpointing)
        return;
    if (event.ok)
        task->checkpoint = event.checkpoint;
    startStopping(step, *task);
}

void handleTaskStopped(const AgentStep &step, const TaskStopped &event)
{
    auto *task = findTask(step.agent, event.task);
    if (task == nullptr || !task->issued)
        return;
    if (!taskStopping(*task))
        task->stopReason = {ReasonCode::LeaseLapsed, "the worker stopped the task by itself"};
    endTask(step, event.task, stoppedEnding(*task, true));
}

void handleTaskUsage(const AgentStep &step, const TaskUsage &event)
{
    auto *task = findTask(step.agent, event.task);
    if (task == nullptr || !task->issued)
        return;
    const bool trusted = event.ranMs >= step.agent.options.usageTrustMs;
    const auto correctedSize = [&](std::uint32_t accounted, std::uint32_t used) {
        const auto withHeadroom = std::uint64_t{used} * (100 + usageHeadroomPercent) / 100;
        const auto estimate = static_cast<std::uint32_t>(
            std::clamp<std::uint64_t>(withHeadroom, 1, std::uint32_t{0xffffffff}));
        return trusted ? estimate : std::max(accounted, used);
    };
    const auto cores = correctedSize(task->cores, event.cores);
    const auto memoryMib = correctedSize(task->memoryMib, event.memoryMib);
    if (cores != task->cores || memoryMib != task->memoryMib)
        step.agent.changeCount += 1;
    task->cores = cores;
    task->memoryMib = memoryMib;
}

bool rejectsAllJobs(const Agent &agent, TimeMs now)
{
    const auto &health = agent.health;
    return health.setAside && (now < health.probeAt || !health.probe.empty());
}

bool admitByHealth(const AgentStep &step, const JobSpec &spec, Reason &reason)
{
    const auto &health = step.agent.health;
    if (!health.setAside)
        return true;
    // A probe may fail after it had effects, so an idempotent single job is preferred as the probe.
    // When none arrives for another probeMs, any job may be the probe; otherwise the worker would
    // stay set aside, and other jobs would wait, for ever.
    const bool preferred = spec.idempotent && spec.members <= 1;
    const TimeMs admitFrom = health.probeAt + (preferred ? 0 : step.agent.options.probeMs);
    if (!rejectsAllJobs(step.agent, step.now) && step.now >= admitFrom)
        return true;
    reason = {ReasonCode::WorkerFailed, "the worker failed several jobs in a row"};
    return false;
}

void recordProbe(const AgentStep &step, std::string_view id)
{
    if (!step.agent.health.setAside)
        return;
    step.agent.health.probe = std::string(id);
    step.agent.changeCount += 1;
}

} // namespace flamingo
