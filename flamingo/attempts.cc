#include "flamingo/agent_step.h"
#include "flamingo/owner.h"

#include <algorithm>

// An attempt ends exactly once: with a refusing StartReply, or after an accepting one with an
// Outcome. The agent keeps refused and ended attempts, so that late copies of a Start have no
// effect.
//
// Phases of the claim for work that is not idempotent:
//   None -> Requested       Begin is sent to the owner
//   Requested -> Granted    the owner granted the claim, and no newer epoch is known
//   Requested -> None       the owner denied the claim; the attempt ends with NotRun
//   Requested -> Releasing  the grant has an old epoch, a Witness names a newer owner, the claim's
//                           time limit passed, the attempt was cancelled (also by a drain), or its
//                           task or gang ended with NotRun
//   Granted -> Releasing    the task or gang ended with NotRun
//   Releasing -> None       the owner acknowledged the Settle, or releaseBoundMs passed
// After any other ending the claim stays Granted, and Settle reports the ending. In Releasing, a
// claim that may have been granted is returned: Settle{NotRun} is repeated until the owner
// acknowledges it. The verdict is NotRun only if the acknowledgement arrives within releaseBoundMs,
// otherwise MayHaveRun. A grant for an attempt that no longer waits for one is returned in the same
// way.

namespace flamingo {

namespace {

constexpr std::uint32_t defaultRetryAfterMs = 500;
// Leaves room for about ten times the six regions that the system is planned for.
constexpr std::size_t maxFencedRegions = 64;
constexpr std::size_t maxWitnessAnswerBytes = maxFrameBytes / 2;

StartReply makeStartReply(std::string_view job, std::string_view attempt, Verdict verdict,
                          const Reason &reason)
{
    StartReply reply;
    reply.job = std::string(job);
    reply.attempt = std::string(attempt);
    reply.verdict = verdict;
    reply.reason = reason.code;
    reply.detail = reason.text;
    return reply;
}

// ---- Start ----

bool validMemberList(const Agent &agent, const Start &start)
{
    const auto &members = start.members;
    if (start.spec->members == 1 && members.empty())
        return true;
    if (members.size() != start.spec->members || members.front() != agent.options.name)
        return false;
    std::set<std::string_view> names;
    for (const auto &member : members) {
        if (!validName(member) || !names.insert(member).second)
            return false;
    }
    return true;
}

// The first error in the message itself, which does not depend on the agent's state; empty when the
// message is valid.
std::string_view startValidationError(const Agent &agent, const Start &start)
{
    const auto &spec = *start.spec;
    if (!validName(spec.job) || !validName(spec.organisation) || !validName(start.entry))
        return "job, organisation or entry is empty or too long";
    if (spec.key.size() > maxNameBytes || spec.homeRegion.size() > maxNameBytes
        || start.owner.size() > maxNameBytes)
        return "key, home region or owner is too long";
    if (spec.payload.size() > maxPayloadBytes)
        return "the payload is too long";
    if (spec.members == 0 || spec.members > maxGangMembers || !validMemberList(agent, start))
        return "the members do not match the job, repeat a name or do not begin with this agent";
    if (spec.idempotent)
        return {};
    if (spec.key.empty() || spec.homeRegion.empty() || start.owner.empty())
        return "work that is not idempotent needs a key, a home region and an owner";
    if (start.range >= rangesPerRegion)
        return "the index of the key range is out of range";
    return {};
}

// Sends a refusal that depends on the agent's state to the entry, and stores it, so that a late
// copy of the Start is not accepted after the entry received NotRun.
void refuseStart(const AgentStep &step, const Start &start, const Reason &reason)
{
    auto &agent = step.agent;
    auto reply = makeStartReply(start.spec->job, start.attempt, Verdict::NotRun, reason);
    if (reason.code == ReasonCode::WorkerFailed)
        reply.retryAfterMs = static_cast<std::uint32_t>(
            std::max<TimeMs>(agent.health.probeAt - step.now, defaultRetryAfterMs));
    else
        reply.retryAfterMs = defaultRetryAfterMs;
    agent.refusals[start.attempt] = {reply, step.now};
    sendTo(step, start.entry, std::move(reply));
}

// Drops the oldest acknowledged answer; false when every answer still awaits acknowledgement.
bool dropOldestAnswer(Agent &agent)
{
    Attempt *oldest = nullptr;
    for (auto &[id, attempt] : agent.attempts) {
        if (!attempt.ended || attempt.outcome.answer.empty() || agent.openAttempts.count(id) > 0)
            continue;
        if (oldest == nullptr || attempt.endedAt < oldest->endedAt)
            oldest = &attempt;
    }
    if (oldest == nullptr)
        return false;
    dropAnswer(agent, *oldest);
    oldest->outcome.detail = "the answer was delivered and is no longer stored";
    return true;
}

// Drops acknowledged answers until the rest are within the agent's bounds. False when no further
// answer can be dropped, when the number of attempts has reached maxAttempts, or when the number of
// open attempts has reached maxAnswers.
bool ensureMemoryForAttempt(Agent &agent)
{
    const auto &options = agent.options;
    while (agent.answerBytes > options.maxAnswerBytesTotal
           || agent.storedAnswers > options.maxAnswers) {
        if (!dropOldestAnswer(agent))
            return false;
    }
    return agent.attempts.size() < options.maxAttempts
        && agent.openAttempts.size() < options.maxAnswers;
}

// The reason why the agent cannot accept the Start in its present state; nullopt when it can.
std::optional<Reason> startRefusalReason(const AgentStep &step, const Start &start)
{
    auto &agent = step.agent;
    Reason reason;
    if (agent.cancelledJobs.count(start.spec->job) > 0)
        return Reason{ReasonCode::Cancelled, "the job was cancelled"};
    if (agent.draining)
        return Reason{ReasonCode::Draining, "the target is draining"};
    if (!leaseCurrent(step))
        return Reason{ReasonCode::WorkerFailed, "the worker does not answer"};
    if (!admitByHealth(step, *start.spec, reason))
        return reason;
    if (!ensureMemoryForAttempt(agent))
        return Reason{ReasonCode::QueueFull, "this agent stores too many attempts"};
    const auto fence = agent.fences.find({start.spec->homeRegion, start.range});
    if (!start.spec->idempotent && fence != agent.fences.end() && start.epoch < fence->second)
        return Reason{ReasonCode::StaleEpoch, "the key range has a newer owner"};
    return std::nullopt;
}

Attempt makeAttempt(const AgentStep &step, const Start &start)
{
    Attempt attempt;
    attempt.id = start.attempt;
    attempt.spec = *start.spec;
    attempt.spec.payload.clear();
    attempt.entry = start.entry;
    attempt.guaranteed = start.guaranteed;
    attempt.gang = start.spec->members > 1;
    attempt.owner = start.owner;
    attempt.range = start.range;
    attempt.epoch = start.epoch;
    attempt.receivedAt = step.now;
    return attempt;
}

void startSingleTask(const AgentStep &step, const Start &start)
{
    auto &agent = step.agent;
    Reason reason;
    const auto allocation = findAllocation(
        agent, step.table, allocationRequest(*start.spec, start.guaranteed), step.now, reason);
    if (!allocation) {
        refuseStart(step, start, reason);
        return;
    }
    auto &attempt = agent.attempts.emplace(start.attempt, makeAttempt(step, start)).first->second;
    agent.openAttempts.insert(attempt.id);
    recordProbe(step, attempt.id);
    if (start.spec->idempotent)
        acceptAttempt(step, attempt);
    else
        requestClaim(step, attempt);
    reserveTask(step, {start.attempt, start.spec.get(), start.spec->payload, start.guaranteed},
                *allocation);
    runIfReady(step, start.attempt);
}

void startAsGangLeader(const AgentStep &step, const Start &start)
{
    auto &agent = step.agent;
    if (agent.gangs.size() >= agent.options.maxGangs) {
        refuseStart(step, start, {ReasonCode::QueueFull, "this agent leads too many gangs"});
        return;
    }
    auto &attempt = agent.attempts.emplace(start.attempt, makeAttempt(step, start)).first->second;
    agent.openAttempts.insert(attempt.id);
    startGang(step, attempt, start);
}

// Repeats the replies already sent for an attempt; false when the agent has no record of it.
bool answerRepeatedStart(const AgentStep &step, const Start &start)
{
    auto &agent = step.agent;
    const auto refusal = agent.refusals.find(start.attempt);
    if (refusal != agent.refusals.end()) {
        sendTo(step, start.entry, refusal->second.reply);
        return true;
    }
    const auto *attempt = findAttempt(agent, start.attempt);
    if (attempt == nullptr)
        return false;
    if (attempt->replied)
        sendTo(step, attempt->entry, attempt->reply);
    if (attempt->ended && attempt->reply.accepted)
        sendTo(step, attempt->entry, attempt->outcome);
    return true;
}

// ---- End of an attempt ----

void sendStartReply(const AgentStep &step, Attempt &attempt, bool accepted, Verdict verdict,
                    const Reason &reason)
{
    attempt.replied = true;
    attempt.reply = makeStartReply(attempt.spec.job, attempt.id, verdict, reason);
    attempt.reply.accepted = accepted;
    if (!accepted)
        attempt.reply.retryAfterMs = defaultRetryAfterMs;
    sendTo(step, attempt.entry, attempt.reply);
}

// Removes an ended attempt from the open ones once its Outcome and Settle are acknowledged.
void closeIfAcknowledged(const AgentStep &step, const Attempt &attempt)
{
    if (!attempt.ended || attempt.outcomeSend.pending || attempt.settleSend.pending)
        return;
    step.agent.openAttempts.erase(attempt.id);
}

void sendSettle(const AgentStep &step, Attempt &attempt, const Ending &ending)
{
    auto &settle = attempt.settle;
    settle.key = attempt.spec.key;
    settle.attempt = attempt.id;
    settle.agent = step.agent.options.name;
    settle.incarnation = step.agent.options.incarnation;
    settle.range = attempt.range;
    settle.epoch = attempt.epoch;
    settle.verdict = ending.verdict;
    settle.reason = ending.reason.code;
    settle.detail = ending.reason.text;
    settle.answer = ending.answer;
    armResend(step, attempt.settleSend);
    sendTo(step, attempt.owner, settle);
}

// Removes an answer that exceeds maxAnswerBytes and shortens the detail to maxDetailBytes.
Ending boundedEnding(const Agent &agent, Ending ending)
{
    const auto bytes = ending.answer.size();
    if (bytes > agent.options.maxAnswerBytes) {
        ending.answer.clear();
        ending.reason = {ReasonCode::TaskFailed,
                         "the answer of " + std::to_string(bytes) + " bytes is too long"};
    }
    ending.reason.text.resize(std::min(ending.reason.text.size(), agent.options.maxDetailBytes));
    return ending;
}

void endAttempt(const AgentStep &step, Attempt &attempt, const Ending &unbounded)
{
    if (attempt.ended)
        return;
    const auto ending = boundedEnding(step.agent, unbounded);
    attempt.ended = true;
    attempt.endedAt = step.now;
    attempt.beginSend.pending = false;
    auto &outcome = attempt.outcome;
    outcome.job = attempt.spec.job;
    outcome.attempt = attempt.id;
    outcome.verdict = ending.verdict;
    outcome.reason = ending.reason.code;
    outcome.detail = ending.reason.text;
    outcome.answer = ending.answer;
    outcome.agent = step.agent.options.name;
    step.agent.storedAnswers += outcome.answer.empty() ? 0 : 1;
    step.agent.answerBytes += outcome.answer.size();
    step.agent.changeCount += 1;
    if (attempt.claim == ClaimPhase::Granted)
        sendSettle(step, attempt, ending);
    if (attempt.reply.accepted) {
        armResend(step, attempt.outcomeSend);
        sendTo(step, attempt.entry, outcome);
    } else {
        sendStartReply(step, attempt, false, ending.verdict, ending.reason);
    }
    closeIfAcknowledged(step, attempt);
}

// Gives a claim that may have been granted and was not used back to the owner, with
// Settle{NotRun}, and stops the attempt's gang or task. The attempt ends when the owner
// acknowledges, or after releaseBoundMs.
void beginRelease(const AgentStep &step, Attempt &attempt, const Reason &reason)
{
    attempt.claim = ClaimPhase::Releasing;
    attempt.claimUntil = step.now + step.agent.options.releaseBoundMs;
    attempt.releaseReason = reason;
    attempt.beginSend.pending = false;
    sendSettle(step, attempt, {Verdict::NotRun, reason, {}});
    const auto id = attempt.id;
    if (attempt.gang)
        stopGang(step, id, reason);
    else
        dropTask(step, id);
}

// ---- Claims ----

void sendBegin(const AgentStep &step, Attempt &attempt)
{
    attempt.beginsSent += 1;
    Begin begin;
    begin.key = attempt.spec.key;
    begin.job = attempt.spec.job;
    begin.attempt = attempt.id;
    begin.agent = step.agent.options.name;
    begin.incarnation = step.agent.options.incarnation;
    begin.range = attempt.range;
    begin.epoch = attempt.epoch;
    sendTo(step, attempt.owner, std::move(begin));
}

// The newest epoch of the attempt's range of which a Witness message has arrived, 0 = none.
std::uint64_t newestEpoch(const Agent &agent, const Attempt &attempt)
{
    const auto fence = agent.fences.find({attempt.spec.homeRegion, attempt.range});
    return fence == agent.fences.end() ? 0 : fence->second;
}

void handleClaimGrant(const AgentStep &step, Attempt &attempt, const BeginReply &message)
{
    if (attempt.claim == ClaimPhase::Granted)
        return;
    if (attempt.claim != ClaimPhase::Requested) {
        // The attempt no longer waits for the grant, so the claim is returned to the owner. If a
        // grant was accepted before, the claim went from Granted to Releasing and its Settle was
        // sent then. An ended attempt is opened again, so that the Settle is repeated until it is
        // acknowledged.
        if (!attempt.grantAccepted)
            sendSettle(step, attempt, {Verdict::NotRun, attempt.releaseReason, {}});
        if (attempt.ended)
            step.agent.openAttempts.insert(attempt.id);
        return;
    }
    if (message.epoch < newestEpoch(step.agent, attempt)) {
        beginRelease(step, attempt, {ReasonCode::StaleEpoch, "the key range has a newer owner"});
        return;
    }
    attempt.epoch = message.epoch;
    attempt.claim = ClaimPhase::Granted;
    attempt.grantAccepted = true;
    attempt.beginSend.pending = false;
    if (attempt.gang) {
        handleGangClaimed(step, std::string(attempt.id));
        return;
    }
    acceptAttempt(step, attempt);
    runIfReady(step, std::string(attempt.id));
}

Reason denialReason(const BeginReply &message)
{
    if (message.state == KeyState::WrongOwner)
        return {ReasonCode::WrongOwner, message.detail};
    if (message.state == KeyState::NotReady)
        return {message.reason == ReasonCode::None ? ReasonCode::TakeoverIncomplete
                                                   : message.reason,
                message.detail};
    return {ReasonCode::AlreadyClaimed, message.detail};
}

void handleClaimDenial(const AgentStep &step, Attempt &attempt, const BeginReply &message)
{
    // In the phase Releasing, the owner may still grant another copy of the Begin. Only an
    // acknowledged Settle rules that out.
    if (attempt.claim != ClaimPhase::Requested)
        return;
    const auto reason = denialReason(message);
    attempt.claim = ClaimPhase::None;
    attempt.releaseReason = reason;
    if (attempt.beginsSent > 1)
        sendSettle(step, attempt, {Verdict::NotRun, reason, {}});
    const auto id = attempt.id;
    if (attempt.gang)
        stopGang(step, id, reason);
    else
        dropTask(step, id);
    endAttempt(step, attempt, {Verdict::NotRun, reason, {}});
}

// ---- Witness ----

// Makes the attempts of the range use its new owner and epoch. Attempts that wait for a grant of
// the former owner release their claim.
void redirectToNewOwner(const AgentStep &step, const Witness &message)
{
    for (const auto &id : copyKeys(step.agent.attempts)) {
        auto *attempt = findAttempt(step.agent, id);
        if (attempt == nullptr || attempt->spec.idempotent || attempt->range != message.range
            || attempt->spec.homeRegion != message.region || attempt->epoch >= message.epoch)
            continue;
        attempt->owner = message.owner;
        attempt->epoch = message.epoch;
        if (attempt->settleSend.pending)
            attempt->settle.epoch = message.epoch;
        if (attempt->claim == ClaimPhase::Requested)
            beginRelease(step, *attempt,
                         {ReasonCode::StaleEpoch, "the key range has a newer owner"});
    }
}

wire::WitnessedKeyT witnessedKey(const Attempt &attempt, std::size_t &answerBytes)
{
    wire::WitnessedKeyT key;
    key.key = attempt.spec.key;
    key.job = attempt.spec.job;
    key.attempt = attempt.id;
    key.finished = attempt.ended || attempt.claim == ClaimPhase::Releasing;
    key.verdict = attempt.ended ? attempt.outcome.verdict
        : key.finished          ? Verdict::NotRun
                                : Verdict::MayHaveRun;
    key.reason = attempt.outcome.reason;
    key.detail = attempt.outcome.detail;
    // The reply must fit into one frame. A key whose answer does not fit is reported as running
    // until the Settle delivers the answer; if it were reported as finished here, its callers would
    // receive an empty answer.
    if (answerBytes + attempt.outcome.answer.size() > maxWitnessAnswerBytes) {
        key.finished = false;
        key.verdict = Verdict::MayHaveRun;
        key.reason = ReasonCode::None;
        key.detail.clear();
        return key;
    }
    answerBytes += attempt.outcome.answer.size();
    key.answer = attempt.outcome.answer;
    return key;
}

// ---- Timers ----

void stepAttempt(const AgentStep &step, Attempt &attempt)
{
    if (resendDue(step, attempt.beginSend))
        sendBegin(step, attempt);
    if (resendDue(step, attempt.settleSend))
        sendTo(step, attempt.owner, attempt.settle);
    if (resendDue(step, attempt.outcomeSend))
        sendTo(step, attempt.entry, attempt.outcome);
    if (step.now < attempt.claimUntil)
        return;
    if (attempt.claim == ClaimPhase::Requested) {
        beginRelease(step, attempt,
                     {ReasonCode::OwnerUnreachable, "the key's owner did not answer"});
    } else if (attempt.claim == ClaimPhase::Releasing) {
        attempt.claim = ClaimPhase::None;
        auto reason = attempt.releaseReason;
        reason.text += "; the key's owner did not acknowledge the release of the claim";
        endAttempt(step, attempt, {Verdict::MayHaveRun, reason, {}});
    }
}

} // namespace

void dropAnswer(Agent &agent, Attempt &attempt)
{
    if (attempt.outcome.answer.empty())
        return;
    agent.storedAnswers -= 1;
    agent.answerBytes -= attempt.outcome.answer.size();
    attempt.outcome.answer.clear();
}

bool validName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameBytes;
}

