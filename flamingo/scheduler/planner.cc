// Planning: one pass over all waiting tasks, by plan().
//
// A placement unit is what one search places: a whole gang, or the waiting tasks of a step. Units
// are sorted by priority; within one priority, guaranteed ones come first, then those that can
// still meet their objective, then those that can still end within three times the objective, each
// in the order in which they must start for it. A unit that does not fit is handled by its
// priority:
//
//   * urgent work (priority 0) waits for free capacity while its slack allows, then reclaims
//     resources from lower priorities. Within its organisation's guarantee it may stop any of their
//     work and, where that is not enough, urgent work of other organisations beyond their
//     guarantee; beyond it only work up to a bounded cost, and only while it can still meet its
//     objective: a late result is worth little to its caller. The resources that it will get are
//     reserved, so that nothing else is placed on them meanwhile;
//   * of the other units that do not fit, including urgent ones that may not stop enough work, the
//     first `maxReservations` of each service reserve the capacity that becomes free first. Without
//     that, small tasks would fill each gap and a large gang would never start;
//   * all other units wait.
//
// Capacity that is free but reserved for a unit that may not stop others is used by units that are
// estimated to end before the reservation is complete, by tasks that never end and are placed
// again, and by units that have waited for `maxHeldBackMs`. The latter delay the holder of the
// reservation, within limits (see tasksThatMayDelay()).
//
// A unit waits for a preferred rack as long as its tasks would lose on another one, then it is
// placed on any rack.
//
// These limits protect work that would use the capacity later. While most of a service is idle (see
// SchedulerOptions::maxUseToLift), a unit that has waited for `maxHeldBackMs` meanwhile is placed
// on any worker that may run it: its restrictions are lifted one after another until it fits. What
// is reserved within a guarantee is never lifted. A service that is idle for a moment, while runs
// end that a reservation waits for, does not count.
//
// Failures hold a unit back for a limited time however much is in use, because they may go on for
// ever: a unit that has room only on workers in quarantine, or where its tasks have failed, is
// placed there after `maxAvoidMs`, a long-running one after `maxHeldBackMs`.

#include "flamingo/scheduler/scheduler_parts.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <tuple>

namespace flamingo::scheduler {
namespace {

// Share of its estimated slack that an urgent job may spend waiting. Estimates of urgent jobs are
// off by up to 90%.
constexpr double usableSlackShare = 0.6;

// Part of the guaranteed start time that is kept for the answer to the stop, the record and the
// start; without faults each takes up to 100 ms.
constexpr TimeMs startReserveMs = 700;

// Number of units of a service that may hold a reservation in one plan; more would leave much
// capacity idle. Urgent units that wait or reclaim are not counted.
constexpr int maxReservations = 2;

// An accelerator counts as this many cores when the costs of stopping runs are compared.
constexpr double coresPerAccelerator = 8;

// Cost of stopping a checkpointing run, in seconds of its cores: its work is preserved, but it has
// to be restarted.
constexpr double checkpointedCostSeconds = 0.3;

// Estimates are rough: the remaining time of a run is taken to be at least this share of its
// estimate, also when the estimate is exceeded.
constexpr double minRemainingShare = 0.3;

// Demand::slownessWeight of urgent work, relative to 1 for leaving all accelerators of a worker
// unused. A worker that takes 30% longer uses up most of the slack of an urgent job (half of its
// run time).
constexpr double urgentSlownessWeight = 5;

// Core-seconds of work that urgent work beyond its guarantee may discard: a base, plus a multiple
// of its own work. Late urgent work loses four fifths of its value to the caller, whereas discarded
// work is repeated.
constexpr double reclaimBaseCost = 400;
constexpr double reclaimCostPerWork = 3;

// Least WorkerResources::slowness of a worker that has started recently and says that it is slow.
constexpr double coldSlowness = 1.5;

// What is lifted for a unit that has waited for long, in this order; named as in wait_cause.h.
constexpr std::array<WaitCause, 4> liftedRestrictions = {
    WaitCause::Reserved, WaitCause::PreferredRack, WaitCause::FailedWorker,
    WaitCause::UnusableWorkers};

// Those of them that follow from failures, of the unit's own tasks or of others.
constexpr std::array<WaitCause, 2> failureRestrictions = {WaitCause::FailedWorker,
                                                          WaitCause::UnusableWorkers};

// Whether a unit that starts now can end within its objective, by its estimate.
enum class Lateness : std::uint8_t {
    InTime,
    Late, // within `lateObjectives` times the objective
    TooLate,
};

// After this multiple of its objective a job's result is of no use to the caller.
constexpr int lateObjectives = 3;

// The tasks that one search places, with the values by which units are sorted.
struct PlacementUnit
{
    JobRow *row = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::size_t> tasks; // task numbers
    std::uint32_t priority = 0;
    bool guaranteed = false;
    bool anyRack = false; // preferred racks are ignored
    bool anyWorker = false; // workers on which its tasks failed may be used
    bool quarantinedWorkers = false; // workers in quarantine may be used
    ExpectedRunTime expected; // run time of one task
    TimeMs estimateMs = 0; // the same where it is to be placed: longer away from its data
    TimeMs reclaimTimeoutMs = 0; // urgent work may wait this long before it reclaims
    Lateness lateness = Lateness::InTime;
    std::int64_t latestStart = 0; // to meet the objective; Unix time in ms
    TimeMs slackMs = 0; // time until `latestStart`; negative: the objective cannot be met
};

void logDecision(Scheduler &scheduler, std::string text)
{
    scheduler.decisions.push_back(std::move(text));
}

bool reports(const Scheduler &scheduler, const Worker &worker, TimeMs now)
{
    return now - worker.lastReport <= scheduler.options.reportTimeoutMs;
}

double equivalentCores(const Resources &need)
{
    return double(need.cpuMilli) / 1000 + coresPerAccelerator * double(need.accelerators);
}

// Cost of stopping a run, in core-seconds of lost work. It grows with the square of the run number:
// otherwise the cheapest runs would be stopped again and again, and their jobs would never end.
double stopCost(const Job &job, const Step &step, const Run &run, TimeMs now)
{
    const double cores = equivalentCores(run.need);
    const double restartFactor = double(run.run) * double(run.run);
    if (step.checkpointing)
        return cores * checkpointedCostSeconds * restartFactor;
    const double seconds = run.runningSince == 0 ? 0 : double(now - run.runningSince) / 1000;
    // The 0.1 s give a cost to runs that have just started. Runs of urgent jobs (priority 0) are
    // never reclaimed; those of priority 1 cost more than those of lower priorities.
    return cores * (seconds + 0.1) * restartFactor * (job.priority <= 1 ? 1.5 : 1.0);
}

// By the run's own pace; until that is known by the learned run times of its kind, or by its
// estimate.
TimeMs estimatedRemainingMs(const RunTimes &times, const Job &job, std::uint32_t stepNumber,
                            const Run &run, TimeMs now)
{
    if (const auto remaining = remainingAtPaceMs(run.progress))
        return *remaining;
    const TimeMs since = run.runningSince == 0 ? run.assignedAt : run.runningSince;
    if (const auto remaining = expectedRemainingMs(times, job, stepNumber, now - since))
        return *remaining;
    const Step &step = job.steps[stepNumber];
    const TimeMs left = since + step.estimateMs - now;
    return std::max<TimeMs>(left, TimeMs(minRemainingShare * double(step.estimateMs)));
}

// Capacity that a unit which does not fit yet keeps from units that come later in the plan.
struct HeldReservation
{
    Placement placement;
    Resources need; // of one task
    WaitState *holder = nullptr;
    double holderWork = 0; // core-seconds
    // The holder may stop other runs: its capacity is used only while most of the service is idle.
    bool mayStopOthers = false;
    // The holder meets its objective if no other unit uses the capacity for longer than this; 0: it
    // misses it in any case.
    TimeMs spareMs = 0;
};

// Resources of one service's usable workers, and the runs of each run group (the runs of one gang,
// or a single run).
struct ServiceCapacity
{
    // By key; free capacity less reservations. Includes workers in quarantine, without allocations.
    std::vector<WorkerResources> workers;
    std::vector<Resources> reserved; // by worker index
    // Quarantined, draining, silent or evacuated; without allocations.
    std::vector<WorkerResources> unusable;
    std::vector<HeldReservation> held; // the part of `reserved` that others may use
    std::size_t quarantined = 0; // number of `workers` in quarantine
    // Of the workers that report and are not draining, and what runs use of it.
    Resources total;
    Resources inUse;
    TimeMs collectedAt = 0;
    // Worker key and run of each run in a group, by group number.
    std::vector<std::vector<std::pair<std::string, RunKey>>> groupRuns;
    // Organisations of the groups of urgent jobs beyond a guarantee, by group number.
    std::map<std::size_t, std::string> unguaranteedUrgent;
};

// Collects the capacity of one service. build() may be called once.
class CapacityBuilder
{
public:
    CapacityBuilder(const Scheduler &scheduler, const std::set<std::string> &guaranteed, TimeMs now)
        : scheduler(scheduler)
        , guaranteed(guaranteed)
        , now(now)
    {
    }

