// All three searches share one loop. For each group of workers that the demand may use (one rack,
// or all workers), tasks are placed one after another on the worker with the least marginal cost;
// the group with the least total cost wins. What differs is the cost of one more task on a worker,
// a function each:
//
//   placement    room left over; impossible where the task does not fit now
//   reclaim      work lost by stopping the cheapest runs that make room
//   reservation  time until enough runs have ended

#include "flamingo/scheduler/placement.h"

#include <algorithm>
#include <optional>
#include <set>

namespace flamingo::scheduler {
namespace {

// Weights that keep the aims apart: a suspect worker is worse than any leftover room, and any lost
// work is worse than both.
constexpr double suspectCost = 1e3;
constexpr double lostWorkCost = 1e6;

// A worker while tasks are being placed on it.
struct Candidate
{
    std::size_t index = 0;
    Resources room;
    std::uint32_t placed = 0;
    std::vector<bool> counted; // held runs whose room is already in `room`
    TimeMs freeInMs = 0;
};

// What one more task on a candidate takes.
struct Increment
{
    double cost = 0;
    std::vector<std::size_t> freed; // indices of held runs whose room it counts on
    TimeMs freeInMs = 0;
};

// What a search has decided so far.
struct Found
{
    Placement placement;
    double cost = 0;
    TimeMs freeInMs = 0;
    std::set<std::size_t> stoppedUnits; // by reclaim
};

bool allowed(const Demand &demand, const WorkerRoom &worker)
{
    if (!demand.requiredLabel.empty()
        && std::find(worker.labels.begin(), worker.labels.end(), demand.requiredLabel)
            == worker.labels.end())
        return false;
    return std::find(demand.avoidedWorkers.begin(), demand.avoidedWorkers.end(), worker.key)
        == demand.avoidedWorkers.end();
}

double leftover(const Demand &demand, const WorkerRoom &worker, const Resources &room)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? double(part) / double(whole) : 0.0;
    };
    return share(room.accelerators, worker.capacity.accelerators)
        + 0.1 * share(room.cpuMilli, worker.capacity.cpuMilli)
        + 0.1 * share(room.memoryMb, worker.capacity.memoryMb)
        + demand.slownessCost * (worker.slowness - 1) + (worker.suspect ? suspectCost : 0.0);
}

Resources without(Resources room, const Resources &need)
{
    room -= need;
    return room;
}

std::optional<Increment> placeNow(const Demand &demand, const WorkerRoom &worker,
                                  const Candidate &candidate, const Found & /*found*/)
{
    if (!fits(demand.need, candidate.room))
        return std::nullopt;
    return Increment{leftover(demand, worker, without(candidate.room, demand.need)), {}, 0};
}

std::optional<Increment> placeByReclaim(const Demand &demand, const WorkerRoom &worker,
                                        const Candidate &candidate, const Found &found)
{
    Increment result;
    Resources room = candidate.room;
    std::vector<std::size_t> victims;
    for (std::size_t i = 0; i < worker.held.size(); ++i) {
        const HeldRoom &held = worker.held[i];
        if (candidate.counted[i])
            continue;
        if (held.stopping || found.stoppedUnits.count(held.unit) > 0) {
            room += held.need;
            result.freed.push_back(i);
        } else if (held.reclaimable) {
            victims.push_back(i);
        }
    }
    std::sort(victims.begin(), victims.end(), [&worker](std::size_t a, std::size_t b) {
        return worker.held[a].cost < worker.held[b].cost;
    });
    for (const std::size_t victim : victims) {
        if (fits(demand.need, room))
            break;
        room += worker.held[victim].need;
        result.freed.push_back(victim);
        result.cost += worker.held[victim].cost * lostWorkCost;
    }
    if (!fits(demand.need, room))
        return std::nullopt;
    result.cost += leftover(demand, worker, without(room, demand.need));
    return result;
}

std::optional<Increment> placeLater(const Demand &demand, const WorkerRoom &worker,
                                    const Candidate &candidate, const Found & /*found*/)
{
    std::vector<std::size_t> byEnd;
    for (std::size_t i = 0; i < worker.held.size(); ++i) {
        if (!candidate.counted[i])
            byEnd.push_back(i);
    }
    std::sort(byEnd.begin(), byEnd.end(), [&worker](std::size_t a, std::size_t b) {
        return worker.held[a].freeInMs < worker.held[b].freeInMs;
    });
    Increment result;
    Resources room = candidate.room;
    for (const std::size_t run : byEnd) {
        if (fits(demand.need, room))
            break;
        room += worker.held[run].need;
        result.freed.push_back(run);
        result.freeInMs = worker.held[run].freeInMs;
    }
    if (!fits(demand.need, room))
        return std::nullopt;
    result.cost = double(result.freeInMs) + leftover(demand, worker, room);
    return result;
}

using CostFunction = std::optional<Increment> (*)(const Demand &, const WorkerRoom &,
                                                  const Candidate &, const Found &);

