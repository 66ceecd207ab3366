// State machine of a run, driven by the leader's orders and the worker's answers:
//
//   start order -> Starting -- answered or listed --> Running -- not listed any more --> (removed)
//                     |  refused, busy or stop order     |  stop order
//                     v                                  v
//                  Stopping -- stop answered, not listed, no end listed --> Gone
//
// In Stopping, the stop is sent until the worker answers it, and again when the worker still lists
// the run after the time that a stop may take. A busy worker's answer is no answer to a stop.
//
// A listed run that the agent did not start is added as Running, and a stop order for an unknown
// run adds the run as Stopping. A run is also removed in any state but Gone when the worker lists
// its end, in Starting or Stopping when a call is fenced, and in Starting when the worker has
// accepted a later token than that of the order and does not list the run. If the worker is
// draining or its data centre evacuated, a start order and a Starting run lead to Stopping.
//
// A run that is not listed leaves Running, Starting or Stopping only if the worker's list of ends
// was complete.
//
// A Gone run is kept until the leader has answered a report that lists it.
//
// While the worker is silent, no lease is sent to it. When all those that were sent before have
// lapsed, every run is removed, in any state, and the report says so.

#include "flamingo/scheduler/host_agent.h"

#include "flamingo/scheduler/run_progress.h"

#include <algorithm>
#include <set>

