// Guards against a command line tool that repeats a request which may then run twice, that returns
// a wrong exit code to a script, or that changes more of the table than it showed to the operator.

#include "flamingo/adapters/ctl.h"
#include "flamingo/adapters/ctl_table.h"
#include "flamingo/adapters/http_server.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace flamingo;
using namespace flamingo::adapters;
using Json = nlohmann::ordered_json;

namespace {

constexpr const char *firstAddress = "127.0.0.1:18511";
constexpr const char *secondAddress = "127.0.0.1:18512";
constexpr const char *unusedAddress = "127.0.0.1:18513"; // no process listens there
constexpr const char *fileName = "ctl_test.tmp";

const std::string tableBody =
    R"({"version":7,"organisations":[{"name":"fjord","homeRegion":"vestland","weight":2,)"
    R"("limitAccelerators":16,"limitSlots":0,"guarantees":[{"region":"vestland","copies":1,)"
    R"("members":2,"accelerators":4}]},{"name":"vidde","homeRegion":"trondelag","weight":1,)"
    R"("limitAccelerators":0,"limitSlots":0,"guarantees":[]}],"history":[{"version":7}]})";
const std::string ranBody =
    R"({"job":"j1","verdict":"ran","reason":"None","detail":"","answer":"42"})";

// Answers each request with the next response for its method and path; the last one is repeated.
// Status 0: the request is never answered.
struct FakeEntry
{
    std::map<std::string, std::vector<HttpResponse>> responses; // by "METHOD path"
    std::vector<HttpRequest> requests;
    std::unique_ptr<HttpServer> server;

    FakeEntry(Loop &loop, const char *address)
    {
        HttpServerOptions options;
        options.address = address;
        Reason reason;
        this->server = HttpServer::listen(
            loop, options, [this](const HttpRequest &request) { this->handleRequest(request); },
            nullptr, reason);
        CHECK(this->server != nullptr);
        this->responses["GET /v1/table"] = {{200, tableBody}};
    }

    void handleRequest(const HttpRequest &request)
    {
        this->requests.push_back(request);
        auto &queue = this->responses[request.method + " " + request.path];
        const HttpResponse response = queue.empty() ? HttpResponse{404, "{}"} : queue.front();
        if (queue.size() > 1)
            queue.erase(queue.begin());
        if (response.status != 0)
            this->server->respond(request.id, response);
    }
};

struct Fixture
{
    Loop loop;
    FakeEntry first{this->loop, firstAddress};
    FakeEntry second{this->loop, secondAddress};
    CtlOptions options;
    std::string input;
    std::ostringstream out;
    std::ostringstream err;

    Fixture()
    {
        this->options.entries = {firstAddress, secondAddress};
        this->options.author = "kari";
        this->options.readTimeoutMs = 150;
        this->options.waitTimeoutMs = 150;
        this->options.pollIntervalMs = 1;
    }

    int run(const std::vector<std::string> &words)
    {
        std::istringstream in(this->input);
        return static_cast<int>(runCtl(this->loop, this->options, words, in, this->out, this->err));
    }

    int submit(const std::string &field = "payload=x")
    {
        return this->run({"job", "submit", "organisation=fjord", "firstAttempt=true", field});
    }

    int edit(const std::string &text)
    {
        std::ofstream(fileName) << text;
        const int exit = this->run({"table", "edit", fileName});
        std::remove(fileName);
        return exit;
    }

    bool stderrContains(const std::string &text) const
    {
        return this->err.str().find(text) != std::string::npos;
    }
};

Json lastBody(const FakeEntry &entry)
{
    return Json::parse(entry.requests.back().body);
}

} // namespace

TEST_GROUP(Ctl)
{
    Fixture f;
};

