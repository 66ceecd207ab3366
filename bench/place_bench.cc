// Measures the duration of a placement decision and the memory of the view at several cluster
// sizes, and compares the entry with two baselines on a simulated mix of jobs on today's cluster of
// 10 workers: first-fit with quota counters, and best-fit without guaranteed blocks. All seeds are
// fixed.

#include "flamingo/entry.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

using namespace flamingo;

namespace {

constexpr std::uint64_t seed = 20261204;

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd; // hblkhd: large blocks, which uordblks leaves out
}

// ---- Cost of a decision ----

constexpr std::uint32_t workersPerRack = 3;
constexpr std::uint32_t racksPerDataCentre = 294; // 15,000 workers in 17 data centres
constexpr std::size_t decisions = 20000;
constexpr double tasksPerWorker = 3.42; // drawn; some find no free block, about 47,000 are placed

Report randomReport(std::uint32_t worker, std::uint64_t sequence, Random &random)
{
    Report report;
    report.agent = "worker-" + std::to_string(worker);
    report.region = "region-1";
    report.rack = "rack-" + std::to_string(worker / workersPerRack);
    report.dataCentre = "dc-" + std::to_string(worker / workersPerRack / racksPerDataCentre);
    report.incarnation = 1;
    report.sequence = sequence;
    report.accelerators = 8;
    report.slots = 16;
    report.cores = 64;
    report.memoryMib = 262144;
    report.freeMask = 0xff;
    auto tasks = static_cast<std::size_t>(tasksPerWorker);
    tasks +=
        std::uniform_real_distribution<>(0, 1)(random) < tasksPerWorker - static_cast<double>(tasks)
        ? 1
        : 0;
    for (std::size_t i = 0; i < tasks; ++i) {
        const auto block = bestBlock(report.freeMask, 1 + static_cast<std::uint32_t>(random() % 3));
        if (block == 0)
            continue;
        report.freeMask &= ~block;
        report.evictableMask |= random() % 2 == 0 ? block : 0;
        report.tasks.emplace_back();
        auto &task = report.tasks.back();
        task.job = "entry-1.1." + std::to_string(random() % 1000000);
        task.attempt = "entry-1.1#" + std::to_string(random() % 1000000);
        task.organisation = "organisation-" + std::to_string(random() % 110);
        task.accelerators = static_cast<std::uint32_t>(__builtin_popcountll(block));
    }
    report.freeSlots = static_cast<std::uint32_t>(16 - report.tasks.size());
    report.freeCores = static_cast<std::uint32_t>(64 - 8 * report.tasks.size());
    report.freeMemoryMib = static_cast<std::uint32_t>(262144 - 32768 * report.tasks.size());
    return report;
}

// A third of the workers have a guaranteed block, in gangs of 2 for 110 organisations.
Table tableWithGuaranteedBlocks(std::uint32_t workers)
{
    Table table;
    table.version = 1;
    for (std::uint32_t worker = 0; worker + 1 < workers; worker += 6) {
        const auto name = "organisation-" + std::to_string(worker / 6 % 110);
        for (std::uint32_t member = 0; member < 2; ++member)
            table.guaranteedBlocks.push_back(
                {name, 0, worker / 660, member, "worker-" + std::to_string(worker + member), 0, 4});
    }
    return table;
}

JobSpec randomJob(std::uint32_t workers, Random &random)
{
    JobSpec spec;
    spec.organisation = "organisation-" + std::to_string(random() % 110);
    spec.accelerators = 1 + static_cast<std::uint32_t>(random() % 8);
    spec.cores = 8;
    spec.memoryMib = 16384;
    spec.idempotent = random() % 4 != 0;
    if (random() % 10 == 0)
        spec.members = 2 + static_cast<std::uint32_t>(random() % 63);
    if (random() % 100 == 0)
        spec.members = 512;
    spec.members = std::min(spec.members, workers);
    return spec;
}

