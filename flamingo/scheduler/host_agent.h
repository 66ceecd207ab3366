#ifndef FLAMINGO_SCHEDULER_HOST_AGENT_H
#define FLAMINGO_SCHEDULER_HOST_AGENT_H

// Decision logic of the host agent, which manages the one worker of its host. The agent carries out
// the leader's orders by calls to the worker and reports the state of each run to the leader.
//
// The worker may still execute a call seconds after the call timed out. The agent therefore never
// reports a run as gone because a start was not answered: it repeats the start, which is
// idempotent, or it stops the run, after which the worker refuses that run permanently, and then
// reads the worker's list of runs again to confirm that the run is absent. An answer alone does not
// end a stop: it is repeated while a list that was read after its time still contains the run.
//
// A start is sent only under the fencing token of the orders that contained it. When the worker has
// accepted a later token, of another leader or of another lease by the same one, it refuses every
// start under the former one. A run that its next list does not contain therefore cannot begin any
// more and is forgotten; the leader orders it again if it should run. Stops are kept: a run number
// is not used again, so stopping a run that may have begun is safe under any token.
//
// A start is also not sent, or repeated, when the leader has not confirmed for `startValidMs` that
// it should run: while no leader answers, or the leader does not read the job log, a cancellation
// of the job is not known. The same holds for evacuations, after `evacuationValidMs`.
//
// While the host's data centre is evacuated (see evacuation.h) no start is sent; one that may have
// been sent already is stopped unless the worker lists the run. The leader then places the task
// elsewhere.
//
// A worker limits the number of ends in one answer, and lists more only when these have been
// acknowledged. While its list is cut, a run that neither list contains may have ended with any
// result: it keeps its state, and its progress is unknown.
//
// A worker that carries out no call is silent. It may have received every call that was sent to it,
// and may carry them out later. The agent therefore notes the latest end of the leases that it has
// sent, and sends no further one to a silent worker. When all of them have lapsed, the worker has
// killed its runs, and a start that it carries out late is refused, because its lease has lapsed
// too. The agent then reports that the leases have lapsed, and carries out nothing more under the
// fencing tokens of before. An agent that was restarted assumes the longest lease, and pauses of
// the agent do not count as time on the worker's clock.
//
// Answers may arrive out of order. Each carries the worker's clock, which orders them.
//
// The agent alone knows that its worker has ended. It reports that until the leader confirms that
// the job log shows it, and stores it in the log itself while no leader does.
//
// A heartbeat may be delayed or have another author, so it does not replace the current worker. The
// agent first probes the worker that the heartbeat names, by a poll under its id that changes
// nothing, and follows it when it answers.
//
// The functions perform no I/O and read no clock: time is an argument, dueCalls() returns the calls
// to send, and their answers are passed to applyAnswer().

#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/job_log.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace flamingo::scheduler {

// Polls the worker: reads its lists of current runs and of ended runs (ends), renews its lease and
// sets its fencing token.
struct PollCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledgedEnd = 0; // the worker may discard ends up to this number
    std::int64_t leaseUntil = 0; // on the worker's clock; 0: not extended
    TimeMs waitMs = 0; // long poll: the worker waits up to this long for a run to end
    bool probe = false; // asks only whether the worker of a heartbeat answers
};

struct StartCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseUntil = 0; // on the worker's clock
    StartOrder order;
};

struct StopCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    StopOrder order;
};

using WorkerCall = std::variant<PollCall, StartCall, StopCall>;

enum class CallResult : std::uint8_t {
    Done, // the worker executed the call
    Fenced, // the worker rejected the call, because it has seen a higher fencing token
    Refused, // the worker rejected the call and would reject a repetition
    Busy, // the worker did nothing because it is overloaded or unhealthy; a repetition may succeed
    Misdirected, // a worker with another id answered, and did nothing
    NoAnswer, // the worker may execute the call, now or later
    NoListener, // the connection failed: no process listens at the worker's address
};

struct WorkerAnswer
{
    CallResult result = CallResult::NoAnswer;
    std::string reason; // why the call failed
    std::int64_t clockMs = 0; // the worker's clock; 0: not in the answer
    std::uint64_t bornUnixMs = 0; // start time of the worker's incarnation; 0: not in the answer
    // In the answer to a poll only.
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ends;
    bool endsComplete = true; // false: the worker may have ends after the last one of `ends`
};

