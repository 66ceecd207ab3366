#include "flamingo/adapters/ctl_table.h"

#include <algorithm>
#include <set>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::ordered_json;

std::optional<std::uint32_t> countOf(const Json &value)
{
    if (!value.is_number_integer() || value < 0 || value > UINT32_MAX)
        return std::nullopt;
    return value.get<std::uint32_t>();
}

std::optional<GuaranteedShape> shapeFromJson(const Json &value)
{
    if (!value.is_object() || value.size() != 4 || !value.contains("region")
        || !value["region"].is_string())
        return std::nullopt;
    const auto copies = countOf(value.value("copies", Json()));
    const auto members = countOf(value.value("members", Json()));
    const auto accelerators = countOf(value.value("accelerators", Json()));
    if (!copies || !members || !accelerators)
        return std::nullopt;
    return GuaranteedShape{value["region"].get<std::string>(), *copies, *members, *accelerators};
}

bool setGuarantees(Organisation &row, const Json &list, std::string &detail)
{
    detail = "guarantees: found " + list.dump()
        + R"(; allowed is [{"region":TEXT,"copies":N,"members":N,"accelerators":N}])";
    if (!list.is_array())
        return false;
    row.guarantees.clear();
    for (const Json &element : list) {
        const auto shape = shapeFromJson(element);
        if (!shape)
            return false;
        row.guarantees.push_back(*shape);
    }
    return true;
}

bool setFromJson(Organisation &row, const std::string &key, const Json &value, std::string &detail)
{
    if (key == "guarantees")
        return setGuarantees(row, value, detail);
    const bool text = key == "name" || key == "homeRegion";
    return setField(row, key, text && value.is_string() ? value.get<std::string>() : value.dump(),
                    detail);
}

Json rowJson(const Organisation &row)
{
    Json guarantees = Json::array();
    for (const GuaranteedShape &shape : row.guarantees)
        guarantees.push_back({{"region", shape.region},
                              {"copies", shape.copies},
                              {"members", shape.members},
                              {"accelerators", shape.accelerators}});
    return {{"name", row.name},
            {"homeRegion", row.homeRegion},
            {"weight", row.weight},
            {"limitAccelerators", row.limitAccelerators},
            {"limitSlots", row.limitSlots},
            {"guarantees", guarantees}};
}

const Organisation *findRow(absl::Span<const Organisation> rows, std::string_view name)
{
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&](const Organisation &row) { return row.name == name; });
    return found == rows.end() ? nullptr : &*found;
}

std::string addedLine(const Organisation &row)
{
    std::string line = "+ " + row.name;
    for (const std::string_view column : tableColumns().subspan(1))
        line += " " + std::string(column) + "=" + fieldText(row, column);
    return line;
}

// Empty when the rows are equal.
std::string changedLine(const Organisation &before, const Organisation &after)
{
    std::string line;
    for (const std::string_view column : tableColumns()) {
        const std::string oldText = fieldText(before, column);
        const std::string newText = fieldText(after, column);
        if (oldText == newText)
            continue;
        line += (line.empty() ? "~ " + after.name : ",") + " " + std::string(column) + ": "
            + (oldText.empty() ? "none" : oldText) + " -> " + (newText.empty() ? "none" : newText);
    }
    return line;
}

} // namespace

std::optional<TableRows> tableFromJson(const Json &document, std::vector<std::string> &mistakes)
{
    const std::size_t before = mistakes.size();
    TableRows rows;
    if (!document.is_object() || !document.contains("organisations")
        || !document["organisations"].is_array()) {
        mistakes.emplace_back(R"(found no object with a list "organisations")");
        return std::nullopt;
    }
    if (document.contains("version") && document["version"].is_number_unsigned())
        rows.version = document["version"].get<std::uint64_t>();
    std::set<std::string> names;
    for (const Json &object : document["organisations"]) {
        const std::string place =
            "organisations[" + std::to_string(rows.organisations.size()) + "].";
        Organisation &row = rows.organisations.emplace_back();
        for (const auto &[key, value] : object.items()) {
            std::string detail;
            if (!setFromJson(row, key, value, detail))
                mistakes.push_back(place + detail);
        }
        if (row.name.empty())
            mistakes.push_back(place + "name: missing");
        if (!names.insert(row.name).second)
            mistakes.push_back(place + "name: organisation " + row.name + " is given twice");
    }
    if (mistakes.size() > before)
        return std::nullopt;
    return rows;
}

TableDifference differenceOf(absl::Span<const Organisation> before,
                             absl::Span<const Organisation> after)
{
    TableDifference difference;
    for (const Organisation &row : after) {
        const Organisation *old = findRow(before, row.name);
        const std::string line = old == nullptr ? addedLine(row) : changedLine(*old, row);
        if (line.empty())
            continue;
        difference.upserts.push_back(row);
        difference.lines.push_back(line);
    }
    for (const Organisation &row : before) {
        if (findRow(after, row.name) != nullptr)
            continue;
        difference.removals.push_back(row.name);
        difference.lines.push_back("- " + row.name);
    }
    return difference;
}

Json changeJson(const TableDifference &difference)
{
    Json organisations = Json::array();
    for (const Organisation &row : difference.upserts)
        organisations.push_back(rowJson(row));
    return {{"organisations", organisations}, {"remove", difference.removals}};
}

} // namespace flamingo::adapters
