// Guards against an index of free capacity that differs from the reports, against bursts of starts
// that go to one worker, and against usage counts that differ from the tasks and deductions.

#include "flamingo/view.h"

#include <algorithm>
#include <set>

// After the standard library, because CppUTest replaces operator new by a macro.
#include "tests/fixed_seed.h"

using namespace flamingo;

namespace {

Report reportOf(std::string_view agent, std::uint64_t sequence, std::uint64_t freeMask = 0xff)
{
    Report report;
    report.agent = agent;
    report.region = "west";
    report.dataCentre = "dc-1";
    report.rack = "rack-1";
    report.incarnation = 1;
    report.sequence = sequence;
    report.accelerators = 8;
    report.slots = report.freeSlots = 8;
    report.cores = report.freeCores = 64;
    report.memoryMib = report.freeMemoryMib = 1024;
    report.freeMask = freeMask;
    return report;
}

JobSpec jobOf(std::uint32_t members, std::uint32_t accelerators)
{
    JobSpec spec;
    spec.organisation = "a";
    spec.members = members;
    spec.accelerators = accelerators;
    return spec;
}

Table tableWith(std::vector<GuaranteedBlock> guaranteedBlocks)
{
    Table table;
    table.guaranteedBlocks = std::move(guaranteedBlocks);
    return table;
}

// Random reports of 12 workers in 2 data centres and 4 racks.
View randomView(Random &random, const Table &table)
{
    View view;
    setGuaranteedBlocks(view, table);
    for (std::uint64_t sequence = 1; sequence < 40; ++sequence) {
        const auto worker = random() % 12;
        auto report = reportOf("w" + std::to_string(worker), sequence, random() & random() & 0xff);
        report.dataCentre = worker < 6 ? "dc-1" : "dc-2";
        report.rack = "rack-" + std::to_string(worker / 3);
        report.evictableMask = ~report.freeMask & random() & 0xff;
        report.freeCores = static_cast<std::uint32_t>(random() % 64);
        report.freeSlots = static_cast<std::uint32_t>(random() % 4);
        report.draining = random() % 8 == 0;
        for (auto tasks = random() % 3; tasks > 0; --tasks) {
            report.tasks.emplace_back();
            report.tasks.back().organisation = random() % 2 == 0 ? "a" : "b";
            report.tasks.back().accelerators = 1 + random() % 4;
        }
        applyReport(view, report, 0);
        if (random() % 10 == 0)
            setConnected(view, report.agent, random() % 2 == 0);
    }
    return view;
}

std::vector<GuaranteedBlock> randomGuaranteedBlocks(Random &random)
{
    std::vector<GuaranteedBlock> guaranteedBlocks;
    for (std::uint32_t worker = 0; worker < 12; ++worker) {
        if (random() % 2 == 0)
            guaranteedBlocks.push_back(
                {random() % 2 == 0 ? "a" : "b", 0, worker, 0, "w" + std::to_string(worker), 4, 4});
    }
    return guaranteedBlocks;
}

bool fits(const View &view, AgentId id, const JobSpec &spec, std::uint64_t mask)
{
    const auto &capacity = view.agentCapacities[id];
    return capacity.usable && capacity.slots > 0 && capacity.cores >= static_cast<int>(spec.cores)
        && (spec.accelerators == 0 || bestBlock(mask, spec.accelerators) != 0);
}

std::uint64_t ownMask(const View &view, AgentId id, const JobSpec &spec)
{
    std::uint64_t mask = 0;
    for (const auto &guaranteedBlock : view.agents[id].guaranteedBlocks)
        mask |= guaranteedBlock.organisation == spec.organisation ? guaranteedBlock.mask : 0;
    return mask;
}

// The kind of capacity that place() must choose, computed by a scan of all workers. Does not cover
// gangs on own guaranteed blocks: randomGuaranteedBlocks makes copies of one member only.
std::optional<CapacityKind> expectedKind(const View &view, const JobSpec &spec)
{
    std::vector<std::size_t> unreserved(view.dataCentres.size());
    std::vector<std::size_t> free(view.dataCentres.size());
    bool own = false;
    for (AgentId id = 0; id < view.agents.size(); ++id) {
        const auto &capacity = view.agentCapacities[id];
        const auto centre = view.agents[id].dataCentre;
        unreserved[centre] +=
            fits(view, id, spec, capacity.freeMask & ~capacity.guaranteedMask) ? 1 : 0;
        free[centre] += fits(view, id, spec, capacity.freeMask) ? 1 : 0;
        const auto reclaimable =
            (capacity.freeMask | capacity.evictableMask) & ownMask(view, id, spec);
        own = own
            || (capacity.usable && spec.accelerators > 0
                && bestBlock(reclaimable, spec.accelerators) != 0);
    }
    const auto holds = [&spec](const auto &counts) {
        return std::any_of(counts.begin(), counts.end(),
                           [&spec](auto count) { return count >= spec.members; });
    };
    if (holds(unreserved))
        return CapacityKind::Unreserved;
    if (own && spec.members == 1)
        return CapacityKind::OwnGuaranteed;
    if (holds(free) && (spec.idempotent || spec.checkpointable))
        return CapacityKind::Lent;
    return std::nullopt;
}

void checkMembers(const View &view, const JobSpec &spec, const Placement &placement)
{
    RC_ASSERT(placement.members.size() == spec.members);
    const std::set<AgentId> distinct(placement.members.begin(), placement.members.end());
    RC_ASSERT(distinct.size() == placement.members.size());
    for (std::size_t i = 0; i < placement.members.size(); ++i) {
        const auto id = placement.members[i];
        const auto &capacity = view.agentCapacities[id];
        const auto mask = placement.expectedMasks[i];
        RC_ASSERT(capacity.usable);
        RC_ASSERT(view.agents[id].dataCentre == view.agents[placement.members.front()].dataCentre);
        RC_ASSERT(largestRun(mask) == static_cast<int>(spec.accelerators));
        RC_ASSERT(__builtin_popcountll(mask) == static_cast<int>(spec.accelerators));
        if (placement.kind == CapacityKind::Unreserved)
            RC_ASSERT((mask & ~(capacity.freeMask & ~capacity.guaranteedMask)) == 0U);
        if (placement.kind == CapacityKind::Lent)
            RC_ASSERT((mask & ~capacity.freeMask) == 0U);
        if (placement.kind == CapacityKind::OwnGuaranteed)
            RC_ASSERT((mask & ~ownMask(view, id, spec)) == 0U);
    }
}

std::int64_t acceleratorsOf(const View &view, std::string_view organisation)
{
    std::int64_t sum = 0;
    for (const auto &agent : view.agents) {
        for (const auto &task : agent.report.tasks)
            sum += task.organisation == organisation ? task.accelerators : 0;
        for (const auto &deduction : agent.deductions)
            sum +=
                deduction.organisation == organisation ? __builtin_popcountll(deduction.mask) : 0;
    }
    return sum;
}

const bool started = startRapidCheck("seed=20240611 max_success=100");

} // namespace

