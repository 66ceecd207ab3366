// Guards against a stand-in that would hide faults of the daemons, because it starts a task twice
// when the start request is repeated, lets a task outlive its lease, loses or renumbers log lines,
// or ignores an injected fault.

#include "flamingo/adapters/http_client.h"
#include "standin/platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::standin;
using Json = nlohmann::json;

namespace {

constexpr const char *testAddress = "127.0.0.1:18501";
constexpr TimeMs requestTimeoutMs = 5000;

TaskRequest makeTaskRequest(const std::string &task, const std::string &payload)
{
    TaskRequest result;
    result.task = task;
    result.job = "job-" + task;
    result.payload = payload;
    result.mask = 1;
    result.leaseMs = 1000;
    return result;
}

struct Fixture
{
    Loop loop;
    std::unique_ptr<Platform> platform;
    HttpClient client{this->loop};

    Fixture()
    {
        PlatformOptions options;
        options.address = testAddress;
        options.log.appendsPerSecond = 5;
        options.log.retentionLines = 4;
        Reason reason;
        this->platform = Platform::listen(this->loop, options, reason);
        CHECK(this->platform != nullptr);
    }

    // Returns status 0 when no response arrives within timeoutMs.
    HttpResult call(const std::string &method, const std::string &target, const std::string &body,
                    TimeMs timeoutMs = requestTimeoutMs)
    {
        HttpResult result;
        this->client.call({testAddress, method, target, body, timeoutMs}, [&](HttpResult answer) {
            result = std::move(answer);
            this->loop.stop();
        });
        this->loop.run();
        this->loop.resume();
        return result;
    }

    HttpResult post(const std::string &target, const std::string &body,
                    TimeMs timeoutMs = requestTimeoutMs)
    {
        return this->call("POST", target, body, timeoutMs);
    }

    HttpResult get(const std::string &target, TimeMs timeoutMs = requestTimeoutMs)
    {
        return this->call("GET", target, "", timeoutMs);
    }
};

} // namespace

TEST_GROUP(Worker)
{
    Worker worker;
    std::string detail;
    bool fromBeginning = false;

    void setup() override
    {
        worker.usageLagMs = 100000; // no usage event is emitted, except in the test that lowers it
    }

    bool start(const TaskRequest &request, TimeMs now)
    {
        return startTask(worker, request, now, detail, fromBeginning);
    }
};

TEST(Worker, repeatedStartRunsOnceAlsoAfterTheTaskEnded)
{
    CHECK(start(makeTaskRequest("a", R"({"runMs":100,"answer":"x"})"), 0));
    CHECK(fromBeginning);
    CHECK(start(makeTaskRequest("a", ""), 50));
    CHECK_FALSE(fromBeginning);
    advance(worker, 100);
    CHECK(start(makeTaskRequest("a", ""), 150));
    CHECK_FALSE(fromBeginning);
    advance(worker, 1000);
    CHECK_EQUAL(2U, worker.events.size());
    CHECK_EQUAL(std::string("x"), worker.events[1].answer);
}

TEST(Worker, startOfATaskStoppedBeforeIsRefused)
{
    stopTask(worker, "a", 0);
    CHECK_FALSE(start(makeTaskRequest("a", ""), 1));
    CHECK(worker.events.empty());
}

TEST(Worker, newerHolderStopsTheOlderOnesTasksAndFencesIt)
{
    CHECK(acceptHolder(worker, 1, 0));
    CHECK(start(makeTaskRequest("t", R"({"runMs":1000})"), 0));
    CHECK(acceptHolder(worker, 2, 10));
    CHECK(runningTask(worker, "t") == nullptr);
    CHECK_FALSE(acceptHolder(worker, 1, 20));
    CHECK(acceptHolder(worker, 2, 30));
}

TEST(Worker, startOnAcceleratorsInUseIsRefusedUntilTheTaskEnds)
{
    CHECK(start(makeTaskRequest("a", R"({"runMs":100})"), 0));
    CHECK_FALSE(start(makeTaskRequest("b", ""), 50));
    CHECK(detail.find("task a") != std::string::npos);
    advance(worker, 100);
    CHECK(start(makeTaskRequest("b", ""), 100));
}

