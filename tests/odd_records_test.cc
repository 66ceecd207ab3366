// Guards against an odd entry of another writer that ends the processes which read it, again at
// each restart, or stops them from following the entries after it: values that are nested very
// deeply, numbers that are too large or negative, and ports out of range. The product's own
// programs read such entries from callers, operators, the log, peers and files.

#include "flamingo/adapters/codec.h"
#include "flamingo/adapters/ctl.h"
#include "flamingo/adapters/day_report.h"
#include "flamingo/adapters/http_server.h"
#include "flamingo/adapters/job_json.h"
#include "flamingo/adapters/log_client.h"
#include "flamingo/adapters/log_history.h"
#include "flamingo/adapters/peers.h"
#include "flamingo/adapters/table_csv.h"
#include "flamingo/agent_node.h"
#include "flamingo/entry.h"
#include "flamingo/json_parse.h"
#include "flamingo/owner.h"
#include "flamingo/settings.h"
#include "flamingo/table.h"
#include "standin/keyed_store.h"
#include "standin/platform.h"
#include "standin/platform_worker.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace flamingo;
using namespace flamingo::adapters;

namespace {

using Json = nlohmann::json;

// The leak detector searches a list for each of the many small allocations of a nested value.
const bool leakDetectorOff = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

constexpr std::size_t deepLevels = 500000; // 1 MB, just below the limits of a record and a body
constexpr std::size_t deepSettingsLevels = 100000;
constexpr std::uint64_t largest = UINT64_MAX;
constexpr std::uint64_t twoTo63 = 1ULL << 63U;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

constexpr const char *serverAddress = "127.0.0.1:18871";
constexpr std::size_t firstPeerPort = 18872;
constexpr const char *entryAddress = "127.0.0.1:18872";
constexpr const char *fileName = "odd_records_test.tmp";
constexpr TimeMs testTimeoutMs = 10000;

template <typename Condition>
void runUntil(Loop &loop, Condition condition, TimeMs timeoutMs = testTimeoutMs)
{
    const TimeMs end = Loop::now() + timeoutMs;
    while (!condition() && Loop::now() < end) {
        loop.after(1, [&loop] { loop.stop(); });
        loop.run();
        loop.resume();
    }
}

// Answers the requests in order with `responses`; the last one is repeated.
struct FakeServer
{
    std::vector<HttpResponse> responses;
    std::vector<HttpRequest> requests;
    std::unique_ptr<HttpServer> server;

    explicit FakeServer(Loop &loop)
    {
        HttpServerOptions options;
        options.address = serverAddress;
        Reason reason;
        this->server = HttpServer::listen(
            loop, options,
            [this](const HttpRequest &request) {
                const auto index = std::min(this->requests.size(), this->responses.size() - 1);
                this->requests.push_back(request);
                this->server->respond(request.id, this->responses[index]);
            },
            nullptr, reason);
        CHECK(this->server != nullptr);
    }
};

} // namespace

// ---- Callers ----

TEST_GROUP(OddRequests){};

// The process ended by exhaustion of its stack.
TEST(OddRequests, deeplyNestedChangeOfTheTableIsRefused)
{
    Reason reason;
    const std::string body =
        R"({"baseVersion":1,"author":"kari","change":)" + nested(deepLevels) + "}";
    CHECK_FALSE(parseEditRequest(body, reason).has_value());
    CHECK(reason.code == ReasonCode::InvalidInput);
    CHECK(contains(reason.text, "nested"));
    CHECK_FALSE(parseTableChange(nested(deepLevels), reason).has_value());
    CHECK(contains(reason.text, "nested"));
}

// ---- The stream `table` ----

TEST_GROUP(OddTableLines)
{
    Table table;
    std::uint64_t nextOffset = 0;
    Reason reason;

    ApplyResult apply(const std::string &line)
    {
        return applyTableLine(this->table, line, this->nextOffset++, this->reason);
    }

    ApplyResult applyEdit(std::uint64_t sequence)
    {
        Edit edit;
        edit.baseVersion = this->table.version;
        edit.writer = "entry-1.1";
        edit.sequence = sequence;
        edit.upserts.push_back({"fjord", "west", 1, 0, 0, {}});
        return this->apply(editLine(edit));
    }

    // Checks that the line has no effect and that the next edit does.
    void checkIgnored(const std::string &line)
    {
        const std::uint64_t version = this->table.version;
        CHECK(this->apply(line) == ApplyResult::Malformed);
        CHECK_FALSE(this->reason.text.empty());
        CHECK_EQUAL(version, this->table.version);
        CHECK(this->applyEdit(this->nextOffset + 1) == ApplyResult::Applied);
    }

    Json snapshot()
    {
        Table other;
        other.version = this->table.version + 1;
        other.nextOffset = this->nextOffset;
        return Json::parse(snapshotLine(other));
    }
};

// Every process that read the line ended, again at each restart.
TEST(OddTableLines, deeplyNestedLineIsIgnored)
{
    this->checkIgnored(R"({"kind":)" + nested(deepLevels) + "}");
    this->checkIgnored(nested(deepLevels));
    this->checkIgnored(R"({"kind":"Edit","writer":)" + nested(deepLevels) + "}");
}

// The process read no further line, because all were before the position that the Snapshot gave.
TEST(OddTableLines, snapshotThatCoversLinesAfterItselfIsIgnored)
{
    CHECK(this->applyEdit(1) == ApplyResult::Applied);
    for (const std::uint64_t covered : {this->nextOffset + 5, twoTo63, largest}) {
        Json record = this->snapshot();
        record["nextOffset"] = covered;
        this->checkIgnored(record.dump());
    }
}

