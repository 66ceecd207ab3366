// The owner's state as JSON, with all fields needed to explain a stuck key or takeover from one
// dump.
//
// Operators read these keys, so they stay as they are. Keys that differ from the names in owner.h,
// or need an explanation:
//
//   memoryMode      keys may be granted before their record is in the log; see owner.cc
//   appendOpen      Owner::appendPending
//   waitingForMs    time for which lines have waited without any being read back
//   settlesWaiting  number of keys in Owner::settleWaiters
//   foldIncomplete  Owner::replayIncomplete
//   late            number of records in Owner::lateRecords, by range
// In `map`:
//   voided          number of records that had no effect
//   lostForgotten   RangeMap::droppedLostEnd
//   firm            RangeOwner::epochConfirmed
//   clean*          the last owner that may have granted from memory
//   announcedAt, lostAt, offset, nextOffset, cleanSeen: offsets in the log
// In `ranges`:
//   cleanWaits      OwnedRange::cleanQueued
//   unanswered      OwnedRange::unansweredWitnesses
//   blocking        OwnedRange::blockingIncarnations
//   trustedSequence first sequence queued after the last pause of the process
// In `keys`:
//   settledSequence, queuedSequence: records that are not read back yet; 0 if there is none
//   logEpoch        epoch of the key's last valid record in the log
//   ageMs           time since the key's phase or holder changed
// In `counters`:
//   grants          grants after the Claim record was read back
//   completed       takeovers that became complete
//   fenced          ranges that this process ceased to own

#include "flamingo/owner.h"

#include <nlohmann/json.hpp>

namespace flamingo {

namespace {

std::string_view phaseName(KeyPhase phase)
{
    switch (phase) {
    case KeyPhase::Claiming:
        return "claiming";
    case KeyPhase::Granted:
        return "granted";
    case KeyPhase::Released:
        return "released";
    case KeyPhase::Finished:
        return "finished";
    case KeyPhase::MayHaveRun:
        return "may_have_run";
    }
    return "invalid";
}

using Json = nlohmann::json;

Json describeMap(const RangeMap &map)
{
    Json json = {{"nextOffset", map.nextOffset},
                 {"trimmed", map.trimmed},
                 {"malformed", map.malformed},
                 {"voided", map.voided},
                 {"lostForgotten", map.droppedLostEnd},
                 {"owners", Json::array()},
                 {"agents", Json::object()},
                 {"lost", Json::array()}};
    for (const auto &[name, owner] : map.owners)
        json["owners"].push_back({{"region", name.first},
                                  {"range", name.second},
                                  {"agent", owner.agent},
                                  {"incarnation", owner.incarnation},
                                  {"epoch", owner.epoch},
                                  {"offset", owner.offset},
                                  {"sequence", owner.sequence},
                                  {"firm", owner.epochConfirmed},
                                  {"cleanEpoch", owner.cleanEpoch},
                                  {"cleanOwner", owner.cleanOwner},
                                  {"cleanIncarnation", owner.cleanIncarnation},
                                  {"cleanSeen", owner.cleanSeen},
                                  {"cleanSequence", owner.cleanSequence}});
    for (const auto &[name, agent] : map.agents)
        json["agents"][name] = {{"region", agent.region},
                                {"incarnation", agent.incarnation},
                                {"announcedAt", agent.announcedAt},
                                {"lost", agent.lost},
                                {"lostAt", agent.lostAt}};
    for (const auto &lost : map.lost)
        json["lost"].push_back({{"agent", lost.agent},
                                {"incarnation", lost.incarnation},
                                {"region", lost.region},
                                {"lostAt", lost.lostAt}});
    return json;
}

Json describeRange(std::uint32_t range, const OwnedRange &owned, TimeMs now)
{
    Json json = {{"range", range},
                 {"epoch", owned.epoch},
                 {"offset", owned.offset},
                 {"complete", owned.complete},
                 {"cleanRead", owned.cleanRead},
                 {"cleanWaits", owned.cleanQueued},
                 {"cleanSeen", owned.cleanSeen},
                 {"nextSequence", owned.nextSequence},
                 {"trustedSequence", owned.trustedSequence},
                 {"ownedForMs", now - owned.ownedSince},
                 {"unanswered", Json::array()},
                 {"blocking", Json::array()}};
    for (const auto &[name, due] : owned.unansweredWitnesses)
        json["unanswered"].push_back(
            {{"agent", name.first}, {"incarnation", name.second}, {"dueInMs", due - now}});
    for (const auto &[agent, incarnation] : owned.blockingIncarnations)
        json["blocking"].push_back({{"agent", agent}, {"incarnation", incarnation}});
    return json;
}

Json describeKeys(const Owner &owner, TimeMs now)
{
    Json json = Json::object();
    for (const auto &[key, state] : owner.keys)
        json[key] = {{"range", state.range},
                     {"phase", phaseName(state.phase)},
                     {"agent", state.agent},
                     {"incarnation", state.incarnation},
                     {"attempt", state.attempt},
                     {"verdict", verdictName(state.verdict)},
                     {"reason", reasonName(state.reason.code)},
                     {"detail", state.reason.text},
                     {"answer", state.answer},
                     {"answerBytes", state.answerBytes},
                     {"grantEpoch", state.grantEpoch},
                     {"settledSequence", state.settledSequence},
                     {"queuedSequence", state.queuedSequence},
                     {"logEpoch", state.logEpoch},
                     {"grantSentMsAgo", now - state.grantSentAt},
                     {"ageMs", now - state.changedAt}};
    return json;
}

} // namespace

std::string dumpOwner(const Owner &owner, TimeMs now)
{
    Json json = {
        {"self", owner.options.self},
        {"region", owner.options.region},
        {"incarnation", owner.options.incarnation},
        {"memoryMode", owner.memoryMode},
        {"mustRestart", owner.mustRestart},
        {"queuedLines", owner.queue.size()},
        {"acknowledgedLines", owner.acknowledgedLines},
        {"linesInFlight", owner.linesInFlight},
        {"appendOpen", owner.appendPending},
        {"waitingForMs", owner.readBackPendingSince < 0 ? 0 : now - owner.readBackPendingSince},
        {"watchers", owner.watcherCount},
        {"settlesWaiting", owner.settleWaiters.size()},
        {"foldIncomplete", owner.replayIncomplete},
        {"late", Json::object()},
        {"map", describeMap(owner.map)},
        {"ranges", Json::array()},
        {"keys", describeKeys(owner, now)}};
    for (const auto &[range, owned] : owner.ranges)
        json["ranges"].push_back(describeRange(range, owned, now));
    for (const auto &[range, records] : owner.lateRecords)
        json["late"][std::to_string(range)] = records.size();
    const auto &counters = owner.counters;
    json["counters"] = {{"grants", counters.grants},       {"memoryGrants", counters.memoryGrants},
                        {"denials", counters.denials},     {"appends", counters.appends},
                        {"takeovers", counters.takeovers}, {"completed", counters.completed},
                        {"fenced", counters.fenced},       {"pauses", counters.pauses},
                        {"handovers", counters.handovers}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace flamingo
