// Tests where tasks are placed and which ones wait. The comment of a test names the load pattern
// that it guards against.

#include "flamingo/scheduler/placement.h"

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

WorkerResources emptyWorker(const std::string &key, const std::string &rack)
{
    WorkerResources worker;
    worker.key = key;
    worker.rack = rack;
    worker.labels = {"a", rack}; // kind and rack
    worker.capacity = {64000, 256000, 8};
    worker.freeCapacity = worker.capacity;
    return worker;
}

Demand demandOf(std::uint32_t count, std::int64_t accelerators)
{
    Demand demand;
    demand.need = {1000, 1000, accelerators};
    demand.count = count;
    return demand;
}

void allocate(WorkerResources &worker, std::int64_t accelerators, TimeMs freeInMs, double cost,
              std::size_t runGroup, bool reclaimable = true)
{
    Allocation allocation;
    allocation.resources = {1000, 1000, accelerators};
    allocation.freeInMs = freeInMs;
    allocation.cost = cost;
    allocation.runGroup = runGroup;
    allocation.reclaimable = reclaimable;
    worker.freeCapacity -= allocation.resources;
    worker.allocations.push_back(allocation);
}

} // namespace

TEST_GROUP(Placement){};

// Small tasks that are spread over all workers leave none free for a task of eight accelerators.
TEST(Placement, smallTasksFillAPartlyUsedWorkerFirst)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1")};
    allocate(workers[1], 2, 1000, 1, 1);
    const Placement placement = findPlacement(demandOf(4, 1), workers);
    CHECK_EQUAL(4, placement.size());
    for (const std::size_t worker : placement)
        CHECK_EQUAL(1, worker);
}

// A gang on two racks runs at a third of its speed, so it waits until one rack has enough free
// capacity.
TEST(Placement, gangOfOneRackIsNotSplit)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1"),
                                            emptyWorker("w3", "r2"), emptyWorker("w4", "r2")};
    allocate(workers[0], 8, 1000, 1, 1);
    allocate(workers[2], 8, 1000, 1, 2);
    Demand demand = demandOf(2, 8);
    demand.allOrNothing = true;
    demand.sameRack = true;
    CHECK(findPlacement(demand, workers).empty());
    CHECK_EQUAL(2, findReservation(demand, workers).placement.size());
}

// No rack can hold the gang, so waiting for one would never end.
TEST(Placement, gangLargerThanARackUsesSeveral)
{
    const std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r2")};
    Demand demand = demandOf(2, 8);
    demand.allOrNothing = true;
    demand.sameRack = true;
    CHECK_EQUAL(2, findPlacement(demand, workers).size());
}

TEST(Placement, tasksStayOnTheRackOfTheirData)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r2")};
    Demand demand = demandOf(2, 8);
    demand.dataRack = "r2";
    const Placement placement = findPlacement(demand, workers);
    CHECK_EQUAL(1, placement.size());
    CHECK_EQUAL(1, placement[0]);
}

TEST(Placement, limitPerWorkerCountsTasksThatAreThereAlready)
{
    const std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1")};
    Demand demand = demandOf(4, 1);
    demand.maxPerWorker = 2;
    demand.placedPerWorker = {1, 0};
    CHECK_EQUAL(3, findPlacement(demand, workers).size());
}

TEST(Placement, requiredLabelIsRespected)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1")};
    workers[1].labels[0] = "b";
    Demand demand = demandOf(3, 8);
    demand.requiredLabel = "b";
    CHECK_EQUAL(1, findPlacement(demand, workers).size());
    demand.requiredLabel = "c";
    CHECK(!canEverFit(demand, workers));
}

// Urgent work must stop the run with the least lost work first, for example a checkpointing one.
TEST(Placement, reclaimStopsTheCheapestRuns)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1")};
    allocate(workers[0], 8, 9000, 500, 1);
    allocate(workers[1], 8, 9000, 3, 2);
    const Reclaim reclaim = findReclaim(demandOf(1, 4), workers);
    CHECK_EQUAL(1, reclaim.runGroups.size());
    CHECK_EQUAL(2, reclaim.runGroups[0]);
    CHECK_EQUAL(1, reclaim.placement[0]);
}

// Resources of a run that is already being stopped must be used before another run is stopped.
TEST(Placement, reclaimCountsOnRunsThatAreStopping)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1"), emptyWorker("w2", "r1")};
    allocate(workers[0], 8, 900, 500, 1);
    workers[0].allocations[0].stopping = true;
    allocate(workers[1], 8, 9000, 3, 2);
    const Reclaim reclaim = findReclaim(demandOf(1, 8), workers);
    CHECK(reclaim.runGroups.empty());
    CHECK_EQUAL(0, reclaim.placement[0]);
}

TEST(Placement, otherUrgentWorkIsNotReclaimed)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1")};
    allocate(workers[0], 8, 9000, 3, 1, false);
    CHECK(findReclaim(demandOf(1, 1), workers).placement.empty());
}

TEST(Placement, reclaimRespectsItsMaxCost)
{
    std::vector<WorkerResources> workers = {emptyWorker("w1", "r1")};
    allocate(workers[0], 8, 9000, 100, 1);
    CHECK(findReclaim(demandOf(1, 1), workers, 50).placement.empty());
    CHECK_EQUAL(1, findReclaim(demandOf(1, 1), workers, 150).placement.size());
}

