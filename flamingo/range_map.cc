// The replay of the stream `claims`, and the proposals of takeovers by entries.
//
// Every process replays the stream in offset order. An Epoch record is valid only if its epoch is
// the current one + 1 at its position, so of several entries that append at the same time the first
// wins. A record of an owner is valid only if owner, incarnation and epoch are the current ones at
// its position and its sequence is above that of the last valid record, so a repeated append has no
// second effect.
//
// A replay that starts after the first record (`trimmed`) cannot follow the epochs from 0 on. It
// accepts any higher epoch that it reads, and an owner's record corrects an Epoch record of the
// same epoch that names another owner. Owners write a Clean record at least every refreshMs, so
// such a replay is correct after that time at the latest. A process that missed records in the
// middle of the stream owns no ranges until it restarts (ownerMustRestart).

#include "flamingo/owner.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace flamingo {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 6> kindNames = {"Epoch", "Claim",    "Settled",
                                                       "Clean", "Announce", "Lost"};

// FNV-1a with the finaliser of MurmurHash3; the result is part of the protocol.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0)
{
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

std::string serializeLine(const Json &json)
{
    return jsonText(json);
}

// Reads members of a JSON object. A missing member is empty or 0. A member of the wrong type or out
// of range is too, and it is named in `invalid`.
struct JsonMembers
{
    const Json &json;
    std::string invalid;

    std::string text(const char *name)
    {
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return {};
        if (!found->is_string()) {
            this->invalid = name;
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char *name, std::uint64_t max)
    {
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return 0;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
            this->invalid = name;
            return 0;
        }
        return found->get<std::uint64_t>();
    }
};

bool needsRange(RecordKind kind)
{
    return kind != RecordKind::Announce && kind != RecordKind::Lost;
}

bool hasRequiredFields(const ClaimsRecord &record)
{
    if (needsRange(record.kind) && (record.region.empty() || record.range >= rangesPerRegion))
        return false;
    switch (record.kind) {
    case RecordKind::Epoch:
        return record.epoch > 0;
    case RecordKind::Claim:
    case RecordKind::Settled:
        return record.sequence > 0 && !record.owner.empty() && !record.agent.empty();
    case RecordKind::Clean:
        return record.sequence > 0 && !record.owner.empty();
    case RecordKind::Announce:
        return !record.agent.empty() && !record.region.empty();
    case RecordKind::Lost:
        return !record.agent.empty();
    }
    return false;
}

// Removes the lost incarnations of the region with `lostAt` below the `seen` of the last Clean
// record of every range.
void pruneLostIncarnations(RangeMap &map, std::string_view region)
{
    std::uint64_t covered = map.nextOffset;
    for (const auto &[name, owner] : map.owners) {
        if (name.first != region || owner.cleanEpoch == 0)
            continue;
        covered = std::min(covered, owner.cleanSeen);
    }
    const auto firstRemoved =
        std::remove_if(map.lost.begin(), map.lost.end(), [&](const auto &lost) {
            return lost.region == region && lost.lostAt < covered;
        });
    map.lost.erase(firstRemoved, map.lost.end());
}

void addLostIncarnation(RangeMap &map, std::string_view agent, const Incarnation &ended,
                        std::uint64_t offset)
{
    map.lost.push_back({ended.region, std::string(agent), ended.incarnation, offset});
    if (map.lost.size() <= maxLostIncarnations)
        return;
    map.droppedLostEnd = std::max(map.droppedLostEnd, map.lost.front().lostAt + 1);
    map.lost.pop_front();
}

// applyAnnounce, applyLost, applyEpoch and applyLateRecord return true when the record is valid at
// its offset.
bool applyAnnounce(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset)
{
    const auto found = map.agents.find(record.agent);
    if (found == map.agents.end()) {
        map.agents[record.agent] = {record.region, record.incarnation, offset, false, 0};
        return true;
    }
    auto &known = found->second;
    if (record.incarnation < known.incarnation)
        return false;
    if (record.incarnation == known.incarnation) {
        if (!known.lost)
            return true;
        const auto firstRemoved =
            std::remove_if(map.lost.begin(), map.lost.end(), [&](const auto &lost) {
                return lost.agent == record.agent && lost.incarnation == record.incarnation;
            });
        map.lost.erase(firstRemoved, map.lost.end());
    } else if (!known.lost) {
        addLostIncarnation(map, record.agent, known, offset);
    }
    known = {record.region, record.incarnation, offset, false, 0};
    return true;
}

bool applyLost(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset)
{
    const auto found = map.agents.find(record.agent);
    if (found == map.agents.end() || found->second.incarnation != record.incarnation
        || found->second.lost)
        return false;
    found->second.lost = true;
    found->second.lostAt = offset;
    addLostIncarnation(map, record.agent, found->second, offset);
    return true;
}

// Sets a new epoch. When epochs before it are missing from a trimmed log, any key may have been
// granted from memory in them, so the clean* fields are set as for a former owner that granted from
// memory and had read of no lost incarnation.
void startEpoch(RangeMap &map, RangeOwner &range, const ClaimsRecord &record, std::uint64_t offset)
{
    const bool skipped = record.epoch != range.epoch + 1;
    if (range.cleanEpoch == range.epoch)
        range.cleanSequence = range.sequence;
    range.agent = record.owner;
    range.epoch = record.epoch;
    range.offset = offset;
    range.sequence = 0;
    range.incarnation = record.ownerIncarnation;
    if (range.incarnation == 0) {
        const auto found = map.agents.find(record.owner);
        range.incarnation = found == map.agents.end() ? 0 : found->second.incarnation;
    }
    if (!skipped)
        return;
    range.epochConfirmed = false;
    range.cleanEpoch = record.epoch - 1;
    range.cleanOwner.clear();
    range.cleanIncarnation = 0;
    range.cleanSeen = 0;
    range.cleanSequence = UINT64_MAX;
}

bool applyEpoch(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset)
{
    const auto name = std::make_pair(record.region, record.range);
    const auto found = map.owners.find(name);
    const std::uint64_t current = found == map.owners.end() ? 0 : found->second.epoch;
    const bool next = record.epoch == current + 1;
    if (!next && !(map.trimmed && record.epoch > current))
        return false;
    startEpoch(map, map.owners[name], record, offset);
    return true;
}

// Applies a record that an owner wrote after it lost the range; owner_takeover.cc describes these
// records.
bool applyLateRecord(RangeMap &map, RangeOwner &range, const ClaimsRecord &record)
{
    if (record.epoch != range.cleanEpoch || record.epoch >= range.epoch
        || record.owner != range.cleanOwner || record.ownerIncarnation != range.cleanIncarnation
        || record.sequence <= range.cleanSequence)
        return false;
    range.cleanSequence = record.sequence;
    if (record.kind == RecordKind::Clean && record.seen == seenAfterHandover) {
        range.cleanSeen = seenAfterHandover;
        pruneLostIncarnations(map, record.region);
    }
    return true;
}

RecordValidity applyOwnerRecord(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset)
{
    const auto name = std::make_pair(record.region, record.range);
    if (map.owners.find(name) == map.owners.end() && !map.trimmed)
        return RecordValidity::Void;
    auto &range = map.owners[name];
    const bool fromCurrentOwner = record.epoch == range.epoch && record.owner == range.agent
        && record.ownerIncarnation == range.incarnation;
    if (!fromCurrentOwner && applyLateRecord(map, range, record))
        return RecordValidity::Late;
    if (!fromCurrentOwner) {
        const bool corrects =
            record.epoch > range.epoch || (record.epoch == range.epoch && !range.epochConfirmed);
        if (!map.trimmed || !corrects)
            return RecordValidity::Void;
        range.epoch = 0;
        startEpoch(map, range, record, offset);
        range.cleanEpoch = record.epoch;
    }
    if (record.sequence <= range.sequence)
        return RecordValidity::Void;
    range.epochConfirmed = true;
    range.sequence = record.sequence;
    if (record.kind != RecordKind::Clean)
        return RecordValidity::Valid;
    range.cleanEpoch = record.epoch;
    range.cleanOwner = record.owner;
    range.cleanIncarnation = record.ownerIncarnation;
    range.cleanSeen = record.seen;
    pruneLostIncarnations(map, record.region);
    return RecordValidity::Valid;
}

RecordValidity toValidity(bool valid)
{
    return valid ? RecordValidity::Valid : RecordValidity::Void;
}

// ---- Proposals ----

struct RangeCounts
{
    std::map<std::string, std::uint32_t, std::less<>> ranges; // of each live agent
    std::uint32_t share = rangesPerRegion; // an agent with this many ranges takes over no more

    std::uint32_t ownedBy(std::string_view agent) const
    {
        const auto found = this->ranges.find(agent);
        return found == this->ranges.end() ? 0 : found->second;
    }
};

TimeMs lastContactAt(const std::map<std::string, TimeMs, std::less<>> &lastContact,
                     std::string_view agent, TimeMs firstCallAt)
{
    const auto found = lastContact.find(agent);
    return found == lastContact.end() ? firstCallAt : std::max(found->second, firstCallAt);
}

// Returns the live agent with the highest hash of range and name that owns less than its share;
// empty when there is none.
std::string chooseOwner(const RangeCounts &owned, std::string_view region, std::uint32_t range,
                        std::string_view excludedAgent)
{
    std::string best;
    std::uint64_t bestHash = 0;
    for (const auto &[agent, count] : owned.ranges) {
        if (count >= owned.share || agent == excludedAgent)
            continue;
        const auto hash = stableHash(agent, stableHash(region, range + 1));
        if (!best.empty() && hash <= bestHash)
            continue;
        best = agent;
        bestHash = hash;
    }
    return best;
}

TimeMs randomDelay(const TakeoverOptions &options, Random &random)
{
    return std::uniform_int_distribution<TimeMs>(0, std::max<TimeMs>(0, options.jitterMs))(random);
}

// True when the proposal is due. It becomes due a random delay after the first call for a name, and
// again repeatMs plus a random delay after each call that returned true.
template <typename Timers, typename Name>
bool isProposalDue(Timers &timers, const Name &name, const TakeoverOptions &options, TimeMs now,
                   Random &random)
{
    const auto found = timers.find(name);
    if (found == timers.end()) {
        timers[name] = now + randomDelay(options, random);
        return options.jitterMs == 0;
    }
    if (now < found->second)
        return false;
    found->second = now + options.repeatMs + randomDelay(options, random);
    return true;
}

} // namespace

