// Guards against a process that ends, or stops following a list, because of one entry of another
// writer: nested too deeply, with a number out of range, negative, or with a port out of range.

#include "flamingo/adapters/entry_relay.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/leadership.h"
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
#include <initializer_list>

using namespace flamingo;
using namespace flamingo::adapters;
using namespace flamingo::platform;
using namespace flamingo::scheduler;

namespace {

constexpr const char *serverAddress = "127.0.0.1:18695";
constexpr TimeMs testTimeoutMs = 5000;
constexpr std::size_t oddDepth = 200000;

using Texts = std::vector<std::string>;

const Texts badAmounts = {"-1",
                          "-5",
                          "9223372036854775808",
                          "18446744073709551615",
                          "1e300",
                          "-1e300",
                          "1e999",
                          "[]",
                          "{}",
                          "\"1\"",
                          "null"};

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

std::string nested(const std::string &open, const std::string &close, std::size_t depth = oddDepth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < depth; ++i)
        text += close;
    return text;
}

const std::string deepObject = nested(R"({"a":)", "}");

// `text` with the value of the first field `name` replaced. The value must be a scalar.
std::string with(std::string text, const std::string &name, const std::string &value)
{
    const std::size_t field = text.find("\"" + name + "\":");
    CHECK_TEXT(field != std::string::npos, name.c_str());
    const std::size_t begin = field + name.size() + 3;
    const std::size_t end = text.find_first_of(",}]", begin);
    return text.replace(begin, end - begin, value);
}

void checkRefused(bool accepted, const std::string &what, const Reason &reason)
{
    CHECK_TEXT(!accepted, (what + " was accepted").c_str());
    CHECK_TEXT(!reason.text.empty(), (what + " was refused without a reason").c_str());
}

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
        CHECK_TEXT(this->server != nullptr, reason.text.c_str());
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

    WorkerAnswer answerOfAWorker(const WorkerCall &call, int status, const std::string &body)
    {
        WorkerClient worker(this->loop, {serverAddress});
        this->status = status;
        this->body = body;
        bool answered = false;
        WorkerAnswer answer;
        worker.call(call, [&](const WorkerAnswer &given) {
            answer = given;
            answered = true;
        });
        this->runUntil(answered);
        return answer;
    }

    ReadResult readOfTheStore(const std::string &body, std::uint64_t from)
    {
        StoreOptions options;
        options.address = serverAddress;
        JobLogStore store(this->loop, options);
        this->status = 200;
        this->body = body;
        bool answered = false;
        ReadResult result;
        store.read(from, 0, [&](const ReadResult &given) {
            result = given;
            answered = true;
        });
        this->runUntil(answered);
        return result;
    }

    NewestResult newestOfTheStore(const std::string &body)
    {
        StoreOptions options;
        options.address = serverAddress;
        JobLogStore store(this->loop, options);
        this->status = 200;
        this->body = body;
        bool answered = false;
        NewestResult result;
        store.newest("", [&](const NewestResult &given) {
            result = given;
            answered = true;
        });
        this->runUntil(answered);
        return result;
    }
};

// A record as the store returns it, after its 4 bytes of length.
std::string storedRecord(const std::string &content)
{
    const std::size_t length = content.size();
    std::string result;
    for (int shift = 24; shift >= 0; shift -= 8)
        result += static_cast<char>(length >> shift & 0xff);
    return result + content;
}

const std::string heartbeat =
    R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":8,)"
    R"("State":"ready","ColdRemainingMs":0,"RemainingMs":0,"ClockMs":5,"Sequence":4,)"
    R"("born":1796000000000,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":8},)"
    R"("Labels":["a","r1"]})";

const std::string configuration =
    R"({"Version":3,"Routes":[{"Name":"r1","Hostname":"h","PathPrefix":"/q/","Service":"s",)"
    R"("Priority":0,"MaxAttempts":2,"Stretch":1.5,"TargetLatencyMs":400,"Public":false}],)"
    R"("Limits":{"MaxBodyBytes":9},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k"],"Guaranteed":{"Gpus":8}}]})";

const std::string leader =
    R"({"epoch":65537,"process":"e1","start":1796000000000000,"address":"10.0.0.1:7000","hosts":3,)"
    R"("resigned":false,"processorShare":0.5})";

