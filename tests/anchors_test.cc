// Guards against packings that overlap, split a gang over data centres or miss room that exists.

#include "flamingo/anchors.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;

TEST_GROUP(Anchors){};

TEST(Anchors, aGangIsPackedIntoOneRackAndAShortageNamesTheLargestBlock)
{
    std::vector<WorkerSite> workers;
    for (const auto *name : {"a", "b", "c", "d"})
        workers.push_back({name, "west", "dc1", name < std::string("b") ? "r1" : "r2", 8});
    Organisation row;
    row.name = "org";
    row.guarantees = {{"west", 1, 3, 6}, {"west", 1, 1, 9}};
    const auto packing = packAnchors({{"org", row}}, {}, workers);
    CHECK_EQUAL(3U, packing.anchors.size());
    CHECK_EQUAL(std::string("b"), packing.anchors[0].worker);
    CHECK_EQUAL(1U, packing.shortages.size());
    CHECK_EQUAL(
        std::string("region \"west\" has no room for 1 blocks of 9 adjacent accelerators on "
                    "different workers of one data centre; it has 0, and the largest free "
                    "block is 8"),
        packing.shortages[0].cause);
}
