// The schedules of the simulated system: requests of callers and operators, and faults.
//
// After bootstrap(), run() repeats: advance time by a random step, then perform one weighted random
// action. Then all faults end and the final state is checked.

#include "system_simulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::tests {
namespace {

using Json = nlohmann::json;

constexpr TimeMs urgentBoundMs = 3300;
constexpr TimeMs slowStopMs = 300; // at a busy worker
constexpr TimeMs faultFreeMs = 8000; // at the entry and workers of a measured start
constexpr TimeMs hourMs = 3600000;

// An organisation with a guaranteed shape.
struct GuaranteedShape
{
    const char *name;
    const char *region;
    std::uint32_t members;
    std::uint32_t accelerators; // per member
};

constexpr GuaranteedShape guaranteedShapes[] = {
    {"alfa", "west", 1, 8}, {"bravo", "west", 2, 4}, {"carlo", "east", 2, 4}};
constexpr const char *organisationsWithoutGuarantee[] = {"delta", "echo", "foxtrot"};

Json organisationJson(const std::string &name, const std::string &region, std::uint32_t weight)
{
    return {{"name", name}, {"homeRegion", region}, {"weight", weight}};
}

} // namespace

SystemSimulation::SystemSimulation(std::uint64_t seed, bool busyWorkers)
    : random(seed)
    , seed(seed)
    , busyWorkers(busyWorkers)
    , refusalRandom(seed)
{
    for (const char *name : {"w1-entry", "w2-entry"})
        this->addProcess(name, ProcessKind::Entry, "west", std::string(name, 2), "");
    for (const char *name : {"e1-entry", "e2-entry"})
        this->addProcess(name, ProcessKind::Entry, "east", std::string(name, 2), "");
    for (int i = 0; i < 4; ++i)
        this->addProcess("w1-agent" + std::to_string(i), ProcessKind::Agent, "west", "w1",
                         "w1-rack" + std::to_string(i / 2));
    for (int i = 0; i < 3; ++i)
        this->addProcess("e1-agent" + std::to_string(i), ProcessKind::Agent, "east", "e1",
                         "e1-rack0");
    for (const auto &host : this->hosts)
        host->worker.stopMs = busyWorkers ? slowStopMs : 0;
    for (const auto &process : this->processes)
        this->start(*process);
    this->reconnectPeers();
}

// ---- Requests ----

Process *SystemSimulation::pickEntry(std::string_view region)
{
    std::vector<Process *> candidates;
    for (Process *entry : this->entries) {
        if (entry->alive && !entry->stopping && (region.empty() || entry->info.region == region))
            candidates.push_back(entry);
    }
    return candidates.empty() ? nullptr : candidates[this->randomIndex(candidates.size())];
}

Process *SystemSimulation::pickAgent()
{
    return this->agents[this->randomIndex(this->agents.size())];
}

Request &SystemSimulation::addRequest(Process &entry, RequestKind kind)
{
    const std::string id = "r" + std::to_string(++this->lastRequestNumber);
    Request &request = this->requests[id];
    request.kind = kind;
    request.id = id;
    request.entry = entry.info.process;
    request.incarnation = entry.info.incarnation;
    request.sentAt = this->now;
    this->openRequests.insert(id);
    ++this->statistics.requests;
    return request;
}

void SystemSimulation::submit(Process &entry, JobSpec spec, bool wait, bool startBounded)
{
    Request &request = this->addRequest(entry, RequestKind::Submit);
    spec.job = entry.info.process + "." + std::to_string(entry.info.incarnation) + "." + request.id;
    if (spec.homeRegion.empty())
        spec.homeRegion = entry.info.region;
    if (spec.payload.empty() || spec.idempotent) {
        Json payload = spec.payload.empty() ? Json::object() : Json::parse(spec.payload);
        payload["answer"] = "answer of " + spec.job;
        spec.payload = payload.dump();
    }
    request.spec = spec;
    request.startBounded = startBounded;
    this->specsByJob[spec.job] = spec;
    this->submittedJobs.push_back(spec.job);
    if (startBounded)
        this->requestByUrgentJob[spec.job] = request.id;
    this->addTrace("submit " + request.id + " at " + entry.info.process + " of " + spec.organisation
                   + " " + std::to_string(spec.members) + "x" + std::to_string(spec.accelerators)
                   + (spec.idempotent ? "" : " key " + spec.key) + " class "
                   + std::to_string(static_cast<int>(spec.jobClass)) + " " + spec.payload);
    this->post(entry, 1, [this, &entry, id = request.id, spec, wait] {
        this->handle(entry, Submit{id, spec, wait});
    });
    if (!startBounded)
        return;
    this->runAfter(urgentBoundMs + 2, [this, id = request.id] {
        const Request &request = this->requests.at(id);
        if (request.startBounded)
            this->reportViolation("check 1: urgent job " + request.spec.job + " did not start in "
                                  + std::to_string(urgentBoundMs) + " ms");
    });
}

