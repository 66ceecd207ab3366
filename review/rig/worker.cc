#include "review/rig/worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t holdMaxMs = 10000;
constexpr std::int64_t maxWaitMs = 2000;
constexpr std::int64_t stepMs = 5;
constexpr std::int64_t beatMs = 1500;
constexpr std::size_t endsAtATime = 500;
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

} // namespace

Worker::Worker(const WorkerOptions &options)
    : options(options)
    , startedAt(nowMs())
    , bornUnixMs(unixMs())
{
    this->server = std::make_unique<Server>(
        options.ip, options.port, [this](const Request &request) { return this->handle(request); });
    this->workThread = std::thread([this] { this->work(); });
    this->beatThread = std::thread([this] { this->beat(); });
}

Worker::~Worker()
{
    this->over = true;
    this->server.reset();
    this->workThread.join();
    this->beatThread.join();
    sleepMs(maxWaitMs + 100); // threads of connections may still be in hold()
}

std::int64_t Worker::clock() const
{
    return nowMs() - this->startedAt + 1;
}

std::string Worker::savedOf(const RunKey &key) const
{
    return this->options.checkpoint ? this->options.checkpoint(key.first, key.second) : "";
}

void Worker::finish(const RunKey &key, const std::string &how)
{
    this->ends.push_back({++this->lastEnd, key, how, this->savedOf(key)});
    std::uint32_t &refused = this->refusedRuns[key.first];
    refused = std::max(refused, key.second);
    this->options.observe("end " + key.first + " " + std::to_string(key.second) + " " + how);
    this->runs.erase(key);
    this->changed.notify_all();
}

void Worker::work()
{
    while (!this->over) {
        sleepMs(stepMs);
        const std::lock_guard<std::mutex> lock(this->mutex);
        const bool lapsed = this->clock() > this->leaseUntil;
        if (lapsed && this->leaseUntil > this->lapsedLease) {
            this->lapsedLease = this->leaseUntil;
            this->options.observe("lapsed");
        }
        const std::map<RunKey, Run> present = this->runs;
        for (const auto &[key, run] : present) {
            if (lapsed) {
                this->finish(key, "lapsed");
                continue;
            }
            if (nowMs() < run.endsAt)
                continue;
            std::string how = "stopped";
            if (!run.stopping)
                how = this->options.howItEnds ? this->options.howItEnds(key.first, key.second)
                                              : "done";
            if (how.empty())
                this->runs[key].endsAt = never;
            else
                this->finish(key, how);
        }
    }
}

bool Worker::endRun(const std::string &task, const std::string &how)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto &[key, run] : this->runs) {
        if (key.first != task)
            continue;
        this->finish(RunKey(key), how);
        return true;
    }
    return false;
}

std::size_t Worker::runningCount()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs.size();
}

int Worker::sendHeartbeat(const std::string &service, std::uint64_t sequence)
{
    const Json body = {{"Service", service},
                       {"Address", this->options.ip + ":" + std::to_string(this->options.port)},
                       {"Zone", "z1"},
                       {"Version", "v1"},
                       {"Slots", 8},
                       {"State", "ready"},
                       {"ColdRemainingMs", 0},
                       {"Capacity", {{"Cpu", 64000}, {"MemMb", 262144}, {"Gpus", 8}}},
                       {"Labels", {this->options.kind, this->options.rack}},
                       {"ClockMs", this->clock()},
                       {"born", this->bornUnixMs},
                       {"Sequence", sequence}};
    return call(this->options.agentIp, this->options.agentPort, "POST",
                "/api/Instances.Heartbeat/" + this->options.id,
                {{"content-type", "application/json"}}, body.dump(), 1000)
        .status;
}

int Worker::sendForeignHeartbeat(const std::string &service, std::uint64_t sequence)
{
    return this->sendHeartbeat(service, sequence);
}

void Worker::beat()
{
    std::uint64_t sequence = 0;
    while (!this->over) {
        this->sendHeartbeat(this->options.service, ++sequence);
        for (std::int64_t slept = 0; slept < beatMs && !this->over; slept += 50)
            sleepMs(50);
    }
}

Response Worker::hold(std::unique_lock<std::mutex> &lock, std::int64_t waitMs,
                      std::uint64_t lastSeen)
{
    while (!this->ends.empty() && this->ends.front().number <= lastSeen) {
        const End &end = this->ends.front();
        this->options.observe("taken " + end.key.first + " " + std::to_string(end.key.second) + " "
                              + end.how);
        this->ends.pop_front();
    }
    this->changed.wait_for(lock, std::chrono::milliseconds(std::min(waitMs, maxWaitMs)),
                           [this] { return !this->ends.empty() || this->over; });
    if (this->over)
        return {0, ""};
    Json running = Json::array();
    for (const auto &[key, run] : this->runs) {
        const std::int64_t percent = std::min<std::int64_t>(
            99, 100 * (nowMs() - run.startedAt) / std::max<std::int64_t>(1, run.workMs));
        running.push_back({key.first, key.second, this->savedOf(key), percent, 0});
    }
    Json ended = Json::array();
    for (const End &end : this->ends) {
        if (ended.size() == endsAtATime)
            break;
        ended.push_back({end.number, end.key.first, end.key.second, end.how, end.saved});
    }
    return {200,
            Json{{"ClockMs", this->clock()},
                 {"born", this->bornUnixMs},
                 {"Running", running},
                 {"Ended", ended}}
                .dump()};
}

Response Worker::handle(const Request &request)
{
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != this->options.id)
        return {421, "{}"};
    if (this->mute) {
        while (this->mute && !this->over)
            sleepMs(stepMs);
        return {0, ""};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {400, "{}"};
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->over)
        return {0, ""};
    const auto refuse = [this](const char *reason) {
        return Response{409, Json{{"ClockMs", this->clock()}, {"Reason", reason}}.dump()};
    };
    const auto sentToken = body.value("FencingToken", std::uint64_t(0));
    if (sentToken < this->token)
        return refuse("fence");
    this->token = sentToken;
    const std::int64_t until = body.value("UntilMs", std::int64_t(0));
    this->leaseUntil = std::max(this->leaseUntil, std::min(until, this->clock() + holdMaxMs));
    if (request.path == "/api/hold")
        return this->hold(lock, body.value("WaitMs", std::int64_t(0)),
                          body.value("LastSeen", std::uint64_t(0)));
    const RunKey key = {body.value("Task", std::string()), body.value("RunId", 0U)};
    Response done = {200, Json{{"ClockMs", this->clock()}}.dump()};
    if (request.path == "/api/run-stop") {
        std::uint32_t &refused = this->refusedRuns[key.first];
        refused = std::max(refused, key.second);
        const auto found = this->runs.find(key);
        if (found != this->runs.end() && !found->second.stopping) {
            found->second.stopping = true;
            found->second.endsAt = nowMs() + this->options.stopMs;
        }
        return done;
    }
    if (request.path != "/api/run-start")
        return {404, "{}"};
    if (this->runs.count(key) > 0)
        return done;
    if (key.second <= this->refusedRuns[key.first])
        return refuse("old");
    if (until <= this->clock())
        return refuse("late");
    Run run;
    run.startedAt = nowMs();
    run.workMs = std::atoll(body.value("TaskSpec", std::string()).c_str());
    run.endsAt = run.startedAt + run.workMs;
    this->runs[key] = run;
    this->options.observe("start " + key.first + " " + std::to_string(key.second));
    return done;
}

} // namespace review
