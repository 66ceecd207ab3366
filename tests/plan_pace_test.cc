// Guards against planning that takes all processor time: with many hosts under one leader on a slow
// processor, each report caused a plan, and jobs waited for seconds although workers were idle.

#include "flamingo/scheduler/plan_pace.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;

namespace {

struct Load
{
    TimeMs planningMs = 0; // total duration of the plans
    TimeMs longestWaitMs = 0; // of a report until the plan that covers it starts
};

// Simulates a report every 5 ms, the rate of 60 hosts with changes; each report requests a plan of
// duration `planMs`.
Load simulateReports(PlanPace &pace, TimeMs planMs, TimeMs length)
{
    Load load;
    TimeMs oldestReport = 0;
    for (TimeMs now = 0; now < length;) {
        const TimeMs begin = now + timeUntilNextPlan(pace, now);
        if (begin >= length)
            break;
        load.longestWaitMs = std::max(load.longestWaitMs, begin - oldestReport);
        oldestReport = begin;
        recordPlan(pace, begin, begin + planMs);
        load.planningMs += planMs;
        now = std::max(begin + planMs, now + 5);
    }
    return load;
}

} // namespace

TEST_GROUP(PlanPace)
{
    PlanPace pace;
};

TEST(PlanPace, frequentReportsLeaveMostOfTheProcessorFree)
{
    const Load load = simulateReports(pace, 40, 10000);
    CHECK(load.planningMs <= 10000 / 4 + 40);
    CHECK(load.longestWaitMs <= 40 + pace.maxPauseMs);
}

TEST(PlanPace, shortPlansAreNotDelayed)
{
    const Load load = simulateReports(pace, 0, 1000);
    CHECK(load.longestWaitMs <= 5);
}

TEST(PlanPace, pauseIsBounded)
{
    recordPlan(pace, 1000, 3000);
    LONGS_EQUAL(pace.maxPauseMs, timeUntilNextPlan(pace, 3000));
    LONGS_EQUAL(0, timeUntilNextPlan(pace, 3000 + pace.maxPauseMs));
}