TEST_GROUP(View){};

TEST(View, blocksAreFoundAsByTryingEveryPosition)
{
    CHECK(rc::check("best block", [](std::uint64_t a, std::uint64_t b) {
        const auto mask = a * 0x9e3779b97f4a7c15ULL | b * 0xc2b2ae3d27d4eb4fULL;
        int longest = 0;
        int run = 0;
        for (int bit = 0; bit < 64; ++bit) {
            run = (mask >> bit & 1U) != 0 ? run + 1 : 0;
            longest = std::max(longest, run);
        }
        RC_ASSERT(largestRun(mask) == longest);
        for (int count = 1; count <= 64; ++count) {
            const auto block = bestBlock(mask, static_cast<std::uint32_t>(count));
            RC_ASSERT((block != 0) == (count <= longest));
            RC_ASSERT((block & ~mask) == 0U);
            RC_ASSERT(block == 0 || largestRun(block) == count);
            const auto reclaimable =
                bestReclaimableBlock(mask, 0, static_cast<std::uint32_t>(count));
            RC_ASSERT((reclaimable == 0) == (block == 0) && (reclaimable & ~mask) == 0);
            RC_ASSERT(reclaimable == 0 || largestRun(reclaimable) == count);
            RC_ASSERT(largestRun(mask & ~reclaimable) >= largestRun(mask & ~block));
        }
    }));
}

