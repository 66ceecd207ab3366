#ifndef FLAMINGO_TESTS_SCHEDULER_RIG_H
#define FLAMINGO_TESTS_SCHEDULER_RIG_H

// Drives the scheduler step by step: accepts jobs, sends hosts' reports and stores records.

#include "flamingo/scheduler/scheduler.h"

#include <string>

namespace flamingo::tests {

struct SchedulerRig
{
    scheduler::Scheduler scheduler;
    TimeMs now = 1000;
    std::uint64_t unixNow = 1700000000000;
    std::uint64_t reportCount = 0;
    std::int64_t workerClockOffsetMs = 7000; // workers' clocks start at different times
    // The next report of each host, which shows the effect of the orders received so far.
    std::map<std::string, scheduler::HostReport> nextReports;

    SchedulerRig()
    {
        this->becomeLeader(1 << 20); // any epoch other than 0 serves
    }

    void becomeLeader(std::uint64_t epoch)
    {
        beginLeading(this->scheduler, epoch, this->now);
    }

    // Replaces the leader by one that knows only the job table. `epoch` must be higher than that of
    // the former leader. The next reports of all hosts are removed.
    void takeOver(std::uint64_t epoch)
    {
        const scheduler::JobTable table = this->scheduler.table;
        endLeading(this->scheduler);
        this->scheduler.table = table;
        this->nextReports.clear();
        this->becomeLeader(epoch);
    }

    void advance(TimeMs ms)
    {
        this->now += ms;
        this->unixNow += static_cast<std::uint64_t>(ms);
    }

    scheduler::Job makeJob(const std::string &id, std::uint32_t count, std::int64_t accelerators,
                           std::uint32_t priority = 1)
    {
        scheduler::Job result;
        result.id = id;
        result.queue = "queue";
        result.organisation = "lots";
        result.service = "service";
        result.payload = "payload";
        result.priority = priority;
        result.maxAttempts = 2;
        result.stretch = 2;
        result.targetLatencyMs = 1000;
        result.acceptedUnixMs = this->unixNow;
        scheduler::Step step;
        step.count = count;
        step.need = {1000 * accelerators, 1000, accelerators};
        step.estimateMs = 5000;
        result.steps.push_back(step);
        return result;
    }

    void accept(const scheduler::Job &job)
    {
        const scheduler::Record record = acceptanceRecord(job);
        Reason reason;
        applyRecord(this->scheduler.table, record.key, record.value, true, reason);
    }

    void cancel(const std::string &id)
    {
        const scheduler::Record record = scheduler::cancellationRecord(id);
        Reason reason;
        applyRecord(this->scheduler.table, record.key, record.value, true, reason);
    }

    // Stores the end of a worker as its agent does.
    void storeWorkerEnd(const std::string &key)
    {
        const scheduler::Record record = scheduler::workerEndRecord(key);
        Reason reason;
        applyRecord(this->scheduler.table, record.key, record.value, true, reason);
    }

    scheduler::HostReport &reportOf(const std::string &host, const std::string &rack = "r1",
                                    std::uint64_t startedUnixMs = 1)
    {
        scheduler::HostReport &report = this->nextReports[host];
        if (!report.worker) {
            report.host = host;
            report.agentStart = 1;
            scheduler::WorkerInfo worker;
            worker.id = "w-" + host;
            worker.bornUnixMs = startedUnixMs;
            worker.service = "service";
            worker.capacity = {64000, 256000, 8};
            worker.labels = {"a", rack}; // kind and rack
            report.worker = worker;
        }
        return report;
    }

    // Sends the host's report, plans and stores the records, then updates the host's next report as
    // if the worker had carried out the orders received.
    scheduler::HostOrders sendReport(const std::string &host)
    {
        scheduler::HostReport &report = this->nextReports.at(host);
        report.sequence = ++this->reportCount;
        report.listClockMs = this->now + this->workerClockOffsetMs;
        applyReport(this->scheduler, report, this->now);
        this->planAndStore();
        scheduler::HostOrders orders = ordersFor(this->scheduler, host);
        report.fencingToken = orders.fencingToken;
        for (const scheduler::StartOrder &start : orders.starts)
            report.runs.push_back({start.task, start.run, scheduler::RunState::Running, 0, "", ""});
        for (const scheduler::StopOrder &stop : orders.stops)
            this->endRun(host, stop.task, stop.run, scheduler::EndKind::Stopped, "");
        auto &ends = report.ends;
        while (!ends.empty() && ends.front().number <= orders.acknowledgedEnd)
            ends.erase(ends.begin());
        return orders;
    }

    void addWorker(const std::string &host, const std::string &rack = "r1")
    {
        this->reportOf(host, rack);
        this->sendReport(host); // receives the fencing token
        this->sendReport(host); // reports that the token is in force
    }

    // Ends a run in the host's next report.
    void endRun(const std::string &host, const std::string &task, std::uint32_t run,
                scheduler::EndKind how, const std::string &checkpoint = "")
    {
        scheduler::HostReport &report = this->nextReports.at(host);
        auto &runs = report.runs;
        for (auto item = runs.begin(); item != runs.end(); ++item) {
            if (item->task != task || item->run != run)
                continue;
            runs.erase(item);
            break;
        }
        report.ends.push_back({++this->lastEndNumbers[host], task, run, how, checkpoint});
    }

    void planAndStore()
    {
        plan(this->scheduler, this->now, this->unixNow);
        this->storeRecords();
    }

    void storeRecords()
    {
        for (const scheduler::Record &record : takeRecords(this->scheduler, this->now)) {
            Reason reason;
            applyRecord(this->scheduler.table, record.key, record.value, true, reason);
        }
        markFlushStored(this->scheduler, this->scheduler.flush - 1);
    }

    // Number of runs that the host's worker executes.
    std::size_t runCount(const std::string &host)
    {
        return this->nextReports.at(host).runs.size();
    }

    std::string jobState(const std::string &id)
    {
        return std::string(callerVisibleState(this->scheduler.table, id).value_or("unknown"));
    }

    std::map<std::string, std::uint64_t> lastEndNumbers; // by host
};

} // namespace flamingo::tests

#endif