    ServiceCapacity build(std::string_view service)
    {
        for (const auto &[key, worker] : this->scheduler.workers) {
            if (worker.info.service != service)
                continue;
            if (!reports(this->scheduler, worker, this->now))
                continue;
            WorkerResources resources = this->resourcesOf(worker);
            if (!worker.info.draining && !resources.evacuated)
                this->addUse(resources);
            if (worker.fenced)
                this->addWorker(worker, std::move(resources));
        }
        this->result.reserved.resize(this->result.workers.size());
        this->result.collectedAt = this->now;
        // Stopping one member of a gang loses the work of all members, and the members end
        // together.
        for (WorkerResources &worker : this->result.workers) {
            for (Allocation &allocation : worker.allocations) {
                allocation.cost = this->groupCost[allocation.runGroup];
                if (!allocation.stopping)
                    allocation.freeInMs = this->groupFreeInMs[allocation.runGroup];
                allocation.reclaimable =
                    allocation.reclaimable && this->urgentGroups.count(allocation.runGroup) == 0;
            }
        }
        return std::move(this->result);
    }

private:
    WorkerResources resourcesOf(const Worker &worker)
    {
        WorkerResources resources;
        resources.key = worker.key;
        resources.rack = rackOf(worker.info);
        resources.labels = worker.info.labels;
        resources.capacity = worker.info.capacity;
        resources.freeCapacity = worker.info.capacity;
        resources.suspect = this->now < std::max(worker.suspectUntil, worker.busyUntil);
        resources.evacuated = isEvacuated(this->scheduler.evacuations, worker.dataCentre);
        resources.slowness = slowness(this->scheduler.speeds, worker.host, this->now);
        if (this->now < worker.coldUntil)
            resources.slowness = std::max(resources.slowness, coldSlowness);
        for (const auto &[key, run] : worker.runs)
            resources.freeCapacity -= run.need;
        return resources;
    }

    void addUse(const WorkerResources &resources)
    {
        this->result.total += resources.capacity;
        this->result.inUse += resources.capacity;
        this->result.inUse -= resources.freeCapacity;
    }

    void addWorker(const Worker &worker, WorkerResources resources)
    {
        const bool quarantined = this->now < worker.quarantinedUntil;
        const bool excluded = worker.info.draining || worker.silent || resources.evacuated;
        if (excluded || quarantined)
            this->result.unusable.push_back(resources);
        if (excluded)
            return;
        resources.quarantined = quarantined;
        this->result.quarantined += quarantined ? 1 : 0;
        if (!quarantined)
            this->addAllocations(worker, resources);
        this->result.workers.push_back(std::move(resources));
    }

    void addAllocations(const Worker &worker, WorkerResources &resources)
    {
        for (const auto &[key, run] : worker.runs)
            resources.allocations.push_back(this->makeAllocation(worker, key, run));
    }

    Allocation makeAllocation(const Worker &worker, const RunKey &key, const Run &run)
    {
        Allocation allocation;
        allocation.resources = run.need;
        allocation.stopping = !shouldRun(this->scheduler, worker, run);
        const auto found = this->scheduler.table.jobs.find(run.jobId);
        if (found == this->scheduler.table.jobs.end() || !found->second.job) {
            allocation.runGroup =
                this->runGroupOf(key.first + "#" + std::to_string(key.second), worker, key);
            return allocation;
        }
        const Job &job = *found->second.job;
        const TaskPosition position = taskPosition(job, run.taskNumber);
        const Step &step = job.steps[position.step];
        const std::string name = step.gang ? job.id + "." + std::to_string(position.occurrence)
                + "." + std::to_string(position.step)
                                           : key.first + "#" + std::to_string(key.second);
        allocation.runGroup = this->runGroupOf(name, worker, key);
        allocation.freeInMs = allocation.stopping
            ? this->scheduler.options.stopMs
            : estimatedRemainingMs(this->scheduler.table.runTimes, job, position.step, run,
                                   this->now);
        allocation.neverFree = step.longRunning && !allocation.stopping;
        allocation.reclaimable = job.priority > 0;
        if (job.priority == 0)
            this->urgentGroups.insert(allocation.runGroup);
        if (job.priority == 0 && this->guaranteed.count(job.id) == 0)
            this->result.unguaranteedUrgent[allocation.runGroup] = job.organisation;
        this->groupCost[allocation.runGroup] += stopCost(job, step, run, this->now);
        TimeMs &groupFreeInMs = this->groupFreeInMs[allocation.runGroup];
        groupFreeInMs = std::max(groupFreeInMs, allocation.freeInMs);
        return allocation;
    }

    std::size_t runGroupOf(const std::string &name, const Worker &worker, const RunKey &key)
    {
        const auto [found, added] = this->groupNumbers.emplace(name, this->groupNumbers.size());
        if (added)
            this->result.groupRuns.emplace_back();
        this->result.groupRuns[found->second].emplace_back(worker.key, key);
        return found->second;
    }

    const Scheduler &scheduler;
    const std::set<std::string> &guaranteed; // ids of jobs
    TimeMs now;
    ServiceCapacity result;
    std::map<std::string, std::size_t> groupNumbers;
    std::map<std::size_t, double> groupCost;
    std::map<std::size_t, TimeMs> groupFreeInMs;
    std::set<std::size_t> urgentGroups;
};

// Largest number of accelerators that the tasks of one step use together.
std::int64_t peakAccelerators(const Job &job)
{
    std::int64_t result = 0;
    for (const Step &step : job.steps)
        result = std::max<std::int64_t>(result, step.count * step.need.accelerators);
    return result;
}

// Ids of the open urgent jobs within their organisation's guarantee. Jobs use up the guarantee in
// the order of their acceptance, including a job that exceeds what is left of it.
std::set<std::string> guaranteedJobs(const Scheduler &scheduler)
{
    std::vector<const Job *> urgent;
    for (const auto &[id, row] : scheduler.table.jobs) {
        if (row.job && row.job->priority == 0 && !row.cancelled
            && row.progress.outcome == Outcome::Open)
            urgent.push_back(&*row.job);
    }
    std::sort(urgent.begin(), urgent.end(), [](const Job *a, const Job *b) {
        return std::tie(a->acceptedUnixMs, a->id) < std::tie(b->acceptedUnixMs, b->id);
    });
    std::map<std::string, std::int64_t> used;
    std::set<std::string> result;
    for (const Job *job : urgent) {
        const auto guarantee = scheduler.guarantees.find(job->organisation);
        if (guarantee == scheduler.guarantees.end())
            continue;
        std::int64_t &sum = used[job->organisation];
        sum += peakAccelerators(*job);
        if (sum <= guarantee->second)
            result.insert(job->id);
    }
    return result;
}

bool isDue(const Job &job, std::uint32_t occurrence, std::uint64_t unixNow)
{
    return job.repeatCount == 0 || dueUnixMs(job, occurrence) <= unixNow;
}

// A task of a job: job id and task number.
using TaskId = std::pair<std::string, std::size_t>;

// Waiting tasks of which a worker still has a run. A worker that was restarted under its id may
// have carried out a start that was meant for its former incarnation; the leader has requeued the
// task of that run before it learns of the run.
std::set<TaskId> tasksWithRuns(const Scheduler &scheduler)
{
    std::set<TaskId> result;
    for (const auto &[workerKey, worker] : scheduler.workers) {
        for (const auto &[runKey, run] : worker.runs) {
            const auto found = scheduler.table.jobs.find(run.jobId);
            if (found == scheduler.table.jobs.end())
                continue;
            const std::vector<TaskProgress> &tasks = found->second.progress.tasks;
            if (run.taskNumber < tasks.size() && tasks[run.taskNumber].phase == TaskPhase::Waiting)
                result.emplace(run.jobId, run.taskNumber);
        }
    }
    return result;
}

// Numbers of the waiting tasks of a step that are not in `blocked` and may be placed by now; none
// for a gang unless these are all its tasks.
std::vector<std::size_t> waitingTasks(const JobRow &row, std::uint32_t occurrence,
                                      std::uint32_t step, const std::set<TaskId> &blocked,
                                      TimeMs now)
{
    const auto mayBePlaced = [&](std::size_t task) {
        const auto notBefore = row.notBefore.find(task);
        return (notBefore == row.notBefore.end() || now >= notBefore->second)
            && (blocked.empty() || blocked.count({row.job->id, task}) == 0);
    };
    const Step &checked = row.job->steps[step];
    const std::size_t first = *taskNumber(*row.job, {occurrence, step, 0});
    std::vector<std::size_t> result;
    for (std::size_t i = first; i < first + checked.count; ++i) {
        if (row.progress.tasks[i].phase == TaskPhase::Waiting && mayBePlaced(i))
            result.push_back(i);
    }
    if (checked.gang && result.size() < checked.count)
        result.clear();
    return result;
}

// How long an urgent unit may wait for free capacity and still meet its objective and its guarantee
// after a reclaim: a share of the slack by the estimate; where run times are learned, what is left
// of it when the run takes as long as few do. `begin` is when the occurrence was accepted or due,
// whichever is later.
TimeMs reclaimTimeoutMs(const Scheduler &scheduler, const Job &job, const PlacementUnit &unit,
                        TimeMs chainMs, std::uint64_t begin, std::uint64_t unixNow)
{
    const auto waited = static_cast<TimeMs>(unixNow) - static_cast<TimeMs>(begin);
    const ExpectedRunTime &expected = unit.expected;
    const double longRunMs = expected.learned
        ? double(chainMs) * double(expected.highMs) / double(std::max<TimeMs>(expected.ms, 1))
        : 0;
    const double slack = expected.learned ? std::max(0.0, job.stretch * double(chainMs) - longRunMs)
                                          : (job.stretch - 1) * double(chainMs) * usableSlackShare;
    TimeMs timeout = static_cast<TimeMs>(slack) + job.targetLatencyMs - waited;
    if (unit.guaranteed)
        timeout = std::min(timeout, scheduler.options.guaranteeMs - startReserveMs - waited);
    return timeout - scheduler.options.stopMs;
}

// `objectiveMs` is the length of the objective. All times are Unix times in ms.
Lateness latenessOf(std::int64_t latestStart, std::int64_t objectiveMs, std::int64_t now)
{
    if (now <= latestStart)
        return Lateness::InTime;
    return now <= latestStart + (lateObjectives - 1) * objectiveMs ? Lateness::Late
                                                                   : Lateness::TooLate;
}

// When an occurrence was accepted or due, whichever is later; Unix time in ms.
std::uint64_t occurrenceBegin(const Job &job, std::uint32_t occurrence)
{
    return std::max(job.acceptedUnixMs, dueUnixMs(job, occurrence));
}

// The units of one job are made by occurrence. Only as many occurrences with waiting tasks are
// considered as `maxWaitingOccurrences` says: the work of a plan would else grow with a backlog of
// which most does not fit. They are considered in the order in which their units are placed: those
// that can still meet their objective, then those that can end within `lateObjectives` times it,
// then the others.
class JobUnits
{
public:
    JobUnits(const Scheduler &scheduler, JobRow &row, bool guaranteed,
             const std::set<TaskId> &blocked, TimeMs now, std::uint64_t unixNow,
             std::vector<PlacementUnit> &units)
        : scheduler(scheduler)
        , row(row)
        , job(*row.job)
        , guaranteed(guaranteed)
        , blocked(blocked)
        , now(now)
        , unixNow(unixNow)
        , units(units)
    {
    }

