// End-to-end tests of the entry and agent processes over loopback sockets, with stand-ins for the
// platform's store and workers, and tests of the decoders of settings, submissions and heartbeats.
// The tests run without the platform's bench.

#include "flamingo/adapters/host_agent_service.h"
#include "platform/agent_process.h"
#include "platform/entry_process.h"
#include "standin/keyed_store.h"
#include "standin/platform_worker.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <list>
#include <sstream>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::platform;

namespace {

constexpr TimeMs testTimeoutMs = 8000;
constexpr TimeMs evacuationBoundMs = 2000;
constexpr const char *storeAddress = "127.0.0.1:18600";
constexpr const char *configuration =
    R"({"Version":3,"Routes":[{"Name":"r1","Hostname":"h.example","PathPrefix":"/q/",
        "TargetLatencyMs":400,"Priority":0,"Service":"s","MaxAttempts":2,"Stretch":1.5}],
        "Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":262144},
        "Tenants":[{"Name":"t1","ApiKeys":["secret"],"Guaranteed":{"Gpus":8}}]})";

NodeSettings nodeSettings(const std::string &name, const std::string &ip)
{
    NodeSettings settings;
    settings.node = name;
    settings.ip = ip;
    settings.firstInternalPort = 18610;
    settings.lastInternalPort = 18615;
    settings.callerAddress = ip + ":18601";
    settings.readinessAddress = ip + ":18602";
    settings.heartbeatAddress = ip + ":18603";
    settings.workerAddress = ip + ":18604";
    settings.workerService = "s";
    settings.storeAddress = storeAddress;
    settings.seedIps = {"127.0.0.2", "127.0.0.3"};
    settings.stopMs = 20;
    settings.dataCentre = "d-" + name;
    settings.evacuationMs = evacuationBoundMs;
    return settings;
}

struct Fixture
{
    Loop loop;
    HttpClient client{this->loop};
    std::unique_ptr<standin::KeyedStore> store;
    std::list<EntryProcess> entries;
    std::list<AgentProcess> agents;
    std::list<std::unique_ptr<standin::PlatformWorker>> workers;

    Fixture()
    {
        Reason reason;
        this->store = standin::KeyedStore::listen(this->loop, storeAddress, reason);
        CHECK(this->store != nullptr);
        this->store->appendUnfenced("keyed.op", "config", configuration);
    }

    void addEntry(const std::string &name, const std::string &ip)
    {
        Reason reason;
        CHECK(this->entries.emplace_back(this->loop, nodeSettings(name, ip)).start(reason));
    }

    standin::PlatformWorker &addHost(const std::string &name, const std::string &ip)
    {
        const NodeSettings settings = nodeSettings(name, ip);
        Reason reason;
        CHECK(this->agents.emplace_back(this->loop, settings).start(reason));
        standin::PlatformWorkerOptions options;
        options.id = "i-" + name;
        options.address = settings.workerAddress;
        options.agentAddress = settings.heartbeatAddress;
        options.service = "s";
        options.rack = "r1";
        this->workers.push_back(standin::PlatformWorker::listen(this->loop, options, reason));
        CHECK(this->workers.back() != nullptr);
        return *this->workers.back();
    }

    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        const TimeMs end = Loop::now() + testTimeoutMs;
        while (!condition() && Loop::now() < end) {
            this->loop.after(1, [this] { this->loop.stop(); });
            this->loop.run();
            this->loop.resume();
        }
        return condition();
    }

    void runFor(TimeMs ms)
    {
        const TimeMs end = Loop::now() + ms;
        this->waitUntil([end] { return Loop::now() >= end; });
    }

    HttpResult call(const std::string &ip, const std::string &method, const std::string &path,
                    const std::string &body = "", const std::string &key = "secret")
    {
        std::optional<HttpResult> result;
        HttpCall call;
        call.address = ip + ":18601";
        call.method = method;
        call.target = path;
        call.body = body;
        call.headers = {{"authorization", "Bearer " + key}};
        call.host = "h.example";
        this->client.call(call, [&result](const HttpResult &answer) { result = answer; });
        CHECK(this->waitUntil([&result] { return result.has_value(); }));
        return *result;
    }

    bool waitForState(const std::string &ip, const std::string &id, const std::string &state)
    {
        for (int i = 0; i < 200; ++i) {
            const HttpResult result = this->call(ip, "GET", "/q/" + id);
            if (result.body == R"({"State":")" + state + R"("})")
                return true;
            this->runFor(20);
        }
        return false;
    }

    bool waitForLeader()
    {
        return this->waitUntil([this] {
            bool hasLeader = false;
            for (const EntryProcess &entry : this->entries)
                hasLeader = hasLeader || entry.schedulerService().leading();
            return hasLeader;
        });
    }
};