TEST(View, placementSucceedsExactlyWhenAScanDoes)
{
    CHECK(rc::check("index and scan agree", [](std::uint32_t seed) {
        Random random(seed);
        const auto table = tableWith(randomGuaranteedBlocks(random));
        const auto view = randomView(random, table);
        for (int i = 0; i < 20; ++i) {
            auto spec = jobOf(random() % 3 == 0 ? 1 + random() % 4 : 1, random() % 7);
            spec.cores = static_cast<std::uint32_t>(random() % 64);
            spec.idempotent = random() % 2 == 0;
            PlaceOptions options;
            options.fragmentationWeight = static_cast<double>(random() % 11) / 10;
            const auto expected = expectedKind(view, spec);
            const auto placement = place(view, spec, options, random);
            RC_ASSERT(placement.has_value() == expected.has_value());
            if (!placement)
                continue;
            RC_ASSERT(placement->kind == *expected);
            checkMembers(view, spec, *placement);
        }
    }));
}

TEST(View, useIsCountedLikeByARecount)
{
    CHECK(rc::check("usage", [](std::uint32_t seed) {
        Random random(seed);
        auto view = randomView(random, {});
        for (int i = 0; i < 10; ++i) {
            const auto spec = jobOf(1, 1);
            const auto placement = place(view, spec, {}, random);
            if (!placement)
                break;
            deductStart(view, *placement, spec, "attempt-" + std::to_string(i), i);
            if (random() % 3 == 0)
                removeDeduction(view, placement->members[0], "attempt-" + std::to_string(i));
            if (random() % 5 == 0)
                setLost(view, placement->members[0], 1);
        }
        RC_ASSERT(usageOf(view, "a").accelerators == acceleratorsOf(view, "a"));
        RC_ASSERT(usageOf(view, "b").accelerators == acceleratorsOf(view, "b"));
    }));
}

TEST(View, aBurstIsSpreadAndNeverExceedsTheFreeCapacity)
{
    View view;
    Random random(3);
    for (int i = 0; i < 10; ++i)
        applyReport(view, reportOf("w" + std::to_string(i), 1), 0);
    const auto spec = jobOf(1, 4);
    std::map<AgentId, int> starts;
    for (int i = 0; i < 20; ++i) {
        const auto placement = place(view, spec, {}, random);
        CHECK(placement.has_value());
        ++starts[placement->members[0]];
        deductStart(view, *placement, spec, std::to_string(i), 0);
    }
    CHECK_EQUAL(10U, starts.size());
    CHECK(!place(view, spec, {}, random).has_value());
}

TEST(View, twoEntriesWithTheSameViewChooseDifferentWorkers)
{
    View view;
    for (int i = 0; i < 100; ++i)
        applyReport(view, reportOf("w" + std::to_string(i), 1), 0);
    std::set<AgentId> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Random random(seed);
        chosen.insert(place(view, jobOf(1, 8), {}, random)->members[0]);
    }
    CHECK(chosen.size() > 10);
}

TEST(View, smallJobsLeaveLargeBlocksWhole)
{
    View view;
    Random random(5);
    applyReport(view, reportOf("whole", 1, 0xff), 0);
    applyReport(view, reportOf("partly", 1, 0x07), 0);
    PlaceOptions options;
    options.fragmentationWeight = 1;
    const auto placement = place(view, jobOf(1, 2), options, random);
    CHECK_EQUAL(findAgent(view, "partly"), placement->members[0]);
}

