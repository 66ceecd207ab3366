// Guards against a process that ends because of one malformed message: the decoders of everything
// that arrives from outside must report it. Two kinds did end the process: an error message that
// quoted the invalid UTF-8 of a submission, and an answer with a field of an unexpected type.

#include "flamingo/adapters/entry_relay.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/records.h"
#include "platform/caller_api.h"
#include "platform/configuration.h"
#include "platform/store.h"
#include "platform/worker.h"

#include <CppUTest/TestHarness.h>

#include <iterator>
#include <random>
#include <string_view>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::platform;
using namespace flamingo::scheduler;

namespace {

constexpr const char *serverAddress = "127.0.0.1:18690";
constexpr TimeMs testTimeoutMs = 5000;
constexpr int mutationsPerMessage = 3000;

constexpr std::string_view insertions[] = {
    "\xff", "null", "-1",   "1e300", "\"x\"",  "{}", "[]", "18446744073709551616",
    "{",    "]",    "true", "0.5",   "\\u0000"};

// Answers each request with the same status and body.
struct ConstantServer
{
    Loop loop;
    int status = 200;
    std::string body;
    std::unique_ptr<HttpServer> server;

    ConstantServer()
    {
        HttpServerOptions options;
        options.address = serverAddress;
        Reason reason;
        this->server = HttpServer::listen(
            this->loop, options,
            [this](const HttpRequest &request) {
                this->server->respond(request.id, {this->status, this->body});
            },
            nullptr, reason);
        CHECK(this->server != nullptr);
    }

    void runUntil(const bool &done)
    {
        const TimeMs end = Loop::now() + testTimeoutMs;
        while (!done && Loop::now() < end) {
            this->loop.after(1, [this] { this->loop.stop(); });
            this->loop.run();
            this->loop.resume();
        }
        CHECK(done);
    }
};

std::string mutated(std::string text, std::mt19937 &random)
{
    const auto position = [&] { return random() % (text.size() + 1); };
    for (std::size_t i = 0; i < 1 + random() % 3; ++i) {
        const std::size_t at = position();
        switch (random() % 3) {
        case 0:
            text.erase(at, random() % 8);
            break;
        case 1:
            text.insert(at, insertions[random() % std::size(insertions)]);
            break;
        default: {
            // Replaces the next value, so that the message remains valid JSON more often.
            const std::size_t colon = text.find(':', at);
            const std::size_t end = text.find_first_of(",}]", colon);
            if (colon != std::string::npos && end != std::string::npos)
                text.replace(colon + 1, end - colon - 1,
                             insertions[random() % std::size(insertions)]);
        }
        }
    }
    return text;
}

// Passes mutations of `message` to `decode`, which must return.
template <typename Decode>
void decodeMutations(const std::string &message, Decode decode)
{
    std::mt19937 random(4711);
    for (int i = 0; i < mutationsPerMessage; ++i)
        decode(mutated(message, random));
}

} // namespace

TEST_GROUP(MalformedMessages)
{
    Reason reason;
};

TEST(MalformedMessages, fromCallersAndWorkers)
{
    decodeMutations(
        R"({"TaskSpec":"x","FirstRunMs":5,"IntervalMs":2,"RepeatCount":3,"Steps":[{"Count":4,"Cpu":500,)"
        R"("MemMb":256,"Gpus":1,"EstimateMs":900,"After":[0],"Requirements":"a","Gang":true}]})",
        [this](const std::string &text) { decodeSubmission(text, reason); });
    decodeMutations(
        R"({"Service":"s","Sequence":1,"born":1,"State":"ready","RemainingMs":5,"Labels":["a","r1"],)"
        R"("Capacity":{"Cpu":1,"MemMb":1,"Gpus":8}})",
        [this](const std::string &text) { decodeHeartbeat("i", text, reason); });
}

TEST(MalformedMessages, fromTheOperator)
{
    decodeMutations(
        R"({"Version":3,"Routes":[{"Name":"r1","Hostname":"h","PathPrefix":"/q/","Service":"s",)"
        R"("Priority":0,"MaxAttempts":2,"Stretch":1.5,"TargetLatencyMs":400}],"Limits":{"MaxBodyBytes":9},)"
        R"("Tenants":[{"Name":"t1","ApiKeys":["k"],"Guaranteed":{"Gpus":8}}]})",
        [this](const std::string &text) { decodeConfiguration(text, reason); });
}

