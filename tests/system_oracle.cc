// The checks of the simulated system. docs/proofs.md lists the invariant behind each number.
//
// The oracle records runs from the events of the workers and verdicts from the replies of the
// entries, and checks them as they arrive. checkFinalState() runs after all faults have ended. The
// deadline of check 1 and check 7, on graceful stops, are in system_schedule.cc.

#include "system_simulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace flamingo::tests {
namespace {

using Json = nlohmann::json;

constexpr TimeMs urgentBoundMs = 3300;
constexpr TimeMs gangBoundMs = 3000 + 500 + 1000; // lease, stop bound, renew interval
// If a member's agent or worker failed in the same window, its tasks end when the worker's lease
// expires, because a stop from the agent may not arrive.
constexpr TimeMs gangFaultExtraMs = 3500;
constexpr TimeMs drainBoundMs = 3000;
constexpr TimeMs processPropagationMs = 8000; // by then all processes have seen a start

} // namespace

void SimulationStatistics::add(const SimulationStatistics &other)
{
    this->schedules += other.schedules;
    this->simulatedHours += other.simulatedHours;
    this->requests += other.requests;
    this->abandonedRequests += other.abandonedRequests;
    this->ran += other.ran;
    this->notRun += other.notRun;
    this->mayHaveRun += other.mayHaveRun;
    this->nonIdempotentReplies += other.nonIdempotentReplies;
    this->nonIdempotentMayHaveRun += other.nonIdempotentMayHaveRun;
    this->urgentStartsMeasured += other.urgentStartsMeasured;
    this->longestUrgentStart = std::max(this->longestUrgentStart, other.longestUrgentStart);
    this->gangAttempts += other.gangAttempts;
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

std::string SimulationStatistics::summary() const
{
    const double seconds = std::max(this->simulatedHours * 3600, 1.0);
    const double nonIdempotentReplies =
        static_cast<double>(std::max<std::uint64_t>(this->nonIdempotentReplies, 1));
    std::ostringstream out;
    out.precision(3);
    out << "system: schedules " << this->schedules << ", simulated hours " << this->simulatedHours
        << ", requests " << this->requests << " (ran " << this->ran << ", not_run " << this->notRun
        << ", may_have_run " << this->mayHaveRun << ", caller lost " << this->abandonedRequests
        << "), may_have_run of non-idempotent "
        << static_cast<double>(this->nonIdempotentMayHaveRun) / nonIdempotentReplies * 100
        << "% of " << this->nonIdempotentReplies << ", longest urgent start "
        << this->longestUrgentStart << " ms of " << this->urgentStartsMeasured << ", gangs "
        << this->gangAttempts << " (longest partial run " << this->longestPartialGang
        << " ms), edits accepted " << this->editsAccepted << " pending " << this->editsPending
        << " refused " << this->editsRefused << ", drains " << this->drains << ", graceful stops "
        << this->gracefulStops << ", between regions " << this->messagesBetweenRegions
        << " messages " << this->bytesBetweenRegions << " bytes, appends per second "
        << static_cast<double>(this->appends) / seconds;
    return out.str();
}

std::string SystemSimulation::expectedAnswer(const JobSpec &spec) const
{
    std::string memberAnswer = Json::parse(spec.payload).value("answer", "");
    if (spec.members <= 1)
        return memberAnswer;
    return Json(std::vector<std::string>(spec.members, memberAnswer)).dump();
}

// ---- Runs ----

void SystemSimulation::observeWorkerEvents(WorkerHost &host)
{
    for (const auto &event : host.worker.events) {
        if (event.seq < host.nextObservedSeq)
            continue;
        if (event.type == "finished")
            this->onRunEnded(host, event.task, true, event.ok);
        else if (event.type == "stopped")
            this->onRunEnded(host, event.task, false, false);
    }
    host.nextObservedSeq = host.worker.nextSeq;
}

void SystemSimulation::onRunStarted(WorkerHost &host, const RunTask &command,
                                    const Process &process)
{
    this->addTrace("run " + command.task + " job " + command.job + " on " + host.name);
    const auto found = this->specsByJob.find(command.job);
    if (found == this->specsByJob.end()) {
        this->reportViolation("check 3: a job that was never submitted runs: " + command.job);
        return;
    }
    const JobSpec &spec = found->second;
    auto &runs = this->runsByJob[command.job];
    this->runIndex[{command.task, host.name}] = {command.job, runs.size()};
    TaskRun run;
    run.task = command.task;
    run.job = command.job;
    run.worker = host.name;
    run.startedAt = this->now;
    runs.push_back(run);
    if (this->notRunRepliedAt.count(command.job) > 0)
        this->reportViolation("check 4: job " + command.job
                              + " starts after the reply not_run to its caller");
    if (!spec.idempotent) {
        auto &tasks = this->startedTasksByKey[spec.key];
        tasks.insert(command.task);
        const auto startsOnHost =
            std::count_if(runs.begin(), runs.end(),
                          [&](const TaskRun &other) { return other.worker == host.name; });
        if (tasks.size() > 1 || startsOnHost > 1)
            this->reportViolation("check 5: key " + spec.key + " starts again as " + command.task);
    }
    if (process.alive && process.drainingSince >= 0
        && this->now - process.drainingSince > drainBoundMs)
        this->reportViolation("check 6: " + host.name + " starts " + command.task
                              + " although it drains since "
                              + std::to_string(process.drainingSince));
    if (spec.members > 1) {
        GangAttempt &gang = this->gangAttempts[command.task];
        this->statistics.gangAttempts += gang.members == 0 ? 1 : 0;
        gang.members = spec.members;
        gang.running.insert(host.name);
        this->checkGangs();
    }
    this->checkUrgentStart(command.job);
}

void SystemSimulation::onRunEnded(WorkerHost &host, const std::string &task, bool finished, bool ok)
{
    const auto found = this->runIndex.find({task, host.name});
    if (found == this->runIndex.end())
        return;
    TaskRun &run = this->runsByJob[found->second.first][found->second.second];
    if (run.endedAt >= 0)
        return;
    run.endedAt = this->now;
    run.finished = finished;
    run.ok = ok;
    this->addTrace((finished ? ok ? "finished " : "failed " : "stopped ") + task + " on "
                   + host.name);
    const auto gang = this->gangAttempts.find(task);
    if (gang == this->gangAttempts.end())
        return;
    gang->second.running.erase(host.name);
    if (finished && ok)
        gang->second.finished.insert(host.name);
    this->checkGangs();
}

// ---- Check 2: the time in which only a part of a gang runs is bounded ----

void SystemSimulation::checkGangs()
{
    for (auto at = this->gangAttempts.begin(); at != this->gangAttempts.end();) {
        GangAttempt &gang = at->second;
        const bool complete = gang.running.size() + gang.finished.size() >= gang.members;
        // Tasks on a frozen worker make no progress; they stop when it thaws.
        const bool anyRuns =
            std::any_of(gang.running.begin(), gang.running.end(), [&](auto &worker) {
                return !this->findProcess(worker)->host->worker.frozen;
            });
        if (!anyRuns || complete) {
            if (gang.partialSince >= 0)
                this->statistics.longestPartialGang =
                    std::max(this->statistics.longestPartialGang, this->now - gang.partialSince);
            gang.partialSince = -1;
            ++at;
            continue;
        }
        if (gang.partialSince < 0)
            gang.partialSince = this->now;
        TimeMs bound = gangBoundMs;
        for (const std::string &worker : gang.running) {
            const Process &agent = *this->findProcess(worker);
            const bool faulty = this->busyWorkers || !agent.alive || agent.frozenUntil > this->now
                || agent.host->downUntil > this->now
                || agent.host->lastFaultEnd > gang.partialSince - gangBoundMs;
            bound = faulty ? gangBoundMs + gangFaultExtraMs : bound;
        }
        if (this->now - gang.partialSince > bound && !gang.violationReported) {
            gang.violationReported = true;
            this->reportViolation("check 2: " + std::to_string(gang.running.size()) + " of "
                                  + std::to_string(gang.members) + " members of " + at->first
                                  + " run since " + std::to_string(gang.partialSince));
        }
        ++at;
    }
}

// ---- Check 1: urgent jobs of a guaranteed shape start within a bound ----

void SystemSimulation::checkUrgentStart(const std::string &job)
{
    const auto found = this->requestByUrgentJob.find(job);
    if (found == this->requestByUrgentJob.end())
        return;
    Request &request = this->requests.at(found->second);
    if (!request.startBounded)
        return;
    std::set<std::string> workers;
    for (const TaskRun &run : this->runsByJob[job]) {
        if (run.endedAt < 0 || run.finished)
            workers.insert(run.worker);
    }
    if (workers.size() < request.spec.members)
        return;
    request.startBounded = false;
    const TimeMs delay = this->now - request.sentAt;
    this->statistics.longestUrgentStart = std::max(this->statistics.longestUrgentStart, delay);
    ++this->statistics.urgentStartsMeasured;
    if (delay > urgentBoundMs)
        this->reportViolation("check 1: urgent job " + job + " started after "
                              + std::to_string(delay));
}

// ---- Replies ----

void SystemSimulation::onReply(Process &process, const Reply &reply)
{
    const auto found = this->requests.find(reply.request);
    if (found == this->requests.end()) {
        this->reportViolation("check 3: reply to an unknown request " + reply.request);
        return;
    }
    Request &request = found->second;
    this->addTrace("reply " + reply.request + " " + std::string(verdictName(reply.verdict)) + " "
                   + std::string(reasonName(reply.reason.code))
                   + (reply.accepted ? " accepted " : " ") + reply.reason.text);
    if (request.abandoned)
        return;
    if (request.replied || request.entry != process.info.process) {
        this->reportViolation("check 3: second reply to request, or reply of a wrong entry: "
                              + reply.request);
        return;
    }
    request.replied = true;
    this->openRequests.erase(reply.request);
    if (reply.reason.code == ReasonCode::Cancelled)
        request.startBounded = false;
    if (request.kind == RequestKind::Edit) {
        this->checkEditReply(request, reply);
        return;
    }
    if (request.kind == RequestKind::Drain) {
        if (reply.verdict != Verdict::Ran)
            return;
        ++this->statistics.drains;
        const Process &agent = *this->findProcess(request.target);
        if (request.drain && agent.alive && agent.drainingSince < 0 && agent.info.incarnation != 0
            && agent.startedAt < request.sentAt)
            this->addTrace("drain of " + request.target + " was cancelled before its reply");
        return;
    }
    if (reply.accepted)
        return;
    this->checkSubmitReply(request, reply);
}

void SystemSimulation::checkSubmitReply(const Request &request, const Reply &reply)
{
    const std::string job = request.kind == RequestKind::Submit ? request.spec.job : request.job;
    const auto found = this->specsByJob.find(job);
    if (found == this->specsByJob.end())
        return;
    const JobSpec &spec = found->second;
    const bool submit = request.kind == RequestKind::Submit;
    if (submit) {
        ++(reply.verdict == Verdict::Ran          ? this->statistics.ran
               : reply.verdict == Verdict::NotRun ? this->statistics.notRun
                                                  : this->statistics.mayHaveRun);
        this->statistics.nonIdempotentReplies += spec.idempotent ? 0 : 1;
        this->statistics.nonIdempotentMayHaveRun +=
            !spec.idempotent && reply.verdict == Verdict::MayHaveRun ? 1 : 0;
    }
    if (reply.verdict == Verdict::Ran && reply.reason.code == ReasonCode::None
        && reply.answer != this->expectedAnswer(spec))
        this->reportViolation("check 3: request " + request.id + " of job " + job
                              + " was answered with \"" + reply.answer + "\" instead of \""
                              + this->expectedAnswer(spec) + "\"");
    if (reply.verdict == Verdict::Ran) {
        bool ended = false;
        for (const auto &[other, otherRuns] : this->runsByJob) {
            const bool same =
                other == job || (!spec.key.empty() && this->specsByJob[other].key == spec.key);
            if (!same)
                continue;
            ended = ended
                || std::any_of(otherRuns.begin(), otherRuns.end(),
                               [](const TaskRun &run) { return run.finished; });
        }
        if (!ended)
            this->reportViolation("check 3: job " + job
                                  + " was answered with ran, but no worker finished it");
    }
    if (reply.verdict != Verdict::NotRun || request.kind == RequestKind::Cancel)
        return;
    for (const TaskRun &run : this->runsByJob[job]) {
        if (!spec.idempotent || run.finished || run.endedAt < 0)
            this->reportViolation("check 4: job " + job + " was answered with not_run, reason "
                                  + std::string(reasonName(reply.reason.code)) + " "
                                  + reply.reason.text + ", but task " + run.task
                                  + (run.endedAt < 0    ? " runs"
                                         : run.finished ? " finished"
                                                        : " ran"));
    }
    this->notRunRepliedAt[job] = this->now;
}

// ---- Check 8: table versions and edits ----

void SystemSimulation::checkTable(Process &process)
{
    const Table &table = process.entry ? process.entry->table : process.node->table;
    if (table.version < process.tableVersion)
        this->reportViolation("check 8: the table of " + process.info.process + " goes back from "
                              + std::to_string(process.tableVersion) + " to "
                              + std::to_string(table.version));
    if (table.version > this->newestTableVersion) {
        this->newestTableVersion = table.version;
        this->recordGuaranteedBlocks(table);
    }
    process.tableVersion = table.version;
}

void SystemSimulation::recordGuaranteedBlocks(const Table &table)
{
    std::map<std::string, std::string> positions;
    for (const GuaranteedBlock &guaranteedBlock : table.guaranteedBlocks)
        positions[guaranteedBlock.organisation] +=
            guaranteedBlock.worker + ":" + std::to_string(guaranteedBlock.first) + " ";
    for (const auto &[organisation, position] : positions) {
        if (this->guaranteedBlockPositions[organisation].first != position)
            this->guaranteedBlockPositions[organisation] = {position, this->now};
    }
}

void SystemSimulation::checkEditReply(const Request &request, const Reply &reply)
{
    if (!reply.accepted) {
        ++this->statistics.editsRefused;
        return;
    }
    this->acceptedOrganisations.insert(request.addedOrganisation);
    if (reply.verdict != Verdict::Ran) {
        ++this->statistics.editsPending;
        return;
    }
    ++this->statistics.editsAccepted;
    const auto version = Json::parse(reply.answer).value("version", std::uint64_t(0));
    for (const auto &process : this->processes) {
        // A frozen process handles no events, and receives the edit before any later event.
        if (!process->alive || process->frozenUntil > this->now
            || this->now - process->lastFaultEnd < processPropagationMs
            || this->isolatedProcesses.count(process->info.process) > 0)
            continue;
        if (process->tableVersion < version)
            this->reportViolation("check 8: edit " + request.id + " was accepted as version "
                                  + std::to_string(version) + ", but " + process->info.process
                                  + " has version " + std::to_string(process->tableVersion));
    }
}

// ---- Final state ----

bool SystemSimulation::allIdle() const
{
    if (!this->openRequests.empty())
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

void SystemSimulation::checkFinalState()
{
    for (const auto &id : this->openRequests) {
        const Request &request = this->requests.at(id);
        this->reportViolation("check 3: request " + id + " at " + request.entry + " of job "
                              + (request.job.empty() ? request.spec.job : request.job)
                              + " has no reply, submitted at " + std::to_string(request.sentAt));
    }
    for (const auto &host : this->hosts) {
        for (const auto &[name, task] : host->worker.tasks)
            this->reportViolation("check 9: task " + name + " still runs on " + host->name);
    }
    for (const auto &process : this->processes) {
        this->checkFinalTable(*process);
        if (process->node)
            this->checkFinalNode(process->info.process, *process->node);
        else
            this->checkFinalEntry(process->info.process, *process->entry);
    }
}

void SystemSimulation::checkFinalTable(const Process &process)
{
    const Table &expected = this->entries.front()->entry->table;
    const Table &table = process.entry ? process.entry->table : process.node->table;
    if (tableJson(table) != tableJson(expected))
        this->reportViolation("check 8: the tables of " + process.info.process + " and "
                              + this->entries.front()->info.process + " differ, version "
                              + std::to_string(table.version) + " and "
                              + std::to_string(expected.version));
    for (const std::string &organisation : this->acceptedOrganisations) {
        if (table.organisations.count(organisation) == 0)
            this->reportViolation("check 8: the accepted edit of " + organisation
                                  + " is missing at " + process.info.process);
    }
}

void SystemSimulation::checkFinalNode(const std::string &name, const AgentNode &node)
{
    if (!agentIdle(node.agent))
        this->reportViolation("check 9: agent " + name
                              + " is not idle: " + dumpAgent(node.agent, this->now));
    for (const auto &[key, owned] : node.owner.keys) {
        const bool unfinished =
            owned.phase == KeyPhase::Claiming || owned.phase == KeyPhase::Granted;
        if (!unfinished || node.owner.ranges.count(owned.range) == 0)
            continue;
        std::string text = "check 9: unfinished key " + key;
        text += " at its owner " + name;
        this->reportViolation(text);
    }
}

void SystemSimulation::checkFinalEntry(const std::string &name, const Entry &entry)
{
    for (const auto &[serial, job] : entry.jobs) {
        if (job->state == JobState::Finished)
            continue;
        std::string text = "check 9: job " + job->spec.job + " is not finished at " + name + " ";
        text += job->spec.payload;
        text += job->spec.idempotent ? " idempotent" : "";
        text += job->spec.checkpointable ? " checkpointable " : " ";
        text += explainJob(entry, job->spec.job, this->now);
        this->reportViolation(text);
    }
    if (!entryIdle(entry))
        this->reportViolation("check 9: entry " + name + " is not idle");
}

} // namespace flamingo::tests
