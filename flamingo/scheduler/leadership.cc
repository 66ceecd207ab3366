// The time without contact from a leader counts only while the log can be read: no leader can be
// seen during an outage of the log, and all entries would campaign at once when the outage ends.

#include "flamingo/scheduler/leadership.h"

#include <algorithm>

namespace flamingo::scheduler {
namespace {

// Number of low bits of an epoch that are random; the bits above them are the term, which counts
// campaigns. Every JSON reader keeps integers up to 2^53 exactly. A worker's fencing token is an
// epoch followed by 18 more bits (tokensPerEpoch in scheduler.cc), which leaves 19 bits for terms.
constexpr int randomBits = 16;

// Time by which a slow log delays a record of the leader: its append and the read.
TimeMs answerDelayMs(const Leadership &leadership)
{
    return static_cast<TimeMs>(leadership.options.answerTimeFactor
                               * double(leadership.slowestAnswerMs));
}

// Delay that puts the campaigns of the entries in an order.
TimeMs orderingDelayMs(const Leadership &leadership)
{
    const LeadershipOptions &options = leadership.options;
    const double leaderShare =
        leadership.leaderShare > 0 ? leadership.leaderShare : options.fullLeaderShare;
    const TimeMs capacityDelay =
        options.processorShare < leaderShare ? options.smallEntryDelayMs : 0;
    const double randomDelay =
        std::max(double(options.randomDelayMs),
                 options.randomDelayPerAnswer * double(leadership.slowestAnswerMs));
    return capacityDelay + static_cast<TimeMs>(leadership.randomShare * randomDelay);
}

} // namespace

void recordLeaderContact(Leadership &leadership, std::uint64_t epoch, bool resigned, TimeMs now)
{
    // Time in which this entry could not read the log is not the leader's.
    const bool continued = epoch == leadership.leaderEpoch && leadership.leaderActive
        && leadership.readableSince != 0
        && leadership.readableSince <= leadership.lastLeaderContact;
    if (epoch != leadership.leaderEpoch)
        leadership.heartbeatGaps.slowestMs = 0;
    if (continued)
        recordAnswerTime(leadership.heartbeatGaps, now - leadership.lastLeaderContact, now);
    leadership.leaderEpoch = epoch;
    leadership.leaderActive = !resigned;
    leadership.leaderEverSeen = true;
    leadership.lastLeaderContact = now;
}

void recordCandidate(Leadership &leadership, TimeMs now)
{
    leadership.candidateSeenAt = now;
}

void recordLogRead(Leadership &leadership, bool succeeded, TimeMs now)
{
    if (!succeeded)
        leadership.readableSince = 0;
    else if (leadership.readableSince == 0)
        leadership.readableSince = now;
}

void recordUnreachableReport(Leadership &leadership, const std::string &host, std::uint64_t epoch,
                             TimeMs now)
{
    leadership.unreachableReports[host] = {epoch, now};
}

void evaluateUnreachableReports(Leadership &leadership, std::uint64_t epoch,
                                std::uint32_t reportingToLeader, TimeMs now)
{
    std::uint32_t recentReports = 0;
    auto &reports = leadership.unreachableReports;
    for (auto item = reports.begin(); item != reports.end();) {
        const UnreachableReport &report = item->second;
        if (now - report.receivedAt > leadership.options.unreachableReportMaxAgeMs) {
            item = reports.erase(item);
            continue;
        }
        recentReports += report.epoch == epoch ? 1 : 0;
        ++item;
    }
    if (recentReports <= reportingToLeader)
        leadership.unreachableSince = 0;
    else if (leadership.unreachableSince == 0)
        leadership.unreachableSince = now;
}

bool shouldCampaign(const Leadership &leadership, TimeMs now)
{
    if (leadership.readableSince == 0)
        return false;
    const LeadershipOptions &options = leadership.options;
    const TimeMs candidateTimeoutMs = options.candidateTimeoutMs + 2 * answerDelayMs(leadership);
    if (leadership.candidateSeenAt != 0 && now - leadership.candidateSeenAt < candidateTimeoutMs)
        return false;
    if (leadership.unreachableSince != 0
        && now - leadership.unreachableSince
            >= options.unreachableTimeoutMs + orderingDelayMs(leadership))
        return true;
    const TimeMs noLeaderSince = std::max(leadership.lastLeaderContact, leadership.readableSince);
    return now - noLeaderSince >= campaignDelayMs(leadership, now);
}

TimeMs campaignDelayMs(const Leadership &leadership, TimeMs now)
{
    const LeadershipOptions &options = leadership.options;
    const auto gapTimeout = static_cast<TimeMs>(
        options.heartbeatGapFactor
        * double(slowestRecentAnswerMs(leadership.heartbeatGaps,
                                       std::min(now, leadership.lastLeaderContact))));
    TimeMs timeout = std::max(options.leaderTimeoutMs + answerDelayMs(leadership), gapTimeout);
    if (!leadership.leaderEverSeen)
        timeout = options.firstLeaderTimeoutMs;
    else if (!leadership.leaderActive)
        timeout = 0;
    const auto distanceDelay =
        std::min(static_cast<TimeMs>(double(leadership.roundTripMs) * options.delayPerRoundTrip),
                 options.maxRoundTripDelayMs);
    return timeout + distanceDelay + orderingDelayMs(leadership);
}

std::uint64_t nextEpoch(std::uint64_t last, Random &random)
{
    const std::uint64_t term = (last >> randomBits) + 1;
    return (term << randomBits) | (random() & ((std::uint64_t(1) << randomBits) - 1));
}

void drawCampaignDelay(Leadership &leadership, Random &random)
{
    constexpr std::uint64_t steps = 1 << 16;
    leadership.randomShare = double(random() % steps) / double(steps);
}

} // namespace flamingo::scheduler
