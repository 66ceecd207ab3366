// What callers are shown of a job's end never changes, at any entry: not by the order in which
// entries and the leader store records, nor by restarts and changes of the leader.
//
// A random test interleaves the steps of two entries, each a production Scheduler that follows one
// log, leads, or loads the log again: acceptances and cancellations that are stored late and
// repeatedly, progress records whose append is outstanding, and loads. A load reads the newest
// record of one key at a time, while other records are stored, and then the records that follow.

#include "flamingo/scheduler/scheduler.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <array>
#include <set>

using namespace flamingo;
using namespace flamingo::scheduler;

namespace {

constexpr std::uint64_t runs = 2000;
constexpr int stepsPerRun = 200;
constexpr int calmRounds = 20; // after the steps; enough for the job to end
constexpr std::uint64_t epochStep = 1 << 20;
constexpr TimeMs stepMs = 5; // all steps of a run together are shorter than a lease
constexpr std::uint64_t unixNow = 1700000000000;
const std::string host = "h1";
const std::string jobId = "a";
const std::string acceptanceKey = "a/a"; // precedes the job's other keys in a load

const bool leakDetectorOff = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

bool isEnd(std::string_view state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

// A worker and its host's agent. Reports reach the entry that leads.
struct SimulatedHost
{
    HostReport report;
    std::set<std::pair<std::string, std::uint32_t>> everStarted;
    std::uint64_t lastEnd = 0;

    SimulatedHost()
    {
        this->report.host = host;
        this->report.agentStart = 1;
        WorkerInfo worker;
        worker.id = "w";
        worker.bornUnixMs = 1;
        worker.capacity = {64000, 256000, 8};
        worker.labels = {"a", "r1"};
        this->report.worker = worker;
    }

    void apply(const HostOrders &orders)
    {
        if (orders.epoch == 0 || orders.fencingToken < this->report.fencingToken)
            return;
        this->report.fencingToken = orders.fencingToken;
        for (const StartOrder &start : orders.starts) {
            if (this->everStarted.emplace(start.task, start.run).second)
                this->report.runs.push_back({start.task, start.run, RunState::Running, 0, "", ""});
        }
        for (const StopOrder &stop : orders.stops)
            this->end(stop.task, stop.run, EndKind::Stopped);
        auto &ends = this->report.ends;
        while (!ends.empty() && ends.front().number <= orders.acknowledgedEnd)
            ends.erase(ends.begin());
    }

    void end(const std::string &task, std::uint32_t run, EndKind how)
    {
        auto &running = this->report.runs;
        for (auto item = running.begin(); item != running.end(); ++item) {
            if (item->task != task || item->run != run)
                continue;
            running.erase(item);
            this->report.ends.push_back({++this->lastEnd, task, run, how, ""});
            return;
        }
    }
};

struct SimulatedEntry
{
    Scheduler scheduler;
    std::size_t offset = 0; // of the next record to read
    std::optional<std::string> loadedUpTo; // key that a load has reached; nullopt: loaded
    std::map<std::string, std::size_t> loadedOffsets;
    std::vector<Record> outstanding; // the leader's append
    std::uint64_t outstandingFlush = 0; // 0: none
    bool shownEnded = false;
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {
        Job job;
        job.id = jobId;
        job.maxAttempts = 1;
        job.priority = 1;
        job.acceptedUnixMs = unixNow;
        Step step;
        step.count = static_cast<std::uint32_t>(1 + this->pick(3));
        step.need = {1000, 1000, 1};
        step.estimateMs = 50;
        job.steps.push_back(step);
        this->acceptance = acceptanceRecord(job);
        this->lead(this->entries[this->pick(2)]);
    }

    // Returns the first violation; empty when there is none.
    std::string run()
    {
        for (int i = 0; i < stepsPerRun && this->violation.empty(); ++i) {
            this->randomStep();
            this->checkShownStates();
        }
        this->lead(this->entries[this->pick(2)]);
        for (int i = 0; i < calmRounds && this->violation.empty(); ++i)
            this->runCalmRound();
        if (!isEnd(this->end) && this->violation.empty())
            this->violation = "the job has not ended";
        return this->violation;
    }

    const std::string &shownEnd() const
    {
        return this->end;
    }
    bool cancellationStored() const
    {
        return this->cancelled;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return this->random() % count;
    }

    void randomStep()
    {
        this->now += stepMs;
        SimulatedEntry &entry = this->entries[this->pick(2)];
        SimulatedEntry &other =
            &entry == this->entries.data() ? this->entries[1] : this->entries[0];
        SimulatedEntry &leader = entry.scheduler.epoch != 0 ? entry : other;
        switch (this->pick(16)) {
        case 0:
            this->append(this->acceptance);
            return;
        case 1:
            if (this->accepted && this->pick(20) == 0) {
                this->append(cancellationRecord(jobId));
                this->cancelled = true;
            }
            return;
        case 2:
            if (this->pick(6) == 0)
                this->lead(entry);
            return;
        case 3:
            if (this->pick(6) == 0)
                beginLoad(entry);
            return;
        case 4:
        case 5:
            this->endSomeRun();
            return;
        case 6:
        case 7:
            this->exchangeReport(leader);
            return;
        case 8:
            this->flush(leader);
            return;
        case 9:
            this->storeOutstanding(leader);
            return;
        default:
            this->readNext(entry);
        }
    }

    // Both entries read all records, and the leader and the host advance by one exchange.
    void runCalmRound()
    {
        this->now += stepMs;
        this->append(this->acceptance);
        for (SimulatedEntry &entry : this->entries) {
            while (entry.loadedUpTo || entry.offset < this->log.size()) {
                this->readNext(entry);
                this->checkShownStates();
            }
            this->endSomeRun();
            this->exchangeReport(entry);
            this->flush(entry);
            this->storeOutstanding(entry);
            this->checkShownStates();
        }
        if (!isEnd(this->end))
            return;
        for (const SimulatedEntry &entry : this->entries) {
            const auto state = callerVisibleState(entry.scheduler.table, jobId);
            if (!entry.loadedUpTo && entry.offset == this->log.size() && state != this->end)
                this->violation = "all records read, but shown as "
                    + std::string(state.value_or("unknown")) + " instead of " + this->end;
        }
    }

    void append(const Record &record)
    {
        this->accepted = this->accepted || record.key == acceptanceKey;
        this->log.push_back(record);
    }

    static void beginLoad(SimulatedEntry &entry)
    {
        endLeading(entry.scheduler);
        entry.outstandingFlush = 0;
        entry.loadedUpTo = "";
        entry.loadedOffsets.clear();
        entry.shownEnded = false;
    }

    void applyAt(SimulatedEntry &entry, std::size_t offset)
    {
        const Record &record = this->log[offset];
        Reason reason;
        if (!applyRecord(entry.scheduler.table, record.key, record.value,
                         entry.scheduler.epoch != 0, reason))
            this->violation = "record not applied: " + reason.text;
    }

    void readNext(SimulatedEntry &entry)
    {
        if (entry.loadedUpTo) {
            this->loadNextKey(entry);
            return;
        }
        if (entry.offset >= this->log.size())
            return;
        const auto newest = entry.loadedOffsets.find(this->log[entry.offset].key);
        if (newest == entry.loadedOffsets.end() || newest->second < entry.offset)
            this->applyAt(entry, entry.offset);
        ++entry.offset;
    }

    // The first step of a load fixes the offset from which records are read afterwards.
    void loadNextKey(SimulatedEntry &entry)
    {
        if (entry.loadedUpTo->empty())
            entry.offset = this->log.size();
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < this->log.size(); ++i)
            newest[this->log[i].key] = i;
        const auto next = newest.upper_bound(*entry.loadedUpTo);
        if (next == newest.end()) {
            entry.loadedUpTo.reset();
            return;
        }
        this->applyAt(entry, next->second);
        entry.loadedOffsets[next->first] = next->second;
        entry.loadedUpTo = next->first;
    }

    // Replaces the leader, which continues until it learns of it by a fenced append.
    void lead(SimulatedEntry &entry)
    {
        if (entry.scheduler.epoch != 0)
            beginLoad(entry);
        while (entry.loadedUpTo || entry.offset < this->log.size())
            this->readNext(entry);
        this->epoch += epochStep;
        beginLeading(entry.scheduler, this->epoch, this->now);
    }

    void endSomeRun()
    {
        if (this->host.report.runs.empty())
            return;
        const ReportedRun run = this->host.report.runs[this->pick(this->host.report.runs.size())];
        this->host.end(run.task, run.run, this->pick(6) == 0 ? EndKind::Failed : EndKind::Done);
    }

    void exchangeReport(SimulatedEntry &entry)
    {
        if (entry.scheduler.epoch == 0)
            return;
        ++this->host.report.sequence;
        this->host.report.listClockMs = this->now;
        applyReport(entry.scheduler, this->host.report, this->now);
        plan(entry.scheduler, this->now, unixNow + static_cast<std::uint64_t>(this->now));
        entry.scheduler.decisions.clear();
        this->host.apply(ordersFor(entry.scheduler, this->host.report.host));
    }

    void flush(SimulatedEntry &entry)
    {
        if (entry.scheduler.epoch == 0 || entry.outstandingFlush != 0)
            return;
        entry.outstanding = takeRecords(entry.scheduler, this->now);
        entry.outstandingFlush = entry.scheduler.flush - 1;
    }

    void storeOutstanding(SimulatedEntry &entry)
    {
        if (entry.scheduler.epoch == 0 || entry.outstandingFlush == 0)
            return;
        if (entry.scheduler.epoch != this->epoch) {
            beginLoad(entry);
            return;
        }
        this->log.insert(this->log.end(), entry.outstanding.begin(), entry.outstanding.end());
        markFlushStored(entry.scheduler, std::exchange(entry.outstandingFlush, 0));
    }

    void checkShownStates()
    {
        for (SimulatedEntry &entry : this->entries) {
            if (entry.loadedUpTo)
                continue; // callers are refused meanwhile
            const std::string state(
                callerVisibleState(entry.scheduler.table, jobId).value_or("unknown"));
            if (entry.shownEnded && state != this->end)
                this->violation = "shown as " + state + " after " + this->end;
            if (!isEnd(state))
                continue;
            if (!this->end.empty() && state != this->end)
                this->violation = "shown as " + state + " after " + this->end;
            if (state == "cancelled" && !this->cancelled)
                this->violation = "cancelled without a request";
            this->end = state;
            entry.shownEnded = true;
        }
    }

    Random random;
    TimeMs now = 1000;
    std::vector<Record> log;
    std::uint64_t epoch = 0; // the highest that the log has seen
    std::array<SimulatedEntry, 2> entries;
    SimulatedHost host;
    Record acceptance;
    bool accepted = false;
    bool cancelled = false; // a cancellation has been stored
    std::string end; // as shown by any entry; empty: none
    std::string violation;
};

} // namespace

TEST_GROUP(JobEnd){};

// Guards against an end that changes: entries showed a job as cancelled, from its stored
// cancellation, and 1.2 s later as completed, from the leader's record that was stored later.
TEST(JobEnd, shownEndNeverChanges)
{
    std::map<std::string, int> ends;
    int finishedBeforeCancellation = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        Simulation simulation(seed);
        const std::string violation = simulation.run();
        STRCMP_EQUAL(
            "",
            violation.empty() ? "" : ("seed " + std::to_string(seed) + ": " + violation).c_str());
        ++ends[simulation.shownEnd()];
        if (simulation.shownEnd() != "cancelled" && simulation.cancellationStored())
            ++finishedBeforeCancellation;
    }
    // The interleavings of interest occur.
    CHECK(ends["completed"] > 100);
    CHECK(ends["failed"] > 100);
    CHECK(ends["cancelled"] > 100);
    CHECK(finishedBeforeCancellation > 100);
}
