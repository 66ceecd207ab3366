// Tests of the host speed estimate. An urgent job placed on a slow host misses its objective,
// because its slack is half of its run time. They guard against comparing tasks of different steps,
// and against a temporary disturbance that lowers a host's estimate permanently.

#include "flamingo/scheduler/host_speed.h"

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

TEST_GROUP(HostSpeed)
{
    HostSpeeds speeds;

    void recordStep(const std::vector<TaskDuration> &durations, TimeMs now)
    {
        recordStepDurations(speeds, durations, now);
    }
};

TEST(HostSpeed, slowHostIsDetectedAndOthersStayNearOne)
{
    for (const TimeMs usualMs : {1000, 2000, 3000, 4000, 5000})
        this->recordStep({{"a", usualMs}, {"b", usualMs}, {"slow", usualMs * 13 / 10}}, 1000);
    CHECK(slowness(speeds, "slow", 1000) > 1.1);
    CHECK(slowness(speeds, "slow", 1000) < 1.3);
    CHECK(slowness(speeds, "a", 1000) < 1.02);
    CHECK(slowness(speeds, "a", 1000) > 0.85);
    DOUBLES_EQUAL(1, slowness(speeds, "unknown", 1000), 0);
}

TEST(HostSpeed, stepOnOneHostIsIgnored)
{
    this->recordStep({{"a", 1000}, {"a", 9000}}, 1000);
    DOUBLES_EQUAL(1, slowness(speeds, "a", 1000), 0);
    this->recordStep({}, 1000);
}

TEST(HostSpeed, ratioOfOneOutlierIsClamped)
{
    this->recordStep({{"a", 1000}, {"b", 50000}}, 1000);
    CHECK(slowness(speeds, "b", 1000) < speeds.options.maxRatio / 2);
}

TEST(HostSpeed, recordedRatiosDecay)
{
    this->recordStep({{"a", 1000}, {"b", 3000}}, 1000);
    const double before = slowness(speeds, "b", 1000);
    const double after = slowness(speeds, "b", 1000 + 60000);
    CHECK(before > 1.1);
    CHECK(after < 1.05);
}

// Six tasks run on three hosts, one of which takes 50% longer. The next urgent job must go to the
// other hosts, although the slow one would be packed more tightly.
TEST(HostSpeed, urgentJobAvoidsTheSlowHost)
{
    SchedulerRig rig;
    for (const std::string host : {"h1", "h2", "h3"})
        rig.addWorker(host);
    for (int round = 0; round < 4; ++round) {
        const std::string id = "batch" + std::to_string(round);
        rig.accept(rig.makeJob(id, 6, 4));
        for (const std::string host : {"h1", "h2", "h3"})
            rig.sendReport(host);
        for (const std::string host : {"h1", "h2", "h3"})
            rig.sendReport(host);
        rig.advance(1000);
        const auto finish = [&](const std::string &host) {
            const std::vector<ReportedRun> runs = rig.nextReports.at(host).runs;
            for (const ReportedRun &run : runs)
                rig.endRun(host, run.task, run.run, EndKind::Done);
            rig.sendReport(host);
        };
        finish("h1");
        finish("h3");
        rig.advance(500);
        finish("h2");
        rig.sendReport("h2");
        STRCMP_EQUAL("completed", rig.jobState(id).c_str());
    }
    rig.accept(rig.makeJob("filler", 1, 2));
    for (const std::string host : {"h1", "h2", "h3"})
        rig.sendReport(host);
    rig.accept(rig.makeJob("urgent", 3, 4, 0));
    for (const std::string host : {"h1", "h2", "h3"})
        rig.sendReport(host);
    CHECK_EQUAL(0, rig.runCount("h2"));
}
