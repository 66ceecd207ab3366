// Time advances in steps of ten milliseconds; messages and late orders wait in an event queue.

#include "scheduler_simulation.h"

#include "flamingo/scheduler/requests.h"

#include <algorithm>
#include <limits>

namespace flamingo::tests {
namespace {

using namespace scheduler;

constexpr TimeMs stepMs = 10;
constexpr TimeMs cancelBoundMs = 3000;
constexpr TimeMs contactMs = 3000; // a host is calm this long after a fault
constexpr TimeMs idleBoundMs = 3000;
constexpr TimeMs departedBoundMs = 4000;
constexpr TimeMs idleCalmMs = 4000;
constexpr TimeMs longRunningBoundMs = 6000;
constexpr TimeMs evacuationBoundMs = 5000;
constexpr TimeMs evacuationReserveMs = 500;
constexpr TimeMs evacuationPollMs = 900; // an entry reads the requests this often
// These leave half of the workers to the jobs that end.
constexpr std::ptrdiff_t mostLongRunningJobs = 4;
constexpr TimeMs unansweredCallMs = 300;
constexpr TimeMs lostReportMs = 400;
constexpr TimeMs longestLateOrderMs = 12000;
constexpr TimeMs callerDeadlineMs = 3000;
constexpr int mostSubmissions = 3; // of one job; its caller then cancels it
constexpr TimeMs longestLateAppendMs = 6000;
constexpr TimeMs gangTimeoutMs = 3000;
constexpr std::int64_t leaseMaxMs = 10000;
constexpr std::uint64_t unixStart = 1700000000000;
constexpr std::size_t entryCount = 2;
constexpr std::size_t hostCount = 4;
constexpr std::uint64_t epochStep = 1 << 20;
const Resources workerCapacity = {64000, 100000, 8};

// A replaced leader that is not paused reads the claim of its successor after this time.
constexpr TimeMs claimReadMs = 2000;

// A worker caps a requested lease at `leaseMaxMs` and never shortens the lease that it has.
void extendLease(FakeWorker &worker, std::int64_t until, std::int64_t clock)
{
    worker.leaseUntil = std::max(worker.leaseUntil, std::min(until, clock + leaseMaxMs));
}

} // namespace

SchedulerSimulation::SchedulerSimulation(std::uint64_t seed, const SimulationFaults &faults)
    : random(seed)
    , faults(faults)
    , entries(entryCount)
    , hosts(hostCount)
{
    for (Entry &entry : this->entries) {
        entry.scheduler.options.stopMs = faults.stopMs;
        entry.scheduler.guarantees["o0"] = 8;
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        Host &host = this->hosts[i];
        host.name = "h" + std::to_string(i);
        host.dataCentre = "d" + std::to_string(i % 2);
        host.agent.options.dataCentre = host.dataCentre;
        if (faults.evacuationsPerSecond > 0)
            host.agent.options.evacuationValidMs = evacuationBoundMs - evacuationReserveMs;
        host.agent.options.host = host.name;
        host.agent.options.agentStart = ++host.agentGeneration;
        host.agent.options.stopMs = faults.stopMs;
        host.worker.id = "w" + std::to_string(i);
        host.worker.incarnation = this->incarnationCounter++;
        host.worker.startedAt = this->now;
        host.worker.clockRate = 1 - 0.02 * double(this->random() % 100) / 100;
    }
    this->takeOver(this->entries[0]);
}

bool SchedulerSimulation::occurs(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

TimeMs SchedulerSimulation::randomBetween(TimeMs low, TimeMs high)
{
    return std::uniform_int_distribution<TimeMs>(low, high)(this->random);
}

void SchedulerSimulation::scheduleAfter(TimeMs delayMs, std::function<void()> action)
{
    this->eventQueue.emplace(this->now + delayMs, std::move(action));
}

void SchedulerSimulation::recordViolation(const std::string &text)
{
    if (this->firstViolation.empty())
        this->firstViolation = std::to_string(this->now) + " ms: " + text;
}

void SchedulerSimulation::run(TimeMs faultyMs, TimeMs calmMs)
{
    const TimeMs end = this->now + faultyMs;
    while (this->now < end && this->firstViolation.empty())
        this->step();
    this->faultsEnabled = false;
    const TimeMs submissionsEnd = this->now + this->faults.jobsAfterFaultsMs;
    const TimeMs calmEnd = submissionsEnd + calmMs;
    while (this->now < calmEnd && this->firstViolation.empty()
           && (this->now < submissionsEnd || !this->allEnded())) {
        if (this->now < submissionsEnd)
            this->submitJobs();
        this->step();
    }
    this->checkFailedJobs();
    this->cancelLongRunningJobs();
    if (!this->allEnded())
        this->recordViolation("a job has not ended although faults are over");
    const TimeMs settled = std::max(this->now, end + longestLateOrderMs) + contactMs + cancelBoundMs
        + this->faults.stopMs;
    while (this->now < settled && this->firstViolation.empty())
        this->step();
    this->checkNothingRuns();
}

void SchedulerSimulation::cancelLongRunningJobs()
{
    for (const auto &[id, behaviour] : this->behaviours) {
        if (!behaviour.longRunning || this->cancelledAt.count(id) > 0)
            continue;
        this->log.push_back(cancellationRecord(id));
        this->cancelledAt[id] = this->now;
    }
}

std::size_t SchedulerSimulation::completed() const
{
    std::size_t result = 0;
    for (const auto &[id, job] : this->jobs)
        result += callerVisibleState(this->entries[0].scheduler.table, id) == "completed" ? 1 : 0;
    return result;
}

bool SchedulerSimulation::allEnded() const
{
    return std::all_of(this->jobs.begin(), this->jobs.end(), [this](const auto &item) {
        const auto behaviour = this->behaviours.find(item.first);
        if (behaviour != this->behaviours.end() && behaviour->second.longRunning)
            return true;
        const auto state = callerVisibleState(this->entries[0].scheduler.table, item.first);
        if (!state && this->cancelledAt.count(item.first) > 0 && this->isUnstored(item.first))
            return true;
        return state && *state != "queued" && *state != "running";
    });
}

void SchedulerSimulation::step()
{
    this->now += stepMs;
    while (!this->eventQueue.empty() && this->eventQueue.begin()->first <= this->now) {
        const auto action = std::move(this->eventQueue.begin()->second);
        this->eventQueue.erase(this->eventQueue.begin());
        action();
    }
    if (this->faultsEnabled) {
        this->injectFaults();
        this->submitJobs();
    }
    for (Entry &entry : this->entries) {
        if (this->now < entry.pausedUntil || this->now < this->logDownUntil)
            continue;
        this->followLog(entry);
        if (this->now - entry.evacuationsReadAt >= evacuationPollMs
            && this->now >= entry.requestsUnreadableUntil)
            this->readEvacuations(entry);
        this->stepDownIfReplaced(entry);
    }
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        Entry &entry = this->entries[i];
        if (entry.scheduler.epoch == 0 || this->now < entry.pausedUntil)
            continue;
        if (this->beforePlan)
            this->beforePlan(entry.scheduler);
        plan(entry.scheduler, this->now, unixStart + static_cast<std::uint64_t>(this->now));
        entry.scheduler.decisions.clear();
        this->flush(i);
    }
    for (Host &host : this->hosts) {
        this->stepWorker(host);
        this->stepAgent(host);
        this->checkCancelledRuns(host);
    }
    this->checkDepartures();
    this->checkIdleJobs();
}

// At most one data centre is evacuated at a time, so that work can go on.
void SchedulerSimulation::requestEvacuation()
{
    if (!this->evacuatedAt.empty() || this->now < this->logDownUntil)
        return;
    const std::string dataCentre = this->hosts[this->random() % this->hosts.size()].dataCentre;
    this->evacuatedAt[dataCentre] = this->now;
    this->scheduleAfter(this->randomBetween(1000, 15000), [this, dataCentre] {
        this->evacuatedAt.erase(dataCentre);
        this->lastEvacuationEndAt = this->now;
    });
}

void SchedulerSimulation::readEvacuations(Entry &entry)
{
    entry.evacuationsReadAt = this->now;
    entry.scheduler.evacuations.clear();
    for (const auto &[dataCentre, at] : this->evacuatedAt)
        applyEvacuationRecord(entry.scheduler.evacuations, dataCentre, "{}", 0, this->now);
}

void SchedulerSimulation::checkEvacuatedStart(const Host &host, const std::string &task, bool late)
{
    const auto found = this->evacuatedAt.find(host.dataCentre);
    if (found == this->evacuatedAt.end() || late)
        return;
    const TimeMs sinceMs = this->now - found->second;
    if (sinceMs > evacuationBoundMs)
        this->recordViolation("started " + std::to_string(sinceMs) + " ms after the evacuation of "
                              + host.dataCentre + ": " + task + " on " + host.name);
}

void SchedulerSimulation::losePower()
{
    const TimeMs lengthMs = this->randomBetween(1000, 14000);
    this->lastLeaderChangeAt = this->now + lengthMs;
    for (Entry &entry : this->entries) {
        endLeading(entry.scheduler);
        entry.offset = 0;
        entry.flushing = false;
        entry.pausedUntil = std::max(entry.pausedUntil, this->now + lengthMs);
    }
    this->scheduleAfter(lengthMs, [this, index = this->random() % this->entries.size()] {
        this->restoreLeader(index);
    });
}

void SchedulerSimulation::restoreLeader(std::size_t index)
{
    Entry &entry = this->entries[index];
    if (this->now < this->logDownUntil || this->now < entry.pausedUntil) {
        this->scheduleAfter(100, [this, index] { this->restoreLeader(index); });
        return;
    }
    this->takeOver(entry);
}

// The worker ends after it has told its agent so. The agent runs on for a while.
void SchedulerSimulation::leave(Host &host)
{
    if (!host.worker.up || host.takenAwayAt != 0)
        return;
    applyDeregistration(host.agent, host.worker.id);
    this->crashWorker(host);
    host.takenAwayAt = this->now + this->randomBetween(500, 8000);
    host.workerDownUntil = host.takenAwayAt + this->randomBetween(200, 3000);
}

void SchedulerSimulation::replaceHost(Host &host)
{
    const AgentOptions options = host.agent.options;
    host.agent = {};
    host.agent.options = options;
    host.agent.options.agentStart = ++host.agentGeneration;
    host.name += "n";
    host.agent.options.host = host.name;
    host.agentDownUntil = this->now + 200;
    host.reporting = false;
    host.takenAwayAt = 0;
    host.worker.id = host.name + "w";
}

void SchedulerSimulation::storeWorkerEnd(Host &host)
{
    const std::string name = host.name;
    if (host.agent.worker && host.agent.workerGone && host.agent.workerEndStored)
        this->departedAt.try_emplace(workerKey(name, *host.agent.worker), this->now);
    const auto record = dueWorkerEnd(host.agent, this->now);
    if (!record)
        return;
    const bool late = this->faultsEnabled && this->occurs(this->faults.lateOrder);
    const TimeMs storedMs = late ? this->randomBetween(500, 6000) : this->randomBetween(5, 40);
    const std::uint64_t generation = host.agentGeneration;
    const std::string key = parseKey(record->key)->workerKey;
    this->scheduleAfter(storedMs, [this, record = *record, key] {
        if (this->now < this->logDownUntil)
            return;
        this->log.push_back(record);
        this->departedAt.try_emplace(key, this->now);
    });
    this->scheduleAfter(late ? unansweredCallMs : storedMs + 5,
                        [this, &host, key, generation, late] {
                            if (generation != host.agentGeneration)
                                return;
                            AppendResult result;
                            if (!late && this->now >= this->logDownUntil)
                                result.status = AppendStatus::Stored;
                            applyWorkerEndResult(host.agent, key, result, this->now);
                        });
}

void SchedulerSimulation::checkDepartures()
{
    for (const Entry &entry : this->entries) {
        if (entry.scheduler.epoch == 0 || entry.scheduler.epoch != this->logEpoch)
            continue;
        const TimeMs readsSince = std::max(
            {entry.leadsSince, entry.pausedUntil, this->logDownUntil, this->lastLeaderChangeAt});
        for (const auto &[id, row] : entry.scheduler.table.jobs) {
            if (!row.job || row.progress.outcome != Outcome::Open)
                continue;
            for (const TaskProgress &task : row.progress.tasks) {
                const bool assigned =
                    task.phase == TaskPhase::Assigned || task.phase == TaskPhase::Stopping;
                const auto departed =
                    assigned ? this->departedAt.find(task.worker) : this->departedAt.end();
                if (departed != this->departedAt.end()
                    && this->now - std::max(readsSince, departed->second) > departedBoundMs)
                    this->recordViolation("a task of " + id
                                          + " is held for a worker that has left: " + task.worker);
            }
        }
    }
}

void SchedulerSimulation::injectFaults()
{
    const double share = double(stepMs) / 1000;
    if (this->occurs(this->faults.leaderChangesPerSecond * share)) {
        this->lastLeaderChangeAt = this->now;
        // The replaced leader is often paused, and continues later without notice of the change.
        for (Entry &entry : this->entries) {
            if (entry.scheduler.epoch != 0 && this->occurs(0.7))
                entry.pausedUntil = this->now + this->randomBetween(100, 6000);
        }
        Entry &next = this->entries[this->random() % this->entries.size()];
        if (this->now >= this->logDownUntil && this->now >= next.pausedUntil)
            this->takeOver(next);
    }
    if (this->occurs(this->faults.logOutagesPerSecond * share))
        this->logDownUntil = this->now + this->randomBetween(500, 5000);
    for (Host &host : this->hosts) {
        if (this->occurs(this->faults.agentRestartsPerSecond * share)) {
            host.agentDownUntil = this->now + this->randomBetween(100, 4000);
            const AgentOptions options = host.agent.options;
            host.agent = {};
            host.agent.options = options;
            host.agent.options.agentStart = ++host.agentGeneration;
            host.reporting = false;
        }
        if (this->occurs(this->faults.workerCrashesPerSecond * share))
            this->crashWorker(host);
        if (this->occurs(this->faults.hostDisconnectsPerSecond * share))
            host.disconnectedUntil = this->now + this->randomBetween(500, 14000);
        // No number is drawn without this fault, so that the seeds of other tests stay the same.
        if (this->faults.busyWorkersPerSecond > 0
            && this->occurs(this->faults.busyWorkersPerSecond * share))
            host.busyUntil = this->now + this->randomBetween(1000, 6000);
        if (this->faults.muteWorkersPerSecond > 0
            && this->occurs(this->faults.muteWorkersPerSecond * share))
            host.muteUntil = this->now + this->randomBetween(500, this->faults.longestMuteMs);
        if (this->faults.unheardWorkersPerSecond > 0
            && this->occurs(this->faults.unheardWorkersPerSecond * share))
            host.unheardUntil = this->now + this->randomBetween(500, this->faults.longestMuteMs);
        if (this->faults.failingWorkersPerSecond > 0
            && this->occurs(this->faults.failingWorkersPerSecond * share))
            host.failingUntil = this->now + this->randomBetween(2000, 8000);
        if (this->faults.departuresPerSecond > 0
            && this->occurs(this->faults.departuresPerSecond * share))
            this->leave(host);
        if (this->faults.agentPausesPerSecond > 0
            && this->occurs(this->faults.agentPausesPerSecond * share))
            host.agentPausedUntil = this->now + this->randomBetween(500, 14000);
    }
    for (Entry &entry : this->entries) {
        if (this->faults.entryPausesPerSecond > 0
            && this->occurs(this->faults.entryPausesPerSecond * share))
            entry.pausedUntil =
                std::max(entry.pausedUntil, this->now + this->randomBetween(500, 6000));
        if (this->faults.requestOutagesPerSecond > 0
            && this->occurs(this->faults.requestOutagesPerSecond * share))
            entry.requestsUnreadableUntil = this->now + this->randomBetween(3000, 12000);
    }
    if (this->faults.evacuationsPerSecond > 0
        && this->occurs(this->faults.evacuationsPerSecond * share))
        this->requestEvacuation();
    if (this->faults.powerLossesPerSecond > 0
        && this->occurs(this->faults.powerLossesPerSecond * share))
        this->losePower();
    if (this->faults.hostMuteFrom > 0 && this->now >= this->faults.hostMuteFrom)
        this->hosts[0].muteUntil = std::numeric_limits<TimeMs>::max() / 2;
}

void SchedulerSimulation::crashWorker(Host &host)
{
    FakeWorker &worker = host.worker;
    worker.up = false;
    const auto runs = std::move(worker.runs);
    worker.runs.clear();
    for (const auto &[key, run] : runs)
        this->endMembers(key, EndKind::Broken);
    // Ends that were not acknowledged are lost with the worker.
    this->unacknowledgedSuccesses.erase(worker.id + "@" + std::to_string(worker.incarnation));
    host.workerDownUntil = this->now + this->randomBetween(200, 6000);
}

void SchedulerSimulation::submitJobs()
{
    if (!this->occurs(this->faults.jobsPerSecond * double(stepMs) / 1000)
        || this->now < this->logDownUntil)
        return;
    Job job;
    job.id = "j" + std::to_string(this->jobs.size());
    job.queue = "q";
    job.organisation = "o" + std::to_string(this->random() % 2);
    job.service = "s";
    job.payload = job.id;
    job.priority = static_cast<std::uint32_t>(this->random() % 3);
    job.maxAttempts = 100;
    job.stretch = 2;
    job.targetLatencyMs = 500;
    job.acceptedUnixMs = unixStart + static_cast<std::uint64_t>(this->now);
    const std::size_t steps = 1 + this->random() % 2;
    for (std::size_t i = 0; i < steps; ++i) {
        Step step;
        step.count = static_cast<std::uint32_t>(1 + this->random() % 4);
        step.need = {
            8000, 1000,
            std::min(std::int64_t(1) << (this->random() % 4), this->faults.mostAccelerators)};
        step.estimateMs = this->randomBetween(300, this->faults.longestEstimateMs);
        step.checkpointing = this->occurs(0.5);
        step.gang = this->occurs(0.4);
        if (i > 0)
            step.after = {0};
        job.steps.push_back(step);
    }
    if (this->faults.longRunningJob > 0 || this->faults.failingJob > 0)
        this->behaviours[job.id] = this->drawBehaviour(job);
    this->jobs[job.id] = job;
    if (this->faults.requestsMayFail) {
        this->sendSubmission(job, 1);
        if (this->occurs(this->faults.cancelledJob))
            this->scheduleAfter(this->randomBetween(100, this->faults.longestCancelDelayMs),
                                [this, id = job.id] { this->sendCancellation(id); });
        return;
    }
    this->log.push_back(acceptanceRecord(job));
    if (this->occurs(0.1))
        this->log.push_back(acceptanceRecord(job)); // a repeated request of the caller
    if (!this->occurs(this->faults.cancelledJob))
        return;
    const TimeMs delayMs = this->randomBetween(100, this->faults.longestCancelDelayMs);
    this->scheduleAfter(delayMs, [this, id = job.id] {
        if (this->now < this->logDownUntil)
            return;
        this->log.push_back(cancellationRecord(id));
        this->cancelledAt[id] = this->now;
    });
}

// An entry whose table is being loaded again answers no callers.
bool SchedulerSimulation::canServe(const Entry &entry) const
{
    return this->now >= this->logDownUntil && (entry.offset > 0 || this->log.empty());
}

void SchedulerSimulation::sendSubmission(const Job &job, int attempt)
{
    this->handleSubmission(this->random() % this->entries.size(), job);
    this->scheduleAfter(callerDeadlineMs, [this, job, attempt] {
        if (this->answeredJobs.count(job.id) > 0 || this->cancelledAt.count(job.id) > 0)
            return;
        if (attempt == mostSubmissions || this->occurs(this->faults.cancelledUnanswered))
            this->sendCancellation(job.id);
        else
            this->sendSubmission(job, attempt + 1);
    });
}

void SchedulerSimulation::handleSubmission(std::size_t index, const Job &job)
{
    const Entry &entry = this->entries[index];
    const TimeMs waitMs = std::max<TimeMs>(entry.pausedUntil - this->now, 0);
    if (waitMs > 0 || !this->canServe(entry)) {
        this->scheduleAfter(std::max(waitMs, stepMs),
                            [this, index, job] { this->handleSubmission(index, job); });
        return;
    }
    const auto answer = [this, id = job.id] { this->answeredJobs.insert(id); };
    if (submissionStep(entry.scheduler.table, job) == SubmissionStep::Append)
        this->appendForCaller(index, acceptanceRecord(job), answer);
    else
        answer();
}

// Cancels the job at some entry, until a cancellation is acknowledged.
void SchedulerSimulation::sendCancellation(const std::string &jobId)
{
    this->handleCancellation(this->random() % this->entries.size(), jobId, this->now);
    this->scheduleAfter(callerDeadlineMs, [this, jobId] {
        if (this->cancelledAt.count(jobId) == 0)
            this->sendCancellation(jobId);
    });
}

void SchedulerSimulation::handleCancellation(std::size_t index, const std::string &jobId,
                                             TimeMs arrivedAt)
{
    const Entry &entry = this->entries[index];
    if (this->now < entry.pausedUntil) {
        this->scheduleAfter(entry.pausedUntil - this->now, [this, index, jobId] {
            this->handleCancellation(index, jobId, this->now);
        });
        return;
    }
    const auto acknowledge = [this, jobId] { this->cancelledAt.try_emplace(jobId, this->now); };
    const bool served = this->canServe(entry);
    const Job &job = this->jobs.at(jobId);
    const Caller caller = {job.queue, job.organisation, false};
    const auto step = cancellationStep(entry.scheduler.table, entry.scheduler.options, jobId,
                                       caller, served && entry.readAt > arrivedAt, 0);
    if (!served || step == CancellationStep::ReadLog)
        this->scheduleAfter(stepMs, [this, index, jobId, arrivedAt] {
            this->handleCancellation(index, jobId, arrivedAt);
        });
    else if (step == CancellationStep::AppendCancellation)
        this->appendForCaller(index, cancellationRecord(jobId), acknowledge);
    else if (step == CancellationStep::AppendEarlyCancellation)
        this->appendForCaller(index, earlyCancellationRecord(jobId, caller), acknowledge);
    else
        acknowledge();
}

// Appends a record for a caller, whom a paused entry does not answer.
void SchedulerSimulation::appendForCaller(std::size_t index, const Record &record,
                                          const std::function<void()> &answer)
{
    const bool late = this->faultsEnabled && this->occurs(this->faults.lateAppend);
    const TimeMs delayMs =
        late ? this->randomBetween(500, longestLateAppendMs) : this->randomBetween(5, 40);
    const auto store = [this, index, record, answer, late] {
        this->log.push_back(record);
        const auto key = parseKey(record.key);
        if (key->kind == RecordKind::Acceptance) {
            this->storedJobs.insert(key->jobId);
            this->acceptedTooLate += this->cancelledAt.count(key->jobId);
        }
        if (!late && this->now >= this->entries[index].pausedUntil)
            answer();
    };
    this->scheduleAfter(delayMs, [this, store] {
        this->scheduleAfter(std::max<TimeMs>(this->logDownUntil - this->now, 0), store);
    });
}

bool SchedulerSimulation::isUnstored(const std::string &jobId) const
{
    return this->faults.requestsMayFail && this->storedJobs.count(jobId) == 0;
}

// Draws what the runs of the job do, and changes the job accordingly.
RunBehaviour SchedulerSimulation::drawBehaviour(Job &job)
{
    RunBehaviour behaviour;
    const auto longRunning =
        std::count_if(this->behaviours.begin(), this->behaviours.end(),
                      [](const auto &item) { return item.second.longRunning; });
    if (this->occurs(this->faults.longRunningJob) && longRunning < mostLongRunningJobs) {
        Step &step = job.steps.front();
        step.gang = false;
        step.longRunning = true;
        step.need.accelerators = 1;
        step.maxPerWorker = this->occurs(0.5) ? 1 : 0;
        job.steps.resize(1);
        behaviour.longRunning = true;
        behaviour.fails = this->occurs(0.6);
        behaviour.longestRunMs = this->occurs(0.8) ? this->randomBetween(200, 5000) : 0;
        return behaviour;
    }
    behaviour.fails = this->occurs(this->faults.failingJob);
    if (behaviour.fails) {
        job.maxAttempts = static_cast<std::uint32_t>(this->randomBetween(1, 10));
        behaviour.longestRunMs = 1000;
        return behaviour;
    }
    if (!this->occurs(this->faults.lastAttemptJob))
        return behaviour;
    job.maxAttempts = static_cast<std::uint32_t>(this->randomBetween(1, 2));
    behaviour.firstFails = job.maxAttempts > 1 && this->occurs(0.5);
    return behaviour;
}

void SchedulerSimulation::followLog(Entry &entry)
{
    entry.readAt = this->now;
    for (; entry.offset < this->log.size(); ++entry.offset) {
        const Record &record = this->log[entry.offset];
        Reason reason;
        applyRecord(entry.scheduler.table, record.key, record.value, entry.scheduler.epoch != 0,
                    reason);
    }
}

// A replaced leader that has nothing to append learns of its successor by the claim in the log.
void SchedulerSimulation::stepDownIfReplaced(Entry &entry)
{
    if (entry.scheduler.epoch == 0 || entry.scheduler.epoch == this->logEpoch)
        return;
    entry.replacedForMs += stepMs;
    if (entry.replacedForMs < claimReadMs)
        return;
    endLeading(entry.scheduler);
    entry.offset = 0;
}

void SchedulerSimulation::takeOver(Entry &entry)
{
    this->logEpoch += epochStep;
    if (entry.scheduler.epoch != 0)
        endLeading(entry.scheduler);
    entry.scheduler.table = {};
    entry.offset = 0;
    this->followLog(entry);
    this->beginTerm(entry);
}

void SchedulerSimulation::beginTerm(Entry &entry)
{
    beginLeading(entry.scheduler, this->logEpoch, this->now);
    entry.flushing = false;
    entry.replacedForMs = 0;
    entry.leadsSince = this->now;
}

void SchedulerSimulation::flush(std::size_t index)
{
    Entry &entry = this->entries[index];
    if (entry.flushing)
        return;
    const std::vector<Record> records = takeRecords(entry.scheduler, this->now);
    const std::uint64_t number = entry.scheduler.flush - 1;
    if (records.empty()) {
        markFlushStored(entry.scheduler, number);
        return;
    }
    entry.flushing = true;
    const std::uint64_t epoch = entry.scheduler.epoch;
    this->scheduleAfter(this->randomBetween(5, 40), [this, index, epoch, number, records] {
        this->append(index, epoch, number, records);
    });
}

void SchedulerSimulation::append(std::size_t index, std::uint64_t epoch, std::uint64_t flush,
                                 const std::vector<Record> &records)
{
    Entry &writer = this->entries[index];
    if (writer.scheduler.epoch != epoch)
        return;
    if (this->now < this->logDownUntil || this->now < writer.pausedUntil) {
        this->scheduleAfter(100, [this, index, epoch, flush, records] {
            this->append(index, epoch, flush, records);
        });
        return;
    }
    if (epoch < this->logEpoch) {
        endLeading(writer.scheduler);
        writer.offset = 0;
        return;
    }
    this->log.insert(this->log.end(), records.begin(), records.end());
    writer.flushing = false;
    markFlushStored(writer.scheduler, flush);
}

void SchedulerSimulation::stepAgent(Host &host)
{
    if (host.takenAwayAt != 0 && this->now >= host.takenAwayAt)
        this->replaceHost(host);
    if (this->now < host.agentDownUntil || this->now < host.agentPausedUntil)
        return;
    FakeWorker &worker = host.worker;
    if (worker.up && this->now % 500 < stepMs) {
        WorkerInfo info;
        info.id = worker.id;
        info.bornUnixMs = worker.incarnation;
        info.service = "s";
        info.capacity = workerCapacity;
        info.labels = {"a", "r" + std::to_string((&host - this->hosts.data()) / 2)};
        applyHeartbeat(host.agent, info, ++worker.heartbeat, this->now);
    }
    if (this->beforeCalls)
        this->beforeCalls(host.agent, this->now);
    this->storeWorkerEnd(host);
    for (const WorkerCall &call : dueCalls(host.agent, this->now))
        this->callWorker(host, call);
    host.agent.decisions.clear();
    if (!host.reporting && this->now >= host.nextReport
        && (host.agent.worker || host.agent.workerGone))
        this->report(host);
}

// A paused agent receives the answer when it continues.
void SchedulerSimulation::answerAgent(Host &host, std::uint64_t generation, const WorkerCall &call,
                                      const WorkerAnswer &answer)
{
    if (generation != host.agentGeneration)
        return;
    if (this->now < host.agentPausedUntil) {
        this->scheduleAfter(host.agentPausedUntil - this->now,
                            [this, &host, generation, call, answer] {
                                this->answerAgent(host, generation, call, answer);
                            });
        return;
    }
    applyAnswer(host.agent, call, answer, this->now);
}

void SchedulerSimulation::callWorker(Host &host, const WorkerCall &call)
{
    const std::uint64_t generation = host.agentGeneration;
    const auto reply = [this, &host, call, generation](const WorkerAnswer &answer) {
        this->answerAgent(host, generation, call, answer);
    };
    if (this->faultsEnabled && this->occurs(this->faults.lateOrder)) {
        this->scheduleAfter(this->randomBetween(500, longestLateOrderMs),
                            [this, &host, call, incarnation = host.worker.incarnation] {
                                if (incarnation == host.worker.incarnation
                                    || this->faults.lateOrdersReachRestartedWorkers)
                                    this->execute(host, call, true);
                            });
        if (std::holds_alternative<StopCall>(call))
            this->excuseRuns(host, unansweredCallMs + host.agent.options.retryMs);
        this->scheduleAfter(unansweredCallMs, [reply] { reply({}); });
        return;
    }
    this->scheduleAfter(this->randomBetween(1, 10), [this, &host, call, reply] {
        if (this->now < host.muteUntil) {
            this->scheduleAfter(unansweredCallMs, [reply] { reply({}); });
            return;
        }
        const WorkerAnswer answer = this->execute(host, call);
        const bool lost = (this->faultsEnabled && this->occurs(this->faults.lostAnswer))
            || this->now < host.unheardUntil;
        this->scheduleAfter(lost ? unansweredCallMs : this->randomBetween(1, 10),
                            [reply, answer, lost] { reply(lost ? WorkerAnswer() : answer); });
    });
}

std::int64_t SchedulerSimulation::workerClock(const FakeWorker &worker) const
{
    return static_cast<std::int64_t>(double(this->now - worker.startedAt) * worker.clockRate) + 1;
}

void SchedulerSimulation::acknowledge(FakeWorker &worker, std::uint64_t upTo)
{
    auto &open =
        this->unacknowledgedSuccesses[worker.id + "@" + std::to_string(worker.incarnation)];
    while (!worker.ends.empty() && worker.ends.front().number <= upTo) {
        const ReportedEnd end = worker.ends.front();
        worker.ends.erase(worker.ends.begin());
        if (end.how != EndKind::Done)
            continue;
        for (const SuccessfulEnd &success : open) {
            if (success.task != end.task)
                continue;
            this->acknowledgedSuccessAt[end.task] = success.at;
            for (const TimeMs start : this->startTimes[end.task]) {
                if (start > success.at)
                    this->recordViolation("started after an acknowledged success: " + end.task);
            }
        }
    }
}

WorkerAnswer SchedulerSimulation::execute(Host &host, const WorkerCall &call, bool late)
{
    FakeWorker &worker = host.worker;
    WorkerAnswer answer;
    if (!worker.up) {
        answer.result = CallResult::NoListener;
        return answer;
    }
    const auto &id = std::visit(
        [](const auto &each) -> const auto & { return each.workerId; }, call);
    if (!id.empty() && id != worker.id)
        return answer; // meant for another worker: not answered
    if (this->now < host.busyUntil && this->occurs(this->faults.refusedCall)) {
        answer.result = CallResult::Busy;
        answer.reason = "busy";
        this->refusedStopCount += std::holds_alternative<StopCall>(call) ? 1 : 0;
        return answer;
    }
    const std::uint64_t token =
        std::visit([](const auto &each) { return each.fencingToken; }, call);
    answer.clockMs = this->workerClock(worker);
    answer.bornUnixMs = worker.incarnation;
    if (token < worker.token) {
        answer.result = CallResult::Fenced;
        return answer;
    }
    worker.token = token;
    answer.result = CallResult::Done;
    if (const auto *poll = std::get_if<PollCall>(&call)) {
        extendLease(worker, poll->leaseUntil, answer.clockMs);
        this->acknowledge(worker, poll->acknowledgedEnd);
        for (const auto &[key, run] : worker.runs)
            answer.running.push_back(
                {key.first, key.second, RunState::Running, run.leftMs, "", ""});
        const std::size_t count = std::min(worker.ends.size(), this->faults.endsPerAnswer);
        answer.ends.assign(worker.ends.begin(), worker.ends.begin() + static_cast<long>(count));
        answer.endsComplete = this->faults.cutListsLookComplete || count == worker.ends.size();
    } else if (const auto *stop = std::get_if<StopCall>(&call)) {
        this->stop(worker, stop->order);
    } else {
        this->start(host, std::get<StartCall>(call), late, answer);
    }
    return answer;
}

void SchedulerSimulation::stop(FakeWorker &worker, const StopOrder &order)
{
    std::uint32_t &refused = worker.refusedUpTo[order.task];
    refused = std::max(refused, order.run);
    const auto found = worker.runs.find({order.task, order.run});
    if (found == worker.runs.end() || found->second.stopAt != 0)
        return;
    if (std::exchange(found->second.ignoresStop, false))
        return;
    found->second.stopAt = this->now + this->randomBetween(0, this->faults.stopMs);
}

const Job *SchedulerSimulation::findJob(const std::string &task) const
{
    const auto name = parseTaskName(task);
    const auto found = name ? this->jobs.find(name->jobId) : this->jobs.end();
    return found == this->jobs.end() ? nullptr : &found->second;
}

void SchedulerSimulation::start(Host &host, const StartCall &call, bool late, WorkerAnswer &answer)
{
    FakeWorker &worker = host.worker;
    const FakeWorker::Key key = {call.order.task, call.order.run};
    if (worker.runs.count(key) > 0)
        return;
    if (call.order.run <= worker.refusedUpTo[key.first]
        || call.leaseUntil <= this->workerClock(worker)) {
        answer.result = CallResult::Refused;
        return;
    }
    extendLease(worker, call.leaseUntil, this->workerClock(worker));
    const Job *job = this->findJob(key.first);
    if (job == nullptr) {
        this->recordViolation("start of a task of an unknown job: " + key.first);
        return;
    }
    const Step &step = job->steps[parseTaskName(key.first)->position.step];
    this->checkStart(host, key.first, step, late);
    FakeWorker::Running run;
    run.leftMs = std::max<TimeMs>(50, step.estimateMs * this->randomBetween(20, 200) / 100);
    run.fails = this->faultsEnabled && this->occurs(this->faults.failedRun);
    const auto found = this->behaviours.find(job->id);
    if (found != this->behaviours.end()) {
        const RunBehaviour &behaviour = found->second;
        run.fails = run.fails || behaviour.fails || (behaviour.firstFails && key.second == 1);
        if (behaviour.longestRunMs > 0)
            run.leftMs = this->randomBetween(50, behaviour.longestRunMs);
        else if (behaviour.longRunning)
            run.leftMs = std::numeric_limits<TimeMs>::max();
    }
    if (this->now < host.failingUntil) {
        run.fails = true;
        run.leftMs = this->randomBetween(100, 1500);
    }
    run.need = step.need;
    run.startedAt = this->now;
    run.ignoresStop = this->faults.ignoredStop > 0 && this->occurs(this->faults.ignoredStop);
    run.judgedFrom = late ? this->now + contactMs : 0;
    worker.runs[key] = run;
    this->startTimes[key.first].push_back(this->now);
    ++this->startCount;
}

void SchedulerSimulation::checkStart(const Host &host, const std::string &task, const Step &step,
                                     bool late)
{
    for (const Host &other : this->hosts) {
        for (const auto &[key, run] : other.worker.runs) {
            if (key.first == task)
                this->recordViolation("runs twice at the same time: " + task);
        }
    }
    if (this->acknowledgedSuccessAt.count(task) > 0)
        this->recordViolation("started after an acknowledged success: " + task);
    Resources used = step.need;
    for (const auto &[key, run] : host.worker.runs)
        used += run.need;
    if (!fits(used, workerCapacity))
        this->recordViolation("allocations exceed the worker's capacity: " + task);
    this->checkCancelledStart(host, task, late);
    this->checkEvacuatedStart(host, task, late);
    const auto name = parseTaskName(task);
    for (const std::uint32_t before : step.after) {
        const Job &job = this->jobs.at(name->jobId);
        for (std::uint32_t i = 0; i < job.steps[before].count; ++i) {
            const std::string needed = taskName(job, {0, before, i});
            if (this->succeededTasks.count(needed) == 0)
                this->recordViolation(
                    std::string("started before ").append(needed).append(": ").append(task));
        }
    }
}

void SchedulerSimulation::checkCancelledStart(const Host &host, const std::string &task, bool late)
{
    const auto cancelled = this->cancelledAt.find(parseTaskName(task)->jobId);
    if (cancelled == this->cancelledAt.end())
        return;
    const TimeMs sinceMs = this->now - cancelled->second;
    const TimeMs lastFault = std::max(
        {this->logDownUntil, host.agentDownUntil, host.agentPausedUntil, host.disconnectedUntil});
    const bool inTouch = this->now >= lastFault + contactMs;
    // A late order may still be carried out after the bound for the cancellation.
    const bool calmEnd = !this->faultsEnabled && sinceMs > cancelBoundMs + longestLateOrderMs;
    if (calmEnd || (!late && inTouch && sinceMs > cancelBoundMs))
        this->recordViolation("started " + std::to_string(sinceMs)
                              + " ms after its job was cancelled: " + task + " on " + host.name);
}

// The end of the last fault that may delay a stop on the host.
TimeMs SchedulerSimulation::lastFaultAt(const Host &host) const
{
    TimeMs result =
        std::max({this->logDownUntil, this->lastLeaderChangeAt, host.agentDownUntil,
                  host.workerDownUntil, host.disconnectedUntil, host.busyUntil, host.muteUntil,
                  host.unheardUntil, host.agentPausedUntil, host.failingUntil});
    for (const Entry &entry : this->entries)
        result = std::max(result, entry.pausedUntil);
    return result;
}

bool SchedulerSimulation::wasCancelled(const std::string &task) const
{
    return this->cancelledAt.count(parseTaskName(task)->jobId) > 0;
}

void SchedulerSimulation::excuseRuns(Host &host, TimeMs delayMs)
{
    for (auto &[key, run] : host.worker.runs)
        run.unwantedMs -= this->wasCancelled(key.first) ? delayMs : 0;
}

void SchedulerSimulation::checkCancelledRuns(Host &host)
{
    const bool calm = this->now >= this->lastFaultAt(host) + contactMs;
    for (auto &[key, run] : host.worker.runs) {
        if (!this->wasCancelled(key.first))
            continue;
        run.unwantedMs = calm && this->now >= run.judgedFrom ? run.unwantedMs + stepMs : 0;
        if (run.unwantedMs > cancelBoundMs + this->faults.stopMs)
            this->recordViolation("runs on after its job was cancelled: " + key.first + " run "
                                  + std::to_string(key.second) + " on " + host.name);
    }
}

bool SchedulerSimulation::mostIsIdle() const
{
    std::int64_t used = 0;
    for (const Host &host : this->hosts) {
        for (const auto &[key, run] : host.worker.runs)
            used += run.need.accelerators;
    }
    return 2 * used < static_cast<std::int64_t>(hostCount) * workerCapacity.accelerators;
}

bool SchedulerSimulation::isRunning(const std::string &task) const
{
    return std::any_of(this->hosts.begin(), this->hosts.end(), [&task](const Host &host) {
        const auto found = host.worker.runs.lower_bound({task, 0});
        return found != host.worker.runs.end() && found->first.first == task;
    });
}

// Number of runs on the host of the step that the task belongs to.
std::uint32_t SchedulerSimulation::runsOfStepOn(const Host &host, const std::string &task) const
{
    const auto name = parseTaskName(task);
    std::uint32_t result = 0;
    for (const auto &[key, run] : host.worker.runs) {
        const auto other = parseTaskName(key.first);
        result +=
            other->jobId == name->jobId && other->position.step == name->position.step ? 1 : 0;
    }
    return result;
}

// Number of tasks of the step that the workers have room for now, at most as many as are asked for:
// twice a gang, or two tasks.
std::uint32_t SchedulerSimulation::placesFor(const Job &job, const Step &step) const
{
    const std::uint32_t needed = 2 * (step.gang ? step.count : 1);
    const auto number = static_cast<std::uint32_t>(&step - job.steps.data());
    std::uint32_t places = 0;
    for (const Host &host : this->hosts) {
        Resources used = step.need;
        for (const auto &[key, run] : host.worker.runs)
            used += run.need;
        std::uint32_t left = needed;
        if (step.maxPerWorker > 0) {
            const std::uint32_t present = this->runsOfStepOn(host, taskName(job, {0, number, 0}));
            left = step.maxPerWorker - std::min(step.maxPerWorker, present);
        }
        const bool usable = host.worker.up && this->evacuatedAt.count(host.dataCentre) == 0;
        for (; usable && left > 0 && fits(used, workerCapacity) && places < needed; --left) {
            used += step.need;
            ++places;
        }
    }
    return places;
}

// True when none of the job's tasks is in progress and there is room twice over for its next ones:
// a whole gang, or a task.
bool SchedulerSimulation::couldRun(const Job &job) const
{
    for (const Host &host : this->hosts) {
        for (const auto &[key, run] : host.worker.runs) {
            if (parseTaskName(key.first)->jobId == job.id)
                return false;
        }
    }
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        const Step &step = job.steps[i];
        std::uint32_t open = 0;
        for (std::uint32_t index = 0; index < step.count; ++index)
            open += this->succeededTasks.count(taskName(job, {0, i, index})) == 0 ? 1 : 0;
        if (open == 0)
            continue;
        // The later steps depend on this one.
        return this->placesFor(job, step) >= 2 * (step.gang ? step.count : 1);
    }
    return false;
}

