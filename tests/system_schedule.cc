// The schedules of the simulated system: requests of callers and operators, and faults.

#include "system.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::tests {
namespace {

using Json = nlohmann::json;

constexpr TimeMs urgentBoundMs = 3300;
constexpr TimeMs urgentQuietMs = 8000; // without faults at the anchored workers, before the check
constexpr TimeMs hourMs = 3600000;

// Organisations with a guaranteed shape: region, members and accelerators of it.
struct Guaranteed
{
    const char *name;
    const char *region;
    std::uint32_t members;
    std::uint32_t accelerators;
};

constexpr Guaranteed guaranteed[] = {
    {"alfa", "west", 1, 8}, {"bravo", "west", 2, 4}, {"carlo", "east", 2, 4}};
constexpr const char *borrowers[] = {"delta", "echo", "foxtrot"};

Json rowOf(const std::string &name, const std::string &region, std::uint32_t weight)
{
    return {{"name", name}, {"homeRegion", region}, {"weight", weight}};
}

} // namespace

System::System(std::uint64_t seed)
    : random(seed)
    , seed(seed)
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
    for (const auto &process : this->processes)
        this->start(*process);
    this->keepConnected();
}

// ---- Requests ----

Process *System::pickEntry(std::string_view region)
{
    std::vector<Process *> live;
    for (Process *entry : this->entries) {
        if (entry->alive && !entry->stopping && (region.empty() || entry->info.region == region))
            live.push_back(entry);
    }
    return live.empty() ? nullptr : live[this->pick(live.size())];
}

Process *System::pickAgent()
{
    return this->agents[this->pick(this->agents.size())];
}

Request &System::request(Process &entry, RequestKind kind)
{
    const std::string id = "r" + std::to_string(++this->lastRequest);
    Request &request = this->requests[id];
    request.kind = kind;
    request.id = id;
    request.entry = entry.info.process;
    request.incarnation = entry.info.incarnation;
    request.at = this->now;
    this->open.insert(id);
    ++this->figures.requests;
    return request;
}

void System::submit(Process &entry, JobSpec spec, bool wait, bool urgent)
{
    Request &request = this->request(entry, RequestKind::Submit);
    spec.job = entry.info.process + "." + std::to_string(entry.info.incarnation) + "." + request.id;
    if (spec.homeRegion.empty())
        spec.homeRegion = entry.info.region;
    if (spec.payload.empty() || spec.idempotent) {
        Json payload = spec.payload.empty() ? Json::object() : Json::parse(spec.payload);
        payload["answer"] = "answer of " + spec.job;
        spec.payload = payload.dump();
    }
    request.spec = spec;
    request.urgent = urgent;
    this->specs[spec.job] = spec;
    this->openJobs.push_back(spec.job);
    if (urgent)
        this->urgentRequests[spec.job] = request.id;
    this->addTrace("submit " + request.id + " at " + entry.info.process + " of " + spec.organisation
                   + " " + std::to_string(spec.members) + "x" + std::to_string(spec.accelerators)
                   + (spec.idempotent ? "" : " key " + spec.key) + " class "
                   + std::to_string(static_cast<int>(spec.jobClass)) + " " + spec.payload);
    this->post(entry, 1, [this, &entry, id = request.id, spec, wait] {
        this->handle(entry, Submit{id, spec, wait});
    });
    if (!urgent)
        return;
    this->after(urgentBoundMs + 2, [this, id = request.id] {
        const Request &request = this->requests.at(id);
        if (request.urgent)
            this->violate("check 1: urgent job " + request.spec.job + " did not start in "
                          + std::to_string(urgentBoundMs) + " ms");
    });
}

JobSpec System::randomSpec()
{
    JobSpec spec;
    spec.organisation = borrowers[this->pick(3)];
    spec.jobClass = this->chance(0.5) ? JobClass::Batch : JobClass::Interactive;
    spec.accelerators = static_cast<std::uint32_t>(this->between(1, 8));
    spec.cores = static_cast<std::uint32_t>(this->between(1, 4));
    spec.memoryMib = 100;
    spec.checkpointable = this->chance(0.5);
    spec.anyRegion = this->chance(0.2);
    spec.members = this->chance(0.25) ? static_cast<std::uint32_t>(this->between(2, 3)) : 1;
    if (this->chance(0.1))
        spec.deadlineMs = static_cast<std::uint64_t>(this->between(500, 20000));
    const TimeMs runMs = this->chance(0.2) ? this->between(10000, 40000) : this->between(20, 6000);
    spec.declaredMs = this->chance(0.5) ? static_cast<std::uint64_t>(runMs) : 0;
    Json payload = {{"runMs", runMs}, {"checkpointMs", this->between(20, 3000)}};
    if (this->chance(0.03))
        payload["fail"] = true;
    if (this->chance(0.02))
        payload["failAfterMs"] = this->between(1, 2000);
    spec.payload = payload.dump();
    return spec;
}

