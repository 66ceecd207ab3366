#include "flamingo/guaranteed_blocks.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <unordered_set>

// Packing.
//
// Every region is packed independently. Its workers are represented by bit masks of free
// accelerators. A `PendingCopy` is a copy that lacks guaranteed blocks for some members; a
// `Placement` puts one member on the leftmost accelerators of a free run of one worker. Trying only
// the leftmost position loses no arrangement, because blocks within one run can be shifted
// together.
//
// Best fit comes first: pending copies in order of decreasing block size, and for each member the
// placement with the least key (same rack, tightest run). The first member is placed only in a data
// centre with enough workers for the whole copy, so a copy fails only when no data centre can hold
// it beside the copies placed before.
//
// If a copy failed, a depth-first search starts over with the same keys. Each level stores only the
// key of its last placement and takes the next greater key on backtracking, so memory is linear in
// the number of members. Failed states are recognised by a hash over the multiset of (data centre,
// free mask, used by the current copy), which makes workers of equal state interchangeable. When
// the search reaches the bounds in the header, the result of best fit is used.

namespace flamingo {
namespace {

using Rows = std::map<std::string, Organisation, std::less<>>;

// A worker during packing. `dataCentre` and `rack` are ids within the region.
struct Site
{
    std::string_view worker;
    std::uint32_t dataCentre = 0;
    std::uint32_t rack = 0;
    std::uint32_t accelerators = 0;
    std::uint64_t freeMask = 0;
    bool used = false; // by the copy being placed
};

struct Placement
{
    std::uint32_t site = 0;
    std::uint32_t first = 0;
};

// A member whose guaranteed block is kept.
struct KeptMember
{
    std::uint32_t member = 0;
    Placement placement;
};

// A copy with members that have no guaranteed block yet.
struct PendingCopy
{
    const Organisation *organisation = nullptr;
    std::uint32_t shape = 0;
    std::uint32_t copy = 0;
    std::uint32_t accelerators = 0;
    std::vector<std::uint32_t> members; // without a guaranteed block
    std::vector<KeptMember> kept;
};

struct Region
{
    std::vector<Site> sites; // ordered by worker
    std::uint32_t dataCentres = 0;
    std::uint32_t racks = 0;
    std::vector<PendingCopy> pendingCopies;
};

std::uint64_t lowBits(std::uint32_t count)
{
    return count >= maxAcceleratorsPerWorker ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
}

std::uint32_t trailingZeros(std::uint64_t mask)
{
    return mask == 0 ? maxAcceleratorsPerWorker : static_cast<std::uint32_t>(__builtin_ctzll(mask));
}

// A maximal run of adjacent free accelerators; length 0 stands for none.
struct Run
{
    std::uint32_t first = 0;
    std::uint32_t length = 0;
};

// The first run at or after accelerator `from`.
Run nextRun(std::uint64_t freeMask, std::uint32_t from)
{
    if (from >= maxAcceleratorsPerWorker)
        return {};
    const auto rest = freeMask & ~lowBits(from);
    const auto first = trailingZeros(rest);
    if (first >= maxAcceleratorsPerWorker)
        return {};
    const auto end = trailingZeros(~(rest | lowBits(first)));
    return {first, end - first};
}

std::uint32_t largestRun(std::uint64_t freeMask)
{
    std::uint32_t largest = 0;
    for (auto run = nextRun(freeMask, 0); run.length > 0;
         run = nextRun(freeMask, run.first + run.length))
        largest = std::max(largest, run.length);
    return largest;
}

// ---- Keys ----

// Order in which placements of one member are tried; smaller is better.
struct PlacementKey
{
    std::array<std::uint32_t, 4> rank{}; // rack preference, then tightness
    std::uint32_t site = 0;
    std::uint32_t first = 0;
};

auto orderOf(const PlacementKey &key)
{
    return std::tie(key.rank, key.site, key.first);
}

bool operator<(const PlacementKey &left, const PlacementKey &right)
{
    return orderOf(left) < orderOf(right);
}

// Inputs of the choice for one member, besides the site itself.
struct MemberContext
{
    std::uint32_t accelerators = 0;
    std::uint32_t needed = 0; // members still to place, this one included
    std::optional<std::uint32_t> dataCentre; // fixed by earlier members
    std::vector<std::uint32_t> eligibleInDataCentre;
    std::vector<std::uint32_t> eligibleInRack;
    std::vector<bool> rackUsed;
};

MemberContext memberContext(const Region &region, const PendingCopy &pending, std::uint32_t needed)
{
    MemberContext context;
    context.accelerators = pending.accelerators;
    context.needed = needed;
    context.eligibleInDataCentre.resize(region.dataCentres);
    context.eligibleInRack.resize(region.racks);
    context.rackUsed.resize(region.racks);
    for (const auto &site : region.sites) {
        if (site.used) {
            context.dataCentre = site.dataCentre;
            context.rackUsed[site.rack] = true;
        } else if (largestRun(site.freeMask) >= pending.accelerators) {
            ++context.eligibleInDataCentre[site.dataCentre];
            ++context.eligibleInRack[site.rack];
        }
    }
    return context;
}

bool isEligible(const MemberContext &context, const Site &site)
{
    if (site.used || (context.dataCentre && *context.dataCentre != site.dataCentre))
        return false;
    return context.eligibleInDataCentre[site.dataCentre] >= context.needed;
}

// Rank of a site by its rack: first racks that the copy already uses, then racks that can hold the
// rest of the copy, both with the tightest run first, then racks by how many of the remaining
// members they can hold. `slack` is the number of accelerators that the placement leaves free in
// its run.
std::array<std::uint32_t, 4> rankOf(const MemberContext &context, const Site &site,
                                    std::uint32_t slack)
{
    const auto eligible = context.eligibleInRack[site.rack];
    if (context.rackUsed[site.rack])
        return {0, slack, 0, 0};
    if (eligible >= context.needed)
        return {1, slack, eligible, 0};
    return {2, context.needed - eligible, slack, 0};
}

// The placement with the least key greater than `after`, if any.
std::optional<PlacementKey> nextPlacement(const Region &region, const MemberContext &context,
                                          const std::optional<PlacementKey> &after)
{
    std::optional<PlacementKey> best;
    for (std::uint32_t index = 0; index < region.sites.size(); ++index) {
        const auto &site = region.sites[index];
        if (!isEligible(context, site))
            continue;
        for (auto run = nextRun(site.freeMask, 0); run.length > 0;
             run = nextRun(site.freeMask, run.first + run.length)) {
            if (run.length < context.accelerators)
                continue;
            PlacementKey key{rankOf(context, site, run.length - context.accelerators), index,
                             run.first};
            if ((!after || *after < key) && (!best || key < *best))
                best = key;
        }
    }
    return best;
}

void place(Region &region, const PendingCopy &pending, const Placement &placement)
{
    auto &site = region.sites[placement.site];
    site.freeMask &= ~(lowBits(pending.accelerators) << placement.first);
    site.used = true;
}

void unplace(Region &region, const PendingCopy &pending, const Placement &placement)
{
    auto &site = region.sites[placement.site];
    site.freeMask |= lowBits(pending.accelerators) << placement.first;
    site.used = false;
}

void markKept(Region &region, const PendingCopy &pending, bool used)
{
    for (const auto &kept : pending.kept)
        region.sites[kept.placement.site].used = used;
}

void markPlaced(Region &region, absl::Span<const Placement> placements, bool used)
{
    for (const auto &placement : placements)
        region.sites[placement.site].used = used;
}

// ---- Best fit ----

// Places all missing members of `pending` or none; returns their placements, empty for none.
std::vector<Placement> placeCopy(Region &region, const PendingCopy &pending)
{
    std::vector<Placement> placements;
    markKept(region, pending, true);
    auto needed = static_cast<std::uint32_t>(pending.members.size());
    for (; needed > 0; --needed) {
        const auto key =
            nextPlacement(region, memberContext(region, pending, needed), std::nullopt);
        if (!key)
            break;
        placements.push_back({key->site, key->first});
        place(region, pending, placements.back());
    }
    if (needed > 0) {
        for (const auto &placement : placements)
            unplace(region, pending, placement);
        placements.clear();
    }
    markPlaced(region, placements, false);
    markKept(region, pending, false);
    return placements;
}

// ---- Search ----

std::uint64_t splitmix64(std::uint64_t value)
{
    // Finaliser of splitmix64.
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Hash of the sites' state, equal for states that differ only by a permutation of workers within
// a data centre.
std::uint64_t stateHash(const Region &region, std::size_t level)
{
    std::uint64_t hash = splitmix64(level);
    for (const auto &site : region.sites)
        hash +=
            splitmix64(site.freeMask ^ splitmix64(2 * std::uint64_t{site.dataCentre} + site.used));
    return hash;
}

// One member of a pending copy in the order of the search.
struct Level
{
    std::size_t pending = 0; // index in Region::pendingCopies
    std::uint32_t needed = 0;
    std::optional<PlacementKey> last;
    std::uint64_t hash = 0;
};

std::vector<Level> searchLevels(const Region &region)
{
    std::vector<Level> levels;
    for (std::size_t pending = 0; pending < region.pendingCopies.size(); ++pending) {
        for (auto needed = region.pendingCopies[pending].members.size(); needed > 0; --needed)
            levels.push_back({pending, static_cast<std::uint32_t>(needed), std::nullopt, 0});
    }
    return levels;
}

// Marks exactly the sites used by the pending copy of `level`, given all placements above it.
void markUsedSites(Region &region, absl::Span<const Level> levels, std::size_t level)
{
    for (auto &site : region.sites)
        site.used = false;
    const auto pending = levels[level].pending;
    markKept(region, region.pendingCopies[pending], true);
    for (auto above = level; above > 0 && levels[above - 1].pending == pending; --above)
        region.sites[levels[above - 1].last->site].used = true;
}

// Searches for an arrangement of all pending copies. Returns the placements of their missing
// members in the order of Region::pendingCopies, or nothing when the bounds were reached or no
// arrangement exists.
std::optional<std::vector<Placement>> searchPlacements(Region &region)
{
    auto levels = searchLevels(region);
    const auto maxSteps =
        std::min(maxPackingSteps, maxPackingVisits / std::max<std::size_t>(1, region.sites.size()));
    if (levels.size() > maxSteps)
        return std::nullopt;
    std::unordered_set<std::uint64_t> failed;
    std::size_t level = 0;
    for (std::size_t steps = 0; level < levels.size(); ++steps) {
        auto &current = levels[level];
        const auto &pending = region.pendingCopies[current.pending];
        markUsedSites(region, levels, level);
        if (!current.last)
            current.hash = stateHash(region, level);
        std::optional<PlacementKey> key;
        if (steps < maxSteps && failed.count(current.hash) == 0)
            key =
                nextPlacement(region, memberContext(region, pending, current.needed), current.last);
        current.last = key;
        if (key) {
            place(region, pending, {key->site, key->first});
            ++level;
            continue;
        }
        if (level == 0 || steps >= maxSteps)
            break;
        failed.insert(current.hash);
        --level;
        const auto &above = levels[level];
        unplace(region, region.pendingCopies[above.pending], {above.last->site, above.last->first});
    }
    std::vector<Placement> placements;
    const bool found = level == levels.size();
    for (std::size_t above = 0; above < level; ++above) {
        const auto &placed = levels[above];
        placements.push_back({placed.last->site, placed.last->first});
        if (!found)
            unplace(region, region.pendingCopies[placed.pending], placements.back());
    }
    for (auto &site : region.sites)
        site.used = false;
    if (!found)
        return std::nullopt;
    return placements;
}

// ---- Regions and kept blocks ----

using Ids = std::map<std::string_view, std::uint32_t>;

// The id of `name`; a new name gets the id `next`, which is then incremented.
std::uint32_t idOf(Ids &ids, std::string_view name, std::uint32_t &next)
{
    const auto [entry, added] = ids.emplace(name, next);
    next += added ? 1 : 0;
    return entry->second;
}

using Regions = std::map<std::string_view, Region>;

bool beforeByWorker(const WorkerSite *left, const WorkerSite *right)
{
    return std::tie(left->worker, left->region, left->dataCentre, left->rack, left->accelerators)
        < std::tie(right->worker, right->region, right->dataCentre, right->rack,
                   right->accelerators);
}

Regions regionsOf(absl::Span<const WorkerSite> workers)
{
    std::vector<const WorkerSite *> ordered;
    ordered.reserve(workers.size());
    for (const auto &worker : workers)
        ordered.push_back(&worker);
    if (!std::is_sorted(ordered.begin(), ordered.end(), beforeByWorker))
        std::sort(ordered.begin(), ordered.end(), beforeByWorker);
    Regions regions;
    std::map<std::string_view, Ids> dataCentres;
    std::map<std::pair<std::string_view, std::string_view>, Ids> racks;
    const WorkerSite *last = nullptr;
    for (const auto *worker : ordered) {
        if (last != nullptr && worker->worker == last->worker)
            continue;
        auto &region = regions[worker->region];
        const auto accelerators = std::min(worker->accelerators, maxAcceleratorsPerWorker);
        Site site{worker->worker, 0, 0, accelerators, lowBits(accelerators), false};
        // Consecutive workers are often in one rack, which saves the lookups.
        if (last != nullptr && last->rack == worker->rack && last->dataCentre == worker->dataCentre
            && last->region == worker->region) {
            site.dataCentre = region.sites.back().dataCentre;
            site.rack = region.sites.back().rack;
        } else {
            site.dataCentre =
                idOf(dataCentres[worker->region], worker->dataCentre, region.dataCentres);
            site.rack =
                idOf(racks[{worker->region, worker->dataCentre}], worker->rack, region.racks);
        }
        region.sites.push_back(site);
        last = worker;
    }
    return regions;
}

auto orderInOrganisation(const GuaranteedBlock &guaranteedBlock)
{
    return std::tie(guaranteedBlock.shape, guaranteedBlock.copy, guaranteedBlock.member,
                    guaranteedBlock.worker, guaranteedBlock.first, guaranteedBlock.count);
}

bool beforeByMember(const GuaranteedBlock &left, const GuaranteedBlock &right)
{
    return std::tie(left.organisation, left.shape, left.copy, left.member)
        < std::tie(right.organisation, right.shape, right.copy, right.member);
}

std::optional<std::uint32_t> findSite(const Region &region, std::string_view worker)
{
    const auto before = [](const Site &site, std::string_view name) { return site.worker < name; };
    const auto site = std::lower_bound(region.sites.begin(), region.sites.end(), worker, before);
    if (site == region.sites.end() || site->worker != worker)
        return std::nullopt;
    return static_cast<std::uint32_t>(site - region.sites.begin());
}

// The members of one copy whose guaranteed blocks can be kept, out of `guaranteedBlocks` (ordered
// by member). When they lie in several data centres, those in the data centre with most of them.
std::vector<KeptMember> keptMembersOf(const Region &region, const GuaranteedShape &shape,
                                      absl::Span<const GuaranteedBlock *const> guaranteedBlocks)
{
    std::vector<KeptMember> kept;
    std::vector<std::uint32_t> perDataCentre(region.dataCentres);
    std::set<std::uint32_t> sites;
    std::set<std::uint32_t> members;
    for (const auto *guaranteedBlock : guaranteedBlocks) {
        if (guaranteedBlock->count != shape.accelerators
            || guaranteedBlock->member >= shape.members)
            continue;
        const auto site = findSite(region, guaranteedBlock->worker);
        if (!site || guaranteedBlock->first >= maxAcceleratorsPerWorker
            || members.count(guaranteedBlock->member) > 0)
            continue;
        const auto mask = lowBits(guaranteedBlock->count) << guaranteedBlock->first;
        const auto &found = region.sites[*site];
        if (guaranteedBlock->first + guaranteedBlock->count > found.accelerators
            || (found.freeMask & mask) != mask)
            continue;
        if (!sites.insert(*site).second)
            continue;
        members.insert(guaranteedBlock->member);
        ++perDataCentre[found.dataCentre];
        kept.push_back({guaranteedBlock->member, {*site, guaranteedBlock->first}});
    }
    const auto best = std::max_element(perDataCentre.begin(), perDataCentre.end());
    const auto dataCentre = static_cast<std::uint32_t>(best - perDataCentre.begin());
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [&](const KeptMember &item) {
                                  return region.sites[item.placement.site].dataCentre != dataCentre;
                              }),
               kept.end());
    return kept;
}

// ---- Packing ----

struct Packer
{
    const Rows *rows = nullptr;
    Regions regions;
    std::map<std::string_view, std::vector<const GuaranteedBlock *>>
        current; // by organisation, in order
    Packing result;
};

absl::Span<const GuaranteedBlock *const> currentOf(const Packer &packer,
                                                   std::string_view organisation,
                                                   std::uint32_t shape, std::uint32_t copy)
{
    const auto found = packer.current.find(organisation);
    if (found == packer.current.end())
        return {};
    const auto before = [](const GuaranteedBlock *left,
                           const std::pair<std::uint32_t, std::uint32_t> &right) {
        return std::pair(left->shape, left->copy) < right;
    };
    const auto &guaranteedBlocks = found->second;
    const auto begin = std::lower_bound(guaranteedBlocks.begin(), guaranteedBlocks.end(),
                                        std::pair(shape, copy), before);
    const auto end =
        std::lower_bound(begin, guaranteedBlocks.end(), std::pair(shape, copy + 1), before);
    return absl::MakeConstSpan(guaranteedBlocks)
        .subspan(static_cast<std::size_t>(begin - guaranteedBlocks.begin()),
                 static_cast<std::size_t>(end - begin));
}

void indexCurrentBlocks(Packer &packer, absl::Span<const GuaranteedBlock> current)
{
    for (const auto &guaranteedBlock : current)
        packer.current[guaranteedBlock.organisation].push_back(&guaranteedBlock);
    for (auto &[name, guaranteedBlocks] : packer.current)
        std::sort(guaranteedBlocks.begin(), guaranteedBlocks.end(),
                  [](const auto *left, const auto *right) {
                      return orderInOrganisation(*left) < orderInOrganisation(*right);
                  });
}

void addGuaranteedBlock(Packer &packer, const Region &region, const PendingCopy &pending,
                        std::uint32_t member, const Placement &placement)
{
    packer.result.guaranteedBlocks.push_back(
        {pending.organisation->name, pending.shape, pending.copy, member,
         std::string(region.sites[placement.site].worker), placement.first, pending.accelerators});
}

// Reserves the guaranteed blocks that one copy keeps. A copy that lacks members is appended to
// Region::pendingCopies, a complete one goes into the result.
void keepBlocksOfCopy(Packer &packer, Region &region, const GuaranteedShape &shape,
                      PendingCopy pending)
{
    const auto guaranteedBlocks =
        currentOf(packer, pending.organisation->name, pending.shape, pending.copy);
    pending.kept = keptMembersOf(region, shape, guaranteedBlocks);
    std::set<std::uint32_t> present;
    for (const auto &kept : pending.kept) {
        present.insert(kept.member);
        place(region, pending, kept.placement);
    }
    markKept(region, pending, false);
    for (std::uint32_t member = 0; member < shape.members; ++member) {
        if (present.count(member) == 0)
            pending.members.push_back(member);
    }
    if (!pending.members.empty()) {
        region.pendingCopies.push_back(std::move(pending));
        return;
    }
    for (const auto &kept : pending.kept)
        addGuaranteedBlock(packer, region, pending, kept.member, kept.placement);
}

void keepGuaranteedBlocks(Packer &packer)
{
    for (const auto &[name, row] : *packer.rows) {
        std::uint32_t index = 0;
        for (const auto &shape : row.guarantees) {
            auto &region = packer.regions[shape.region];
            for (std::uint32_t copy = 0; copy < shape.copies; ++copy)
                keepBlocksOfCopy(packer, region, shape,
                                 {&row, index, copy, shape.accelerators, {}, {}});
            ++index;
        }
    }
}

// Frees the kept blocks of `pending`, so that the whole copy is packed again.
void releaseKept(Region &region, PendingCopy &pending)
{
    for (const auto &kept : pending.kept) {
        unplace(region, pending, kept.placement);
        pending.members.push_back(kept.member);
    }
    std::sort(pending.members.begin(), pending.members.end());
    pending.kept.clear();
}

bool beforeInPackingOrder(const PendingCopy &left, const PendingCopy &right)
{
    const auto order = [](const PendingCopy &pending) {
        return std::tuple(
            -std::int64_t{pending.accelerators}, -static_cast<std::int64_t>(pending.members.size()),
            std::string_view(pending.organisation->name), pending.shape, pending.copy);
    };
    return order(left) < order(right);
}

std::string shortageCause(const Region &region, std::string_view name, const PendingCopy &pending)
{
    std::vector<std::uint32_t> eligible(region.dataCentres);
    std::uint32_t largest = 0;
    for (const auto &site : region.sites) {
        const auto run = largestRun(site.freeMask);
        largest = std::max(largest, run);
        if (run >= pending.accelerators)
            ++eligible[site.dataCentre];
    }
    const auto best = eligible.empty() ? 0 : *std::max_element(eligible.begin(), eligible.end());
    return "region \"" + std::string(name) + "\" has no room for "
        + std::to_string(pending.members.size()) + " blocks of "
        + std::to_string(pending.accelerators)
        + " adjacent accelerators on different workers of one data centre; it has "
        + std::to_string(best) + ", and the largest free block is " + std::to_string(largest);
}

// A region and the placements of the missing members of its pending copies.
struct Plan
{
    Region region;
    std::vector<std::vector<Placement>> placed; // by pending copy; empty: short
};

bool isComplete(const Plan &plan)
{
    return std::none_of(plan.placed.begin(), plan.placed.end(),
                        [](const auto &placements) { return placements.empty(); });
}

// Places the pending copies that are short, until no further one fits. A copy whose missing members
// do not fit beside its kept ones is packed again as a whole; the blocks that this frees may let
// other copies fit.
void fillBestFit(Plan &plan)
{
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t index = 0; index < plan.placed.size(); ++index) {
            auto &pending = plan.region.pendingCopies[index];
            auto &placed = plan.placed[index];
            if (!placed.empty())
                continue;
            placed = placeCopy(plan.region, pending);
            if (placed.empty() && !pending.kept.empty()) {
                releaseKept(plan.region, pending);
                placed = placeCopy(plan.region, pending);
                changed = true;
            }
            changed = changed || !placed.empty();
        }
    }
}

