/// Reads, writes, validates and compares the operators' table.
#ifndef CROWSTEP_CONTRACT_CONTRACT_FUNC_H
#define CROWSTEP_CONTRACT_CONTRACT_FUNC_H

#include "contract_type.h"

#include <string>
#include <vector>

namespace crowstep::contract {

/// Returns the table as CSV with a header row, without its version.
std::string writeCsv(const ContractTable &Table);

/// Reads CSV with a header row; columns may be in any order, and those with a
/// default may be missing. The table's version is 0.
/// \throws TableCellError with row, column, value and the allowed values; row
/// 0 is the header. \throws TableFormatError if the text is not CSV.
ContractTable readCsv(const std::string &Text);

/// Returns the table as JSON with a format number, as stored in the table
/// service and sent in frames.
std::string writeJson(const ContractTable &Table);

/// Reads JSON of the present and all older formats.
/// \throws TableFormatError, TableCellError.
ContractTable readJson(const std::string &Text);

/// Checks each row, and that ids and names are unique.
/// \throws TableCellError.
void validate(const ContractTable &Table);

/// Returns the differences of \p After from \p Before: one line for each
/// changed cell ("class.column: a -> b"), each added or removed row, and for a
/// changed order of rows. Empty if they differ in the version at most. Rows
/// are matched by id.
std::vector<std::string> difference(const ContractTable &Before,
                                    const ContractTable &After);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_FUNC_H