bool SchedulerSimulation::isCalm() const
{
    return !this->faultsEnabled && this->now >= this->lastEvacuationEndAt + idleCalmMs
        && std::all_of(this->hosts.begin(), this->hosts.end(), [this](const Host &host) {
               return this->now >= this->lastFaultAt(host) + idleCalmMs;
           });
}

void SchedulerSimulation::checkIdleJobs()
{
    const bool calm = this->isCalm();
    const bool judged = calm && this->mostIsIdle();
    for (const auto &[id, job] : this->jobs) {
        const auto behaviour = this->behaviours.find(id);
        if (behaviour != this->behaviours.end()) {
            if (behaviour->second.longRunning) {
                this->checkIdleLongRunningTasks(job, calm && this->cancelledAt.count(id) == 0);
                continue;
            }
            const auto state = callerVisibleState(this->entries[0].scheduler.table, id);
            if (state && *state == "failed") {
                this->idleMs[id] = 0;
                continue;
            }
        }
        const bool idle = judged && this->cancelledAt.count(id) == 0 && !this->isUnstored(id)
            && this->couldRun(job);
        TimeMs &lengthMs = this->idleMs[id];
        lengthMs = idle ? lengthMs + stepMs : 0;
        if (lengthMs > idleBoundMs)
            this->recordViolation("nothing runs although there is room: " + id);
    }
}

