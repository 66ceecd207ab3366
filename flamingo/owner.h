#ifndef FLAMINGO_OWNER_H
#define FLAMINGO_OWNER_H

// At-most-once execution: the owner of a key range grants each key to one attempt of one agent.
// docs/design.md, section 6.4, gives the protocol. range_map.cc replays the stream `claims` and
// proposes takeovers for entries; owner.cc, owner_log.cc and owner_takeover.cc implement the owner.
//
// Use in an entry:
//   1. Pass every LogRead of `claims` to applyClaims; ownerOf returns the process that owns the
//      range of a key.
//   2. Call proposeTakeovers about once a second while the log is reachable and append the lines it
//      returns to `claims`. A line whose append was lost is proposed again; a repeated line is void
//      on replay.
//
// Use in an agent process:
//   1. Call makeOwner, then read `claims` from offset 0 (the log service starts at the oldest
//      retained line) and pass every LogRead, LogAppended, PeerMessage, PeerUp, PeerDown and Tick
//      to handleOwner. Answer every Append by LogAppended. The ids of appends start at
//      Owner::nextAppend; no other writer in the process may use them.
//   2. Exit and restart with a new incarnation when ownerMustRestart returns true.
// The owner appends the agent's Announce record itself. It appends the record again before the
// log's retention ends, and when the incarnation was recorded as lost while it is still running.
//
// Verdicts in KeyReply: NotRun is sent only in the last reply to a watcher, after the release of
// the key was read back from the log. An Unknown key in any other reply has the verdict MayHaveRun,
// because the replying process may have lost the range without having read so in the log. The
// caller may start a new attempt in either case, because a grant needs a record read back from the
// log or a target that refuses older epochs.
//
// Rules for the target's agent; at-most-once execution depends on them:
//   - It runs an attempt only after a BeginReply with `granted` for an attempt that waits for it.
//     To a grant for an abandoned or unknown attempt it replies with Settle NotRun.
//   - After a Witness of epoch e it accepts no grant of that range with an epoch below e, and sends
//     its Begin and Settle messages to the owner that the Witness names.
//   - Its WitnessReply lists every key of the range that was granted to this incarnation and whose
//     Settle is not acknowledged. It repeats a Settle until it receives SettleAck. It may send
//     Settle NotRun for a Begin that received no reply.

#include "flamingo/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace flamingo {

constexpr std::string_view claimsStream = "claims";
constexpr std::uint32_t rangesPerRegion = 16;

// The range of a key, below rangesPerRegion. The hash is part of the protocol.
std::uint32_t rangeOf(std::string_view key);

// ---- State that every process replays from the claims stream ----

struct RangeOwner
{
    std::string agent; // empty: no owner yet
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0; // of the Epoch record
    std::uint64_t incarnation = 0; // of the owner's process
    std::uint64_t sequence = 0; // sequence of the owner's last record in this epoch
    // False when the replay of a trimmed log could not verify the epoch. A record of the same epoch
    // whose writer is not `agent` then replaces the owner.
    bool epochConfirmed = true;

    // The last epoch whose owner wrote a Clean record, and that owner. Only owners with a Clean
    // record may grant from memory, that is before the claim is in the log. After a gap in a
    // trimmed log this is the epoch before the one that was read, with an empty cleanOwner.
    std::uint64_t cleanEpoch = 0;
    std::string cleanOwner;
    std::uint64_t cleanIncarnation = 0;
    std::uint64_t cleanSeen = 0; // that owner had applied every record below this offset
    std::uint64_t cleanSequence = 0; // sequence of its last record; set once a newer epoch began
};

// Value of RangeOwner::cleanSeen after the handover by an owner that lost the range and still runs.
constexpr std::uint64_t seenAfterHandover = UINT64_MAX;

struct Incarnation
{
    std::string region;
    std::uint64_t incarnation = 0;
    std::uint64_t announcedAt = 0; // offset of the Announce record
    bool lost = false; // a Lost record names it
    std::uint64_t lostAt = 0; // offset of the Lost record
};

// An incarnation that ended: a Lost record names it, or a newer incarnation was announced. It is
// removed when the last Clean record of each range of the region has `seen` above lostAt, or when
// the incarnation is announced again.
struct LostIncarnation
{
    std::string region;
    std::string agent;
    std::uint64_t incarnation = 0;
    std::uint64_t lostAt = 0; // offset of the record that ended it
};

constexpr std::size_t maxLostIncarnations = 20000; // enough for six days of failures and restarts

