// Tests that work which fails or stalls by itself does not hold back other work for long, and that
// last attempts are not used on workers that fail all that they start.

#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

constexpr TimeMs runMs = 10000;
constexpr TimeMs idleBoundMs = 3000; // a task that could run on an idle service starts within this

// Workers of eight accelerators. Runs of failing jobs end as failed `failAfterMs` after their start
// on any host; on failing hosts, all runs do. Runs of stalling jobs stand still. Other runs advance
// and are done after `runMs`.
struct Fleet
{
    SchedulerRig rig;
    std::vector<std::string> hosts;
    std::set<std::string> failingJobs;
    std::set<std::string> stallingJobs;
    std::set<std::string> failingHosts;
    TimeMs failAfterMs = 500;
    std::map<RunKey, TimeMs> startedAt;

    explicit Fleet(int size)
    {
        for (int i = 0; i < size; ++i) {
            this->hosts.push_back("h" + std::to_string(i));
            this->rig.addWorker(this->hosts.back());
        }
    }

    void advanceRuns(const std::string &host)
    {
        std::vector<std::pair<RunKey, EndKind>> ended;
        for (ReportedRun &run : this->rig.nextReports.at(host).runs) {
            const std::string job = parseTaskName(run.task)->jobId;
            const RunKey key = {run.task, run.run};
            const TimeMs since =
                this->rig.now - this->startedAt.try_emplace(key, this->rig.now).first->second;
            if (this->failingHosts.count(host) > 0 || this->failingJobs.count(job) > 0) {
                if (since >= this->failAfterMs)
                    ended.emplace_back(key, EndKind::Failed);
                continue;
            }
            if (this->stallingJobs.count(job) > 0)
                continue;
            run.percent = std::min<std::int64_t>(completePercent, since * completePercent / runMs);
            if (since >= runMs)
                ended.emplace_back(key, EndKind::Done);
        }
        for (const auto &[key, how] : ended)
            this->rig.endRun(host, key.first, key.second, how);
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

    bool isQuarantined(const std::string &host)
    {
        for (const auto &[key, worker] : this->rig.scheduler.workers) {
            if (worker.host == host)
                return this->rig.now < worker.quarantinedUntil;
        }
        return false;
    }

    int quarantined()
    {
        return static_cast<int>(
            std::count_if(this->hosts.begin(), this->hosts.end(),
                          [this](const std::string &host) { return this->isQuarantined(host); }));
    }
};

Job longRunningJob(SchedulerRig &rig, const std::string &id, std::uint32_t count)
{
    Job job = rig.makeJob(id, count, 1);
    job.steps[0].longRunning = true;
    job.steps[0].maxPerWorker = 1;
    return job;
}

} // namespace

TEST_GROUP(Quarantine){};

// Guards against a task with one attempt left that is never started, because a long-running job of
// another organisation fails on every worker again and again.
TEST(Quarantine, lastAttemptStartsBesideALongRunningJobThatFailsEverywhere)
{
    Fleet fleet(8);
    fleet.rig.accept(longRunningJob(fleet.rig, "loop", 8));
    fleet.failingJobs.insert("loop");
    fleet.advance(20000);
    CHECK_EQUAL(0, fleet.quarantined());
    Job job = fleet.rig.makeJob("last", 1, 1);
    job.maxAttempts = 1;
    fleet.rig.accept(job);
    fleet.advance(500);
    CHECK(!fleet.hostOf("last.0.0.0").empty());
}

// The same, for jobs that end when their attempts are used up.
TEST(Quarantine, lastAttemptsStartBesideJobsThatFailEverywhere)
{
    Fleet fleet(4);
    for (const char *id : {"a", "b", "c"}) {
        Job job = fleet.rig.makeJob(id, 4, 1);
        job.steps[0].maxPerWorker = 1;
        job.maxAttempts = 100;
        fleet.rig.accept(job);
        fleet.failingJobs.insert(id);
    }
    for (int i = 0; i < 20; ++i) {
        Job job = fleet.rig.makeJob("last" + std::to_string(i), 1, 1);
        job.maxAttempts = 1;
        fleet.rig.accept(job);
        fleet.advance(idleBoundMs);
        CHECK(!fleet.hostOf(job.id + ".0.0.0").empty());
    }
}

// Guards against last attempts that are used on a worker which fails all that it starts: a step of
// which other tasks do well is not at fault.
TEST(Quarantine, workersThatFailTasksOfWhichOthersDoWellAreQuarantined)
{
    Fleet fleet(8);
    fleet.failingHosts = {"h0", "h1", "h2"};
    for (const char *id : {"a", "b"}) {
        Job job = fleet.rig.makeJob(id, 8, 2);
        job.steps[0].maxPerWorker = 1;
        fleet.rig.accept(job);
    }
    fleet.advance(900);
    CHECK_EQUAL(3, fleet.quarantined());
    CHECK(fleet.isQuarantined("h0"));
    CHECK(fleet.isQuarantined("h1"));
    CHECK(fleet.isQuarantined("h2"));
}

// Guards against last attempts that wait because one task stands still on each worker in turn.
TEST(Quarantine, lastAttemptsStartBesideATaskThatStallsEverywhere)
{
    Fleet fleet(2);
    fleet.rig.accept(fleet.rig.makeJob("still", 1, 1));
    fleet.stallingJobs.insert("still");
    for (int i = 0; i < 8; ++i) {
        Job job = fleet.rig.makeJob("last" + std::to_string(i), 1, 1);
        job.maxAttempts = 1;
        fleet.rig.accept(job);
        fleet.advance(idleBoundMs);
        CHECK(!fleet.hostOf(job.id + ".0.0.0").empty());
    }
}
