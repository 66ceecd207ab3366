// Dispatches each event to the file that implements its subject. A scheduling pass follows when the
// event changed the free capacity or the queue.

#include "flamingo/entry.h"

#include "flamingo/jobs.h"
#include "flamingo/lookup.h"

#include <algorithm>

namespace flamingo {
namespace {

constexpr TimeMs slowTickMs = 1000;
// If two ticks are at least this far apart, the process is assumed to have been paused.
constexpr TimeMs pauseDetectionMs = 1000;
constexpr TimeMs drainTimeoutMs = 3000;
// Deductions end this long after their Start, also without a report, which may be far off. With
// default options this exceeds every wait for a StartReply, except that of a gang that is not
// idempotent and starts on guaranteed blocks (9000 ms).
constexpr TimeMs deductionTimeoutMs = 8000;

void sendMessage(EntryContext context, std::string_view to, Message message)
{
    context.out.sends.push_back({std::string(to), std::move(message)});
}

// ---- Agents ----

void acknowledgeReport(EntryContext context, std::string_view from, const Report &report)
{
    ReportAck ack;
    ack.sequence = report.sequence;
    ack.intervalMs = static_cast<std::uint32_t>(reportIntervalMs(context.entry.view));
    ack.tableVersion = context.entry.table.version;
    sendMessage(context, from, ack);
}

void answerConfirmedDrains(EntryContext context, const Report &report)
{
    auto &drains = context.entry.drains;
    for (auto at = drains.begin(); at != drains.end();) {
        if (at->agent != report.agent || at->drain != report.draining) {
            ++at;
            continue;
        }
        Reply reply;
        reply.request = at->request;
        reply.verdict = Verdict::Ran;
        reply.accepted = true;
        context.out.replies.push_back(std::move(reply));
        at = drains.erase(at);
    }
}

void onReport(EntryContext context, std::string_view from, const Report &report)
{
    auto &entry = context.entry;
    acknowledgeReport(context, from, report);
    if (report.region != entry.options.region || report.agent != from)
        return;
    const auto result = applyReport(entry.view, report, context.now);
    if (result == ReportResult::Stale)
        return;
    // applyReport() marks the agent as connected, but the report may arrive after the connection
    // was closed.
    const auto peer = entry.peers.find(from);
    if (peer != entry.peers.end() && !peer->second.connected)
        setConnected(entry.view, from, false);
    const auto agent = findAgent(entry.view, from);
    if (result == ReportResult::Restarted)
        onAgentLost(context, agent, AgentLoss::Restarted);
    for (const auto &task : report.tasks) {
        onAttemptListed(context, task.attempt);
        repeatCancel(context, task.attempt);
    }
    answerConfirmedDrains(context, report);
    entry.capacityChanged = true;
}

// The contact timeout grows with the report interval, which exceeds 1 s when shorter intervals
// would exceed the control budget.
TimeMs agentContactTimeout(const Entry &entry)
{
    return entry.options.agentSilentAfterMs * reportIntervalMs(entry.view) / 1000;
}

// The time from which an agent without further contact is silent; it is unreachable `timeoutMs`
// later. A connected agent is given the time between two reports. Without a connection it has
// nothing to wait for but the next connection.
TimeMs silentSince(const Entry &entry, const AgentView &agent, TimeMs timeoutMs)
{
    const auto nextReportAt =
        agent.lastContactAt + std::max<TimeMs>(0, agentContactTimeout(entry) - timeoutMs);
    const auto peer = entry.peers.find(agent.report.agent);
    if (agent.connected || peer == entry.peers.end())
        return nextReportAt;
    return std::min(nextReportAt, std::max(agent.lastContactAt, peer->second.disconnectedAt));
}

void markUnreachableAgents(EntryContext context)
{
    auto &entry = context.entry;
    if (context.now < entry.contactGraceUntil)
        return;
    const auto timeoutMs = entry.options.agentSilentAfterMs;
    for (AgentId id = 0; id < entry.view.agents.size(); ++id) {
        const auto &agent = entry.view.agents[id];
        if (agent.lostAt != 0 || context.now - silentSince(entry, agent, timeoutMs) <= timeoutMs)
            continue;
        setLost(entry.view, id, context.now);
        onAgentLost(context, id, AgentLoss::Unreachable);
    }
}

// Forgets the tasks of workers that have been silent for lostTasksCountMs, so that jobs do not wait
// for the end of tasks that nobody will report.
void forgetTasksOfLostAgents(EntryContext context)
{
    auto &entry = context.entry;
    for (AgentId id = 0; id < entry.view.agents.size(); ++id) {
        const auto &agent = entry.view.agents[id];
        const auto silentMs = context.now - agent.lastContactAt;
        if (agent.lostAt == 0 || agent.report.tasks.empty()
            || silentMs < entry.options.lostTasksCountMs)
            continue;
        context.out.logLines.push_back(
            "tasks of a lost worker no longer count agent=" + agent.report.agent + " tasks="
            + std::to_string(agent.report.tasks.size()) + " silent_ms=" + std::to_string(silentMs));
        forgetTasks(entry.view, id);
        entry.capacityChanged = true;
    }
}

void endOldDeductions(EntryContext context)
{
    auto &view = context.entry.view;
    for (AgentId id = 0; id < view.agents.size(); ++id) {
        if (!view.agents[id].deductions.empty())
            removeDeductionsSentBefore(view, id, context.now - deductionTimeoutMs);
    }
}

void recordContact(EntryContext context, std::string_view from)
{
    auto &view = context.entry.view;
    const auto agent = findAgent(view, from);
    if (agent != noAgent)
        view.agents[agent].lastContactAt = context.now;
}

// ---- Peers ----

// An entry of a region connects. If none was connected, the region may have been cut off and the
// others need time to connect as well.
void expectEntriesOfRegion(EntryContext context, const std::string &region)
{
    std::vector<Peer *> entries;
    for (auto &[name, peer] : context.entry.peers) {
        if (peer.info.kind != ProcessKind::Entry || peer.info.region != region)
            continue;
        if (peer.connected)
            return;
        entries.push_back(&peer);
    }
    for (auto *peer : entries)
        peer->missingSince = context.now;
}

void onPeerUp(EntryContext context, const PeerUp &up)
{
    auto &entry = context.entry;
    if (up.peer.kind == ProcessKind::Entry)
        expectEntriesOfRegion(context, up.peer.region);
    auto &peer = entry.peers[up.peer.process];
    peer.info = up.peer;
    peer.connected = true;
    entry.capacityChanged = true;
    if (up.peer.kind == ProcessKind::Agent) {
        setConnected(entry.view, up.peer.process, true);
        return;
    }
    entry.edits.versions.erase(up.peer.process);
    onEntryUp(context);
    if (up.peer.region != entry.options.region)
        sendAllSites(context, up.peer.process);
    // An entry without a table obtains one from the connected process.
    if (entry.table.version != 0)
        return;
    LogLinesRequest request;
    request.stream = tableStream;
    request.from = entry.table.nextOffset;
    sendMessage(context, up.peer.process, std::move(request));
}

void onPeerDown(EntryContext context, const PeerDown &down)
{
    auto &entry = context.entry;
    const auto peer = entry.peers.find(down.process);
    if (peer != entry.peers.end()) {
        peer->second.connected = false;
        peer->second.disconnectedAt = peer->second.missingSince = context.now;
    }
    setConnected(entry.view, down.process, false);
    const auto agent = findAgent(entry.view, down.process);
    if (agent != noAgent)
        onAgentLost(context, agent, AgentLoss::Disconnected);
    onEntryDown(context, down.process);
}

// ---- Messages ----

void onForward(EntryContext context, std::string_view from, const Forward &forward)
{
    if (forward.spec != nullptr)
        submitJob(context, {forward.request, std::string(from)}, *forward.spec, true);
}

void onCancel(EntryContext context, const Cancel &cancel)
{
    if (auto *job = findJob(context.entry, cancel.job))
        cancelJob(context, *job);
}

void onMessage(EntryContext context, std::string_view from, const Message &message)
{
    if (const auto *report = std::get_if<Report>(&message))
        onReport(context, from, *report);
    else if (const auto *started = std::get_if<StartReply>(&message))
        onStartReply(context, *started);
    else if (const auto *outcome = std::get_if<Outcome>(&message))
        onOutcome(context, from, *outcome);
    else if (const auto *key = std::get_if<KeyReply>(&message))
        onKeyReply(context, *key);
    else if (const auto *lines = std::get_if<LogLines>(&message))
        onTableLines(context, *lines);
    else if (const auto *wanted = std::get_if<LogLinesRequest>(&message))
        onLogLinesRequest(context, from, *wanted);
    else if (const auto *summary = std::get_if<VersionSummary>(&message))
        onVersionSummary(context, from, *summary);
    else if (const auto *forward = std::get_if<Forward>(&message))
        onForward(context, from, *forward);
    else if (const auto *forwarded = std::get_if<ForwardReply>(&message))
        onForwardReply(context, *forwarded);
    else if (const auto *query = std::get_if<JobQuery>(&message))
        onJobQuery(context, from, *query);
    else if (const auto *found = std::get_if<JobReply>(&message))
        onJobReply(context, from, *found);
    else if (const auto *cancel = std::get_if<Cancel>(&message))
        onCancel(context, *cancel);
}

// ---- Requests ----

void onQueryJob(EntryContext context, const QueryJob &query)
{
    auto *job = findJob(context.entry, query.job);
    if (job == nullptr || refusedForPeer(*job)) {
        startLookup(context, query.request, query.job, query.wait, false);
        return;
    }
    if (job->state == JobState::Finished)
        sendReply(context, {query.request, {}}, jobResult(*job));
    else
        addWaiter(context, *job, {query.request, {}}, query.wait);
}

void onCancelJob(EntryContext context, const CancelJob &cancel)
{
    auto *job = findJob(context.entry, cancel.job);
    if (job == nullptr || refusedForPeer(*job)) {
        startLookup(context, cancel.request, cancel.job, true, true);
        return;
    }
    if (job->state == JobState::Finished) {
        sendReply(context, {cancel.request, {}}, jobResult(*job));
        return;
    }
    addWaiter(context, *job, {cancel.request, {}}, true);
    cancelJob(context, *job);
}

template <typename Rows>
void eraseRequest(Rows &rows, std::string_view request)
{
    rows.erase(std::remove_if(rows.begin(), rows.end(),
                              [request](const auto &row) { return row.request == request; }),
               rows.end());
}

void onCallerGone(EntryContext context, const CallerGone &gone)
{
    auto &entry = context.entry;
    eraseRequest(entry.lookups, gone.request);
    eraseRequest(entry.drains, gone.request);
    for (auto &edit : entry.edits.pending) {
        if (edit.request == gone.request)
            edit.request.clear();
    }
    const auto found = entry.byRequest.find(gone.request);
    if (found == entry.byRequest.end())
        return;
    eraseRequest(entry.jobs.at(found->second)->waiters, gone.request);
    entry.byRequest.erase(found);
}

void onDrainTarget(EntryContext context, const DrainTarget &request)
{
    auto &entry = context.entry;
    const auto agent = findAgent(entry.view, request.agent);
    if (agent == noAgent || !entry.view.agents[agent].connected) {
        Reply reply;
        reply.request = request.request;
        reply.reason = {ReasonCode::TargetUnreachable,
                        "agent: \"" + request.agent + "\" is not connected to this entry"};
        context.out.replies.push_back(std::move(reply));
        return;
    }
    setDrainRequested(entry.view, agent, request.drain);
    Drain drain;
    drain.drain = request.drain;
    sendMessage(context, request.agent, drain);
    entry.drains.push_back({request.request, request.agent, request.drain, context.now});
}

// ---- Time ----

void expireDrains(EntryContext context)
{
    auto &entry = context.entry;
    for (auto at = entry.drains.begin(); at != entry.drains.end();) {
        if (context.now - at->requestedAt < drainTimeoutMs) {
            ++at;
            continue;
        }
        setDrainRequested(entry.view, findAgent(entry.view, at->agent), false);
        Reply reply;
        reply.request = at->request;
        reply.verdict = Verdict::MayHaveRun;
        reply.reason = {ReasonCode::TargetUnreachable,
                        at->agent + " did not confirm the drain request in time"};
        context.out.replies.push_back(std::move(reply));
        at = entry.drains.erase(at);
    }
}

// Appends the records that proposeTakeovers() returns to the claims stream: unreachable agents as
// lost, and new owners for key ranges whose owner is missing, replaced, unreachable or draining.
void proposeRangeTakeovers(EntryContext context)
{
    auto &entry = context.entry;
    if (context.now < entry.contactGraceUntil || !logLikelyAvailable(entry, context.now))
        return;
    std::map<std::string, TimeMs, std::less<>> lastContact;
    for (const auto &agent : entry.view.agents) {
        if (!agent.report.agent.empty())
            lastContact.emplace(agent.report.agent,
                                silentSince(entry, agent, entry.options.ownerSilentAfterMs));
    }
    TakeoverOptions options;
    options.contactTimeoutMs = entry.options.ownerSilentAfterMs;
    for (const auto &agent : entry.view.agents) {
        if (agent.report.draining)
            options.drainingAgents.insert(agent.report.agent);
    }
    auto lines = proposeTakeovers(entry.ranges, entry.options.region, lastContact, options,
                                  context.now, entry.takeovers, context.random);
    if (!lines.empty())
        appendLines(context, claimsStream, std::move(lines));
}

void slowTick(EntryContext context)
{
    auto &entry = context.entry;
    entry.lastSlowTickAt = context.now;
    markUnreachableAgents(context);
    forgetTasksOfLostAgents(context);
    endOldDeductions(context);
    proposeRangeTakeovers(context);
    removeFinishedJobs(context);
    removeOldCancels(context);
    refillRetryBudget(entry.budget, context.now);
    endDueReservations(context);
    // The whole queue is examined at least once per second, because jobs may also be able to start
    // for other reasons than freed capacity, for example a new retry token.
    entry.capacityChanged = entry.capacityChanged || entry.queue.size != 0;
}

void onTick(EntryContext context)
{
    auto &entry = context.entry;
    if (entry.lastTickAt != 0 && context.now - entry.lastTickAt >= pauseDetectionMs)
        entry.contactGraceUntil = context.now + agentContactTimeout(entry);
    entry.lastTickAt = context.now;
    fireTimers(context);
    tickLookups(context);
    expireDrains(context);
    tickEdits(context);
    if (context.now - entry.lastSlowTickAt >= slowTickMs)
        slowTick(context);
}

void onLogRead(EntryContext context, const LogRead &read)
{
    if (read.stream == tableStream)
        onTableRead(context, read);
    if (read.stream != claimsStream)
        return;
    auto &ignored = context.out.ignoredRecords;
    for (auto &record : applyClaims(context.entry.ranges, read))
        ignored.push_back(std::move(record));
    context.entry.capacityChanged = true;
}

void onRequest(EntryContext context, const EntryEvent &event)
{
    if (const auto *submit = std::get_if<Submit>(&event))
        submitJob(context, {submit->request, {}}, submit->spec, submit->wait);
    else if (const auto *gone = std::get_if<CallerGone>(&event))
        onCallerGone(context, *gone);
    else if (const auto *query = std::get_if<QueryJob>(&event))
        onQueryJob(context, *query);
    else if (const auto *cancel = std::get_if<CancelJob>(&event))
        onCancelJob(context, *cancel);
    else if (const auto *edit = std::get_if<EditTable>(&event))
        onEditTable(context, *edit);
    else if (const auto *drain = std::get_if<DrainTarget>(&event))
        onDrainTarget(context, *drain);
    else if (std::get_if<StopAccepting>(&event) != nullptr)
        context.entry.accepting = false;
}

void onEvent(EntryContext context, const EntryEvent &event)
{
    if (const auto *message = std::get_if<PeerMessage>(&event)) {
        recordContact(context, message->from);
        onMessage(context, message->from, message->message);
    } else if (const auto *up = std::get_if<PeerUp>(&event)) {
        onPeerUp(context, *up);
    } else if (const auto *down = std::get_if<PeerDown>(&event)) {
        onPeerDown(context, *down);
    } else if (const auto *read = std::get_if<LogRead>(&event)) {
        onLogRead(context, *read);
    } else if (const auto *appended = std::get_if<LogAppended>(&event)) {
        onAppended(context, *appended);
    } else if (std::get_if<Tick>(&event) != nullptr) {
        onTick(context);
    } else {
        onRequest(context, event);
    }
}

} // namespace

Entry makeEntry(const EntryOptions &options)
{
    Entry entry;
    entry.options = options;
    entry.view.region = options.region;
    return entry;
}

void handleEntry(Entry &entry, const EntryEvent &event, TimeMs now, Random &random, Outbox &out)
{
    if (entry.startedAt < 0) {
        entry.startedAt = now;
        entry.edits.snapshotSeenAt = now;
    }
    const EntryContext context{entry, now, random, out};
    onEvent(context, event);
    schedule(context);
}

bool entryIdle(const Entry &entry)
{
    const bool edits = std::any_of(entry.edits.pending.begin(), entry.edits.pending.end(),
                                   [](const auto &edit) { return !edit.request.empty(); });
    // A running job without waiters does not need this entry: its agent keeps the result.
    return !edits && entry.lookups.empty() && entry.drains.empty()
        && std::all_of(entry.jobs.begin(), entry.jobs.end(), [](const auto &row) {
               const auto &job = *row.second;
               return job.state == JobState::Finished
                   || (job.state == JobState::Running && job.waiters.empty());
           });
}

} // namespace flamingo