TEST(Worker, lapsedLeaseStopsTheTaskAndRenewalKeepsIt)
{
    CHECK(start(makeTaskRequest("a", R"({"runMs":5000})"), 0));
    renewLeases(worker, 1000, 900);
    advance(worker, 1899);
    CHECK(runningTask(worker, "a") != nullptr);
    advance(worker, 1900);
    CHECK_EQUAL(std::string("stopped"), worker.events.back().type);
    CHECK_EQUAL(std::string("lease lapsed"), worker.events.back().detail);
}

TEST(Worker, resumedAndThrottledTaskRunsTheRemainingTime)
{
    CHECK(start(makeTaskRequest("a", R"({"runMs":100})"), 0));
    advance(worker, 60);
    TaskRequest resumed = makeTaskRequest("b", R"({"runMs":100})");
    resumed.checkpoint = makeCheckpoint(worker, "a");
    resumed.mask = 2;
    CHECK(start(resumed, 60));
    CHECK_FALSE(fromBeginning);
    CHECK(throttleTask(worker, "b", 50, 60));
    advance(worker, 139);
    CHECK(runningTask(worker, "b") != nullptr);
    CHECK_EQUAL(140, *nextDueTime(worker));
    advance(worker, 140);
    CHECK(runningTask(worker, "b") == nullptr);
}

TEST(Worker, frozenWorkerMakesNoProgressAndStopsLapsedTasksWhenUnfrozen)
{
    CHECK(start(makeTaskRequest("a", R"({"runMs":100})"), 0));
    TaskRequest other = makeTaskRequest("b", R"({"runMs":100})");
    other.mask = 2;
    other.leaseMs = 5000;
    CHECK(start(other, 0));
    setFrozen(worker, true, 50);
    advance(worker, 2000);
    CHECK_EQUAL(2U, worker.events.size());
    setFrozen(worker, false, 2000);
    advance(worker, 2000);
    CHECK_EQUAL(std::string("stopped"), worker.events.back().type);
    CHECK(runningTask(worker, "b") != nullptr);
    advance(worker, 2050);
    CHECK_EQUAL(std::string("finished"), worker.events.back().type);
}

TEST(Worker, slowStopTakesEffectAfterItsTimeUnlessTheTaskFinishesBefore)
{
    worker.stopMs = 300;
    CHECK(start(makeTaskRequest("a", R"({"runMs":1000})"), 0));
    CHECK_FALSE(stopTask(worker, "a", 100));
    CHECK_FALSE(stopTask(worker, "a", 200));
    CHECK_EQUAL(400, *nextDueTime(worker));
    advance(worker, 399);
    CHECK(runningTask(worker, "a") != nullptr);
    advance(worker, 400);
    CHECK_EQUAL(std::string("stopped"), worker.events.back().type);
    CHECK(stopTask(worker, "a", 400));
    CHECK(start(makeTaskRequest("b", R"({"runMs":100})"), 400));
    CHECK(acceptHolder(worker, 1, 450));
    CHECK(runningTask(worker, "b") != nullptr);
    advance(worker, 500);
    CHECK_EQUAL(std::string("finished"), worker.events.back().type);
}

TEST(Worker, leaseOfOneTaskIsRenewed)
{
    TaskRequest other = makeTaskRequest("b", R"({"runMs":5000})");
    other.mask = 2;
    CHECK(start(makeTaskRequest("a", R"({"runMs":5000})"), 0));
    CHECK(start(other, 0));
    renewLease(worker, "a", 1000, 900);
    renewLease(worker, "unknown", 1000, 900);
    advance(worker, 1000);
    CHECK(runningTask(worker, "a") != nullptr);
    CHECK(runningTask(worker, "b") == nullptr);
}

// Guards against a payload that ends the stand-in, or is run with a time that is no time.
TEST(Worker, payloadWithAnOddFieldRunsForTheDefaultTime)
{
    const std::string deep = R"({"runMs":)" + std::string(100000, '[') + "}";
    for (const std::string &payload :
         {std::string(R"({"runMs":"x"})"), std::string(R"({"runMs":-5})"),
          std::string(R"({"runMs":1e300})"), std::string(R"({"checkpointMs":1e300})"),
          std::string(R"({"usedCores":-1})"), std::string(R"({"usedMemoryMib":4294967296})"),
          std::string(R"({"fail":1})"), std::string(R"({"answer":7})"),
          std::string(R"({"failAfterMs":null})"), deep}) {
        Worker fresh;
        fresh.usageLagMs = 100000;
        TaskRequest request = makeTaskRequest("a", payload);
        request.checkpoint = R"({"remainingMs":1e300})";
        CHECK(startTask(fresh, request, 0, detail, fromBeginning));
        CHECK_EQUAL(defaultRunMs, *nextDueTime(fresh));
        advance(fresh, defaultRunMs);
        CHECK_EQUAL(payload, fresh.events.back().answer);
    }
}

