// The checks of the simulated system. docs/proofs.md says which invariant each one stands for.

#include "system.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace flamingo::tests {
namespace {

using Json = nlohmann::json;

constexpr TimeMs urgentBoundMs = 3300;
constexpr TimeMs gangBoundMs = 3000 + 500 + 1000; // lease, stop bound, renew interval
// When the member's agent or worker failed in the same window, its tasks end with the worker's
// lease instead of the agent's stop.
constexpr TimeMs gangFaultExtraMs = 3500;
constexpr TimeMs drainBoundMs = 3000;
constexpr TimeMs processSettleMs = 8000; // a process that started is known everywhere by then

} // namespace

void Figures::add(const Figures &other)
{
    this->schedules += other.schedules;
    this->simulatedHours += other.simulatedHours;
    this->requests += other.requests;
    this->lostCallers += other.lostCallers;
    this->ran += other.ran;
    this->notRun += other.notRun;
    this->mayHaveRun += other.mayHaveRun;
    this->keyed += other.keyed;
    this->keyedMayHaveRun += other.keyedMayHaveRun;
    this->urgentChecked += other.urgentChecked;
    this->longestUrgentStart = std::max(this->longestUrgentStart, other.longestUrgentStart);
    this->gangs += other.gangs;
    this->longestPartialGang = std::max(this->longestPartialGang, other.longestPartialGang);
    this->editsAccepted += other.editsAccepted;
    this->editsPending += other.editsPending;
    this->editsRefused += other.editsRefused;
    this->drains += other.drains;
    this->gracefulStops += other.gracefulStops;
    this->messagesBetweenRegions += other.messagesBetweenRegions;
    this->bytesBetweenRegions += other.bytesBetweenRegions;
    this->appends += other.appends;
}

std::string Figures::line() const
{
    const double seconds = std::max(this->simulatedHours * 3600, 1.0);
    const double keyed = static_cast<double>(std::max<std::uint64_t>(this->keyed, 1));
    std::ostringstream out;
    out.precision(3);
    out << "system: schedules " << this->schedules << ", simulated hours " << this->simulatedHours
        << ", requests " << this->requests << " (ran " << this->ran << ", not_run " << this->notRun
        << ", may_have_run " << this->mayHaveRun << ", caller lost " << this->lostCallers
        << "), may_have_run of non-idempotent "
        << static_cast<double>(this->keyedMayHaveRun) / keyed * 100 << "% of " << this->keyed
        << ", longest urgent start " << this->longestUrgentStart << " ms of " << this->urgentChecked
        << ", gangs " << this->gangs << " (longest partial run " << this->longestPartialGang
        << " ms), edits accepted " << this->editsAccepted << " pending " << this->editsPending
        << " refused " << this->editsRefused << ", drains " << this->drains << ", graceful stops "
        << this->gracefulStops << ", between regions " << this->messagesBetweenRegions
        << " messages " << this->bytesBetweenRegions << " bytes, appends per second "
        << static_cast<double>(this->appends) / seconds;
    return out.str();
}

std::string System::expectedAnswer(const JobSpec &spec) const
{
    std::string one = Json::parse(spec.payload).value("answer", "");
    if (spec.members <= 1)
        return one;
    return Json(std::vector<std::string>(spec.members, one)).dump();
}

// ---- Runs ----

void System::observe(WorkerHost &host)
{
    for (const auto &event : host.worker.events) {
        if (event.seq < host.observed)
            continue;
        if (event.type == "finished")
            this->onRunEnded(host, event.task, true, event.ok);
        else if (event.type == "stopped")
            this->onRunEnded(host, event.task, false, false);
    }
    host.observed = host.worker.nextSeq;
}