void benchDecisions(std::uint32_t workers)
{
    Random random(seed);
    const auto before = heapBytes();
    auto view = std::make_unique<View>();
    setGuaranteedBlocks(*view, tableWithGuaranteedBlocks(workers));
    std::size_t tasks = 0;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        const auto report = randomReport(worker, 1, random);
        tasks += report.tasks.size();
        applyReport(*view, report, 0);
    }
    const auto bytes = heapBytes() - before;
    std::vector<double> durationsUs;
    std::size_t placed = 0;
    for (std::size_t i = 0; i < decisions; ++i) {
        const auto spec = randomJob(workers, random);
        const auto start = std::chrono::steady_clock::now();
        const auto placement = place(*view, spec, {}, random);
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - start;
        durationsUs.push_back(elapsed.count());
        placed += placement ? 1 : 0;
    }
    std::printf("decision workers=%u tasks=%zu placed=%zu/%zu p50_us=%.1f p99_us=%.1f max_us=%.1f "
                "view_mib=%.2f\n",
                workers, tasks, placed, decisions, quantile(durationsUs, 0.5),
                quantile(durationsUs, 0.99), quantile(durationsUs, 1),
                static_cast<double>(bytes) / 1048576);
}

// Measures the memory of an entry for its region: a sixth of the workers of the two-year target,
// all tasks started by this entry and a queue of 1,000 jobs.
void benchEntryMemory()
{
    constexpr std::uint32_t workers = 2500;
    constexpr std::size_t jobs = 8833;
    Random random(seed);
    const auto before = heapBytes();
    EntryOptions options;
    options.name = "entry-1";
    options.region = "region-1";
    auto entry = std::make_unique<Entry>(makeEntry(options));
    Outbox out;
    entry->table = tableWithGuaranteedBlocks(workers);
    for (int i = 0; i < 110; ++i) {
        Organisation row;
        row.name = "organisation-" + std::to_string(i);
        entry->table.organisations[row.name] = row;
    }
    setGuaranteedBlocks(entry->view, entry->table);
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        auto report = randomReport(worker, 1, random);
        handleEntry(*entry, PeerMessage{report.agent, report}, 1, random, out);
        out = {};
    }
    for (std::size_t i = 0; i < jobs; ++i) {
        Submit submit;
        submit.request = "request-" + std::to_string(i);
        submit.spec = randomJob(1, random);
        submit.spec.payload.assign(512, 'x');
        handleEntry(*entry, submit, 2, random, out);
        out = {};
    }
    std::printf("entry workers=%u jobs=%zu queued=%zu state_mib=%.2f goal_mib=32\n", workers,
                entry->jobs.size(), entry->queue.size,
                static_cast<double>(heapBytes() - before) / 1048576);
}

// ---- Simulated mix of jobs ----

constexpr std::uint32_t simWorkers = 10;
constexpr TimeMs simStepMs = 100;
constexpr TimeMs simReportMs = 1000; // and immediately on change
constexpr std::uint64_t simRuns = 5; // with different seeds; results are pooled
constexpr TimeMs simArrivalsMs = 4LL * 3600 * 1000;
constexpr TimeMs simEndMs = 8LL * 3600 * 1000;
constexpr TimeMs guaranteedStartMs = 3300; // docs/design.md, 1.5
constexpr TimeMs evictionMs = 2000; // upper bound of a checkpoint

struct SimJob
{
    JobSpec spec;
    TimeMs arrivesAt = 0;
    TimeMs runMs = 0;
    TimeMs leftMs = 0;
    TimeMs startedAt = -1;
    TimeMs endedAt = -1;
    bool withinGuarantee = false; // at its arrival; see recordWithinGuarantee()
};

struct SimTask
{
    std::size_t job = 0;
    std::string attempt;
    std::vector<std::uint32_t> workers;
    std::vector<std::uint64_t> masks;
    TimeMs runsFrom = 0;
    TimeMs endsAt = 0;
    bool lent = false;
};

struct Cluster
{
    std::vector<SimJob> jobs;
    std::vector<SimTask> tasks;
    std::array<std::uint64_t, simWorkers> freeMasks;
    double fragmentation = 0;
    double samples = 0;
    std::size_t evictions = 0;

