// A client hands in a job at an entry that stands still, hears nothing until its deadline, and cancels
// the job at another entry, which answers 410. Then the first entry wakes.
//
// Rule UNASKED: no task of the job starts later than cancel_ms after the acknowledgement of its
// cancelling, and none runs on StopMs after that.

#include "rig.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

constexpr std::int64_t contactMs = 4000;
constexpr std::int64_t cancelMs = 4000;
constexpr std::int64_t stopMs = 200;
constexpr std::int64_t freezeMs = 4000;
constexpr std::int64_t clientDeadlineMs = 3000;

} // namespace

int main()
{
    const char *wish = std::getenv("TROUBLE");
    const bool trouble = wish == nullptr || std::string(wish) != "0";
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = 4;
    deployment.contactMs = contactMs;
    deployment.cancelMs = cancelMs;
    deployment.stopMs = stopMs;
    Json queue = route("settle", "/settle/", 0, 3);
    queue["Public"] = true;
    deployment.start(Json::array({queue}),
                     Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    // A job that runs without trouble, first.
    const std::string warm = "/settle/" + jobId(1);
    request(deployment, 0, "POST", warm, "key-1",
            jobBody("300", Json::array({{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 300}}})));
    sleepMs(3000);
    const Reply shown = request(deployment, 0, "GET", warm, "key-1", "");
    if (shown.body.find("completed") == std::string::npos) {
        record("the first job did not complete");
        return 2;
    }
    const std::size_t before = deployment.starts().size();

    const std::string job = jobId(2);
    const std::string target = "/settle/" + job;
    const std::string body = jobBody(
        "6000",
        Json::array({{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 6000}},
                     {{"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 6000}, {"After", {0}}}}));
    Process &asleep = *deployment.entryList[2];
    const std::int64_t begin = nowMs();
    if (trouble)
        asleep.signal(SIGSTOP);
    // The client sends the job and gives up at its deadline.
    const Reply handedIn = request(deployment, 2, "POST", target, "key-1", body, clientDeadlineMs, true);
    const Reply cancelled = request(deployment, 0, "DELETE", target, "key-1", "", clientDeadlineMs);
    const std::int64_t acknowledgedAt = nowMs();
    if (trouble) {
        while (nowMs() < begin + freezeMs)
            sleepMs(5);
        asleep.signal(SIGCONT);
    }
    const bool acknowledged = cancelled.status == 410 || cancelled.status / 100 == 2;
    if (!acknowledged || (trouble && (handedIn.status != 0 || acknowledgedAt > begin + freezeMs))) {
        record("the client's calls did not go as planned");
        return 2;
    }
    sleepMs(20000);
    request(deployment, 0, "GET", target, "key-1", "");

    bool broken = false;
    const std::vector<Start> starts = deployment.starts();
    for (std::size_t i = before; i < starts.size(); ++i) {
        const Start &start = starts[i];
        const std::int64_t after = start.at - acknowledgedAt;
        std::string line = start.task + " run " + std::to_string(start.run) + " on " + start.worker + ": started "
            + std::to_string(after) + " ms after the acknowledgement of the cancelling, ended "
            + (start.endedAt == 0 ? "never" : std::to_string(start.endedAt - acknowledgedAt) + " ms after it (" + start.how + ")");
        if (after > cancelMs) {
            line += "; UNASKED: starts later than cancel_ms";
            broken = true;
        } else if (start.endedAt == 0 || start.endedAt - acknowledgedAt > cancelMs + stopMs) {
            line += "; UNASKED: runs on StopMs after cancel_ms";
            broken = true;
        }
        record(line);
    }
    for (const std::string &name : deployment.endedProcesses())
        record("ended by itself: " + name);
    record(broken ? "BROKEN" : "held");
    std::puts(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
