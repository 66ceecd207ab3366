// Changes of a range's owner.
//
// When this process reads an Epoch record that names it, it has applied every valid claim before
// that record; claims of older epochs after the record are void. The log does not show which keys a
// former owner granted from memory. Only an owner whose Clean record is in the log may grant from
// memory. An owner writes a Clean record only after its own takeover is complete, and the records
// of all that it learned in the takeover precede the Clean record in the log. So only the last such
// owner matters (RangeOwner::cleanOwner). The takeover is complete when each incarnation that this
// owner could have granted to
//   - replied to the Witness, or
//   - ended, and a Clean record states that the owner had read so (`lostAt` below cleanSeen): its
//     grants are in the log and the owner granted it nothing afterwards, or
//   - is that owner itself and has ended; it never grants to itself from memory.
// The position of the Clean record is no substitute for cleanSeen: an owner whose reads lag behind
// its appends could write it after the Lost record without having read that record, and grant to
// the lost agent later.
//
// An owner that lost the range and still runs hands over: it appends the last state of every key
// that the log does not have yet, and a Clean record with `seen` = seenAfterHandover. Those records
// are late, so they affect the takeover only. The Clean record completes it at once, whichever
// incarnations were lost.
//
// An incarnation that ended and that no Clean record covers may have run keys of which neither a
// process nor the log has a record. The takeover then stays incomplete until finishedRetentionMs
// have passed, because such keys would have expired by then in any case.
//
// An attempt that the log shows as granted, but that its target did not list in its WitnessReply,
// never reached the target. The target refuses older epochs, so the grant cannot reach it later
// either, and the attempt is released.

#include "flamingo/owner_parts.h"

#include <algorithm>