TEST(Ctl, anotherEntryIsTriedOnlyWhenTheFirstCannotHaveRunTheRequest)
{
    f.options.entries = {unusedAddress, secondAddress};
    f.second.responses["POST /v1/jobs"] = {{200, ranBody}};
    CHECK_EQUAL(0, f.submit());
    CHECK(lastBody(f.second)["firstAttempt"] == true);

    f.options.entries = {firstAddress, secondAddress};
    f.first.responses["POST /v1/jobs"] = {{0, ""}};
    CHECK_EQUAL(3, f.submit());
    CHECK_EQUAL(1U, f.second.requests.size());

    f.first.responses["POST /v1/jobs"] = {
        {503, R"({"verdict":"not_run","reason":"Draining","detail":"stopping"})"}};
    CHECK_EQUAL(0, f.submit());
    CHECK_EQUAL(2U, f.second.requests.size());

    f.options.entries = {unusedAddress};
    CHECK_EQUAL(4, f.submit());
    CHECK_EQUAL(4, f.run({"status"}));
}

TEST(Ctl, repeatedKeyedJobIsNoFirstAttemptAndMayHaveRun)
{
    f.first.responses["POST /v1/jobs"] = {{0, ""}};
    f.second.responses["POST /v1/jobs"] = {{200, ranBody}};
    CHECK_EQUAL(0, f.submit("key=k1"));
    CHECK(lastBody(f.first)["firstAttempt"] == true);
    CHECK(lastBody(f.second)["firstAttempt"] == false);

    f.second.responses["POST /v1/jobs"] = {
        {503, R"({"verdict":"not_run","reason":"QueueFull","detail":"full"})"}};
    CHECK_EQUAL(3, f.submit("key=k1"));
    f.options.entries = {firstAddress, unusedAddress};
    CHECK_EQUAL(3, f.submit("key=k1"));
}

TEST(Ctl, readsAreRetriedAtTheNextEntry)
{
    f.first.responses["GET /v1/status"] = {{0, ""}};
    f.second.responses["GET /v1/status"] = {{200, R"({"log":"up"})"}};
    CHECK_EQUAL(0, f.run({"status"}));
    CHECK_EQUAL(std::string("log: up\n"), f.out.str());
    f.second.responses["GET /v1/status"] = {{0, ""}};
    CHECK_EQUAL(4, f.run({"status"}));
    f.second.responses["GET /v1/jobs/a b/explain"] = {{200, R"({"why":"no free capacity"})"}};
    CHECK_EQUAL(0, f.run({"explain", "a b"}));
}

// The processes that wrote the logs may no longer exist. A missing log file must be reported as
// such, not as a missing job.
TEST(Ctl, jobIsExplainedFromLogsWithoutAnEntry)
{
    std::ofstream(fileName) << "unix_ms=1000 process=e1 event=job_known job=aa11 priority=0\n"
                               "unix_ms=1500 process=e1 event=job_completed job=aa11\n";
    f.options.entries = {unusedAddress};
    f.options.logFiles = {fileName};
    CHECK_EQUAL(0, f.run({"explain", "aa11"}));
    CHECK(f.out.str().find("completed            after      500 ms") != std::string::npos);
    CHECK_EQUAL(1, f.run({"explain", "bb22"}));
    f.options.logFiles = {"no-such-file"};
    CHECK_EQUAL(1, f.run({"explain", "aa11"}));
    CHECK(f.err.str().find("cannot read no-such-file") != std::string::npos);
    std::remove(fileName);
}

TEST(Ctl, logsAreSummedWithoutAnEntry)
{
    const char *plotName = "ctl_test_plot.svg";
    std::ofstream(fileName)
        << "unix_ms=1000 process=e1 event=task_assigned task=aa11.0.0.0 run=1 worker=w epoch=1\n"
           "unix_ms=3000 process=e1 event=run_ended task=aa11.0.0.0 run=1 how=failed epoch=1\n";
    f.options.entries = {unusedAddress};
    CHECK_EQUAL(1, f.run({"account"}));
    CHECK(f.err.str().find("--log=FILE,FILE is missing") != std::string::npos);
    f.options.logFiles = {fileName};
    f.options.plotFile = plotName;
    CHECK_EQUAL(0, f.run({"account"}));
    CHECK(f.out.str().find("runs_without_end: 0") != std::string::npos);
    CHECK(std::ifstream(plotName).good());
    std::remove(plotName);
    f.options.plotFile = "no-such-directory/plot.svg";
    CHECK_EQUAL(1, f.run({"account"}));
    f.options.plotFile.clear();
    f.options.job = "aa11";
    CHECK_EQUAL(0, f.run({"account"}));
    f.options.job = "bb22";
    CHECK_EQUAL(1, f.run({"account"}));
    f.options.job.clear();
    f.options.fromMs = 2000;
    f.options.toMs = 1000;
    CHECK_EQUAL(1, f.run({"account"}));
    std::remove(fileName);
}

