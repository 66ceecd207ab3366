// The check of a configuration before it is sent: one test for each finding, and that the check and
// the processes accept the same texts.

#include "platform/configuration.h"
#include "platform/configuration_check.h"
#include "standin/keyed_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::platform;
using namespace flamingo::scheduler;
using Json = nlohmann::json;

namespace {

constexpr const char *sound =
    R"({"Version":7,"Routes":[
        {"Name":"r1","Hostname":"h.example","PathPrefix":"/q/","RouteKind":"unsafe","TimeoutMs":3000,
         "TargetLatencyMs":400,"Priority":0,"Service":"s","MaxAttempts":2,"Stretch":1.5,"Public":false,
         "AllowedRegions":[]},
        {"Name":"r2","Hostname":"h.example","PathPrefix":"/p/","TargetLatencyMs":400,"Priority":1,
         "Service":"s","MaxAttempts":2,"Stretch":3.0}],
        "Services":[{"Name":"s","HealthPath":"/health","MaxConnections":64,"Protocol":"h1","Tls":false,
         "AdmissionCheck":false,"Spare":false}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,
         "IdleTimeoutMs":15000},
        "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Guaranteed":{"Gpus":8}},
                   {"Name":"t2","ApiKeys":["k3"]}]})";

constexpr const char *heartbeat =
    R"({"Service":"s","Sequence":1,"born":1,"State":"ready","Capacity":{"Cpu":1000,"MemMb":1000,"Gpus":8}})";

// Checks `sound` after a change.
struct Fixture
{
    Json json = Json::parse(sound);
    ConfigurationCheckInput input;

    std::vector<Finding> check()
    {
        this->input.configuration = this->json.dump();
        return checkConfiguration(this->input);
    }

    bool finds(Severity severity, std::string_view text)
    {
        const std::vector<Finding> findings = this->check();
        return std::any_of(findings.begin(), findings.end(), [&](const Finding &finding) {
            return finding.severity == severity
                && (finding.place + ": " + finding.text).find(text) != std::string::npos;
        });
    }
};

} // namespace

TEST_GROUP(ConfigurationCheck)
{
    Fixture fixture;
};

TEST(ConfigurationCheck, soundConfigurationHasNoFindings)
{
    fixture.input.memoryMb = 160;
    fixture.input.workerHeartbeats = {heartbeat};
    LONGS_EQUAL(0, fixture.check().size());
}

TEST(ConfigurationCheck, whatNoProcessAcceptsIsOneError)
{
    for (const std::string &text :
         {std::string(), std::string("{"), std::string("[]"),
          std::string(R"({"Version":0,"Routes":[]})"),
          std::string(R"({"Version":1,"Routes":[{"Name":"x"}]})"), std::string(100000, '[')}) {
        fixture.input.configuration = text;
        const auto findings = checkConfiguration(fixture.input);
        LONGS_EQUAL(1, findings.size());
        CHECK(findings.front().severity == Severity::Error);
    }
}

TEST(ConfigurationCheck, namesAndPathsThatAreUsedTwice)
{
    fixture.json["Routes"][1]["Name"] = "r1";
    CHECK(fixture.finds(Severity::Error, "queue r1: its name is used twice"));
    fixture.json = Json::parse(sound);
    fixture.json["Routes"][1]["PathPrefix"] = "/q/";
    CHECK(fixture.finds(Severity::Error, "queue r2: never matches: queue r1"));
    fixture.json = Json::parse(sound);
    fixture.json["Tenants"][1]["Name"] = "t1";
    CHECK(fixture.finds(Severity::Error, "organisation t1: its name is used twice"));
    fixture.json = Json::parse(sound);
    fixture.json["Services"].push_back({{"Name", "s"}});
    CHECK(fixture.finds(Severity::Error, "its name 's' is used twice"));
}