TEST(View, aLentGuaranteedBlockIsReclaimedByItsOwnerWithAllMembersOfOneCopy)
{
    View view;
    Random random(5);
    auto busy = reportOf("w0", 1, 0);
    busy.evictableMask = 0xff;
    applyReport(view, busy, 0);
    busy.agent = "w1";
    applyReport(view, busy, 0);
    setGuaranteedBlocks(view, tableWith({{"a", 0, 0, 0, "w0", 0, 8}, {"a", 0, 0, 1, "w1", 0, 8}}));
    const auto placement = place(view, jobOf(2, 8), {}, random);
    CHECK(placement.has_value());
    CHECK(placement->kind == CapacityKind::OwnGuaranteed);
    CHECK_EQUAL(2U, placement->members.size());
    auto borrowingJob = jobOf(2, 8);
    borrowingJob.organisation = "b";
    CHECK(!place(view, borrowingJob, {}, random).has_value());
}

// Guards against an urgent job that waits for the next report because a borrowing task was just
// started on a guaranteed block of its organisation.
TEST(View, aBorrowingTaskThatIsStillStartingCanBeReclaimed)
{
    View view;
    Random random(5);
    applyReport(view, reportOf("w0", 1), 0);
    setGuaranteedBlocks(view, tableWith({{"a", 0, 0, 0, "w0", 0, 8}}));
    auto borrowingJob = jobOf(1, 4);
    borrowingJob.organisation = "b";
    const auto lent = place(view, borrowingJob, {}, random);
    CHECK(lent.has_value());
    deductStart(view, *lent, borrowingJob, "borrower-1", 0);
    const auto own = place(view, jobOf(1, 8), {}, random);
    CHECK(own.has_value() && own->kind == CapacityKind::OwnGuaranteed);
}

TEST(View, foreignGuaranteedBlocksAreOnlyForEvictableJobs)
{
    View view;
    Random random(5);
    applyReport(view, reportOf("w0", 1), 0);
    setGuaranteedBlocks(view, tableWith({{"b", 0, 0, 0, "w0", 0, 8}}));
    auto spec = jobOf(1, 8);
    CHECK(place(view, spec, {}, random)->kind == CapacityKind::Lent);
    spec.idempotent = false;
    CHECK(!place(view, spec, {}, random).has_value());
    spec.checkpointable = true;
    CHECK(place(view, spec, {}, random).has_value());
}

TEST(View, aGangPrefersOneRack)
{
    View view;
    Random random(5);
    for (int i = 0; i < 9; ++i) {
        auto report = reportOf("w" + std::to_string(i), 1, i == 0 || i == 3 ? 0 : 0xff);
        report.rack = "rack-" + std::to_string(i / 3);
        applyReport(view, report, 0);
    }
    const auto placement = place(view, jobOf(3, 8), {}, random);
    for (const auto id : placement->members)
        CHECK_EQUAL(std::string("rack-2"), view.agents[id].report.rack);
    CHECK(place(view, jobOf(7, 8), {}, random).has_value());
}

TEST(View, lateReportsAndRepeatsHaveNoEffect)
{
    View view;
    CHECK(applyReport(view, reportOf("w0", 5, 0x0f), 0) == ReportResult::New);
    CHECK(applyReport(view, reportOf("w0", 4, 0xff), 0) == ReportResult::Stale);
    CHECK(applyReport(view, reportOf("w0", 5, 0xff), 0) == ReportResult::Stale);
    CHECK_EQUAL(0x0fU, view.agentCapacities[0].freeMask);
    auto restarted = reportOf("w0", 1, 0xff);
    restarted.incarnation = 2;
    CHECK(applyReport(view, restarted, 0) == ReportResult::Restarted);
    CHECK(applyReport(view, reportOf("w0", 6, 0), 0) == ReportResult::Stale);
    CHECK_EQUAL(0xffU, view.agentCapacities[0].freeMask);
}
