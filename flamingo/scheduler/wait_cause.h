#ifndef FLAMINGO_SCHEDULER_WAIT_CAUSE_H
#define FLAMINGO_SCHEDULER_WAIT_CAUSE_H

// Explains why the tasks of a step are not placed. The cause is found by search: it names the first
// restriction without which the tasks would fit on capacity that is free now. The functions have no
// state and no side effects.

#include "flamingo/scheduler/placement.h"

#include <absl/types/span.h>

#include <string_view>

namespace flamingo::scheduler {

enum class WaitCause : std::uint8_t {
    Reserved, // enough capacity is free, but it is reserved for other tasks
    PreferredRack, // enough is free, but not on one rack or not on the rack of the data
    FailedWorker, // enough is free only with a worker on which a task of the step has failed
    UnusableWorkers, // enough is free only with workers that get no work at present
    Evacuated, // enough is free only with workers of an evacuated data centre
    NoFreeCapacity, // other runs use the capacity
    NeverFits, // the workers that report cannot hold the tasks even when empty
};

// Text for logs; valid as long as the program runs.
std::string_view waitCauseName(WaitCause cause);

// `workers` are those that get work, with the free capacity before any reservation. `unusable` are
// the other workers that report: quarantined, draining or evacuated.
WaitCause findWaitCause(const Demand &demand, absl::Span<const WorkerResources> workers,
                        absl::Span<const WorkerResources> unusable);

// Numbers of tasks like the waiting ones for which there is room (see countPlaces()).
struct WaitPlaces
{
    std::uint64_t free = 0; // on workers that get work, without reservations
    std::uint64_t afterReservations = 0; // as `free`, but beside the reservations
    std::uint64_t unusable = 0; // on workers that get no work at present
};

// `afterReservations` are the same workers as `workers`, with the free capacity less reservations.
WaitPlaces countWaitPlaces(const Demand &demand, absl::Span<const WorkerResources> workers,
                           absl::Span<const WorkerResources> afterReservations,
                           absl::Span<const WorkerResources> unusable);

} // namespace flamingo::scheduler

#endif
