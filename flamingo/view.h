#ifndef FLAMINGO_VIEW_H
#define FLAMINGO_VIEW_H

// The entry's view of the agents, and the choice of workers for a job.
//
// The view is soft state: it is rebuilt from reports and may be stale, because the agents decide.
// Two indexes per data centre hold the workers by their largest adjacent block: one counts only
// accelerators that are nobody's anchor, the other counts every free accelerator. A decision
// samples the buckets that can hold the job, so its cost grows with the number of bucket sizes and
// not with the number of workers.
//
// A Start is deducted from the view until a report lists its attempt, so that a burst of starts
// does not go to one worker.

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

// A Start that no report lists yet.
struct Deduction
{
    std::string attempt;
    std::string organisation;
    std::uint64_t mask = 0;
    bool evictable = false; // the started job can give way to a guaranteed one
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    TimeMs sentAt = 0;
};

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
    bool drainRequested = false; // until a report says so
    std::uint32_t dataCentre = 0;
    std::uint32_t rack = 0;
};

// What a placement reads of a worker, kept apart so that scans stay within the processor's caches.
struct AgentCapacity
{
    std::uint64_t freeMask = 0; // after deductions
    std::uint64_t evictableMask = 0;
    std::uint64_t guaranteedMask = 0;
    std::int32_t cores = 0;
    std::int32_t memoryMib = 0;
    std::int32_t slots = 0;
    std::uint32_t unreservedPosition = 0; // positions in the buckets
    std::uint32_t freePosition = 0;
    std::uint8_t unreservedRun = 0; // largest adjacent free block outside all anchors
    std::uint8_t freeRun = 0; // largest adjacent free block
    bool usable = false; // connected, heard of, neither draining nor set aside
};

using Buckets = std::array<std::vector<AgentId>, blockSizeCount>;

struct DataCentreView
{
    std::string name;
    Buckets byUnreservedRun;
    Buckets byFreeRun;
    std::vector<std::uint32_t> racks;
    std::uint64_t reservedForJob =
        0; // serial of the starving job whose room is kept free, 0 = none
    bool reservedForUrgent = false; // else urgent jobs may use the room
};

struct RackView
{
    std::string name;
    std::uint32_t dataCentre = 0;
    std::vector<AgentId> agents;
};

// Tasks of an organisation in this region, reported and deducted.
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

// Workers with the same capacity, counted per data centre; also lost ones, which may come back.
struct WorkerSize
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMib = 0;
    std::vector<std::uint32_t> workersPerDataCentre;
};

// The anchors of one copy of a guaranteed shape; `members` is ordered by member.
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
    std::uint64_t reportBytes = 0; // of the last report of every agent
};

enum class ReportResult { Stale, Updated, Restarted, New };

// Takes a report over unless it is older than the last one.
ReportResult applyReport(View &view, const Report &report, TimeMs now);

// Takes the anchors of the table over.
void setGuaranteedBlocks(View &view, const Table &table);

void setConnected(View &view, std::string_view agent, bool connected);

// Marks an agent as lost or found again; a lost agent receives no work.
void setLost(View &view, AgentId agent, TimeMs lostAt);

// `asked` true: no new work until a report says that the agent is draining or not.
void setDrainRequested(View &view, AgentId agent, bool requested);

AgentId findAgent(const View &view, std::string_view name);
Usage usageOf(const View &view, std::string_view organisation);

enum class CapacityKind { Unreserved, OwnGuaranteed, Lent };

struct Placement
{
    CapacityKind kind = CapacityKind::Unreserved;
    std::vector<AgentId> members; // leader first
    std::vector<std::uint64_t> masks; // guessed blocks; the agent chooses
};

struct PlaceOptions
{
    double fragmentationWeight = 0.5;
    bool useGuaranteedBlocks = true; // false: ignore all anchors; baseline of the bench
    std::uint64_t job = 0; // serial; room held for other jobs is not used
    absl::Span<const AgentId> excluded;
};

// Chooses workers for a job: room outside anchors, then the organisation's own anchors (guests are
// evicted), then other organisations' anchors for jobs that are idempotent or can be checkpointed.
std::optional<Placement> place(const View &view, const JobSpec &spec, const PlaceOptions &options,
                               Random &random);

// Adds the start of an attempt to the view until a report lists it.
void deduct(View &view, const Placement &placement, const JobSpec &spec, std::string_view attempt,
            TimeMs now);

// Ends the deduction of an attempt that was refused or has ended.
void restore(View &view, AgentId agent, std::string_view attempt);

// Ends deductions of starts that were sent before `before`.
void removeDeductionsSentBefore(View &view, AgentId agent, TimeMs before);

// False when no set of workers of the region could ever hold the job; `reason` says why.
bool couldEverHold(const View &view, const JobSpec &spec, Reason &reason);

// The data centre to keep free for a starving job: the one that is closest to holding it. -1 when
// none could.
int dataCentreFor(const View &view, const JobSpec &spec);

// Interval between reports that keeps the reports to this entry within the control budget.
TimeMs reportIntervalMs(const View &view);

// Worker sites for the packing of anchors; without lost workers.
std::vector<WorkerSite> sitesOf(const View &view);

// Share of the free accelerators outside the largest block of their worker, 0 to 1.
double fragmentationOf(const View &view);

// Adjacent blocks of a mask.
int largestRun(std::uint64_t mask);
std::uint64_t bestBlock(std::uint64_t mask, std::uint32_t count); // 0: none

} // namespace flamingo

#endif
