#ifndef FLAMINGO_OWNER_H
#define FLAMINGO_OWNER_H

// At-most-once execution: the owner of a key range grants each key to one attempt of one agent.
// docs/design.md, section 6.4, gives the protocol. range_map.cc holds the fold of the stream
// `claims` and the proposals of entries, owner.cc the owner.
//
// Use in an entry:
//   1. Feed every LogRead of `claims` to applyClaims; ask ownerOf where to send a key.
//   2. Call proposeTakeovers about once a second while the log is reachable and append the lines it
//      returns to `claims`. A lost or repeated append is harmless.
//
// Use in an agent process:
//   1. makeOwner, then read `claims` from offset 0 (the service moves it to the oldest retained
//      line) and pass every LogRead, LogAppended, PeerMessage, PeerUp, PeerDown and Tick on. Every
//      Append must be answered by LogAppended; its id starts at Owner::nextAppend, which no other
//      writer in the process uses.
//   2. Exit and start again with a new incarnation when ownerMustRestart.
// The owner appends the agent's Announce record itself, repeats it before the log's retention ends,
// and repeats it when the incarnation was recorded as lost although it lives.
//
// Verdicts in KeyReply: NotRun is sent only with the last reply to a watcher, when the release of
// the key was read back from the log. An Unknown key in any other reply has the verdict MayHaveRun,
// because the answering process may have lost the range without knowing; a new attempt may be
// tried, since only the log or a fenced target can grant it.
//
// Rules for the target's agent, on which at-most-once rests:
//   - It runs an attempt only on a BeginReply with `granted` for an attempt that waits for it.
//     It answers a grant for an attempt that it gave up or does not know with Settle NotRun.
//   - After a Witness of epoch e it accepts no grant of that range with an epoch below e, and sends
//     its Begin and Settle messages to the owner named there.
//   - WitnessReply lists every key of the range that was granted to this incarnation and whose
//     Settle is not acknowledged. It sends Settle until SettleAck. It may send Settle NotRun for a
//     Begin that was not answered.

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

std::uint32_t rangeOf(std::string_view key);

// ---- What every process folds from the claims stream ----

struct RangeOwner
{
    std::string agent; // empty: no owner yet
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0; // of the Epoch record
    std::uint64_t incarnation = 0; // of the owner's process
    std::uint64_t sequence = 0; // of the owner's last record in this epoch
    bool epochConfirmed =
        true; // false: the records before the first retained one could tell otherwise

    // The last epoch whose owner wrote a Clean record; only such owners may grant from memory.
    std::uint64_t cleanEpoch = 0;
    std::string cleanOwner;
    std::uint64_t cleanIncarnation = 0;
    std::uint64_t cleanSeen = 0; // the owner had folded every record below this offset
    std::uint64_t cleanSequence = 0; // of that owner's last record, once a newer epoch began
};

// RangeOwner::cleanSeen after the handover of an owner that lost the range and lives.
constexpr std::uint64_t seenAfterHandover = UINT64_MAX;

struct Incarnation
{
    std::string region;
    std::uint64_t incarnation = 0;
    std::uint64_t announcedAt = 0; // offset of the Announce record
    bool lost = false;
    std::uint64_t lostAt = 0;
};

// An incarnation that ended (Lost record, or a newer incarnation was announced). Forgotten when
// every range of the region has a Clean record that covers it.
struct LostIncarnation
{
    std::string region;
    std::string agent;
    std::uint64_t incarnation = 0;
    std::uint64_t lostAt = 0;
};

constexpr std::size_t maxLostIncarnations = 20000; // six days of hosts that fail or restart

struct RangeMap
{
    std::uint64_t nextOffset = 0;
    std::map<std::pair<std::string, std::uint32_t>, RangeOwner> owners; // by region and range
    std::map<std::string, Incarnation, std::less<>> agents; // newest of each agent
    std::deque<LostIncarnation> lost; // at most maxLostIncarnations
    std::uint64_t droppedLostEnd = 0; // offset after the newest record dropped from `lost`
    bool trimmed = false; // the fold began after the first record of the stream
    std::uint64_t malformed = 0; // lines that are no record
    std::uint64_t voided = 0; // records that did not count at their position
};

void applyClaims(RangeMap &map, const LogRead &read);

// The agent is empty when the range has no owner or the owner's process was replaced.
RangeOwner ownerOf(const RangeMap &map, std::string_view region, std::uint32_t range);

