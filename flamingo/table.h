#ifndef FLAMINGO_TABLE_H
#define FLAMINGO_TABLE_H

// The table of organisations: weights, limits, guaranteed shapes and the anchors that hold them.
//
// Every process folds the log stream "table" in offset order and so reaches the same table. An edit
// names the version it was made against; in the fold the first edit for a version wins and later
// ones are rejected. Versions only grow. A record that was appended twice (same writer and
// sequence) has no second effect. A Snapshot record carries a whole table, so that the stream
// survives the log's retention.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

constexpr std::string_view tableStream = "table";

// `copies` independent gangs of `members` workers with `accelerators` adjacent accelerators each,
// all members of a copy in one data centre of `region`.
struct GuaranteedShape
{
    std::string region;
    std::uint32_t copies = 1;
    std::uint32_t members = 1;
    std::uint32_t accelerators = 0;
};

struct Organisation
{
    std::string name;
    std::string homeRegion;
    std::uint32_t weight = 1; // share of what is not guaranteed
    std::uint32_t limitAccelerators = 0; // in use at once, 0 = no limit
    std::uint32_t limitSlots = 0; // tasks at once, 0 = no limit
    std::vector<GuaranteedShape> guarantees;
};

// Accelerators [first, first + count) of `worker` are reserved for one member of a guaranteed
// shape.
struct Anchor
{
    std::string organisation;
    std::uint32_t shape = 0; // index in Organisation::guarantees
    std::uint32_t copy = 0;
    std::uint32_t member = 0;
    std::string worker; // the agent's process name
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

// A guaranteed shape that has no anchors at present, and why.
struct Shortage
{
    std::string organisation;
    std::uint32_t shape = 0;
    std::uint32_t copy = 0;
    std::string cause;
};

struct HistoryEntry
{
    std::uint64_t version = 0;
    std::string author;
    std::string summary;
    std::uint64_t writtenUnixMs = 0; // the writer's wall clock, for people only
};

struct Table
{
    std::uint64_t version = 0;
    std::uint64_t nextOffset = 0; // offset after the last folded line
    std::map<std::string, Organisation, std::less<>> organisations;
    std::vector<Anchor> anchors;
    std::vector<Shortage> shortages;
    std::vector<HistoryEntry> history; // newest last, at most maxHistoryEntries
    std::map<std::string, std::uint64_t, std::less<>> writerSequences;
};

constexpr std::size_t maxHistoryEntries = 100;

// One change of the table. Rows in `upserts` replace those of the same name. `anchors` and
// `shortages` replace the whole former lists.
struct Edit
{
    std::uint64_t baseVersion = 0;
    std::string writer; // process that appends the record
    std::uint64_t sequence = 0;
    std::string author; // operator, or the process for an automatic move of anchors
    std::string summary;
    std::uint64_t writtenUnixMs = 0;
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
    std::vector<Anchor> anchors;
    std::vector<Shortage> shortages;
};

enum class FoldResult { Applied, Repeated, Conflict, Malformed };

// Folds one line of the stream. A line at an offset below table.nextOffset is Repeated. Every
// result but Applied leaves the table as it was, except for nextOffset.
FoldResult foldTable(Table &table, std::string_view line, std::uint64_t offset, Reason &reason);

std::string editLine(const Edit &edit);
std::string snapshotLine(const Table &table);

// Parses rows from an operator's JSON: {"organisations": [{"name": ..., ...}], "remove": ["name"]}.
// Unknown keys, wrong types and values out of range are errors that name the field.
struct TableChange
{
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
};
std::optional<TableChange> parseTableChange(std::string_view json, Reason &reason);

// The table as JSON for operators.
std::string tableJson(const Table &table);

// Mask of the accelerators of `worker` that are anchored for `organisation`, and for all others.
std::uint64_t anchoredFor(const Table &table, std::string_view worker,
                          std::string_view organisation);
std::uint64_t anchoredForOthers(const Table &table, std::string_view worker,
                                std::string_view organisation);

} // namespace flamingo

#endif
