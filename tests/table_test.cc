// Guards against replicas that reach different tables from the same lines, against records with
// mistakes that are folded, and against operators' documents whose mistakes go unnamed.

#include "flamingo/anchors.h"
#include "flamingo/table.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;

namespace {

Organisation organisation(std::string_view name, std::vector<GuaranteedShape> guarantees = {})
{
    Organisation row;
    row.name = name;
    row.homeRegion = "west";
    row.guarantees = std::move(guarantees);
    return row;
}

Edit editOf(const Table &table, std::uint64_t sequence, std::vector<Organisation> upserts)
{
    Edit edit;
    edit.baseVersion = table.version;
    edit.writer = "entry-1";
    edit.sequence = sequence;
    edit.upserts = std::move(upserts);
    edit.changedAnchorsOnly = true;
    return edit;
}

} // namespace

TEST_GROUP(Table){};

TEST(Table, anEditIsAppliedOnceAndTheLoserOfARaceConflicts)
{
    Table table;
    Reason reason;
    auto edit = editOf(table, 1, {organisation("a", {{"west", 1, 2, 4}})});
    edit.anchors = {{"a", 0, 0, 0, "w1", 0, 4}, {"a", 0, 0, 1, "w2", 4, 4}};
    const auto line = editLine(edit);
    CHECK(foldTable(table, line, 0, reason) == FoldResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK(foldTable(table, line, 1, reason) == FoldResult::Repeated);
    auto loser = editOf(Table{}, 1, {organisation("b")});
    loser.writer = "entry-2";
    CHECK(foldTable(table, editLine(loser), 2, reason) == FoldResult::Conflict);
    CHECK(reason.code == ReasonCode::VersionConflict);
    CHECK_EQUAL(1U, table.version);
    CHECK_EQUAL(0xf0U, anchoredFor(table, "w2", "a"));
    CHECK_EQUAL(0xf0U, anchoredForOthers(table, "w2", "b"));
    Table reader;
    CHECK(foldTable(reader, snapshotLine(table), 9, reason) == FoldResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK_EQUAL(snapshotLine(table), snapshotLine(reader));
}
