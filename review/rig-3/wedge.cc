// A large job of tasks that checkpoint, as wide as the widest of the site, and a job of tasks that
// last. The tasks' checkpoints are longer than those of the pages' examples, and together they are
// larger than the store's RecordBytes.
//
// Rule LOST: a task that lasts isn't left without a run for 3 s, from 6 s after its last run.
// Rule Acks: no more than a fifth of the ends that workers list are not taken note of after
// AckTimeoutMs.

#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr std::int64_t lastingBoundMs = 6000 + 3000;
constexpr std::int64_t ackTimeoutMs = 8000;
constexpr int width = 470; // largest of `fresh-check`
constexpr int lastingTasks = 80;
constexpr std::int64_t watchMs = 95000;

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
    deployment.workers = 11;
    deployment.contactMs = 5000;
    deployment.cancelMs = 5000;
    deployment.checkpointBytes = static_cast<std::size_t>(setting("CHECKPOINT", 2000));
    record("checkpoints of " + std::to_string(deployment.checkpointBytes) + " characters");
    deployment.start(
        Json::array({route("fresh", "/fresh/", 2, 3), route("score", "/score/", 1, 3)}),
        Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    const std::string lasting = jobId(1);
    const Json lasts = {{"Count", lastingTasks},
                        {"Cpu", 1000},
                        {"MemMb", 64},
                        {"EstimateMs", 9000},
                        {"LongRunning", true}};
    if (request(deployment, 0, "POST", "/score/" + lasting, "key-1",
                jobBody("9000..50000", Json::array({lasts})))
            .status
        != 200)
        return 2;
    if (trouble) {
        const Json wide = {{"Count", width},
                           {"Cpu", 400},
                           {"MemMb", 64},
                           {"EstimateMs", 60000},
                           {"Checkpointing", true}};
        if (request(deployment, 1, "POST", "/fresh/" + jobId(2), "key-1",
                    jobBody("3000..150000", Json::array({wide})))
                .status
            != 200)
            return 2;
    }
    sleepMs(watchMs);
    const std::int64_t now = nowMs();
    const std::vector<Start> starts = deployment.starts();

    std::map<std::string, std::int64_t> lastEnd; // by task; 0: runs
    std::size_t restarts = 0;
    std::set<std::string> lost;
    std::int64_t longest = 0;
    std::size_t ends = 0;
    std::size_t unnoted = 0;
    for (const Start &start : starts) {
        if (start.endedAt > 0 && now - start.endedAt > ackTimeoutMs) {
            ++ends;
            if (start.notedAt == 0 || start.notedAt - start.endedAt > ackTimeoutMs)
                ++unnoted;
        }
        if (start.task.compare(0, lasting.size(), lasting) != 0)
            continue;
        const auto before = lastEnd.find(start.task);
        if (before != lastEnd.end()) {
            ++restarts;
            const std::int64_t gap = start.at - before->second;
            longest = std::max(longest, gap);
            if (gap > lastingBoundMs)
                lost.insert(start.task);
        }
        lastEnd[start.task] = start.endedAt;
    }
    for (const auto &[task, end] : lastEnd) {
        if (end == 0)
            continue;
        longest = std::max(longest, now - end);
        if (now - end > lastingBoundMs)
            lost.insert(task);
    }
    record("tasks that last: " + std::to_string(lastEnd.size()) + " begun, "
           + std::to_string(restarts) + " starts after an end, longest time without a run "
           + std::to_string(longest) + " ms");
    for (const std::string &task : lost)
        record("LOST: " + task + " was without a run for over " + std::to_string(lastingBoundMs)
               + " ms");
    record("ends listed: " + std::to_string(ends) + ", not taken note of within "
           + std::to_string(ackTimeoutMs) + " ms: " + std::to_string(unnoted)
           + (unnoted * 5 > ends ? " (Acks: more than a fifth)" : ""));
    record("appends that the store refused: " + std::to_string(deployment.store->refusedAppends)
           + ", largest record of these " + std::to_string(deployment.store->largestRefused)
           + " bytes");
    for (const std::string &name : deployment.endedProcesses())
        record("ended by itself: " + name);
    if (lastEnd.size() != lastingTasks) {
        record("the tasks that last did not all begin");
        return 2;
    }
    const bool broken = !lost.empty();
    record(broken ? "BROKEN" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
