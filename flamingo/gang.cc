#include "flamingo/agent_step.h"

#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Leader: Holding -> (Claiming ->) Running -> Stopping -> erased. The leader starts the gang when
// every member has confirmed its hold and the claim, if the job needs one, is granted, both before
// decideUntil. From then on every GangRenewReply renews a member's lease. When the worker of a
// member is not known to have confirmed its own lease for the length of a lease, the leader stops
// the others; a member reports with each GangRenew how long ago that was. It reports one outcome,
// when every member has reported its end or can certainly no longer be running.
//
// Member: Reclaiming -> Held -> Running -> Done. A hold expires by itself. A running member stops
// when its lease ends. A member that is Done repeats GangMemberDone until the leader answers that
// the gang has ended. Its record is kept for the retention time, so that late messages cannot start
// it again.
//
// The leader is also a member; messages between the two roles are delivered within the agent.

namespace flamingo {

namespace {

Gang *findGang(Agent &agent, std::string_view id)
{
    const auto found = agent.gangs.find(id);
    return found == agent.gangs.end() ? nullptr : &found->second;
}

GangMember *findMember(Agent &agent, std::string_view id)
{
    const auto found = agent.members.find(id);
    return found == agent.members.end() ? nullptr : &found->second;
}

// Duration of a hold. All members must confirm their holds within the same time.
TimeMs holdDurationMs(const Agent &agent, bool guaranteed)
{
    const auto &options = agent.options;
    return options.holdMs
        + (guaranteed ? options.checkpointBoundMs + options.stopBoundMs : TimeMs{0});
}

// ---- Leader ----

void sendHold(const AgentStep &step, const Gang &gang, std::uint32_t index)
{
    const auto *attempt = findAttempt(step.agent, gang.id);
    if (attempt == nullptr)
        return;
    Hold hold;
    hold.gang = gang.id;
    hold.spec = std::make_unique<JobSpec>(attempt->spec);
    hold.spec->payload = gang.payload;
    hold.leader = step.agent.options.name;
    hold.member = index;
    hold.guaranteed = attempt->guaranteed;
    sendGangMessage(step, gang.members[index].agent, std::move(hold));
}

void sendGangStart(const AgentStep &step, const Gang &gang, std::uint32_t index)
{
    GangStart start;
    start.gang = gang.id;
    start.member = index;
    sendGangMessage(step, gang.members[index].agent, std::move(start));
}

void sendGangStop(const AgentStep &step, std::string_view gang, std::string_view agent,
                  std::uint32_t index, const Reason &reason)
{
    GangStop stop;
    stop.gang = std::string(gang);
    stop.member = index;
    stop.reason = reason.code;
    stop.detail = reason.text;
    sendGangMessage(step, agent, std::move(stop));
}

// `leaseMs`: duration of the renewed lease if `alive`.
void sendGangRenewReply(const AgentStep &step, std::string_view gang, std::string_view agent,
                        std::uint32_t index, bool alive, TimeMs leaseMs = 0)
{
    GangRenewReply reply;
    reply.gang = std::string(gang);
    reply.member = index;
    reply.alive = alive;
    reply.leaseMs = static_cast<std::uint32_t>(leaseMs);
    sendGangMessage(step, agent, std::move(reply));
}

template <typename Predicate>
bool allMembers(const Gang &gang, const Predicate &predicate)
{
    return std::all_of(gang.members.begin(), gang.members.end(), predicate);
}

template <typename Predicate>
bool anyMember(const Gang &gang, const Predicate &predicate)
{
    return std::any_of(gang.members.begin(), gang.members.end(), predicate);
}

bool memberSucceeded(const MemberState &member)
{
    return member.doneReceived && member.done.verdict == Verdict::Ran
        && member.done.reason == ReasonCode::None;
}

Ending joinedAnswers(const Gang &gang)
{
    if (gang.answersTooLong)
        return {Verdict::Ran, {ReasonCode::TaskFailed, "the joined answers are too long"}, {}};
    auto answers = nlohmann::json::array();
    for (const auto &member : gang.members)
        answers.push_back(member.done.answer);
    return {Verdict::Ran, {}, jsonText(answers)};
}

// The outcome of the whole gang; agent.h defines when it may be NotRun. Answers of members that
// finished are discarded unless every member succeeded.
Ending gangEnding(const Gang &gang, bool idempotent)
{
    if (!gang.started)
        return {Verdict::NotRun, gang.stopReason, {}};
    if (allMembers(gang, memberSucceeded))
        return joinedAnswers(gang);
    const bool uncertain = anyMember(gang, [](const MemberState &member) {
        return !member.doneReceived || member.done.verdict == Verdict::MayHaveRun;
    });
    const bool nothingRan = allMembers(gang, [](const MemberState &member) {
        return member.doneReceived && member.done.verdict == Verdict::NotRun;
    });
    const bool failed = anyMember(gang, [](const MemberState &member) {
        return member.doneReceived && member.done.verdict == Verdict::Ran
            && member.done.reason != ReasonCode::None;
    });
    const bool repeatable = idempotent && gang.stopReason.code != ReasonCode::Cancelled;
    Ending ending{Verdict::MayHaveRun, gang.stopReason, {}};
    if (nothingRan || (!uncertain && !failed && repeatable))
        ending.verdict = Verdict::NotRun;
    else if (!uncertain && failed)
        ending.verdict = Verdict::Ran;
    return ending;
}

void finishGang(const AgentStep &step, std::string_view id)
{
    auto &agent = step.agent;
    const auto found = agent.gangs.find(id);
    const auto gang = std::move(found->second);
    agent.gangs.erase(found);
    for (std::uint32_t index = 0; index < gang.members.size(); ++index) {
        if (gang.started)
            sendGangRenewReply(step, gang.id, gang.members[index].agent, index, false);
    }
    const auto *attempt = findAttempt(agent, gang.id);
    if (attempt != nullptr)
        concludeAttempt(step, gang.id, gangEnding(gang, attempt->spec.idempotent));
}

void finishIfAllMembersEnded(const AgentStep &step, const Gang &gang)
{
    if (allMembers(gang, [](const MemberState &member) { return member.ended; }))
        finishGang(step, std::string(gang.id));
}

// Starts the members; no other function does. No member runs before this call. After it the leader
// assumes that every member has a lease and may run.
void decideToRun(const AgentStep &step, Gang &gang)
{
    auto *attempt = findAttempt(step.agent, gang.id);
    if (attempt == nullptr)
        return;
    gang.phase = GangPhase::Running;
    gang.started = true;
    gang.payload.clear();
    for (std::uint32_t index = 0; index < gang.members.size(); ++index) {
        auto &member = gang.members[index];
        member.leaseGivenAt = member.workerSeenAt = step.now;
        armResend(step, member.send);
        sendGangStart(step, gang, index);
    }
    acceptAttempt(step, *attempt);
}

void decideIfAllHeld(const AgentStep &step, Gang &gang)
{
    if (gang.phase != GangPhase::Holding
        || !allMembers(gang, [](const MemberState &member) { return member.held; }))
        return;
    auto *attempt = findAttempt(step.agent, gang.id);
    if (attempt == nullptr)
        return;
    if (attempt->spec.idempotent) {
        decideToRun(step, gang);
        return;
    }
    gang.phase = GangPhase::Claiming;
    requestClaim(step, *attempt);
    attempt->claimUntil = std::min(attempt->claimUntil, gang.decideUntil);
}

void stepMemberState(const AgentStep &step, Gang &gang, std::uint32_t index)
{
    const auto &options = step.agent.options;
    auto &member = gang.members[index];
    const auto lease = options.gangLeaseMs + options.stopBoundMs + options.gangRenewMs;
    if (gang.phase == GangPhase::Stopping && !member.ended
        && step.now - member.leaseGivenAt >= lease)
        member.ended = true;
    if (member.ended || !resendDue(step, member.send))
        return;
    if (gang.phase == GangPhase::Holding)
        sendHold(step, gang, index);
    else if (gang.phase == GangPhase::Running)
        sendGangStart(step, gang, index);
    else if (gang.phase == GangPhase::Stopping)
        sendGangStop(step, gang.id, member.agent, index, gang.stopReason);
}

// Stops the gang and returns false when its holds were not confirmed in time, or when no renewal of
// a member shows that its worker was alive less than gangLeaseMs ago. A member that has not
// confirmed its start is given up after the shorter gangStartMs: the other members already run
// without it, and one whose agent fails in this time keeps running until its worker's lease ends.
bool checkGangTimeouts(const AgentStep &step, const Gang &gang)
{
    const auto &options = step.agent.options;
    if (gang.phase == GangPhase::Holding && step.now >= gang.decideUntil) {
        stopGang(step, std::string(gang.id),
                 {ReasonCode::GangIncomplete, "not every member reserved its resources in time"});
        return false;
    }
    if (gang.phase != GangPhase::Running)
        return true;
    for (const auto &member : gang.members) {
        const auto timeoutMs = member.running ? options.gangLeaseMs : options.gangStartMs;
        if (member.ended || step.now - member.workerSeenAt < timeoutMs)
            continue;
        stopGang(step, std::string(gang.id),
                 {ReasonCode::TargetUnreachable, "member " + member.agent + " is unreachable"});
        return false;
    }
    return true;
}

void stepGang(const AgentStep &step, std::string_view id)
{
    auto *gang = findGang(step.agent, id);
    if (gang == nullptr)
        return;
    checkGangTimeouts(step, *gang);
    gang = findGang(step.agent, id);
    if (gang == nullptr)
        return;
    for (std::uint32_t index = 0; index < gang->members.size(); ++index)
        stepMemberState(step, *gang, index);
    if (gang->phase == GangPhase::Stopping)
        finishIfAllMembersEnded(step, *gang);
}

// The leader's record of member `index`, or null when `from` is not the agent of that member.
MemberState *findMemberState(Gang &gang, std::string_view from, std::uint32_t index)
{
    if (index >= gang.members.size() || gang.members[index].agent != from)
        return nullptr;
    return &gang.members[index];
}

void handleHoldReply(const AgentStep &step, std::string_view from, const HoldReply &message)
{
    auto *gang = findGang(step.agent, message.gang);
    if (gang == nullptr) {
        if (message.held)
            sendGangStop(step, message.gang, from, message.member,
                         {ReasonCode::GangIncomplete, "the gang has ended"});
        return;
    }
    auto *state = findMemberState(*gang, from, message.member);
    if (state == nullptr || gang->phase != GangPhase::Holding || !checkGangTimeouts(step, *gang))
        return;
    if (!message.held) {
        stopGang(step, message.gang,
                 {ReasonCode::GangIncomplete,
                  "member " + state->agent + ": " + std::string(reasonName(message.reason)) + ": "
                      + message.detail});
        return;
    }
    state->held = true;
    state->send.pending = false;
    decideIfAllHeld(step, *gang);
}

// Duration of a lease that the leader gives now. It ends gangLeaseMs + gangRenewMs after the moment
// at which the last worker of a running member was seen alive, so that the members stop without a
// message when one of their workers fails.
TimeMs memberLeaseMs(const AgentStep &step, const Gang &gang)
{
    const auto &options = step.agent.options;
    auto lease = options.gangLeaseMs;
    for (const auto &member : gang.members) {
        if (!member.ended)
            lease = std::min(
                lease, member.workerSeenAt + options.gangLeaseMs + options.gangRenewMs - step.now);
    }
    return std::max<TimeMs>(lease, 1);
}

void handleGangRenew(const AgentStep &step, std::string_view from, const GangRenew &message)
{
    auto *gang = findGang(step.agent, message.gang);
    if (gang != nullptr && !checkGangTimeouts(step, *gang))
        gang = findGang(step.agent, message.gang);
    auto *state = gang == nullptr ? nullptr : findMemberState(*gang, from, message.member);
    if (state == nullptr) {
        if (message.running)
            sendGangRenewReply(step, message.gang, from, message.member, false);
        return;
    }
    const bool alive = gang->phase == GangPhase::Running && message.running && !state->ended;
    if (alive) {
        state->running = true;
        state->send.pending = false;
        state->leaseGivenAt = step.now;
        state->workerSeenAt =
            std::max(state->workerSeenAt, step.now - static_cast<TimeMs>(message.workerAgeMs));
    }
    if (message.running)
        sendGangRenewReply(step, message.gang, from, message.member, alive,
                           alive ? memberLeaseMs(step, *gang) : 0);
    else if (gang->phase == GangPhase::Stopping)
        state->ended = true; // the member has no record of the gang, or no longer has one
    if (gang->phase == GangPhase::Stopping)
        finishIfAllMembersEnded(step, *gang);
}

// Records the end of a member in the leader's gang. All answers are dropped once their total size
// exceeds maxAnswerBytes, the limit of one answer.
void recordMemberDone(const AgentStep &step, Gang &gang, MemberState &state,
                      const GangMemberDone &message)
{
    state.doneReceived = true;
    state.ended = true;
    state.send.pending = false;
    state.done = message;
    gang.answerBytes += message.answer.size();
    if (gang.answerBytes <= step.agent.options.maxAnswerBytes)
        return;
    gang.answersTooLong = true;
    for (auto &member : gang.members)
        member.done.answer.clear();
}

void handleGangMemberDone(const AgentStep &step, std::string_view from,
                          const GangMemberDone &message)
{
    auto *gang = findGang(step.agent, message.gang);
    auto *state = gang == nullptr ? nullptr : findMemberState(*gang, from, message.member);
    if (state == nullptr) {
        sendGangRenewReply(step, message.gang, from, message.member, false);
        return;
    }
    if (!state->doneReceived)
        recordMemberDone(step, *gang, *state, message);
    if (gang->phase != GangPhase::Stopping && !memberSucceeded(*state)) {
        const auto code = gang->started ? message.reason : ReasonCode::GangIncomplete;
        const auto text = "member " + state->agent + ": " + message.detail;
        stopGang(step, message.gang, {code, text});
        return;
    }
    sendGangRenewReply(step, message.gang, from, message.member, gang->phase == GangPhase::Running);
    finishIfAllMembersEnded(step, *gang);
}

// ---- Member ----

void sendHoldReply(const AgentStep &step, std::string_view leader, std::string_view gang,
                   std::uint32_t index, bool held, const Reason &reason)
{
    HoldReply reply;
    reply.gang = std::string(gang);
    reply.member = index;
    reply.held = held;
    reply.reason = reason.code;
    reply.detail = reason.text;
    sendGangMessage(step, leader, std::move(reply));
}

void sendGangRenew(const AgentStep &step, GangMember &member)
{
    GangRenew renew;
    renew.gang = member.gang;
    renew.member = member.index;
    renew.running = true;
    renew.workerAgeMs = static_cast<std::uint32_t>(workerAgeMs(step));
    member.nextRenew = step.now + step.agent.options.gangRenewMs;
    sendGangMessage(step, member.leader, std::move(renew));
}

void sendMemberDone(const AgentStep &step, GangMember &member)
{
    member.nextRenew = step.now + step.agent.options.gangRenewMs;
    sendGangMessage(step, member.leader, member.done);
}

bool validHold(const AgentStep &step, std::string_view from, const Hold &hold)
{
    return hold.spec && hold.leader == from && validName(hold.gang) && validName(hold.leader)
        && validName(hold.spec->job) && validName(hold.spec->organisation) && hold.spec->members > 1
        && hold.spec->members <= maxGangMembers && hold.member < hold.spec->members
        && hold.spec->payload.size() <= maxPayloadBytes
        && (hold.leader == step.agent.options.name) == (hold.member == 0);
}

std::optional<Reason> holdRefusalReason(const AgentStep &step, const Hold &hold)
{
    const auto &agent = step.agent;
    Reason reason;
    if (agent.cancelledJobs.count(hold.spec->job) > 0)
        return Reason{ReasonCode::Cancelled, "the job was cancelled"};
    if (agent.draining)
        return Reason{ReasonCode::Draining, "the target is draining"};
    if (!leaseCurrent(step))
        return Reason{ReasonCode::WorkerFailed, "the worker does not answer"};
    if (!admitByHealth(step, *hold.spec, reason))
        return reason;
    const auto active = std::count_if(agent.members.begin(), agent.members.end(), [](auto &entry) {
        return entry.second.phase != MemberPhase::Done;
    });
    if (static_cast<std::size_t>(active) >= agent.options.maxHolds
        || agent.members.size() >= agent.options.maxAttempts)
        return Reason{ReasonCode::QueueFull, "this agent holds too many gang members"};
    if (agent.tasks.count(hold.gang) > 0)
        return Reason{ReasonCode::InvalidInput, "the gang id is already used by another task"};
    return std::nullopt;
}

// Answers a repeated Hold from the member's record; false when there is none. In Reclaiming the
// reply follows once the reservation is complete.
bool answerRepeatedHold(const AgentStep &step, const Hold &hold)
{
    const auto *member = findMember(step.agent, hold.gang);
    if (member == nullptr)
        return false;
    if (member->leader != hold.leader || member->phase == MemberPhase::Reclaiming)
        return true;
    const bool done = member->phase == MemberPhase::Done;
    sendHoldReply(step, hold.leader, hold.gang, hold.member, !done,
                  {member->done.reason, member->done.detail});
    return true;
}

void handleHold(const AgentStep &step, std::string_view from, const Hold &hold)
{
    if (!validHold(step, from, hold)) {
        sendHoldReply(step, from, hold.gang, hold.member, false,
                      {ReasonCode::InvalidInput, "a field of the hold is invalid"});
        return;
    }
    if (answerRepeatedHold(step, hold))
        return;
    Reason reason;
    std::optional<Allocation> allocation;
    if (auto refusal = holdRefusalReason(step, hold))
        reason = *refusal;
    else
        allocation =
            findAllocation(step.agent, step.table, allocationRequest(*hold.spec, hold.guaranteed),
                           step.now, reason);
    if (!allocation) {
        sendHoldReply(step, from, hold.gang, hold.member, false, reason);
        return;
    }
    GangMember member;
    member.gang = hold.gang;
    member.leader = hold.leader;
    member.index = hold.member;
    member.holdUntil = step.now + holdDurationMs(step.agent, hold.guaranteed);
    step.agent.members.emplace(hold.gang, std::move(member));
    reserveTask(step, {hold.gang, hold.spec.get(), hold.spec->payload, hold.guaranteed, true},
                *allocation);
    recordProbe(step, hold.gang);
    confirmHoldIfReady(step, hold.gang);
}

// Answers a message about a gang that this agent has no hold for, and records the gang as ended, so
// that a late Hold cannot start it here.
void recordUnknownGang(const AgentStep &step, std::string_view leader, std::string_view gang,
                       std::uint32_t index)
{
    auto &agent = step.agent;
    if (!validName(gang) || agent.members.size() >= agent.options.maxAttempts)
        return;
    GangMember member;
    member.gang = std::string(gang);
    member.leader = std::string(leader);
    member.index = index;
    member.phase = MemberPhase::Done;
    member.endConfirmed = true;
    member.endedAt = step.now;
    member.done.gang = member.gang;
    member.done.member = index;
    member.done.reason = ReasonCode::Expired;
    member.done.detail = "this agent has no hold for the gang";
    sendGangMessage(step, leader, member.done);
    agent.members.emplace(member.gang, std::move(member));
}

void handleGangStart(const AgentStep &step, std::string_view from, const GangStart &message)
{
    auto *member = findMember(step.agent, message.gang);
    if (member == nullptr) {
        recordUnknownGang(step, from, message.gang, message.member);
        return;
    }
    if (member->leader != from)
        return;
    switch (member->phase) {
    case MemberPhase::Reclaiming:
        return;
    case MemberPhase::Held:
        member->phase = MemberPhase::Running;
        member->leaseUntil = step.now + step.agent.options.gangLeaseMs;
        if (!runTask(step, message.gang)) {
            stopTask(step, message.gang, {ReasonCode::WorkerFailed, "the worker does not answer"});
            return;
        }
        sendGangRenew(step, *member);
        return;
    case MemberPhase::Running:
        sendGangRenew(step, *member);
        return;
    case MemberPhase::Done:
        sendMemberDone(step, *member);
        return;
    }
}

void handleGangRenewReply(const AgentStep &step, std::string_view from,
                          const GangRenewReply &message)
{
    auto *member = findMember(step.agent, message.gang);
    if (member == nullptr || member->leader != from)
        return;
    if (!message.alive) {
        member->endConfirmed = true;
        if (member->phase != MemberPhase::Done)
            stopTask(step, message.gang, {ReasonCode::GangIncomplete, "the gang has ended"});
        return;
    }
    // A lapsed lease is not renewed: the task is being stopped.
    if (step.now >= member->leaseUntil)
        return;
    const auto full = step.agent.options.gangLeaseMs;
    const auto lease =
        message.leaseMs == 0 ? full : std::min(full, static_cast<TimeMs>(message.leaseMs));
    member->leaseUntil = std::max(member->leaseUntil, step.now + lease);
    // A short lease also leaves time for a second and a third renewal.
    member->nextRenew = std::min(member->nextRenew, step.now + lease / 3);
}

void handleGangStop(const AgentStep &step, std::string_view from, const GangStop &message)
{
    auto *gang = findGang(step.agent, message.gang);
    if (gang != nullptr && gang->phase == GangPhase::Running
        && findMemberState(*gang, from, message.member) != nullptr) {
        // A member sends GangStop to its leader when its task is being stopped. The gang then
        // stops.
        stopGang(step, message.gang, {message.reason, message.detail});
        return;
    }
    auto *member = findMember(step.agent, message.gang);
    if (member == nullptr) {
        recordUnknownGang(step, from, message.gang, message.member);
        return;
    }
    if (member->leader != from)
        return;
    if (member->phase == MemberPhase::Done)
        sendMemberDone(step, *member);
    else
        stopTask(step, message.gang, {message.reason, message.detail});
}

bool memberStopping(const AgentStep &step, std::string_view id)
{
    const auto *task = findTask(step.agent, id);
    return task != nullptr && task->phase == TaskPhase::Stopping;
}

// Reports to the leader that this member's task is stopping, so that the leader stops the other
// members now. The end itself can be reported only once the worker confirms it, which a failed
// worker never does.
void sendMemberStopping(const AgentStep &step, GangMember &member)
{
    member.nextRenew = step.now + step.agent.options.gangRenewMs;
    const auto *task = findTask(step.agent, member.gang);
    sendGangStop(step, member.gang, member.leader, member.index, task->stopReason);
}

void stepMember(const AgentStep &step, std::string_view id)
{
    auto *member = findMember(step.agent, id);
    if (member == nullptr)
        return;
    switch (member->phase) {
    case MemberPhase::Reclaiming:
    case MemberPhase::Held:
        if (step.now >= member->holdUntil)
            stopTask(step, id, {ReasonCode::Expired, "the hold expired"});
        return;
    case MemberPhase::Running:
        if (step.now >= member->leaseUntil)
            stopTask(step, id, {ReasonCode::LeaseLapsed, "the gang's leader does not answer"});
        else if (step.now >= member->nextRenew && memberStopping(step, id))
            sendMemberStopping(step, *member);
        else if (step.now >= member->nextRenew)
            sendGangRenew(step, *member);
        return;
    case MemberPhase::Done:
        if (step.now >= member->leaseUntil)
            member->endConfirmed = true;
        if (!member->endConfirmed && step.now >= member->nextRenew)
            sendMemberDone(step, *member);
        return;
    }
}

} // namespace

void startGang(const AgentStep &step, Attempt &attempt, const Start &start)
{
    Gang gang;
    gang.id = attempt.id;
    gang.payload = start.spec->payload;
    gang.decideUntil = step.now + holdDurationMs(step.agent, attempt.guaranteed);
    for (const auto &name : start.members) {
        MemberState member;
        member.agent = name;
        member.leaseGivenAt = step.now;
        armResend(step, member.send);
        gang.members.push_back(std::move(member));
    }
    const auto &stored = step.agent.gangs.emplace(gang.id, std::move(gang)).first->second;
    for (std::uint32_t index = 0; index < stored.members.size(); ++index)
        sendHold(step, stored, index);
}

void handleGangClaimed(const AgentStep &step, std::string_view id)
{
    auto *gang = findGang(step.agent, id);
    if (gang == nullptr || gang->phase != GangPhase::Claiming)
        return;
    if (step.now < gang->decideUntil)
        decideToRun(step, *gang);
    else
        stopGang(step, id,
                 {ReasonCode::GangIncomplete, "the claim was granted after the holds expired"});
}

void stopGang(const AgentStep &step, std::string_view id, const Reason &reason)
{
    auto *gang = findGang(step.agent, id);
    if (gang == nullptr || gang->phase == GangPhase::Stopping)
        return;
    gang->phase = GangPhase::Stopping;
    gang->stopReason = reason;
    for (std::uint32_t index = 0; index < gang->members.size(); ++index) {
        auto &member = gang->members[index];
        if (member.ended)
            continue;
        armResend(step, member.send);
        sendGangStop(step, gang->id, member.agent, index, reason);
    }
    // Before the decision no member runs, so the gang ends at once. A hold whose GangStop is lost
    // expires.
    if (!gang->started)
        finishGang(step, std::string(id));
    else
        finishIfAllMembersEnded(step, *gang);
}

void confirmHoldIfReady(const AgentStep &step, std::string_view id)
{
    auto *member = findMember(step.agent, id);
    const auto *task = findTask(step.agent, id);
    if (member == nullptr || task == nullptr || member->phase != MemberPhase::Reclaiming
        || !task->blockers.empty())
        return;
    member->phase = MemberPhase::Held;
    sendHoldReply(step, member->leader, member->gang, member->index, true, {});
}

void handleMemberLeaseLapsed(const AgentStep &step, std::string_view id)
{
    auto *member = findMember(step.agent, id);
    if (member != nullptr && member->phase == MemberPhase::Running)
        member->nextRenew = step.now;
}

void handleMemberEnded(const AgentStep &step, std::string_view id, const Ending &ending)
{
    auto *member = findMember(step.agent, id);
    if (member == nullptr || member->phase == MemberPhase::Done)
        return;
    member->phase = MemberPhase::Done;
    member->endedAt = step.now;
    member->leaseUntil = std::max(member->leaseUntil, step.now + step.agent.options.gangLeaseMs);
    auto &done = member->done;
    done.gang = member->gang;
    done.member = member->index;
    done.verdict = ending.verdict;
    done.reason = ending.reason.code;
    done.detail = ending.reason.text;
    done.answer = ending.answer;
    sendMemberDone(step, *member);
}

void handleLateLeaseRenewal(const AgentStep &step)
{
    for (auto &[id, member] : step.agent.members) {
        if (member.phase == MemberPhase::Running)
            member.nextRenew = step.now;
    }
}

void drainMembers(const AgentStep &step)
{
    const Reason reason{ReasonCode::Draining, "the target is draining"};
    for (const auto &id : copyKeys(step.agent.gangs)) {
        const auto *gang = findGang(step.agent, id);
        if (gang != nullptr && gang->phase == GangPhase::Holding)
            stopGang(step, id, reason);
    }
    for (const auto &id : copyKeys(step.agent.members)) {
        const auto *member = findMember(step.agent, id);
        if (member != nullptr && member->phase < MemberPhase::Running)
            stopTask(step, id, reason);
    }
}

void stepGangs(const AgentStep &step)
{
    for (const auto &id : copyKeys(step.agent.members))
        stepMember(step, id);
    for (const auto &id : copyKeys(step.agent.gangs))
        stepGang(step, id);
}

bool isGangMessage(const Message &message)
{
    return std::holds_alternative<Hold>(message) || std::holds_alternative<HoldReply>(message)
        || std::holds_alternative<GangStart>(message) || std::holds_alternative<GangRenew>(message)
        || std::holds_alternative<GangRenewReply>(message)
        || std::holds_alternative<GangMemberDone>(message)
        || std::holds_alternative<GangStop>(message);
}

void handleGangMessage(const AgentStep &step, std::string_view from, const Message &message)
{
    if (const auto *hold = std::get_if<Hold>(&message))
        handleHold(step, from, *hold);
    else if (const auto *holdReply = std::get_if<HoldReply>(&message))
        handleHoldReply(step, from, *holdReply);
    else if (const auto *start = std::get_if<GangStart>(&message))
        handleGangStart(step, from, *start);
    else if (const auto *renew = std::get_if<GangRenew>(&message))
        handleGangRenew(step, from, *renew);
    else if (const auto *renewReply = std::get_if<GangRenewReply>(&message))
        handleGangRenewReply(step, from, *renewReply);
    else if (const auto *done = std::get_if<GangMemberDone>(&message))
        handleGangMemberDone(step, from, *done);
    else if (const auto *stop = std::get_if<GangStop>(&message))
        handleGangStop(step, from, *stop);
}

bool gangsIdle(const Agent &agent)
{
    return agent.gangs.empty()
        && std::all_of(agent.members.begin(), agent.members.end(), [](const auto &entry) {
               return entry.second.phase == MemberPhase::Done && entry.second.endConfirmed;
           });
}

} // namespace flamingo
