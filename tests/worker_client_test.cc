// Guards against an agent that takes an answer of its worker for a stop that was carried out, or
// for a start that was not: tasks that run on after their end was reported, run twice, or share
// accelerators. The agent and its client run against a small worker that refuses calls.

#include "flamingo/adapters/http_server.h"
#include "flamingo/adapters/worker_client.h"
#include "flamingo/agent.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <optional>

using namespace flamingo;
using namespace flamingo::adapters;
using Json = nlohmann::json;

namespace {

constexpr const char *workerAddress = "127.0.0.1:18731";
constexpr TimeMs tickMs = 100;
constexpr TimeMs testTimeoutMs = 8000;
constexpr std::uint64_t incarnation = 7;
constexpr std::uint64_t newerIncarnation = 8;

// The answer to one call. The call has an effect only if its status is 200 and `body` is empty, or
// if `carriedOut` is set.
struct Answer
{
    int status = 200;
    bool carriedOut = false;
    std::string body = {};
};

// A worker that answers the next calls of a kind with prepared answers, and carries out all others.
struct ScriptedWorker
{
    std::map<std::string, std::deque<Answer>> answers; // by kind: start, stop, checkpoint, lease
    std::map<std::string, int> calls; // by kind
    std::map<std::string, std::uint64_t> running; // masks by task
    std::set<std::string> known; // tasks that started or were stopped before their start
    std::vector<Json> renewals; // bodies of the renewals
    std::string eventsBody; // answers the next read of events
    std::deque<std::uint64_t> eventReads; // `from` of each read
    bool overlap = false; // two tasks had an accelerator in common
    std::unique_ptr<HttpServer> server;

    explicit ScriptedWorker(Loop &loop)
    {
        HttpServerOptions options;
        options.address = workerAddress;
        Reason reason;
        this->server = HttpServer::listen(
            loop, options, [this](const HttpRequest &request) { this->handle(request); }, nullptr,
            reason);
        CHECK_TEXT(this->server != nullptr, reason.text.c_str());
    }

    static std::string kindOf(const std::string &path)
    {
        const std::string last = path.substr(path.rfind('/') + 1);
        return last == "tasks" ? "start" : last;
    }

    void start(const Json &body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto mask = body.at("mask").get<std::uint64_t>();
        if (!this->known.insert(task).second)
            return;
        for (const auto &[other, otherMask] : this->running)
            this->overlap |= (mask & otherMask) != 0;
        this->running[task] = mask;
    }

    std::string carryOut(const std::string &kind, const HttpRequest &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (kind == "start")
            this->start(body);
        if (kind == "checkpoint")
            return R"({"checkpoint":"saved"})";
        if (kind == "stop") {
            const auto end = request.path.rfind('/');
            const auto begin = request.path.rfind('/', end - 1) + 1;
            const auto task = request.path.substr(begin, end - begin);
            this->running.erase(task);
            this->known.insert(task);
        }
        if (kind != "lease")
            return R"({"ok":true})";
        this->renewals.push_back(body);
        Json tasks = Json::array();
        for (const auto &task : this->running)
            tasks.push_back(task.first);
        return Json{{"ok", true}, {"tasks", tasks}}.dump();
    }

    void readEvents(const HttpRequest &request)
    {
        const auto from = std::strtoull(request.query.at("from").c_str(), nullptr, 10);
        this->eventReads.push_back(from);
        const std::string empty = R"({"events":[],"next":)" + std::to_string(from) + "}";
        // An empty answer at once makes the client read again; the test ends the reads.
        this->server->respond(request.id,
                              {this->eventsBody.empty() ? 503 : 200,
                               this->eventsBody.empty() ? empty : this->eventsBody});
        this->eventsBody.clear();
    }

    void handle(const HttpRequest &request)
    {
        const std::string kind = kindOf(request.path);
        ++this->calls[kind];
        if (kind == "events") {
            this->readEvents(request);
            return;
        }
        Answer answer;
        if (!this->answers[kind].empty()) {
            answer = this->answers[kind].front();
            this->answers[kind].pop_front();
        }
        const bool done = answer.status == 200 && answer.body.empty();
        if (done || answer.carriedOut) {
            const std::string body = this->carryOut(kind, request);
            if (done)
                answer.body = body;
        }
        this->server->respond(request.id, {answer.status, answer.body});
    }

