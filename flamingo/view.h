#ifndef FLAMINGO_VIEW_H
#define FLAMINGO_VIEW_H

// The entry's view of the agents, and the choice of workers for a job.
//
// The view is soft state: it is rebuilt from the reports of the agents. It may be stale without
// harm, because each agent checks a Start against its own state and refuses what it cannot run.
//
// A run is a sequence of adjacent free accelerators of a worker. Two indexes per data centre group
// the workers into buckets by the length of their longest run: one counts only accelerators outside
// all guaranteed blocks, the other every free accelerator. A placement samples workers of the
// buckets that can hold the job, so that its cost usually grows with the number of possible lengths
// and not with the number of workers.
//
// The capacity of a Start is deducted from the view until a report lists its attempt, so that a
// burst of starts does not go to one worker.

#include "flamingo/guaranteed_blocks.h"
#include "flamingo/messages.h"
#include "flamingo/table.h"

#include <absl/types/span.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingo {

using AgentId = std::uint32_t;
constexpr AgentId noAgent = 0xffffffff;
constexpr std::size_t blockSizeCount = maxAcceleratorsPerWorker + 1;

// The capacity of a Start that no report lists yet.
struct Deduction
{
    std::string attempt;
    std::string organisation;
    std::uint64_t mask = 0; // expected accelerators
    bool evictable = false; // the started task may be evicted for a guaranteed one
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TimeMs sentAt = 0;
};

// A guaranteed block of one worker, as a mask of its accelerators.
struct GuaranteedBlockMask
{
    std::string organisation;
    std::uint32_t shape = 0;
    std::uint32_t copy = 0;
    std::uint32_t member = 0;
    std::uint64_t mask = 0;
};

struct AgentView
{
    Report report;
    std::vector<Deduction> deductions;
    std::vector<GuaranteedBlockMask> guaranteedBlocks;
    TimeMs lastContactAt = 0;
    TimeMs lostAt = 0; // 0: not lost
    bool connected = false;
    bool drainRequested = false; // no new work, until a report has `draining` set
    std::uint32_t dataCentre = 0; // index in View::dataCentres
    std::uint32_t rack = 0; // index in View::racks
};

// The fields of a worker that a placement reads, kept apart from AgentView so that scans stay
// within the processor's caches.
struct AgentCapacity
{
    std::uint64_t freeMask = 0; // after deductions
    std::uint64_t evictableMask = 0; // in use by tasks that may be evicted
    std::uint64_t guaranteedMask = 0; // in guaranteed blocks
    std::int32_t cores = 0; // free after deductions, like memoryMib and slots
    std::int32_t memoryMib = 0;
    std::int32_t slots = 0; // further tasks that the agent accepts
    std::uint32_t unreservedPosition = 0; // index in its bucket of DataCentreView::byUnreservedRun
    std::uint32_t freePosition = 0; // index in its bucket of DataCentreView::byFreeRun
    std::uint8_t unreservedRun = 0; // length of the longest run outside all guaranteed blocks
    std::uint8_t freeRun = 0; // length of the longest run
    // Connected, reported, not lost, neither draining nor set aside. Only usable workers are in
    // buckets.
    bool usable = false;
};

// Workers by the length of their longest run.
using Buckets = std::array<std::vector<AgentId>, blockSizeCount>;

struct DataCentreView
{
    std::string name;
    Buckets byUnreservedRun;
    Buckets byFreeRun;
    std::vector<std::uint32_t> racks; // indexes in View::racks
    // Serial of the starving job that the data centre is reserved for, 0 = none.
    std::uint64_t reservedForJob = 0;
    bool reservedForUrgent = false; // that job is urgent; if not, other urgent jobs are exempt
    TimeMs reservedSince = 0; // valid while reserved, like reservedUntil
    TimeMs reservedUntil = 0;
    TimeMs reservableAt = 0; // earliest next reservation
};

struct RackView
{
    std::string name;
    std::uint32_t dataCentre = 0; // index in View::dataCentres
    std::vector<AgentId> agents;
};

// Accelerators and tasks in use by an organisation in this region, from reported tasks and from
// deductions.
struct Usage
{
    std::int64_t accelerators = 0;
    std::int64_t tasks = 0;
};

struct GuaranteedMember
{
    AgentId agent = noAgent; // noAgent: the worker is not in the view
    std::uint64_t mask = 0;
};

// A worker size (accelerators, cores, memory) and the number of such workers per data centre. Lost
// workers count, because they may return.
struct WorkerSize
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    std::vector<std::uint32_t> workersPerDataCentre;
};

// The guaranteed blocks of one copy of a guaranteed shape; `members` is indexed by member number.
struct GuaranteedCopy
{
    std::uint32_t shape = 0;
    std::uint32_t copy = 0;
    std::vector<GuaranteedMember> members;
};

struct View
{
    std::string region;
    std::vector<AgentView> agents;
    std::vector<AgentCapacity> agentCapacities; // same index as agents
    std::unordered_map<std::string, AgentId> byName;
    std::vector<DataCentreView> dataCentres;
    std::vector<RackView> racks;
    std::vector<WorkerSize> workerSizes;
    std::map<std::string, Usage, std::less<>> usage;
    std::map<std::string, std::vector<GuaranteedCopy>, std::less<>> copies; // by organisation
    std::map<std::string, std::vector<GuaranteedBlockMask>, std::less<>> guaranteedBlocksByWorker;
    std::uint64_t reportBytes = 0; // estimated total size of the last reports of all agents
};