void SchedulerSimulation::checkIdleLongRunningTasks(const Job &job, bool calm)
{
    const Step &step = job.steps.front();
    const bool room = calm && this->placesFor(job, step) >= 2;
    for (std::uint32_t i = 0; i < step.count; ++i) {
        const std::string task = taskName(job, {0, 0, i});
        TimeMs &lengthMs = this->idleTaskMs[task];
        const bool idle = room && this->now >= this->lastEndAt[task] + longRunningBoundMs
            && !this->isRunning(task);
        lengthMs = idle ? lengthMs + stepMs : 0;
        if (lengthMs > idleBoundMs)
            this->recordViolation(
                "a long-running task is not started again although there is room: " + task);
    }
}

void SchedulerSimulation::checkFailedJobs()
{
    std::map<std::string, std::size_t> mostFailedRuns; // of a task or a gang, by job
    for (const auto &[task, runs] : this->failedRuns) {
        std::size_t &most = mostFailedRuns[parseTaskName(task)->jobId];
        most = std::max(most, runs.size());
    }
    for (const auto &[id, job] : this->jobs) {
        const auto state = callerVisibleState(this->entries[0].scheduler.table, id);
        if (state && *state == "failed" && mostFailedRuns[id] < job.maxAttempts)
            this->recordViolation("shown as failed without a cause: " + id);
    }
}