// A file without decisions must not be reported as a day without losses.
TEST(Ctl, filesWithoutDecisionsAreReported)
{
    const std::pair<std::string, std::string> cases[] = {
        {"", "has no log lines"},
        {"# A page\n\nevent=leading is a field.\n", "has no log lines"},
        {"unix_ms=1000 process=h1 event=start role=agent\n", "no decisions of a leader"},
        {"unix_ms=1000 process=e1 event=job_completed epoch=1\n", "no decisions of a leader"},
    };
    f.options.entries = {unusedAddress};
    f.options.logFiles = {fileName};
    for (const auto &[text, error] : cases) {
        std::ofstream(fileName) << text;
        CHECK_EQUAL(1, f.run({"account"}));
        CHECK(f.err.str().find(error) != std::string::npos);
    }
    std::remove(fileName);
    CHECK_EQUAL(1, f.run({"account"}));
    CHECK(f.err.str().find("cannot read") != std::string::npos);
}

TEST(Ctl, verdictsBecomeExitCodes)
{
    const std::pair<HttpResponse, int> cases[] = {
        {{200, ranBody}, 0},
        {{400, R"({"verdict":"not_run","reason":"InvalidInput","detail":"members"})"}, 1},
        {{422, R"({"verdict":"not_run","reason":"ImpossibleShape","detail":"-"})"}, 2},
        {{503, R"({"verdict":"not_run","reason":"QueueFull","detail":"-"})"}, 2},
        {{503, R"({"verdict":"may_have_run","reason":"OwnerUnreachable"})"}, 3},
        {{504, "no JSON"}, 3},
        {{500, ""}, 3},
        {{413, ""}, 1},
    };
    for (const auto &[response, exit] : cases) {
        f.first.responses["POST /v1/jobs"] = {response};
        CHECK_EQUAL(exit, f.submit());
    }
    CHECK(f.second.requests.empty());
}

TEST(Ctl, acceptedJobIsPolledUntilItEnds)
{
    const HttpResponse accepted = {202, R"({"job":"j1","verdict":"not_run","accepted":true})"};
    f.first.responses["POST /v1/jobs"] = {accepted};
    f.first.responses["GET /v1/jobs/j1"] = {accepted, accepted, {200, ranBody}};
    CHECK_EQUAL(0, f.submit());
    CHECK(f.out.str().find("answer: 42") != std::string::npos);
    CHECK(f.stderrContains("j1"));
    CHECK_EQUAL(std::string("1"), f.first.requests.back().query.at("wait"));
    f.first.responses["GET /v1/jobs/j1"] = {accepted, {0, ""}};
    CHECK_EQUAL(3, f.submit());
    f.options.wait = false;
    CHECK_EQUAL(0, f.submit());
    CHECK(lastBody(f.first)["wait"] == false);
}

TEST(Ctl, waitingShowsProgress)
{
    f.options.entries = {firstAddress};
    f.options.readTimeoutMs = 1300;
    f.first.responses["GET /v1/status"] = {{0, ""}};
    CHECK_EQUAL(4, f.run({"status"}));
    CHECK(f.stderrContains("waiting for the status at 127.0.0.1:18511, 1 s"));
    CHECK(f.out.str().empty());
}

TEST(Ctl, refusedQueryLeavesTheOutcomeOfTheJobUnknown)
{
    const HttpResponse busy = {503,
                               R"({"verdict":"not_run","reason":"QueueFull","detail":"busy"})"};
    f.first.responses["POST /v1/jobs"] = {
        {202, R"({"job":"j1","verdict":"not_run","accepted":true})"}};
    f.first.responses["GET /v1/jobs/j1"] = {busy};
    CHECK_EQUAL(3, f.submit());
    f.second.responses["GET /v1/jobs/j1"] = {busy};
    CHECK_EQUAL(4, f.run({"job", "status", "j1"}));
    f.first.responses["GET /v1/jobs/j1"] = {
        {503, R"({"job":"j1","verdict":"not_run","reason":"DeadlinePassed","detail":"late"})"}};
    CHECK_EQUAL(2, f.submit());
    CHECK_EQUAL(2, f.run({"job", "answer", "j1"}));
    CHECK_EQUAL(1, f.run({"job", "status", "j2"}));
}

