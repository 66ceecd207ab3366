// Tests how long accepted work waits for others: behind reservations, and for a preferred rack.

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

// Workers of eight accelerators, five in a rack, on which a run advances by a percentage of its own
// each 100 ms and ends at 100.
struct Cluster
{
    SchedulerRig rig;
    std::vector<std::string> hosts;
    std::map<std::string, double> pace; // percent in 100 ms, by job
    std::map<std::string, double> percent; // by task

    explicit Cluster(int size)
    {
        for (int i = 0; i < size; ++i) {
            this->hosts.push_back("h" + std::to_string(i));
            this->rig.addWorker(this->hosts.back(), "r" + std::to_string(i / 5));
        }
    }

    // Accepts a job of `count` tasks that run for `runMs`; its estimate is `estimateMs`.
    Job &accept(Job job, TimeMs estimateMs, TimeMs runMs)
    {
        job.steps[0].estimateMs = estimateMs;
        this->rig.accept(job);
        this->pace[job.id] = 100.0 * 100.0 / double(runMs);
        return *this->rig.scheduler.table.jobs.at(job.id).job;
    }

    Job gang(const std::string &id, std::uint32_t count)
    {
        Job job = this->rig.makeJob(id, count, 8);
        job.steps[0].gang = true;
        return job;
    }

    void advanceRuns(const std::string &host)
    {
        const std::vector<ReportedRun> runs = this->rig.nextReports.at(host).runs;
        for (const ReportedRun &run : runs) {
            double &percent = this->percent[run.task + "#" + std::to_string(run.run)];
            percent += this->pace.at(parseTaskName(run.task)->jobId);
            if (percent < 100)
                continue;
            this->rig.endRun(host, run.task, run.run, EndKind::Done);
        }
        for (ReportedRun &run : this->rig.nextReports.at(host).runs)
            run.percent =
                static_cast<std::int64_t>(this->percent[run.task + "#" + std::to_string(run.run)]);
    }

    void advance(TimeMs ms)
    {
        for (TimeMs passed = 0; passed < ms; passed += 100) {
            this->rig.advance(100);
            for (const std::string &host : this->hosts) {
                this->advanceRuns(host);
                this->rig.sendReport(host);
            }
        }
    }

    // Replaces the kind of the host's worker.
    void label(const std::string &host, const std::string &kind)
    {
        this->rig.nextReports.at(host).worker->labels.front() = kind;
        this->rig.sendReport(host);
    }

    void quarantine(const std::string &host)
    {
        for (auto &[key, worker] : this->rig.scheduler.workers) {
            if (worker.host == host)
                worker.quarantinedUntil = this->rig.now + this->rig.scheduler.options.quarantineMs;
        }
    }

    // Name of the host on which the task runs; empty: none.
    std::string hostOf(const std::string &task)
    {
        for (const std::string &host : this->hosts) {
            for (const ReportedRun &run : this->rig.nextReports.at(host).runs) {
                if (run.task == task)
                    return host;
            }
        }
        return "";
    }

    // Number of the job's tasks that run now.
    std::size_t runCount(const std::string &jobId)
    {
        std::size_t result = 0;
        for (const std::string &host : this->hosts) {
            for (const ReportedRun &run : this->rig.nextReports.at(host).runs)
                result += parseTaskName(run.task)->jobId == jobId ? 1 : 0;
        }
        return result;
    }
};

} // namespace

TEST_GROUP(Reservation){};

// Guards against accepted work that is not started although it fits twice over and more than half
// of the capacity is idle: a wider gang reserves the idle workers, while the runs that it waits for
// take far longer than estimated.
TEST(Reservation, gangThatFitsDoesNotWaitForAWiderOne)
{
    Cluster cluster(12);
    cluster.accept(cluster.gang("running", 5), 5000, 40000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 8), 5000, 5000);
    cluster.advance(100);
    cluster.accept(cluster.gang("small", 2), 5000, 5000);
    cluster.advance(3000);
    CHECK_EQUAL(5, cluster.runCount("running"));
    CHECK_EQUAL(0, cluster.runCount("wide"));
    CHECK_EQUAL(2, cluster.runCount("small"));
}

