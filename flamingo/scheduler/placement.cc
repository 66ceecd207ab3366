// All three searches share one loop. For each set of workers that the demand may use (the workers
// of one rack, or all), tasks are placed one after another on the worker with the least marginal
// cost; the set with the least total cost is chosen. The searches differ in the function that gives
// the cost of one more task on a worker:
//
//   placement    capacity left over and slowness; impossible where the task does not fit now
//   reclaim      work lost by stopping the cheapest runs that free enough resources
//   reservation  estimated time until enough runs have ended, in ms
//
// The cost of a placement is added to the other two, so it decides between equal ones.

#include "flamingo/scheduler/placement.h"

#include <algorithm>
#include <optional>
#include <set>

namespace flamingo::scheduler {
namespace {

// Weights that order the criteria: a suspect worker costs more than any leftover capacity, and any
// lost work costs more than both.
constexpr double suspectWeight = 1e3;
constexpr double lostWorkWeight = 1e6;

// A worker while tasks are being placed on it.
struct Candidate
{
    std::size_t index = 0;
    Resources freeCapacity;
    std::uint32_t placed = 0;
    std::vector<bool> countedAsFree; // for each allocation: it is already part of `freeCapacity`
    TimeMs freeInMs = 0;
};

// Cost and effect of placing one more task on a candidate.
struct Increment
{
    double cost = 0;
    std::vector<std::size_t> freed; // indices of the allocations that have to become free for it
    TimeMs freeInMs = 0;
};

// The tasks that a search has placed so far.
struct SearchResult
{
    Placement placement;
    double cost = 0;
    TimeMs freeInMs = 0;
    std::set<std::size_t> stoppedRunGroups; // run groups that must end; read by reclaim only
};

bool isEligible(const Demand &demand, const WorkerResources &worker)
{
    if (worker.quarantined && !demand.quarantinedWorkers)
        return false;
    if (!demand.requiredLabel.empty()
        && std::find(worker.labels.begin(), worker.labels.end(), demand.requiredLabel)
            == worker.labels.end())
        return false;
    return std::find(demand.excludedWorkers.begin(), demand.excludedWorkers.end(), worker.key)
        == demand.excludedWorkers.end();
}

double leftoverCost(const Demand &demand, const WorkerResources &worker, const Resources &available)
{
    const auto share = [](std::int64_t part, std::int64_t total) {
        return total > 0 ? double(part) / double(total) : 0.0;
    };
    return share(available.accelerators, worker.capacity.accelerators)
        + 0.1 * share(available.cpuMilli, worker.capacity.cpuMilli)
        + 0.1 * share(available.memoryMb, worker.capacity.memoryMb)
        + demand.slownessWeight * (worker.slowness - 1)
        + (worker.suspect || worker.quarantined ? suspectWeight : 0.0);
}

Resources subtract(Resources from, const Resources &need)
{
    from -= need;
    return from;
}

std::optional<Increment> placementCost(const Demand &demand, const WorkerResources &worker,
                                       const Candidate &candidate, const SearchResult & /*found*/)
{
    if (!fits(demand.need, candidate.freeCapacity))
        return std::nullopt;
    return Increment{
        leftoverCost(demand, worker, subtract(candidate.freeCapacity, demand.need)), {}, 0};
}

std::optional<Increment> reclaimCost(const Demand &demand, const WorkerResources &worker,
                                     const Candidate &candidate, const SearchResult &found)
{
    Increment result;
    Resources available = candidate.freeCapacity;
    std::vector<std::size_t> victims;
    for (std::size_t i = 0; i < worker.allocations.size(); ++i) {
        const Allocation &allocation = worker.allocations[i];
        if (candidate.countedAsFree[i])
            continue;
        if (allocation.stopping || found.stoppedRunGroups.count(allocation.runGroup) > 0) {
            available += allocation.resources;
            result.freed.push_back(i);
        } else if (allocation.reclaimable) {
            victims.push_back(i);
        }
    }
    std::sort(victims.begin(), victims.end(), [&worker](std::size_t a, std::size_t b) {
        return worker.allocations[a].cost < worker.allocations[b].cost;
    });
    for (const std::size_t victim : victims) {
        if (fits(demand.need, available))
            break;
        available += worker.allocations[victim].resources;
        result.freed.push_back(victim);
        result.cost += worker.allocations[victim].cost * lostWorkWeight;
    }
    if (!fits(demand.need, available))
        return std::nullopt;
    result.cost += leftoverCost(demand, worker, subtract(available, demand.need));
    return result;
}

std::optional<Increment> reservationCost(const Demand &demand, const WorkerResources &worker,
                                         const Candidate &candidate, const SearchResult & /*found*/)
{
    std::vector<std::size_t> byEnd;
    for (std::size_t i = 0; i < worker.allocations.size(); ++i) {
        if (!candidate.countedAsFree[i] && !worker.allocations[i].neverFree)
            byEnd.push_back(i);
    }
    std::sort(byEnd.begin(), byEnd.end(), [&worker](std::size_t a, std::size_t b) {
        return worker.allocations[a].freeInMs < worker.allocations[b].freeInMs;
    });
    Increment result;
    Resources available = candidate.freeCapacity;
    for (const std::size_t run : byEnd) {
        if (fits(demand.need, available))
            break;
        available += worker.allocations[run].resources;
        result.freed.push_back(run);
        result.freeInMs = worker.allocations[run].freeInMs;
    }
    if (!fits(demand.need, available))
        return std::nullopt;
    result.cost = double(result.freeInMs) + leftoverCost(demand, worker, available);
    return result;
}

using CostFunction = std::optional<Increment> (*)(const Demand &, const WorkerResources &,
                                                  const Candidate &, const SearchResult &);

void applyIncrement(const Demand &demand, const WorkerResources &worker, const Increment &increment,
                    Candidate &candidate, SearchResult &found)
{
    for (const std::size_t run : increment.freed) {
        candidate.freeCapacity += worker.allocations[run].resources;
        candidate.countedAsFree[run] = true;
        if (!worker.allocations[run].stopping)
            found.stoppedRunGroups.insert(worker.allocations[run].runGroup);
    }
    candidate.freeCapacity -= demand.need;
    candidate.freeInMs = std::max(candidate.freeInMs, increment.freeInMs);
    ++candidate.placed;
    found.placement.push_back(candidate.index);
    found.cost += increment.cost;
    found.freeInMs = std::max(found.freeInMs, candidate.freeInMs);
}

SearchResult searchGroup(const Demand &demand, absl::Span<const WorkerResources> workers,
                         CostFunction cost, std::vector<Candidate> candidates)
{
    SearchResult found;
    while (found.placement.size() < demand.count) {
        Candidate *best = nullptr;
        Increment bestIncrement;
        for (Candidate &candidate : candidates) {
            if (demand.maxPerWorker > 0 && candidate.placed >= demand.maxPerWorker)
                continue;
            const auto increment = cost(demand, workers[candidate.index], candidate, found);
            if (!increment || (best != nullptr && increment->cost >= bestIncrement.cost))
                continue;
            best = &candidate;
            bestIncrement = *increment;
        }
        if (best == nullptr)
            break;
        applyIncrement(demand, workers[best->index], bestIncrement, *best, found);
    }
    return found;
}

std::vector<Candidate> candidatesOf(const Demand &demand, absl::Span<const WorkerResources> workers,
                                    const std::string *rack)
{
    std::vector<Candidate> result;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const WorkerResources &worker = workers[i];
        if ((rack != nullptr && worker.rack != *rack) || !isEligible(demand, worker))
            continue;
        const std::uint32_t placed =
            i < demand.placedPerWorker.size() ? demand.placedPerWorker[i] : 0;
        result.push_back({i, worker.freeCapacity, placed,
                          std::vector<bool>(worker.allocations.size(), false), 0});
    }
    return result;
}

std::set<std::string> racksOf(absl::Span<const WorkerResources> workers)
{
    std::set<std::string> result;
    for (const WorkerResources &worker : workers)
        result.insert(worker.rack);
    return result;
}

// Number of tasks that `available` has room for, at most the whole demand.
std::uint64_t placesIn(const Demand &demand, Resources available)
{
    std::uint64_t places = 0;
    while (fits(demand.need, available) && places < demand.count
           && (demand.maxPerWorker == 0 || places < demand.maxPerWorker)) {
        available -= demand.need;
        ++places;
    }
    return places;
}

// True when the workers of one rack, if empty, could hold the demand.
bool rackCanHold(const Demand &demand, absl::Span<const WorkerResources> workers,
                 const std::string &rack)
{
    std::uint64_t places = 0;
    for (const WorkerResources &worker : workers) {
        if (worker.rack != rack || !isEligible(demand, worker))
            continue;
        places += placesIn(demand, worker.capacity);
    }
    return places >= demand.count;
}

// Returns the racks of which the demand has to use exactly one; empty: it may use all workers.
std::vector<std::string> requiredRacks(const Demand &demand,
                                       absl::Span<const WorkerResources> workers)
{
    const std::set<std::string> racks = racksOf(workers);
    if (!demand.dataRack.empty()) {
        Demand single = demand;
        if (!demand.allOrNothing)
            single.count = 1;
        if (racks.count(demand.dataRack) > 0 && rackCanHold(single, workers, demand.dataRack))
            return {demand.dataRack};
    }
    std::vector<std::string> result;
    if (!demand.allOrNothing || !demand.sameRack)
        return result;
    for (const std::string &rack : racks) {
        if (rackCanHold(demand, workers, rack))
            result.push_back(rack);
    }
    return result;
}

// Searches each set of workers that the demand may use and returns the cheapest result. For a gang
// the result holds the whole demand or nothing; otherwise it may hold a part.
SearchResult searchGroups(const Demand &demand, absl::Span<const WorkerResources> workers,
                          CostFunction cost)
{
    SearchResult best;
    const std::vector<std::string> racks = requiredRacks(demand, workers);
    const auto consider = [&](const std::string *rack) {
        SearchResult found =
            searchGroup(demand, workers, cost, candidatesOf(demand, workers, rack));
        const bool complete = found.placement.size() == demand.count;
        if (found.placement.empty() || (demand.allOrNothing && !complete))
            return;
        if (best.placement.empty() || found.cost < best.cost)
            best = std::move(found);
    };
    if (racks.empty())
        consider(nullptr);
    for (const std::string &rack : racks)
        consider(&rack);
    return best;
}

} // namespace

