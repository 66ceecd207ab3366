// Learned run times, each test with the load that it answers, and what the planner makes of them.

#include "flamingo/scheduler/run_times.h"
#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

Job jobOf(const std::string &queue, TimeMs estimateMs, std::uint32_t count = 1)
{
    Job job;
    job.id = "j";
    job.queue = queue;
    Step step;
    step.count = count;
    step.need = {1000, 1000, 1};
    step.estimateMs = estimateMs;
    job.steps.push_back(step);
    return job;
}

void finishRuns(RunTimes &times, const Job &job, TimeMs ms, int count)
{
    for (int i = 0; i < count; ++i)
        recordFinishedRun(times, job, 0, ms);
}

TimeMs expectedMs(const RunTimes &times, const Job &job)
{
    return expectedRunTime(times, job, 0).ms;
}

// True when `ms` is within a factor of `tolerance` of `usual`.
bool isNear(TimeMs ms, TimeMs usual, double tolerance = 1.25)
{
    return double(ms) <= double(usual) * tolerance && double(ms) >= double(usual) / tolerance;
}

// Runs whose times vary by a third around `medianMs`, from callers whose estimates are off by up to
// a factor of four either way.
void finishWithRoughEstimates(RunTimes &times, const std::string &queue, TimeMs medianMs, int count)
{
    Random random(7);
    std::normal_distribution<double> spread(0, 0.3);
    std::uniform_real_distribution<double> error(std::log(0.25), std::log(4));
    for (int i = 0; i < count; ++i) {
        const double ms = double(medianMs) * std::exp(spread(random));
        recordFinishedRun(times, jobOf(queue, TimeMs(ms * std::exp(error(random)))), 0, TimeMs(ms));
    }
}

} // namespace

TEST_GROUP(RunTimes){};

TEST(RunTimes, estimateServesUntilEnoughRunsHaveFinished)
{
    RunTimes times;
    const Job job = jobOf("q", 1000);
    finishRuns(times, job, 4000, 3);
    LONGS_EQUAL(1000, expectedMs(times, job));
    CHECK(!expectedRunTime(times, job, 0).learned);
    finishRuns(times, job, 4000, 3);
    CHECK(expectedRunTime(times, job, 0).learned);
    CHECK(isNear(expectedMs(times, job), 4000));
}

// Estimates of 1 s for runs of 2 to 8 s that are four times the estimate each.
TEST(RunTimes, biasOfAnInformativeEstimateIsCorrected)
{
    RunTimes times;
    for (int i = 0; i < 20; ++i) {
        finishRuns(times, jobOf("q", 500), 2000, 1);
        finishRuns(times, jobOf("q", 2000), 8000, 1);
    }
    CHECK(isNear(expectedMs(times, jobOf("q", 500)), 2000));
    CHECK(isNear(expectedMs(times, jobOf("q", 2000)), 8000));
}

// Estimates that say nothing, for runs that are alike.
TEST(RunTimes, historyOutweighsEstimatesThatSayNothing)
{
    RunTimes times;
    finishWithRoughEstimates(times, "q", 3000, 40);
    CHECK(isNear(expectedMs(times, jobOf("q", 3000)), 3000, 1.4));
    CHECK(isNear(expectedMs(times, jobOf("q", 750)), 3000, 1.7));
    CHECK(isNear(expectedMs(times, jobOf("q", 12000)), 3000, 1.7));
    CHECK(times.expectationErrorSum < 0.7 * times.estimateErrorSum);
}

// A caller who states a hundredth of the time does not appear much shorter than the others.
TEST(RunTimes, callerWhoLiesGainsLittle)
{
    RunTimes times;
    finishWithRoughEstimates(times, "q", 3000, 40);
    CHECK(expectedMs(times, jobOf("q", 30)) * 2 > expectedMs(times, jobOf("q", 3000)));
    CHECK(expectedMs(times, jobOf("q", 300000)) < 2 * expectedMs(times, jobOf("q", 3000)));
}

TEST(RunTimes, queueWhoseWorkChangesIsFollowedWithinThirtySteps)
{
    RunTimes times;
    const Job job = jobOf("q", 1000);
    finishRuns(times, job, 1000, 200);
    finishRuns(times, job, 8000, 30);
    CHECK(isNear(expectedMs(times, job), 8000));
}

