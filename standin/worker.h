#ifndef FLAMINGO_STANDIN_WORKER_H
#define FLAMINGO_STANDIN_WORKER_H

// One worker of the stand-in. It runs tasks under leases on simulated time and reports events.
//
// A task's payload says what the task does:
//
//   {"runMs":100,"answer":"...","fail":false,"checkpointMs":50,"failAfterMs":30,
//    "usedCores":4,"usedMemoryMib":512}
//
// Every field is optional. Any other payload runs for defaultRunMs and answers with the payload.
// usedCores and usedMemoryMib are what the usage events tell; the default is the declared size.
//
// A worker holds no timer. The caller calls advance() at the time that nextDue() names and before
// every other call. While a worker is frozen its tasks make no progress and emit no events, but
// their leases run on; a task whose lease lapsed meanwhile stops when the worker thaws.

#include "flamingo/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo::standin {

constexpr TimeMs defaultRunMs = 50;
constexpr TimeMs defaultCheckpointMs = 50;

// What a payload asks for.
struct TaskPlan
{
    double runMs = defaultRunMs;
    TimeMs checkpointMs = defaultCheckpointMs;
    std::optional<double> failAfterMs; // of this start's own running time
    bool fail = false;
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
    std::uint64_t mask = 0;
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
    double remainingMs = 0; // of work at full speed
    double ranMs = 0;
    std::uint32_t speedPercent = 100; // of full speed
    TimeMs progressUpdatedAt = 0;
    TimeMs nextUsageAt = 0;
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
    bool failAll = false; // every task fails right after its start
    bool frozen = false;
    std::uint64_t holder = 0; // the newest incarnation of the agent that used this worker
    std::map<std::string, Task, std::less<>> tasks; // running
    std::map<std::string, bool, std::less<>>
        endedTasks; // true: started once, false: stopped before
    std::deque<std::string> endedTaskOrder; // oldest first
    std::deque<std::pair<TimeMs, WorkerEvent>> delayedUsageEvents;
    std::uint64_t nextSeq = 0;
    std::deque<WorkerEvent> events;
};

// Starts a task. False with a detail when it is refused. A repeat of an accepted task id is true
// and starts nothing. `fresh` becomes true when the task starts from its beginning.
bool startTask(Worker &worker, const TaskRequest &request, TimeMs now, std::string &detail,
               bool &fromBeginning);

// A request of a newer holder stops the tasks of the older one. False: the request is of an older
// holder and must be refused.
bool takeHolder(Worker &worker, std::uint64_t holder, TimeMs now);

void renewLeases(Worker &worker, TimeMs leaseMs, TimeMs now);

// Stops a task. An unknown task id is remembered, so that a start that arrives later is refused.
void stopTask(Worker &worker, std::string_view task, TimeMs now);

// False when the task does not run.
bool throttleTask(Worker &worker, std::string_view task, std::uint32_t percent, TimeMs now);

// The running task, or nullptr.
const Task *runningTask(const Worker &worker, std::string_view task);

// Text from which a later start resumes the task; empty when the task does not run.
std::string checkpointOf(const Worker &worker, std::string_view task);

void setFrozen(Worker &worker, bool frozen, TimeMs now);

// Ends tasks and emits events that are due at `now`.
void advance(Worker &worker, TimeMs now);

// When advance() has something to do next.
std::optional<TimeMs> nextDue(const Worker &worker);

} // namespace flamingo::standin

#endif