    Cluster()
    {
        this->freeMasks.fill(0xff);
    }
};

void addJobs(std::vector<SimJob> &jobs, Random &random, const JobSpec &spec, double perHour,
             double meanSeconds)
{
    std::exponential_distribution<> gap(perHour / 3600000);
    std::lognormal_distribution<> length(std::log(meanSeconds * 1000) - 0.32, 0.8);
    std::uniform_real_distribution<> error(std::log(0.1), std::log(10));
    for (double at = gap(random); at < simArrivalsMs; at += gap(random)) {
        SimJob job;
        job.spec = spec;
        job.arrivesAt = static_cast<TimeMs>(at);
        job.runMs = job.leftMs = std::max<TimeMs>(200, static_cast<TimeMs>(length(random)));
        job.spec.declaredMs =
            static_cast<std::uint64_t>(static_cast<double>(job.runMs) * std::exp(error(random)));
        jobs.push_back(std::move(job));
    }
}

JobSpec simSpec(std::string_view organisation, JobClass jobClass, std::uint32_t members,
                std::uint32_t accelerators, bool checkpointable)
{
    JobSpec spec;
    spec.organisation = organisation;
    spec.jobClass = jobClass;
    spec.members = members;
    spec.accelerators = accelerators;
    spec.cores = 4 * accelerators;
    spec.memoryMib = 1024;
    spec.checkpointable = checkpointable;
    return spec;
}

// Pricing and alignment have guarantees; restoration and tagging use the remaining capacity.
std::vector<SimJob> makeJobs(std::uint64_t run)
{
    Random random(seed + run);
    std::vector<SimJob> jobs;
    addJobs(jobs, random, simSpec("pricing", JobClass::Urgent, 1, 2, false), 240, 20);
    addJobs(jobs, random, simSpec("alignment", JobClass::Interactive, 1, 4, true), 30, 240);
    addJobs(jobs, random, simSpec("restoration", JobClass::Batch, 2, 8, true), 3, 1200);
    addJobs(jobs, random, simSpec("tagging", JobClass::Batch, 1, 2, true), 85, 900);
    std::sort(jobs.begin(), jobs.end(),
              [](const auto &a, const auto &b) { return a.arrivesAt < b.arrivesAt; });
    for (std::size_t i = 0; i < jobs.size(); ++i)
        jobs[i].spec.job = std::to_string(i);
    return jobs;
}

constexpr std::string_view simTable = R"({"organisations": [
    {"name": "pricing", "homeRegion": "region-1",
     "guarantees": [{"region": "region-1", "copies": 2, "members": 1, "accelerators": 8}]},
    {"name": "alignment", "homeRegion": "region-1",
     "guarantees": [{"region": "region-1", "copies": 2, "members": 1, "accelerators": 8}]},
    {"name": "restoration", "homeRegion": "region-1", "weight": 2},
    {"name": "tagging", "homeRegion": "region-1"}]})";

std::uint32_t guaranteedAccelerators(std::string_view organisation)
{
    return organisation == "pricing" || organisation == "alignment" ? 16 : 0;
}

std::uint32_t acceleratorsInUse(const Cluster &cluster, std::string_view organisation)
{
    std::uint32_t used = 0;
    for (const auto &task : cluster.tasks) {
        const auto &spec = cluster.jobs[task.job].spec;
        used += spec.organisation == organisation ? spec.members * spec.accelerators : 0;
    }
    return used;
}

// Records whether the organisation stays within its guarantee with the running, the waiting and the
// new job.
void recordWithinGuarantee(Cluster &cluster, std::size_t index)
{
    auto &job = cluster.jobs[index];
    std::uint32_t waiting = 0;
    for (std::size_t i = 0; i < index; ++i) {
        const auto &other = cluster.jobs[i];
        if (other.startedAt < 0 && other.spec.organisation == job.spec.organisation)
            waiting += other.spec.accelerators;
    }
    job.withinGuarantee =
        acceleratorsInUse(cluster, job.spec.organisation) + waiting + job.spec.accelerators
        <= guaranteedAccelerators(job.spec.organisation);
}

