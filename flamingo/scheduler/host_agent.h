#ifndef FLAMINGO_SCHEDULER_HOST_AGENT_H
#define FLAMINGO_SCHEDULER_HOST_AGENT_H

// The decisions of the agent beside one worker. It carries out the leader's orders and tells the
// leader what became of them.
//
// A call to a worker that is not answered may still be carried out seconds later. The agent never
// reports such a run as gone on a guess: it repeats the start, which is idempotent, or it has the
// worker stop the run, after which the worker refuses that run for good, and looks at the worker's
// list once more.
//
// Answers may overtake each other. Each carries the worker's clock, which orders them.
//
// All functions are pure: time is an argument; calls to make are appended to an outbox.

#include "flamingo/scheduler/host_messages.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace flamingo::scheduler {

// Reads the worker's lists, renews its lease and sets its fencing token.
struct LookCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledgedEnd = 0;
    std::int64_t leaseUntil = 0; // on the worker's clock; 0: not extended
    TimeMs waitMs = 0; // the worker waits this long for an end
};

struct StartCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseUntil = 0;
    StartOrder order;
};

struct StopCall
{
    std::string workerId;
    std::uint64_t fencingToken = 0;
    StopOrder order;
};

using WorkerCall = std::variant<LookCall, StartCall, StopCall>;

enum class CallResult : std::uint8_t {
    Done,
    Fenced, // the worker has seen a higher token
    Refused, // nothing was done
    NoAnswer, // may be carried out, now or later
    NoListener, // the worker's process does not exist
};

struct WorkerAnswer
{
    CallResult result = CallResult::NoAnswer;
    std::string reason;
    std::int64_t clockMs = 0; // the worker's clock; 0 when it sent none
    std::uint64_t bornUnixMs = 0; // 0 when it sent none
    // Of a look only.
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ends;
};

struct AgentOptions
{
    std::string host;
    std::uint64_t agentStart = 0;
    TimeMs pollWaitMs = 500; // an idle look returns after this long
    TimeMs workerGoneAfterMs = 250; // no process listens at the worker's address this long
    TimeMs retryMs = 300; // before an unanswered call is repeated
};

struct AgentRun
{
    RunState state = RunState::Starting;
    StartOrder order;
    std::int64_t percent = 0;
    std::string checkpoint;
    std::string reason;
    bool startUnanswered = false; // a start of it may be carried out late
    bool callOutstanding = false; // a call for it is outstanding
    TimeMs nextCallAt = 0;
    std::int64_t confirmedClockMs = 0; // the worker confirmed the state at this time of its clock
    bool stopAnswered = false;
    std::uint64_t goneReportSequence = 0; // sequence of the first report that said so
};

struct HostAgent
{
    AgentOptions options;
    std::uint64_t sequence = 0; // of the last report
    std::uint64_t epoch = 0; // of the leader that is followed
    std::optional<WorkerInfo> worker;
    std::uint64_t heartbeatSequence = 0;
    bool workerGone = false;
    bool deregistered = false; // the worker has said that it ends
    TimeMs noListenerSince = 0; // 0: the last call reached a listener
    std::uint64_t fencingToken = 0; // ordered by the leader
    std::uint64_t tokenInForce = 0; // confirmed by the worker
    std::uint64_t minimumToken = 0; // shuts out orders that were meant for the former incarnation
    std::uint64_t acknowledgedEnd = 0;
    TimeMs grantUntil = 0;
    std::int64_t workerClockMs = 0; // newest time of the worker's clock ...
    TimeMs workerClockReceivedAt = 0; // ... and when it arrived
    std::int64_t listClockMs = 0; // of the newest look
    bool longPollOutstanding = false; // a look that waits is outstanding
    bool shortPollOutstanding = false; // one that does not wait
    bool pollNeeded = false;
    TimeMs nextPollAt = 0;
    std::map<std::pair<std::string, std::uint32_t>, AgentRun> runs;
    std::vector<ReportedEnd> ends;
    bool reportNeeded = false; // something changed that the leader should know at once
    std::vector<std::string> decisions; // for the log; emptied by the caller
};

// What a heartbeat says. False for one that is older than what is known.
bool takeHeartbeat(HostAgent &agent, const WorkerInfo &info, std::uint64_t sequence, TimeMs now);

// The worker says that it ends.
void takeDeparture(HostAgent &agent, std::string_view workerId);

void takeOrders(HostAgent &agent, const HostOrders &orders, TimeMs reportSentAt,
                std::uint64_t reportSequence, TimeMs now);

void takeAnswer(HostAgent &agent, const WorkerCall &call, const WorkerAnswer &answer, TimeMs now);

// Calls that are due.
std::vector<WorkerCall> dueCalls(HostAgent &agent, TimeMs now);

HostReport makeReport(HostAgent &agent);

} // namespace flamingo::scheduler

#endif
