// Tests of the search for the leader. An agent that waits for machines without power, or abandons a
// leader that answers, leaves its worker idle after every power failure.

#include "fake_job_log.h"

#include "flamingo/adapters/host_agent_service.h"
#include "flamingo/adapters/http_server.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <array>

using namespace flamingo;
using namespace flamingo::adapters;
using flamingo::tests::FakeJobLog;
using flamingo::tests::FakeLogState;

namespace {

constexpr std::uint16_t unresponsivePort = 18721;
constexpr const char *unresponsiveAddress = "127.0.0.1:18721";
constexpr const char *leaderAddress = "127.0.0.1:18722";
constexpr const char *formerLeaderAddress = "127.0.0.1:18723";
constexpr const char *killedEntryAddress = "127.0.0.1:18725"; // nothing listens there
constexpr const char *followerAddress = "127.0.0.1:18724";
constexpr std::uint64_t leaderEpoch = 5;

// Accepts connections and never answers. The client's call times out, as with a machine without
// power.
class UnresponsiveListener
{
public:
    UnresponsiveListener()
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(unresponsivePort);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK_EQUAL(0,
                    bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address));
        CHECK_EQUAL(0, listen(this->descriptor, 16));
    }
    ~UnresponsiveListener()
    {
        close(this->descriptor);
    }
    UnresponsiveListener(const UnresponsiveListener &) = delete;
    UnresponsiveListener &operator=(const UnresponsiveListener &) = delete;

private:
    int descriptor;
};

// Collects what is written to standard output.
class CapturedOutput
{
public:
    CapturedOutput()
        : output(dup(STDOUT_FILENO))
    {
        std::array<int, 2> ends = {};
        CHECK_EQUAL(0, pipe2(ends.data(), O_NONBLOCK));
        this->readEnd = ends[0];
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
    }
    ~CapturedOutput()
    {
        dup2(this->output, STDOUT_FILENO);
        close(this->output);
        close(this->readEnd);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    // What was written since the last call, at most 64 KiB.
    std::string read() const
    {
        std::string text(65536, '\0');
        text.resize(
            std::size_t(std::max<ssize_t>(::read(this->readEnd, text.data(), text.size()), 0)));
        return text;
    }

private:
    int output;
    int readEnd = -1;
};

class IdleWorker : public scheduler::WorkerPort
{
public:
    explicit IdleWorker(Loop &loop)
        : loop(loop)
    {
    }

    bool hasLeft = false; // nothing listens at its address

    void call(const scheduler::WorkerCall & /*call*/,
              std::function<void(scheduler::WorkerAnswer)> done) override
    {
        this->loop.after(50, [this, done = std::move(done)] {
            scheduler::WorkerAnswer answer;
            answer.result =
                this->hasLeft ? scheduler::CallResult::NoListener : scheduler::CallResult::Done;
            answer.clockMs = Loop::now();
            done(answer);
        });
    }

private:
    Loop &loop;
};

struct Fixture
{
    Loop loop;
    FakeLogState logState;
    FakeJobLog log{this->loop, this->logState};
    DecisionLog decisions{"test", 0};
    Metrics metrics;
    IdleWorker worker{this->loop};
    std::unique_ptr<HttpServer> leader;
    std::unique_ptr<HttpServer> formerLeader;
    std::unique_ptr<HttpServer> follower;
    std::vector<scheduler::HostReport> reports; // received by the leader
    std::size_t formerLeaderReports = 0;
    std::size_t unansweredReports = 0; // the leader leaves the first N reports unanswered
    bool reportsAreRefused = false;
    bool workerEndIsStored = false; // as the leader answers

    Fixture()
    {
        this->leader = this->listen(
            leaderAddress, [this](const HttpRequest &request) { this->handleReport(request); });
    }

