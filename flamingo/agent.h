#ifndef FLAMINGO_AGENT_H
#define FLAMINGO_AGENT_H

// The agent beside one worker: the only authority over the worker's accelerators and slots.
//
// Life of an attempt: a Start is refused with a StartReply, or it gets an accepted StartReply and
// later one Outcome. The agent repeats the Outcome until the entry acknowledges it. A repeated
// Start is answered from memory and never runs twice, a refused one is never accepted later.
//
// What NotRun means in an Outcome or a refusing StartReply:
//   - No RunTask was issued for the attempt, or the worker answered TaskStarted{ok = false}. If the
//     key's owner may have granted the attempt, the owner has acknowledged that it was given back;
//     after a denial the agent repeats that in the background.
//   - In an Outcome of idempotent work, with any reason but Cancelled, also: the work ran, but the
//     worker (for a gang: every member) confirmed its stop or end, no answer was delivered, and the
//     work is safe to repeat. With reason Evicted the answer field holds the newest checkpoint of a
//     single job, if there is one. An entry repeats such an attempt. If it gives up instead, it
//     must not tell the caller that the request did not run.
// Work that is not idempotent and was issued to the worker ends as Ran or MayHaveRun, also when a
// checkpoint of it exists.
//
// Duties of the process around it:
//   - Tick every 100 ms. LeaseRenewed after each renewal of the worker's leases, about three times
//     per workerLeaseMs; without one the agent treats its tasks as lapsed and refuses work.
//   - Before the first event, stop whatever an earlier incarnation left on the worker.
//   - TaskStarted{ok = false} only if the worker refused; an unanswered RunTask is not reported.
//   - TaskFinished and TaskStopped are delivered at least once, also after the worker was out of
//     reach; the agent does not ask for them. TaskStopped also answers a StopTask for a task that
//     the worker does not know (any more).

#include "flamingo/messages.h"
#include "flamingo/table.h"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace flamingo {

struct AgentOptions
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0;
    std::uint32_t accelerators = 8;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t cores = 64;
    std::uint32_t memoryMib = 262144;
    TimeMs checkpointBoundMs = 2000; // a guest that has not checkpointed by then is stopped
    TimeMs stopBoundMs = 500;
    TimeMs holdMs = 2000;
    TimeMs gangLeaseMs = 3000;
    TimeMs gangStartMs = 1000; // after the decision every member confirms its start by then
    TimeMs gangRenewMs = 1000;
    TimeMs workerLeaseMs = 3000;
    TimeMs answerRetentionMs = 600000;
    std::size_t maxAnswers = 1000; // answers kept, and attempts that run or wait for an ack
    std::size_t maxDetailBytes = 1024; // text of a reason
    std::size_t maxAnswerBytes = 524288; // one answer; half of a frame
    std::size_t maxAnswerBytesTotal = 8388608; // a quarter of the memory budget of 32 MB
    std::size_t maxAttempts = 10000; // remembered
    std::size_t maxRefusals = 10000; // remembered; a Start beyond that gets no reply
    std::size_t maxHolds = 64; // gang members held, running or remembered as unfinished here
    std::size_t maxGangs = 16; // led from here at once
    std::size_t maxPeers = 64; // entries that receive reports
    TimeMs claimBoundMs = 5000; // wait for the key's owner when the job has no deadline
    TimeMs releaseBoundMs = 1000; // wait for the owner's ack when a claim is given back
    TimeMs reclaimTimeoutMs = 10000; // wait for a worker that does not stop guests or answer
    TimeMs taskStartBoundMs = 10000; // an unanswered RunTask is stopped by then
    // The same for urgent work that may run twice: a third of the 3,300 ms within which it has to
    // start leaves time for a second try.
    TimeMs urgentStartMs = 1100;
    TimeMs usageTrustMs = 5000; // run time from which usage below the declared size counts
    TimeMs quickFailureMs = 2000; // a failure within this time of the start counts against worker
    std::uint32_t setAsideAfterFailures = 3; // different jobs in a row
    TimeMs probeMs = 10000; // first probe after the worker was set aside; doubles
    TimeMs probeMaxMs = 300000;
    TimeMs reportIntervalMs = 1000; // until an entry names another
    TimeMs reportMinGapMs = 50;
    TimeMs resendMs = 200; // first repetition of an unanswered message; doubles
    TimeMs resendMaxMs = 5000;
};

// ---- State ----

// Repetition of a message until it is answered.
struct Resend
{
    bool pending = false;
    TimeMs next = 0;
    TimeMs wait = 0;
};

enum class TaskPhase { Waiting, Running, Checkpointing, Stopping };

// Room on the worker and what runs in it: a single job or one member of a gang.
struct LocalTask
{
    std::string id; // the attempt, also the task's id at the worker
    std::string job;
    std::string organisation;
    std::string payload; // until RunTask
    bool idempotent = true;
    bool checkpointable = false;
    bool guaranteed = false;
    bool urgent = false;
    bool member = false; // of a gang
    std::uint32_t gangSize = 1;
    std::uint64_t mask = 0;
    std::uint32_t cores = 0; // as accounted: declared, then corrected by usage
    std::uint32_t memoryMib = 0;
    TaskPhase phase = TaskPhase::Waiting;
    std::set<std::string, std::less<>> blockers; // tasks that must leave first
    bool issued = false; // RunTask was sent
    bool started = false; // the worker said so
    bool successRecorded = false; // ran longer than quickFailureMs
    bool endReported = false; // its end was reported; the worker has not confirmed the stop yet
    TimeMs reservedAt = 0;
    TimeMs issuedAt = 0;
    TimeMs startedAt = 0;
    TimeMs phaseUntil = 0; // of Checkpointing and Stopping
    TimeMs nextStop = 0; // repetition of StopTask
    Reason stopReason; // why it is stopped
    std::string checkpoint;
};