// Guards against accepted work that is not started although it fits: the rack of its data is busy
// for longer than estimated, and the others are idle.
TEST(Reservation, gangDoesNotWaitForItsRackLongerThanItLosesElsewhere)
{
    Cluster cluster(10);
    Job running = cluster.gang("running", 5);
    running.steps[0].dataRack = "r0";
    cluster.accept(running, 4000, 60000);
    cluster.advance(1000);
    Job gang = cluster.gang("gang", 2);
    gang.steps[0].dataRack = "r0";
    cluster.accept(gang, 4000, 4000);
    cluster.advance(7500); // the runs take 12 s elsewhere, 8 s longer
    CHECK_EQUAL(0, cluster.runCount("gang"));
    cluster.advance(1000);
    CHECK_EQUAL(2, cluster.runCount("gang"));
}

// Guards the pattern of small gangs that arrive all the time and would fill each gap.
TEST(Reservation, wideGangStartsAmongAStreamOfSmallOnes)
{
    Cluster cluster(12);
    const auto acceptSmall = [&cluster](int number) {
        cluster.accept(cluster.gang("small" + std::to_string(number), 2), 4000, 4000);
    };
    for (int i = 0; i < 6; ++i) {
        acceptSmall(i);
        cluster.advance(600);
    }
    cluster.accept(cluster.gang("wide", 8), 4000, 4000);
    TimeMs waited = 0;
    for (int i = 6; cluster.runCount("wide") == 0 && waited < 60000; ++i) {
        acceptSmall(i);
        cluster.advance(600);
        waited += 600;
    }
    CHECK_COMPARE(waited, <=, 16000);
}

// Tasks that end before the reserved capacity is complete delay nobody.
TEST(Reservation, shortTasksFillAReservationThatTheyDoNotDelay)
{
    Cluster cluster(4);
    cluster.accept(cluster.gang("running", 2), 6000, 6000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 4), 6000, 6000);
    Job shortJob = cluster.gang("short", 1);
    shortJob.stretch = 10; // it is less pressing
    cluster.accept(shortJob, 2000, 2000);
    cluster.advance(400);
    CHECK_EQUAL(1, cluster.runCount("short"));
    cluster.advance(5000);
    CHECK_EQUAL(4, cluster.runCount("wide"));
}

// Estimates are off by up to 90%: by its estimate this run has 18 s left, by its progress 2 s.
TEST(Reservation, urgentWorkWaitsForARunThatIsAboutToEndByItsProgress)
{
    Cluster cluster(1);
    cluster.accept(cluster.gang("running", 1), 20000, 4000);
    cluster.advance(2000);
    Job urgent = cluster.rig.makeJob("urgent", 1, 8, 0);
    cluster.accept(urgent, 5000, 5000);
    cluster.advance(1000);
    CHECK_EQUAL(1, cluster.runCount("running"));
    cluster.advance(1500);
    CHECK_EQUAL(std::string("completed"), cluster.rig.jobState("running"));
    CHECK_EQUAL(1, cluster.runCount("urgent"));
}

// Guards against more tasks of a step on one worker than its caller allows: a part of them is
// placed on free capacity, and the rest on capacity that is reserved for others.
TEST(Reservation, limitPerWorkerHoldsOnReservedCapacity)
{
    Cluster cluster(3);
    cluster.accept(cluster.gang("running", 1), 9000, 9000);
    cluster.advance(1000);
    Job wide = cluster.rig.makeJob("wide", 3, 6);
    wide.steps[0].gang = true;
    cluster.accept(wide, 5000, 5000);
    Job limited = cluster.rig.makeJob("limited", 4, 1);
    limited.stretch = 20; // it is less pressing
    limited.steps[0].maxPerWorker = 1;
    cluster.accept(limited, 500, 30000);
    cluster.advance(1000);
    CHECK_EQUAL(2, cluster.runCount("limited"));
}

// Guards against accepted work that is not started although it fits three times over: what it may
// delay the holder of a reservation is less than its own work.
TEST(Reservation, longGangDoesNotWaitForAReservationThatIsOverdue)
{
    Cluster cluster(12);
    cluster.accept(cluster.gang("running", 5), 5000, 100000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 8), 2000, 2000);
    Job small = cluster.gang("small", 2);
    small.priority = 2;
    cluster.accept(small, 20000, 20000);
    cluster.advance(10000);
    CHECK_EQUAL(5, cluster.runCount("running"));
    CHECK_EQUAL(2, cluster.runCount("small"));
}

// Guards against a gang that never starts because tasks that never end take what it reserves.
TEST(Reservation, longRunningTasksDoNotTakeReservedCapacity)
{
    Cluster cluster(4);
    cluster.accept(cluster.gang("running", 2), 6000, 6000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 4), 5000, 5000);
    Job service = cluster.rig.makeJob("service", 2, 8, 2);
    service.steps[0].longRunning = true;
    cluster.accept(service, 200, 1000000);
    cluster.advance(6000);
    CHECK_EQUAL(4, cluster.runCount("wide"));
}

