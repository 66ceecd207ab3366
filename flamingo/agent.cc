#include "flamingo/agent_step.h"

#include <algorithm>

// handleAgent works in four steps: it stops the tasks if the worker's lease has lapsed, handles the
// event (a Tick applies all time limits), handles the gang messages that this agent sent to itself,
// and sends reports to the entries for which one is due.

namespace flamingo {

namespace {

// Reports are sent at least this often, whatever interval an entry asks for.
constexpr TimeMs maxReportIntervalMs = 600000;
constexpr TimeMs expiryIntervalMs = 1000;

// ---- Drain and queries ----

void handleDrain(const AgentStep &step, const Drain &message)
{
    auto &agent = step.agent;
    if (agent.draining != message.drain)
        agent.changeCount += 1;
    agent.draining = message.drain;
    if (!agent.draining)
        return;
    const Reason reason{ReasonCode::Draining, "the target is draining"};
    for (const auto &id : copyKeys(agent.attempts)) {
        const auto *attempt = findAttempt(agent, id);
        if (attempt != nullptr && attempt->claim == ClaimPhase::Requested)
            cancelAttempt(step, id, reason);
    }
    drainMembers(step);
}

// Returns the text for JobReply::state.
std::string_view attemptState(const Agent &agent, const Attempt &attempt)
{
    if (attempt.ended)
        return "finished";
    if (attempt.claim == ClaimPhase::Requested)
        return "claiming";
    if (attempt.claim == ClaimPhase::Releasing)
        return "releasing";
    if (attempt.gang)
        return "gang";
    const auto task = agent.tasks.find(attempt.id);
    if (task == agent.tasks.end() || task->second.phase == TaskPhase::Waiting)
        return "waiting";
    return taskStopping(task->second) ? "stopping" : "running";
}

void handleJobQuery(const AgentStep &step, std::string_view from, const JobQuery &message)
{
    const Attempt *newest = nullptr;
    for (const auto &[id, attempt] : step.agent.attempts) {
        if (attempt.spec.job == message.job
            && (newest == nullptr || attempt.receivedAt >= newest->receivedAt))
            newest = &attempt;
    }
    JobReply reply;
    reply.request = message.request;
    reply.job = message.job;
    reply.found = newest != nullptr;
    if (newest != nullptr) {
        // The entry repeats idempotent work that ended with NotRun, unless it was cancelled, so the
        // job is not finished then.
        const bool willBeRepeated = newest->ended && newest->spec.idempotent
            && newest->outcome.verdict == Verdict::NotRun
            && newest->outcome.reason != ReasonCode::Cancelled;
        reply.finished = newest->ended && !willBeRepeated;
        reply.state = std::string(attemptState(step.agent, *newest));
        reply.verdict = reply.finished ? newest->outcome.verdict : Verdict::MayHaveRun;
        reply.reason = newest->outcome.reason;
        reply.detail = newest->outcome.detail;
        // The answer field of an unfinished job holds a checkpoint.
        if (reply.finished)
            reply.answer = newest->outcome.answer;
    }
    sendTo(step, from, std::move(reply));
}

// ---- Expiry ----

template <typename Map, typename Predicate>
void eraseIf(Map &map, const Predicate &predicate)
{
    for (auto entry = map.begin(); entry != map.end();)
        entry = predicate(entry->second) ? map.erase(entry) : std::next(entry);
}

// Erases records older than answerRetentionMs, at most once per expiryIntervalMs. An attempt with
// an unacknowledged Outcome is erased too, because its entry may never return. One with an
// unacknowledged Settle is kept: while the log is unavailable the owner grants from memory, and if
// that owner is lost, this agent has the only record that the key ran.
void eraseExpiredRecords(const AgentStep &step)
{
    auto &agent = step.agent;
    if (step.now < agent.nextExpiryAt)
        return;
    agent.nextExpiryAt = step.now + expiryIntervalMs;
    const auto cutoff = step.now - agent.options.answerRetentionMs;
    eraseIf(agent.attempts, [&](Attempt &attempt) {
        const bool expired =
            attempt.ended && attempt.endedAt < cutoff && !attempt.settleSend.pending;
        if (expired) {
            dropAnswer(agent, attempt);
            agent.openAttempts.erase(attempt.id);
        }
        return expired;
    });
    eraseIf(agent.refusals, [&](const Refusal &refusal) { return refusal.at < cutoff; });
    eraseIf(agent.cancelledJobs, [&](TimeMs at) { return at < cutoff; });
    eraseIf(agent.members, [&](const GangMember &member) {
        return member.phase == MemberPhase::Done && member.endedAt < cutoff;
    });
}

// ---- Reports ----

bool takesNoJobs(const AgentStep &step)
{
    return rejectsAllJobs(step.agent, step.now) || !leaseCurrent(step);
}

Report makeReport(const AgentStep &step)
{
    auto &agent = step.agent;
    const auto &options = agent.options;
    const auto free = freeCapacity(agent);
    Report report;
    report.agent = options.name;
    report.incarnation = options.incarnation;
    report.sequence = ++agent.reportSequence;
    report.region = options.region;
    report.dataCentre = options.dataCentre;
    report.rack = options.rack;
    report.accelerators = options.accelerators;
    report.slots = options.slots;
    report.connections = options.connections;
    report.cores = options.cores;
    report.memoryMib = options.memoryMib;
    report.freeMask = free.mask;
    report.evictableMask = free.evictableMask;
    report.freeSlots = free.slots;
    report.freeCores = free.cores;
    report.freeMemoryMib = free.memoryMib;
    report.draining = agent.draining;
    report.setAside = takesNoJobs(step);
    report.tableVersion = step.table.version;
    for (const auto &[id, task] : agent.tasks) {
        wire::TaskInfoT info;
        info.job = task.job;
        info.attempt = id;
        info.organisation = task.organisation;
        info.accelerators = static_cast<std::uint32_t>(__builtin_popcountll(task.mask));
        info.evictable = taskEvictable(task);
        report.tasks.push_back(std::move(info));
    }
    return report;
}

// Sends a report to every entry whose report interval has passed. After a change of the state the
// report is sent earlier, reportMinGapMs after the last one at the earliest.
void sendReports(const AgentStep &step)
{
    auto &agent = step.agent;
    if (agent.tableVersion != step.table.version)
        agent.changeCount += 1;
    agent.tableVersion = step.table.version;
    // It changes with time, without an event.
    if (agent.tookNoJobs != takesNoJobs(step))
        agent.changeCount += 1;
    agent.tookNoJobs = takesNoJobs(step);
    for (auto &[entry, target] : agent.reportTargets) {
        const bool changed = target.sentChangeCount != agent.changeCount
            && step.now - target.sentAt >= agent.options.reportMinGapMs;
        if (!changed && step.now - target.sentAt < target.intervalMs)
            continue;
        target.sentAt = step.now;
        target.sentChangeCount = agent.changeCount;
        sendTo(step, entry, makeReport(step));
    }
}

void handleReportAck(const AgentStep &step, std::string_view from, const ReportAck &message)
{
    const auto target = step.agent.reportTargets.find(from);
    if (target != step.agent.reportTargets.end() && message.intervalMs > 0)
        target->second.intervalMs = std::clamp<TimeMs>(
            message.intervalMs, step.agent.options.reportMinGapMs, maxReportIntervalMs);
}

void handlePeerUp(const AgentStep &step, const PeerUp &event)
{
    auto &agent = step.agent;
    // Entries of other regions receive the summaries of this region's entries. A report to each of
    // them would cross the slow link between the regions every second.
    if (event.peer.kind != ProcessKind::Entry || event.peer.region != agent.options.region)
        return;
    if (agent.reportTargets.size() >= agent.options.maxPeers
        && agent.reportTargets.count(event.peer.process) == 0)
        return;
    // Agent::changeCount is never 0, so with sentChangeCount 0 the first report is due at once.
    agent.reportTargets[event.peer.process] = {step.now - agent.options.reportMinGapMs, 0,
                                               agent.options.reportIntervalMs};
}

// ---- Dispatch ----

void handleMessage(const AgentStep &step, std::string_view from, const Message &message)
{
    if (const auto *start = std::get_if<Start>(&message))
        handleStart(step, from, *start);
    else if (const auto *cancel = std::get_if<Cancel>(&message))
        handleCancel(step, *cancel);
    else if (const auto *drain = std::get_if<Drain>(&message))
        handleDrain(step, *drain);
    else if (const auto *reportAck = std::get_if<ReportAck>(&message))
        handleReportAck(step, from, *reportAck);
    else if (const auto *outcomeAck = std::get_if<OutcomeAck>(&message))
        handleOutcomeAck(step, *outcomeAck);
    else if (const auto *query = std::get_if<JobQuery>(&message))
        handleJobQuery(step, from, *query);
    else if (const auto *begin = std::get_if<BeginReply>(&message))
        handleBeginReply(step, *begin);
    else if (const auto *settle = std::get_if<SettleAck>(&message))
        handleSettleAck(step, *settle);
    else if (const auto *witness = std::get_if<Witness>(&message))
        handleWitness(step, *witness);
    else if (isGangMessage(message))
        handleGangMessage(step, from, message);
}

void handleLeaseRenewed(const AgentStep &step, const LeaseRenewed &event)
{
    if (!event.ok)
        return;
    if (!leaseCurrent(step))
        step.agent.changeCount += 1;
    const bool late = workerAgeMs(step) > step.agent.options.workerLeaseMs / 2;
    step.agent.leaseUntil = step.now + step.agent.options.workerLeaseMs;
    if (late)
        handleLateLeaseRenewal(step);
}

struct Dispatch
{
    const AgentStep &step;

