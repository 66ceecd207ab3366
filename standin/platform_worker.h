#ifndef FLAMINGO_STANDIN_PLATFORM_WORKER_H
#define FLAMINGO_STANDIN_PLATFORM_WORKER_H

// Stand-in for one of the platform's workers: starts, stops and lists runs under a fencing token
// and a lease, and sends heartbeats to the agent on its machine. Tests use it to run the programs
// on the platform from end to end in one process.
//
// A request with a lower fencing token than the highest received one gets status 409. Each accepted
// request may extend the lease, up to 10 s ahead of the worker's clock; when the lease ends, so do
// all runs. A run is rejected when its task has had an ended or stopped run with the same or a
// higher run id. A run takes as many milliseconds as its TaskSpec says. Ended runs are listed until
// a request acknowledges them by their number (`LastSeen`), the oldest 500 at a time. An overloaded
// or unhealthy worker answers a share of its requests with status 429 or 503 and does nothing for
// them.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo::standin {

struct PlatformWorkerOptions
{
    std::string id;
    std::string address; // on which it listens, "IP:port"
    std::string agentAddress; // to which it sends heartbeats
    std::string service;
    std::string rack;
    TimeMs heartbeatMs = 50;
    TimeMs stopMs = 20; // from a request to stop a run until the run has ended
    std::string gangFolder = {}; // empty: members of gangs run as single tasks
    TimeMs gangTimeoutMs = 3000;
    std::uint64_t seed = 1; // of the choice of refused requests
    // Called with "start TASK RUN", "end TASK RUN OUTCOME", "acknowledged TASK RUN OUTCOME",
    // "lapsed" (the lease) and "draining acknowledged", and the time when that happened.
    std::function<void(TimeMs at, const std::string &event)> observe = {};
};

class PlatformWorker
{
public:
    // Starts listening and sending heartbeats. Returns nullptr with a reason when the address
    // cannot be bound.
    static std::unique_ptr<PlatformWorker>
    listen(adapters::Loop &loop, const PlatformWorkerOptions &options, Reason &reason);
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    // From now on heartbeats give the state "draining".
    void startDraining()
    {
        this->draining = true;
    }
    // Whether a heartbeat with the state "draining" was acknowledged.
    bool drainingAcknowledged() const
    {
        return this->drainAcknowledged;
    }
    // From now on answers this share of the requests (0 to 1) with `status`; 0 ends that.
    void refuseRequests(double share, int status);
    // Number of requests refused so far.
    std::size_t refusedRequests() const
    {
        return this->refusedCount;
    }
    // Deregisters at the agent and calls `done` with the answer or without one.
    void deregister(std::function<void()> done);
    // Number of runs started so far.
    std::size_t startedRuns() const
    {
        return this->startCount;
    }
    // Number of runs in progress.
    std::size_t runningCount() const
    {
        return this->runs.size();
    }

private:
    using RunKey = std::pair<std::string, std::uint32_t>; // task, run id
    struct Run
    {
        TimeMs endsAt = 0;
        bool stopped = false; // a request to stop it was received
        std::uint32_t members = 0; // of its gang; 0: not a member
        TimeMs workMs = 0; // of a member
        TimeMs startedAt = 0;
        bool whole = false; // all members of the gang are present
    };
    struct EndedRun
    {
        std::uint64_t number = 0; // consecutive over all ended runs of this worker
        RunKey key;
        std::string outcome; // done, stopped or lapsed
    };

    PlatformWorker(adapters::Loop &loop, const PlatformWorkerOptions &options);
    void handle(const adapters::HttpRequest &request);
    // Lists the running and ended runs, after at most waitMs when no ended run is listed.
    void respondToHold(const adapters::HttpRequest &request, TimeMs waitMs);
    // Notes which members of the gang are present; returns the outcome when the run ends by that.
    std::string updateGangMember(const RunKey &key, Run &run);
    void observe(TimeMs at, const std::string &event, const RunKey &key,
                 const std::string &outcome = "") const;
    // Ends the runs whose time is over, and all runs when the lease has lapsed.
    void endDueRuns();
    void sendHeartbeat();
    // The worker's own clock: milliseconds since its start, from 1 on.
    std::int64_t clock() const;

    adapters::Loop &loop;
    PlatformWorkerOptions options;
    adapters::HttpClient client;
    std::unique_ptr<adapters::HttpServer> server;
    TimeMs startedAt;
    std::uint64_t startedUnixMs;
    std::uint64_t heartbeats = 0;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseUntilMs = 0; // on clock()
    std::int64_t lapsedUntilMs = 0; // value of leaseUntilMs when the lease lapsed last
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint32_t> highestRefusedRunIds; // by task
    std::vector<EndedRun> endedRuns; // not acknowledged yet
    std::uint64_t lastEndedNumber = 0;
    std::size_t startCount = 0;
    Random random;
    double refusedShare = 0;
    int refusalStatus = 0;
    std::size_t refusedCount = 0;
    bool draining = false;
    bool drainAcknowledged = false;
};

} // namespace flamingo::standin

#endif