void sendTo(const AgentStep &step, std::string_view to, Message message)
{
    step.out.sends.push_back({std::string(to), std::move(message)});
}

void handleStart(const AgentStep &step, std::string_view from, const Start &start)
{
    auto &agent = step.agent;
    if (!start.spec || !validName(start.attempt))
        return;
    const auto error = startValidationError(agent, start);
    if (!error.empty()) {
        const Reason reason{ReasonCode::InvalidInput, std::string(error)};
        sendTo(step, from, makeStartReply(start.spec->job, start.attempt, Verdict::NotRun, reason));
        return;
    }
    if (answerRepeatedStart(step, start))
        return;
    if (agent.tasks.count(start.attempt) > 0 || agent.members.count(start.attempt) > 0) {
        const Reason reason{ReasonCode::InvalidInput, "the attempt id is already used by a gang"};
        refuseStart(step, start, reason);
        return;
    }
    if (agent.refusals.size() >= agent.options.maxRefusals) {
        // Without a stored refusal a later copy of the Start could still run, so NotRun would be
        // wrong: the Start gets no reply.
        agent.ignoredStarts += 1;
        return;
    }
    if (const auto reason = startRefusalReason(step, start))
        refuseStart(step, start, *reason);
    else if (start.spec->members > 1)
        startAsGangLeader(step, start);
    else
        startSingleTask(step, start);
}

