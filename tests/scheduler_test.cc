// Guards the scheduler's decisions: a task must not run twice, must not start before its record is
// stored, and must run again once its previous run cannot be running any more.

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

TEST_GROUP(Scheduler)
{
    SchedulerRig rig;
};

TEST(Scheduler, jobRunsToItsEnd)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 2, 2));
    CHECK_EQUAL(std::string("queued"), rig.jobState("a"));
    CHECK_EQUAL(2, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    rig.sendReport("h1");
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
    rig.endRun("h1", "a.0.0.1", 1, EndKind::Done);
    rig.sendReport("h1");
    CHECK_EQUAL(std::string("completed"), rig.jobState("a"));
}

// The next leader has no record of a start that was not stored, and would start the task again.
TEST(Scheduler, startWaitsForItsRecord)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    plan(rig.scheduler, rig.now, rig.unixNow);
    CHECK_EQUAL(0, ordersFor(rig.scheduler, "h1").starts.size());
    rig.storeRecords();
    CHECK_EQUAL(1, ordersFor(rig.scheduler, "h1").starts.size());
}

// An end that is acknowledged before it is stored is lost when the leader fails, and the task is
// run again.
TEST(Scheduler, endIsAcknowledgedOnlyWhenStored)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    HostReport report = rig.nextReports.at("h1");
    report.sequence = 1000; // higher than that of any earlier report
    applyReport(rig.scheduler, report, rig.now);
    CHECK_EQUAL(0, ordersFor(rig.scheduler, "h1").acknowledgedEnd);
    rig.storeRecords();
    CHECK_EQUAL(1, ordersFor(rig.scheduler, "h1").acknowledgedEnd);
}

TEST(Scheduler, unreachableHostKeepsItsTaskUntilItsLeaseLapses)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.addWorker("h2");
    rig.advance(rig.scheduler.options.leaseMaxMs + 100);
    CHECK_EQUAL(0, rig.sendReport("h2").starts.size());
    rig.advance(1000);
    rig.sendReport("h2"); // the run is dropped now
    rig.advance(rig.scheduler.options.failureBackoffMs);
    CHECK_EQUAL(1, rig.sendReport("h2").starts.size());
}

TEST(Scheduler, restartedWorkerGetsNewRunsOnly)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    HostReport &report = rig.nextReports.at("h1");
    report.worker->bornUnixMs = 2;
    report.runs.clear();
    report.fencingToken = 0;
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size()); // not before the new token is in force
    rig.sendReport("h1");
    rig.advance(rig.scheduler.options.failureBackoffMs);
    const HostOrders orders = rig.sendReport("h1");
    CHECK_EQUAL(1, orders.starts.size());
    CHECK_EQUAL(2, orders.starts[0].run);
}

// Guards against two runs of a task at a time: a restarted worker carried out a start that was
// meant for its former incarnation.
TEST(Scheduler, taskWaitsWhileARestartedWorkerStillHasItsFormerRun)
{
    rig.addWorker("h1");
    rig.addWorker("h2");
    rig.accept(rig.makeJob("a", 1, 1));
    rig.planAndStore();
    const std::string host = rig.sendReport("h1").starts.empty() ? "h2" : "h1";
    const std::string other = host == "h1" ? "h2" : "h1";
    rig.sendReport(host);
    HostReport &report = rig.reportOf(host);
    report.worker->bornUnixMs = 2;
    report.fencingToken = 0;
    CHECK_EQUAL(1, report.runs.size());
    rig.sendReport(host); // receives the new token
    const HostOrders orders = rig.sendReport(host);
    CHECK_EQUAL(1, orders.stops.size());
    report.ends.clear(); // the stop has not been carried out
    report.runs.push_back({orders.stops[0].task, 1, RunState::Stopping, 0, "", ""});
    for (int i = 0; i < 5; ++i) {
        rig.advance(300);
        CHECK(rig.sendReport(host).starts.empty());
        CHECK(rig.sendReport(other).starts.empty());
    }
    rig.endRun(host, orders.stops[0].task, 1, EndKind::Stopped);
    rig.sendReport(host);
    rig.sendReport(other);
    CHECK_EQUAL(1, rig.runCount(host) + rig.runCount(other));
}

TEST(Scheduler, nextLeaderAdoptsRunsAndStartsNothingTwice)
{
    rig.addWorker("h1");
    rig.addWorker("h2");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.sendReport("h2");
    const std::size_t onFirst = rig.runCount("h1");
    CHECK_EQUAL(1, onFirst + rig.runCount("h2"));
    const auto before = rig.nextReports;
    rig.takeOver(2 << 20);
    rig.nextReports = before;
    for (int i = 0; i < 3; ++i) {
        CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
        CHECK_EQUAL(0, rig.sendReport("h2").starts.size());
    }
    CHECK_EQUAL(onFirst, rig.runCount("h1"));
}