void System::submitPlain()
{
    Process *entry = this->pickEntry();
    if (entry != nullptr)
        this->submit(*entry, this->randomSpec(), this->chance(0.8));
}

void System::submitKeyed()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr)
        return;
    if (!this->keys.empty() && this->chance(0.4)) {
        // A caller that repeats its request, wherever the first one went.
        auto at = this->keys.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(this->pick(this->keys.size())));
        JobSpec spec = at->second;
        spec.firstAttempt = false;
        this->submit(*entry, spec, true);
        return;
    }
    JobSpec spec = this->randomSpec();
    spec.idempotent = false;
    spec.key = "key" + std::to_string(this->keys.size());
    spec.homeRegion = this->chance(0.5) ? "west" : "east";
    spec.deadlineMs = 0;
    // It cannot borrow anchors without a checkpoint; more than this has no room elsewhere.
    if (!spec.checkpointable)
        spec.accelerators = std::min(spec.accelerators, 4U);
    spec.firstAttempt = true;
    Json payload = Json::parse(spec.payload);
    payload["answer"] = "answer of " + spec.key;
    spec.payload = payload.dump();
    this->keys[spec.key] = spec;
    this->submit(*entry, spec, true);
    if (!this->chance(0.3))
        return;
    // The caller hears nothing and tries another entry.
    this->after(this->between(0, 3000), [this, spec]() mutable {
        Process *other = this->pickEntry();
        spec.firstAttempt = false;
        if (other != nullptr)
            this->submit(*other, spec, true);
    });
}

// True when the process had no fault for a while and, for an agent, can be reached by the entry and
// takes work.
bool System::isSound(const Process &process, const Process &entry)
{
    const std::string &name = process.info.process;
    if (!process.alive || process.stopping || process.frozenUntil > this->now
        || this->now - process.faultAt <= urgentQuietMs || this->isolated.count(name) > 0)
        return false;
    if (!process.node)
        return true;
    const WorkerHost &host = *process.host;
    return host.downUntil <= this->now && process.drainingSince < 0 && !host.worker.failAll
        && !process.node->agent.health.setAside && this->now - host.faultAt > urgentQuietMs
        && this->linkOf(entry.info.process, name).up;
}

bool System::isFree(const std::string &organisation)
{
    for (const auto &[job, runs] : this->runs) {
        if (this->specs[job].organisation != organisation)
            continue;
        if (std::any_of(runs.begin(), runs.end(), [](const Run &run) { return run.endedAt < 0; }))
            return false;
    }
    return true;
}

// A job of a guaranteed shape. Its start is measured when nothing but the guests of others is in
// its way: the anchored workers and the entry had no fault for a while, and will have none.
void System::submitUrgent()
{
    const Guaranteed &shape = guaranteed[this->pick(3)];
    Process *entry = this->pickEntry(shape.region);
    if (entry == nullptr || this->urgentBusyUntil[shape.name] > this->now)
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
    spec.payload = Json{{"runMs", this->between(100, 3000)}}.dump();
    std::vector<Process *> needed = {entry};
    const Table &table = entry->entry->table;
    for (const GuaranteedBlock &guaranteedBlock : table.guaranteedBlocks) {
        if (guaranteedBlock.organisation == shape.name)
            needed.push_back(this->find(guaranteedBlock.worker));
    }
    const bool sound = needed.size() == shape.members + 1
        && this->now > this->noiseUntil + urgentQuietMs
        && this->now > this->guaranteedBlockPlaces[shape.name].second + urgentQuietMs
        && this->isFree(shape.name)
        && std::all_of(needed.begin(), needed.end(),
                       [&](const Process *process) { return this->isSound(*process, *entry); });
    // No fault meets these processes before the bound has passed.
    this->urgentBusyUntil[shape.name] = this->now + (sound ? 8000 : 60000);
    if (sound) {
        for (Process *process : needed)
            this->spared[process->info.process] = this->now + urgentBoundMs + 100;
        this->quietUntil = std::max(this->quietUntil, this->now + urgentBoundMs + 100);
    }
    this->submit(*entry, spec, true, sound);
}

