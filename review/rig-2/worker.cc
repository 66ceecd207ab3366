// Stand-in for a worker, as the users' protocol page describes it. It writes what happens to
// standard output, one event a line after the Unix time in milliseconds.
//
// TaskSpec is "MIN MAX HOW RUNS LATER": a run with an id of at most RUNS ends as HOW after MIN to
// MAX milliseconds, spread evenly over the tasks' indexes; a run with a higher id is done after
// LATER milliseconds, and does not end by itself where LATER is 0.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/json_parse.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>

namespace {

using namespace flamingo;
using adapters::Loop;
using Json = nlohmann::json;
using RunKey = std::pair<std::string, std::uint32_t>; // task, run id

constexpr TimeMs stepMs = 5;
constexpr std::int64_t longestLeaseMs = 10000;
constexpr std::size_t mostListedEnds = 500;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusMisdirected = 421;

struct Settings
{
    std::string id;
    std::string address;
    std::string agent;
    std::string service;
    std::string kind;
    std::string rack;
    std::int64_t cpuMilli = 0;
    TimeMs heartbeatMs = 0;
    TimeMs stopMs = 0;
};

struct Run
{
    TimeMs startedAt = 0;
    TimeMs endsAt = 0; // 0: does not end by itself
    std::string how;
};

// Tasks that do not end by themselves are at work at once.
std::int64_t percentOf(const Run &run)
{
    constexpr std::int64_t whole = 100;
    if (run.endsAt == 0)
        return whole;
    return (Loop::now() - run.startedAt) * whole / std::max<TimeMs>(1, run.endsAt - run.startedAt);
}

class Worker
{
public:
    Worker(Loop &loop, const Settings &settings)
        : loop(loop)
        , settings(settings)
        , client(loop)
        , startedAt(Loop::now())
        , bornUnixMs(Loop::unixNow())
    {
    }

    bool start()
    {
        Reason reason;
        adapters::HttpServerOptions options;
        options.address = this->settings.address;
        this->server = adapters::HttpServer::listen(
            this->loop, options,
            [this](const adapters::HttpRequest &request) { this->handle(request); }, nullptr,
            reason);
        if (this->server == nullptr) {
            std::cerr << reason.text << "\n";
            return false;
        }
        this->loop.every(stepMs, [this] { this->endRuns(); });
        this->loop.every(this->settings.heartbeatMs, [this] { this->sendHeartbeat(); });
        this->note("up kind=" + this->settings.kind);
        return true;
    }

private:
    std::int64_t clock() const
    {
        return Loop::now() - this->startedAt + 1;
    }

    void note(const std::string &event) const
    {
        std::cout << Loop::unixNow() << " " << event << std::endl;
    }

    void sendHeartbeat()
    {
        const Json body = {
            {"Service", this->settings.service},
            {"Address", this->settings.address},
            {"Zone", "z1"},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity", {{"Cpu", this->settings.cpuMilli}, {"MemMb", 256000}, {"Gpus", 8}}},
            {"Labels", {this->settings.kind, this->settings.rack}},
            {"ClockMs", this->clock()},
            {"Sequence", ++this->heartbeats},
            {"born", this->bornUnixMs}};
        adapters::HttpCall call;
        call.address = this->settings.agent;
        call.method = "POST";
        call.target = "/api/Instances.Heartbeat/" + this->settings.id;
        call.body = body.dump();
        call.timeoutMs = 1000;
        this->client.call(call, [](const adapters::HttpResult & /*result*/) {});
    }

    void end(const RunKey &key, const std::string &how)
    {
        this->runs.erase(key);
        std::uint32_t &refused = this->refusedRuns[key.first];
        refused = std::max(refused, key.second);
        this->ends.push_back({++this->lastEnd, key.first, key.second, how, ""});
        this->note("end " + key.first + " " + std::to_string(key.second) + " " + how);
    }

    void endRuns()
    {
        const bool lapsed = this->clock() > this->leaseUntil;
        std::vector<std::pair<RunKey, std::string>> over;
        for (const auto &[key, run] : this->runs) {
            if (lapsed)
                over.emplace_back(key, "lapsed");
            else if (run.endsAt != 0 && Loop::now() >= run.endsAt)
                over.emplace_back(key, run.how);
        }
        for (const auto &[key, how] : over)
            this->end(key, how);
    }

    void hold(const adapters::HttpRequest &request, TimeMs waitMs)
    {
        if (waitMs > 0 && this->ends.empty()) {
            this->loop.after(stepMs,
                             [this, request, waitMs] { this->hold(request, waitMs - stepMs); });
            return;
        }
        Json running = Json::array();
        for (const auto &[key, run] : this->runs)
            running.push_back({key.first, key.second, "", percentOf(run), 0});
        const auto count = static_cast<std::ptrdiff_t>(std::min(this->ends.size(), mostListedEnds));
        const Json body = {
            {"ClockMs", this->clock()},
            {"born", this->bornUnixMs},
            {"Running", running},
            {"Ended", std::vector<Json>(this->ends.begin(), this->ends.begin() + count)}};
        this->server->respond(request.id, {statusOk, body.dump()});
    }