void apply(const Demand &demand, const WorkerRoom &worker, const Increment &increment,
           Candidate &candidate, Found &found)
{
    for (const std::size_t run : increment.freed) {
        candidate.room += worker.held[run].need;
        candidate.counted[run] = true;
        if (!worker.held[run].stopping)
            found.stoppedUnits.insert(worker.held[run].unit);
    }
    candidate.room -= demand.need;
    candidate.freeInMs = std::max(candidate.freeInMs, increment.freeInMs);
    ++candidate.placed;
    found.placement.push_back(candidate.index);
    found.cost += increment.cost;
    found.freeInMs = std::max(found.freeInMs, candidate.freeInMs);
}

Found searchGroup(const Demand &demand, absl::Span<const WorkerRoom> workers, CostFunction cost,
                  std::vector<Candidate> candidates)
{
    Found found;
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
        apply(demand, workers[best->index], bestIncrement, *best, found);
    }
    return found;
}

std::vector<Candidate> candidatesOf(const Demand &demand, absl::Span<const WorkerRoom> workers,
                                    const std::string *rack)
{
    std::vector<Candidate> result;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const WorkerRoom &worker = workers[i];
        if ((rack != nullptr && worker.rack != *rack) || !allowed(demand, worker))
            continue;
        const std::uint32_t placed =
            i < demand.placedPerWorker.size() ? demand.placedPerWorker[i] : 0;
        result.push_back({i, worker.room, placed, std::vector<bool>(worker.held.size(), false), 0});
    }
    return result;
}

std::set<std::string> racksOf(absl::Span<const WorkerRoom> workers)
{
    std::set<std::string> result;
    for (const WorkerRoom &worker : workers)
        result.insert(worker.rack);
    return result;
}

// Can empty workers of one rack hold the demand? Work that needs more goes to several racks.
bool rackCouldHold(const Demand &demand, absl::Span<const WorkerRoom> workers,
                   const std::string &rack)
{
    std::uint64_t places = 0;
    for (const WorkerRoom &worker : workers) {
        if (worker.rack != rack || !allowed(demand, worker))
            continue;
        Resources room = worker.capacity;
        std::uint32_t here = 0;
        while (fits(demand.need, room) && here < demand.count
               && (demand.maxPerWorker == 0 || here < demand.maxPerWorker)) {
            room -= demand.need;
            ++here;
        }
        places += here;
    }
    return places >= demand.count;
}

// The racks that the demand has to stay on, each a group of its own; empty: any workers together.
std::vector<std::string> bindingRacks(const Demand &demand, absl::Span<const WorkerRoom> workers)
{
    const std::set<std::string> racks = racksOf(workers);
    if (!demand.dataRack.empty()) {
        Demand single = demand;
        if (!demand.together)
            single.count = 1;
        if (racks.count(demand.dataRack) > 0 && rackCouldHold(single, workers, demand.dataRack))
            return {demand.dataRack};
    }
    std::vector<std::string> result;
    if (!demand.together || !demand.sameRack)
        return result;
    for (const std::string &rack : racks) {
        if (rackCouldHold(demand, workers, rack))
            result.push_back(rack);
    }
    return result;
}

// The cheapest group that holds the demand; for tasks placed one by one also a part of it.
Found searchGroups(const Demand &demand, absl::Span<const WorkerRoom> workers, CostFunction cost)
{
    Found best;
    const std::vector<std::string> racks = bindingRacks(demand, workers);
    const auto consider = [&](const std::string *rack) {
        Found found = searchGroup(demand, workers, cost, candidatesOf(demand, workers, rack));
        const bool whole = found.placement.size() == demand.count;
        if (found.placement.empty() || (demand.together && !whole))
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

Placement findPlacement(const Demand &demand, absl::Span<const WorkerRoom> workers)
{
    return searchGroups(demand, workers, placeNow).placement;
}

Reclaim findReclaim(const Demand &demand, absl::Span<const WorkerRoom> workers, double maxCost)
{
    const Found found = searchGroups(demand, workers, placeByReclaim);
    Reclaim result;
    result.placement = found.placement;
    result.units.assign(found.stoppedUnits.begin(), found.stoppedUnits.end());
    result.cost = found.cost / lostWorkCost;
    if (result.cost > maxCost)
        return {};
    return result;
}

Reservation findReservation(const Demand &demand, absl::Span<const WorkerRoom> workers)
{
    const Found found = searchGroups(demand, workers, placeLater);
    return {found.placement, found.freeInMs};
}

bool canEverFit(const Demand &demand, absl::Span<const WorkerRoom> workers)
{
    std::vector<WorkerRoom> empty(workers.begin(), workers.end());
    for (WorkerRoom &worker : empty) {
        worker.room = worker.capacity;
        worker.held.clear();
    }
    Demand all = demand;
    if (!demand.together)
        all.count = 1;
    return !findPlacement(all, empty).empty();
}

} // namespace flamingo::scheduler
