#include "flamingo/allocation.h"

#include "flamingo/view.h"

#include <algorithm>
#include <limits>
#include <tuple>

// Placement without guarantee: every block of adjacent free accelerators that has the requested
// size is scored, and the lowest score wins. A free run is a maximal sequence of adjacent free
// accelerators. The score prefers, in this order, a small overlap with other organisations'
// guaranteed blocks, short free runs (best fit), a small overlap with the organisation's own
// guaranteed blocks, and blocks at an end of their free run. A task that cannot be evicted gets no
// accelerator of another organisation's guaranteed block.
//
// Placement with guarantee: candidates are the blocks inside one guaranteed block of the
// organisation. Tasks that may be evicted, or that are stopping already, do not rule a block out.
// The score prefers small guaranteed blocks, then evictions of few tasks that are not idempotent,
// then few evictions, then little lost work. Further tasks are evicted when slots, connections or
// the block's share of the worker's cores and memory would not suffice.
//
// So that borrowing tasks can never fill the slots that a guaranteed start needs, tasks that cannot
// be evicted leave one slot and one connection free for every guaranteed block of this worker.

namespace flamingo {

namespace {

std::uint64_t blockMask(std::uint32_t first, std::uint32_t count)
{
    if (count == 0)
        return 0;
    const auto ones = count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
    return ones << first;
}

std::uint32_t countBits(std::uint64_t mask)
{
    return static_cast<std::uint32_t>(__builtin_popcountll(mask));
}

bool usableGuaranteedBlock(const Agent &agent, const GuaranteedBlock &guaranteedBlock)
{
    return guaranteedBlock.worker == agent.options.name && guaranteedBlock.count > 0
        && guaranteedBlock.first < agent.options.accelerators
        && guaranteedBlock.count <= agent.options.accelerators - guaranteedBlock.first;
}

struct GuaranteedMasks
{
    std::uint64_t own = 0;
    std::uint64_t others = 0;
    std::uint32_t count = 0;
};

// Used instead of guaranteedFor and guaranteedForOthers of table.h, because admission also needs
// the number of the guaranteed blocks and a check of their bounds.
GuaranteedMasks guaranteedMasks(const Agent &agent, const Table &table,
                                std::string_view organisation)
{
    GuaranteedMasks masks;
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        if (!usableGuaranteedBlock(agent, guaranteedBlock))
            continue;
        masks.count += 1;
        auto &mask = guaranteedBlock.organisation == organisation ? masks.own : masks.others;
        mask |= blockMask(guaranteedBlock.first, guaranteedBlock.count);
    }
    return masks;
}

std::uint64_t allocatedMask(const Agent &agent)
{
    std::uint64_t mask = 0;
    for (const auto &[id, task] : agent.tasks)
        mask |= task.mask;
    return mask;
}

// First accelerator and length of the run of free accelerators that contains `index`.
std::pair<std::uint32_t, std::uint32_t> freeRunAround(std::uint64_t free, std::uint32_t index,
                                                      std::uint32_t accelerators)
{
    auto first = index;
    while (first > 0 && ((free >> (first - 1)) & 1) != 0)
        --first;
    auto end = index;
    while (end < accelerators && ((free >> end) & 1) != 0)
        ++end;
    return {first, end - first};
}

std::optional<std::uint64_t> bestFreeBlock(const Agent &agent,
                                           const GuaranteedMasks &guaranteedBlocks,
                                           const AllocationRequest &request)
{
    if (request.accelerators == 0)
        return 0;
    const auto total = agent.options.accelerators;
    auto free = blockMask(0, total) & ~allocatedMask(agent);
    if (!request.evictable)
        free &= ~guaranteedBlocks.others;
    using Score = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, bool, std::uint32_t>;
    std::optional<std::pair<Score, std::uint64_t>> best;
    for (std::uint32_t first = 0; first + request.accelerators <= total; ++first) {
        const auto block = blockMask(first, request.accelerators);
        if ((block & free) != block)
            continue;
        const auto [runFirst, runLength] = freeRunAround(free, first, total);
        const bool inside =
            first != runFirst && first + request.accelerators != runFirst + runLength;
        const Score score{countBits(block & guaranteedBlocks.others), runLength,
                          countBits(block & guaranteedBlocks.own), inside, first};
        if (!best || score < best->first)
            best = {score, block};
    }
    if (!best)
        return std::nullopt;
    return best->second;
}

// Cost of evicting tasks, in order of weight: tasks that are not idempotent, number of tasks, lost
// accelerator time. A task that is stopping already costs nothing.
struct EvictionCost
{
    std::uint32_t unrepeatable = 0;
    std::uint32_t tasks = 0;
    TimeMs lostMs = 0;