TEST(Worker, failuresAreReportedAndUsageEventsAreDelayed)
{
    worker.usageLagMs = 300;
    TaskRequest failing = makeTaskRequest("a", R"({"runMs":100,"failAfterMs":30,"usedCores":7})");
    CHECK(start(failing, 0));
    advance(worker, 30);
    CHECK_FALSE(worker.events.back().ok);
    worker.failAll = true;
    CHECK(start(makeTaskRequest("b", ""), 40));
    advance(worker, 45);
    CHECK_FALSE(worker.events.back().ok);
    advance(worker, 329);
    CHECK_EQUAL(4U, worker.events.size());
    advance(worker, 330);
    CHECK_EQUAL(std::string("usage"), worker.events.back().type);
    CHECK_EQUAL(7U, worker.events.back().cores);
}

TEST_GROUP(Platform)
{
    Fixture fixture;
};

TEST(Platform, logAssignsConsecutiveOffsetsTrimsAndLimitsTheRate)
{
    CHECK_EQUAL(404, fixture.get("/log").status);
    CHECK_EQUAL(400, fixture.post("/log/s", "{}").status);
    for (int i = 0; i < 5; ++i) {
        const auto body = Json::parse(fixture.post("/log/s", R"({"lines":["a","b"]})").body);
        CHECK_EQUAL(2 * i, body["offset"].get<int>());
    }
    CHECK_EQUAL(429, fixture.post("/log/s", R"({"lines":["c"]})").status);
    const HttpResult trimmed = fixture.get("/log/s?from=5");
    CHECK_EQUAL(410, trimmed.status);
    CHECK_EQUAL(6, Json::parse(trimmed.body)["oldest"].get<int>());
    const auto slice = Json::parse(fixture.get("/log/s?from=7&max=2").body);
    CHECK_EQUAL(2U, slice["lines"].size());
    CHECK_EQUAL(7, slice["lines"][0]["offset"].get<int>());
    CHECK_EQUAL(9, slice["next"].get<int>());
}

TEST(Platform, waitingReadIsAnsweredByTheAppendOrByTheTimeout)
{
    CHECK_EQUAL(0U, Json::parse(fixture.get("/log/s?from=0&wait_ms=50").body)["lines"].size());
    HttpResult appended;
    fixture.loop.after(20, [&] {
        fixture.client.call({testAddress, "POST", "/log/s", R"({"lines":["a"]})", requestTimeoutMs},
                            [&](HttpResult result) { appended = std::move(result); });
    });
    const auto body = Json::parse(fixture.get("/log/s?from=0&wait_ms=4000").body);
    CHECK_EQUAL(std::string("a"), body["lines"][0]["text"].get<std::string>());
}

TEST(Platform, logFaultsTakeEffect)
{
    fixture.post("/faults", R"({"loseAnswers":1})");
    CHECK_EQUAL(500, fixture.post("/log/s", R"({"lines":["a"]})").status);
    CHECK_EQUAL(1, Json::parse(fixture.get("/log/s?from=0").body)["next"].get<int>());
    fixture.post("/faults", R"({"log":"slow","slowMs":300})");
    CHECK_EQUAL(0, fixture.post("/log/s", R"({"lines":["b"]})", 100).status);
    fixture.post("/faults", R"({"log":"down"})");
    CHECK_EQUAL(503, fixture.get("/log/s?from=0").status);
    fixture.post("/faults", R"({"log":"up"})");
    CHECK_EQUAL(2, Json::parse(fixture.get("/log/s?from=0").body)["next"].get<int>());
    CHECK_EQUAL(400, fixture.post("/faults", R"({"logs":"up"})").status);
}

