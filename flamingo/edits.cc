// An edit is appended repeatedly until it is read back, always with the same line, because an
// append whose answer is lost may have reached the log. A repeated line is ignored when it is
// applied.
//
// Guaranteed blocks of lost workers are moved by one of the entries of their region. Each of these
// entries waits a random time and then proposes an edit, based on its version of the table.
// Proposals after the first in the log end in a version conflict.

#include "flamingo/edits.h"

#include "flamingo/entry.h"

#include <algorithm>
#include <limits>

namespace flamingo {
namespace {

constexpr TimeMs appendRetryMs = 500;
constexpr TimeMs appendTimeoutMs = 2000; // an append without an answer is repeated
// Edits are refused for this time after a failed append.
constexpr TimeMs logFailureBackoffMs = 5000;
constexpr TimeMs maxJitterMs = 3000; // random delay of proposals and Snapshots
constexpr TimeMs summaryIntervalMs = 1000;
constexpr TimeMs repackCheckMs = 5000; // from a proposal to the next check
constexpr TimeMs tableRequestIntervalMs = 2000;
constexpr std::size_t maxPendingEdits = 64;
constexpr std::size_t sitesPerMessage = 1000;
constexpr std::size_t maxLinesMessageBytes = maxFrameBytes / 2;
constexpr std::size_t maxListedProcesses = 20; // named in a reply
// PeerVersions::lowestVersion of an entry that reported no agents.
constexpr std::uint64_t noVersion = std::numeric_limits<std::uint64_t>::max();

void sendReply(EntryContext context, std::string_view request, Reply reply)
{
    if (request.empty())
        return;
    reply.request = request;
    context.out.replies.push_back(std::move(reply));
}

void refuseEdit(EntryContext context, std::string_view request, ReasonCode code, std::string text,
                Verdict verdict = Verdict::NotRun)
{
    Reply reply;
    reply.verdict = verdict;
    reply.reason = {code, std::move(text)};
    sendReply(context, request, std::move(reply));
}

std::string writerId(const Entry &entry)
{
    return entry.options.name + "." + std::to_string(entry.options.incarnation);
}

// ---- Sites ----

bool containsWorker(const std::vector<WorkerSite> &sites, std::string_view worker)
{
    return std::any_of(sites.begin(), sites.end(),
                       [worker](const auto &site) { return site.worker == worker; });
}

// Region of the block's shape; empty if the table no longer has the shape.
std::string guaranteedBlockRegion(const Table &table, const GuaranteedBlock &guaranteedBlock)
{
    const auto row = table.organisations.find(guaranteedBlock.organisation);
    if (row == table.organisations.end() || guaranteedBlock.shape >= row->second.guarantees.size())
        return {};
    return row->second.guarantees[guaranteedBlock.shape].region;
}

// Guaranteed blocks stay on workers of other regions that were never reported to this entry: such
// workers are assumed to exist, with no more accelerators than the blocks need.
void addAssumedSites(const Entry &entry, std::vector<WorkerSite> &sites)
{
    const auto known = sites.size();
    for (const auto &guaranteedBlock : entry.table.guaranteedBlocks) {
        const auto region = guaranteedBlockRegion(entry.table, guaranteedBlock);
        if (region == entry.options.region
            || entry.edits.remoteSites.count(guaranteedBlock.worker) != 0)
            continue;
        const auto end = guaranteedBlock.first + guaranteedBlock.count;
        auto site = std::find_if(sites.begin() + static_cast<std::ptrdiff_t>(known), sites.end(),
                                 [&guaranteedBlock](const auto &other) {
                                     return other.worker == guaranteedBlock.worker;
                                 });
        if (site == sites.end())
            sites.push_back({guaranteedBlock.worker, region, "unknown", {}, end});
        else
            site->accelerators = std::max(site->accelerators, end);
    }
}

std::vector<WorkerSite> packingSites(const Entry &entry)
{
    auto sites = liveWorkerSites(entry.view);
    for (const auto &[worker, site] : entry.edits.remoteSites) {
        if (site.accelerators != 0 && !containsWorker(sites, worker))
            sites.push_back(site);
    }
    addAssumedSites(entry, sites);
    return sites;
}

wire::SiteInfoT toSiteInfo(const WorkerSite &site)
{
    wire::SiteInfoT info;
    info.worker = site.worker;
    info.region = site.region;
    info.dataCentre = site.dataCentre;
    info.rack = site.rack;
    info.accelerators = site.accelerators;
    return info;
}

bool sameSite(const wire::SiteInfoT &a, const wire::SiteInfoT &b)
{
    return a.worker == b.worker && a.region == b.region && a.dataCentre == b.dataCentre
        && a.rack == b.rack && a.accelerators == b.accelerators && a.lost == b.lost;
}

// Workers of this region that differ from what was sent last; records them as sent.
std::vector<wire::SiteInfoT> changedSites(Entry &entry)
{
    std::vector<wire::SiteInfoT> changed;
    for (const auto &agent : entry.view.agents) {
        if (agent.report.agent.empty())
            continue;
        auto info = toSiteInfo({agent.report.agent, agent.report.region, agent.report.dataCentre,
                                agent.report.rack, agent.report.accelerators});
        info.lost = agent.lostAt != 0;
        auto &sent = entry.edits.sentSites[info.worker];
        if (sameSite(sent, info))
            continue;
        sent = info;
        changed.push_back(std::move(info));
    }
    return changed;
}

// ---- Making an edit ----

// Sets `organisations` to those of the table after the change; false with the `reason` if the
// change does not apply.
bool applyChange(const Table &table, const TableChange &change,
                 std::map<std::string, Organisation, std::less<>> &organisations, Reason &reason)
{
    organisations = table.organisations;
    for (const auto &name : change.removals) {
        if (organisations.erase(name) != 0)
            continue;
        reason = {ReasonCode::InvalidInput,
                  "remove: organisation \"" + name + "\" is not in the table"};
        return false;
    }
    for (const auto &row : change.upserts)
        organisations[row.name] = row;
    return true;
}

bool containsShortage(const std::vector<Shortage> &shortages, const Shortage &wanted)
{
    return std::any_of(shortages.begin(), shortages.end(), [&wanted](const auto &shortage) {
        return shortage.organisation == wanted.organisation && shortage.shape == wanted.shape
            && shortage.copy == wanted.copy;
    });
}

// The first shortage that is new or belongs to a changed organisation; null when there is none.
const Shortage *newShortage(const Table &table, const TableChange &change, const Packing &packing)
{
    for (const auto &shortage : packing.shortages) {
        const bool changed =
            std::any_of(change.upserts.begin(), change.upserts.end(),
                        [&shortage](const auto &row) { return row.name == shortage.organisation; });
        if (changed || !containsShortage(table.shortages, shortage))
            return &shortage;
    }
    return nullptr;
}

// True when every worker of this region with a guaranteed block has reported since this entry
// started, or when moveGuaranteedBlocksAfterMs has passed since then.
bool guaranteedWorkersReported(EntryContext context)
{
    const auto &entry = context.entry;
    if (context.now - entry.startedAt >= entry.options.moveGuaranteedBlocksAfterMs)
        return true;
    return std::all_of(entry.table.guaranteedBlocks.begin(), entry.table.guaranteedBlocks.end(),
                       [&entry](const auto &guaranteedBlock) {
                           return guaranteedBlockRegion(entry.table, guaranteedBlock)
                               != entry.options.region
                               || findAgent(entry.view, guaranteedBlock.worker) != noAgent;
                       });
}

std::string changeSummary(const TableChange &change)
{
    std::string text;
    for (const auto &row : change.upserts)
        text += (text.empty() ? "set " : ", set ") + row.name;
    for (const auto &name : change.removals)
        text += (text.empty() ? "remove " : ", remove ") + name;
    return text;
}

void appendEdit(EntryContext context, PendingEdit &pending)
{
    pending.appendId = appendLines(context, tableStream, {pending.line});
    pending.retryAt = context.now + appendTimeoutMs;
}

// Appends the edit to the log and adds it to the pending ones. An edit whose record would be too
// long is refused instead.
void startEdit(EntryContext context, Edit edit, PendingEdit pending)
{
    auto &entry = context.entry;
    edit.baseVersion = entry.table.version;
    edit.writer = writerId(entry);
    edit.sequence = ++entry.edits.lastSequence;
    pending.sequence = edit.sequence;
    pending.line = editLine(edit);
    if (pending.line.size() > maxRecordBytes) {
        refuseEdit(context, pending.request, ReasonCode::InvalidInput,
                   "the record would have " + std::to_string(pending.line.size())
                       + " bytes; the limit is " + std::to_string(maxRecordBytes));
        return;
    }
    pending.startedAt = context.now;
    appendEdit(context, pending);
    entry.edits.pending.push_back(std::move(pending));
}

// Checks the conditions that do not depend on the content of the edit. Replies with the reason and
// returns false when one is not met.
bool checkEditAllowed(EntryContext context, const EditTable &edit)
{
    const auto &entry = context.entry;
    const auto &edits = entry.edits;
    if (!entry.accepting) {
        refuseEdit(context, edit.request, ReasonCode::Draining, "this entry is shutting down");
        return false;
    }
    if (edits.pending.size() >= maxPendingEdits) {
        refuseEdit(context, edit.request, ReasonCode::QueueFull, "too many edits are pending");
        return false;
    }
    if (!logLikelyAvailable(entry, context.now)) {
        refuseEdit(context, edit.request, ReasonCode::LogUnavailable,
                   "the log does not acknowledge appends; the edit was not sent to it");
        return false;
    }
    if (!guaranteedWorkersReported(context)) {
        refuseEdit(context, edit.request, ReasonCode::TargetUnreachable,
                   "this entry has not received reports from all workers with guaranteed blocks "
                   "since it started; try again");
        return false;
    }
    return true;
}

// ---- Replies ----

std::string stateJson(std::uint64_t version, std::string_view state)
{
    return "{\"version\":" + std::to_string(version) + ",\"state\":\"" + std::string(state) + "\"}";
}

std::string joinedNames(const std::vector<std::string> &names)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), maxListedProcesses); ++i)
        text += (i == 0 ? "" : ", ") + names[i];
    if (names.size() > maxListedProcesses)
        text += " and " + std::to_string(names.size() - maxListedProcesses) + " more";
    return text;
}

