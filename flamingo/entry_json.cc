// JSON documents of the entry for operators. The keys are part of the interface. Those whose terms
// differ from the code:
//
//   accepting             the entry is not shutting down
//   anchoredMask          accelerators in guaranteed blocks
//   anchorsOnLostWorkers  guaranteed blocks on lost workers
//   downForMs             time since the connection closed
//   freedBy               what would let the waiting job start
//   heardMsAgo            time since the last message or version summary
//   heldForAnotherJob     the data centre is reserved for another job
//   heldFor               that job, and heldAtMostMs: the time until this reservation ends
//   holds                 data centres that are reserved for a job
//   logAvailable          the last append to the log was acknowledged
//   neverRuns             why the workers of the region could never hold the job
//   notInForceAt          processes without the current table version
//   overtaken             overtakings in units of one by a job of the same class
//   owners                owners of the key ranges
//   room                  free workers by data centre
//   setAside              the worker gets no job for now, after failures of several jobs in a row
//   starting              Starts whose capacity is deducted, because no report lists them yet
//   tries                 failed attempts
//   waitsFor              why the job is not running or finished yet
//   workersWithRoom       workers with enough adjacent free accelerators

#include "flamingo/entry.h"
#include "flamingo/jobs.h"
#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t maxDumpedJobs = 1000; // the most recently submitted ones

std::string formatJson(const Json &json)
{
    return jsonText(json, 2);
}

Json reasonJson(const Reason &reason)
{
    if (reason.code == ReasonCode::None && reason.text.empty())
        return nullptr;
    return {{"code", reasonName(reason.code)}, {"text", reason.text}};
}

Json attemptsJson(const Entry &entry, const Job &job)
{
    auto rows = Json::array();
    for (const auto &attempt : job.attempts) {
        auto agents = Json::array();
        for (const auto agent : attempt.agents)
            agents.push_back(entry.view.agents[agent].report.agent);
        rows.push_back({{"attempt", attempt.id},
                        {"accepted", attempt.accepted},
                        {"agents", std::move(agents)}});
    }
    return rows;
}

Json jobJson(const Entry &entry, const Job &job, TimeMs now)
{
    Json json = {{"job", job.spec.job},
                 {"state", jobStateName(job.state)},
                 {"organisation", job.spec.organisation},
                 {"class", wire::EnumNameJobClass(job.spec.jobClass)},
                 {"members", job.spec.members},
                 {"accelerators", job.spec.accelerators},
                 {"ageMs", now - job.submittedAt},
                 {"tries", job.failedAttempts},
                 {"overtaken", job.overtakenUnits / unitsPerOvertake},
                 {"waiters", job.waiters.size()},
                 {"attempts", attemptsJson(entry, job)}};
    if (job.deadlineAt != 0)
        json["deadlineInMs"] = job.deadlineAt - now;
    if (job.state == JobState::Finished) {
        json["verdict"] = verdictName(job.verdict);
        json["reason"] = reasonJson(job.reason);
    } else {
        json["waitsFor"] = reasonJson(job.waitReason);
    }
    if (job.state == JobState::Forwarded)
        json["forwardedTo"] = job.forwardedTo;
    return json;
}

Json targetJson(const View &view, AgentId id, TimeMs now)
{
    const auto &agent = view.agents[id];
    const auto &capacity = view.agentCapacities[id];
    const auto &report = agent.report;
    return {{"agent", report.agent},
            {"region", report.region},
            {"dataCentre", report.dataCentre},
            {"rack", report.rack},
            {"incarnation", report.incarnation},
            {"connected", agent.connected},
            {"lost", agent.lostAt != 0},
            {"draining", report.draining || agent.drainRequested},
            {"setAside", report.setAside},
            {"heardMsAgo", now - agent.lastContactAt},
            {"accelerators", report.accelerators},
            {"freeMask", capacity.freeMask},
            {"evictableMask", capacity.evictableMask},
            {"anchoredMask", capacity.guaranteedMask},
            {"freeCores", capacity.cores},
            {"freeMemoryMib", capacity.memoryMib},
            {"freeSlots", capacity.slots},
            {"tasks", report.tasks.size()},
            {"starting", agent.deductions.size()},
            {"tableVersion", report.tableVersion}};
}

Json targetsArray(const Entry &entry, TimeMs now)
{
    auto rows = Json::array();
    for (AgentId id = 0; id < entry.view.agents.size(); ++id) {
        if (!entry.view.agents[id].report.agent.empty())
            rows.push_back(targetJson(entry.view, id, now));
    }
    return rows;
}

