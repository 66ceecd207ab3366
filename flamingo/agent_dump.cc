#include "flamingo/agent_step.h"

#include <nlohmann/json.hpp>

// The agent's state as JSON, for operators. Names and texts come from other processes and may be
// invalid UTF-8, which the dump replaces instead of failing.
//
// Operators read these keys, so they stay as they are. <x>ForMs is the time since <x>, and
// <x>LeftMs and <x>InMs are the time until <x>. Keys that differ from the names in agent.h or need
// an explanation:
//
// In `tasks`:
//   issued           RunTask was sent
//   reservedForMs    time since the resources were reserved
//   waitsFor         LocalTask::blockers
//   leaving          why the task is checkpointing or stopping
// In `attempts`:
//   receivedForMs    time since the Start was received
//   claim            "asking" is ClaimPhase::Requested
//   begun            Attempt::grantAccepted
// In `members`, the members of gangs on this worker:
//   over             GangMember::endConfirmed
// In `gangs`, the gangs that this agent leads:
//   decideLeftMs     time left for the members to confirm their holds
//   gone             MemberState::ended
//   reported         MemberState::doneReceived
//   leaseGivenForMs  time since the leader last gave the member a lease
// In `health`:
//   setAside         the worker gets no work now
//   probeInMs        time until the next probe job is admitted
// `cancelledJobs`: forMs is the time since the Cancel.
// `reportTargets`: the entries that receive reports; sentForMs is the time since the last report.
// `fences`: the newest epoch received in a Witness, by region and range.

namespace flamingo {

namespace {

using Json = nlohmann::json;

std::string_view phaseName(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Waiting:
        return "waiting";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Checkpointing:
        return "checkpointing";
    case TaskPhase::Stopping:
        return "stopping";
    }
    return "invalid";
}

std::string_view phaseName(ClaimPhase phase)
{
    switch (phase) {
    case ClaimPhase::None:
        return "none";
    case ClaimPhase::Requested:
        return "asking";
    case ClaimPhase::Granted:
        return "granted";
    case ClaimPhase::Releasing:
        return "releasing";
    }
    return "invalid";
}

std::string_view phaseName(MemberPhase phase)
{
    switch (phase) {
    case MemberPhase::Reclaiming:
        return "reclaiming";
    case MemberPhase::Held:
        return "held";
    case MemberPhase::Running:
        return "running";
    case MemberPhase::Done:
        return "done";
    }
    return "invalid";
}

std::string_view phaseName(GangPhase phase)
{
    switch (phase) {
    case GangPhase::Holding:
        return "holding";
    case GangPhase::Claiming:
        return "claiming";
    case GangPhase::Running:
        return "running";
    case GangPhase::Stopping:
        return "stopping";
    }
    return "invalid";
}

Json reasonJson(ReasonCode code, std::string_view text)
{
    return {{"code", reasonName(code)}, {"text", text}};
}

Json taskJson(const LocalTask &task, TimeMs now)
{
    Json json{{"job", task.job},
              {"organisation", task.organisation},
              {"mask", task.mask},
              {"cores", task.cores},
              {"memoryMib", task.memoryMib},
              {"phase", phaseName(task.phase)},
              {"guaranteed", task.guaranteed},
              {"evictable", taskEvictable(task)},
              {"gangMember", task.gangMember},
              {"issued", task.issued},
              {"started", task.started},
              {"endReported", task.endReported},
              {"waitsFor", task.blockers},
              {"reservedForMs", now - task.reservedAt}};
    if (task.issued)
        json["issuedForMs"] = now - task.issuedAt;
    if (taskStopping(task))
        json["leaving"] = reasonJson(task.stopReason.code, task.stopReason.text);
    if (!task.checkpoint.empty())
        json["checkpoint"] = task.checkpoint;
    return json;
}

Json attemptJson(const Attempt &attempt, TimeMs now)
{
    Json json{{"job", attempt.spec.job},    {"organisation", attempt.spec.organisation},
              {"entry", attempt.entry},     {"guaranteed", attempt.guaranteed},
              {"gang", attempt.gang},       {"receivedForMs", now - attempt.receivedAt},
              {"replied", attempt.replied}, {"accepted", attempt.reply.accepted},
              {"ended", attempt.ended}};
    if (!attempt.spec.idempotent) {
        json["key"] = attempt.spec.key;
        json["homeRegion"] = attempt.spec.homeRegion;
        json["owner"] = attempt.owner;
        json["range"] = attempt.range;
        json["epoch"] = attempt.epoch;
        json["claim"] = phaseName(attempt.claim);
        json["begun"] = attempt.grantAccepted;
        json["waitsForSettleAck"] = attempt.settleSend.pending;
    }
    if (attempt.ended) {
        json["endedForMs"] = now - attempt.endedAt;
        json["verdict"] = verdictName(attempt.outcome.verdict);
        json["reason"] = reasonJson(attempt.outcome.reason, attempt.outcome.detail);
        json["answerBytes"] = attempt.outcome.answer.size();
        json["waitsForOutcomeAck"] = attempt.outcomeSend.pending;
    }
    return json;
}

Json memberJson(const GangMember &member, TimeMs now)
{
    Json json{{"leader", member.leader},
              {"index", member.index},
              {"phase", phaseName(member.phase)},
              {"over", member.endConfirmed}};
    if (member.phase < MemberPhase::Running)
        json["holdLeftMs"] = member.holdUntil - now;
    else
        json["leaseLeftMs"] = member.leaseUntil - now;
    if (member.phase == MemberPhase::Done) {
        json["verdict"] = verdictName(member.done.verdict);
        json["reason"] = reasonJson(member.done.reason, member.done.detail);
    }
    return json;
}

Json gangJson(const Gang &gang, TimeMs now)
{
    Json json{{"phase", phaseName(gang.phase)},
              {"decideLeftMs", gang.decideUntil - now},
              {"started", gang.started},
              {"stopReason", reasonJson(gang.stopReason.code, gang.stopReason.text)},
              {"answerBytes", gang.answerBytes},
              {"members", Json::array()}};
    for (const auto &member : gang.members) {
        json["members"].push_back({{"agent", member.agent},
                                   {"held", member.held},
                                   {"running", member.running},
                                   {"gone", member.ended},
                                   {"reported", member.doneReceived},
                                   {"leaseGivenForMs", now - member.leaseGivenAt}});
    }
    return json;
}

template <typename Map, typename ToJson>
Json mapJson(const Map &map, const ToJson &toJson)
{
    auto json = Json::object();
    for (const auto &[id, value] : map)
        json[id] = toJson(value);
    return json;
}

Json healthJson(const Agent &agent, TimeMs now)
{
    const auto &health = agent.health;
    return {{"setAside", rejectsAllJobs(agent, now)},
            {"failedJobs", health.failedJobs},
            {"probe", health.probe},
            {"probeInMs", health.setAside ? health.probeAt - now : 0}};
}

Json workerJson(const Agent &agent)
{
    const auto &options = agent.options;
    const auto free = freeCapacity(agent);
    return {{"accelerators", options.accelerators},
            {"slots", options.slots},
            {"connections", options.connections},
            {"cores", options.cores},
            {"memoryMib", options.memoryMib},
            {"freeMask", free.mask},
            {"evictableMask", free.evictableMask},
            {"freeSlots", free.slots},
            {"freeCores", free.cores},
            {"freeMemoryMib", free.memoryMib}};
}

} // namespace

