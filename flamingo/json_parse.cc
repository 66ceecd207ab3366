// The depth is found by a scan of the text, which knows only brackets, strings and escapes. A text
// that is no valid JSON may be taken for deeper or flatter than it is; the parser rejects it.

#include "flamingo/json_parse.h"

#include <charconv>
#include <cmath>

namespace flamingo {
namespace {

using Json = nlohmann::json;

// Every whole number up to this magnitude has an exact floating-point representation.
constexpr double maxExactDouble = 9007199254740992.0;

// Returns the position after the string that begins at `start`, the position of its first quote.
std::size_t skipString(std::string_view text, std::size_t start)
{
    std::size_t position = start + 1;
    while (position < text.size() && text[position] != '"')
        position += text[position] == '\\' ? 2 : 1;
    return position + 1;
}

} // namespace

bool nestsDeeperThan(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    for (std::size_t position = 0; position < text.size();) {
        const char character = text[position];
        if (character == '"') {
            position = skipString(text, position);
            continue;
        }
        if (character == '[' || character == '{') {
            if (++depth > limit)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
        ++position;
    }
    return false;
}

std::optional<Json> parseJson(std::string_view text, Reason &reason)
{
    if (nestsDeeperThan(text, maxJsonDepth)) {
        reason = {ReasonCode::InvalidInput,
                  "nested deeper than " + std::to_string(maxJsonDepth) + " levels"};
        return std::nullopt;
    }
    try {
        return Json::parse(text);
    } catch (const Json::exception &error) {
        reason = {ReasonCode::InvalidInput, error.what()};
        return std::nullopt;
    }
}

bool isHostAndPort(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size() && port != 0;
}

std::optional<std::int64_t> wholeNumber(const Json &value, std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    if (value.is_number_unsigned()) {
        const auto unsignedNumber = value.get<std::uint64_t>();
        if (unsignedNumber > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
            return std::nullopt;
        number = static_cast<std::int64_t>(unsignedNumber);
    } else if (value.is_number_integer()) {
        number = value.get<std::int64_t>();
    } else if (value.is_number_float()) {
        const auto real = value.get<double>();
        if (!(std::abs(real) <= maxExactDouble) || std::trunc(real) != real)
            return std::nullopt;
        number = static_cast<std::int64_t>(real);
    } else {
        return std::nullopt;
    }
    if (number < min || number > max)
        return std::nullopt;
    return number;
}

} // namespace flamingo