void replyRecorded(EntryContext context, const PendingEdit &edit)
{
    Reply reply;
    reply.verdict = Verdict::MayHaveRun;
    reply.accepted = true;
    reply.reason.text = "recorded as version " + std::to_string(edit.version);
    reply.answer = stateJson(edit.version, "recorded");
    sendReply(context, edit.request, std::move(reply));
}

void replyAccepted(EntryContext context, const PendingEdit &edit)
{
    Reply reply;
    reply.verdict = Verdict::Ran;
    reply.accepted = true;
    reply.answer = stateJson(edit.version, "accepted");
    sendReply(context, edit.request, std::move(reply));
}

void replyPending(EntryContext context, const PendingEdit &edit,
                  const std::vector<std::string> &names)
{
    Reply reply;
    reply.verdict = Verdict::MayHaveRun;
    reply.accepted = true;
    reply.reason = {ReasonCode::RegionUnreachable,
                    "recorded as version " + std::to_string(edit.version)
                        + "; pending at: " + joinedNames(names)};
    reply.answer = stateJson(edit.version, "pending");
    sendReply(context, edit.request, std::move(reply));
}

// ---- Reading the stream ----

void markRecorded(EntryContext context, PendingEdit &edit, std::uint64_t version)
{
    edit.state = EditState::Recorded;
    edit.version = version;
    if (edit.wait)
        return;
    replyRecorded(context, edit);
    edit.request.clear();
}