std::uint32_t rangeOf(std::string_view key)
{
    return static_cast<std::uint32_t>(stableHash(key) % rangesPerRegion);
}

std::optional<ClaimsRecord> parseClaimsRecord(std::string_view line, std::uint64_t offset,
                                              Reason &reason)
{
    const auto refuse = [&reason](const std::string &text) {
        reason = {ReasonCode::InvalidInput, text};
        return std::nullopt;
    };
    const auto json = parseJson(line, reason);
    if (!json)
        return std::nullopt;
    if (!json->is_object())
        return refuse("not a JSON object");
    JsonMembers members{*json, {}};
    const auto *const kind = std::find(kindNames.begin(), kindNames.end(), members.text("type"));
    if (kind == kindNames.end())
        return refuse("unknown type");
    constexpr std::uint64_t anyNumber = UINT64_MAX;
    ClaimsRecord record;
    record.kind = static_cast<RecordKind>(kind - kindNames.begin());
    record.region = members.text("region");
    const auto range = members.number("range", rangesPerRegion - 1);
    record.epoch = members.number("epoch", offset + 1);
    record.owner = members.text("owner");
    record.ownerIncarnation = members.number("ownerIncarnation", maxIncarnation);
    record.sequence = members.number("sequence", offset + maxSequenceLead);
    record.key = members.text("key");
    record.agent = members.text("agent");
    record.incarnation = members.number("incarnation", maxIncarnation);
    record.attempt = members.text("attempt");
    const auto verdict = members.number("verdict", static_cast<std::uint64_t>(Verdict::MAX));
    const auto code = members.number("reason", static_cast<std::uint64_t>(ReasonCode::MAX));
    record.reason.text = members.text("detail");
    record.answer = members.text("answer");
    record.answerBytes = members.number("answerBytes", anyNumber);
    record.seen = members.number("seen", anyNumber);
    record.ageMs = static_cast<TimeMs>(members.number("ageMs", maxRecordAgeMs));
    if (record.seen > offset && record.seen != seenAfterHandover)
        members.invalid = "seen";
    if (!members.invalid.empty())
        return refuse("'" + members.invalid + "' has the wrong type or is out of range");
    record.range = static_cast<std::uint32_t>(range);
    record.verdict = static_cast<Verdict>(verdict);
    record.reason.code = static_cast<ReasonCode>(code);
    if (!hasRequiredFields(record))
        return refuse("a required field is missing");
    return record;
}