JobSpec SystemSimulation::randomSpec()
{
    JobSpec spec;
    spec.organisation = organisationsWithoutGuarantee[this->randomIndex(3)];
    spec.jobClass = this->chance(0.5) ? JobClass::Batch : JobClass::Interactive;
    spec.accelerators = static_cast<std::uint32_t>(this->randomBetween(1, 8));
    spec.cores = static_cast<std::uint32_t>(this->randomBetween(1, 4));
    spec.memoryMib = 100;
    spec.checkpointable = this->chance(0.5);
    spec.anyRegion = this->chance(0.2);
    spec.members = this->chance(0.25) ? static_cast<std::uint32_t>(this->randomBetween(2, 3)) : 1;
    if (this->chance(0.1))
        spec.deadlineMs = static_cast<std::uint64_t>(this->randomBetween(500, 20000));
    const TimeMs runMs =
        this->chance(0.2) ? this->randomBetween(10000, 40000) : this->randomBetween(20, 6000);
    spec.declaredMs = this->chance(0.5) ? static_cast<std::uint64_t>(runMs) : 0;
    Json payload = {{"runMs", runMs}, {"checkpointMs", this->randomBetween(20, 3000)}};
    if (this->chance(0.03))
        payload["fail"] = true;
    if (this->chance(0.02))
        payload["failAfterMs"] = this->randomBetween(1, 2000);
    spec.payload = payload.dump();
    return spec;
}

void SystemSimulation::submitIdempotent()
{
    Process *entry = this->pickEntry();
    if (entry != nullptr)
        this->submit(*entry, this->randomSpec(), this->chance(0.8));
}

void SystemSimulation::submitNonIdempotent()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr)
        return;
    if (!this->specsByKey.empty() && this->chance(0.4)) {
        // A caller retries an earlier request, possibly at another entry.
        auto at = this->specsByKey.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(this->randomIndex(this->specsByKey.size())));
        JobSpec spec = at->second;
        spec.firstAttempt = false;
        this->submit(*entry, spec, true);
        return;
    }
    JobSpec spec = this->randomSpec();
    spec.idempotent = false;
    spec.key = "key" + std::to_string(this->specsByKey.size());
    spec.homeRegion = this->chance(0.5) ? "west" : "east";
    spec.deadlineMs = 0;
    // Without checkpoints the job cannot borrow guaranteed blocks, and a gang with more than 4
    // accelerators per member may not fit outside them.
    if (!spec.checkpointable)
        spec.accelerators = std::min(spec.accelerators, 4U);
    spec.firstAttempt = true;
    Json payload = Json::parse(spec.payload);
    payload["answer"] = "answer of " + spec.key;
    spec.payload = payload.dump();
    this->specsByKey[spec.key] = spec;
    this->submit(*entry, spec, true);
    if (!this->chance(0.3))
        return;
    // The caller receives no reply and retries, possibly at another entry.
    this->runAfter(this->randomBetween(0, 3000), [this, spec]() mutable {
        Process *other = this->pickEntry();
        spec.firstAttempt = false;
        if (other != nullptr)
            this->submit(*other, spec, true);
    });
}

// True when the process had no fault for faultFreeMs and, for an agent, is connected to the entry,
// accepts tasks and has a working worker.
bool SystemSimulation::isHealthy(const Process &process, const Process &entry)
{
    const std::string &name = process.info.process;
    if (!process.alive || process.stopping || process.frozenUntil > this->now
        || this->now - process.lastFaultEnd <= faultFreeMs
        || this->isolatedProcesses.count(name) > 0)
        return false;
    if (!process.node)
        return true;
    const WorkerHost &host = *process.host;
    return host.downUntil <= this->now && !this->busyWorkers && process.drainingSince < 0
        && !host.worker.failAll && !process.node->agent.health.setAside
        && this->now - host.lastFaultEnd > faultFreeMs && this->linkOf(entry.info.process, name).up;
}

