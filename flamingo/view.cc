// Placement samples a few workers of every bucket that can hold the job and keeps the one with the
// lowest cost
//
//   weight * (length of the free run used - accelerators needed) / accelerators of the worker
//   + (1 - weight) * load
//
// where weight is PlaceOptions::fragmentationWeight and load is the share of the worker's cores in
// use. Ties are broken at random, so that several entries with the same view choose different
// workers. The buckets are indexed by accelerators only, not by cores, memory or slots. When no
// sampled worker can hold the job, all workers of these buckets are examined once.
//
// A gang on guaranteed blocks of its own organisation uses those of one copy. Any other gang is
// placed in one rack if some rack can hold it: in each data centre, the rack with the fewest
// workers that fit is preferred. Otherwise it is placed in one data centre, in the racks with the
// most workers that fit first, so that it spans few racks.

#include "flamingo/view.h"

#include <algorithm>
#include <limits>

namespace flamingo {
namespace {

constexpr std::size_t samplesPerBucket = 4;
constexpr std::uint64_t reportBaseBytes = 140; // encoded report without tasks
constexpr std::uint64_t reportTaskBytes = 100; // encoded TaskInfo with usual ids
// Control budget: bytes per second of all reports to one entry; docs/design.md, 1.5.
constexpr std::uint64_t controlBytesPerSecond = 2048;
constexpr TimeMs minReportIntervalMs = 1000;

std::uint64_t lowBits(std::uint32_t count)
{
    return count >= 64 ? ~0ULL : (1ULL << count) - 1;
}

std::uint64_t estimateReportBytes(const Report &report)
{
    return reportBaseBytes + reportTaskBytes * report.tasks.size();
}

// Start of a block of `count` bits within a run of `length` bits at `first`: a multiple of `count`
// if the block fits there, so that blocks of the same size fit next to it, else `first`.
int alignedStart(int first, int length, int count)
{
    const int aligned = (first + count - 1) / count * count;
    return aligned + count <= first + length ? aligned : first;
}

// ---- Buckets ----

// The last agent of the bucket takes the place of the removed one.
void removeFromBucket(View &view, std::vector<AgentId> &bucket,
                      std::uint32_t AgentCapacity::*position, AgentId agent)
{
    const auto at = view.agentCapacities[agent].*position;
    const auto last = bucket.back();
    bucket[at] = last;
    view.agentCapacities[last].*position = at;
    bucket.pop_back();
}

void addToBucket(View &view, std::vector<AgentId> &bucket, std::uint32_t AgentCapacity::*position,
                 AgentId agent)
{
    view.agentCapacities[agent].*position = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(agent);
}

bool isUsable(const AgentView &agent)
{
    return agent.connected && agent.lostAt == 0 && !agent.report.agent.empty()
        && !agent.report.draining && !agent.drainRequested && !agent.report.setAside;
}

// Recomputes the capacity of an agent and moves the agent to the matching buckets.
void refreshCapacity(View &view, AgentId id)
{
    const auto &agent = view.agents[id];
    auto &capacity = view.agentCapacities[id];
    auto &centre = view.dataCentres[agent.dataCentre];
    if (capacity.usable) {
        removeFromBucket(view, centre.byUnreservedRun[capacity.unreservedRun],
                         &AgentCapacity::unreservedPosition, id);
        removeFromBucket(view, centre.byFreeRun[capacity.freeRun], &AgentCapacity::freePosition,
                         id);
    }
    capacity.freeMask = agent.report.freeMask;
    capacity.evictableMask = agent.report.evictableMask;
    capacity.cores = static_cast<std::int32_t>(agent.report.freeCores);
    capacity.memoryMib = static_cast<std::int32_t>(agent.report.freeMemoryMib);
    capacity.slots = static_cast<std::int32_t>(agent.report.freeSlots);
    for (const auto &deduction : agent.deductions) {
        capacity.freeMask &= ~deduction.mask;
        capacity.evictableMask &= ~deduction.mask;
        if (deduction.evictable)
            capacity.evictableMask |= deduction.mask;
        capacity.cores -= static_cast<std::int32_t>(deduction.cores);
        capacity.memoryMib -= static_cast<std::int32_t>(deduction.memoryMib);
        capacity.slots -= 1;
    }
    capacity.guaranteedMask = 0;
    for (const auto &guaranteedBlock : agent.guaranteedBlocks)
        capacity.guaranteedMask |= guaranteedBlock.mask;
    capacity.unreservedRun =
        static_cast<std::uint8_t>(largestRun(capacity.freeMask & ~capacity.guaranteedMask));
    capacity.freeRun = static_cast<std::uint8_t>(largestRun(capacity.freeMask));
    capacity.usable = isUsable(agent);
    if (!capacity.usable)
        return;
    addToBucket(view, centre.byUnreservedRun[capacity.unreservedRun],
                &AgentCapacity::unreservedPosition, id);
    addToBucket(view, centre.byFreeRun[capacity.freeRun], &AgentCapacity::freePosition, id);
}

// ---- Agents ----

std::uint32_t findOrAddDataCentre(View &view, std::string_view name)
{
    for (std::uint32_t i = 0; i < view.dataCentres.size(); ++i) {
        if (view.dataCentres[i].name == name)
            return i;
    }
    view.dataCentres.emplace_back();
    view.dataCentres.back().name = name;
    return static_cast<std::uint32_t>(view.dataCentres.size() - 1);
}

std::uint32_t findOrAddRack(View &view, std::uint32_t dataCentre, std::string_view name)
{
    for (const auto rack : view.dataCentres[dataCentre].racks) {
        if (view.racks[rack].name == name)
            return rack;
    }
    view.racks.push_back({std::string(name), dataCentre, {}});
    view.dataCentres[dataCentre].racks.push_back(static_cast<std::uint32_t>(view.racks.size() - 1));
    return view.dataCentres[dataCentre].racks.back();
}

std::vector<GuaranteedCopy>::iterator findCopy(std::vector<GuaranteedCopy> &copies,
                                               std::uint32_t shape, std::uint32_t copy)
{
    return std::find_if(copies.begin(), copies.end(), [shape, copy](const auto &known) {
        return known.shape == shape && known.copy == copy;
    });
}

// Sets the guaranteed blocks of a worker, and its agent in the copies that they belong to.
void linkGuaranteedBlocks(View &view, std::string_view worker, AgentId id)
{
    view.agents[id].guaranteedBlocks.clear();
    const auto guaranteedBlocks = view.guaranteedBlocksByWorker.find(worker);
    if (guaranteedBlocks == view.guaranteedBlocksByWorker.end())
        return;
    view.agents[id].guaranteedBlocks = guaranteedBlocks->second;
    for (const auto &guaranteedBlock : guaranteedBlocks->second) {
        auto &copies = view.copies[guaranteedBlock.organisation];
        findCopy(copies, guaranteedBlock.shape, guaranteedBlock.copy)
            ->members[guaranteedBlock.member]
            .agent = id;
    }
}

AgentId addAgent(View &view, const std::string &name, std::string_view dataCentre,
                 std::string_view rack)
{
    const auto id = static_cast<AgentId>(view.agents.size());
    view.agents.emplace_back();
    view.agentCapacities.emplace_back();
    view.byName.emplace(name, id);
    view.agents[id].dataCentre = findOrAddDataCentre(view, dataCentre);
    view.agents[id].rack = findOrAddRack(view, view.agents[id].dataCentre, rack);
    view.racks[view.agents[id].rack].agents.push_back(id);
    linkGuaranteedBlocks(view, name, id);
    return id;
}

// Moves an agent to the data centre and rack of its report. `connected` is cleared for a moment, so
// that refreshCapacity() removes the agent from the buckets of the former data centre.
void moveAgent(View &view, AgentId id, const Report &report)
{
    auto &agent = view.agents[id];
    if (agent.report.dataCentre == report.dataCentre && agent.report.rack == report.rack)
        return;
    const bool connected = agent.connected;
    agent.connected = false;
    refreshCapacity(view, id);
    agent.connected = connected;
    auto &before = view.racks[agent.rack].agents;
    before.erase(std::find(before.begin(), before.end(), id));
    agent.dataCentre = findOrAddDataCentre(view, report.dataCentre);
    agent.rack = findOrAddRack(view, agent.dataCentre, report.rack);
    view.racks[agent.rack].agents.push_back(id);
}

// Adds the tasks of the report to the usage, or subtracts them if `sign` is -1.
void addTasksToUsage(View &view, const Report &report, std::int64_t sign)
{
    for (const auto &task : report.tasks) {
        auto &usage = view.usage[task.organisation];
        usage.accelerators += sign * static_cast<std::int64_t>(task.accelerators);
        usage.tasks += sign;
    }
}

void addDeductionToUsage(View &view, const Deduction &deduction, std::int64_t sign)
{
    auto &usage = view.usage[deduction.organisation];
    usage.accelerators += sign * __builtin_popcountll(deduction.mask);
    usage.tasks += sign;
}

// True if a deduction was removed. The caller then updates the capacity with refreshCapacity().
template <typename Predicate>
bool removeDeductionsIf(View &view, AgentId id, Predicate matches)
{
    auto &deductions = view.agents[id].deductions;
    const auto before = deductions.size();
    for (auto at = deductions.begin(); at != deductions.end();) {
        if (!matches(*at)) {
            ++at;
            continue;
        }
        addDeductionToUsage(view, *at, -1);
        at = deductions.erase(at);
    }
    return deductions.size() != before;
}

// ---- Choice of a worker ----

bool mayBorrow(const JobSpec &spec)
{
    return spec.idempotent || spec.checkpointable;
}

bool fitsCoresMemoryAndSlots(const AgentCapacity &capacity, const JobSpec &spec)
{
    return capacity.slots > 0 && capacity.cores >= static_cast<std::int32_t>(spec.cores)
        && capacity.memoryMib >= static_cast<std::int32_t>(spec.memoryMib);
}

bool isExcluded(const PlaceOptions &options, AgentId id)
{
    return std::find(options.excluded.begin(), options.excluded.end(), id)
        != options.excluded.end();
}

bool isReservedForOtherJob(const View &view, std::uint32_t centre, const JobSpec &spec,
                           const PlaceOptions &options)
{
    const auto &dataCentre = view.dataCentres[centre];
    return dataCentre.reservedForJob != 0 && dataCentre.reservedForJob != options.job
        && (spec.jobClass != JobClass::Urgent || dataCentre.reservedForUrgent);
}

std::uint64_t placeableMask(const AgentCapacity &capacity, bool unreservedOnly)
{
    return unreservedOnly ? capacity.freeMask & ~capacity.guaranteedMask : capacity.freeMask;
}

// The candidate with the lowest cost so far.
struct Choice
{
    AgentId agent = noAgent;
    double cost = std::numeric_limits<double>::max();
    std::uint32_t tiedCandidates = 0;
};

// Replaces the choice if the cost is lower. Of candidates with equal costs, each is chosen with the
// same probability.
void considerCandidate(Choice &choice, AgentId agent, double cost, Random &random)
{
    constexpr double costTolerance = 1e-9;
    if (cost > choice.cost + costTolerance)
        return;
    choice.tiedCandidates = cost < choice.cost - costTolerance ? 1 : choice.tiedCandidates + 1;
    if (choice.tiedCandidates > 1 && random() % choice.tiedCandidates != 0)
        return;
    choice.agent = agent;
    choice.cost = cost;
}

double placementCost(const View &view, AgentId id, int run, const JobSpec &spec, double weight)
{
    const auto &report = view.agents[id].report;
    const double capacity = std::max<double>(1, report.accelerators);
    const double load = 1.0
        - static_cast<double>(view.agentCapacities[id].cores) / std::max<double>(1, report.cores);
    return weight * (run - static_cast<int>(spec.accelerators)) / capacity + (1 - weight) * load;
}

void sampleBucket(const View &view, const JobSpec &spec, const PlaceOptions &options,
                  const std::vector<AgentId> &bucket, int run, std::size_t samples, Random &random,
                  Choice &choice)
{
    if (bucket.empty())
        return;
    const auto start = random() % bucket.size();
    for (std::size_t i = 0; i < std::min(samples, bucket.size()); ++i) {
        const auto id = bucket[(start + i) % bucket.size()];
        if (!fitsCoresMemoryAndSlots(view.agentCapacities[id], spec) || isExcluded(options, id))
            continue;
        considerCandidate(choice, id,
                          placementCost(view, id, run, spec, options.fragmentationWeight), random);
    }
}

AgentId chooseWorker(const View &view, const JobSpec &spec, const PlaceOptions &options,
                     bool unreservedOnly, Random &random)
{
    for (const auto samples : {samplesPerBucket, std::numeric_limits<std::size_t>::max()}) {
        Choice choice;
        for (std::uint32_t centre = 0; centre < view.dataCentres.size(); ++centre) {
            if (isReservedForOtherJob(view, centre, spec, options))
                continue;
            const auto &buckets = unreservedOnly ? view.dataCentres[centre].byUnreservedRun
                                                 : view.dataCentres[centre].byFreeRun;
            for (std::size_t run = spec.accelerators; run < blockSizeCount; ++run)
                sampleBucket(view, spec, options, buckets[run], static_cast<int>(run), samples,
                             random, choice);
        }
        if (choice.agent != noAgent)
            return choice.agent;
    }
    return noAgent;
}

// The accelerators to use in a guaranteed block of the job's own organisation, also with eviction
// of borrowing tasks. 0 when the block cannot hold the job.
std::uint64_t blockOnOwnGuaranteedBlock(const AgentCapacity &capacity,
                                        std::uint64_t guaranteedBlock, const JobSpec &spec)
{
    return bestReclaimableBlock((capacity.freeMask | capacity.evictableMask) & guaranteedBlock,
                                capacity.freeMask, spec.accelerators);
}

const std::vector<GuaranteedCopy> *guaranteedCopiesOf(const View &view, const JobSpec &spec)
{
    const auto found = view.copies.find(spec.organisation);
    return found == view.copies.end() ? nullptr : &found->second;
}

bool isMemberUsable(const View &view, const GuaranteedMember &member, const PlaceOptions &options)
{
    return member.agent != noAgent && view.agentCapacities[member.agent].usable
        && !isExcluded(options, member.agent);
}

// Places the job on members of one copy, those with the fewest evicted accelerators first.
// `evicted` is set to the number of accelerators in use by tasks to evict.
std::optional<Placement> placeOnCopy(const View &view, const JobSpec &spec,
                                     const PlaceOptions &options, const GuaranteedCopy &copy,
                                     int &evicted)
{
    Placement placement;
    placement.kind = CapacityKind::OwnGuaranteed;
    evicted = 0;
    std::vector<std::pair<int, std::size_t>> fitting;
    std::vector<std::uint64_t> blocks(copy.members.size());
    for (std::size_t i = 0; i < copy.members.size(); ++i) {
        if (!isMemberUsable(view, copy.members[i], options))
            continue;
        const auto &capacity = view.agentCapacities[copy.members[i].agent];
        blocks[i] = blockOnOwnGuaranteedBlock(capacity, copy.members[i].mask, spec);
        if (blocks[i] != 0)
            fitting.emplace_back(__builtin_popcountll(blocks[i] & ~capacity.freeMask), i);
    }
    if (fitting.size() < spec.members)
        return std::nullopt;
    std::stable_sort(fitting.begin(), fitting.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    for (std::size_t i = 0; i < spec.members; ++i) {
        evicted += fitting[i].first;
        placement.members.push_back(copy.members[fitting[i].second].agent);
        placement.expectedMasks.push_back(blocks[fitting[i].second]);
    }
    return placement;
}

std::optional<Placement> placeOnOwnGuaranteedBlocks(const View &view, const JobSpec &spec,
                                                    const PlaceOptions &options, Random &random)
{
    const auto *copies = guaranteedCopiesOf(view, spec);
    if (copies == nullptr || spec.accelerators == 0)
        return std::nullopt;
    std::optional<Placement> best;
    Choice choice; // here, `agent` is an index in *copies
    for (std::size_t i = 0; i < copies->size(); ++i) {
        int evicted = 0;
        auto placement = placeOnCopy(view, spec, options, (*copies)[i], evicted);
        if (!placement)
            continue;
        considerCandidate(choice, static_cast<AgentId>(i), evicted, random);
        if (choice.agent == static_cast<AgentId>(i))
            best = std::move(placement);
    }
    return best;
}

Placement makePlacement(const View &view, std::vector<AgentId> members, CapacityKind kind,
                        const JobSpec &spec)
{
    Placement placement;
    placement.kind = kind;
    for (const auto id : members)
        placement.expectedMasks.push_back(
            bestBlock(placeableMask(view.agentCapacities[id], kind == CapacityKind::Unreserved),
                      spec.accelerators));
    placement.members = std::move(members);
    return placement;
}

// ---- Gangs ----

bool canHoldMember(const View &view, AgentId id, const JobSpec &spec, const PlaceOptions &options,
                   bool unreservedOnly)
{
    const auto &capacity = view.agentCapacities[id];
    return capacity.usable
        && (unreservedOnly ? capacity.unreservedRun : capacity.freeRun) >= spec.accelerators
        && fitsCoresMemoryAndSlots(capacity, spec) && !isExcluded(options, id);
}

std::vector<AgentId> fittingWorkersInRack(const View &view, const RackView &rack,
                                          const JobSpec &spec, const PlaceOptions &options,
                                          bool unreservedOnly)
{
    std::vector<AgentId> fitting;
    for (const auto id : rack.agents) {
        if (canHoldMember(view, id, spec, options, unreservedOnly))
            fitting.push_back(id);
    }
    return fitting;
}

std::size_t countWorkersWithRun(const Buckets &buckets, std::uint32_t accelerators)
{
    std::size_t count = 0;
    for (std::size_t run = accelerators; run < blockSizeCount; ++run)
        count += buckets[run].size();
    return count;
}

// Appends up to `count` of the fitting workers to `members`, those with the smallest blocks first,
// so that large blocks stay whole.
void appendSmallestFirst(const View &view, std::vector<AgentId> &fitting, std::size_t count,
                         bool unreservedOnly, std::vector<AgentId> &members)
{
    std::stable_sort(fitting.begin(), fitting.end(), [&view, unreservedOnly](AgentId a, AgentId b) {
        return unreservedOnly
            ? view.agentCapacities[a].unreservedRun < view.agentCapacities[b].unreservedRun
            : view.agentCapacities[a].freeRun < view.agentCapacities[b].freeRun;
    });
    for (std::size_t i = 0; i < std::min(count, fitting.size()); ++i)
        members.push_back(fitting[i]);
}

struct RackCandidate
{
    std::vector<AgentId> agents;
    std::uint64_t tieBreaker = 0; // random, for racks with equally many workers that fit
};

// Chooses the workers of a gang, all in one rack if `oneRack` is true. Empty when too few fit.
std::vector<AgentId> chooseInDataCentre(const View &view, const DataCentreView &centre,
                                        const JobSpec &spec, const PlaceOptions &options,
                                        bool unreservedOnly, Random &random, bool oneRack)
{
    std::vector<RackCandidate> candidates;
    std::size_t total = 0;
    for (const auto rack : centre.racks) {
        if (oneRack && view.racks[rack].agents.size() < spec.members)
            continue;
        auto fitting = fittingWorkersInRack(view, view.racks[rack], spec, options, unreservedOnly);
        if (fitting.empty() || (oneRack && fitting.size() < spec.members))
            continue;
        total += fitting.size();
        candidates.push_back({std::move(fitting), random()});
    }
    std::vector<AgentId> members;
    if (total < spec.members)
        return members;
    std::sort(candidates.begin(), candidates.end(),
              [oneRack](const RackCandidate &a, const RackCandidate &b) {
                  if (a.agents.size() != b.agents.size())
                      return oneRack == (a.agents.size() < b.agents.size());
                  return a.tieBreaker < b.tieBreaker;
              });
    for (auto &candidate : candidates) {
        appendSmallestFirst(view, candidate.agents, spec.members - members.size(), unreservedOnly,
                            members);
        if (members.size() == spec.members)
            break;
    }
    return members;
}

std::vector<AgentId> chooseGang(const View &view, const JobSpec &spec, const PlaceOptions &options,
                                bool unreservedOnly, Random &random)
{
    const auto count = static_cast<std::uint32_t>(view.dataCentres.size());
    const auto first = count == 0 ? 0 : static_cast<std::uint32_t>(random() % count);
    for (const bool oneRack : {true, false}) {
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto index = (first + i) % count;
            const auto &centre = view.dataCentres[index];
            const auto &buckets = unreservedOnly ? centre.byUnreservedRun : centre.byFreeRun;
            if (isReservedForOtherJob(view, index, spec, options)
                || countWorkersWithRun(buckets, spec.accelerators) < spec.members)
                continue;
            auto members =
                chooseInDataCentre(view, centre, spec, options, unreservedOnly, random, oneRack);
            if (!members.empty())
                return members;
        }
    }
    return {};
}

std::vector<AgentId> chooseWorkers(const View &view, const JobSpec &spec,
                                   const PlaceOptions &options, bool unreservedOnly, Random &random)
{
    if (spec.members > 1)
        return chooseGang(view, spec, options, unreservedOnly, random);
    const auto agent = chooseWorker(view, spec, options, unreservedOnly, random);
    return agent == noAgent ? std::vector<AgentId>{} : std::vector<AgentId>{agent};
}

template <typename WorkerLimits>
bool couldHoldMember(const WorkerLimits &limits, const JobSpec &spec)
{
    return spec.accelerators <= limits.accelerators && spec.cores <= limits.cores
        && spec.memoryMib <= limits.memoryMib;
}

// Adds `sign`, which is 1 or -1, to the number of workers of this size in the data centre.
void countWorkerSize(View &view, std::uint32_t centre, const Report &report, int sign)
{
    auto found = std::find_if(
        view.workerSizes.begin(), view.workerSizes.end(), [&report](const auto &capacity) {
            return capacity.accelerators == report.accelerators && capacity.cores == report.cores
                && capacity.memoryMib == report.memoryMib;
        });
    if (found == view.workerSizes.end())
        found = view.workerSizes.insert(found,
                                        {report.accelerators, report.cores, report.memoryMib, {}});
    if (found->workersPerDataCentre.size() <= centre)
        found->workersPerDataCentre.resize(centre + 1);
    found->workersPerDataCentre[centre] += sign;
}

} // namespace

int largestRun(std::uint64_t mask)
{
    int length = 0;
    for (; mask != 0; mask &= mask << 1)
        ++length;
    return length;
}

std::uint64_t bestBlock(std::uint64_t mask, std::uint32_t count)
{
    if (count == 0)
        return 0;
    std::uint64_t best = 0;
    int bestLength = std::numeric_limits<int>::max();
    while (mask != 0) {
        const int first = __builtin_ctzll(mask);
        const auto shifted = mask >> first;
        const int length = ~shifted == 0 ? 64 : __builtin_ctzll(~shifted);
        if (length >= static_cast<int>(count) && length < bestLength) {
            bestLength = length;
            best = lowBits(count) << alignedStart(first, length, static_cast<int>(count));
        }
        mask &= ~(lowBits(static_cast<std::uint32_t>(length)) << first);
    }
    return best;
}

std::uint64_t bestReclaimableBlock(std::uint64_t reclaimable, std::uint64_t free,
                                   std::uint32_t count)
{
    std::uint64_t best = 0;
    std::pair<int, int> bestScore;
    for (std::uint32_t first = 0; count > 0 && first + count <= 64; ++first) {
        const auto block = lowBits(count) << first;
        if ((block & ~reclaimable) != 0)
            continue;
        const std::pair<int, int> score{-largestRun(reclaimable & ~block),
                                        __builtin_popcountll(block & ~free)};
        if (best != 0 && !(score < bestScore))
            continue;
        best = block;
        bestScore = score;
    }
    return best;
}

ReportResult applyReport(View &view, const Report &report, TimeMs now)
{
    auto id = findAgent(view, report.agent);
    if (id == noAgent)
        id = addAgent(view, report.agent, report.dataCentre, report.rack);
    auto &agent = view.agents[id];
    const bool first = agent.report.agent.empty();
    const bool restarted = !first && report.incarnation > agent.report.incarnation;
    const bool stale = !first && !restarted
        && (report.incarnation < agent.report.incarnation
            || report.sequence <= agent.report.sequence);
    if (stale)
        return ReportResult::Stale;
    if (!first) {
        countWorkerSize(view, agent.dataCentre, agent.report, -1);
        moveAgent(view, id, report);
    }
    countWorkerSize(view, agent.dataCentre, report, 1);
    addTasksToUsage(view, agent.report, -1);
    view.reportBytes -= first ? 0 : estimateReportBytes(agent.report);
    agent.report = report;
    agent.lastContactAt = now;
    agent.lostAt = 0;
    agent.connected = true;
    agent.drainRequested = agent.drainRequested && !report.draining && !restarted;
    addTasksToUsage(view, agent.report, 1);
    view.reportBytes += estimateReportBytes(report);
    removeDeductionsIf(view, id, [&report, restarted](const Deduction &deduction) {
        return restarted
            || std::any_of(
                   report.tasks.begin(), report.tasks.end(),
                   [&deduction](const auto &task) { return task.attempt == deduction.attempt; });
    });
    refreshCapacity(view, id);
    if (first)
        return ReportResult::New;
    return restarted ? ReportResult::Restarted : ReportResult::Updated;
}

void setGuaranteedBlocks(View &view, const Table &table)
{
    view.copies.clear();
    view.guaranteedBlocksByWorker.clear();
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        const auto mask = lowBits(guaranteedBlock.count)
            << std::min<std::uint32_t>(guaranteedBlock.first, 63);
        view.guaranteedBlocksByWorker[guaranteedBlock.worker].push_back(
            {guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy,
             guaranteedBlock.member, mask});
        auto &copies = view.copies[guaranteedBlock.organisation];
        auto copy = findCopy(copies, guaranteedBlock.shape, guaranteedBlock.copy);
        if (copy == copies.end())
            copy = copies.insert(copies.end(), {guaranteedBlock.shape, guaranteedBlock.copy, {}});
        if (copy->members.size() <= guaranteedBlock.member)
            copy->members.resize(guaranteedBlock.member + 1);
        copy->members[guaranteedBlock.member].mask = mask;
    }
    for (AgentId id = 0; id < view.agents.size(); ++id) {
        linkGuaranteedBlocks(view, view.agents[id].report.agent, id);
        refreshCapacity(view, id);
    }
}

