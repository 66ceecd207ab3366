// The restrictions are lifted one after another, in the order of `WaitCause`, until the tasks fit.
// For tasks that need not start together, one task that fits is enough.

#include "flamingo/scheduler/wait_cause.h"

#include <algorithm>
#include <iterator>

namespace flamingo::scheduler {
namespace {

bool fitsNow(const Demand &demand, absl::Span<const WorkerResources> workers)
{
    return !findPlacement(demand, workers).empty();
}

} // namespace

std::string_view waitCauseName(WaitCause cause)
{
    switch (cause) {
    case WaitCause::Reserved:
        return "capacity is reserved for other tasks";
    case WaitCause::PreferredRack:
        return "no room on a preferred rack";
    case WaitCause::FailedWorker:
        return "no room beside the workers where it failed";
    case WaitCause::UnusableWorkers:
        return "workers are quarantined or draining";
    case WaitCause::Evacuated:
        return "the data centre is evacuated";
    case WaitCause::NoFreeCapacity:
        return "no free capacity";
    case WaitCause::NeverFits:
        return "too large for the workers that report";
    }
    return "?";
}

WaitCause findWaitCause(const Demand &demand, absl::Span<const WorkerResources> workers,
                        absl::Span<const WorkerResources> unusable)
{
    if (fitsNow(demand, workers))
        return WaitCause::Reserved;
    Demand lifted = demand;
    lifted.sameRack = false;
    lifted.dataRack.clear();
    if (fitsNow(lifted, workers))
        return WaitCause::PreferredRack;
    lifted.excludedWorkers.clear();
    if (fitsNow(lifted, workers))
        return WaitCause::FailedWorker;
    std::vector<WorkerResources> all(workers.begin(), workers.end());
    const auto addUnusable = [&](bool evacuated) {
        std::copy_if(
            unusable.begin(), unusable.end(), std::back_inserter(all),
            [evacuated](const WorkerResources &worker) { return worker.evacuated == evacuated; });
        lifted.placedPerWorker.resize(lifted.placedPerWorker.empty() ? 0 : all.size());
    };
    addUnusable(false);
    if (fitsNow(lifted, all))
        return WaitCause::UnusableWorkers;
    addUnusable(true);
    if (fitsNow(lifted, all))
        return WaitCause::Evacuated;
    return canEverFit(lifted, all) ? WaitCause::NoFreeCapacity : WaitCause::NeverFits;
}

WaitPlaces countWaitPlaces(const Demand &demand, absl::Span<const WorkerResources> workers,
                           absl::Span<const WorkerResources> afterReservations,
                           absl::Span<const WorkerResources> unusable)
{
    return {countPlaces(demand, workers), countPlaces(demand, afterReservations),
            countPlaces(demand, unusable)};
}

} // namespace flamingo::scheduler