const std::string hostReport =
    R"({"host":"h","agentStart":1796000000000000,"sequence":7,"workerGone":false,"lostLeader":0,)"
    R"("fencingToken":65537,"orderedToken":65537,"releasedToken":0,"listClockMs":5,)"
    R"("worker":{"id":"i","bornUnixMs":1796000000000,"service":"s","draining":false,)"
    R"("remainingMs":0,"labels":["a"],)"
    R"("capacity":{"cpuMilli":1,"memoryMb":2,"accelerators":3}},)"
    R"("runs":[{"task":"a.0.0.0","run":1,"state":2,"percent":50,"checkpoint":"","reason":""}],)"
    R"("ends":[{"number":1,"task":"a.0.0.1","run":2,"how":0,"checkpoint":""}]})";

const std::string hostOrders =
    R"({"epoch":65537,"leaderAddress":"10.0.0.1:7000","leaderEpoch":0,"workerKey":"h/i@1",)"
    R"("fencingToken":262145,"grantMs":9000,"acknowledgedEnd":1,"storeSilentMs":0,"jobLogAgeMs":0,)"
    R"("starts":[{"task":"a.0.0.0","run":1,"payload":"","checkpoint":""}],)"
    R"("stops":[{"task":"a.0.0.1","run":2}]})";

const std::string holdAnswer =
    R"({"ClockMs":5,"born":1796000000000,"Running":[["a.0.0.0",1,"c",41]],)"
    R"("Ended":[[58,"a.0.0.1",2,"done",""]]})";

} // namespace

TEST_GROUP(OddEntries)
{
    Reason reason;
};

// Pattern: one heartbeat of another writer with `born` 2^64-1 or `Sequence` 1e30 makes every later
// one of the real worker an outdated one; a capacity out of range is converted without a check.
TEST(OddEntries, heartbeatWithANumberOutOfRangeNamesNoWorker)
{
    CHECK(decodeHeartbeat("i", heartbeat, reason).has_value());
    for (const std::string &name : Texts{"Cpu", "MemMb", "Gpus", "born", "Sequence", "Slots",
                                         "ColdRemainingMs", "RemainingMs"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            const std::string text = with(heartbeat, name, value);
            checkRefused(decodeHeartbeat("i", text, reason).has_value(), joined({name, " ", value}),
                         reason);
        }
    }
    checkRefused(decodeHeartbeat("", heartbeat, reason).has_value(), "an empty id", reason);
    // In the year 31000: a real worker is never younger.
    checkRefused(
        decodeHeartbeat("i", with(heartbeat, "born", "916000000000000"), reason).has_value(),
        "a start far in the future", reason);
}

TEST(OddEntries, heartbeatWithAnAddressOutOfRangeNamesNoWorker)
{
    for (const std::string &address :
         Texts{R"("10.0.0.9:65536")", R"("10.0.0.9:0")", R"("10.0.0.9:-1")", R"("10.0.0.9")",
               R"("10.0.0.9:")", R"(":80")", R"("10.0.0.9:1e3")",
               R"("10.0.0.9:99999999999999999999")", "7", "{}"}) {
        reason = {};
        checkRefused(decodeHeartbeat("i", with(heartbeat, "Address", address), reason).has_value(),
                     address, reason);
    }
    CHECK(
        decodeHeartbeat("i", with(heartbeat, "Address", "\"10.0.0.9:65535\""), reason).has_value());
}

TEST(OddEntries, deepHeartbeatNamesNoWorker)
{
    for (const std::string &name : Texts{"Service", "Cpu", "born", "ClockMs", "Slots"}) {
        reason = {};
        checkRefused(decodeHeartbeat("i", with(heartbeat, name, deepObject), reason).has_value(),
                     "a deep " + name, reason);
    }
}

