#ifndef FLAMINGO_ADAPTERS_TABLE_CSV_H
#define FLAMINGO_ADAPTERS_TABLE_CSV_H

// The organisations of the table as CSV, for spreadsheets.
//
//   # version 12
//   name,homeRegion,weight,limitAccelerators,limitSlots,guarantees
//   fjord,vestland,2,16,0,vestland:1x2x4;trondelag:2x1x8
//
// A guarantee is region:COPIESxMEMBERSxACCELERATORS. Lines that start with # are comments; the one
// with the version is optional and says which version the rows were taken from. Fields may be
// quoted. Every mistake is reported with its line and column.

#include "flamingo/table.h"

namespace flamingo::adapters {

struct TableRows
{
    std::optional<std::uint64_t> version; // that the rows were taken from
    std::vector<Organisation> organisations;
};

std::string tableCsv(const TableRows &rows);
std::optional<TableRows> parseTableCsv(std::string_view text, std::vector<std::string> &errors);

// Sets the field of that column; false with a detail when the column or the value is invalid.
bool setOrganisationField(Organisation &organisation, std::string_view column,
                          std::string_view value, std::string &detail);

// Value of the field of that column.
std::string organisationFieldText(const Organisation &organisation, std::string_view column);

// Columns in their order.
absl::Span<const std::string_view> tableColumns();

} // namespace flamingo::adapters

#endif