// Updates a pending edit whose record was read from the log; true when it is no longer pending.
bool settleEdit(EntryContext context, PendingEdit &edit, ApplyResult result, const Reason &reason)
{
    const auto &table = context.entry.table;
    if (edit.state == EditState::Recorded || result == ApplyResult::Gap)
        return false;
    // Repeated alone does not mean that the edit had an effect before; its sequence number shows
    // that.
    const auto written = table.writerSequences.find(writerId(context.entry));
    const bool seen = written != table.writerSequences.end() && written->second == edit.sequence;
    if (result == ApplyResult::Applied || (result == ApplyResult::Repeated && seen)) {
        markRecorded(context, edit, table.writerVersions.at(written->first));
        return edit.request.empty();
    }
    if (result == ApplyResult::Malformed)
        refuseEdit(context, edit.request, reason.code, reason.text);
    else
        refuseEdit(context, edit.request, ReasonCode::VersionConflict,
                   "baseVersion: another edit came first; the table has version "
                       + std::to_string(table.version));
    return true;
}

void settleEdits(EntryContext context, std::string_view line, ApplyResult result,
                 const Reason &reason)
{
    auto &pending = context.entry.edits.pending;
    for (auto at = pending.begin(); at != pending.end();) {
        if (at->line == line && settleEdit(context, *at, result, reason))
            at = pending.erase(at);
        else
            ++at;
    }
}

