// Clients hand in scheduled jobs with many occurrences that overlap, five jobs a second. Far more
// occurrences are due than there is room for.
//
// Rule LOST: finish_s after the end of the traffic it doesn't happen, for 3 s, that a job has
// nothing running while a task's turn has come, there is capacity for it twice over, and under half
// of the service's capacity is in use.

#include "rig.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr int jobs = 170;
constexpr int occurrencesOfAll = 2500;
constexpr int intervalMs = 10;
constexpr std::int64_t paceMs = 200; // five jobs a second
constexpr std::int64_t finishMs = 14000;
constexpr std::int64_t judgedMs = 3000;
constexpr std::int64_t watchMs = 40000;
constexpr int taskCpu = 16000;

} // namespace

int main()
{
    const char *wish = std::getenv("TROUBLE");
    const bool trouble = wish == nullptr || std::string(wish) != "0";
    const int repeats = trouble ? occurrencesOfAll : 8; // `times` of the site
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = 11;
    deployment.contactMs = 5000;
    deployment.cancelMs = 5000;
    deployment.start(
        Json::array({route("score", "/score/", 1, 2), route("settle", "/settle/", 0, 2)}),
        Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    // Each request has a client of its own, which doesn't wait for the others.
    std::mutex mutex;
    std::set<std::string> accepted;
    std::vector<std::thread> clients;
    std::int64_t next = nowMs();
    for (int i = 0; i < jobs; ++i) {
        while (nowMs() < next)
            sleepMs(5);
        next += paceMs;
        clients.emplace_back([&, i] {
            const std::string id = jobId(100 + static_cast<std::uint64_t>(i));
            const Json step = {
                {"Count", 1}, {"Cpu", taskCpu}, {"MemMb", 1024}, {"EstimateMs", 5000}};
            const Json times = {
                {"FirstRunMs", unixMs()}, {"IntervalMs", intervalMs}, {"RepeatCount", repeats}};
            const Reply reply = request(deployment, i % 3, "POST", "/score/" + id, "key-1",
                                        jobBody("5000", Json::array({step}), times));
            const std::lock_guard<std::mutex> lock(mutex);
            if (reply.status / 100 == 2)
                accepted.insert(id);
        });
    }
    // An urgent job of one small task, the last of the traffic; its client sends it up to five
    // times.
    const std::string urgent = jobId(1);
    const std::int64_t trafficEnd = nowMs();
    std::atomic<int> urgentStatus{0};
    clients.emplace_back([&] {
        const Json small = {{"Count", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 500}};
        for (int tries = 0; tries < 5 && urgentStatus / 100 != 2; ++tries)
            urgentStatus = request(deployment, tries % 3, "POST", "/settle/" + urgent, "key-1",
                                   jobBody("500", Json::array({small})))
                               .status;
    });
    sleepMs(finishMs);
    for (std::thread &client : clients)
        client.join();

    // The longest time in which under half of the capacity is in use and a job whose occurrences
    // are due has nothing running.
    std::map<std::string, std::int64_t> idleSince;
    std::int64_t longest = 0;
    std::string longestJob;
    const std::int64_t until = nowMs() + watchMs;
    while (nowMs() < until) {
        const std::int64_t now = nowMs();
        std::set<std::string> running;
        std::map<std::string, int> done;
        std::int64_t inUse = 0;
        for (const Start &start : deployment.starts()) {
            const std::string id = start.task.substr(0, 16);
            if (start.endedAt == 0) {
                running.insert(id);
                inUse += id == urgent ? 1000 : taskCpu;
            } else if (start.how == "done") {
                ++done[id];
            }
        }
        const std::int64_t capacity = std::int64_t(deployment.workers) * deployment.cpu;
        for (const std::string &id : accepted) {
            if (running.count(id) > 0 || inUse * 2 >= capacity || done[id] >= repeats) {
                idleSince.erase(id);
                continue;
            }
            const std::int64_t since = idleSince.emplace(id, now).first->second;
            if (now - since > longest) {
                longest = now - since;
                longestJob = id;
            }
        }
        sleepMs(100);
    }
    std::size_t begun = 0;
    std::int64_t lastStart = 0;
    std::string urgentRan = "never";
    for (const Start &start : deployment.starts()) {
        ++begun;
        lastStart = start.at;
        if (start.task.compare(0, urgent.size(), urgent) == 0)
            urgentRan = std::to_string(start.at - trafficEnd) + " ms after its answer";
    }
    record("accepted: " + std::to_string(accepted.size()) + " of " + std::to_string(jobs)
           + " jobs with " + std::to_string(repeats) + " occurrences; begun: "
           + std::to_string(begun) + " tasks, the last one at " + std::to_string(lastStart)
           + "; urgent job: POST " + std::to_string(urgentStatus) + ", begun " + urgentRan);
    record("longest time for which a job had due tasks and none running, with under half of the "
           "capacity in use: "
           + std::to_string(longest) + " ms" + (longest > 0 ? " (" + longestJob + ")" : ""));
    for (const auto &entry : deployment.entryList)
        record("largest memory of " + entry->name + ": " + std::to_string(entry->peakMemoryMb())
               + " MB; the limit in its settings is 260 MB");
    for (const std::string &name : deployment.endedProcesses())
        record("ended by itself: " + name);
    const bool broken = longest >= judgedMs;
    record(broken ? "BROKEN: LOST" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