std::string job(const std::string &takesMs, int tasks = 1)
{
    return R"({"TaskSpec":")" + takesMs + R"(","Steps":[{"Count":)" + std::to_string(tasks)
        + R"(,"Cpu":1000,"MemMb":100,"Gpus":2,"EstimateMs":100}]})";
}

// Idle connections to one address.
class IdleConnections
{
public:
    IdleConnections(const char *ip, std::uint16_t port)
    {
        this->address.sin_family = AF_INET;
        this->address.sin_port = htons(port);
        inet_pton(AF_INET, ip, &this->address.sin_addr);
    }
    ~IdleConnections()
    {
        for (const int descriptor : this->descriptors)
            close(descriptor);
    }
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    void add()
    {
        this->descriptors.push_back(socket(AF_INET, SOCK_STREAM, 0));
        CHECK_EQUAL(0,
                    connect(this->descriptors.back(),
                            reinterpret_cast<const sockaddr *>(&this->address), sizeof address));
    }

private:
    sockaddr_in address = {};
    std::vector<int> descriptors;
};

} // namespace

TEST_GROUP(Platform){};

TEST(Platform, jobRunsEndToEnd)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    fixture.addEntry("e2", "127.0.0.3");
    standin::PlatformWorker &worker = fixture.addHost("h1", "127.0.0.4");
    CHECK(fixture.waitForLeader());
    const std::string id = "0123456789abcdef";
    LONGS_EQUAL(200, fixture.call("127.0.0.2", "POST", "/q/" + id, job("100", 3)).status);
    CHECK(fixture.waitForState("127.0.0.3", id, "completed")); // as seen by the other entry
    LONGS_EQUAL(3, worker.startedRuns());
    LONGS_EQUAL(200, fixture.call("127.0.0.3", "POST", "/q/" + id, job("100", 3)).status);
    LONGS_EQUAL(3, worker.startedRuns()); // a repeated id does not start the job again
    STRCMP_EQUAL(R"({"Pending":0})", fixture.call("127.0.0.2", "GET", "/q/").body.c_str());
}

TEST(Platform, cancelledJobIsStopped)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    standin::PlatformWorker &worker = fixture.addHost("h1", "127.0.0.4");
    CHECK(fixture.waitForLeader());
    const std::string id = "00000000000000aa";
    LONGS_EQUAL(200, fixture.call("127.0.0.2", "POST", "/q/" + id, job("60000")).status);
    CHECK(fixture.waitForState("127.0.0.2", id, "running"));
    CHECK(fixture.waitUntil([&worker] { return worker.runningCount() == 1; }));
    LONGS_EQUAL(200, fixture.call("127.0.0.2", "DELETE", "/q/" + id).status);
    CHECK(fixture.waitForState("127.0.0.2", id, "cancelled"));
    CHECK(fixture.waitUntil([&worker] { return worker.runningCount() == 0; }));
}

