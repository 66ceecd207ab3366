#ifndef FLAMINGO_QUEUE_H
#define FLAMINGO_QUEUE_H

// Jobs of an entry, the queue in which they wait, and the rules of admission, fair sharing,
// deadlines and retries.
//
// Order: Urgent before Interactive before Batch. Inside a class, the organisation that uses the
// smallest share relative to its weight is next; the time that its first job has waited slowly
// reduces the share. The jobs of an organisation are tried in order of arrival.
//
// A job that could not be placed may be overtaken maxOvertakes times by jobs of its class. An
// interactive job that overtakes a batch job counts a quarter, and urgent jobs do not count. Then a
// data centre is reserved for the job: no other job is placed there, except on guaranteed blocks of
// its own organisation, and except urgent jobs if the reservation is not for an urgent one. This
// bounds how long large jobs starve behind small ones.

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
constexpr std::uint32_t unitsPerOvertake = 4; // per start of a job of the same class
constexpr std::size_t jobClasses = 3;

// A request that is answered with the result of a job. `entry` is the name of the entry that
// forwarded it, empty for a request of a caller of this entry.
struct Waiter
{
    std::string request;
    std::string entry;
};

enum class JobState { Queued, Starting, Running, QueryingOwner, Forwarded, Cancelling, Finished };

// Name of a job state in documents and replies, for example "queued".
std::string_view jobStateName(JobState state);

// A Start that was sent and whose end has not been reported.
struct JobAttempt
{
    std::string id;
    std::vector<AgentId> agents; // leader first
    std::uint64_t incarnation = 0; // of the leader's process
    TimeMs sentAt = 0;
    bool accepted = false;
};

struct Job
{
    std::uint64_t serial = 0;
    std::uint64_t specHash = 0;
    JobSpec spec;
    JobState state = JobState::Queued;
    std::vector<Waiter> waiters;
    std::vector<Waiter> answeredWaiters; // forwarded requests, to recognise repeated ones
    std::vector<std::string> aliases; // job ids of requests that joined by key
    std::vector<JobAttempt> attempts; // open ones
    std::string currentAttempt; // id of the attempt that is starting or running, else empty
    TimeMs submittedAt = 0;
    TimeMs deadlineAt = 0; // 0 = none
    TimeMs blockedSince = 0; // when no capacity was found first, 0 = not blocked
    TimeMs startedAt = 0;
    TimeMs notBefore = 0; // earliest next attempt after a retry delay
    TimeMs timerAt = 0; // 0 = no timer
    std::uint32_t failedAttempts = 0; // attempts that were lost or failed
    std::uint32_t consecutiveRefusals = 0;
    std::uint32_t overtakenUnits = 0; // unitsPerOvertake per overtaking by the same class
    std::vector<AgentId> excluded; // agents of these consecutive refusals
    std::vector<AgentId> failedWorkers; // workers on which the job failed
    std::uint32_t failedRuns = 0; // failures of the job on workers on which other jobs succeed
    TimeMs lastSearchAt = 0; // last search for a placement
    bool mayHaveRun = false; // an attempt ended without a certain result
    bool needsRetryToken = false; // the next start is a retry and takes a token of the retry budget
    bool fromPeer = false; // forwarded by an entry of another region
    bool offeredToOtherRegion = false; // for lack of capacity
    bool cancelled = false; // cancellation was requested
    bool queued = false; // is in the queue
    std::list<std::uint64_t>::iterator queuePosition; // valid while queued
    Reason waitReason;
    // QueryingOwner:
    TimeMs ownerLastContactAt = 0; // last reply that the key is granted or running
    TimeMs ownerQueryUntil = 0; // 0: as long as the owner reports the key as granted or running
    TimeMs ownerRefusedSince = 0; // first refusal without a grant, 0 = none
    // Forwarded:
    std::string forwardedTo;
    std::string forwardRequest;
    // Finished:
    Verdict verdict = Verdict::NotRun;
    Reason reason;
    std::string answer;
    TimeMs retryAfterMs = 0;
    TimeMs finishedAt = 0;
};

// Serial numbers of the waiting jobs, by class and organisation.
struct Queue
{
    using JobList = std::list<std::uint64_t>;
    std::array<std::map<std::string, JobList, std::less<>>, jobClasses> waitingJobs;
    std::size_t size = 0;
};

// Adds the job to its organisation's list, or removes it; without effect if that is done already.
// `front` true: before the jobs that wait there.
void enqueue(Queue &queue, Job &job, bool front);
void dequeue(Queue &queue, Job &job);

// Added to Job::overtakenUnits of a waiting job when a job of another or the same class is started
// before it.
std::uint32_t overtakeCost(JobClass started, JobClass waiting);

// Accelerators and tasks in use by an organisation, divided by its weight and reduced by waiting;
// the smallest is next. `waitedMs` is the waiting time of its first job.
double weightedShare(const Usage &usage, std::uint32_t weight, TimeMs waitedMs);

// Run times observed for an organisation and class: mean and variance of their logarithms, and of
// the logarithms of their ratio to the declared times.
struct RunTimeStats
{
    std::uint32_t runs = 0;
    double meanLog = 0;
    double varianceLog = 0;
    std::uint32_t declaredRuns = 0;
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

// True if the job fits into the limits of its organisation, given the tasks in the view; false with
// the `reason` otherwise.
bool withinLimits(const JobSpec &spec, const Table &table, const View &view, Reason &reason);

// Equal for two specs that request the same work. The job id, deadline, declared run time,
// checkpoint and firstAttempt do not count.
std::uint64_t hashSpec(const JobSpec &spec);

// Token bucket for retries, which bounds the rate of retries after the loss of a rack. It is
// refilled with each request and, slowly, with time.
struct RetryBudget
{
    double tokens = 10;
    TimeMs refilledAt = 0; // by time
};

// Adds tokens, up to the capacity of the bucket; the second function adds those due for the time
// since its last call.
void addRetryTokens(RetryBudget &budget, double tokens);
void refillRetryBudget(RetryBudget &budget, TimeMs now);

// Takes a token; false if none is left.
bool takeRetryToken(RetryBudget &budget);

} // namespace flamingo

#endif