enum class ReportResult { Stale, Updated, Restarted, New };

// Updates the agent's capacity, usage and deductions from a report. A report that is not newer than
// the last one is Stale and changes nothing. New: the agent's first report. Restarted: the agent's
// incarnation is higher than in its last report.
ReportResult applyReport(View &view, const Report &report, TimeMs now);

// Replaces all guaranteed blocks of the view by those of the table.
void setGuaranteedBlocks(View &view, const Table &table);

// Sets whether the agent has a connection to this entry; no effect on an agent that is not in
// the view.
void setConnected(View &view, std::string_view agent, bool connected);

// Marks an agent as lost at `lostAt` (0: not lost) and ends its deductions. A lost agent receives
// no work until its next report.
void setLost(View &view, AgentId agent, TimeMs lostAt);

// Forgets the tasks that a lost agent reported last, so that they no longer count in the usage of
// their organisations. They count again when a report lists them.
void forgetTasks(View &view, AgentId agent);

// `requested` true: the agent receives no new work. The request ends with a report that has
// `draining` set, which then has the same effect, or that comes from a restarted agent.
void setDrainRequested(View &view, AgentId agent, bool requested);

AgentId findAgent(const View &view, std::string_view name); // noAgent: not in the view
Usage usageOf(const View &view, std::string_view organisation);

// Unreserved: outside all guaranteed blocks. OwnGuaranteed: in guaranteed blocks of the job's own
// organisation. Lent: any free capacity, which may be in guaranteed blocks of any organisation.
enum class CapacityKind { Unreserved, OwnGuaranteed, Lent };

struct Placement
{
    CapacityKind kind = CapacityKind::Unreserved;
    std::vector<AgentId> members; // leader first
    std::vector<std::uint64_t> expectedMasks; // expected blocks; each agent chooses its own
};

struct PlaceOptions
{
    double fragmentationWeight = 0.5; // EntryOptions::fragmentationWeight
    bool useGuaranteedBlocks = true; // false: ignore them, as the baseline of the benchmark does
    std::uint64_t job = 0; // serial; decides which reservations of data centres apply
    absl::Span<const AgentId> excluded; // workers that must not be chosen
};

// Chooses workers for a job. Tries in this order: free capacity outside guaranteed blocks; the
// organisation's own guaranteed blocks, from which the agents evict borrowing tasks; and, for jobs
// that are idempotent or can be checkpointed, any free capacity, also in guaranteed blocks of other
// organisations. Empty when no workers can hold the job now.
std::optional<Placement> place(const View &view, const JobSpec &spec, const PlaceOptions &options,
                               Random &random);

// Deducts the capacity that an attempt needs from the view, until a report lists the attempt.
void deductStart(View &view, const Placement &placement, const JobSpec &spec,
                 std::string_view attempt, TimeMs now);

// Ends the deduction of an attempt that was refused or has ended.
void removeDeduction(View &view, AgentId agent, std::string_view attempt);

// Ends those deductions of an agent whose Start was sent before `before`.
void removeDeductionsSentBefore(View &view, AgentId agent, TimeMs before);

// False when no data centre of the region has enough workers, lost ones included, that could hold a
// member of the job when idle; `reason` then gives the field and the cause.
bool couldEverHold(const View &view, const JobSpec &spec, Reason &reason);

// True if the data centre has enough usable workers that could hold a member of the job when idle.
bool couldHoldWhenIdle(const View &view, std::size_t dataCentre, const JobSpec &spec);

// Index of the data centre to reserve for a starving job: one for which couldHoldWhenIdle() is true
// and that may be reserved at `now`, and among such the one with the most workers with enough
// adjacent free accelerators. -1 when there is none.
int dataCentreToReserve(const View &view, const JobSpec &spec, TimeMs now);

// Shortest interval between two reports of an agent, at least 1 s, at which the reports of all
// agents to this entry together stay within the bandwidth that is budgeted for control messages.
TimeMs reportIntervalMs(const View &view);

// Workers that are not lost, as input for the packing of guaranteed blocks.
std::vector<WorkerSite> liveWorkerSites(const View &view);

// Share of the free accelerators that are not in the longest run of their worker, 0 to 1.
double fragmentationOf(const View &view);

// Length of the longest run of adjacent bits in a mask.
int largestRun(std::uint64_t mask);

// A mask of `count` adjacent bits, in the shortest run of set bits of `mask` that has at least
// `count`; 0 if there is no such run.
std::uint64_t bestBlock(std::uint64_t mask, std::uint32_t count);

// A mask of `count` adjacent bits of `reclaimable`, the part of a guaranteed block that is free or
// lent, for a job of the block's organisation; 0 if there is no such run. It leaves the longest run
// for the organisation's next job, and of equal ones it has the fewest bits that are not in `free`.
std::uint64_t bestReclaimableBlock(std::uint64_t reclaimable, std::uint64_t free,
                                   std::uint32_t count);

} // namespace flamingo

#endif