TEST(Scheduler, gangIsStartedAgainOnlyWhenAllMembersHaveEnded)
{
    rig.addWorker("h1");
    rig.addWorker("h2");
    Job job = rig.makeJob("a", 2, 8);
    job.steps[0].gang = true;
    rig.accept(job);
    rig.sendReport("h1");
    rig.sendReport("h2");
    CHECK_EQUAL(1, rig.runCount("h1"));
    CHECK_EQUAL(1, rig.runCount("h2"));
    rig.endRun("h1", rig.nextReports.at("h1").runs[0].task, 1, EndKind::Failed);
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(1, rig.sendReport("h2").stops.size());
    rig.addWorker("h3");
    rig.sendReport("h2"); // reports the end of the stopped member
    for (const char *host : {"h1", "h2", "h3"})
        rig.sendReport(host);
    CHECK_EQUAL(0, rig.runCount("h1")); // not placed again on the worker where it failed
    CHECK_EQUAL(1, rig.runCount("h2"));
    CHECK_EQUAL(1, rig.runCount("h3"));
    CHECK_EQUAL(2, rig.nextReports.at("h2").runs[0].run);
    CHECK_EQUAL(2, rig.nextReports.at("h3").runs[0].run);
}

// Failures of several members in one run count as one failed attempt of the gang. The job allows
// two attempts, so it does not fail.
TEST(Scheduler, gangFailsOncePerRun)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 2, 2);
    job.steps[0].gang = true;
    rig.accept(job);
    rig.sendReport("h1");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Failed);
    rig.endRun("h1", "a.0.0.1", 1, EndKind::Failed);
    rig.sendReport("h1");
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
}

TEST(Scheduler, jobFailsAfterItsLastAttempt)
{
    rig.addWorker("h1");
    rig.addWorker("h2");
    rig.accept(rig.makeJob("a", 1, 2));
    for (std::uint32_t run = 1; run <= 2; ++run) {
        rig.sendReport("h1");
        rig.sendReport("h2");
        const std::string host = rig.runCount("h1") > 0 ? "h1" : "h2";
        rig.endRun(host, "a.0.0.0", run, EndKind::Failed);
        rig.sendReport(host);
        rig.advance(300);
    }
    CHECK_EQUAL(std::string("failed"), rig.jobState("a"));
}

// Guards against two runs of a task at a time: the former leader, which does not know yet that it
// has been replaced, extends the lease of a worker that has reported to the next one.
TEST(Scheduler, leaseOfAFormerLeaderIsWaitedForUntilTheWorkerIsFenced)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 1));
    rig.sendReport("h1");
    HostReport last = rig.nextReports.at("h1");
    last.sequence = 1000;
    rig.takeOver(2 << 20);
    applyReport(rig.scheduler, last, rig.now);
    const SchedulerOptions &options = rig.scheduler.options;
    const TimeMs leaseMs = options.leaseMaxMs * 103 / 100 + options.leaseSlackMs;
    rig.advance(leaseMs + options.maxStoreUnreachableMs);
    rig.planAndStore();
    CHECK_EQUAL(1, rig.scheduler.workers.size());
    rig.advance(1);
    rig.planAndStore();
    CHECK_EQUAL(0, rig.scheduler.workers.size());
}

// Guards against two runs of a task at a time: the lease counted from the report of a restarted
// agent that did not know its worker yet, and the leader from the last report that named it.
TEST(Scheduler, reportWithoutAWorkerExtendsNoLease)
{
    rig.addWorker("h1");
    HostReport report = rig.nextReports.at("h1");
    report.agentStart = 2;
    report.sequence = 1;
    report.worker.reset();
    rig.advance(2000);
    CHECK(applyReport(rig.scheduler, report, rig.now));
    CHECK_EQUAL(std::string(), ordersFor(rig.scheduler, "h1").workerKey);
}

// Guards against an agent whose reports are ignored until the leader changes: a report of a former
// process of the agent arrives late, after the agent was restarted twice.
TEST(Scheduler, lateReportOfAFormerAgentIsIgnored)
{
    rig.addWorker("h1");
    HostReport late = rig.nextReports.at("h1");
    late.sequence = 1000;
    for (const std::uint64_t agentStart : {2, 3}) {
        rig.reportOf("h1").agentStart = agentStart;
        rig.sendReport("h1");
    }
    CHECK(!applyReport(rig.scheduler, late, rig.now));
    HostReport next = rig.nextReports.at("h1");
    next.sequence = 1001;
    CHECK(applyReport(rig.scheduler, next, rig.now));
}

// Guards against a service that is shown as completed and does not run any more, because its tasks
// have ended with success.
TEST(Scheduler, longRunningTaskIsPlacedAgainHoweverItEnds)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 2, 2);
    job.steps[0].longRunning = true;
    rig.accept(job);
    rig.sendReport("h1");
    std::uint32_t run = 0;
    for (const EndKind how : {EndKind::Done, EndKind::Failed, EndKind::Stopped, EndKind::Done}) {
        ++run;
        rig.endRun("h1", "a.0.0.0", run, how);
        rig.endRun("h1", "a.0.0.1", run, how);
        rig.sendReport("h1");
        CHECK_EQUAL(std::string("running"), rig.jobState("a"));
        rig.advance(rig.scheduler.options.quarantineMs + 100);
        rig.sendReport("h1");
        rig.sendReport("h1");
        CHECK_EQUAL(2, rig.runCount("h1"));
    }
    rig.cancel("a");
    rig.sendReport("h1");
    rig.sendReport("h1");
    CHECK_EQUAL(0, rig.runCount("h1"));
    CHECK_EQUAL(std::string("cancelled"), rig.jobState("a"));
}