TEST(Ctl, settingsFilesAreCheckedWithoutAnEntry)
{
    f.options.entries = {unusedAddress};
    const std::string folder = FLAMINGO_SOURCE_DIR "/settings/betelbors/";
    CHECK_EQUAL(0, f.run({"settings", "entry", folder + "entry-bergen-1.json"}));
    CHECK_EQUAL(1, f.run({"settings", "agent", folder + "entry-bergen-1.json"}));
    CHECK(f.stderrContains("rack: missing"));
    CHECK_EQUAL(1, f.run({"settings", "gate"}));
}

TEST(Ctl, answerIsPrintedAlone)
{
    f.first.responses["GET /v1/jobs/j1"] = {{200, ranBody}};
    CHECK_EQUAL(0, f.run({"job", "answer", "j1"}));
    CHECK_EQUAL(std::string("42\n"), f.out.str());
}

TEST(Ctl, badInputIsNotSent)
{
    const std::vector<std::string> cases[] = {
        {},
        {"jobs"},
        {"job", "submit"},
        {"job", "submit", "payload=x"},
        {"job", "submit", "organisation=f", "members=-1"},
        {"job", "submit", "organisation=f", "idempotent=maybe"},
        {"job", "submit", "organisation=f", "idempotent=false"},
        {"job", "submit", "organisation=f", "jobClass=slow"},
        {"job", "submit", "organisation=f", "color=red"},
        {"job", "submit", "organisation=f", "payload=@/nonexistent"},
        {"job", "status"},
        {"table", "edit", "/nonexistent"},
        {"help", "nothing"},
    };
    for (const auto &words : cases)
        CHECK_EQUAL(1, f.run(words));
    CHECK(f.first.requests.empty());
    CHECK_EQUAL(0, f.run({"help"}));
    f.options.entries = {"localhost"};
    CHECK_EQUAL(1, f.run({"status"}));
}

TEST(Ctl, setSendsTheWholeRowWithTheVersionThatWasRead)
{
    f.first.responses["POST /v1/table"] = {{200, "{}"}};
    CHECK_EQUAL(0, f.run({"table", "set", "fjord", "weight=3", "guarantees=vestland:2x1x8"}));
    const Json expected =
        Json::parse(R"({"baseVersion":7,"author":"kari","wait":true,"change":{"organisations":[)"
                    R"({"name":"fjord","homeRegion":"vestland","weight":3,"limitAccelerators":16,)"
                    R"("limitSlots":0,"guarantees":[{"region":"vestland","copies":2,"members":1,)"
                    R"("accelerators":8}]}],"remove":[]}})");
    CHECK_EQUAL(expected.dump(), lastBody(f.first).dump());
    CHECK_EQUAL(1, f.run({"table", "set", "fjrod", "weight=3"}));
    CHECK_EQUAL(1, f.run({"table", "set", "fjord", "weight=many"}));
    CHECK_EQUAL(0, f.run({"table", "set", "fjord", "weight=2"}));
    CHECK(f.stderrContains("nothing changes"));
    CHECK_EQUAL(std::string("GET"), f.first.requests.back().method);
}

TEST(Ctl, editResultsBecomeExitCodes)
{
    const std::pair<HttpResponse, int> cases[] = {
        {{202, R"({"detail":"trondelag"})"}, 5},
        {{409, R"({"verdict":"not_run","reason":"VersionConflict"})"}, 6},
        {{400, R"({"reason":"InvalidInput"})"}, 1},
        {{503, R"({"reason":"LogUnavailable"})"}, 2},
        {{0, ""}, 3},
    };
    for (const auto &[response, exit] : cases) {
        f.first.responses["POST /v1/table"] = {response};
        CHECK_EQUAL(exit, f.run({"table", "set", "fjord", "weight=3"}));
    }
    CHECK(f.stderrContains("pending: trondelag"));
    CHECK(f.second.requests.empty());
}