void startTask(Cluster &cluster, SimTask task, TimeMs now, TimeMs delay)
{
    auto &job = cluster.jobs[task.job];
    for (std::size_t i = 0; i < task.workers.size(); ++i)
        cluster.freeMasks[task.workers[i]] &= ~task.masks[i];
    task.runsFrom = now + delay;
    task.endsAt = task.runsFrom + job.leftMs;
    if (job.startedAt < 0)
        job.startedAt = task.runsFrom;
    cluster.tasks.push_back(std::move(task));
}

void releaseAccelerators(Cluster &cluster, const SimTask &task)
{
    for (std::size_t i = 0; i < task.workers.size(); ++i)
        cluster.freeMasks[task.workers[i]] |= task.masks[i];
}

// Ends due tasks, then calls `onEnded` for each of them.
void endDueTasks(Cluster &cluster, TimeMs now, const std::function<void(const SimTask &)> &onEnded)
{
    std::vector<SimTask> due;
    for (std::size_t i = 0; i < cluster.tasks.size();) {
        if (cluster.tasks[i].endsAt > now) {
            ++i;
            continue;
        }
        due.push_back(cluster.tasks[i]);
        cluster.tasks[i] = cluster.tasks.back();
        cluster.tasks.pop_back();
    }
    for (const auto &task : due) {
        cluster.jobs[task.job].endedAt = now;
        releaseAccelerators(cluster, task);
    }
    for (const auto &task : due)
        onEnded(task);
}

void sampleFragmentation(Cluster &cluster)
{
    int free = 0;
    int largest = 0;
    for (const auto mask : cluster.freeMasks) {
        free += __builtin_popcountll(mask);
        largest += largestRun(mask);
    }
    if (free == 0)
        return;
    cluster.fragmentation += 1 - static_cast<double>(largest) / free;
    cluster.samples += 1;
}

struct Result
{
    std::array<std::vector<double>, jobClasses> seconds;
    double fragmentation = 0;
    std::size_t withinGuarantee = 0;
    std::size_t violations = 0;
    std::size_t evictions = 0;
    std::size_t unfinished = 0;
};

void addResult(Result &result, const Cluster &cluster)
{
    result.fragmentation += cluster.fragmentation / std::max(1.0, cluster.samples) / simRuns;
    result.evictions += cluster.evictions;
    for (const auto &job : cluster.jobs) {
        const bool late = job.startedAt < 0 || job.startedAt - job.arrivesAt > guaranteedStartMs;
        result.withinGuarantee += job.withinGuarantee ? 1 : 0;
        result.violations += job.withinGuarantee && late ? 1 : 0;
        result.unfinished += job.endedAt < 0 ? 1 : 0;
        if (job.endedAt >= 0)
            result.seconds[static_cast<std::size_t>(job.spec.jobClass)].push_back(
                static_cast<double>(job.endedAt - job.arrivesAt) / 1000);
    }
}

void printResult(std::string_view policy, const std::function<Cluster(std::uint64_t)> &run)
{
    Result result;
    for (std::uint64_t i = 0; i < simRuns; ++i)
        addResult(result, run(i));
    const std::string name(policy);
    for (std::size_t i = 0; i < jobClasses; ++i)
        std::printf("mix policy=%s class=%s jobs=%zu completion_s p50=%.1f p95=%.1f p99=%.1f\n",
                    name.c_str(), wire::EnumNameJobClass(static_cast<JobClass>(i)),
                    result.seconds[i].size(), quantile(result.seconds[i], 0.5),
                    quantile(result.seconds[i], 0.95), quantile(result.seconds[i], 0.99));
    std::printf("mix policy=%s fragmentation=%.3f guaranteed_jobs=%zu violations=%zu evictions=%zu "
                "unfinished=%zu\n",
                name.c_str(), result.fragmentation, result.withinGuarantee, result.violations,
                result.evictions, result.unfinished);
}

// ---- Baselines: one queue per class in order of arrival, unlimited backfilling ----

// Returns workers and blocks for a job; no workers when the free capacity does not suffice.
using PlacementPolicy = std::function<SimTask(const Cluster &, const JobSpec &)>;