namespace flamingo::ownerparts {

namespace {

// A Witness to a lost incarnation is repeated less often, because most of them have ended.
constexpr TimeMs lostWitnessRepeatFactor = 10;

bool isUnsettled(const OwnedKey &state)
{
    return state.phase == KeyPhase::Claiming || state.phase == KeyPhase::Granted;
}

bool hasEnded(const RangeMap &map, const OwnedKey &state)
{
    const auto found = map.agents.find(state.agent);
    return found == map.agents.end() || found->second.incarnation != state.incarnation
        || found->second.lost;
}

void releaseAttempt(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now)
{
    saveLoggedState(owner, key);
    setAnswer(state, Verdict::NotRun, {ReasonCode::Expired, "the target never began"}, "");
    settleKey(owner, key, state, KeyPhase::Released, now);
}

// Settles the key after its target ended: a claim that was never granted as NotRun, any other as
// MayHaveRun.
void settleAfterTargetLoss(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now,
                           Outbox &out)
{
    if (state.phase == KeyPhase::Claiming) {
        releaseAttempt(owner, key, state, now);
        return;
    }
    saveLoggedState(owner, key);
    setAnswer(state, Verdict::MayHaveRun,
              {ReasonCode::TargetUnreachable, "target " + state.agent + " was lost"}, "");
    settleKey(owner, key, state, KeyPhase::MayHaveRun, now);
    notifyWatchers(owner, key, false, out);
}

// Adds the key's holder to the targets that receive a Witness. The holder may be outside the
// region, so it is not always among the announced agents that becomeOwner adds.
void inheritAttempt(OwnedRange &owned, const std::string &key, const OwnedKey &state, TimeMs now)
{
    const IncarnationId name(state.agent, state.incarnation);
    owned.inheritedKeys[name].push_back(key);
    owned.unansweredWitnesses.emplace(name, now);
}

// Inherits the unsettled attempts of live targets, and settles those whose target has ended.
void inheritUnsettledAttempts(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now)
{
    Outbox unusedOutbox; // a range that was just taken over has no watchers
    for (auto &[key, state] : owner.keys) {
        if (state.range != range || !isUnsettled(state))
            continue;
        if (hasEnded(owner.map, state))
            settleAfterTargetLoss(owner, key, state, now, unusedOutbox);
        else
            inheritAttempt(owned, key, state, now);
    }
}

// Fills `blockingIncarnations` with the incarnations that must reply before the takeover is
// complete. The empty name stands for incarnations dropped from RangeMap::lost, or for keys dropped
// at maxKeys (see becomeOwner); it never replies.
void collectBlockingIncarnations(const Owner &owner, const RangeOwner &range, OwnedRange &owned)
{
    if (range.cleanEpoch == 0 || range.cleanSeen == seenAfterHandover)
        return;
    for (const auto &entry : owned.unansweredWitnesses)
        owned.blockingIncarnations.insert(entry.first);
    const IncarnationId cleanOwner(range.cleanOwner, range.cleanIncarnation);
    for (const auto &lost : owner.map.lost) {
        const IncarnationId name(lost.agent, lost.incarnation);
        if (lost.region == owner.options.region && lost.lostAt >= range.cleanSeen
            && name != cleanOwner)
            owned.blockingIncarnations.insert(name);
    }
    if (owner.map.droppedLostEnd > range.cleanSeen)
        owned.blockingIncarnations.insert({std::string(), 0});
}

// Settles the key's present holder as NotRun, because another attempt is reported as granted.
void releaseSuperseded(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now)
{
    if (isUnsettled(state) || state.phase == KeyPhase::MayHaveRun)
        releaseAttempt(owner, key, state, now);
}

bool sameAttempt(const OwnedKey &state, const ReportedAttempt &reported)
{
    return state.attempt == reported.attempt && state.agent == reported.agent
        && state.incarnation == reported.incarnation;
}

void settleAsReported(Owner &owner, const std::string &key, OwnedKey &state,
                      const ReportedAttempt &reported, TimeMs now, Outbox &out)
{
    saveLoggedState(owner, key);
    setAnswer(state, reported.verdict, reported.reason, reported.answer);
    KeyPhase phase = KeyPhase::Finished;
    if (reported.verdict == Verdict::NotRun)
        phase = KeyPhase::Released;
    else if (reported.verdict == Verdict::MayHaveRun)
        phase = KeyPhase::MayHaveRun;
    settleKey(owner, key, state, phase, now);
    if (phase != KeyPhase::Released)
        notifyWatchers(owner, key, false, out);
}

// Applies the last state of a key under the former owner, unless the log has a record of the key
// from a newer epoch.
void applyFormerOwnerState(Owner &owner, OwnedRange &owned, const ClaimsRecord &last, TimeMs now,
                           Outbox &out)
{
    const auto found = owner.keys.find(last.key);
    const bool known = found != owner.keys.end();
    if (known && found->second.logEpoch > last.epoch)
        return;
    const bool finished = last.kind == RecordKind::Settled;
    const ReportedAttempt reported{last.agent,   last.incarnation, last.attempt, finished,
                                   last.verdict, last.reason,      last.answer};
    if (finished && last.verdict == Verdict::NotRun) {
        // The former owner released the key, also if the log shows another attempt as granted.
        if (known && isUnsettled(found->second) && found->second.grantEpoch != owned.epoch)
            releaseAttempt(owner, last.key, found->second, now);
        return;
    }
    if (finished) {
        applyReportedAttempt(owner, last.key, last.range, reported, now, out);
        return;
    }
    const auto agent = owner.map.agents.find(last.agent);
    const bool live = agent != owner.map.agents.end() && !agent->second.lost
        && agent->second.incarnation == last.incarnation;
    if (live && owned.unansweredWitnesses.count({last.agent, last.incarnation}) == 0)
        return; // the target has replied to the Witness, and its reply is newer than this record
    applyReportedAttempt(owner, last.key, last.range, reported, now, out);
    if (live)
        inheritAttempt(owned, last.key, owner.keys.at(last.key), now);
}

void applyHandover(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now, Outbox &out)
{
    const auto found = owner.lateRecords.find(range);
    if (found == owner.lateRecords.end())
        return;
    for (const auto &[key, last] : found->second)
        applyFormerOwnerState(owner, owned, last, now, out);
}

// Releases the inherited attempts of an incarnation that its WitnessReply did not list.
void releaseUnlisted(Owner &owner, OwnedRange &owned, const IncarnationId &name,
                     const std::set<std::pair<std::string, std::string>> &listed, TimeMs now)
{
    const auto inherited = owned.inheritedKeys.find(name);
    if (inherited == owned.inheritedKeys.end())
        return;
    for (const auto &key : inherited->second) {
        const auto found = owner.keys.find(key);
        if (found == owner.keys.end())
            continue;
        auto &state = found->second;
        if (listed.count({key, state.attempt}) > 0)
            continue;
        if (!isUnsettled(state) || IncarnationId(state.agent, state.incarnation) != name
            || state.grantEpoch == owned.epoch)
            continue;
        releaseAttempt(owner, key, state, now);
    }
    owned.inheritedKeys.erase(inherited);
}

} // namespace

void becomeOwner(Owner &owner, std::uint32_t range, TimeMs now)
{
    const auto &record = owner.map.owners[{owner.options.region, range}];
    auto &owned = owner.ranges[range];
    owned = OwnedRange();
    owned.epoch = record.epoch;
    owned.offset = record.offset;
    owned.ownedSince = now;
    for (const auto &[agent, known] : owner.map.agents) {
        if (known.region == owner.options.region && !known.lost)
            owned.unansweredWitnesses[{agent, known.incarnation}] = now;
    }
    collectBlockingIncarnations(owner, record, owned);
    if (owner.replayIncomplete.count(range) > 0)
        owned.blockingIncarnations.insert({std::string(), 0});
    inheritUnsettledAttempts(owner, range, owned, now);
    Outbox unusedOutbox;
    if (record.cleanSeen == seenAfterHandover)
        applyHandover(owner, range, owned, now, unusedOutbox);
    ++owner.counters.takeovers;
    completeIfReady(owner, range, owned, now);
}

void stopOwning(Owner &owner, std::uint32_t range, TimeMs now, Outbox &out)
{
    queueHandover(owner, range, owner.ranges[range], now);
    owner.ranges.erase(range);
    ++owner.counters.fenced;
    notifyWatchersWrongOwner(owner, range, out);
    for (auto entry = owner.keys.begin(); entry != owner.keys.end();) {
        auto &[key, state] = *entry;
        if (state.range != range) {
            ++entry;
            continue;
        }
        owner.settleWaiters.erase(key);
        const auto logged = owner.loggedKeys.find(key);
        const bool unread = state.queuedSequence != 0;
        if (unread && logged == owner.loggedKeys.end()) {
            entry = owner.keys.erase(entry);
            continue;
        }
        if (unread)
            state = std::move(logged->second);
        if (logged != owner.loggedKeys.end())
            owner.loggedKeys.erase(logged);
        state.queuedSequence = 0;
        state.settledSequence = 0;
        ++entry;
    }
}

void onLateRecord(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out)
{
    if (record.region != owner.options.region)
        return;
    auto &late = owner.lateRecords[record.range];
    if (record.kind != RecordKind::Clean) {
        if (late.size() < owner.options.maxKeys)
            late[record.key] = record;
        else
            owner.replayIncomplete.insert(record.range);
        return;
    }
    const auto owned = owner.ranges.find(record.range);
    if (record.seen != seenAfterHandover || owned == owner.ranges.end() || owned->second.complete)
        return;
    applyHandover(owner, record.range, owned->second, now, out);
    if (owner.replayIncomplete.count(record.range) > 0)
        return;
    owned->second.blockingIncarnations.clear();
    completeIfReady(owner, record.range, owned->second, now);
}

void onIncarnationEnded(Owner &owner, const IncarnationId &ended, TimeMs now, Outbox &out)
{
    for (auto &[key, state] : owner.keys) {
        if (isUnsettled(state) && state.agent == ended.first && state.incarnation == ended.second)
            settleAfterTargetLoss(owner, key, state, now, out);
    }
    for (auto &[range, owned] : owner.ranges) {
        const auto &record = owner.map.owners[{owner.options.region, range}];
        if (record.cleanOwner == ended.first && record.cleanIncarnation == ended.second)
            owned.blockingIncarnations.erase(ended);
        const auto &newest = owner.map.agents[ended.first];
        if (newest.incarnation != ended.second)
            owned.unansweredWitnesses.erase(ended);
    }
}

void onIncarnationReannounced(Owner &owner, const IncarnationId &reannounced, TimeMs now)
{
    for (auto &entry : owner.ranges)
        entry.second.unansweredWitnesses.emplace(reannounced, now);
}

void applyReportedAttempt(Owner &owner, const std::string &key, std::uint32_t range,
                          const ReportedAttempt &reported, TimeMs now, Outbox &out)
{
    auto found = owner.keys.find(key);
    const bool notRun = reported.finished && reported.verdict == Verdict::NotRun;
    if (found != owner.keys.end() && sameAttempt(found->second, reported)) {
        auto &state = found->second;
        const bool open = isUnsettled(state) || state.phase == KeyPhase::MayHaveRun;
        if (open && reported.finished && !(notRun && state.phase == KeyPhase::MayHaveRun))
            settleAsReported(owner, key, state, reported, now, out);
        return;
    }
    if (notRun)
        return;
    const bool isNew = found == owner.keys.end();
    if (isNew) {
        found = owner.keys.emplace(key, OwnedKey()).first;
        found->second.range = range;
        found->second.phase = KeyPhase::Released;
    }
    auto &state = found->second;
    if (state.phase == KeyPhase::Finished)
        return;
    if (!isNew)
        saveLoggedState(owner, key);
    releaseSuperseded(owner, key, state, now);
    state.phase = KeyPhase::Granted;
    state.agent = reported.agent;
    state.incarnation = reported.incarnation;
    state.attempt = reported.attempt;
    state.grantEpoch = 0;
    state.changedAt = now;
    setAnswer(state, Verdict::MayHaveRun, {}, "");
    queueClaim(owner, key, state, now);
    if (reported.finished)
        settleAsReported(owner, key, state, reported, now, out);
    else if (hasEnded(owner.map, state))
        settleAfterTargetLoss(owner, key, state, now, out);
}

void onWitnessReply(Owner &owner, const WitnessReply &reply, TimeMs now, Outbox &out)
{
    const auto found = owner.ranges.find(reply.range);
    if (found == owner.ranges.end() || reply.region != owner.options.region
        || reply.epoch != found->second.epoch)
        return;
    auto &owned = found->second;
    const IncarnationId name(reply.agent, reply.incarnation);
    const bool awaited = owned.blockingIncarnations.erase(name) > 0;
    if (owned.unansweredWitnesses.erase(name) == 0 && !awaited)
        return;
    std::set<std::pair<std::string, std::string>> listed; // key and attempt
    for (const auto &key : reply.keys) {
        if (rangeOf(key.key) != reply.range)
            continue;
        listed.emplace(key.key, key.attempt);
        applyReportedAttempt(owner, key.key, reply.range,
                             {reply.agent,
                              reply.incarnation,
                              key.attempt,
                              key.finished,
                              key.verdict,
                              {key.reason, key.detail},
                              key.answer},
                             now, out);
    }
    releaseUnlisted(owner, owned, name, listed, now);
    completeIfReady(owner, reply.range, owned, now);
}

void sendWitnesses(Owner &owner, TimeMs now, Outbox &out)
{
    std::size_t left = owner.options.maxWitnessesPerTick;
    for (auto &[range, owned] : owner.ranges) {
        for (auto &[name, due] : owned.unansweredWitnesses) {
            if (due > now)
                continue;
            if (left-- == 0)
                return;
            const auto known = owner.map.agents.find(name.first);
            const bool lost = known != owner.map.agents.end() && known->second.lost;
            due = now + owner.options.witnessRepeatMs * (lost ? lostWitnessRepeatFactor : 1);
            Witness witness;
            witness.region = owner.options.region;
            witness.range = range;
            witness.epoch = owned.epoch;
            witness.owner = owner.options.self;
            out.sends.push_back({name.first, std::move(witness)});
        }
    }
}

void completeIfReady(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now)
{
    if (owned.complete)
        return;
    if (!owned.blockingIncarnations.empty()
        && now - owned.ownedSince < owner.options.finishedRetentionMs)
        return;
    owned.complete = true;
    ++owner.counters.completed;
    owner.replayIncomplete.erase(range);
}

} // namespace flamingo::ownerparts