// Fields that are 0 or empty are omitted, and numbers may be written with a fraction of 0.
TEST(OddEntries, heartbeatWithTheFewestFieldsIsAccepted)
{
    const auto decoded = decodeHeartbeat(
        "i",
        R"({"Service":"s","Sequence":1.0,"born":1,"State":"draining","RemainingMs":12.5,)"
        R"("Capacity":{"Cpu":1,"MemMb":1}})",
        reason);
    CHECK_TEXT(decoded.has_value(), reason.text.c_str());
    CHECK(decoded->worker.draining);
    LONGS_EQUAL(12, decoded->worker.remainingMs);
    LONGS_EQUAL(0, decoded->worker.capacity.accelerators);
}

// Pattern: a 200 without the lists of runs. An empty list means that no run exists any more, and
// the agent would give all of them up.
TEST(OddEntries, answerWithoutListsIsNoAnswerToAPoll)
{
    ConstantServer server;
    CHECK(server.answerOfAWorker(PollCall(), 200, holdAnswer).result == CallResult::Done);
    for (const std::string &body :
         Texts{"", "7", "[]", "{", "{}", R"({"ClockMs":5})", R"({"ClockMs":5,"Running":[]})",
               R"({"ClockMs":5,"Ended":[]})", R"({"ClockMs":5,"Running":{},"Ended":[]})",
               R"({"ClockMs":5,"Running":[],"Ended":null})", R"({"Running":[],"Ended":[]})"}) {
        const WorkerAnswer answer = server.answerOfAWorker(PollCall(), 200, body);
        CHECK_TEXT(answer.result == CallResult::NoAnswer, body.c_str());
        CHECK_TEXT(answer.reason.find("malformed answer") != std::string::npos,
                   answer.reason.c_str());
    }
}

// Pattern: a 200 or 409 whose body cannot be read shows neither that the call was carried out nor
// which rejection it was. A busy worker needs no body.
TEST(OddEntries, unreadableAnswerToAStartOrStopIsNoAnswer)
{
    ConstantServer server;
    for (const WorkerCall &call : {WorkerCall(StartCall()), WorkerCall(StopCall())}) {
        CHECK(server.answerOfAWorker(call, 200, R"({"ClockMs":5})").result == CallResult::Done);
        CHECK(server.answerOfAWorker(call, 409, R"({"ClockMs":5,"Reason":"old"})").result
              == CallResult::Refused);
        CHECK(server.answerOfAWorker(call, 409, R"({"ClockMs":5,"Reason":"fence"})").result
              == CallResult::Fenced);
        for (const int status : {429, 503})
            CHECK(server.answerOfAWorker(call, status, "").result == CallResult::Busy);
        for (const std::string &body :
             Texts{"", "[", "7", R"({"ClockMs":-1})", R"({"ClockMs":1e300})"}) {
            for (const int status : {200, 409})
                CHECK_TEXT(server.answerOfAWorker(call, status, body).result
                               == CallResult::NoAnswer,
                           (std::to_string(status) + " " + body).c_str());
        }
    }
}

TEST(OddEntries, answerWithANumberOutOfRangeIsNoAnswer)
{
    ConstantServer server;
    const auto check = [&](const std::string &body) {
        CHECK_TEXT(server.answerOfAWorker(PollCall(), 200, body).result == CallResult::NoAnswer,
                   body.c_str());
    };
    for (const std::string &value : badAmounts) {
        check(with(holdAnswer, "ClockMs", value));
        check(with(holdAnswer, "born", value));
        check(R"({"ClockMs":5,"Running":[],"Ended":[[)" + value + R"(,"a.0.0.1",2,"done",""]]})");
        check(R"({"ClockMs":5,"Running":[],"Ended":[[58,"a.0.0.1",)" + value + R"(,"done",""]]})");
        check(R"({"ClockMs":5,"Running":[["a.0.0.0",)" + value + R"(,"c",41]],"Ended":[]})");
    }
    // 2^32 + 1 was read as run 1.
    check(R"({"ClockMs":5,"Running":[["a.0.0.0",4294967297,"c",41]],"Ended":[]})");
    check(R"({"ClockMs":5,"Running":[["a.0.0.0",1]],"Ended":[]})");
    check(R"({"ClockMs":5,"Running":[{"0":"a.0.0.0"}],"Ended":[]})");
    check(R"({"ClockMs":5,"Running":[],"Ended":[[58,"a.0.0.1",2,{},""]]})");
    // An end whose number does not increase would hide the later ones.
    check(R"({"ClockMs":5,"Running":[],)"
          R"("Ended":[[9007199254740992,"a.0.0.1",2,"done",""],[2,"a.0.0.2",2,"done",""]]})");
    check(R"({"ClockMs":5,"Running":[],"Ended":[[58,"a.0.0.1",2,"done",)" + deepObject + "]]}");
}