// Guards against tasks that are never started again because others of their job end, each within
// the back-off after the last.
TEST(Scheduler, tasksWaitOnlyForTheBackOffAfterTheirOwnRuns)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 8, 1);
    job.steps[0].longRunning = true;
    rig.accept(job);
    rig.sendReport("h1");
    CHECK_EQUAL(8, rig.runCount("h1"));
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    rig.sendReport("h1");
    for (int i = 1; i < 4; ++i) {
        rig.advance(rig.scheduler.options.failureBackoffMs / 2);
        rig.endRun("h1", "a.0.0." + std::to_string(i), 1, EndKind::Done);
        rig.sendReport("h1");
        rig.sendReport("h1");
        CHECK_EQUAL(6, rig.runCount("h1"));
    }
}

// Guards against work that is sent again and again to a worker that sheds load while others are
// free. Its runs that end with success show nothing about the next start.
TEST(Scheduler, workerThatWasTooBusyForAStartIsTheLastChoice)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.addWorker("h2");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    rig.nextReports.at("h1").workerBusy = true;
    rig.sendReport("h1");
    rig.nextReports.at("h1").workerBusy = false;
    rig.accept(rig.makeJob("b", 4, 2));
    rig.sendReport("h1");
    rig.sendReport("h2");
    CHECK_EQUAL(0, rig.runCount("h1"));
    CHECK_EQUAL(4, rig.runCount("h2"));
    rig.accept(rig.makeJob("c", 1, 8)); // fits only there
    rig.sendReport("h1");
    CHECK_EQUAL(1, rig.runCount("h1"));
}

// Guards against a task that waits for a worker which answers nothing, while others would start it.
TEST(Scheduler, workerThatAnswersNothingGetsNoNewWork)
{
    rig.addWorker("h1");
    rig.nextReports.at("h1").workerSilent = true;
    rig.sendReport("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    rig.nextReports.at("h1").workerSilent = false;
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
}

// Guards against a task that stays assigned for ever: its worker answers nothing, and its agent
// reports.
TEST(Scheduler, taskOfASilentWorkerIsPlacedAgainWhenItsLeasesHaveLapsed)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    CHECK_EQUAL(1, rig.runCount("h1"));
    rig.addWorker("h2");
    HostReport &report = rig.nextReports.at("h1");
    report.workerSilent = true;
    rig.sendReport("h1");
    CHECK_EQUAL(0, rig.sendReport("h2").starts.size());
    report.runs.clear();
    report.leasesLapsed = true;
    report.releasedToken = report.fencingToken;
    const std::uint64_t formerToken = report.fencingToken;
    const HostOrders orders = rig.sendReport("h1");
    CHECK(orders.starts.empty());
    CHECK(orders.fencingToken > formerToken); // the agent carries out nothing under the former one
    rig.advance(rig.scheduler.options.failureBackoffMs);
    const HostOrders next = rig.sendReport("h2");
    CHECK_EQUAL(1, next.starts.size());
    CHECK_EQUAL(2, next.starts[0].run);
}

// A run that its worker still executes, whatever the agent concluded, is stopped.
TEST(Scheduler, releasedRunThatAppearsLaterIsStopped)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    HostReport &report = rig.nextReports.at("h1");
    const std::vector<ReportedRun> runs = report.runs;
    report.workerSilent = report.leasesLapsed = true;
    report.releasedToken = report.fencingToken;
    report.runs.clear();
    rig.sendReport("h1");
    report.workerSilent = report.leasesLapsed = false;
    report.runs = runs;
    const HostOrders orders = rig.sendReport("h1");
    CHECK_EQUAL(1, orders.stops.size());
    CHECK(orders.starts.empty());
}

// Guards against a release by a report from before the worker was used again.
TEST(Scheduler, lapseUnderAnotherTokenReleasesNothing)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    HostReport &report = rig.nextReports.at("h1");
    report.leasesLapsed = true;
    report.orderedToken = report.fencingToken;
    report.releasedToken = report.fencingToken - 1;
    rig.sendReport("h1");
    CHECK_EQUAL(1, rig.scheduler.workers.begin()->second.runs.size());
}

// Guards against a task that the next leader holds as assigned for ever: the worker has not
// accepted its token.
TEST(Scheduler, nextLeaderReleasesTheTasksOfASilentWorker)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.takeOver(2 << 20);
    HostReport &report = rig.reportOf("h1");
    const auto sendLapse = [&] {
        report.workerSilent = report.leasesLapsed = true;
        const HostOrders orders = rig.sendReport("h1");
        report.fencingToken = 0; // the worker does not answer
        report.orderedToken = orders.fencingToken;
    };
    sendLapse();
    sendLapse();
    // A former leader may still be followed by an agent that is restarted.
    CHECK_EQUAL(1, rig.scheduler.workers.begin()->second.runs.size());
    rig.advance(rig.scheduler.options.maxStoreUnreachableMs + 1);
    sendLapse();
    CHECK_EQUAL(0, rig.scheduler.workers.begin()->second.runs.size());
    rig.addWorker("h2");
    rig.advance(rig.scheduler.options.failureBackoffMs);
    rig.sendReport("h2");
    CHECK_EQUAL(1, rig.runCount("h2"));
}

// Guards against a flood of reports: a report was answered at once for as long as the worker had
// not accepted the token, although the agent had received it.
TEST(Scheduler, tokenThatTheAgentHasReceivedIsNotSentAgainAtOnce)
{
    HostReport &report = rig.reportOf("h1");
    rig.sendReport("h1");
    report.fencingToken = 0; // the worker does not answer
    CHECK(hasOrders(ordersFor(rig.scheduler, "h1"), report));
    report.orderedToken = ordersFor(rig.scheduler, "h1").fencingToken;
    CHECK(!hasOrders(ordersFor(rig.scheduler, "h1"), report));
}

