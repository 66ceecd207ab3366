// Guards against tasks that are held without a line in the log: an operator must see which runs the
// leader waits for, why, and until when.

#include "scheduler_rig.h"

#include "flamingo/scheduler/unconfirmed_runs.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

std::vector<std::string> linesWith(const Scheduler &scheduler, std::string_view text)
{
    std::vector<std::string> result;
    for (const std::string &line : scheduler.decisions) {
        if (line.find(text) != std::string::npos)
            result.push_back(line);
    }
    return result;
}

} // namespace

TEST_GROUP(UnconfirmedRuns)
{
    SchedulerRig rig;

    std::vector<UnconfirmedRuns> find()
    {
        return findUnconfirmedRuns(rig.scheduler, rig.now);
    }

    void startTasks(std::uint32_t count)
    {
        rig.addWorker("h1");
        rig.accept(rig.makeJob("a", count, 1));
        rig.sendReport("h1");
        rig.sendReport("h1");
    }
};

TEST(UnconfirmedRuns, confirmedRunsAreNotFound)
{
    startTasks(2);
    CHECK(find().empty());
}

TEST(UnconfirmedRuns, runsOfAWorkerThatNeverReportedAreFoundUntilTheyAreReleased)
{
    startTasks(2);
    rig.takeOver(2 << 20);
    rig.advance(1000);
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::WorkerNotReported);
    CHECK_EQUAL(2, groups[0].runs);
    STRCMP_EQUAL("a.0.0.0", groups[0].firstTask.c_str());
    rig.advance(*groups[0].releaseInMs);
    rig.planAndStore();
    CHECK_EQUAL(1, find().size());
    rig.advance(1);
    rig.planAndStore();
    CHECK(find().empty());
}

TEST(UnconfirmedRuns, runsOfASilentHostAreFoundUntilItsLeaseHasLapsed)
{
    startTasks(1);
    rig.advance(rig.scheduler.options.reportTimeoutMs);
    CHECK(find().empty());
    rig.advance(1);
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::HostSilent);
    rig.advance(*groups[0].releaseInMs + 1);
    rig.planAndStore();
    CHECK(find().empty());
}

TEST(UnconfirmedRuns, startThatIsNotListedIsFound)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 1));
    rig.sendReport("h1");
    rig.reportOf("h1").runs.clear();
    rig.sendReport("h1");
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::StartNotConfirmed);
    CHECK_FALSE(groups[0].releaseInMs.has_value());
}

TEST(UnconfirmedRuns, runsOfAWorkerThatDoesNotAcceptTheTokenAreFound)
{
    startTasks(1);
    const HostReport former = rig.reportOf("h1");
    rig.takeOver(2 << 20);
    rig.nextReports["h1"] = former; // still under the former leader's token
    rig.sendReport("h1");
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::WorkerNotFenced);
}

TEST(UnconfirmedRuns, stopThatIsNotCarriedOutIsFound)
{
    startTasks(1);
    rig.cancel("a");
    HostReport report = rig.reportOf("h1");
    rig.planAndStore();
    report.sequence = 1000; // newer than any earlier report
    applyReport(rig.scheduler, report, rig.now);
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::StopNotConfirmed);
}

// Guards against a task that is held without a line while its worker, too busy for the start, does
// not accept the stop either.
TEST(UnconfirmedRuns, stopOfARefusedStartIsFound)
{
    startTasks(1);
    rig.reportOf("h1").runs[0].state = RunState::Stopping;
    rig.sendReport("h1");
    const auto groups = find();
    CHECK_EQUAL(1, groups.size());
    CHECK(groups[0].cause == UnconfirmedCause::StopNotConfirmed);
}

TEST(UnconfirmedRuns, groupIsLoggedAfterASecondAndThenEveryFewSeconds)
{
    startTasks(1);
    rig.takeOver(2 << 20);
    rig.scheduler.decisions.clear();
    for (int i = 0; i < 120; ++i) {
        rig.advance(100);
        rig.planAndStore();
    }
    const auto lines = linesWith(rig.scheduler, "event=runs_unconfirmed");
    CHECK_EQUAL(3, lines.size());
    STRCMP_CONTAINS("cause=\"its worker has not reported to this leader\" runs=1 "
                    "first_task=a.0.0.0 release_in_ms=",
                    lines[0].c_str());
}

TEST(UnconfirmedRuns, numberOfLinesIsLimited)
{
    const std::size_t workers = rig.scheduler.unconfirmed.maxLines + 5;
    rig.accept(rig.makeJob("a", std::uint32_t(8 * workers), 1));
    for (std::size_t i = 0; i < workers; ++i)
        rig.addWorker("h" + std::to_string(i));
    rig.planAndStore();
    rig.takeOver(2 << 20);
    rig.scheduler.decisions.clear();
    for (int i = 0; i < 20; ++i) {
        rig.advance(100);
        rig.planAndStore();
    }
    CHECK_EQUAL(rig.scheduler.unconfirmed.maxLines + 1,
                linesWith(rig.scheduler, "event=runs_unconfirmed").size());
    CHECK_EQUAL(1, linesWith(rig.scheduler, "left_out=5 runs=40").size());
}