bool SystemSimulation::hasNoRunningTask(const std::string &organisation)
{
    for (const auto &[job, runs] : this->runsByJob) {
        if (this->specsByJob[job].organisation != organisation)
            continue;
        if (std::any_of(runs.begin(), runs.end(),
                        [](const TaskRun &run) { return run.endedAt < 0; }))
            return false;
    }
    return true;
}

// Submits a job of a guaranteed shape. Its start is measured when only borrowing tasks can delay
// it: the workers of the guaranteed blocks and the entry had no fault for faultFreeMs, and no fault
// is injected there until the bound has passed.
void SystemSimulation::submitUrgent()
{
    const GuaranteedShape &shape = guaranteedShapes[this->randomIndex(3)];
    Process *entry = this->pickEntry(shape.region);
    if (entry == nullptr || this->nextUrgentAt[shape.name] > this->now)
        return;
    JobSpec spec;
    spec.organisation = shape.name;
    spec.homeRegion = shape.region;
    spec.jobClass = JobClass::Urgent;
    spec.members = shape.members;
    spec.accelerators = shape.accelerators;
    spec.cores = 4;
    spec.memoryMib = 100;
    spec.checkpointable = true;
    spec.payload = Json{{"runMs", this->randomBetween(100, 3000)}}.dump();
    std::vector<Process *> needed = {entry};
    const Table &table = entry->entry->table;
    for (const GuaranteedBlock &guaranteedBlock : table.guaranteedBlocks) {
        if (guaranteedBlock.organisation == shape.name)
            needed.push_back(this->findProcess(guaranteedBlock.worker));
    }
    const bool healthy = needed.size() == shape.members + 1
        && this->now > this->messageFaultsUntil + faultFreeMs
        && this->now > this->guaranteedBlockPositions[shape.name].second + faultFreeMs
        && this->hasNoRunningTask(shape.name)
        && std::all_of(needed.begin(), needed.end(),
                       [&](const Process *process) { return this->isHealthy(*process, *entry); });
    this->nextUrgentAt[shape.name] = this->now + (healthy ? 8000 : 60000);
    if (healthy) {
        // No fault is injected into these processes before the bound has passed.
        for (Process *process : needed)
            this->noFaultsUntil[process->info.process] = this->now + urgentBoundMs + 100;
        this->noMessageFaultsUntil =
            std::max(this->noMessageFaultsUntil, this->now + urgentBoundMs + 100);
    }
    this->submit(*entry, spec, true, healthy);
}

void SystemSimulation::submitUnsatisfiable()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr)
        return;
    JobSpec spec = this->randomSpec();
    const auto kind = this->randomIndex(3);
    if (kind == 0)
        spec.accelerators = 9;
    else if (kind == 1)
        spec.members = 20;
    else
        spec.organisation = "nobody";
    this->submit(*entry, spec, true);
}

void SystemSimulation::submitBurst()
{
    const auto count = this->randomBetween(10, 40);
    for (TimeMs i = 0; i < count; ++i)
        this->submitIdempotent();
}

void SystemSimulation::cancelRandomJobs(std::size_t count)
{
    for (std::size_t i = 0; i < count && !this->submittedJobs.empty(); ++i) {
        Process *entry = this->pickEntry();
        if (entry == nullptr)
            return;
        const std::size_t recent = std::min<std::size_t>(this->submittedJobs.size(), 40);
        Request &request = this->addRequest(*entry, RequestKind::Cancel);
        request.job =
            this->submittedJobs[this->submittedJobs.size() - 1 - this->randomIndex(recent)];
        this->addTrace("cancel " + request.id + " of " + request.job + " at " + request.entry);
        this->post(*entry, 1, [this, entry, id = request.id, job = request.job] {
            this->handle(*entry, CancelJob{id, job});
        });
    }
}

void SystemSimulation::queryRandomJob()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr || this->submittedJobs.empty())
        return;
    const std::size_t recent = std::min<std::size_t>(this->submittedJobs.size(), 40);
    Request &request = this->addRequest(*entry, RequestKind::Query);
    request.job = this->submittedJobs[this->submittedJobs.size() - 1 - this->randomIndex(recent)];
    const bool wait = this->chance(0.5);
    this->addTrace("query " + request.id + " of " + request.job + " at " + request.entry);
    this->post(*entry, 1, [this, entry, id = request.id, job = request.job, wait] {
        this->handle(*entry, QueryJob{id, job, wait});
    });
}

