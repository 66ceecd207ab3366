#ifndef FLAMINGO_JOBS_H
#define FLAMINGO_JOBS_H

// One job of an entry, from its submission to the reply.
//
//   Queued -> Starting -> Running -> Finished
//
// Starting ends with the StartReply or a timeout. A job that an agent evicted, or refused for a
// reason that may pass, returns to the queue. In four further states a job waits for other
// processes:
//
//   QueryingOwner     for the result of a keyed job, from the owner of its key
//   WaitingForRegion  for a connection to an entry of its home region, at most regionWaitMs
//   Forwarded         for the reply of an entry of another region
//   Cancelling        for the agents that may still run an attempt of a cancelled job
//
// An attempt stays open until its end is reported, its agent restarts or its job finishes. A job
// with an open attempt may still run, so its verdict is never NotRun.
//
// EntryOptions::maxJobs and maxQueued bound the number of jobs. EntryOptions::maxAttempts and the
// retry budget bound their retries.
//
// All functions with an EntryContext change its entry and append messages and replies to its
// outbox.

#include "flamingo/entry.h"

namespace flamingo {

// Queues or forwards a new job, joins a job with the same key or id, or sends a refusal. `wait`
// true: the waiter is answered when the job ends; false: as soon as the job is accepted or refused.
void submitJob(EntryContext context, const Waiter &waiter, const JobSpec &spec, bool wait);

// Starts queued jobs that fit into the free capacity. Examines the whole queue when capacity was
// freed or the last pass was incomplete, and otherwise only jobs submitted since the last pass.
void schedule(EntryContext context);

// The leader of an attempt accepted or refused its Start.
void onStartReply(EntryContext context, const StartReply &reply);

// Acknowledges the outcome to `from`, then finishes, retries or requeues the job.
void onOutcome(EntryContext context, std::string_view from, const Outcome &outcome);

// Finishes a job in QueryingOwner with the result of its key. If the key is unclaimed, requeues the
// job, or finishes it after its last attempt.
void onKeyReply(EntryContext context, const KeyReply &reply);

// Finishes a forwarded job, or requeues it if it was offered to another region and refused there.
void onForwardReply(EntryContext context, const ForwardReply &reply);

// Reply of the entry `from` to the periodic query of a job that was forwarded to it: finishes a job
// that has ended there, and forwards one again that `from` does not have.
void onForwardedJobReply(EntryContext context, std::string_view from, const JobReply &reply);

// An entry is connected: forwards the jobs that wait for an entry of its region.
void onEntryUp(EntryContext context);

// The connection to an entry closed: jobs forwarded to it are forwarded to another entry of their
// home region, or requeued if they were offered for lack of capacity.
void onEntryDown(EntryContext context, std::string_view process);

// What happened to an agent, and which of the attempts that it leads are lost:
//   Disconnected  the attempts without an accepting StartReply
//   Unreachable   all, also running ones
//   Restarted     those of earlier incarnations, of which the new process has no record
enum class AgentLoss { Disconnected, Unreachable, Restarted };

// Retries the jobs of lost attempts; queries the key's owner first if the job is not idempotent and
// its Start was accepted.
void onAgentLost(EntryContext context, AgentId agent, AgentLoss loss);

// The agent's report lists the attempt. A job returns to Running if it was in QueryingOwner because
// the agent had been unreachable.
void onAttemptListed(EntryContext context, std::string_view attempt);

// The agent's report lists the attempt: cancels it again if it was cancelled and its end has not
// been reported. A Cancel may be lost with a connection, and the task would run on.
void repeatCancel(EntryContext context, std::string_view attempt);

// Forgets Cancels without a reported end after EntryOptions::finishedRetentionMs.
void removeOldCancels(EntryContext context);

// Replies to `waiter` when the job ends, or immediately with its state when `wait` is false.
void addWaiter(EntryContext context, Job &job, const Waiter &waiter, bool wait);

// Finishes a job that has no open attempt and is not forwarded; otherwise sends a Cancel to the
// processes that may run it.
void cancelJob(EntryContext context, Job &job);

// Handles every job timer that is due.
void fireTimers(EntryContext context);

// Ends the reservations of data centres that have reached their time limit or cannot serve their
// job any more.
void endDueReservations(EntryContext context);

// Removes jobs that finished more than EntryOptions::finishedRetentionMs ago.
void removeFinishedJobs(EntryContext context);

// The job with this id or alias, or null.
Job *findJob(Entry &entry, std::string_view id);

// Sends a reply to one waiter and counts it by verdict. Another entry receives it as a
// ForwardReply.
void sendReply(EntryContext context, const Waiter &waiter, Reply reply);

// The result of a finished job as a reply without a request id.
Reply jobResult(const Job &job);

// True if another entry forwarded the job and it ended here as NotRun. That entry may have started
// it elsewhere since, so only that entry knows the job's result.
bool refusedForPeer(const Job &job);

// A random connected entry of the region, or an empty name if there is none. An empty region means
// any region other than this entry's.
std::string connectedEntryOf(EntryContext context, std::string_view region);

} // namespace flamingo

#endif
