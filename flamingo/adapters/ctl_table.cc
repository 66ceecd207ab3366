#include "flamingo/adapters/ctl_table.h"

#include <algorithm>
#include <set>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::ordered_json;

std::optional<std::uint32_t> parseCount(const Json &value)
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
    const auto copies = parseCount(value.value("copies", Json()));
    const auto members = parseCount(value.value("members", Json()));
    const auto accelerators = parseCount(value.value("accelerators", Json()));
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
    const bool isText = key == "name" || key == "homeRegion";
    return setOrganisationField(
        row, key, isText && value.is_string() ? value.get<std::string>() : value.dump(), detail);
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
        line += " " + std::string(column) + "=" + organisationFieldText(row, column);
    return line;
}

// Returns the line for a changed row; empty when the rows are equal.
std::string changedLine(const Organisation &before, const Organisation &after)
{
    std::string line;
    for (const std::string_view column : tableColumns()) {
        const std::string oldText = organisationFieldText(before, column);
        const std::string newText = organisationFieldText(after, column);
        if (oldText == newText)
            continue;
        line += (line.empty() ? "~ " + after.name : ",") + " " + std::string(column) + ": "
            + (oldText.empty() ? "none" : oldText) + " -> " + (newText.empty() ? "none" : newText);
    }
    return line;
}

} // namespace

std::optional<TableRows> tableFromJson(const Json &document, std::vector<std::string> &errors)
{
    const std::size_t errorsBefore = errors.size();
    TableRows rows;
    if (!document.is_object() || !document.contains("organisations")
        || !document["organisations"].is_array()) {
        errors.emplace_back(R"(not a JSON object with a list "organisations")");
        return std::nullopt;
    }
    if (document.contains("version") && document["version"].is_number_unsigned())
        rows.version = document["version"].get<std::uint64_t>();
    std::set<std::string> names;
    for (const Json &object : document["organisations"]) {
        const std::string location =
            "organisations[" + std::to_string(rows.organisations.size()) + "].";
        Organisation &row = rows.organisations.emplace_back();
        for (const auto &[key, value] : object.items()) {
            std::string detail;
            if (!setFromJson(row, key, value, detail))
                errors.push_back(location + detail);
        }
        if (row.name.empty())
            errors.push_back(location + "name: missing");
        if (!names.insert(row.name).second)
            errors.push_back(location + "name: organisation " + row.name + " is listed twice");
    }
    if (errors.size() > errorsBefore)
        return std::nullopt;
    return rows;
}

TableDifference tableDifference(absl::Span<const Organisation> before,
                                absl::Span<const Organisation> after)
{
    TableDifference difference;
    for (const Organisation &row : after) {
        const Organisation *previous = findRow(before, row.name);
        const std::string line = previous == nullptr ? addedLine(row) : changedLine(*previous, row);
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