void System::onRunStarted(WorkerHost &host, const RunTask &command, const Process &process)
{
    this->addTrace("run " + command.task + " job " + command.job + " on " + host.name);
    const auto known = this->specs.find(command.job);
    if (known == this->specs.end()) {
        this->violate("check 3: a job that nobody submitted runs: " + command.job);
        return;
    }
    const JobSpec &spec = known->second;
    auto &runs = this->runs[command.job];
    this->runOf[{command.task, host.name}] = {command.job, runs.size()};
    Run run;
    run.task = command.task;
    run.job = command.job;
    run.worker = host.name;
    run.startedAt = this->now;
    runs.push_back(run);
    if (this->refusedAt.count(command.job) > 0)
        this->violate("check 4: job " + command.job + " starts after its caller was told not_run");
    if (!spec.idempotent) {
        auto &tasks = this->keyTasks[spec.key];
        tasks.insert(command.task);
        const auto here = std::count_if(
            runs.begin(), runs.end(), [&](const Run &other) { return other.worker == host.name; });
        if (tasks.size() > 1 || here > 1)
            this->violate("check 5: key " + spec.key + " starts again as " + command.task);
    }
    if (process.alive && process.drainingSince >= 0
        && this->now - process.drainingSince > drainBoundMs)
        this->violate("check 6: " + host.name + " starts " + command.task
                      + " while it drains since " + std::to_string(process.drainingSince));
    if (spec.members > 1) {
        Gang &gang = this->gangs[command.task];
        this->figures.gangs += gang.members == 0 ? 1 : 0;
        gang.members = spec.members;
        gang.running.insert(host.name);
        this->checkGangs();
    }
    this->checkUrgent(command.job);
}

void System::onRunEnded(WorkerHost &host, const std::string &task, bool finished, bool ok)
{
    const auto found = this->runOf.find({task, host.name});
    if (found == this->runOf.end())
        return;
    Run &run = this->runs[found->second.first][found->second.second];
    if (run.endedAt >= 0)
        return;
    run.endedAt = this->now;
    run.finished = finished;
    run.ok = ok;
    this->addTrace((finished ? ok ? "finished " : "failed " : "stopped ") + task + " on "
                   + host.name);
    const auto gang = this->gangs.find(task);
    if (gang == this->gangs.end())
        return;
    gang->second.running.erase(host.name);
    if (finished && ok)
        gang->second.finished.insert(host.name);
    this->checkGangs();
}

// ---- Check 2 ----

void System::checkGangs()
{
    for (auto at = this->gangs.begin(); at != this->gangs.end();) {
        Gang &gang = at->second;
        const bool whole = gang.running.size() + gang.finished.size() >= gang.members;
        // Tasks on a frozen worker make no progress; they stop when it thaws.
        const bool runs = std::any_of(gang.running.begin(), gang.running.end(), [&](auto &worker) {
            return !this->find(worker)->host->worker.frozen;
        });
        if (!runs || whole) {
            if (gang.partialSince >= 0)
                this->figures.longestPartialGang =
                    std::max(this->figures.longestPartialGang, this->now - gang.partialSince);
            gang.partialSince = -1;
            ++at;
            continue;
        }
        if (gang.partialSince < 0)
            gang.partialSince = this->now;
        TimeMs bound = gangBoundMs;
        for (const std::string &worker : gang.running) {
            const Process &agent = *this->find(worker);
            const bool faulty = !agent.alive || agent.frozenUntil > this->now
                || agent.host->downUntil > this->now
                || agent.host->faultAt > gang.partialSince - gangBoundMs;
            bound = faulty ? gangBoundMs + gangFaultExtraMs : bound;
        }
        if (this->now - gang.partialSince > bound && !gang.reported) {
            gang.reported = true;
            this->violate("check 2: " + std::to_string(gang.running.size()) + " of "
                          + std::to_string(gang.members) + " members of " + at->first
                          + " run since " + std::to_string(gang.partialSince));
        }
        ++at;
    }
}

// ---- Check 1 ----

void System::checkUrgent(const std::string &job)
{
    const auto found = this->urgentRequests.find(job);
    if (found == this->urgentRequests.end())
        return;
    Request &request = this->requests.at(found->second);
    if (!request.urgent)
        return;
    std::set<std::string> workers;
    for (const Run &run : this->runs[job]) {
        if (run.endedAt < 0 || run.finished)
            workers.insert(run.worker);
    }
    if (workers.size() < request.spec.members)
        return;
    request.urgent = false;
    const TimeMs took = this->now - request.at;
    this->figures.longestUrgentStart = std::max(this->figures.longestUrgentStart, took);
    ++this->figures.urgentChecked;
    if (took > urgentBoundMs)
        this->violate("check 1: urgent job " + job + " started after " + std::to_string(took));
}

// ---- Replies ----

