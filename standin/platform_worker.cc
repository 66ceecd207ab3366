// A timer ends the runs that are due. A hold request with `WaitMs` polls at a fixed interval until
// an ended run is listed, as a read of the log store's stand-in does until there is a record.

#include "standin/platform_worker.h"

#include "flamingo/adapters/http_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::standin {
namespace {

using adapters::HttpRequest;
using adapters::Loop;
using Json = nlohmann::json;

constexpr TimeMs pollIntervalMs = 5;
constexpr std::int64_t maxLeaseMs = 10000;

} // namespace

PlatformWorker::PlatformWorker(Loop &loop, const PlatformWorkerOptions &options)
    : loop(loop)
    , options(options)
    , client(loop)
    , startedAt(Loop::now())
    , startedUnixMs(Loop::unixNow())
{
}

std::unique_ptr<PlatformWorker>
PlatformWorker::listen(Loop &loop, const PlatformWorkerOptions &options, Reason &reason)
{
    std::unique_ptr<PlatformWorker> worker(new PlatformWorker(loop, options));
    adapters::HttpServerOptions serverOptions;
    serverOptions.address = options.address;
    worker->server = adapters::HttpServer::listen(
        loop, serverOptions,
        [self = worker.get()](const HttpRequest &request) { self->handle(request); }, nullptr,
        reason);
    if (worker->server == nullptr)
        return nullptr;
    loop.every(pollIntervalMs, [self = worker.get()] { self->endDueRuns(); });
    loop.every(options.heartbeatMs, [self = worker.get()] { self->sendHeartbeat(); });
    return worker;
}

std::int64_t PlatformWorker::clock() const
{
    return Loop::now() - this->startedAt + 1;
}

void PlatformWorker::sendHeartbeat()
{
    const Json body = {{"Service", this->options.service},
                       {"Address", this->options.address},
                       {"State", this->draining ? "draining" : "ready"},
                       {"Capacity", {{"Cpu", 64000}, {"MemMb", 256000}, {"Gpus", 8}}},
                       {"Labels", {"a", this->options.rack}},
                       {"Sequence", ++this->heartbeats},
                       {"born", this->startedUnixMs}};
    adapters::HttpCall call;
    call.address = this->options.agentAddress;
    call.method = "POST";
    call.target = "/api/Instances.Heartbeat/" + this->options.id;
    call.body = body.dump();
    this->client.call(call, [](const adapters::HttpResult &) {});
}

void PlatformWorker::endDueRuns()
{
    const bool leaseLapsed = this->clock() > this->leaseUntilMs;
    for (auto run = this->runs.begin(); run != this->runs.end();) {
        const bool due = Loop::now() >= run->second.endsAt;
        if (!due && !leaseLapsed) {
            ++run;
            continue;
        }
        const char *outcome = run->second.stopped ? "stopped" : due ? "done" : "lapsed";
        std::uint32_t &highestRefused = this->highestRefusedRunIds[run->first.first];
        highestRefused = std::max(highestRefused, run->first.second);
        this->endedRuns.push_back({++this->lastEndedNumber, run->first, outcome});
        run = this->runs.erase(run);
    }
}

void PlatformWorker::respondToHold(const HttpRequest &request, TimeMs waitMs)
{
    if (waitMs > 0 && this->endedRuns.empty()) {
        this->loop.after(pollIntervalMs, [this, request, waitMs] {
            this->respondToHold(request, waitMs - pollIntervalMs);
        });
        return;
    }
    Json running = Json::array();
    for (const auto &[key, run] : this->runs)
        running.push_back({key.first, key.second, "", Loop::now() / 10 % 100, 0});
    Json ended = Json::array();
    for (const EndedRun &endedRun : this->endedRuns)
        ended.push_back(
            {endedRun.number, endedRun.key.first, endedRun.key.second, endedRun.outcome, ""});
    const Json body = {{"ClockMs", this->clock()},
                       {"born", this->startedUnixMs},
                       {"Running", running},
                       {"Ended", ended}};
    this->server->respond(request.id, {adapters::statusOk, body.dump()});
}

void PlatformWorker::handle(const HttpRequest &request)
{
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != this->options.id) {
        this->server->respond(request.id, {adapters::statusMisdirectedRequest, "{}"});
        return;
    }
    const Json call = Json::parse(request.body, nullptr, false);
    const auto refuse = [&](const char *reason) {
        const Json body = {{"ClockMs", this->clock()}, {"Reason", reason}};
        this->server->respond(request.id, {adapters::statusConflict, body.dump()});
    };
    const auto requestToken = call.value("FencingToken", std::uint64_t(0));
    if (requestToken < this->fencingToken) {
        refuse("fence");
        return;
    }
    this->fencingToken = requestToken;
    const auto requestedLeaseEnd =
        std::min(call.value("UntilMs", std::int64_t(0)), this->clock() + maxLeaseMs);
    this->leaseUntilMs = std::max(this->leaseUntilMs, requestedLeaseEnd);
    if (request.path == "/api/hold") {
        const auto lastSeen = call.value("LastSeen", std::uint64_t(0));
        this->endedRuns.erase(std::remove_if(this->endedRuns.begin(), this->endedRuns.end(),
                                             [lastSeen](const EndedRun &endedRun) {
                                                 return endedRun.number <= lastSeen;
                                             }),
                              this->endedRuns.end());
        this->respondToHold(request, call.value("WaitMs", TimeMs(0)));
        return;
    }
    const RunKey key = {call.value("Task", ""), call.value("RunId", 0U)};
    if (request.path == "/api/run-start") {
        if (key.second <= this->highestRefusedRunIds[key.first]) {
            refuse("old");
            return;
        }
        const TimeMs durationMs = std::strtol(call.value("TaskSpec", "").c_str(), nullptr, 10);
        if (this->runs.emplace(key, Run{Loop::now() + durationMs, false}).second)
            ++this->startCount;
    } else if (request.path == "/api/run-stop") {
        std::uint32_t &highestRefused = this->highestRefusedRunIds[key.first];
        highestRefused = std::max(highestRefused, key.second);
        const auto found = this->runs.find(key);
        if (found != this->runs.end())
            found->second = {Loop::now() + this->options.stopMs, true};
    } else {
        this->server->respond(request.id, {adapters::statusNotFound, "{}"});
        return;
    }
    this->server->respond(request.id,
                          {adapters::statusOk, Json{{"ClockMs", this->clock()}}.dump()});
}

} // namespace flamingo::standin
