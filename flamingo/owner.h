#ifndef FLAMINGO_OWNER_H
#define FLAMINGO_OWNER_H

// At-most-once execution: the owner of a key range grants each key to one attempt of one agent.
// docs/design.md, section 6.4, gives the protocol.

#include "flamingo/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

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
};

struct Incarnation
{
    std::string region;
    std::uint64_t incarnation = 0;
    std::uint64_t announcedAt = 0; // offset of the Announce record
    bool lost = false;
    std::uint64_t lostAt = 0;
};

struct RangeMap
{
    std::uint64_t nextOffset = 0;
    std::map<std::pair<std::string, std::uint32_t>, RangeOwner> owners; // by region and range
    std::map<std::string, Incarnation, std::less<>> agents; // newest of each agent
};

void foldRanges(RangeMap &map, const LogRead &read);
RangeOwner ownerOf(const RangeMap &map, std::string_view region, std::uint32_t range);

std::string announceLine(std::string_view agent, std::string_view region,
                         std::uint64_t incarnation);
std::string lostLine(std::string_view agent, std::uint64_t incarnation);
std::string epochLine(std::string_view region, std::uint32_t range, std::uint64_t epoch,
                      std::string_view owner);

// ---- The owner, part of every agent process ----

struct OwnerOptions
{
    std::string self;
    std::string region;
    std::uint64_t incarnation = 0;
    TimeMs memoryModeAfterMs = 2000; // without an acknowledged append while one is waiting
    TimeMs cleanIntervalMs = 5000;
    std::size_t maxKeys = 100000; // refuse further keys beyond this
    TimeMs finishedRetentionMs = 24LL * 3600 * 1000;
};

struct Owner;

using OwnerEvent = std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, Tick>;

Owner makeOwner(const OwnerOptions &options);

// Handles Begin, Settle, KeyQuery and WitnessReply messages, lines of the claims stream and results
// of its appends; ignores every other message.
void handleOwner(Owner &owner, const OwnerEvent &event, TimeMs now, Random &random, Outbox &out);

// The whole state as JSON for operators.
std::string dumpOwner(const Owner &owner, TimeMs now);

} // namespace flamingo

#endif
