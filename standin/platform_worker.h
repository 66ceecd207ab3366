#ifndef FLAMINGO_STANDIN_PLATFORM_WORKER_H
#define FLAMINGO_STANDIN_PLATFORM_WORKER_H

// Stand-in of one of the platform's workers: starts, stops and lists runs under a fencing token and
// a lease, and sends heartbeats to the agent on its machine. A run takes as long as its payload
// says, in milliseconds.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo::standin {

struct PlatformWorkerOptions
{
    std::string id;
    std::string address; // where it takes calls
    std::string agentAddress; // where it reports
    std::string service;
    std::string rack;
    TimeMs heartbeatMs = 50;
    TimeMs stopMs = 20;
};

class PlatformWorker
{
public:
    static std::unique_ptr<PlatformWorker>
    listen(adapters::Loop &loop, const PlatformWorkerOptions &options, Reason &reason);
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    void drain()
    {
        this->draining = true;
    }
    std::size_t starts() const
    {
        return this->startCount;
    }
    std::size_t running() const
    {
        return this->runs.size();
    }

private:
    using RunKey = std::pair<std::string, std::uint32_t>;
    struct Run
    {
        TimeMs endsAt = 0;
        bool stopped = false;
    };
    struct EndedRun
    {
        std::uint64_t number = 0;
        RunKey key;
        std::string outcome;
    };

    PlatformWorker(adapters::Loop &loop, const PlatformWorkerOptions &options);
    void handle(const adapters::HttpRequest &request);
    void respondToHold(const adapters::HttpRequest &request, TimeMs waitMs);
    void endDueRuns();
    void sendHeartbeat();
    std::int64_t clock() const;

    adapters::Loop &loop;
    PlatformWorkerOptions options;
    adapters::HttpClient client;
    std::unique_ptr<adapters::HttpServer> server;
    TimeMs startedAt;
    std::uint64_t born;
    std::uint64_t heartbeats = 0;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseUntilMs = 0;
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint32_t> highestRefusedRunIds;
    std::vector<EndedRun> endedRuns;
    std::uint64_t lastEndedNumber = 0;
    std::size_t startCount = 0;
    bool draining = false;
};

} // namespace flamingo::standin

#endif
