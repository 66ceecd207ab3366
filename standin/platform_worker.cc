// A timer ends the runs that are due. A hold request with `WaitMs` polls at a fixed interval until
// an ended run is listed, as a read of the log store's stand-in does until there is a record.

#include "standin/platform_worker.h"

#include "flamingo/adapters/http_status.h"
#include "flamingo/json_parse.h"

#include <absl/types/span.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <unistd.h>

namespace flamingo::standin {
namespace {

using adapters::HttpRequest;
using adapters::Loop;
using Json = nlohmann::json;

constexpr TimeMs pollIntervalMs = 5;
constexpr std::int64_t maxLeaseMs = 10000;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t maxWorkMs = 86400000;
constexpr std::int64_t maxNumber = std::numeric_limits<std::int64_t>::max();

// The fields of all requests to the worker; a missing one is 0 or empty.
struct WorkerCall
{
    std::int64_t fencingToken = 0;
    std::int64_t untilMs = 0;
    std::int64_t lastSeen = 0;
    std::int64_t waitMs = 0;
    std::uint32_t runId = 0;
    std::string task;
    std::string spec;
};

bool readText(const Json &body, const char *name, std::string &text)
{
    const auto found = body.find(name);
    if (found == body.end())
        return true;
    if (!found->is_string())
        return false;
    text = found->get<std::string>();
    return true;
}

// Returns nullopt when a field is of the wrong type or out of range.
std::optional<WorkerCall> parseWorkerCall(std::string_view text)
{
    Reason reason;
    const auto body = parseJson(text, reason);
    constexpr std::uint32_t maxRunId = std::numeric_limits<std::uint32_t>::max();
    const std::int64_t none = 0;
    WorkerCall call;
    if (!body || !body->is_object()
        || !readOptionalInteger(*body, "FencingToken", none, maxNumber, call.fencingToken, reason)
        || !readOptionalInteger(*body, "UntilMs", -maxNumber, maxNumber, call.untilMs, reason)
        || !readOptionalInteger(*body, "LastSeen", none, maxNumber, call.lastSeen, reason)
        || !readOptionalInteger(*body, "WaitMs", none, maxWorkMs, call.waitMs, reason)
        || !readOptionalInteger(*body, "RunId", 0U, maxRunId, call.runId, reason)
        || !readText(*body, "Task", call.task) || !readText(*body, "TaskSpec", call.spec))
        return std::nullopt;
    return call;
}

} // namespace

PlatformWorker::PlatformWorker(Loop &loop, const PlatformWorkerOptions &options)
    : loop(loop)
    , options(options)
    , client(loop)
    , startedAt(Loop::now())
    , startedUnixMs(Loop::unixNow())
    , random(options.seed)
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
    this->client.call(call, [this, draining = this->draining](const adapters::HttpResult &result) {
        if (!draining || this->drainAcknowledged || result.status != adapters::statusOk)
            return;
        this->drainAcknowledged = true;
        if (this->options.observe)
            this->options.observe(Loop::now(), "draining acknowledged");
    });
}

void PlatformWorker::refuseRequests(double share, int status)
{
    this->refusedShare = std::clamp(share, 0.0, 1.0);
    this->refusalStatus = status;
}

void PlatformWorker::deregister(std::function<void()> done)
{
    adapters::HttpCall call;
    call.address = this->options.agentAddress;
    call.method = "POST";
    call.target = "/api/Instances.Deregister/" + this->options.id;
    this->client.call(
        call, [done = std::move(done)](const adapters::HttpResult & /*result*/) { done(); });
}

void PlatformWorker::observe(TimeMs at, const std::string &event, const RunKey &key,
                             const std::string &outcome) const
{
    if (this->options.observe)
        this->options.observe(at,
                              event + " " + key.first + " " + std::to_string(key.second)
                                  + (outcome.empty() ? "" : " " + outcome));
}

// Files of a run: NUMBER.PID of each member, and "done" or "broken" after the first end.
std::string PlatformWorker::updateGangMember(const RunKey &key, Run &run)
{
    namespace fs = std::filesystem;
    const auto dot = key.first.rfind('.');
    const fs::path folder = fs::path(this->options.gangFolder)
        / (key.first.substr(0, dot) + "." + std::to_string(key.second));
    std::error_code ignored; // a folder or file may exist already
    fs::create_directories(folder, ignored);
    const auto mark = [&folder](const std::string &name) { std::ofstream(folder / name) << '\n'; };
    if (run.startedAt == 0) {
        run.startedAt = Loop::now();
        mark(key.first.substr(dot + 1) + "." + std::to_string(getpid()));
    }
    std::uint32_t present = 0;
    for (const auto &file : fs::directory_iterator(folder, ignored)) {
        const std::string pid = file.path().extension().string();
        if (!pid.empty() && kill(std::atoi(pid.c_str() + 1), 0) == 0)
            ++present;
    }
    const bool lapsed = this->clock() > this->leaseUntilMs;
    if (fs::exists(folder / "done"))
        return "done";
    if (lapsed || run.stopped || fs::exists(folder / "broken")
        || (run.whole && present < run.members)) {
        mark("broken");
        return lapsed ? "lapsed" : run.stopped ? "" : "broken";
    }
    if (!run.whole && present >= run.members) {
        run.whole = true;
        run.endsAt = Loop::now() + run.workMs;
    }
    if (run.whole && Loop::now() >= run.endsAt)
        mark("done");
    return !run.whole && Loop::now() > run.startedAt + this->options.gangTimeoutMs ? "alone" : "";
}