std::size_t SchedulerSimulation::soundJobsFailed() const
{
    std::size_t result = 0;
    for (const auto &[id, job] : this->jobs) {
        const auto behaviour = this->behaviours.find(id);
        const bool sound = behaviour == this->behaviours.end() || !behaviour->second.fails;
        const auto state = callerVisibleState(this->entries[0].scheduler.table, id);
        result += sound && state && *state == "failed" ? 1 : 0;
    }
    return result;
}

void SchedulerSimulation::checkNothingRuns()
{
    for (const Host &host : this->hosts) {
        for (const auto &[key, run] : host.worker.runs)
            this->recordViolation("runs although its job has ended: " + key.first + " on "
                                  + host.name);
    }
}

void SchedulerSimulation::endRun(FakeWorker &worker, const FakeWorker::Key &key, EndKind how)
{
    if (worker.runs.erase(key) == 0)
        return;
    std::uint32_t &refused = worker.refusedUpTo[key.first];
    refused = std::max(refused, key.second);
    worker.ends.push_back({++worker.lastEnd, key.first, key.second, how, "saved"});
    const auto name = parseTaskName(key.first);
    const Job &job = this->jobs.at(name->jobId);
    const Step &step = job.steps[name->position.step];
    if (how == EndKind::Failed) {
        TaskPosition counter = name->position;
        counter.index = step.gang ? 0 : counter.index;
        this->failedRuns[taskName(job, counter)].insert(key.second);
    }
    if (step.longRunning) {
        this->lastEndAt[key.first] = this->now;
        return;
    }
    if (how == EndKind::Done)
        this->succeededTasks.insert(key.first);
    if (how == EndKind::Done)
        this->unacknowledgedSuccesses[worker.id + "@" + std::to_string(worker.incarnation)]
            .push_back({key.first, this->now});
    this->endMembers(key, how == EndKind::Done ? EndKind::Done : EndKind::Broken);
}

