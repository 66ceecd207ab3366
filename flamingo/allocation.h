#ifndef FLAMINGO_ALLOCATION_H
#define FLAMINGO_ALLOCATION_H

// Room on the agent's worker: which accelerators, slots, connections, cores and memory a task gets,
// and which guests leave for it. Used by the agent only.

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
    std::uint64_t mask = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    std::vector<std::string> evict; // tasks that must leave first
};

// True when the task may be evicted for the guaranteed shape of an organisation.
bool taskEvictable(const LocalTask &task);

// True when the task is on its way out already.
bool taskLeaving(const LocalTask &task);

// All or nothing: room for the request, or the reason why there is none. Changes nothing.
std::optional<Allocation> findAllocation(const Agent &agent, const Table &table,
                                         const AllocationRequest &request, TimeMs now,
                                         Reason &reason);

struct FreeCapacity
{
    std::uint64_t mask = 0;
    std::uint64_t evictableMask = 0;
    std::uint32_t slots = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
};

FreeCapacity freeCapacity(const Agent &agent);

} // namespace flamingo

#endif
