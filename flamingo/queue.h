#ifndef FLAMINGO_QUEUE_H
#define FLAMINGO_QUEUE_H

// Jobs of an entry, the queue in which they wait, and the rules of admission, fair sharing,
// deadlines and retries.
//
// Order: Urgent before Interactive before Batch. Inside a class, the organisation with the smallest
// weightedShare() is next: its usage divided by its weight, minus an amount that grows slowly while
// its first job waits. The jobs of an organisation are tried in order of arrival; requeued jobs are
// tried first.
//
// A job that could not be placed is overtaken whenever a job that was submitted at the same time or
// later starts before it. Overtaking by a job of the same class counts fully, a batch job that is
// overtaken by an interactive one counts a quarter, and other pairs of classes do not count. When
// the count reaches maxOvertakes, a data centre is reserved for the waiting job. Other jobs are
// then placed in that data centre only on guaranteed blocks of their own organisations. Urgent jobs
// are exempt if the reservation is for a job of another class. This bounds how long large jobs
// starve behind small ones.
//
// A reservation keeps capacity idle until the job fits, so it ends after a time limit
// (EntryOptions::reservationMs). The data centre is then open to all jobs for as long as it was
// reserved, and the limit of the job's next reservation is twice as long. So a data centre is
// reserved in vain for at most half of the time, and a large job starts once its limit exceeds the
// remaining time of the runs that it waits for.

#include "flamingo/table.h"
#include "flamingo/types.h"
#include "flamingo/view.h"

#include <array>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

constexpr std::uint32_t maxOvertakes = 16;
// Added to Job::overtakenUnits per overtaking by a job of the same class.
constexpr std::uint32_t unitsPerOvertake = 4;
constexpr std::size_t jobClasses = 3; // number of values of JobClass

// A request that is answered with the result of a job. `entry` is the name of the entry that
// forwarded it, empty for a request of a caller of this entry.
struct Waiter
{
    std::string request;
    std::string entry;
};

// flamingo/jobs.h describes the states and their order.
enum class JobState {
    Queued,
    Starting,
    Running,
    QueryingOwner,
    WaitingForRegion,
    Forwarded,
    Cancelling,
    Finished
};

// Name of a job state in the operators' JSON documents and in replies, for example "queued".
std::string_view jobStateName(JobState state);

// A Start that was sent and whose end has not been reported.
struct JobAttempt
{
    std::string id;
    std::vector<AgentId> agents; // leader first
    std::uint64_t incarnation = 0; // of the leader's process
    TimeMs sentAt = 0;
    bool accepted = false; // an accepting StartReply has arrived
};

struct Job
{
    std::uint64_t serial = 0;
    std::uint64_t specHash = 0; // hashSpec() of the spec as submitted
    JobSpec spec;
    JobState state = JobState::Queued;
    std::vector<Waiter> waiters;
    // Answered requests of other entries; a repeated Forward gets the same reply.
    std::vector<Waiter> answeredWaiters;
    std::vector<std::string> aliases; // job ids of other requests with the same key
    std::vector<JobAttempt> attempts; // whose end has not been reported
    std::string currentAttempt; // id of the attempt that is starting or running, else empty
    TimeMs submittedAt = 0;
    TimeMs deadlineAt = 0; // 0 = none
    TimeMs blockedSince = 0; // first search without a placement since the last start, 0 = none
    TimeMs startedAt = 0; // last accepting StartReply
    TimeMs notBefore = 0; // earliest next attempt after a retry delay
    TimeMs timerAt = 0; // 0 = no timer
    std::uint32_t failedAttempts = 0; // attempts that were lost, timed out or failed
    std::uint32_t consecutiveRefusals = 0;
    std::uint32_t overtakenUnits = 0; // unitsPerOvertake per overtaking by the same class
    std::uint32_t expiredReservations = 0; // that ended at their time limit
    // Agents that refused the job or did not reply to its Start; skipped in searches until cleared.
    std::vector<AgentId> excluded;
    std::vector<AgentId> failedWorkers; // workers on which the job failed; skipped too
    std::uint32_t failedRuns = 0; // attempts that ended as TaskFailed or WorkerFailed
    TimeMs lastSearchAt = 0; // last search for a placement
    std::uint64_t triedInRound = 0; // Entry::passRound when a pass last reached the job
    bool mayHaveRun = false; // may have run at least in part, so that NotRun is ruled out
    bool needsRetryToken = false; // the next start is a retry and takes a token of the retry budget
    bool fromPeer = false; // forwarded by an entry of another region
    bool offeredToOtherRegion = false; // was forwarded for lack of capacity
    bool cancelled = false; // cancellation was requested
    bool queued = false; // is in Entry::queue
    std::list<std::uint64_t>::iterator queuePosition; // valid while queued
    Reason waitReason; // why the job is not running or finished yet
    // Only in the state QueryingOwner:
    TimeMs ownerLastContactAt = 0; // last reply that reported the key as granted or running
    // End of the queries; 0: as long as the owner reports the key as granted or running.
    TimeMs ownerQueryUntil = 0;
    // In any state: first refusal of an agent that got no grant from the key's owner since a Start
    // was last accepted, 0 = none.
    TimeMs ownerRefusedSince = 0;
    // Set when the job is forwarded:
    std::string forwardedTo; // name of the entry
    std::string forwardRequest; // request id of the Forward
    // Set when the job is finished:
    Verdict verdict = Verdict::NotRun;
    Reason reason;
    std::string answer;
    TimeMs retryAfterMs = 0; // after this time the caller may submit the job again, 0 = not given
    TimeMs finishedAt = 0;
};

