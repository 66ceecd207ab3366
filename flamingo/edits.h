#ifndef FLAMINGO_EDITS_H
#define FLAMINGO_EDITS_H

// Edits of the table: packing of anchors, the record in the log, and the versions in force.
//
// An edit is recorded once this entry has read it back from the log and the fold applied it. It is
// accepted once every live process of every known region reports its version; until then it is
// pending. Recording never waits for other regions.
//
// Anchors are packed over the workers of all regions. Each entry sends the workers of its region to
// the entries of other regions when the connection comes up and afterwards as they change, and
// keeps the last known workers of other regions while they are cut off.

#include "flamingo/guaranteed_blocks.h"
#include "flamingo/messages.h"
#include "flamingo/table.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

struct Entry;

// Arguments of every decision of the entry.
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
    std::string request; // empty: nobody waits, or the edit is automatic
    bool wait = true;
    bool automatic = false;
    EditState state = EditState::Appending;
    std::string line;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0; // once recorded
    std::uint64_t appendId = 0; // id of the append that is under way, 0 = none
    TimeMs startedAt = 0;
    TimeMs retryAt = 0;
};

// What an entry knows of the processes behind a connection to another entry.
struct PeerVersions
{
    std::uint64_t own = 0;
    std::uint64_t lowest = 0; // of the agents that report to it
    std::string lowestProcess;
    TimeMs lastContactAt = 0; // 0: no summary on this connection yet
};

struct Edits
{
    std::vector<PendingEdit> pending;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastAppendId = 0;
    TimeMs logFailedAt = 0; // last append without an acknowledgement, 0: the last one succeeded
    std::map<std::string, PeerVersions, std::less<>> versions; // by entry
    std::map<std::string, WorkerSite, std::less<>> remoteSites;
    std::map<std::string, wire::SiteInfoT> sentSites; // own workers as last sent
    std::uint64_t editsSinceSnapshot = 0;
    TimeMs snapshotSeenAt = 0;
    TimeMs snapshotDueAt = 0; // planned append, 0 = none
    std::uint64_t snapshotAppendId = 0;
    TimeMs repackDueAt = 0; // planned proposal of new anchors, 0 = none
    TimeMs repackCheckAt = 0;
    TimeMs tableRequestedAt = 0;
    TimeMs summarySentAt = 0;
};

// False for a while after an append that was not acknowledged.
bool logSeemsUp(const Entry &entry, TimeMs now);

// Appends lines to a stream; returns the id of the append.
std::uint64_t appendLines(EntryContext context, std::string_view stream,
                          std::vector<std::string> lines);

void onEditTable(EntryContext context, const EditTable &edit);
void onTableRead(EntryContext context, const LogRead &read);
void onTableLines(EntryContext context, const LogLines &lines);
void onLogLinesRequest(EntryContext context, std::string_view from, const LogLinesRequest &request);
void onAppended(EntryContext context, const LogAppended &appended);
void onVersionSummary(EntryContext context, std::string_view from, const VersionSummary &summary);
void sendAllSites(EntryContext context, std::string_view to);
void tickEdits(EntryContext context);

// Regions and processes that are not known to have a version in force.
std::vector<std::string> processesWithoutVersion(const Entry &entry, std::uint64_t version,
                                                 TimeMs now);

} // namespace flamingo

#endif