enum class ClaimPhase { None, Asking, Granted, Releasing };

// One Start: the protocol with its entry and with the owner of its key.
struct Attempt
{
    std::string id;
    JobSpec spec; // without payload
    std::string entry;
    bool guaranteed = false;
    bool gang = false; // led from here
    std::string owner;
    std::uint32_t range = 0;
    std::uint64_t epoch = 0;
    ClaimPhase claim = ClaimPhase::None;
    bool begun = false; // a grant was accepted here
    TimeMs claimUntil = 0;
    Reason releaseReason;
    Resend begin;
    std::uint32_t beginsSent = 0;
    Resend settleSend;
    wire::SettleT settle;
    bool replied = false;
    StartReply reply;
    bool ended = false;
    Outcome outcome;
    Resend outcomeSend;
    TimeMs receivedAt = 0;
    TimeMs endedAt = 0;
};

struct Refusal
{
    StartReply reply;
    TimeMs at = 0;
};

enum class MemberPhase { Reclaiming, Held, Running, Done };

// This agent's part of a gang.
struct GangMember
{
    std::string gang;
    std::string leader;
    std::uint32_t index = 0;
    MemberPhase phase = MemberPhase::Reclaiming;
    TimeMs holdUntil = 0;
    TimeMs leaseUntil = 0; // of Running and Done
    TimeMs nextRenew = 0;
    bool over = false; // the leader knows of the end, or the leader's lease has lapsed
    GangMemberDone done;
    TimeMs endedAt = 0;
};

// The leader's knowledge of one member.
struct MemberView
{
    std::string agent;
    bool held = false;
    bool running = false;
    bool gone = false; // reported its end, or can surely run no longer
    bool reported = false;
    TimeMs aliveAt = 0; // last time a lease was given to it
    GangMemberDone done;
    Resend send; // of Hold, GangStart or GangStop
};

enum class GangPhase { Holding, Claiming, Running, Stopping };

struct Gang
{
    std::string id; // the attempt
    std::string payload; // until GangStart
    GangPhase phase = GangPhase::Holding;
    TimeMs decideUntil = 0;
    bool started = false; // GangStart was sent
    Reason stopReason;
    std::vector<MemberView> members;
    std::size_t answerBytes = 0; // of the members that are done
    bool answersTooLong = false; // and were dropped
};

// Reports to one connected entry.
struct ReportTarget
{
    TimeMs sentAt = 0;
    std::uint64_t sentChange = 0;
    TimeMs intervalMs = 0;
};

struct Health
{
    std::set<std::string, std::less<>> failedJobs; // different jobs in a row that failed at once
    bool setAside = false;
    TimeMs probeAt = 0;
    TimeMs probeWait = 0;
    std::string probe; // attempt that is let through
};

struct Agent
{
    AgentOptions options;
    std::map<std::string, LocalTask, std::less<>> tasks;
    std::map<std::string, Attempt, std::less<>> attempts;
    std::set<std::string, std::less<>> open; // attempts that are not ended or not acknowledged
    std::map<std::string, Refusal, std::less<>> refusals;
    std::map<std::string, TimeMs, std::less<>> cancelledJobs;
    std::map<std::string, GangMember, std::less<>> members; // by gang
    std::map<std::string, Gang, std::less<>> gangs;
    // Newest epoch seen for a range, by region and range.
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> fences;
    std::map<std::string, ReportTarget, std::less<>> reportTargets;
    Health health;
    bool draining = false;
    std::uint64_t change = 1; // grows with every change that a report shows
    std::uint64_t reportSequence = 0;
    std::uint64_t tableVersion = 0;
    std::size_t answersKept = 0;
    std::size_t answerBytes = 0; // of the answers kept
    std::uint64_t ignoredStarts = 0; // beyond maxRefusals
    bool firstEventSeen = false; // has seen its first event
    TimeMs lastEventAt = 0;
    TimeMs leaseUntil = 0;
    TimeMs lastRenewalAt = 0; // acknowledged or not
    TimeMs nextExpiryAt = 0;
    std::deque<std::pair<std::string, Message>>
        messagesToSelf; // gang messages to this agent itself
};

using AgentEvent = std::variant<PeerMessage, PeerUp, PeerDown, TaskStarted, TaskFinished,
                                TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

Agent makeAgent(const AgentOptions &options);

// Handles Start, Cancel, Drain, ReportAck, OutcomeAck, JobQuery, all gang messages, BeginReply,
// SettleAck and Witness; ignores every other message. `table` is the table in force here.
void handleAgent(Agent &agent, const AgentEvent &event, const Table &table, TimeMs now,
                 Random &random, Outbox &out);

// True when nothing runs, is held or waits to be acknowledged.
bool agentIdle(const Agent &agent);

// The whole state as JSON for operators.
std::string dumpAgent(const Agent &agent, TimeMs now);

} // namespace flamingo

#endif