bool isSnapshot(std::string_view line)
{
    constexpr std::string_view prefix = "{\"kind\":\"Snapshot\"";
    return line.substr(0, prefix.size()) == prefix;
}

void recordTableLine(EntryContext context, std::string_view line, ApplyResult result,
                     const Reason &reason)
{
    auto &edits = context.entry.edits;
    if (isSnapshot(line)) {
        edits.editsSinceSnapshot = 0;
        edits.snapshotSeenAt = context.now;
        edits.snapshotDueAt = 0;
        return;
    }
    edits.editsSinceSnapshot += result == ApplyResult::Applied ? 1 : 0;
    settleEdits(context, line, result, reason);
}

void sendLinesToAgents(EntryContext context, const std::vector<wire::LogLineT> &lines)
{
    LogLines message;
    message.stream = tableStream;
    std::size_t bytes = 0;
    const auto flush = [&context, &message] {
        for (const auto &[name, peer] : context.entry.peers) {
            if (peer.connected && peer.info.kind == ProcessKind::Agent)
                context.out.sends.push_back({name, message});
        }
        message.lines.clear();
    };
    for (const auto &line : lines) {
        if (bytes + line.text.size() > maxLinesMessageBytes && !message.lines.empty()) {
            flush();
            bytes = 0;
        }
        bytes += line.text.size();
        message.lines.push_back(line);
        message.next = line.offset + 1;
    }
    if (!message.lines.empty())
        flush();
}

void requestTable(EntryContext context, std::string_view from)
{
    auto &edits = context.entry.edits;
    if (from.empty()
        || (edits.tableRequestedAt != 0
            && context.now - edits.tableRequestedAt < tableRequestIntervalMs))
        return;
    edits.tableRequestedAt = context.now;
    LogLinesRequest request;
    request.stream = tableStream;
    request.from = context.entry.table.nextOffset;
    context.out.sends.push_back({std::string(from), std::move(request)});
}

std::string anyConnectedEntry(const Entry &entry)
{
    for (const auto &[name, peer] : entry.peers) {
        if (peer.connected && peer.info.kind == ProcessKind::Entry)
            return name;
    }
    return {};
}

