#ifndef FLAMINGO_ANCHORS_H
#define FLAMINGO_ANCHORS_H

// Packs guaranteed shapes onto concrete adjacent blocks of workers.

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

struct Packing
{
    std::vector<Anchor> anchors;
    std::vector<Shortage> shortages;
};

// Packs every guarantee of `organisations`. Anchors in `current` whose worker still exists and that
// still match their shape stay where they are; the rest is packed anew, largest shapes first.
// Shapes that cannot be packed are in `shortages`, with the cause.
Packing packAnchors(const std::map<std::string, Organisation, std::less<>> &organisations,
                    absl::Span<const Anchor> current, absl::Span<const WorkerSite> workers);

} // namespace flamingo

#endif