// The version began again at 0 with the next edit, and no Snapshot could replace the table.
TEST(OddTableLines, snapshotWithAVersionThatNoEditsCanReachIsIgnored)
{
    CHECK(this->applyEdit(1) == ApplyResult::Applied);
    for (const std::uint64_t version : {twoTo63, largest}) {
        Json record = this->snapshot();
        record["version"] = version;
        this->checkIgnored(record.dump());
    }
}

// Each new writer was dropped at once, so that its repeated lines were applied again and the entry
// used a map element that did not exist.
TEST(OddTableLines, snapshotWithWritersOfLaterVersionsIsIgnored)
{
    Json record = this->snapshot();
    for (std::size_t i = 0; i < maxWriters; ++i)
        record["writers"].push_back(
            {{"writer", "w" + std::to_string(i)}, {"sequence", 1}, {"version", largest}});
    this->checkIgnored(record.dump());
    CHECK_EQUAL(1U, this->table.writerSequences.count("entry-1.1"));
}

// An edit of the named writer was never applied again.
TEST(OddTableLines, editWithASequenceThatNoWriterCanExceedIsIgnored)
{
    for (const char *sequence : {"18446744073709551615", "9223372036854775808", "1e30", "-1"}) {
        Edit edit;
        edit.baseVersion = this->table.version;
        edit.writer = "entry-1.1";
        std::string line = editLine(edit);
        const std::string field = R"("sequence":0)";
        line.replace(line.find(field), field.size(), R"("sequence":)" + std::string(sequence));
        this->checkIgnored(line);
    }
}

// The read position wrapped around to 0, or no later line was read.
TEST(OddTableLines, lineAtAnOffsetOutOfRangeIsIgnored)
{
    const std::string line = R"({"kind":"Other"})";
    for (const std::uint64_t offset : {twoTo63, largest}) {
        CHECK(applyTableLine(this->table, line, offset, this->reason) == ApplyResult::Malformed);
        CHECK_EQUAL(0U, this->table.nextOffset);
        CHECK_FALSE(this->table.started);
    }
    CHECK(this->applyEdit(1) == ApplyResult::Applied);
}

// ---- The stream `claims` ----

TEST_GROUP(OddClaims)
{
    RangeMap map;
    Owner owner;
    TimeMs now = 100000;
    Random random{1};
    Outbox out;

    void setup() override
    {
        OwnerOptions options;
        options.self = "a";
        options.region = "west";
        options.incarnation = 5;
        this->owner = makeOwner(options);
    }

    void read(const std::vector<std::string> &lines, bool trimmed = false)
    {
        LogRead read;
        read.stream = claimsStream;
        read.trimmed = trimmed;
        std::uint64_t offset = this->map.nextOffset;
        for (const std::string &text : lines) {
            wire::LogLineT line;
            line.offset = offset++;
            line.text = text;
            read.lines.push_back(std::move(line));
        }
        read.next = offset;
        applyClaims(this->map, read);
        handleOwner(this->owner, read, this->now, this->random, this->out);
    }

    static std::string with(const std::string &line, const char *field, const Json &value)
    {
        Json json = Json::parse(line);
        json[field] = value;
        return json.dump();
    }
};

// The agent ended after each start, because a later incarnation than its own seemed to run.
TEST(OddClaims, announcementOfAnIncarnationOutOfRangeIsIgnored)
{
    for (const std::uint64_t incarnation : {twoTo63, largest, std::uint64_t{1} << 60U})
        this->read({announceLine("a", "west", incarnation)});
    this->read({R"({"type":"Announce","agent":"a","region":"west","incarnation":1e30})",
                R"({"type":"Announce","agent":"a","region":"west","incarnation":-1})"});
    CHECK_EQUAL(5U, this->map.malformed);
    this->read({announceLine("a", "west", 5), epochLine("west", 3, 1, "a", 5)});
    CHECK_FALSE(ownerMustRestart(this->owner));
    CHECK_EQUAL(std::string("a"), ownerOf(this->map, "west", 3).agent);
    CHECK_EQUAL(1U, this->owner.ranges.count(3));
}

// After a replay that began in the middle of the stream, the range had no owner for good.
TEST(OddClaims, epochThatCannotHaveBeenReachedIsIgnored)
{
    this->map.nextOffset = this->owner.map.nextOffset = 1000;
    this->map.trimmed = this->owner.map.trimmed = true;
    for (const std::uint64_t epoch : {twoTo63, largest, std::uint64_t{5000}})
        this->read({epochLine("west", 3, epoch, "a", 5)});
    this->read({announceLine("a", "west", 5), epochLine("west", 3, 7, "a", 5)});
    CHECK_EQUAL(std::string("a"), ownerOf(this->map, "west", 3).agent);
    CHECK_EQUAL(7U, ownerOf(this->map, "west", 3).epoch);
    CHECK_EQUAL(1U, this->owner.ranges.count(3));
}

// All later records of the owner in this epoch had no effect.
TEST(OddClaims, sequenceThatCannotHaveBeenReachedIsIgnored)
{
    this->read({announceLine("b", "west", 5), epochLine("west", 3, 1, "b", 5)});
    ClaimsRecord clean;
    clean.kind = RecordKind::Clean;
    clean.region = "west";
    clean.range = 3;
    clean.epoch = 1;
    clean.owner = "b";
    clean.ownerIncarnation = 5;
    clean.sequence = 1;
    for (const std::uint64_t sequence : {twoTo63, largest})
        this->read({with(claimsLine(clean), "sequence", sequence)});
    CHECK_EQUAL(0U, this->map.owners.at({"west", 3}).sequence);
    this->read({with(claimsLine(clean), "seen", twoTo63)});
    CHECK_EQUAL(0U, this->map.owners.at({"west", 3}).sequence);
    this->read({claimsLine(clean)});
    CHECK_EQUAL(1U, this->map.owners.at({"west", 3}).sequence);
}

