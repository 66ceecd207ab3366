// One event loop owns all state. The effects of a decision are applied before the next event is
// handled; messages that the process sends to itself return as separate events.

#include "flamingo/adapters/agent_service.h"

#include "flamingo/adapters/service.h"
#include "flamingo/adapters/traffic_json.h"
#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::json;

constexpr TimeMs tickMs = 100;
constexpr TimeMs idleCheckMs = 50;
constexpr TimeMs shutdownLogIntervalMs = 5000;
// Longest time after the drain for which a process that owns key ranges waits for the entries to
// move them. They cannot when this is the last agent of the region.
constexpr TimeMs handoverMs = 5000;
constexpr std::size_t maxHeldBytes = 8388608; // by the HTTP connections of operators together

OwnerOptions ownerOptions(const AgentSettings &settings)
{
    OwnerOptions options = settings.owner;
    options.self = settings.options.name;
    options.region = settings.options.region;
    options.incarnation = settings.options.incarnation;
    return options;
}

} // namespace

AgentService::AgentService(Loop &loop, const AgentSettings &settings)
    : loop(loop)
    , settings(settings)
    , node(makeAgentNode(settings.options, ownerOptions(settings)))
    , random(std::random_device()())
    , httpClient(loop)
{
}

std::unique_ptr<AgentService> AgentService::start(Loop &loop, const AgentSettings &settings,
                                                  Reason &reason)
{
    std::unique_ptr<AgentService> owned(new AgentService(loop, settings));
    AgentService *service = owned.get();
    PeersOptions peersOptions = makePeersOptions(settings, ProcessKind::Agent);
    peersOptions.self.rack = settings.options.rack;
    service->peers = Peers::listen(
        loop, peersOptions,
        makePeerHandlers([service](const auto &event) { service->dispatch(event); }), reason);
    if (!service->peers)
        return nullptr;
    HttpServerOptions serverOptions;
    serverOptions.address = settings.httpAddress;
    serverOptions.maxHeldBytes = maxHeldBytes;
    limitUnknownClients(serverOptions);
    service->server = HttpServer::listen(
        loop, serverOptions, [service](const HttpRequest &request) { service->route(request); },
        nullptr, reason);
    if (!service->server)
        return nullptr;
    LogClientOptions logOptions;
    logOptions.address = settings.logAddress;
    service->log =
        std::make_unique<LogClient>(loop, service->httpClient, logOptions,
                                    LogClient::Handlers{[service](const LogRead &read) {
                                                            service->dispatch(read);
                                                            return read.next;
                                                        },
                                                        [service](const LogAppended &appended) {
                                                            service->dispatch(appended);
                                                        }});
    service->log->tail(std::string(claimsStream), 0);
    WorkerClientOptions workerOptions;
    workerOptions.address = settings.workerAddress;
    workerOptions.worker = settings.options.name;
    workerOptions.holder = settings.options.incarnation;
    workerOptions.leaseMs = settings.options.workerLeaseMs;
    service->worker = std::make_unique<WorkerClient>(
        loop, service->httpClient, workerOptions, [service](const WorkerEvent &event) {
            std::visit([service](const auto &one) { service->dispatch(one); }, event);
        });
    loop.every(tickMs, [service] { service->dispatch(Tick()); });
    return owned;
}

void AgentService::dispatch(const NodeEvent &event)
{
    Outbox out;
    const std::uint64_t version = this->node.table.version;
    handleNode(this->node, event, Loop::now(), this->random, out);
    LOG_IF(INFO, this->node.table.version != version)
        << "table in force version=" << this->node.table.version;
    this->applyEffects(out);
    if (!ownerMustRestart(this->node.owner) || this->stopping)
        return;
    LOG(ERROR) << "this process can no longer own key ranges; draining, restart required";
    this->shutDown();
}

