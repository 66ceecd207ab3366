#ifndef FLAMINGO_TABLE_H
#define FLAMINGO_TABLE_H

// The table of organisations: weights, limits, guaranteed shapes and the guaranteed blocks that are
// reserved for them.
//
// The table is a replicated state machine: every process applies the lines of the log stream
// "table" in offset order and so reaches the same table. An Edit record names the table version
// that it is based on; the first edit based on a version is applied and later ones are rejected.
// Versions only grow. A record that was appended twice (same writer and sequence) is applied once.
// A Snapshot record carries the whole table, so that the table outlives the retention time of the
// log.
//
// Every record is validated before it is applied: names, limits, shapes and guaranteed blocks are
// checked against the constants below, and an invalid record has no effect. Nesting, versions,
// sequences and offsets are limited as well, so that no record can end a process that reads it or
// hide the records after it.
//
// Missed lines. Offsets of a stream are consecutive, so a line beyond Table::nextOffset means that
// lines were missed. Applying it could accept an edit that the other processes rejected. The result
// of such a line is therefore ApplyResult::Gap, and the table, including nextOffset, is unchanged:
// read again from nextOffset, or obtain a Snapshot. A Snapshot of a higher version replaces the
// table at any offset and sets nextOffset to the first line that it does not cover. That line
// precedes the Snapshot's own line when the writer of the Snapshot had not read the whole stream.
// Callers must therefore continue from Table::nextOffset after each batch. A Snapshot that comes
// from a peer instead of the log is applied at the offset before its nextOffset. When the log
// service has deleted the lines at nextOffset (LogRead::trimmed), set awaitsSnapshot and continue
// from LogRead::next until it is false again. A table that has applied no line yet and does not
// await a Snapshot takes the first line it is given as the start of the stream.

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

// Limits of the table, which bound memory and the size of records.
constexpr std::uint32_t maxWeight = 1000000;
constexpr std::uint32_t maxLimit = 1000000; // accelerators or slots of one organisation
constexpr std::uint32_t maxCopies = 40000;
constexpr std::size_t maxOrganisations = 1000;
constexpr std::size_t maxGuarantees = 32; // per organisation
constexpr std::size_t maxGuaranteedBlocks = 40000; // planned in two years: 37,000 accelerators
constexpr std::size_t maxSummaryBytes = 512;
constexpr std::size_t maxCauseBytes = 512;
constexpr std::size_t maxWriters = 256; // writers whose last sequence is stored
constexpr std::size_t maxHistoryEntries = 100;
constexpr std::size_t maxProblems = 100; // errors listed in one error text
constexpr std::size_t maxRecordBytes = maxFrameBytes - 4096; // a line fits into a LogLines frame
// Organisations, guaranteed blocks and shortages as JSON. The rest of a Snapshot, its history and
// writers, takes at most 193,000 bytes.
constexpr std::size_t maxTableBytes = maxRecordBytes - 200000;

// A guarantee of `copies` independent gangs. Each has `members` workers with `accelerators`
// adjacent accelerators each, all in one data centre of `region`.
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
    std::uint32_t weight = 1; // share of the resources that are not guaranteed
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

// A copy of a guaranteed shape that has no guaranteed blocks at present, and why.
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
    std::uint64_t writtenUnixMs = 0; // the writer's wall clock; only for display
};

struct Table
{
    std::uint64_t version = 0;
    std::uint64_t nextOffset = 0; // offset to read the stream from next
    bool awaitsSnapshot = false; // lines at nextOffset were trimmed: edits are Gap
    bool started = false; // a line was applied, or a Snapshot set nextOffset
    bool snapshotAtNextOffset = false; // the line at nextOffset may be the last Snapshot
    std::map<std::string, Organisation, std::less<>> organisations;
    std::vector<GuaranteedBlock>
        guaranteedBlocks; // ordered by worker and first; guaranteedFor searches this order
    std::vector<Shortage> shortages; // ordered by organisation, shape and copy
    std::vector<HistoryEntry> history; // newest last, at most maxHistoryEntries
    std::map<std::string, std::uint64_t, std::less<>> writerSequences;
    std::map<std::string, std::uint64_t, std::less<>>
        writerVersions; // that the writer's last edit made
};

// One change of the table. Organisations in `upserts` replace those of the same name; those named
// in `removals` are deleted.
//
// When `changedGuaranteedBlocksOnly` is false, `guaranteedBlocks` and `shortages` replace the whole
// lists of the table. When it is true they replace those of the copies they name and leave the
// others. Blocks and shortages of removed organisations, and of copies that the upserts change or
// remove, are deleted without being named. Either way the edit must leave every guaranteed copy
// with all of its blocks or with one Shortage. setGuaranteedBlocks fills an edit with only the
// changes.
//
// A writer's sequences must grow, also across its restarts: put the incarnation in the writer's
// name or in the upper bits of the sequence.
struct Edit
{
    std::uint64_t baseVersion = 0;
    std::string writer; // process that appends the record
    std::uint64_t sequence = 0;
    std::string author; // operator, or the process for an automatic edit
    std::string summary;
    std::uint64_t writtenUnixMs = 0;
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
    bool changedGuaranteedBlocksOnly = false;
    std::vector<GuaranteedBlock> guaranteedBlocks;
    std::vector<Shortage> shortages;
};

// Sets the guaranteed blocks and shortages of `edit`, whose upserts and removals must be set, so
// that applying it to `table` results in the given lists. `edit` then holds only those that differ.
void setGuaranteedBlocks(Edit &edit, const Table &table,
                         absl::Span<const GuaranteedBlock> guaranteedBlocks,
                         absl::Span<const Shortage> shortages);

enum class ApplyResult { Applied, Repeated, Conflict, Malformed, Gap };

// Applies one line of the stream to `table`. A line at an offset below table.nextOffset is
// Repeated, unless it is a Snapshot of a higher version. Every result but Applied leaves the table
// unchanged, except for the read position. Repeated means that the line has no effect now, not that
// it had one before. `reason` is set for Conflict, Malformed and Gap.
ApplyResult applyTableLine(Table &table, std::string_view line, std::uint64_t offset,
                           Reason &reason);

// The records as lines of the stream.
std::string editLine(const Edit &edit);
std::string snapshotLine(const Table &table);

// Parses a change from an operator's JSON:
// {"organisations": [{"name": ..., ...}], "remove": ["name"]}.
// Returns nothing and lists the errors in `reason`, each with its field, when there are unknown or
// repeated keys, wrong types or values out of range.
struct TableChange
{
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
};
std::optional<TableChange> parseTableChange(std::string_view json, Reason &reason);

// The table as JSON for operators.
std::string tableJson(const Table &table);

// Masks of the accelerators of `worker` that are guaranteed to `organisation`, and to any other
// organisation.
std::uint64_t guaranteedFor(const Table &table, std::string_view worker,
                            std::string_view organisation);
std::uint64_t guaranteedForOthers(const Table &table, std::string_view worker,
                                  std::string_view organisation);

} // namespace flamingo

#endif