SimTask firstFit(const Cluster &cluster, const JobSpec &spec)
{
    SimTask task;
    if (acceleratorsInUse(cluster, spec.organisation) + spec.members * spec.accelerators > 40)
        return task; // quota counter: half of all accelerators for each organisation
    for (std::uint32_t worker = 0; worker < simWorkers; ++worker) {
        for (std::uint32_t first = 0; first + spec.accelerators <= 8; ++first) {
            const auto block = ((1ULL << spec.accelerators) - 1) << first;
            if ((block & ~cluster.freeMasks[worker]) != 0)
                continue;
            task.workers.push_back(worker);
            task.masks.push_back(block);
            break;
        }
        if (task.workers.size() == spec.members)
            return task;
    }
    return {};
}

SimTask bestFit(const Cluster &cluster, const JobSpec &spec)
{
    std::vector<std::pair<int, std::uint32_t>> candidates;
    for (std::uint32_t worker = 0; worker < simWorkers; ++worker) {
        const auto mask = cluster.freeMasks[worker];
        if (bestBlock(mask, spec.accelerators) != 0)
            candidates.emplace_back(largestRun(mask), worker);
    }
    if (candidates.size() < spec.members)
        return {};
    std::sort(candidates.begin(), candidates.end());
    SimTask task;
    for (std::uint32_t i = 0; i < spec.members; ++i) {
        task.workers.push_back(candidates[i].second);
        task.masks.push_back(bestBlock(cluster.freeMasks[candidates[i].second], spec.accelerators));
    }
    return task;
}

Cluster runBaseline(std::uint64_t run, const PlacementPolicy &policy)
{
    Cluster cluster;
    cluster.jobs = makeJobs(run);
    std::array<std::vector<std::size_t>, jobClasses> waiting;
    std::size_t next = 0;
    for (TimeMs now = 0; now < simEndMs; now += simStepMs) {
        endDueTasks(cluster, now, [](const SimTask &) {});
        for (; next < cluster.jobs.size() && cluster.jobs[next].arrivesAt <= now; ++next) {
            recordWithinGuarantee(cluster, next);
            waiting[static_cast<std::size_t>(cluster.jobs[next].spec.jobClass)].push_back(next);
        }
        for (auto &queue : waiting) {
            for (auto at = queue.begin(); at != queue.end();) {
                auto task = policy(cluster, cluster.jobs[*at].spec);
                task.job = *at;
                const bool fits = !task.workers.empty();
                if (fits)
                    startTask(cluster, std::move(task), now, 0);
                at = fits ? queue.erase(at) : at + 1;
            }
        }
        sampleFragmentation(cluster);
    }
    return cluster;
}

// ---- The entry, with agents that decide without delay ----

struct EntrySimulation
{
    Cluster cluster;
    Entry entry;
    Random random{seed};
    TimeMs now = 0;
    std::array<std::uint64_t, simWorkers> reportedMasks{};
    std::uint64_t offset = 0;
    std::uint64_t sequence = 0;

    EntrySimulation(std::uint64_t run, double fragmentationWeight)
    {
        EntryOptions options;
        options.name = "entry-1";
        options.region = "region-1";
        options.fragmentationWeight = fragmentationWeight;
        this->entry = makeEntry(options);
        this->cluster.jobs = makeJobs(run);
    }

    static std::string workerName(std::uint32_t worker)
    {
        return "worker-" + std::to_string(worker);
    }

    void handle(const EntryEvent &event)
    {
        Outbox out;
        handleEntry(this->entry, event, this->now, this->random, out);
        for (const auto &append : out.appends)
            this->append(append);
        for (const auto &send : out.sends) {
            if (const auto *start = std::get_if<Start>(&send.message))
                this->onStart(*start, send.to);
        }
    }

    void append(const Append &append)
    {
        LogRead read;
        read.stream = append.stream;
        for (const auto &line : append.lines) {
            read.lines.emplace_back();
            read.lines.back().offset = this->offset++;
            read.lines.back().text = line;
        }
        read.next = this->offset;
        this->handle(LogAppended{append.id, true, 0});
        this->handle(read);
    }

