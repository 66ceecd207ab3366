// Guards against stopping runs that are not stalled. A gang's members end together, so a member on
// a fast worker stays at 100% until the slowest one is done; taking that for a stall broke the
// gang, quarantined its workers and ran it again to the same point, up to five times.
//
// Pattern: gangs on workers of speeds 0.8 to 1.25 on a calm day; stalled workers, frozen agents,
// slow workers and estimates that are off by 90% on others.

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

constexpr TimeMs reportEveryMs = 600;

// A worker whose runs advance by its speed. Each host h0, h1, ... executes one member of the job.
struct SimulatedHost
{
    double speed = 1; // 0: stalled
    TimeMs startAt = 0; // its member begins this long after the others
    double percent = 0;
    bool agentFrozen = false; // its reports are not sent
};

} // namespace

TEST_GROUP(StalledRuns)
{
    SchedulerRig rig;
    std::vector<SimulatedHost> hosts;
    TimeMs taskMs = 10000;
    std::size_t stops = 0;

    static std::string name(std::size_t host)
    {
        return "h" + std::to_string(host);
    }

    // Places one task on each host.
    void start(const std::vector<double> &speeds, bool gang, TimeMs estimateMs = 10000)
    {
        for (std::size_t i = 0; i < speeds.size(); ++i) {
            this->hosts.push_back({speeds[i]});
            rig.addWorker(name(i));
        }
        Job job = rig.makeJob("a", static_cast<std::uint32_t>(speeds.size()), 8);
        job.steps[0].gang = gang;
        job.steps[0].estimateMs = estimateMs;
        rig.accept(job);
        rig.planAndStore();
        for (std::size_t i = 0; i < speeds.size(); ++i)
            this->report(i);
    }

    // The member on h2 is still being started, so none of them works.
    void startGangWithALateMember()
    {
        this->start({0, 0, 0}, true);
        rig.nextReports.at("h2").runs[0].state = RunState::Starting;
    }

    void report(std::size_t host)
    {
        HostReport &report = rig.nextReports.at(name(host));
        for (ReportedRun &run : report.runs)
            run.percent = static_cast<std::int64_t>(std::min(100.0, this->hosts[host].percent));
        this->stops += rig.sendReport(name(host)).stops.size();
    }

    // Lets `ms` pass, in which the members of a gang advance once all of them have begun.
    void pass(TimeMs ms)
    {
        for (TimeMs passed = 0; passed < ms; passed += reportEveryMs) {
            rig.advance(reportEveryMs);
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                SimulatedHost &host = this->hosts[i];
                host.percent += host.speed * 100 * double(reportEveryMs) / double(this->taskMs);
                if (!host.agentFrozen)
                    this->report(i);
            }
        }
    }

    bool quarantined(std::size_t host)
    {
        for (const auto &[key, worker] : rig.scheduler.workers) {
            if (worker.host == name(host))
                return rig.now < worker.quarantinedUntil;
        }
        return false;
    }
};

TEST(StalledRuns, fastMembersOfAGangWaitForTheSlowest)
{
    start({0.8, 1.0, 1.25, 1.25}, true);
    pass(taskMs * 5 / 4);
    CHECK(hosts[0].percent >= 100);
    CHECK_EQUAL(0, stops);
}

TEST(StalledRuns, onlyTheWorkerOfTheStalledMemberIsQuarantined)
{
    start({0.8, 1.0, 1.25, 1.25}, true);
    pass(4200);
    hosts[1].speed = 0;
    pass(4200);
    CHECK(stops > 0);
    CHECK_FALSE(quarantined(0));
    CHECK(quarantined(1));
    CHECK_FALSE(quarantined(2));
    CHECK_FALSE(quarantined(3));
}

TEST(StalledRuns, memberThatStallsWhileOthersAreCompleteIsFound)
{
    start({0.8, 1.25, 1.25}, true);
    pass(9000);
    CHECK_EQUAL(0, stops);
    hosts[0].speed = 0; // at 72%
    pass(4200);
    CHECK(stops > 0);
    CHECK(quarantined(0));
    CHECK_FALSE(quarantined(1));
}

TEST(StalledRuns, runOutsideAGangThatStallsIsStopped)
{
    start({1.0, 1.0}, false);
    pass(3000);
    hosts[0].speed = 0;
    pass(3600);
    CHECK(stops > 0);
    CHECK(quarantined(0));
    CHECK_FALSE(quarantined(1));
}

