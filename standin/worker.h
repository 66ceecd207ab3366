#ifndef FLAMINGO_STANDIN_WORKER_H
#define FLAMINGO_STANDIN_WORKER_H

// One worker of the stand-in. It simulates tasks that run under leases and emits events about them.
// Time is a parameter of every function, so tests can use it with simulated time.
//
// A task's payload gives the task's behaviour:
//
//   {"runMs":100,"answer":"...","fail":false,"checkpointMs":50,"failAfterMs":30,
//    "usedCores":4,"usedMemoryMib":512}
//
// Every field is optional. A task with any other payload, also one with a field of another type,
// runs for defaultRunMs and answers with the payload. usedCores and usedMemoryMib are the values in
// the usage events; the default is the size that the start request declares.
//
// A worker has no timer of its own. The caller must call advance() at the time that nextDueTime()
// returns and before every other function. While a worker is frozen, its tasks make no progress and
// emit no events, but their leases still expire; a task whose lease has expired stops when the
// worker is unfrozen. A worker keeps its newest 20000 events and the ids of the last 20000 ended
// tasks.

#include "flamingo/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo::standin {

constexpr TimeMs defaultRunMs = 50;
constexpr TimeMs defaultCheckpointMs = 50;

// The behaviour that a payload describes.
struct TaskPlan
{
    double runMs = defaultRunMs;
    TimeMs checkpointMs = defaultCheckpointMs;
    std::optional<double> failAfterMs; // of work done since this start
    bool fail = false; // at the end of the work
    std::string answer;
    std::uint32_t usedCores = 0;
    std::uint32_t usedMemoryMib = 0;
};

struct TaskRequest
{
    std::string task;
    std::string job;
    std::string payload;
    std::string checkpoint; // empty: start from the beginning
    std::uint64_t mask = 0; // of the accelerators that the task uses
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TimeMs leaseMs = 0;
};

struct Task
{
    std::string job;
    TaskPlan plan;
    std::uint64_t mask = 0;
    TimeMs leaseUntil = 0;
    double remainingMs = 0; // work left, in milliseconds at full speed
    double ranMs = 0; // work done since this start, in milliseconds at full speed
    std::uint32_t speedPercent = 100; // of full speed
    TimeMs progressUpdatedAt = 0;
    TimeMs nextUsageAt = 0;
    std::optional<TimeMs> stopAt; // a stop was accepted, and takes effect then
};

struct WorkerEvent
{
    std::uint64_t seq = 0;
    std::string type; // started, finished, stopped or usage
    std::string task;
    bool ok = true;
    std::string answer;
    std::string detail;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TimeMs ranMs = 0;
};

struct Worker
{
    TimeMs usageLagMs = 0;
    TimeMs stopMs = 0; // time that a stop takes
    bool failAll = false; // every task fails right after its start
    bool frozen = false;
    std::uint64_t holder = 0; // highest incarnation of the agent that has used this worker
    std::map<std::string, Task, std::less<>> tasks; // running
    // By id; true: the task ran and ended, false: it was stopped before it started.
    std::map<std::string, bool, std::less<>> endedTasks;
    std::deque<std::string> endedTaskOrder; // oldest first
    std::deque<std::pair<TimeMs, WorkerEvent>> delayedUsageEvents; // with the time to emit them
    std::uint64_t nextSeq = 0;
    std::deque<WorkerEvent> events;
};

// Starts a task on the worker. Returns false with a detail when the start is refused: an
// accelerator is in use, or the task was stopped before it started. Returns true and starts nothing
// when a task with this id was started before. Sets `fromBeginning` to true when it has started the
// task without a checkpoint, else to false.
bool startTask(Worker &worker, const TaskRequest &request, TimeMs now, std::string &detail,
               bool &fromBeginning);

// Fences the worker by the agent's incarnation, which must be passed for each of its requests.
// Returns false when `holder` is lower than the worker's present holder; the caller must then
// refuse the request. A higher one becomes the present holder, and all running tasks are stopped,
// which takes Worker::stopMs.
bool acceptHolder(Worker &worker, std::uint64_t holder, TimeMs now);

// Sets the end of the leases of all running tasks to `now` + leaseMs.
void renewLeases(Worker &worker, TimeMs leaseMs, TimeMs now);

// As renewLeases(), for one task; no effect when it is not running.
void renewLease(Worker &worker, std::string_view task, TimeMs leaseMs, TimeMs now);

// Stops a task, which takes Worker::stopMs. Returns true when the task does not run any more. The
// id of a task that is not running is recorded, so that a start request that arrives after its stop
// request is refused.
bool stopTask(Worker &worker, std::string_view task, TimeMs now);

// Sets the speed of a task from now on. Returns false when the task is not running.
bool throttleTask(Worker &worker, std::string_view task, std::uint32_t percent, TimeMs now);

// Returns the running task, or nullptr.
const Task *runningTask(const Worker &worker, std::string_view task);

// Returns a checkpoint from which a later start can resume the task; empty when the task is not
// running.
std::string makeCheckpoint(const Worker &worker, std::string_view task);

// Freezes or unfreezes the worker; the time in between does not count as progress of its tasks.
void setFrozen(Worker &worker, bool frozen, TimeMs now);

// Ends the tasks and emits the events that are due at `now`; does nothing while the worker is
// frozen.
void advance(Worker &worker, TimeMs now);

// Returns the time at which advance() must be called next; nullopt when nothing is due.
std::optional<TimeMs> nextDueTime(const Worker &worker);

} // namespace flamingo::standin

#endif
