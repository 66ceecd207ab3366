#ifndef FLAMINGO_ALLOCATION_H
#define FLAMINGO_ALLOCATION_H

// Allocation of the agent's worker: which accelerators, slots, connections, cores and memory a task
// gets, and which borrowing tasks are evicted for it. Used by the agent only.

#include "flamingo/agent.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo {

struct AllocationRequest
{
    std::string_view organisation;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    bool evictable = false; // idempotent or checkpointable
    bool guaranteed = false;
};

struct Allocation
{
    std::uint64_t mask = 0; // accelerators, one bit each
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    std::vector<std::string> evict; // ids of the tasks that must end before the new task runs
};

// True when the task may be evicted for a guaranteed start.
bool taskEvictable(const LocalTask &task);

// True when the task is checkpointing or stopping already.
bool taskStopping(const LocalTask &task);

// Returns resources for the whole request, or nullopt with the cause in `reason`. Reserves nothing:
// the agent's state is unchanged.
std::optional<Allocation> findAllocation(const Agent &agent, const Table &table,
                                         const AllocationRequest &request, TimeMs now,
                                         Reason &reason);

struct FreeCapacity
{
    std::uint64_t mask = 0; // free accelerators, one bit each
    std::uint64_t evictableMask = 0; // accelerators of tasks that may be evicted
    std::uint32_t slots = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
};

// Returns the unallocated resources of the agent's worker, and the accelerators that evictions can
// free.
FreeCapacity freeCapacity(const Agent &agent);

} // namespace flamingo

#endif
