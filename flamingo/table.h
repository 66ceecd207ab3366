#ifndef FLAMINGO_TABLE_H
#define FLAMINGO_TABLE_H

// The table of organisations: weights, limits, guaranteed shapes and the anchors that hold them.
//
// Every process folds the log stream "table" in offset order and so reaches the same table. An edit
// names the version it was made against; in the fold the first edit for a version wins and later
// ones are rejected. Versions only grow. A record that was appended twice (same writer and
// sequence) has no second effect. A Snapshot record carries a whole table, so that the stream
// survives the log's retention.
//
// The fold trusts no line: names, limits, shapes and anchors of every record are checked against
// the constants below, and a record with a mistake has no effect.
//
// Missed lines. Offsets of a stream are consecutive. A line beyond Table::nextOffset means that
// lines were missed; folding on would let an edit win here that lost elsewhere. Such a line is
// ApplyResult::Gap and leaves even nextOffset as it was: read again from nextOffset, or obtain a
// Snapshot. A Snapshot of a higher version replaces the table at any offset and sets nextOffset to
// the first line that it does not cover, which lies before the Snapshot's own line when its writer
// lagged. After each batch, therefore, read on from table.nextOffset. A Snapshot that comes from a
// peer instead of the log is folded at the offset before its nextOffset. When the log service no
// longer has the lines from there (LogRead::trimmed), set awaitsSnapshot and read on from
// LogRead::next until it is false again. A table that has folded nothing yet and does not await a
// Snapshot takes the first line it is given as the start of the stream.

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

// Limits of the table. They bound memory and the size of records.
constexpr std::uint32_t maxWeight = 1000000;
constexpr std::uint32_t maxLimit = 1000000; // accelerators or slots of one organisation
constexpr std::uint32_t maxCopies = 40000;
constexpr std::size_t maxOrganisations = 1000;
constexpr std::size_t maxGuarantees = 32; // per organisation
constexpr std::size_t maxGuaranteedBlocks = 40000; // the two-year target has 37,000 accelerators
constexpr std::size_t maxSummaryBytes = 512;
constexpr std::size_t maxCauseBytes = 512;
constexpr std::size_t maxWriters = 256; // writers whose last sequence is remembered
constexpr std::size_t maxHistoryEntries = 100;
constexpr std::size_t maxProblems = 100; // mistakes listed in one error text
constexpr std::size_t maxRecordBytes = maxFrameBytes - 4096; // a line fits into a LogLines frame
// Rows, anchors and shortages as JSON. The rest of a Snapshot, its history and writers, takes at
// most 193,000 bytes.
constexpr std::size_t maxTableBytes = maxRecordBytes - 200000;

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
struct GuaranteedBlock
{
    std::string organisation;
    std::uint32_t shape = 0; // index in Organisation::guarantees
    std::uint32_t copy = 0;
    std::uint32_t member = 0;
    std::string worker; // the agent's process name
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

// A copy of a guaranteed shape that has no anchors at present, and why.
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
    std::uint64_t nextOffset = 0; // offset to read the stream from
    bool awaitsSnapshot = false; // lines from nextOffset on are lost: edits are Gap
    bool started = false; // a line was folded, or a Snapshot told where to read from
    bool snapshotAtNextOffset = false; // the line at nextOffset may be the Snapshot folded last
    std::map<std::string, Organisation, std::less<>> organisations;
    std::vector<GuaranteedBlock>
        guaranteedBlocks; // ordered by worker and first: the index behind guaranteedFor
    std::vector<Shortage> shortages; // ordered by organisation, shape and copy
    std::vector<HistoryEntry> history; // newest last, at most maxHistoryEntries
    std::map<std::string, std::uint64_t, std::less<>> writerSequences;
    std::map<std::string, std::uint64_t, std::less<>> writerVersions; // of the last applied edit
};

// One change of the table. Rows in `upserts` replace those of the same name.
//
// With `changedGuaranteedBlocksOnly` false, `anchors` and `shortages` replace the whole former
// lists. With true they replace the former ones of the copies they mention and leave the others;
// the anchors and shortages of removed organisations, and of copies that the upserts change or end,
// go without being mentioned. Either way the result must give every guaranteed copy all of its
// anchors or one Shortage. setGuaranteedBlocks fills an edit with the changes alone.
//
// A writer's sequences grow, also across its restarts: put the incarnation in the writer's name or
// in the upper bits of the sequence.
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
    bool changedGuaranteedBlocksOnly = false;
    std::vector<GuaranteedBlock> guaranteedBlocks;
    std::vector<Shortage> shortages;
};

// Makes `edit`, whose upserts and removals are set, lead from `table` to the given anchors and
// shortages, and carry only those that differ.
void setGuaranteedBlocks(Edit &edit, const Table &table,
                         absl::Span<const GuaranteedBlock> guaranteedBlocks,
                         absl::Span<const Shortage> shortages);

enum class ApplyResult { Applied, Repeated, Conflict, Malformed, Gap };

// Folds one line of the stream. A line at an offset below table.nextOffset is Repeated, unless it
// is a Snapshot of a higher version. Every result but Applied leaves the table as it was, except
// for nextOffset. Repeated says that the line has no effect now, not that it had one before.
ApplyResult applyTableLine(Table &table, std::string_view line, std::uint64_t offset,
                           Reason &reason);

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
std::uint64_t guaranteedFor(const Table &table, std::string_view worker,
                            std::string_view organisation);
std::uint64_t guaranteedForOthers(const Table &table, std::string_view worker,
                                  std::string_view organisation);

} // namespace flamingo

#endif