// The time of the key's last change was computed with an overflow.
TEST(OddClaims, ageOutOfRangeIsIgnored)
{
    this->read({announceLine("b", "west", 5), epochLine("west", 3, 1, "b", 5)});
    ClaimsRecord settled;
    settled.kind = RecordKind::Settled;
    settled.region = "west";
    settled.range = 3;
    settled.epoch = 1;
    settled.owner = settled.agent = "b";
    settled.ownerIncarnation = settled.incarnation = 5;
    settled.sequence = 1;
    settled.key = "k";
    settled.attempt = "1";
    settled.verdict = Verdict::Ran;
    for (const std::uint64_t age : {twoTo63, largest, twoTo63 - 1})
        this->read({with(claimsLine(settled), "ageMs", age)});
    CHECK_EQUAL(3U, this->map.malformed);
    CHECK_TRUE(this->owner.keys.empty());
    this->read({with(claimsLine(settled), "ageMs", 1000)});
    CHECK_EQUAL(this->now - 1000, this->owner.keys.at("k").changedAt);
}

TEST(OddClaims, deeplyNestedRecordIsIgnored)
{
    this->read(
        {nested(deepLevels), R"({"type":)" + nested(deepLevels) + "}",
         R"({"type":"Announce","agent":"a","region":"west","x":)" + nested(deepLevels) + "}"});
    CHECK_EQUAL(3U, this->map.malformed);
    this->read({announceLine("a", "west", 5)});
    CHECK_EQUAL(5U, this->map.agents.at("a").incarnation);
}

// The read position wrapped around to 0, or no later line was read.
TEST(OddClaims, lineAtAnOffsetOutOfRangeIsIgnored)
{
    LogRead read;
    read.stream = claimsStream;
    read.lines.resize(2);
    read.lines[0].offset = twoTo63;
    read.lines[1].offset = largest;
    read.next = twoTo63;
    applyClaims(this->map, read);
    handleOwner(this->owner, read, this->now, this->random, this->out);
    CHECK_EQUAL(0U, this->map.nextOffset);
    CHECK_EQUAL(0U, this->owner.map.nextOffset);
    this->read({announceLine("a", "west", 5)});
    CHECK_EQUAL(5U, this->map.agents.at("a").incarnation);
    CHECK_EQUAL(5U, this->owner.map.agents.at("a").incarnation);
}

// An ignored line must be found by an operator: which one, and why.
TEST(OddClaims, ignoredLinesAreReported)
{
    this->read({announceLine("a", "west", largest)});
    CHECK_EQUAL(1U, this->out.ignoredRecords.size());
    CHECK_EQUAL(std::string("claims"), this->out.ignoredRecords[0].stream);
    CHECK_EQUAL(0U, this->out.ignoredRecords[0].offset);
    CHECK(contains(this->out.ignoredRecords[0].reason.text, "incarnation"));
    AgentNode node = makeAgentNode({}, {});
    LogLines lines;
    lines.stream = tableStream;
    lines.lines.resize(1);
    lines.lines[0].text = nested(100);
    Outbox outbox;
    handleNode(node, PeerMessage{"entry", lines}, this->now, this->random, outbox);
    CHECK_EQUAL(1U, outbox.ignoredRecords.size());
    CHECK(contains(outbox.ignoredRecords[0].reason.text, "nested"));
}

// ---- The log service ----

TEST_GROUP(OddLogAnswers){// Reads the odd answer and then a valid one, from the offset 7 on.
                          void checkRepeated(int status, const std::string &odd){Loop loop;
FakeServer server(loop);
server.responses = {{status, odd},
                    {200, R"({"lines":[{"offset":7,"text":"x"}],"next":8})"},
                    {200, R"({"lines":[],"next":8})"}};
HttpClient http(loop);
LogClientOptions options;
options.address = serverAddress;
options.retryMinMs = 1;
std::vector<LogRead> reads;
LogClient client(loop, http, options,
                 {[&reads](LogRead read) {
                      reads.push_back(std::move(read));
                      return reads.back().next;
                  },
                  [](const LogAppended &) {}});
client.tail("table", 7);
runUntil(loop, [&] { return !reads.empty(); });
CHECK_FALSE(reads.empty());
CHECK_FALSE(reads[0].trimmed);
CHECK_EQUAL(8U, reads[0].next);
CHECK_EQUAL(7U, reads[0].lines[0].offset);
}
}
;

// The process read from an offset at which no line is ever found.
TEST(OddLogAnswers, readPositionOutOfRangeIsIgnored)
{
    for (const char *next : {"9223372036854775808", "18446744073709551615", "-1", "1e30", "9"})
        this->checkRepeated(
            200, R"({"lines":[{"offset":7,"text":"x"}],"next":)" + std::string(next) + "}");
}

TEST(OddLogAnswers, offsetOutOfRangeIsIgnored)
{
    for (const char *offset : {"9223372036854775807", "18446744073709551615", "-1", "6", "1e300"})
        this->checkRepeated(
            200, R"({"lines":[{"text":"x","offset":)" + std::string(offset) + R"(}],"next":8})");
}

TEST(OddLogAnswers, oldestOffsetOutOfRangeIsIgnored)
{
    for (const char *oldest : {"9223372036854775808", "18446744073709551615", "-1", "7", "0"})
        this->checkRepeated(410, R"({"oldest":)" + std::string(oldest) + "}");
}

TEST(OddLogAnswers, deeplyNestedAnswerIsIgnored)
{
    this->checkRepeated(200, R"({"next":8,"lines":)" + nested(deepLevels) + "}");
}

