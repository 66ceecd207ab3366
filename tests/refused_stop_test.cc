// Guards against runs that continue after their job was cancelled: a worker that sheds load answers
// a stop with status 429 or 503, which means that it did nothing.

#include "flamingo/adapters/http_server.h"
#include "flamingo/scheduler/host_agent.h"
#include "platform/worker.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::platform;
using namespace flamingo::scheduler;

namespace {

constexpr const char *workerAddress = "127.0.0.1:18691";
constexpr TimeMs stepMs = 10;
constexpr TimeMs testTimeoutMs = 5000;
constexpr std::uint64_t leaderToken = 7;

// A worker with one run, which refuses the first `refusals` stops with `status`.
struct SheddingWorker
{
    Loop &loop;
    int status = 0;
    int refusals = 0;
    int stops = 0;
    bool stopped = false;
    std::int64_t clockMs = 1;
    std::unique_ptr<HttpServer> server;

    SheddingWorker(Loop &loop, int status, int refusals)
        : loop(loop)
        , status(status)
        , refusals(refusals)
    {
        HttpServerOptions options;
        options.address = workerAddress;
        Reason reason;
        this->server = HttpServer::listen(
            loop, options, [this](const HttpRequest &request) { this->handle(request); }, nullptr,
            reason);
        CHECK_TEXT(this->server != nullptr, reason.text.c_str());
    }

    void handle(const HttpRequest &request)
    {
        if (request.path == "/api/run-stop" && ++this->stops <= this->refusals) {
            this->server->respond(request.id, {this->status, ""});
            return;
        }
        this->stopped = this->stopped || request.path == "/api/run-stop";
        const std::string lists = this->stopped ? R"("Running":[],"Ended":[[1,"t",1,"stopped",""]])"
                                                : R"("Running":[["t",1,"",10,0]],"Ended":[])";
        this->server->respond(
            request.id,
            {200,
             "{\"born\":1,\"ClockMs\":" + std::to_string(++this->clockMs) + "," + lists + "}"});
    }
};

void callWorker(Loop &loop, HostAgent &agent, WorkerClient &client)
{
    for (const WorkerCall &call : dueCalls(agent, Loop::now())) {
        client.call(call, [&agent, call](const WorkerAnswer &answer) {
            applyAnswer(agent, call, answer, Loop::now());
        });
    }
    loop.after(stepMs, [&loop, &agent, &client] { callWorker(loop, agent, client); });
}

bool stopReachesTheWorker(int status)
{
    Loop loop;
    SheddingWorker worker(loop, status, 3);
    WorkerClient client(loop, {workerAddress});
    HostAgent agent;
    agent.options.host = "h1";
    WorkerInfo info;
    info.id = "w";
    info.bornUnixMs = 1;
    applyHeartbeat(agent, info, 1, Loop::now());
    HostOrders orders;
    orders.epoch = 1;
    orders.workerKey = workerKey("h1", info);
    orders.fencingToken = leaderToken;
    orders.grantMs = testTimeoutMs;
    orders.stops.push_back({"t", 1});
    applyOrders(agent, orders, Loop::now(), 0, Loop::now());
    callWorker(loop, agent, client);
    const TimeMs end = Loop::now() + testTimeoutMs;
    while (!worker.stopped && Loop::now() < end) {
        loop.after(stepMs, [&loop] { loop.stop(); });
        loop.run();
        loop.resume();
    }
    return worker.stopped;
}

} // namespace

TEST_GROUP(RefusedStop){};

TEST(RefusedStop, isRepeatedUntilAnOverloadedWorkerCarriesItOut)
{
    CHECK(stopReachesTheWorker(429));
}

TEST(RefusedStop, isRepeatedUntilAnUnhealthyWorkerCarriesItOut)
{
    CHECK(stopReachesTheWorker(503));
}