void PlatformWorker::endDueRuns()
{
    const bool leaseLapsed = this->clock() > this->leaseUntilMs;
    const TimeMs leaseEnd = this->startedAt + this->leaseUntilMs;
    if (leaseLapsed && this->leaseUntilMs > this->lapsedUntilMs && this->options.observe)
        this->options.observe(leaseEnd, "lapsed");
    this->lapsedUntilMs = leaseLapsed ? this->leaseUntilMs : this->lapsedUntilMs;
    for (auto run = this->runs.begin(); run != this->runs.end();) {
        std::string outcome =
            run->second.members == 0 ? "" : this->updateGangMember(run->first, run->second);
        const bool due = Loop::now() >= run->second.endsAt;
        if (!due && !leaseLapsed && outcome.empty()) {
            ++run;
            continue;
        }
        // This process may have been paused past both times; the earlier one counts.
        const bool endedBefore = due && run->second.endsAt <= leaseEnd;
        if (outcome.empty() || (run->second.stopped && outcome != "done"))
            outcome = leaseLapsed && !endedBefore ? "lapsed"
                : run->second.stopped             ? "stopped"
                                                  : "done";
        std::uint32_t &highestRefused = this->highestRefusedRunIds[run->first.first];
        highestRefused = std::max(highestRefused, run->first.second);
        this->endedRuns.push_back({++this->lastEndedNumber, run->first, outcome});
        this->observe(outcome == "lapsed" ? std::min(leaseEnd, Loop::now())
                          : endedBefore   ? run->second.endsAt
                                          : Loop::now(),
                      "end", run->first, outcome);
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
    const std::size_t count = std::min(this->endedRuns.size(), maxListedEnds);
    for (const EndedRun &endedRun : absl::MakeConstSpan(this->endedRuns).first(count))
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
    if (std::bernoulli_distribution(this->refusedShare)(this->random)) {
        ++this->refusedCount;
        this->server->respond(request.id, {this->refusalStatus, ""});
        return;
    }
    const auto call = parseWorkerCall(request.body);
    if (!call) {
        this->server->respond(request.id, {adapters::statusBadRequest, R"({"Error":"invalid"})"});
        return;
    }
    const auto refuse = [&](const char *reason) {
        const Json body = {{"ClockMs", this->clock()}, {"Reason", reason}};
        this->server->respond(request.id, {adapters::statusConflict, body.dump()});
    };
    const auto requestToken = static_cast<std::uint64_t>(call->fencingToken);
    if (requestToken < this->fencingToken) {
        refuse("fence");
        return;
    }
    this->fencingToken = requestToken;
    const auto requestedLeaseEnd = std::min(call->untilMs, this->clock() + maxLeaseMs);
    this->leaseUntilMs = std::max(this->leaseUntilMs, requestedLeaseEnd);
    if (request.path == "/api/hold") {
        const auto lastSeen = static_cast<std::uint64_t>(call->lastSeen);
        for (const EndedRun &endedRun : this->endedRuns) {
            if (endedRun.number <= lastSeen)
                this->observe(Loop::now(), "acknowledged", endedRun.key, endedRun.outcome);
        }
        this->endedRuns.erase(std::remove_if(this->endedRuns.begin(), this->endedRuns.end(),
                                             [lastSeen](const EndedRun &endedRun) {
                                                 return endedRun.number <= lastSeen;
                                             }),
                              this->endedRuns.end());
        this->respondToHold(request, call->waitMs);
        return;
    }
    const RunKey key = {call->task, call->runId};
    if (request.path == "/api/run-start") {
        if (key.second <= this->highestRefusedRunIds[key.first]) {
            refuse("old");
            return;
        }
        if (this->clock() > this->leaseUntilMs) {
            refuse("late");
            return;
        }
        char *rest = nullptr;
        Run run;
        run.workMs =
            std::clamp<std::int64_t>(std::strtol(call->spec.c_str(), &rest, 10), 0, maxWorkMs);
        run.endsAt = Loop::now() + run.workMs;
        if (!this->options.gangFolder.empty())
            run.members = static_cast<std::uint32_t>(std::strtoul(rest, nullptr, 10));
        if (run.members > 0)
            run.endsAt = std::numeric_limits<TimeMs>::max();
        if (this->runs.emplace(key, run).second) {
            ++this->startCount;
            this->observe(Loop::now(), "start", key);
        }
    } else if (request.path == "/api/run-stop") {
        std::uint32_t &highestRefused = this->highestRefusedRunIds[key.first];
        highestRefused = std::max(highestRefused, key.second);
        const auto found = this->runs.find(key);
        if (found != this->runs.end() && !found->second.stopped) {
            found->second.endsAt = Loop::now() + this->options.stopMs;
            found->second.stopped = true;
        }
    } else {
        this->server->respond(request.id, {adapters::statusNotFound, "{}"});
        return;
    }
    this->server->respond(request.id,
                          {adapters::statusOk, Json{{"ClockMs", this->clock()}}.dump()});
}

} // namespace flamingo::standin