// Replaces an incomplete plan by a complete one, if the search finds one. With `repackWhole`, the
// kept blocks of pending copies are freed as well.
void replaceBySearch(Plan &plan, bool repackWhole)
{
    auto trial = plan.region;
    for (std::size_t index = 0; index < trial.pendingCopies.size(); ++index) {
        for (const auto &placement : plan.placed[index])
            unplace(trial, trial.pendingCopies[index], placement);
        if (repackWhole)
            releaseKept(trial, trial.pendingCopies[index]);
    }
    const auto found = searchPlacements(trial);
    if (!found)
        return;
    auto next = found->begin();
    for (std::size_t index = 0; index < trial.pendingCopies.size(); ++index) {
        const auto end =
            next + static_cast<std::ptrdiff_t>(trial.pendingCopies[index].members.size());
        plan.placed[index].assign(next, end);
        next = end;
    }
    plan.region = std::move(trial);
}

void addCopy(Packer &packer, std::string_view name, const Plan &plan, std::size_t index)
{
    const auto &pending = plan.region.pendingCopies[index];
    if (plan.placed[index].empty()) {
        packer.result.shortages.push_back({pending.organisation->name, pending.shape, pending.copy,
                                           shortageCause(plan.region, name, pending)});
        return;
    }
    for (const auto &kept : pending.kept)
        addGuaranteedBlock(packer, plan.region, pending, kept.member, kept.placement);
    auto member = pending.members.begin();
    for (const auto &placement : plan.placed[index])
        addGuaranteedBlock(packer, plan.region, pending, *member++, placement);
}