    void refuse(const std::string &kind, int status, std::size_t count,
                const std::string &body = {})
    {
        for (std::size_t i = 0; i < count; ++i)
            this->answers[kind].push_back({status, false, body});
    }
};

Start makeStart(const std::string &attempt, std::uint32_t accelerators)
{
    Start start;
    start.spec = std::make_unique<JobSpec>();
    start.spec->job = "job-" + attempt;
    start.spec->organisation = "org";
    start.spec->homeRegion = "north";
    start.spec->accelerators = accelerators;
    start.attempt = attempt;
    start.entry = "e1";
    return start;
}

WorkerClientOptions clientOptions()
{
    WorkerClientOptions options;
    options.address = workerAddress;
    options.worker = "a1";
    options.holder = incarnation;
    return options;
}

// An agent whose commands the client executes at the worker.
struct Rig
{
    Loop loop;
    ScriptedWorker worker{this->loop};
    HttpClient http{this->loop};
    Agent agent;
    Table table;
    Random random{1};
    std::vector<WorkerEvent> events;
    std::vector<StartReply> replies;
    std::vector<Outcome> outcomes; // one for each attempt
    std::set<std::string> endedAttempts;
    bool runsAtOutcome = false; // a task still ran when its Outcome was sent
    bool runsAtNotRun = false; // the same, with the verdict NotRun
    WorkerClient client;

    explicit Rig(const WorkerClientOptions &clientOptions = ::clientOptions())
        : client(this->loop, this->http, clientOptions, [this](const WorkerEvent &event) {
            this->events.push_back(event);
            std::visit([this](const auto &one) { this->handle(one); }, event);
        })
    {
        AgentOptions options;
        options.name = "a1";
        options.incarnation = incarnation;
        this->agent = makeAgent(options);
        this->table.version = 1;
        this->table.organisations["org"].name = "org";
        this->loop.every(tickMs, [this] { this->handle(Tick{}); });
    }

    void handle(const AgentEvent &event)
    {
        Outbox out;
        handleAgent(this->agent, event, this->table, Loop::now(), this->random, out);
        for (const Send &send : out.sends) {
            if (const auto *reply = std::get_if<StartReply>(&send.message))
                this->replies.push_back(*reply);
            const auto *outcome = std::get_if<Outcome>(&send.message);
            // The agent repeats an Outcome, because nothing here acknowledges it.
            if (outcome != nullptr && this->endedAttempts.insert(outcome->attempt).second) {
                this->runsAtOutcome |= this->worker.running.count(outcome->attempt) > 0;
                this->runsAtNotRun |= outcome->verdict == Verdict::NotRun
                    && this->worker.running.count(outcome->attempt) > 0;
                this->outcomes.push_back(*outcome);
            }
        }
        for (const WorkerCommand &command : out.commands)
            this->client.execute(command);
    }

    void message(Message message)
    {
        this->handle(PeerMessage{"e1", std::move(message)});
    }

    void cancel(const std::string &attempt)
    {
        this->message(Cancel{{}, {}, attempt});
    }

    // Runs the loop until the condition holds; false after testTimeoutMs.
    bool runUntil(const std::function<bool()> &condition, TimeMs timeoutMs = testTimeoutMs)
    {
        const TimeMs end = Loop::now() + timeoutMs;
        while (!condition() && Loop::now() < end) {
            this->loop.after(1, [this] { this->loop.stop(); });
            this->loop.run();
            this->loop.resume();
        }
        return condition();
    }

    void runFor(TimeMs ms)
    {
        this->runUntil([] { return false; }, ms);
    }

    // Starts a task on all accelerators and waits until the worker has confirmed it.
    void startTask(const std::string &attempt)
    {
        this->message(makeStart(attempt, 8));
        CHECK(this->runUntil([&] { return this->count<TaskStarted>(attempt) > 0; }));
        CHECK_EQUAL(1U, this->worker.running.count(attempt));
    }