std::string announceLine(std::string_view agent, std::string_view region,
                         std::uint64_t incarnation);
std::string lostLine(std::string_view agent, std::uint64_t incarnation);

// Incarnation 0 stands for the newest announced one at the record's position.
std::string epochLine(std::string_view region, std::uint32_t range, std::uint64_t epoch,
                      std::string_view owner, std::uint64_t incarnation = 0);

// ---- Takeovers, proposed by entries ----

struct TakeoverOptions
{
    TimeMs contactTimeoutMs = 10000; // an agent not heard of for so long is replaced as an owner
    TimeMs jitterMs = 2000; // entries wait a random part of it, so that mostly one of them appends
    TimeMs repeatMs = 5000; // a line that has had no effect is proposed again after it
    TimeMs rebalanceMs = 60000; // at most one range moves off an overloaded owner in this time
};

// When this entry last proposed what. One per entry, kept between the calls.
struct TakeoverTimers
{
    std::map<std::uint32_t, TimeMs> epochProposalDue; // ranges in need of an owner
    std::map<std::string, TimeMs, std::less<>> lostProposalDue; // silent agents
    TimeMs firstCallAt = -1; // agents never heard of count as heard at the first call
    TimeMs rebalanceDue = 0;
};

// Lines to append to `claims` now: Lost for announced agents of `region` that were silent, Epoch
// for ranges of `region` whose owner is missing, replaced or silent. `lastContact` gives the time
// of the last message of each agent, from whatever entry. The new owner is the live agent with the
// highest hash of range and name that owns less than its share of the ranges.
std::vector<std::string>
proposeTakeovers(const RangeMap &map, std::string_view region,
                 const std::map<std::string, TimeMs, std::less<>> &lastContact,
                 const TakeoverOptions &options, TimeMs now, TakeoverTimers &timers,
                 Random &random);

// ---- Records of the claims stream ----

enum class RecordKind { Epoch, Claim, Settled, Clean, Announce, Lost };

// One line, parsed. `agent` and `incarnation` name the target in Claim, Announce and Lost.
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
    Verdict verdict = Verdict::NotRun; // Settled
    Reason reason; // Settled
    std::string answer; // Settled
    std::uint64_t answerBytes = 0; // Settled: size of an answer that was too large for the log
    std::uint64_t seen =
        0; // Clean; seenAfterHandover: the writer grants nothing more in this epoch
    TimeMs ageMs = 0; // Settled: time since the key reached this state, when appended again
};

std::optional<ClaimsRecord> parseClaimsRecord(std::string_view line);
std::string claimsLine(const ClaimsRecord &record);

enum class RecordValidity {
    Valid,
    Late, // of the last owner that may have granted from memory, written after it lost the range
    Void,
};

// Folds one record at its offset.
RecordValidity applyRecord(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset);

// ---- The owner, part of every agent process ----

struct OwnerOptions
{
    std::string self;
    std::string region;
    std::uint64_t incarnation = 0;
    TimeMs memoryModeAfterMs = 2000; // without an acknowledged append while one is waiting
    TimeMs cleanIntervalMs = 1000; // between Clean records of a range, written after losses
    std::size_t maxKeys = 100000; // refuse further keys beyond this
    TimeMs finishedRetentionMs = 24LL * 3600 * 1000;
    // At most 16 ranges * 6 regions = 96 owners append; at one append per 500 ms each, the system
    // stays below 192 appends a second.
    TimeMs appendIntervalMs = 500;
    TimeMs appendTimeoutMs = 3000; // an append without any result is repeated after it
    std::size_t maxAppendBytes = 262144; // of one group commit, except for a single larger line
    std::size_t maxAnswerBytes = 4096; // larger answers are not stored in the log
    // Records of retained keys are appended again after this time; must be below the log's
    // retention less its longest outage.
    TimeMs refreshMs = 6LL * 3600 * 1000;
    TimeMs releasedRetentionMs = 60000; // a released attempt that asks again is refused so long
    // A grant is sent again while the attempt is not settled, because the target may have given up
    // before a late or lost grant; it then answers with Settle NotRun.
    TimeMs grantRepeatMs = 30000;
    TimeMs witnessRepeatMs = 1000;
    std::size_t maxWitnessesPerTick = 512; // Witness messages sent per tick
    TimeMs pauseThresholdMs = 1000; // a larger gap between events counts as a pause of the process
    TimeMs sweepIntervalMs = 10000; // between searches for expired and stale keys
    std::size_t maxWatchers = 10000;
};

