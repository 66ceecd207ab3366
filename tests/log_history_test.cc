// Guards against a history that lacks the events that explain a wait, or includes other jobs.

#include "flamingo/adapters/log_history.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo::adapters;

namespace {

// Logs of two entries and an agent; the second entry is the leader from 1,500 ms on.
const std::vector<std::string> logs = {
    "unix_ms=1000 process=e1 event=request method=POST job=aa11 status=200 cause=\"stored\" "
    "took_ms=12\n"
    "unix_ms=1400 process=e1 event=step_down epoch=7 cause=\"fenced\"\n"
    "unix_ms=1410 process=e1 event=campaign_failed reason=\"timeout\"\n"
    "unix_ms=1420 process=e1 event=connections_refused count=3 limit=2564\n"
    "unix_ms=9000 process=e1 event=store_lost reason=\"timeout\"\n",
    "   2.5 e2 unix_ms=1500 process=e2 event=leading epoch=9 jobs=3 offset=40\n"
    "unix_ms=1510 process=e2 event=job_known job=aa11 priority=0 tasks=2\n"
    "unix_ms=1520 process=e2 event=run_stopping task=bb22.0.0.1 run=1 worker=h1/w1@5 "
    "cause=\"urgent work aa11\"\n"
    "unix_ms=1700 process=e2 event=task_assigned task=aa11.0.0.0 run=1 worker=h1/w1@5\n"
    "unix_ms=1705 process=e2 event=task_assigned task=aa111.0.0.0 run=1 worker=h1/w1@5\n"
    "unix_ms=1900 process=e2 event=worker_lost worker=h1/w1@5 cause=\"its process has ended\"\n"
    "unix_ms=1901 process=e2 event=worker_lost worker=h2/w2@5 cause=\"its process has ended\"\n"
    "unix_ms=2500 process=e2 event=job_completed job=aa11\n",
    "not a line of ours\nunix_ms=x process=h1 event=start\nunix_ms=5 process=h1\n"
    "unix_ms=1800 process=h1 event=start_unanswered task=aa11.0.0.0 run=1 reason=\"timeout\"\n"};

bool containsEvent(const std::vector<LogLine> &history, const std::string &event,
                   const std::string &part)
{
    for (const LogLine &line : history) {
        if (line.event == event && line.text.find(part) != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(LogHistory){};

TEST(LogHistory, includesTheJobAndEventsOfItsWorkersAndProcesses)
{
    const std::vector<LogLine> history = jobHistory(logs, "aa11");
    CHECK_EQUAL(11, history.size());
    STRCMP_EQUAL("request", history.front().event.c_str());
    STRCMP_EQUAL("job_completed", history.back().event.c_str());
    CHECK(containsEvent(history, "step_down", "fenced"));
    CHECK(containsEvent(history, "campaign_failed", "timeout"));
    CHECK(containsEvent(history, "connections_refused", "2564"));
    CHECK(containsEvent(history, "leading", "epoch=9"));
    CHECK(containsEvent(history, "run_stopping", "bb22"));
    CHECK(containsEvent(history, "start_unanswered", "timeout"));
    CHECK(containsEvent(history, "worker_lost", "h1/w1@5"));
}

// Unrelated are a worker that the job never used, a store outage after the job's end, and a job
// whose id starts with the same characters.
TEST(LogHistory, excludesUnrelatedLines)
{
    const std::vector<LogLine> history = jobHistory(logs, "aa11");
    CHECK_FALSE(containsEvent(history, "worker_lost", "h2/w2@5"));
    CHECK_FALSE(containsEvent(history, "store_lost", ""));
    CHECK_FALSE(containsEvent(history, "task_assigned", "aa111"));
    CHECK(jobHistory(logs, "cc33").empty());
    STRCMP_EQUAL("", renderHistory({}).c_str());
}

TEST(LogHistory, linesAreOrderedByTimeAcrossFiles)
{
    std::uint64_t before = 0;
    for (const LogLine &line : jobHistory(logs, "aa11")) {
        CHECK(line.unixMs >= before);
        before = line.unixMs;
    }
}

TEST(LogHistory, summaryGivesTheTimeOfEachMilestone)
{
    const std::string text = renderHistory(jobHistory(logs, "aa11"));
    CHECK(text.find("known to a leader    after      510 ms") != std::string::npos);
    CHECK(text.find("first task assigned  after      700 ms") != std::string::npos);
    CHECK(text.find("completed            after     1500 ms") != std::string::npos);
    CHECK(text.find("     900 ms  e2                    event=worker_lost") != std::string::npos);
}

TEST(LogHistory, quotedValuesMayContainSpaces)
{
    const auto line = parseLogLine(
        "unix_ms=7 process=p event=worker_lost cause=\"its process has ended\" runs=4");
    CHECK(line.has_value());
    STRCMP_EQUAL("its process has ended", line->fields.at("cause").c_str());
    STRCMP_EQUAL("4", line->fields.at("runs").c_str());
    CHECK_FALSE(parseLogLine("").has_value());
    CHECK_FALSE(parseLogLine("unix_ms=7 process=\"p").has_value());
    CHECK_FALSE(parseLogLine("unix_ms=").has_value());
}
