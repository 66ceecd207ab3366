#ifndef REVIEW_RIG_WORKER_H
#define REVIEW_RIG_WORKER_H

// Stand-in for one worker: orders under a fencing token, runs under a lease, ends that are listed
// until they are acknowledged, 500 at a time, and heartbeats. A run ends as `done` after as many
// milliseconds as its TaskSpec says; a long one runs until it is stopped or its lease expires.

#include "review/rig/http.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace review {

struct WorkerOptions
{
    std::string id;
    std::string ip;
    int port = 0;
    std::string agentIp;
    int agentPort = 0;
    std::string service;
    std::string rack;
    std::string kind = "a";
    std::int64_t stopMs = 200; // a stop takes this long; at most Bounds.StopMs
    // Called with "start TASK RUN", "end TASK RUN HOW", "taken TASK RUN HOW" when the end is
    // acknowledged, and "lapsed" when the lease has expired, also if nothing runs.
    std::function<void(const std::string &)> observe;
    // What a started run does after its working time: "done", "failed", or empty to go on.
    std::function<std::string(const std::string &task, std::uint32_t run)> howItEnds;
    // Saved progress of a run that works; null: none.
    std::function<std::string(const std::string &task, std::uint32_t run)> checkpoint;
};

class Worker
{
public:
    explicit Worker(const WorkerOptions &options);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    ~Worker();

    // Ends a run of the task now. False when there is none.
    bool endRun(const std::string &task, const std::string &how);
    std::size_t runningCount();
    // While set, requests are neither carried out nor answered; heartbeats go on.
    std::atomic<bool> mute{false};
    // Sends a heartbeat with another service and sequence number, as another writer may. Returns
    // the status of the answer.
    int sendForeignHeartbeat(const std::string &service, std::uint64_t sequence);

private:
    using RunKey = std::pair<std::string, std::uint32_t>;
    struct Run
    {
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        std::int64_t workMs = 0;
        bool stopping = false;
    };
    struct End
    {
        std::uint64_t number = 0;
        RunKey key;
        std::string how;
        std::string saved;
    };

    Response handle(const Request &request);
    Response hold(std::unique_lock<std::mutex> &lock, std::int64_t waitMs, std::uint64_t lastSeen);
    void finish(const RunKey &key, const std::string &how);
    void work();
    void beat();
    int sendHeartbeat(const std::string &service, std::uint64_t sequence);
    std::int64_t clock() const;
    std::string savedOf(const RunKey &key) const;

    WorkerOptions options;
    std::int64_t startedAt;
    std::int64_t bornUnixMs;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t token = 0;
    std::int64_t leaseUntil = 0; // on clock()
    std::int64_t lapsedLease = 0; // value of leaseUntil when the lease expired last
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint32_t> refusedRuns; // highest run stopped or ended, by task
    std::deque<End> ends;
    std::uint64_t lastEnd = 0;
    std::atomic<bool> over{false};
    std::unique_ptr<Server> server;
    std::thread workThread;
    std::thread beatThread;
};

} // namespace review

#endif