// Three of a hundred runs take seven times as long.
TEST(RunTimes, tailHardlyChangesTheExpectationAndExtendsOldRuns)
{
    RunTimes times;
    const Job job = jobOf("q", 1000);
    for (int i = 0; i < 300; ++i)
        finishRuns(times, job, i % 33 == 5 ? 7000 : 1000, 1);
    CHECK(isNear(expectedMs(times, job), 1000));
    CHECK(*expectedRemainingMs(times, job, 0, 300) < 1500);
    // What has passed the usual time belongs to the tail.
    CHECK(*expectedRemainingMs(times, job, 0, 2500) > 2000);
    CHECK(*expectedRemainingMs(times, job, 0, 60000) >= 30000);
}

TEST(RunTimes, wideStepCountsAsOneObservation)
{
    RunTimes times;
    finishRuns(times, jobOf("q", 1000), 1000, 10);
    const Job wide = jobOf("q", 1000, 200);
    finishRuns(times, wide, 9000, 200);
    CHECK(isNear(expectedMs(times, jobOf("q", 1000)), 1000, 1.5));
}

// Stopping what runs long must not make the kind look short.
TEST(RunTimes, runsThatAreStoppedCountAsAtLeastTheirAge)
{
    RunTimes times;
    const Job job = jobOf("q", 1000);
    finishRuns(times, job, 1000, 10);
    const TimeMs before = expectedMs(times, job);
    for (int i = 0; i < 5; ++i)
        recordUnfinishedRun(times, job, 0, 200);
    LONGS_EQUAL(before, expectedMs(times, job));
    for (int i = 0; i < 5; ++i)
        recordUnfinishedRun(times, job, 0, 6000);
    CHECK(expectedMs(times, job) > before);
}

TEST(RunTimes, memoryIsBoundedWithTenThousandKinds)
{
    RunTimes times;
    finishRuns(times, jobOf("first", 1000), 1000, 10);
    for (int i = 0; i < 10000; ++i)
        finishRuns(times, jobOf("q" + std::to_string(i), 1000), 4000, 1);
    CHECK(times.kinds.size() <= times.options.maxKinds);
    LONGS_EQUAL(1000, expectedMs(times, jobOf("first", 1000))); // forgotten: the estimate serves
    const auto record = takeRunTimesRecord(times, 0);
    CHECK(record->size() < 16384);
}

TEST(RunTimes, nothingIsLearnedWhenDisabled)
{
    RunTimes times;
    times.options.enabled = false;
    const Job job = jobOf("q", 1000);
    finishRuns(times, job, 4000, 50);
    LONGS_EQUAL(1000, expectedMs(times, job));
    CHECK(!expectedRemainingMs(times, job, 0, 100));
    CHECK(!takeRunTimesRecord(times, 0));
}

TEST(RunTimes, recordRestoresWhatWasLearned)
{
    RunTimes times;
    finishWithRoughEstimates(times, "q", 3000, 40);
    const auto record = takeRunTimesRecord(times, 1000);
    CHECK(record.has_value());
    finishRuns(times, jobOf("q", 1000), 3000, 1);
    CHECK(!takeRunTimesRecord(times, 2000)); // too soon
    CHECK(takeRunTimesRecord(times, 6000).has_value());
    RunTimes other;
    Reason reason;
    CHECK(applyRunTimesRecord(other, *record, reason));
    CHECK(isNear(expectedMs(other, jobOf("q", 750)), expectedMs(times, jobOf("q", 750)), 1.2));
    CHECK(!takeRunTimesRecord(other, 0)); // nothing new
}