// Guards against a run that goes on after its job was cancelled, because its worker refused the
// stop.
TEST(Platform, cancelledJobIsStoppedOnAWorkerThatRefusesCalls)
{
    for (const int status : {429, 503}) {
        Fixture fixture;
        fixture.addEntry("e1", "127.0.0.2");
        standin::PlatformWorker &worker = fixture.addHost("h1", "127.0.0.4");
        CHECK(fixture.waitForLeader());
        const std::string id = "0123456789abcdef";
        LONGS_EQUAL(200, fixture.call("127.0.0.2", "POST", "/q/" + id, job("60000")).status);
        CHECK(fixture.waitUntil([&worker] { return worker.runningCount() == 1; }));
        worker.refuseRequests(1, status);
        LONGS_EQUAL(200, fixture.call("127.0.0.2", "DELETE", "/q/" + id).status);
        fixture.runFor(1000);
        CHECK(worker.refusedRequests() > 0);
        LONGS_EQUAL(1, worker.runningCount());
        worker.refuseRequests(0, status);
        CHECK(fixture.waitUntil([&worker] { return worker.runningCount() == 0; }));
    }
}

TEST(Platform, invalidRequestsGetAnErrorStatus)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitForLeader());
    const std::string id = "00000000000000bb";
    LONGS_EQUAL(401, fixture.call("127.0.0.2", "POST", "/q/" + id, job("1"), "wrong").status);
    LONGS_EQUAL(404, fixture.call("127.0.0.2", "POST", "/none/" + id, job("1")).status);
    LONGS_EQUAL(404, fixture.call("127.0.0.2", "POST", "/q/not-an-id", job("1")).status);
    LONGS_EQUAL(400, fixture.call("127.0.0.2", "POST", "/q/" + id, "{\"TaskSpec\"").status);
    LONGS_EQUAL(410, fixture.call("127.0.0.2", "GET", "/q/" + id).status);
    LONGS_EQUAL(410, fixture.call("127.0.0.2", "DELETE", "/q/" + id).status);
}

TEST(Platform, cancelledIdIsRefusedWithAnErrorAtEveryEntry)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    fixture.addEntry("e2", "127.0.0.3");
    CHECK(fixture.waitForLeader());
    const std::string id = "00000000000000cc";
    LONGS_EQUAL(410, fixture.call("127.0.0.2", "DELETE", "/q/" + id).status);
    LONGS_EQUAL(410, fixture.call("127.0.0.3", "DELETE", "/q/" + id).status);
    fixture.runFor(200);
    for (const char *entry : {"127.0.0.2", "127.0.0.3"}) {
        const HttpResult result = fixture.call(entry, "POST", "/q/" + id, job("1"));
        LONGS_EQUAL(410, result.status);
        STRCMP_CONTAINS("was cancelled", result.body.c_str());
        LONGS_EQUAL(410, fixture.call(entry, "GET", "/q/" + id).status);
    }
}

// While the store is unavailable, a submission cannot be stored, and the entry must not report an
// unknown job as missing: another entry may have stored it. Both answers are 503.
TEST(Platform, storeOutageIsReportedToCallers)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitForLeader());
    fixture.store->setUnavailable(true);
    const TimeMs end = Loop::now() + 2500;
    fixture.waitUntil([end] { return Loop::now() >= end; });
    const std::string id = "00000000000000cc";
    LONGS_EQUAL(503, fixture.call("127.0.0.2", "POST", "/q/" + id, job("1")).status);
    LONGS_EQUAL(503, fixture.call("127.0.0.2", "GET", "/q/" + id).status);
    fixture.store->setUnavailable(false);
    CHECK(fixture.waitUntil([&fixture, &id] {
        return fixture.call("127.0.0.2", "POST", "/q/" + id, job("1")).status == 200;
    }));
}

// A removed API key must be refused, even if the store has deleted the records between the
// configuration in force and the newest one.
TEST(Platform, configurationChangesAreApplied)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitForLeader());
    std::string changed = configuration;
    changed.replace(changed.find("\"Version\":3"), 11, "\"Version\":9");
    changed.replace(changed.find("secret"), 6, "fresh1");
    fixture.store->appendUnfenced("keyed.op", "config", changed);
    fixture.store->compact("keyed.op");
    CHECK(fixture.waitUntil([&fixture] {
        return fixture.call("127.0.0.2", "GET", "/q/00000000000000dd").status == 401;
    }));
    LONGS_EQUAL(410, fixture.call("127.0.0.2", "GET", "/q/00000000000000dd", "", "fresh1").status);
}

