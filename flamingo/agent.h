#ifndef FLAMINGO_AGENT_H
#define FLAMINGO_AGENT_H

// The state machine of the agent of one worker. The agent alone allocates the worker's accelerators
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
//     no answer.
//   - Deliver TaskFinished and TaskStopped at least once, also when the worker was unreachable in
//     between; the agent never polls for them. TaskStopped also answers a StopTask for a task that
//     the worker does not have (any more).

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
    TimeMs checkpointBoundMs = 2000; // then a borrowing task is stopped without a checkpoint
    TimeMs stopBoundMs = 500; // within which a worker stops a task; interval of repeated StopTasks
    TimeMs holdMs = 2000; // validity of a gang member's hold; a guaranteed gang adds its evictions
    TimeMs gangLeaseMs = 3000; // granted by the gang's leader to each member
    TimeMs gangStartMs = 1000; // after the decision; a member unconfirmed by then ends the gang
    TimeMs gangRenewMs = 1000; // between a member's GangRenew messages
    TimeMs workerLeaseMs = 3000; // the worker stops its tasks this long after the last renewal
    TimeMs answerRetentionMs = 600000; // for ended attempts, refusals, cancelled jobs, done members
    std::size_t maxAnswers = 1000; // stored; same limit for attempts that run or wait for an ack
    std::size_t maxDetailBytes = 1024; // of the text of a reason
    std::size_t maxAnswerBytes = 524288; // of one answer; half of a frame
    std::size_t maxAnswerBytesTotal = 8388608; // stored; a quarter of the memory budget of 32 MB
    std::size_t maxAttempts = 10000; // stored, ended ones included
    std::size_t maxRefusals = 10000; // stored; beyond that a Start gets no reply
    std::size_t maxHolds = 64; // gang members of this agent that are not done
    std::size_t maxGangs = 16; // led by this agent at the same time
    std::size_t maxPeers = 64; // entries that receive reports
    TimeMs claimBoundMs = 5000; // for the owner's reply to a Begin; a job deadline may shorten it
    TimeMs releaseBoundMs = 1000; // for the owner's ack of a released claim
    TimeMs reclaimTimeoutMs = 10000; // for a worker that does not stop borrowing tasks or answer
    TimeMs taskStartBoundMs = 10000; // then a task whose RunTask got no answer is stopped
    // taskStartBoundMs of urgent idempotent jobs. They have to start within 3,300 ms; a third of
    // that leaves time for a second try on another worker.
    TimeMs urgentStartMs = 1100;
    TimeMs usageTrustMs = 5000; // after this run time usage may lower the accounted size
    TimeMs quickFailureMs = 2000; // a failure this soon after the start counts against the worker
    std::uint32_t setAsideAfterFailures = 3; // of different jobs in a row
    TimeMs probeMs = 10000; // until the first probe job; doubles with each failed probe
    TimeMs probeMaxMs = 300000;
    TimeMs reportIntervalMs = 1000; // until a ReportAck sets another
    TimeMs reportMinGapMs = 50; // between two reports to one entry
    TimeMs resendMs = 200; // before the first resend of an unanswered message; doubles
    TimeMs resendMaxMs = 5000;
};

// ---- State ----

// Timer that resends a message with exponential back-off until it is answered.
struct Resend
{
    bool pending = false; // not answered yet
    TimeMs next = 0; // time of the next resend
    TimeMs wait = 0; // current back-off
};

enum class TaskPhase { Waiting, Running, Checkpointing, Stopping };

// An allocation on the worker and its task: a single job or one member of a gang.
struct LocalTask
{
    std::string id; // the attempt, also the task's id at the worker
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
    std::uint32_t cores = 0; // as accounted: the declared size, later corrected by usage
    std::uint32_t memoryMib = 0;
    TaskPhase phase = TaskPhase::Waiting;
    std::set<std::string, std::less<>> blockers; // evicted tasks that must be erased first
    bool issued = false; // RunTask was sent
    bool started = false; // the worker confirmed the start
    bool successRecorded = false; // in Health, after it ran longer than quickFailureMs
    bool endReported = false; // to the entry or leader, before the worker confirmed the stop
    TimeMs reservedAt = 0;
    TimeMs issuedAt = 0;
    TimeMs startedAt = 0;
    TimeMs phaseUntil = 0; // bound of Checkpointing and Stopping
    TimeMs nextStop = 0; // time of the next StopTask
    Reason stopReason; // of Checkpointing and Stopping
    std::string checkpoint; // newest one; RunTask resumes from it
};

enum class ClaimPhase { None, Requested, Granted, Releasing };

