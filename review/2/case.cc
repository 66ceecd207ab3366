// A worker does not answer, the leader is killed, and a job is cancelled whose task has been
// ordered to start there. The task must not start when the worker answers again.

#include "review/rig/rig.h"

#include <csignal>
#include <iostream>

namespace {

using namespace review;

constexpr std::int64_t muteMs = 5500;
constexpr std::int64_t cancelMs = 3000; // Bounds.cancel_ms
constexpr std::int64_t restartMs = 1000; // until the killed process is started again

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return exitNotRun;
    RigOptions options;
    options.workers = 10; // one of ten is disturbed
    Rig rig(argv[1], options);
    for (int i = 0; i < options.workers; ++i) {
        WorkerOptions worker = rig.workerOptions(i);
        worker.kind = i == 0 ? "b" : "a";
        rig.workers.push_back(std::make_unique<Worker>(worker));
    }
    if (!rig.start())
        return exitNotRun;
    const int leader = rig.leader();
    const int other = (leader + 1) % options.entries;
    const std::string leaderName = "entry-" + std::to_string(leader);
    const std::string job = "5c0e7a21d94b36f1";
    const std::string body = R"({"TaskSpec":"8000","Steps":[{"Count":1,"Cpu":1000,"MemMb":1000,)"
                             R"("Gpus":1,"EstimateMs":8000,"Requirements":"b"}]})";
    Worker &worker = *rig.workers[0];
    const std::int64_t muteUntil = nowMs() + muteMs;
    if (troubleWanted()) {
        worker.mute = true;
        rig.note("test", "worker-0 does not answer");
    }
    if (rig.submit(other, "batch", job, body).status != 200)
        return exitNotRun;
    sleepMs(200);
    if (troubleWanted())
        rig.signal(leaderName, SIGKILL);
    if (rig.cancel(other, "batch", job).status != 200)
        return exitNotRun;
    const std::int64_t acknowledged = rig.sinceStart();
    rig.note("test", "the cancelling is acknowledged");
    if (troubleWanted()) {
        sleepMs(restartMs);
        rig.startProcess(leaderName);
        sleepMs(muteUntil - nowMs());
        worker.mute = false;
        rig.note("test", "worker-0 answers again");
    }
    sleepMs(8000);
    rig.show(other, "batch", job);
    bool broken = false;
    for (const RunEvent &event : rig.runEvents()) {
        if (event.kind != "start" || event.at <= acknowledged + cancelMs)
            continue;
        broken = true;
        rig.note("test",
                 "UNASKED: " + event.task + " was started "
                     + std::to_string(event.at - acknowledged)
                     + " ms after the cancelling was acknowledged");
    }
    std::cout << (broken ? "broken\n" : "held\n");
    return broken ? exitBroken : exitHeld;
}
