// Two tenants whose clients number their jobs choose the same job ID, each on a queue of its own.
//
// Rule MIXED: a job is not shown as `completed` while a task of it hasn't ended so.
// Rule LOST: finish_s after the end of the traffic, an accepted job doesn't wait, with nothing
// running and room for it.

#include "rig.h"

#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr std::int64_t finishMs = 14000;

Json step(int count, int cpu, int workMs)
{
    return {{"Count", count}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", workMs}};
}

} // namespace

int main()
{
    const char *wish = std::getenv("TROUBLE");
    const bool trouble = wish == nullptr || std::string(wish) != "0";
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = 4;
    deployment.start(
        Json::array({route("score", "/score/", 1, 2), route("settle", "/settle/", 0, 2)}),
        Json::array(
            {{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}, {{"Name", "t2"}, {"ApiKeys", {"key-2"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    // Both clients count their jobs from 1.
    const std::string first = jobId(1);
    const std::string second = jobId(trouble ? 1 : 2);
    const Reply one = request(deployment, 0, "POST", "/score/" + first, "key-1",
                              jobBody("500", Json::array({step(2, 1000, 500)})));
    sleepMs(500);
    const Reply two = request(deployment, 1, "POST", "/settle/" + second, "key-2",
                              jobBody("700", Json::array({step(5, 2000, 700)})));
    if (one.status != 200) {
        record("the first job was not accepted");
        return 2;
    }
    sleepMs(finishMs);
    const Reply shown = request(deployment, 1, "GET", "/settle/" + second, "key-2", "");
    // The second job is the one with five tasks.
    std::size_t ran = 0;
    for (const Start &start : deployment.starts()) {
        if (start.task.compare(0, second.size() + 5, second + ".0.0.") == 0 && start.how == "done"
            && start.endedAt - start.at > 650)
            ++ran;
    }
    record("second job: POST " + std::to_string(two.status) + ", shown as " + shown.body + ", "
           + std::to_string(ran) + " of its 5 tasks ended done");
    const bool accepted = two.status / 100 == 2;
    const bool broken = accepted && ran < 5;
    if (broken && shown.body.find("completed") != std::string::npos)
        record("MIXED: shown as completed while its tasks haven't ended so");
    if (broken)
        record("LOST: accepted, and never begun, " + std::to_string(finishMs)
               + " ms after the traffic");
    record(broken ? "BROKEN" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