void setConnected(View &view, std::string_view agent, bool connected)
{
    const auto id = findAgent(view, agent);
    if (id == noAgent)
        return;
    view.agents[id].connected = connected;
    refreshCapacity(view, id);
}

void setLost(View &view, AgentId agent, TimeMs lostAt)
{
    view.agents[agent].lostAt = lostAt;
    removeDeductionsIf(view, agent, [](const Deduction &) { return true; });
    refreshCapacity(view, agent);
}

void forgetTasks(View &view, AgentId agent)
{
    auto &report = view.agents[agent].report;
    addTasksToUsage(view, report, -1);
    view.reportBytes -= estimateReportBytes(report);
    report.tasks.clear();
    view.reportBytes += estimateReportBytes(report);
}

void setDrainRequested(View &view, AgentId agent, bool requested)
{
    view.agents[agent].drainRequested = requested;
    refreshCapacity(view, agent);
}

AgentId findAgent(const View &view, std::string_view name)
{
    const auto found = view.byName.find(std::string(name));
    return found == view.byName.end() ? noAgent : found->second;
}

Usage usageOf(const View &view, std::string_view organisation)
{
    const auto found = view.usage.find(organisation);
    return found == view.usage.end() ? Usage{} : found->second;
}

std::optional<Placement> place(const View &view, const JobSpec &spec, const PlaceOptions &options,
                               Random &random)
{
    auto members = chooseWorkers(view, spec, options, options.useGuaranteedBlocks, random);
    if (!members.empty())
        return makePlacement(
            view, std::move(members),
            options.useGuaranteedBlocks ? CapacityKind::Unreserved : CapacityKind::Lent, spec);
    if (!options.useGuaranteedBlocks)
        return std::nullopt;
    if (auto own = placeOnOwnGuaranteedBlocks(view, spec, options, random))
        return own;
    if (!mayBorrow(spec))
        return std::nullopt;
    members = chooseWorkers(view, spec, options, false, random);
    if (members.empty())
        return std::nullopt;
    return makePlacement(view, std::move(members), CapacityKind::Lent, spec);
}

