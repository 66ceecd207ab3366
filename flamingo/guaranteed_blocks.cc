#include "flamingo/guaranteed_blocks.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <unordered_set>

// Packing.
//
// Every region is packed by itself. Its workers are kept as bit masks of free accelerators. A
// "unit" is one copy that misses members; a "placement" puts one member on the leftmost
// accelerators of a free run of one worker. Placing leftmost loses nothing: blocks within one run
// can be shifted together.
//
// First comes best fit: units in order of block size, and for each member the placement with the
// least key (same rack, tightest run). A first member goes only into a data centre with enough
// workers for the whole unit, so a unit fails only when no data centre can hold it.
//
// If a unit failed, a depth-first search starts over with the same keys. At each level it keeps
// only the key of the last placement and takes the next greater one on return, so memory is linear
// in the number of members. A state that failed before is recognised by a hash over the multiset of
// (data centre, free mask, used by the current unit), which makes workers of equal state
// interchangeable. The search ends at the bounds in the header; best fit stands then.

namespace flamingo {
namespace {

using Rows = std::map<std::string, Organisation, std::less<>>;

// A worker during packing. `dataCentre` and `rack` are numbers within the region.
struct Site
{
    std::string_view worker;
    std::uint32_t dataCentre = 0;
    std::uint32_t rack = 0;
    std::uint32_t accelerators = 0;
    std::uint64_t freeMask = 0;
    bool used = false; // by the unit at hand
};

struct Placement
{
    std::uint32_t site = 0;
    std::uint32_t first = 0;
};

// An anchor that stays.
struct Kept
{
    std::uint32_t member = 0;
    Placement placement;
};

struct Unit
{
    const Organisation *organisation = nullptr;
    std::uint32_t shape = 0;
    std::uint32_t copy = 0;
    std::uint32_t accelerators = 0;
    std::vector<std::uint32_t> members; // that miss an anchor
    std::vector<Kept> kept;
};

struct Region
{
    std::vector<Site> sites; // ordered by worker
    std::uint32_t dataCentres = 0;
    std::uint32_t racks = 0;
    std::vector<Unit> units;
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
struct Key
{
    std::array<std::uint32_t, 4> rank{}; // rack preference, then tightness
    std::uint32_t site = 0;
    std::uint32_t first = 0;
};

auto orderOf(const Key &key)
{
    return std::tie(key.rank, key.site, key.first);
}

bool operator<(const Key &left, const Key &right)
{
    return orderOf(left) < orderOf(right);
}

// What the choice for one member depends on, besides the site itself.
struct Context
{
    std::uint32_t accelerators = 0;
    std::uint32_t needed = 0; // members still to place, this one included
    std::optional<std::uint32_t> dataCentre; // fixed by earlier members
    std::vector<std::uint32_t> eligibleInDataCentre;
    std::vector<std::uint32_t> eligibleInRack;
    std::vector<bool> rackUsed;
};

Context contextOf(const Region &region, const Unit &unit, std::uint32_t needed)
{
    Context context;
    context.accelerators = unit.accelerators;
    context.needed = needed;
    context.eligibleInDataCentre.resize(region.dataCentres);
    context.eligibleInRack.resize(region.racks);
    context.rackUsed.resize(region.racks);
    for (const auto &site : region.sites) {
        if (site.used) {
            context.dataCentre = site.dataCentre;
            context.rackUsed[site.rack] = true;
        } else if (largestRun(site.freeMask) >= unit.accelerators) {
            ++context.eligibleInDataCentre[site.dataCentre];
            ++context.eligibleInRack[site.rack];
        }
    }
    return context;
}

bool isEligible(const Context &context, const Site &site)
{
    if (site.used || (context.dataCentre && *context.dataCentre != site.dataCentre))
        return false;
    return context.eligibleInDataCentre[site.dataCentre] >= context.needed;
}

// Ranks a rack: those already used by the unit, then those that hold the rest of it, the tightest
// run first, then those that hold most of it.
std::array<std::uint32_t, 4> rankOf(const Context &context, const Site &site, std::uint32_t left)
{
    const auto eligible = context.eligibleInRack[site.rack];
    if (context.rackUsed[site.rack])
        return {0, left, 0, 0};
    if (eligible >= context.needed)
        return {1, left, eligible, 0};
    return {2, context.needed - eligible, left, 0};
}

// The best placement whose key is greater than `after`.
std::optional<Key> nextPlacement(const Region &region, const Context &context,
                                 const std::optional<Key> &after)
{
    std::optional<Key> best;
    for (std::uint32_t index = 0; index < region.sites.size(); ++index) {
        const auto &site = region.sites[index];
        if (!isEligible(context, site))
            continue;
        for (auto run = nextRun(site.freeMask, 0); run.length > 0;
             run = nextRun(site.freeMask, run.first + run.length)) {
            if (run.length < context.accelerators)
                continue;
            Key key{rankOf(context, site, run.length - context.accelerators), index, run.first};
            if ((!after || *after < key) && (!best || key < *best))
                best = key;
        }
    }
    return best;
}

void place(Region &region, const Unit &unit, const Placement &placement)
{
    auto &site = region.sites[placement.site];
    site.freeMask &= ~(lowBits(unit.accelerators) << placement.first);
    site.used = true;
}

void undo(Region &region, const Unit &unit, const Placement &placement)
{
    auto &site = region.sites[placement.site];
    site.freeMask |= lowBits(unit.accelerators) << placement.first;
    site.used = false;
}

void markKept(Region &region, const Unit &unit, bool used)
{
    for (const auto &kept : unit.kept)
        region.sites[kept.placement.site].used = used;
}

void markPlaced(Region &region, absl::Span<const Placement> placements, bool used)
{
    for (const auto &placement : placements)
        region.sites[placement.site].used = used;
}

// ---- Best fit ----

// Places all missing members of `unit` or none.
std::vector<Placement> placeUnit(Region &region, const Unit &unit)
{
    std::vector<Placement> placements;
    markKept(region, unit, true);
    auto needed = static_cast<std::uint32_t>(unit.members.size());
    for (; needed > 0; --needed) {
        const auto key = nextPlacement(region, contextOf(region, unit, needed), std::nullopt);
        if (!key)
            break;
        placements.push_back({key->site, key->first});
        place(region, unit, placements.back());
    }
    if (needed > 0) {
        for (const auto &placement : placements)
            undo(region, unit, placement);
        placements.clear();
    }
    markPlaced(region, placements, false);
    markKept(region, unit, false);
    return placements;
}

// ---- Search ----

std::uint64_t mixed(std::uint64_t value)
{
    // Finaliser of splitmix64.
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Equal for states that differ only by an exchange of workers within a data centre.
std::uint64_t stateHash(const Region &region, std::size_t level)
{
    std::uint64_t hash = mixed(level);
    for (const auto &site : region.sites)
        hash += mixed(site.freeMask ^ mixed(2 * std::uint64_t{site.dataCentre} + site.used));
    return hash;
}

// One member of one unit in the order of the search.
struct Level
{
    std::size_t unit = 0;
    std::uint32_t needed = 0;
    std::optional<Key> last;
    std::uint64_t hash = 0;
};

std::vector<Level> levelsOf(const Region &region)
{
    std::vector<Level> levels;
    for (std::size_t unit = 0; unit < region.units.size(); ++unit) {
        for (auto needed = region.units[unit].members.size(); needed > 0; --needed)
            levels.push_back({unit, static_cast<std::uint32_t>(needed), std::nullopt, 0});
    }
    return levels;
}

// Marks the workers used by the unit of `level`, given all placements above it.
void setUsed(Region &region, absl::Span<const Level> levels, std::size_t level)
{
    for (auto &site : region.sites)
        site.used = false;
    const auto unit = levels[level].unit;
    markKept(region, region.units[unit], true);
    for (auto above = level; above > 0 && levels[above - 1].unit == unit; --above)
        region.sites[levels[above - 1].last->site].used = true;
}

// Looks for an arrangement of all units. The placements of the units follow each other.
std::optional<std::vector<Placement>> search(Region &region)
{
    auto levels = levelsOf(region);
    const auto maxSteps =
        std::min(maxPackingSteps, maxPackingVisits / std::max<std::size_t>(1, region.sites.size()));
    if (levels.size() > maxSteps)
        return std::nullopt;
    std::unordered_set<std::uint64_t> failed;
    std::size_t level = 0;
    for (std::size_t steps = 0; level < levels.size(); ++steps) {
        auto &current = levels[level];
        const auto &unit = region.units[current.unit];
        setUsed(region, levels, level);
        if (!current.last)
            current.hash = stateHash(region, level);
        std::optional<Key> key;
        if (steps < maxSteps && failed.count(current.hash) == 0)
            key = nextPlacement(region, contextOf(region, unit, current.needed), current.last);
        current.last = key;
        if (key) {
            place(region, unit, {key->site, key->first});
            ++level;
            continue;
        }
        if (level == 0 || steps >= maxSteps)
            break;
        failed.insert(current.hash);
        --level;
        const auto &above = levels[level];
        undo(region, region.units[above.unit], {above.last->site, above.last->first});
    }
    std::vector<Placement> placements;
    const bool found = level == levels.size();
    for (std::size_t above = 0; above < level; ++above) {
        const auto &placed = levels[above];
        placements.push_back({placed.last->site, placed.last->first});
        if (!found)
            undo(region, region.units[placed.unit], placements.back());
    }
    for (auto &site : region.sites)
        site.used = false;
    if (!found)
        return std::nullopt;
    return placements;
}

// ---- Regions and kept anchors ----

using Numbers = std::map<std::string_view, std::uint32_t>;

// The number of `name`; a new name takes the number `next` and moves it on.
std::uint32_t numberOf(Numbers &numbers, std::string_view name, std::uint32_t &next)
{
    const auto [entry, added] = numbers.emplace(name, next);
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
    std::map<std::string_view, Numbers> dataCentres;
    std::map<std::pair<std::string_view, std::string_view>, Numbers> racks;
    const WorkerSite *last = nullptr;
    for (const auto *worker : ordered) {
        if (last != nullptr && worker->worker == last->worker)
            continue;
        auto &region = regions[worker->region];
        const auto accelerators = std::min(worker->accelerators, maxAcceleratorsPerWorker);
        Site site{worker->worker, 0, 0, accelerators, lowBits(accelerators), false};
        // Workers of one rack often follow each other.
        if (last != nullptr && last->rack == worker->rack && last->dataCentre == worker->dataCentre
            && last->region == worker->region) {
            site.dataCentre = region.sites.back().dataCentre;
            site.rack = region.sites.back().rack;
        } else {
            site.dataCentre =
                numberOf(dataCentres[worker->region], worker->dataCentre, region.dataCentres);
            site.rack =
                numberOf(racks[{worker->region, worker->dataCentre}], worker->rack, region.racks);
        }
        region.sites.push_back(site);
        last = worker;
    }
    return regions;
}

auto withinOrganisation(const GuaranteedBlock &guaranteedBlock)
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

// The anchors among `anchors` (one copy, ordered by member) that can stay.
std::vector<Kept> keepable(const Region &region, const GuaranteedShape &shape,
                           absl::Span<const GuaranteedBlock *const> guaranteedBlocks)
{
    std::vector<Kept> kept;
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
                              [&](const Kept &item) {
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

void setCurrent(Packer &packer, absl::Span<const GuaranteedBlock> current)
{
    for (const auto &guaranteedBlock : current)
        packer.current[guaranteedBlock.organisation].push_back(&guaranteedBlock);
    for (auto &[name, guaranteedBlocks] : packer.current)
        std::sort(guaranteedBlocks.begin(), guaranteedBlocks.end(),
                  [](const auto *left, const auto *right) {
                      return withinOrganisation(*left) < withinOrganisation(*right);
                  });
}

void addGuaranteedBlock(Packer &packer, const Region &region, const Unit &unit,
                        std::uint32_t member, const Placement &placement)
{
    packer.result.guaranteedBlocks.push_back(
        {unit.organisation->name, unit.shape, unit.copy, member,
         std::string(region.sites[placement.site].worker), placement.first, unit.accelerators});
}

// Takes the blocks of the anchors of one copy that stay and notes the members that are missing.
void keepCopy(Packer &packer, Region &region, const GuaranteedShape &shape, Unit unit)
{
    const auto guaranteedBlocks = currentOf(packer, unit.organisation->name, unit.shape, unit.copy);
    unit.kept = keepable(region, shape, guaranteedBlocks);
    std::set<std::uint32_t> present;
    for (const auto &kept : unit.kept) {
        present.insert(kept.member);
        place(region, unit, kept.placement);
    }
    markKept(region, unit, false);
    for (std::uint32_t member = 0; member < shape.members; ++member) {
        if (present.count(member) == 0)
            unit.members.push_back(member);
    }
    if (!unit.members.empty()) {
        region.units.push_back(std::move(unit));
        return;
    }
    for (const auto &kept : unit.kept)
        addGuaranteedBlock(packer, region, unit, kept.member, kept.placement);
}

void keepGuaranteedBlocks(Packer &packer)
{
    for (const auto &[name, row] : *packer.rows) {
        std::uint32_t index = 0;
        for (const auto &shape : row.guarantees) {
            auto &region = packer.regions[shape.region];
            for (std::uint32_t copy = 0; copy < shape.copies; ++copy)
                keepCopy(packer, region, shape, {&row, index, copy, shape.accelerators, {}, {}});
            ++index;
        }
    }
}

// Gives the kept members of `unit` up, so that the whole copy is packed anew.
void release(Region &region, Unit &unit)
{
    for (const auto &kept : unit.kept) {
        undo(region, unit, kept.placement);
        unit.members.push_back(kept.member);
    }
    std::sort(unit.members.begin(), unit.members.end());
    unit.kept.clear();
}

bool largerFirst(const Unit &left, const Unit &right)
{
    const auto order = [](const Unit &unit) {
        return std::tuple(-std::int64_t{unit.accelerators},
                          -static_cast<std::int64_t>(unit.members.size()),
                          std::string_view(unit.organisation->name), unit.shape, unit.copy);
    };
    return order(left) < order(right);
}

std::string shortageCause(const Region &region, std::string_view name, const Unit &unit)
{
    std::vector<std::uint32_t> eligible(region.dataCentres);
    std::uint32_t largest = 0;
    for (const auto &site : region.sites) {
        const auto run = largestRun(site.freeMask);
        largest = std::max(largest, run);
        if (run >= unit.accelerators)
            ++eligible[site.dataCentre];
    }
    const auto best = eligible.empty() ? 0 : *std::max_element(eligible.begin(), eligible.end());
    return "region \"" + std::string(name) + "\" has no room for "
        + std::to_string(unit.members.size()) + " blocks of " + std::to_string(unit.accelerators)
        + " adjacent accelerators on different workers of one data centre; it has "
        + std::to_string(best) + ", and the largest free block is " + std::to_string(largest);
}

// A region and where the missing members of its units go; none for a unit that is short.
struct Plan
{
    Region region;
    std::vector<std::vector<Placement>> placed; // by unit
};

bool isComplete(const Plan &plan)
{
    return std::none_of(plan.placed.begin(), plan.placed.end(),
                        [](const auto &placements) { return placements.empty(); });
}

// Places the units that are short, until no further one fits. Copies whose rest does not fit beside
// the kept members are packed anew; what they give up may make room for others.
void fillBestFit(Plan &plan)
{
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t index = 0; index < plan.placed.size(); ++index) {
            auto &unit = plan.region.units[index];
            auto &placed = plan.placed[index];
            if (!placed.empty())
                continue;
            placed = placeUnit(plan.region, unit);
            if (placed.empty() && !unit.kept.empty()) {
                release(plan.region, unit);
                placed = placeUnit(plan.region, unit);
                changed = true;
            }
            changed = changed || !placed.empty();
        }
    }
}

// Replaces an incomplete plan by a complete one, if the search finds one. With `anew`, copies that
// lost members may be packed anew as a whole.
void searchInstead(Plan &plan, bool anew)
{
    auto trial = plan.region;
    for (std::size_t index = 0; index < trial.units.size(); ++index) {
        for (const auto &placement : plan.placed[index])
            undo(trial, trial.units[index], placement);
        if (anew)
            release(trial, trial.units[index]);
    }
    const auto found = search(trial);
    if (!found)
        return;
    auto next = found->begin();
    for (std::size_t index = 0; index < trial.units.size(); ++index) {
        const auto end = next + static_cast<std::ptrdiff_t>(trial.units[index].members.size());
        plan.placed[index].assign(next, end);
        next = end;
    }
    plan.region = std::move(trial);
}

void addUnit(Packer &packer, std::string_view name, const Plan &plan, std::size_t index)
{
    const auto &unit = plan.region.units[index];
    if (plan.placed[index].empty()) {
        packer.result.shortages.push_back({unit.organisation->name, unit.shape, unit.copy,
                                           shortageCause(plan.region, name, unit)});
        return;
    }
    for (const auto &kept : unit.kept)
        addGuaranteedBlock(packer, plan.region, unit, kept.member, kept.placement);
    auto member = unit.members.begin();
    for (const auto &placement : plan.placed[index])
        addGuaranteedBlock(packer, plan.region, unit, *member++, placement);
}

void packRegion(Packer &packer, std::string_view name, Region &region)
{
    std::sort(region.units.begin(), region.units.end(), largerFirst);
    Plan plan{std::move(region), {}};
    plan.placed.resize(plan.region.units.size());
    fillBestFit(plan);
    if (!isComplete(plan))
        searchInstead(plan, false);
    const auto &units = plan.region.units;
    const bool keptSome = std::any_of(units.begin(), units.end(),
                                      [](const auto &unit) { return !unit.kept.empty(); });
    if (keptSome && !isComplete(plan))
        searchInstead(plan, true);
    for (std::size_t index = 0; index < plan.placed.size(); ++index)
        addUnit(packer, name, plan, index);
}

} // namespace

Packing packGuaranteedBlocks(const std::map<std::string, Organisation, std::less<>> &organisations,
                             absl::Span<const GuaranteedBlock> current,
                             absl::Span<const WorkerSite> workers)
{
    Packer packer;
    packer.rows = &organisations;
    packer.regions = regionsOf(workers);
    setCurrent(packer, current);
    keepGuaranteedBlocks(packer);
    auto &guaranteedBlocks = packer.result.guaranteedBlocks;
    const auto kept = static_cast<std::ptrdiff_t>(guaranteedBlocks.size()); // in order already
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