// A stream of small tasks takes all capacity as soon as it becomes free; without a reservation a
// large task would wait for ever.
TEST(Placement, largeTaskIsNotStarvedBySmallOnes)
{
    SchedulerRig rig;
    rig.addWorker("h1");
    rig.accept(rig.makeJob("small0", 8, 1, 2));
    rig.sendReport("h1");
    rig.accept(rig.makeJob("large", 1, 8, 1));
    for (int i = 0; i < 8; ++i) {
        rig.accept(rig.makeJob("small" + std::to_string(i + 1), 1, 1, 2));
        rig.endRun("h1", rig.nextReports.at("h1").runs.front().task, 1, EndKind::Done);
        rig.sendReport("h1");
        rig.advance(100);
    }
    rig.sendReport("h1");
    CHECK_EQUAL(std::string("running"), rig.jobState("large"));
}

// Urgent work waits for a run that ends within its slack, instead of stopping the run.
TEST(Placement, urgentWorkWaitsForARunThatIsAboutToEnd)
{
    SchedulerRig rig;
    rig.scheduler.guarantees["lots"] = 8;
    rig.scheduler.options.stopMs = 200;
    rig.addWorker("h1");
    Job longJob = rig.makeJob("long", 1, 8, 1);
    longJob.steps[0].estimateMs = 1000;
    rig.accept(longJob);
    rig.sendReport("h1");
    rig.advance(700);
    rig.accept(rig.makeJob("urgent", 1, 8, 0));
    CHECK_EQUAL(0, rig.sendReport("h1").stops.size());
    rig.advance(2500); // the run exceeds its estimate
    CHECK_EQUAL(1, rig.sendReport("h1").stops.size());
}

// A burst of one organisation's urgent jobs beyond its guarantee must not delay the guaranteed jobs
// of another organisation.
TEST(Placement, guaranteedWorkPrecedesABurstBeyondAGuarantee)
{
    SchedulerRig rig;
    rig.scheduler.guarantees["lots"] = 4;
    rig.scheduler.guarantees["archive"] = 4;
    for (int i = 0; i < 4; ++i)
        rig.accept(rig.makeJob("burst" + std::to_string(i), 1, 4, 0));
    rig.advance(10);
    Job other = rig.makeJob("archive", 1, 4, 0);
    other.organisation = "archive";
    rig.accept(other);
    rig.addWorker("h1");
    CHECK_EQUAL(std::string("running"), rig.jobState("burst0"));
    CHECK_EQUAL(std::string("running"), rig.jobState("archive"));
    CHECK_EQUAL(std::string("queued"), rig.jobState("burst1"));
}

// A worker on which every run fails has free capacity and would otherwise receive all work.
TEST(Placement, failingWorkerGetsNoMoreWork)
{
    SchedulerRig rig;
    rig.addWorker("h1");
    rig.addWorker("h2");
    rig.accept(rig.makeJob("a", 1, 8));
    rig.sendReport("h1");
    rig.sendReport("h2");
    const std::string failing = rig.runCount("h1") > 0 ? "h1" : "h2";
    const std::string healthy = failing == "h1" ? "h2" : "h1";
    rig.endRun(failing, "a.0.0.0", 1, EndKind::Failed);
    rig.sendReport(failing);
    rig.sendReport(healthy);
    CHECK_EQUAL(0, rig.runCount(failing));
    CHECK_EQUAL(1, rig.runCount(healthy));
    rig.accept(rig.makeJob("b", 1, 1));
    rig.sendReport(healthy);
    rig.sendReport(failing);
    rig.endRun(failing, "b.0.0.0", 1, EndKind::Failed);
    rig.sendReport(failing);
    rig.accept(rig.makeJob("c", 1, 1));
    // Quarantined after two failures in a row.
    CHECK_EQUAL(0, rig.sendReport(failing).starts.size());
}

// A job whose data are bad fails on every worker. Guards against healthy workers that get no work
// because two tasks of one job failed there.
TEST(Placement, twoFailuresOfOneJobDoNotQuarantineItsWorker)
{
    SchedulerRig rig;
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 4, 2));
    rig.sendReport("h1");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Failed);
    rig.endRun("h1", "a.0.0.1", 1, EndKind::Failed);
    rig.sendReport("h1");
    rig.accept(rig.makeJob("b", 1, 1));
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
    rig.endRun("h1", "a.0.0.2", 1, EndKind::Failed);
    rig.endRun("h1", "a.0.0.3", 1, EndKind::Failed);
    rig.sendReport("h1");
    rig.accept(rig.makeJob("c", 1, 1));
    // Quarantined after four failures in a row.
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
}

// A stream of urgent jobs beyond their guarantee must not stop the same cheap runs again and again;
// the jobs of these runs must end as well.
TEST(Placement, repeatedlyStoppedRunsAreReclaimedLast)
{
    SchedulerRig rig;
    rig.scheduler.options.stopMs = 0;
    rig.addWorker("h1");
    Job background = rig.makeJob("background", 1, 8, 2);
    background.steps[0].checkpointing = true;
    rig.accept(background);
    rig.sendReport("h1");
    std::size_t stops = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "urgent" + std::to_string(i);
        Job urgent = rig.makeJob(id, 1, 1, 0);
        urgent.steps[0].estimateMs = 100;
        urgent.targetLatencyMs = 0;
        rig.accept(urgent);
        stops += rig.sendReport("h1").stops.size();
        rig.sendReport("h1");
        rig.advance(200);
        for (const ReportedRun &run : std::vector<ReportedRun>(rig.nextReports.at("h1").runs)) {
            if (run.task.find("urgent") == 0)
                rig.endRun("h1", run.task, run.run, EndKind::Done);
        }
        rig.sendReport("h1");
        rig.advance(300);
        rig.sendReport("h1");
    }
    CHECK(stops > 0);
    CHECK(stops < 12);
}