void applyTableLines(EntryContext context, const std::vector<wire::LogLineT> &lines)
{
    auto &entry = context.entry;
    const auto before = entry.table.version;
    std::vector<wire::LogLineT> newLines;
    bool gap = false;
    for (const auto &line : lines) {
        Reason reason;
        const bool isNew = line.offset >= entry.table.nextOffset;
        const auto result = applyTableLine(entry.table, line.text, line.offset, reason);
        gap = gap || result == ApplyResult::Gap;
        if (result == ApplyResult::Malformed)
            context.out.ignoredRecords.push_back({std::string(tableStream), line.offset, reason});
        if (result == ApplyResult::Applied || (isNew && result != ApplyResult::Gap))
            newLines.push_back(line);
        recordTableLine(context, line.text, result, reason);
    }
    if (gap)
        requestTable(context, anyConnectedEntry(entry));
    sendLinesToAgents(context, newLines);
    if (entry.table.version == before)
        return;
    setGuaranteedBlocks(entry.view, entry.table);
    entry.capacityChanged = true;
}

// ---- Versions in force ----

wire::VersionInForceT versionRow(const Entry &entry, std::string process, std::uint64_t version)
{
    wire::VersionInForceT row;
    row.region = entry.options.region;
    row.process = std::move(process);
    row.version = version;
    return row;
}

// The entry's own version, the lowest version of its live agents (process "*"), and the agent with
// the lowest version if that is older than the entry's.
VersionSummary makeSummary(const Entry &entry)
{
    VersionSummary summary;
    summary.entry = entry.options.name;
    summary.versions.push_back(versionRow(entry, entry.options.name, entry.table.version));
    const AgentView *lowest = nullptr;
    for (const auto &agent : entry.view.agents) {
        if (agent.lostAt != 0 || agent.report.agent.empty()
            || (lowest != nullptr && lowest->report.tableVersion <= agent.report.tableVersion))
            continue;
        lowest = &agent;
    }
    if (lowest == nullptr)
        return summary;
    const auto version = lowest->report.tableVersion;
    summary.versions.push_back(versionRow(entry, "*", version));
    if (version < entry.table.version)
        summary.versions.push_back(versionRow(entry, lowest->report.agent, version));
    return summary;
}

void sendSummaries(EntryContext context)
{
    auto &entry = context.entry;
    if (context.now - entry.edits.summarySentAt < summaryIntervalMs)
        return;
    entry.edits.summarySentAt = context.now;
    const auto summary = makeSummary(entry);
    auto withSites = summary;
    withSites.sites = changedSites(entry);
    for (const auto &[name, peer] : entry.peers) {
        if (!peer.connected || peer.info.kind != ProcessKind::Entry)
            continue;
        const bool sameRegion = peer.info.region == entry.options.region;
        context.out.sends.push_back({name, sameRegion ? summary : withSites});
    }
}

// Adds the entries that have not reported the version, and agents of which entries reported that
// they lack it. A disconnected entry is listed for ownerSilentAfterMs after Peer::missingSince;
// while no entry of its region is connected, processesWithoutVersion() lists the region.
void addEntriesWithoutVersion(const Entry &entry, std::uint64_t version, TimeMs now,
                              std::vector<std::string> &names)
{
    for (const auto &[name, peer] : entry.peers) {
        if (peer.info.kind != ProcessKind::Entry)
            continue;
        if (!peer.connected) {
            if (now - peer.missingSince < entry.options.ownerSilentAfterMs)
                names.push_back(name);
            continue;
        }
        const auto known = entry.edits.versions.find(name);
        if (known == entry.edits.versions.end() || known->second.ownVersion < version)
            names.push_back(name);
        else if (known->second.lowestVersion < version)
            names.push_back(known->second.lowestProcess.empty() ? name + " (its agents)"
                                                                : known->second.lowestProcess);
    }
}

// ---- Automatic edits ----

// True if the block's worker, in this region, sent no message for moveGuaranteedBlocksAfterMs, or
// none at all in three times this time after the entry's start.
bool guaranteedBlockLost(EntryContext context, const GuaranteedBlock &guaranteedBlock)
{
    const auto &entry = context.entry;
    if (guaranteedBlockRegion(entry.table, guaranteedBlock) != entry.options.region)
        return false;
    const auto agent = findAgent(entry.view, guaranteedBlock.worker);
    const auto bound = entry.options.moveGuaranteedBlocksAfterMs;
    if (agent == noAgent)
        return context.now - entry.startedAt >= 3 * bound;
    return entry.view.agents[agent].lostAt != 0
        && context.now - entry.view.agents[agent].lastContactAt >= bound;
}