    bool operator<(const EvictionCost &other) const
    {
        return std::tie(this->unrepeatable, this->tasks, this->lostMs)
            < std::tie(other.unrepeatable, other.tasks, other.lostMs);
    }
};

EvictionCost evictionCost(const LocalTask &task, TimeMs now)
{
    EvictionCost cost;
    if (taskStopping(task))
        return cost;
    cost.tasks = 1;
    cost.unrepeatable = task.idempotent ? 0 : 1;
    if (task.issued && !task.checkpointable)
        cost.lostMs = (now - task.issuedAt) * std::max(1U, countBits(task.mask)) * task.gangSize;
    return cost;
}

// Returns the tasks that use accelerators of `block`; nullopt when one of them may not be evicted.
std::optional<std::vector<const LocalTask *>> evictableTasksIn(const Agent &agent,
                                                               std::uint64_t block)
{
    std::vector<const LocalTask *> found;
    for (const auto &[id, task] : agent.tasks) {
        if ((task.mask & block) == 0)
            continue;
        if (!taskEvictable(task) && !taskStopping(task))
            return std::nullopt;
        found.push_back(&task);
    }
    return found;
}

struct ReclaimableBlock
{
    std::uint64_t mask = 0;
    std::vector<const LocalTask *> evict;
};

// The part of a guaranteed block that is free or whose tasks can be evicted.
std::uint64_t reclaimablePart(const Agent &agent, const GuaranteedBlock &guaranteedBlock)
{
    auto mask = blockMask(guaranteedBlock.first, guaranteedBlock.count);
    for (const auto &[id, task] : agent.tasks) {
        if (!taskEvictable(task) && !taskStopping(task))
            mask &= ~task.mask;
    }
    return mask;
}

// Chooses the smallest guaranteed block that can hold the request, in it the position that leaves
// the longest run of reclaimable accelerators, so that the organisation's next job also fits, and
// of equal ones the cheapest eviction.
std::optional<ReclaimableBlock> bestReclaimableBlock(const Agent &agent, const Table &table,
                                                     const AllocationRequest &request, TimeMs now)
{
    using Score = std::tuple<std::uint32_t, int, EvictionCost>;
    std::optional<Score> bestScore;
    std::optional<ReclaimableBlock> best;
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        if (guaranteedBlock.organisation != request.organisation
            || !usableGuaranteedBlock(agent, guaranteedBlock)
            || guaranteedBlock.count < request.accelerators)
            continue;
        const auto spare = guaranteedBlock.count - request.accelerators;
        const auto reclaimable = reclaimablePart(agent, guaranteedBlock);
        for (std::uint32_t shift = 0; shift <= spare; ++shift) {
            const auto block = blockMask(guaranteedBlock.first + shift, request.accelerators);
            auto borrowingTasks = evictableTasksIn(agent, block);
            if (!borrowingTasks)
                continue;
            EvictionCost total;
            for (const auto *borrowingTask : *borrowingTasks) {
                const auto cost = evictionCost(*borrowingTask, now);
                total.unrepeatable += cost.unrepeatable;
                total.tasks += cost.tasks;
                total.lostMs += cost.lostMs;
            }
            const Score score{spare, -largestRun(reclaimable & ~block), total};
            if (bestScore && !(score < *bestScore))
                continue;
            bestScore = score;
            best = ReclaimableBlock{block, std::move(*borrowingTasks)};
        }
    }
    return best;
}

struct Usage
{
    std::uint64_t tasks = 0;
    std::uint64_t cores = 0;
    std::uint64_t memoryMib = 0;
};