void AgentService::applyEffects(const Outbox &out)
{
    logIgnoredRecords(out.ignoredRecords);
    for (const Send &send : out.sends)
        this->peers->send(send.to, send.message);
    for (const Append &append : out.appends)
        this->log->append(append);
    for (const WorkerCommand &command : out.commands) {
        const auto *run = std::get_if<RunTask>(&command);
        LOG_IF(INFO, run != nullptr && this->runLogLimiter.allowLine(Loop::now()))
            << "run task=" << run->task << " job=" << run->job << " mask=" << run->mask
            << " table_version=" << this->node.table.version
            << this->runLogLimiter.takeSuppressedField();
        this->worker->execute(command);
    }
}

void AgentService::route(const HttpRequest &request)
{
    HttpResponse response;
    if (request.method != "GET") {
        response.status = 405;
    } else if (request.path == "/health") {
        response.body = "{\"health\":\"ok\"}\n";
    } else if (request.path == "/ready") {
        response.status = this->stopping ? 503 : 200;
        response.body = this->stopping ? "{\"ready\":false}\n" : "{\"ready\":true}\n";
    } else if (request.path == "/metrics") {
        response.body = this->metricsText();
        response.contentType = "text/plain; version=0.0.4";
    } else if (request.path == "/v1/dump") {
        response.body = this->dump();
    } else {
        response.status = 404;
        response.body = "{\"reason\":\"InvalidInput\",\"detail\":\"no such resource\"}\n";
    }
    this->server->respond(request.id, response);
}

std::string AgentService::dump() const
{
    const Json result = {{"process", this->settings.options.name},
                         {"stopping", this->stopping},
                         {"logReachable", this->log->reachable()},
                         {"peers", connectedPeersJson(*this->peers)},
                         {"traffic", trafficJson(*this->peers)},
                         {"node", Json::parse(dumpNode(this->node, Loop::now()))}};
    return jsonText(result, 2) + "\n";
}

std::string AgentService::metricsText()
{
    this->metrics.setGauge("flamingo_log_reachable", "1 while the log service answers",
                           this->log->reachable() ? 1 : 0);
    this->metrics.setGauge("flamingo_table_version", "Version of the table in force",
                           static_cast<double>(this->node.table.version));
    const Owner::Counters &counters = this->node.owner.counters;
    this->metrics.raiseCounterTo("flamingo_key_grants_total", "Keys granted by this owner",
                                 static_cast<double>(counters.grants));
    this->metrics.raiseCounterTo("flamingo_key_denials_total",
                                 "Begin messages denied by this owner",
                                 static_cast<double>(counters.denials));
    this->metrics.raiseCounterTo("flamingo_log_appends_total",
                                 "Group commits asked for by this owner",
                                 static_cast<double>(counters.appends));
    updateTrafficMetrics(this->metrics, *this->peers);
    return this->metrics.serialize();
}

void AgentService::shutDown()
{
    if (this->stopping)
        return;
    LOG(INFO) << "shutdown requested, draining";
    this->stopping = true;
    this->stoppingSince = Loop::now();
    Drain drain;
    drain.drain = true;
    this->dispatch(PeerMessage{this->settings.options.name, drain});
    this->stopWhenIdle();
}

void AgentService::stopWhenIdle()
{
    const bool handedOver = this->node.owner.ranges.empty() || !this->log->reachable()
        || Loop::now() - this->stoppingSince >= handoverMs;
    if (agentIdle(this->node.agent) && handedOver && this->peers->flushed()) {
        LOG(INFO) << "shutdown complete";
        this->loop.after(idleCheckMs, [this] { this->loop.stop(); });
        return;
    }
    if (Loop::now() >= this->nextShutdownLogAt) {
        const Agent &agent = this->node.agent;
        LOG(INFO) << "shutdown waits tasks=" << agent.tasks.size()
                  << " open_attempts=" << agent.openAttempts.size()
                  << " gangs=" << agent.gangs.size() << " members=" << agent.members.size()
                  << " key_ranges=" << this->node.owner.ranges.size()
                  << " all_sent=" << this->peers->flushed();
        this->nextShutdownLogAt = Loop::now() + shutdownLogIntervalMs;
    }
    this->loop.after(idleCheckMs, [this] { this->stopWhenIdle(); });
}

} // namespace flamingo::adapters