// The percentage is only used to estimate; a run remains listed whatever it is.
TEST(OddEntries, runWithAnOddPercentageRemainsListed)
{
    ConstantServer server;
    for (const std::string &value : Texts{"-1", "1e300", "101", "\"x\"", "null"}) {
        const WorkerAnswer answer = server.answerOfAWorker(
            PollCall(), 200,
            R"({"ClockMs":5,"Running":[["a.0.0.0",1,"c",)" + value + R"(]],"Ended":[]})");
        CHECK(answer.result == CallResult::Done);
        LONGS_EQUAL(1, answer.running.size());
        LONGS_EQUAL(unknownPercent, answer.running[0].percent);
    }
    CHECK(server
              .answerOfAWorker(PollCall(), 200,
                               R"({"ClockMs":5,"Running":[["a.0.0.0",1,"c",41.7,3]],"Ended":[]})")
              .running.at(0)
              .percent
          == 41);
}

// Pattern: the copy of a value that is nested 200,000 deep exhausts the stack.
TEST(OddEntries, deepConfigurationIsIgnored)
{
    for (const std::string &name : Texts{"MaxBodyBytes", "Name", "Gpus", "Priority"}) {
        reason = {};
        checkRefused(decodeConfiguration(with(configuration, name, deepObject), reason).has_value(),
                     "a deep " + name, reason);
    }
    const std::string deepLimits =
        R"({"Version":3,"Routes":[],"Limits":)" + deepObject + R"(,"Tenants":[]})";
    reason = {};
    checkRefused(decodeConfiguration(deepLimits, reason).has_value(), "deep limits", reason);
}

TEST(OddEntries, configurationWithANumberOutOfRangeIsIgnored)
{
    CHECK(decodeConfiguration(configuration, reason).has_value());
    for (const std::string &name : Texts{"Version", "Priority", "MaxAttempts", "Stretch",
                                         "TargetLatencyMs", "MaxBodyBytes", "Gpus"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            checkRefused(decodeConfiguration(with(configuration, name, value), reason).has_value(),
                         joined({name, " ", value}), reason);
        }
    }
    for (const std::string &name : Texts{"Priority", "MaxAttempts"})
        CHECK(!decodeConfiguration(with(configuration, name, "4294967296"), reason).has_value());
    for (const std::string &text :
         Texts{R"({"Version":3,"Routes":{"a":{}}})", R"({"Version":3,"Routes":[],"Tenants":{}})",
               R"({"Version":3})", R"({"Version":3,"Routes":[],"Limits":[]})"})
        CHECK_TEXT(!decodeConfiguration(text, reason).has_value(), text.c_str());
}

TEST(OddEntries, submissionWhoseStepsAreNoListIsRefused)
{
    for (const std::string &steps : Texts{R"({"a":{"Count":1}})", R"({"a":{"b":{"c":{}}}})", "7",
                                          "[7]", "[[]]", "[{},7]", "null"}) {
        reason = {};
        checkRefused(
            decodeSubmission(R"({"TaskSpec":"x","Steps":)" + steps + "}", reason).has_value(),
            "Steps " + steps, reason);
    }
    for (const std::string &text :
         Texts{R"({"TaskSpec":"x","Steps":[)" + deepObject + "]}",
               R"({"TaskSpec":"x","Steps":[{}],"More":)" + deepObject + "}"}) {
        reason = {};
        checkRefused(decodeSubmission(text, reason).has_value(), "a deep submission", reason);
    }
}

