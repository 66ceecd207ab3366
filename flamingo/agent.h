#ifndef FLAMINGO_AGENT_H
#define FLAMINGO_AGENT_H

// The state machine of the agent of one worker. Only the agent allocates the worker's accelerators
// and slots: it admits attempts, reserves resources, evicts borrowing tasks for guaranteed starts
// and reports how each attempt ended.
//
// Life cycle of an attempt: the agent answers a Start with a refusing StartReply, or with an
// accepting StartReply and later one Outcome. It resends the Outcome until the entry acknowledges
// it. A repeated Start is answered from the stored reply and never runs twice. A refused Start is
// never accepted later.
//
// What NotRun means in an Outcome or a refusing StartReply:
//   - No RunTask was issued for the attempt, or the worker answered TaskStarted{ok = false}. If the
//     key's owner may have granted the attempt, the owner has acknowledged the release of the
//     claim. Exception: after a denial NotRun is sent at once, and the agent resends the release
//     until the owner acknowledges it.
//   - In an Outcome of idempotent work, with any reason but Cancelled, also: the work ran, but the
//     worker (for a gang: every member) confirmed its stop or end, no answer was delivered, and the
//     work is safe to repeat. With reason Evicted the answer field holds the newest checkpoint of a
//     single job, if there is one. The entry starts such a job again. If it ends the job instead,
//     it must not report to the caller that the request did not run.
// Work that is not idempotent and was issued to the worker ends as Ran or MayHaveRun, also when a
// checkpoint of it exists.
//
// Requirements on the caller, the process that hosts the agent:
//   - Deliver a Tick every 100 ms, and a LeaseRenewed after each renewal of the worker's leases,
//     about three times per workerLeaseMs. When no renewal succeeds for workerLeaseMs, the agent
//     treats the leases as lapsed: it stops its tasks and refuses work.
//   - Before the first event, stop the tasks that an earlier incarnation left on the worker.
//   - Deliver TaskStarted{ok = false} only if the worker refused the task, not when a RunTask got
//     no answer. Set mayHaveStarted if an earlier call to start the task got no answer.
//   - Deliver TaskFinished and TaskStopped at least once, also when the worker was unreachable in
//     between; the agent never polls for them. TaskStopped also answers a StopTask for a task that
//     the worker does not have.

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
    // A borrowing task that has not written its checkpoint within this time is stopped without one.
    TimeMs checkpointBoundMs = 2000;
    // A worker stops a task within this time. StopTask is repeated at this interval.
    TimeMs stopBoundMs = 500;
    // Duration of a gang member's hold. In a guaranteed gang, checkpointBoundMs and stopBoundMs are
    // added for the evictions.
    TimeMs holdMs = 2000;
    TimeMs gangLeaseMs = 3000; // lease that the gang's leader gives to each member
    // A gang is stopped when a member has not confirmed its start this long after its GangStart.
    TimeMs gangStartMs = 1000;
    TimeMs gangRenewMs = 1000; // interval between a member's GangRenew messages
    TimeMs workerLeaseMs = 3000; // the worker stops its tasks this long after the last renewal
    // Retention time of ended attempts, refusals, cancelled jobs and ended gang members.
    TimeMs answerRetentionMs = 600000;
    std::size_t maxAnswers = 1000; // limit of stored answers, and of Agent::openAttempts
    std::size_t maxDetailBytes = 1024; // size limit of the text of a reason
    std::size_t maxAnswerBytes = 524288; // size limit of one answer: half of a frame
    // Size limit of all stored answers: a quarter of the memory budget of 32 MB.
    std::size_t maxAnswerBytesTotal = 8388608;
    std::size_t maxAttempts = 10000; // limit of stored attempts, ended ones included
    // Limit of stored refusals and of stored cancelled jobs. At the limit of refusals a new Start
    // gets no reply.
    std::size_t maxRefusals = 10000;
    std::size_t maxHolds = 64; // limit of this agent's gang members that have not ended
    std::size_t maxGangs = 16; // limit of gangs that this agent leads at the same time
    std::size_t maxPeers = 64; // limit of entries that receive reports
    // Time limit for the owner's reply to a Begin. The job's deadline may shorten it.
    TimeMs claimBoundMs = 5000;
    TimeMs releaseBoundMs = 1000; // time limit for the owner's ack of a released claim
    // A reserved task is given up when the worker has not freed its resources within this time.
    TimeMs reclaimTimeoutMs = 10000;
    // A task is stopped when the worker has not answered its RunTask within this time.
    TimeMs taskStartBoundMs = 10000;
    // Replaces taskStartBoundMs for urgent idempotent jobs. They have to start within 3,300 ms; a
    // third of that leaves time for a second try on another worker.
    TimeMs urgentStartMs = 1100;
    // Usage reports can lower the cores and memory accounted to a task once it has run this long.
    TimeMs usageTrustMs = 5000;
    TimeMs quickFailureMs = 2000; // a failure this soon after the start counts against the worker
    // The worker is set aside after this many different jobs in a row have failed; see Health.
    std::uint32_t setAsideAfterFailures = 3;
    TimeMs probeMs = 10000; // time until the first probe job; doubles with each failed probe
    TimeMs probeMaxMs = 300000;
    TimeMs reportIntervalMs = 1000; // used until a ReportAck sets another interval
    TimeMs reportMinGapMs = 50; // shortest time between two reports to one entry
    TimeMs resendMs = 200; // delay before the first resend of an unanswered message; then doubles
    TimeMs resendMaxMs = 5000;
};