void System::onReply(Process &process, const Reply &reply)
{
    const auto found = this->requests.find(reply.request);
    if (found == this->requests.end()) {
        this->violate("check 3: a reply to an unknown request " + reply.request);
        return;
    }
    Request &request = found->second;
    this->addTrace("reply " + reply.request + " " + std::string(verdictName(reply.verdict)) + " "
                   + std::string(reasonName(reply.reason.code))
                   + (reply.accepted ? " accepted " : " ") + reply.reason.text);
    if (request.lost)
        return;
    if (request.ended || request.entry != process.info.process) {
        this->violate("check 3: a second reply to request " + reply.request);
        return;
    }
    request.ended = true;
    this->open.erase(reply.request);
    if (reply.reason.code == ReasonCode::Cancelled)
        request.urgent = false;
    if (request.kind == RequestKind::Edit) {
        this->checkEditReply(request, reply);
        return;
    }
    if (request.kind == RequestKind::Drain) {
        if (reply.verdict != Verdict::Ran)
            return;
        ++this->figures.drains;
        const Process &agent = *this->find(request.target);
        if (request.drain && agent.alive && agent.drainingSince < 0 && agent.info.incarnation != 0
            && agent.startedAt < request.at)
            this->addTrace("drain of " + request.target + " was taken back meanwhile");
        return;
    }
    if (reply.accepted)
        return;
    this->checkSubmitReply(request, reply);
}

void System::checkSubmitReply(const Request &request, const Reply &reply)
{
    const std::string job = request.kind == RequestKind::Submit ? request.spec.job : request.job;
    const auto known = this->specs.find(job);
    if (known == this->specs.end())
        return;
    const JobSpec &spec = known->second;
    const bool submit = request.kind == RequestKind::Submit;
    if (submit) {
        ++(reply.verdict == Verdict::Ran          ? this->figures.ran
               : reply.verdict == Verdict::NotRun ? this->figures.notRun
                                                  : this->figures.mayHaveRun);
        this->figures.keyed += spec.idempotent ? 0 : 1;
        this->figures.keyedMayHaveRun +=
            !spec.idempotent && reply.verdict == Verdict::MayHaveRun ? 1 : 0;
    }
    if (reply.verdict == Verdict::Ran && reply.reason.code == ReasonCode::None
        && reply.answer != this->expectedAnswer(spec))
        this->violate("check 3: request " + request.id + " of job " + job + " got the answer \""
                      + reply.answer + "\" instead of \"" + this->expectedAnswer(spec) + "\"");
    if (reply.verdict == Verdict::Ran) {
        bool ended = false;
        for (const auto &[other, otherRuns] : this->runs) {
            const bool same =
                other == job || (!spec.key.empty() && this->specs[other].key == spec.key);
            if (!same)
                continue;
            ended = ended || std::any_of(otherRuns.begin(), otherRuns.end(), [](const Run &run) {
                        return run.finished;
                    });
        }
        if (!ended)
            this->violate("check 3: job " + job + " is answered as ran and no worker finished it");
    }
    if (reply.verdict != Verdict::NotRun || request.kind == RequestKind::Cancel)
        return;
    for (const Run &run : this->runs[job]) {
        if (!spec.idempotent || run.finished || run.endedAt < 0)
            this->violate("check 4: job " + job + " is answered as not_run, reason "
                          + std::string(reasonName(reply.reason.code)) + " " + reply.reason.text
                          + ", and task " + run.task
                          + (run.endedAt < 0    ? " runs"
                                 : run.finished ? " finished"
                                                : " ran"));
    }
    this->refusedAt[job] = this->now;
}

// ---- Check 8 ----

void System::checkTable(Process &process)
{
    const Table &table = process.entry ? process.entry->table : process.node->table;
    if (table.version < process.version)
        this->violate("check 8: the table of " + process.info.process + " goes back from "
                      + std::to_string(process.version) + " to " + std::to_string(table.version));
    if (table.version > this->newestVersion) {
        this->newestVersion = table.version;
        this->recordGuaranteedBlocks(table);
    }
    process.version = table.version;
}

void System::recordGuaranteedBlocks(const Table &table)
{
    std::map<std::string, std::string> places;
    for (const GuaranteedBlock &guaranteedBlock : table.guaranteedBlocks)
        places[guaranteedBlock.organisation] +=
            guaranteedBlock.worker + ":" + std::to_string(guaranteedBlock.first) + " ";
    for (const auto &[organisation, place] : places) {
        if (this->guaranteedBlockPlaces[organisation].first != place)
            this->guaranteedBlockPlaces[organisation] = {place, this->now};
    }
}