void SystemSimulation::disconnectRandomCaller()
{
    if (this->openRequests.empty())
        return;
    auto at = this->openRequests.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(this->randomIndex(this->openRequests.size())));
    Request &request = this->requests.at(*at);
    if (request.kind != RequestKind::Submit && request.kind != RequestKind::Query)
        return;
    Process &entry = *this->findProcess(request.entry);
    request.abandoned = true;
    request.startBounded = false;
    ++this->statistics.abandonedRequests;
    this->addTrace("caller of " + request.id + " disconnects");
    this->openRequests.erase(at);
    this->post(entry, 1, [this, &entry, id = request.id] { this->handle(entry, CallerGone{id}); });
}

void SystemSimulation::submitEdits()
{
    const auto edits = this->randomBetween(1, 3);
    for (TimeMs i = 0; i < edits; ++i) {
        Process *entry = this->pickEntry();
        if (entry == nullptr)
            return;
        Request &request = this->addRequest(*entry, RequestKind::Edit);
        request.addedOrganisation = "row-" + request.id;
        EditTable edit;
        edit.request = request.id;
        edit.author = "operator" + std::to_string(i);
        edit.change = Json{{"organisations",
                            Json::array({organisationJson(request.addedOrganisation, "west", 1)})}}
                          .dump();
        edit.wait = this->chance(0.8);
        this->addTrace("edit " + request.id + " at " + request.entry + " on version "
                       + std::to_string(entry->tableVersion));
        edit.baseVersion = entry->tableVersion;
        this->post(*entry, this->randomBetween(1, 200),
                   [this, entry, edit] { this->handle(*entry, edit); });
    }
}

void SystemSimulation::drainRandomAgent()
{
    Process *entry = this->pickEntry();
    Process *agent = this->pickAgent();
    if (entry == nullptr || this->noFaultsUntil[agent->info.process] > this->now)
        return;
    Request &request = this->addRequest(*entry, RequestKind::Drain);
    request.target = agent->info.process;
    request.drain = agent->drainingSince < 0;
    this->addTrace((request.drain ? "drain " : "undrain ") + request.id + " of " + request.target
                   + " at " + request.entry);
    this->post(*entry, 1,
               [this, entry, id = request.id, target = request.target, drain = request.drain] {
                   this->handle(*entry, DrainTarget{id, target, drain});
               });
}

// ---- Faults ----

void SystemSimulation::killRandomProcess()
{
    Process &process = *this->processes[this->randomIndex(this->processes.size())];
    if (!process.alive || this->noFaultsUntil[process.info.process] > this->now)
        return;
    this->kill(process);
    this->runAfter(this->chance(0.5) ? this->randomBetween(100, 2000)
                                     : this->randomBetween(2000, 30000),
                   [this, &process] { this->start(process); });
}

void SystemSimulation::freezeRandomProcess()
{
    Process &process = *this->processes[this->randomIndex(this->processes.size())];
    if (process.alive && this->noFaultsUntil[process.info.process] <= this->now)
        this->freeze(process,
                     this->chance(0.5) ? this->randomBetween(100, 3000)
                                       : this->randomBetween(3000, 20000));
}

void SystemSimulation::failRandomWorker()
{
    Process &process = *this->pickAgent();
    WorkerHost &host = *process.host;
    if (this->noFaultsUntil[process.info.process] > this->now || host.downUntil > this->now)
        return;
    const auto kind = this->randomIndex(3);
    const TimeMs duration = this->randomBetween(500, 15000);
    host.lastFaultEnd = this->now + duration;
    standin::advance(host.worker, this->now);
    if (kind == 0) {
        this->addTrace("worker of " + host.name + " fails all tasks for "
                       + std::to_string(duration));
        host.worker.failAll = true;
        this->runAfter(duration, [&host] { host.worker.failAll = false; });
    } else if (kind == 1) {
        this->addTrace("worker of " + host.name + " freezes for " + std::to_string(duration));
        host.downUntil = this->now + duration;
        standin::setFrozen(host.worker, true, this->now);
        this->runAfter(duration, [this, &host] {
            standin::setFrozen(host.worker, false, this->now);
            standin::advance(host.worker, this->now);
            this->onWorkerChanged(host);
        });
    } else {
        this->addTrace("worker of " + host.name + " is down for " + std::to_string(duration));
        host.downUntil = this->now + duration;
        const TimeMs stopMs = std::exchange(host.worker.stopMs, 0); // the tasks end at once
        while (!host.worker.tasks.empty()) {
            const std::string task = host.worker.tasks.begin()->first;
            standin::stopTask(host.worker, task, this->now);
        }
        host.worker.stopMs = stopMs;
    }
    this->onWorkerChanged(host);
}