// ---- flamingoctl ----

TEST_GROUP(OddAnswersToOperators)
{
    std::ostringstream out;
    std::ostringstream err;

    void teardown() override
    {
        std::remove(fileName);
    }

    CtlExit runCommand(const std::vector<std::string> &words, const std::string &answer)
    {
        Loop loop;
        FakeServer server(loop);
        server.responses = {{200, answer}};
        CtlOptions options;
        options.entries = {serverAddress};
        options.author = "kari";
        options.yes = true;
        std::istringstream in;
        this->out.str("");
        this->err.str("");
        return runCtl(loop, options, words, in, this->out, this->err);
    }
};

// The program ended by exhaustion of its stack.
TEST(OddAnswersToOperators, deeplyNestedAnswerIsReported)
{
    const std::vector<std::vector<std::string>> reads = {
        {"status"}, {"table", "get"}, {"table", "history"}, {"target", "list"}};
    for (const auto &words : reads) {
        CHECK(this->runCommand(words, R"({"x":)" + nested(deepLevels) + "}")
              == CtlExit::Unreachable);
        CHECK(contains(this->err.str(), "nested deeper") || words[1] == "get");
        CHECK_FALSE(this->err.str().empty());
    }
    // The job was sent and may run.
    CHECK(this->runCommand({"job", "submit", "organisation=fjord"}, nested(deepLevels))
          == CtlExit::MayHaveRun);
    CHECK(contains(this->err.str(), "nested deeper"));
}

TEST(OddAnswersToOperators, deeplyNestedTableFileIsRefused)
{
    std::ofstream(fileName) << R"({"organisations":[{"name":"a","guarantees":)"
                            << nested(deepLevels) << "}]}";
    CHECK(this->runCommand({"table", "edit", fileName}, "{}") == CtlExit::BadInput);
    CHECK(contains(this->err.str(), "nested deeper"));
}

TEST(OddAnswersToOperators, numbersOutOfRangeInATableAreReported)
{
    for (const char *number : {"-1", "4294967296", "18446744073709551616", "1e300", "0.5"}) {
        const std::string table =
            R"({"version":1,"organisations":[{"name":"a","weight":)" + std::string(number) + "}]}";
        CHECK(this->runCommand({"table", "get"}, table) == CtlExit::Unreachable);
        CHECK(contains(this->err.str(), "weight"));
        std::vector<std::string> errors;
        CHECK_FALSE(parseTableCsv("name,homeRegion,weight,limitAccelerators,limitSlots,guarantees\n"
                                  "a,west,1,0,"
                                      + std::string(number) + ",",
                                  errors)
                        .has_value());
    }
}

// ---- Settings ----

TEST_GROUP(OddSettings){};

// The process ended by exhaustion of its stack while it wrote the error. The brackets in the second
// text follow a comment with a quotation mark.
TEST(OddSettings, deeplyNestedValueIsReported)
{
    const std::string deep = nested(deepSettingsLevels);
    for (const char *start : {"{", "/* \" */ {"}) {
        std::vector<std::string> errors;
        std::ostringstream entry;
        entry << start << R"("maxQueued":)" << deep << "}";
        CHECK_FALSE(parseEntrySettings(entry.str(), errors).has_value());
        CHECK_EQUAL(std::string("settings: nested deeper than 64 levels"), errors[0]);
        std::ostringstream agent;
        agent << start << R"("name":)" << deep << "}";
        CHECK_FALSE(parseAgentSettings(agent.str(), errors).has_value());
    }
}

TEST(OddSettings, numbersAndPortsOutOfRangeAreReported)
{
    for (const char *number : {"-1", "18446744073709551615", "18446744073709551616", "1e300"}) {
        std::vector<std::string> errors;
        parseEntrySettings(R"({"maxQueued":)" + std::string(number) + "}", errors);
        CHECK(std::any_of(errors.begin(), errors.end(),
                          [](const auto &error) { return contains(error, "maxQueued: found"); }));
    }
    for (const char *port : {"0", "65536", "-1", "99999", "18446744073709551617", ""}) {
        std::vector<std::string> errors;
        const std::string address = "127.0.0.1:" + std::string(port);
        const Json settings = {{"workerAddress", address}, {"seeds", Json::array({address})}};
        parseAgentSettings(settings.dump(), errors);
        CHECK(std::any_of(errors.begin(), errors.end(), [](const auto &error) {
            return contains(error, "workerAddress: found");
        }));
        CHECK(std::any_of(errors.begin(), errors.end(),
                          [](const auto &error) { return contains(error, "seeds: found"); }));
    }
}

// ---- Peers ----

TEST_GROUP(OddMessages)
{
    Loop *loop = nullptr;
    std::vector<std::unique_ptr<Peers>> peers; // until the loop is destroyed
    std::vector<Message> received;

    void setup() override
    {
        this->loop = new Loop;
    }
    void teardown() override
    {
        this->peers.clear();
        delete this->loop;
    }

    // Listens at a new port. The first process of a test is the only one that is dialled.
    Peers *listen(const PeerInfo &self)
    {
        PeersOptions options;
        options.self = self;
        options.listenAddress = "127.0.0.1:" + std::to_string(firstPeerPort + this->peers.size());
        if (!this->peers.empty())
            options.seeds = {entryAddress};
        Reason reason;
        this->peers.push_back(Peers::listen(*this->loop, options,
                                            {[this](const std::string &, Message message) {
                                                 this->received.push_back(std::move(message));
                                             },
                                             [](const PeerInfo &) {}, [](const std::string &) {}},
                                            reason));
        CHECK(this->peers.back() != nullptr);
        return this->peers.back().get();
    }

    static PeerInfo peer(const std::string &name, const std::string &address,
                         std::uint64_t incarnation = 1)
    {
        PeerInfo info;
        info.process = name;
        info.kind = ProcessKind::Entry;
        info.address = address;
        info.incarnation = incarnation;
        return info;
    }
};