// Guards against a service that is not restarted while a gang waits for its capacity: the gang
// counts on the end of tasks that never end, and reserves what is free meanwhile.
TEST(Reservation, longRunningTaskReturnsBesideAGangThatDoesNotFit)
{
    Cluster cluster(2);
    Job service = cluster.rig.makeJob("service", 2, 1, 2);
    service.steps[0].longRunning = true;
    service.steps[0].maxPerWorker = 1;
    cluster.accept(service, 200, 1000000);
    cluster.advance(500);
    cluster.accept(cluster.gang("wide", 2), 5000, 5000);
    cluster.advance(1000);
    cluster.rig.endRun("h0", "service.0.0.0", 1, EndKind::Failed);
    cluster.advance(6000);
    CHECK_EQUAL(2, cluster.runCount("service"));
}

// As above, for a gang that fits as soon as another one ends.
TEST(Reservation, longRunningTaskReturnsToCapacityThatIsReserved)
{
    Cluster cluster(3);
    Job service = cluster.rig.makeJob("service", 1, 1, 2);
    service.steps[0].longRunning = true;
    cluster.accept(service, 200, 1000000);
    cluster.advance(500);
    cluster.accept(cluster.gang("running", 2), 60000, 60000);
    cluster.advance(500);
    cluster.accept(cluster.gang("wide", 2), 5000, 5000);
    cluster.advance(500);
    const std::string host = cluster.hostOf("service.0.0.0");
    cluster.rig.endRun(host, "service.0.0.0", 1, EndKind::Done);
    cluster.advance(1500);
    CHECK_EQUAL(1, cluster.runCount("service"));
}

// As above, while another task of the step has never found room.
TEST(Reservation, longRunningTaskReturnsWhileAnotherHasNeverStarted)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    Job service = cluster.rig.makeJob("service", 2, 1, 2);
    service.steps[0].longRunning = true;
    service.steps[0].maxPerWorker = 1;
    service.steps[0].requiredLabel = "special";
    cluster.accept(service, 200, 1000000);
    cluster.advance(500);
    Job running = cluster.gang("running", 2);
    running.steps[0].requiredLabel = "a";
    cluster.accept(running, 60000, 60000);
    cluster.advance(500);
    CHECK_EQUAL(1, cluster.runCount("service"));
    cluster.rig.endRun("h0", "service.0.0.0", 1, EndKind::Done);
    cluster.accept(cluster.gang("wide", 3), 5000, 5000);
    cluster.advance(5000);
    CHECK_EQUAL(2, cluster.runCount("running"));
    CHECK_EQUAL(1, cluster.runCount("service"));
}

// Guards against lower priorities that take capacity which a guaranteed gang waits for: it would
// have to stop them again.
TEST(Reservation, workThatHasWaitedDoesNotTakeWhatUrgentWorkReserves)
{
    Cluster cluster(4);
    cluster.rig.scheduler.guarantees["guaranteed"] = 32;
    cluster.rig.scheduler.guarantees["urgent"] = 32; // its runs may not be stopped
    for (const char *id : {"urgent1", "urgent2"}) {
        Job urgent = cluster.gang(id, 2);
        urgent.priority = 0;
        urgent.organisation = "urgent";
        cluster.accept(urgent, 5000, id == std::string("urgent1") ? 9000 : 5000);
    }
    cluster.advance(500);
    cluster.accept(cluster.gang("waiting", 2), 5000, 5000);
    cluster.advance(2500);
    Job guaranteed = cluster.gang("guaranteed", 4);
    guaranteed.priority = 0;
    guaranteed.organisation = "guaranteed";
    cluster.accept(guaranteed, 5000, 5000);
    cluster.advance(5000);
    CHECK_EQUAL(0, cluster.runCount("waiting"));
    CHECK_EQUAL(2, cluster.runCount("urgent1"));
    cluster.advance(2000);
    CHECK_EQUAL(4, cluster.runCount("guaranteed"));
}

// Guards against a job that waits for ever because its tasks failed on all workers there are.
TEST(Reservation, taskReturnsToAWorkerWhereItFailedWhenThereIsNoOther)
{
    Cluster cluster(1);
    cluster.accept(cluster.rig.makeJob("running", 1, 5), 60000, 60000); // most is in use
    cluster.advance(100);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.maxAttempts = 5;
    cluster.accept(job, 1000, 1000);
    cluster.advance(200);
    cluster.rig.endRun("h0", "job.0.0.0", 1, EndKind::Failed);
    cluster.advance(6000);
    CHECK_EQUAL(1, cluster.runCount("job"));
}

