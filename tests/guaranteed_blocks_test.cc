// Guards against packings that overlap, split a gang across data centres, move guaranteed blocks
// without need, depend on the order of their input, or report a copy as short although it fits.

#include "flamingo/guaranteed_blocks.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "tests/fixed_seed.h"

using namespace flamingo;

namespace {

const bool started = startRapidCheck("seed=20240611 max_success=1500 max_size=100");

using Rows = std::map<std::string, Organisation, std::less<>>;

auto orderOf(const GuaranteedBlock &guaranteedBlock)
{
    return std::tie(guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy,
                    guaranteedBlock.member, guaranteedBlock.worker, guaranteedBlock.first,
                    guaranteedBlock.count);
}

bool sameBlocks(const std::vector<GuaranteedBlock> &left, const std::vector<GuaranteedBlock> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto &a, const auto &b) { return orderOf(a) == orderOf(b); });
}

std::uint64_t maskOf(const GuaranteedBlock &guaranteedBlock)
{
    return ((std::uint64_t{1} << guaranteedBlock.count) - 1) << guaranteedBlock.first;
}

// ---- Oracle: exhaustive search of all arrangements ----

struct Bin
{
    std::string worker;
    std::string dataCentre;
    std::uint32_t accelerators = 0;
    std::uint64_t taken = 0;
};

struct Gang
{
    std::uint32_t members = 0;
    std::uint32_t accelerators = 0;
    std::string dataCentre; // empty: any
    std::set<std::string> workers; // already used by the gang
};

// True when all gangs can be placed in the free accelerators of `bins`; leaves `bins` unchanged.
bool fits(std::vector<Bin> &bins, std::vector<Gang> gangs)
{
    while (!gangs.empty() && gangs.back().members == 0)
        gangs.pop_back();
    if (gangs.empty())
        return true;
    const auto gang = gangs.back();
    for (auto &bin : bins) {
        if (gang.workers.count(bin.worker) > 0
            || (!gang.dataCentre.empty() && gang.dataCentre != bin.dataCentre))
            continue;
        for (std::uint32_t first = 0; first + gang.accelerators <= bin.accelerators; ++first) {
            const auto mask = ((std::uint64_t{1} << gang.accelerators) - 1) << first;
            if ((bin.taken & mask) != 0)
                continue;
            auto rest = gangs;
            --rest.back().members;
            rest.back().dataCentre = bin.dataCentre;
            rest.back().workers.insert(bin.worker);
            bin.taken |= mask;
            const bool found = fits(bins, rest);
            bin.taken &= ~mask;
            if (found)
                return true;
        }
    }
    return false;
}

std::vector<Bin> binsOf(const std::vector<WorkerSite> &workers)
{
    std::vector<Bin> bins(workers.size());
    std::transform(workers.begin(), workers.end(), bins.begin(), [](const auto &worker) {
        return Bin{worker.worker, worker.dataCentre, worker.accelerators, 0};
    });
    return bins;
}

// True when all guarantees fit while the blocks in `kept` are not moved.
bool fitsBeside(const Rows &rows, const std::vector<WorkerSite> &workers,
                const std::vector<GuaranteedBlock> &kept)
{
    auto bins = binsOf(workers);
    std::vector<Gang> gangs;
    for (const auto &[name, row] : rows) {
        for (std::uint32_t shape = 0; shape < row.guarantees.size(); ++shape) {
            for (std::uint32_t copy = 0; copy < row.guarantees[shape].copies; ++copy) {
                Gang gang{
                    row.guarantees[shape].members, row.guarantees[shape].accelerators, {}, {}};
                for (const auto &guaranteedBlock : kept) {
                    if (std::tie(guaranteedBlock.organisation, guaranteedBlock.shape,
                                 guaranteedBlock.copy)
                        != std::tie(name, shape, copy))
                        continue;
                    auto &bin = *std::find_if(bins.begin(), bins.end(), [&](const Bin &other) {
                        return other.worker == guaranteedBlock.worker;
                    });
                    bin.taken |= maskOf(guaranteedBlock);
                    gang.dataCentre = bin.dataCentre;
                    gang.workers.insert(bin.worker);
                    --gang.members;
                }
                gangs.push_back(gang);
            }
        }
    }
    return fits(bins, gangs);
}

// ---- Small cases ----

std::vector<WorkerSite> anyWorkers()
{
    std::vector<WorkerSite> workers;
    const auto count = *rc::gen::inRange(1, 6);
    for (int index = 0; index < count; ++index) {
        const auto rack = *rc::gen::inRange(0, 4);
        workers.push_back({"w" + std::to_string(index), "west", "dc" + std::to_string(rack / 2),
                           "r" + std::to_string(rack), *rc::gen::inRange(1U, 6U)});
    }
    return workers;
}

