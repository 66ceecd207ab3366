#ifndef FLAMINGO_ADAPTERS_CTL_OUTPUT_H
#define FLAMINGO_ADAPTERS_CTL_OUTPUT_H

// Renders JSON documents as human-readable text: objects as "key: value" lines, lists of objects as
// aligned columns, everything else indented below its key.

#include <nlohmann/json.hpp>

#include <string>

namespace flamingo::adapters {

std::string renderText(const nlohmann::ordered_json &document, std::size_t indent = 0);

} // namespace flamingo::adapters

#endif
