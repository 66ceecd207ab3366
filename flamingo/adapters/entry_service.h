#ifndef FLAMINGO_ADAPTERS_ENTRY_SERVICE_H
#define FLAMINGO_ADAPTERS_ENTRY_SERVICE_H

// The entry process: carries events from HTTP, peers, the log and the clock to handleEntry() and
// its effects back. docs/http.md describes the HTTP interface.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/adapters/log_budget.h"
#include "flamingo/adapters/log_client.h"
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
    // Listens and starts; nullptr with a reason when an address cannot be bound.
    static std::unique_ptr<EntryService> start(Loop &loop, const EntrySettings &settings,
                                               Reason &reason);

    // Turns unready for the balancer, then refuses new requests, finishes those at hand and stops
    // the loop.
    void shutDown();

private:
    EntryService(Loop &loop, const EntrySettings &settings);
    void dispatch(const EntryEvent &event);
    std::uint64_t takeLog(const LogRead &read);
    void carryOut(const Outbox &out);
    void reply(const Reply &reply);

    void route(const HttpRequest &request);
    bool routeRead(const HttpRequest &request);
    void submit(const HttpRequest &request);
    void routeJob(const HttpRequest &request, std::string_view rest);
    void routeTarget(const HttpRequest &request, std::string_view rest);
    void edit(const HttpRequest &request);
    void expectReply(const HttpRequest &request, const std::string &job,
                     const std::string &organisation = "");
    void answer(HttpRequestId request, const HttpResponse &response);
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
    LogBudget replyLines{100};
    bool stopping = false;
    std::uint64_t nextJob = 1;

    struct Waiting
    {
        HttpRequestId http = 0;
        std::string job;
        std::string organisation;
        TimeMs since = 0;
        Loop::TimerId timer = 0;
    };
    std::unordered_map<std::string, Waiting> waiting; // by request id of the decisions
};

} // namespace flamingo::adapters

#endif
