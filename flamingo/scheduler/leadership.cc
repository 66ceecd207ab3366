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

} // namespace

void recordLeaderContact(Leadership &leadership, bool resigned, TimeMs now)
{
    leadership.leaderActive = !resigned;
    leadership.leaderEverSeen = true;
    leadership.lastLeaderContact = now;
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
    if (epoch < leadership.unreachableEpoch)
        return;
    if (epoch > leadership.unreachableEpoch)
        leadership.unreachableReports.clear();
    leadership.unreachableEpoch = epoch;
    leadership.unreachableReports[host] = now;
}

void evaluateUnreachableReports(Leadership &leadership, std::uint64_t epoch,
                                std::uint32_t reportingToLeader, TimeMs now)
{
    std::uint32_t recentReports = 0;
    for (const auto &[host, reportedAt] : leadership.unreachableReports)
        recentReports += now - reportedAt <= leadership.options.unreachableReportMaxAgeMs ? 1 : 0;
    if (leadership.unreachableEpoch != epoch || recentReports <= reportingToLeader)
        leadership.unreachableSince = 0;
    else if (leadership.unreachableSince == 0)
        leadership.unreachableSince = now;
}

bool shouldCampaign(const Leadership &leadership, TimeMs now)
{
    if (leadership.readableSince == 0)
        return false;
    if (leadership.unreachableSince != 0
        && now - leadership.unreachableSince
            >= leadership.options.unreachableTimeoutMs + leadership.extraDelayMs)
        return true;
    const TimeMs noLeaderSince = std::max(leadership.lastLeaderContact, leadership.readableSince);
    // A slow log delays the leader's heartbeats by as much as its answers.
    TimeMs timeout = leadership.options.leaderTimeoutMs
        + static_cast<TimeMs>(leadership.options.answerTimeFactor
                              * double(leadership.slowestAnswerMs));
    if (!leadership.leaderEverSeen)
        timeout = leadership.options.firstLeaderTimeoutMs;
    else if (!leadership.leaderActive)
        timeout = 0;
    const auto distanceDelay = std::min(
        static_cast<TimeMs>(double(leadership.roundTripMs) * leadership.options.delayPerRoundTrip),
        leadership.options.maxRoundTripDelayMs);
    return now - noLeaderSince >= timeout + distanceDelay + leadership.extraDelayMs;
}

std::uint64_t nextEpoch(std::uint64_t last, Random &random)
{
    const std::uint64_t term = (last >> randomBits) + 1;
    return (term << randomBits) | (random() & ((std::uint64_t(1) << randomBits) - 1));
}

void drawCampaignDelay(Leadership &leadership, Random &random)
{
    leadership.extraDelayMs = static_cast<TimeMs>(
        random() % static_cast<std::uint64_t>(leadership.options.randomDelayMs + 1));
}

} // namespace flamingo::scheduler
