// The owner's part of the stream `claims`: the queue of records, appends, and the replay of keys.
//
// The owner replays the keys of all ranges of its region, not only of the ranges that it owns, so
// that a takeover needs no second pass over the stream. A key takes a few hundred bytes; a region
// has a few thousand keys a day. At maxKeys, keys of ranges that are not owned are dropped and the
// range is recorded in Owner::replayIncomplete; a takeover of it then stays incomplete until the
// dropped keys would have expired.
//
// For an owned range the state in memory is ahead of the log, so a record read back only confirms
// it. For other ranges each record changes the state. Owner::loggedKeys keeps the logged state of
// keys with records not read back. A process that loses a range reverts to it, because a state that
// was never logged would hide the decisions of the next owner.
//
// At most one append is pending. Appends are at least appendIntervalMs apart, and each has all
// waiting lines up to maxAppendBytes. After an append with an unknown result, all lines from the
// first unacknowledged one on are appended again. The sequence in each record makes a repeated
// record void, also when the first append takes effect late.

#include "flamingo/owner_parts.h"

#include <algorithm>

namespace flamingo::ownerparts {

namespace {

ClaimsRecord makeKeyRecord(const Owner &owner, RecordKind kind, const std::string &key,
                           const OwnedKey &state)
{
    ClaimsRecord record;
    record.kind = kind;
    record.region = owner.options.region;
    record.range = state.range;
    record.owner = owner.options.self;
    record.ownerIncarnation = owner.options.incarnation;
    record.key = key;
    record.agent = state.agent;
    record.incarnation = state.incarnation;
    record.attempt = state.attempt;
    return record;
}

void enqueueRecord(Owner &owner, OwnedRange &owned, ClaimsRecord &record, TimeMs now)
{
    record.epoch = owned.epoch;
    record.sequence = owned.nextSequence++;
    if (owner.queue.empty())
        owner.readBackPendingSince = now;
    owner.queue.push_back({record.range, record.epoch, record.sequence, claimsLine(record)});
}

// True when the line was read back or would be void, so that it need not be appended again.
bool isReadBackOrVoid(const Owner &owner, const QueuedLine &line)
{
    if (line.epoch == 0) {
        const auto found = owner.map.agents.find(owner.options.self);
        return found != owner.map.agents.end()
            && found->second.incarnation >= owner.options.incarnation && !found->second.lost;
    }
    const auto found = owner.map.owners.find({owner.options.region, line.range});
    if (found == owner.map.owners.end())
        return true;
    const auto &range = found->second;
    const auto &options = owner.options;
    if (range.epoch == line.epoch)
        return range.agent != options.self || range.incarnation != options.incarnation
            || range.sequence >= line.sequence;
    return range.cleanEpoch != line.epoch || range.cleanOwner != options.self
        || range.cleanIncarnation != options.incarnation || range.cleanSequence >= line.sequence;
}

// Drops lines that were read back or are void from the front of the queue. If any was dropped,
// memory mode (see owner.cc) ends and its timeout starts again.
void dropReadBackOrVoidLines(Owner &owner, TimeMs now)
{
    bool progress = false;
    while (!owner.queue.empty() && isReadBackOrVoid(owner, owner.queue.front())) {
        owner.queue.pop_front();
        if (owner.acknowledgedLines > 0)
            --owner.acknowledgedLines;
        else if (owner.linesInFlight > 0)
            --owner.linesInFlight;
        progress = true;
    }
    if (!progress)
        return;
    owner.memoryMode = false;
    owner.readBackPendingSince = owner.queue.empty() ? -1 : now;
}

// ---- Records applied to the state of keys ----

// `keys` is Owner::keys for a range that this process does not own, and Owner::loggedKeys for a
// record of an owned range that was read back.

// Returns the key's state, which is Released for a new key. Returns nullptr at maxKeys and marks
// the range's replay as incomplete.
OwnedKey *findOrAddKey(Owner &owner, KeyMap &keys, const ClaimsRecord &record)
{
    const auto found = keys.find(record.key);
    if (found != keys.end())
        return &found->second;
    if (keys.size() >= owner.options.maxKeys) {
        owner.replayIncomplete.insert(record.range);
        return nullptr;
    }
    auto &state = keys[record.key];
    state.range = record.range;
    state.phase = KeyPhase::Released;
    return &state;
}

void applyRecordToKey(OwnedKey &state, const ClaimsRecord &record, KeyPhase phase, TimeMs now)
{
    state.phase = phase;
    state.agent = record.agent;
    state.incarnation = record.incarnation;
    state.attempt = record.attempt;
    state.grantEpoch = 0;
    state.logEpoch = record.epoch;
    state.changedAt = now;
    state.loggedAt = now;
}

void applyClaim(Owner &owner, KeyMap &keys, const ClaimsRecord &record, TimeMs now)
{
    auto *const state = findOrAddKey(owner, keys, record);
    if (state == nullptr)
        return;
    const bool sameAttempt = state->attempt == record.attempt && state->agent == record.agent
        && state->incarnation == record.incarnation;
    if (state->phase == KeyPhase::Released) {
        applyRecordToKey(*state, record, KeyPhase::Granted, now);
    } else if (sameAttempt) {
        state->loggedAt = now;
        state->logEpoch = record.epoch;
    } else {
        ++owner.map.voided;
    }
}

void applySettled(Owner &owner, KeyMap &keys, const ClaimsRecord &record, TimeMs now)
{
    auto *const state = findOrAddKey(owner, keys, record);
    if (state == nullptr)
        return;
    if (state->attempt != record.attempt && state->phase != KeyPhase::Released) {
        ++owner.map.voided;
        return;
    }
    KeyPhase phase = KeyPhase::Finished;
    if (record.verdict == Verdict::NotRun)
        phase = KeyPhase::Released;
    else if (record.verdict == Verdict::MayHaveRun)
        phase = KeyPhase::MayHaveRun;
    applyRecordToKey(*state, record, phase, now - record.ageMs);
    state->loggedAt = now;
    state->verdict = record.verdict;
    state->reason = record.reason;
    state->answer = record.answer;
    state->answerBytes = record.answerBytes;
}

// ---- Records of owned ranges, read back ----

void confirmClaim(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out)
{
    const auto found = owner.keys.find(record.key);
    if (found == owner.keys.end())
        return;
    auto &state = found->second;
    if (state.queuedSequence == record.sequence)
        state.queuedSequence = 0;
    if (state.attempt != record.attempt || state.agent != record.agent
        || state.incarnation != record.incarnation)
        return;
    state.loggedAt = now;
    if (state.phase != KeyPhase::Claiming)
        return;
    state.phase = KeyPhase::Granted;
    state.changedAt = now;
    ++owner.counters.grants;
    sendGrant(owner, record.key, state, out);
}

void confirmSettled(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out)
{
    const auto found = owner.keys.find(record.key);
    if (found == owner.keys.end())
        return;
    auto &state = found->second;
    if (state.queuedSequence == record.sequence)
        state.queuedSequence = 0;
    if (state.settledSequence != record.sequence)
        return;
    state.settledSequence = 0;
    state.loggedAt = now;
    ackSettles(owner, record.key, out);
    if (state.phase == KeyPhase::Released)
        notifyWatchers(owner, record.key, true, out);
}

void confirmClean(OwnedRange &owned, const ClaimsRecord &record)
{
    owned.cleanRead = true;
    if (record.seen >= owned.cleanSeen)
        owned.cleanQueued = false;
}

void confirmRecord(Owner &owner, OwnedRange &owned, const ClaimsRecord &record, TimeMs now,
                   Outbox &out)
{
    if (record.kind == RecordKind::Clean) {
        confirmClean(owned, record);
        owner.lateRecords.erase(record.range);
        return;
    }
    if (record.kind == RecordKind::Claim) {
        applyClaim(owner, owner.loggedKeys, record, now);
        confirmClaim(owner, record, now, out);
    } else {
        applySettled(owner, owner.loggedKeys, record, now);
        confirmSettled(owner, record, now, out);
    }
    const auto found = owner.keys.find(record.key);
    if (found == owner.keys.end() || found->second.queuedSequence == 0)
        owner.loggedKeys.erase(record.key);
}

// ---- Dispatch of records ----

void onEpoch(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out)
{
    if (record.region != owner.options.region)
        return;
    if (owner.ranges.find(record.range) != owner.ranges.end())
        stopOwning(owner, record.range, now, out);
    const auto range = owner.map.owners.find({record.region, record.range});
    const bool namesSelf = range->second.agent == owner.options.self
        && range->second.incarnation == owner.options.incarnation;
    if (namesSelf && !owner.mustRestart)
        becomeOwner(owner, record.range, now);
}

void onAnnounceOrLost(Owner &owner, const ClaimsRecord &record, const Incarnation &before,
                      TimeMs now, Outbox &out)
{
    const auto &after = owner.map.agents[record.agent];
    const bool ended = before.incarnation != 0 && !before.lost
        && (after.lost || after.incarnation != before.incarnation);
    if (ended)
        onIncarnationEnded(owner, {record.agent, before.incarnation}, now, out);
    const bool reannounced = before.lost && !after.lost && after.incarnation == before.incarnation;
    if (reannounced && after.region == owner.options.region)
        onIncarnationReannounced(owner, {record.agent, after.incarnation}, now);
    if (record.agent == owner.options.self && after.incarnation > owner.options.incarnation)
        owner.mustRestart = true;
}

void onOwnerRecord(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out)
{
    if (record.region != owner.options.region)
        return;
    const auto owned = owner.ranges.find(record.range);
    if (owned != owner.ranges.end() && owned->second.epoch == record.epoch) {
        confirmRecord(owner, owned->second, record, now, out);
        return;
    }
    // For an owned range with another epoch: after a trimmed replay, applyOwnerRecord accepts an
    // owner's record of a newer epoch and takes the epoch and owner of the range from it. The epoch
    // that this process owned is over then.
    if (owned != owner.ranges.end())
        stopOwning(owner, record.range, now, out);
    if (record.kind == RecordKind::Claim)
        applyClaim(owner, owner.keys, record, now);
    else if (record.kind == RecordKind::Settled)
        applySettled(owner, owner.keys, record, now);
    else // Clean: the owner has logged all changes that the late records caused
        owner.lateRecords.erase(record.range);
}

void onRecord(Owner &owner, const ClaimsRecord &record, std::uint64_t offset, TimeMs now,
              Outbox &out)
{
    Incarnation before;
    const auto found = owner.map.agents.find(record.agent);
    if (found != owner.map.agents.end())
        before = found->second;
    const auto validity = applyRecord(owner.map, record, offset);
    if (validity == RecordValidity::Void) {
        ++owner.map.voided;
        return;
    }
    if (validity == RecordValidity::Late) {
        onLateRecord(owner, record, now, out);
        return;
    }
    switch (record.kind) {
    case RecordKind::Epoch:
        onEpoch(owner, record, now, out);
        return;
    case RecordKind::Announce:
    case RecordKind::Lost:
        onAnnounceOrLost(owner, record, before, now, out);
        return;
    case RecordKind::Claim:
    case RecordKind::Settled:
    case RecordKind::Clean:
        onOwnerRecord(owner, record, now, out);
        return;
    }
}

} // namespace

void saveLoggedState(Owner &owner, const std::string &key)
{
    const auto found = owner.keys.find(key);
    if (found != owner.keys.end() && found->second.queuedSequence == 0
        && owner.ranges.find(found->second.range) != owner.ranges.end())
        owner.loggedKeys.emplace(key, found->second);
}

void queueClaim(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now)
{
    const auto owned = owner.ranges.find(state.range);
    if (owned == owner.ranges.end())
        return;
    auto record = makeKeyRecord(owner, RecordKind::Claim, key, state);
    enqueueRecord(owner, owned->second, record, now);
    state.queuedSequence = record.sequence;
    state.loggedAt = now;
}

void queueSettled(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now)
{
    const auto owned = owner.ranges.find(state.range);
    if (owned == owner.ranges.end())
        return;
    auto record = makeKeyRecord(owner, RecordKind::Settled, key, state);
    record.verdict = state.verdict;
    record.reason = state.reason;
    record.answerBytes = state.answerBytes;
    if (state.answer.size() <= owner.options.maxAnswerBytes)
        record.answer = state.answer;
    else
        record.answerBytes = state.answer.size();
    record.ageMs = std::max<TimeMs>(0, now - state.changedAt);
    enqueueRecord(owner, owned->second, record, now);
    state.settledSequence = record.sequence;
    state.queuedSequence = record.sequence;
    state.loggedAt = now;
}

void queueHandover(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now)
{
    owner.queue.erase(
        std::remove_if(
            owner.queue.begin()
                + static_cast<std::ptrdiff_t>(owner.acknowledgedLines + owner.linesInFlight),
            owner.queue.end(),
            [&](const auto &line) { return line.epoch == owned.epoch && line.range == range; }),
        owner.queue.end());
    if (!owned.cleanRead)
        return;
    for (auto &[key, state] : owner.keys) {
        if (state.range != range || state.queuedSequence == 0)
            continue;
        if (state.phase == KeyPhase::Claiming)
            setAnswer(state, Verdict::NotRun, {ReasonCode::StaleEpoch, "never granted"}, "");
        else if (state.phase != KeyPhase::Released)
            queueClaim(owner, key, state, now);
        if (state.phase != KeyPhase::Granted)
            queueSettled(owner, key, state, now);
    }
    queueClean(owner, range, owned, seenAfterHandover, now);
    ++owner.counters.handovers;
}

void queueClean(Owner &owner, std::uint32_t range, OwnedRange &owned, std::uint64_t seen,
                TimeMs now)
{
    ClaimsRecord record;
    record.kind = RecordKind::Clean;
    record.region = owner.options.region;
    record.range = range;
    record.owner = owner.options.self;
    record.ownerIncarnation = owner.options.incarnation;
    record.seen = seen;
    enqueueRecord(owner, owned, record, now);
    owned.cleanQueued = true;
    owned.cleanSeen = record.seen;
    owned.cleanQueuedAt = now;
}

void queueAnnounce(Owner &owner, TimeMs now)
{
    const auto &options = owner.options;
    owner.announcedAt = now;
    if (owner.queue.empty())
        owner.readBackPendingSince = now;
    owner.queue.push_back(
        {0, 0, 0, announceLine(options.self, options.region, options.incarnation)});
}

void flushQueue(Owner &owner, TimeMs now, Outbox &out)
{
    if (owner.appendPending && now - owner.lastAppendAt >= owner.options.appendTimeoutMs) {
        owner.appendPending = false;
        owner.linesInFlight = 0;
    }
    if (owner.appendPending || owner.queue.size() <= owner.acknowledgedLines
        || now - owner.lastAppendAt < owner.options.appendIntervalMs)
        return;
    Append append;
    append.id = owner.nextAppend++;
    append.stream = claimsStream;
    std::size_t bytes = 0;
    for (std::size_t at = owner.acknowledgedLines; at < owner.queue.size(); ++at) {
        bytes += owner.queue[at].text.size();
        if (bytes > owner.options.maxAppendBytes && !append.lines.empty())
            break;
        append.lines.push_back(owner.queue[at].text);
    }
    owner.linesInFlight = append.lines.size();
    owner.appendPending = true;
    owner.lastAppendAt = now;
    ++owner.counters.appends;
    out.appends.push_back(std::move(append));
}

void onAppended(Owner &owner, const LogAppended &appended)
{
    if (!owner.appendPending || appended.id + 1 != owner.nextAppend)
        return;
    owner.appendPending = false;
    if (appended.acknowledged)
        owner.acknowledgedLines += owner.linesInFlight;
    owner.linesInFlight = 0;
}

void onLogRead(Owner &owner, const LogRead &read, TimeMs now, Outbox &out)
{
    if (read.stream != claimsStream)
        return;
    if (read.trimmed && owner.map.nextOffset > 0) {
        owner.mustRestart = true;
        while (!owner.ranges.empty())
            stopOwning(owner, owner.ranges.begin()->first, now, out);
    }
    owner.map.trimmed = owner.map.trimmed || read.trimmed;
    for (const auto &line : read.lines) {
        Reason reason;
        const auto record = nextClaimsRecord(owner.map, line, reason);
        if (record)
            onRecord(owner, *record, line.offset, now, out);
        else if (reason.code != ReasonCode::None)
            out.ignoredRecords.push_back({read.stream, line.offset, reason});
    }
    if (read.next <= maxLogOffset)
        owner.map.nextOffset = std::max(owner.map.nextOffset, read.next);
    if (owner.mustRestart) {
        while (!owner.ranges.empty())
            stopOwning(owner, owner.ranges.begin()->first, now, out);
    }
    dropReadBackOrVoidLines(owner, now);
}

} // namespace flamingo::ownerparts
