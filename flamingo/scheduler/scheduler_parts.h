#ifndef FLAMINGO_SCHEDULER_SCHEDULER_PARTS_H
#define FLAMINGO_SCHEDULER_SCHEDULER_PARTS_H

// Internals that scheduler.cc and planner.cc share; not for use elsewhere.

#include "flamingo/scheduler/scheduler.h"

namespace flamingo::scheduler {

// Returns the rack of a worker; empty: it names none.
std::string rackOf(const WorkerInfo &worker);

// Returns the resources that a task of the step takes from its worker. The CPU need is zero for a
// step with `fillsIdle`, which uses only idle CPU time.
Resources allocationFor(const Step &step);

// True when the run is the current one of an open job's task and is assigned to this worker; any
// other run is to be stopped.
bool shouldRun(const Scheduler &scheduler, const Worker &worker, const Run &run);

// Makes a task placeable again after its current run has ended without success, and marks the other
// members of its gang to be stopped.
void requeueTask(JobRow &row, std::size_t taskNumber);

// Time after the last report of a worker's host when the worker's lease must have lapsed. A worker
// that is not `fenced` may hold a lease of an earlier leader.
TimeMs leaseTimeoutMs(const SchedulerOptions &options, bool fenced);

// Time after the beginning of a term when the leases of all workers that have never reported to
// this leader must have lapsed.
TimeMs orphanTimeoutMs(const SchedulerOptions &options);

// Removes a worker whose incarnation has ended or whose lease has lapsed, and requeues the tasks of
// its runs.
void dropWorker(Scheduler &scheduler, const std::string &key, std::string_view cause, TimeMs now);

// Requeues the tasks of workers whose end their agents have stored (JobTable::endedWorkers).
void releaseEndedWorkers(Scheduler &scheduler, TimeMs now);

} // namespace flamingo::scheduler

#endif
