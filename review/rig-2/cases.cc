// The scripts of the second review: cases NAME RECORD. Exit codes: 1 the rule was broken, 0 it
// held, 2 the case could not run. With TROUBLE=0 in the environment the disruption is left out.

#include "review/rig-2/rig.h"

#include <cstdlib>
#include <cstring>
#include <functional>
#include <iostream>
#include <optional>
#include <set>

namespace {

using namespace flamingo;
using namespace flamingo::review;

enum Outcome { Held = 0, Broken = 1, CannotRun = 2 };

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): one thread
    return value == nullptr || std::strcmp(value, "0") != 0;
}

std::string jobId(int number)
{
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), 'c') + digits;
}

Outcome verdict(Rig &rig, const std::vector<std::string> &violations)
{
    rig.recordEvents();
    for (const std::string &violation : violations)
        rig.note("BROKEN " + violation);
    rig.note(violations.empty() ? "held" : "broken");
    std::cout << (violations.empty() ? "held" : "broken: " + violations.front()) << "\n";
    return violations.empty() ? Held : Broken;
}

// ROUTE: a start on a worker without the label in `Requirements`.
Outcome otherKind(const std::string &record)
{
    constexpr int hosts = 8;
    std::vector<WorkerSettings> workers(hosts);
    for (std::size_t i = 1; i < hosts; ++i)
        workers[i].kind = "b";
    Rig rig(record, 2, hosts);
    if (!rig.start(workers))
        return CannotRun;
    Json job = {{"TaskSpec", "20000 20000 done 9 0"}, {"Steps", {step(1, 4000)}}};
    job["Steps"][0]["EstimateMs"] = 20000;
    job["Steps"][0]["Requirements"] = "a";
    for (int i = 1; i <= 3; ++i) {
        if (!rig.submit(jobId(i), job))
            return CannotRun;
    }
    rig.pass(4000);
    if (rig.events().size() != 3)
        return CannotRun;
    if (withTrouble()) {
        rig.killProcess("worker-1");
        rig.pass(4500);
        workers[0].kind = "b";
        workers[0].cpuMilli = 8000; // of which the three jobs need 12,000
        rig.startWorker(1, workers[0]);
    }
    rig.pass(10000);
    std::vector<std::string> violations;
    for (const RunEvent &event : rig.events()) {
        if (event.start && event.kind != "a")
            violations.push_back("ROUTE " + event.task
                                 + " needs a worker of kind a and was started on " + event.worker
                                 + " of kind " + event.kind);
    }
    return verdict(rig, violations);
}

// LOST, for tasks that last: one has nothing running for 3 s, from 6 s after its last run on,
// though there is capacity. `until` is when the observation ended.
std::vector<std::string> idleTasks(const std::vector<RunEvent> &events, std::uint64_t until)
{
    constexpr std::uint64_t longestMs = 6000 + 3000;
    std::map<std::string, std::optional<std::uint64_t>> endedAt; // by task; nullopt: it runs
    std::map<std::string, std::uint64_t> longest;
    for (const RunEvent &event : events) {
        std::optional<std::uint64_t> &ended = endedAt[event.task];
        if (event.start && ended)
            longest[event.task] = std::max(longest[event.task], event.atMs - *ended);
        ended = event.start ? std::nullopt : std::optional(event.atMs);
    }
    for (const auto &[task, ended] : endedAt) {
        if (ended)
            longest[task] = std::max(longest[task], until - *ended);
    }
    std::vector<std::string> result;
    for (const auto &[task, ms] : longest) {
        if (ms > longestMs)
            result.push_back("LOST " + task + " had nothing running for " + std::to_string(ms)
                             + " ms after its last run");
    }
    return result;
}

Outcome lastingTasksEnd(const std::string &record)
{
    constexpr int hosts = 4;
    Rig rig(record, 2, hosts);
    if (!rig.start(std::vector<WorkerSettings>(hosts)))
        return CannotRun;
    Json job = {{"TaskSpec", withTrouble() ? "2000 30000 done 1000 0" : "0 0 done 0 0"},
                {"Steps", {step(389, 200)}}};
    job["Steps"][0]["LongRunning"] = true;
    if (!rig.submit(jobId(1), job))
        return CannotRun;
    rig.pass(50000);
    const std::uint64_t until = adapters::Loop::unixNow();
    return verdict(rig, idleTasks(rig.events(), until));
}