    void add()
    {
        const std::uint32_t due = this->firstOccurrence([this](std::uint32_t occurrence) {
            return !isDue(this->job, occurrence, this->unixNow);
        });
        if (this->job.repeatCount == 0) {
            this->addOccurrences(0, due);
            return;
        }
        const std::uint32_t inTime = std::min(due, this->firstWithin(1));
        const std::uint32_t late = std::min(inTime, this->firstWithin(lateObjectives));
        this->addOccurrences(inTime, due);
        this->addOccurrences(late, inTime);
        this->addOccurrences(0, late);
    }

private:
    // First occurrence for which `condition` holds; it holds for all later ones.
    template <typename Condition>
    std::uint32_t firstOccurrence(Condition condition) const
    {
        std::uint32_t low = 0;
        std::uint32_t high = occurrences(this->job);
        while (low < high) {
            const std::uint32_t middle = low + (high - low) / 2;
            if (condition(middle))
                high = middle;
            else
                low = middle + 1;
        }
        return low;
    }

    // First occurrence that can end within this multiple of its objective if it starts now.
    std::uint32_t firstWithin(int objectives)
    {
        return this->firstOccurrence([this, objectives](std::uint32_t occurrence) {
            const auto begin = static_cast<std::int64_t>(occurrenceBegin(this->job, occurrence));
            return static_cast<std::int64_t>(this->unixNow) + this->chainMs()
                <= begin + objectives * this->objectiveMs();
        });
    }

    void addOccurrences(std::uint32_t begin, std::uint32_t end)
    {
        for (std::uint32_t occurrence = begin; occurrence < end; ++occurrence) {
            if (this->added >= this->scheduler.options.maxWaitingOccurrences)
                return;
            const std::size_t before = this->units.size();
            for (std::uint32_t step = 0; step < this->job.steps.size(); ++step)
                this->addStep(occurrence, step);
            this->added += this->units.size() > before ? 1 : 0;
        }
    }

    void addStep(std::uint32_t occurrence, std::uint32_t step)
    {
        if (!dependenciesDone(this->job, this->row.progress, occurrence, step))
            return;
        PlacementUnit unit;
        unit.tasks = waitingTasks(this->row, occurrence, step, this->blocked, this->now);
        if (unit.tasks.empty())
            return;
        const std::uint64_t begin = occurrenceBegin(this->job, occurrence);
        const std::int64_t deadline = static_cast<std::int64_t>(begin) + this->objectiveMs();
        unit.row = &this->row;
        unit.occurrence = occurrence;
        unit.step = step;
        unit.priority = this->job.priority;
        unit.guaranteed = this->guaranteed;
        unit.expected = expectedRunTime(this->scheduler.table.runTimes, this->job, step);
        unit.estimateMs = unit.expected.ms;
        unit.reclaimTimeoutMs = reclaimTimeoutMs(this->scheduler, this->job, unit, this->chainMs(),
                                                 begin, this->unixNow);
        unit.latestStart = deadline - unit.estimateMs;
        unit.slackMs = unit.latestStart - static_cast<std::int64_t>(this->unixNow);
        unit.lateness = latenessOf(unit.latestStart, this->objectiveMs(),
                                   static_cast<std::int64_t>(this->unixNow));
        this->units.push_back(std::move(unit));
    }

    TimeMs chainMs()
    {
        if (!this->knownChain)
            this->knownChain = expectedChainMs(this->scheduler.table.runTimes, this->job);
        return *this->knownChain;
    }

    std::int64_t objectiveMs()
    {
        return static_cast<std::int64_t>(this->job.stretch * double(this->chainMs()))
            + this->job.targetLatencyMs;
    }

