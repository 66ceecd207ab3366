#ifndef FLAMINGO_GUARANTEED_BLOCKS_H
#define FLAMINGO_GUARANTEED_BLOCKS_H

// Packs guaranteed shapes onto blocks of adjacent accelerators of particular workers.
//
// The members of a copy are placed in one data centre of the shape's region, each on another
// worker, and in one rack where that is possible. The result depends on the set of workers and
// current blocks, not on their order.
//
// Blocks that still match their shape are kept. When a copy has lost some of its members, the
// others are kept if the lost ones fit into the same data centre and no other copy is short because
// of that; otherwise the whole copy is packed again. Missing blocks are packed by best fit, largest
// block first. When a copy does not fit that way, a bounded search tries other arrangements before
// the copy is reported as short.

#include "flamingo/table.h"

namespace flamingo {

// The properties of a worker that the packing uses.
struct WorkerSite
{
    std::string worker;
    std::string region;
    std::string dataCentre;
    std::string rack;
    std::uint32_t accelerators = 0;
};

// Bounds of the search of one region: placements tried, and workers examined in total. They keep a
// search that ends without success from blocking the entry.
constexpr std::size_t maxPackingSteps = 20000;
constexpr std::size_t maxPackingVisits = 2000000;

struct Packing
{
    std::vector<GuaranteedBlock> guaranteedBlocks;
    std::vector<Shortage> shortages;
};

// Packs every guarantee of `organisations`. Blocks in `current` that still match their shape and
// whose worker is in `workers` are kept where the rules above allow it; the rest is packed, largest
// blocks first. Copies that cannot be packed are in `shortages`, with the cause.
Packing packGuaranteedBlocks(const std::map<std::string, Organisation, std::less<>> &organisations,
                             absl::Span<const GuaranteedBlock> current,
                             absl::Span<const WorkerSite> workers);

} // namespace flamingo

#endif