// The address replaced the real one here and in all processes that this one passed it on to.
TEST(OddMessages, addressOrIncarnationOutOfRangeIsNotUsed)
{
    Peers *entry = this->listen(peer("entry", entryAddress));
    const auto checkRefused = [&](const std::string &address, std::uint64_t incarnation) {
        this->listen(peer("odd", address, incarnation));
        const auto refused = entry->refusedConnections();
        runUntil(*this->loop, [&] { return entry->refusedConnections() > refused; });
        CHECK(entry->refusedConnections() > refused);
        CHECK_EQUAL(0U, entry->connected().size());
    };
    for (const char *port : {"0", "65536", "-1", "99999999999999999999", ""})
        checkRefused("127.0.0.1:" + std::string(port), 1);
    for (const std::uint64_t incarnation : {twoTo63, largest})
        checkRefused("127.0.0.1:18890", incarnation);
    this->listen(peer("odd", "127.0.0.1:18890"));
    runUntil(*this->loop, [&] { return !entry->connected().empty(); });
    CHECK_EQUAL(1U, entry->connected().size());
    CHECK_EQUAL(1U, entry->connected()[0].incarnation);
}

// A report with such a number hid all later reports of the worker, or overflowed.
TEST(OddMessages, reportOutOfRangeIsIgnoredAndTheNextOneIsReceived)
{
    this->listen(peer("entry", entryAddress));
    Peers *agent = this->listen(peer("agent", "127.0.0.1:18890"));
    Report odd;
    odd.incarnation = largest;
    agent->send("entry", odd);
    odd.incarnation = 1;
    odd.sequence = twoTo63;
    agent->send("entry", odd);
    odd.sequence = 1;
    odd.accelerators = 65;
    agent->send("entry", odd);
    odd.accelerators = 8;
    odd.freeMemoryMib = 0x80000000U;
    agent->send("entry", odd);
    Witness witness;
    witness.epoch = largest;
    agent->send("entry", witness);
    odd.freeMemoryMib = 1;
    agent->send("entry", odd);
    runUntil(*this->loop, [&] { return !this->received.empty(); });
    CHECK_EQUAL(1U, this->received.size());
    CHECK_EQUAL(1U, std::get<Report>(this->received[0]).freeMemoryMib);
}

TEST(OddMessages, unknownEnumValuesClaimNothing)
{
    Outcome outcome;
    outcome.verdict = static_cast<Verdict>(200);
    outcome.reason = static_cast<ReasonCode>(200);
    Message message = outcome;
    CHECK_TRUE(replaceUnknownEnumValues(message));
    CHECK(std::get<Outcome>(message).verdict == Verdict::MayHaveRun);
    CHECK(std::get<Outcome>(message).reason == ReasonCode::Internal);
    WitnessReply reply;
    reply.keys.resize(1);
    reply.keys[0].verdict = static_cast<Verdict>(3);
    message = reply;
    CHECK_TRUE(replaceUnknownEnumValues(message));
    CHECK(std::get<WitnessReply>(message).keys[0].verdict == Verdict::MayHaveRun);
    CHECK_FALSE(replaceUnknownEnumValues(message));
}

// An agent sent no report for weeks and counted as lost.
TEST(OddMessages, reportIntervalIsLimited)
{
    AgentOptions options;
    options.name = "agent";
    options.region = "west";
    AgentNode node = makeAgentNode(options, {});
    Random random{1};
    Outbox out;
    PeerInfo entry = peer("entry", entryAddress);
    entry.region = "west";
    TimeMs now = 1000000;
    handleNode(node, PeerUp{entry}, now, random, out);
    ReportAck ack;
    ack.intervalMs = UINT32_MAX;
    handleNode(node, PeerMessage{"entry", ack}, now, random, out);
    CHECK_EQUAL(600000, node.agent.reportTargets.at("entry").intervalMs);
}

// ---- Files of operators ----

TEST_GROUP(OddLogFiles){};

// All later decisions counted as those of a former leader.
TEST(OddLogFiles, numbersOutOfRangeAreIgnored)
{
    const std::string start = "unix_ms=";
    CHECK_FALSE(parseLogLine(start + "18446744073709551615 process=p event=leading").has_value());
    CHECK_FALSE(parseLogLine(start + "-1 process=p event=leading").has_value());
    std::istringstream log("unix_ms=1000 process=p event=leading epoch=18446744073709551615\n"
                           "unix_ms=1001 process=p event=leading epoch=-1\n"
                           "unix_ms=1002 process=p event=leading epoch=3\n");
    DayLog day;
    readDayLog(log, day);
    CHECK_EQUAL(1U, day.events.size());
    CHECK_EQUAL(2U, day.incompleteLines);
}

// ---- The stand-in ----

TEST_GROUP(OddStandInRequests)
{
    Loop *loop = nullptr;
    HttpClient *client = nullptr;

    void setup() override
    {
        this->loop = new Loop;
        this->client = new HttpClient(*this->loop);
    }
    void teardown() override
    {
        delete this->client;
        delete this->loop;
    }

    int post(const std::string &target, const std::string &body)
    {
        int status = 0;
        this->client->call({serverAddress, "POST", target, body, 2000},
                           [&](const HttpResult &result) {
                               status = result.status;
                               this->loop->stop();
                           });
        this->loop->run();
        this->loop->resume();
        return status;
    }
};

