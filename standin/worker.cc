// Work is counted in milliseconds at full speed. updateProgress() adds the work that a task has
// done since its last call; it is called before every change of speed, so that a new speed applies
// from then on only. A task ends at the first of: no work left, its failure time, the end of its
// lease.

#include "standin/worker.h"

#include "flamingo/json_parse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace flamingo::standin {
namespace {

constexpr TimeMs usageIntervalMs = 500;
constexpr double failAllAfterMs = 5;
constexpr double maxWorkMs = 1e12; // about 30 years
constexpr TimeMs maxCheckpointMs = 86400000;
constexpr double workEpsilonMs = 1e-6; // tolerance for rounding errors at reduced speed
constexpr std::size_t maxEvents = 20000;
constexpr std::size_t maxEndedTasks = 20000; // ids kept to detect repeated start requests

using Json = nlohmann::json;

// Reads an optional amount of work; returns false when the field is no number in [0, maxWorkMs].
bool readWork(const Json &object, const char *name, double &result)
{
    const auto found = object.find(name);
    if (found == object.end())
        return true;
    if (!found->is_number() || !(found->get<double>() >= 0 && found->get<double>() <= maxWorkMs))
        return false;
    result = found->get<double>();
    return true;
}

// Returns false when a field has a wrong type or is out of range.
bool readPlan(const Json &json, TaskPlan &plan)
{
    constexpr auto maxSize = std::numeric_limits<std::uint32_t>::max();
    Reason reason;
    double failAfterMs = 0;
    if (!readWork(json, "runMs", plan.runMs) || !readWork(json, "failAfterMs", failAfterMs)
        || !readOptionalInteger(json, "checkpointMs", TimeMs(0), maxCheckpointMs, plan.checkpointMs,
                                reason)
        || !readOptionalInteger(json, "usedCores", 0U, maxSize, plan.usedCores, reason)
        || !readOptionalInteger(json, "usedMemoryMib", 0U, maxSize, plan.usedMemoryMib, reason))
        return false;
    if (json.contains("failAfterMs"))
        plan.failAfterMs = failAfterMs;
    const Json fail = json.value("fail", Json(plan.fail));
    const Json answer = json.value("answer", Json(plan.answer));
    if (!fail.is_boolean() || !answer.is_string())
        return false;
    plan.fail = fail.get<bool>();
    plan.answer = answer.get<std::string>();
    return true;
}

TaskPlan parseTaskPlan(const TaskRequest &request)
{
    TaskPlan defaultPlan;
    defaultPlan.answer = request.payload;
    defaultPlan.usedCores = request.cores;
    defaultPlan.usedMemoryMib = request.memoryMib;
    Reason reason;
    const auto json = parseJson(request.payload, reason);
    TaskPlan plan = defaultPlan;
    return json && json->is_object() && readPlan(*json, plan) ? plan : defaultPlan;
}

double remainingAtStart(const TaskRequest &request, const TaskPlan &plan)
{
    Reason reason;
    const auto json = parseJson(request.checkpoint, reason);
    double remainingMs = plan.runMs;
    if (json && json->is_object() && !readWork(*json, "remainingMs", remainingMs))
        return plan.runMs;
    return remainingMs;
}

void emitEvent(Worker &worker, WorkerEvent event)
{
    event.seq = worker.nextSeq++;
    worker.events.push_back(std::move(event));
    if (worker.events.size() > maxEvents)
        worker.events.pop_front();
}

void updateProgress(Task &task, TimeMs now)
{
    const double work = static_cast<double>(now - task.progressUpdatedAt) * task.speedPercent / 100;
    task.progressUpdatedAt = now;
    task.remainingMs -= std::min(work, task.remainingMs);
    task.ranMs += work;
}

void sampleUsage(Worker &worker, const std::string &name, const Task &task, TimeMs now)
{
    WorkerEvent event;
    event.type = "usage";
    event.task = name;
    event.cores = task.plan.usedCores;
    event.memoryMib = task.plan.usedMemoryMib;
    event.ranMs = static_cast<TimeMs>(task.ranMs);
    worker.delayedUsageEvents.emplace_back(now + worker.usageLagMs, std::move(event));
}

void recordEndedTask(Worker &worker, std::string_view name, bool started)
{
    if (!worker.endedTasks.emplace(name, started).second)
        return;
    worker.endedTaskOrder.emplace_back(name);
    if (worker.endedTaskOrder.size() <= maxEndedTasks)
        return;
    worker.endedTasks.erase(worker.endedTaskOrder.front());
    worker.endedTaskOrder.pop_front();
}

// Samples the usage of a task that ends, emits `event` for its end and records its id; the caller
// removes it from the running tasks.
void endTask(Worker &worker, const std::string &name, const Task &task, WorkerEvent event,
             TimeMs now)
{
    event.task = name;
    event.ranMs = static_cast<TimeMs>(task.ranMs);
    sampleUsage(worker, name, task, now);
    emitEvent(worker, std::move(event));
    recordEndedTask(worker, name, true);
}

WorkerEvent stoppedEvent(std::string_view detail)
{
    WorkerEvent event;
    event.type = "stopped";
    event.detail = detail;
    return event;
}

WorkerEvent finishedEvent(bool ok, std::string_view answer, std::string_view detail)
{
    WorkerEvent event;
    event.type = "finished";
    event.ok = ok;
    event.answer = answer;
    event.detail = detail;
    return event;
}

double workToFailure(const Task &task)
{
    if (!task.plan.failAfterMs)
        return task.remainingMs;
    return std::max(0.0, *task.plan.failAfterMs - task.ranMs);
}

// Returns the event for the end of the task, or nullopt when the task does not end at `now`.
std::optional<WorkerEvent> endEventAt(const Task &task, TimeMs now)
{
    if (task.leaseUntil <= now)
        return stoppedEvent("lease lapsed");
    if (task.stopAt.value_or(now + 1) <= now)
        return stoppedEvent("stopped");
    if (task.plan.failAfterMs && workToFailure(task) <= workEpsilonMs)
        return finishedEvent(false, "", "task failed early");
    if (task.remainingMs > workEpsilonMs)
        return std::nullopt;
    if (task.plan.fail)
        return finishedEvent(false, "", "task failed");
    return finishedEvent(true, task.plan.answer, "");
}

// Returns true when the task has ended; the caller then removes it from the running tasks.
bool advanceTask(Worker &worker, const std::string &name, Task &task, TimeMs now)
{
    updateProgress(task, now);
    if (auto endEvent = endEventAt(task, now)) {
        endTask(worker, name, task, *std::move(endEvent), now);
        return true;
    }
    if (task.nextUsageAt <= now) {
        sampleUsage(worker, name, task, now);
        task.nextUsageAt = now + usageIntervalMs;
    }
    return false;
}

TimeMs taskDueTime(const Task &task)
{
    TimeMs due = std::min(task.leaseUntil, task.nextUsageAt);
    due = std::min(due, task.stopAt.value_or(due));
    if (task.speedPercent == 0)
        return due;
    const double work = std::min(task.remainingMs, workToFailure(task));
    const auto waitMs = static_cast<TimeMs>(std::ceil(work * 100 / task.speedPercent));
    return std::min(due, task.progressUpdatedAt + waitMs);
}

} // namespace