    Run newRun(const RunKey &key, const std::string &spec) const
    {
        std::istringstream words(spec);
        TimeMs least = 0;
        TimeMs most = 0;
        std::uint32_t lastRun = 0;
        Run run;
        TimeMs laterMs = 0;
        words >> least >> most >> run.how >> lastRun >> laterMs;
        run.startedAt = Loop::now();
        if (key.second > lastRun) {
            run.how = "done";
            run.endsAt = laterMs == 0 ? 0 : run.startedAt + laterMs;
            return run;
        }
        constexpr std::size_t spread = 389; // a prime: indexes that follow each other lie apart
        constexpr std::size_t stride = 41;
        const std::size_t index = std::stoul(key.first.substr(key.first.rfind('.') + 1));
        run.endsAt = run.startedAt + least
            + (most - least) * static_cast<TimeMs>(index * stride % spread)
                / static_cast<TimeMs>(spread);
        return run;
    }

    void startRun(const adapters::HttpRequest &request, const Json &body, const RunKey &key)
    {
        const auto refused = this->refusedRuns.find(key.first);
        if (refused != this->refusedRuns.end() && key.second <= refused->second) {
            this->refuse(request, "old");
            return;
        }
        if (this->clock() > this->leaseUntil) {
            this->refuse(request, "late");
            return;
        }
        if (this->runs.emplace(key, this->newRun(key, body.value("TaskSpec", ""))).second)
            this->note("start " + key.first + " " + std::to_string(key.second)
                       + " kind=" + this->settings.kind);
        this->confirm(request);
    }

    void stopRun(const adapters::HttpRequest &request, const RunKey &key)
    {
        std::uint32_t &refused = this->refusedRuns[key.first];
        refused = std::max(refused, key.second);
        const auto found = this->runs.find(key);
        if (found != this->runs.end() && found->second.how != "stopped")
            found->second = {found->second.startedAt, Loop::now() + this->settings.stopMs,
                             "stopped"};
        this->confirm(request);
    }

    void confirm(const adapters::HttpRequest &request)
    {
        this->server->respond(
            request.id,
            {statusOk, Json{{"ClockMs", this->clock()}, {"born", this->bornUnixMs}}.dump()});
    }

    void refuse(const adapters::HttpRequest &request, const char *reason)
    {
        const Json body = {
            {"ClockMs", this->clock()}, {"born", this->bornUnixMs}, {"Reason", reason}};
        this->server->respond(request.id, {statusConflict, body.dump()});
    }

    void handle(const adapters::HttpRequest &request)
    {
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != this->settings.id) {
            this->server->respond(request.id, {statusMisdirected, "{}"});
            return;
        }
        Reason reason;
        const Json body = parseJson(request.body, reason).value_or(Json::object());
        const auto token = body.value("FencingToken", std::uint64_t(0));
        if (token < this->fencingToken) {
            this->refuse(request, "fence");
            return;
        }
        this->fencingToken = token;
        const auto until = body.value("UntilMs", std::int64_t(0));
        this->leaseUntil =
            std::max(this->leaseUntil, std::min(until, this->clock() + longestLeaseMs));
        const RunKey key = {body.value("Task", ""), body.value("RunId", 0U)};
        if (request.path == "/api/run-start") {
            this->startRun(request, body, key);
        } else if (request.path == "/api/run-stop") {
            this->stopRun(request, key);
        } else {
            const auto seen = body.value("LastSeen", std::uint64_t(0));
            while (!this->ends.empty() && this->ends.front()[0].get<std::uint64_t>() <= seen)
                this->ends.erase(this->ends.begin());
            this->hold(request, body.value("WaitMs", TimeMs(0)));
        }
    }

    Loop &loop;
    Settings settings;
    adapters::HttpClient client;
    std::unique_ptr<adapters::HttpServer> server;
    TimeMs startedAt;
    std::uint64_t bornUnixMs;
    std::uint64_t heartbeats = 0;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseUntil = 0; // on clock()
    std::map<RunKey, Run> runs;
    std::map<std::string, std::uint32_t> refusedRuns; // highest run that ended or was stopped
    std::vector<Json> ends;
    std::uint64_t lastEnd = 0;
};

} // namespace

// worker ID ADDRESS AGENT SERVICE KIND RACK CPU_MILLI HEARTBEAT_MS STOP_MS
int main(int argc, char **argv)
{
    constexpr int argumentCount = 10;
    if (argc != argumentCount)
        return 2;
    const std::vector<std::string> words(argv + 1, argv + argc);
    const Settings settings = {words[0],
                               words[1],
                               words[2],
                               words[3],
                               words[4],
                               words[5],
                               std::stoll(words[6]), // NOLINT
                               std::stoll(words[7]),
                               std::stoll(words[8])}; // NOLINT
    Loop loop;
    Worker worker(loop, settings);
    if (!worker.start())
        return 2;
    loop.onShutdownSignal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