// False when more than half of the agents are lost: then this entry itself is probably cut off and
// must not move their guaranteed blocks.
bool mostAgentsReachable(const Entry &entry)
{
    const auto lost = std::count_if(entry.view.agents.begin(), entry.view.agents.end(),
                                    [](const auto &agent) { return agent.lostAt != 0; });
    return static_cast<std::size_t>(lost) * 2 <= entry.view.agents.size();
}

bool hasShortage(const Entry &entry)
{
    return std::any_of(
        entry.table.shortages.begin(), entry.table.shortages.end(), [&entry](const auto &shortage) {
            GuaranteedBlock guaranteedBlock;
            guaranteedBlock.organisation = shortage.organisation;
            guaranteedBlock.shape = shortage.shape;
            return guaranteedBlockRegion(entry.table, guaranteedBlock) == entry.options.region;
        });
}

bool needsRepack(EntryContext context)
{
    const auto &entry = context.entry;
    const bool lost =
        std::any_of(entry.table.guaranteedBlocks.begin(), entry.table.guaranteedBlocks.end(),
                    [context](const auto &guaranteedBlock) {
                        return guaranteedBlockLost(context, guaranteedBlock);
                    });
    return lost || hasShortage(entry);
}

void proposeGuaranteedBlocks(EntryContext context)
{
    const auto &entry = context.entry;
    const auto packing = packGuaranteedBlocks(entry.table.organisations,
                                              entry.table.guaranteedBlocks, packingSites(entry));
    Edit edit;
    edit.author = entry.options.name;
    // This text is stored in the log; "anchors" means guaranteed blocks.
    edit.summary = "move anchors off lost workers";
    setGuaranteedBlocks(edit, entry.table, packing.guaranteedBlocks, packing.shortages);
    if (edit.guaranteedBlocks.empty() && edit.shortages.empty())
        return;
    PendingEdit pending;
    pending.automatic = true;
    pending.wait = false;
    startEdit(context, std::move(edit), std::move(pending));
}

bool automaticEditPending(const Edits &edits)
{
    return std::any_of(edits.pending.begin(), edits.pending.end(),
                       [](const auto &edit) { return edit.automatic; });
}

// Plans a proposal at a random time if guaranteed blocks have to move. When it is due, makes it if
// that is still necessary.
void stepRepack(EntryContext context)
{
    auto &edits = context.entry.edits;
    if (edits.repackDueAt != 0 && context.now < edits.repackDueAt)
        return;
    const bool due = edits.repackDueAt != 0;
    edits.repackDueAt = 0;
    if (context.now < edits.repackCheckAt && !due)
        return;
    if (automaticEditPending(edits) || !mostAgentsReachable(context.entry)
        || !guaranteedWorkersReported(context) || !needsRepack(context))
        return;
    if (due) {
        proposeGuaranteedBlocks(context);
        edits.repackCheckAt = context.now + repackCheckMs;
        return;
    }
    edits.repackDueAt = context.now + 1
        + static_cast<TimeMs>(context.random() % static_cast<std::uint64_t>(maxJitterMs));
}

void stepSnapshot(EntryContext context)
{
    auto &entry = context.entry;
    auto &edits = entry.edits;
    const bool due = edits.editsSinceSnapshot >= entry.options.snapshotEveryEdits
        || (edits.editsSinceSnapshot > 0
            && context.now - std::max(edits.snapshotSeenAt, entry.startedAt)
                >= entry.options.snapshotEveryMs);
    if (!due || edits.snapshotAppendId != 0)
        return;
    if (edits.snapshotDueAt == 0) {
        edits.snapshotDueAt = context.now
            + static_cast<TimeMs>(context.random() % static_cast<std::uint64_t>(maxJitterMs));
        return;
    }
    if (context.now < edits.snapshotDueAt)
        return;
    edits.snapshotDueAt = 0;
    edits.snapshotAppendId = appendLines(context, tableStream, {snapshotLine(entry.table)});
}