struct RangeMap
{
    std::uint64_t nextOffset = 0; // offset of the first line not applied yet
    std::map<std::pair<std::string, std::uint32_t>, RangeOwner> owners; // by region and range
    std::map<std::string, Incarnation, std::less<>> agents; // newest incarnation of each agent
    std::deque<LostIncarnation> lost; // at most maxLostIncarnations
    // `lostAt` + 1 of the newest incarnation that was dropped from `lost` at maxLostIncarnations.
    std::uint64_t droppedLostEnd = 0;
    bool trimmed = false; // the replay began after the first record of the stream
    std::uint64_t malformed = 0; // lines that are not valid records
    std::uint64_t voided = 0; // records that had no effect at their position in the log
};

// Applies the lines of `read` that `map` has not applied yet; ignores other streams. Returns the
// lines that are no valid records, which have no effect.
std::vector<IgnoredRecord> applyClaims(RangeMap &map, const LogRead &read);

// Returns the present owner of the range. `agent` is empty when the range has no owner, or when a
// newer incarnation of the owner's agent was announced.
RangeOwner ownerOf(const RangeMap &map, std::string_view region, std::uint32_t range);

std::string announceLine(std::string_view agent, std::string_view region,
                         std::uint64_t incarnation);
std::string lostLine(std::string_view agent, std::uint64_t incarnation);

// Incarnation 0 means the incarnation of `owner` that is announced at the record's position.
std::string epochLine(std::string_view region, std::uint32_t range, std::uint64_t epoch,
                      std::string_view owner, std::uint64_t incarnation = 0);

// ---- Takeovers, proposed by entries ----

struct TakeoverOptions
{
    TimeMs contactTimeoutMs = 10000; // an owner without contact for this long is replaced
    std::set<std::string, std::less<>> drainingAgents; // replaced as owners, but not lost
    // Each entry delays a proposal by a random part of this time, so that in most cases only one
    // entry appends it.
    TimeMs jitterMs = 2000;
    TimeMs repeatMs = 5000; // a line that had no effect is proposed again after this time
    // Each entry proposes at most one move of a range off an overloaded owner in this time.
    TimeMs rebalanceMs = 60000;
};

// Times of the next proposals of one entry, which keeps them between calls of proposeTakeovers.
struct TakeoverTimers
{
    std::map<std::uint32_t, TimeMs> epochProposalDue; // by range; ranges that need an owner
    std::map<std::string, TimeMs, std::less<>> lostProposalDue; // by unreachable agent
    // Time of the first call. It counts as the last contact of agents that have not reported since.
    TimeMs firstCallAt = -1;
    TimeMs rebalanceDue = 0;
};

// Returns the lines to append to `claims` now: Lost records for announced agents of `region` that
// are unreachable, and Epoch records for ranges of `region` whose owner is missing, replaced,
// unreachable or draining, or owns too many ranges. `lastContact` gives the time of the last
// message of each agent to any entry. An agent is live when it is in `lastContact`, reachable, not
// draining and not lost. The new owner is the agent with the highest hash of range and name, of the
// live agents that own less than their share of the ranges.
std::vector<std::string>
proposeTakeovers(const RangeMap &map, std::string_view region,
                 const std::map<std::string, TimeMs, std::less<>> &lastContact,
                 const TakeoverOptions &options, TimeMs now, TakeoverTimers &timers,
                 Random &random);

// ---- Records of the claims stream ----

enum class RecordKind { Epoch, Claim, Settled, Clean, Announce, Lost };

// One parsed line. `agent` and `incarnation` name the target in Claim and Settled, and the agent
// process in Announce and Lost.
struct ClaimsRecord
{
    RecordKind kind = RecordKind::Clean;
    std::string region;
    std::uint32_t range = 0;
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t sequence = 0; // per range and epoch, from 1
    std::string key;
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string attempt;
    Verdict verdict = Verdict::NotRun; // only in Settled, as are reason and answer
    Reason reason;
    std::string answer;
    std::uint64_t answerBytes = 0; // Settled: size of an answer that was too large for the log
    // Clean: the writer had applied every record below this offset. seenAfterHandover: the writer
    // lost the range and grants nothing more in this epoch.
    std::uint64_t seen = 0;
    TimeMs ageMs = 0; // Settled: time since the key reached this state, 0 when first appended
};

// An owner may drop records before their append, so a sequence may exceed the number of lines
// before it, but not by more than this.
constexpr std::uint64_t maxSequenceLead = 1ULL << 32U;
constexpr TimeMs maxRecordAgeMs = 3650LL * 24 * 3600 * 1000;

