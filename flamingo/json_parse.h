#ifndef FLAMINGO_JSON_PARSE_H
#define FLAMINGO_JSON_PARSE_H

// Parses JSON from outside and reads its numbers. All bytes that another process has written are
// decoded with these functions.
//
// The library parses without recursion, but copies and serializes a value by one recursive call a
// level, so a text that is nested deeply enough exhausts the stack when its value is used. Text
// that is nested deeper than `maxJsonDepth` is therefore rejected before it is parsed.
//
// The library converts numbers without a check: an integer wraps around, and the conversion of a
// floating-point number that does not fit is undefined. readInteger() accepts whole numbers within
// the caller's range only.

#include "flamingo/types.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

// Levels of arrays and objects. The messages of this project have at most 8.
constexpr std::size_t maxJsonDepth = 64;

// Returns true if arrays and objects of `text` are nested deeper than `limit`. Brackets in strings
// do not count. The result for a text that is no valid JSON is unspecified.
bool nestsDeeperThan(std::string_view text, std::size_t limit);

// Returns nullopt, with a reason, for a text that is not valid JSON or is nested too deeply.
std::optional<nlohmann::json> parseJson(std::string_view text, Reason &reason);

// Returns true if `address` is of the form HOST:PORT with a port from 1 to 65535. The host is not
// checked.
bool isHostAndPort(std::string_view address);

// Returns the whole number that `value` holds; nullopt if it is no number, not whole, or outside
// [min, max].
std::optional<std::int64_t> wholeNumber(const nlohmann::json &value, std::int64_t min,
                                        std::int64_t max);

// Reads the field `name` of `object` into `result`. Returns false, with a reason, if the field is
// missing, or is not a whole number in [min, max]; `result` is then unchanged.
template <typename Integer>
bool readInteger(const nlohmann::json &object, const char *name, Integer min, Integer max,
                 Integer &result, Reason &reason);

// As readInteger(), but a missing field is valid and leaves `result` unchanged.
template <typename Integer>
bool readOptionalInteger(const nlohmann::json &object, const char *name, Integer min, Integer max,
                         Integer &result, Reason &reason);

template <typename Integer>
bool readOptionalInteger(const nlohmann::json &object, const char *name, Integer min, Integer max,
                         Integer &result, Reason &reason)
{
    static_assert(sizeof(Integer) < sizeof(std::int64_t) || std::numeric_limits<Integer>::is_signed,
                  "the range must fit into std::int64_t");
    const auto found = object.is_object() ? object.find(name) : object.end();
    if (!object.is_object() || found == object.end())
        return true;
    const auto number = wholeNumber(*found, min, max);
    if (!number) {
        reason = {ReasonCode::InvalidInput,
                  std::string("field '") + name + "' is not a whole number from "
                      + std::to_string(min) + " to " + std::to_string(max)};
        return false;
    }
    result = static_cast<Integer>(*number);
    return true;
}

template <typename Integer>
bool readInteger(const nlohmann::json &object, const char *name, Integer min, Integer max,
                 Integer &result, Reason &reason)
{
    if (!object.is_object() || object.find(name) == object.end()) {
        reason = {ReasonCode::InvalidInput, std::string("field '") + name + "' is missing"};
        return false;
    }
    return readOptionalInteger(object, name, min, max, result, reason);
}

} // namespace flamingo

#endif