bool startTask(Worker &worker, const TaskRequest &request, TimeMs now, std::string &detail,
               bool &fromBeginning)
{
    fromBeginning = false;
    if (worker.tasks.count(request.task) > 0)
        return true;
    const auto endedTask = worker.endedTasks.find(request.task);
    if (endedTask != worker.endedTasks.end()) {
        detail = endedTask->second ? "" : "task was stopped before it started";
        return endedTask->second;
    }
    for (const auto &[name, task] : worker.tasks) {
        if ((task.mask & request.mask) == 0)
            continue;
        detail = "accelerators are in use by task " + name;
        return false;
    }
    Task task;
    task.job = request.job;
    task.plan = parseTaskPlan(request);
    if (worker.failAll)
        task.plan.failAfterMs = failAllAfterMs;
    task.mask = request.mask;
    task.leaseUntil = now + request.leaseMs;
    task.remainingMs = remainingAtStart(request, task.plan);
    task.progressUpdatedAt = now;
    task.nextUsageAt = now + usageIntervalMs;
    worker.tasks.emplace(request.task, std::move(task));
    WorkerEvent event;
    event.type = "started";
    event.task = request.task;
    emitEvent(worker, std::move(event));
    fromBeginning = request.checkpoint.empty();
    return true;
}

bool acceptHolder(Worker &worker, std::uint64_t holder, TimeMs now)
{
    if (holder <= worker.holder)
        return holder == worker.holder;
    worker.holder = holder;
    std::vector<std::string> names;
    for (const auto &task : worker.tasks)
        names.push_back(task.first);
    for (const std::string &name : names)
        stopTask(worker, name, now);
    return true;
}