// A reservation takes accelerators that are not free yet; work without accelerators needs none.
TEST(Reservation, tasksWithoutAcceleratorsRunBesideAReservation)
{
    Cluster cluster(2);
    cluster.accept(cluster.gang("running", 2), 30000, 30000);
    cluster.advance(2000);
    cluster.accept(cluster.gang("wide", 2), 30000, 30000);
    Job plain = cluster.rig.makeJob("plain", 1, 0, 2);
    plain.steps[0].need.cpuMilli = 1000;
    cluster.accept(plain, 60000, 60000);
    cluster.advance(500);
    CHECK_EQUAL(1, cluster.runCount("plain"));
}

// Guards against a step of hundreds of single tasks of which none is placed beside a reservation,
// because all of them together would delay the holder for too long.
TEST(Reservation, wideStepUsesReservedCapacityUpToTheLimit)
{
    Cluster cluster(12);
    cluster.accept(cluster.gang("running", 7), 5000, 100000);
    cluster.advance(1000);
    Job wide = cluster.gang("wide", 8);
    wide.stretch = 1; // it misses its objective in any case
    cluster.accept(wide, 10000, 10000); // 5,760 core-seconds
    Job singles = cluster.rig.makeJob("singles", 300, 1, 2);
    cluster.accept(singles, 20000, 20000); // 180 core-seconds a task
    cluster.advance(2500);
    CHECK_EQUAL(0, cluster.runCount("wide"));
    CHECK_EQUAL(32, cluster.runCount("singles"));
}

// Guards against accepted work that is not started within 3 s although it fits three times over and
// most of the service is idle: it would delay the holder of a reservation by more than its work.
TEST(Reservation, longGangDoesNotWaitForAWiderOneWhileMostIsIdle)
{
    Cluster cluster(12);
    cluster.accept(cluster.gang("running", 5), 5000, 100000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 8), 2000, 2000);
    Job small = cluster.gang("small", 2);
    small.priority = 2;
    cluster.accept(small, 20000, 20000);
    cluster.advance(1900);
    CHECK_EQUAL(0, cluster.runCount("small"));
    cluster.advance(600);
    CHECK_EQUAL(2, cluster.runCount("small"));
}

// As above, for tasks that never end, which may not use reserved capacity at their first start.
TEST(Reservation, longRunningTaskDoesNotWaitForAGangWhileMostIsIdle)
{
    Cluster cluster(12);
    cluster.accept(cluster.gang("running", 5), 5000, 100000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("wide", 8), 5000, 5000);
    Job service = cluster.rig.makeJob("service", 2, 8, 2);
    service.steps[0].longRunning = true;
    cluster.accept(service, 200, 1000000);
    cluster.advance(2500);
    CHECK_EQUAL(2, cluster.runCount("service"));
}

// Guards against accepted work that is not started within 3 s although it fits twice over and most
// of the service is idle: the rack of its data is busy.
TEST(Reservation, gangDoesNotWaitForItsRackWhileMostIsIdle)
{
    Cluster cluster(15);
    Job running = cluster.gang("running", 5);
    running.steps[0].dataRack = "r0";
    cluster.accept(running, 6800, 60000);
    cluster.advance(1000);
    Job gang = cluster.gang("gang", 2);
    gang.steps[0].dataRack = "r0";
    cluster.accept(gang, 6800, 6800);
    cluster.advance(1900);
    CHECK_EQUAL(0, cluster.runCount("gang"));
    cluster.advance(600);
    CHECK_EQUAL(2, cluster.runCount("gang"));
}

// Guards against a wait for a rack that is as long again under each leader.
TEST(Reservation, gangDoesNotWaitForItsRackAfterAChangeOfLeader)
{
    Cluster cluster(15);
    Job running = cluster.gang("running", 5);
    running.steps[0].dataRack = "r0";
    cluster.accept(running, 6800, 60000);
    cluster.advance(1000);
    Job gang = cluster.gang("gang", 2);
    gang.steps[0].dataRack = "r0";
    cluster.accept(gang, 6800, 6800);
    cluster.advance(1500);
    const std::map<std::string, HostReport> reports = cluster.rig.nextReports;
    cluster.rig.takeOver(1 << 21);
    cluster.rig.nextReports = reports;
    cluster.advance(2500);
    CHECK_EQUAL(5, cluster.runCount("running"));
    CHECK_EQUAL(2, cluster.runCount("gang"));
}

