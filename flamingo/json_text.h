#ifndef FLAMINGO_JSON_TEXT_H
#define FLAMINGO_JSON_TEXT_H

// Serializes JSON whose strings may come from outside.
//
// The library's dump() throws for a string that is not valid UTF-8, such as an error message that
// quotes the bytes of a malformed request. Here invalid bytes are replaced by U+FFFD, so that no
// message can end the process.

#include <nlohmann/json.hpp>

#include <string>

namespace flamingo {

// `indent` -1: on one line.
template <typename Json>
std::string jsonText(const Json &json, int indent = -1)
{
    return json.dump(indent, ' ', false, Json::error_handler_t::replace);
}

} // namespace flamingo

#endif