void packRegion(Packer &packer, std::string_view name, Region &region)
{
    std::sort(region.pendingCopies.begin(), region.pendingCopies.end(), beforeInPackingOrder);
    Plan plan{std::move(region), {}};
    plan.placed.resize(plan.region.pendingCopies.size());
    fillBestFit(plan);
    if (!isComplete(plan))
        replaceBySearch(plan, false);
    const auto &pendingCopies = plan.region.pendingCopies;
    const bool keptSome = std::any_of(pendingCopies.begin(), pendingCopies.end(),
                                      [](const auto &pending) { return !pending.kept.empty(); });
    if (keptSome && !isComplete(plan))
        replaceBySearch(plan, true);
    for (std::size_t index = 0; index < plan.placed.size(); ++index)
        addCopy(packer, name, plan, index);
}

} // namespace

Packing packGuaranteedBlocks(const std::map<std::string, Organisation, std::less<>> &organisations,
                             absl::Span<const GuaranteedBlock> current,
                             absl::Span<const WorkerSite> workers)
{
    Packer packer;
    packer.rows = &organisations;
    packer.regions = regionsOf(workers);
    indexCurrentBlocks(packer, current);
    keepGuaranteedBlocks(packer);
    auto &guaranteedBlocks = packer.result.guaranteedBlocks;
    const auto kept = static_cast<std::ptrdiff_t>(guaranteedBlocks.size()); // already in order
    for (auto &[name, region] : packer.regions)
        packRegion(packer, name, region);
    std::sort(guaranteedBlocks.begin() + kept, guaranteedBlocks.end(), beforeByMember);
    std::inplace_merge(guaranteedBlocks.begin(), guaranteedBlocks.begin() + kept,
                       guaranteedBlocks.end(), beforeByMember);
    auto &shortages = packer.result.shortages;
    std::sort(shortages.begin(), shortages.end(), [](const Shortage &left, const Shortage &right) {
        return std::tie(left.organisation, left.shape, left.copy)
            < std::tie(right.organisation, right.shape, right.copy);
    });
    return std::move(packer.result);
}

} // namespace flamingo