Outcome lastingTasksFail(const std::string &record)
{
    constexpr int hosts = 4;
    std::vector<WorkerSettings> workers(hosts);
    for (std::size_t i = 1; i < hosts; ++i)
        workers[i].kind = "b";
    Rig rig(record, 2, hosts);
    if (!rig.start(workers))
        return CannotRun;
    Json filling = {{"TaskSpec", "0 0 done 0 0"}, {"Steps", {step(9, 20000)}}};
    filling["Steps"][0]["LongRunning"] = true;
    filling["Steps"][0]["Requirements"] = "b";
    if (!rig.submit(jobId(99), filling))
        return CannotRun;
    for (int i = 1; i <= 6; ++i) {
        const std::string failsAfter = std::to_string(6000 + i * 4000) + " ";
        Json job = {{"TaskSpec",
                     withTrouble() ? std::string(failsAfter).append(failsAfter).append("failed 1 0")
                                   : std::string("0 0 done 0 0")},
                    {"Steps", {step(1, 4000)}}};
        job["Steps"][0]["LongRunning"] = true;
        job["Steps"][0]["Requirements"] = "a";
        if (!rig.submit(jobId(i), job))
            return CannotRun;
    }
    rig.pass(50000);
    const std::uint64_t until = adapters::Loop::unixNow();
    return verdict(rig, idleTasks(rig.events(), until));
}

// LOST: for 3 s a job has nothing running though a task's turn has come and nearly all is idle. Two
// seconds before the end of the observation the jobs are asked for as well.
Outcome crashLoop(const std::string &record)
{
    constexpr int hosts = 8;
    Rig rig(record, 2, hosts);
    if (!rig.start(std::vector<WorkerSettings>(hosts)))
        return CannotRun;
    // One job of 20 fails once, and one of 21 can never be done.
    const Json usual = {{"TaskSpec", "2000 2000 done 9 0"}, {"Steps", {step(1, 1000)}}};
    for (int i = 2; i <= 20; ++i) {
        if (!rig.submit(jobId(i), usual))
            return CannotRun;
    }
    rig.pass(4000);
    Json looping = {{"TaskSpec", withTrouble() ? "500 500 failed 100000 0" : "0 0 done 0 0"},
                    {"Steps", {step(hosts, 1000)}}};
    looping["Steps"][0]["LongRunning"] = true;
    looping["Steps"][0]["AntiAffinity"] = 1;
    if (!rig.submit(jobId(99), looping, "other-key"))
        return CannotRun;
    rig.pass(15000);
    Json job = usual;
    job["TaskSpec"] = "1000 1000 failed 1 2000";
    if (!rig.submit(jobId(1), job))
        return CannotRun;
    rig.pass(40000);
    const std::uint64_t until = adapters::Loop::unixNow();
    const std::string state = rig.state(1, jobId(1));
    std::uint64_t quietSince = 0;
    for (const RunEvent &event : rig.events()) {
        if (event.task.compare(0, jobId(1).size(), jobId(1)) == 0)
            quietSince = event.start ? until : event.atMs;
    }
    std::vector<std::string> violations;
    if (state != "completed" && until - quietSince > 3000)
        violations.push_back("LOST " + jobId(1) + " is " + state + " and had nothing running for "
                             + std::to_string(until - quietSince) + " ms");
    return verdict(rig, violations);
}