// The stand-in ended by exhaustion of its stack, or by an exception while it wrote the error.
TEST(OddStandInRequests, platformRefusesOddBodies)
{
    standin::PlatformOptions options;
    options.address = serverAddress;
    Reason reason;
    const auto platform = standin::Platform::listen(*this->loop, options, reason);
    CHECK(platform != nullptr);
    const std::string deep = nested(deepLevels);
    CHECK_EQUAL(400, this->post("/faults", R"({"worker":)" + deep + "}"));
    CHECK_EQUAL(400, this->post("/faults", "{\"log\":\"\xff\"}"));
    CHECK_EQUAL(400, this->post("/faults", "5"));
    CHECK_EQUAL(400, this->post("/log/s", R"({"lines":)" + deep + "}"));
    for (const char *number : {"-1", "9223372036854775807", "18446744073709551615", "1e300"}) {
        const std::string text = number;
        CHECK_EQUAL(400, this->post("/faults", R"({"slowMs":)" + text + "}"));
        CHECK_EQUAL(400, this->post("/faults", R"({"loseAnswers":)" + text + "}"));
        CHECK_EQUAL(400, this->post("/workers/w/lease", R"({"leaseMs":)" + text + "}"));
        for (const char *field : {"leaseMs", "cores", "memoryMib"}) {
            Json task = {{"task", "t"}, {"job", "j"}, {"leaseMs", 1000}};
            task[field] = Json::parse(text);
            CHECK_EQUAL(400, this->post("/workers/w/tasks", task.dump()));
        }
    }
    CHECK_EQUAL(200, this->post("/log/s", R"({"lines":["x"]})"));
}

TEST(OddStandInRequests, storeRefusesFramesWithLengthsOutOfRange)
{
    Reason reason;
    const auto store = standin::KeyedStore::listen(*this->loop, serverAddress, reason);
    CHECK(store != nullptr);
    for (const std::string_view frame :
         {std::string_view("\0\0\0\0x", 5), std::string_view("\xff\xff\xff\xffx", 5),
          std::string_view("\0\0\0\2\5x", 6)})
        CHECK_EQUAL(400, this->post("/api/log-append?Topic=t", std::string(frame)));
}

TEST(OddStandInRequests, workerRefusesOddBodies)
{
    standin::PlatformWorkerOptions options;
    options.address = serverAddress;
    Reason reason;
    const auto worker = standin::PlatformWorker::listen(*this->loop, options, reason);
    CHECK(worker != nullptr);
    for (const std::string &body :
         {nested(deepLevels), std::string("5"), std::string(R"({"FencingToken":-1})"),
          std::string(R"({"UntilMs":1e300})"), std::string(R"({"RunId":4294967296})"),
          std::string(R"({"WaitMs":9223372036854775807})"), std::string(R"({"Task":5})")})
        CHECK_EQUAL(400, this->post("/api/hold", body));
    CHECK_EQUAL(200,
                this->post("/api/run-start",
                           R"({"UntilMs":5000,"Task":"t","RunId":1,"FencingToken":1,)"
                           R"("TaskSpec":"9223372036854775807"})"));
}

// ---- Mutations ----

// Every decoder of bytes from outside receives valid text in which a value was replaced by an odd
// one. It must refuse or use it; the sanitizers report overflows and invalid memory accesses. After
// each line of a stream, a valid line must have its effect.

TEST_GROUP(OddMutations)
{
    Random random{20261205};
    TimeMs now = 1000000;

    std::size_t below(std::size_t bound)
    {
        return this->random() % bound;
    }

    std::string oddValue()
    {
        constexpr std::string_view values[] = {"-1",
                                               "-9223372036854775808",
                                               "-9223372036854775809",
                                               "2147483648",
                                               "4294967295",
                                               "4294967296",
                                               "9007199254740993",
                                               "9223372036854775807",
                                               "9223372036854775808",
                                               "18446744073709551615",
                                               "18446744073709551616",
                                               "1e30",
                                               "-1e300",
                                               "0.5",
                                               "\"127.0.0.1:0\"",
                                               "\"127.0.0.1:65536\"",
                                               "\"127.0.0.1:-1\"",
                                               "\"127.0.0.1:18446744073709551617\""};
        const auto choice = this->below(std::size(values) + 2);
        if (choice < std::size(values))
            return std::string(values[choice]);
        return nested(choice == std::size(values) ? maxJsonDepth + 1 : 5000);
    }

    // Replaces one to three of the values, each of which follows a colon, an equals sign or a
    // comma.
    std::string mutated(std::string text)
    {
        for (std::size_t count = 1 + this->below(3); count > 0; --count) {
            const auto begin = text.find_first_of(":=,", this->below(text.size()));
            if (begin == std::string::npos)
                continue;
            const auto end = std::min(text.find_first_of(",}] \n", begin + 1), text.size());
            text.replace(begin + 1, end - begin - 1, this->oddValue());
        }
        return text;
    }
};