Placement findPlacement(const Demand &demand, absl::Span<const WorkerResources> workers)
{
    return searchGroups(demand, workers, placementCost).placement;
}

Reclaim findReclaim(const Demand &demand, absl::Span<const WorkerResources> workers, double maxCost)
{
    const SearchResult found = searchGroups(demand, workers, reclaimCost);
    Reclaim result;
    result.placement = found.placement;
    result.runGroups.assign(found.stoppedRunGroups.begin(), found.stoppedRunGroups.end());
    result.cost = found.cost / lostWorkWeight;
    if (result.cost > maxCost)
        return {};
    return result;
}

Reservation findReservation(const Demand &demand, absl::Span<const WorkerResources> workers)
{
    const SearchResult found = searchGroups(demand, workers, reservationCost);
    return {found.placement, found.freeInMs};
}

std::uint64_t countPlaces(const Demand &demand, absl::Span<const WorkerResources> workers)
{
    std::uint64_t places = 0;
    for (const WorkerResources &worker : workers) {
        if (isEligible(demand, worker))
            places += placesIn(demand, worker.freeCapacity);
    }
    return places;
}

bool canEverFit(const Demand &demand, absl::Span<const WorkerResources> workers)
{
    std::vector<WorkerResources> emptyWorkers(workers.begin(), workers.end());
    for (WorkerResources &worker : emptyWorkers) {
        worker.freeCapacity = worker.capacity;
        worker.allocations.clear();
    }
    Demand all = demand;
    if (!demand.allOrNothing)
        all.count = 1;
    return !findPlacement(all, emptyWorkers).empty();
}

} // namespace flamingo::scheduler
