#ifndef FLAMINGO_ADAPTERS_CTL_TABLE_H
#define FLAMINGO_ADAPTERS_CTL_TABLE_H

// Table edits of flamingoctl: reads rows from JSON, computes the difference of two tables and
// writes it as the JSON change that the entries accept.

#include "flamingo/adapters/table_csv.h"

#include <nlohmann/json.hpp>

namespace flamingo::adapters {

// Reads {"version":N,"organisations":[...]}. Other members of the document are ignored; unknown
// keys of a row are errors. On any error returns nullopt and appends one line per error to
// `errors`.
std::optional<TableRows> tableFromJson(const nlohmann::ordered_json &document,
                                       std::vector<std::string> &errors);

// The difference of two sets of rows.
struct TableDifference
{
    std::vector<Organisation> upserts;
    std::vector<std::string> removals;
    std::vector<std::string> lines; // human-readable; one per added, removed or changed row
};

// Returns the change that turns the rows `before` into the rows `after`.
TableDifference tableDifference(absl::Span<const Organisation> before,
                                absl::Span<const Organisation> after);

// Returns {"organisations":[...],"remove":[...]}, the "change" of an edit request.
nlohmann::ordered_json changeJson(const TableDifference &difference);

} // namespace flamingo::adapters

#endif