TEST(RunTimes, recordThatCannotBeReadChangesNothing)
{
    RunTimes times;
    finishWithRoughEstimates(times, "q", 3000, 40);
    const TimeMs before = expectedMs(times, jobOf("q", 1000));
    for (const char *text :
         {"", "{", "[]", R"({"version":2,"kinds":[]})", R"({"version":1})",
          R"({"version":1,"kinds":[{"key":"q/0","weight":0}]})",
          R"({"version":1,"kinds":[{"key":"q/0","weight":1e99}]})",
          R"({"version":1,"kinds":[{"key":7,"weight":1}]})",
          R"({"version":1,"kinds":[{"key":"q/0","weight":5,"runs":"x"}]})",
          R"({"version":1,"kinds":[{"key":"q/0","weight":5,"ratios":[1,"x"]}]})"}) {
        Reason reason;
        CHECK(!applyRunTimesRecord(times, text, reason));
        CHECK(!reason.text.empty());
        LONGS_EQUAL(before, expectedMs(times, jobOf("q", 1000)));
    }
}

TEST(RunTimes, anyRecordThatIsReadGivesUsableExpectations)
{
    Random random(3);
    for (int round = 0; round < 500; ++round) {
        const auto number = [&random] {
            return std::to_string(std::uniform_real_distribution<double>(-60, 60)(random));
        };
        const std::string weight =
            std::to_string(std::exp(std::uniform_real_distribution<double>(-5, 8)(random)));
        std::string text = R"({"version":1,"kinds":[{"key":"q/0","weight":)";
        text.append(weight).append(R"(,"runs":)").append(number());
        text.append(R"(,"runSquares":)").append(weight).append(R"(,"biases":)").append(number());
        text.append(R"(,"biasSquares":0,"ratios":[0,1,)").append(weight).append("]}]}");
        RunTimes times;
        Reason reason;
        if (!applyRunTimesRecord(times, text, reason))
            continue;
        CHECK(expectedMs(times, jobOf("q", 1000)) >= 1);
        CHECK(expectedRemainingMs(times, jobOf("q", 1000), 0, 500).value_or(0) >= 0);
    }
}

// An urgent queue whose estimates are far too short: by its estimates a job that waits is soon too
// late to stop others, although its objective follows its real work and it is still in time.
TEST(RunTimes, jobThatIsStillInTimeIsNotGivenUp)
{
    for (const bool learn : {false, true}) {
        SchedulerRig rig;
        rig.scheduler.options.runTimes.enabled = learn;
        rig.becomeLeader(1 << 21);
        rig.addWorker("h1");
        Job urgent = rig.makeJob("urgent", 1, 8, 0);
        urgent.queue = "urgent";
        urgent.steps[0].estimateMs = 300;
        urgent.stretch = 1.5;
        urgent.targetLatencyMs = 400;
        finishRuns(rig.scheduler.table.runTimes, urgent, 6000, 20);
        rig.accept(rig.makeJob("batch", 8, 1, 2));
        rig.sendReport("h1");
        rig.advance(500);
        rig.accept(urgent);
        rig.advance(1200);
        rig.sendReport("h1");
        rig.advance(100);
        for (int i = 0; i < 3; ++i)
            rig.sendReport("h1");
        const bool started = rig.jobState("urgent") == "running";
        CHECK_EQUAL(learn, started);
    }
}

TEST(RunTimes, newLeaderKnowsWhatTheFormerOneLearned)
{
    SchedulerRig rig;
    rig.addWorker("h1");
    for (int i = 0; i < 10; ++i) {
        const std::string id = "j" + std::to_string(i);
        Job job = rig.makeJob(id, 1, 1);
        job.steps[0].estimateMs = 100;
        rig.accept(job);
        rig.sendReport("h1");
        rig.advance(3000);
        rig.endRun("h1", id + ".0.0.0", 1, EndKind::Done);
        rig.sendReport("h1");
    }
    const Job next = rig.makeJob("next", 1, 1);
    CHECK(isNear(expectedRunTime(rig.scheduler.table.runTimes, next, 0).ms, 3000, 1.5));
    rig.takeOver(1 << 22);
    CHECK(expectedRunTime(rig.scheduler.table.runTimes, next, 0).learned);
    // Another entry has only the records.
    JobTable table;
    Reason reason;
    RunTimes copy = rig.scheduler.table.runTimes;
    copy.storedUpdates = 0;
    copy.storedAt.reset();
    CHECK(applyRecord(table, runTimesKey, *takeRunTimesRecord(copy, 0), false, reason));
    CHECK(expectedRunTime(table.runTimes, next, 0).learned);
}