// Guards against an entry that finds no configuration, because the store lists its newest records
// in pages and other records come first.
TEST(Platform, configurationBehindTheFirstPageOfRecordsIsRead)
{
    Fixture fixture;
    for (int i = 1000; i < 1600; ++i)
        fixture.store->appendUnfenced("keyed.op", "a" + std::to_string(i), "{}");
    fixture.store->compact("keyed.op");
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitUntil([&fixture] {
        return fixture.call("127.0.0.2", "GET", "/q/00000000000000dd").status == 410;
    }));
}

TEST(Platform, drainingWorkerReceivesNoTasks)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    standin::PlatformWorker &leaving = fixture.addHost("h1", "127.0.0.4");
    CHECK(fixture.waitForLeader());
    leaving.startDraining();
    const TimeMs end = Loop::now() + 300;
    fixture.waitUntil([end] { return Loop::now() >= end; });
    const std::string id = "00000000000000ee";
    LONGS_EQUAL(200, fixture.call("127.0.0.2", "POST", "/q/" + id, job("10")).status);
    const TimeMs later = Loop::now() + 300;
    fixture.waitUntil([later] { return Loop::now() >= later; });
    LONGS_EQUAL(0, leaving.startedRuns());
    standin::PlatformWorker &other = fixture.addHost("h2", "127.0.0.5");
    CHECK(fixture.waitForState("127.0.0.2", id, "completed"));
    LONGS_EQUAL(1, other.startedRuns());
}

// Evacuates the data centre of the first of two hosts while a job with many short tasks keeps both
// busy, and lets a test bring about a failure right after the request was stored.
struct EvacuationFixture : Fixture
{
    standin::PlatformWorker *evacuated = nullptr;
    standin::PlatformWorker *other = nullptr;
    std::size_t startedByThen = 0; // in the evacuated data centre, when the bound had passed

    EvacuationFixture()
    {
        this->addEntry("e1", "127.0.0.2");
        this->addEntry("e2", "127.0.0.3");
        this->evacuated = &this->addHost("h1", "127.0.0.4");
        this->other = &this->addHost("h2", "127.0.0.5");
        CHECK(this->waitForLeader());
        CHECK(this->waitUntil([this] {
            return this->call("127.0.0.2", "POST", "/q/0123456789abcdef", job("150", 600)).status
                == 200;
        }));
        CHECK(this->waitUntil([this] {
            return this->evacuated->startedRuns() > 0 && this->other->startedRuns() > 0;
        }));
    }

    void request(const std::string &value = R"({"Zone":"d-h1"})")
    {
        this->store->appendUnfenced("keyed.op", "evacuate/d-h1", value);
    }

    void waitForBound()
    {
        this->runFor(evacuationBoundMs);
        this->startedByThen = this->evacuated->startedRuns();
    }

    // Runs on, and checks that work goes on and that none begins in the evacuated data centre.
    void checkNothingStarts(TimeMs ms)
    {
        const std::size_t before = this->other->startedRuns();
        this->runFor(ms);
        LONGS_EQUAL(this->startedByThen, this->evacuated->startedRuns());
        CHECK(this->other->startedRuns() > before);
    }
};

TEST(Platform, evacuatedDataCentreStartsNothingUntilItIsTakenBack)
{
    EvacuationFixture fixture;
    fixture.request();
    fixture.waitForBound();
    fixture.checkNothingStarts(1000);
    // The newest record of the key is its removal, which the store may forget.
    fixture.request("");
    fixture.store->compact("keyed.op");
    CHECK(fixture.waitUntil(
        [&fixture] { return fixture.evacuated->startedRuns() > fixture.startedByThen; }));
}

TEST(Platform, unreadableRequestEvacuatesAndOneWithoutANameDoesNot)
{
    EvacuationFixture fixture;
    fixture.store->appendUnfenced("keyed.op", "evacuate/", "{}");
    fixture.store->appendUnfenced("keyed.op", "evacuate/no-such-place", "{}");
    fixture.request("\x01 not JSON");
    fixture.waitForBound();
    fixture.checkNothingStarts(500);
}