TEST(OddMutations, requestsAndSettings)
{
    const std::string job =
        R"({"key":"k","organisation":"fjord","homeRegion":"west","jobClass":"batch","idempotent":)"
        R"(true,"members":2,"accelerators":4,"cores":8,"memoryMib":16,"declaredMs":1000,)"
        R"("deadlineMs":2000,"payload":"x","wait":false})";
    const std::string change =
        R"({"organisations":[{"name":"a","homeRegion":"west","weight":1,"limitAccelerators":64,)"
        R"("limitSlots":3,"guarantees":[{"region":"west","copies":1,"members":2,"accelerators":4}]}],)"
        R"("remove":["b"]})";
    const std::string edit =
        R"({"baseVersion":1,"author":"kari","wait":true,"change":)" + change + "}";
    const std::string settings =
        R"({"name":"e","region":"west","dataCentre":"d","rack":"r","peerAddress":"127.0.0.1:1",)"
        R"("httpAddress":"127.0.0.1:2","logAddress":"127.0.0.1:3","workerAddress":"127.0.0.1:4",)"
        R"("seeds":["127.0.0.1:5"],"peerKey":"0123456789abcdef","maxQueued":5,"maxBodyBytes":5000,)"
        R"("retryBudgetShare":0.5,"accelerators":8,"cores":4,"owner":{"maxKeys":3}})";
    for (int i = 0; i < 400; ++i) {
        Reason reason;
        std::vector<std::string> errors;
        CHECK(parseJobRequest(this->mutated(job), reason) || !reason.text.empty());
        CHECK(parseEditRequest(this->mutated(edit), reason) || !reason.text.empty());
        CHECK(parseTableChange(this->mutated(change), reason) || !reason.text.empty());
        CHECK(parseEntrySettings(this->mutated(settings), errors) || !errors.empty());
        CHECK(parseAgentSettings(this->mutated(settings), errors) || !errors.empty());
    }
}

TEST(OddMutations, tableLines)
{
    Table table;
    Reason reason;
    Edit edit;
    edit.upserts.push_back({"fjord", "west", 1, 64, 3, {{"west", 1, 2, 4}}});
    edit.guaranteedBlocks = {{"fjord", 0, 0, 0, "w1", 0, 4}, {"fjord", 0, 0, 1, "w2", 0, 4}};
    for (int i = 0; i < 300; ++i) {
        edit.writer = "odd";
        edit.sequence = static_cast<std::uint64_t>(i) + 1;
        edit.baseVersion = table.version;
        const std::string line = i % 2 == 0 ? editLine(edit) : snapshotLine(table);
        applyTableLine(table, this->mutated(line), table.nextOffset, reason);
        edit.writer = "entry." + std::to_string(i);
        edit.baseVersion = table.version;
        CHECK(applyTableLine(table, editLine(edit), table.nextOffset, reason)
              == ApplyResult::Applied);
    }
}

TEST(OddMutations, claims)
{
    constexpr std::uint64_t incarnation = 1790000000000000;
    ClaimsRecord record;
    record.region = "west";
    record.range = 3;
    record.owner = "b";
    record.agent = "b";
    record.ownerIncarnation = record.incarnation = incarnation;
    record.key = "k";
    record.attempt = "1";
    record.answerBytes = 7;
    record.ageMs = 5;
    for (const bool trimmed : {false, true}) {
        OwnerOptions options;
        options.self = "a";
        options.region = "west";
        options.incarnation = incarnation;
        Owner owner = makeOwner(options);
        RangeMap map;
        map.nextOffset = owner.map.nextOffset = trimmed ? 1000 : 0;
        const auto read = [&](const std::string &text) {
            LogRead read;
            read.stream = claimsStream;
            read.trimmed = false;
            read.lines.resize(1);
            read.lines[0].offset = map.nextOffset;
            read.lines[0].text = text;
            read.next = map.nextOffset + 1;
            applyClaims(map, read);
            Outbox out;
            handleOwner(owner, read, this->now += 100, this->random, out);
            handleOwner(owner, Tick(), this->now += 100, this->random, out);
        };
        map.trimmed = owner.map.trimmed = trimmed;
        for (int i = 0; i < 300; ++i) {
            const auto epoch = ownerOf(map, "west", 3).epoch;
            record.kind = static_cast<RecordKind>(this->below(6));
            record.epoch = record.kind == RecordKind::Epoch ? epoch + 1 : epoch;
            record.sequence = map.owners[{"west", 3}].sequence + 1;
            record.verdict = Verdict::Ran;
            read(this->mutated(claimsLine(record)));
            CHECK_FALSE(ownerMustRestart(owner));
            const auto reached = ownerOf(map, "west", 3).epoch;
            CHECK(reached <= epoch + 1);
            read(epochLine("west", 3, reached + 1, i % 2 == 0 ? "a" : "b", incarnation));
            CHECK_EQUAL(reached + 1, ownerOf(map, "west", 3).epoch);
        }
    }
}

TEST(OddMutations, logFiles)
{
    const std::string log =
        "unix_ms=1000 process=p event=leading epoch=1\n"
        "unix_ms=1001 process=p event=job_known job=j queue=q priority=1 tasks=2 occurrences=1 "
        "accelerators=4 accepted_unix_ms=900 objective_ms=50 steps=2:1000:10:4:g epoch=1\n"
        "unix_ms=1002 process=p event=tasks_waiting job=j occurrence=0 step=0 tasks=2 priority=1 "
        "cpu_milli=1000 accelerators=4 waited_ms=10 cause=room epoch=1\n"
        "unix_ms=1003 process=p event=task_assigned task=j.0.0.0 run=1 worker=w epoch=1\n"
        "unix_ms=1004 process=p event=run_ended task=j.0.0.0 run=1 how=done epoch=1\n"
        "unix_ms=1005 process=p event=job_completed job=j epoch=1\n";
    for (int i = 0; i < 300; ++i) {
        const std::string text = this->mutated(log);
        std::istringstream stream(text);
        DayLog day;
        readDayLog(stream, day);
        const DayAccount account = makeDayAccount(day.events, {});
        accountSummary(account, day);
        renderDayPlot(account);
        renderHistory(jobHistory({&text, 1}, "j"));
    }
}