TEST(MalformedMessages, fromOtherProcesses)
{
    HostReport report;
    report.host = "h";
    report.worker = WorkerInfo{"i", 5, "s", {1, 2, 3}, {"a", "r1"}, false, 0};
    report.runs.push_back({"a.0.0.0", 1, RunState::Running, 50, "c", ""});
    report.ends.push_back({1, "a.0.0.1", 1, EndKind::Done, ""});
    decodeMutations(encode(report),
                    [this](const std::string &text) { decodeHostReport(text, reason); });
    HostOrders orders;
    orders.starts.push_back({"a.0.0.0", 1, "payload", ""});
    orders.stops.push_back({"a.0.0.1", 1});
    decodeMutations(encode(orders),
                    [this](const std::string &text) { decodeHostOrders(text, reason); });
    decodeMutations(encodeRecord({"a/1", "value"}),
                    [this](const std::string &text) { decodeRecord(text, reason); });
}

TEST(MalformedMessages, fromTheJobLog)
{
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    JobProgress progress;
    progress.tasks.emplace_back();
    for (const Record &record :
         {acceptanceRecord(job), progressRecord("1", progress), leaderRecord({})}) {
        decodeMutations(record.value, [this, &record](const std::string &text) {
            JobTable table;
            applyRecord(table, record.key, text, false, reason);
        });
    }
}

TEST(MalformedMessages, submissionWithNumbersOutOfRangeIsRefused)
{
    for (const std::string field : {"\"Gpus\":-1", "\"Cpu\":-1", "\"MemMb\":-1",
                                    "\"EstimateMs\":-1", "\"EstimateMs\":1e300", "\"Count\":-1"})
        CHECK(
            !decodeSubmission(R"({"TaskSpec":"x","Steps":[{)" + field + "}]}", reason).has_value());
    for (const std::string field : {"\"FirstRunMs\":-1", "\"IntervalMs\":1e300"})
        CHECK(!decodeSubmission(R"({"TaskSpec":"x","Steps":[{}],)" + field + "}", reason)
                   .has_value());
    CHECK(decodeSubmission(R"({"TaskSpec":"x","Steps":[{}]})", reason).has_value());
}

TEST(MalformedMessages, inTheAnswersOfAWorker)
{
    ConstantServer server;
    WorkerClient worker(server.loop, {serverAddress});
    for (const std::string body :
         {R"({"Reason":7})", R"({"ClockMs":"x"})", R"({"Running":[[1]]})", R"({"Ended":7})", "[",
          "[1]", "\xff", R"({"Reason":"fence","ClockMs":1e300})"}) {
        for (const int status : {200, 409}) {
            server.status = status;
            server.body = body;
            bool answered = false;
            worker.call(PollCall(), [&answered](const WorkerAnswer &) { answered = true; });
            server.runUntil(answered);
        }
    }
}

TEST(MalformedMessages, inTheAnswersOfTheStore)
{
    ConstantServer server;
    StoreOptions options;
    options.address = serverAddress;
    JobLogStore store(server.loop, options);
    const Record record = {"a/1", "value"};
    for (const std::string body :
         {R"({"Reason":7})", R"({"items":7})", R"({"items":[7],"HasMore":"x","End":-1})",
          R"({"items":[{"Key":1,"Value":2,"Offset":"x"}]})", R"({"End":"x"})", "[", "[1]", "\xff",
          "0123456789abcdef\xff\xff\xff\xff", "0123456789abcdef"}) {
        for (const int status : {200, 409, 410}) {
            server.status = status;
            server.body = body;
            int answers = 0;
            bool answered = false;
            const auto count = [&](const auto &) { answered = ++answers == 3; };
            store.appendFenced({&record, 1}, {1, 1}, count);
            store.read(0, 0, count);
            store.newest("", count);
            server.runUntil(answered);
        }
    }
}
