#ifndef FLAMINGO_MESSAGES_H
#define FLAMINGO_MESSAGES_H

// Input and output of all decisions.
//
// A process is driven by events and answers with effects:
//
//   handle(State &state, const Event &event, TimeMs now, Random &random, Outbox &out)
//
// The daemons create events from sockets and timers and carry out the effects in the outbox. Tests
// and benchmarks create events directly and pass the effects between several states in one process.
//
// Messages between processes are the plain structs that schema/messages.fbs generates. Events own
// their strings.

#include "flamingo/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace flamingo {

using Hello = wire::HelloT;
using Report = wire::ReportT;
using ReportAck = wire::ReportAckT;
using Start = wire::StartT;
using StartReply = wire::StartReplyT;
using Outcome = wire::OutcomeT;
using OutcomeAck = wire::OutcomeAckT;
using Cancel = wire::CancelT;
using Hold = wire::HoldT;
using HoldReply = wire::HoldReplyT;
using GangStart = wire::GangStartT;
using GangRenew = wire::GangRenewT;
using GangRenewReply = wire::GangRenewReplyT;
using GangMemberDone = wire::GangMemberDoneT;
using GangStop = wire::GangStopT;
using Begin = wire::BeginT;
using BeginReply = wire::BeginReplyT;
using Settle = wire::SettleT;
using SettleAck = wire::SettleAckT;
using KeyQuery = wire::KeyQueryT;
using KeyReply = wire::KeyReplyT;
using Witness = wire::WitnessT;
using WitnessReply = wire::WitnessReplyT;
using LogLines = wire::LogLinesT;
using LogLinesRequest = wire::LogLinesRequestT;
using VersionSummary = wire::VersionSummaryT;
using Forward = wire::ForwardT;
using ForwardReply = wire::ForwardReplyT;
using JobQuery = wire::JobQueryT;
using JobReply = wire::JobReplyT;
using Drain = wire::DrainT;
using Proof = wire::ProofT;
using Locate = wire::LocateT;
using Located = wire::LocatedT;

using Message =
    std::variant<Hello, Report, ReportAck, Start, StartReply, Outcome, OutcomeAck, Cancel, Hold,
                 HoldReply, GangStart, GangRenew, GangRenewReply, GangMemberDone, GangStop, Begin,
                 BeginReply, Settle, SettleAck, KeyQuery, KeyReply, Witness, WitnessReply, LogLines,
                 LogLinesRequest, VersionSummary, Forward, ForwardReply, JobQuery, JobReply, Drain,
                 Proof, Locate, Located>;

// Larger numbers in messages and records are invalid. They would overflow in later arithmetic, or
// no valid number could exceed them.
constexpr std::uint64_t maxLogOffset = 1ULL << 53U;
constexpr std::uint64_t maxIncarnation = 1ULL << 53U; // microseconds since 1970: the year 2255

// ---- Events ----

// A message from the process `from`. Messages may be late, repeated, reordered or missing.
struct PeerMessage
{
    std::string from;
    Message message;
};

// The connection to a process was established, and its Hello received.
struct PeerUp
{
    PeerInfo peer;
};

// The connection to a process was lost.
struct PeerDown
{
    std::string process;
};

// Lines read from a log stream, in order. `next` is the offset to read from next. `trimmed` is true
// when the log service no longer has the requested lines; `lines` then begin at the oldest retained
// one.
struct LogRead
{
    std::string stream;
    std::vector<wire::LogLineT> lines;
    std::uint64_t next = 0;
    bool trimmed = false;
};

// An append ended. `acknowledged` false means that the result is unknown: the line may be in the
// log.
struct LogAppended
{
    std::uint64_t id = 0;
    bool acknowledged = false;
    std::uint64_t offset = 0;
};

// Results of commands to the agent's own worker. `task` is the id given in the command; `detail`
// says why `ok` is false.
struct TaskStarted
{
    std::string task;
    bool ok = false;
    std::string detail;
    // With ok = false: an earlier call to start the task may have had an effect.
    bool mayHaveStarted = false;
};

struct TaskFinished
{
    std::string task;
    bool ok = false;
    std::string answer;
    std::string detail;
};

struct TaskCheckpointed
{
    std::string task;
    bool ok = false;
    std::string checkpoint;
};

struct TaskStopped
{
    std::string task;
};

// Resource usage of a task; the worker reports it with a delay.
struct TaskUsage
{
    std::string task;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TimeMs ranMs = 0;
};

// The worker accepted the renewal of all leases of this agent (ok), or the renewal failed.
struct LeaseRenewed
{
    bool ok = false;
};

struct Tick
{
};

// ---- Effects ----

struct Send
{
    std::string to;
    Message message;
};

// Appends `lines` to a log stream in one group commit; answered by LogAppended with the same id.
// The state that requests the append assigns `id`.
struct Append
{
    std::uint64_t id = 0;
    std::string stream;
    std::vector<std::string> lines;
};

// Commands to the agent's own worker.
struct RunTask
{
    std::string task;
    std::string job;
    std::string payload;
    std::string checkpoint; // empty: run from the beginning
    std::uint64_t mask = 0; // accelerators
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
};

struct CheckpointTask
{
    std::string task;
};

struct StopTask
{
    std::string task;
};

using WorkerCommand = std::variant<RunTask, CheckpointTask, StopTask>;

// The whole answer to one request of a caller or operator. `request` is the id given in the event.
struct Reply
{
    std::string request;
    Verdict verdict = Verdict::NotRun;
    Reason reason;
    std::string answer;
    std::string job;
    bool accepted = false; // the request was accepted and continues; query it by the job's id
    TimeMs retryAfterMs = 0;
};

// A line of a log stream that was ignored, because it is no valid record. The adapters log it.
struct IgnoredRecord
{
    std::string stream;
    std::uint64_t offset = 0;
    Reason reason;
};

struct Outbox
{
    std::vector<Send> sends;
    std::vector<Append> appends;
    std::vector<WorkerCommand> commands;
    std::vector<Reply> replies;
    std::vector<IgnoredRecord> ignoredRecords;
    std::vector<std::string> logLines; // decisions that hold work back, for the process's log
};

} // namespace flamingo

#endif
