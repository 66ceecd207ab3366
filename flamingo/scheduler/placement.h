#ifndef FLAMINGO_SCHEDULER_PLACEMENT_H
#define FLAMINGO_SCHEDULER_PLACEMENT_H

// Where tasks of one step go: a pure choice over the room of the workers.
//
// The choice packs tightly: it takes the worker, and for gangs the rack, in which the least room is
// left over, so that whole workers stay free for tasks that need all their accelerators. Slow
// workers are avoided as far as the demand asks for it.
//
// `findPlacement` uses room that is free now. `findReclaim` may also count on room that a run still
// holds: it returns the runs to stop and their cost. `findReservation` stops nothing; it says where
// room for the tasks becomes free first, by the estimates of the runs that hold it.

#include "flamingo/scheduler/job.h"

#include <absl/types/span.h>

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::scheduler {

// A run that holds room on a worker.
struct Allocation
{
    Resources resources;
    TimeMs freeInMs = 0; // estimated time until its room is free
    bool stopping = false; // its room is about to be free
    bool reclaimable = false; // may be stopped for more urgent work
    double cost = 0; // core-seconds of work lost when its whole unit is stopped
    std::size_t runGroup = 0; // runs of one gang share a unit; stopping one ends all
};

struct WorkerResources
{
    std::string key;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources freeCapacity; // free now, less what is reserved; may be negative
    bool suspect = false; // its last run failed; used when nothing else fits
    double slowness = 1; // run time here as a multiple of the usual one
    std::vector<Allocation> allocations;
};

// The tasks of one step that are to be placed together or one by one.
struct Demand
{
    Resources need; // of one task
    std::uint32_t count = 1;
    bool allOrNothing = false; // all or none
    bool sameRack = false;
    std::string requiredLabel;
    std::string dataRack; // empty: any
    std::uint32_t maxPerWorker = 0; // 0: no limit
    double slownessWeight =
        0.5; // of twice the usual run time, beside a whole worker left over as 1
    std::vector<std::uint32_t> placedPerWorker; // tasks of the step there already, by worker
    std::vector<std::string> excludedWorkers; // keys
};

// Indices of workers, one for each placed task; fewer than `count` unless together.
using Placement = std::vector<std::size_t>;

Placement findPlacement(const Demand &demand, absl::Span<const WorkerResources> workers);

struct Reclaim
{
    Placement placement; // empty: not possible
    std::vector<std::size_t> runGroups; // to be stopped
    double cost = 0;
};

// `maxCost` bounds the work that may be lost.
Reclaim findReclaim(const Demand &demand, absl::Span<const WorkerResources> workers,
                    double maxCost = std::numeric_limits<double>::infinity());

struct Reservation
{
    Placement placement; // empty: the workers can never hold the tasks
    TimeMs freeInMs = 0;
};

Reservation findReservation(const Demand &demand, absl::Span<const WorkerResources> workers);

// Could empty workers hold the demand?
bool canEverFit(const Demand &demand, absl::Span<const WorkerResources> workers);

} // namespace flamingo::scheduler

#endif