void handleBeginReply(const AgentStep &step, const BeginReply &message)
{
    auto *attempt = findAttempt(step.agent, message.attempt);
    if (attempt == nullptr || attempt->spec.idempotent || attempt->spec.key != message.key
        || attempt->range != message.range)
        return;
    if (message.granted)
        handleClaimGrant(step, *attempt, message);
    else
        handleClaimDenial(step, *attempt, message);
}

void handleSettleAck(const AgentStep &step, const SettleAck &message)
{
    auto *attempt = findAttempt(step.agent, message.attempt);
    if (attempt == nullptr || !attempt->settleSend.pending || attempt->spec.key != message.key)
        return;
    attempt->settleSend.pending = false;
    if (attempt->claim == ClaimPhase::Releasing) {
        attempt->claim = ClaimPhase::None;
        endAttempt(step, *attempt, {Verdict::NotRun, attempt->releaseReason, {}});
    }
    closeIfAcknowledged(step, *attempt);
}

void handleWitness(const AgentStep &step, const Witness &message)
{
    auto &agent = step.agent;
    if (!validName(message.region) || !validName(message.owner) || message.range >= rangesPerRegion)
        return;
    const std::pair<std::string, std::uint32_t> range{message.region, message.range};
    const auto fence = agent.fences.find(range);
    if (fence != agent.fences.end() && message.epoch < fence->second)
        return;
    if (fence == agent.fences.end() && agent.fences.size() >= maxFencedRegions * rangesPerRegion)
        return;
    agent.fences[range] = message.epoch;
    redirectToNewOwner(step, message);
    WitnessReply reply;
    reply.region = message.region;
    reply.range = message.range;
    reply.epoch = message.epoch;
    reply.agent = agent.options.name;
    reply.incarnation = agent.options.incarnation;
    std::size_t answerBytes = 0;
    for (const auto &[id, attempt] : agent.attempts) {
        if (attempt.grantAccepted && attempt.range == message.range
            && attempt.spec.homeRegion == message.region)
            reply.keys.push_back(witnessedKey(attempt, answerBytes));
    }
    sendTo(step, message.owner, std::move(reply));
}

