// Guards against a text from outside that exhausts the stack, and against numbers that are
// converted although they do not fit.

#include "flamingo/json_parse.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using Json = nlohmann::json;

namespace {

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_GROUP(JsonParse)
{
    Reason reason;
};

TEST(JsonParse, textIsAcceptedUpToTheMaximumDepth)
{
    CHECK(parseJson(nestedArrays(maxJsonDepth), reason).has_value());
    CHECK(!parseJson(nestedArrays(maxJsonDepth + 1), reason).has_value());
    CHECK(reason.text.find("nested deeper") != std::string::npos);
    CHECK(!parseJson(nestedArrays(1000000), reason).has_value());
}

TEST(JsonParse, bracketsInStringsDoNotCount)
{
    const std::string brackets(maxJsonDepth + 1, '{');
    CHECK(parseJson("\"" + brackets + "\"", reason).has_value());
    CHECK(parseJson("[\"\\\"" + brackets + "\"]", reason).has_value());
    CHECK(!nestsDeeperThan("\"\\", 0)); // ends within an escape
}

TEST(JsonParse, invalidTextHasAReason)
{
    CHECK(!parseJson("{", reason).has_value());
    CHECK(!reason.text.empty());
}

TEST(JsonParse, onlyWholeNumbersWithinTheRangeAreRead)
{
    const auto read = [](const char *text) { return wholeNumber(Json::parse(text), -5, 100); };
    CHECK_EQUAL(100, read("100").value());
    CHECK_EQUAL(-5, read("-5").value());
    CHECK_EQUAL(7, read("7.0").value());
    for (const char *text : {"101", "-6", "0.5", "1e300", "-1e300", "9223372036854775808",
                             "18446744073709551615", "\"7\"", "null", "true", "[7]", "{}"})
        CHECK(!read(text).has_value());
}

TEST(JsonParse, aFieldOutOfRangeLeavesTheResultUnchanged)
{
    const Json object = {{"port", 70000}, {"count", 3}};
    std::uint16_t port = 1;
    CHECK(!readInteger<std::uint16_t>(object, "port", 1, 65535, port, reason));
    CHECK_EQUAL(1, port);
    CHECK(reason.text.find("'port'") != std::string::npos);
    TimeMs count = 0;
    CHECK(readInteger<TimeMs>(object, "count", 0, 10, count, reason));
    CHECK_EQUAL(3, count);
    CHECK(!readInteger<TimeMs>(object, "missing", 0, 10, count, reason));
    CHECK(readOptionalInteger<TimeMs>(object, "missing", 0, 10, count, reason));
    CHECK(!readInteger<TimeMs>(Json::array(), "count", 0, 10, count, reason));
    CHECK_EQUAL(3, count);
}
