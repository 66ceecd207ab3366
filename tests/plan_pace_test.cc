// Many hosts under one leader with little processor: each report asked for a plan, plans took the
// whole processor, and jobs waited for seconds although workers were idle.

#include "flamingo/scheduler/plan_pace.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;

namespace {

struct Load
{
    TimeMs planned = 0; // time spent planning
    TimeMs longestWait = 0; // of a report for the plan that takes it in
};

// Reports come every 5 ms, as of 60 hosts and their changes; each asks for a plan.
Load play(PlanPace &pace, TimeMs planMs, TimeMs length)
{
    Load load;
    TimeMs oldestReport = 0;
    for (TimeMs now = 0; now < length;) {
        const TimeMs begin = now + untilPlan(pace, now);
        if (begin >= length)
            break;
        load.longestWait = std::max(load.longestWait, begin - oldestReport);
        oldestReport = begin;
        notePlan(pace, begin, begin + planMs);
        load.planned += planMs;
        now = std::max(begin + planMs, now + 5);
    }
    return load;
}

} // namespace

TEST_GROUP(PlanPace)
{
    PlanPace pace;
};

TEST(PlanPace, manyReportsLeaveMostOfTheProcessorFree)
{
    const Load load = play(pace, 40, 10000);
    CHECK(load.planned <= 10000 / 4 + 40);
    CHECK(load.longestWait <= 40 + pace.maxPauseMs);
}

TEST(PlanPace, quickPlansAreNotHeldBack)
{
    const Load load = play(pace, 0, 1000);
    CHECK(load.longestWait <= 5);
}

TEST(PlanPace, pauseIsBounded)
{
    notePlan(pace, 1000, 3000);
    LONGS_EQUAL(pace.maxPauseMs, untilPlan(pace, 3000));
    LONGS_EQUAL(0, untilPlan(pace, 3000 + pace.maxPauseMs));
}
