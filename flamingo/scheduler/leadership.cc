// Silence is counted only while the log can be read: during an outage of the log every leader is
// silent, and when it ends all entries would campaign at once.

#include "flamingo/scheduler/leadership.h"

#include <algorithm>

namespace flamingo::scheduler {
namespace {

// An epoch is a term and a random part. 2^53 is the largest integer that every JSON reader keeps;
// fencing tokens of workers need another 18 bits, which leaves 19 for terms.
constexpr int randomBits = 16;

} // namespace

void noteLeaderSign(Leadership &leadership, bool resigned, TimeMs now)
{
    leadership.leaderKnown = !resigned;
    leadership.leaderEverSeen = true;
    leadership.lastSign = now;
}

void noteRead(Leadership &leadership, bool succeeded, TimeMs now)
{
    if (!succeeded)
        leadership.readableSince = 0;
    else if (leadership.readableSince == 0)
        leadership.readableSince = now;
}

void noteComplaint(Leadership &leadership, const std::string &host, std::uint64_t epoch, TimeMs now)
{
    if (epoch < leadership.complainedEpoch)
        return;
    if (epoch > leadership.complainedEpoch)
        leadership.complaints.clear();
    leadership.complainedEpoch = epoch;
    leadership.complaints[host] = now;
}

void weighComplaints(Leadership &leadership, std::uint64_t epoch, std::uint32_t leadersHosts,
                     TimeMs now)
{
    std::uint32_t fresh = 0;
    for (const auto &[host, at] : leadership.complaints)
        fresh += now - at <= leadership.options.complaintAgeMs ? 1 : 0;
    if (leadership.complainedEpoch != epoch || fresh <= leadersHosts)
        leadership.complaintsSince = 0;
    else if (leadership.complaintsSince == 0)
        leadership.complaintsSince = now;
}

bool shouldCampaign(const Leadership &leadership, TimeMs now)
{
    if (leadership.readableSince == 0)
        return false;
    if (leadership.complaintsSince != 0
        && now - leadership.complaintsSince
            >= leadership.options.complaintMs + leadership.extraDelayMs)
        return true;
    const TimeMs begin = std::max(leadership.lastSign, leadership.readableSince);
    // The signs of life of a leader at a slow log are as late as the log's answers.
    TimeMs silence = leadership.options.silenceMs
        + static_cast<TimeMs>(leadership.options.silencePerAnswer * double(leadership.answerMs));
    if (!leadership.leaderEverSeen)
        silence = leadership.options.firstSilenceMs;
    else if (!leadership.leaderKnown)
        silence = 0;
    const auto distance = std::min(
        static_cast<TimeMs>(double(leadership.roundTripMs) * leadership.options.delayPerRoundTrip),
        leadership.options.maxRoundTripDelayMs);
    return now - begin >= silence + distance + leadership.extraDelayMs;
}

std::uint64_t nextEpoch(std::uint64_t last, Random &random)
{
    const std::uint64_t term = (last >> randomBits) + 1;
    return (term << randomBits) | (random() & ((std::uint64_t(1) << randomBits) - 1));
}

void drawDelay(Leadership &leadership, Random &random)
{
    leadership.extraDelayMs = static_cast<TimeMs>(
        random() % static_cast<std::uint64_t>(leadership.options.randomDelayMs + 1));
}

} // namespace flamingo::scheduler
