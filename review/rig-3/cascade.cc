// A large job of tasks that checkpoint, as wide as the widest of the site, and a small job a
// second. The tasks' checkpoints are as long as the longest TaskSpec. The small tasks of the large
// job fit on one worker, so what its agent reports is over a mebibyte.
//
// Rule LOST: finish_s after the end of the traffic it doesn't happen, for 3 s, that a job has
// nothing running while a task's turn has come, there is capacity for it twice over, and under half
// of the service's capacity is in use.

#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr int width = 470; // largest of `fresh-check`
constexpr int smallJobs = 55;
constexpr std::int64_t finishMs = 14000;
constexpr std::int64_t judgedMs = 3000;

long setting(const char *name, long otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::atol(text);
}

} // namespace

int main()
{
    const bool trouble = setting("TROUBLE", 1) != 0;
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = 4;
    deployment.contactMs = 5000;
    deployment.cancelMs = 5000;
    deployment.checkpointBytes = static_cast<std::size_t>(setting("CHECKPOINT", 4000));
    record("checkpoints of " + std::to_string(deployment.checkpointBytes) + " characters");
    deployment.start(
        Json::array({route("fresh", "/fresh/", 2, 3), route("settle", "/settle/", 0, 2)}),
        Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    if (trouble) {
        const Json wide = {{"Count", width},
                           {"Cpu", 100},
                           {"MemMb", 64},
                           {"EstimateMs", 11000},
                           {"Checkpointing", true}};
        if (request(deployment, 0, "POST", "/fresh/" + jobId(1), "key-1",
                    jobBody("11000", Json::array({wide})))
                .status
            != 200)
            return 2;
    }
    std::set<std::string> accepted;
    for (int i = 0; i < smallJobs; ++i) {
        const std::string id = jobId(100 + static_cast<std::uint64_t>(i));
        const Json small = {{"Count", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 500}};
        if (request(deployment, i % 3, "POST", "/settle/" + id, "key-1",
                    jobBody("500", Json::array({small})))
                .status
            == 200)
            accepted.insert(id);
        sleepMs(1000);
    }
    sleepMs(finishMs);

    // For 3 s: jobs that wait with nothing running, and the most that was in use.
    std::set<std::string> waiting = accepted;
    std::int64_t mostInUse = 0;
    const std::int64_t until = nowMs() + judgedMs;
    while (nowMs() < until) {
        std::int64_t inUse = 0;
        for (const Start &start : deployment.starts()) {
            const std::string id = start.task.substr(0, 16);
            if (start.endedAt == 0)
                inUse += id == jobId(1) ? 100 : 1000;
            if (start.endedAt == 0 || start.how == "done")
                waiting.erase(id);
        }
        mostInUse = std::max(mostInUse, inUse);
        sleepMs(100);
    }
    for (const std::string &id : waiting) {
        const Reply shown = request(deployment, 0, "GET", "/settle/" + id, "key-1", "");
        record("LOST: " + id + " was accepted, is shown as " + shown.body
               + " and has nothing running");
    }
    if (trouble)
        request(deployment, 0, "GET", "/fresh/" + jobId(1), "key-1", "");
    const std::int64_t capacity = std::int64_t(deployment.workers) * deployment.cpu;
    record("small jobs accepted: " + std::to_string(accepted.size()) + " of "
           + std::to_string(smallJobs) + ", of which " + std::to_string(waiting.size())
           + " wait; in use at most " + std::to_string(mostInUse) + " of "
           + std::to_string(capacity) + " thousandths of a core");
    std::map<std::string, int> ends;
    for (const Start &start : deployment.starts())
        ++ends[start.worker + " " + (start.how.empty() ? "runs" : start.how)];
    for (const auto &[kind, count] : ends)
        record("runs: " + kind + " " + std::to_string(count));
    for (const std::string &name : deployment.endedProcesses())
        record("ended by itself: " + name);
    const bool broken = !waiting.empty() && mostInUse * 2 < capacity;
    record(broken ? "BROKEN" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