// Parses a line at its offset. Returns nullopt, with a reason, when it is no record of this stream,
// or has a number that no writer can have reached: one line raises an epoch by at most 1, an owner
// has applied (`seen`) lines before its record only, and incarnations are times.
std::optional<ClaimsRecord> parseClaimsRecord(std::string_view line, std::uint64_t offset,
                                              Reason &reason);
// For a line whose offset is not known; it is taken for maxLogOffset.
std::optional<ClaimsRecord> parseClaimsRecord(std::string_view line);
std::string claimsLine(const ClaimsRecord &record);

// Moves the read position of `map` past the line and parses it. Returns nullopt for a line that was
// applied before, and, with a reason, for a line that is no valid record.
std::optional<ClaimsRecord> nextClaimsRecord(RangeMap &map, const wire::LogLineT &line,
                                             Reason &reason);

enum class RecordValidity {
    Valid,
    // Written by the last owner that may have granted from memory, after it lost the range.
    Late,
    Void, // has no effect
};

// Applies one record at its offset, below maxLogOffset, and returns whether it is valid there.
RecordValidity applyRecord(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset);

// ---- The owner, part of every agent process ----

struct OwnerOptions
{
    std::string self;
    std::string region;
    std::uint64_t incarnation = 0;
    // Memory mode (see owner.cc) starts when records wait to be read back from the log and none was
    // read back for this time.
    TimeMs memoryModeAfterMs = 2000;
    // Shortest time between Clean records of a range. One is written after incarnations were lost.
    TimeMs cleanIntervalMs = 1000;
    std::size_t maxKeys = 100000; // further keys are refused
    TimeMs finishedRetentionMs = 24LL * 3600 * 1000; // for keys in Finished and MayHaveRun
    // At most 16 ranges * 6 regions = 96 owners append; at one append per 500 ms each, the system
    // stays below 192 appends a second.
    TimeMs appendIntervalMs = 500;
    TimeMs appendTimeoutMs = 3000; // an append without a result is repeated after this time
    std::size_t maxAppendBytes = 262144; // size limit of one append; a single line may be larger
    std::size_t maxAnswerBytes = 4096; // larger answers are not stored in the log
    // Records of retained keys are appended again after this time; must be below the log's
    // retention less its longest outage.
    TimeMs refreshMs = 6LL * 3600 * 1000;
    TimeMs releasedRetentionMs = 60000; // a Begin of a released attempt is refused for this long
    // A grant is sent again while the attempt is not settled, because the grant may have been lost
    // or the target may have abandoned the attempt before a late grant arrived. The target then
    // replies with Settle NotRun.
    TimeMs grantRepeatMs = 30000;
    TimeMs witnessRepeatMs = 1000; // an unanswered Witness is sent again after this time
    std::size_t maxWitnessesPerTick = 512; // Witness messages sent per tick
    TimeMs pauseThresholdMs = 1000; // a longer gap between events counts as a pause of the process
    TimeMs sweepIntervalMs = 10000; // interval of searches for expired keys and records to refresh
    std::size_t maxWatchers = 10000; // beyond this a KeyQuery gets one reply only
};

enum class KeyPhase {
    Claiming, // the Claim record is queued or appended but not read back; not granted
    Granted, // granted, not settled
    Released, // settled as NotRun; a new attempt may be granted
    Finished, // settled as Ran
    MayHaveRun, // the target was lost before it settled the key, or settled it as MayHaveRun
};

struct OwnedKey
{
    std::uint32_t range = 0;
    KeyPhase phase = KeyPhase::Claiming;
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string attempt;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason;
    std::string answer;
    std::uint64_t answerBytes = 0; // size of an answer that was too large for the log
    std::uint64_t grantEpoch = 0; // newest epoch in which this process sent a grant for the attempt
    std::uint64_t settledSequence = 0; // sequence of the Settled record not read back; 0: none
    std::uint64_t queuedSequence = 0; // sequence of the newest record not read back; 0: none
    std::uint64_t logEpoch = 0; // epoch of the key's last valid record in the log
    TimeMs grantSentAt = 0;
    TimeMs changedAt = 0;
    TimeMs loggedAt = 0; // last time a record of the key was read or queued
};

using KeyMap = std::unordered_map<std::string, OwnedKey>;

// A target that receives SettleAck when the Settled record of the key is read back.
struct SettleWaiter
{
    std::string agent;
    std::string attempt;
};