// One Start: the state of the protocol with its entry and with the owner of its key.
struct Attempt
{
    std::string id;
    JobSpec spec; // without payload
    std::string entry;
    bool guaranteed = false;
    bool gang = false; // led by this agent
    std::string owner; // of the key range
    std::uint32_t range = 0;
    std::uint64_t epoch = 0; // of the range's owner
    ClaimPhase claim = ClaimPhase::None;
    bool grantAccepted = false;
    TimeMs claimUntil = 0; // bound of Requested and Releasing
    Reason releaseReason; // why the claim was released or denied
    Resend beginSend; // of Begin
    std::uint32_t beginsSent = 0;
    Resend settleSend;
    wire::SettleT settle;
    bool replied = false; // to the Start
    StartReply reply;
    bool ended = false;
    Outcome outcome;
    Resend outcomeSend;
    TimeMs receivedAt = 0;
    TimeMs endedAt = 0;
};

// A refused Start, kept so that a late copy of it is answered alike.
struct Refusal
{
    StartReply reply;
    TimeMs at = 0;
};

enum class MemberPhase { Reclaiming, Held, Running, Done };

// This agent's member of a gang.
struct GangMember
{
    std::string gang;
    std::string leader;
    std::uint32_t index = 0;
    MemberPhase phase = MemberPhase::Reclaiming;
    TimeMs holdUntil = 0; // of Reclaiming and Held
    TimeMs leaseUntil = 0; // given by the leader; of Running and Done
    TimeMs nextRenew = 0; // next GangRenew, GangStop or GangMemberDone to the leader
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
    bool ended = false; // reported its end, or its leases have expired for certain
    bool doneReceived = false; // GangMemberDone was received, see `done`
    TimeMs leaseGivenAt = 0; // last time the leader gave it a lease
    GangMemberDone done;
    Resend send; // of Hold, GangStart or GangStop, by phase
};

enum class GangPhase { Holding, Claiming, Running, Stopping };

// A gang that this agent leads.
struct Gang
{
    std::string id; // the attempt
    std::string payload; // cleared when GangStart is sent
    GangPhase phase = GangPhase::Holding;
    TimeMs decideUntil = 0; // every member must hold by then
    bool started = false; // GangStart was sent
    Reason stopReason;
    std::vector<MemberState> members;
    std::size_t answerBytes = 0; // sum over the members that are done
    bool answersTooLong = false; // above maxAnswerBytes in sum; the answers were dropped
};

// A connected entry that receives reports.
struct ReportTarget
{
    TimeMs sentAt = 0; // time of the last report
    std::uint64_t sentChangeCount = 0; // Agent::changeCount in the last report
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
    TimeMs probeWait = 0; // back-off
    std::string probe; // attempt admitted as the probe
};

struct Agent
{
    AgentOptions options;
    std::map<std::string, LocalTask, std::less<>> tasks;
    std::map<std::string, Attempt, std::less<>> attempts;
    std::set<std::string, std::less<>> openAttempts; // not ended or not acknowledged
    std::map<std::string, Refusal, std::less<>> refusals;
    std::map<std::string, TimeMs, std::less<>> cancelledJobs; // time of the Cancel
    std::map<std::string, GangMember, std::less<>> members; // by gang
    std::map<std::string, Gang, std::less<>> gangs; // led by this agent
    // Newest epoch received in a Witness, by region and range.
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> fences;
    std::map<std::string, ReportTarget, std::less<>> reportTargets;
    Health health;
    bool draining = false;
    std::uint64_t changeCount = 1; // counts the changes that a report shows
    std::uint64_t reportSequence = 0;
    std::uint64_t tableVersion = 0; // as of the last event
    std::size_t storedAnswers = 0;
    std::size_t answerBytes = 0; // of the stored answers
    std::uint64_t ignoredStarts = 0; // without a reply, see maxRefusals
    bool firstEventSeen = false;
    TimeMs lastEventAt = 0;
    TimeMs leaseUntil = 0; // of the worker, as far as renewals were acknowledged
    TimeMs lastRenewalAt = 0; // acknowledged or not
    TimeMs nextExpiryAt = 0;
    // Gang messages between the leader and the member role of this agent, with their sender.
    std::deque<std::pair<std::string, Message>> messagesToSelf;
};

using AgentEvent = std::variant<PeerMessage, PeerUp, PeerDown, TaskStarted, TaskFinished,
                                TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

Agent makeAgent(const AgentOptions &options);

// Applies one event to `agent` and appends the resulting messages and worker commands to `out`. Of
// the messages it handles Start, Cancel, Drain, ReportAck, OutcomeAck, JobQuery, BeginReply,
// SettleAck, Witness and all gang messages, and ignores the rest. `table` is the newest table that
// this process has applied. A `now` before that of the last event counts as that time.
void handleAgent(Agent &agent, const AgentEvent &event, const Table &table, TimeMs now,
                 Random &random, Outbox &out);

// True when there is no task and no active gang, and every attempt has ended and its Outcome and
// Settle are acknowledged.
bool agentIdle(const Agent &agent);

// The whole state as JSON for operators.
std::string dumpAgent(const Agent &agent, TimeMs now);

} // namespace flamingo

#endif