TEST(OddMutations, frames)
{
    std::vector<Message> messages;
    Report report;
    report.agent = "agent-1";
    report.region = "west";
    report.incarnation = report.sequence = 1;
    report.accelerators = 8;
    report.slots = report.freeSlots = report.cores = report.freeCores = 4;
    report.memoryMib = report.freeMemoryMib = 100;
    report.freeMask = 255;
    report.tasks.resize(1);
    messages.emplace_back(report);
    const auto spec = [] {
        auto result = std::make_unique<JobSpec>();
        result->job = "j";
        result->organisation = "fjord";
        result->homeRegion = "west";
        result->declaredMs = result->deadlineMs = 1000;
        result->accelerators = 2;
        return result;
    };
    Start start;
    start.spec = spec();
    start.attempt = "a1";
    start.entry = "entry-1";
    start.members = {"agent-1"};
    messages.emplace_back(std::move(start));
    Forward forward;
    forward.spec = spec();
    forward.request = "r";
    messages.emplace_back(std::move(forward));
    ReportAck ack;
    ack.intervalMs = 1000;
    messages.emplace_back(ack);
    LogLines lines;
    lines.stream = tableStream;
    lines.lines.resize(1);
    lines.lines[0].text = "{}";
    messages.emplace_back(lines);
    Witness witness;
    witness.region = "west";
    witness.epoch = 1;
    messages.emplace_back(witness);
    WitnessReply witnessReply;
    witnessReply.region = "west";
    witnessReply.keys.resize(1);
    messages.emplace_back(witnessReply);
    VersionSummary summary;
    summary.versions.resize(1);
    summary.sites.resize(1);
    summary.sites[0].worker = "w";
    summary.sites[0].accelerators = 8;
    messages.emplace_back(summary);
    messages.emplace_back(StartReply());
    messages.emplace_back(Outcome());
    messages.emplace_back(Begin());
    messages.emplace_back(Settle());
    messages.emplace_back(KeyQuery());
    messages.emplace_back(KeyReply());
    messages.emplace_back(GangRenew());
    messages.emplace_back(GangRenewReply());
    messages.emplace_back(JobReply());
    EntryOptions entryOptions;
    entryOptions.name = "entry-1";
    entryOptions.region = "west";
    Entry entry = makeEntry(entryOptions);
    AgentOptions agentOptions;
    agentOptions.name = "agent-1";
    agentOptions.region = "west";
    agentOptions.accelerators = 8;
    OwnerOptions ownerOptions;
    ownerOptions.self = "agent-1";
    ownerOptions.region = "west";
    AgentNode node = makeAgentNode(agentOptions, ownerOptions);
    std::size_t decodedCount = 0;
    for (int i = 0; i < 8000; ++i) {
        Reason reason;
        auto frame = encodeFrame(messages[this->below(messages.size())], reason);
        std::string body = frame->substr(frameHeaderBytes);
        constexpr char bytes[] = {'\0', '\x01', '\x7f', '\x80', '\xff'};
        for (std::size_t count = 1 + this->below(8); count > 0; --count)
            body[this->below(body.size())] = bytes[this->below(std::size(bytes))];
        auto message = decodeFrameBody(body, reason);
        if (!message || !hasValidNumbers(*message, reason))
            continue;
        ++decodedCount;
        replaceUnknownEnumValues(*message);
        this->now += 50;
        Outbox out;
        const PeerMessage event{"agent-1", std::move(*message)};
        handleEntry(entry, event, this->now, this->random, out);
        handleEntry(entry, Tick(), this->now, this->random, out);
        handleNode(node, event, this->now, this->random, out);
        handleNode(node, Tick(), this->now, this->random, out);
    }
    CHECK(decodedCount > 100);
}

TEST(OddMutations, answersToOperators)
{
    Loop loop;
    const std::string table =
        R"({"version":7,"organisations":[{"name":"fjord","homeRegion":"west","weight":2,)"
        R"("limitAccelerators":16,"limitSlots":0,"guarantees":[{"region":"west","copies":1,)"
        R"("members":2,"accelerators":4}]}],"history":[{"version":7,"author":"k"}]})";
    FakeServer server(loop);
    CtlOptions options;
    options.entries = {serverAddress};
    const std::vector<std::vector<std::string>> commands = {
        {"table", "get"}, {"table", "history"}, {"status"}, {"table", "set", "fjord", "weight=2"}};
    for (int i = 0; i < 300; ++i) {
        server.responses = {{200, this->mutated(table)}};
        std::istringstream in;
        std::ostringstream out;
        std::ostringstream err;
        const auto exit =
            runCtl(loop, options, commands[this->below(commands.size())], in, out, err);
        CHECK(exit == CtlExit::Done || !err.str().empty());
    }
}

TEST(OddMutations, standInRequests)
{
    Loop loop;
    standin::PlatformOptions options;
    options.address = serverAddress;
    Reason reason;
    const auto platform = standin::Platform::listen(loop, options, reason);
    CHECK(platform != nullptr);
    HttpClient client(loop);
    const std::pair<std::string, std::string> requests[] = {
        {"/log/s", R"({"lines":["x","y"]})"},
        {"/workers/w/tasks",
         R"({"task":"t","job":"j","payload":"x","mask":1,"cores":1,"memoryMib":1,"leaseMs":1000})"},
        {"/workers/w/lease", R"({"leaseMs":1000})"},
        {"/workers/w/tasks/t/throttle", R"({"percent":50})"},
        {"/faults", R"({"log":"up","slowMs":10,"loseAnswers":0})"},
        {"/faults", R"({"worker":{"name":"w","failAll":false,"frozen":false,"loseAnswers":0}})"}};
    for (int i = 0; i < 300; ++i) {
        const auto &[target, body] = requests[this->below(std::size(requests))];
        int status = 0;
        client.call({serverAddress, "POST", target, this->mutated(body), 2000},
                    [&](const HttpResult &result) {
                        status = result.status;
                        loop.stop();
                    });
        loop.run();
        loop.resume();
        CHECK(status >= 200);
    }
}
