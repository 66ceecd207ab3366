// A client hands in a job, learns nothing of it, and cancels it at another entry, which answers
// 410. Then the job arrives after all. Two ways, by VARIANT:
//
//   late    the store doesn't answer the appends of the job, and carries them out seconds later
//   freeze  the entry stands still with the request in its socket, and wakes again
//
// Rule UNASKED: no machine in touch starts a task of the job later than cancel_ms after the
// acknowledgement of its cancelling.

#include "rig.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace rig;

namespace {

// Bounds of betelbors-sched, and of betelbors-sched-grown for the variant `freeze`.
constexpr std::int64_t boundMs = 3000; // ContactMs and cancel_ms
constexpr std::int64_t grownBoundMs = 4000;
constexpr std::int64_t stopMs = 900;
constexpr std::int64_t freezeMs = 4000;
constexpr std::int64_t clientDeadlineMs = 3000;
constexpr std::int64_t lateMs = 5500; // "done 1 to 6 s later"

} // namespace

int main()
{
    const char *wish = std::getenv("TROUBLE");
    const bool trouble = wish == nullptr || std::string(wish) != "0";
    openRecord(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"));
    Deployment deployment;
    deployment.entries = 3;
    deployment.workers = 4;
    const char *variantText = std::getenv("VARIANT");
    const bool freezes = variantText != nullptr && std::string(variantText) == "freeze";
    const bool freeze = trouble && freezes;
    const std::int64_t cancelMs = freezes ? grownBoundMs : boundMs;
    const std::int64_t contactMs = cancelMs;
    deployment.contactMs = static_cast<int>(contactMs);
    deployment.cancelMs = static_cast<int>(cancelMs);
    deployment.stopMs = static_cast<int>(stopMs);
    Json queue = route("settle", "/settle/", 0, 3);
    queue["Public"] = std::getenv("VARIANT") != nullptr; // see claim.txt
    deployment.start(Json::array({queue}), Json::array({{{"Name", "t1"}, {"ApiKeys", {"key-1"}}}}));
    if (!deployment.waitUntilReady(20000)) {
        record("the deployment did not become ready");
        return 2;
    }
    // A job that runs without trouble, first.
    const std::string warm = "/settle/" + jobId(1);
    request(
        deployment, 0, "POST", warm, "key-1",
        jobBody("300",
                Json::array({{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 300}}})));
    sleepMs(3000);
    const Reply shown = request(deployment, 0, "GET", warm, "key-1", "");
    if (shown.body.find("completed") == std::string::npos) {
        record("the first job did not complete");
        return 2;
    }
    const std::size_t before = deployment.starts().size();

    const std::string job = jobId(2);
    const std::string target = "/settle/" + job;
    std::atomic<std::int64_t> carriedOutAt{0};
    if (trouble && !freezes) {
        // One append of the job, the first.
        deployment.store->disturb = [&](const std::string &, const std::string &key,
                                        bool) -> std::int64_t {
            if (carriedOutAt != 0 || key.find(job) == std::string::npos)
                return 0;
            carriedOutAt = nowMs() + lateMs;
            return lateMs;
        };
    }
    const std::string body = jobBody(
        "6000",
        Json::array(
            {{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 6000}},
             {{"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 6000}, {"After", {0}}}}));
    Process &asleep = *deployment.entryList[2];
    const std::int64_t begin = nowMs();
    if (freeze)
        asleep.signal(SIGSTOP);
    // The client sends the job and gives up at its deadline.
    const Reply handedIn =
        request(deployment, 2, "POST", target, "key-1", body, clientDeadlineMs, true);
    const Reply cancelled = request(deployment, 0, "DELETE", target, "key-1", "", clientDeadlineMs);
    const std::int64_t acknowledgedAt = nowMs();
    if (freeze) {
        while (nowMs() < begin + freezeMs)
            sleepMs(5);
        asleep.signal(SIGCONT);
    }
    const bool acknowledged = cancelled.status == 410 || cancelled.status / 100 == 2;
    if (!acknowledged || (trouble && handedIn.status / 100 == 2)
        || (freeze && acknowledgedAt > begin + freezeMs)) {
        record("the client's calls did not go as planned");
        return 2;
    }
    sleepMs(22000);
    request(deployment, 0, "GET", target, "key-1", "");

    // From here on all machines are in touch.
    const std::int64_t calmFrom =
        (freeze ? begin + freezeMs : std::int64_t(carriedOutAt)) + (trouble ? contactMs : 0);
    record("in touch from " + std::to_string(calmFrom) + " on");
    bool broken = false;
    const std::vector<Start> starts = deployment.starts();
    for (std::size_t i = before; i < starts.size(); ++i) {
        const Start &start = starts[i];
        const std::int64_t after = start.at - acknowledgedAt;
        std::string line = start.task + " run " + std::to_string(start.run) + " on " + start.worker
            + ": started " + std::to_string(after)
            + " ms after the acknowledgement of the cancelling, ended "
            + (start.endedAt == 0 ? "never"
                                  : std::to_string(start.endedAt - acknowledgedAt)
                       + " ms after it (" + start.how + ")");
        if (after > cancelMs && start.at > calmFrom) {
            line += "; UNASKED: starts later than cancel_ms, in touch";
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
