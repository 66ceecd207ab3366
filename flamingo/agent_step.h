#ifndef FLAMINGO_AGENT_STEP_H
#define FLAMINGO_AGENT_STEP_H

// Internal interface between the source files of the agent: tasks.cc (tasks at the worker),
// attempts.cc (Start, claims, outcomes), gang.cc (gangs) and agent.cc (everything else). Not for
// use outside the agent.
//
// A function that ends, stops or drops a task may erase it and other tasks. Loops over tasks,
// attempts and gangs therefore iterate over a copy of the ids, and look each of them up again.

#include "flamingo/agent.h"
#include "flamingo/allocation.h"

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

// The agent and the inputs and output of the event being handled.
struct AgentStep
{
    Agent &agent;
    const Table &table;
    TimeMs now;
    Random &random;
    Outbox &out;
};

// Result of a task or an attempt that ended.
struct Ending
{
    Verdict verdict = Verdict::NotRun;
    Reason reason;
    std::string answer; // an evicted task has its newest checkpoint here
};

// Returns a copy of the keys, so that a loop over them may erase elements of the map.
template <typename Map>
std::vector<std::string> copyKeys(const Map &map)
{
    std::vector<std::string> keys;
    keys.reserve(map.size());
    for (const auto &entry : map)
        keys.push_back(entry.first);
    return keys;
}

// Returns null when there is no such task.
inline LocalTask *findTask(Agent &agent, std::string_view id)
{
    const auto found = agent.tasks.find(id);
    return found == agent.tasks.end() ? nullptr : &found->second;
}

// Returns null when there is no such attempt.
inline Attempt *findAttempt(Agent &agent, std::string_view id)
{
    const auto found = agent.attempts.find(id);
    return found == agent.attempts.end() ? nullptr : &found->second;
}

// ---- Resend ----

// Starts the resend timer; the first resend is due after resendMs.
void armResend(const AgentStep &step, Resend &resend);
// True when the message is to be sent again. Then doubles the back-off, up to resendMaxMs, and sets
// the next resend to half of it plus random jitter of up to the other half.
bool resendDue(const AgentStep &step, Resend &resend);

// True when the name is neither empty nor longer than maxNameBytes.
bool validName(std::string_view name);
void sendTo(const AgentStep &step, std::string_view to, Message message);
// Sends a gang message. A message to this agent itself is handled before handleAgent returns.
void sendGangMessage(const AgentStep &step, std::string_view to, Message message);

// ---- Tasks at the worker (tasks.cc) ----

struct TaskRequest
{
    std::string id;
    const JobSpec *spec = nullptr;
    std::string payload;
    bool guaranteed = false;
    bool gangMember = false;
};

// Adds a Waiting task with the allocation, and evicts the tasks listed in Allocation::evict.
void reserveTask(const AgentStep &step, const TaskRequest &request, const Allocation &allocation);
AllocationRequest allocationRequest(const JobSpec &spec, bool guaranteed);
// Sends RunTask for a Waiting task without blockers. Returns false and does nothing when the task
// is not in that state or the worker's lease has lapsed.
bool runTask(const AgentStep &step, std::string_view id);
// Sends StopTask; the task stays until the worker confirms its end. A task for which no RunTask was
// sent is erased and ends at once with NotRun.
void stopTask(const AgentStep &step, std::string_view id, const Reason &reason);
// Erases a task for which no RunTask was sent, without reporting an end.
void dropTask(const AgentStep &step, std::string_view id);
// True while the worker's lease, as last acknowledged, has not lapsed.
bool leaseCurrent(const AgentStep &step);
// Time since the worker last confirmed its lease.
TimeMs workerAgeMs(const AgentStep &step);
// When the worker's lease has lapsed, stops the tasks for which RunTask was sent. After a pause of
// this process of a lease and a stop, reports their ends at once as unconfirmed. Called before
// every event.
void checkLease(const AgentStep &step);
// Applies the time limits of all tasks. Called on Tick, as are stepAttempts and stepGangs.
void stepTasks(const AgentStep &step);
void handleTaskStarted(const AgentStep &step, const TaskStarted &event);
void handleTaskFinished(const AgentStep &step, const TaskFinished &event);
void handleTaskCheckpointed(const AgentStep &step, const TaskCheckpointed &event);
void handleTaskStopped(const AgentStep &step, const TaskStopped &event);
void handleTaskUsage(const AgentStep &step, const TaskUsage &event);