    void operator()(const PeerMessage &event) const
    {
        handleMessage(this->step, event.from, event.message);
    }
    void operator()(const PeerUp &event) const
    {
        handlePeerUp(this->step, event);
    }
    void operator()(const PeerDown &event) const
    {
        this->step.agent.reportTargets.erase(event.process);
    }
    void operator()(const TaskStarted &event) const
    {
        handleTaskStarted(this->step, event);
    }
    void operator()(const TaskFinished &event) const
    {
        handleTaskFinished(this->step, event);
    }
    void operator()(const TaskCheckpointed &event) const
    {
        handleTaskCheckpointed(this->step, event);
    }
    void operator()(const TaskStopped &event) const
    {
        handleTaskStopped(this->step, event);
    }
    void operator()(const TaskUsage &event) const
    {
        handleTaskUsage(this->step, event);
    }
    void operator()(const LeaseRenewed &event) const
    {
        handleLeaseRenewed(this->step, event);
    }
    void operator()(const Tick &) const
    {
        stepTasks(this->step);
        stepAttempts(this->step);
        stepGangs(this->step);
        eraseExpiredRecords(this->step);
    }
};

void handleMessagesToSelf(const AgentStep &step)
{
    auto &messages = step.agent.messagesToSelf;
    while (!messages.empty()) {
        const auto [from, message] = std::move(messages.front());
        messages.pop_front();
        handleMessage(step, from, message);
    }
}

} // namespace

void armResend(const AgentStep &step, Resend &resend)
{
    const auto wait = step.agent.options.resendMs;
    resend = {true, step.now + wait, wait};
}

bool resendDue(const AgentStep &step, Resend &resend)
{
    if (!resend.pending || step.now < resend.next)
        return false;
    resend.wait = std::min(std::max<TimeMs>(resend.wait * 2, 2), step.agent.options.resendMaxMs);
    const auto half = resend.wait / 2;
    std::uniform_int_distribution<TimeMs> jitter(0, half);
    resend.next = step.now + half + jitter(step.random);
    return true;
}

void sendGangMessage(const AgentStep &step, std::string_view to, Message message)
{
    if (to == step.agent.options.name)
        step.agent.messagesToSelf.emplace_back(std::string(to), std::move(message));
    else
        sendTo(step, to, std::move(message));
}

Agent makeAgent(const AgentOptions &options)
{
    Agent agent;
    agent.options = options;
    agent.options.accelerators = std::min(options.accelerators, maxAcceleratorsPerWorker);
    return agent;
}

void handleAgent(Agent &agent, const AgentEvent &event, const Table &table, TimeMs now,
                 Random &random, Outbox &out)
{
    const AgentStep step{agent, table, std::max(now, agent.lastEventAt), random, out};
    if (!agent.firstEventSeen) {
        agent.firstEventSeen = true;
        agent.lastEventAt = step.now;
        agent.leaseUntil = step.now + agent.options.workerLeaseMs;
    }
    checkLease(step);
    std::visit(Dispatch{step}, event);
    handleMessagesToSelf(step);
    sendReports(step);
    agent.lastEventAt = step.now;
}

bool agentIdle(const Agent &agent)
{
    return agent.tasks.empty() && agent.openAttempts.empty() && gangsIdle(agent);
}

} // namespace flamingo
