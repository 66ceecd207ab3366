// The owner of key ranges: grants, settlements and queries.
//
// States of a key: Begin queues a Claim record; the grant is sent after the record was read back
// from the log as valid. Settle moves the key to Finished or Released; SettleAck is sent after the
// Settled record was read back, so that the target keeps the answer until the log has it. If the
// target is lost before it settles, the key becomes MayHaveRun; after that, only a late Settle with
// the answer changes it.
//
// Memory mode: when records wait to be read back from the log and none was read back for
// memoryModeAfterMs, keys are granted before their records are in the log. All of these conditions
// must hold:
//   - The target is another process than the owner, so that the end of one process does not lose
//     both copies of the grant.
//   - The target is announced in the log in the owner's region and not lost, so that the next owner
//     sends it a Witness.
//   - A Clean record of this epoch was read back, so that the next owner sees in the log that
//     grants from memory are possible.
//   - The takeover is complete.
//
// Paused owners: while the owner's process is paused, another process may take over the range.
//   - With the log reachable, a grant needs a record that is valid at its position in the log.
//     After a takeover the record is void, however long the pause was and whatever reads were
//     buffered.
//   - Without the log, the conditions of memory mode are sufficient too. Each announced target is
//     in one of three cases. It has replied to the new owner's Witness and refuses older epochs. Or
//     it has not replied; then the takeover is incomplete, and the new owner grants no unknown key.
//     Or it was lost, and a Clean record states that the paused owner had read so; then the paused
//     owner grants it nothing.
// A wait after a pause is therefore not needed for safety. But no log read could arrive during the
// pause, so the timeout for memory mode starts again: after a pause the owner waits up to
// memoryModeAfterMs for the log, and in most cases reads the Epoch record of a newer owner in that
// time. The only reply that depends on being the present owner is KeyReply with verdict NotRun. It
// is sent only after the release was read back, and after a pause only when a record queued after
// the pause was read back. A takeover needs 10 s without contact, more than pauseThresholdMs, so
// none can begin and end in a shorter gap.
//
// An answer larger than maxAnswerBytes is kept in memory but not in the log. After a takeover the
// key is Finished with verdict Ran, an empty answer and a detail text that gives the size; the
// target may still have the answer.

#include "flamingo/owner_parts.h"

#include <algorithm>