void addTask(Usage &usage, const LocalTask &task)
{
    usage.tasks += 1;
    usage.cores += task.cores;
    usage.memoryMib += task.memoryMib;
}

Usage totalUsage(const Agent &agent)
{
    Usage usage;
    for (const auto &[id, task] : agent.tasks)
        addTask(usage, task);
    return usage;
}

std::uint64_t taskLimit(const Agent &agent)
{
    return std::min(agent.options.slots, agent.options.connections);
}

// Adds tasks to `evict`, cheapest first, until slots, connections, cores and memory suffice.
// Returns false when slots or connections do not suffice even then. Cores and memory may remain
// short, because a guaranteed shape consists of accelerators and the worker can throttle its tasks.
bool addEvictionsForSize(const Agent &agent, const AllocationRequest &request, TimeMs now,
                         std::vector<const LocalTask *> &evict)
{
    const auto usage = totalUsage(agent);
    const auto share = [&](std::uint32_t capacity) {
        return std::uint64_t{capacity} * request.accelerators / agent.options.accelerators;
    };
    const auto cores = std::min<std::uint64_t>(request.cores, share(agent.options.cores));
    const auto memory = std::min<std::uint64_t>(request.memoryMib, share(agent.options.memoryMib));
    Usage freed;
    for (const auto *task : evict)
        addTask(freed, *task);
    std::vector<const LocalTask *> others;
    for (const auto &[id, task] : agent.tasks) {
        const bool counted = std::find(evict.begin(), evict.end(), &task) != evict.end();
        if (!counted && (taskEvictable(task) || taskStopping(task)))
            others.push_back(&task);
    }
    std::stable_sort(others.begin(), others.end(), [&](const auto *left, const auto *right) {
        return evictionCost(*left, now) < evictionCost(*right, now);
    });
    const auto slotsSuffice = [&] { return usage.tasks + 1 - freed.tasks <= taskLimit(agent); };
    for (const auto *task : others) {
        const bool sizeSuffices = usage.cores + cores <= agent.options.cores + freed.cores
            && usage.memoryMib + memory <= agent.options.memoryMib + freed.memoryMib;
        if (slotsSuffice() && sizeSuffices)
            break;
        addTask(freed, *task);
        evict.push_back(task);
    }
    return slotsSuffice();
}

std::optional<Allocation> noAllocation(ReasonCode code, std::string_view text, Reason &reason)
{
    reason = {code, std::string(text)};
    return std::nullopt;
}

// True when the organisation stays within its limits on this worker. Tasks in `evict` do not count,
// because they end before the new task runs.
bool withinLimits(const Agent &agent, const Table &table, const AllocationRequest &request,
                  absl::Span<const std::string> evict)
{
    const auto row = table.organisations.find(request.organisation);
    if (row == table.organisations.end())
        return true;
    std::uint64_t accelerators = request.accelerators;
    std::uint64_t slots = 1;
    for (const auto &[id, task] : agent.tasks) {
        if (task.organisation != request.organisation
            || std::find(evict.begin(), evict.end(), id) != evict.end())
            continue;
        accelerators += countBits(task.mask);
        slots += 1;
    }
    const auto &limits = row->second;
    return (limits.limitAccelerators == 0 || accelerators <= limits.limitAccelerators)
        && (limits.limitSlots == 0 || slots <= limits.limitSlots);
}

std::optional<Allocation> findGuaranteedAllocation(const Agent &agent, const Table &table,
                                                   const AllocationRequest &request, TimeMs now,
                                                   Reason &reason)
{
    if (request.accelerators == 0)
        return noAllocation(ReasonCode::NoRoom, "a guaranteed start needs accelerators", reason);
    auto block = bestReclaimableBlock(agent, table, request, now);
    if (!block)
        return noAllocation(ReasonCode::NoRoom,
                            "no guaranteed block of that size can be reclaimed on this worker",
                            reason);
    if (!addEvictionsForSize(agent, request, now, block->evict))
        return noAllocation(ReasonCode::NoRoom, "no slot can be reclaimed", reason);
    Allocation allocation{block->mask, request.cores, request.memoryMib, {}};
    for (const auto *task : block->evict)
        allocation.evict.push_back(task->id);
    return allocation;
}