void renewLeases(Worker &worker, TimeMs leaseMs, TimeMs now)
{
    for (auto &[name, task] : worker.tasks)
        task.leaseUntil = now + leaseMs;
}

void renewLease(Worker &worker, std::string_view name, TimeMs leaseMs, TimeMs now)
{
    const auto found = worker.tasks.find(name);
    if (found != worker.tasks.end())
        found->second.leaseUntil = now + leaseMs;
}

bool stopTask(Worker &worker, std::string_view name, TimeMs now)
{
    const auto found = worker.tasks.find(name);
    if (found == worker.tasks.end()) {
        recordEndedTask(worker, name, false);
        return true;
    }
    if (worker.stopMs > 0) {
        found->second.stopAt = found->second.stopAt.value_or(now + worker.stopMs);
        return false;
    }
    updateProgress(found->second, now);
    endTask(worker, found->first, found->second, stoppedEvent("stopped"), now);
    worker.tasks.erase(found);
    return true;
}

bool throttleTask(Worker &worker, std::string_view name, std::uint32_t percent, TimeMs now)
{
    const auto found = worker.tasks.find(name);
    if (found == worker.tasks.end())
        return false;
    updateProgress(found->second, now);
    found->second.speedPercent = percent;
    return true;
}

const Task *runningTask(const Worker &worker, std::string_view name)
{
    const auto found = worker.tasks.find(name);
    return found == worker.tasks.end() ? nullptr : &found->second;
}

std::string makeCheckpoint(const Worker &worker, std::string_view name)
{
    const Task *task = runningTask(worker, name);
    if (task == nullptr)
        return {};
    return Json{{"remainingMs", task->remainingMs}}.dump();
}

void setFrozen(Worker &worker, bool frozen, TimeMs now)
{
    if (worker.frozen == frozen)
        return;
    worker.frozen = frozen;
    for (auto &[name, task] : worker.tasks) {
        if (frozen)
            updateProgress(task, now);
        task.progressUpdatedAt = now;
    }
}

void advance(Worker &worker, TimeMs now)
{
    if (worker.frozen)
        return;
    for (auto task = worker.tasks.begin(); task != worker.tasks.end();) {
        const bool ended = advanceTask(worker, task->first, task->second, now);
        task = ended ? worker.tasks.erase(task) : std::next(task);
    }
    while (!worker.delayedUsageEvents.empty() && worker.delayedUsageEvents.front().first <= now) {
        emitEvent(worker, std::move(worker.delayedUsageEvents.front().second));
        worker.delayedUsageEvents.pop_front();
    }
}

std::optional<TimeMs> nextDueTime(const Worker &worker)
{
    if (worker.frozen)
        return std::nullopt;
    std::optional<TimeMs> due;
    if (!worker.delayedUsageEvents.empty())
        due = worker.delayedUsageEvents.front().first;
    for (const auto &[name, task] : worker.tasks)
        due = std::min(due.value_or(taskDueTime(task)), taskDueTime(task));
    return due;
}

} // namespace flamingo::standin