    template <typename Event>
    std::size_t count(const std::string &task) const
    {
        std::size_t result = 0;
        for (const WorkerEvent &event : this->events) {
            const auto *one = std::get_if<Event>(&event);
            result += one != nullptr && one->task == task ? 1 : 0;
        }
        return result;
    }

    template <typename Event>
    std::optional<Event> last() const
    {
        std::optional<Event> result;
        for (const WorkerEvent &event : this->events) {
            if (const auto *one = std::get_if<Event>(&event))
                result = *one;
        }
        return result;
    }
};

} // namespace

TEST_GROUP(WorkerClient){};

// Guards against a task that runs on beside the next one on its accelerators, because the worker
// refused its stop.
TEST(WorkerClient, nextTaskStartsOnlyAfterARefusedStopWasCarriedOut)
{
    for (const int status : {400, 401, 403, 408, 409, 421, 429, 500, 503}) {
        Rig rig;
        rig.startTask("t1");
        rig.worker.refuse("stop", status, 3);
        rig.cancel("t1");
        for (int i = 0; i < 50 && rig.worker.running.count("t2") == 0; ++i) {
            rig.message(makeStart(i == 0 ? "t2" : "t2-" + std::to_string(i), 8));
            rig.runFor(50);
            if (!rig.replies.empty() && rig.replies.back().accepted && i > 0)
                break;
        }
        CHECK_FALSE_TEXT(rig.worker.overlap, std::to_string(status).c_str());
        CHECK_FALSE_TEXT(rig.runsAtOutcome, std::to_string(status).c_str());
        CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t1") > 0; }));
        CHECK_EQUAL(0U, rig.worker.running.count("t1"));
        CHECK_EQUAL(4, rig.worker.calls["stop"]);
    }
}

// Guards against a stop that is repeated for ever although the worker does not have the task, or
// has a newer holder, which stopped it.
TEST(WorkerClient, stopEndsWhenTheWorkerHasNoSuchTaskOrANewerHolder)
{
    Rig rig;
    rig.worker.refuse("stop", 404, 1);
    rig.client.execute(StopTask{"t1"});
    CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t1") == 1; }, 1000));
    rig.worker.refuse("stop", 403, 1, Json{{"holder", newerIncarnation}}.dump());
    rig.client.execute(StopTask{"t2"});
    CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t2") == 1; }, 1000));
    CHECK_EQUAL(2, rig.worker.calls["stop"]);
}

// Guards against a task that counts as ended while its worker is still stopping it.
TEST(WorkerClient, stopInProgressIsNotTheEndOfTheTask)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.refuse("stop", 202, 2, R"({"ok":true})");
    rig.cancel("t1");
    CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t1") > 0; }));
    CHECK_EQUAL(3, rig.worker.calls["stop"]);
    CHECK_FALSE(rig.runsAtOutcome);
}

// Guards against retries that grow in number while a worker refuses all stops: the agent repeats
// its command, and each command had retries of its own.
TEST(WorkerClient, retriesOfAStopDoNotMultiply)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.refuse("stop", 503, 1000);
    rig.cancel("t1");
    rig.runFor(3000);
    CHECK_COMPARE(3, <=, rig.worker.calls["stop"]);
    CHECK_COMPARE(8, >=, rig.worker.calls["stop"]);
    CHECK_EQUAL(0U, rig.count<TaskStopped>("t1"));
}

// Guards against a verdict "not run" for a task that runs: the answer to its start was lost, and
// the worker refused the repetition.
TEST(WorkerClient, refusedRepetitionOfAnUnansweredStartIsNotTheVerdictNotRun)
{
    for (const int status : {409, 429, 503}) {
        Rig rig;
        rig.worker.answers["start"].push_back({500, true, {}});
        rig.worker.refuse("start", status, 1000);
        rig.message(makeStart("t1", 8));
        rig.runFor(1500);
        CHECK_FALSE_TEXT(rig.runsAtNotRun, std::to_string(status).c_str());
        rig.cancel("t1");
        CHECK(rig.runUntil([&] { return !rig.outcomes.empty(); }));
        CHECK_FALSE_TEXT(rig.runsAtNotRun, std::to_string(status).c_str());
        CHECK(rig.worker.running.empty());
    }
}