// Returns false and sets `reason` when the worker is set aside by its circuit breaker (`Health` in
// agent.h) and the job may not run as its probe.
bool admitByHealth(const AgentStep &step, const JobSpec &spec, Reason &reason);
// Records the attempt as the probe if the worker is set aside.
void recordProbe(const AgentStep &step, std::string_view id);
// True while a worker that is set aside waits for its next probe time or its probe runs. Unlike
// Health::setAside, false once a probe is due, because a job may then be admitted as the probe.
bool rejectsAllJobs(const Agent &agent, TimeMs now);

// ---- Attempts (attempts.cc) ----

void handleStart(const AgentStep &step, std::string_view from, const Start &start);
void handleBeginReply(const AgentStep &step, const BeginReply &message);
void handleSettleAck(const AgentStep &step, const SettleAck &message);
void handleWitness(const AgentStep &step, const Witness &message);
void handleOutcomeAck(const AgentStep &step, const OutcomeAck &message);
void handleCancel(const AgentStep &step, const Cancel &message);
// Stops the gang or task of the attempt. If the attempt waits for the owner's grant, also releases
// the claim.
void cancelAttempt(const AgentStep &step, std::string_view id, const Reason &reason);
void stepAttempts(const AgentStep &step);
// Drops the stored answer of an attempt and its share of the answer counters.
void dropAnswer(Agent &agent, Attempt &attempt);
// Runs the task of a single job once its evictions are complete and, if it needs a claim, the claim
// is granted.
void runIfReady(const AgentStep &step, std::string_view id);
// Called when the task or gang of an attempt ended. If the attempt did not run, its claim is
// released first. Then the attempt ends and its Outcome is sent.
void concludeAttempt(const AgentStep &step, std::string_view id, const Ending &ending);
// Sends the accepting StartReply.
void acceptAttempt(const AgentStep &step, Attempt &attempt);
// Sends Begin to the key's owner and waits for the grant.
void requestClaim(const AgentStep &step, Attempt &attempt);

// ---- Gangs (gang.cc) ----

// Leader: creates the gang of an attempt and sends a Hold to every member.
void startGang(const AgentStep &step, Attempt &attempt, const Start &start);
// Leader: the claim was granted. Starts the members if their holds are still valid.
void handleGangClaimed(const AgentStep &step, std::string_view gang);
// Leader: sends GangStop to every member that has not ended. The attempt ends when all have, or
// at once if no GangStart was sent.
void stopGang(const AgentStep &step, std::string_view gang, const Reason &reason);
// Member: confirms the hold to the leader once all evicted tasks have ended.
void confirmHoldIfReady(const AgentStep &step, std::string_view gang);
// Member: its task is being stopped because the worker's lease lapsed. Reports that to the leader
// on the next Tick.
void handleMemberLeaseLapsed(const AgentStep &step, std::string_view gang);
// Member: its task ended. Reports the end to the leader until the leader confirms it.
void handleMemberEnded(const AgentStep &step, std::string_view gang, const Ending &ending);
// Stops gangs in phase Holding and members in Reclaiming or Held. Running ones may finish.
// The worker confirmed its lease after a renewal had failed: the members that run renew at the next
// tick, so that their leaders count the confirmation in time.
void handleLateLeaseRenewal(const AgentStep &step);
void drainMembers(const AgentStep &step);
void stepGangs(const AgentStep &step);
void handleGangMessage(const AgentStep &step, std::string_view from, const Message &message);
bool isGangMessage(const Message &message);
// True when no gang is led here and every member's end is confirmed or its lease has lapsed.
bool gangsIdle(const Agent &agent);

} // namespace flamingo

#endif