TEST(Scheduler, cancelledJobIsStoppedAndNotRestarted)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.cancel("a");
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
    CHECK_EQUAL(1, rig.sendReport("h1").stops.size());
    CHECK_EQUAL(std::string("cancelled"), rig.jobState("a"));
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(0, rig.runCount("h1"));
}

// Guards against a job that is shown as cancelled and later as completed: the leader had decided
// the completion, and its record was stored after the cancellation.
TEST(Scheduler, cancellationAfterADecidedCompletionIsNotShown)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    HostReport report = rig.nextReports.at("h1");
    report.sequence = 1000; // higher than that of any earlier report
    applyReport(rig.scheduler, report, rig.now);
    rig.cancel("a");
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
    rig.planAndStore();
    CHECK_EQUAL(std::string("completed"), rig.jobState("a"));
}

TEST(Scheduler, stepWaitsForTheStepsBeforeIt)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 2, 1);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};
    rig.accept(job);
    CHECK_EQUAL(2, rig.sendReport("h1").starts.size());
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    rig.endRun("h1", "a.0.0.1", 1, EndKind::Done);
    CHECK_EQUAL(2, rig.sendReport("h1").starts.size());
}

// Guards against plans that take seconds because of a backlog of occurrences, so that other entries
// take over and plan as long.
TEST(Scheduler, backlogOfOccurrencesIsPlannedInPartsThoseInTimeFirst)
{
    rig.addWorker("h1");
    rig.scheduler.options.maxWaitingOccurrences = 4;
    Job job = rig.makeJob("a", 1, 0);
    job.steps[0].need = {1000, 100, 0};
    job.steps[0].estimateMs = 1000;
    job.stretch = 1;
    job.targetLatencyMs = 1000; // each may wait for a second
    job.repeatCount = 20;
    job.intervalMs = 1000;
    job.firstRunUnixMs = rig.unixNow;
    rig.accept(job);
    rig.advance(9500); // ten are due, one of them can still meet its objective, two end late
    const auto startsOf = [this] {
        std::vector<std::uint32_t> result;
        for (const StartOrder &start : rig.sendReport("h1").starts)
            result.push_back(parseTaskName(start.task)->position.occurrence);
        std::sort(result.begin(), result.end());
        return result;
    };
    const auto first = startsOf();
    CHECK_EQUAL(4, first.size());
    CHECK_EQUAL(9, first.back());
    CHECK(std::count(first.begin(), first.end(), 0) == 0);
    CHECK_EQUAL(4, startsOf().size());
    const auto last = startsOf();
    CHECK_EQUAL(2, last.size());
    CHECK_EQUAL(0, startsOf().size());
}

TEST(Scheduler, occurrencesWaitUntilTheyAreDue)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 1, 1);
    job.repeatCount = 2;
    job.firstRunUnixMs = rig.unixNow + 500;
    job.intervalMs = 1000;
    rig.accept(job);
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    rig.advance(500);
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
    rig.advance(1000);
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
}

// A worker that reports that it is draining must get no new work.
TEST(Scheduler, drainingWorkerGetsNoWork)
{
    rig.addWorker("h1");
    rig.nextReports.at("h1").worker->draining = true;
    rig.sendReport("h1");
    rig.accept(rig.makeJob("a", 1, 1));
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
}

// A run that is being stopped still occupies its resources; starting another one on them would
// overload the worker.
TEST(Scheduler, capacityOfAStoppingRunIsNotReused)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 8));
    rig.sendReport("h1");
    rig.cancel("a");
    rig.accept(rig.makeJob("b", 1, 8));
    rig.planAndStore();
    CHECK_EQUAL(0, ordersFor(rig.scheduler, "h1").starts.size());
    rig.sendReport("h1");
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
}

// Guards against a guarantee that another organisation's urgent jobs use up: of their runs only
// those beyond their own guarantee may be stopped, and only for work within one.
TEST(Scheduler, guaranteedWorkReclaimsFromUrgentWorkBeyondAGuarantee)
{
    rig.scheduler.guarantees = {{"lots", 4}, {"other", 4}};
    rig.addWorker("h1");
    for (const std::string id : {"u1", "u2"}) {
        Job job = rig.makeJob(id, 4, 1, 0);
        job.organisation = "other";
        job.steps[0].estimateMs = 100000;
        job.acceptedUnixMs += id == "u2" ? 1 : 0;
        rig.accept(job);
    }
    CHECK_EQUAL(8, rig.sendReport("h1").starts.size());
    Job beyond = rig.makeJob("b", 8, 1, 0);
    rig.accept(beyond);
    CHECK_EQUAL(0, rig.sendReport("h1").stops.size());
    rig.cancel("b");
    rig.accept(rig.makeJob("a", 4, 1, 0));
    CHECK_EQUAL(0, rig.sendReport("h1").stops.size());
    rig.advance(rig.scheduler.options.reclaimUrgentAfterMs);
    const HostOrders orders = rig.sendReport("h1");
    CHECK_EQUAL(4, orders.stops.size());
    for (const StopOrder &stop : orders.stops)
        CHECK_EQUAL(std::string("u2"), parseTaskName(stop.task)->jobId);
    rig.sendReport("h1");
    CHECK_EQUAL(4,
                std::count_if(
                    rig.nextReports.at("h1").runs.begin(), rig.nextReports.at("h1").runs.end(),
                    [](const ReportedRun &run) { return parseTaskName(run.task)->jobId == "a"; }));
}

