#ifndef FLAMINGO_ADAPTERS_ENTRY_SERVICE_H
#define FLAMINGO_ADAPTERS_ENTRY_SERVICE_H

// The entry process: passes events from HTTP, peers, the log and the clock to handleEntry() and
// applies its effects. docs/http.md describes the HTTP interface.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/adapters/log_client.h"
#include "flamingo/adapters/log_rate_limiter.h"
#include "flamingo/adapters/metrics.h"
#include "flamingo/adapters/peers.h"
#include "flamingo/entry.h"
#include "flamingo/settings.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace flamingo::adapters {

class EntryService
{
public:
    // Opens the listening sockets and starts the service; nullptr with a reason when an address
    // cannot be bound.
    static std::unique_ptr<EntryService> start(Loop &loop, const EntrySettings &settings,
                                               Reason &reason);

    // Makes /ready fail, so that the load balancer stops sending requests. After a delay, refuses
    // new requests, finishes the pending ones and stops the loop.
    void shutDown();

private:
    EntryService(Loop &loop, const EntrySettings &settings);
    void dispatch(const EntryEvent &event);
    std::uint64_t handleLogRead(const LogRead &read);
    void applyEffects(const Outbox &out);
    void sendReply(const Reply &reply);

    void route(const HttpRequest &request);
    // Responds to a GET request that needs no decision; returns false if the path is another.
    bool routeRead(const HttpRequest &request);
    void submitJob(const HttpRequest &request);
    void routeJob(const HttpRequest &request, std::string_view rest);
    void routeTarget(const HttpRequest &request, std::string_view rest);
    void editTable(const HttpRequest &request);
    void addPendingRequest(const HttpRequest &request, const std::string &job,
                           const std::string &organisation = "");
    void respond(HttpRequestId request, const HttpResponse &response);
    void stopWhenIdle();
    std::string dump() const;
    std::string metricsText();

    Loop &loop;
    EntrySettings settings;
    Entry entry;
    Random random;
    HttpClient httpClient;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<LogClient> log;
    Metrics metrics;
    LogRateLimiter replyLogLimiter{100, 100};
    LogRateLimiter reservationLogLimiter{100, 100};
    bool stopping = false;
    TimeMs nextShutdownLogAt = 0; // line with what the shutdown waits for
    std::uint64_t nextJobNumber = 1; // last part of the next job id

    struct PendingRequest
    {
        HttpRequestId httpRequest = 0;
        std::string job; // empty for requests that concern no job
        std::string organisation; // set only for a submission
        TimeMs receivedAt = 0;
        Loop::TimerId timer = 0; // answers the request after maxWaitMs
    };
    std::unordered_map<std::string, PendingRequest> pendingRequests; // by Reply::request
};

} // namespace flamingo::adapters

#endif