void cancelAttempt(const AgentStep &step, std::string_view id, const Reason &reason)
{
    auto *attempt = findAttempt(step.agent, id);
    if (attempt == nullptr || attempt->ended || attempt->claim == ClaimPhase::Releasing)
        return;
    if (attempt->claim == ClaimPhase::Requested)
        beginRelease(step, *attempt, reason);
    else if (attempt->gang)
        stopGang(step, id, reason);
    else
        stopTask(step, id, reason);
}

void handleCancel(const AgentStep &step, const Cancel &message)
{
    auto &agent = step.agent;
    const Reason reason{ReasonCode::Cancelled, "cancelled"};
    if (message.attempt.empty()) {
        if (!validName(message.job))
            return;
        if (agent.cancelledJobs.size() < agent.options.maxRefusals)
            agent.cancelledJobs[message.job] = step.now;
        for (const auto &id :
             std::vector<std::string>(agent.openAttempts.begin(), agent.openAttempts.end())) {
            const auto *attempt = findAttempt(agent, id);
            if (attempt != nullptr && attempt->spec.job == message.job)
                cancelAttempt(step, id, reason);
        }
        return;
    }
    if (findAttempt(agent, message.attempt) != nullptr) {
        cancelAttempt(step, message.attempt, reason);
        return;
    }
    // The Cancel may have arrived before the Start; this stored refusal then answers the Start.
    if (validName(message.attempt) && agent.refusals.size() < agent.options.maxRefusals)
        agent.refusals.try_emplace(
            message.attempt,
            Refusal{makeStartReply(message.job, message.attempt, Verdict::NotRun, reason),
                    step.now});
}