// True when one more task that cannot be evicted still leaves a slot and a connection for every
// guaranteed block of this worker.
bool guaranteedBlocksKeepSlots(const Agent &agent, const GuaranteedMasks &guaranteedBlocks)
{
    std::uint64_t nonEvictable = 1;
    for (const auto &[id, task] : agent.tasks) {
        if (!task.guaranteed && !taskEvictable(task))
            nonEvictable += 1;
    }
    return nonEvictable + guaranteedBlocks.count <= taskLimit(agent);
}

std::optional<Allocation> findNonGuaranteedAllocation(const Agent &agent, const Table &table,
                                                      const AllocationRequest &request,
                                                      Reason &reason)
{
    const auto guaranteedBlocks = guaranteedMasks(agent, table, request.organisation);
    const auto usage = totalUsage(agent);
    if (usage.tasks + 1 > taskLimit(agent))
        return noAllocation(ReasonCode::NoRoom, "all slots or connections are in use", reason);
    if (!request.evictable && !guaranteedBlocksKeepSlots(agent, guaranteedBlocks))
        return noAllocation(ReasonCode::NoRoom, "the free slots are reserved for guaranteed shapes",
                            reason);
    if (usage.cores + request.cores > agent.options.cores)
        return noAllocation(ReasonCode::NoRoom, "too few cores are free", reason);
    if (usage.memoryMib + request.memoryMib > agent.options.memoryMib)
        return noAllocation(ReasonCode::NoRoom, "too little memory is free", reason);
    const auto mask = bestFreeBlock(agent, guaranteedBlocks, request);
    if (!mask)
        return noAllocation(ReasonCode::NoRoom, "no adjacent accelerators of that number are free",
                            reason);
    return Allocation{*mask, request.cores, request.memoryMib, {}};
}

} // namespace

bool taskEvictable(const LocalTask &task)
{
    return !task.guaranteed && (task.idempotent || task.checkpointable);
}

bool taskStopping(const LocalTask &task)
{
    return task.phase == TaskPhase::Checkpointing || task.phase == TaskPhase::Stopping;
}

std::optional<Allocation> findAllocation(const Agent &agent, const Table &table,
                                         const AllocationRequest &request, TimeMs now,
                                         Reason &reason)
{
    const auto &options = agent.options;
    auto sized = request;
    // Declared cores or memory of 0 mean that the caller does not know the size.
    if (sized.cores == 0)
        sized.cores = 1;
    if (sized.memoryMib == 0)
        sized.memoryMib = options.memoryMib / std::max(1U, options.slots);
    if (sized.accelerators > options.accelerators || sized.cores > options.cores
        || sized.memoryMib > options.memoryMib)
        return noAllocation(ReasonCode::ImpossibleShape, "the worker is smaller than the request",
                            reason);
    auto allocation = sized.guaranteed ? findGuaranteedAllocation(agent, table, sized, now, reason)
                                       : findNonGuaranteedAllocation(agent, table, sized, reason);
    if (allocation && !withinLimits(agent, table, sized, allocation->evict))
        return noAllocation(ReasonCode::LimitReached,
                            "the organisation's limit on this worker is reached", reason);
    return allocation;
}

FreeCapacity freeCapacity(const Agent &agent)
{
    const auto &options = agent.options;
    const auto usage = totalUsage(agent);
    const auto remaining = [](std::uint64_t capacity, std::uint64_t used) {
        return static_cast<std::uint32_t>(capacity > used ? capacity - used : 0);
    };
    FreeCapacity free;
    free.mask = blockMask(0, options.accelerators) & ~allocatedMask(agent);
    for (const auto &[id, task] : agent.tasks) {
        if (taskEvictable(task))
            free.evictableMask |= task.mask;
    }
    free.slots = remaining(taskLimit(agent), usage.tasks);
    free.cores = remaining(options.cores, usage.cores);
    free.memoryMib = remaining(options.memoryMib, usage.memoryMib);
    return free;
}

} // namespace flamingo
