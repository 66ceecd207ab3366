#ifndef FLAMINGO_ADAPTERS_TABLE_CSV_H
#define FLAMINGO_ADAPTERS_TABLE_CSV_H

// Reads and writes the organisations of the table as CSV, for editing in spreadsheets.
//
//   # version 12
//   name,homeRegion,weight,limitAccelerators,limitSlots,guarantees
//   fjord,vestland,2,16,0,vestland:1x2x4;trondelag:2x1x8
//
// A guarantee is region:COPIESxMEMBERSxACCELERATORS. Lines that start with # are comments. The
// version comment is optional; it gives the table version that the rows were taken from. Fields may
// be quoted. Every error is reported with its line and column name.

#include "flamingo/table.h"

namespace flamingo::adapters {

struct TableRows
{
    std::optional<std::uint64_t> version; // of the table that the rows were taken from
    std::vector<Organisation> organisations;
};

std::string tableCsv(const TableRows &rows);
// Returns nullopt and appends one line per error to `errors` when the text is invalid.
std::optional<TableRows> parseTableCsv(std::string_view text, std::vector<std::string> &errors);

// Sets the field of `organisation` that belongs to `column`. Returns false and sets `detail` when
// the column or the value is invalid.
bool setOrganisationField(Organisation &organisation, std::string_view column,
                          std::string_view value, std::string &detail);

// Returns the value of the field that belongs to `column`, as it is written in the CSV.
std::string organisationFieldText(const Organisation &organisation, std::string_view column);

// Returns the column names in the order of the CSV.
absl::Span<const std::string_view> tableColumns();

} // namespace flamingo::adapters

#endif
