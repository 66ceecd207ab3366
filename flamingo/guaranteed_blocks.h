#ifndef FLAMINGO_GUARANTEED_BLOCKS_H
#define FLAMINGO_GUARANTEED_BLOCKS_H

// Packs guaranteed shapes onto concrete adjacent blocks of workers.
//
// The members of a copy lie in one data centre of the shape's region, each on another worker, and
// in one rack where that is possible. The result depends on the set of workers and anchors, not on
// their order.
//
// Anchors that still match stay; when some members of a copy are lost, the others stay if the rest
// fits into the same data centre and no other copy is short for it, or else the whole copy is
// packed anew. What is missing is packed largest block first with best fit. When that leaves a copy
// out, a bounded search looks for another arrangement before the copy is called short.

#include "flamingo/table.h"

namespace flamingo {

// A worker as far as anchors are concerned.
struct WorkerSite
{
    std::string worker;
    std::string region;
    std::string dataCentre;
    std::string rack;
    std::uint32_t accelerators = 0;
};

// Bounds of the search of one region, so that a refusal does not hold up an entry: placements
// tried, and workers looked at in all.
constexpr std::size_t maxPackingSteps = 20000;
constexpr std::size_t maxPackingVisits = 2000000;

struct Packing
{
    std::vector<GuaranteedBlock> guaranteedBlocks;
    std::vector<Shortage> shortages;
};

// Packs every guarantee of `organisations`. Anchors in `current` whose worker still exists and that
// still match their shape stay where they are; the rest is packed anew, largest shapes first.
// Shapes that cannot be packed are in `shortages`, with the cause.
Packing packGuaranteedBlocks(const std::map<std::string, Organisation, std::less<>> &organisations,
                             absl::Span<const GuaranteedBlock> current,
                             absl::Span<const WorkerSite> workers);

} // namespace flamingo

#endif
