#include "flamingo/adapters/ctl_output.h"

#include "flamingo/json_text.h"

#include <algorithm>
#include <vector>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::ordered_json;
using Row = std::vector<std::string>;

constexpr std::size_t indentStep = 2;
constexpr std::size_t columnGap = 2;

std::string scalarText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : jsonText(value);
}

bool isListOfObjects(const Json &value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const Json &row) { return row.is_object(); });
}

// Returns the cells of the table. The first row has the keys of all objects in the order of their
// first appearance.
std::vector<Row> tableCells(const Json &list)
{
    Row keys;
    for (const Json &object : list) {
        for (const auto &[key, value] : object.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end())
                keys.push_back(key);
        }
    }
    std::vector<Row> rows = {keys};
    for (const Json &object : list) {
        Row row;
        for (const std::string &key : keys)
            row.push_back(object.contains(key) ? scalarText(object.at(key)) : "");
        rows.push_back(row);
    }
    return rows;
}

std::string renderColumns(const Json &list, std::size_t indent)
{
    const std::vector<Row> rows = tableCells(list);
    std::vector<std::size_t> widths(rows[0].size());
    for (const Row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line(indent, ' ');
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string renderMember(const std::string &key, const Json &value, std::size_t indent)
{
    const std::string start = std::string(indent, ' ') + key + ":";
    if (value.is_structured() && !value.empty())
        return start + "\n" + renderText(value, indent + indentStep);
    const std::string text = value.is_structured() ? "none" : scalarText(value);
    return start + (text.empty() ? "" : " " + text) + "\n";
}

} // namespace

std::string renderText(const Json &document, std::size_t indent)
{
    if (isListOfObjects(document))
        return renderColumns(document, indent);
    std::string text;
    if (document.is_object()) {
        for (const auto &[key, value] : document.items())
            text += renderMember(key, value, indent);
        return text;
    }
    if (!document.is_array())
        return std::string(indent, ' ') + scalarText(document) + "\n";
    for (const Json &value : document)
        text += std::string(indent, ' ') + scalarText(value) + "\n";
    return text;
}

} // namespace flamingo::adapters