TEST(ConfigurationCheck, queuesThatCannotMatchOrRun)
{
    fixture.json["Routes"][0]["Service"] = "gone";
    CHECK(fixture.finds(Severity::Error, "queue r1: its service 'gone' does not exist"));
    fixture.json = Json::parse(sound);
    fixture.json["Routes"][0]["PathPrefix"] = "q/";
    CHECK(fixture.finds(Severity::Warning, "does not begin with '/'"));
    fixture.json["Routes"][0]["PathPrefix"] = "/q";
    CHECK(fixture.finds(Severity::Warning, "does not end with '/'"));
    fixture.json["Routes"][0]["Hostname"] = "";
    CHECK(fixture.finds(Severity::Warning, "has no host name"));
    fixture.json = Json::parse(sound);
    fixture.input.workerHeartbeats = {
        R"({"Service":"other","Sequence":1,"born":1,"State":"ready","Capacity":{"Cpu":1,"MemMb":1,"Gpus":64}})"};
    CHECK(fixture.finds(Severity::Warning, "no known worker serves 's'"));
    fixture.json["Routes"] = Json::array();
    CHECK(fixture.finds(Severity::Warning, "queues: there are none"));
}

TEST(ConfigurationCheck, keys)
{
    fixture.json["Tenants"][1]["ApiKeys"] = {"k1"};
    CHECK(
        fixture.finds(Severity::Error, "organisation t2: has an API key that organisation t1 has"));
    fixture.json["Tenants"][1]["ApiKeys"] = {"k3", "k3"};
    CHECK(fixture.finds(Severity::Warning, "lists an API key twice"));
    fixture.json["Tenants"][1]["ApiKeys"] = {""};
    CHECK(fixture.finds(Severity::Error, "has an empty API key"));
    fixture.json["Tenants"][1]["ApiKeys"] = Json::array();
    CHECK(fixture.finds(Severity::Warning, "organisation t2: has no API key"));
    fixture.json["Tenants"] = Json::array();
    CHECK(fixture.finds(Severity::Error, "there is no API key"));
}

TEST(ConfigurationCheck, limitsThatContradictEachOther)
{
    fixture.input.workerHeartbeats = {heartbeat};
    fixture.json["Tenants"][1]["Guaranteed"] = {{"Gpus", 1}};
    CHECK(
        fixture.finds(Severity::Error, "9 accelerators are guaranteed, the known workers have 8"));
    fixture.json["Routes"][0]["Priority"] = 1;
    CHECK(fixture.finds(Severity::Warning, "guarantees: never apply"));
    fixture.json["Routes"][0]["Stretch"] = 0.5;
    CHECK(fixture.finds(Severity::Warning, "shorter than the run itself"));
    fixture.json["Routes"][0]["MaxAttempts"] = 0;
    CHECK(fixture.finds(Severity::Warning, "allows no attempt"));
    fixture.json["Routes"][0]["Advice"] = {{"DecideMs", 500}, {"EachMs", 1}, {"ValidMs", 400}};
    CHECK(fixture.finds(Severity::Error, "its advice takes as long as it is valid"));
    fixture.json["Routes"][0]["Advice"] = {{"DecideMs", "soon"}};
    CHECK(fixture.finds(Severity::Error, "Advice: "));
    fixture.input.memoryMb = 128;
    fixture.json["Limits"]["MaxBodyBytes"] = 16000000;
    CHECK(fixture.finds(Severity::Error, "takes more than callers may hold"));
    fixture.json["Limits"]["MaxBodyBytes"] = 0;
    CHECK(fixture.finds(Severity::Error, "no job is accepted"));
}

TEST(ConfigurationCheck, unknownFieldsAreWarnings)
{
    fixture.json["Colour"] = 1;
    fixture.json["Routes"][0]["Prio"] = 1;
    fixture.json["Services"][0]["Size"] = 1;
    fixture.json["Limits"]["MaxBody"] = 1;
    fixture.json["Tenants"][0]["Keys"] = 1;
    for (const char *text : {"configuration: the field 'Colour'", "Routes[0]: the field 'Prio'",
                             "Services[0]: the field 'Size'", "Limits: the field 'MaxBody'",
                             "Tenants[0]: the field 'Keys'"})
        CHECK(fixture.finds(Severity::Warning, text));
}