void deductStart(View &view, const Placement &placement, const JobSpec &spec,
                 std::string_view attempt, TimeMs now)
{
    for (std::size_t i = 0; i < placement.members.size(); ++i) {
        Deduction deduction;
        deduction.attempt = attempt;
        deduction.organisation = spec.organisation;
        deduction.mask = placement.expectedMasks[i];
        deduction.evictable = placement.kind != CapacityKind::OwnGuaranteed
            && (spec.idempotent || spec.checkpointable);
        deduction.cores = spec.cores;
        deduction.memoryMib = spec.memoryMib;
        deduction.sentAt = now;
        addDeductionToUsage(view, deduction, 1);
        view.agents[placement.members[i]].deductions.push_back(std::move(deduction));
        refreshCapacity(view, placement.members[i]);
    }
}

void removeDeduction(View &view, AgentId agent, std::string_view attempt)
{
    if (removeDeductionsIf(view, agent, [attempt](const Deduction &deduction) {
            return deduction.attempt == attempt;
        }))
        refreshCapacity(view, agent);
}

void removeDeductionsSentBefore(View &view, AgentId agent, TimeMs before)
{
    if (removeDeductionsIf(view, agent, [before](const Deduction &deduction) {
            return deduction.sentAt < before;
        }))
        refreshCapacity(view, agent);
}