Rows anyRows()
{
    Rows rows;
    for (const auto *name : {"a", "b"}) {
        auto &row = rows[name];
        row.name = name;
        const auto shapes = *rc::gen::inRange(0, 3);
        for (int shape = 0; shape < shapes; ++shape)
            row.guarantees.push_back({"west", *rc::gen::inRange(1U, 3U), *rc::gen::inRange(1U, 4U),
                                      *rc::gen::inRange(1U, 5U)});
    }
    return rows;
}

// Fails unless `packing` gives every copy one data centre and either all members or a shortage.
void checkPacking(const Rows &rows, const std::vector<WorkerSite> &workers, const Packing &packing)
{
    std::map<std::string, std::uint64_t> taken;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::set<std::string>> members;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::string> dataCentres;
    for (const auto &guaranteedBlock : packing.guaranteedBlocks) {
        const auto site = std::find_if(workers.begin(), workers.end(), [&](const auto &worker) {
            return worker.worker == guaranteedBlock.worker;
        });
        RC_ASSERT(site != workers.end());
        RC_ASSERT(guaranteedBlock.first + guaranteedBlock.count <= site->accelerators);
        RC_ASSERT((taken[guaranteedBlock.worker] & maskOf(guaranteedBlock)) == 0U);
        taken[guaranteedBlock.worker] |= maskOf(guaranteedBlock);
        const std::tuple key(guaranteedBlock.organisation, guaranteedBlock.shape,
                             guaranteedBlock.copy);
        RC_ASSERT(members[key].insert(guaranteedBlock.worker).second);
        RC_ASSERT(dataCentres.emplace(key, site->dataCentre).first->second == site->dataCentre);
        const auto &shape =
            rows.find(guaranteedBlock.organisation)->second.guarantees.at(guaranteedBlock.shape);
        RC_ASSERT(site->region == shape.region);
        RC_ASSERT(guaranteedBlock.count == shape.accelerators);
    }
    std::size_t copies = 0;
    for (const auto &[name, row] : rows) {
        for (const auto &shape : row.guarantees)
            copies += shape.copies;
    }
    for (const auto &[key, found] : members) {
        const auto &row = rows.find(std::get<0>(key))->second;
        RC_ASSERT(found.size() == row.guarantees.at(std::get<1>(key)).members);
    }
    for (const auto &shortage : packing.shortages)
        RC_ASSERT(members.count({shortage.organisation, shortage.shape, shortage.copy}) == 0U);
    RC_ASSERT(members.size() + packing.shortages.size() == copies);
}

// Fails when a copy is short although it fits beside all guaranteed blocks of the packing.
void checkNoCapacityLeft(const Rows &rows, const std::vector<WorkerSite> &workers,
                         const Packing &packing)
{
    for (const auto &shortage : packing.shortages) {
        auto bins = binsOf(workers);
        for (const auto &guaranteedBlock : packing.guaranteedBlocks) {
            for (auto &bin : bins)
                bin.taken |= bin.worker == guaranteedBlock.worker ? maskOf(guaranteedBlock) : 0;
        }
        const auto &shape = rows.find(shortage.organisation)->second.guarantees[shortage.shape];
        RC_ASSERT(!fits(bins, {{shape.members, shape.accelerators, {}, {}}}));
    }
}

// The blocks in `before` of those copies whose workers are all in `workers`.
std::vector<GuaranteedBlock> blocksOfIntactCopies(const std::vector<GuaranteedBlock> &before,
                                                  const std::vector<WorkerSite> &workers)
{
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> incomplete;
    for (const auto &guaranteedBlock : before) {
        if (std::none_of(workers.begin(), workers.end(), [&](const auto &worker) {
                return worker.worker == guaranteedBlock.worker;
            }))
            incomplete.insert(
                {guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy});
    }
    std::vector<GuaranteedBlock> intact;
    for (const auto &guaranteedBlock : before) {
        if (incomplete.count(
                {guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy})
            == 0)
            intact.push_back(guaranteedBlock);
    }
    return intact;
}

} // namespace

TEST_GROUP(GuaranteedBlocks){};