// Guards against a task that starts after its stop: a retry of the start was due, and the stop was
// refused.
TEST(WorkerClient, startIsNotRepeatedAfterARefusedStop)
{
    // The start is due again well after the cancellation, also on a busy machine, and before the
    // stop is.
    WorkerClientOptions options = clientOptions();
    options.retryMs = 1500;
    options.stopRetryMs = 5000;
    Rig rig(options);
    rig.worker.refuse("start", 500, 1);
    rig.worker.refuse("stop", 429, 1);
    rig.message(makeStart("t1", 8));
    CHECK(rig.runUntil([&] { return rig.worker.calls["start"] == 1; }));
    rig.runFor(20);
    rig.cancel("t1");
    rig.runFor(2500);
    CHECK_EQUAL(1, rig.worker.calls["start"]);
    CHECK(rig.worker.running.empty());
}

// Guards against a job that fails because its worker was busy for a moment, and against one that
// waits for a worker that stays busy although it certainly did not start.
TEST(WorkerClient, startIsRepeatedAFewTimesAtABusyWorker)
{
    Rig rig;
    rig.worker.refuse("start", 429, 2);
    rig.startTask("t1");
    CHECK(rig.last<TaskStarted>()->ok);
    CHECK_EQUAL(3, rig.worker.calls["start"]);
    rig.worker.refuse("start", 503, 1000);
    rig.cancel("t1");
    CHECK(rig.runUntil([&] { return rig.outcomes.size() == 1; }));
    rig.message(makeStart("t2", 8));
    CHECK(rig.runUntil([&] { return rig.outcomes.size() == 2; }, 1000));
    CHECK(rig.outcomes.back().verdict == Verdict::NotRun);
    CHECK(rig.outcomes.back().detail.find("503") != std::string::npos);
}

// Guards against work that is lost because the worker refused one checkpoint.
TEST(WorkerClient, checkpointIsRepeatedAtABusyWorker)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.refuse("checkpoint", 429, 2);
    rig.client.execute(CheckpointTask{"t1"});
    CHECK(rig.runUntil([&] { return rig.count<TaskCheckpointed>("t1") > 0; }));
    CHECK(rig.last<TaskCheckpointed>()->ok);
    CHECK_EQUAL(std::string("saved"), rig.last<TaskCheckpointed>()->checkpoint);
}

// Guards against leases that are renewed for a task that has to stop, which then runs for as long
// as the worker refuses its stop.
TEST(WorkerClient, leaseOfATaskThatMustStopIsNotRenewed)
{
    Rig rig;
    rig.startTask("t1");
    CHECK(rig.runUntil([&] {
        return !rig.worker.renewals.empty()
            && rig.worker.renewals.back().value("tasks", Json::array()) == Json::array({"t1"});
    }));
    rig.worker.refuse("stop", 503, 1000);
    rig.cancel("t1");
    const std::size_t before = rig.worker.renewals.size();
    CHECK(rig.runUntil([&] { return rig.worker.renewals.size() >= before + 2; }));
    CHECK(rig.worker.renewals.back().at("tasks") == Json::array());
}

// Guards against a task that runs for ever although the agent takes it for ended.
TEST(WorkerClient, runningTaskThatTheAgentDoesNotKnowIsStopped)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.answers["stop"].push_back({200, false, R"({"ok":true})"}); // but the task runs on
    rig.cancel("t1");
    CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t1") > 0; }));
    CHECK_EQUAL(1U, rig.worker.running.count("t1"));
    CHECK(rig.runUntil([&] { return rig.worker.running.empty(); }, 3000));
}

// Guards against leases that lapse because a busy worker refused single renewals.
TEST(WorkerClient, renewalIsRepeatedSoonAtABusyWorker)
{
    Rig rig;
    rig.startTask("t1");
    CHECK(rig.runUntil([&] { return !rig.worker.renewals.empty(); }));
    const std::size_t before = rig.worker.renewals.size();
    rig.worker.refuse("lease", 429, 2);
    CHECK(rig.runUntil([&] { return rig.worker.renewals.size() > before; }, 1800));
    CHECK_EQUAL(before + 1, rig.worker.renewals.size());
}

