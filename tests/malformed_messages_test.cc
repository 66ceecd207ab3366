// Guards against a process that ends because of one malformed message: the decoders of everything
// that arrives from outside must report it. Two kinds did end the process: an error message that
// quoted the invalid UTF-8 of a submission, and an answer with a field of an unexpected type.

#include "flamingo/adapters/entry_relay.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/leadership.h"
#include "flamingo/scheduler/limits.h"
#include "flamingo/scheduler/records.h"
#include "flamingo/scheduler/run_progress.h"
#include "flamingo/scheduler/scheduler.h"
#include "platform/caller_api.h"
#include "platform/configuration.h"
#include "platform/node_settings.h"
#include "platform/store.h"
#include "platform/worker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
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
constexpr int mutationsPerAnswer = 300;
constexpr std::size_t insertedDepth = 300;

// Values of every kind: of another type, too large, negative, with a port out of range, deep.
const std::string insertions[] = {"\xff",
                                  "null",
                                  "-1",
                                  "1e300",
                                  "\"x\"",
                                  "{}",
                                  "[]",
                                  "18446744073709551616",
                                  "{",
                                  "]",
                                  "true",
                                  "0.5",
                                  "\\u0000",
                                  "1e999",
                                  "9223372036854775807",
                                  "9223372036854775808",
                                  "18446744073709551615",
                                  "4294967297",
                                  "2147483648",
                                  "-9223372036854775808",
                                  "-5",
                                  "-1e300",
                                  "\"10.0.0.1:65536\"",
                                  "\"10.0.0.1:-1\"",
                                  "\"10.0.0.1:0\"",
                                  std::string(insertedDepth, '[') + std::string(insertedDepth, ']'),
                                  std::string(insertedDepth, '{')};

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
void decodeMutations(const std::string &message, Decode decode, int count = mutationsPerMessage)
{
    std::mt19937 random(4711);
    for (int i = 0; i < count; ++i)
        decode(mutated(message, random));
}

bool isAmount(std::int64_t value)
{
    return value >= 0 && value <= maxResourceAmount;
}

bool areAmounts(const Resources &resources)
{
    return isAmount(resources.cpuMilli) && isAmount(resources.memoryMb)
        && isAmount(resources.accelerators);
}

bool isTime(std::int64_t value)
{
    return value >= 0 && value <= maxMilliseconds;
}

// What is accepted is usable: its numbers are in range, whatever the mutation.
void checkJob(const std::optional<Job> &job)
{
    if (!job)
        return;
    CHECK(!validate(*job).has_value());
    CHECK(taskCount(*job) > 0);
    for (const Step &step : job->steps)
        CHECK(areAmounts(step.need));
    CHECK(longestChainMs(*job) >= 0);
}

void checkWorker(const std::optional<WorkerInfo> &worker)
{
    if (!worker)
        return;
    CHECK(areAmounts(worker->capacity));
    CHECK(worker->bornUnixMs <= std::uint64_t(maxBornUnixMs));
    CHECK(isTime(worker->remainingMs));
}

void checkAnswer(const WorkerAnswer &answer)
{
    CHECK(isTime(answer.clockMs));
    CHECK(answer.bornUnixMs <= std::uint64_t(maxBornUnixMs));
    for (const ReportedRun &run : answer.running)
        CHECK(run.run <= maxRunNumber && run.percent >= unknownPercent
              && run.percent <= completePercent);
    for (const ReportedEnd &end : answer.ends)
        CHECK(end.run <= maxRunNumber && end.number <= std::uint64_t(maxCounter));
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
        [this](const std::string &text) { checkJob(decodeSubmission(text, reason)); });
    decodeMutations(
        R"({"Service":"s","Sequence":1,"born":1,"State":"ready","RemainingMs":5,"Labels":["a","r1"],)"
        R"("Address":"10.0.0.1:80","Slots":8,"Capacity":{"Cpu":1,"MemMb":1,"Gpus":8}})",
        [this](const std::string &text) {
            const auto heartbeat = decodeHeartbeat("i", text, reason);
            if (heartbeat)
                checkWorker(heartbeat->worker);
        });
}

TEST(MalformedMessages, fromTheOperator)
{
    decodeMutations(
        R"({"Version":3,"Routes":[{"Name":"r1","Hostname":"h","PathPrefix":"/q/","Service":"s",)"
        R"("Priority":0,"MaxAttempts":2,"Stretch":1.5,"TargetLatencyMs":400}],"Limits":{"MaxBodyBytes":9},)"
        R"("Tenants":[{"Name":"t1","ApiKeys":["k"],"Guaranteed":{"Gpus":8}}]})",
        [this](const std::string &text) {
            const auto table = decodeConfiguration(text, reason);
            if (!table)
                return;
            CHECK(table->version >= 1 && table->version <= std::uint64_t(maxCounter));
            for (const Queue &queue : table->queues)
                CHECK(queue.stretch >= 0 && queue.stretch <= maxStretch
                      && isTime(queue.targetLatencyMs));
            for (const auto &[name, amount] : guaranteesByOrganisation(*table))
                CHECK(isAmount(amount));
        });
}

