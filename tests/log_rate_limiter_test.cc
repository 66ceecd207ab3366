// Tests which log lines are dropped.

#include "flamingo/adapters/log_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using flamingo::adapters::LogRateLimiter;

namespace {

int writeLines(LogRateLimiter &limiter, int count, TimeMs now)
{
    int written = 0;
    for (int i = 0; i < count; ++i)
        written += limiter.allowLine(now) ? 1 : 0;
    return written;
}

} // namespace

TEST_GROUP(LogRateLimiter){};

// A new leader logs what it knows of every job and host within its first second.
TEST(LogRateLimiter, burstAfterAQuietTimeIsWritten)
{
    LogRateLimiter limiter(200, 2000);
    CHECK_EQUAL(1500, writeLines(limiter, 1500, 10000));
    CHECK_EQUAL(500, writeLines(limiter, 1500, 10000));
    STRCMP_EQUAL(" left_out_before=1000", limiter.takeSuppressedField().c_str());
    STRCMP_EQUAL("", limiter.takeSuppressedField().c_str());
}

TEST(LogRateLimiter, steadyFloodIsLimited)
{
    LogRateLimiter limiter(200, 2000);
    writeLines(limiter, 5000, 10000);
    int written = 0;
    for (TimeMs now = 10010; now <= 15000; now += 10)
        written += writeLines(limiter, 50, now);
    CHECK_COMPARE(written, <=, 1000);
    CHECK_COMPARE(written, >=, 990);
}
