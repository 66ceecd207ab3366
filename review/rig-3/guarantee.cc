// One tenant uses all accelerators, far beyond what it is guaranteed, for jobs of priority 0. Another
// tenant hands in a small job of priority 0 within its guarantee.
//
// Rule RECLAIM: the job has begun all tasks of its first step ReclaimMs after its acknowledgement.

#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr std::int64_t reclaimMs = 3400;
constexpr std::int64_t watchMs = 20000;
constexpr int guaranteed = 16;
constexpr int workers = 11;
constexpr int gpusOfWorker = 8;

Json step(int count, int workMs)
{
    return {{"Count", count}, {"Cpu", 2000}, {"MemMb", 1024}, {"Gpus", 1}, {"EstimateMs", workMs}};
}

} // namespace

int main()
{
    const char *wish = std::getenv("TROUBLE");
    const bool trouble = wish == nullptr || std::string(wish) != "0";
    const bool lasting = std::getenv("LASTING") == nullptr || std::string(std::getenv("LASTING")) != "0";
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = workers;
    deployment.start(
        Json::array({route("settle", "/settle/", 0, 2)}),
        Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}, {"Guaranteed", {{"Gpus", guaranteed}}}},
                     {{"Name", "t2"}, {"ApiKeys", {"key-2"}}, {"Guaranteed", {{"Gpus", guaranteed}}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    // t2: jobs of eight tasks with one accelerator each. Without trouble, within its guarantee.
    const int jobs = trouble ? workers : guaranteed / gpusOfWorker;
    for (int i = 0; i < jobs; ++i) {
        Json tasks = step(gpusOfWorker, 8000);
        if (lasting)
            tasks["LongRunning"] = true;
        const Reply reply = request(deployment, i % 3, "POST", "/settle/" + jobId(100 + static_cast<std::uint64_t>(i)),
                                    "key-2", jobBody(lasting ? "100000" : "8000", Json::array({tasks})));
        if (reply.status / 100 != 2)
            return 2;
    }
    sleepMs(lasting ? 5000 : 500);
    std::int64_t inUse = 0;
    for (const Start &start : deployment.starts())
        inUse += start.endedAt == 0 ? 1 : 0;
    record("t2 uses " + std::to_string(inUse) + " of " + std::to_string(workers * gpusOfWorker) + " accelerators and is guaranteed "
           + std::to_string(guaranteed));
    if (inUse != jobs * gpusOfWorker)
        return 2;
    const std::string job = jobId(1);
    const Reply reply = request(deployment, 0, "POST", "/settle/" + job, "key-1", jobBody("2500", Json::array({step(3, 2500)})));
    const std::int64_t acknowledgedAt = nowMs();
    if (reply.status / 100 != 2)
        return 2;
    sleepMs(watchMs);
    std::map<std::string, std::int64_t> begun; // by task of the job: after the acknowledgement
    for (const Start &start : deployment.starts()) {
        if (start.task.compare(0, job.size(), job) == 0)
            begun.emplace(start.task, start.at - acknowledgedAt);
    }
    std::size_t inTime = 0;
    for (const auto &[task, after] : begun) {
        inTime += after <= reclaimMs ? 1 : 0;
        record(task + " began " + std::to_string(after) + " ms after the acknowledgement");
    }
    request(deployment, 0, "GET", "/settle/" + job, "key-1", "");
    for (const std::string &name : deployment.endedProcesses())
        record("ended by itself: " + name);
    record("t1's job: 3 tasks with one accelerator each, guaranteed " + std::to_string(guaranteed) + "; begun within ReclaimMs: "
           + std::to_string(inTime) + ", within " + std::to_string(watchMs) + " ms: " + std::to_string(begun.size()));
    const bool broken = inTime < 3;
    record(broken ? "BROKEN: RECLAIM" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
