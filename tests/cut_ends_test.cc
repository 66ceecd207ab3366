// Guards against tasks that run twice: a worker lists 500 ends in one answer, so a run that has
// ended may be in neither of its lists until the first ends have been acknowledged.

#include "flamingo/adapters/http_server.h"
#include "flamingo/json_parse.h"
#include "flamingo/scheduler/host_agent.h"
#include "platform/worker.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::platform;
using namespace flamingo::scheduler;

namespace {

constexpr const char *workerAddress = "127.0.0.1:18692";
constexpr TimeMs stepMs = 10;
constexpr TimeMs testTimeoutMs = 5000;
constexpr std::uint64_t leaderToken = 7;
constexpr std::uint64_t runCount = 620;
constexpr std::uint64_t endsPerAnswer = 500;

// A worker whose runs all end at the same time, with success.
struct ListingWorker
{
    bool ended = false;
    std::int64_t clockMs = 1;
    std::unique_ptr<HttpServer> server;

    explicit ListingWorker(Loop &loop)
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
        Reason reason;
        const auto call = parseJson(request.body, reason);
        const std::uint64_t lastSeen = call->value("LastSeen", std::uint64_t(0));
        nlohmann::json running = nlohmann::json::array();
        nlohmann::json ends = nlohmann::json::array();
        for (std::uint64_t i = 1; i <= runCount; ++i) {
            const std::string task = "t." + std::to_string(i);
            if (!this->ended)
                running.push_back({task, 1, "", 10, 0});
            else if (i > lastSeen && i <= lastSeen + endsPerAnswer)
                ends.push_back({i, task, 1, "done", ""});
        }
        const nlohmann::json body = {
            {"born", 1}, {"ClockMs", ++this->clockMs}, {"Running", running}, {"Ended", ends}};
        this->server->respond(request.id, {200, body.dump()});
    }
};

struct Fixture
{
    Loop loop;
    ListingWorker worker{this->loop};
    WorkerClient client{this->loop, {workerAddress}};
    HostAgent agent;

    Fixture()
    {
        this->agent.options.host = "h1";
        WorkerInfo info;
        info.id = "w";
        info.bornUnixMs = 1;
        applyHeartbeat(this->agent, info, 1, Loop::now());
    }

    void applyOrders(std::uint64_t acknowledgedEnd)
    {
        HostOrders orders;
        orders.epoch = 1;
        orders.workerKey = workerKey("h1", *this->agent.worker);
        orders.fencingToken = leaderToken;
        orders.grantMs = testTimeoutMs;
        orders.acknowledgedEnd = acknowledgedEnd;
        scheduler::applyOrders(this->agent, orders, Loop::now(), 0, Loop::now());
    }

    template <typename Condition>
    bool callWorkerUntil(Condition condition)
    {
        const TimeMs end = Loop::now() + testTimeoutMs;
        while (!condition() && Loop::now() < end) {
            for (const WorkerCall &call : dueCalls(this->agent, Loop::now())) {
                this->client.call(call, [this, call](const WorkerAnswer &answer) {
                    applyAnswer(this->agent, call, answer, Loop::now());
                });
            }
            this->loop.after(stepMs, [this] { this->loop.stop(); });
            this->loop.run();
            this->loop.resume();
        }
        return condition();
    }
};

} // namespace

TEST_GROUP(CutEnds){};

TEST(CutEnds, runsBeyondTheListAreReportedUntilTheirEndIsListed)
{
    Fixture fixture;
    HostAgent &agent = fixture.agent;
    fixture.applyOrders(0);
    CHECK(fixture.callWorkerUntil([&agent] { return agent.runs.size() == runCount; }));
    fixture.worker.ended = true;
    CHECK(fixture.callWorkerUntil([&agent] { return agent.ends.size() == endsPerAnswer; }));
    const HostReport report = makeReport(agent);
    CHECK_EQUAL(runCount - endsPerAnswer, report.runs.size());
    CHECK(std::all_of(report.runs.begin(), report.runs.end(),
                      [](const ReportedRun &run) { return run.state == RunState::Running; }));
    fixture.applyOrders(endsPerAnswer);
    CHECK(fixture.callWorkerUntil([&agent] { return agent.runs.empty(); }));
    CHECK_EQUAL(runCount - endsPerAnswer, agent.ends.size());
    CHECK_EQUAL(runCount, agent.ends.back().number);
}