// ---- State ----

// Timer that resends a message with exponential back-off until it is answered.
struct Resend
{
    bool pending = false; // the message is not answered yet
    TimeMs next = 0; // time of the next resend
    TimeMs wait = 0; // current back-off
};

enum class TaskPhase { Waiting, Running, Checkpointing, Stopping };

// A task on the worker and its allocation. The task is a single job or one member of a gang.
struct LocalTask
{
    std::string id; // id of the attempt; the worker uses it as the task's id
    std::string job;
    std::string organisation;
    std::string payload; // cleared when RunTask is sent
    bool idempotent = true;
    bool checkpointable = false;
    bool guaranteed = false;
    bool urgent = false;
    bool gangMember = false; // false: a single job
    std::uint32_t gangSize = 1;
    std::uint64_t mask = 0; // accelerators, one bit each
    // Cores and memory accounted to the task: the declared size, corrected by usage reports.
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TaskPhase phase = TaskPhase::Waiting;
    std::set<std::string, std::less<>> blockers; // evicted tasks that must end before RunTask
    bool issued = false; // RunTask was sent
    bool started = false; // the worker confirmed the start
    bool successRecorded = false; // Health counts it: it ran longer than quickFailureMs
    // The end was reported to the entry or the gang's leader before the worker confirmed the stop.
    bool endReported = false;
    TimeMs reservedAt = 0;
    TimeMs issuedAt = 0;
    TimeMs startedAt = 0;
    TimeMs phaseUntil = 0; // time limit of Checkpointing and Stopping
    TimeMs nextStop = 0; // time of the next StopTask
    Reason stopReason; // set in Checkpointing and Stopping
    std::string checkpoint; // newest checkpoint; RunTask resumes from it
};

enum class ClaimPhase { None, Requested, Granted, Releasing };

// State of one Start: the protocol with the entry that sent it, and with the owner of its key.
struct Attempt
{
    std::string id;
    JobSpec spec; // without payload
    std::string entry;
    bool guaranteed = false;
    bool gang = false; // the job is a gang, led by this agent
    std::string owner; // process that owns the key's range
    std::uint32_t range = 0;
    std::uint64_t epoch = 0; // epoch of that owner
    ClaimPhase claim = ClaimPhase::None;
    bool grantAccepted = false;
    TimeMs claimUntil = 0; // time limit of Requested and Releasing
    Reason releaseReason; // why the claim was released or denied
    Resend beginSend; // resends Begin
    std::uint32_t beginsSent = 0;
    Resend settleSend;
    wire::SettleT settle;
    bool replied = false; // a StartReply was sent
    StartReply reply;
    bool ended = false;
    Outcome outcome;
    Resend outcomeSend;
    TimeMs receivedAt = 0;
    TimeMs endedAt = 0;
};

// A refused Start, kept so that a late copy of it gets the same answer.
struct Refusal
{
    StartReply reply;
    TimeMs at = 0; // time of the refusal
};

// Reclaiming: evicted tasks have not ended yet.
enum class MemberPhase { Reclaiming, Held, Running, Done };

// This agent's member of a gang.
struct GangMember
{
    std::string gang;
    std::string leader;
    std::uint32_t index = 0;
    MemberPhase phase = MemberPhase::Reclaiming;
    TimeMs holdUntil = 0; // end of the hold, in Reclaiming and Held
    TimeMs leaseUntil = 0; // end of the lease from the leader, in Running and Done
    TimeMs nextRenew = 0; // time of the next GangRenew, GangStop or GangMemberDone to the leader
    bool endConfirmed = false; // the leader confirmed the end, or its lease has lapsed
    GangMemberDone done;
    TimeMs endedAt = 0;
};