    void report(std::uint32_t worker)
    {
        Report report;
        report.agent = workerName(worker);
        report.region = "region-1";
        report.dataCentre = worker < 6 ? "dc-1" : "dc-2";
        report.rack = "rack-" + std::to_string(worker / 3);
        report.incarnation = 1;
        report.sequence = ++this->sequence;
        report.accelerators = report.slots = 8;
        report.cores = 64;
        report.memoryMib = 262144;
        report.freeMask = this->cluster.freeMasks[worker];
        report.freeSlots = 8;
        report.freeMemoryMib = report.memoryMib;
        report.tableVersion = this->entry.table.version;
        for (const auto &task : this->cluster.tasks)
            this->addTask(report, task, worker);
        report.freeSlots -= static_cast<std::uint32_t>(report.tasks.size());
        report.freeCores = 4 * static_cast<std::uint32_t>(__builtin_popcountll(report.freeMask));
        this->handle(PeerMessage{report.agent, report});
    }

    void addTask(Report &report, const SimTask &task, std::uint32_t worker) const
    {
        const auto &spec = this->cluster.jobs[task.job].spec;
        for (std::size_t i = 0; i < task.workers.size(); ++i) {
            if (task.workers[i] != worker)
                continue;
            wire::TaskInfoT info;
            info.job = spec.job;
            info.attempt = task.attempt;
            info.organisation = spec.organisation;
            info.accelerators = spec.accelerators;
            info.evictable = task.lent;
            report.evictableMask |= task.lent ? task.masks[i] : 0;
            report.tasks.push_back(std::move(info));
        }
    }

    // Returns the block for a start on one worker, or 0 when there is none. As in an agent, only
    // starts on guaranteed blocks evict borrowing tasks.
    std::uint64_t chooseBlock(std::uint32_t worker, const Start &start) const
    {
        const auto free = this->cluster.freeMasks[worker];
        const auto own =
            guaranteedFor(this->entry.table, workerName(worker), start.spec->organisation);
        const auto others =
            guaranteedForOthers(this->entry.table, workerName(worker), start.spec->organisation);
        std::uint64_t evictable = 0;
        for (const auto &task : this->cluster.tasks) {
            for (std::size_t i = 0; i < task.workers.size(); ++i)
                evictable |= task.lent && task.workers[i] == worker ? task.masks[i] : 0;
        }
        if (start.guaranteed)
            return bestReclaimableBlock((free | evictable) & own, free, start.spec->accelerators);
        for (const auto mask : {free & ~own & ~others, free & ~others, free}) {
            const auto block = bestBlock(mask, start.spec->accelerators);
            if (block != 0)
                return block;
        }
        return 0;
    }

    // Evicts the borrowing tasks on a block; false when there were none.
    bool evict(std::uint32_t worker, std::uint64_t block)
    {
        bool evicted = false;
        for (std::size_t i = 0; i < this->cluster.tasks.size();) {
            const auto task = this->cluster.tasks[i];
            bool overlaps = false;
            for (std::size_t m = 0; m < task.workers.size(); ++m)
                overlaps = overlaps || (task.workers[m] == worker && (task.masks[m] & block) != 0);
            if (!overlaps) {
                ++i;
                continue;
            }
            this->cluster.tasks.erase(this->cluster.tasks.begin() + static_cast<std::ptrdiff_t>(i));
            this->endEvicted(task);
            evicted = true;
        }
        return evicted;
    }

    void endEvicted(const SimTask &task)
    {
        auto &job = this->cluster.jobs[task.job];
        releaseAccelerators(this->cluster, task);
        ++this->cluster.evictions;
        if (job.spec.checkpointable)
            job.leftMs -= std::max<TimeMs>(0, this->now - task.runsFrom);
        job.leftMs = std::max<TimeMs>(job.leftMs, 1);
        this->evicted.push_back(task);
    }

