#ifndef FLAMINGO_SCHEDULER_SCHEDULER_PARTS_H
#define FLAMINGO_SCHEDULER_SCHEDULER_PARTS_H

// What scheduler.cc and planner.cc share; not for use elsewhere.

#include "flamingo/scheduler/scheduler.h"

namespace flamingo::scheduler {

// What a task of the step takes from a worker's room.
Resources allocationFor(const Step &step);

// Should this run exist on this worker?
bool shouldRun(const Scheduler &scheduler, const Worker &worker, const Run &run);

// The current run of the task has ended without success.
void requeueTask(JobEntry &entry, std::size_t taskNumber);

// The worker's incarnation has ended: its runs do not exist any more.
void dropWorker(Scheduler &scheduler, const std::string &key, std::string_view cause, TimeMs now);

} // namespace flamingo::scheduler

#endif