struct AgentOptions
{
    std::string host;
    std::uint64_t agentStart = 0; // start time of the agent, which identifies its incarnation
    TimeMs pollWaitMs = 500; // a long poll returns after this long when no run ends
    TimeMs workerGoneAfterMs = 250; // the worker is gone when nothing listens for this long
    // The worker is silent when it has carried out no call for this long after one that failed.
    TimeMs silentAfterMs = 1500;
    TimeMs leaseMaxMs = 10000; // upper bound of a worker's lease, whatever was requested
    TimeMs leaseSlackMs = 300; // a paused worker may continue its runs this long after its lease
    TimeMs retryMs = 300; // delay before an unanswered call is repeated
    TimeMs busyRetryMs = 100; // delay before a poll or stop is repeated to a worker that is busy
    TimeMs stopMs = 1000; // a worker takes up to this long to stop a run, by its own clock
    // While no leader confirms the end of the worker, the agent stores it in the job log after this
    // time, and tries again at this interval.
    TimeMs storeWorkerEndAfterMs = 1000;
    TimeMs storeWorkerEndEveryMs = 500;
    // A start is sent only this long after the time as of which the leader knew the job log in its
    // last answer. Must be shorter than the time in which a cancellation takes effect.
    TimeMs startValidMs = 2500;
    // A start is sent only this long after the time as of which the leader knew the requests for
    // evacuation in its last answer. Must be shorter than the time in which they take effect; 0:
    // no limit.
    TimeMs evacuationValidMs = 0;
    std::string dataCentre; // of the host
    // Checkpoints in one report, in bytes of their JSON. With the rest of the report they must stay
    // below the size of a body that entries accept.
    std::size_t maxReportedCheckpointBytes = 524288;
};

// The agent's state of one run of a task.
struct AgentRun
{
    RunState state = RunState::Starting;
    StartOrder order;
    bool listed = false; // in the newest list of the worker's runs
    std::int64_t percent = 0; // as of the newest list that contains the run
    std::string checkpoint;
    std::string reason; // why the run is being stopped or is gone
    bool startRefusedAsBusy = false; // the worker was too busy to start the run
    // Fencing token of the orders that contained the start, which is sent only under this token.
    std::uint64_t orderToken = 0;
    std::uint32_t startsSent = 0; // number of start calls so far
    bool callOutstanding = false; // a start or stop of this run has not been answered yet
    TimeMs nextCallAt = 0; // earliest time of the next start or stop call
    // The worker's clock when it last answered a start or stop of this run. Only a list that was
    // read later can show that the run is absent.
    std::int64_t confirmedClockMs = 0;
    bool stopAnswered = false; // the worker has accepted the stop, or rejects the run permanently
    std::uint64_t goneReportSequence = 0; // first report that listed the run as gone; 0: none
};