Json peersJson(const Entry &entry, TimeMs now)
{
    auto rows = Json::array();
    for (const auto &[name, peer] : entry.peers) {
        if (peer.info.kind != ProcessKind::Entry)
            continue;
        Json row = {{"entry", name}, {"region", peer.info.region}, {"connected", peer.connected}};
        if (!peer.connected)
            row["downForMs"] = now - peer.disconnectedAt;
        const auto known = entry.edits.versions.find(name);
        if (known != entry.edits.versions.end()) {
            row["tableVersion"] = known->second.ownVersion;
            if (known->second.lowestVersion != ~0ULL) // ~0: it reported no agents
                row["lowestAgentVersion"] = known->second.lowestVersion;
            row["heardMsAgo"] = now - known->second.lastContactAt;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

Json shortagesJson(const Table &table)
{
    auto rows = Json::array();
    for (const auto &shortage : table.shortages)
        rows.push_back({{"organisation", shortage.organisation},
                        {"shape", shortage.shape},
                        {"copy", shortage.copy},
                        {"cause", shortage.cause}});
    return rows;
}

// Guaranteed blocks on lost workers, until they move to other workers.
Json guaranteedBlocksOnLostWorkersJson(const Entry &entry)
{
    auto rows = Json::array();
    for (const auto &guaranteedBlock : entry.table.guaranteedBlocks) {
        const auto agent = findAgent(entry.view, guaranteedBlock.worker);
        if (agent == noAgent || entry.view.agents[agent].lostAt == 0)
            continue;
        rows.push_back({{"organisation", guaranteedBlock.organisation},
                        {"shape", guaranteedBlock.shape},
                        {"copy", guaranteedBlock.copy},
                        {"worker", guaranteedBlock.worker},
                        {"cause", "the worker is unreachable"}});
    }
    return rows;
}

Json editsJson(const Entry &entry, TimeMs now)
{
    auto rows = Json::array();
    for (const auto &edit : entry.edits.pending) {
        const bool recorded = edit.state == EditState::Recorded;
        rows.push_back({{"sequence", edit.sequence},
                        {"state", recorded ? "recorded" : "appending"},
                        {"version", edit.version},
                        {"automatic", edit.automatic},
                        {"ageMs", now - edit.startedAt}});
    }
    return rows;
}

Json statusObject(const Entry &entry, TimeMs now)
{
    auto versions = Json::array();
    for (const auto &agent : entry.view.agents) {
        if (agent.report.agent.empty())
            continue;
        versions.push_back({{"agent", agent.report.agent},
                            {"lost", agent.lostAt != 0},
                            {"tableVersion", agent.report.tableVersion}});
    }
    return {{"entry", entry.options.name},
            {"region", entry.options.region},
            {"accepting", entry.accepting},
            {"tableVersion", entry.table.version},
            {"nextOffset", entry.table.nextOffset},
            {"notInForceAt", processesWithoutVersion(entry, entry.table.version, now)},
            {"logAvailable", entry.edits.logFailedAt == 0},
            {"edits", editsJson(entry, now)},
            {"shortages", shortagesJson(entry.table)},
            {"anchorsOnLostWorkers", guaranteedBlocksOnLostWorkersJson(entry)},
            {"entries", peersJson(entry, now)},
            {"agents", std::move(versions)}};
}

Json rangeOwnersJson(const Entry &entry)
{
    auto rows = Json::array();
    for (const auto &[range, owner] : entry.ranges.owners)
        rows.push_back({{"region", range.first},
                        {"range", range.second},
                        {"owner", owner.agent},
                        {"epoch", owner.epoch}});
    return rows;
}

Json countersJson(const EntryCounters &counters)
{
    return {{"submitted", counters.submitted},   {"replied", counters.replied},
            {"starts", counters.starts},         {"guaranteedStarts", counters.guaranteedStarts},
            {"refusals", counters.refusals},     {"timeouts", counters.timeouts},
            {"evictions", counters.evictions},   {"lostAttempts", counters.lostAttempts},
            {"forwards", counters.forwards},     {"notRun", counters.notRun},
            {"mayHaveRun", counters.mayHaveRun}, {"ran", counters.ran}};
}

Json usageJson(const Entry &entry)
{
    auto json = Json::object();
    for (const auto &[name, organisation] : entry.table.organisations) {
        const auto usage = usageOf(entry.view, name);
        json[name] = {{"accelerators", usage.accelerators},
                      {"limitAccelerators", organisation.limitAccelerators},
                      {"tasks", usage.tasks},
                      {"limitSlots", organisation.limitSlots},
                      {"weight", organisation.weight}};
    }
    return json;
}

Json reservationsJson(const Entry &entry, TimeMs now)
{
    auto rows = Json::array();
    for (const auto &centre : entry.view.dataCentres) {
        const auto job = entry.jobs.find(centre.reservedForJob);
        if (job != entry.jobs.end())
            rows.push_back({{"dataCentre", centre.name},
                            {"job", job->second->spec.job},
                            {"heldMs", now - centre.reservedSince},
                            {"heldAtMostMs", std::max<TimeMs>(0, centre.reservedUntil - now)}});
    }
    return rows;
}

Json jobsJson(const Entry &entry, TimeMs now)
{
    std::vector<const Job *> jobs;
    for (const auto &[serial, job] : entry.jobs)
        jobs.push_back(job.get());
    std::sort(jobs.begin(), jobs.end(),
              [](const Job *a, const Job *b) { return a->serial > b->serial; });
    auto rows = Json::array();
    for (std::size_t i = 0; i < std::min(jobs.size(), maxDumpedJobs); ++i)
        rows.push_back(jobJson(entry, *jobs[i], now));
    return rows;
}

// ---- Why a job waits ----

std::string unblockingCondition(const Entry &entry, const Job &job)
{
    switch (job.waitReason.code) {
    case ReasonCode::LimitReached:
        return "the end of a task of " + job.spec.organisation + ", or a higher limit";
    case ReasonCode::OwnerUnreachable:
    case ReasonCode::TakeoverIncomplete:
        return "a reachable owner of the key's range";
    case ReasonCode::RetryBudgetSpent:
        return "time: the retry budget grows by one retry per second and with every request";
    default:
        break;
    }
    std::string text = std::to_string(job.spec.members) + " workers of one data centre with "
        + std::to_string(job.spec.accelerators)
        + " adjacent free accelerators each, outside the guaranteed blocks of other organisations";
    if (job.spec.idempotent || job.spec.checkpointable)
        text = std::to_string(job.spec.members) + " workers of one data centre with "
            + std::to_string(job.spec.accelerators) + " adjacent free accelerators each";
    if (entry.view.copies.count(job.spec.organisation) == 0)
        text += "; the organisation has no guaranteed block to reclaim";
    return text;
}

// Number of workers in each data centre with enough adjacent free accelerators for a member of the
// job, inside or outside guaranteed blocks; cores and memory are not compared. `run` is the length
// of a worker's longest run of adjacent free accelerators.
Json freeWorkersJson(const Entry &entry, const Job &job, TimeMs now)
{
    auto json = Json::object();
    for (const auto &centre : entry.view.dataCentres) {
        std::size_t count = 0;
        for (std::size_t run = job.spec.accelerators; run < blockSizeCount; ++run)
            count += centre.byFreeRun[run].size();
        const bool held = centre.reservedForJob != 0 && centre.reservedForJob != job.serial;
        auto &row = json[centre.name];
        row = {{"workersWithRoom", count}, {"heldForAnotherJob", held}};
        const auto holder = entry.jobs.find(centre.reservedForJob);
        if (!held || holder == entry.jobs.end())
            continue;
        row["heldFor"] = holder->second->spec.job;
        row["heldAtMostMs"] = std::max<TimeMs>(0, centre.reservedUntil - now);
    }
    return json;
}

} // namespace

std::string dumpEntry(const Entry &entry, TimeMs now)
{
    return formatJson({{"status", statusObject(entry, now)},
                       {"counters", countersJson(entry.counters)},
                       {"queued", entry.queue.size},
                       {"retryTokens", entry.budget.tokens},
                       {"fragmentation", fragmentationOf(entry.view)},
                       {"usage", usageJson(entry)},
                       {"holds", reservationsJson(entry, now)},
                       {"owners", rangeOwnersJson(entry)},
                       {"targets", targetsArray(entry, now)},
                       {"jobs", jobsJson(entry, now)}});
}

std::string targetsJson(const Entry &entry, TimeMs now)
{
    return formatJson({{"targets", targetsArray(entry, now)}});
}

std::string statusJson(const Entry &entry, TimeMs now)
{
    return formatJson(statusObject(entry, now));
}

std::string explainJob(const Entry &entry, std::string_view job, TimeMs now)
{
    const auto found = entry.byId.find(std::string(job));
    if (found == entry.byId.end())
        return formatJson({{"job", job}, {"state", "unknown to this entry"}});
    const auto &known = *entry.jobs.at(found->second);
    auto json = jobJson(entry, known, now);
    Reason reason;
    if (!couldEverHold(entry.view, known.spec, reason))
        json["neverRuns"] = reasonJson(reason);
    if (known.state == JobState::Queued) {
        json["freedBy"] = unblockingCondition(entry, known);
        json["room"] = freeWorkersJson(entry, known, now);
    }
    return formatJson(json);
}

} // namespace flamingo