TEST(MalformedMessages, fromOtherProcesses)
{
    HostReport report;
    report.host = "h";
    report.worker = WorkerInfo{"i", 5, "s", {1, 2, 3}, {"a", "r1"}, false, 0};
    report.runs.push_back({"a.0.0.0", 1, RunState::Running, 50, "c", ""});
    report.ends.push_back({1, "a.0.0.1", 1, EndKind::Done, ""});
    decodeMutations(encode(report), [this](const std::string &text) {
        const auto decoded = decodeHostReport(text, reason);
        if (decoded)
            checkWorker(decoded->worker);
    });
    HostOrders orders;
    orders.leaderAddress = "10.0.0.1:7000";
    orders.starts.push_back({"a.0.0.0", 1, "payload", ""});
    orders.stops.push_back({"a.0.0.1", 1});
    decodeMutations(encode(orders),
                    [this](const std::string &text) { decodeHostOrders(text, reason); });
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    for (const Record &record : {acceptanceRecord(job), cancellationRecord("1")})
        decodeMutations(encodeRecord(record),
                        [this](const std::string &text) { decodeRecord(text, reason); });
}

TEST(MalformedMessages, fromTheJobLog)
{
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    Job other = job;
    other.id = "2";
    JobProgress progress;
    progress.tasks.push_back({TaskPhase::Assigned, 1, 0, 0, "h/i@1", ""});
    Leader leader;
    leader.epoch = 65537;
    leader.process = "e1";
    leader.address = "10.0.0.1:7000";
    Random random(4711);
    for (const Record &record : {acceptanceRecord(job), progressRecord("1", progress),
                                 earlyCancellationRecord("1", {"q", "o", false}),
                                 leaderRecord(leader), candidateRecord(leader)}) {
        decodeMutations(record.value, [&](const std::string &text) {
            JobTable table;
            applyRecord(table, record.key, text, false, reason);
            // The records that follow are read, except if the text is another caller's valid job.
            CHECK(applyRecord(table, acceptanceRecord(job).key, acceptanceRecord(job).value, false,
                              reason)
                  || !haveSameOwner(*table.jobs.at(job.id).job, job));
            CHECK(applyRecord(table, acceptanceRecord(other).key, acceptanceRecord(other).value,
                              false, reason));
            for (const auto &[id, row] : table.jobs)
                checkJob(row.job);
            const std::uint64_t epoch = std::max(table.leader.epoch, table.candidate.epoch);
            CHECK(nextEpoch(epoch, random) > epoch);
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
    decodeMutations(R"({"ClockMs":5,"born":1796000000000,"Running":[["a.0.0.0",1,"c",41]],)"
                    R"("Ended":[[58,"a.0.0.1",2,"done",""],[59,"a.0.0.2",1,"stopped","c"]]})",
                    [&](const std::string &text) {
                        server.status = 200;
                        server.body = text;
                        bool answered = false;
                        worker.call(PollCall(), [&answered](const WorkerAnswer &answer) {
                            checkAnswer(answer);
                            answered = true;
                        });
                        server.runUntil(answered);
                    },
                    mutationsPerAnswer);
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
    const std::string stored = std::string("\0\0\0\x09\x03", 5) + "a/1value";
    std::string twoRecords(16, '\0');
    twoRecords.append(stored).append(stored);
    for (const std::string &message :
         {std::string(R"({"items":[{"Key":"a/1","Value":"dmFsdWU=","Offset":4}],"HasMore":false,)"
                      R"("End":6})"),
          std::string(R"({"Offset":5,"End":6})"), twoRecords}) {
        decodeMutations(
            message,
            [&](const std::string &text) {
                server.status = 200;
                server.body = text;
                int answers = 0;
                bool answered = false;
                store.read(7, 0, [&](const ReadResult &result) {
                    for (std::size_t i = 0; i < result.records.size(); ++i)
                        CHECK_EQUAL(7 + i, result.records[i].offset);
                    answered = ++answers == 2;
                });
                store.newest("", [&](const NewestResult &result) {
                    CHECK(result.answered || !result.error.empty());
                    answered = ++answers == 2;
                });
                server.runUntil(answered);
            },
            mutationsPerAnswer);
    }
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

TEST(MalformedMessages, inTheSettingsFile)
{
    decodeMutations("Node=n\nIp=10.0.0.1\nplatform.Address=10.0.0.2:80\nInternalPorts=7000,7015\n"
                    "Listen.Front=10.0.0.1:80\nSeeds=10.0.0.3:1,10.0.0.4:1\nBounds.GraceS=6\n"
                    "Bounds.FarFactor=3\nLimits.CpuShare=0.5\nLimits.MaxFds=4096\n",
                    [this](const std::string &text) {
                        std::vector<std::string> errors;
                        const auto settings = parseNodeSettings(text, errors);
                        CHECK(settings.has_value() == errors.empty());
                        if (!settings)
                            return;
                        CHECK(settings->firstInternalPort >= 1);
                        CHECK(settings->lastInternalPort > settings->firstInternalPort);
                        CHECK(parseAddress(settings->storeAddress, reason).has_value());
                    });
}