// The members of a gang end together.
void SchedulerSimulation::endMembers(const FakeWorker::Key &key, EndKind how)
{
    const Job &job = *this->findJob(key.first);
    const TaskPosition position = parseTaskName(key.first)->position;
    if (!job.steps[position.step].gang)
        return;
    for (std::uint32_t i = 0; i < job.steps[position.step].count; ++i) {
        const std::string member = taskName(job, {position.occurrence, position.step, i});
        for (Host &host : this->hosts)
            this->endRun(host.worker, {member, key.second}, how);
    }
}

bool SchedulerSimulation::allMembersRunning(const FakeWorker::Key &key) const
{
    const Job &job = *this->findJob(key.first);
    const TaskPosition position = parseTaskName(key.first)->position;
    const Step &step = job.steps[position.step];
    for (std::uint32_t i = 0; i < step.count && step.gang; ++i) {
        const std::string member = taskName(job, {position.occurrence, position.step, i});
        const bool present =
            std::any_of(this->hosts.begin(), this->hosts.end(), [&](const Host &host) {
                return host.worker.runs.count({member, key.second}) > 0;
            });
        if (!present)
            return false;
    }
    return true;
}

void SchedulerSimulation::stepWorker(Host &host)
{
    FakeWorker &worker = host.worker;
    if (!worker.up) {
        if (this->now < host.workerDownUntil)
            return;
        const std::string id = this->occurs(0.5) ? worker.id : worker.id + "x";
        const double rate = worker.clockRate;
        worker = {};
        worker.id = id;
        worker.clockRate = rate;
        worker.incarnation = ++this->incarnationCounter;
        worker.startedAt = this->now;
    }
    const bool lapsed = this->workerClock(worker) > worker.leaseUntil;
    // A success that was not acknowledged before the lease lapsed does not bind the scheduler: it
    // may start the task again.
    if (lapsed)
        this->unacknowledgedSuccesses.erase(worker.id + "@" + std::to_string(worker.incarnation));
    std::vector<std::pair<FakeWorker::Key, EndKind>> ended;
    for (auto &[key, run] : worker.runs) {
        if (lapsed)
            ended.emplace_back(key, EndKind::Lapsed);
        else if (run.stopAt != 0 && this->now >= run.stopAt)
            ended.emplace_back(key, EndKind::Stopped);
        else if (!this->allMembersRunning(key)) {
            if (this->now - run.startedAt > gangTimeoutMs)
                ended.emplace_back(key, EndKind::Alone);
        } else if (run.stopAt == 0 && (run.leftMs -= stepMs) <= 0)
            ended.emplace_back(key, run.fails ? EndKind::Failed : EndKind::Done);
    }
    for (const auto &[key, how] : ended)
        this->endRun(worker, key, how);
}