// LOST: for 3 s a job has nothing running though a task's turn has come and nearly all is idle,
// from 14 s after the end of the traffic on.
Outcome longTask(const std::string &record)
{
    constexpr int hosts = 8;
    std::vector<WorkerSettings> workers(hosts);
    for (std::size_t i = 1; i < hosts; ++i)
        workers[i].kind = "b";
    Rig rig(record, 2, hosts);
    if (!rig.start(workers))
        return CannotRun;
    Json usual = {{"TaskSpec", "8500 8500 done 9 0"}, {"Steps", {step(1, 1000)}}};
    usual["Steps"][0]["EstimateMs"] = 8500;
    Json job = usual;
    job["TaskSpec"] = withTrouble() ? "1000 1000 failed 1 400000" : "1000 1000 failed 1 8500";
    job["Steps"][0]["Requirements"] = "a";
    // One job of 20 takes longer than estimated.
    for (int i = 2; i <= 20; ++i) {
        if (!rig.submit(jobId(i), usual))
            return CannotRun;
    }
    if (!rig.submit(jobId(1), job))
        return CannotRun;
    const std::uint64_t finishAt = rig.acceptedAt() + 14000;
    rig.pass(80000);
    const std::string state = rig.state(1, jobId(1));
    std::uint64_t quietSince = finishAt;
    std::vector<std::string> violations;
    const auto check = [&](std::uint64_t until) {
        if (until > quietSince + 3000)
            violations.push_back("LOST " + jobId(1) + " had nothing running for "
                                 + std::to_string(until - quietSince) + " ms; it is " + state);
    };
    bool runs = false;
    for (const RunEvent &event : rig.events()) {
        if (event.task.compare(0, jobId(1).size(), jobId(1)) != 0)
            continue;
        if (event.start)
            check(event.atMs);
        runs = event.start;
        quietSince = std::max(finishAt, event.atMs);
    }
    if (state != "completed" && !runs)
        check(adapters::Loop::unixNow());
    return verdict(rig, violations);
}

// RECLAIM: a job of priority 0 within its tenant's guarantee has not begun all tasks of its first
// step ReclaimMs after its acknowledgement.
Outcome guaranteedJob(const std::string &record)
{
    constexpr int hosts = 4;
    constexpr std::uint64_t reclaimMs = 3400;
    Rig rig(record, 2, hosts);
    if (!rig.start(std::vector<WorkerSettings>(hosts)))
        return CannotRun;
    Json job = {{"TaskSpec", "8000 8000 done 9 0"}, {"Steps", {step(4, 7500)}}};
    job["Steps"][0]["EstimateMs"] = 8000;
    job["Steps"][0]["Gpus"] = 2;
    // Each job of the other tenant needs its whole guarantee, a quarter of all accelerators, and
    // lasts until it is cancelled.
    Json lasting = job;
    lasting["TaskSpec"] = "0 0 done 0 0";
    lasting["Steps"][0]["LongRunning"] = true;
    const int others = withTrouble() ? 4 : 2;
    for (int i = 1; i <= others; ++i) {
        if (!rig.submit(jobId(90 + i), lasting, "other-key", "urgent"))
            return CannotRun;
    }
    rig.pass(1000);
    if (!rig.submit(jobId(1), job, "key", "urgent"))
        return CannotRun;
    const std::uint64_t acceptedAt = rig.acceptedAt();
    rig.pass(30000);
    const std::string state = rig.state(1, jobId(1), "urgent");
    std::size_t inTime = 0;
    for (const RunEvent &event : rig.events())
        inTime += event.start && event.task.compare(0, jobId(1).size(), jobId(1)) == 0
                && event.run == 1 && event.atMs <= acceptedAt + reclaimMs
            ? 1
            : 0;
    std::vector<std::string> violations;
    if (inTime < 4)
        violations.push_back("RECLAIM " + std::to_string(inTime) + " of 4 tasks of " + jobId(1)
                             + " had begun " + std::to_string(reclaimMs)
                             + " ms after its acknowledgement; 30 s later it is " + state);
    return verdict(rig, violations);
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<Outcome(const std::string &)>> cases = {
        {"other-kind", otherKind},
        {"lasting-tasks-end", lastingTasksEnd},
        {"lasting-tasks-fail", lastingTasksFail},
        {"crash-loop", crashLoop},
        {"guaranteed-job", guaranteedJob},
        {"long-task", longTask},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
        return CannotRun;
    try {
        return found->second(argv[2]);
    } catch (const Interrupted &) {
        return CannotRun; // the deployment has been taken down
    }
}