void SystemSimulation::partitionRegions(TimeMs duration)
{
    if (this->regionsPartitioned)
        return;
    this->addTrace("network partition between the regions for " + std::to_string(duration));
    this->regionsPartitioned = true;
    this->breakUnreachableLinks();
    this->runAfter(duration, [this] {
        this->addTrace("network partition ends");
        this->regionsPartitioned = false;
    });
}

void SystemSimulation::isolateRandomProcess(TimeMs duration)
{
    Process &process = *this->processes[this->randomIndex(this->processes.size())];
    const std::string name = process.info.process;
    if (this->noFaultsUntil[name] > this->now || this->isolatedProcesses.count(name) > 0)
        return;
    this->addTrace("isolate " + name + " for " + std::to_string(duration));
    this->isolatedProcesses.insert(name);
    this->breakUnreachableLinks();
    this->runAfter(duration, [this, &process, name] {
        this->isolatedProcesses.erase(name);
        process.lastFaultEnd = this->now;
    });
}

void SystemSimulation::degradeLog()
{
    const auto kind = this->randomIndex(3);
    const TimeMs end = this->now + this->randomBetween(1000, this->chance(0.3) ? 60000 : 8000);
    this->addTrace(std::string(kind == 0       ? "log unavailable"
                                   : kind == 1 ? "log slow"
                                               : "log loses answers")
                   + " until " + std::to_string(end));
    if (kind == 0)
        this->logDownUntil = std::max(this->logDownUntil, end);
    else if (kind == 1)
        this->logSlowUntil = std::max(this->logSlowUntil, end);
    else
        this->logAnswerLossUntil = std::max(this->logAnswerLossUntil, end);
}

// ---- Graceful stops: check 7 ----

void SystemSimulation::stopRandomProcess()
{
    Process &process = *this->processes[this->randomIndex(this->processes.size())];
    if (!process.alive || process.stopping || this->noFaultsUntil[process.info.process] > this->now
        || process.frozenUntil > this->now)
        return;
    this->addTrace("graceful stop of " + process.info.process);
    process.stopping = true;
    process.lastFaultEnd = this->now + 600000;
    if (process.entry) {
        this->handle(process, StopAccepting());
    } else {
        Drain drain;
        drain.drain = true;
        process.drainingSince = this->now;
        this->handle(process, PeerMessage{process.info.process, drain});
    }
    this->exitWhenIdle(process, process.info.incarnation);
}

void SystemSimulation::exitWhenIdle(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    const bool idle = process.entry ? entryIdle(*process.entry) : agentIdle(process.node->agent);
    if (!idle || process.frozenUntil > this->now) {
        this->post(process, 50,
                   [this, &process, incarnation] { this->exitWhenIdle(process, incarnation); });
        return;
    }
    for (const std::string &id : this->openRequests) {
        const Request &request = this->requests.at(id);
        if (request.entry == process.info.process && request.incarnation == incarnation
            && request.sentAt + 10 < this->now)
            this->reportViolation("check 7: " + process.info.process + " exits without replying to "
                                  + id);
    }
    if (process.host != nullptr && !process.host->worker.tasks.empty()
        && process.host->worker.holder == incarnation && process.host->downUntil <= this->now)
        this->reportViolation("check 7: " + process.info.process + " exits while task "
                              + process.host->worker.tasks.begin()->first + " runs");
    ++this->statistics.gracefulStops;
    this->kill(process);
    this->runAfter(this->randomBetween(200, 5000), [this, &process] { this->start(process); });
}

// ---- The schedule ----

void SystemSimulation::bootstrap()
{
    this->runUntil(this->now + 6000);
    Json organisations = Json::array();
    for (const GuaranteedShape &shape : guaranteedShapes) {
        Json organisation = organisationJson(shape.name, shape.region, 1);
        organisation["guarantees"] = Json::array({{{"region", shape.region},
                                                   {"copies", 1},
                                                   {"members", shape.members},
                                                   {"accelerators", shape.accelerators}}});
        organisations.push_back(organisation);
    }
    for (const char *name : organisationsWithoutGuarantee)
        organisations.push_back(organisationJson(name, "west", 2));
    Process &entry = *this->entries.front();
    Request &request = this->addRequest(entry, RequestKind::Edit);
    request.addedOrganisation = "alfa";
    EditTable edit;
    edit.request = request.id;
    edit.author = "operator";
    edit.change = Json{{"organisations", organisations}}.dump();
    this->handle(entry, edit);
    this->runUntil(this->now + 8000);
    if (this->statistics.editsAccepted != 1)
        this->reportViolation("check 8: the first edit was not accepted");
}

