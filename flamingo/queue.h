#ifndef FLAMINGO_QUEUE_H
#define FLAMINGO_QUEUE_H

// Jobs of an entry, the queue they wait in, and the rules of admission, fair sharing and deadlines.
//
// Order: Urgent before Interactive before Batch. Inside a class the organisation with the smallest
// share in use by weight is next; waiting reduces its share slowly. Inside an organisation jobs are
// taken in order of arrival.
//
// A job that finds no room may be overtaken maxOvertakes times by jobs of its class; an interactive
// job that overtakes a batch job counts a quarter, urgent jobs do not count. Then a data centre is
// held for it: no other job is placed there, except on an organisation's own anchors and except
// urgent ones.

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
constexpr std::uint32_t overtakeUnits = 4; // of one overtaking in the same class
constexpr std::size_t jobClasses = 3;

// Someone who gets the result of a job. `entry` is set for a request that another entry forwarded.
struct Waiter
{
    std::string request;
    std::string entry;
};

enum class JobState { Queued, Starting, Running, QueryingOwner, Forwarded, Cancelling, Finished };

std::string_view jobStateName(JobState state);

// A Start that was sent and of which it is not known that it ended.
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
    std::vector<Waiter>
        answeredWaiters; // forwarded requests that were answered, so that copies are known
    std::vector<std::string> aliases; // job ids of requests that joined by key
    std::vector<JobAttempt> attempts; // open ones
    std::string currentAttempt; // attempt that the job is starting or running with
    TimeMs submittedAt = 0;
    TimeMs deadlineAt = 0; // 0 = none
    TimeMs blockedSince = 0; // no room since then, 0 = not blocked
    TimeMs startedAt = 0;
    TimeMs notBefore = 0; // back-off in the queue
    TimeMs timerAt = 0;
    std::uint32_t tries = 0; // attempts that were lost or failed
    std::uint32_t consecutiveRefusals = 0; // refusals in a row
    std::uint32_t overtaken = 0; // in units
    std::vector<AgentId> excluded; // refused in this round
    std::vector<AgentId> failedWorkers; // workers on which the job failed
    std::uint32_t failedRuns = 0; // of the job itself, on workers that work for others
    TimeMs lastSearchAt = 0; // last search for room
    bool mayHaveRun = false; // an attempt ended without a certain result
    bool needsRetryToken = false; // the next start is a retry and takes a token of the budget
    bool fromPeer = false; // forwarded by an entry of another region
    bool spilled = false; // was offered to another region for lack of room
    bool cancelled = false; // by request
    bool queued = false; // is in the queue
    std::list<std::uint64_t>::iterator queuePosition; // valid while queued
    Reason blocked; // why it waits
    // Asking:
    TimeMs ownerLastContactAt = 0;
    TimeMs ownerQueryUntil = 0; // 0: as long as the owner says that the key is running
    TimeMs ownerRefusedSince = 0;
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

// Jobs waiting, as serial numbers, by class and organisation.
struct Queue
{
    using JobList = std::list<std::uint64_t>;
    std::array<std::map<std::string, JobList, std::less<>>, jobClasses> waitingJobs;
    std::size_t size = 0;
};

void enqueue(Queue &queue, Job &job, bool front);
void dequeue(Queue &queue, Job &job);

// Units by which a waiting job is overtaken when another one is started before it.
std::uint32_t overtakeCost(JobClass started, JobClass waiting);

// Share of an organisation in use, by weight; smaller is next. `waitedMs` is that of its first job.
double weightedShare(const Usage &usage, std::uint32_t weight, TimeMs waitedMs);

// Run times learned per organisation and class.
struct RunTimeStats
{
    std::uint32_t runs = 0;
    double meanLog = 0;
    double varianceLog = 0;
    std::uint32_t declaredRuns = 0;
    double meanLogRatio = 0; // of actual to declared
    double varianceLogRatio = 0;
};

using Estimates = std::map<std::pair<std::string, JobClass>, RunTimeStats>;

void recordRunTime(Estimates &estimates, const JobSpec &spec, TimeMs ranMs);

// Run time that the job will hardly stay below.
TimeMs minLikelyRunMs(const Estimates &estimates, const JobSpec &spec);

// Checks everything about a job that can be checked without placing it.
bool validateSpec(const JobSpec &spec, const Table &table, Reason &reason);

// True when the limits of the organisation leave room for the job now.
bool withinLimits(const JobSpec &spec, const Table &table, const View &view, Reason &reason);

// Equal for two specs that ask for the same work.
std::uint64_t hashSpec(const JobSpec &spec);

// Retries are paid from a budget that grows with requests and, slowly, with time, so that the loss
// of a rack is made good at a bounded rate.
struct RetryBudget
{
    double tokens = 10;
    TimeMs refilledAt = 0;
};

void addRetryTokens(RetryBudget &budget, double tokens);
void growBudgetWithTime(RetryBudget &budget, TimeMs now);
bool takeRetryToken(RetryBudget &budget);

} // namespace flamingo

#endif