TEST(Platform, evacuationHoldsWhenTheStoreFailsAfterTheRequest)
{
    EvacuationFixture fixture;
    fixture.request();
    fixture.store->setUnavailable(true);
    fixture.waitForBound();
    fixture.runFor(1000);
    LONGS_EQUAL(fixture.startedByThen, fixture.evacuated->startedRuns());
    fixture.store->setUnavailable(false);
    CHECK(fixture.waitForLeader());
    fixture.runFor(1500); // until the leader's orders are current again
    fixture.checkNothingStarts(1500);
}

// The error message quotes the invalid bytes of the request; to write it as JSON ended the process.
TEST(Platform, submissionWithInvalidTextIsRefusedAndTheEntryServesOn)
{
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitForLeader());
    const std::string id = "00000000000000ff";
    LONGS_EQUAL(400,
                fixture.call("127.0.0.2", "POST", "/q/" + id, "{\"TaskSpec\":\"\xff\"}").status);
    LONGS_EQUAL(200, fixture.call("127.0.0.2", "POST", "/q/" + id, job("10")).status);
}

// Each agent keeps two or three connections to the leader. Guards against a leader that closes the
// connections of some agents: their workers get no starts, and their leases lapse.
TEST(Platform, leaderKeepsTheConnectionsOfManyAgents)
{
    constexpr int connections = 2000;
    rlimit limit = {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::max<rlim_t>(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, 8192));
    setrlimit(RLIMIT_NOFILE, &limit);
    Fixture fixture;
    fixture.addEntry("e1", "127.0.0.2");
    CHECK(fixture.waitForLeader());
    IdleConnections idle("127.0.0.2", 18610);
    for (int i = 0; i < connections; ++i) {
        idle.add();
        if (i % 50 == 0)
            fixture.runFor(2);
    }
    HttpCall call;
    call.address = "127.0.0.2:18610";
    call.method = "POST";
    call.target = std::string(hostReportPath);
    std::optional<HttpResult> result;
    fixture.client.call(call, [&result](const HttpResult &answer) { result = answer; });
    CHECK(fixture.waitUntil([&result] { return result.has_value(); }));
    LONGS_EQUAL(400, result->status); // the report is empty
}

// Guards against a worker that gets no work any more, because a heartbeat of another writer under
// its id names a service that it does not have.
TEST(Platform, heartbeatWithTheServiceOfAnotherWorkerIsRefused)
{
    Fixture fixture;
    fixture.addHost("h1", "127.0.0.4");
    for (const auto &[service, status] : {std::make_pair("other", 400), std::make_pair("s", 200)}) {
        std::optional<HttpResult> result;
        HttpCall call;
        call.address = "127.0.0.4:18603";
        call.method = "POST";
        call.target = "/api/Instances.Heartbeat/i-h1";
        call.body = R"({"Service":")" + std::string(service)
            + R"(","Sequence":1000,"born":1,"State":"ready","Capacity":{"Cpu":1,"MemMb":1}})";
        fixture.client.call(call, [&result](const HttpResult &answer) { result = answer; });
        CHECK(fixture.waitUntil([&result] { return result.has_value(); }));
        LONGS_EQUAL(status, result->status);
    }
}

TEST(Platform, settingsReportEveryError)
{
    std::vector<std::string> errors;
    CHECK(!parseNodeSettings("Node=n\nInternalPorts=7\nBounds.RevokeMs=soon\nnonsense\n", errors)
               .has_value());
    LONGS_EQUAL(5, errors.size()); // Ip, platform.Address, InternalPorts, RevokeMs, the last line
    CHECK(std::count(errors.begin(), errors.end(),
                     "Bounds.RevokeMs=soon is not a number from 1000 to 3600000")
          == 1);
    errors.clear();
    auto settings = parseNodeSettings(
        "Node=n\nIp=10.0.0.1\nplatform.Address=10.0.0.2:80\nInternalPorts=7000,7015\nNew.Field=1\n"
        "Seeds=10.0.0.3:1,10.0.0.4:1\nBounds.GraceS=6\nBounds.StrictRevocation=false\n",
        errors);
    CHECK(settings.has_value());
    LONGS_EQUAL(6000, settings->shutdownMs);
    LONGS_EQUAL(2, settings->seedIps.size());
    CHECK(!settings->strictRevocation);
    STRCMP_EQUAL("10.0.0.1:7001", internalAddress(*settings, settings->ip, 1).c_str());
    LONGS_EQUAL(2560, maxInternalConnections(*settings));
    settings->maxDescriptors = 600;
    LONGS_EQUAL(300, maxInternalConnections(*settings));
}

