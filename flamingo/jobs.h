#ifndef FLAMINGO_JOBS_H
#define FLAMINGO_JOBS_H

// One job from its submission to its reply.
//
//   Queued -> Starting -> Running -> Finished
//
// Starting ends with the StartReply or a timeout; refused and evicted jobs return to the queue.
// Asking waits for the owner of the key, Forwarded for an entry of another region, Cancelling for
// the agents that may still run an attempt. An attempt stays open until its end is known; a job
// with an open attempt is never answered as NotRun.

#include "flamingo/entry.h"

namespace flamingo {

// Takes a job in, joins one in progress, or refuses it. `wait`: reply at the end.
void submitJob(EntryContext context, const Waiter &waiter, const JobSpec &spec, bool wait);

// Places queued jobs as far as there is room.
void schedule(EntryContext context);

void onStartReply(EntryContext context, const StartReply &reply);
void onOutcome(EntryContext context, std::string_view from, const Outcome &outcome);
void onKeyReply(EntryContext context, const KeyReply &reply);
void onForwardReply(EntryContext context, const ForwardReply &reply);
void onForwardedJobReply(EntryContext context, std::string_view from, const JobReply &reply);
void onEntryDown(EntryContext context, std::string_view process);

// Disconnected: starts without a reply are tried elsewhere. Silent: running jobs are lost too.
// Restarted: the process began anew and knows nothing of its former attempts.
enum class Loss { Disconnected, Unreachable, Restarted };
void onAgentLost(EntryContext context, AgentId agent, Loss loss);

// A report of the agent lists the attempt; a job that was thought lost continues.
void onAttemptListed(EntryContext context, std::string_view attempt);

// Replies to `waiter` at the end of the job, or at once when `wait` is false.
void addWaiter(EntryContext context, Job &job, const Waiter &waiter, bool wait);

void cancelJob(EntryContext context, Job &job);
void fireTimers(EntryContext context);
void forgetFinished(EntryContext context);

Job *findJob(Entry &entry, std::string_view id);

// Sends the result of a job, or of a refusal, to one waiter.
void answer(EntryContext context, const Waiter &waiter, Reply reply);
Reply resultOf(const Job &job);

// True for a job that was refused here on behalf of another entry. What became of it elsewhere is
// known to that entry only.
bool refusedForPeer(const Job &job);

// A connected entry of the region; empty when there is none. An empty region means any other one.
std::string connectedEntryOf(EntryContext context, std::string_view region);

} // namespace flamingo

#endif
