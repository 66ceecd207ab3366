#ifndef FLAMINGO_SCHEDULER_PLACEMENT_H
#define FLAMINGO_SCHEDULER_PLACEMENT_H

// Chooses workers for the tasks of one step by their free capacity. The functions have no state and
// no side effects.
//
// The choice packs tightly: it takes the worker, and for gangs the rack, with the least capacity
// left over, so that whole workers stay free for tasks that need all their accelerators. Slow
// workers are avoided with the weight `Demand::slownessWeight`.
//
// `findPlacement` uses capacity that is free now. `findReclaim` may also use resources that are
// still allocated: it returns the runs to stop and their cost. `findReservation` stops nothing; it
// returns where capacity for the tasks becomes free first, by the estimated end
// (`Allocation::freeInMs`) of the runs that use it. It does not count on runs that never end.

#include "flamingo/scheduler/job.h"

#include <absl/types/span.h>

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::scheduler {

// The resources that a run occupies on a worker.
struct Allocation
{
    Resources resources;
    TimeMs freeInMs = 0; // estimated time until the resources are free
    bool neverFree = false; // the run goes on until its job is cancelled; `freeInMs` has no meaning
    bool stopping = false; // the run is being stopped
    bool reclaimable = false; // the run may be stopped for more urgent work
    double cost = 0; // core-seconds of work lost when its run group is stopped
    std::size_t runGroup = 0; // runs of one gang share a group; stopping one ends all
};

struct WorkerResources
{
    std::string key;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources freeCapacity; // free now, less reservations; may be negative
    // A run failed or could not start here recently; used only when no other worker fits.
    bool suspect = false;
    bool quarantined = false; // used only by a demand with `quarantinedWorkers`, as last choice
    bool evacuated = false; // of an evacuated data centre: never used; shown as cause of waits
    double slowness = 1; // run time on this worker as a multiple of the usual one
    std::vector<Allocation> allocations;
};

// The tasks of one step that are to be placed, all at once or one by one.
struct Demand
{
    Resources need; // of one task
    std::uint32_t count = 1;
    bool allOrNothing = false; // a gang: places every task or none
    bool sameRack = false;
    std::string requiredLabel;
    // Preferred rack; empty: none. Only its workers are used if the rack, when empty, could hold
    // the whole demand of a gang, or one task of any other demand; otherwise it has no effect.
    std::string dataRack;
    std::uint32_t maxPerWorker = 0; // 0: no limit
    // Score penalty of a worker that takes twice the usual run time; not in core-seconds, unlike
    // the costs in this file. For comparison: the penalty is 1 when all accelerators of a worker
    // would be left unused.
    double slownessWeight = 0.5;
    std::vector<std::uint32_t> placedPerWorker; // tasks of the step already there, by worker index
    std::vector<std::string> excludedWorkers; // keys of workers that must not be used
    bool quarantinedWorkers = false; // workers in quarantine may be used
};

// Worker index of each placed task; fewer than `count` when not all tasks fit, none for a gang.
using Placement = std::vector<std::size_t>;

// Places tasks on capacity that is free now.
Placement findPlacement(const Demand &demand, absl::Span<const WorkerResources> workers);

struct Reclaim
{
    Placement placement; // empty: not possible, or too costly
    std::vector<std::size_t> runGroups; // to be stopped for it
    double cost = 0;
};

// Places tasks on free capacity and on resources of reclaimable runs, with the least lost work;
// fails when that exceeds `maxCost` core-seconds.
Reclaim findReclaim(const Demand &demand, absl::Span<const WorkerResources> workers,
                    double maxCost = std::numeric_limits<double>::infinity());

struct Reservation
{
    // Empty: the workers cannot hold the tasks even when all runs that will end have ended.
    Placement placement;
    TimeMs freeInMs = 0; // estimated time until all tasks fit
};

// Places tasks where capacity becomes free first when nothing is stopped.
Reservation findReservation(const Demand &demand, absl::Span<const WorkerResources> workers);

// Number of tasks like those of `demand` for which the workers have free capacity now, at most the
// whole demand on each worker. Racks and tasks that are placed already are not considered.
std::uint64_t countPlaces(const Demand &demand, absl::Span<const WorkerResources> workers);

// True when the workers, if empty, could hold the whole demand of a gang, or at least one task of
// any other demand.
bool canEverFit(const Demand &demand, absl::Span<const WorkerResources> workers);

} // namespace flamingo::scheduler

#endif
