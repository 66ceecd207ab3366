// Scheduling pass: for each class, repeatedly tries the next job of the organisation with the
// smallest share, until every job has been tried or the pass reaches a limit. A job that could not
// be placed is recorded, so that equal or larger jobs after it need no search in this pass.
//
// A pass that reaches a limit is followed by others until one covers the rest of the queue. These
// passes form a round. The first half of each limit is open to every job, so that capacity that
// becomes free goes to the first jobs first; the second half only to jobs that were not tried yet
// in the round, so that each job is tried however many before it do not fit.
//
// Retries: a refused attempt has ended; the job did not run, so it does not count as a failed run.
// An attempt without a StartReply stays open and the job is retried. The open attempt is cancelled
// if the job is idempotent. Otherwise it is not, because the owner grants the key to one attempt
// only. Callers of finishJob may pass NotRun for a job that may have run: finishJob changes the
// verdict to MayHaveRun.

#include "flamingo/jobs.h"

#include <absl/types/span.h>

#include <algorithm>

namespace flamingo {
namespace {

// Added to EntryOptions::replyTimeoutMs, the timeout of a StartReply:
constexpr TimeMs guaranteedExtraMs = 3000; // borrowing tasks are checkpointed (2 s) and stopped
constexpr TimeMs gangExtraMs = 2000; // the members' holds expire within this time
constexpr TimeMs ownerExtraMs = 3000; // the owner waits 2 s for the log before it grants the key

constexpr TimeMs retryDelayMs = 200;
constexpr TimeMs maxRefusalDelayMs = 1000;
constexpr TimeMs ownerRetryDelayMs = 500;
constexpr TimeMs ownerQueryIntervalMs = 1000;
constexpr TimeMs forwardQueryIntervalMs = 10000;
constexpr std::uint32_t maxFailedRuns = 3; // limit of Job::failedRuns
constexpr TimeMs failedWorkerExclusionMs = 10000; // then the job may use workers that it failed on
// A job that is knownUnplaceable() is searched for at most once in this time.
constexpr TimeMs recheckIntervalMs = 10000;
constexpr std::size_t maxSearchesPerPass = 64;
constexpr std::size_t maxSkipsPerPass = 5000;
constexpr std::size_t maxStartsPerPass = 128;
// After a pass over the whole queue, the next one is delayed by 1 ms for every 100 skipped jobs.
// This delay is several times the duration of the pass.
constexpr std::size_t skipsPerMs = 100;
constexpr TimeMs queueFullRetryMs = 1000;
constexpr TimeMs cancelRepeatMs = 1000; // least time between two Cancels of one attempt
constexpr std::size_t maxAliases = 100; // limit of Job::aliases

Reason makeReason(ReasonCode code, std::string text)
{
    return {code, std::move(text)};
}

// ---- Timers ----

void setTimer(Entry &entry, Job &job, TimeMs at)
{
    if (job.timerAt != 0)
        entry.timers.erase({job.timerAt, job.serial});
    job.timerAt = at;
    if (at != 0)
        entry.timers.emplace(at, job.serial);
}

// Sets the timer to the deadline or the end of the retry delay, whichever comes first.
void setQueueTimer(EntryContext context, Job &job)
{
    auto at = job.deadlineAt;
    if (job.notBefore > context.now && (at == 0 || job.notBefore < at))
        at = job.notBefore;
    setTimer(context.entry, job, at);
}

// ---- Attempts ----

void sendMessage(EntryContext context, std::string_view to, Message message)
{
    context.out.sends.push_back({std::string(to), std::move(message)});
}

std::string_view agentName(const Entry &entry, AgentId agent)
{
    return entry.view.agents[agent].report.agent;
}

void sendCancel(EntryContext context, const Job &job, const JobAttempt &attempt)
{
    Cancel cancel;
    cancel.job = job.spec.job;
    cancel.attempt = attempt.id;
    const std::string agent(agentName(context.entry, attempt.agents.front()));
    auto &unconfirmed = context.entry.unconfirmedCancels;
    if (unconfirmed.size() < context.entry.options.maxJobs)
        unconfirmed[attempt.id] = {job.spec.job, agent, context.now};
    sendMessage(context, agent, std::move(cancel));
}

void restoreCapacity(Entry &entry, const JobAttempt &attempt)
{
    for (const auto agent : attempt.agents)
        removeDeduction(entry.view, agent, attempt.id);
    entry.capacityChanged = true;
}

// Removes an attempt that has ended and returns its deducted capacity to the view.
void closeAttempt(Entry &entry, Job &job, std::string_view id)
{
    const auto found = std::find_if(job.attempts.begin(), job.attempts.end(),
                                    [id](const auto &attempt) { return attempt.id == id; });
    if (found == job.attempts.end())
        return;
    restoreCapacity(entry, *found);
    entry.byAttempt.erase(found->id);
    if (job.currentAttempt == id)
        job.currentAttempt.clear();
    job.attempts.erase(found);
}

const JobAttempt *findAttempt(const Job &job, std::string_view id)
{
    for (const auto &attempt : job.attempts) {
        if (attempt.id == id)
            return &attempt;
    }
    return nullptr;
}

// Ends a reservation. Unless the job starts, the data centre is open to all jobs for as long as it
// was reserved.
void endReservation(EntryContext context, DataCentreView &centre, std::string_view cause,
                    bool starts = false)
{
    const auto lastedMs = context.now - centre.reservedSince;
    const auto job = context.entry.jobs.find(centre.reservedForJob);
    context.out.logLines.push_back(
        "reservation ended data_centre=" + centre.name
        + " job=" + (job == context.entry.jobs.end() ? std::string() : job->second->spec.job)
        + " lasted_ms=" + std::to_string(lastedMs) + " cause=\"" + std::string(cause) + "\"");
    centre.reservedForJob = 0;
    centre.reservableAt = starts ? context.now : context.now + lastedMs;
    context.entry.capacityChanged = true;
}

void releaseReservation(EntryContext context, const Job &job, std::string_view cause,
                        bool starts = false)
{
    for (auto &centre : context.entry.view.dataCentres) {
        if (centre.reservedForJob == job.serial)
            endReservation(context, centre, cause, starts);
    }
}

bool hasReservation(const Entry &entry, const Job &job)
{
    return std::any_of(entry.view.dataCentres.begin(), entry.view.dataCentres.end(),
                       [&job](const auto &centre) { return centre.reservedForJob == job.serial; });
}

// ---- The end of a job ----

void countReply(EntryCounters &counters, Verdict verdict)
{
    ++counters.replied;
    ++(verdict == Verdict::NotRun           ? counters.notRun
           : verdict == Verdict::MayHaveRun ? counters.mayHaveRun
                                            : counters.ran);
}

void replyAll(EntryContext context, Job &job)
{
    auto waiters = std::move(job.waiters);
    job.waiters.clear();
    for (auto &waiter : waiters) {
        sendReply(context, waiter, jobResult(job));
        if (!waiter.entry.empty())
            job.answeredWaiters.push_back(std::move(waiter));
    }
}

// Cancels and removes the open attempts of a job that ends with `verdict`.
void closeAllAttempts(EntryContext context, Job &job, Verdict verdict)
{
    // A non-idempotent job that may still run is not cancelled: a retry with its key finds the
    // result.
    const bool leaveRunning =
        !job.spec.idempotent && verdict == Verdict::MayHaveRun && !job.cancelled;
    for (const auto &attempt : job.attempts) {
        if (!leaveRunning)
            sendCancel(context, job, attempt);
        restoreCapacity(context.entry, attempt);
        context.entry.byAttempt.erase(attempt.id);
    }
    job.attempts.clear();
    job.currentAttempt.clear();
}

// Ends the job and replies to all its waiters. NotRun becomes MayHaveRun if an attempt is open or
// may have run.
void finishJob(EntryContext context, Job &job, Verdict verdict, Reason reason,
               std::string text = {}, TimeMs retryAfterMs = 0)
{
    auto &entry = context.entry;
    if (verdict == Verdict::NotRun && (job.mayHaveRun || !job.attempts.empty()))
        verdict = Verdict::MayHaveRun;
    dequeue(entry.queue, job);
    releaseReservation(context, job, "the job ended");
    closeAllAttempts(context, job, verdict);
    setTimer(entry, job, 0);
    if (!job.forwardRequest.empty())
        entry.byForward.erase(job.forwardRequest);
    entry.waitingForRegion.erase(job.serial);
    job.state = JobState::Finished;
    job.verdict = verdict;
    job.reason = std::move(reason);
    job.answer = std::move(text);
    job.retryAfterMs = retryAfterMs;
    job.finishedAt = context.now;
    job.spec.payload.clear();
    job.spec.checkpoint.clear();
    entry.finished.emplace(context.now, job.serial);
    replyAll(context, job);
}

// Removes a finished job and its ids and key from the indexes.
void removeJob(Entry &entry, std::uint64_t serial)
{
    const auto found = entry.jobs.find(serial);
    const auto &job = *found->second;
    const auto eraseFromIndex = [serial](auto &index, const std::string &name) {
        const auto at = index.find(name);
        if (at != index.end() && at->second == serial)
            index.erase(at);
    };
    eraseFromIndex(entry.byId, job.spec.job);
    for (const auto &alias : job.aliases)
        eraseFromIndex(entry.byId, alias);
    eraseFromIndex(entry.byKey, job.spec.key);
    entry.finished.erase({job.finishedAt, serial});
    entry.jobs.erase(found);
}

// ---- Retries and their end ----

// Puts the job at the front of its organisation's list in the queue, to be tried after `delayMs`.
void requeue(EntryContext context, Job &job, TimeMs delayMs)
{
    job.state = JobState::Queued;
    job.notBefore = delayMs == 0 ? 0 : context.now + delayMs;
    enqueue(context.entry.queue, job, true);
    setQueueTimer(context, job);
    context.entry.capacityChanged = true;
}

// Queries the owner of the job's key and sets the timer to the next query. `watch` true: the owner
// also sends a KeyReply when the open claim of the key ends.
void queryOwner(EntryContext context, Job &job, bool watch)
{
    const auto range = rangeOf(job.spec.key);
    const auto owner = ownerOf(context.entry.ranges, job.spec.homeRegion, range);
    setTimer(context.entry, job, context.now + ownerQueryIntervalMs);
    if (owner.agent.empty())
        return;
    KeyQuery query;
    query.key = job.spec.key;
    query.range = range;
    query.epoch = owner.epoch;
    query.watch = watch;
    sendMessage(context, owner.agent, std::move(query));
}

// Queries the owner for the result of the job's key, for at most `untilMs`. 0: as long as the owner
// reports the key as granted or running.
void startOwnerQuery(EntryContext context, Job &job, TimeMs untilMs)
{
    dequeue(context.entry.queue, job);
    job.state = JobState::QueryingOwner;
    job.ownerLastContactAt = context.now;
    job.ownerQueryUntil = untilMs == 0 ? 0 : context.now + untilMs;
    queryOwner(context, job, true);
}

// Finishes a job whose attempts are used up; one that may have run and is not idempotent only after
// the owner of its key was queried.
void stopRetrying(EntryContext context, Job &job, Reason reason)
{
    const bool neverStarted = job.attempts.empty() && !job.mayHaveRun;
    if (job.spec.idempotent || neverStarted) {
        finishJob(context, job, Verdict::NotRun, std::move(reason));
        return;
    }
    job.waitReason = std::move(reason);
    startOwnerQuery(context, job, context.entry.options.ownerSilentAfterMs);
}

// Requeues the job after an attempt without a result, up to EntryOptions::maxAttempts attempts.
void retryJob(EntryContext context, Job &job, Reason reason)
{
    job.currentAttempt.clear();
    job.waitReason = reason;
    if (++job.failedAttempts >= context.entry.options.maxAttempts) {
        stopRetrying(context, job, std::move(reason));
        return;
    }
    job.needsRetryToken = true;
    requeue(context, job, 0);
}

// An attempt ended as TaskFailed or WorkerFailed: retries the job on other workers, and finishes it
// at the failure number maxFailedRuns.
void retryOnOtherWorker(EntryContext context, Job &job, AgentId agent, const Outcome &outcome)
{
    if (std::find(job.failedWorkers.begin(), job.failedWorkers.end(), agent)
        == job.failedWorkers.end())
        job.failedWorkers.push_back(agent);
    auto reason = makeReason(outcome.reason, outcome.detail);
    if (++job.failedRuns < maxFailedRuns) {
        retryJob(context, job, std::move(reason));
        return;
    }
    reason.text = "failed " + std::to_string(job.failedRuns) + " times on "
        + std::to_string(job.failedWorkers.size()) + " workers: " + reason.text;
    finishJob(context, job, outcome.verdict, std::move(reason), outcome.answer);
}

// ---- Starting ----

TimeMs replyTimeout(const Entry &entry, const JobSpec &spec, CapacityKind kind)
{
    return entry.options.replyTimeoutMs
        + (kind == CapacityKind::OwnGuaranteed ? guaranteedExtraMs : 0)
        + (spec.members > 1 ? gangExtraMs : 0) + (spec.idempotent ? 0 : ownerExtraMs);
}

Start makeStart(EntryContext context, const Job &job, const JobAttempt &attempt, CapacityKind kind)
{
    const auto &entry = context.entry;
    Start start;
    start.spec = std::make_unique<JobSpec>(job.spec);
    start.spec->deadlineMs = job.deadlineAt == 0
        ? 0
        : static_cast<std::uint64_t>(std::max<TimeMs>(1, job.deadlineAt - context.now));
    start.attempt = attempt.id;
    start.entry = entry.options.name;
    start.guaranteed = kind == CapacityKind::OwnGuaranteed;
    if (job.spec.members > 1) {
        for (const auto agent : attempt.agents)
            start.members.emplace_back(agentName(entry, agent));
    }
    if (!job.spec.idempotent) {
        start.range = rangeOf(job.spec.key);
        const auto owner = ownerOf(entry.ranges, job.spec.homeRegion, start.range);
        start.owner = owner.agent;
        start.epoch = owner.epoch;
    }
    return start;
}

void startJob(EntryContext context, Job &job, const Placement &placement)
{
    auto &entry = context.entry;
    dequeue(entry.queue, job);
    releaseReservation(context, job, "the job starts", true);
    JobAttempt attempt;
    attempt.id = entry.options.name + "." + std::to_string(entry.options.incarnation) + "#"
        + std::to_string(++entry.lastAttempt);
    attempt.agents = placement.members;
    attempt.incarnation = entry.view.agents[placement.members.front()].report.incarnation;
    attempt.sentAt = context.now;
    deductStart(entry.view, placement, job.spec, attempt.id, context.now);
    entry.byAttempt.emplace(attempt.id, job.serial);
    job.state = JobState::Starting;
    job.currentAttempt = attempt.id;
    job.blockedSince = 0;
    job.waitReason = {};
    ++entry.counters.starts;
    entry.counters.guaranteedStarts += placement.kind == CapacityKind::OwnGuaranteed ? 1 : 0;
    setTimer(entry, job, context.now + replyTimeout(entry, job.spec, placement.kind));
    sendMessage(context, agentName(entry, placement.members.front()),
                makeStart(context, job, attempt, placement.kind));
    job.attempts.push_back(std::move(attempt));
}

// ---- Forwarding ----

// Sends the job to the entry `peer` and waits for its reply; false if `peer` is empty.
bool forwardTo(EntryContext context, Job &job, const std::string &peer)
{
    if (peer.empty())
        return false;
    auto &entry = context.entry;
    dequeue(entry.queue, job);
    releaseReservation(context, job, "the job is forwarded");
    if (job.forwardRequest.empty())
        job.forwardRequest = entry.options.name + "." + std::to_string(entry.options.incarnation)
            + "/" + std::to_string(job.serial);
    entry.byForward[job.forwardRequest] = job.serial;
    job.state = JobState::Forwarded;
    job.forwardedTo = peer;
    Forward forward;
    forward.request = job.forwardRequest;
    forward.entry = entry.options.name;
    forward.spec = std::make_unique<JobSpec>(job.spec);
    if (job.deadlineAt != 0)
        forward.spec->deadlineMs =
            static_cast<std::uint64_t>(std::max<TimeMs>(1, job.deadlineAt - context.now));
    ++entry.counters.forwards;
    setTimer(entry, job, context.now + forwardQueryIntervalMs);
    sendMessage(context, peer, std::move(forward));
    return true;
}

// Ends a job that cannot be forwarded to its home region. Its key may have run in an earlier
// submission, unless the caller marked this one as the first and it was never forwarded.
void finishUnreachable(EntryContext context, Job &job, Reason reason)
{
    const bool neverStarted = job.spec.firstAttempt && job.forwardRequest.empty();
    finishJob(context, job, neverStarted ? Verdict::NotRun : Verdict::MayHaveRun,
              std::move(reason));
}

// Forwards the job to a connected entry of its home region. If there is none, the job waits for one
// for EntryOptions::regionWaitMs, at most until its deadline. A cancelled job is not forwarded
// again.
void forwardToHomeRegion(EntryContext context, Job &job)
{
    auto &entry = context.entry;
    if (job.cancelled) {
        finishUnreachable(
            context, job,
            makeReason(ReasonCode::Cancelled, "cancelled, but the other region did not confirm"));
        return;
    }
    if (forwardTo(context, job, connectedEntryOf(context, job.spec.homeRegion))) {
        entry.waitingForRegion.erase(job.serial);
        return;
    }
    if (job.state == JobState::WaitingForRegion)
        return;
    job.state = JobState::WaitingForRegion;
    job.waitReason =
        makeReason(ReasonCode::RegionUnreachable,
                   "homeRegion: no entry of region " + job.spec.homeRegion + " is connected");
    entry.waitingForRegion.insert(job.serial);
    const auto until = context.now + entry.options.regionWaitMs;
    setTimer(entry, job, job.deadlineAt == 0 ? until : std::min(until, job.deadlineAt));
}

// Offers a job that has waited for capacity for forwardAfterMs to an entry of another region, once.
// True if it was forwarded.
bool offerToOtherRegion(EntryContext context, Job &job)
{
    if (!job.spec.anyRegion || !job.spec.idempotent || job.fromPeer || job.offeredToOtherRegion
        || !job.attempts.empty()
        || context.now - job.blockedSince < context.entry.options.forwardAfterMs)
        return false;
    job.offeredToOtherRegion = forwardTo(context, job, connectedEntryOf(context, {}));
    return job.offeredToOtherRegion;
}

// ---- The scheduling pass ----

struct SchedulingPass
{
    std::vector<const JobSpec *> unplaceable; // knownUnplaceable() compares with these
    // Jobs for which no placement was found, in the order in which they were tried.
    std::vector<std::uint64_t> blockedJobs;
    std::size_t searches = 0; // searches that found no placement
    std::size_t skips = 0; // jobs that were not searched for, because they are knownUnplaceable
    std::size_t passedOver = 0; // jobs that were tried in an earlier pass of the round
    std::size_t starts = 0;
    std::size_t rechecks = 0; // searches for jobs that are knownUnplaceable
};

// Started: a Start was sent. NoCapacity: no placement was found. NotEligible: another condition is
// not met. Ended: the job was finished or forwarded.
enum class TryResult { Started, NoCapacity, NotEligible, Ended };

// True if the organisations of both specs have the same guaranteed blocks, or none.
bool sameGuaranteedBlocks(const Entry &entry, const JobSpec &a, const JobSpec &b)
{
    return a.organisation == b.organisation
        || (entry.view.copies.count(a.organisation) == 0
            && entry.view.copies.count(b.organisation) == 0);
}

// True if the job needs at least as much as one that could not be placed in this pass and may use
// no guaranteed blocks that were closed to that one.
bool knownUnplaceable(const Entry &entry, const SchedulingPass &pass, const JobSpec &spec)
{
    const bool mayBorrow = spec.idempotent || spec.checkpointable;
    return std::any_of(pass.unplaceable.begin(), pass.unplaceable.end(),
                       [&entry, &spec, mayBorrow](const auto *other) {
                           return spec.accelerators >= other->accelerators
                               && spec.members >= other->members && spec.cores >= other->cores
                               && spec.memoryMib >= other->memoryMib
                               && (!mayBorrow || other->idempotent || other->checkpointable)
                               && sameGuaranteedBlocks(entry, spec, *other);
                       });
}

bool otherRegionConnected(const Entry &entry)
{
    return std::any_of(entry.peers.begin(), entry.peers.end(), [&entry](const auto &row) {
        return row.second.connected && row.second.info.kind == ProcessKind::Entry
            && row.second.info.region != entry.options.region;
    });
}

bool reportsCollected(EntryContext context)
{
    return context.now - context.entry.startedAt >= context.entry.options.reportCollectionMs;
}

// True if no set of workers of this region could ever hold the job and no other region may be
// tried. Always false for reportCollectionMs after the start, when reports may still be missing.
// `offeredToOtherRegion` true: the job was offered to another region already.
bool isImpossibleShape(EntryContext context, const JobSpec &spec, bool offeredToOtherRegion,
                       Reason &reason)
{
    const bool otherRegionAllowed = spec.anyRegion && spec.idempotent && !offeredToOtherRegion;
    if (!reportsCollected(context) || (otherRegionAllowed && otherRegionConnected(context.entry)))
        return false;
    return !couldEverHold(context.entry.view, spec, reason);
}

// True, with the `reason`, if the deadline has passed or even a short run would end after it.
bool pastDeadline(EntryContext context, const Job &job, Reason &reason)
{
    if (job.deadlineAt == 0)
        return false;
    const auto minRunMs = minLikelyRunMs(context.entry.estimates, job.spec);
    if (context.now + minRunMs <= job.deadlineAt && context.now < job.deadlineAt)
        return false;
    reason.code = ReasonCode::DeadlinePassed;
    reason.text = "deadlineMs: " + std::to_string(std::max<TimeMs>(0, job.deadlineAt - context.now))
        + " ms are left and the job runs at least " + std::to_string(minRunMs) + " ms";
    return true;
}

// Checks all conditions but free capacity. Writes the first that is not met to job.waitReason,
// except the retry delay.
bool mayStart(EntryContext context, Job &job)
{
    const auto &entry = context.entry;
    if (job.notBefore > context.now)
        return false;
    Reason reason;
    if (!withinLimits(job.spec, entry.table, entry.view, reason)) {
        job.waitReason = std::move(reason);
        return false;
    }
    if (!job.spec.idempotent
        && ownerOf(entry.ranges, job.spec.homeRegion, rangeOf(job.spec.key)).agent.empty()) {
        job.waitReason =
            makeReason(ReasonCode::OwnerUnreachable,
                       "key: its range has no owner yet in region " + job.spec.homeRegion);
        return false;
    }
    if (job.needsRetryToken && entry.budget.tokens < 1) {
        job.waitReason = makeReason(ReasonCode::RetryBudgetSpent, "retry budget: no token is left");
        return false;
    }
    return true;
}

// Why no placement was found, with the data centres that are reserved for other jobs.
Reason noCapacityReason(const Entry &entry, const Job &job)
{
    std::string text = "accelerators: no free block can hold the job at present";
    for (const auto &centre : entry.view.dataCentres) {
        const auto holder = entry.jobs.find(centre.reservedForJob);
        if (holder != entry.jobs.end() && holder->first != job.serial)
            text += "; " + centre.name + " is reserved for job " + holder->second->spec.job;
    }
    return makeReason(ReasonCode::NoRoom, std::move(text));
}

// No placement was found: refuses the job if it can never be placed, offers it to another region,
// or leaves it in the queue.
TryResult onNoCapacity(EntryContext context, Job &job)
{
    Reason reason;
    if (isImpossibleShape(context, job.spec, job.offeredToOtherRegion, reason)) {
        finishJob(context, job, Verdict::NotRun, std::move(reason));
        return TryResult::Ended;
    }
    job.waitReason = noCapacityReason(context.entry, job);
    // An entry of another region offered the job; that entry requeues it on this reply.
    if (job.fromPeer && job.spec.homeRegion != context.entry.options.region) {
        finishJob(context, job, Verdict::NotRun, job.waitReason);
        return TryResult::Ended;
    }
    if (job.blockedSince == 0)
        job.blockedSince = context.now;
    if (offerToOtherRegion(context, job))
        return TryResult::Ended;
    // The exclusion is limited in time, because a gang may need every worker of its data centre.
    if (context.now - job.blockedSince >= failedWorkerExclusionMs)
        job.failedWorkers.clear();
    // After a delay, the job may be placed on the excluded agents again.
    if (!job.excluded.empty()) {
        job.excluded.clear();
        job.consecutiveRefusals = 0;
        job.notBefore = context.now + retryDelayMs;
        setQueueTimer(context, job);
    }
    return TryResult::NoCapacity;
}

std::optional<Placement> findPlacement(EntryContext context, const Job &job)
{
    auto excluded = job.excluded;
    excluded.insert(excluded.end(), job.failedWorkers.begin(), job.failedWorkers.end());
    PlaceOptions options;
    options.fragmentationWeight = context.entry.options.fragmentationWeight;
    options.job = job.serial;
    options.excluded = excluded;
    return place(context.entry.view, job.spec, options, context.random);
}

TryResult tryToStartJob(EntryContext context, Job &job, SchedulingPass &pass)
{
    Reason reason;
    if (pastDeadline(context, job, reason)) {
        finishJob(context, job, Verdict::NotRun, std::move(reason));
        return TryResult::Ended;
    }
    if (!mayStart(context, job)) {
        releaseReservation(context, job, "the job has to wait for something else");
        return TryResult::NotEligible;
    }
    const bool firstHalf =
        pass.searches < maxSearchesPerPass / 2 && pass.skips < maxSkipsPerPass / 2;
    if (!firstHalf && job.triedInRound == context.entry.passRound) {
        ++pass.passedOver;
        return TryResult::NoCapacity;
    }
    job.triedInRound = context.entry.passRound;
    // No placement is searched for a job that is knownUnplaceable. One such job per pass, at most
    // once in recheckIntervalMs, is an exception, so that it is refused if it can never be placed,
    // or offered to another region.
    if (!hasReservation(context.entry, job) && knownUnplaceable(context.entry, pass, job.spec)) {
        if (pass.rechecks > 0 || context.now - job.lastSearchAt < recheckIntervalMs) {
            ++pass.skips;
            return TryResult::NoCapacity;
        }
        ++pass.rechecks;
    }
    job.lastSearchAt = context.now;
    const auto placement = findPlacement(context, job);
    if (placement) {
        if (job.needsRetryToken)
            takeRetryToken(context.entry.budget);
        job.needsRetryToken = false;
        startJob(context, job, *placement);
        ++pass.starts;
        return TryResult::Started;
    }
    ++pass.searches;
    const bool workersExcluded = !job.excluded.empty() || !job.failedWorkers.empty();
    const auto result = onNoCapacity(context, job);
    if (result == TryResult::NoCapacity) {
        pass.blockedJobs.push_back(job.serial);
        // Other jobs are not searched for with the same exclusions or the same reservation, so that
        // this result would say nothing about them.
        if (!workersExcluded && !hasReservation(context.entry, job))
            pass.unplaceable.push_back(&job.spec);
    }
    return result;
}

// The time limit of the job's next reservation: reservationMs, doubled for each one that ended at
// its limit, and at most reservationMaxMs.
TimeMs reservationLimitMs(const Entry &entry, const Job &job)
{
    auto limitMs = entry.options.reservationMs;
    for (std::uint32_t i = 0; i < job.expiredReservations; ++i)
        limitMs = std::min(limitMs * 2, entry.options.reservationMaxMs);
    return limitMs;
}

// Reserves the free capacity of a data centre for a job that was overtaken too often.
void reserveDataCentre(EntryContext context, const Job &job)
{
    auto &entry = context.entry;
    const int index =
        hasReservation(entry, job) ? -1 : dataCentreToReserve(entry.view, job.spec, context.now);
    if (index < 0)
        return;
    const auto limitMs = reservationLimitMs(entry, job);
    auto &centre = entry.view.dataCentres[static_cast<std::size_t>(index)];
    centre.reservedForJob = job.serial;
    centre.reservedForUrgent = job.spec.jobClass == JobClass::Urgent;
    centre.reservedSince = context.now;
    centre.reservedUntil = context.now + limitMs;
    context.out.logLines.push_back(
        "reservation began data_centre=" + centre.name + " job=" + job.spec.job
        + " organisation=" + job.spec.organisation + " limit_ms=" + std::to_string(limitMs)
        + " overtaken=" + std::to_string(job.overtakenUnits / unitsPerOvertake)
        + " waited_ms=" + std::to_string(context.now - job.submittedAt));
}

// Counts the start as an overtaking of each job of the pass that waits for capacity and was not
// submitted later. For jobs that reach the limit, a data centre is reserved.
void countOvertaking(EntryContext context, const Job &started, const SchedulingPass &pass)
{
    auto &entry = context.entry;
    for (const auto serial : pass.blockedJobs) {
        auto &job = *entry.jobs.at(serial);
        if (!job.queued || job.submittedAt > started.submittedAt)
            continue;
        job.overtakenUnits += overtakeCost(started.spec.jobClass, job.spec.jobClass);
        if (job.overtakenUnits >= maxOvertakes * unitsPerOvertake)
            reserveDataCentre(context, job);
    }
}

// The next job of one organisation in a pass over one class.
struct QueueCursor
{
    const std::string *organisation = nullptr;
    Queue::JobList *jobs = nullptr;
    Queue::JobList::iterator at;
    double share = 0; // weightedShare() of the organisation
};

double currentShare(EntryContext context, const QueueCursor &cursor)
{
    const auto &entry = context.entry;
    const auto row = entry.table.organisations.find(*cursor.organisation);
    const auto &first = *entry.jobs.at(*cursor.at);
    return weightedShare(usageOf(entry.view, *cursor.organisation),
                         row == entry.table.organisations.end() ? 1 : row->second.weight,
                         context.now - first.submittedAt);
}

QueueCursor *nextCursor(std::vector<QueueCursor> &cursors)
{
    QueueCursor *next = nullptr;
    for (auto &cursor : cursors) {
        if (cursor.at == cursor.jobs->end() || (next != nullptr && next->share <= cursor.share))
            continue;
        next = &cursor;
    }
    return next;
}

bool passLimitReached(const SchedulingPass &pass)
{
    return pass.searches >= maxSearchesPerPass || pass.skips >= maxSkipsPerPass
        || pass.starts >= maxStartsPerPass;
}

void scheduleClass(EntryContext context, std::size_t jobClass, SchedulingPass &pass)
{
    auto &entry = context.entry;
    std::vector<QueueCursor> cursors;
    for (auto &[organisation, jobs] : entry.queue.waitingJobs[jobClass]) {
        if (jobs.empty())
            continue;
        cursors.push_back({&organisation, &jobs, jobs.begin(), 0});
        cursors.back().share = currentShare(context, cursors.back());
    }
    for (auto *cursor = nextCursor(cursors); cursor != nullptr && !passLimitReached(pass);
         cursor = nextCursor(cursors)) {
        auto &job = *entry.jobs.at(*cursor->at++);
        if (tryToStartJob(context, job, pass) != TryResult::Started)
            continue;
        countOvertaking(context, job, pass);
        if (cursor->at != cursor->jobs->end())
            cursor->share = currentShare(context, *cursor);
    }
}

void scheduleAll(EntryContext context)
{
    auto &entry = context.entry;
    entry.capacityChanged = false;
    entry.newJobSerials.clear();
    SchedulingPass pass;
    for (std::size_t jobClass = 0; jobClass < jobClasses; ++jobClass)
        scheduleClass(context, jobClass, pass);
    entry.passIncomplete = passLimitReached(pass);
    entry.passRound += entry.passIncomplete ? 0 : 1;
    entry.nextPassAt =
        context.now + static_cast<TimeMs>((pass.skips + pass.passedOver) / skipsPerMs);
    entry.capacityChanged = entry.capacityChanged || pass.starts >= maxStartsPerPass;
    entry.blockedJobs = std::move(pass.blockedJobs);
}

// No capacity was freed since the last pass, so only new jobs can be placed.
void scheduleNewJobs(EntryContext context)
{
    auto &entry = context.entry;
    SchedulingPass pass;
    for (const auto serial : entry.blockedJobs) {
        if (entry.jobs.count(serial) != 0)
            pass.blockedJobs.push_back(serial);
    }
    for (const auto serial : std::exchange(entry.newJobSerials, {})) {
        const auto found = entry.jobs.find(serial);
        if (found == entry.jobs.end() || !found->second->queued)
            continue;
        if (tryToStartJob(context, *found->second, pass) == TryResult::Started)
            countOvertaking(context, *found->second, pass);
    }
    if (pass.blockedJobs.size() > maxSearchesPerPass)
        pass.blockedJobs.resize(maxSearchesPerPass);
    entry.blockedJobs = std::move(pass.blockedJobs);
}

// ---- Submission ----

Reply makeRefusal(ReasonCode code, std::string text, TimeMs retryAfterMs = 0)
{
    Reply reply;
    reply.reason = {code, std::move(text)};
    reply.retryAfterMs = retryAfterMs;
    return reply;
}

Reply makeAcceptance(const Job &job)
{
    Reply reply;
    reply.verdict = Verdict::MayHaveRun;
    reply.accepted = true;
    reply.job = job.spec.job;
    reply.answer = jobStateName(job.state);
    return reply;
}

bool wasAnsweredFor(const Job &job, const Waiter &waiter)
{
    return std::any_of(job.answeredWaiters.begin(), job.answeredWaiters.end(),
                       [&waiter](const Waiter &other) {
                           return other.entry == waiter.entry && other.request == waiter.request;
                       });
}

// The job with the same key, else the one with the same id, or null.
Job *findDuplicate(Entry &entry, const JobSpec &spec)
{
    if (!spec.key.empty()) {
        const auto found = entry.byKey.find(spec.key);
        if (found != entry.byKey.end())
            return entry.jobs.at(found->second).get();
    }
    return findJob(entry, spec.job);
}

// Makes the job known also by the job id of a request that joined it.
void addAlias(Entry &entry, Job &job, const std::string &id)
{
    if (id.empty() || job.aliases.size() >= maxAliases
        || !entry.byId.emplace(id, job.serial).second)
        return;
    job.aliases.push_back(id);
}

// Joins the request to a job with the same id or key. False if a new job must be created: there is
// no such job, or it finished with a verdict other than Ran and has not answered this waiter.
bool joinJob(EntryContext context, const Waiter &waiter, const JobSpec &spec, bool wait)
{
    auto *existing = findDuplicate(context.entry, spec);
    if (existing == nullptr)
        return false;
    if (existing->specHash != hashSpec(spec)) {
        auto reply = makeRefusal(ReasonCode::InvalidInput,
                                 std::string(spec.key.empty() ? "job" : "key")
                                     + ": already used by a different request");
        reply.job = existing->spec.job;
        sendReply(context, waiter, std::move(reply));
        return true;
    }
    if (existing->state != JobState::Finished || existing->verdict == Verdict::Ran)
        addAlias(context.entry, *existing, spec.job);
    if (existing->state != JobState::Finished) {
        addWaiter(context, *existing, waiter, wait);
        return true;
    }
    if (existing->verdict != Verdict::Ran && !wasAnsweredFor(*existing, waiter))
        return false;
    sendReply(context, waiter, jobResult(*existing));
    return true;
}

// Removes the oldest finished jobs if the entry has too many. False if no job can be added.
bool ensureJobCapacity(EntryContext context)
{
    auto &entry = context.entry;
    while (entry.jobs.size() >= entry.options.maxJobs && !entry.finished.empty())
        removeJob(entry, entry.finished.begin()->second);
    return entry.jobs.size() < entry.options.maxJobs && entry.queue.size < entry.options.maxQueued;
}

Job &addJob(EntryContext context, JobSpec spec, bool fromPeer)
{
    auto &entry = context.entry;
    auto job = std::make_unique<Job>();
    job->serial = ++entry.lastSerial;
    job->specHash = hashSpec(spec);
    if (spec.job.empty())
        spec.job = entry.options.name + "." + std::to_string(entry.options.incarnation) + "."
            + std::to_string(job->serial);
    job->spec = std::move(spec);
    job->submittedAt = context.now;
    job->deadlineAt =
        job->spec.deadlineMs == 0 ? 0 : context.now + static_cast<TimeMs>(job->spec.deadlineMs);
    job->fromPeer = fromPeer;
    entry.byId[job->spec.job] = job->serial;
    if (!job->spec.key.empty())
        entry.byKey[job->spec.key] = job->serial;
    return *entry.jobs.emplace(job->serial, std::move(job)).first->second;
}

// ---- Replies of agents ----

void finishRefused(EntryContext context, Job &job, const StartReply &reply)
{
    finishJob(context, job, Verdict::NotRun, makeReason(reply.reason, reply.detail), {},
              reply.retryAfterMs);
}

// The agent got no grant from the key's owner. Retries until twice ownerSilentAfterMs have passed
// since the first such refusal, then finishes the job.
void onOwnerRefusal(EntryContext context, Job &job, const StartReply &reply)
{
    if (job.ownerRefusedSince == 0)
        job.ownerRefusedSince = context.now;
    if (context.now - job.ownerRefusedSince < 2 * context.entry.options.ownerSilentAfterMs) {
        job.waitReason = makeReason(reply.reason, reply.detail);
        requeue(context, job, std::max<TimeMs>(reply.retryAfterMs, ownerRetryDelayMs));
        return;
    }
    finishJob(context, job, job.spec.firstAttempt ? Verdict::NotRun : Verdict::MayHaveRun,
              makeReason(reply.reason, reply.detail), {}, reply.retryAfterMs);
}

// Retries on other agents without delay, up to maxAttempts refusals in a row and within the retry
// budget; then after a delay, on any agent.
void retryAfterRefusal(EntryContext context, Job &job, AgentId agent, const StartReply &reply)
{
    auto &entry = context.entry;
    job.waitReason = makeReason(reply.reason, reply.detail);
    job.excluded.push_back(agent);
    if (++job.consecutiveRefusals < entry.options.maxAttempts && takeRetryToken(entry.budget)) {
        requeue(context, job, 0);
        return;
    }
    job.excluded.clear();
    job.consecutiveRefusals = 0;
    // The time of the refusal holds for that worker; another one may take the job earlier.
    requeue(context, job, std::clamp<TimeMs>(reply.retryAfterMs, retryDelayMs, maxRefusalDelayMs));
}

void onRefused(EntryContext context, Job &job, AgentId agent, const StartReply &reply)
{
    ++context.entry.counters.refusals;
    switch (reply.reason) {
    case ReasonCode::InvalidInput:
    case ReasonCode::DeadlinePassed:
    case ReasonCode::Cancelled:
        finishRefused(context, job, reply);
        return;
    case ReasonCode::OwnerUnreachable:
    case ReasonCode::TakeoverIncomplete:
    case ReasonCode::WrongOwner:
    case ReasonCode::StaleEpoch:
        onOwnerRefusal(context, job, reply);
        return;
    case ReasonCode::TaskFailed: {
        Outcome outcome;
        outcome.reason = reply.reason;
        outcome.detail = reply.detail;
        retryOnOtherWorker(context, job, agent, outcome);
        return;
    }
    default:
        retryAfterRefusal(context, job, agent, reply);
    }
}

void onAccepted(EntryContext context, Job &job, std::string_view attemptId)
{
    for (auto &attempt : job.attempts) {
        if (attempt.id == attemptId)
            attempt.accepted = true;
    }
    // The attempt of a non-idempotent job runs although its reply came after the timeout. It has
    // the key's only grant, so the retry in the queue is dropped.
    const bool acceptedLate = job.state == JobState::Queued && !job.spec.idempotent;
    if (!acceptedLate && (job.state != JobState::Starting || job.currentAttempt != attemptId))
        return;
    dequeue(context.entry.queue, job);
    releaseReservation(context, job, "the job runs");
    setTimer(context.entry, job, 0);
    job.state = JobState::Running;
    job.currentAttempt = attemptId;
    job.startedAt = context.now;
    job.consecutiveRefusals = 0;
    job.excluded.clear();
    job.ownerRefusedSince = 0;
}

// An attempt of a cancelled job ended without a result; finishes the job if none is left open.
void finishCancelled(EntryContext context, Job &job)
{
    if (job.attempts.empty())
        finishJob(context, job, Verdict::NotRun,
                  makeReason(ReasonCode::Cancelled, "cancelled by request"));
}

void onRan(EntryContext context, Job &job, AgentId agent, const Outcome &outcome)
{
    const bool failed =
        outcome.reason == ReasonCode::TaskFailed || outcome.reason == ReasonCode::WorkerFailed;
    const bool active = job.state == JobState::Running || job.state == JobState::Starting;
    if (failed && job.spec.idempotent && active) {
        job.mayHaveRun = true;
        retryOnOtherWorker(context, job, agent, outcome);
        return;
    }
    if (!failed && job.startedAt != 0 && job.spec.checkpoint.empty())
        recordRunTime(context.entry.estimates, job.spec, context.now - job.startedAt);
    finishJob(context, job, Verdict::Ran, makeReason(outcome.reason, outcome.detail),
              outcome.answer);
}

// The agent stopped the job, for example to start a guaranteed one: requeues it at the front,
// unless it failed or was cancelled.
void onStopped(EntryContext context, Job &job, AgentId agent, const Outcome &outcome)
{
    // A stopped attempt of an idempotent job may have run in part. It is safe to repeat, but the
    // verdict must not be NotRun.
    if (job.spec.idempotent && outcome.reason != ReasonCode::Cancelled)
        job.mayHaveRun = true;
    if (outcome.reason == ReasonCode::WorkerFailed || outcome.reason == ReasonCode::TaskFailed) {
        retryOnOtherWorker(context, job, agent, outcome);
        return;
    }
    if (outcome.reason == ReasonCode::Cancelled) { // by a request to another entry
        finishJob(context, job, Verdict::NotRun, makeReason(outcome.reason, outcome.detail));
        return;
    }
    ++context.entry.counters.evictions;
    if (!outcome.answer.empty())
        job.spec.checkpoint = outcome.answer;
    job.waitReason = makeReason(outcome.reason, outcome.detail);
    requeue(context, job, outcome.reason == ReasonCode::Evicted ? 0 : retryDelayMs);
}

// The attempt ended and may have run. Retries the job if it is idempotent and was not cancelled;
// finishes any other job as MayHaveRun.
void onUncertainOutcome(EntryContext context, Job &job, const Outcome &outcome)
{
    auto reason = makeReason(outcome.reason, outcome.detail);
    if (!job.spec.idempotent || outcome.reason == ReasonCode::Cancelled) {
        finishJob(context, job, Verdict::MayHaveRun, std::move(reason), outcome.answer);
        return;
    }
    job.mayHaveRun = true;
    retryJob(context, job, std::move(reason));
}

// ---- Timeouts and losses ----

void onStartTimeout(EntryContext context, Job &job)
{
    ++context.entry.counters.timeouts;
    const auto *attempt = findAttempt(job, job.currentAttempt);
    const auto agent = attempt->agents.front();
    if (job.spec.idempotent)
        sendCancel(context, job, *attempt);
    job.excluded.push_back(agent);
    retryJob(context, job,
             makeReason(ReasonCode::TargetUnreachable,
                        std::string(agentName(context.entry, agent))
                            + " did not reply to the Start in time"));
}

void onOwnerQueryTimer(EntryContext context, Job &job)
{
    const auto sinceLastContact = context.now - job.ownerLastContactAt;
    const bool queryExpired = job.ownerQueryUntil != 0 && context.now >= job.ownerQueryUntil;
    const bool deadlinePassed = job.deadlineAt != 0 && context.now >= job.deadlineAt;
    if (!queryExpired && !deadlinePassed
        && sinceLastContact < 2 * context.entry.options.ownerSilentAfterMs) {
        queryOwner(context, job, true);
        return;
    }
    const auto code = deadlinePassed ? ReasonCode::DeadlinePassed : ReasonCode::OwnerUnreachable;
    finishJob(
        context, job, Verdict::MayHaveRun,
        makeReason(code, "key: claimed, and its owner reported no result: " + job.waitReason.text));
}

void onForwardTimer(EntryContext context, Job &job)
{
    JobQuery query;
    query.request = job.forwardRequest;
    query.job = job.spec.job;
    setTimer(context.entry, job, context.now + forwardQueryIntervalMs);
    sendMessage(context, job.forwardedTo, std::move(query));
    if (!job.cancelled)
        return;
    Cancel cancel;
    cancel.job = job.spec.job;
    sendMessage(context, job.forwardedTo, std::move(cancel));
}

void onTimer(EntryContext context, Job &job)
{
    Reason reason;
    switch (job.state) {
    case JobState::Queued:
        if (pastDeadline(context, job, reason)) {
            finishJob(context, job, Verdict::NotRun, std::move(reason));
            return;
        }
        setQueueTimer(context, job);
        context.entry.capacityChanged = true;
        return;
    case JobState::Starting:
        onStartTimeout(context, job);
        return;
    case JobState::QueryingOwner:
        onOwnerQueryTimer(context, job);
        return;
    case JobState::WaitingForRegion:
        finishUnreachable(context, job, job.waitReason);
        return;
    case JobState::Forwarded:
        onForwardTimer(context, job);
        return;
    case JobState::Cancelling:
        finishJob(context, job, Verdict::MayHaveRun,
                  makeReason(ReasonCode::Cancelled, "cancelled, but the agent did not confirm"));
        return;
    case JobState::Running:
    case JobState::Finished:
        return;
    }
}

// The leader of the attempt is lost. Retries the job if this was its current attempt, or queries
// the key's owner first if a non-idempotent job was accepted.
void onAttemptLost(EntryContext context, Job &job, const JobAttempt &attempt, AgentLoss loss)
{
    ++context.entry.counters.lostAttempts;
    const auto id = attempt.id;
    const bool isCurrent = job.currentAttempt == id;
    const auto reason = makeReason(ReasonCode::TargetUnreachable,
                                   std::string(agentName(context.entry, attempt.agents.front()))
                                       + " disconnected, became unreachable or restarted");
    const bool accepted = attempt.accepted;
    if (loss == AgentLoss::Restarted) {
        // The new process has no record of the attempt, which may have run to its end.
        job.mayHaveRun = true;
        closeAttempt(context.entry, job, id);
    }
    if (job.state == JobState::Cancelling) {
        finishCancelled(context, job);
        return;
    }
    if (!isCurrent)
        return;
    if (job.spec.idempotent || !accepted) {
        retryJob(context, job, reason);
        return;
    }
    job.currentAttempt.clear();
    job.waitReason = reason;
    startOwnerQuery(context, job, context.entry.options.ownerSilentAfterMs);
}

// The owner has no claim of the key: requeues the job, or finishes it after its last attempt. An
// earlier submission with the key may have run, unless the owner's verdict is NotRun or the caller
// marked this submission as the first attempt.
void onKeyUnclaimed(EntryContext context, Job &job, Verdict verdict)
{
    if (job.failedAttempts >= context.entry.options.maxAttempts) {
        if (verdict != Verdict::NotRun && job.spec.firstAttempt)
            verdict = Verdict::NotRun;
        finishJob(context, job, verdict, job.waitReason);
        return;
    }
    ++job.failedAttempts;
    job.needsRetryToken = true;
    requeue(context, job, 0);
}

} // namespace

Job *findJob(Entry &entry, std::string_view id)
{
    const auto found = entry.byId.find(std::string(id));
    return found == entry.byId.end() ? nullptr : entry.jobs.at(found->second).get();
}

bool refusedForPeer(const Job &job)
{
    return job.state == JobState::Finished && job.fromPeer && job.verdict == Verdict::NotRun;
}

Reply jobResult(const Job &job)
{
    Reply reply;
    reply.verdict = job.verdict;
    reply.reason = job.reason;
    reply.answer = job.answer;
    reply.job = job.spec.job;
    reply.retryAfterMs = job.retryAfterMs;
    return reply;
}

void sendReply(EntryContext context, const Waiter &waiter, Reply reply)
{
    countReply(context.entry.counters, reply.verdict);
    if (waiter.entry.empty()) {
        context.entry.byRequest.erase(waiter.request);
        reply.request = waiter.request;
        context.out.replies.push_back(std::move(reply));
        return;
    }
    ForwardReply forwardReply;
    forwardReply.request = waiter.request;
    forwardReply.verdict = reply.verdict;
    forwardReply.reason = reply.reason.code;
    forwardReply.detail = std::move(reply.reason.text);
    forwardReply.answer = std::move(reply.answer);
    forwardReply.retryAfterMs = static_cast<std::uint32_t>(reply.retryAfterMs);
    sendMessage(context, waiter.entry, std::move(forwardReply));
}

std::string connectedEntryOf(EntryContext context, std::string_view region)
{
    const auto &entry = context.entry;
    std::vector<std::string_view> found;
    for (const auto &[name, peer] : entry.peers) {
        if (!peer.connected || peer.info.kind != ProcessKind::Entry)
            continue;
        const bool matches =
            region.empty() ? peer.info.region != entry.options.region : peer.info.region == region;
        if (matches)
            found.push_back(name);
    }
    return found.empty() ? std::string() : std::string(found[context.random() % found.size()]);
}

void addWaiter(EntryContext context, Job &job, const Waiter &waiter, bool wait)
{
    if (!wait) {
        sendReply(context, waiter, makeAcceptance(job));
        return;
    }
    const bool alreadyWaiting =
        std::any_of(job.waiters.begin(), job.waiters.end(), [&waiter](const Waiter &other) {
            return !waiter.entry.empty() && other.entry == waiter.entry
                && other.request == waiter.request;
        });
    if (alreadyWaiting)
        return;
    job.waiters.push_back(waiter);
    if (waiter.entry.empty())
        context.entry.byRequest[waiter.request] = job.serial;
}

void submitJob(EntryContext context, const Waiter &waiter, const JobSpec &submittedSpec, bool wait)
{
    auto &entry = context.entry;
    ++entry.counters.submitted;
    addRetryTokens(entry.budget, entry.options.retryBudgetShare);
    auto spec = submittedSpec;
    if (spec.homeRegion.empty())
        spec.homeRegion = entry.options.region;
    Reason reason;
    if (!validateSpec(spec, entry.table, reason)) {
        sendReply(context, waiter, makeRefusal(reason.code, reason.text));
        return;
    }
    if (joinJob(context, waiter, spec, wait))
        return;
    if (!entry.accepting) {
        sendReply(
            context, waiter,
            makeRefusal(ReasonCode::Draining, "this entry is shutting down", queueFullRetryMs));
        return;
    }
    const bool fromPeer = !waiter.entry.empty();
    const bool scheduledHere =
        fromPeer || spec.key.empty() || spec.homeRegion == entry.options.region;
    if (scheduledHere && isImpossibleShape(context, spec, false, reason)) {
        sendReply(context, waiter, makeRefusal(reason.code, reason.text));
        return;
    }
    if (!ensureJobCapacity(context)) {
        sendReply(context, waiter,
                  makeRefusal(ReasonCode::QueueFull, "the queue of this entry is full",
                              queueFullRetryMs));
        return;
    }
    auto &job = addJob(context, std::move(spec), fromPeer);
    addWaiter(context, job, waiter, wait);
    if (!scheduledHere) {
        forwardToHomeRegion(context, job);
        return;
    }
    enqueue(entry.queue, job, false);
    setQueueTimer(context, job);
    entry.newJobSerials.push_back(job.serial);
}

void endDueReservations(EntryContext context)
{
    auto &entry = context.entry;
    for (std::size_t i = 0; i < entry.view.dataCentres.size(); ++i) {
        auto &centre = entry.view.dataCentres[i];
        if (centre.reservedForJob == 0)
            continue;
        const auto found = entry.jobs.find(centre.reservedForJob);
        if (found == entry.jobs.end() || !found->second->queued) {
            endReservation(context, centre, "the job is not queued");
        } else if (context.now >= centre.reservedUntil) {
            ++found->second->expiredReservations;
            endReservation(context, centre, "time limit");
        } else if (!couldHoldWhenIdle(entry.view, i, found->second->spec)) {
            endReservation(context, centre, "too few workers can be used");
        }
    }
}

void schedule(EntryContext context)
{
    auto &entry = context.entry;
    if (!entry.capacityChanged && entry.newJobSerials.empty())
        return;
    if (entry.capacityChanged || entry.passIncomplete) {
        entry.capacityChanged = true;
        if (context.now >= entry.nextPassAt)
            scheduleAll(context);
        return;
    }
    scheduleNewJobs(context);
}

void onStartReply(EntryContext context, const StartReply &reply)
{
    auto &entry = context.entry;
    if (!reply.accepted)
        entry.unconfirmedCancels.erase(reply.attempt);
    const auto found = entry.byAttempt.find(reply.attempt);
    if (found == entry.byAttempt.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    if (reply.accepted) {
        onAccepted(context, job, reply.attempt);
        return;
    }
    const auto agent = findAttempt(job, reply.attempt)->agents.front();
    const bool isCurrent = job.currentAttempt == reply.attempt && job.state == JobState::Starting;
    if (reply.verdict != Verdict::NotRun)
        job.mayHaveRun = true;
    closeAttempt(entry, job, reply.attempt);
    if (job.state == JobState::Cancelling) {
        finishCancelled(context, job);
        return;
    }
    if (!isCurrent)
        return;
    if (reply.reason == ReasonCode::AlreadyClaimed && !job.spec.key.empty()) {
        job.waitReason = makeReason(reply.reason, reply.detail);
        startOwnerQuery(context, job, 0);
        return;
    }
    if (reply.verdict != Verdict::NotRun) {
        Outcome outcome;
        outcome.verdict = reply.verdict;
        outcome.reason = reply.reason;
        outcome.detail = reply.detail;
        onUncertainOutcome(context, job, outcome);
        return;
    }
    onRefused(context, job, agent, reply);
}

void onOutcome(EntryContext context, std::string_view from, const Outcome &outcome)
{
    auto &entry = context.entry;
    OutcomeAck ack;
    ack.job = outcome.job;
    ack.attempt = outcome.attempt;
    sendMessage(context, from, std::move(ack));
    entry.unconfirmedCancels.erase(outcome.attempt);
    const auto found = entry.byAttempt.find(outcome.attempt);
    if (found == entry.byAttempt.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    if (job.spec.job != outcome.job)
        return;
    const auto agent = findAttempt(job, outcome.attempt)->agents.front();
    const bool isCurrent = job.currentAttempt == outcome.attempt;
    if (outcome.verdict == Verdict::MayHaveRun)
        job.mayHaveRun = true;
    closeAttempt(entry, job, outcome.attempt);
    if (outcome.verdict == Verdict::Ran) {
        onRan(context, job, agent, outcome);
        return;
    }
    if (job.state == JobState::Cancelling) {
        finishCancelled(context, job);
        return;
    }
    if (!isCurrent)
        return;
    if (outcome.verdict == Verdict::NotRun)
        onStopped(context, job, agent, outcome);
    else
        onUncertainOutcome(context, job, outcome);
}

void onKeyReply(EntryContext context, const KeyReply &reply)
{
    auto &entry = context.entry;
    const auto found = entry.byKey.find(reply.key);
    if (found == entry.byKey.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    if (job.state != JobState::QueryingOwner)
        return;
    switch (reply.state) {
    case KeyState::Finished:
        if (reply.verdict == Verdict::NotRun)
            onKeyUnclaimed(context, job, reply.verdict);
        else
            finishJob(context, job, reply.verdict, makeReason(reply.reason, reply.detail),
                      reply.answer);
        return;
    case KeyState::MayHaveRun:
        finishJob(context, job, Verdict::MayHaveRun, makeReason(reply.reason, reply.detail),
                  reply.answer);
        return;
    case KeyState::Unknown:
        onKeyUnclaimed(context, job, reply.verdict);
        return;
    case KeyState::Granted:
    case KeyState::Running:
        job.ownerLastContactAt = context.now;
        return;
    case KeyState::WrongOwner:
    case KeyState::NotReady:
        return; // the job's timer repeats the query
    }
}

void onForwardReply(EntryContext context, const ForwardReply &reply)
{
    auto &entry = context.entry;
    const auto found = entry.byForward.find(reply.request);
    if (found == entry.byForward.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    if (job.state != JobState::Forwarded)
        return;
    if (job.offeredToOtherRegion && !job.cancelled && reply.verdict == Verdict::NotRun) {
        job.waitReason = makeReason(reply.reason, reply.detail);
        job.forwardedTo.clear();
        requeue(context, job, 0);
        return;
    }
    finishJob(context, job, reply.verdict, makeReason(reply.reason, reply.detail), reply.answer,
              reply.retryAfterMs);
}

void onForwardedJobReply(EntryContext context, std::string_view from, const JobReply &reply)
{
    auto &entry = context.entry;
    const auto found = entry.byForward.find(reply.request);
    if (found == entry.byForward.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    if (job.state != JobState::Forwarded || job.forwardedTo != from)
        return;
    if (!reply.found) {
        // The Forward was lost, or its receiver restarted and may have started the job before.
        job.mayHaveRun = true;
        forwardTo(context, job, std::string(from));
        return;
    }
    if (reply.finished)
        finishJob(context, job, reply.verdict, makeReason(reply.reason, reply.detail),
                  reply.answer);
}

void onEntryUp(EntryContext context)
{
    const auto waiting = context.entry.waitingForRegion;
    for (const auto serial : waiting)
        forwardToHomeRegion(context, *context.entry.jobs.at(serial));
}

void onEntryDown(EntryContext context, std::string_view process)
{
    std::vector<std::uint64_t> forwardedJobs;
    for (const auto &[request, serial] : context.entry.byForward) {
        const auto &job = *context.entry.jobs.at(serial);
        if (job.state == JobState::Forwarded && job.forwardedTo == process)
            forwardedJobs.push_back(serial);
    }
    for (const auto serial : forwardedJobs) {
        auto &job = *context.entry.jobs.at(serial);
        job.mayHaveRun = true;
        if (job.offeredToOtherRegion)
            requeue(context, job, 0);
        else
            forwardToHomeRegion(context, job);
    }
}

void onAgentLost(EntryContext context, AgentId agent, AgentLoss loss)
{
    auto &entry = context.entry;
    const auto incarnation = entry.view.agents[agent].report.incarnation;
    std::vector<std::pair<std::uint64_t, std::string>> lostAttempts;
    for (const auto &[id, serial] : entry.byAttempt) {
        const auto *attempt = findAttempt(*entry.jobs.at(serial), id);
        if (attempt->agents.front() != agent
            || (loss == AgentLoss::Restarted && attempt->incarnation >= incarnation)
            || (loss == AgentLoss::Disconnected && attempt->accepted))
            continue;
        lostAttempts.emplace_back(serial, id);
    }
    std::sort(lostAttempts.begin(), lostAttempts.end());
    for (const auto &[serial, id] : lostAttempts) {
        auto &job = *entry.jobs.at(serial);
        if (const auto *attempt = findAttempt(job, id))
            onAttemptLost(context, job, *attempt, loss);
    }
    entry.capacityChanged = true;
}

void repeatCancel(EntryContext context, std::string_view attempt)
{
    auto &unconfirmed = context.entry.unconfirmedCancels;
    const auto found = unconfirmed.find(std::string(attempt));
    if (found == unconfirmed.end() || context.now - found->second.sentAt < cancelRepeatMs)
        return;
    found->second.sentAt = context.now;
    Cancel cancel;
    cancel.job = found->second.job;
    cancel.attempt = attempt;
    context.out.logLines.push_back("cancel repeated job=" + cancel.job + " attempt="
                                   + cancel.attempt + " agent=" + found->second.agent);
    sendMessage(context, found->second.agent, std::move(cancel));
}

void removeOldCancels(EntryContext context)
{
    auto &unconfirmed = context.entry.unconfirmedCancels;
    for (auto at = unconfirmed.begin(); at != unconfirmed.end();) {
        const bool expired =
            context.now - at->second.sentAt > context.entry.options.finishedRetentionMs;
        at = expired ? unconfirmed.erase(at) : std::next(at);
    }
}

void onAttemptListed(EntryContext context, std::string_view attempt)
{
    auto &entry = context.entry;
    const auto found = entry.byAttempt.find(std::string(attempt));
    if (found == entry.byAttempt.end())
        return;
    auto &job = *entry.jobs.at(found->second);
    const auto *listed = findAttempt(job, attempt);
    // ownerQueryUntil is 0 if the owner is queried because the key was already claimed, and not
    // because the agent was lost.
    if (job.state != JobState::QueryingOwner || job.ownerQueryUntil == 0 || !listed->accepted)
        return;
    setTimer(entry, job, 0);
    job.state = JobState::Running;
    job.currentAttempt = attempt;
}

void cancelJob(EntryContext context, Job &job)
{
    const bool mayBeRunning = !job.attempts.empty() || job.state == JobState::Forwarded;
    if (job.state == JobState::Finished || job.state == JobState::Cancelling)
        return;
    job.cancelled = true;
    if (job.state == JobState::WaitingForRegion) {
        finishUnreachable(context, job, makeReason(ReasonCode::Cancelled, "cancelled by request"));
        return;
    }
    if (!mayBeRunning) {
        const auto verdict =
            job.state == JobState::QueryingOwner ? Verdict::MayHaveRun : Verdict::NotRun;
        finishJob(context, job, verdict, makeReason(ReasonCode::Cancelled, "cancelled by request"));
        return;
    }
    if (job.state == JobState::Forwarded) {
        Cancel cancel;
        cancel.job = job.spec.job;
        sendMessage(context, job.forwardedTo, std::move(cancel));
        return;
    }
    dequeue(context.entry.queue, job);
    releaseReservation(context, job, "the job is cancelled");
    for (const auto &attempt : job.attempts)
        sendCancel(context, job, attempt);
    job.state = JobState::Cancelling;
    setTimer(context.entry, job, context.now + context.entry.options.cancelTimeoutMs);
}

void fireTimers(EntryContext context)
{
    auto &entry = context.entry;
    while (!entry.timers.empty() && entry.timers.begin()->first <= context.now) {
        const auto serial = entry.timers.begin()->second;
        entry.timers.erase(entry.timers.begin());
        auto &job = *entry.jobs.at(serial);
        job.timerAt = 0;
        onTimer(context, job);
    }
}

void removeFinishedJobs(EntryContext context)
{
    auto &entry = context.entry;
    const auto finishedBefore = context.now - entry.options.finishedRetentionMs;
    while (!entry.finished.empty() && entry.finished.begin()->first < finishedBefore)
        removeJob(entry, entry.finished.begin()->second);
}

} // namespace flamingo