// A range that this process owns.
struct OwnedRange
{
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0; // of the Epoch record
    std::uint64_t nextSequence = 1;
    bool complete = false; // the takeover is complete: unknown keys may be granted
    bool cleanRead = false; // a Clean record of this epoch was read back: memory mode is allowed
    bool cleanQueued = false; // the newest Clean record is not read back yet
    std::uint64_t cleanSeen = 0; // `seen` of the newest queued Clean record
    TimeMs cleanQueuedAt = 0;
    TimeMs ownedSince = 0;
    // Time of the next Witness, by incarnation that has not replied.
    std::map<std::pair<std::string, std::uint64_t>, TimeMs> unansweredWitnesses;
    // Incarnations that may have run keys without a record in the log. The takeover is complete
    // when each of them has replied to the Witness, when a former owner's handover was read, or
    // after finishedRetentionMs. The incarnation of RangeOwner::cleanOwner is also removed when it
    // ends.
    std::set<std::pair<std::string, std::uint64_t>> blockingIncarnations;
    // Keys that were unsettled at the takeover, by the incarnation of their target.
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::string>> inheritedKeys;
    // First sequence queued after the last pause of the process. When a record with this sequence
    // or a later one is read back, no newer epoch began during the pause.
    std::uint64_t trustedSequence = 0;
};

struct QueuedLine
{
    std::uint32_t range = 0;
    std::uint64_t epoch = 0; // 0 in an Announce record
    std::uint64_t sequence = 0;
    std::string text;
};

struct Owner
{
    OwnerOptions options;
    RangeMap map;
    KeyMap keys; // of all ranges of the region
    // The last state read from the log, for keys of owned ranges that have records not read back.
    // It replaces the state in `keys` when the range is lost.
    KeyMap loggedKeys;
    std::map<std::uint32_t, OwnedRange> ranges;
    // Records with RecordValidity::Late, by range and key: the newest of each key. The records of a
    // range are applied together, after the Clean record that ends the handover was read.
    std::map<std::uint32_t, std::map<std::string, ClaimsRecord, std::less<>>> lateRecords;
    std::set<std::uint32_t> replayIncomplete; // ranges with keys or late records dropped at maxKeys
    std::map<std::string, std::set<std::string>, std::less<>> watchers; // process names by key
    std::size_t watcherCount = 0;
    std::map<std::string, std::vector<SettleWaiter>, std::less<>> settleWaiters; // by key

    // Lines not read back yet, in log order: first the `acknowledgedLines` lines whose append was
    // acknowledged, then the `linesInFlight` lines of the pending append, then lines not appended
    // yet.
    std::deque<QueuedLine> queue;
    std::size_t acknowledgedLines = 0;
    std::size_t linesInFlight = 0;
    bool appendPending = false; // append `nextAppend - 1` has no result yet
    std::uint64_t nextAppend = 1;
    TimeMs lastAppendAt = -1000000;
    TimeMs announcedAt = -1; // when the Announce record was last queued
    // When a line was last read back, or the first one queued; -1: no line waits to be read back.
    TimeMs readBackPendingSince = -1;
    TimeMs lastEventAt = -1;
    TimeMs lastSweepAt = 0;
    bool memoryMode = false; // keys may be granted before their record is in the log, see owner.cc
    bool mustRestart = false;

    struct Counters
    {
        std::uint64_t grants = 0; // grants after the Claim record was read back
        std::uint64_t memoryGrants = 0;
        std::uint64_t denials = 0;
        std::uint64_t appends = 0;
        std::uint64_t takeovers = 0; // takeovers that this process began
        std::uint64_t completed = 0; // takeovers that became complete
        std::uint64_t fenced = 0; // ranges that this process ceased to own
        std::uint64_t handovers = 0;
        std::uint64_t pauses = 0;
    } counters;
};

using OwnerEvent = std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, Tick>;

Owner makeOwner(const OwnerOptions &options);

// Handles Begin, Settle, KeyQuery and WitnessReply messages, lines of the claims stream, results of
// the owner's appends, PeerDown and Tick; ignores other messages. Adds replies and log appends to
// `out`.
void handleOwner(Owner &owner, const OwnerEvent &event, TimeMs now, Random &random, Outbox &out);

// True when this process can no longer own ranges: the log trimmed records that the process had not
// read, or a newer incarnation of the agent was announced. The daemon then exits and restarts.
bool ownerMustRestart(const Owner &owner);

// Returns the whole state as JSON, for operators.
std::string dumpOwner(const Owner &owner, TimeMs now);

} // namespace flamingo

#endif