// State that the leader keeps for one member.
struct MemberState
{
    std::string agent;
    bool held = false; // confirmed its hold
    bool running = false; // confirmed its start
    bool ended = false; // reported its end, or all its leases have certainly expired
    bool doneReceived = false; // GangMemberDone was received, see `done`
    TimeMs leaseGivenAt = 0; // last time the leader gave it a lease
    TimeMs workerSeenAt = 0; // its worker confirmed its lease then or later
    GangMemberDone done;
    Resend send; // resends Hold, GangStart or GangStop, depending on the gang's phase
};

enum class GangPhase { Holding, Claiming, Running, Stopping };

// A gang that this agent leads.
struct Gang
{
    std::string id; // id of the attempt
    std::string payload; // cleared when GangStart is sent
    GangPhase phase = GangPhase::Holding;
    TimeMs decideUntil = 0; // the gang is stopped if a member has not confirmed its hold by then
    bool started = false; // GangStart was sent
    Reason stopReason;
    std::vector<MemberState> members;
    std::size_t answerBytes = 0; // size of the answers of all members that have ended
    bool answersTooLong = false; // answerBytes exceeded maxAnswerBytes; the answers were dropped
};

// A connected entry that receives reports.
struct ReportTarget
{
    TimeMs sentAt = 0; // time of the last report
    std::uint64_t sentChangeCount = 0; // Agent::changeCount at the last report
    TimeMs intervalMs = 0;
};

// Circuit breaker of the worker: after several failed jobs it is set aside, which means that it
// gets no work except one probe job at a time.
struct Health
{
    // Different jobs in a row that failed to start, or failed within quickFailureMs of the start.
    std::set<std::string, std::less<>> failedJobs;
    bool setAside = false;
    TimeMs probeAt = 0; // earliest time of the next probe
    TimeMs probeWait = 0; // current back-off
    std::string probe; // id of the attempt admitted as the probe
};

struct Agent
{
    AgentOptions options;
    std::map<std::string, LocalTask, std::less<>> tasks;
    std::map<std::string, Attempt, std::less<>> attempts;
    // Attempts that have not ended, or whose Outcome or Settle is not acknowledged.
    std::set<std::string, std::less<>> openAttempts;
    std::map<std::string, Refusal, std::less<>> refusals;
    std::map<std::string, TimeMs, std::less<>> cancelledJobs; // time of Cancel by job
    std::map<std::string, GangMember, std::less<>> members; // by gang id
    std::map<std::string, Gang, std::less<>> gangs; // led by this agent
    // Newest epoch received in a Witness, by region and range.
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> fences;
    std::map<std::string, ReportTarget, std::less<>> reportTargets;
    Health health;
    bool draining = false;
    bool tookNoJobs = false; // Report::setAside at the last event
    std::uint64_t changeCount = 1; // counts the changes that a report shows
    std::uint64_t reportSequence = 0;
    std::uint64_t tableVersion = 0; // version of the table at the last event
    std::size_t storedAnswers = 0;
    std::size_t answerBytes = 0; // size of the stored answers
    std::uint64_t ignoredStarts = 0; // Starts that got no reply, see maxRefusals
    bool firstEventSeen = false;
    TimeMs lastEventAt = 0;
    TimeMs leaseUntil = 0; // end of the worker's lease after the last acknowledged renewal
    TimeMs lastRenewalAt = 0; // not used
    TimeMs nextExpiryAt = 0; // time at which expired records are erased next
    // Gang messages, with their sender, between the leader and the member role of this agent.
    std::deque<std::pair<std::string, Message>> messagesToSelf;
};

using AgentEvent = std::variant<PeerMessage, PeerUp, PeerDown, TaskStarted, TaskFinished,
                                TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

Agent makeAgent(const AgentOptions &options);

// Applies one event to `agent` and appends the resulting messages and worker commands to `out`. Of
// the messages it handles Start, Cancel, Drain, ReportAck, OutcomeAck, JobQuery, BeginReply,
// SettleAck, Witness and all gang messages, and ignores the rest. `table` is the newest table that
// this process has applied. If `now` is before the time of the last event, that time is used.
void handleAgent(Agent &agent, const AgentEvent &event, const Table &table, TimeMs now,
                 Random &random, Outbox &out);

// True when there is no task and no active gang, and every attempt has ended and its Outcome and
// Settle are acknowledged.
bool agentIdle(const Agent &agent);

// The whole state as JSON for operators.
std::string dumpAgent(const Agent &agent, TimeMs now);

} // namespace flamingo

#endif
