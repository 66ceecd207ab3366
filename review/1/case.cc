// More than 500 tasks of one worker end while the store is down for 4.5 s. No task whose run has
// ended as `done` may be started again.

#include "review/rig/rig.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace {

using namespace review;

constexpr int tasks = 620;
constexpr std::int64_t workMs = 6000;
constexpr std::int64_t outageMs = 4500;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    RigOptions options;
    Rig rig(argv[1], options);
    if (!rig.start())
        return exitNotRun;
    const std::string job = "5c0e7a21d94b36f8";
    const Response accepted =
        rig.submit(0, "batch", job,
                   R"({"TaskSpec":")" + std::to_string(workMs) + R"(","Steps":[{"Count":)"
                       + std::to_string(tasks) + R"(,"Cpu":100,"MemMb":100,"EstimateMs":6000}]})");
    if (accepted.status != 200)
        return exitNotRun;
    sleepMs(workMs - 1500);
    if (rig.workers[0]->runningCount() + rig.workers[1]->runningCount() != tasks)
        rig.note("test", "not all tasks run");
    if (troubleWanted()) {
        rig.note("test", "the store is down");
        rig.storeOf().down = true;
        sleepMs(outageMs);
        rig.storeOf().down = false;
        rig.note("test", "the store is up");
    }
    const std::int64_t until = nowMs() + 25000;
    while (nowMs() < until && rig.show(1, "batch", job).body.find("completed") == std::string::npos)
        sleepMs(500);
    sleepMs(1000);
    std::map<std::string, std::uint32_t> doneRun;
    std::map<std::string, bool> taken;
    // An end does not count as taken note of when the worker's lease lapsed before.
    std::map<std::string, bool> lapsedSince;
    std::map<std::string, std::uint32_t> startedAgain;
    for (const RunEvent &event : rig.runEvents()) {
        const auto done = doneRun.find(event.task);
        if (event.kind == "end" && event.how == "done" && done == doneRun.end())
            doneRun[event.task] = event.run;
        if (event.kind == "lapsed") {
            for (const auto &[task, run] : doneRun)
                lapsedSince[task] = true;
        }
        if (event.kind == "taken" && event.how == "done" && lapsedSince.count(event.task) == 0)
            taken[event.task] = true;
        if (event.kind == "start" && done != doneRun.end())
            startedAgain[event.task] = event.run;
    }
    int broken = 0;
    for (const auto &[task, run] : startedAgain)
        broken += taken.count(task) > 0 ? 1 : 0;
    rig.note("test",
             "TWICE: " + std::to_string(broken)
                 + " tasks were started after a run had ended as done");
    std::cout << broken << " tasks started again\n";
    return broken > 0 ? exitBroken : exitHeld;
}