// Serial numbers of the waiting jobs, by class and organisation; `size` is their total number.
struct Queue
{
    using JobList = std::list<std::uint64_t>;
    std::array<std::map<std::string, JobList, std::less<>>, jobClasses> waitingJobs;
    std::size_t size = 0;
};

// Adds the job to its organisation's list, or removes it. Without effect if the job is in the queue
// already, or not in it. `front` true: adds it before the other jobs of the list.
void enqueue(Queue &queue, Job &job, bool front);
void dequeue(Queue &queue, Job &job);

// Units added to Job::overtakenUnits of a job of class `waiting` that is overtaken by a job of
// class `started`.
std::uint32_t overtakeCost(JobClass started, JobClass waiting);

// Accelerators and tasks in use by an organisation, divided by its weight, minus a term in
// proportion to `waitedMs`, the waiting time of its first job.
double weightedShare(const Usage &usage, std::uint32_t weight, TimeMs waitedMs);

// Run times observed for an organisation and class: mean and variance of their logarithms, and of
// the logarithms of their ratio to the declared times.
struct RunTimeStats
{
    std::uint32_t runs = 0; // all observed runs
    double meanLog = 0;
    double varianceLog = 0;
    std::uint32_t declaredRuns = 0; // those with a declared time
    double meanLogRatio = 0; // actual to declared run time
    double varianceLogRatio = 0;
};

using RunTimeEstimates = std::map<std::pair<std::string, JobClass>, RunTimeStats>;

void recordRunTime(RunTimeEstimates &estimates, const JobSpec &spec, TimeMs ranMs);

// A run time that the job is unlikely to stay below; 0 if there is neither a declared time nor
// enough observed ones.
TimeMs minLikelyRunMs(const RunTimeEstimates &estimates, const JobSpec &spec);

// Checks everything about a job that can be checked without placing it; false with the `reason` of
// the first fault.
bool validateSpec(const JobSpec &spec, const Table &table, Reason &reason);

// True if the job and the usage in the view together are within the limits of the organisation;
// false with the `reason` otherwise.
bool withinLimits(const JobSpec &spec, const Table &table, const View &view, Reason &reason);

// Equal for two specs that request the same work. The job id, deadline, declared run time,
// checkpoint and firstAttempt do not count.
std::uint64_t hashSpec(const JobSpec &spec);

// Token bucket for retries, which bounds the rate of retries after the loss of a rack. It is
// refilled with each request and, slowly, with time.
struct RetryBudget
{
    double tokens = 10;
    TimeMs refilledAt = 0; // last call of refillRetryBudget, 0 = none
};

// Both add tokens up to the capacity of the bucket: the first adds `tokens`, the second those due
// for the time since its last call.
void addRetryTokens(RetryBudget &budget, double tokens);
void refillRetryBudget(RetryBudget &budget, TimeMs now);

// Takes a token; false if none is left.
bool takeRetryToken(RetryBudget &budget);

} // namespace flamingo

#endif