TEST(Platform, tasksRunOnceAndFrozenWorkersDoNotAnswer)
{
    const std::string task = R"({"task":"t","job":"j","payload":"p","mask":1,"leaseMs":1000})";
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks", task).status);
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks", task).status);
    const auto started = Json::parse(fixture.get("/workers/w/events?from=0").body);
    CHECK_EQUAL(1, started["next"].get<int>());
    const auto ended = Json::parse(fixture.get("/workers/w/events?from=1&wait_ms=2000").body);
    CHECK_EQUAL(std::string("p"), ended["events"][0]["answer"].get<std::string>());
    CHECK_EQUAL(std::string(R"({"j":1})"), fixture.get("/runs").body);
    fixture.post("/faults", R"({"worker":{"name":"w","frozen":true}})");
    CHECK_EQUAL(0, fixture.get("/workers/w/events?from=0", 100).status);
    fixture.post("/faults", R"({"worker":{"name":"w","frozen":false}})");
    CHECK_EQUAL(200, fixture.get("/workers/w/events?from=0").status);
}

TEST(Platform, startRepeatedAfterALostAnswerRunsOnce)
{
    const std::string task = R"({"task":"t","job":"j","payload":"p","mask":1,"leaseMs":1000})";
    fixture.post("/faults", R"({"worker":{"name":"w","loseAnswers":1}})");
    CHECK_EQUAL(500, fixture.post("/workers/w/tasks", task).status);
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks", task).status);
    CHECK_EQUAL(std::string(R"({"j":1})"), fixture.get("/runs").body);
}

TEST(Platform, busyWorkerRefusesAShareOfItsCallsAndDoesNothing)
{
    const std::string task = R"({"task":"t","job":"j","payload":"p","mask":1,"leaseMs":1000})";
    const std::string fault =
        R"({"worker":{"name":"w","refusePercent":50,"refuseStatus":503,"refuseSeed":1}})";
    CHECK_EQUAL(200, fixture.post("/faults", fault).status);
    std::string first;
    for (int i = 0; i < 40; ++i)
        first += fixture.post("/workers/w/lease", R"({"leaseMs":1})").status == 503 ? "r" : "a";
    const auto refused = std::count(first.begin(), first.end(), 'r');
    CHECK_COMPARE(10, <, refused);
    CHECK_COMPARE(30, >, refused);
    fixture.post("/faults", fault);
    std::string second;
    for (int i = 0; i < 40; ++i)
        second += fixture.post("/workers/w/lease", R"({"leaseMs":1})").status == 503 ? "r" : "a";
    CHECK_EQUAL(first, second);
    fixture.post("/faults", R"({"worker":{"name":"w","refusePercent":100}})");
    CHECK_EQUAL(503, fixture.post("/workers/w/tasks?holder=9", task).status);
    fixture.post("/faults", R"({"worker":{"name":"w","refusePercent":0}})");
    CHECK_EQUAL(std::string("{}"), fixture.get("/runs").body);
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks?holder=8", task).status);
    CHECK_EQUAL(400,
                fixture.post("/faults", R"({"worker":{"name":"w","refusePercent":101}})").status);
}

TEST(Platform, slowStopIsAnsweredAsInProgressAndLeasesNameTheTasksThatRun)
{
    const std::string task =
        R"({"task":"t","job":"j","payload":"{\"runMs\":5000}","mask":1,"leaseMs":2000})";
    fixture.post("/faults", R"({"worker":{"name":"w","stopMs":300}})");
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks?holder=3", task).status);
    const auto renewed = fixture.post("/workers/w/lease", R"({"leaseMs":2000,"tasks":["t"]})");
    CHECK(Json::parse(renewed.body).at("tasks") == Json::array({"t"}));
    CHECK_EQUAL(202, fixture.post("/workers/w/tasks/t/stop", "{}").status);
    const auto events = Json::parse(fixture.get("/workers/w/events?from=1&wait_ms=2000").body);
    CHECK_EQUAL(std::string("stopped"), events["events"][0]["type"].get<std::string>());
    CHECK_EQUAL(200, fixture.post("/workers/w/tasks/t/stop", "{}").status);
    const auto fenced = fixture.post("/workers/w/lease?holder=2", R"({"leaseMs":2000})");
    CHECK_EQUAL(403, fenced.status);
    CHECK_EQUAL(3, Json::parse(fenced.body).at("holder").get<int>());
    CHECK_EQUAL(400, fixture.post("/workers/w/lease", R"({"leaseMs":1e300})").status);
}