void SchedulerSimulation::report(Host &host)
{
    const HostReport report = makeReport(host.agent);
    const TimeMs sentAt = this->now;
    const std::uint64_t generation = host.agentGeneration;
    host.reporting = true;
    host.nextReport = this->now + 50;
    const std::size_t entryIndex = host.entryIndex;
    const bool lost = this->now < host.disconnectedUntil
        || (this->faultsEnabled && this->occurs(this->faults.lostReport));
    const auto next = [this, &host, generation] {
        if (generation != host.agentGeneration)
            return;
        host.reporting = false;
        host.entryIndex = this->random() % this->entries.size();
    };
    if (lost) {
        if (this->now >= host.disconnectedUntil)
            this->excuseRuns(host, lostReportMs);
        this->scheduleAfter(lostReportMs, next);
        return;
    }
    this->scheduleAfter(this->randomBetween(2, 20),
                        [this, &host, report, sentAt, entryIndex, generation, next] {
                            Entry &entry = this->entries[entryIndex];
                            if (this->now < entry.pausedUntil || entry.scheduler.epoch == 0) {
                                this->scheduleAfter(100, next);
                                return;
                            }
                            applyReport(entry.scheduler, report, this->now);
                            HostOrders orders = ordersFor(entry.scheduler, host.name);
                            orders.jobLogAgeMs = this->now - entry.readAt;
                            orders.evacuationsAgeMs = this->now - entry.evacuationsReadAt;
                            this->scheduleAfter(this->randomBetween(2, 20),
                                                [this, &host, orders, sentAt, generation,
                                                 sequence = report.sequence] {
                                                    if (generation != host.agentGeneration)
                                                        return;
                                                    host.reporting = false;
                                                    applyOrders(host, orders, sentAt, sequence);
                                                });
                        });
}

void SchedulerSimulation::applyOrders(Host &host, const HostOrders &orders, TimeMs sentAt,
                                      std::uint64_t sequence)
{
    if (this->now < host.agentPausedUntil) {
        this->scheduleAfter(
            host.agentPausedUntil - this->now,
            [this, &host, orders, sentAt, sequence, generation = host.agentGeneration] {
                if (generation == host.agentGeneration)
                    this->applyOrders(host, orders, sentAt, sequence);
            });
        return;
    }
    if (this->now >= host.agentDownUntil)
        scheduler::applyOrders(host.agent, orders, sentAt, sequence, this->now);
}

} // namespace flamingo::tests