void System::checkEditReply(const Request &request, const Reply &reply)
{
    if (!reply.accepted) {
        ++this->figures.editsRefused;
        return;
    }
    this->acceptedRows.insert(request.row);
    if (reply.verdict != Verdict::Ran) {
        ++this->figures.editsPending;
        return;
    }
    ++this->figures.editsAccepted;
    const auto version = Json::parse(reply.answer).value("version", std::uint64_t(0));
    for (const auto &process : this->processes) {
        // A frozen process does nothing; it hears of the edit before anything else that follows.
        if (!process->alive || process->frozenUntil > this->now
            || this->now - process->faultAt < processSettleMs
            || this->isolated.count(process->info.process) > 0)
            continue;
        if (process->version < version)
            this->violate("check 8: edit " + request.id + " is accepted as version "
                          + std::to_string(version) + " and " + process->info.process
                          + " has version " + std::to_string(process->version));
    }
}

// ---- After the end ----

bool System::quiet() const
{
    if (!this->open.empty())
        return false;
    for (const auto &process : this->processes) {
        if (!process->alive)
            return false;
        if (process->node && !agentIdle(process->node->agent))
            return false;
        if (!process->entry)
            continue;
        for (const auto &[serial, job] : process->entry->jobs) {
            if (job->state != JobState::Finished)
                return false;
        }
    }
    for (const auto &host : this->hosts) {
        if (!host->worker.tasks.empty())
            return false;
    }
    return true;
}

void System::checkAfterEnd()
{
    for (const auto &id : this->open) {
        const Request &request = this->requests.at(id);
        this->violate("check 3: request " + id + " at " + request.entry + " of job "
                      + (request.job.empty() ? request.spec.job : request.job)
                      + " has no reply, submitted at " + std::to_string(request.at));
    }
    for (const auto &host : this->hosts) {
        for (const auto &[name, task] : host->worker.tasks)
            this->violate("check 9: task " + name + " still runs on " + host->name);
    }
    for (const auto &process : this->processes) {
        this->checkFinalTable(*process);
        if (process->node)
            this->checkFinalNode(process->info.process, *process->node);
        else
            this->checkFinalEntry(process->info.process, *process->entry);
    }
}

void System::checkFinalTable(const Process &process)
{
    const Table &agreed = this->entries.front()->entry->table;
    const Table &table = process.entry ? process.entry->table : process.node->table;
    if (tableJson(table) != tableJson(agreed))
        this->violate("check 8: the tables of " + process.info.process + " and "
                      + this->entries.front()->info.process + " differ, version "
                      + std::to_string(table.version) + " and " + std::to_string(agreed.version));
    for (const std::string &row : this->acceptedRows) {
        if (table.organisations.count(row) == 0)
            this->violate("check 8: the applied edit of " + row + " is lost at "
                          + process.info.process);
    }
}

void System::checkFinalNode(const std::string &name, const AgentNode &node)
{
    if (!agentIdle(node.agent))
        this->violate("check 9: agent " + name
                      + " is not idle: " + dumpAgent(node.agent, this->now));
    for (const auto &[key, owned] : node.owner.keys) {
        const bool unfinished =
            owned.phase == KeyPhase::Claiming || owned.phase == KeyPhase::Granted;
        if (!unfinished || node.owner.ranges.count(owned.range) == 0)
            continue;
        std::string text = "check 9: open key " + key;
        text += " at its owner " + name;
        this->violate(text);
    }
}

void System::checkFinalEntry(const std::string &name, const Entry &entry)
{
    for (const auto &[serial, job] : entry.jobs) {
        if (job->state == JobState::Finished)
            continue;
        std::string text = "check 9: job " + job->spec.job + " is not finished at " + name + " ";
        text += job->spec.payload;
        text += job->spec.idempotent ? " idempotent" : "";
        text += job->spec.checkpointable ? " checkpointable " : " ";
        text += explainJob(entry, job->spec.job, this->now);
        this->violate(text);
    }
    if (!entryIdle(entry))
        this->violate("check 9: entry " + name + " is not idle");
}

} // namespace flamingo::tests