// As above, for a gang of one rack, of which none has room.
TEST(Reservation, gangOfOneRackDoesNotWaitWhileMostIsIdle)
{
    Cluster cluster(10);
    cluster.accept(cluster.gang("running0", 1), 60000, 60000);
    cluster.advance(1000);
    Job other = cluster.gang("running1", 1);
    other.steps[0].dataRack = cluster.hostOf("running0.0.0.0") < "h5" ? "r1" : "r0";
    cluster.accept(other, 60000, 60000);
    cluster.advance(1000);
    Job gang = cluster.gang("gang", 5);
    gang.steps[0].sameRack = true;
    cluster.accept(gang, 6800, 6800);
    cluster.advance(2500);
    CHECK_EQUAL(5, cluster.runCount("gang"));
}

// Guards against a wide gang that never starts because small ones that have waited use what it
// reserves, again and again.
TEST(Reservation, wideGangStartsAmongAModerateStreamOfSmallOnes)
{
    Cluster cluster(12);
    const auto acceptSmall = [&cluster](int number) {
        cluster.accept(cluster.gang("small" + std::to_string(number), 2), 4000, 4000);
    };
    for (int i = 0; i < 6; ++i) {
        acceptSmall(i);
        cluster.advance(1500);
    }
    cluster.accept(cluster.gang("wide", 10), 4000, 4000);
    TimeMs waited = 0;
    for (int i = 6; cluster.runCount("wide") == 0 && waited < 60000; ++i) {
        acceptSmall(i);
        cluster.advance(1500);
        waited += 1500;
    }
    CHECK_COMPARE(waited, <=, 16000);
}

// Guards against accepted work that is not started within 3 s although a worker that may run it is
// idle: one of its tasks failed there, and no other worker has the required label.
TEST(Reservation, taskReturnsToTheOnlyWorkerOfItsLabelWhileMostIsIdle)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.maxAttempts = 5;
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    cluster.advance(500);
    CHECK_EQUAL(1, cluster.runCount("job"));
    cluster.rig.endRun("h0", "job.0.0.0", 1, EndKind::Failed);
    cluster.advance(1900);
    CHECK_EQUAL(0, cluster.runCount("job"));
    cluster.advance(900);
    CHECK_EQUAL(1, cluster.runCount("job"));
}

// As above, for a worker in quarantine.
TEST(Reservation, quarantinedWorkerIsTheLastChoiceWhileMostIsIdle)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.quarantine("h0");
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    Job other = cluster.rig.makeJob("other", 1, 1);
    cluster.accept(other, 1000, 10000);
    cluster.advance(1900);
    CHECK_EQUAL(0, cluster.runCount("job"));
    CHECK(cluster.hostOf("other.0.0.0") != "h0");
    cluster.advance(600);
    CHECK_EQUAL(1, cluster.runCount("job"));
    CHECK_EQUAL(1, cluster.rig.runCount("h0"));
}

// Guards against a job that fails because its last attempt is used on a worker in quarantine.
TEST(Reservation, lastAttemptWaitsForTheEndOfAQuarantine)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    Job job = cluster.rig.makeJob("job", 2, 1); // of two attempts
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 20000);
    cluster.advance(500);
    cluster.rig.endRun("h0", "job.0.0.0", 1, EndKind::Failed);
    cluster.rig.endRun("h0", "job.0.0.1", 1, EndKind::Stopped);
    cluster.quarantine("h0");
    cluster.advance(4000);
    CHECK_EQUAL(std::string(), cluster.hostOf("job.0.0.0"));
    CHECK_EQUAL(std::string("h0"), cluster.hostOf("job.0.0.1"));
    cluster.advance(5000);
    CHECK_EQUAL(std::string("h0"), cluster.hostOf("job.0.0.0"));
}

// Guards against work on workers in quarantine while the others are needed.
TEST(Reservation, quarantineLastsWhileMostIsInUse)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.quarantine("h0");
    cluster.accept(cluster.gang("running", 2), 60000, 60000);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    cluster.advance(4000);
    CHECK_EQUAL(2, cluster.runCount("running"));
    CHECK_EQUAL(0, cluster.runCount("job"));
}