std::optional<ClaimsRecord> parseClaimsRecord(std::string_view line)
{
    Reason unused;
    return parseClaimsRecord(line, maxLogOffset, unused);
}

std::string claimsLine(const ClaimsRecord &record)
{
    Json json = {{"type", kindNames[static_cast<std::size_t>(record.kind)]}};
    if (!record.region.empty())
        json["region"] = record.region;
    if (needsRange(record.kind)) {
        json["range"] = record.range;
        json["epoch"] = record.epoch;
        json["owner"] = record.owner;
        json["ownerIncarnation"] = record.ownerIncarnation;
    }
    if (needsRange(record.kind) && record.kind != RecordKind::Epoch)
        json["sequence"] = record.sequence;
    if (record.kind == RecordKind::Clean)
        json["seen"] = record.seen;
    if (!record.agent.empty()) {
        json["agent"] = record.agent;
        json["incarnation"] = record.incarnation;
    }
    if (record.kind == RecordKind::Claim || record.kind == RecordKind::Settled) {
        json["key"] = record.key;
        json["attempt"] = record.attempt;
    }
    if (record.kind != RecordKind::Settled)
        return serializeLine(json);
    json["verdict"] = static_cast<unsigned>(record.verdict);
    json["reason"] = static_cast<unsigned>(record.reason.code);
    json["detail"] = record.reason.text;
    json["answer"] = record.answer;
    if (record.answerBytes > 0)
        json["answerBytes"] = record.answerBytes;
    if (record.ageMs > 0)
        json["ageMs"] = record.ageMs;
    return serializeLine(json);
}

