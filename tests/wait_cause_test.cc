// Tests the cause that is logged for tasks that are not placed.

#include "flamingo/scheduler/wait_cause.h"

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

WorkerResources makeWorker(const std::string &key, const std::string &rack, std::int64_t free)
{
    WorkerResources worker;
    worker.key = key;
    worker.rack = rack;
    worker.capacity = {64000, 256000, 8};
    worker.freeCapacity = {64000, 256000, free};
    return worker;
}

Demand makeGang(std::uint32_t count, std::int64_t accelerators)
{
    Demand demand;
    demand.need = {1000, 1000, accelerators};
    demand.count = count;
    demand.allOrNothing = true;
    return demand;
}

int countLines(const Scheduler &scheduler, const std::string &text)
{
    int result = 0;
    for (const std::string &line : scheduler.decisions)
        result += line.find(text) != std::string::npos ? 1 : 0;
    return result;
}

} // namespace

TEST_GROUP(WaitCause){};

TEST(WaitCause, namesTheRestrictionThatKeepsTheTasksFromFreeCapacity)
{
    const std::vector<WorkerResources> free = {makeWorker("a", "r1", 8), makeWorker("b", "r2", 8),
                                               makeWorker("c", "r1", 0), makeWorker("d", "r2", 0)};
    CHECK(WaitCause::Reserved == findWaitCause(makeGang(2, 8), free, {}));

    Demand oneRack = makeGang(2, 8);
    oneRack.sameRack = true;
    CHECK(WaitCause::PreferredRack == findWaitCause(oneRack, free, {}));

    Demand failedBefore = makeGang(2, 8);
    failedBefore.excludedWorkers = {"a"};
    CHECK(WaitCause::FailedWorker == findWaitCause(failedBefore, free, {}));

    const std::vector<WorkerResources> quarantined = {makeWorker("e", "r3", 8)};
    CHECK(WaitCause::UnusableWorkers == findWaitCause(makeGang(3, 8), free, quarantined));
    CHECK(WaitCause::NoFreeCapacity == findWaitCause(makeGang(4, 8), free, quarantined));
    CHECK(WaitCause::NeverFits == findWaitCause(makeGang(6, 8), free, quarantined));
}

TEST(WaitCause, placesAreCountedWithAndWithoutReservations)
{
    const std::vector<WorkerResources> before = {makeWorker("a", "r1", 8),
                                                 makeWorker("b", "r1", 5)};
    const std::vector<WorkerResources> after = {makeWorker("a", "r1", -2),
                                                makeWorker("b", "r1", 5)};
    const WaitPlaces places =
        countWaitPlaces(makeGang(4, 2), before, after, {makeWorker("c", "r2", 3)});
    CHECK_EQUAL(6, places.free);
    CHECK_EQUAL(2, places.afterReservations);
    CHECK_EQUAL(1, places.unusable);
}

// A line in every plan would fill the logs of a busy leader.
TEST(WaitCause, waitIsLoggedAfterAWhileAndWhenItsCauseChanges)
{
    SchedulerRig rig;
    rig.addWorker("h1");
    rig.addWorker("h2");
    rig.accept(rig.makeJob("small", 1, 8));
    rig.sendReport("h1");
    Job gang = rig.makeJob("gang", 2, 8);
    gang.steps[0].gang = true;
    rig.accept(gang);
    const auto sendReports = [&rig](std::int64_t firstPercent) {
        for (std::int64_t percent = firstPercent; percent < firstPercent + 20; ++percent) {
            rig.advance(100);
            rig.nextReports.at("h1").runs.front().percent = percent;
            rig.sendReport("h1");
            rig.sendReport("h2");
        }
    };
    sendReports(0);
    CHECK_EQUAL(1, countLines(rig.scheduler, "event=tasks_waiting job=gang"));
    CHECK_EQUAL(1, countLines(rig.scheduler, "cause=\"no free capacity\" reserving=true"));
    rig.nextReports.at("h2").worker->draining = true;
    sendReports(20);
    CHECK_EQUAL(2, countLines(rig.scheduler, "event=tasks_waiting job=gang"));
}
