// Guards against a daemon that starts with a mistyped, wrongly parsed or out-of-range setting,
// against errors that are reported one at a time, and against documentation that differs from the
// checks.

#include "flamingo/settings.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace flamingo;
using Json = nlohmann::json;

namespace {

std::string fileText(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

Json entryJson()
{
    return {{"name", "e1"},
            {"region", "vestland"},
            {"dataCentre", "bergen-1"},
            {"peerAddress", "127.0.0.1:19011"},
            {"httpAddress", "127.0.0.1:19001"},
            {"logAddress", "127.0.0.1:19000"},
            {"peerKey", "0123456789abcdef"}};
}

Json agentJson()
{
    Json json = entryJson();
    json["rack"] = "r1";
    json["workerAddress"] = "127.0.0.1:19000";
    json["seeds"] = {"127.0.0.1:19012"};
    return json;
}

// Checks that parsing reports exactly one error, which starts with `start` and contains all
// `parts`.
void checkEntryError(const std::string &text, const std::string &start,
                     std::initializer_list<std::string> parts = {})
{
    std::vector<std::string> errors;
    CHECK_FALSE(parseEntrySettings(text, errors).has_value());
    CHECK_EQUAL(1U, errors.size());
    CHECK_EQUAL(start, errors.at(0).substr(0, start.size()));
    for (const std::string &part : parts)
        CHECK(errors.at(0).find(part) != std::string::npos);
}

void checkEntryValue(const std::string &key, const Json &value)
{
    Json json = entryJson();
    json[key] = value;
    checkEntryError(json.dump(), key + ": found ", {"; allowed is "});
}

} // namespace

TEST_GROUP(Settings)
{
    std::vector<std::string> errors;
};

TEST(Settings, givenValuesAreStoredAndOthersKeepTheirDefaults)
{
    Json json = agentJson();
    json["checkpointBoundMs"] = 1234;
    json["owner"] = {{"maxKeys", 77}};
    const auto agent = parseAgentSettings("// comment\n" + json.dump() + "/* end */", errors);
    CHECK(agent.has_value());
    CHECK_EQUAL(1234, agent->options.checkpointBoundMs);
    CHECK_EQUAL(77U, agent->owner.maxKeys);
    CHECK_EQUAL(AgentOptions().gangLeaseMs, agent->options.gangLeaseMs);
    CHECK_EQUAL(std::string("e1"), agent->owner.self);
    CHECK_EQUAL(std::string("vestland"), agent->owner.region);
    json = entryJson();
    json["retryBudgetShare"] = 1;
    const auto entry = parseEntrySettings(json.dump(), errors);
    CHECK(entry.has_value());
    CHECK_EQUAL(1.0, entry->options.retryBudgetShare);
}

TEST(Settings, errorOfAWrongTypeOrValueNamesSettingAndRange)
{
    checkEntryValue("name", "");
    checkEntryValue("name", "a b");
    checkEntryValue("name", std::string(maxNameBytes + 1, 'x'));
    checkEntryValue("region", 7);
    checkEntryValue("logAddress", "localhost:1");
    checkEntryValue("logAddress", "127.0.0.1:65536");
    checkEntryValue("logAddress", "127.0.0.1:");
    checkEntryValue("logAddress", "127.0.0.1:19000 ");
    checkEntryValue("seeds", {"127.0.0.1:1", "127.0.0.1:1"});
    checkEntryValue("seeds", "127.0.0.1:1");
    checkEntryValue("maxAttempts", 0);
    checkEntryValue("maxAttempts", 1.5);
    checkEntryValue("maxAttempts", "4");
    checkEntryValue("maxAttempts", -4294967295LL); // 1 when truncated to 32 bits
    checkEntryValue("maxAttempts", 4294967300ULL);
    checkEntryValue("maxWaitMs", 1e300);
    checkEntryValue("fragmentationWeight", 1.01);
    checkEntryValue("fragmentationWeight", nullptr);
}

TEST(Settings, allErrorsAreReportedAtOnce)
{
    CHECK_FALSE(parseEntrySettings(R"({"maxQueued":0,"maxQueue":5,"seeds":[1]})", errors));
    std::set<std::string> paths;
    for (const std::string &error : errors)
        paths.insert(error.substr(0, error.find(':')));
    const std::set<std::string> expected = {
        "name",       "region",  "dataCentre", "peerAddress", "httpAddress",
        "logAddress", "peerKey", "maxQueued",  "maxQueue",    "seeds"};
    CHECK(paths == expected);
}

TEST(Settings, unknownAndDuplicateKeysAreErrors)
{
    Json json = entryJson();
    json["maxwait"] = 5;
    checkEntryError(json.dump(), "maxwait: unknown key", {"maxWaitMs"});
    json = entryJson();
    json["incarnation"] = 5;
    checkEntryError(json.dump(), "incarnation: unknown key");
    const std::string text = entryJson().dump();
    checkEntryError(R"({"name":"twice",)" + text.substr(1), "name: duplicate key");
    json = agentJson();
    json["owner"] = {{"maxkey", 1}};
    CHECK_FALSE(parseAgentSettings(json.dump(), errors));
    CHECK_EQUAL(std::string("owner.maxkey: unknown key; the closest known key is owner.maxKeys"),
                errors.at(0));
}

TEST(Settings, invalidJsonIsReportedWithItsLine)
{
    checkEntryError("{\n\"name\": }", "settings: ", {"line 2"});
    checkEntryError("[]", "settings: ");
    checkEntryError("", "settings: ");
    checkEntryError(R"({"maxWaitMs":1e999})", "settings: ");
    checkEntryError("\"\xff\"", "settings: ");
}

TEST(Settings, peerKeyIsNeverQuotedInErrors)
{
    Json json = entryJson();
    json["peerKey"] = "secret";
    std::vector<std::string> found;
    CHECK_FALSE(parseEntrySettings(json.dump(), found));
    CHECK(found.at(0).find("secret") == std::string::npos);
    CHECK_FALSE(parseEntrySettings("{\"peerKey\":\"secret\n\"}", found));
    CHECK(found.at(1).find("secret") == std::string::npos);
}

TEST(Settings, settingsThatContradictEachOtherAreErrors)
{
    checkEntryValue("httpAddress", "127.0.0.1:19011");
    checkEntryValue("maxJobs", 10);
    checkEntryValue("ownerSilentAfterMs", 2000);
    checkEntryValue("reservationMaxMs", 4000);
    Json json = entryJson();
    json["seeds"] = {"127.0.0.1:19011"};
    checkEntryError(json.dump(), "seeds: ");
    json = agentJson();
    json["gangRenewMs"] = 1600;
    CHECK_FALSE(parseAgentSettings(json.dump(), errors));
    CHECK_EQUAL(1U, errors.size());
}

TEST(Settings, everyExampleFileParsesAndNoNameOrAddressIsUsedTwice)
{
    std::size_t files = 0;
    for (const char *deployment : {"betelbors", "archivio"}) {
        const std::filesystem::path folder = FLAMINGO_SOURCE_DIR "/settings";
        std::set<std::string> used;
        for (const auto &file : std::filesystem::directory_iterator(folder / deployment)) {
            ++files;
            const std::string text = fileText(file.path());
            if (file.path().filename().string().rfind("entry", 0) == 0) {
                const auto entry = parseEntrySettings(text, errors);
                CHECK(entry.has_value());
                CHECK(used.insert(entry->options.name).second);
                CHECK(used.insert(entry->httpAddress).second);
                CHECK(used.insert(entry->peerAddress).second);
                continue;
            }
            const auto agent = parseAgentSettings(text, errors);
            CHECK(agent.has_value());
            CHECK(used.insert(agent->options.name).second);
            CHECK(used.insert(agent->httpAddress).second);
            CHECK(used.insert(agent->peerAddress).second);
        }
    }
    CHECK_EQUAL(24U, files);
}

TEST(Settings, documentationMatchesTheSettingsTables)
{
    const std::string page = fileText(FLAMINGO_SOURCE_DIR "/docs/settings.md");
    CHECK(page.find(settingsTable(entrySettingInfos())) != std::string::npos);
    CHECK(page.find(settingsTable(agentSettingInfos())) != std::string::npos);
}