// The workers report one after the other, so one member is seen to stand still first. Nothing shows
// which of the workers has caused it.
TEST(StalledRuns, gangThatStandsStillAsAWholeQuarantinesNoWorker)
{
    start({1.0, 1.0, 1.0}, true);
    pass(3000);
    for (SimulatedHost &host : hosts)
        host.speed = 0;
    pass(3600);
    CHECK(stops > 0);
    for (std::size_t i = 0; i < hosts.size(); ++i)
        CHECK_FALSE(quarantined(i));
}

// The last member reaches 100% between two lists, and the ends are listed after that.
TEST(StalledRuns, gangWhoseLastMemberHasJustCompletedIsNotStopped)
{
    start({0.5, 1.25, 1.25}, true);
    pass(20400);
    CHECK(hosts[0].percent >= 100);
    CHECK_EQUAL(0, stops);
}

// A gang begins to work when its last member has started.
TEST(StalledRuns, membersThatWaitForALateMemberAreNotStopped)
{
    startGangWithALateMember();
    pass(4800);
    CHECK_EQUAL(0, stops);
    rig.nextReports.at("h2").runs[0].state = RunState::Running;
    for (SimulatedHost &host : hosts)
        host.speed = 1;
    pass(6000);
    CHECK_EQUAL(0, stops);
}

// A gang that resumes shows the percentage of its checkpoint before it begins to work.
TEST(StalledRuns, resumedMembersThatWaitForALateMemberAreNotStopped)
{
    startGangWithALateMember();
    for (SimulatedHost &host : hosts)
        host.percent = 40;
    pass(4800);
    CHECK_EQUAL(0, stops);
}

// The first report after a freeze was made before it: it is new to the leader, but shows the
// progress of several seconds ago.
TEST(StalledRuns, reportThatWasDelayedShowsNoStall)
{
    start({1.0, 1.0}, true);
    pass(3000);
    hosts[0].agentFrozen = true;
    HostReport &delayed = rig.nextReports.at("h0");
    const std::int64_t percentBefore = delayed.runs[0].percent;
    const std::int64_t clockBefore = delayed.listClockMs;
    pass(3600);
    hosts[0].agentFrozen = false;
    HostReport old = delayed;
    old.sequence = ++rig.reportCount;
    old.runs[0].percent = percentBefore;
    old.listClockMs = clockBefore;
    applyReport(rig.scheduler, old, rig.now);
    rig.planAndStore();
    pass(1200);
    CHECK_EQUAL(0, stops);
    CHECK_FALSE(quarantined(0));
}

// Seven times slower than usual and far from its data, a task takes seconds for one percent.
TEST(StalledRuns, slowRunWithAnEstimateThatIsFarTooLowIsNotStopped)
{
    start({1.0, 1.0}, false, 1000);
    taskMs = 90000; // 0.9 s for one percent
    pass(20000);
    hosts[0].speed = 0.4; // 2.25 s for one percent
    pass(20000);
    CHECK_EQUAL(0, stops);
}

// Guards against a task that never ends, because each of its runs is stopped before it can show
// that it advances: it takes more than a hundred times as long as a run may stand still.
TEST(StalledRuns, taskThatIsStoppedBeforeItsFirstPercentGetsMoreTime)
{
    start({1}, false, 8500);
    taskMs = 400000;
    std::size_t stopsBefore = 0;
    for (int i = 0; i < 30 && stops < 3; ++i) {
        pass(2000);
        if (stops == stopsBefore)
            continue;
        stopsBefore = stops;
        hosts[0].percent = 0;
        rig.advance(rig.scheduler.options.quarantineMs);
    }
    CHECK_EQUAL(1, stops);
    CHECK(hosts[0].percent > 1);
}

TEST(StalledRuns, runThatRestoresACheckpointIsNotStopped)
{
    rig.scheduler.options.stall.restoreMs = 3000;
    start({1.0}, false, 1000);
    pass(3000);
    rig.endRun("h0", "a.0.0.0", 1, EndKind::Failed, "checkpoint");
    hosts[0].speed = 0;
    rig.addWorker("h1");
    hosts.push_back({0});
    pass(1200);
    CHECK_EQUAL(1, rig.runCount("h0") + rig.runCount("h1"));
    pass(3000);
    CHECK_EQUAL(0, stops);
}

// A run of which only the start was answered has made no progress that could be compared.
TEST(StalledRuns, runThatIsNotListedYetIsNotStopped)
{
    start({0}, false, 1000);
    for (int i = 0; i < 10; ++i) {
        rig.advance(reportEveryMs);
        rig.nextReports.at("h0").runs[0].percent = unknownPercent;
        stops += rig.sendReport("h0").stops.size();
    }
    CHECK_EQUAL(0, stops);
}