// Urgent work within its organisation's guarantee must not wait until work of lower priority ends.
TEST(Scheduler, guaranteedWorkReclaimsCapacity)
{
    rig.scheduler.guarantees["lots"] = 8;
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 8, 2));
    rig.sendReport("h1");
    rig.advance(3000);
    rig.accept(rig.makeJob("b", 1, 4, 0));
    CHECK_EQUAL(1, rig.sendReport("h1").stops.size());
    const HostOrders orders = rig.sendReport("h1");
    CHECK_EQUAL(1, orders.starts.size());
    CHECK_EQUAL(std::string("b.0.0.0"), orders.starts[0].task);
}

// Pattern: bursts of urgent jobs on workers that are full. Work was stopped for urgent jobs that
// could not end in time any more, and both were late.
TEST(Scheduler, urgentWorkBeyondItsGuaranteeStopsOthersOnlyWhileItCanEndInTime)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 8, 2));
    rig.sendReport("h1");
    rig.advance(1000);
    Job late = rig.makeJob("late", 1, 8, 0);
    late.acceptedUnixMs -= 7000; // it must start within 6 s for its objective
    rig.accept(late);
    CHECK_EQUAL(0, rig.sendReport("h1").stops.size());
    rig.accept(rig.makeJob("soon", 1, 8, 0));
    CHECK_EQUAL(1, rig.sendReport("h1").stops.size());
    const HostOrders orders = rig.sendReport("h1");
    CHECK_EQUAL(1, orders.starts.size());
    CHECK_EQUAL(std::string("soon.0.0.0"), orders.starts[0].task);
}

TEST(Scheduler, lateUrgentWorkWithinItsGuaranteeReclaimsCapacity)
{
    rig.scheduler.guarantees["lots"] = 8;
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 8, 2));
    rig.sendReport("h1");
    Job late = rig.makeJob("late", 1, 8, 0);
    late.acceptedUnixMs -= 7000;
    rig.accept(late);
    CHECK_EQUAL(1, rig.sendReport("h1").stops.size());
}

// A job whose result is of no use any more goes after one that can still end within three times its
// objective.
TEST(Scheduler, jobThatIsTooLateGoesLast)
{
    Job tooLate = rig.makeJob("a", 1, 8);
    tooLate.acceptedUnixMs -= 60000;
    Job late = rig.makeJob("b", 1, 8);
    late.acceptedUnixMs -= 20000;
    rig.accept(tooLate);
    rig.accept(late);
    rig.addWorker("h1");
    CHECK_EQUAL(std::string("b.0.0.0"), rig.nextReports.at("h1").runs.at(0).task);
}

// A gang that prefers one rack may run on several, only slower. When every rack holds urgent work
// that may not be stopped, a guaranteed gang has to start across racks: it waited for a rack and
// began after the time that the guarantee allows.
TEST(Scheduler, guaranteedGangStartsAcrossRacksWhenNoRackCanBeReclaimed)
{
    rig.scheduler.guarantees["lots"] = 16;
    for (const std::string rack : {"r1", "r2"}) {
        rig.addWorker(rack + "a", rack);
        Job urgent = rig.makeJob("u" + rack, 1, 8, 0);
        urgent.organisation = "other";
        rig.accept(urgent);
        rig.sendReport(rack + "a");
        rig.addWorker(rack + "b", rack);
        rig.accept(rig.makeJob("low" + rack, 1, 8, 2));
        rig.sendReport(rack + "b");
        CHECK_EQUAL(1, rig.runCount(rack + "a"));
        CHECK_EQUAL(1, rig.runCount(rack + "b"));
    }
    Job gang = rig.makeJob("gang", 2, 8, 0);
    gang.steps[0].gang = true;
    gang.steps[0].sameRack = true;
    rig.accept(gang);
    rig.advance(rig.scheduler.options.guaranteeMs);
    for (int i = 0; i < 3; ++i) {
        for (const char *host : {"r1a", "r2a", "r1b", "r2b"})
            rig.sendReport(host);
    }
    CHECK_EQUAL(1, rig.runCount("r1b"));
    CHECK_EQUAL(1, rig.runCount("r2b"));
    CHECK_EQUAL(std::string("gang.0.0.0"), rig.nextReports.at("r1b").runs.at(0).task);
    CHECK_EQUAL(std::string("gang.0.0.1"), rig.nextReports.at("r2b").runs.at(0).task);
}

TEST(Scheduler, recordsRoundTripThroughTheirEncoding)
{
    Job job = rig.makeJob("a", 3, 2);
    job.steps[0].gang = true;
    job.steps[0].requiredLabel = "kind";
    Reason reason;
    const auto decoded = decodeJob(acceptanceRecord(job).value, reason);
    CHECK(decoded.has_value());
    CHECK_EQUAL(acceptanceRecord(job).value, acceptanceRecord(*decoded).value);
    CHECK(!decodeJob("{\"steps\": 7}", reason).has_value());
    CHECK(!reason.text.empty());
}