bool couldEverHold(const View &view, const JobSpec &spec, Reason &reason)
{
    std::vector<std::size_t> holding(view.dataCentres.size());
    for (const auto &capacity : view.workerSizes) {
        if (!couldHoldMember(capacity, spec))
            continue;
        for (std::size_t i = 0; i < capacity.workersPerDataCentre.size(); ++i)
            holding[i] += capacity.workersPerDataCentre[i];
    }
    const auto most = holding.empty() ? 0 : *std::max_element(holding.begin(), holding.end());
    if (most >= spec.members)
        return true;
    reason.code = ReasonCode::ImpossibleShape;
    if (most == 0)
        reason.text = "accelerators, cores, memoryMib: no worker of region " + view.region + " has "
            + std::to_string(spec.accelerators) + " accelerators, " + std::to_string(spec.cores)
            + " cores and " + std::to_string(spec.memoryMib) + " MiB";
    else
        reason.text = "members: " + std::to_string(spec.members) + " members need as many workers"
            + " in one data centre; the largest one has " + std::to_string(most)
            + " that can hold a member";
    return false;
}

bool couldHoldWhenIdle(const View &view, std::size_t dataCentre, const JobSpec &spec)
{
    std::size_t capable = 0;
    for (const auto rack : view.dataCentres[dataCentre].racks) {
        for (const auto id : view.racks[rack].agents) {
            if (view.agentCapacities[id].usable && couldHoldMember(view.agents[id].report, spec))
                ++capable;
        }
    }
    return capable >= spec.members;
}