void System::submitImpossible()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr)
        return;
    JobSpec spec = this->randomSpec();
    const auto kind = this->pick(3);
    if (kind == 0)
        spec.accelerators = 9;
    else if (kind == 1)
        spec.members = 20;
    else
        spec.organisation = "nobody";
    this->submit(*entry, spec, true);
}

void System::submitBurst()
{
    const auto count = this->between(10, 40);
    for (TimeMs i = 0; i < count; ++i)
        this->submitPlain();
}

void System::cancelSome(std::size_t count)
{
    for (std::size_t i = 0; i < count && !this->openJobs.empty(); ++i) {
        Process *entry = this->pickEntry();
        if (entry == nullptr)
            return;
        const std::size_t recent = std::min<std::size_t>(this->openJobs.size(), 40);
        Request &request = this->request(*entry, RequestKind::Cancel);
        request.job = this->openJobs[this->openJobs.size() - 1 - this->pick(recent)];
        this->addTrace("cancel " + request.id + " of " + request.job + " at " + request.entry);
        this->post(*entry, 1, [this, entry, id = request.id, job = request.job] {
            this->handle(*entry, CancelJob{id, job});
        });
    }
}

void System::querySome()
{
    Process *entry = this->pickEntry();
    if (entry == nullptr || this->openJobs.empty())
        return;
    const std::size_t recent = std::min<std::size_t>(this->openJobs.size(), 40);
    Request &request = this->request(*entry, RequestKind::Query);
    request.job = this->openJobs[this->openJobs.size() - 1 - this->pick(recent)];
    const bool wait = this->chance(0.5);
    this->addTrace("query " + request.id + " of " + request.job + " at " + request.entry);
    this->post(*entry, 1, [this, entry, id = request.id, job = request.job, wait] {
        this->handle(*entry, QueryJob{id, job, wait});
    });
}

void System::callerGone()
{
    if (this->open.empty())
        return;
    auto at = this->open.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(this->pick(this->open.size())));
    Request &request = this->requests.at(*at);
    if (request.kind != RequestKind::Submit && request.kind != RequestKind::Query)
        return;
    Process &entry = *this->find(request.entry);
    request.lost = true;
    request.urgent = false;
    ++this->figures.lostCallers;
    this->addTrace("caller of " + request.id + " goes");
    this->open.erase(at);
    this->post(entry, 1, [this, &entry, id = request.id] { this->handle(entry, CallerGone{id}); });
}

void System::edit()
{
    const auto writers = this->between(1, 3);
    for (TimeMs i = 0; i < writers; ++i) {
        Process *entry = this->pickEntry();
        if (entry == nullptr)
            return;
        Request &request = this->request(*entry, RequestKind::Edit);
        request.row = "row-" + request.id;
        EditTable edit;
        edit.request = request.id;
        edit.author = "operator" + std::to_string(i);
        edit.change = Json{{"organisations", Json::array({rowOf(request.row, "west", 1)})}}.dump();
        edit.wait = this->chance(0.8);
        this->addTrace("edit " + request.id + " at " + request.entry + " on version "
                       + std::to_string(entry->version));
        edit.baseVersion = entry->version;
        this->post(*entry, this->between(1, 200),
                   [this, entry, edit] { this->handle(*entry, edit); });
    }
}