TEST(Ctl, editOfAFilePrintsTheDifferenceAndAsksForConfirmation)
{
    const std::string csv = "name,homeRegion,weight,limitAccelerators,limitSlots,guarantees\n"
                            "fjord,vestland,5,16,0,vestland:1x2x4\n\"ny\",vestland,1,0,0,\n";
    CHECK_EQUAL(1, f.edit(csv));
    CHECK_EQUAL(1U, f.first.requests.size());
    CHECK(f.stderrContains("~ fjord weight: 2 -> 5\n+ ny homeRegion=vestland"));
    CHECK(f.stderrContains("- vidde\n"));
    f.first.responses["POST /v1/table"] = {{200, "{}"}};
    f.input = "y\n";
    CHECK_EQUAL(0, f.edit(csv));
    const Json change = lastBody(f.first)["change"];
    CHECK_EQUAL(2U, change["organisations"].size());
    CHECK_EQUAL(std::string(R"(["vidde"])"), change["remove"].dump());
    f.options.yes = true;
    f.input.clear();
    CHECK_EQUAL(0, f.edit(csv));
    CHECK_EQUAL(6, f.edit("# version 6\n" + csv));
    CHECK_EQUAL(0, f.edit(tableBody));
    CHECK_EQUAL(1, f.edit(""));
    CHECK_EQUAL(1, f.edit("{}"));
    CHECK_EQUAL(1, f.edit("{"));
    CHECK_EQUAL(1, f.edit(R"({"organisations":[1,{"name":"a","weigth":1}]})"));
    CHECK(f.stderrContains("unknown field weigth"));
}

TEST(Ctl, printedCsvIsReadBackWithoutAChange)
{
    f.options.output = CtlOutput::Csv;
    CHECK_EQUAL(0, f.run({"table", "get"}));
    f.options.output = CtlOutput::Table;
    CHECK_EQUAL(0, f.edit(f.out.str()));
    CHECK(f.stderrContains("nothing changes"));
}

TEST(Ctl, everyErrorOfACsvIsReportedWithItsLine)
{
    std::vector<std::string> errors;
    CHECK_FALSE(parseTableCsv("name,homeRegion,weight,limitAccelerators,limitSlots,guarantees\r\n"
                              "a,r,x,0,-1,r:1x2\r\na,r,1,0,0,\r\nb,r\r\n",
                              errors));
    CHECK_EQUAL(5U, errors.size());
    CHECK_EQUAL(std::string("line 2, weight: "), errors[0].substr(0, 16));
    CHECK_EQUAL(std::string("line 3, name: "), errors[3].substr(0, 14));
}

TEST(Ctl, drainRequestIsNotRepeated)
{
    f.first.responses["POST /v1/targets/w1/drain"] = {{200, R"({"state":"draining"})"}};
    CHECK_EQUAL(0, f.run({"target", "drain", "w1"}));
    CHECK_EQUAL(1, f.run({"target", "undrain", "w1"}));
    f.first.responses["POST /v1/targets/w1/drain"] = {{0, ""}};
    CHECK_EQUAL(3, f.run({"target", "drain", "w1"}));
    CHECK(f.second.requests.empty());
}

TEST(Ctl, anyCsvIsRefusedOrUnchangedByARoundTrip)
{
    // RapidCheck does not free its caches, which the test runner would report as leaks.
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    const bool ok = rc::check([](const std::string &arbitraryText) {
        std::vector<std::string> errors;
        const std::string header = tableCsv(TableRows{});
        const auto rows = parseTableCsv(header + "n," + arbitraryText + ",1,0,0,", errors);
        if (!rows) {
            RC_ASSERT(!errors.empty());
            return;
        }
        const auto again = parseTableCsv(tableCsv(*rows), errors);
        RC_ASSERT(again.has_value());
        RC_ASSERT(tableDifference(rows->organisations, again->organisations).lines.empty());
    });
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    CHECK(ok);
}