int dataCentreToReserve(const View &view, const JobSpec &spec, TimeMs now)
{
    int best = -1;
    std::size_t bestFree = 0;
    for (std::size_t i = 0; i < view.dataCentres.size(); ++i) {
        const auto &centre = view.dataCentres[i];
        if (centre.reservedForJob != 0 || now < centre.reservableAt
            || !couldHoldWhenIdle(view, i, spec))
            continue;
        const auto free = countWorkersWithRun(centre.byFreeRun, spec.accelerators);
        if (best >= 0 && free <= bestFree)
            continue;
        best = static_cast<int>(i);
        bestFree = free;
    }
    return best;
}

TimeMs reportIntervalMs(const View &view)
{
    const auto atBudget = view.reportBytes * 1000 / controlBytesPerSecond;
    return std::max(minReportIntervalMs, static_cast<TimeMs>(atBudget));
}

std::vector<WorkerSite> liveWorkerSites(const View &view)
{
    std::vector<WorkerSite> sites;
    for (const auto &agent : view.agents) {
        if (agent.lostAt != 0 || agent.report.agent.empty())
            continue;
        sites.push_back({agent.report.agent, agent.report.region, agent.report.dataCentre,
                         agent.report.rack, agent.report.accelerators});
    }
    return sites;
}

double fragmentationOf(const View &view)
{
    std::int64_t free = 0;
    std::int64_t inLargest = 0;
    for (const auto &capacity : view.agentCapacities) {
        free += __builtin_popcountll(capacity.freeMask);
        inLargest += capacity.freeRun;
    }
    return free == 0 ? 0 : 1 - static_cast<double>(inLargest) / static_cast<double>(free);
}

} // namespace flamingo