void System::drainSome()
{
    Process *entry = this->pickEntry();
    Process *agent = this->pickAgent();
    if (entry == nullptr || this->spared[agent->info.process] > this->now)
        return;
    Request &request = this->request(*entry, RequestKind::Drain);
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

void System::killSome()
{
    Process &process = *this->processes[this->pick(this->processes.size())];
    if (!process.alive || this->spared[process.info.process] > this->now)
        return;
    this->kill(process);
    this->after(this->chance(0.5) ? this->between(100, 2000) : this->between(2000, 30000),
                [this, &process] { this->start(process); });
}

void System::freezeSome()
{
    Process &process = *this->processes[this->pick(this->processes.size())];
    if (process.alive && this->spared[process.info.process] <= this->now)
        this->freeze(process,
                     this->chance(0.5) ? this->between(100, 3000) : this->between(3000, 20000));
}

void System::harmWorker()
{
    Process &process = *this->pickAgent();
    WorkerHost &host = *process.host;
    if (this->spared[process.info.process] > this->now || host.downUntil > this->now)
        return;
    const auto kind = this->pick(3);
    const TimeMs duration = this->between(500, 15000);
    host.faultAt = this->now + duration;
    standin::advance(host.worker, this->now);
    if (kind == 0) {
        this->addTrace("worker of " + host.name + " fails everything for "
                       + std::to_string(duration));
        host.worker.failAll = true;
        this->after(duration, [&host] { host.worker.failAll = false; });
    } else if (kind == 1) {
        this->addTrace("worker of " + host.name + " freezes for " + std::to_string(duration));
        host.downUntil = this->now + duration;
        standin::setFrozen(host.worker, true, this->now);
        this->after(duration, [this, &host] {
            standin::setFrozen(host.worker, false, this->now);
            standin::advance(host.worker, this->now);
            this->settle(host);
        });
    } else {
        this->addTrace("worker of " + host.name + " dies for " + std::to_string(duration));
        host.downUntil = this->now + duration;
        while (!host.worker.tasks.empty()) {
            const std::string task = host.worker.tasks.begin()->first;
            standin::stopTask(host.worker, task, this->now);
        }
    }
    this->settle(host);
}

void System::cutRegions(TimeMs duration)
{
    if (this->cut)
        return;
    this->addTrace("cut between the regions for " + std::to_string(duration));
    this->cut = true;
    this->breakUnreachable();
    this->after(duration, [this] {
        this->addTrace("cut ends");
        this->cut = false;
    });
}

void System::isolate(TimeMs duration)
{
    Process &process = *this->processes[this->pick(this->processes.size())];
    const std::string name = process.info.process;
    if (this->spared[name] > this->now || this->isolated.count(name) > 0)
        return;
    this->addTrace("isolate " + name + " for " + std::to_string(duration));
    this->isolated.insert(name);
    this->breakUnreachable();
    this->after(duration, [this, &process, name] {
        this->isolated.erase(name);
        process.faultAt = this->now;
    });
}

void System::harmLog()
{
    const auto kind = this->pick(3);
    const TimeMs end = this->now + this->between(1000, this->chance(0.3) ? 60000 : 8000);
    this->addTrace(std::string(kind == 0       ? "log down"
                                   : kind == 1 ? "log slow"
                                               : "log loses answers")
                   + " until " + std::to_string(end));
    if (kind == 0)
        this->logDownUntil = std::max(this->logDownUntil, end);
    else if (kind == 1)
        this->logSlowUntil = std::max(this->logSlowUntil, end);
    else
        this->logLossUntil = std::max(this->logLossUntil, end);
}

// ---- Graceful stops: check 7 ----

void System::stopGracefully()
{
    Process &process = *this->processes[this->pick(this->processes.size())];
    if (!process.alive || process.stopping || this->spared[process.info.process] > this->now
        || process.frozenUntil > this->now)
        return;
    this->addTrace("stop " + process.info.process);
    process.stopping = true;
    process.faultAt = this->now + 600000;
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

void System::exitWhenIdle(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    const bool idle = process.entry ? entryIdle(*process.entry) : agentIdle(process.node->agent);
    if (!idle || process.frozenUntil > this->now) {
        this->post(process, 50,
                   [this, &process, incarnation] { this->exitWhenIdle(process, incarnation); });
        return;
    }
    for (const std::string &id : this->open) {
        const Request &request = this->requests.at(id);
        if (request.entry == process.info.process && request.incarnation == incarnation
            && request.at + 10 < this->now)
            this->violate("check 7: " + process.info.process + " exits and owes the reply to "
                          + id);
    }
    if (process.host != nullptr && !process.host->worker.tasks.empty()
        && process.host->worker.holder == incarnation && process.host->downUntil <= this->now)
        this->violate("check 7: " + process.info.process + " exits while task "
                      + process.host->worker.tasks.begin()->first + " runs");
    ++this->figures.gracefulStops;
    this->kill(process);
    this->after(this->between(200, 5000), [this, &process] { this->start(process); });
}

// ---- The schedule ----

void System::bootstrap()
{
    this->runUntil(this->now + 6000);
    Json rows = Json::array();
    for (const Guaranteed &shape : guaranteed) {
        Json row = rowOf(shape.name, shape.region, 1);
        row["guarantees"] = Json::array({{{"region", shape.region},
                                          {"copies", 1},
                                          {"members", shape.members},
                                          {"accelerators", shape.accelerators}}});
        rows.push_back(row);
    }
    for (const char *name : borrowers)
        rows.push_back(rowOf(name, "west", 2));
    Process &entry = *this->entries.front();
    Request &request = this->request(entry, RequestKind::Edit);
    request.row = "alfa";
    EditTable edit;
    edit.request = request.id;
    edit.author = "operator";
    edit.change = Json{{"organisations", rows}}.dump();
    this->handle(entry, edit);
    this->runUntil(this->now + 8000);
    if (this->figures.editsAccepted != 1)
        this->violate("check 8: the first edit was not accepted");
}

void System::step()
{
    struct Choice
    {
        int weight;
        std::function<void()> run;
        bool fault = false;
    };
    const Choice choices[] = {
        {40, [this] { this->submitPlain(); }},
        {20, [this] { this->submitKeyed(); }},
        {15, [this] { this->submitUrgent(); }},
        {2, [this] { this->submitImpossible(); }},
        {2, [this] { this->submitBurst(); }},
        {3, [this] { this->cancelSome(1); }},
        {1, [this] { this->cancelSome(10); }},
        {3, [this] { this->querySome(); }},
        {2, [this] { this->callerGone(); }},
        {4, [this] { this->edit(); }},
        {2, [this] { this->drainSome(); }, true},
        {3, [this] { this->killSome(); }, true},
        {3, [this] { this->freezeSome(); }, true},
        {2, [this] { this->harmWorker(); }, true},
        {1, [this] { this->cutRegions(this->between(1000, 60000)); }, true},
        {1, [this] { this->isolate(this->between(500, 20000)); }, true},
        {2, [this] { this->harmLog(); }, true},
        {1, [this] { this->stopGracefully(); }, true},
        {1,
         [this] {
             if (this->now >= this->quietUntil)
                 this->noiseUntil = this->now + this->between(1000, 10000);
         },
         true},
    };
    int total = 0;
    for (const Choice &choice : choices)
        total += choice.weight;
    auto at = static_cast<int>(this->pick(static_cast<std::size_t>(total)));
    for (const Choice &choice : choices) {
        at -= choice.weight;
        if (at >= 0)
            continue;
        if (!choice.fault || this->chance(this->faultShare))
            choice.run();
        return;
    }
}

void System::endFaults()
{
    this->addTrace("all faults end");
    this->ending = true;
    this->cut = false;
    for (const auto &process : this->processes) {
        if (this->isolated.count(process->info.process) > 0)
            process->faultAt = this->now; // as at the ordinary end of an isolation
    }
    this->isolated.clear();
    this->noiseUntil = 0;
    this->logDownUntil = 0;
    this->logSlowUntil = 0;
    this->logLossUntil = 0;
    this->runUntil(this->now + 35000); // pending restarts and thaws
    for (const auto &process : this->processes) {
        if (process->node && process->alive && !process->stopping && process->drainingSince >= 0) {
            this->handle(*process, PeerMessage{process->info.process, Drain()});
            process->drainingSince = -1;
        }
    }
}

void System::run(bool longCut)
{
    this->bootstrap();
    const TimeMs begin = this->now;
    this->faultShare = this->chance(0.4) ? 1 : this->chance(0.5) ? 0.3 : 0.1;
    TimeMs end = begin + this->between(60000, 240000);
    if (longCut) {
        const TimeMs duration = this->between(hourMs, 2 * hourMs);
        this->runUntil(this->now + this->between(0, 20000));
        this->cutRegions(duration);
        end += duration;
    }
    while (this->now < end && this->violations.empty()) {
        const bool slow = longCut && this->now < end - 120000;
        this->runUntil(this->now + (slow ? this->between(100, 30000) : this->between(1, 800)));
        this->step();
    }
    this->endFaults();
    const TimeMs timeoutAt = this->now + 900000;
    while (this->now < timeoutAt && this->violations.empty() && !this->quiet())
        this->runUntil(this->now + 1000);
    this->runUntil(this->now + 15000); // tables and claims
    if (this->violations.empty())
        this->checkAfterEnd();
    ++this->figures.schedules;
    this->figures.simulatedHours += static_cast<double>(this->now) / hourMs;
}

} // namespace flamingo::tests
