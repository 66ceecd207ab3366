#ifndef FLAMINGO_EDITS_H
#define FLAMINGO_EDITS_H

// Edits of the table: packing of guaranteed blocks, the record in the log, and the versions in
// force.
//
// An edit is recorded once this entry has read it back from the log and applied it to its table. It
// is accepted once every reachable process of every known region reports its version or a later
// one; until then it is pending. A region without a connected entry keeps it pending. Recording
// never waits for other regions.
//
// Guaranteed blocks are packed over the workers of all regions. Each entry sends the workers of its
// region to the entries of other regions when the connection is established and afterwards as they
// change, and keeps the last reported workers of other regions while they are unreachable.

#include "flamingo/guaranteed_blocks.h"
#include "flamingo/messages.h"
#include "flamingo/table.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

struct Entry;

// What every function of the entry receives: the entry's state, the time, the source of randomness
// and the outbox.
struct EntryContext
{
    Entry &entry;
    TimeMs now;
    Random &random;
    Outbox &out;
};

struct EditTable;

enum class EditState { Appending, Recorded };

struct PendingEdit
{
    std::string request; // empty when the request was answered, or the edit is automatic
    // True: the reply follows when the edit is accepted, or after EntryOptions::acceptTimeoutMs as
    // pending; false: when it is recorded.
    bool wait = true;
    bool automatic = false; // moves guaranteed blocks; not requested by an operator
    EditState state = EditState::Appending;
    std::string line; // the record in the log
    std::uint64_t sequence = 0; // number of the edit among those of this process
    std::uint64_t version = 0; // once recorded
    std::uint64_t appendId = 0; // id of the append without a result so far, 0 = none
    TimeMs startedAt = 0;
    TimeMs retryAt = 0; // time of the next append
};

// Table versions that another entry reported last, for itself and for its agents.
struct PeerVersions
{
    std::uint64_t ownVersion = 0;
    std::uint64_t lowestVersion = 0; // of the agents that report to it, 2^64 - 1 = none
    std::string lowestProcess; // an agent with this version, if it is below ownVersion
    TimeMs lastContactAt = 0; // 0: no summary on this connection yet
};

struct Edits
{
    std::vector<PendingEdit> pending;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastAppendId = 0;
    TimeMs logFailedAt = 0; // when the last append failed, 0: it was acknowledged
    std::map<std::string, PeerVersions, std::less<>> versions; // by entry
    // Workers of other regions by name, with 0 accelerators if lost.
    std::map<std::string, WorkerSite, std::less<>> remoteSites;
    std::map<std::string, wire::SiteInfoT> sentSites; // own workers as last sent
    std::uint64_t editsSinceSnapshot = 0;
    TimeMs snapshotSeenAt = 0; // last Snapshot read, or first event of the entry
    TimeMs snapshotDueAt = 0; // planned append, 0 = none
    std::uint64_t snapshotAppendId = 0; // append without a result so far, 0 = none
    TimeMs repackDueAt = 0; // planned proposal of new guaranteed blocks, 0 = none
    TimeMs repackCheckAt = 0; // no check for blocks to move before this time
    TimeMs tableRequestedAt = 0; // last LogLinesRequest after a gap or a newer version
    TimeMs summarySentAt = 0;
};

// False for logFailureBackoffMs after an append that was not acknowledged.
bool logLikelyAvailable(const Entry &entry, TimeMs now);

// Adds an append of lines to the outbox; returns its id, which LogAppended repeats.
std::uint64_t appendLines(EntryContext context, std::string_view stream,
                          std::vector<std::string> lines);

// Checks an operator's edit and appends it to the log, or replies with the reason of a refusal.
void onEditTable(EntryContext context, const EditTable &edit);
// Both apply lines of the table's stream to the entry's table: the first those read from the log,
// the second those that another entry sent.
void onTableRead(EntryContext context, const LogRead &read);
void onTableLines(EntryContext context, const LogLines &lines);
// Answers a request for lines of the table's stream, with a Snapshot of the entry's table when the
// requesting process lacks lines.
void onLogLinesRequest(EntryContext context, std::string_view from, const LogLinesRequest &request);
// Records whether the log acknowledged an append, and when the edit is appended again.
void onAppended(EntryContext context, const LogAppended &appended);
// Stores the versions and workers that another entry reported.
void onVersionSummary(EntryContext context, std::string_view from, const VersionSummary &summary);
// Sends all workers of this region to an entry.
void sendAllSites(EntryContext context, std::string_view to);
// Handles timeouts of pending edits, and sends summaries, moves of guaranteed blocks and Snapshots
// that are due.
void tickEdits(EntryContext context);

// Names of the processes that have not reported at least `version`, and of the regions without a
// connected entry.
std::vector<std::string> processesWithoutVersion(const Entry &entry, std::uint64_t version,
                                                 TimeMs now);

} // namespace flamingo

#endif
