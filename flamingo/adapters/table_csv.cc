#include "flamingo/adapters/table_csv.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace flamingo::adapters {
namespace {

constexpr std::string_view columns[] = {"name",       "homeRegion", "weight", "limitAccelerators",
                                        "limitSlots", "guarantees"};
constexpr std::string_view versionComment = "# version ";
constexpr std::string_view byteOrderMark = "\xef\xbb\xbf"; // written by some spreadsheets

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const auto first = std::min(text.find_first_not_of(blanks), text.size());
    return text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (auto end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator)) {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

bool consumePrefix(std::string_view &text, std::string_view prefix)
{
    if (text.substr(0, prefix.size()) != prefix)
        return false;
    text.remove_prefix(prefix.size());
    return true;
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && stop == end;
}

std::string guaranteesText(absl::Span<const GuaranteedShape> shapes)
{
    std::string text;
    for (const GuaranteedShape &shape : shapes)
        text += (text.empty() ? "" : ";") + shape.region + ":" + std::to_string(shape.copies) + "x"
            + std::to_string(shape.members) + "x" + std::to_string(shape.accelerators);
    return text;
}

std::optional<GuaranteedShape> parseShape(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const std::vector<std::string_view> numbers = split(text.substr(colon + 1), 'x');
    GuaranteedShape shape;
    shape.region = text.substr(0, colon);
    if (numbers.size() != 3 || !parseNumber(numbers[0], shape.copies)
        || !parseNumber(numbers[1], shape.members) || !parseNumber(numbers[2], shape.accelerators))
        return std::nullopt;
    return shape;
}

bool parseGuarantees(std::string_view text, std::vector<GuaranteedShape> &shapes)
{
    shapes.clear();
    for (const std::string_view part : split(text, ';')) {
        if (trimmed(part).empty())
            continue;
        const auto shape = parseShape(trimmed(part));
        if (!shape)
            return false;
        shapes.push_back(*shape);
    }
    return true;
}

std::string quoteField(std::string_view field)
{
    if (field.find_first_of(",\"") == std::string_view::npos)
        return std::string(field);
    std::string result = "\"";
    for (const char c : field)
        result += c == '"' ? std::string("\"\"") : std::string(1, c);
    return result + "\"";
}

std::vector<std::string> splitCsvLine(std::string_view line)
{
    std::vector<std::string> fields(1);
    bool inQuotes = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const bool isEscapedQuote = inQuotes && line.substr(i, 2) == "\"\"";
        if (isEscapedQuote)
            fields.back() += line[i++];
        else if (line[i] == '"')
            inQuotes = !inQuotes;
        else if (line[i] == ',' && !inQuotes)
            fields.emplace_back();
        else
            fields.back() += line[i];
    }
    for (std::string &field : fields)
        field = trimmed(field);
    return fields;
}

bool isHeader(absl::Span<const std::string> fields)
{
    return std::equal(fields.begin(), fields.end(), std::begin(columns), std::end(columns));
}

Organisation parseRow(absl::Span<const std::string> fields, const std::string &location,
                      std::vector<std::string> &errors)
{
    Organisation row;
    if (fields.size() != std::size(columns)) {
        errors.push_back(location + "fields: found " + std::to_string(fields.size())
                         + "; allowed are " + std::to_string(std::size(columns)));
        return row;
    }
    for (std::size_t i = 0; i < fields.size(); ++i) {
        std::string detail;
        if (!setOrganisationField(row, columns[i], fields[i], detail))
            errors.push_back(location + detail);
    }
    return row;
}

} // namespace

absl::Span<const std::string_view> tableColumns()
{
    return columns;
}

std::string organisationFieldText(const Organisation &organisation, std::string_view column)
{
    if (column == "name")
        return organisation.name;
    if (column == "homeRegion")
        return organisation.homeRegion;
    if (column == "weight")
        return std::to_string(organisation.weight);
    if (column == "limitAccelerators")
        return std::to_string(organisation.limitAccelerators);
    if (column == "limitSlots")
        return std::to_string(organisation.limitSlots);
    return guaranteesText(organisation.guarantees);
}

bool setOrganisationField(Organisation &organisation, std::string_view column,
                          std::string_view value, std::string &detail)
{
    const auto reject = [&](std::string_view allowed) {
        detail = std::string(column) + ": found \"" + std::string(value) + "\"; allowed is "
            + std::string(allowed);
        return false;
    };
    const auto number = [&](std::uint32_t &target) {
        return parseNumber(value, target) || reject("an integer from 0 to 4294967295");
    };
    const auto text = [&](std::string &target) {
        target = value;
        return !value.empty() || reject("a non-empty string");
    };
    if (column == "name")
        return text(organisation.name);
    if (column == "homeRegion")
        return text(organisation.homeRegion);
    if (column == "weight")
        return number(organisation.weight);
    if (column == "limitAccelerators")
        return number(organisation.limitAccelerators);
    if (column == "limitSlots")
        return number(organisation.limitSlots);
    if (column == "guarantees")
        return parseGuarantees(value, organisation.guarantees)
            || reject("region:COPIESxMEMBERSxACCELERATORS, joined by ;");
    detail = "unknown field " + std::string(column);
    return false;
}

std::string tableCsv(const TableRows &rows)
{
    std::string text;
    if (rows.version)
        text += std::string(versionComment) + std::to_string(*rows.version) + "\n";
    for (const std::string_view column : columns)
        text += (column == columns[0] ? "" : ",") + std::string(column);
    text += "\n";
    for (const Organisation &row : rows.organisations) {
        for (const std::string_view column : columns)
            text +=
                (column == columns[0] ? "" : ",") + quoteField(organisationFieldText(row, column));
        text += "\n";
    }
    return text;
}

std::optional<TableRows> parseTableCsv(std::string_view text, std::vector<std::string> &errors)
{
    const std::size_t errorsBefore = errors.size();
    TableRows rows;
    bool headerSeen = false;
    std::set<std::string> names;
    std::size_t lineNumber = 0;
    consumePrefix(text, byteOrderMark);
    for (const std::string_view raw : split(text, '\n')) {
        const std::string location = "line " + std::to_string(++lineNumber) + ", ";
        std::string_view line = trimmed(raw);
        std::uint64_t version = 0;
        if (consumePrefix(line, versionComment) && parseNumber(line, version))
            rows.version = version;
        if (line.empty() || raw.front() == '#')
            continue;
        const std::vector<std::string> fields = splitCsvLine(line);
        if (!headerSeen) {
            headerSeen = true;
            if (!isHeader(fields))
                errors.push_back(location + "header: missing; allowed is "
                                 + tableCsv({}).substr(0, tableCsv({}).size() - 1));
            continue;
        }
        rows.organisations.push_back(parseRow(fields, location, errors));
        const std::string &name = rows.organisations.back().name;
        if (!name.empty() && !names.insert(name).second)
            errors.push_back(std::string(location)
                                 .append("name: organisation ")
                                 .append(name)
                                 .append(" is listed twice"));
    }
    // An empty file is refused, because as an edit it would remove every organisation.
    if (!headerSeen)
        errors.emplace_back("line 1, header: missing");
    if (errors.size() > errorsBefore)
        return std::nullopt;
    return rows;
}

} // namespace flamingo::adapters
