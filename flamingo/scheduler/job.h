#ifndef FLAMINGO_SCHEDULER_JOB_H
#define FLAMINGO_SCHEDULER_JOB_H

// Jobs and their progress, as the scheduler stores them.
//
// A job consists of steps; a step consists of tasks. A job that repeats runs all its steps once for
// each occurrence. The tasks of a job are numbered through: occurrence by occurrence, step by step.
//
// `Job` never changes after acceptance. `JobProgress` is written to the job log after each change
// that others must know of: before a task is started, and before the end of a run is acknowledged.

#include "flamingo/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::scheduler {

struct Resources
{
    std::int64_t cpuMilli = 0; // thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

bool fits(const Resources &need, const Resources &available);
Resources &operator+=(Resources &left, const Resources &right);
Resources &operator-=(Resources &left, const Resources &right);

struct Step
{
    std::uint32_t count = 1; // tasks
    Resources need; // of one task
    TimeMs estimateMs = 0; // rough duration of a task
    std::vector<std::uint32_t> after; // earlier steps whose tasks must be done first
    bool checkpointing = false;
    bool gang = false; // the tasks work only together
    bool sameRack = false; // the gang slows down on more than one rack
    std::string requiredLabel; // of the worker; empty: any
    std::string dataRack; // tasks slow down on other racks; empty: none
    std::uint32_t maxPerWorker = 0; // tasks of one occurrence; 0: no limit
    bool longRunning = false; // runs until the job is cancelled
    bool fillsIdle = false; // its processor share is not counted against the worker
};

struct Job
{
    std::string id;
    std::string queue;
    std::string organisation;
    std::string service; // the workers that run it
    std::string payload;
    std::vector<Step> steps;
    std::uint32_t priority = 0; // 0 comes first
    std::uint32_t maxAttempts = 1; // failed runs of a task
    double stretch = 1.0; // tolerated multiple of the job's longest chain of work
    TimeMs targetLatencyMs = 0; // tolerated on top of the stretch
    std::uint64_t acceptedUnixMs = 0;
    std::uint64_t firstRunUnixMs = 0;
    TimeMs intervalMs = 0;
    std::uint32_t repeatCount = 0; // 0: runs once, at once
};

enum class TaskPhase : std::uint8_t {
    Waiting, // may be placed
    Assigned, // belongs to `worker`, may run there
    Stopping, // is being stopped on `worker`
    Done,
};

struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0; // number of the last run, 0 before the first
    std::uint32_t failures = 0;
    std::uint32_t failedRun = 0; // last run counted in `failures`
    std::string worker; // key of the worker of the last run
    std::string checkpoint; // newest one; empty: start from the beginning
};

enum class Outcome : std::uint8_t { Open, Completed, Failed, Cancelled };

struct JobProgress
{
    Outcome outcome = Outcome::Open;
    std::vector<TaskProgress> tasks;
    std::string reason; // of a failure, for people
};

// A task's position in its job.
struct TaskPosition
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

std::uint32_t occurrences(const Job &job);
std::uint32_t tasksPerOccurrence(const Job &job);
std::size_t taskCount(const Job &job);

// Number of a task within its job; nullopt when the job has no such task.
std::optional<std::size_t> taskNumber(const Job &job, const TaskPosition &position);
TaskPosition taskPosition(const Job &job, std::size_t number);

// Names of tasks have the form JOB.OCCURRENCE.STEP.INDEX.
std::string taskName(const Job &job, const TaskPosition &position);
struct ParsedTaskName
{
    std::string jobId;
    TaskPosition position;
};
std::optional<ParsedTaskName> parseTaskName(std::string_view name);

// First problem that keeps a job from being accepted; nullopt when there is none.
std::optional<Reason> validate(const Job &job);

// The longest chain of estimated work through the steps.
TimeMs longestChainMs(const Job &job);

// Has every task of the occurrence that `step` depends on ended well?
bool dependenciesDone(const Job &job, const JobProgress &progress, std::uint32_t occurrence,
                      std::uint32_t step);

// When an occurrence is due.
std::uint64_t dueUnixMs(const Job &job, std::uint32_t occurrence);

} // namespace flamingo::scheduler

#endif
