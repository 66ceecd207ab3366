// Tests when an entry campaigns. They guard against many entries that campaign at once, against
// leaders that are replaced although they only wait for a slow log, and against a leader on a small
// host while larger ones are there.

#include "flamingo/scheduler/leadership.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;

TEST_GROUP(Leadership)
{
    Leadership leadership;
    TimeMs now = 100000;

    void setup() override
    {
        recordLogRead(leadership, true, now);
    }

    // A leader with a record each `everyMs`, the last one now.
    void followLeader(TimeMs everyMs)
    {
        for (int i = 0; i < 8; ++i) {
            now += everyMs;
            recordLeaderContact(leadership, 7, false, now);
        }
    }
};

TEST(Leadership, leaderIsReplacedAfterItsTimeout)
{
    followLeader(300);
    CHECK_FALSE(shouldCampaign(leadership, now + leadership.options.leaderTimeoutMs - 1));
    CHECK(shouldCampaign(leadership, now + leadership.options.leaderTimeoutMs));
}

// The records of a leader whose appends wait at a slow log come at long intervals.
TEST(Leadership, leaderThatWritesRarelyGetsMoreTime)
{
    followLeader(1200);
    CHECK_FALSE(shouldCampaign(leadership, now + 2999));
    CHECK(shouldCampaign(leadership, now + 3000));
    recordLeaderContact(leadership, 8, false, now); // the next leader starts anew
    CHECK(shouldCampaign(leadership, now + leadership.options.leaderTimeoutMs));
}

// While the entry itself could not read the log, the leader may have written.
TEST(Leadership, ownOutageDoesNotLengthenTheTimeout)
{
    followLeader(300);
    recordLogRead(leadership, false, now + 100);
    now += 9000;
    recordLogRead(leadership, true, now);
    recordLeaderContact(leadership, 7, false, now);
    CHECK(shouldCampaign(leadership, now + leadership.options.leaderTimeoutMs));
}

TEST(Leadership, candidateKeepsOthersFromCampaigning)
{
    followLeader(300);
    recordLeaderContact(leadership, 7, true, now); // resigned
    CHECK(shouldCampaign(leadership, now));
    recordCandidate(leadership, now);
    CHECK_FALSE(shouldCampaign(leadership, now + leadership.options.candidateTimeoutMs - 1));
    CHECK(shouldCampaign(leadership, now + leadership.options.candidateTimeoutMs));
}

TEST(Leadership, smallEntryLetsLargerOnesComeFirst)
{
    followLeader(300);
    const TimeMs large = campaignDelayMs(leadership, now);
    leadership.options.processorShare = 0.12;
    const TimeMs small = campaignDelayMs(leadership, now);
    LONGS_EQUAL(leadership.options.smallEntryDelayMs, small - large);
    // No larger entry is known.
    leadership.leaderShare = 0.12;
    LONGS_EQUAL(large, campaignDelayMs(leadership, now));
}

TEST(Leadership, campaignsAreSpreadOutWhileTheLogIsSlow)
{
    followLeader(300);
    leadership.slowestAnswerMs = 250;
    const TimeMs first = campaignDelayMs(leadership, now);
    leadership.randomShare = 0.5;
    CHECK(campaignDelayMs(leadership, now) - first >= 1000);
}

// Pattern: one report of another writer with an epoch that no leader has made the entry ignore all
// later reports of an unreachable leader.
TEST(Leadership, reportOfAnUnknownEpochHidesNoOthers)
{
    followLeader(300);
    recordUnreachableReport(leadership, "odd", 7000, now);
    for (const char *host : {"h1", "h2"})
        recordUnreachableReport(leadership, host, 7, now);
    evaluateUnreachableReports(leadership, 7, 1, now);
    CHECK_EQUAL(now, leadership.unreachableSince);
    evaluateUnreachableReports(leadership, 7, 2, now);
    CHECK_EQUAL(0, leadership.unreachableSince);
}