TEST(Scheduler, progressRoundTripsThroughItsEncoding)
{
    JobProgress progress;
    progress.outcome = Outcome::Failed;
    progress.reason = "reason";
    progress.tasks.resize(5);
    progress.tasks[1] = {TaskPhase::Assigned, 1, 0, 0, "h1/w@1", ""};
    progress.tasks[2] = {TaskPhase::Stopping, 3, 2, 2, "h2/w@1", "checkpoint"};
    progress.tasks[3] = {TaskPhase::Assigned, 1, 0, 0, "h1/w@1", "checkpoint"};
    progress.tasks[4] = {TaskPhase::Waiting, 2, 1, 2, "", "checkpoint"};
    Reason reason;
    const auto decoded = decodeProgress(progressRecord("a", progress).value, reason);
    CHECK(decoded.has_value());
    CHECK(decoded->outcome == Outcome::Failed);
    STRCMP_EQUAL("reason", decoded->reason.c_str());
    CHECK_EQUAL(progress.tasks.size(), decoded->tasks.size());
    for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
        const TaskProgress &expected = progress.tasks[i];
        const TaskProgress &actual = decoded->tasks[i];
        CHECK(expected.phase == actual.phase);
        CHECK_EQUAL(expected.run, actual.run);
        CHECK_EQUAL(expected.failures, actual.failures);
        CHECK_EQUAL(expected.failedRun, actual.failedRun);
        CHECK_EQUAL(expected.worker, actual.worker);
        CHECK_EQUAL(expected.checkpoint, actual.checkpoint);
    }
}

TEST(Scheduler, progressOfTheFormerVersionIsDecoded)
{
    Reason reason;
    const auto decoded = decodeProgress(
        R"({"outcome":0,"reason":"","tasks":[[1,2,1,1,"h1/w@1","c"],[0,0,0,0,"",""]]})", reason);
    CHECK(decoded.has_value());
    CHECK_EQUAL(std::string("h1/w@1"), decoded->tasks.at(0).worker);
    CHECK_EQUAL(std::string("c"), decoded->tasks.at(0).checkpoint);
    CHECK(decoded->tasks.at(1).phase == TaskPhase::Waiting);
    CHECK(!decodeProgress(R"({"workers":["h"],"tasks":[[1,1,0,0,2]]})", reason).has_value());
}

// Pattern: wide jobs on hundreds of hosts. Every entry reads each change of a job, over a link
// that its region shares; at 75 bytes a task the link was full and orders arrived seconds late.
// Guards against a leader that stores nothing any more: the job log refuses the record of a job
// whose tasks have long checkpoints, and with it all records of the same append, again and again.
TEST(Scheduler, progressRecordLeavesOutCheckpointsThatTheLogWouldRefuse)
{
    rig.scheduler.options.maxRecordBytes = 10000;
    rig.accept(rig.makeJob("a", 100, 1));
    JobRow &row = rig.scheduler.table.jobs.at("a");
    for (std::size_t i = 0; i < row.progress.tasks.size(); ++i) {
        row.progress.tasks[i].run = 3;
        row.progress.tasks[i].checkpoint = std::string(300, i % 2 == 0 ? 'c' : '"');
    }
    row.progress.tasks[0].checkpoint = "short";
    row.progress.tasks[1].checkpoint = std::string(20000, 'c');
    row.dirty = true;
    const std::vector<Record> records = takeRecords(rig.scheduler, rig.now);
    CHECK_EQUAL(1, records.size());
    CHECK(records[0].value.size() <= rig.scheduler.options.maxRecordBytes);
    CHECK(records[0].value.size() > rig.scheduler.options.maxRecordBytes * 9 / 10);
    Reason reason;
    const auto decoded = decodeProgress(records[0].value, reason);
    CHECK(decoded.has_value());
    CHECK_EQUAL(100, decoded->tasks.size());
    CHECK_EQUAL(std::string("short"), decoded->tasks[0].checkpoint);
    CHECK(decoded->tasks[1].checkpoint.empty());
    CHECK_EQUAL(3, decoded->tasks[99].run);
    // The leader itself keeps all.
    CHECK_EQUAL(std::size_t(20000), row.progress.tasks[1].checkpoint.size());
}

TEST(Scheduler, progressRecordOfAWideJobIsSmall)
{
    JobProgress progress;
    progress.tasks.resize(470);
    for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
        TaskProgress &task = progress.tasks[i];
        task.phase = i < 200 ? TaskPhase::Done : i < 360 ? TaskPhase::Assigned : TaskPhase::Waiting;
        task.run = task.phase == TaskPhase::Waiting ? 0 : 1;
        task.worker = "side-trond-a-" + std::to_string(i / 8) + "/i-8412bfc3d3@1784478238388";
    }
    CHECK(progressRecord("a", progress).value.size() < progress.tasks.size() * 15);
}

// An acceptance of the same id that arrives seconds later must not reset the job.
TEST(Scheduler, repeatedAcceptanceChangesNothing)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(std::string("running"), rig.jobState("a"));
}

// After a power loss of all machines, a host whose worker is gone reports that it has none. Its
// tasks must be requeued at once, not only after all leases of the earlier leader must have lapsed.
TEST(Scheduler, tasksOfAHostWithoutWorkerAreRequeued)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.takeOver(2 << 20);
    HostReport empty;
    empty.host = "h1";
    empty.agentStart = 7; // the agent was restarted as well
    empty.sequence = 1;
    empty.workerGone = true;
    applyReport(rig.scheduler, empty, rig.now);
    rig.advance(rig.scheduler.options.failureBackoffMs);
    rig.addWorker("h2");
    CHECK_EQUAL(1, rig.runCount("h2"));
}