    void handleReport(const HttpRequest &request)
    {
        if (this->reportsAreRefused) {
            this->leader->respond(request.id, {400, "unknown field", "text/plain"});
            return;
        }
        Reason reason;
        this->reports.push_back(*scheduler::decodeHostReport(request.body, reason));
        if (this->reports.size() <= this->unansweredReports)
            return;
        scheduler::HostOrders orders;
        orders.epoch = leaderEpoch;
        orders.leaderAddress = leaderAddress;
        if (this->workerEndIsStored)
            orders.storedWorkerEnd = scheduler::workerKey("h1", workerInfo());
        this->loop.after(20, [this, id = request.id, text = encode(orders)] {
            this->leader->respond(id, {200, text});
        });
    }

    std::unique_ptr<HttpServer> listen(const char *address, HttpServer::Handler handler)
    {
        Reason reason;
        HttpServerOptions options;
        options.address = address;
        auto server = HttpServer::listen(this->loop, options, std::move(handler), nullptr, reason);
        CHECK(server != nullptr);
        return server;
    }

    // A former leader that cannot reach the log, and a follower that replies with the address and
    // epoch of the new leader.
    void addFormerLeaderAndFollower()
    {
        this->formerLeader = this->listen(formerLeaderAddress, [this](const HttpRequest &request) {
            ++this->formerLeaderReports;
            scheduler::HostOrders orders;
            orders.epoch = leaderEpoch - 1;
            orders.leaderAddress = formerLeaderAddress;
            orders.storeSilentMs = 5000;
            this->formerLeader->respond(request.id, {200, encode(orders)});
        });
        this->follower = this->listen(followerAddress, [this](const HttpRequest &request) {
            scheduler::HostOrders orders;
            orders.leaderAddress = leaderAddress;
            orders.leaderEpoch = leaderEpoch;
            this->follower->respond(request.id, {200, encode(orders)});
        });
    }

    static HostAgentServiceOptions options(std::vector<std::string> entries)
    {
        HostAgentServiceOptions options;
        options.agent.host = "h1";
        options.agent.agentStart = 1;
        options.entries = std::move(entries);
        return options;
    }

    static scheduler::WorkerInfo workerInfo()
    {
        scheduler::WorkerInfo info;
        info.id = "w1";
        info.bornUnixMs = 1;
        info.service = "s";
        return info;
    }

    // The worker announces that it leaves, deregisters and ends.
    void workerLeaves(HostAgentService &service)
    {
        scheduler::WorkerInfo info = workerInfo();
        info.draining = true;
        service.handleHeartbeat(info, 2);
        service.handleDeregistration(info.id);
        this->worker.hasLeft = true;
    }

    void runFor(TimeMs ms)
    {
        this->loop.after(ms, [this] { this->loop.stop(); });
        this->loop.run();
        this->loop.resume();
    }
};

} // namespace

TEST_GROUP(HostAgentService)
{
    Fixture fixture;
};

// After a power failure of all machines, agents may start before their entries. Guards against
// waiting for the whole timeout of an entry that has not started before the next one is tried.
TEST(HostAgentService, nextEntryIsTriedWhenThePreviousOneDoesNotAnswer)
{
    const UnresponsiveListener listener;
    HostAgentServiceOptions options = Fixture::options({unresponsiveAddress, leaderAddress});
    options.reportTimeoutMs = 5000;
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, options);
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.runFor(options.entrySwitchAfterMs + 300);
    CHECK_FALSE(fixture.reports.empty());
    const std::size_t before = fixture.reports.size();
    fixture.runFor(500);
    CHECK(fixture.reports.size() > before + 3); // reports continue to the leader
}

// Guards against treating the timeout of an old call as the loss of a leader that has answered
// later calls.
TEST(HostAgentService, timeoutOfACallSentBeforeTheLeadersLastAnswerIsIgnored)
{
    HostAgentServiceOptions options = Fixture::options({leaderAddress});
    options.reportTimeoutMs = 600;
    fixture.unansweredReports = 1;
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, options);
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.runFor(1500);
    CHECK(fixture.reports.size() > 10);
    for (const scheduler::HostReport &report : fixture.reports)
        CHECK_EQUAL(0, report.lostLeader);
}