TEST(ConfigurationCheck, workersThatCannotBeRead)
{
    fixture.input.workerHeartbeats = {heartbeat, "{"};
    CHECK(fixture.finds(Severity::Error, "worker 2"));
}

TEST(ConfigurationCheck, differencesFromTheVersionInForce)
{
    fixture.input.inForce = sound;
    CHECK(fixture.finds(Severity::Error, "7 is not higher than 7"));
    fixture.json["Version"] = 9;
    LONGS_EQUAL(0, fixture.check().size());
    fixture.json["Routes"][0]["Priority"] = 2;
    fixture.json["Routes"][0]["Stretch"] = 2.5;
    fixture.json["Routes"][1]["Name"] = "r3";
    fixture.json["Tenants"][0]["ApiKeys"] = {"k2", "k9"};
    fixture.json["Tenants"][0]["Guaranteed"] = {{"Gpus", 4}};
    fixture.json["Tenants"][1]["Name"] = "t3";
    fixture.json["Limits"]["MaxBodyBytes"] = 1000;
    for (const char *text :
         {"queue r1: priority 0 -> 2, stretch 1.5", "queue r3: is added", "queue r2: is dropped",
          "organisation t1: 1 API keys are taken away", "organisation t1: 1 API keys are added",
          "organisation t1: its guarantee is lowered from 8 to 4", "organisation t3: is added",
          "organisation t2: is dropped", "limits: the largest body has 1000 bytes, before 262144"})
        CHECK(fixture.finds(Severity::Change, text));
    CHECK(!fixture.finds(Severity::Change, "k9")); // keys are secrets
    fixture.input.inForce = "{";
    CHECK(fixture.finds(Severity::Error, "version in force: cannot be read"));
}

TEST(ConfigurationCheck, commandPrintsFindingsAndExitCodes)
{
    std::ostringstream out;
    std::ostringstream err;
    ConfigurationCheckOptions options;
    options.file = "/nonexistent";
    adapters::Loop loop;
    LONGS_EQUAL(1, runConfigurationCheck(loop, options, out, err));
    CHECK(err.str().find("cannot read") != std::string::npos);
    CHECK(configurationCheckHelp.find("config check FILE") != std::string_view::npos);
}

TEST(ConfigurationCheck, versionInForceIsReadFromTheStore)
{
    constexpr const char *address = "127.0.0.1:18695";
    adapters::Loop loop;
    Reason reason;
    const auto store = standin::KeyedStore::listen(loop, address, reason);
    CHECK(store != nullptr);
    CHECK(!readConfigurationInForce(loop, address, reason));
    STRCMP_EQUAL("the store holds no configuration", reason.text.c_str());
    for (int i = 1000; i < 1600; ++i)
        store->appendUnfenced("keyed.op", "a" + std::to_string(i), "{}");
    store->appendUnfenced("keyed.op", "config", sound);
    STRCMP_EQUAL(sound, readConfigurationInForce(loop, address, reason).value_or("").c_str());
    store->setUnavailable(true);
    CHECK(!readConfigurationInForce(loop, address, reason));
    CHECK(reason.text.find("does not answer") != std::string::npos);
}

// Random changes of bytes and values: the check reports an error for a text exactly when the
// processes do not accept it or the check finds one of its own, and never accepts more than they
// do.
TEST(ConfigurationCheck, acceptsWhatTheProcessesAccept)
{
    Random random(9);
    int accepted = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string text = sound;
        const std::size_t changes = random() % 3;
        for (std::size_t i = 0; i <= changes; ++i) {
            const std::size_t at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = static_cast<char>(random() % 256);
            else
                text.erase(at, random() % 4);
        }
        ConfigurationCheckInput input;
        input.configuration = text;
        const auto findings = checkConfiguration(input);
        Reason reason;
        const bool decoded = decodeConfiguration(text, reason).has_value();
        const bool refused = !findings.empty() && findings.front().place == "configuration"
            && findings.front().text.find("no process accepts it") == 0;
        CHECK_EQUAL(decoded, !refused);
        accepted += decoded ? 1 : 0;
    }
    CHECK(accepted > 100);
}