// Pattern: the number of tasks was summed and multiplied without a check, so that 4 steps of 2^31
// tasks, 2^31 times over, counted as none.
TEST(OddEntries, submissionWithTooManyTasksIsRefused)
{
    const std::string wide = R"({"Count":2147483648})";
    for (const std::string &text :
         Texts{joined({R"({"TaskSpec":"x","RepeatCount":2147483648,"Steps":[)", wide, ",", wide,
                       ",", wide, ",", wide, "]}"}),
               R"({"TaskSpec":"x","Steps":[{"Count":4294967295}]})",
               R"({"TaskSpec":"x","Steps":[{"Count":4294967297}]})",
               R"({"TaskSpec":"x","RepeatCount":4294967295,"Steps":[{}]})",
               R"({"TaskSpec":"x","RepeatCount":4294967297,"Steps":[{}]})",
               R"({"TaskSpec":"x","RepeatCount":-1,"Steps":[{}]})",
               R"({"TaskSpec":"x","Steps":[{"Count":0}]})",
               R"({"TaskSpec":"x","Steps":[{"Count":1.5}]})"}) {
        reason = {};
        checkRefused(decodeSubmission(text, reason).has_value(), text, reason);
    }
}

TEST(OddEntries, submissionWithANumberOutOfRangeIsRefused)
{
    const std::string submission =
        R"({"TaskSpec":"x","FirstRunMs":5,"IntervalMs":2,"RepeatCount":3,"Steps":[{},{"Count":4,)"
        R"("Cpu":500,"MemMb":256,"Gpus":1,"EstimateMs":900,"AntiAffinity":1,"After":[0]}]})";
    CHECK_TEXT(decodeSubmission(submission, reason).has_value(), reason.text.c_str());
    for (const std::string &name : Texts{"FirstRunMs", "IntervalMs", "RepeatCount", "Count", "Cpu",
                                         "MemMb", "Gpus", "EstimateMs", "AntiAffinity"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            checkRefused(decodeSubmission(with(submission, name, value), reason).has_value(),
                         joined({name, " ", value}), reason);
        }
    }
    for (const std::string &after :
         Texts{"[-1]", "[4294967296]", "[1e300]", "[[0]]", "{\"a\":0}", "0"})
        CHECK_TEXT(
            !decodeSubmission(R"({"TaskSpec":"x","Steps":[{},{"After":)" + after + "}]}", reason)
                 .has_value(),
            after.c_str());
    // The sum of estimates is multiplied by the queue's stretch.
    CHECK(!decodeSubmission(
               R"({"TaskSpec":"x","Steps":[{"EstimateMs":9e11},{"EstimateMs":9e11,"After":[0]}]})",
               reason)
               .has_value());
}

// Pattern: a leader record with an epoch that no campaign can exceed, or with an address that no
// agent can call, would leave the system without a leader for good.
TEST(OddEntries, oddLeaderRecordIsIgnored)
{
    CHECK_TEXT(decodeLeader(leader, reason).has_value(), reason.text.c_str());
    for (const std::string &name : Texts{"epoch", "start", "hosts", "processorShare"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            checkRefused(decodeLeader(with(leader, name, value), reason).has_value(),
                         joined({name, " ", value}), reason);
        }
    }
    for (const std::string &text :
         Texts{std::string("{}"), std::string(R"({"a":{"b":{"c":{}}}})"), deepObject,
               with(leader, "epoch", "0"), with(leader, "process", "\"\""),
               with(leader, "process", deepObject)}) {
        reason = {};
        checkRefused(decodeLeader(text, reason).has_value(), text.substr(0, 100), reason);
    }
    for (const std::string &address : Texts{"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1",
                                            "10.0.0.1", ":7000", "10.0.0.1:7000x"})
        CHECK_TEXT(
            !decodeLeader(with(leader, "address", "\"" + address + "\""), reason).has_value(),
            address.c_str());
}

// An epoch that is accepted leaves room for the next campaigns, and for the fencing tokens.
TEST(OddEntries, everyAcceptedEpochCanBeExceeded)
{
    Random random(4711);
    for (int bit = 0; bit < 64; ++bit) {
        const std::uint64_t epoch = std::uint64_t(1) << bit;
        if (!decodeLeader(with(leader, "epoch", std::to_string(epoch)), reason))
            continue;
        const std::uint64_t next = nextEpoch(epoch, random);
        CHECK(next > epoch);
        CHECK_TEXT(decodeLeader(with(leader, "epoch", std::to_string(next)), reason).has_value(),
                   reason.text.c_str());
    }
}

