// Measures the processor time of one plan of the leader: 240 workers of one service and hundreds of
// waiting units, at several degrees of use. Without arguments; prints a line for each case.

#include "flamingo/scheduler/scheduler.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace flamingo;
using namespace flamingo::scheduler;

namespace {

constexpr int workerCount = 240;
constexpr int workersPerRack = 12;
constexpr int waitingJobs = 300;
constexpr int plans = 40;
constexpr std::uint64_t unixStart = 1700000000000;

struct Bench
{
    Scheduler scheduler;
    TimeMs now = 1000;
    std::vector<HostReport> reports;
    std::uint64_t sequence = 0;

    Bench()
    {
        beginLeading(this->scheduler, 1 << 20, this->now);
        for (int i = 0; i < workerCount; ++i) {
            HostReport report;
            report.host = "host-" + std::to_string(i);
            report.agentStart = 1;
            WorkerInfo worker;
            worker.id = "worker-" + std::to_string(i);
            worker.bornUnixMs = 1;
            worker.service = "service";
            worker.capacity = {64000, 256000, 8};
            worker.labels = {"kind", "rack-" + std::to_string(i / workersPerRack)};
            report.worker = worker;
            this->reports.push_back(report);
        }
    }

    void accept(const std::string &id, std::uint32_t count, std::int64_t accelerators, bool gang,
                std::uint32_t priority, const std::string &dataRack = "",
                const std::string &requiredLabel = "", std::uint32_t maxPerWorker = 0)
    {
        Job job;
        job.id = id;
        job.queue = "queue";
        job.organisation = "organisation";
        job.service = "service";
        job.payload = "payload";
        job.priority = priority;
        job.maxAttempts = 2;
        job.stretch = 2;
        job.acceptedUnixMs = unixStart;
        Step step;
        step.count = count;
        step.need = {1000 * std::max<std::int64_t>(1, accelerators), 1000, accelerators};
        step.estimateMs = 5000;
        step.gang = gang;
        step.dataRack = dataRack;
        step.requiredLabel = requiredLabel;
        step.maxPerWorker = maxPerWorker;
        job.steps.push_back(step);
        const Record record = acceptanceRecord(job);
        Reason reason;
        applyRecord(this->scheduler.table, record.key, record.value, true, reason);
        // The run times of the queue and of the kind are known.
        for (int i = 0; i < 10; ++i)
            recordFinishedRun(this->scheduler.table.runTimes, job, 0, job.steps[0].estimateMs);
    }

    // Reports of all hosts, with the runs that were ordered.
    void report()
    {
        this->now += 600;
        for (HostReport &report : this->reports) {
            report.sequence = ++this->sequence;
            report.listClockMs = this->now;
            applyReport(this->scheduler, report, this->now);
            const HostOrders orders = ordersFor(this->scheduler, report.host);
            report.fencingToken = orders.fencingToken;
            for (const StartOrder &start : orders.starts)
                report.runs.push_back({start.task, start.run, RunState::Running, 0, "", ""});
            for (ReportedRun &run : report.runs)
                run.percent += 1;
        }
    }

    double planMs()
    {
        const std::clock_t began = std::clock();
        plan(this->scheduler, this->now, unixStart + static_cast<std::uint64_t>(this->now));
        const double took = 1000 * double(std::clock() - began) / CLOCKS_PER_SEC;
        takeRecords(this->scheduler, this->now);
        markFlushStored(this->scheduler, this->scheduler.flush - 1);
        this->scheduler.decisions.clear();
        return took;
    }

    void measure(const char *name)
    {
        for (int i = 0; i < 8; ++i) { // all units wait for over 2 s afterwards
            this->report();
            this->planMs();
        }
        std::vector<double> durations;
        for (int i = 0; i < plans; ++i) {
            this->report();
            durations.push_back(this->planMs());
        }
        std::sort(durations.begin(), durations.end());
        std::printf("%-40s median %.2f ms, least %.2f ms\n", name, durations[plans / 2],
                    durations[0]);
    }
};

// Fills workers with runs that last, then lets `waitingJobs` jobs wait.
void measureUse(const char *name, std::uint32_t runningTasks, bool gang, bool labelled)
{
    Bench bench;
    bench.report();
    bench.report();
    bench.accept("running", runningTasks, 1, false, 1);
    bench.planMs();
    bench.report();
    bench.accept("wide", 250, 8, true, 1);
    for (int i = 0; i < waitingJobs; ++i)
        bench.accept("waiting-" + std::to_string(i), gang ? 8 : 20, 8, gang, 2,
                     "rack-" + std::to_string(i % 20), labelled ? "none" : "");
    bench.measure(name);
}

// As measureUse(), for steps that are wider than their limit per worker allows.
void measureLimitPerWorker(const char *name)
{
    Bench bench;
    bench.report();
    bench.report();
    bench.accept("running", workerCount * 8 * 4 / 10, 1, false, 1);
    bench.planMs();
    bench.report();
    bench.accept("wide", 250, 8, true, 1);
    for (int i = 0; i < 20; ++i)
        bench.accept("waiting-" + std::to_string(i), 300, 0, false, 2, "", "", 1);
    bench.measure(name);
}

// Jobs with far more due occurrences than there is room for.
void measureOccurrences(const char *name)
{
    Bench bench;
    bench.report();
    bench.report();
    Job job;
    job.queue = "queue";
    job.organisation = "organisation";
    job.service = "service";
    job.payload = "payload";
    job.priority = 1;
    job.maxAttempts = 2;
    job.stretch = 2;
    job.acceptedUnixMs = unixStart;
    job.firstRunUnixMs = unixStart;
    job.intervalMs = 1;
    job.repeatCount = 2500;
    Step step;
    step.need = {16000, 1000, 0};
    step.estimateMs = 5000;
    job.steps.push_back(step);
    for (int i = 0; i < 170; ++i) {
        job.id = "repeating-" + std::to_string(i);
        const Record record = acceptanceRecord(job);
        Reason reason;
        applyRecord(bench.scheduler.table, record.key, record.value, true, reason);
    }
    bench.now += 5000;
    bench.measure(name);
}

} // namespace

int main()
{
    measureUse("full, gangs wait", workerCount * 8, true, false);
    measureUse("full, steps of single tasks wait", workerCount * 8, false, false);
    measureUse("80% in use, gangs wait", workerCount * 8 * 8 / 10, true, false);
    measureUse("40% in use, no worker has the label", workerCount * 8 * 4 / 10, true, true);
    measureUse("40% in use, gangs of a full rack wait", workerCount * 8 * 4 / 10, true, false);
    measureLimitPerWorker("40% in use, steps at their limit wait");
    measureOccurrences("full, 170 jobs of 2,500 occurrences wait");
    return 0;
}