// A leader that is cut off from the job log continues to answer reports. Guards against idle hosts:
// their agents must ask other entries for the new leader instead of waiting until they read its
// record from the log.
TEST(HostAgentService, successorIsRequestedWhenTheLeaderCannotReachTheLog)
{
    fixture.addFormerLeaderAndFollower();
    HostAgentServiceOptions options = Fixture::options({formerLeaderAddress, followerAddress});
    fixture.log.unresponsive = true;
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, options);
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.runFor(options.entrySwitchAfterMs + 300);
    CHECK(fixture.formerLeaderReports > 0);
    CHECK_FALSE(fixture.reports.empty());
}

// Guards against a loss of the leader whose cause an operator cannot find: a refused report has
// neither a connection error nor a decoding error.
TEST(HostAgentService, statusOfARefusedReportIsLogged)
{
    DecisionLog decisions("test", 100);
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, decisions, fixture.metrics,
                             Fixture::options({leaderAddress}));
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.runFor(300);
    fixture.reportsAreRefused = true;
    std::string text;
    {
        const CapturedOutput output;
        fixture.runFor(1000);
        text = output.read();
    }
    STRCMP_CONTAINS("event=leader_lost address=127.0.0.1:18722 reason=\"status 400 unknown field\"",
                    text.c_str());
}

// Guards against tasks that wait for the lease of a worker that has left: its agent ended although
// no leader had received the report of the worker's end, and nobody else knows of it.
TEST(HostAgentService, agentOfAWorkerThatHasLeftRunsUntilALeaderKnows)
{
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, Fixture::options({killedEntryAddress}));
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.log.unresponsive = true;
    fixture.workerLeaves(service);
    for (int i = 0; i < 10; ++i) {
        fixture.runFor(300);
        CHECK(service.finalReportPending());
    }
}

// Guards against the same wait when the leader fails after its answer: the report counts only when
// the log shows that the runs have ended.
TEST(HostAgentService, agentOfAWorkerThatHasLeftRunsUntilItsEndIsStored)
{
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, Fixture::options({leaderAddress}));
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.workerLeaves(service);
    fixture.runFor(500);
    CHECK(fixture.reports.back().workerGone);
    CHECK(service.finalReportPending());
    fixture.workerEndIsStored = true;
    fixture.runFor(200);
    CHECK_FALSE(service.finalReportPending());
}

// Guards against the loss of the news when the host is taken away before an entry leads.
TEST(HostAgentService, endOfAWorkerIsStoredWhenNoLeaderConfirmsIt)
{
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, Fixture::options({killedEntryAddress}));
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.log.rejectsCalls = true;
    fixture.workerLeaves(service);
    fixture.runFor(1500);
    CHECK(fixture.logState.records.empty());
    CHECK(service.finalReportPending());
    fixture.log.rejectsCalls = false;
    fixture.runFor(800);
    CHECK_EQUAL(1, fixture.logState.records.size());
    const std::string key = scheduler::workerKey("h1", Fixture::workerInfo());
    CHECK_EQUAL(scheduler::workerEndRecord(key).key, fixture.logState.records[0].record.key);
    CHECK_FALSE(service.finalReportPending());
}

// Guards against an append for each worker that ends while a leader answers.
TEST(HostAgentService, endOfAWorkerThatTheLeaderConfirmsIsNotStoredByItsAgent)
{
    fixture.workerEndIsStored = true;
    HostAgentService service(fixture.loop, fixture.worker, fixture.log, fixture.decisions,
                             fixture.metrics, Fixture::options({leaderAddress}));
    service.start();
    service.handleHeartbeat(Fixture::workerInfo(), 1);
    fixture.workerLeaves(service);
    fixture.runFor(2000);
    CHECK(fixture.logState.records.empty());
}