TEST(OddEntries, recordInTheMiddleOfALogDoesNotStopTheReader)
{
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    JobProgress progress;
    progress.tasks.emplace_back();
    progress.tasks[0] = {TaskPhase::Assigned, 1, 0, 0, "h/i@1", ""};
    const std::string good = progressRecord("1", progress).value;
    JobTable table;
    const auto apply = [&](const std::string &key, const std::string &value) {
        reason = {};
        return applyRecord(table, key, value, false, reason);
    };
    CHECK(apply("a/1", acceptanceRecord(job).value));
    CHECK(apply("~leader", leader));
    for (const std::string &odd :
         Texts{deepObject, std::string("\xff"), std::string("{"), std::string("[]"),
               std::string(R"({"epoch":18446744073709551615,"process":"x","start":1})"),
               std::string(R"({"outcome":1,"tasks":[]})")}) {
        for (const std::string &key : Texts{"a/2", "p/1", "~leader", "~candidate", "", "x/1"}) {
            CHECK_TEXT(!apply(key, odd), (key + " " + odd.substr(0, 60)).c_str());
            CHECK(!reason.text.empty());
        }
    }
    LONGS_EQUAL(65537, table.leader.epoch);
    CHECK(apply("p/1", good));
    CHECK(apply("~leader", with(leader, "epoch", "131073")));
    LONGS_EQUAL(131073, table.leader.epoch);
    LONGS_EQUAL(1, table.jobs.size());
    CHECK(table.jobs["1"].progress.tasks[0].phase == TaskPhase::Assigned);
}

// Pattern: a phase that no code knows would leave the task waiting for good, and a job that names
// another id would change the records of that one.
TEST(OddEntries, oddRecordOfAJobIsIgnored)
{
    const auto progress = [this](const std::string &text) {
        return decodeProgress(text, reason).has_value();
    };
    CHECK_TEXT(progress(R"({"outcome":0,"workers":["h/i@1"],"tasks":[[1,2,1,1,1,"c"],[]]})"),
               reason.text.c_str());
    for (const std::string &value : badAmounts) {
        CHECK_TEXT(!progress(R"({"outcome":)" + value + R"(,"tasks":[]})"), value.c_str());
        for (const std::string &prefix : Texts{"", "1,", "1,1,", "1,1,1,", "1,1,1,1,"}) {
            const std::string row = joined({"[", prefix, value, "]"});
            // The fifth field may also be the text of a worker.
            if (prefix != "1,1,1,1," || value != "\"1\"")
                CHECK_TEXT(!progress(R"({"workers":["h"],"tasks":[)" + row + "]}"), row.c_str());
        }
    }
    for (const std::string &text :
         Texts{R"({"outcome":4,"tasks":[]})", R"({"tasks":[[4]]})", R"({"tasks":[[1,4294967297]]})",
               R"({"tasks":{"a":[1]}})", R"({"tasks":[7]})", R"({"tasks":[{"0":1}]})",
               R"({"workers":{},"tasks":[[1,1,0,0,1]]})", "[]", "7"})
        CHECK_TEXT(!progress(text), text.c_str());
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    const std::string accepted = acceptanceRecord(job).value;
    for (const std::string &name :
         Texts{"count", "cpuMilli", "memoryMb", "accelerators", "estimateMs", "maxPerWorker",
               "priority", "maxAttempts", "stretch", "targetLatencyMs", "acceptedUnixMs",
               "firstRunUnixMs", "intervalMs", "repeatCount"}) {
        for (const std::string &value : badAmounts)
            CHECK_TEXT(!decodeJob(with(accepted, name, value), reason).has_value(),
                       joined({name, " ", value}).c_str());
    }
    CHECK(!decodeJob(with(accepted, "id", deepObject), reason).has_value());
    JobTable table;
    CHECK(!applyRecord(table, "a/2", accepted, false, reason));
    CHECK(table.jobs.empty());
    CHECK(applyRecord(table, "a/1", accepted, false, reason));
}

