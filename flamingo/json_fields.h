#ifndef FLAMINGO_JSON_FIELDS_H
#define FLAMINGO_JSON_FIELDS_H

// Reads fields of JSON messages that may be malformed, without exceptions.

#include <nlohmann/json.hpp>

#include <string>
#include <type_traits>

namespace flamingo {

// Returns the field `name` of `json`; `fallback` when `json` is no object, or the field is missing
// or of another type. The field of an unsigned type must be a number without sign and fraction.
template <typename Value>
Value fieldOr(const nlohmann::json &json, const char *name, Value fallback)
{
    static_assert(
        std::is_same_v<Value,
                       bool> || std::is_same_v<Value, std::string> || std::is_unsigned_v<Value>);
    const auto found = json.is_object() ? json.find(name) : json.end();
    if (!json.is_object() || found == json.end())
        return fallback;
    bool matches = false;
    if constexpr (std::is_same_v<Value, bool>)
        matches = found->is_boolean();
    else if constexpr (std::is_same_v<Value, std::string>)
        matches = found->is_string();
    else
        matches = found->is_number_unsigned();
    return matches ? found->template get<Value>() : fallback;
}

} // namespace flamingo

#endif
