#ifndef FLAMINGO_SCHEDULER_JOB_H
#define FLAMINGO_SCHEDULER_JOB_H

// Jobs and their progress, as the scheduler stores them.
//
// A job consists of steps; a step consists of tasks. A repeating job runs all its steps once per
// occurrence. The tasks of a job are numbered consecutively, ordered by occurrence, step and index.
// A run is one attempt to execute a task on a worker; the runs of a task are numbered from 1.
//
// A `Job` never changes after acceptance. Its `JobProgress` is written to the job log before a task
// is started and before the end of a run is acknowledged, so that a new leader finds every run that
// may exist and every result that the worker may have discarded.

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

// True when `available` covers `need` in every kind of resource that is needed. What is available
// may be negative: more is reserved than is free.
bool fits(const Resources &need, const Resources &available);
Resources &operator+=(Resources &left, const Resources &right);
Resources &operator-=(Resources &left, const Resources &right);

struct Step
{
    std::uint32_t count = 1; // tasks
    Resources need; // of one task
    TimeMs estimateMs = 0; // caller's rough estimate of a task's run time
    std::vector<std::uint32_t> after; // earlier steps that must be completed first
    bool checkpointing = false; // a stopped task resumes from its last checkpoint
    bool gang = false; // all tasks of the step must run at the same time
    // The gang is slow on more than one rack, so it is placed on one if any rack is large enough.
    bool sameRack = false;
    std::string requiredLabel; // of the worker; empty: any
    std::string dataRack; // rack of the input data, tasks run slower on others; empty: none
    std::uint32_t maxPerWorker = 0; // limit on an occurrence's tasks on one worker; 0: none
    bool longRunning = false; // runs until the job is cancelled
    bool fillsIdle = false; // uses only idle CPU time, so its CPU need is not allocated
};

struct Job
{
    std::string id;
    std::string queue;
    std::string organisation;
    std::string service; // only workers of this service run it
    std::string payload;
    std::vector<Step> steps;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // the job fails when this many runs of a task have failed
    // Objective: an occurrence completes within `stretch` times the critical path of its steps (see
    // longestChainMs()) plus `targetLatencyMs`, counted from its acceptance or its due time,
    // whichever is later.
    double stretch = 1.0;
    TimeMs targetLatencyMs = 0;
    std::uint64_t acceptedUnixMs = 0;
    std::uint64_t firstRunUnixMs = 0; // due time of the first occurrence of a repeating job
    TimeMs intervalMs = 0; // between the due times of two occurrences
    std::uint32_t repeatCount = 0; // number of occurrences; 0: runs once, immediately
};

// Who sends a request about jobs, and to which queue.
struct Caller
{
    std::string queue;
    std::string organisation; // by the request's API key; empty with `anyOrganisation`
    bool anyOrganisation = false; // the queue needs no API key
};

// True when the job is the caller's: job ids of different queues and organisations are unrelated. A
// job that was submitted without an API key belongs to every caller of its queue.
bool isJobOf(const Job &job, const Caller &caller);

// True when both were submitted by the same caller; their ids are compared by the caller of this
// function.
bool haveSameOwner(const Job &job, const Job &other);

enum class TaskPhase : std::uint8_t {
    Waiting, // to be placed
    Assigned, // to `worker`, where it may be running
    Stopping, // being stopped on `worker`
    Done,
};

struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0; // number of the last run, 0 before the first
    // Number of failed runs. A gang counts its failed runs in the progress of its first task.
    std::uint32_t failures = 0;
    std::uint32_t failedRun = 0; // last run counted in `failures`
    std::string worker; // key of the worker of the last run
    std::string checkpoint; // the latest; empty: start from the beginning
};

enum class Outcome : std::uint8_t { Open, Completed, Failed, Cancelled };

struct JobProgress
{
    Outcome outcome = Outcome::Open;
    std::vector<TaskProgress> tasks;
    std::string reason; // why the job failed, in readable text
};

// A task's position in its job.
struct TaskPosition
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

// Number of occurrences; 1 for a job that does not repeat.
std::uint32_t occurrences(const Job &job);
std::uint32_t tasksPerOccurrence(const Job &job);
// Tasks of all occurrences.
std::size_t taskCount(const Job &job);

// Converts between a task's position and its number within the job. taskNumber() returns nullopt
// when the job has no such task; taskPosition() requires a valid number.
std::optional<std::size_t> taskNumber(const Job &job, const TaskPosition &position);
TaskPosition taskPosition(const Job &job, std::size_t number);

// Task names have the form JOB.OCCURRENCE.STEP.INDEX. parseTaskName() returns nullopt for any other
// text; it does not check that the job has such a task.
std::string taskName(const Job &job, const TaskPosition &position);
struct ParsedTaskName
{
    std::string jobId;
    TaskPosition position;
};
std::optional<ParsedTaskName> parseTaskName(std::string_view name);

// Returns the first reason to reject the job; nullopt when it is valid.
std::optional<Reason> validate(const Job &job);

// Returns the length of the critical path: the longest sum of estimates along dependent steps.
TimeMs longestChainMs(const Job &job);

// True when all tasks of the occurrence that `step` depends on are done.
bool dependenciesDone(const Job &job, const JobProgress &progress, std::uint32_t occurrence,
                      std::uint32_t step);

// Returns the due time of an occurrence; 0 for a job that does not repeat, which is due at once.
std::uint64_t dueUnixMs(const Job &job, std::uint32_t occurrence);

} // namespace flamingo::scheduler

#endif