namespace flamingo {

using namespace ownerparts;

namespace {

bool isLive(const RangeMap &map, std::string_view agent, std::uint64_t incarnation)
{
    const auto found = map.agents.find(agent);
    return found != map.agents.end() && found->second.incarnation == incarnation
        && !found->second.lost;
}

bool sameAttempt(const OwnedKey &state, std::string_view agent, std::uint64_t incarnation,
                 std::string_view attempt)
{
    return state.attempt == attempt && state.agent == agent && state.incarnation == incarnation;
}

// ---- Begin ----

struct Denial
{
    KeyState state = KeyState::Unknown;
    Reason reason;
};

void sendDenial(Owner &owner, const PeerMessage &message, const Begin &begin, const Denial &denial,
                Outbox &out)
{
    BeginReply reply;
    reply.key = begin.key;
    reply.attempt = begin.attempt;
    reply.range = begin.range;
    const auto range = owner.map.owners.find({owner.options.region, begin.range});
    reply.epoch = range == owner.map.owners.end() ? 0 : range->second.epoch;
    reply.state = denial.state;
    reply.reason = denial.reason.code;
    reply.detail = denial.reason.text;
    ++owner.counters.denials;
    out.sends.push_back({message.from, std::move(reply)});
}

const Denial takeoverIncompleteDenial = {
    KeyState::MayHaveRun,
    {ReasonCode::TakeoverIncomplete,
     "the range has a new owner and not all targets have replied to it"}};

// Returns a denial if the Begin is denied whatever the key's state is; nullopt otherwise.
std::optional<Denial> denialForBegin(const Owner &owner, const Begin &begin)
{
    const auto owned = owner.ranges.find(begin.range);
    if (owned == owner.ranges.end())
        return Denial{KeyState::WrongOwner,
                      {ReasonCode::WrongOwner, owner.options.self + " does not own the range"}};
    if (begin.epoch > owned->second.epoch)
        return Denial{KeyState::NotReady,
                      {ReasonCode::StaleEpoch, "the owner has not read the newest epoch yet"}};
    if (rangeOf(begin.key) != begin.range || begin.key.empty() || begin.key.size() > maxNameBytes)
        return Denial{KeyState::Unknown,
                      {ReasonCode::InvalidInput, "the key is empty, too long or in another range"}};
    if (!isLive(owner.map, begin.agent, begin.incarnation))
        return Denial{KeyState::NotReady,
                      {ReasonCode::StaleEpoch,
                       "the agent's incarnation is not announced in the log or is lost"}};
    return std::nullopt;
}

// Returns the denial for an attempt that is not the key's holder; nullopt if a grant is possible.
std::optional<Denial> denialForOtherAttempt(const OwnedKey &state, bool complete)
{
    switch (state.phase) {
    case KeyPhase::Claiming:
    case KeyPhase::Granted:
        return Denial{KeyState::Running,
                      {ReasonCode::AlreadyClaimed, "another attempt holds the key"}};
    case KeyPhase::Finished:
        return Denial{KeyState::Finished, {ReasonCode::AlreadyClaimed, "the key has finished"}};
    case KeyPhase::MayHaveRun:
        return Denial{KeyState::MayHaveRun,
                      {ReasonCode::AlreadyClaimed, "the target was lost while it held the key"}};
    case KeyPhase::Released:
        break;
    }
    if (!complete)
        return takeoverIncompleteDenial;
    return std::nullopt;
}

// Handles a repeated Begin of the attempt that holds the key.
void repeatBegin(Owner &owner, const PeerMessage &message, const Begin &begin, OwnedKey &state,
                 Outbox &out)
{
    const auto &owned = owner.ranges[begin.range];
    switch (state.phase) {
    case KeyPhase::Claiming:
        if (!mayGrantFromMemory(owner, owned, state))
            return; // the grant is sent when the claim is read back
        state.phase = KeyPhase::Granted;
        ++owner.counters.memoryGrants;
        sendGrant(owner, begin.key, state, out);
        return;
    case KeyPhase::Granted:
        sendGrant(owner, begin.key, state, out);
        return;
    case KeyPhase::Released:
        sendDenial(owner, message, begin,
                   {KeyState::Unknown, {ReasonCode::Expired, "the attempt was settled as not run"}},
                   out);
        return;
    case KeyPhase::Finished:
    case KeyPhase::MayHaveRun:
        sendDenial(owner, message, begin, *denialForOtherAttempt(state, owned.complete), out);
        return;
    }
}

// False when the key or a name would change in the log line, for example because it is not valid
// UTF-8.
bool roundTripsThroughLog(const Begin &begin)
{
    ClaimsRecord record;
    record.kind = RecordKind::Claim;
    record.region = "r";
    record.owner = "o";
    record.sequence = 1;
    record.key = begin.key;
    record.agent = begin.agent;
    record.attempt = begin.attempt;
    const auto parsed = parseClaimsRecord(claimsLine(record));
    return parsed && parsed->key == begin.key && parsed->agent == begin.agent
        && parsed->attempt == begin.attempt;
}

void claimKey(Owner &owner, const Begin &begin, TimeMs now, Outbox &out)
{
    saveLoggedState(owner, begin.key);
    auto &state = owner.keys[begin.key];
    state = OwnedKey();
    state.range = begin.range;
    state.agent = begin.agent;
    state.incarnation = begin.incarnation;
    state.attempt = begin.attempt;
    state.changedAt = now;
    queueClaim(owner, begin.key, state, now);
    if (!mayGrantFromMemory(owner, owner.ranges[begin.range], state))
        return;
    state.phase = KeyPhase::Granted;
    ++owner.counters.memoryGrants;
    sendGrant(owner, begin.key, state, out);
}

void onBegin(Owner &owner, const PeerMessage &message, const Begin &begin, TimeMs now, Outbox &out)
{
    if (const auto denial = denialForBegin(owner, begin)) {
        sendDenial(owner, message, begin, *denial, out);
        return;
    }
    const bool complete = owner.ranges[begin.range].complete;
    const auto found = owner.keys.find(begin.key);
    if (found != owner.keys.end()) {
        if (sameAttempt(found->second, begin.agent, begin.incarnation, begin.attempt)) {
            repeatBegin(owner, message, begin, found->second, out);
            return;
        }
        if (const auto denial = denialForOtherAttempt(found->second, complete)) {
            sendDenial(owner, message, begin, *denial, out);
            return;
        }
    } else if (!complete) {
        sendDenial(owner, message, begin, takeoverIncompleteDenial, out);
        return;
    } else if (owner.keys.size() >= owner.options.maxKeys) {
        sendDenial(owner, message, begin,
                   {KeyState::Unknown, {ReasonCode::LimitReached, "the owner holds too many keys"}},
                   out);
        return;
    }
    if (!roundTripsThroughLog(begin)) {
        sendDenial(owner, message, begin,
                   {KeyState::Unknown,
                    {ReasonCode::InvalidInput, "key, agent or attempt is not valid UTF-8"}},
                   out);
        return;
    }
    claimKey(owner, begin, now, out);
}

// ---- Settle ----

void ackSettle(std::string_view to, const std::string &key, const std::string &attempt, Outbox &out)
{
    SettleAck ack;
    ack.key = key;
    ack.attempt = attempt;
    out.sends.push_back({std::string(to), std::move(ack)});
}

void addSettleWaiter(Owner &owner, const std::string &key, std::string_view agent,
                     const std::string &attempt)
{
    auto &waiters = owner.settleWaiters[key];
    for (const auto &waiter : waiters) {
        if (waiter.agent == agent && waiter.attempt == attempt)
            return;
    }
    waiters.push_back({std::string(agent), attempt});
}

KeyPhase phaseForVerdict(Verdict verdict)
{
    if (verdict == Verdict::NotRun)
        return KeyPhase::Released;
    return verdict == Verdict::Ran ? KeyPhase::Finished : KeyPhase::MayHaveRun;
}

void settleHolder(Owner &owner, const Settle &settle, OwnedKey &state, TimeMs now, Outbox &out)
{
    const auto phase = phaseForVerdict(settle.verdict);
    const bool open = state.phase == KeyPhase::Claiming || state.phase == KeyPhase::Granted;
    const bool late = state.phase == KeyPhase::MayHaveRun && phase == KeyPhase::Finished;
    if (!open && !late)
        return;
    saveLoggedState(owner, settle.key);
    setAnswer(state, settle.verdict, {settle.reason, settle.detail}, settle.answer);
    settleKey(owner, settle.key, state, phase, now);
    if (phase != KeyPhase::Released || owner.memoryMode)
        notifyWatchers(owner, settle.key, false, out);
}

// Forwards a Settle to the range's owner, for targets that have not received the Witness of that
// owner. Each hop increases the epoch, so processes that have read the log up to different offsets
// cannot forward the message in a loop.
void forwardSettle(const Owner &owner, const Settle &settle, Outbox &out)
{
    const auto range = ownerOf(owner.map, owner.options.region, settle.range);
    if (range.agent.empty() || range.agent == owner.options.self || range.epoch <= settle.epoch)
        return;
    auto forwarded = settle;
    forwarded.epoch = range.epoch;
    out.sends.push_back({range.agent, std::move(forwarded)});
}

void onSettle(Owner &owner, const Settle &settle, TimeMs now, Outbox &out)
{
    if (rangeOf(settle.key) != settle.range)
        return;
    const auto owned = owner.ranges.find(settle.range);
    if (owned == owner.ranges.end()) {
        forwardSettle(owner, settle, out);
        return;
    }
    auto found = owner.keys.find(settle.key);
    const bool holder = found != owner.keys.end()
        && sameAttempt(found->second, settle.agent, settle.incarnation, settle.attempt);
    if (holder) {
        settleHolder(owner, settle, found->second, now, out);
    } else if (!owned->second.complete || found == owner.keys.end()) {
        // The attempt was granted by a former owner, without a record that this process has read.
        applyReportedAttempt(owner, settle.key, settle.range,
                             {settle.agent,
                              settle.incarnation,
                              settle.attempt,
                              true,
                              settle.verdict,
                              {settle.reason, settle.detail},
                              settle.answer},
                             now, out);
        found = owner.keys.find(settle.key);
    }
    if (found != owner.keys.end() && found->second.settledSequence != 0
        && sameAttempt(found->second, settle.agent, settle.incarnation, settle.attempt))
        addSettleWaiter(owner, settle.key, settle.agent, settle.attempt);
    else
        ackSettle(settle.agent, settle.key, settle.attempt, out);
}

// ---- KeyQuery ----

KeyReply makeKeyReply(const Owner &owner, const std::string &key, std::uint32_t range,
                      bool releaseReadBack)
{
    KeyReply reply;
    reply.key = key;
    reply.range = range;
    reply.verdict = Verdict::MayHaveRun;
    const auto owned = owner.ranges.find(range);
    if (owned == owner.ranges.end()) {
        reply.state = KeyState::WrongOwner;
        reply.reason = ReasonCode::WrongOwner;
        return reply;
    }
    reply.epoch = owned->second.epoch;
    const auto found = owner.keys.find(key);
    const auto phase = found == owner.keys.end() ? KeyPhase::Released : found->second.phase;
    if (phase == KeyPhase::Released && !owned->second.complete) {
        reply.state = KeyState::MayHaveRun;
        reply.reason = takeoverIncompleteDenial.reason.code;
        reply.detail = takeoverIncompleteDenial.reason.text;
        return reply;
    }
    if (phase == KeyPhase::Released) {
        reply.state = KeyState::Unknown;
        if (releaseReadBack)
            reply.verdict = Verdict::NotRun;
        if (found != owner.keys.end()) {
            reply.reason = found->second.reason.code;
            reply.detail = found->second.reason.text;
        }
        return reply;
    }
    const auto &state = found->second;
    if (phase == KeyPhase::Claiming || phase == KeyPhase::Granted) {
        reply.state = KeyState::Running;
        return reply;
    }
    reply.state = phase == KeyPhase::Finished ? KeyState::Finished : KeyState::MayHaveRun;
    reply.verdict = state.verdict;
    reply.reason = state.reason.code;
    reply.detail = state.reason.text;
    reply.answer = state.answer;
    if (state.answerBytes > 0 && state.answer.empty())
        reply.detail = "the answer of " + std::to_string(state.answerBytes)
            + " bytes was too large for the log; target " + state.agent + " may still have it";
    return reply;
}

void onKeyQuery(Owner &owner, const PeerMessage &message, const KeyQuery &query, Outbox &out)
{
    auto reply = makeKeyReply(owner, query.key, query.range, false);
    const bool open = reply.state == KeyState::Running;
    out.sends.push_back({message.from, std::move(reply)});
    if (!query.watch || !open || owner.watcherCount >= owner.options.maxWatchers)
        return;
    if (owner.watchers[query.key].insert(message.from).second)
        ++owner.watcherCount;
}

void dropWatchersOf(Owner &owner, const std::string &process)
{
    for (auto entry = owner.watchers.begin(); entry != owner.watchers.end();) {
        owner.watcherCount -= entry->second.erase(process);
        entry = entry->second.empty() ? owner.watchers.erase(entry) : std::next(entry);
    }
}

// ---- Pauses and periodic work ----

void onPause(Owner &owner, TimeMs now)
{
    ++owner.counters.pauses;
    owner.memoryMode = false;
    if (owner.readBackPendingSince >= 0)
        owner.readBackPendingSince = now;
    for (auto &[range, owned] : owner.ranges) {
        owned.trustedSequence = owned.nextSequence;
        if (owned.complete)
            queueClean(owner, range, owned, owner.map.nextOffset, now);
    }
}

void enterMemoryMode(Owner &owner, Outbox &out)
{
    owner.memoryMode = true;
    for (auto &[key, state] : owner.keys) {
        const auto owned = owner.ranges.find(state.range);
        if (owned == owner.ranges.end())
            continue;
        if (state.phase == KeyPhase::Released && state.settledSequence != 0)
            notifyWatchers(owner, key, false, out);
        if (state.phase != KeyPhase::Claiming || !mayGrantFromMemory(owner, owned->second, state))
            continue;
        state.phase = KeyPhase::Granted;
        ++owner.counters.memoryGrants;
        sendGrant(owner, key, state, out);
    }
}

bool needsCleanRecord(const Owner &owner, const OwnedRange &owned, TimeMs now)
{
    if (!owned.complete || owned.cleanQueued)
        return false;
    if (owned.cleanQueuedAt == 0)
        return true;
    if (now - owned.cleanQueuedAt < owner.options.cleanIntervalMs)
        return false;
    for (auto lost = owner.map.lost.rbegin(); lost != owner.map.lost.rend(); ++lost) {
        if (lost->lostAt < owned.cleanSeen)
            break;
        if (lost->region == owner.options.region)
            return true;
    }
    return now - owned.cleanQueuedAt >= owner.options.refreshMs;
}

// Removes expired keys, repeats unsettled grants, and appends records again before the log's
// retention ends.
void sweepKeys(Owner &owner, TimeMs now, Outbox &out)
{
    const auto &options = owner.options;
    owner.lastSweepAt = now;
    for (auto entry = owner.keys.begin(); entry != owner.keys.end();) {
        auto &[key, state] = *entry;
        const TimeMs age = now - state.changedAt;
        const bool expired = state.queuedSequence == 0
            && ((state.phase == KeyPhase::Released && age > options.releasedRetentionMs)
                || ((state.phase == KeyPhase::Finished || state.phase == KeyPhase::MayHaveRun)
                    && age > options.finishedRetentionMs));
        if (expired) {
            entry = owner.keys.erase(entry);
            continue;
        }
        ++entry;
        const auto owned = owner.ranges.find(state.range);
        if (state.phase == KeyPhase::Granted && owned != owner.ranges.end()
            && owned->second.complete && now - state.grantSentAt >= options.grantRepeatMs)
            sendGrant(owner, key, state, out);
        if (now - state.loggedAt < options.refreshMs || state.phase == KeyPhase::Released
            || state.queuedSequence != 0)
            continue;
        saveLoggedState(owner, key);
        queueClaim(owner, key, state, now);
        if (state.phase == KeyPhase::Finished || state.phase == KeyPhase::MayHaveRun)
            queueSettled(owner, key, state, now);
    }
}

void queueAnnounceIfDue(Owner &owner, TimeMs now)
{
    const auto &options = owner.options;
    if (owner.mustRestart)
        return;
    const bool announced = isLive(owner.map, options.self, options.incarnation);
    const TimeMs repeat = announced ? options.refreshMs : options.appendTimeoutMs;
    if (owner.announcedAt >= 0 && now - owner.announcedAt < repeat)
        return;
    for (const auto &line : owner.queue) {
        if (line.epoch == 0)
            return;
    }
    queueAnnounce(owner, now);
}

void onTick(Owner &owner, TimeMs now, Outbox &out)
{
    const auto &options = owner.options;
    if (!owner.memoryMode && owner.readBackPendingSince >= 0
        && now - owner.readBackPendingSince > options.memoryModeAfterMs)
        enterMemoryMode(owner, out);
    queueAnnounceIfDue(owner, now);
    for (auto &[range, owned] : owner.ranges) {
        completeIfReady(owner, range, owned, now);
        if (needsCleanRecord(owner, owned, now))
            queueClean(owner, range, owned, owner.map.nextOffset, now);
    }
    sendWitnesses(owner, now, out);
    if (now - owner.lastSweepAt >= options.sweepIntervalMs)
        sweepKeys(owner, now, out);
}

void onPeerMessage(Owner &owner, const PeerMessage &message, TimeMs now, Outbox &out)
{
    if (const auto *const begin = std::get_if<Begin>(&message.message))
        onBegin(owner, message, *begin, now, out);
    else if (const auto *const settle = std::get_if<Settle>(&message.message))
        onSettle(owner, *settle, now, out);
    else if (const auto *const query = std::get_if<KeyQuery>(&message.message))
        onKeyQuery(owner, message, *query, out);
    else if (const auto *const witness = std::get_if<WitnessReply>(&message.message))
        onWitnessReply(owner, *witness, now, out);
}

} // namespace

namespace ownerparts {

bool mayGrantFromMemory(const Owner &owner, const OwnedRange &owned, const OwnedKey &state)
{
    if (!owner.memoryMode || !owned.complete || !owned.cleanRead
        || state.agent == owner.options.self || !isLive(owner.map, state.agent, state.incarnation))
        return false;
    return owner.map.agents.find(state.agent)->second.region == owner.options.region;
}

void sendGrant(Owner &owner, const std::string &key, OwnedKey &state, Outbox &out)
{
    const auto owned = owner.ranges.find(state.range);
    if (owned == owner.ranges.end())
        return;
    state.grantEpoch = owned->second.epoch;
    state.grantSentAt = owner.lastEventAt;
    BeginReply reply;
    reply.key = key;
    reply.attempt = state.attempt;
    reply.range = state.range;
    reply.epoch = owned->second.epoch;
    reply.granted = true;
    reply.state = KeyState::Granted;
    out.sends.push_back({state.agent, std::move(reply)});
}

void settleKey(Owner &owner, const std::string &key, OwnedKey &state, KeyPhase phase, TimeMs now)
{
    state.phase = phase;
    state.changedAt = now;
    queueSettled(owner, key, state, now);
}

void setAnswer(OwnedKey &state, Verdict verdict, const Reason &reason, std::string_view answer)
{
    state.verdict = verdict;
    state.reason = reason;
    state.answer = answer;
    state.answerBytes = 0;
}

void notifyWatchers(Owner &owner, const std::string &key, bool releaseReadBack, Outbox &out)
{
    const auto found = owner.watchers.find(key);
    if (found == owner.watchers.end())
        return;
    const auto range = rangeOf(key);
    const auto owned = owner.ranges.find(range);
    const auto log = owner.map.owners.find({owner.options.region, range});
    const bool trusted = owned != owner.ranges.end() && log != owner.map.owners.end()
        && log->second.sequence >= owned->second.trustedSequence;
    const auto reply = makeKeyReply(owner, key, range, releaseReadBack && trusted);
    for (const auto &process : found->second)
        out.sends.push_back({process, reply});
    owner.watcherCount -= found->second.size();
    owner.watchers.erase(found);
}

void notifyWatchersWrongOwner(Owner &owner, std::uint32_t range, Outbox &out)
{
    for (auto entry = owner.watchers.begin(); entry != owner.watchers.end();) {
        const auto next = std::next(entry);
        if (rangeOf(entry->first) == range)
            notifyWatchers(owner, std::string(entry->first), false, out);
        entry = next;
    }
}

void ackSettles(Owner &owner, const std::string &key, Outbox &out)
{
    const auto found = owner.settleWaiters.find(key);
    if (found == owner.settleWaiters.end())
        return;
    for (const auto &waiter : found->second)
        ackSettle(waiter.agent, key, waiter.attempt, out);
    owner.settleWaiters.erase(found);
}

} // namespace ownerparts

Owner makeOwner(const OwnerOptions &options)
{
    Owner owner;
    owner.options = options;
    return owner;
}

void handleOwner(Owner &owner, const OwnerEvent &event, TimeMs now, Random & /*random*/,
                 Outbox &out)
{
    if (owner.lastEventAt >= 0 && now - owner.lastEventAt > owner.options.pauseThresholdMs)
        onPause(owner, now);
    owner.lastEventAt = now;
    if (const auto *const message = std::get_if<PeerMessage>(&event))
        onPeerMessage(owner, *message, now, out);
    else if (const auto *const read = std::get_if<LogRead>(&event))
        onLogRead(owner, *read, now, out);
    else if (const auto *const appended = std::get_if<LogAppended>(&event))
        onAppended(owner, *appended);
    else if (const auto *const down = std::get_if<PeerDown>(&event))
        dropWatchersOf(owner, down->process);
    else if (std::holds_alternative<Tick>(event))
        onTick(owner, now, out);
    flushQueue(owner, now, out);
}

bool ownerMustRestart(const Owner &owner)
{
    return owner.mustRestart;
}

} // namespace flamingo