// A stalled worker answers all requests but makes no progress. A short urgent job must not wait
// seconds for it.
TEST(Scheduler, runWithoutProgressIsMovedToAnotherWorker)
{
    rig.addWorker("h1");
    rig.addWorker("h2");
    Job job = rig.makeJob("a", 1, 2, 0);
    job.steps[0].estimateMs = 1000;
    rig.accept(job);
    rig.sendReport("h1");
    rig.sendReport("h2");
    const std::string stalled = rig.runCount("h1") > 0 ? "h1" : "h2";
    const std::string healthy = stalled == "h1" ? "h2" : "h1";
    for (int i = 0; i < 4; ++i) {
        rig.sendReport(stalled);
        rig.advance(500);
    }
    rig.sendReport(stalled);
    rig.sendReport(stalled); // reports the end of the stopped run
    rig.sendReport(healthy);
    CHECK_EQUAL(0, rig.runCount(stalled));
    CHECK_EQUAL(1, rig.runCount(healthy));
}

TEST(Scheduler, runWithProgressStays)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    for (int i = 0; i < 20; ++i) {
        ++rig.nextReports.at("h1").runs[0].percent;
        CHECK_EQUAL(0, rig.sendReport("h1").stops.size());
        rig.advance(500);
    }
}

// A host that was disconnected for longer than its lease reports a run that ended with success. The
// task must not be run again.
TEST(Scheduler, successThatArrivesAfterTheLeaseCounts)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.endRun("h1", "a.0.0.0", 1, EndKind::Done);
    rig.advance(rig.scheduler.options.leaseMaxMs + 2000);
    rig.planAndStore();
    CHECK_EQUAL(0, rig.scheduler.workers.size());
    rig.nextReports.at("h1").fencingToken = 0; // the agent has not received the new token
    rig.sendReport("h1");
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(std::string("completed"), rig.jobState("a"));
}

// A worker rejects tokens below the highest one that it has accepted. If an earlier leader's tokens
// reached into its successor's range, the worker would reject the successor for ever.
TEST(Scheduler, tokensOfManyWorkersStayBelowTheNextLeaders)
{
    rig.becomeLeader(5);
    rig.scheduler.issuedTokens = 100000;
    rig.addWorker("h1");
    const std::uint64_t last = rig.scheduler.workers.begin()->second.fencingToken;
    rig.takeOver(6);
    rig.addWorker("h1");
    CHECK(rig.scheduler.workers.begin()->second.fencingToken > last);
}

// Guards against a worker that no order reaches any more. An agent that was restarted and first
// followed a wrong heartbeat uses a higher token than the one that the leader had issued to the
// worker; the worker rejects lower ones.
TEST(Scheduler, workerWithAHigherTokenThanItsOwnGetsANewOne)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.reportOf("h2").worker->id = "w-of-a-wrong-heartbeat";
    const std::uint64_t wrongToken = rig.sendReport("h2").fencingToken;
    rig.cancel("a");
    HostReport &report = rig.nextReports.at("h1");
    report.fencingToken = wrongToken + 1;
    const HostOrders orders = rig.sendReport("h1");
    CHECK(orders.fencingToken >= wrongToken + 1);
    CHECK_EQUAL(1, orders.stops.size() + rig.sendReport("h1").stops.size());
}

// As above, for a token of a later leader: a former leader must not use up its own tokens.
TEST(Scheduler, tokenOfALaterLeaderIsNotAnswered)
{
    rig.addWorker("h1");
    const std::uint64_t issued = rig.scheduler.issuedTokens;
    rig.nextReports.at("h1").fencingToken = std::uint64_t(1) << 50;
    rig.sendReport("h1");
    CHECK_EQUAL(issued, rig.scheduler.issuedTokens);
}

// While a host's reports are delayed, the leader does not learn of the progress of its runs; they
// must not be stopped as stalled.
TEST(Scheduler, missingReportsAreNotTreatedAsLackOfProgress)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 1, 2);
    job.steps[0].estimateMs = 1000;
    rig.accept(job);
    rig.sendReport("h1");
    rig.sendReport("h1");
    rig.advance(2000); // below the report timeout, above the limit for progress
    rig.planAndStore();
    CHECK_EQUAL(0, ordersFor(rig.scheduler, "h1").stops.size());
}

// Guards against an agent that ends before the job log shows that the runs of its worker have
// ended: the next leader would wait for the worker's lease.
TEST(Scheduler, endOfAWorkerIsConfirmedOnlyWhenItIsStored)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    HostReport report = rig.reportOf("h1");
    report.sequence = 1000; // higher than that of any earlier report
    report.workerGone = true;
    applyReport(rig.scheduler, report, rig.now);
    CHECK(ordersFor(rig.scheduler, "h1").storedWorkerEnd.empty());
    CHECK_FALSE(hasOrders(ordersFor(rig.scheduler, "h1"), report));
    rig.storeRecords();
    const HostOrders orders = ordersFor(rig.scheduler, "h1");
    CHECK_EQUAL(workerKey("h1", *report.worker), orders.storedWorkerEnd);
    CHECK(hasOrders(orders, report)); // the agent waits for it
    report.workerEndStored = true;
    CHECK_FALSE(hasOrders(orders, report)); // the agent knows
}