TEST(GuaranteedBlocks, aGangIsPackedIntoOneRackAndAShortageNamesTheLargestBlock)
{
    std::vector<WorkerSite> workers;
    for (const auto *name : {"a", "b", "c", "d"})
        workers.push_back({name, "west", "dc1", name < std::string("b") ? "r1" : "r2", 8});
    Organisation row;
    row.name = "org";
    row.guarantees = {{"west", 1, 3, 6}, {"west", 1, 1, 9}};
    const auto packing = packGuaranteedBlocks({{"org", row}}, {}, workers);
    CHECK_EQUAL(3U, packing.guaranteedBlocks.size());
    CHECK_EQUAL(std::string("b"), packing.guaranteedBlocks[0].worker);
    CHECK_EQUAL(1U, packing.shortages.size());
    CHECK_EQUAL(
        std::string("region \"west\" has no room for 1 blocks of 9 adjacent accelerators on "
                    "different workers of one data centre; it has 0, and the largest free "
                    "block is 8"),
        packing.shortages[0].cause);
}

TEST(GuaranteedBlocks, aCopyIsShortOnlyWhenNoArrangementExists)
{
    CHECK(rc::check("packing agrees with the exhaustive packer", [] {
        const auto workers = anyWorkers();
        const auto rows = anyRows();
        const auto packing = packGuaranteedBlocks(rows, {}, workers);
        checkPacking(rows, workers, packing);
        checkNoCapacityLeft(rows, workers, packing);
        RC_ASSERT(packing.shortages.empty() == fitsBeside(rows, workers, {}));
    }));
}

TEST(GuaranteedBlocks, guaranteedBlocksThatMatchTheirShapeAreKept)
{
    CHECK(rc::check("only copies that lost a member move", [] {
        auto workers = anyWorkers();
        const auto rows = anyRows();
        const auto before = packGuaranteedBlocks(rows, {}, workers);
        RC_ASSERT(sameBlocks(
            before.guaranteedBlocks,
            packGuaranteedBlocks(rows, before.guaranteedBlocks, workers).guaranteedBlocks));
        workers.erase(
            workers.begin()
            + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(workers.size())));
        auto later = rows;
        later["c"].name = "c";
        later["c"].guarantees = {{"west", 1, *rc::gen::inRange(1U, 3U), *rc::gen::inRange(1U, 3U)}};
        const auto after = packGuaranteedBlocks(later, before.guaranteedBlocks, workers);
        checkPacking(later, workers, after);
        checkNoCapacityLeft(later, workers, after);
        const auto kept = blocksOfIntactCopies(before.guaranteedBlocks, workers);
        for (const auto &guaranteedBlock : kept)
            RC_ASSERT(std::any_of(
                after.guaranteedBlocks.begin(), after.guaranteedBlocks.end(),
                [&](const auto &now) { return orderOf(now) == orderOf(guaranteedBlock); }));
        if (fitsBeside(later, workers, kept))
            RC_ASSERT(after.shortages.empty());
    }));
}

TEST(GuaranteedBlocks, aCopyThatLostAMemberIsRepackedWhenAnotherWouldBeShort)
{
    const std::vector<WorkerSite> workers = {{"a", "west", "dc1", "r1", 8},
                                             {"b", "west", "dc1", "r1", 8},
                                             {"c", "west", "dc2", "r2", 4},
                                             {"d", "west", "dc2", "r2", 4}};
    Rows rows;
    rows["small"].name = "small";
    rows["small"].guarantees = {{"west", 1, 2, 4}};
    rows["large"].name = "large";
    rows["large"].guarantees = {{"west", 1, 2, 8}};
    const auto packing = packGuaranteedBlocks(
        rows, {{"small", 0, 0, 0, "a", 0, 4}, {"small", 0, 0, 1, "lost", 0, 4}}, workers);
    CHECK(packing.shortages.empty());
    CHECK_EQUAL(4U, packing.guaranteedBlocks.size());
}

TEST(GuaranteedBlocks, theOrderOfTheInputDoesNotMatter)
{
    CHECK(rc::check("a shuffled input gives the same packing", [] {
        const auto workers = anyWorkers();
        const auto rows = anyRows();
        const auto current = packGuaranteedBlocks(anyRows(), {}, workers).guaranteedBlocks;
        const auto first = packGuaranteedBlocks(rows, current, workers);
        auto shuffled = workers;
        auto guaranteedBlocks = current;
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        std::shuffle(guaranteedBlocks.begin(), guaranteedBlocks.end(), random);
        const auto second = packGuaranteedBlocks(rows, guaranteedBlocks, shuffled);
        RC_ASSERT(sameBlocks(first.guaranteedBlocks, second.guaranteedBlocks));
        RC_ASSERT(first.shortages.size() == second.shortages.size());
    }));
}