    const Scheduler &scheduler;
    JobRow &row;
    const Job &job;
    bool guaranteed;
    const std::set<TaskId> &blocked;
    TimeMs now;
    std::uint64_t unixNow;
    std::vector<PlacementUnit> &units;
    std::optional<TimeMs> knownChain;
    std::size_t added = 0; // occurrences with waiting tasks
};

bool precedes(const PlacementUnit &a, const PlacementUnit &b)
{
    const auto rank = [](const PlacementUnit &unit) {
        return std::make_tuple(unit.priority, !unit.guaranteed, unit.lateness, unit.latestStart);
    };
    return rank(a) < rank(b);
}

Demand demandOf(const PlacementUnit &unit, const ServiceCapacity &capacity)
{
    const Job &job = *unit.row->job;
    const Step &step = job.steps[unit.step];
    Demand demand;
    demand.need = allocationFor(step);
    demand.count = static_cast<std::uint32_t>(unit.tasks.size());
    demand.allOrNothing = step.gang;
    demand.requiredLabel = step.requiredLabel;
    if (!unit.anyRack) {
        demand.sameRack = step.sameRack;
        demand.dataRack = step.dataRack;
    }
    demand.maxPerWorker = step.maxPerWorker;
    if (unit.priority == 0)
        demand.slownessWeight = urgentSlownessWeight;
    demand.quarantinedWorkers = unit.quarantinedWorkers;
    for (const std::size_t task : unit.tasks) {
        if (unit.anyWorker)
            break;
        const auto failed = unit.row->lastFailedWorker.find(task);
        if (failed != unit.row->lastFailedWorker.end()
            && capacity.collectedAt < failed->second.excludedUntil)
            demand.excludedWorkers.push_back(failed->second.key);
    }
    if (step.maxPerWorker == 0)
        return demand;
    const std::size_t first = *taskNumber(job, {unit.occurrence, unit.step, 0});
    demand.placedPerWorker.resize(capacity.workers.size());
    for (std::size_t i = first; i < first + step.count; ++i) {
        const TaskProgress &task = unit.row->progress.tasks[i];
        if (task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Done)
            continue;
        const auto worker = std::lower_bound(
            capacity.workers.begin(), capacity.workers.end(), task.worker,
            [](const WorkerResources &a, const std::string &key) { return a.key < key; });
        if (worker != capacity.workers.end() && worker->key == task.worker)
            ++demand.placedPerWorker[static_cast<std::size_t>(worker - capacity.workers.begin())];
    }
    return demand;
}

std::size_t firstTaskNumber(const PlacementUnit &unit)
{
    return *taskNumber(*unit.row->job, {unit.occurrence, unit.step, 0});
}

void assignTasks(Scheduler &scheduler, const PlacementUnit &unit, const Placement &placement,
                 ServiceCapacity &capacity, TimeMs now)
{
    JobRow &row = *unit.row;
    std::uint32_t gangRun = 0;
    for (const std::size_t task : unit.tasks)
        gangRun = std::max(gangRun, row.progress.tasks[task].run + 1);
    const Step &step = row.job->steps[unit.step];
    for (std::size_t i = 0; i < placement.size(); ++i) {
        const std::size_t number = unit.tasks[i];
        WorkerResources &worker = capacity.workers[placement[i]];
        TaskProgress &task = row.progress.tasks[number];
        task.phase = TaskPhase::Assigned;
        task.run = step.gang ? gangRun : task.run + 1;
        task.worker = worker.key;
        row.notBefore.erase(number);
        Run run;
        run.jobId = row.job->id;
        run.taskNumber = number;
        run.run = task.run;
        run.need = allocationFor(step);
        run.flush = scheduler.flush;
        run.assignedAt = now;
        run.resumed = !task.checkpoint.empty();
        worker.freeCapacity -= run.need;
        capacity.inUse += run.need;
        const std::string name = taskName(*row.job, taskPosition(*row.job, number));
        logDecision(scheduler,
                    "event=task_assigned task=" + name + " run=" + std::to_string(task.run)
                        + " worker=" + worker.key);
        scheduler.workers.at(worker.key).runs[{name, task.run}] = run;
    }
    if (unit.expected.learned)
        logDecision(scheduler,
                    "event=run_time_expected job=" + row.job->id + " occurrence="
                        + std::to_string(unit.occurrence) + " step=" + std::to_string(unit.step)
                        + " estimate_ms=" + std::to_string(step.estimateMs)
                        + " expected_ms=" + std::to_string(unit.expected.ms) + " finished_steps="
                        + std::to_string(static_cast<std::int64_t>(unit.expected.weight)));
    row.dirty = true;
    if (placement.size() == unit.tasks.size())
        row.waits.erase(firstTaskNumber(unit));
}

void reserveCapacity(const Placement &placement, const Resources &need, ServiceCapacity &capacity)
{
    for (const std::size_t worker : placement) {
        capacity.workers[worker].freeCapacity -= need;
        capacity.reserved[worker] += need;
    }
}

void stopRun(Scheduler &scheduler, const std::string &workerKey, const RunKey &key,
             std::string_view cause)
{
    const Worker &worker = scheduler.workers.at(workerKey);
    const Run &run = worker.runs.at(key);
    if (!shouldRun(scheduler, worker, run))
        return;
    JobRow &row = scheduler.table.jobs.at(run.jobId);
    row.progress.tasks[run.taskNumber].phase = TaskPhase::Stopping;
    logDecision(scheduler,
                "event=run_stopping task=" + key.first + " run=" + std::to_string(key.second)
                    + " worker=" + workerKey + " cause=\"" + std::string(cause) + "\"");
}

// Estimated work of the unit, in core-seconds.
double workOf(const PlacementUnit &unit)
{
    const Step &step = unit.row->job->steps[unit.step];
    return equivalentCores(step.need) * double(unit.tasks.size()) * double(unit.estimateMs) / 1000;
}

double maxReclaimCost(const PlacementUnit &unit)
{
    if (unit.guaranteed)
        return std::numeric_limits<double>::infinity();
    return reclaimBaseCost + reclaimCostPerWork * workOf(unit);
}

// The workers, where the runs of urgent jobs of other organisations beyond their guarantee may be
// stopped as well.
std::vector<WorkerResources> withUnguaranteedUrgent(const ServiceCapacity &capacity,
                                                    const std::string &organisation)
{
    std::vector<WorkerResources> workers = capacity.workers;
    for (WorkerResources &worker : workers) {
        for (Allocation &allocation : worker.allocations) {
            const auto found = capacity.unguaranteedUrgent.find(allocation.runGroup);
            if (found != capacity.unguaranteedUrgent.end() && found->second != organisation)
                allocation.reclaimable = true;
        }
    }
    return workers;
}

// Only after a while, because a new leader does not know all workers yet, nor those of which it has
// not received a report.
bool mayStopUnguaranteedUrgent(const Scheduler &scheduler, const PlacementUnit &unit, TimeMs now)
{
    const auto wait = unit.row->waits.find(firstTaskNumber(unit));
    return unit.guaranteed && wait != unit.row->waits.end()
        && now - wait->second.since >= scheduler.options.reclaimUrgentAfterMs;
}

enum class Reclaimable : std::uint8_t {
    LowerPriorities,
    UnguaranteedUrgent, // and lower priorities; for units within a guarantee
};

// Stops the runs that cost least to make room for `demand`, and reserves the room. Returns false
// when that is not possible within the unit's limit on lost work.
bool reclaimFor(Scheduler &scheduler, const PlacementUnit &unit, const Demand &demand,
                ServiceCapacity &capacity, Reclaimable reclaimable)
{
    const bool urgent = reclaimable == Reclaimable::UnguaranteedUrgent;
    if (urgent && capacity.unguaranteedUrgent.empty())
        return false;
    std::vector<WorkerResources> changed;
    absl::Span<const WorkerResources> workers = capacity.workers;
    if (urgent) {
        changed = withUnguaranteedUrgent(capacity, unit.row->job->organisation);
        workers = changed;
    }
    const Reclaim reclaim = findReclaim(demand, workers, maxReclaimCost(unit));
    if (reclaim.placement.empty())
        return false;
    for (const std::size_t stopped : reclaim.runGroups) {
        for (const auto &[worker, key] : capacity.groupRuns[stopped])
            stopRun(scheduler, worker, key, "reclaimed for urgent job " + unit.row->job->id);
    }
    reserveCapacity(reclaim.placement, demand.need, capacity);
    return true;
}

bool prefersRack(const PlacementUnit &unit)
{
    const Step &step = unit.row->job->steps[unit.step];
    return step.sameRack || !step.dataRack.empty();
}

// Places a guaranteed unit for which no rack that it prefers has room or can be reclaimed: a
// guarantee holds on any rack, where the tasks run slower.
bool placeOnAnyRack(Scheduler &scheduler, const PlacementUnit &unit, ServiceCapacity &capacity,
                    Reclaimable reclaimable, TimeMs now)
{
    if (!prefersRack(unit))
        return false;
    PlacementUnit anywhere = unit;
    anywhere.anyRack = true;
    const Demand demand = demandOf(anywhere, capacity);
    const Placement placement = findPlacement(demand, capacity.workers);
    if (placement.size() < demand.count)
        return reclaimFor(scheduler, unit, demand, capacity, reclaimable);
    assignTasks(scheduler, unit, placement, capacity, now);
    return true;
}

void logWait(Scheduler &scheduler, const PlacementUnit &unit, const WaitState &wait,
             const Reservation &reservation, const WaitPlaces &places, TimeMs now)
{
    const Job &job = *unit.row->job;
    const Resources &need = job.steps[unit.step].need;
    const std::pair<std::string_view, std::string> fields[] = {
        {"job", job.id},
        {"occurrence", std::to_string(unit.occurrence)},
        {"step", std::to_string(unit.step)},
        {"priority", std::to_string(unit.priority)},
        {"tasks", std::to_string(unit.tasks.size())},
        {"cpu_milli", std::to_string(need.cpuMilli)},
        {"memory_mb", std::to_string(need.memoryMb)},
        {"accelerators", std::to_string(need.accelerators)},
        {"waited_ms", std::to_string(now - wait.since)},
        {"cause", "\"" + std::string(waitCauseName(*wait.cause)) + "\""},
        {"reserving", wait.reserving ? "true" : "false"},
        {"expected_ms", std::to_string(reservation.freeInMs)},
        {"places_free", std::to_string(places.free)},
        {"places_after_reservations", std::to_string(places.afterReservations)},
        {"places_unusable", std::to_string(places.unusable)},
    };
    std::string line = "event=tasks_waiting";
    for (const auto &[name, value] : fields)
        line.append(" ").append(name).append("=").append(value);
    logDecision(scheduler, std::move(line));
}

// Returns the state of the unit's wait, which begins now if there is none.
WaitState &waitOf(const PlacementUnit &unit, TimeMs now)
{
    const auto [found, added] = unit.row->waits.try_emplace(firstTaskNumber(unit));
    if (added)
        found->second.since = found->second.checkedAt = now;
    return found->second;
}

// Logs why a unit, or the rest of one, has not been placed when the cause has changed. The cause is
// searched for at intervals, because the search costs as much as a placement.
void recordWait(Scheduler &scheduler, const PlacementUnit &unit, const Demand &demand,
                const ServiceCapacity &capacity, const Reservation &reservation, bool reserving,
                TimeMs now)
{
    WaitState &wait = waitOf(unit, now);
    if (now - wait.checkedAt < scheduler.options.waitCheckMs)
        return;
    wait.checkedAt = now;
    std::vector<WorkerResources> unreserved = capacity.workers;
    for (std::size_t i = 0; i < unreserved.size(); ++i)
        unreserved[i].freeCapacity += capacity.reserved[i];
    const WaitCause cause = findWaitCause(demand, unreserved, capacity.unusable);
    if (cause != WaitCause::UnusableWorkers && cause != WaitCause::FailedWorker)
        wait.avoidedSince.reset();
    else if (!wait.avoidedSince)
        wait.avoidedSince = now;
    if (wait.cause == cause && wait.reserving == reserving)
        return;
    wait.cause = cause;
    wait.reserving = reserving;
    logWait(scheduler, unit, wait, reservation,
            countWaitPlaces(demand, unreserved, capacity.workers, capacity.unusable), now);
}

bool endsByItself(const PlacementUnit &unit)
{
    return !unit.row->job->steps[unit.step].longRunning;
}

// True when the unit is estimated to end before the holder of the reservation is expected to fit.
bool endsBefore(const PlacementUnit &unit, const HeldReservation &held, TimeMs now)
{
    return endsByItself(unit) && now + unit.estimateMs <= *held.holder->expectedAt;
}

// True when the unit's tasks never end and have run before. No reservation counts on the capacity
// of such tasks, so they do not delay its holder when they return.
bool returnsAfterAnEnd(const PlacementUnit &unit)
{
    return !endsByItself(unit)
        && std::all_of(unit.tasks.begin(), unit.tasks.end(), [&unit](std::size_t task) {
               return unit.row->progress.tasks[task].run > 0;
           });
}

// True for urgent work within its organisation's guarantee or that can still meet its objective.
bool mayStopOthers(const PlacementUnit &unit)
{
    return unit.priority == 0 && (unit.guaranteed || unit.lateness == Lateness::InTime);
}

// Reserves capacity for a unit that does not fit, or the rest of one. The time when it is expected
// to fit only decreases: with each run that is placed on the reserved capacity the reservation
// would move back, and short runs could take it for ever.
void holdReservation(const PlacementUnit &unit, const Reservation &reservation,
                     const Resources &need, ServiceCapacity &capacity, TimeMs now)
{
    reserveCapacity(reservation.placement, need, capacity);
    if (unit.guaranteed)
        return;
    WaitState &wait = waitOf(unit, now);
    const TimeMs expectedAt = now + reservation.freeInMs;
    wait.expectedAt = std::min(wait.expectedAt.value_or(expectedAt), expectedAt);
    const TimeMs spareMs = unit.slackMs >= reservation.freeInMs ? unit.slackMs : 0;
    capacity.held.push_back(
        {reservation.placement, need, &wait, workOf(unit), mayStopOthers(unit), spareMs});
}

// The part of the unit without its first `placed` tasks.
PlacementUnit restOf(const PlacementUnit &unit, std::size_t placed)
{
    PlacementUnit rest = unit;
    rest.tasks.erase(rest.tasks.begin(), rest.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
    return rest;
}

// True when the unit's use of reserved capacity does not delay the holder.
bool isHarmless(const PlacementUnit &unit, const HeldReservation &held, TimeMs now)
{
    return endsBefore(unit, held, now) || returnsAfterAnEnd(unit);
}

// Number of the unit's tasks that may be placed on capacity that is reserved for the holder and
// delay it by their work. The holder still meets its objective or misses it in any case. In all it
// is delayed by at most its own amount of work, and by what the reserved capacity could have done
// since the holder was expected to fit: an expectation that was wrong does not keep the capacity
// idle.
std::size_t tasksThatMayDelay(const PlacementUnit &unit, const HeldReservation &held, TimeMs now)
{
    const bool meetsObjective = held.spareMs == 0 || unit.estimateMs <= held.spareMs;
    if (!endsByItself(unit) || !meetsObjective)
        return 0;
    const TimeMs overdueMs = std::max<TimeMs>(0, now - *held.holder->expectedAt);
    const double idleWork =
        equivalentCores(held.need) * double(held.placement.size()) * double(overdueMs) / 1000;
    const double allowed = held.holderWork + idleWork - held.holder->delayingWork;
    const double work = workOf(unit);
    if (work <= allowed)
        return unit.tasks.size();
    if (unit.row->job->steps[unit.step].gang || allowed <= 0)
        return 0;
    return static_cast<std::size_t>(allowed / work * double(unit.tasks.size()));
}

// Adds the work of the unit's tasks that were placed on capacity of the reservation to what delays
// its holder. A gang ends as a whole, so all of it counts.
void recordDelay(const PlacementUnit &unit, const Placement &placement, HeldReservation &held)
{
    const auto delaying =
        std::count_if(placement.begin(), placement.end(), [&held](std::size_t worker) {
            return std::find(held.placement.begin(), held.placement.end(), worker)
                != held.placement.end();
        });
    if (delaying == 0)
        return;
    const bool gang = unit.row->job->steps[unit.step].gang;
    held.holder->delayingWork +=
        workOf(unit) * (gang ? 1.0 : double(delaying) / double(unit.tasks.size()));
}

using Reservations = absl::Span<HeldReservation *const>;

// Adds the capacity of the reservations to what is free, for a search.
void lendReserved(Reservations reservations, ServiceCapacity &capacity)
{
    for (const HeldReservation *held : reservations) {
        for (const std::size_t worker : held->placement)
            capacity.workers[worker].freeCapacity += held->need;
    }
}

void returnLent(Reservations reservations, ServiceCapacity &capacity)
{
    for (const HeldReservation *held : reservations) {
        for (const std::size_t worker : held->placement)
            capacity.workers[worker].freeCapacity -= held->need;
    }
}

// The first `count` tasks of the unit.
PlacementUnit firstOf(const PlacementUnit &unit, std::size_t count)
{
    PlacementUnit first = unit;
    first.tasks.resize(count);
    return first;
}

// Places at most `limit` tasks of the unit, or the whole of a gang, and adds their work to what
// delays the holders of the reservations that were lent. Returns the tasks that are left.
PlacementUnit placeBeside(Scheduler &scheduler, const PlacementUnit &unit, std::size_t limit,
                          Reservations lent, ServiceCapacity &capacity, TimeMs now)
{
    Demand demand = demandOf(unit, capacity);
    demand.count = static_cast<std::uint32_t>(std::min<std::size_t>(demand.count, limit));
    const Placement placement = findPlacement(demand, capacity.workers);
    if (placement.empty())
        return unit;
    assignTasks(scheduler, unit, placement, capacity, now);
    const PlacementUnit placed = firstOf(unit, placement.size());
    for (HeldReservation *held : lent) {
        if (!isHarmless(placed, *held, now))
            recordDelay(placed, placement, *held);
    }
    return restOf(unit, placement.size());
}

// As placeBeside(), after lending the reservations. The unit is one that does not fit beside them.
PlacementUnit placeOnLentCapacity(Scheduler &scheduler, const PlacementUnit &unit,
                                  std::size_t limit, Reservations lent, ServiceCapacity &capacity,
                                  TimeMs now)
{
    if (unit.tasks.empty() || lent.empty() || limit == 0)
        return unit;
    const Resources need = allocationFor(unit.row->job->steps[unit.step]);
    lendReserved(lent, capacity);
    const bool hasRoom = std::any_of(lent.begin(), lent.end(), [&](const HeldReservation *held) {
        return std::any_of(held->placement.begin(), held->placement.end(), [&](std::size_t worker) {
            return fits(need, capacity.workers[worker].freeCapacity);
        });
    });
    PlacementUnit rest = hasRoom ? placeBeside(scheduler, unit, limit, lent, capacity, now) : unit;
    returnLent(lent, capacity);
    return rest;
}

// Places the tasks of a long-running step that have run before on capacity that is reserved for
// others, while other tasks of the step have never run. Returns the tasks that are left.
PlacementUnit placeReturningTasks(Scheduler &scheduler, const PlacementUnit &unit,
                                  ServiceCapacity &capacity, TimeMs now)
{
    PlacementUnit sorted = unit;
    const auto firstNew =
        std::stable_partition(sorted.tasks.begin(), sorted.tasks.end(), [&unit](std::size_t task) {
            return unit.row->progress.tasks[task].run > 0;
        });
    const auto returning = static_cast<std::size_t>(firstNew - sorted.tasks.begin());
    std::vector<HeldReservation *> lent;
    for (HeldReservation &held : capacity.held)
        lent.push_back(&held);
    return placeOnLentCapacity(scheduler, sorted, returning, lent, capacity, now);
}

// Places a unit, or the rest of one, also on capacity that is reserved for others (see the top of
// this file). Returns the tasks that are left.
PlacementUnit placeOnReservedCapacity(Scheduler &scheduler, const PlacementUnit &unit,
                                      ServiceCapacity &capacity, TimeMs now)
{
    const bool gang = unit.row->job->steps[unit.step].gang;
    if (!gang && !endsByItself(unit))
        return placeReturningTasks(scheduler, unit, capacity, now);
    const bool heldBack = now - waitOf(unit, now).since >= scheduler.options.maxHeldBackMs;
    std::vector<HeldReservation *> harmless;
    std::vector<HeldReservation *> delayed;
    for (HeldReservation &held : capacity.held) {
        if (held.mayStopOthers)
            continue;
        if (isHarmless(unit, held, now))
            harmless.push_back(&held);
        else if (heldBack && tasksThatMayDelay(unit, held, now) > 0)
            delayed.push_back(&held);
    }
    std::vector<HeldReservation *> all = harmless;
    all.insert(all.end(), delayed.begin(), delayed.end());
    const auto place = [&](const PlacementUnit &part, Reservations lent) {
        std::size_t limit = part.tasks.size();
        for (const HeldReservation *held : lent) {
            if (!isHarmless(part, *held, now))
                limit = std::min(limit, tasksThatMayDelay(part, *held, now));
        }
        return placeOnLentCapacity(scheduler, part, limit, lent, capacity, now);
    };
    if (delayed.empty() || gang)
        return place(unit, all);
    // Each reservation has its own limit, so single tasks use one after another.
    PlacementUnit rest = place(unit, harmless);
    for (HeldReservation *held : delayed) {
        std::vector<HeldReservation *> lent = harmless;
        lent.push_back(held);
        rest = place(rest, lent);
    }
    return delayed.size() > 1 ? place(rest, all) : rest;
}

// See SchedulerOptions::maxUseToLift.
bool mostlyIdle(const Scheduler &scheduler, const ServiceCapacity &capacity)
{
    const auto belowLimit = [&scheduler](std::int64_t inUse, std::int64_t total) {
        return total == 0 || double(inUse) < scheduler.options.maxUseToLift * double(total);
    };
    return belowLimit(capacity.inUse.accelerators, capacity.total.accelerators)
        && belowLimit(capacity.inUse.cpuMilli, capacity.total.cpuMilli);
}

// True when one more failed run does not fail the job.
bool mayFailOnce(const PlacementUnit &unit, std::size_t task)
{
    const Job &job = *unit.row->job;
    const Step &step = job.steps[unit.step];
    const std::size_t counter = step.gang ? firstTaskNumber(unit) : task;
    return step.longRunning || unit.row->progress.tasks[counter].failures + 1 < job.maxAttempts;
}

// True when failures, of the unit's tasks or of others, have held it back for as long as they may.
bool hasAvoidedLongEnough(const Scheduler &scheduler, const PlacementUnit &unit, TimeMs now)
{
    const auto found = unit.row->waits.find(firstTaskNumber(unit));
    if (found == unit.row->waits.end() || !found->second.avoidedSince)
        return false;
    const TimeMs limitMs =
        endsByItself(unit) ? scheduler.options.maxAvoidMs : scheduler.options.maxHeldBackMs;
    return now - *found->second.avoidedSince >= limitMs;
}

// True while so many workers are in quarantine that the work is more likely at fault.
bool manyAreQuarantined(const Scheduler &scheduler, const ServiceCapacity &capacity)
{
    return double(capacity.quarantined)
        >= scheduler.options.maxQuarantinedShare * double(capacity.workers.size());
}

// Lifts one more restriction of the unit. Returns the number of its tasks that may then be placed;
// 0: nothing changes for it. These tasks are moved to the front.
std::size_t liftRestriction(const Scheduler &scheduler, WaitCause restriction,
                            const ServiceCapacity &capacity, TimeMs now, PlacementUnit &unit)
{
    switch (restriction) {
    case WaitCause::Reserved:
        return capacity.held.empty() ? 0 : unit.tasks.size();
    case WaitCause::PreferredRack:
        if (!prefersRack(unit) || unit.anyRack)
            return 0;
        unit.anyRack = true;
        unit.estimateMs =
            static_cast<TimeMs>(scheduler.options.offRackFactor * double(unit.estimateMs));
        return unit.tasks.size();
    case WaitCause::FailedWorker:
        if (demandOf(unit, capacity).excludedWorkers.empty())
            return 0;
        unit.anyWorker = true;
        return unit.tasks.size();
    case WaitCause::UnusableWorkers:
        if (std::none_of(capacity.workers.begin(), capacity.workers.end(),
                         [](const WorkerResources &worker) { return worker.quarantined; }))
            return 0;
        unit.quarantinedWorkers = true;
        if (manyAreQuarantined(scheduler, capacity) || hasAvoidedLongEnough(scheduler, unit, now))
            return unit.tasks.size();
        return static_cast<std::size_t>(
            std::stable_partition(unit.tasks.begin(), unit.tasks.end(),
                                  [&unit](std::size_t task) { return mayFailOnce(unit, task); })
            - unit.tasks.begin());
    case WaitCause::Evacuated:
    case WaitCause::NoFreeCapacity:
    case WaitCause::NeverFits:
        break;
    }
    return 0;
}

// True when a task of the unit has room on some worker once all its restrictions are lifted, and
// for a gang all of them. It is a quick check: racks and limits per worker are not considered.
bool mayFit(const PlacementUnit &unit, const ServiceCapacity &capacity)
{
    const Step &step = unit.row->job->steps[unit.step];
    Demand demand;
    demand.need = allocationFor(step);
    demand.count = static_cast<std::uint32_t>(unit.tasks.size());
    demand.allOrNothing = step.gang;
    demand.requiredLabel = step.requiredLabel;
    demand.maxPerWorker = step.maxPerWorker;
    demand.quarantinedWorkers = true;
    return countPlaces(demand, capacity.workers) >= (demand.allOrNothing ? demand.count : 1);
}

void logLiftedRestriction(Scheduler &scheduler, const PlacementUnit &unit, std::size_t tasks,
                          WaitCause restriction, TimeMs waitedMs)
{
    logDecision(scheduler,
                "event=restriction_lifted job=" + unit.row->job->id + " occurrence="
                    + std::to_string(unit.occurrence) + " step=" + std::to_string(unit.step)
                    + " tasks=" + std::to_string(tasks) + " waited_ms=" + std::to_string(waitedMs)
                    + " cause=\"" + std::string(waitCauseName(restriction)) + "\"");
}

// True when most of the service is idle and has been for `maxHeldBackMs` while the unit waited. A
// moment of use, such as between the end of a run and its report, does not interrupt that time.
bool hasWaitedWhileIdle(const Scheduler &scheduler, const ServiceCapacity &capacity,
                        WaitState &wait, TimeMs now)
{
    if (!mostlyIdle(scheduler, capacity)) {
        wait.busySince = wait.busySince.value_or(now);
        if (now - *wait.busySince >= scheduler.options.maxBusyGapMs)
            wait.idleSince.reset();
        return false;
    }
    wait.busySince.reset();
    wait.idleSince = wait.idleSince.value_or(now);
    return now - *wait.idleSince >= scheduler.options.maxHeldBackMs;
}

// Places a unit that has waited for long, or the rest of one, on any worker that may run it while
// most of the service is idle; also when it is not, on workers that it has avoided for as long as
// it may because of failures. Returns the tasks that are left.
PlacementUnit placeDespiteRestrictions(Scheduler &scheduler, const PlacementUnit &unit,
                                       ServiceCapacity &capacity, TimeMs now)
{
    if (unit.tasks.empty())
        return unit;
    WaitState &wait = waitOf(unit, now);
    const bool idle = hasWaitedWhileIdle(scheduler, capacity, wait, now);
    if (!idle && !hasAvoidedLongEnough(scheduler, unit, now))
        return unit;
    // By the last search for the cause, which lifts the same restrictions.
    if (wait.cause == WaitCause::NoFreeCapacity || wait.cause == WaitCause::NeverFits)
        return unit;
    const absl::Span<const WaitCause> lifted =
        idle ? absl::MakeConstSpan(liftedRestrictions) : absl::MakeConstSpan(failureRestrictions);
    const TimeMs waitedMs = now - wait.since;
    std::vector<HeldReservation *> lent;
    if (idle) {
        for (HeldReservation &held : capacity.held)
            lent.push_back(&held);
    }
    lendReserved(lent, capacity);
    PlacementUnit left = unit;
    if (mayFit(unit, capacity)) {
        for (const WaitCause restriction : lifted) {
            const std::size_t limit = liftRestriction(scheduler, restriction, capacity, now, left);
            if (limit == 0 || left.tasks.empty())
                continue;
            PlacementUnit rest = placeBeside(scheduler, left, limit, lent, capacity, now);
            const std::size_t placed = left.tasks.size() - rest.tasks.size();
            if (placed > 0)
                logLiftedRestriction(scheduler, unit, placed, restriction, waitedMs);
            left = std::move(rest);
        }
    }
    returnLent(lent, capacity);
    PlacementUnit rest = unit;
    rest.tasks = left.tasks;
    return rest;
}

// True when the unit has waited for its preferred rack for as long as its tasks lose on another,
// and not only for a moment.
bool hasWaitedForRack(const Scheduler &scheduler, const PlacementUnit &unit, TimeMs now)
{
    if (!prefersRack(unit))
        return false;
    const auto lossMs =
        static_cast<TimeMs>((scheduler.options.offRackFactor - 1) * double(unit.estimateMs));
    return now - waitOf(unit, now).since >= std::max(lossMs, scheduler.options.minRackWaitMs);
}

void placeUnit(Scheduler &scheduler, PlacementUnit unit, ServiceCapacity &capacity,
               int &reservations, TimeMs now)
{
    Demand demand = demandOf(unit, capacity);
    Placement placement = findPlacement(demand, capacity.workers);
    if (placement.empty() && hasWaitedForRack(scheduler, unit, now)) {
        unit.anyRack = true;
        unit.estimateMs =
            static_cast<TimeMs>(scheduler.options.offRackFactor * double(unit.estimateMs));
        demand = demandOf(unit, capacity);
        placement = findPlacement(demand, capacity.workers);
    }
    if (!placement.empty())
        assignTasks(scheduler, unit, placement, capacity, now);
    if (placement.size() == demand.count)
        return;
    PlacementUnit rest = restOf(unit, placement.size());
    rest = placeOnReservedCapacity(scheduler, rest, capacity, now);
    rest = placeDespiteRestrictions(scheduler, rest, capacity, now);
    if (rest.tasks.empty())
        return;
    const Demand remaining = demandOf(rest, capacity);
    const Reservation reservation = findReservation(remaining, capacity.workers);
    const bool mayWait =
        !reservation.placement.empty() && reservation.freeInMs <= unit.reclaimTimeoutMs;
    const auto waits = [&](bool reserving) {
        recordWait(scheduler, rest, remaining, capacity, reservation, reserving, now);
    };
    if (unit.priority == 0 && mayWait) {
        holdReservation(rest, reservation, remaining.need, capacity, now);
        waits(true);
        return;
    }
    if (mayStopOthers(unit)) {
        for (const auto reclaimable :
             {Reclaimable::LowerPriorities, Reclaimable::UnguaranteedUrgent}) {
            if (reclaimable == Reclaimable::UnguaranteedUrgent
                && !mayStopUnguaranteedUrgent(scheduler, unit, now))
                continue;
            if (reclaimFor(scheduler, unit, remaining, capacity, reclaimable))
                return;
            if (unit.guaranteed && placeOnAnyRack(scheduler, rest, capacity, reclaimable, now))
                return;
        }
    }
    const bool reserving = reservations < maxReservations && !reservation.placement.empty();
    if (reserving) {
        ++reservations;
        holdReservation(rest, reservation, remaining.need, capacity, now);
    }
    waits(reserving);
}

void applyCancellations(Scheduler &scheduler, TimeMs now)
{
    for (auto &[id, row] : scheduler.table.jobs) {
        if (!row.cancelled || row.cancellationHandled || !row.job)
            continue;
        row.cancellationHandled = true;
        if (row.progress.outcome != Outcome::Open)
            continue;
        row.progress.outcome = Outcome::Cancelled;
        row.endedAt = now;
        row.dirty = true;
        logDecision(scheduler, "event=job_cancelled job=" + id);
    }
}

void dropLapsedWorkers(Scheduler &scheduler, TimeMs now)
{
    std::vector<std::string> lapsed;
    for (const auto &[key, worker] : scheduler.workers) {
        if (now - worker.lastReport > leaseTimeoutMs(scheduler.options, worker.fenced))
            lapsed.push_back(key);
    }
    for (const std::string &key : lapsed)
        dropWorker(scheduler, key, "its lease has lapsed", now);
}

// Requeues tasks that are assigned to workers that never reported to this leader, once their leases
// must have lapsed.
void releaseOrphanedTasks(Scheduler &scheduler, TimeMs now)
{
    if (now - scheduler.leadingSince <= orphanTimeoutMs(scheduler.options))
        return;
    for (auto &[id, row] : scheduler.table.jobs) {
        if (!row.job)
            continue;
        for (std::size_t i = 0; i < row.progress.tasks.size(); ++i) {
            TaskProgress &task = row.progress.tasks[i];
            const bool assigned =
                task.phase == TaskPhase::Assigned || task.phase == TaskPhase::Stopping;
            if (!assigned || scheduler.workers.count(task.worker) > 0)
                continue;
            logDecision(scheduler,
                        "event=run_dropped task=" + taskName(*row.job, taskPosition(*row.job, i))
                            + " run=" + std::to_string(task.run) + " worker=" + task.worker
                            + " cause=\"its worker never reported to this leader\"");
            requeueTask(row, i);
        }
    }
}

// The runs of one gang, or the only run of a task outside a gang, on workers that report.
struct ReportedGang
{
    std::size_t size = 1; // number of members of the gang
    bool allRunning = true; // none of `runs` is still being started
    bool begun = false; // a member has advanced since it was first listed
    std::vector<MemberProgress> progress;
    std::vector<std::pair<Worker *, RunKey>> runs;
};

using GangKey = std::tuple<std::string_view, std::size_t, std::uint32_t>; // job, first task, run

void addReportedRun(const Scheduler &scheduler, Worker &worker, std::size_t workerNumber,
                    const RunKey &key, const Run &run, std::map<GangKey, ReportedGang> &gangs)
{
    const auto found = scheduler.table.jobs.find(run.jobId);
    if (found == scheduler.table.jobs.end() || !found->second.job
        || !shouldRun(scheduler, worker, run))
        return;
    const TaskPosition position = taskPosition(*found->second.job, run.taskNumber);
    const Step &step = found->second.job->steps[position.step];
    if (step.longRunning)
        return;
    const std::size_t first = run.taskNumber - (step.gang ? position.index : 0);
    ReportedGang &gang = gangs[{found->first, first, run.run}];
    gang.size = step.gang ? step.count : 1;
    gang.allRunning = gang.allRunning && run.reported == RunState::Running;
    gang.begun = gang.begun || run.progress.percent > run.progress.firstPercent;
    const auto stalled = found->second.stalledRuns.find(run.taskNumber);
    const std::uint32_t stalledRuns =
        stalled == found->second.stalledRuns.end() ? 0 : stalled->second;
    gang.progress.push_back({workerNumber, run.progress.percent,
                             stillness(run.progress, step.estimateMs, run.resumed, stalledRuns,
                                       scheduler.options.stall)});
    gang.runs.emplace_back(&worker, key);
}

// The run's gang; the run alone outside a gang. nullopt for a run that should not go on.
std::optional<GangKey> gangOf(const Scheduler &scheduler, const Worker &worker, const Run &run)
{
    if (!shouldRun(scheduler, worker, run))
        return std::nullopt;
    const auto found = scheduler.table.jobs.find(run.jobId);
    const TaskPosition position = taskPosition(*found->second.job, run.taskNumber);
    const bool gang = found->second.job->steps[position.step].gang;
    return GangKey(found->first, run.taskNumber - (gang ? position.index : 0), run.run);
}

// Stops runs whose workers answer other calls but do not confirm the start. Other workers come
// first for their tasks, as after a start that was refused. A gang of which a member runs is left
// to the worker of that member, which ends it when the others do not start in time.
void stopUnconfirmedStarts(Scheduler &scheduler, TimeMs now)
{
    const auto answers = [](const Worker &worker) { return worker.fenced && !worker.silent; };
    std::vector<std::tuple<Worker *, RunKey, GangKey>> overdue;
    for (auto &[key, worker] : scheduler.workers) {
        if (!answers(worker))
            continue;
        for (const auto &[runKey, run] : worker.runs) {
            if (run.startingMs < scheduler.options.startTimeoutMs
                || run.reported == RunState::Running)
                continue;
            if (const auto gang = gangOf(scheduler, worker, run))
                overdue.emplace_back(&worker, runKey, *gang);
        }
    }
    if (overdue.empty())
        return;
    std::set<GangKey> begun;
    for (const auto &[key, worker] : scheduler.workers) {
        if (!answers(worker))
            continue;
        for (const auto &[runKey, run] : worker.runs) {
            if (run.reported != RunState::Running)
                continue;
            if (const auto gang = gangOf(scheduler, worker, run))
                begun.insert(*gang);
        }
    }
    for (const auto &[worker, runKey, gang] : overdue) {
        if (begun.count(gang) > 0)
            continue;
        stopRun(scheduler, worker->key, runKey, "its start is not confirmed");
        worker->busyUntil = now + scheduler.options.busyMs;
    }
}

// Stops the runs in evacuated data centres that their workers have not confirmed, so that their
// tasks are placed elsewhere. A worker that has not accepted its token may run them already.
void withdrawEvacuatedStarts(Scheduler &scheduler)
{
    if (scheduler.evacuations.empty())
        return;
    for (auto &[key, worker] : scheduler.workers) {
        if (!worker.fenced || !isEvacuated(scheduler.evacuations, worker.dataCentre))
            continue;
        for (const auto &[runKey, run] : worker.runs) {
            const bool confirmed =
                run.reported == RunState::Running || run.reported == RunState::Stopping;
            if (confirmed || !shouldRun(scheduler, worker, run))
                continue;
            ++scheduler.withdrawnStarts[worker.dataCentre];
            stopRun(scheduler, key, runKey, "its data centre is evacuated");
        }
    }
}

// Stops runs that occupy resources without making progress, and quarantines the workers that
// stalled them. A gang begins to work when all its members run, so their stall timers start then.
void stopStalledRuns(Scheduler &scheduler, TimeMs now)
{
    std::map<GangKey, ReportedGang> gangs;
    std::size_t workerNumber = 0;
    for (auto &[key, worker] : scheduler.workers) {
        ++workerNumber;
        if (!worker.fenced || now - worker.lastReport > scheduler.options.reportTimeoutMs)
            continue;
        for (const auto &[runKey, run] : worker.runs)
            addReportedRun(scheduler, worker, workerNumber, runKey, run, gangs);
    }
    for (auto &[gangKey, gang] : gangs) {
        const bool complete = gang.allRunning && gang.runs.size() == gang.size;
        if (!gang.begun && !complete) {
            for (const auto &[worker, runKey] : gang.runs)
                restartStallTimer(worker->runs.at(runKey).progress);
            continue;
        }
        // The others may wait for members that are not reported or are being stopped, and nothing
        // shows that these advance.
        gang.progress.resize(gang.size, {0, 0, 1.0});
        const StalledMembers stalled = findStalled(gang.progress);
        for (const std::size_t member : stalled.members) {
            const auto &[worker, runKey] = gang.runs[member];
            const Run &run = worker->runs.at(runKey);
            if (run.progress.percent == run.progress.firstPercent)
                ++scheduler.table.jobs.at(run.jobId).stalledRuns[run.taskNumber];
            stopRun(scheduler, worker->key, runKey, "no progress");
            if (stalled.workersAtFault)
                worker->quarantinedUntil = now + scheduler.options.quarantineMs;
        }
    }
}

// The steps as TASKS:CPU_MILLI:MEMORY_MB:ACCELERATORS:PROPERTIES, separated by commas. Properties
// are letters: g gang, c checkpointing, l long-running, - none. Only the first steps are described,
// because the length of a log line is limited.
std::string describeSteps(const Job &job)
{
    constexpr std::size_t maxDescribedSteps = 20;
    std::string text;
    for (std::size_t i = 0; i < std::min(job.steps.size(), maxDescribedSteps); ++i) {
        const Step &step = job.steps[i];
        const Resources need = allocationFor(step);
        const std::string properties = std::string(step.gang ? "g" : "")
            + (step.checkpointing ? "c" : "") + (step.longRunning ? "l" : "");
        text += (i == 0 ? "" : ",") + std::to_string(step.count) + ":"
            + std::to_string(need.cpuMilli) + ":" + std::to_string(need.memoryMb) + ":"
            + std::to_string(need.accelerators) + ":" + (properties.empty() ? "-" : properties);
    }
    return text;
}

void logAcceptance(Scheduler &scheduler, JobRow &row, bool guaranteed)
{
    if (std::exchange(row.acceptanceLogged, true))
        return;
    const Job &job = *row.job;
    std::int64_t accelerators = 0;
    for (const Step &step : job.steps)
        accelerators += step.count * step.need.accelerators;
    const TimeMs objectiveMs =
        static_cast<TimeMs>(job.stretch * double(longestChainMs(job))) + job.targetLatencyMs;
    logDecision(
        scheduler,
        "event=job_known job=" + job.id + " queue=" + job.queue + " organisation="
            + job.organisation + " priority=" + std::to_string(job.priority) + " guaranteed="
            + (guaranteed ? "true" : "false") + " tasks=" + std::to_string(tasksPerOccurrence(job))
            + " occurrences=" + std::to_string(occurrences(job)) + " accelerators="
            + std::to_string(accelerators) + " gang=" + (job.steps[0].gang ? "true" : "false")
            + " checkpointing=" + (job.steps[0].checkpointing ? "true" : "false")
            + " chain_ms=" + std::to_string(longestChainMs(job)) + " accepted_unix_ms="
            + std::to_string(job.acceptedUnixMs) + " objective_ms=" + std::to_string(objectiveMs)
            + " first_due_unix_ms=" + std::to_string(dueUnixMs(job, 0))
            + " last_due_unix_ms=" + std::to_string(dueUnixMs(job, occurrences(job) - 1))
            + " steps=" + describeSteps(job));
}

} // namespace

TimeMs leaseTimeoutMs(const SchedulerOptions &options, bool fenced)
{
    // Clocks of workers may run 2% slow; 3% adds a margin for rounding.
    const TimeMs timeoutMs = options.leaseMaxMs * 103 / 100 + options.leaseSlackMs;
    // The agent may not have received this leader's orders yet. An earlier leader may extend the
    // lease until `maxStoreUnreachableMs` after it lost contact with the store.
    return fenced ? timeoutMs : timeoutMs + options.maxStoreUnreachableMs;
}

TimeMs orphanTimeoutMs(const SchedulerOptions &options)
{
    return leaseTimeoutMs(options, false);
}

void plan(Scheduler &scheduler, TimeMs now, std::uint64_t unixNow)
{
    releaseEndedWorkers(scheduler, now);
    dropLapsedWorkers(scheduler, now);
    releaseOrphanedTasks(scheduler, now);
    applyCancellations(scheduler, now);
    withdrawEvacuatedStarts(scheduler);
    stopUnconfirmedStarts(scheduler, now);
    stopStalledRuns(scheduler, now);
    const std::set<std::string> guaranteed = guaranteedJobs(scheduler);
    const std::set<TaskId> blocked = tasksWithRuns(scheduler);
    std::vector<PlacementUnit> units;
    for (auto &[id, row] : scheduler.table.jobs) {
        if (!row.job || row.cancelled || row.progress.outcome != Outcome::Open)
            continue;
        logAcceptance(scheduler, row, guaranteed.count(id) > 0);
        JobUnits(scheduler, row, guaranteed.count(id) > 0, blocked, now, unixNow, units).add();
    }
    std::sort(units.begin(), units.end(), precedes);
    std::map<std::string, ServiceCapacity> capacityByService;
    std::map<std::string, int> reservations;
    for (const PlacementUnit &unit : units) {
        const std::string &service = unit.row->job->service;
        auto capacity = capacityByService.find(service);
        if (capacity == capacityByService.end())
            capacity =
                capacityByService
                    .emplace(service, CapacityBuilder(scheduler, guaranteed, now).build(service))
                    .first;
        placeUnit(scheduler, unit, capacity->second, reservations[service], now);
    }
    logUnconfirmedRuns(scheduler, now);
}

} // namespace flamingo::scheduler