// ---- Progress of pending edits ----

// Returns true when the edit is no longer pending, like stepRecordedEdit().
bool stepAppendingEdit(EntryContext context, PendingEdit &edit)
{
    if (context.now - edit.startedAt >= context.entry.options.logTimeoutMs) {
        refuseEdit(context, edit.request, ReasonCode::LogUnavailable,
                   "the log did not confirm the edit; it may be in the log", Verdict::MayHaveRun);
        return true;
    }
    if (context.now >= edit.retryAt)
        appendEdit(context, edit);
    return false;
}

bool stepRecordedEdit(EntryContext context, PendingEdit &edit)
{
    const auto names = processesWithoutVersion(context.entry, edit.version, context.now);
    if (names.empty()) {
        replyAccepted(context, edit);
        return true;
    }
    if (context.now - edit.startedAt < context.entry.options.acceptTimeoutMs)
        return false;
    replyPending(context, edit, names);
    return true;
}

void stepPendingEdits(EntryContext context)
{
    auto &pending = context.entry.edits.pending;
    for (auto at = pending.begin(); at != pending.end();) {
        const bool done = at->state == EditState::Appending ? stepAppendingEdit(context, *at)
                                                            : stepRecordedEdit(context, *at);
        at = done ? pending.erase(at) : at + 1;
    }
}

} // namespace

bool logLikelyAvailable(const Entry &entry, TimeMs now)
{
    return entry.edits.logFailedAt == 0 || now - entry.edits.logFailedAt >= logFailureBackoffMs;
}

std::uint64_t appendLines(EntryContext context, std::string_view stream,
                          std::vector<std::string> lines)
{
    Append append;
    append.id = ++context.entry.edits.lastAppendId;
    append.stream = stream;
    append.lines = std::move(lines);
    context.out.appends.push_back(std::move(append));
    return context.entry.edits.lastAppendId;
}

void onEditTable(EntryContext context, const EditTable &request)
{
    const auto &entry = context.entry;
    if (!checkEditAllowed(context, request))
        return;
    Reason reason;
    auto change = parseTableChange(request.change, reason);
    std::map<std::string, Organisation, std::less<>> organisations;
    if (!change || !applyChange(entry.table, *change, organisations, reason)) {
        refuseEdit(context, request.request, reason.code, reason.text);
        return;
    }
    if (request.baseVersion != entry.table.version) {
        refuseEdit(context, request.request, ReasonCode::VersionConflict,
                   "baseVersion: " + std::to_string(request.baseVersion)
                       + " is not the table's version " + std::to_string(entry.table.version));
        return;
    }
    const auto packing =
        packGuaranteedBlocks(organisations, entry.table.guaranteedBlocks, packingSites(entry));
    if (const auto *shortage = newShortage(entry.table, *change, packing)) {
        refuseEdit(context, request.request, ReasonCode::Unpackable,
                   "guarantees: shape " + std::to_string(shortage->shape) + " copy "
                       + std::to_string(shortage->copy) + " of " + shortage->organisation + ": "
                       + shortage->cause);
        return;
    }
    Edit edit;
    edit.author = request.author;
    edit.summary = changeSummary(*change);
    edit.writtenUnixMs = request.nowUnixMs;
    edit.upserts = std::move(change->upserts);
    edit.removals = std::move(change->removals);
    setGuaranteedBlocks(edit, entry.table, packing.guaranteedBlocks, packing.shortages);
    PendingEdit pending;
    pending.request = request.request;
    pending.wait = request.wait;
    startEdit(context, std::move(edit), std::move(pending));
}

void onTableRead(EntryContext context, const LogRead &read)
{
    auto &table = context.entry.table;
    if (read.trimmed && table.version == 0)
        table.awaitsSnapshot = true;
    applyTableLines(context, read.lines);
}