void handleOutcomeAck(const AgentStep &step, const OutcomeAck &message)
{
    auto *attempt = findAttempt(step.agent, message.attempt);
    if (attempt == nullptr || !attempt->ended)
        return;
    attempt->outcomeSend.pending = false;
    closeIfAcknowledged(step, *attempt);
}

void stepAttempts(const AgentStep &step)
{
    const auto &openAttempts = step.agent.openAttempts;
    for (const auto &id : std::vector<std::string>(openAttempts.begin(), openAttempts.end())) {
        auto *attempt = findAttempt(step.agent, id);
        if (attempt != nullptr)
            stepAttempt(step, *attempt);
    }
}

void acceptAttempt(const AgentStep &step, Attempt &attempt)
{
    sendStartReply(step, attempt, true, Verdict::MayHaveRun, {});
}

void requestClaim(const AgentStep &step, Attempt &attempt)
{
    const auto bound = step.agent.options.claimBoundMs;
    const auto deadline = attempt.spec.deadlineMs;
    attempt.claim = ClaimPhase::Requested;
    attempt.claimUntil = step.now
        + (deadline == 0
               ? bound
               : std::min<TimeMs>(
                   bound, static_cast<TimeMs>(std::min<std::uint64_t>(deadline, INT32_MAX))));
    armResend(step, attempt.beginSend);
    sendBegin(step, attempt);
}

void runIfReady(const AgentStep &step, std::string_view id)
{
    const auto *attempt = findAttempt(step.agent, id);
    if (attempt == nullptr || attempt->ended)
        return;
    const bool claimSatisfied = attempt->spec.idempotent || attempt->claim == ClaimPhase::Granted;
    if (claimSatisfied)
        runTask(step, id);
}

void concludeAttempt(const AgentStep &step, std::string_view id, const Ending &ending)
{
    auto *attempt = findAttempt(step.agent, id);
    if (attempt == nullptr || attempt->ended || attempt->claim == ClaimPhase::Releasing)
        return;
    const bool mayHoldClaim =
        attempt->claim == ClaimPhase::Granted || attempt->claim == ClaimPhase::Requested;
    if (mayHoldClaim && ending.verdict == Verdict::NotRun)
        beginRelease(step, *attempt, ending.reason);
    else
        endAttempt(step, *attempt, ending);
}

} // namespace flamingo