    void onStart(const Start &start, std::string_view leader)
    {
        SimTask task;
        task.job = static_cast<std::size_t>(std::stoul(start.spec->job));
        task.attempt = start.attempt;
        auto names = start.members;
        if (names.empty())
            names.emplace_back(leader);
        StartReply reply;
        reply.job = start.spec->job;
        reply.attempt = start.attempt;
        reply.reason = ReasonCode::NoRoom;
        for (const auto &name : names) {
            task.workers.push_back(static_cast<std::uint32_t>(std::stoul(name.substr(7))));
            task.masks.push_back(this->chooseBlock(task.workers.back(), start));
            const auto others =
                guaranteedForOthers(this->entry.table, name, start.spec->organisation);
            task.lent = task.lent || (task.masks.back() & others) != 0;
        }
        reply.accepted = std::find(task.masks.begin(), task.masks.end(), 0ULL) == task.masks.end();
        if (reply.accepted) {
            bool evictsTasks = false;
            for (std::size_t i = 0; i < task.workers.size(); ++i)
                evictsTasks = this->evict(task.workers[i], task.masks[i]) || evictsTasks;
            startTask(this->cluster, std::move(task), this->now, evictsTasks ? evictionMs : 0);
        }
        this->replies.emplace_back(std::string(leader), reply);
    }

    void deliverPending()
    {
        while (!this->replies.empty() || !this->evicted.empty()) {
            const auto starts = std::exchange(this->replies, {});
            const auto endedByEviction = std::exchange(this->evicted, {});
            for (const auto &[agent, reply] : starts)
                this->handle(PeerMessage{agent, reply});
            for (const auto &task : endedByEviction)
                this->sendOutcome(task, Verdict::NotRun, ReasonCode::Evicted);
        }
    }

    void sendOutcome(const SimTask &task, Verdict verdict, ReasonCode code)
    {
        Outcome outcome;
        outcome.job = this->cluster.jobs[task.job].spec.job;
        outcome.attempt = task.attempt;
        outcome.verdict = verdict;
        outcome.reason = code;
        this->handle(PeerMessage{workerName(task.workers.front()), outcome});
    }

    void reportAll()
    {
        for (std::uint32_t worker = 0; worker < simWorkers; ++worker) {
            const auto mask = this->cluster.freeMasks[worker];
            if (mask == this->reportedMasks[worker] && this->now % simReportMs != 0)
                continue;
            this->reportedMasks[worker] = mask;
            this->report(worker);
        }
    }

    void run()
    {
        this->reportAll();
        this->handle(EditTable{"edit", "bench", 0, std::string(simTable), 0, false});
        std::size_t next = 0;
        for (; this->now < simEndMs; this->now += simStepMs) {
            endDueTasks(this->cluster, this->now, [this](const SimTask &task) {
                this->sendOutcome(task, Verdict::Ran, ReasonCode::None);
            });
            for (; next < this->cluster.jobs.size()
                 && this->cluster.jobs[next].arrivesAt <= this->now;
                 ++next) {
                recordWithinGuarantee(this->cluster, next);
                this->handle(Submit{std::to_string(next), this->cluster.jobs[next].spec, true});
                this->deliverPending();
            }
            this->deliverPending();
            this->reportAll();
            this->handle(Tick{});
            this->deliverPending();
            sampleFragmentation(this->cluster);
        }
    }

    std::vector<std::pair<std::string, StartReply>> replies;
    std::vector<SimTask> evicted;
};

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const std::uint32_t workers : {10U, 100U, 1000U, 15000U})
        benchDecisions(workers);
    benchEntryMemory();
    printResult("first-fit-quota", [](std::uint64_t run) { return runBaseline(run, firstFit); });
    printResult("best-fit-no-anchors", [](std::uint64_t run) { return runBaseline(run, bestFit); });
    for (const double weight : {0.0, 0.5, 1.0}) {
        const auto name = "entry-weight-" + std::to_string(weight).substr(0, 3);
        printResult(name, [weight](std::uint64_t run) {
            EntrySimulation simulation(run, weight);
            simulation.run();
            return std::move(simulation.cluster);
        });
    }
    return 0;
}