// Guards against an attempt that never ends, because the event with the end of its task was lost.
TEST(WorkerClient, lostEndOfATaskIsDetected)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.running.clear();
    CHECK(rig.runUntil([&] {
        // Reads of events succeed and return nothing.
        rig.worker.eventsBody = R"({"events":[],"next":0})";
        return !rig.outcomes.empty();
    }));
    CHECK(rig.outcomes.back().verdict == Verdict::NotRun);
    CHECK(rig.outcomes.back().reason == ReasonCode::LeaseLapsed);
}

// Guards against a task whose answer is dropped because the read of the events failed for a while.
TEST(WorkerClient, endThatIsReadLateCountsWhileTheEventsCannotBeRead)
{
    Rig rig;
    rig.startTask("t1");
    rig.worker.running.clear();
    rig.runFor(3500);
    CHECK(rig.outcomes.empty());
    rig.worker.eventsBody =
        R"({"events":[{"seq":0,"type":"finished","task":"t1","ok":true,"answer":"x"}],"next":1})";
    CHECK(rig.runUntil([&] { return !rig.outcomes.empty(); }));
    CHECK(rig.outcomes.back().verdict == Verdict::Ran);
    CHECK_EQUAL(std::string("x"), rig.outcomes.back().answer);
}

// Guards against an agent that ends, or reads the same events for ever, because of an odd answer.
TEST(WorkerClient, oddAnswersToAReadOfEventsHideNoLaterEvent)
{
    Rig rig;
    rig.startTask("t1");
    const std::string finished =
        R"({"seq":1,"type":"finished","task":"t1","ok":true,"answer":"x"})";
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    for (const std::string &body : {
             std::string("[]"),
             std::string(R"({"events":7,"next":0})"),
             R"({"events":)" + deep + R"(,"next":0})",
             R"({"events":[)" + finished + R"(],"next":-1})",
             R"({"events":[)" + finished + R"(],"next":0})",
             R"({"events":[)" + finished + R"(],"next":1e300})",
             R"({"events":[)" + finished + R"(],"next":"2"})",
             R"({"events":[)" + finished + R"(],"next":100})",
             std::string(R"({"events":[],"next":5})"),
         }) {
        const std::size_t reads = rig.worker.eventReads.size();
        rig.worker.eventsBody = body;
        CHECK(rig.runUntil([&] { return rig.worker.eventReads.size() >= reads + 2; }));
        CHECK_EQUAL_TEXT(0U, rig.worker.eventReads.back(), body.substr(0, 100).c_str());
        CHECK(rig.outcomes.empty());
    }
    rig.worker.eventsBody = R"({"events":[{"seq":0,"type":"usage","task":"t1","cores":1e300},)"
        + finished + R"(,{"type":5}],"next":3})";
    CHECK(rig.runUntil([&] { return !rig.outcomes.empty(); }));
    CHECK_EQUAL(std::string("x"), rig.outcomes.back().answer);
    CHECK(rig.runUntil([&] { return rig.worker.eventReads.back() == 3; }));
    CHECK_EQUAL(0U, rig.count<TaskUsage>("t1"));
}

// Guards against an agent that ends because of an odd answer to a call, or takes one for a success.
TEST(WorkerClient, oddAnswersToCallsAreNoSuccess)
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    for (const std::string &body : {std::string("<html>"), std::string("[]"), std::string("7"),
                                    R"({"ok":)" + deep + "}", std::string(R"({"ok":false})")}) {
        Rig rig;
        rig.startTask("t1");
        for (const char *kind : {"lease", "stop", "checkpoint"})
            rig.worker.answers[kind].push_back({200, false, body});
        rig.client.execute(CheckpointTask{"t1"});
        CHECK(rig.runUntil([&] { return rig.count<TaskCheckpointed>("t1") > 0; }));
        CHECK_FALSE(rig.last<TaskCheckpointed>()->ok);
        rig.client.execute(StopTask{"t1"});
        CHECK(rig.runUntil([&] { return rig.count<TaskStopped>("t1") > 0; }));
        CHECK_EQUAL(2, rig.worker.calls["stop"]);
        CHECK(rig.worker.running.empty());
    }
    HttpResult result;
    result.status = 403;
    result.body = R"({"holder":1e300})";
    CHECK(callOutcome(result, 1) == CallOutcome::Rejected);
}