std::string dumpAgent(const Agent &agent, TimeMs now)
{
    Json dump{{"name", agent.options.name},
              {"incarnation", agent.options.incarnation},
              {"region", agent.options.region},
              {"dataCentre", agent.options.dataCentre},
              {"rack", agent.options.rack},
              {"draining", agent.draining},
              {"idle", agentIdle(agent)},
              {"tableVersion", agent.tableVersion},
              {"leaseLeftMs", agent.leaseUntil - now},
              {"answerBytes", agent.answerBytes},
              {"ignoredStarts", agent.ignoredStarts}};
    dump["worker"] = workerJson(agent);
    dump["health"] = healthJson(agent, now);
    dump["tasks"] = mapJson(agent.tasks, [&](const auto &task) { return taskJson(task, now); });
    dump["attempts"] =
        mapJson(agent.attempts, [&](const auto &attempt) { return attemptJson(attempt, now); });
    dump["members"] =
        mapJson(agent.members, [&](const auto &member) { return memberJson(member, now); });
    dump["gangs"] = mapJson(agent.gangs, [&](const auto &gang) { return gangJson(gang, now); });
    dump["refusals"] = mapJson(agent.refusals, [&](const Refusal &refusal) {
        return Json{{"reason", reasonJson(refusal.reply.reason, refusal.reply.detail)},
                    {"refusedForMs", now - refusal.at}};
    });
    dump["cancelledJobs"] = mapJson(agent.cancelledJobs, [&](TimeMs at) {
        return Json{{"forMs", now - at}};
    });
    dump["reportTargets"] = mapJson(agent.reportTargets, [&](const ReportTarget &target) {
        return Json{{"sentForMs", now - target.sentAt}, {"intervalMs", target.intervalMs}};
    });
    dump["fences"] = Json::array();
    for (const auto &[range, epoch] : agent.fences)
        dump["fences"].push_back(
            {{"region", range.first}, {"range", range.second}, {"epoch", epoch}});
    return dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace flamingo