enum class KeyPhase {
    Claiming, // claim queued or appended, not read back, not granted
    Granted, // granted, not settled
    Released, // settled NotRun; a new attempt may be granted
    Finished,
    MayHaveRun, // the target was lost before it settled
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
    std::uint64_t answerBytes = 0; // of an answer that the log did not keep
    std::uint64_t grantEpoch = 0; // newest epoch in which this process sent a grant for the attempt
    std::uint64_t settledSequence = 0; // of the queued Settled record, 0: none waits
    std::uint64_t queuedSequence = 0; // of the newest queued record of the key, 0: none waits
    std::uint64_t logEpoch = 0; // of the last valid record
    TimeMs grantSentAt = 0;
    TimeMs changedAt = 0;
    TimeMs loggedAt = 0; // last time a record of the key was read or queued
};

using KeyMap = std::unordered_map<std::string, OwnedKey>;

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
    bool complete = false; // the takeover: unknown keys may be granted
    bool cleanRead = false; // a Clean record of this epoch was read back: memory grants allowed
    bool cleanQueued = false; // a Clean record is queued
    std::uint64_t cleanSeen = 0; // of the newest Clean record queued
    TimeMs cleanQueuedAt = 0;
    TimeMs ownedSince = 0;
    std::map<std::pair<std::string, std::uint64_t>, TimeMs>
        unansweredWitnesses; // incarnation, next Witness
    std::set<std::pair<std::string, std::uint64_t>>
        blockingIncarnations; // completion waits for these
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::string>>
        inheritedKeys; // unsettled
    std::uint64_t trustedSequence = 0; // reading it back shows that no pause hid a newer epoch
};

struct QueuedLine
{
    std::uint32_t range = 0;
    std::uint64_t epoch = 0; // 0: Announce
    std::uint64_t sequence = 0;
    std::string text;
};

struct Owner
{
    OwnerOptions options;
    RangeMap map;
    KeyMap keys; // of all ranges of the region
    // What the log says of keys of owned ranges that have records not read back. It replaces the
    // state in `keys` when the range is lost.
    KeyMap loggedKeys;
    std::map<std::uint32_t, OwnedRange> ranges;
    // Late records, by range and key; they take effect together in the takeover that they complete.
    std::map<std::uint32_t, std::map<std::string, ClaimsRecord, std::less<>>> lateRecords;
    std::set<std::uint32_t> replayIncomplete; // ranges of which keys were dropped at maxKeys
    std::map<std::string, std::set<std::string>, std::less<>> watchers; // by key: processes
    std::size_t watcherCount = 0;
    std::map<std::string, std::vector<SettleWaiter>, std::less<>> settleWaiters; // by key

    // Lines not read back yet, in log order: `acknowledged` ones, then `linesInFlight`, then
    // waiting.
    std::deque<QueuedLine> queue;
    std::size_t acknowledgedLines = 0;
    std::size_t linesInFlight = 0;
    bool appendPending = false; // the append `nextAppend - 1` has no result yet
    std::uint64_t nextAppend = 1;
    TimeMs lastAppendAt = -1000000;
    TimeMs announcedAt = -1; // when the Announce record was last queued
    TimeMs readBackPendingSince = -1; // records wait to be read back since; -1: none
    TimeMs lastEventAt = -1;
    TimeMs lastSweepAt = 0;
    bool memoryMode = false;
    bool mustRestart = false;

    struct Counters
    {
        std::uint64_t grants = 0;
        std::uint64_t memoryGrants = 0;
        std::uint64_t denials = 0;
        std::uint64_t appends = 0;
        std::uint64_t takeovers = 0;
        std::uint64_t completed = 0;
        std::uint64_t fenced = 0;
        std::uint64_t handovers = 0;
        std::uint64_t pauses = 0;
    } counters;
};

using OwnerEvent = std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, Tick>;

Owner makeOwner(const OwnerOptions &options);

// Handles Begin, Settle, KeyQuery and WitnessReply messages, lines of the claims stream and results
// of its appends; ignores every other message.
void handleOwner(Owner &owner, const OwnerEvent &event, TimeMs now, Random &random, Outbox &out);

// True when this process can no longer own ranges: it missed records that the log trimmed, or a
// newer incarnation of the agent was announced. The daemon exits and starts anew.
bool ownerMustRestart(const Owner &owner);

// The whole state as JSON for operators.
std::string dumpOwner(const Owner &owner, TimeMs now);

} // namespace flamingo

#endif