// Guards against a last attempt that is held back for as long as the runs of other jobs fail on
// sound workers.
TEST(Reservation, lastAttemptUsesWorkersInQuarantineWhenMostAreInIt)
{
    Cluster cluster(4);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.maxAttempts = 1;
    cluster.accept(job, 1000, 10000);
    const auto quarantineFor = [&](int hosts, TimeMs ms) {
        for (TimeMs passed = 0; passed < ms; passed += 100) {
            for (int i = 0; i < hosts; ++i)
                cluster.quarantine("h" + std::to_string(i));
            cluster.advance(100);
        }
    };
    quarantineFor(4, 1500);
    CHECK_EQUAL(0, cluster.runCount("job"));
    quarantineFor(4, 1100);
    CHECK_EQUAL(1, cluster.runCount("job"));
}

// Guards against a wait without a limit for a worker whose quarantine begins again and again.
TEST(Reservation, quarantineHoldsATaskBackForALimitedTime)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.accept(cluster.gang("running", 2), 60000, 60000);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.maxAttempts = 1;
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    TimeMs waited = 0;
    while (cluster.runCount("job") == 0 && waited < 60000) {
        cluster.quarantine("h0");
        cluster.advance(100);
        waited += 100;
    }
    CHECK(waited > 20000);
    CHECK(waited < 21500);
}

// Guards against a task that lasts and does not run, because of failures on its only worker, while
// most of the service is in use.
TEST(Reservation, longRunningTaskReturnsToAWorkerInQuarantineWhileMostIsInUse)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.accept(cluster.gang("running", 2), 60000, 60000);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].longRunning = true;
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 60000);
    cluster.advance(300);
    cluster.rig.endRun("h0", "job.0.0.0", 1, EndKind::Failed);
    for (int i = 0; i < 30; ++i) {
        cluster.quarantine("h0");
        cluster.advance(100);
    }
    CHECK_EQUAL(2, cluster.runCount("running"));
    CHECK_EQUAL(1, cluster.runCount("job"));
}

// Guards against a wait that begins anew each time the use of the service is above half for a
// moment, as between the end of a run and its report.
TEST(Reservation, momentOfUseDoesNotInterruptAnIdleTime)
{
    Cluster cluster(4);
    cluster.label("h0", "special");
    cluster.quarantine("h0");
    cluster.accept(cluster.gang("running", 1), 60000, 60000);
    cluster.advance(100);
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    cluster.advance(1000);
    cluster.accept(cluster.gang("short", 1), 200, 200);
    cluster.advance(1900);
    CHECK_EQUAL(1, cluster.runCount("job"));
}

// Guards against orders to a worker that leaves.
TEST(Reservation, drainingWorkerGetsNoWorkHoweverIdleTheServiceIs)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.rig.nextReports.at("h0").worker->draining = true;
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].requiredLabel = "special";
    cluster.advance(100);
    cluster.accept(job, 1000, 10000);
    cluster.advance(4000);
    CHECK_EQUAL(0, cluster.runCount("job"));
}

// A line names what was lifted for a unit, for operators.
TEST(Reservation, liftedRestrictionIsLogged)
{
    Cluster cluster(3);
    cluster.label("h0", "special");
    cluster.quarantine("h0");
    Job job = cluster.rig.makeJob("job", 1, 1);
    job.steps[0].requiredLabel = "special";
    cluster.accept(job, 1000, 10000);
    cluster.advance(2500);
    int lines = 0;
    for (const std::string &line : cluster.rig.scheduler.decisions)
        lines += line.find("event=restriction_lifted job=job occurrence=0 step=0 tasks=1 ") == 0
                && line.find("cause=\"workers are quarantined or draining\"") != std::string::npos
            ? 1
            : 0;
    CHECK_EQUAL(1, lines);
}

// Guards against jobs that wait without a limit beside idle workers: an urgent gang that is too
// late to stop other work reserves these workers until it fits.
TEST(Reservation, lateUrgentGangDoesNotHoldBackOthersWhileMostIsIdle)
{
    Cluster cluster(6);
    cluster.accept(cluster.gang("running", 2), 60000, 60000);
    cluster.advance(300);
    Job late = cluster.gang("late", 5);
    late.priority = 0;
    late.acceptedUnixMs -= 3600000;
    cluster.accept(late, 1000, 1000);
    cluster.advance(300);
    cluster.accept(cluster.rig.makeJob("other", 1, 1), 30000, 30000);
    cluster.advance(2500);
    CHECK_EQUAL(2, cluster.runCount("running"));
    CHECK_EQUAL(1, cluster.runCount("other"));
}