void SystemSimulation::runRandomAction()
{
    struct WeightedAction
    {
        int weight;
        std::function<void()> perform;
        bool fault = false;
    };
    const WeightedAction actions[] = {
        {40, [this] { this->submitIdempotent(); }},
        {20, [this] { this->submitNonIdempotent(); }},
        {15, [this] { this->submitUrgent(); }},
        {2, [this] { this->submitUnsatisfiable(); }},
        {2, [this] { this->submitBurst(); }},
        {3, [this] { this->cancelRandomJobs(1); }},
        {1, [this] { this->cancelRandomJobs(10); }},
        {3, [this] { this->queryRandomJob(); }},
        {2, [this] { this->disconnectRandomCaller(); }},
        {4, [this] { this->submitEdits(); }},
        {2, [this] { this->drainRandomAgent(); }, true},
        {3, [this] { this->killRandomProcess(); }, true},
        {3, [this] { this->freezeRandomProcess(); }, true},
        {2, [this] { this->failRandomWorker(); }, true},
        {1, [this] { this->partitionRegions(this->randomBetween(1000, 60000)); }, true},
        {1, [this] { this->isolateRandomProcess(this->randomBetween(500, 20000)); }, true},
        {2, [this] { this->degradeLog(); }, true},
        {1, [this] { this->stopRandomProcess(); }, true},
        {1,
         [this] {
             if (this->now >= this->noMessageFaultsUntil)
                 this->messageFaultsUntil = this->now + this->randomBetween(1000, 10000);
         },
         true},
    };
    int total = 0;
    for (const WeightedAction &action : actions)
        total += action.weight;
    auto draw = static_cast<int>(this->randomIndex(static_cast<std::size_t>(total)));
    for (const WeightedAction &action : actions) {
        draw -= action.weight;
        if (draw >= 0)
            continue;
        if (!action.fault || this->chance(this->faultProbability))
            action.perform();
        return;
    }
}

void SystemSimulation::endFaults()
{
    this->addTrace("all faults end");
    this->ending = true;
    this->regionsPartitioned = false;
    for (const auto &process : this->processes) {
        if (this->isolatedProcesses.count(process->info.process) > 0)
            process->lastFaultEnd = this->now; // as when an isolation ends by itself
    }
    this->isolatedProcesses.clear();
    this->messageFaultsUntil = 0;
    this->logDownUntil = 0;
    this->logSlowUntil = 0;
    this->logAnswerLossUntil = 0;
    this->busyWorkers = false;
    for (const auto &host : this->hosts)
        host->worker.stopMs = 0;
    this->runUntil(this->now + 35000); // let pending restarts and thaws happen
    for (const auto &process : this->processes) {
        if (process->node && process->alive && !process->stopping && process->drainingSince >= 0) {
            this->handle(*process, PeerMessage{process->info.process, Drain()});
            process->drainingSince = -1;
        }
    }
}

void SystemSimulation::run(bool longPartition)
{
    this->bootstrap();
    const TimeMs begin = this->now;
    this->faultProbability = this->chance(0.4) ? 1 : this->chance(0.5) ? 0.3 : 0.1;
    TimeMs end = begin + this->randomBetween(60000, 240000);
    if (longPartition) {
        const TimeMs duration = this->randomBetween(hourMs, 2 * hourMs);
        this->runUntil(this->now + this->randomBetween(0, 20000));
        this->partitionRegions(duration);
        end += duration;
    }
    while (this->now < end && this->violations.empty()) {
        const bool longPause = longPartition && this->now < end - 120000;
        this->runUntil(
            this->now
            + (longPause ? this->randomBetween(100, 30000) : this->randomBetween(1, 800)));
        this->runRandomAction();
    }
    this->endFaults();
    const TimeMs timeoutAt = this->now + 900000;
    while (this->now < timeoutAt && this->violations.empty() && !this->allIdle())
        this->runUntil(this->now + 1000);
    this->runUntil(this->now + 15000); // let tables converge and claims settle
    if (this->violations.empty())
        this->checkFinalState();
    ++this->statistics.schedules;
    this->statistics.simulatedHours += static_cast<double>(this->now) / hourMs;
}

} // namespace flamingo::tests