TEST(OddEntries, oddHostReportIsRefused)
{
    CHECK_TEXT(decodeHostReport(hostReport, reason).has_value(), reason.text.c_str());
    for (const std::string &name :
         Texts{"agentStart", "sequence", "lostLeader", "fencingToken", "orderedToken",
               "listClockMs", "bornUnixMs", "remainingMs", "cpuMilli", "memoryMb", "accelerators",
               "run", "state", "number", "how"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            checkRefused(decodeHostReport(with(hostReport, name, value), reason).has_value(),
                         joined({name, " ", value}), reason);
        }
    }
    for (const auto &[name, value] :
         std::initializer_list<std::pair<std::string, std::string>>{{"run", "4294967297"},
                                                                    {"state", "5"},
                                                                    {"how", "6"},
                                                                    {"host", deepObject},
                                                                    {"host", "\"\""},
                                                                    {"percent", deepObject}})
        CHECK_TEXT(!decodeHostReport(with(hostReport, name, value), reason).has_value(),
                   name.c_str());
    const auto odd = decodeHostReport(with(hostReport, "percent", "1e300"), reason);
    CHECK_TEXT(odd.has_value(), reason.text.c_str());
    LONGS_EQUAL(unknownPercent, odd->runs[0].percent);
}

// Pattern: an agent that follows orders with the highest token ignores all later ones.
TEST(OddEntries, oddHostOrdersAreIgnored)
{
    CHECK_TEXT(decodeHostOrders(hostOrders, reason).has_value(), reason.text.c_str());
    for (const std::string &name :
         Texts{"epoch", "leaderEpoch", "fencingToken", "grantMs", "acknowledgedEnd", "run"}) {
        for (const std::string &value : badAmounts) {
            reason = {};
            checkRefused(decodeHostOrders(with(hostOrders, name, value), reason).has_value(),
                         joined({name, " ", value}), reason);
        }
    }
    for (const std::string &address : Texts{"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1"})
        CHECK_TEXT(
            !decodeHostOrders(with(hostOrders, "leaderAddress", "\"" + address + "\""), reason)
                 .has_value(),
            address.c_str());
    CHECK(!decodeHostOrders(with(hostOrders, "workerKey", deepObject), reason).has_value());
    CHECK(decodeHostOrders(encode(HostOrders()), reason).has_value());
}

// Pattern: any process that reaches the internal port could have a leader record, or the deletion
// of a job, stored as if an entry had relayed an acceptance.
TEST(OddEntries, relayedRecordThatIsNoAcceptanceIsRefused)
{
    Job job;
    job.id = "1";
    job.steps.emplace_back();
    CHECK_TEXT(decodeRecord(encodeRecord(acceptanceRecord(job)), reason).has_value(),
               reason.text.c_str());
    CHECK_TEXT(decodeRecord(encodeRecord(cancellationRecord("1")), reason).has_value(),
               reason.text.c_str());
    for (const Record &record :
         {Record{"~leader", leader}, Record{"~candidate", leader}, Record{"a/1", ""},
          Record{"c/1", ""}, Record{"a/1", "{}"}, Record{"a/2", acceptanceRecord(job).value},
          Record{"a/1", deepObject}, Record{"p/1", R"({"tasks":[[3]]})"}, Record{"", "{}"}}) {
        reason = {};
        checkRefused(decodeRecord(encodeRecord(record), reason).has_value(),
                     record.key + " " + record.value.substr(0, 60), reason);
    }
    CHECK(!decodeRecord(deepObject, reason).has_value());
}

// Pattern: a record without a key at the end of a read left nothing to apply, so the same offset
// was read again and again, without a pause.
TEST(OddEntries, recordOfTheStoreThatCannotBeReadIsPassed)
{
    ConstantServer server;
    const std::string header(16, '\0');
    const std::string good = storedRecord(std::string("\x03") + "a/1" + "value");
    for (const std::string &odd :
         Texts{storedRecord(""), storedRecord("\xff"), storedRecord(std::string("\x09") + "a/1")}) {
        const ReadResult last = server.readOfTheStore(joined({header, good, odd}), 7);
        CHECK(last.answered);
        LONGS_EQUAL(2, last.records.size());
        LONGS_EQUAL(8, last.records[1].offset);
        CHECK(!parseKey(last.records[1].record.key).has_value());
        const ReadResult middle = server.readOfTheStore(joined({header, odd, good}), 7);
        LONGS_EQUAL(2, middle.records.size());
        LONGS_EQUAL(8, middle.records[1].offset);
        STRCMP_EQUAL("a/1", middle.records[1].record.key.c_str());
    }
    CHECK(server.readOfTheStore(header + good + good.substr(0, 6), 7).records.size() == 1);
}