// Guards against tasks that wait for the lease of a worker that left while no entry led: its agent
// stored its end in the job log and is gone, so no report tells the next leader of it.
TEST(Scheduler, nextLeaderPlacesTheTasksOfAWorkerWhoseEndIsStored)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    const std::string key = workerKey("h1", *rig.reportOf("h1").worker);
    rig.storeWorkerEnd(key);
    rig.takeOver(2 << 20);
    rig.addWorker("h2");
    rig.advance(rig.scheduler.options.failureBackoffMs);
    CHECK_EQUAL(1, rig.sendReport("h2").starts.size());
    CHECK(rig.scheduler.table.endedWorkers.empty());
}

// Guards against two runs of a task at a time: the worker goes on and its agent reports it.
TEST(Scheduler, storedEndOfAWorkerThatReportsHasNoEffect)
{
    rig.addWorker("h1");
    Job job = rig.makeJob("a", 1, 2);
    job.steps[0].longRunning = true; // is never taken for stalled
    rig.accept(job);
    rig.sendReport("h1");
    rig.addWorker("h2");
    const std::string key = workerKey("h1", *rig.reportOf("h1").worker);
    rig.storeWorkerEnd(key);
    for (int i = 0; i < 10; ++i) {
        rig.advance(500);
        CHECK(rig.sendReport("h1").stops.empty());
        CHECK(rig.sendReport("h2").starts.empty());
    }
    CHECK(rig.scheduler.table.endedWorkers.empty()); // the record is deleted
}

// Guards against the whole lease when a worker leaves under a leader that stays and its agent's
// last report is lost.
TEST(Scheduler, storedEndOfAWorkerWhoseHostIsSilentEndsItsRuns)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.addWorker("h2");
    rig.storeWorkerEnd(workerKey("h1", *rig.reportOf("h1").worker));
    rig.advance(rig.scheduler.options.reportTimeoutMs + 1);
    rig.sendReport("h2");
    rig.advance(rig.scheduler.options.failureBackoffMs);
    CHECK_EQUAL(1, rig.sendReport("h2").starts.size());
}

// Guards against a record that outlives a leader that failed before its deletion was stored.
TEST(Scheduler, storedEndOfAWorkerIsDeletedTogetherWithTheRequeuedTasks)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    const std::string key = workerKey("h1", *rig.reportOf("h1").worker);
    rig.storeWorkerEnd(key);
    rig.takeOver(2 << 20);
    plan(rig.scheduler, rig.now, rig.unixNow);
    const std::vector<Record> records = takeRecords(rig.scheduler, rig.now);
    CHECK_EQUAL(2, records.size());
    STRCMP_EQUAL("p/a", records[0].key.c_str());
    CHECK_EQUAL(workerEndRecord(key).key, records[1].key);
    CHECK(records[1].value.empty());
}

// Guards against the whole lease for the tasks of a worker that has ended: a report that it sent
// before its end arrives after the leader has read the stored end.
TEST(Scheduler, storedEndOutweighsAReportThatArrivesLate)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.addWorker("h2");
    rig.storeWorkerEnd(workerKey("h1", *rig.reportOf("h1").worker));
    rig.planAndStore();
    rig.advance(500);
    rig.sendReport("h1"); // sent before the end
    for (int i = 0; i < 40; ++i) {
        rig.advance(100);
        rig.sendReport("h2");
    }
    CHECK_EQUAL(1, rig.runCount("h2"));
}

// Guards against reports in a tight loop: the leader answered each one at once to confirm the end
// of a worker that the agent, which was restarted, does not know.
TEST(Scheduler, endOfAWorkerIsNotConfirmedToAnAgentThatDoesNotKnowTheWorker)
{
    rig.addWorker("h1");
    rig.reportOf("h1").workerGone = true;
    rig.sendReport("h1");
    HostReport report = rig.reportOf("h1");
    report.agentStart = 2;
    report.worker.reset();
    applyReport(rig.scheduler, report, rig.now);
    rig.planAndStore();
    CHECK_FALSE(hasOrders(ordersFor(rig.scheduler, "h1"), report));
}

// Guards against a task that waits without a limit for a worker that answers polls and never the
// start: its agent repeats the start, and nothing else ends the run.
TEST(Scheduler, startThatIsNeverConfirmedIsStoppedAndPlacedElsewhere)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.addWorker("h2");
    const auto reportStarting = [this](TimeMs ms) {
        HostOrders orders;
        for (TimeMs passed = 0; passed < ms; passed += 500) {
            rig.advance(500);
            rig.reportOf("h1").runs[0].state = RunState::Starting;
            orders = rig.sendReport("h1");
            CHECK(rig.sendReport("h2").starts.empty());
        }
        return orders;
    };
    CHECK(reportStarting(rig.scheduler.options.startTimeoutMs).stops.empty());
    CHECK_EQUAL(1, reportStarting(500).stops.size());
    rig.advance(500);
    rig.sendReport("h1"); // lists the end of the run
    CHECK_EQUAL(1, rig.sendReport("h2").starts.size());
}

// Guards against a start that is given up because its host, not its worker, was silent.
TEST(Scheduler, timeWithoutReportsDoesNotCountAsAStartThatIsNotConfirmed)
{
    rig.addWorker("h1");
    rig.accept(rig.makeJob("a", 1, 2));
    rig.sendReport("h1");
    rig.reportOf("h1").runs[0].state = RunState::Starting;
    rig.sendReport("h1");
    rig.advance(rig.scheduler.options.reportTimeoutMs + rig.scheduler.options.startTimeoutMs);
    CHECK(rig.sendReport("h1").stops.empty());
}
