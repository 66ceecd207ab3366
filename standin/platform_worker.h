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
    using Key = std::pair<std::string, std::uint32_t>;
    struct Run
    {
        TimeMs endsAt = 0;
        bool stopped = false;
    };
    struct End
    {
        std::uint64_t number = 0;
        Key key;
        std::string how;
    };

    PlatformWorker(adapters::Loop &loop, const PlatformWorkerOptions &options);
    void take(const adapters::HttpRequest &request);
    void look(const adapters::HttpRequest &request, TimeMs waitMs);
    void endDueRuns();
    void sendHeartbeat();
    std::int64_t clock() const;

    adapters::Loop &loop;
    PlatformWorkerOptions options;
    adapters::HttpClient client;
    std::unique_ptr<adapters::HttpServer> server;
    TimeMs startedAt;
    std::uint64_t startedUnixMs;
    std::uint64_t heartbeats = 0;
    std::uint64_t token = 0;
    std::int64_t leaseUntil = 0;
    std::map<Key, Run> runs;
    std::map<std::string, std::uint32_t> refusedUpTo;
    std::vector<End> ends;
    std::uint64_t lastEnd = 0;
    std::size_t startCount = 0;
    bool draining = false;
};

} // namespace flamingo::standin

#endif