RecordValidity applyRecord(RangeMap &map, const ClaimsRecord &record, std::uint64_t offset)
{
    switch (record.kind) {
    case RecordKind::Epoch:
        return toValidity(applyEpoch(map, record, offset));
    case RecordKind::Announce:
        return toValidity(applyAnnounce(map, record, offset));
    case RecordKind::Lost:
        return toValidity(applyLost(map, record, offset));
    case RecordKind::Claim:
    case RecordKind::Settled:
    case RecordKind::Clean:
        return applyOwnerRecord(map, record, offset);
    }
    return RecordValidity::Void;
}

std::vector<IgnoredRecord> applyClaims(RangeMap &map, const LogRead &read)
{
    std::vector<IgnoredRecord> ignored;
    if (read.stream != claimsStream)
        return ignored;
    map.trimmed = map.trimmed || read.trimmed;
    for (const auto &line : read.lines) {
        Reason reason;
        const auto record = nextClaimsRecord(map, line, reason);
        if (!record && reason.code != ReasonCode::None)
            ignored.push_back({read.stream, line.offset, reason});
        if (record && applyRecord(map, *record, line.offset) == RecordValidity::Void)
            ++map.voided;
    }
    if (read.next <= maxLogOffset)
        map.nextOffset = std::max(map.nextOffset, read.next);
    return ignored;
}

std::optional<ClaimsRecord> nextClaimsRecord(RangeMap &map, const wire::LogLineT &line,
                                             Reason &reason)
{
    reason = {};
    if (line.offset < map.nextOffset)
        return std::nullopt;
    if (line.offset >= maxLogOffset) {
        ++map.malformed;
        reason = {ReasonCode::InvalidInput, "the offset is out of range"};
        return std::nullopt;
    }
    map.nextOffset = line.offset + 1;
    auto record = parseClaimsRecord(line.text, line.offset, reason);
    if (!record)
        ++map.malformed;
    return record;
}