void onTableLines(EntryContext context, const LogLines &lines)
{
    if (lines.stream == tableStream)
        applyTableLines(context, lines.lines);
}

void onLogLinesRequest(EntryContext context, std::string_view from, const LogLinesRequest &request)
{
    const auto &table = context.entry.table;
    if (request.stream != tableStream || table.nextOffset == 0)
        return;
    LogLines reply;
    reply.stream = tableStream;
    reply.next = table.nextOffset;
    if (table.version != 0 && request.from < table.nextOffset) {
        wire::LogLineT line;
        line.offset = table.nextOffset - 1;
        line.text = snapshotLine(table);
        reply.lines.push_back(std::move(line));
    }
    context.out.sends.push_back({std::string(from), std::move(reply)});
}

void onAppended(EntryContext context, const LogAppended &appended)
{
    auto &edits = context.entry.edits;
    edits.logFailedAt = appended.acknowledged ? 0 : context.now;
    if (edits.snapshotAppendId == appended.id)
        edits.snapshotAppendId = 0;
    for (auto &edit : edits.pending) {
        if (edit.appendId != appended.id)
            continue;
        edit.appendId = 0;
        edit.retryAt = context.now + (appended.acknowledged ? appendTimeoutMs : appendRetryMs);
    }
}

void onVersionSummary(EntryContext context, std::string_view from, const VersionSummary &summary)
{
    auto &entry = context.entry;
    auto &known = entry.edits.versions[std::string(from)];
    known = {};
    known.lastContactAt = context.now;
    known.lowestVersion = noVersion;
    for (const auto &row : summary.versions) {
        if (row.process == from)
            known.ownVersion = row.version;
        else if (row.process == "*")
            known.lowestVersion = row.version;
        else
            known.lowestProcess = row.process;
    }
    for (const auto &site : summary.sites) {
        if (site.region == entry.options.region)
            continue;
        entry.edits.remoteSites[site.worker] = {site.worker, site.region, site.dataCentre,
                                                site.rack, site.lost ? 0 : site.accelerators};
    }
    if (known.ownVersion > entry.table.version)
        requestTable(context, from);
}

void sendAllSites(EntryContext context, std::string_view to)
{
    const auto sites = liveWorkerSites(context.entry.view);
    for (std::size_t first = 0; first < sites.size(); first += sitesPerMessage) {
        auto summary = makeSummary(context.entry);
        for (std::size_t i = first; i < std::min(sites.size(), first + sitesPerMessage); ++i)
            summary.sites.push_back(toSiteInfo(sites[i]));
        context.out.sends.push_back({std::string(to), std::move(summary)});
    }
}

void tickEdits(EntryContext context)
{
    stepPendingEdits(context);
    sendSummaries(context);
    stepRepack(context);
    stepSnapshot(context);
}

std::vector<std::string> processesWithoutVersion(const Entry &entry, std::uint64_t version,
                                                 TimeMs now)
{
    std::vector<std::string> names;
    std::set<std::string> regions;
    for (const auto &agent : entry.view.agents) {
        if (agent.lostAt == 0 && !agent.report.agent.empty() && agent.report.tableVersion < version)
            names.push_back(agent.report.agent);
    }
    addEntriesWithoutVersion(entry, version, now, names);
    for (const auto &[name, peer] : entry.peers)
        regions.insert(peer.info.region);
    for (const auto &[worker, site] : entry.edits.remoteSites)
        regions.insert(site.region);
    for (const auto &[name, organisation] : entry.table.organisations) {
        for (const auto &shape : organisation.guarantees)
            regions.insert(shape.region);
    }
    for (const auto &region : regions) {
        const bool reachable = region.empty() || region == entry.options.region
            || std::any_of(entry.peers.begin(), entry.peers.end(), [&region](const auto &row) {
                                   return row.second.connected
                                       && row.second.info.kind == ProcessKind::Entry
                                       && row.second.info.region == region;
                               });
        if (!reachable)
            names.push_back("region " + region);
    }
    return names;
}

} // namespace flamingo