// Pattern: without the end of the log the reader would begin at its deleted start, and list the
// newest records again, without a pause.
TEST(OddEntries, listOfTheStoreWithOddNumbersIsNoAnswer)
{
    ConstantServer server;
    const std::string page =
        R"({"items":[{"Key":"a/1","Value":"","Offset":4}],"HasMore":false,"End":6})";
    CHECK(server.newestOfTheStore(page).answered);
    for (const std::string &name : Texts{"End", "Offset"}) {
        for (const std::string &value : badAmounts) {
            const NewestResult result = server.newestOfTheStore(with(page, name, value));
            CHECK_TEXT(!result.answered, joined({name, " ", value}).c_str());
            CHECK(!result.error.empty());
        }
    }
    for (const std::string &text :
         Texts{with(page, "Key", "7"), R"({"items":[]})", R"({"items":{},"End":6})",
               with(page, "Value", deepObject), std::string("[]")})
        CHECK_TEXT(!server.newestOfTheStore(text).answered, text.substr(0, 80).c_str());
    // A value that cannot be read is passed on; its decoder refuses and logs it.
    const NewestResult odd = server.newestOfTheStore(with(page, "Value", "\"*\""));
    LONGS_EQUAL(1, odd.records.size());
    STRCMP_EQUAL("a/1", odd.records[0].record.key.c_str());
    CHECK(!odd.records[0].record.value.empty());
}

TEST(OddEntries, settingsWithPortsOutOfRangeAreReportedTogether)
{
    std::vector<std::string> errors;
    CHECK(!parseNodeSettings("Node=n\nIp=10.0.0.1\nplatform.Address=10.0.0.2:70000\n"
                             "InternalPorts=7000,70000\nListen.Front=10.0.0.1:0\n"
                             "Listen.Ready=10.0.0.1:-1\nListen.Control=10.0.0.1\napp=x:80\n",
                             errors)
               .has_value());
    LONGS_EQUAL(6, errors.size());
    for (const std::string &name :
         Texts{"platform.Address=10.0.0.2:70000", "Listen.Front=10.0.0.1:0",
               "Listen.Ready=10.0.0.1:-1", "Listen.Control=10.0.0.1", "app=x:80"})
        CHECK_TEXT(std::any_of(errors.begin(), errors.end(),
                               [&](const std::string &error) {
                                   return error == name + " is not of the form IP:port";
                               }),
                   name.c_str());
    errors.clear();
    CHECK(!parseNodeSettings("Node=n\nIp=10.0.0\nplatform.Address=10.0.0.2:80\n"
                             "InternalPorts=7000,7015\n",
                             errors)
               .has_value());
    LONGS_EQUAL(1, errors.size());
}

// An address that cannot be called ends the call with an error that names it, once.
TEST(OddEntries, callToAnAddressOutOfRangeFails)
{
    ConstantServer server;
    HttpClient client(server.loop);
    for (const std::string &address : Texts{
             "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536",
             "127.0.0.1:99999999999999999999", "x:80", "127.0.0.1:80 ", "[::1]:80"}) {
        for (const bool keepAlive : {false, true}) {
            HttpCall call;
            call.address = address;
            call.keepAlive = keepAlive;
            int answers = 0;
            bool answered = false;
            HttpResult result;
            client.call(call, [&](const HttpResult &given) {
                result = given;
                ++answers;
            });
            LONGS_EQUAL(0, answers);
            server.loop.after(20, [&answered] { answered = true; });
            server.runUntil(answered);
            LONGS_EQUAL(1, answers);
            LONGS_EQUAL(0, result.status);
            CHECK(!result.requestSent && !result.timedOut);
            CHECK_TEXT(result.error.find("is not of the form IP:port") != std::string::npos,
                       result.error.c_str());
        }
    }
}
