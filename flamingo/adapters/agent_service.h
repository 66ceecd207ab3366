#ifndef FLAMINGO_ADAPTERS_AGENT_SERVICE_H
#define FLAMINGO_ADAPTERS_AGENT_SERVICE_H

// The agent process: passes events from peers, the log, the worker and the clock to handleNode()
// and applies its effects. Serves GET /health, /ready, /metrics and /v1/dump to operators.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/adapters/log_client.h"
#include "flamingo/adapters/log_rate_limiter.h"
#include "flamingo/adapters/metrics.h"
#include "flamingo/adapters/peers.h"
#include "flamingo/adapters/worker_client.h"
#include "flamingo/agent_node.h"
#include "flamingo/settings.h"

#include <memory>
#include <string>

namespace flamingo::adapters {

class AgentService
{
public:
    // Opens the listening sockets and starts the service; nullptr with a reason when an address
    // cannot be bound.
    static std::unique_ptr<AgentService> start(Loop &loop, const AgentSettings &settings,
                                               Reason &reason);

    // Drains the agent: accepts no new tasks, finishes the running ones and stops the loop when all
    // outcomes are acknowledged and the key ranges have other owners, or cannot get any.
    void shutDown();

private:
    AgentService(Loop &loop, const AgentSettings &settings);
    void dispatch(const NodeEvent &event);
    void applyEffects(const Outbox &out);
    void route(const HttpRequest &request);
    void stopWhenIdle();
    std::string dump() const;
    std::string metricsText();

    Loop &loop;
    AgentSettings settings;
    AgentNode node;
    Random random;
    HttpClient httpClient;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<LogClient> log;
    std::unique_ptr<WorkerClient> worker;
    Metrics metrics;
    LogRateLimiter runLogLimiter{100, 100};
    bool stopping = false;
    TimeMs stoppingSince = 0;
    TimeMs nextShutdownLogAt = 0; // line with what the shutdown waits for
};

} // namespace flamingo::adapters

#endif
