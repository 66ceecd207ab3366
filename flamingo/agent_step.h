#ifndef FLAMINGO_AGENT_STEP_H
#define FLAMINGO_AGENT_STEP_H

// What the parts of the agent share: tasks.cc (tasks at the worker), attempts.cc (Start, claims,
// outcomes), gang.cc (gangs) and agent.cc (everything else). Used by the agent only.
//
// A function that ends or releases a task may erase it and other tasks. Loops over tasks, attempts
// and gangs therefore walk over a copy of the ids.

#include "flamingo/agent.h"
#include "flamingo/allocation.h"

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

struct AgentStep
{
    Agent &agent;
    const Table &table;
    TimeMs now;
    Random &random;
    Outbox &out;
};

// How a task or an attempt ended.
struct Ending
{
    Verdict verdict = Verdict::NotRun;
    Reason reason;
    std::string answer;
};

template <typename Map>
std::vector<std::string> idsOf(const Map &map)
{
    std::vector<std::string> ids;
    ids.reserve(map.size());
    for (const auto &entry : map)
        ids.push_back(entry.first);
    return ids;
}

inline LocalTask *findTask(Agent &agent, std::string_view id)
{
    const auto found = agent.tasks.find(id);
    return found == agent.tasks.end() ? nullptr : &found->second;
}

inline Attempt *findAttempt(Agent &agent, std::string_view id)
{
    const auto found = agent.attempts.find(id);
    return found == agent.attempts.end() ? nullptr : &found->second;
}

// ---- Resend ----

// Starts to repeat: the first repetition is due after about resendMs.
void armResend(const AgentStep &step, Resend &resend);
// True when a repetition is due; the next one is then due after about twice the wait.
bool resendDue(const AgentStep &step, Resend &resend);

bool validName(std::string_view name);
void sendTo(const AgentStep &step, std::string_view to, Message message);
// Sends a message; one to this agent itself is handled before handleAgent returns.
void sendGangMessage(const AgentStep &step, std::string_view to, Message message);

// ---- Tasks at the worker (tasks.cc) ----

struct TaskRequest
{
    std::string id;
    const JobSpec *spec = nullptr;
    std::string payload;
    bool guaranteed = false;
    bool member = false;
};

// Reserves the room and evicts the guests in it.
void reserveTask(const AgentStep &step, const TaskRequest &request, const Allocation &allocation);
AllocationRequest allocationRequest(const JobSpec &spec, bool guaranteed);
// Runs a task that waits and is not blocked; false while the worker's lease is not current.
bool runTask(const AgentStep &step, std::string_view id);
// Stops a task: one that was not issued ends at once with NotRun.
void stopTask(const AgentStep &step, std::string_view id, const Reason &reason);
// Frees the room of a task that was not issued, without a report.
void dropTask(const AgentStep &step, std::string_view id);
bool leaseCurrent(const AgentStep &step);
// Ends what lapsed while the agent was paused. Called before every event.
void checkLease(const AgentStep &step);
void stepTasks(const AgentStep &step);
void handleTaskStarted(const AgentStep &step, const TaskStarted &event);
void handleTaskFinished(const AgentStep &step, const TaskFinished &event);
void handleTaskCheckpointed(const AgentStep &step, const TaskCheckpointed &event);
void handleTaskStopped(const AgentStep &step, const TaskStopped &event);
void handleTaskUsage(const AgentStep &step, const TaskUsage &event);

// Worker health. False: the worker is set aside and refuses the job.
bool admitByHealth(const AgentStep &step, const JobSpec &spec, Reason &reason);
void recordProbe(const AgentStep &step, std::string_view id);
bool setAsideNow(const Agent &agent, TimeMs now);

// ---- Attempts (attempts.cc) ----

void handleStart(const AgentStep &step, std::string_view from, const Start &start);
void handleBeginReply(const AgentStep &step, const BeginReply &message);
void handleSettleAck(const AgentStep &step, const SettleAck &message);
void handleWitness(const AgentStep &step, const Witness &message);
void handleOutcomeAck(const AgentStep &step, const OutcomeAck &message);
void handleCancel(const AgentStep &step, const Cancel &message);
void cancelAttempt(const AgentStep &step, std::string_view id, const Reason &reason);
void stepAttempts(const AgentStep &step);
void forgetAnswer(Agent &agent, Attempt &attempt);
// The room of a single job may be free.
void attemptReady(const AgentStep &step, std::string_view id);
void concludeAttempt(const AgentStep &step, std::string_view id, const Ending &ending);
void acceptAttempt(const AgentStep &step, Attempt &attempt);
void requestClaim(const AgentStep &step, Attempt &attempt);

// ---- Gangs (gang.cc) ----

void startGang(const AgentStep &step, Attempt &attempt, const Start &start);
void gangClaimed(const AgentStep &step, std::string_view gang);
void stopGang(const AgentStep &step, std::string_view gang, const Reason &reason);
void memberReady(const AgentStep &step, std::string_view gang);
void memberLapsed(const AgentStep &step, std::string_view gang);
void memberEnded(const AgentStep &step, std::string_view gang, const Ending &ending);
void drainMembers(const AgentStep &step);
void stepGangs(const AgentStep &step);
void handleGangMessage(const AgentStep &step, std::string_view from, const Message &message);
bool isGangMessage(const Message &message);
bool gangsIdle(const Agent &agent);

} // namespace flamingo

#endif
