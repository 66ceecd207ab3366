#ifndef FLAMINGO_ADAPTERS_CTL_TABLE_H
#define FLAMINGO_ADAPTERS_CTL_TABLE_H

// What flamingoctl needs to edit the table: rows from and to JSON, and the change between two
// tables.

#include "flamingo/adapters/table_csv.h"

#include <nlohmann/json.hpp>

namespace flamingo::adapters {

// Reads {"version":N,"organisations":[...]}; other members of the document are ignored, unknown
// keys of a row are mistakes.
std::optional<TableRows> tableFromJson(const nlohmann::ordered_json &document,
                                       std::vector<std::string> &errors);

// The difference of two sets of rows.
struct TableDifference
{
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
    std::vector<std::string> lines; // for people; one line per added, removed or changed row
};

TableDifference tableDifference(absl::Span<const Organisation> before,
                                absl::Span<const Organisation> after);

// {"organisations":[...],"remove":[...]}
nlohmann::ordered_json changeJson(const TableDifference &difference);

} // namespace flamingo::adapters

#endif