RangeOwner ownerOf(const RangeMap &map, std::string_view region, std::uint32_t range)
{
    const auto found = map.owners.find({std::string(region), range});
    if (found == map.owners.end())
        return {};
    auto owner = found->second;
    const auto agent = map.agents.find(owner.agent);
    if (agent != map.agents.end() && agent->second.incarnation > owner.incarnation)
        owner.agent.clear();
    return owner;
}

std::string announceLine(std::string_view agent, std::string_view region, std::uint64_t incarnation)
{
    ClaimsRecord record;
    record.kind = RecordKind::Announce;
    record.region = region;
    record.agent = agent;
    record.incarnation = incarnation;
    return claimsLine(record);
}

std::string lostLine(std::string_view agent, std::uint64_t incarnation)
{
    ClaimsRecord record;
    record.kind = RecordKind::Lost;
    record.agent = agent;
    record.incarnation = incarnation;
    return claimsLine(record);
}

std::string epochLine(std::string_view region, std::uint32_t range, std::uint64_t epoch,
                      std::string_view owner, std::uint64_t incarnation)
{
    ClaimsRecord record;
    record.kind = RecordKind::Epoch;
    record.region = region;
    record.range = range;
    record.epoch = epoch;
    record.owner = owner;
    record.ownerIncarnation = incarnation;
    return claimsLine(record);
}

std::vector<std::string>
proposeTakeovers(const RangeMap &map, std::string_view region,
                 const std::map<std::string, TimeMs, std::less<>> &lastContact,
                 const TakeoverOptions &options, TimeMs now, TakeoverTimers &timers, Random &random)
{
    if (timers.firstCallAt < 0) {
        timers.firstCallAt = now;
        timers.rebalanceDue = now + options.rebalanceMs;
    }
    std::vector<std::string> lines;
    RangeCounts owned;
    for (const auto &[name, agent] : map.agents) {
        if (agent.region != region)
            continue;
        const bool unreachable =
            now - lastContactAt(lastContact, name, timers.firstCallAt) > options.contactTimeoutMs;
        if (!unreachable && !agent.lost && lastContact.find(name) != lastContact.end()
            && options.drainingAgents.count(name) == 0)
            owned.ranges[name] = 0;
        if (!unreachable || agent.lost) {
            timers.lostProposalDue.erase(name);
            continue;
        }
        if (isProposalDue(timers.lostProposalDue, name, options, now, random))
            lines.push_back(lostLine(name, agent.incarnation));
    }
    if (owned.ranges.empty())
        return lines;
    const auto live = static_cast<std::uint32_t>(owned.ranges.size());
    owned.share = (rangesPerRegion + live - 1) / live;
    std::array<RangeOwner, rangesPerRegion> owners;
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range) {
        owners[range] = ownerOf(map, region, range);
        const auto found = owned.ranges.find(owners[range].agent);
        if (found != owned.ranges.end())
            ++found->second;
    }
    const auto propose = [&](std::uint32_t range, std::string_view excludedAgent) {
        const auto agent = chooseOwner(owned, region, range, excludedAgent);
        if (agent.empty())
            return false;
        ++owned.ranges[agent];
        lines.push_back(epochLine(region, range, owners[range].epoch + 1, agent,
                                  map.agents.find(agent)->second.incarnation));
        return true;
    };
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range) {
        const auto &agent = owners[range].agent;
        const auto known = map.agents.find(agent);
        const bool missing = agent.empty() || known == map.agents.end() || known->second.lost
            || options.drainingAgents.count(agent) > 0
            || now - lastContactAt(lastContact, agent, timers.firstCallAt)
                > options.contactTimeoutMs;
        if (!missing) {
            timers.epochProposalDue.erase(range);
            continue;
        }
        if (isProposalDue(timers.epochProposalDue, range, options, now, random))
            propose(range, agent);
    }
    if (now < timers.rebalanceDue)
        return lines;
    timers.rebalanceDue = now + options.rebalanceMs + 4 * randomDelay(options, random);
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range) {
        const auto &agent = owners[range].agent;
        if (owned.ownedBy(agent) <= owned.share + 1 || !propose(range, agent))
            continue;
        break;
    }
    return lines;
}

} // namespace flamingo