TEST(Platform, rangesInErrorsAreThoseOfTheHelp)
{
    int ranges = 0;
    std::istringstream help{std::string(settingsHelp)};
    for (std::string line; std::getline(help, line);) {
        const std::size_t begin = line.rfind("; ");
        const std::size_t end = line.rfind(" (");
        if (line.find(" to ", begin) >= end)
            continue;
        ++ranges;
        const std::string name = line.substr(2, line.find(' ', 2) - 2);
        std::vector<std::string> errors;
        parseNodeSettings("Node=n\nIp=10.0.0.1\nplatform.Address=10.0.0.2:80\n"
                          "InternalPorts=7000,7015\n"
                              + name + "=-1\n",
                          errors);
        LONGS_EQUAL(1, errors.size());
        CHECK_EQUAL(name + "=-1 is not a number from " + line.substr(begin + 2, end - begin - 2),
                    errors.front());
    }
    LONGS_EQUAL(14, ranges);
}

TEST(Platform, submissionFieldsAreDecoded)
{
    Reason reason;
    const auto job = decodeSubmission(
        R"({"TaskSpec":"x","FirstRunMs":5,"IntervalMs":2,"RepeatCount":3,"Steps":[{"Count":4,
            "Cpu":500,"MemMb":256,"Gpus":1,"EstimateMs":900,"Affinity":"r1-3","AntiAffinity":2,
            "Requirements":"a","Gang":true,"SameRack":true,"Checkpointing":true},
            {"After":[0],"LongRunning":true,"Fills":true}]})",
        reason);
    CHECK(job.has_value());
    LONGS_EQUAL(3, job->repeatCount);
    STRCMP_EQUAL("r1-3", job->steps[0].dataRack.c_str());
    STRCMP_EQUAL("a", job->steps[0].requiredLabel.c_str());
    LONGS_EQUAL(2, job->steps[0].maxPerWorker);
    CHECK(job->steps[0].gang && job->steps[0].sameRack && job->steps[0].checkpointing);
    CHECK(job->steps[1].longRunning && job->steps[1].fillsIdle);
    CHECK(!decodeSubmission(R"({"TaskSpec":"x","Steps":[{"After":[0]}]})", reason).has_value());
    CHECK(!decodeSubmission(R"({"TaskSpec":"x","Steps":[]})", reason).has_value());
    CHECK(!decodeSubmission(R"({"TaskSpec":7,"Steps":[{}]})", reason).has_value());
}

// A malformed heartbeat must be rejected, so that the scheduler does not use the worker it names.
TEST(Platform, malformedHeartbeatsAreRefused)
{
    Reason reason;
    CHECK(!decodeHeartbeat("i", "\xff", reason).has_value());
    CHECK(!decodeHeartbeat("i", R"({"Service":"s","Sequence":1,"born":1,"State":"asleep",
        "Capacity":{"Cpu":1,"MemMb":1}})",
                           reason)
               .has_value());
    CHECK(!decodeHeartbeat("i", R"({"Service":"s","Sequence":"1","born":1,"State":"ready",
        "Capacity":{"Cpu":1,"MemMb":1}})",
                           reason)
               .has_value());
    CHECK(decodeHeartbeat("i", R"({"Service":"s","Sequence":1,"born":1,"State":"ready",
        "Capacity":{"Cpu":1,"MemMb":1}})",
                          reason)
              .has_value());
}