// The state of a host agent.
struct HostAgent
{
    AgentOptions options;
    std::uint64_t sequence = 0; // sequence number of the last report
    std::uint64_t epoch = 0; // highest epoch of a leader that has sent orders
    std::optional<WorkerInfo> worker; // nullopt: no heartbeat received yet
    std::uint64_t heartbeatSequence = 0; // of the newest heartbeat of the worker's incarnation
    bool workerConfirmed = false; // the worker has answered under its id and start time
    // A worker whose heartbeat was received and which has not confirmed it yet.
    std::optional<WorkerInfo> candidate;
    std::uint64_t candidateSequence = 0; // of its newest heartbeat
    bool probeOutstanding = false; // a probe has not been answered
    TimeMs nextProbeAt = 0; // earliest time of the next probe
    bool workerGone = false; // no worker process listens on the host
    // The end of the worker that is gone is stored in the job log. Until then the agent must report
    // it: nobody else knows that the worker's runs have ended.
    bool workerEndStored = false;
    TimeMs storeWorkerEndAt = 0; // earliest time of the next append of the worker's end
    bool workerEndOutstanding = false; // such an append has not been answered
    bool deregistered = false; // the worker has announced its shutdown
    TimeMs noListenerSince = 0; // first failed connection; 0: none since the last answer
    // First call that the worker did not carry out, of those since the last that it did; 0: none.
    TimeMs unansweredSince = 0;
    bool workerSilent = false; // see AgentOptions::silentAfterMs
    // When every lease has lapsed that may have been sent to the worker, on the agent's clock, and
    // since when the agent has seen that the worker is silent and they have; 0: not yet.
    TimeMs leasesEndAt = 0;
    TimeMs leasesOverSince = 0;
    bool leasesLapsed = false; // see HostReport::leasesLapsed
    TimeMs lastStepAt = 0; // last call of dueCalls(); 0: none
    TimeMs pausedSinceReadingMs = 0; // pauses of the agent since `workerClockReceivedAt`
    std::uint64_t fencingToken = 0; // from the leader's orders
    // Highest token of a poll that the worker accepted; 0: none, or the worker has fenced a call.
    std::uint64_t tokenInForce = 0;
    // The worker's new incarnation is sent at least this token, which is higher than the one that
    // the leader had issued for the former incarnation. The new one therefore rejects delayed calls
    // that were meant for the former one.
    std::uint64_t minimumToken = 0;
    std::uint64_t releasedToken = 0; // see HostReport::releasedToken
    std::uint64_t acknowledgedEnd = 0; // ends up to this number are stored by the leader
    TimeMs grantUntil = 0; // end of the leader's lease grant, on the agent's clock
    TimeMs ordersAsOf = 0; // the leader's orders take all earlier cancellations into account
    bool evacuated = false; // by the leader's orders: nothing may be started on the worker
    TimeMs evacuationsAsOf = 0; // the leader's orders take all earlier evacuations into account
    std::uint64_t startsWithdrawn = 0; // because of an evacuation, since the agent began
    std::int64_t workerClockMs = 0; // newest reading of the worker's clock ...
    TimeMs workerClockReceivedAt = 0; // ... and when it arrived, on the agent's clock
    std::int64_t listClockMs = 0; // worker's clock of the newest lists that were applied
    bool longPollOutstanding = false; // a poll with waitMs > 0 has not been answered
    bool shortPollOutstanding = false; // a poll with waitMs 0 has not been answered
    bool pollNeeded = false; // send a poll with waitMs 0 as soon as `nextPollAt` allows
    TimeMs nextPollAt = 0; // earliest time of the next poll
    std::map<std::pair<std::string, std::uint32_t>, AgentRun> runs;
    std::vector<ReportedEnd> ends; // not yet acknowledged by the leader
    // The first run of which the last report left the checkpoint out; none if it had all.
    std::pair<std::string, std::uint32_t> nextReportedCheckpoint;
    bool reportNeeded = false; // the state changed: report to the leader without delay
    std::vector<std::string> decisions; // lines for the decision log; the caller removes them
};

// Applies a heartbeat to the agent's state. The first one is followed at once; one of another
// incarnation than the current worker's makes it the candidate. Returns false, without a change,
// for a heartbeat of an earlier incarnation under the same id or one that is not newer than the
// last of its incarnation. Start times of different ids are not compared: clocks may be set back.
bool applyHeartbeat(HostAgent &agent, const WorkerInfo &info, std::uint64_t sequence, TimeMs now);

// Applies the worker's deregistration: the worker counts as draining, and as gone at the first call
// that finds no listener. Ignored when `workerId` is not the current worker.
void applyDeregistration(HostAgent &agent, std::string_view workerId);

// Applies the leader's answer to the report `reportSequence`, which was sent at `reportSentAt`; the
// lease grant counts from that time. Orders of an earlier leader are ignored, and those for another
// incarnation of the worker or under an older token only confirm that the leader received the
// report.
void applyOrders(HostAgent &agent, const HostOrders &orders, TimeMs reportSentAt,
                 std::uint64_t reportSequence, TimeMs now);

// Applies the worker's answer to `call`. Answers of a worker other than the current one are
// ignored. While no worker is known, an answer shows only whether a worker process listens.
void applyAnswer(HostAgent &agent, const WorkerCall &call, const WorkerAnswer &answer, TimeMs now);

// Returns the calls to send to the worker now and marks them as outstanding. The caller passes the
// answer to each, also a failure, to applyAnswer().
std::vector<WorkerCall> dueCalls(HostAgent &agent, TimeMs now);

// Returns the record of the worker's end when it is due to be stored in the job log; nullopt
// otherwise. The caller appends it and passes the result, for the record's worker, to
// applyWorkerEndResult().
std::optional<Record> dueWorkerEnd(HostAgent &agent, TimeMs now);
void applyWorkerEndResult(HostAgent &agent, std::string_view workerKey, const AppendResult &result,
                          TimeMs now);

// Builds the next report to the leader: advances the sequence and clears `reportNeeded`. Leaves out
// checkpoints that exceed AgentOptions::maxReportedCheckpointBytes: those of runs follow in later
// reports, and for those of ends the leader keeps the last one that was reported.
HostReport makeReport(HostAgent &agent);

} // namespace flamingo::scheduler

#endif
