// Tests of the adaptive timeout. They guard against abandoning calls that a slow service is still
// executing, and against a timeout that remains long after the service has recovered. The last test
// covers the leader timeout, which is derived from the same answer times.

#include "flamingo/scheduler/answer_times.h"
#include "flamingo/scheduler/leadership.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;

TEST_GROUP(AnswerTimes)
{
    AnswerTimes times;
};

TEST(AnswerTimes, fastAnswersKeepTheBaseTimeout)
{
    LONGS_EQUAL(1000, timeoutFor(times, 1000, 5000));
    recordAnswerTime(times, 20, 5000);
    LONGS_EQUAL(1000, timeoutFor(times, 1000, 5001));
}

TEST(AnswerTimes, slowAnswersLengthenTheTimeoutUpToItsLimit)
{
    recordAnswerTime(times, 320, 5000);
    LONGS_EQUAL(1280, timeoutFor(times, 1000, 5001));
    recordAnswerTime(times, 900, 5100);
    LONGS_EQUAL(times.options.maxTimeoutMs, timeoutFor(times, 1000, 5101));
}

TEST(AnswerTimes, slowAnswerCountsUntilItIsOlderThanTheWindow)
{
    recordAnswerTime(times, 500, 5000);
    recordAnswerTime(times, 10, 5500);
    LONGS_EQUAL(500, slowestRecentAnswerMs(times, 5500));
    LONGS_EQUAL(0, slowestRecentAnswerMs(times, 5000 + times.options.windowMs + 1));
    recordAnswerTime(times, 10, 5000 + times.options.windowMs + 1);
    LONGS_EQUAL(10, slowestRecentAnswerMs(times, 5000 + times.options.windowMs + 2));
}

// Guards against a leader being replaced only because a slow log, for example one 80 times slower
// than usual, delays its heartbeats.
TEST(AnswerTimes, slowLogLengthensTheWaitBeforeACampaign)
{
    Leadership leadership;
    recordLogRead(leadership, true, 1000);
    recordLeaderContact(leadership, 1, false, 2000);
    const TimeMs campaignAt = 2000 + leadership.options.leaderTimeoutMs;
    CHECK_FALSE(shouldCampaign(leadership, campaignAt - 1));
    CHECK_TRUE(shouldCampaign(leadership, campaignAt));
    leadership.slowestAnswerMs = 600;
    CHECK_FALSE(shouldCampaign(leadership, campaignAt + 1199));
    CHECK_TRUE(shouldCampaign(leadership, campaignAt + 1200));
}