namespace flamingo::scheduler {
namespace {

// Longest time on the agent's clock in which the worker's clock, which may run 2% slow, advances by
// 100; 1% is a margin for rounding.
constexpr TimeMs slowClockPercent = 103;

// A longer time between two steps counts as a pause of the machine, during which the worker's clock
// may have stood still.
constexpr TimeMs pauseMs = 500;

// Added to the time that a stop may take before the stop is repeated.
constexpr TimeMs stopSlackMs = 200;
// A worker's clock may run this slowly.
constexpr TimeMs slowestClockPercent = 98;

using RunKey = std::pair<std::string, std::uint32_t>;

void logDecision(HostAgent &agent, std::string text)
{
    agent.decisions.push_back(std::move(text));
}

std::string runFields(const RunKey &key)
{
    return "task=" + key.first + " run=" + std::to_string(key.second);
}

void resetWorkerState(HostAgent &agent, TimeMs now)
{
    agent.workerGone = false;
    agent.workerEndStored = false;
    agent.workerEndOutstanding = false;
    agent.deregistered = false;
    agent.noListenerSince = 0;
    agent.unansweredSince = 0;
    agent.workerSilent = false;
    agent.leasesLapsed = false;
    agent.leasesOverSince = 0;
    // A former process of the agent may have extended the lease until now.
    agent.leasesEndAt = now + agent.options.leaseMaxMs * slowClockPercent / 100;
    // A delayed call for the former incarnation may still reach the new one, if both have the same
    // id. A higher token fences it.
    agent.minimumToken = std::max(agent.minimumToken, agent.fencingToken + 1);
    agent.fencingToken = 0;
    agent.tokenInForce = 0;
    agent.acknowledgedEnd = 0;
    agent.workerClockMs = 0;
    agent.workerClockReceivedAt = 0;
    agent.pausedSinceReadingMs = 0;
    agent.listClockMs = 0;
    agent.heartbeatSequence = 0;
    agent.workerConfirmed = false;
    agent.longPollOutstanding = false;
    agent.shortPollOutstanding = false;
    agent.pollNeeded = true;
    agent.nextPollAt = 0;
    agent.runs.clear();
    agent.ends.clear();
    agent.reportNeeded = true;
}

// Returns a time on the worker's clock that it reaches by the end of the leader's lease grant, also
// if it runs `slowestClockPercent` of the true time, however old the newest reading of it is: the
// time since the reading counts as well, because the clock may have been slow all the while.
// 0 when the worker is silent or its clock is not known yet, or when an exact clock has passed that
// time.
std::int64_t leaseUntil(const HostAgent &agent, TimeMs now)
{
    if (agent.workerClockReceivedAt == 0 || agent.workerSilent)
        return 0;
    const TimeMs leaseMs =
        (agent.grantUntil - agent.workerClockReceivedAt) * slowestClockPercent / 100;
    if (leaseMs <= now - agent.workerClockReceivedAt)
        return 0;
    return agent.workerClockMs + leaseMs;
}

// Notes that a call with this lease is sent, which the worker may carry out at any time.
void recordLease(HostAgent &agent, std::int64_t until)
{
    if (until == 0)
        return;
    const TimeMs lengthMs = until - agent.workerClockMs;
    agent.leasesEndAt = std::max(agent.leasesEndAt,
                                 agent.workerClockReceivedAt + agent.pausedSinceReadingMs
                                     + lengthMs * slowClockPercent / 100);
}

// Does not count a pause of the agent as time on the worker's clock.
void excludePause(HostAgent &agent, TimeMs now)
{
    const TimeMs lastStepAt = std::exchange(agent.lastStepAt, now);
    const TimeMs sinceLastStepMs = now - lastStepAt;
    if (lastStepAt == 0 || sinceLastStepMs <= pauseMs)
        return;
    agent.leasesEndAt += sinceLastStepMs;
    agent.pausedSinceReadingMs += sinceLastStepMs;
}

// Releases the runs of a silent worker once every lease has lapsed. Nothing that was sent can begin
// a run then, and nothing may be sent under the tokens that the agent has received so far: an
// answer of the leader that is still on its way may contain a start of a released run.
void releaseLapsedRuns(HostAgent &agent, TimeMs now)
{
    if (!agent.workerSilent || agent.leasesLapsed)
        return;
    if (now <= agent.leasesEndAt) {
        agent.leasesOverSince = 0;
        return;
    }
    // After a pause, the worker kills its runs while the agent sees the slack pass.
    if (agent.leasesOverSince == 0)
        agent.leasesOverSince = now;
    if (now - agent.leasesOverSince < agent.options.leaseSlackMs)
        return;
    agent.leasesLapsed = true;
    agent.reportNeeded = true;
    agent.releasedToken = std::max({agent.releasedToken, agent.fencingToken, agent.tokenInForce});
    logDecision(agent,
                "event=leases_lapsed worker=" + agent.worker->id
                    + " silent_ms=" + std::to_string(now - agent.unansweredSince)
                    + " lapsed_ms=" + std::to_string(now - agent.leasesEndAt)
                    + " worker_clock=" + (agent.workerClockReceivedAt == 0 ? "unknown" : "known")
                    + " runs=" + std::to_string(agent.runs.size()));
    for (const auto &[key, run] : agent.runs)
        logDecision(agent,
                    "event=run_gone " + runFields(key)
                        + " reason=\"the worker does not answer and its lease has lapsed\"");
    agent.runs.clear();
}

// Moves the run to Stopping, so that dueCalls() sends a stop. Does nothing when the run is already
// stopping or gone.
void beginStop(HostAgent &agent, AgentRun &run, std::string reason, TimeMs now)
{
    if (run.state == RunState::Stopping || run.state == RunState::Gone)
        return;
    logDecision(agent,
                "event=stop_requested " + runFields({run.order.task, run.order.run}) + " reason=\""
                    + reason + "\"");
    run.state = RunState::Stopping;
    run.reason = std::move(reason);
    run.stopAnswered = false;
    run.callOutstanding = false;
    run.nextCallAt = now;
    agent.reportNeeded = true;
}

// Stops a run that is still being started, if nothing may be started on the worker any more.
// Returns whether it does.
bool withdrawStart(HostAgent &agent, AgentRun &run, TimeMs now)
{
    if (agent.worker->draining) {
        beginStop(agent, run, "the worker is draining", now);
        return true;
    }
    if (!agent.evacuated)
        return false;
    ++agent.startsWithdrawn;
    beginStop(agent, run, "the data centre is evacuated", now);
    return true;
}

// Takes over what the leader knows of the host's data centre. Answers may overtake each other; the
// one with the newest knowledge counts, and of two that are equally recent the last.
void applyEvacuationState(HostAgent &agent, const HostOrders &orders, TimeMs reportSentAt)
{
    const TimeMs asOf = reportSentAt - orders.evacuationsAgeMs;
    if (asOf < agent.evacuationsAsOf)
        return;
    agent.evacuationsAsOf = asOf;
    if (std::exchange(agent.evacuated, orders.evacuated) == orders.evacuated)
        return;
    logDecision(agent,
                "event=evacuation data_centre=" + agent.options.dataCentre
                    + " state=" + (orders.evacuated ? "begun" : "ended")
                    + " epoch=" + std::to_string(orders.epoch));
}

bool endIsListed(const HostAgent &agent, const RunKey &key)
{
    return std::any_of(agent.ends.begin(), agent.ends.end(), [&key](const ReportedEnd &end) {
        return end.task == key.first && end.run == key.second;
    });
}

// Repeats the stop of a run that the worker still lists at `listClockMs`, on the worker's clock.
void repeatOverdueStop(HostAgent &agent, const RunKey &key, AgentRun &run, std::int64_t listClockMs)
{
    if (run.state != RunState::Stopping || !run.stopAnswered
        || listClockMs - run.confirmedClockMs <= agent.options.stopMs + stopSlackMs)
        return;
    logDecision(agent,
                "event=stop_overdue " + runFields(key)
                    + " since_ms=" + std::to_string(listClockMs - run.confirmedClockMs));
    run.stopAnswered = false;
}

// True when the run was ordered under a token that the worker no longer accepts. `acceptedToken` is
// that of the poll whose list does not contain the run.
bool canNoLongerStart(const AgentRun &run, std::uint64_t acceptedToken)
{
    return run.state == RunState::Starting && run.orderToken < acceptedToken;
}

// Updates the runs and ends from the lists in the answer to a poll that carried `token`. Lists
// older than the last ones applied are ignored.
void applyRunLists(HostAgent &agent, const WorkerAnswer &answer, std::uint64_t token)
{
    if (answer.clockMs < agent.listClockMs)
        return;
    agent.listClockMs = answer.clockMs;
    const std::uint64_t lastBefore = agent.ends.empty() ? 0 : agent.ends.back().number;
    agent.ends = answer.ends;
    if (!agent.ends.empty() && agent.ends.back().number > lastBefore)
        agent.reportNeeded = true;
    std::set<RunKey> listed;
    for (const ReportedRun &running : answer.running) {
        const RunKey key = {running.task, running.run};
        listed.insert(key);
        const auto [found, added] = agent.runs.emplace(key, AgentRun());
        AgentRun &run = found->second;
        if (added) {
            run.order.task = running.task;
            run.order.run = running.run;
        }
        if (added || run.state == RunState::Starting) {
            run.state = RunState::Running;
            agent.reportNeeded = true;
        }
        run.listed = true;
        run.percent = running.percent;
        run.checkpoint = running.checkpoint;
        repeatOverdueStop(agent, key, run, answer.clockMs);
    }
    for (auto item = agent.runs.begin(); item != agent.runs.end();) {
        const RunKey key = item->first;
        AgentRun &run = item->second;
        if (listed.count(key) > 0 || run.state == RunState::Gone) {
            ++item;
            continue;
        }
        run.listed = false;
        const bool absent = answer.endsComplete && answer.clockMs > run.confirmedClockMs;
        const bool finished = endIsListed(agent, key) || (run.state == RunState::Running && absent);
        const bool withdrawn = answer.endsComplete && canNoLongerStart(run, token);
        if (withdrawn)
            logDecision(agent,
                        "event=start_withdrawn " + runFields(key) + " order_token="
                            + std::to_string(run.orderToken) + " token=" + std::to_string(token));
        if (finished || withdrawn) {
            item = agent.runs.erase(item);
            agent.reportNeeded = true;
            continue;
        }
        if (run.state == RunState::Stopping && run.stopAnswered && absent) {
            run.state = RunState::Gone;
            agent.reportNeeded = true;
            logDecision(agent,
                        "event=run_gone " + runFields(key) + " reason=\"" + run.reason + "\"");
        }
        ++item;
    }
}

TimeMs retryDelay(const HostAgent &agent, CallResult result)
{
    return result == CallResult::Busy ? agent.options.busyRetryMs : agent.options.retryMs;
}

void applyPollAnswer(HostAgent &agent, const PollCall &call, const WorkerAnswer &answer, TimeMs now)
{
    (call.waitMs > 0 ? agent.longPollOutstanding : agent.shortPollOutstanding) = false;
    agent.nextPollAt =
        answer.result == CallResult::Done ? now : now + retryDelay(agent, answer.result);
    if (answer.result == CallResult::Fenced) {
        agent.tokenInForce = 0;
        return;
    }
    if (answer.result != CallResult::Done) {
        agent.pollNeeded = true;
        return;
    }
    if (call.fencingToken >= agent.tokenInForce && call.fencingToken != agent.tokenInForce) {
        agent.tokenInForce = call.fencingToken;
        agent.reportNeeded = true;
    }
    applyRunLists(agent, answer, call.fencingToken);
}

void applyStartAnswer(HostAgent &agent, const StartCall &call, const WorkerAnswer &answer,
                      TimeMs now)
{
    const RunKey key = {call.order.task, call.order.run};
    const auto found = agent.runs.find(key);
    if (found == agent.runs.end() || found->second.state != RunState::Starting)
        return;
    AgentRun &run = found->second;
    // The run was ordered again after the worker had accepted a later token than this call's.
    if (call.fencingToken != run.orderToken)
        return;
    run.callOutstanding = false;
    switch (answer.result) {
    case CallResult::Done:
        run.state = RunState::Running;
        run.confirmedClockMs = answer.clockMs;
        agent.reportNeeded = true;
        return;
    case CallResult::Fenced:
        // Earlier starts of this run carried the same token, so they are fenced as well.
        agent.runs.erase(found);
        agent.tokenInForce = 0;
        agent.pollNeeded = true;
        return;
    case CallResult::Refused:
    case CallResult::Busy:
        run.startRefusedAsBusy = answer.result == CallResult::Busy;
        logDecision(agent,
                    "event=start_refused " + runFields(key) + " reason=\"" + answer.reason + "\"");
        beginStop(agent, run, answer.reason, now);
        return;
    case CallResult::Misdirected:
    case CallResult::NoAnswer:
    case CallResult::NoListener:
        run.nextCallAt = now + agent.options.retryMs;
        logDecision(agent,
                    "event=start_unanswered " + runFields(key) + " reason=\"" + answer.reason
                        + "\"");
        return;
    }
}

void logStopAnswer(HostAgent &agent, const RunKey &key, const WorkerAnswer &answer)
{
    if (answer.result == CallResult::Done) {
        logDecision(agent,
                    "event=stop_answered " + runFields(key)
                        + " worker_clock_ms=" + std::to_string(answer.clockMs));
        return;
    }
    const bool answered = answer.result == CallResult::Refused || answer.result == CallResult::Busy
        || answer.result == CallResult::Fenced;
    logDecision(agent,
                std::string(answered ? "event=stop_refused " : "event=stop_unanswered ")
                    + runFields(key) + " reason=\"" + answer.reason + "\"");
}

void applyStopAnswer(HostAgent &agent, const StopCall &call, const WorkerAnswer &answer, TimeMs now)
{
    const auto found = agent.runs.find({call.order.task, call.order.run});
    if (found == agent.runs.end() || found->second.state != RunState::Stopping)
        return;
    AgentRun &run = found->second;
    run.callOutstanding = false;
    logStopAnswer(agent, found->first, answer);
    if (answer.result == CallResult::Done || answer.result == CallResult::Refused) {
        run.stopAnswered = true;
        // A rejection may lack the clock.
        run.confirmedClockMs = answer.clockMs == 0 ? agent.workerClockMs : answer.clockMs;
        agent.pollNeeded = true;
        return;
    }
    if (answer.result == CallResult::Fenced) {
        agent.runs.erase(found);
        agent.tokenInForce = 0;
        agent.pollNeeded = true;
        return;
    }
    run.nextCallAt = now + retryDelay(agent, answer.result);
}

// Tracks for how long no process has listened at the worker's address, and marks the worker as gone
// after `workerGoneAfterMs`, or at once if it has deregistered. A call without an answer changes
// nothing: the worker may be slow or cut off.
void updateWorkerGone(HostAgent &agent, CallResult result, TimeMs now)
{
    if (result != CallResult::NoListener) {
        if (result != CallResult::NoAnswer)
            agent.noListenerSince = 0;
        return;
    }
    if (agent.noListenerSince == 0)
        agent.noListenerSince = now;
    const TimeMs wait = agent.deregistered ? 0 : agent.options.workerGoneAfterMs;
    if (agent.workerGone || now - agent.noListenerSince < wait)
        return;
    agent.workerGone = true;
    agent.workerEndStored = false;
    agent.storeWorkerEndAt = now + agent.options.storeWorkerEndAfterMs;
    agent.runs.clear();
    agent.ends.clear();
    agent.tokenInForce = 0;
    agent.reportNeeded = true;
    logDecision(agent, "event=worker_gone worker=" + (agent.worker ? agent.worker->id : ""));
}

// Tracks for how long the worker has carried out no call, and marks it as silent after
// `silentAfterMs`. The time counts from the first failed call, so that an agent which was paused
// does not take its own silence for the worker's. Connections that fail are left to
// updateWorkerGone().
void updateSilence(HostAgent &agent, const WorkerAnswer &answer, TimeMs now)
{
    const CallResult result = answer.result;
    if (result == CallResult::NoListener)
        return;
    const bool failed = result == CallResult::NoAnswer || result == CallResult::Busy
        || result == CallResult::Misdirected;
    if (!failed) {
        if (std::exchange(agent.workerSilent, false)) {
            agent.leasesLapsed = false;
            agent.leasesOverSince = 0;
            // The next poll extends the lease again.
            agent.pollNeeded = true;
            agent.reportNeeded = true;
            logDecision(agent,
                        "event=worker_answers worker=" + agent.worker->id
                            + " silent_ms=" + std::to_string(now - agent.unansweredSince));
        }
        agent.unansweredSince = 0;
        return;
    }
    if (agent.unansweredSince == 0)
        agent.unansweredSince = now;
    if (agent.workerSilent || now - agent.unansweredSince < agent.options.silentAfterMs)
        return;
    agent.workerSilent = true;
    agent.reportNeeded = true;
    logDecision(agent,
                "event=worker_silent worker=" + agent.worker->id
                    + " silent_ms=" + std::to_string(now - agent.unansweredSince) + " runs="
                    + std::to_string(agent.runs.size()) + " reason=\"" + answer.reason + "\"");
}

bool isSameIncarnation(const WorkerInfo &first, const WorkerInfo &second)
{
    return first.id == second.id && first.bornUnixMs == second.bornUnixMs;
}

void followWorker(HostAgent &agent, const WorkerInfo &info, std::uint64_t sequence, TimeMs now)
{
    logDecision(agent,
                "event=worker_seen worker=" + info.id + " born=" + std::to_string(info.bornUnixMs)
                    + " service=" + info.service);
    resetWorkerState(agent, now);
    agent.worker = info;
    agent.heartbeatSequence = sequence;
    agent.nextPollAt = now;
    agent.candidate.reset();
}

bool considerCandidate(HostAgent &agent, const WorkerInfo &info, std::uint64_t sequence, TimeMs now)
{
    const bool known = agent.candidate && isSameIncarnation(info, *agent.candidate);
    if (known && sequence <= agent.candidateSequence)
        return false;
    if (!known)
        agent.nextProbeAt = now;
    agent.candidate = info;
    agent.candidateSequence = sequence;
    return true;
}

void rejectCandidate(HostAgent &agent, std::string_view cause)
{
    logDecision(agent,
                "event=heartbeat_ignored worker=" + agent.candidate->id
                    + " born=" + std::to_string(agent.candidate->bornUnixMs) + " reason=\""
                    + std::string(cause) + "\"");
    agent.candidate.reset();
}

// Applies a start time that the worker has answered and that differs from its heartbeats'.
void applyBirth(HostAgent &agent, std::uint64_t bornUnixMs, TimeMs now)
{
    if (agent.candidate && agent.candidate->id == agent.worker->id
        && agent.candidate->bornUnixMs == bornUnixMs) {
        followWorker(agent, WorkerInfo(*agent.candidate), agent.candidateSequence, now);
        agent.workerConfirmed = true;
        return;
    }
    logDecision(agent,
                "event=worker_reborn worker=" + agent.worker->id
                    + " born=" + std::to_string(bornUnixMs));
    resetWorkerState(agent, now);
    agent.worker->bornUnixMs = bornUnixMs;
    agent.worker->draining = false;
    // It may be of another kind and size: nothing fits on it before its first heartbeat.
    agent.worker->capacity = {};
    agent.worker->labels.clear();
    agent.workerConfirmed = true;
}

// Applies the answer to a probe of the candidate. A probe carries no fencing token, so a worker
// that has received one refuses the probe as fenced.
void applyProbeAnswer(HostAgent &agent, const PollCall &call, const WorkerAnswer &answer,
                      TimeMs now)
{
    agent.probeOutstanding = false;
    agent.nextProbeAt = now + retryDelay(agent, answer.result);
    if (!agent.candidate || agent.candidate->id != call.workerId)
        return;
    const bool restart = agent.worker && agent.candidate->id == agent.worker->id;
    const bool otherBirth =
        answer.bornUnixMs != 0 && answer.bornUnixMs != agent.candidate->bornUnixMs;
    if (answer.result == CallResult::Misdirected) {
        rejectCandidate(agent, "a worker with another id answers");
        return;
    }
    if (answer.result != CallResult::Done && answer.result != CallResult::Fenced)
        return;
    if (otherBirth || (restart && answer.result == CallResult::Fenced)) {
        rejectCandidate(agent, "the worker is of another incarnation");
        return;
    }
    followWorker(agent, WorkerInfo(*agent.candidate), agent.candidateSequence, now);
    agent.workerConfirmed = answer.bornUnixMs != 0;
}

const std::string &targetWorkerId(const WorkerCall &call)
{
    return std::visit([](const auto &each) -> const std::string & { return each.workerId; }, call);
}

} // namespace

bool applyHeartbeat(HostAgent &agent, const WorkerInfo &info, std::uint64_t sequence, TimeMs now)
{
    if (!agent.worker) {
        followWorker(agent, info, sequence, now);
        return true;
    }
    if (info.id == agent.worker->id && info.bornUnixMs < agent.worker->bornUnixMs)
        return false;
    if (!isSameIncarnation(info, *agent.worker))
        return considerCandidate(agent, info, sequence, now);
    if (sequence <= agent.heartbeatSequence)
        return false;
    agent.heartbeatSequence = sequence;
    if (info.draining != agent.worker->draining) {
        agent.reportNeeded = true;
        logDecision(agent,
                    "event=worker_draining worker=" + info.id
                        + " draining=" + (info.draining ? "true" : "false"));
    }
    agent.worker = info;
    return true;
}

void applyDeregistration(HostAgent &agent, std::string_view workerId)
{
    if (!agent.worker || agent.worker->id != workerId)
        return;
    logDecision(agent, "event=worker_leaves worker=" + agent.worker->id);
    agent.worker->draining = true;
    agent.deregistered = true;
    agent.reportNeeded = true;
}

void applyOrders(HostAgent &agent, const HostOrders &orders, TimeMs reportSentAt,
                 std::uint64_t reportSequence, TimeMs now)
{
    if (orders.epoch < agent.epoch || orders.epoch == 0)
        return;
    agent.epoch = orders.epoch;
    for (auto run = agent.runs.begin(); run != agent.runs.end();) {
        const bool acknowledged =
            run->second.goneReportSequence != 0 && run->second.goneReportSequence <= reportSequence;
        run = acknowledged ? agent.runs.erase(run) : std::next(run);
    }
    if (!agent.worker)
        return;
    const std::string key = workerKey(agent.options.host, *agent.worker);
    if (agent.workerGone && orders.storedWorkerEnd == key)
        agent.workerEndStored = true;
    if (orders.workerKey != key || agent.workerGone)
        return;
    if (orders.fencingToken < agent.fencingToken)
        return;
    if (orders.fencingToken > agent.tokenInForce && orders.fencingToken != agent.fencingToken)
        agent.pollNeeded = true;
    agent.fencingToken = orders.fencingToken;
    if (orders.fencingToken <= agent.releasedToken)
        return;
    agent.grantUntil = std::max(agent.grantUntil, reportSentAt + orders.grantMs);
    agent.ordersAsOf = std::max(agent.ordersAsOf, reportSentAt - orders.jobLogAgeMs);
    applyEvacuationState(agent, orders, reportSentAt);
    if (orders.acknowledgedEnd > agent.acknowledgedEnd) {
        agent.acknowledgedEnd = orders.acknowledgedEnd;
        agent.pollNeeded = true; // the poll carries the new acknowledgement to the worker
        agent.ends.erase(std::remove_if(agent.ends.begin(), agent.ends.end(),
                                        [&agent](const ReportedEnd &end) {
                                            return end.number <= agent.acknowledgedEnd;
                                        }),
                         agent.ends.end());
    }
    for (const StopOrder &order : orders.stops) {
        const auto [found, added] = agent.runs.emplace(RunKey(order.task, order.run), AgentRun());
        if (added)
            found->second.state = RunState::Starting;
        found->second.order.task = order.task;
        found->second.order.run = order.run;
        beginStop(agent, found->second, "stop order", now);
    }
    for (const StartOrder &order : orders.starts) {
        const auto [found, added] = agent.runs.emplace(RunKey(order.task, order.run), AgentRun());
        if (!added)
            continue;
        found->second.order = order;
        found->second.orderToken = orders.fencingToken;
        // An earlier process of the agent may have sent the start already.
        withdrawStart(agent, found->second, now);
    }
}

void applyAnswer(HostAgent &agent, const WorkerCall &call, const WorkerAnswer &answer, TimeMs now)
{
    // The poll of an unknown worker, see dueCalls().
    if (!agent.worker && targetWorkerId(call).empty()) {
        agent.shortPollOutstanding = false;
        agent.nextPollAt = now + agent.options.retryMs;
        updateWorkerGone(agent, answer.result, now);
        if (answer.result != CallResult::NoListener)
            agent.workerGone = false;
        return;
    }
    const auto *poll = std::get_if<PollCall>(&call);
    if (poll != nullptr && poll->probe) {
        applyProbeAnswer(agent, *poll, answer, now);
        return;
    }
    if (!agent.worker || targetWorkerId(call) != agent.worker->id)
        return;
    if (answer.result == CallResult::Misdirected && !agent.workerConfirmed) {
        logDecision(agent,
                    "event=heartbeat_ignored worker=" + agent.worker->id
                        + " born=" + std::to_string(agent.worker->bornUnixMs)
                        + " reason=\"a worker with another id answers\"");
        resetWorkerState(agent, now);
        agent.worker.reset();
        agent.nextPollAt = now + agent.options.retryMs;
        return;
    }
    // The worker has restarted under the same id, or its first heartbeat stated another start time.
    const bool otherBirth = answer.bornUnixMs != 0 && answer.bornUnixMs != agent.worker->bornUnixMs;
    if (otherBirth && (answer.bornUnixMs > agent.worker->bornUnixMs || !agent.workerConfirmed)) {
        applyBirth(agent, answer.bornUnixMs, now);
        return;
    }
    agent.workerConfirmed = agent.workerConfirmed || answer.result == CallResult::Done;
    updateWorkerGone(agent, answer.result, now);
    updateSilence(agent, answer, now);
    if (agent.workerGone && answer.result == CallResult::Done) {
        agent.workerGone = false;
        agent.reportNeeded = true;
    }
    if (answer.clockMs > agent.workerClockMs) {
        agent.workerClockMs = answer.clockMs;
        agent.workerClockReceivedAt = now;
        agent.pausedSinceReadingMs = 0;
    }
    if (poll != nullptr)
        applyPollAnswer(agent, *poll, answer, now);
    else if (const auto *start = std::get_if<StartCall>(&call))
        applyStartAnswer(agent, *start, answer, now);
    else if (const auto *stop = std::get_if<StopCall>(&call))
        applyStopAnswer(agent, *stop, answer, now);
}

std::vector<WorkerCall> dueCalls(HostAgent &agent, TimeMs now)
{
    std::vector<WorkerCall> calls;
    excludePause(agent, now);
    releaseLapsedRuns(agent, now);
    if (!agent.worker) {
        // No heartbeat received yet: a poll finds out whether a worker is running. It carries no
        // token and no lease, so it does not change the worker's state.
        if (!agent.shortPollOutstanding && now >= agent.nextPollAt) {
            agent.shortPollOutstanding = true;
            calls.emplace_back(PollCall());
        }
        return calls;
    }
    if (agent.candidate && !agent.probeOutstanding && now >= agent.nextProbeAt) {
        agent.probeOutstanding = true;
        PollCall probe;
        probe.workerId = agent.candidate->id;
        probe.probe = true;
        calls.emplace_back(probe);
    }
    const std::uint64_t token =
        std::max({agent.fencingToken, agent.tokenInForce, agent.minimumToken});
    const auto poll = [&](TimeMs waitMs) {
        PollCall call;
        call.workerId = agent.worker->id;
        call.fencingToken = token;
        call.acknowledgedEnd = agent.acknowledgedEnd;
        call.leaseUntil = leaseUntil(agent, now);
        call.waitMs = waitMs;
        recordLease(agent, call.leaseUntil);
        return call;
    };
    if (agent.pollNeeded && !agent.shortPollOutstanding && now >= agent.nextPollAt) {
        agent.pollNeeded = false;
        agent.shortPollOutstanding = true;
        calls.emplace_back(poll(0));
    } else if (!agent.longPollOutstanding && !agent.shortPollOutstanding
               && now >= agent.nextPollAt) {
        agent.longPollOutstanding = true;
        calls.emplace_back(poll(agent.options.pollWaitMs));
    }
    if (agent.workerGone || agent.tokenInForce == 0 || agent.tokenInForce != agent.fencingToken)
        return calls;
    const bool evacuationsAreKnown = agent.options.evacuationValidMs == 0
        || now - agent.evacuationsAsOf <= agent.options.evacuationValidMs;
    const bool startsAreValid =
        now - agent.ordersAsOf <= agent.options.startValidMs && evacuationsAreKnown;
    for (auto &[key, run] : agent.runs) {
        if (run.callOutstanding || now < run.nextCallAt)
            continue;
        if (run.state == RunState::Starting) {
            if (!withdrawStart(agent, run, now)) {
                const std::int64_t until = leaseUntil(agent, now);
                if (until == 0 || run.orderToken != token || !startsAreValid)
                    continue;
                recordLease(agent, until);
                run.callOutstanding = true;
                ++run.startsSent;
                logDecision(agent,
                            "event=start_sent " + runFields(key)
                                + " attempt=" + std::to_string(run.startsSent)
                                + " token=" + std::to_string(token));
                calls.emplace_back(StartCall{agent.worker->id, token, until, run.order});
                continue;
            }
        }
        if (run.state == RunState::Stopping && !run.stopAnswered) {
            run.callOutstanding = true;
            calls.emplace_back(StopCall{agent.worker->id, token, {key.first, key.second}});
        }
    }
    return calls;
}

std::optional<Record> dueWorkerEnd(HostAgent &agent, TimeMs now)
{
    if (!agent.worker || !agent.workerGone || agent.workerEndStored || agent.workerEndOutstanding
        || now < agent.storeWorkerEndAt)
        return std::nullopt;
    agent.workerEndOutstanding = true;
    return workerEndRecord(workerKey(agent.options.host, *agent.worker));
}

void applyWorkerEndResult(HostAgent &agent, std::string_view workerKey, const AppendResult &result,
                          TimeMs now)
{
    const bool stored = result.status == AppendStatus::Stored;
    logDecision(agent,
                stored ? "event=worker_end_stored worker=" + std::string(workerKey)
                       : "event=worker_end_not_stored worker=" + std::string(workerKey)
                        + " reason=\"" + result.error + "\"");
    if (!agent.worker || workerKey != scheduler::workerKey(agent.options.host, *agent.worker))
        return;
    agent.workerEndOutstanding = false;
    agent.storeWorkerEndAt = now + agent.options.storeWorkerEndEveryMs;
    agent.workerEndStored = agent.workerEndStored || (stored && agent.workerGone);
}

namespace {

// Upper bound of the size of a text in JSON.
std::size_t maxEncodedBytes(std::string_view text)
{
    constexpr std::size_t longestEscape = 6;
    std::size_t bytes = 0;
    for (const char character : text) {
        const bool plain =
            character >= ' ' && character <= '~' && character != '"' && character != '\\';
        bytes += plain ? 1 : longestEscape;
    }
    return bytes;
}

// Removes checkpoints from the report. The runs that keep theirs are taken in turn, so that each
// is reported in time.
void limitCheckpoints(HostAgent &agent, HostReport &report)
{
    std::size_t bytes = 0;
    const auto isLeftOut = [&](std::string &checkpoint) {
        const std::size_t added = maxEncodedBytes(checkpoint);
        const bool leftOut = bytes + added > agent.options.maxReportedCheckpointBytes;
        if (leftOut)
            checkpoint.clear();
        else
            bytes += added;
        return leftOut;
    };
    for (ReportedEnd &end : report.ends)
        isLeftOut(end.checkpoint);
    const auto isBefore = [&agent](const ReportedRun &run) {
        return std::make_pair(run.task, run.run) < agent.nextReportedCheckpoint;
    };
    // The runs are in the order of their keys.
    const auto first = std::find_if_not(report.runs.begin(), report.runs.end(), isBefore);
    const auto firstIndex = static_cast<std::size_t>(first - report.runs.begin());
    agent.nextReportedCheckpoint = {};
    for (std::size_t i = 0; i < report.runs.size(); ++i) {
        ReportedRun &run = report.runs[(firstIndex + i) % report.runs.size()];
        if (isLeftOut(run.checkpoint) && agent.nextReportedCheckpoint.first.empty())
            agent.nextReportedCheckpoint = {run.task, run.run};
    }
}

} // namespace

HostReport makeReport(HostAgent &agent)
{
    HostReport report;
    report.host = agent.options.host;
    report.dataCentre = agent.options.dataCentre;
    report.agentStart = agent.options.agentStart;
    report.sequence = ++agent.sequence;
    report.worker = agent.worker;
    report.workerGone = agent.workerGone;
    report.workerEndStored = agent.workerEndStored;
    report.workerSilent = agent.workerSilent;
    report.leasesLapsed = agent.leasesLapsed;
    report.orderedToken = agent.fencingToken;
    report.releasedToken = agent.releasedToken;
    report.fencingToken = agent.tokenInForce;
    report.listClockMs = agent.listClockMs;
    for (auto &[key, run] : agent.runs) {
        if (run.state == RunState::Gone && run.goneReportSequence == 0)
            run.goneReportSequence = report.sequence;
        report.workerBusy = report.workerBusy || run.startRefusedAsBusy;
        // A start or stop may have been answered after the newest list was read.
        const bool listed = run.listed && run.confirmedClockMs <= agent.listClockMs;
        report.runs.push_back({key.first, key.second, run.state,
                               listed ? run.percent : unknownPercent, run.checkpoint, run.reason});
    }
    report.ends = agent.ends;
    limitCheckpoints(agent, report);
    agent.reportNeeded = false;
    return report;
}

} // namespace flamingo::scheduler
