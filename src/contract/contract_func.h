/// The operators' table as CSV and JSON, and what makes it valid.
#ifndef CROWSTEP_CONTRACT_CONTRACT_FUNC_H
#define CROWSTEP_CONTRACT_CONTRACT_FUNC_H

#include "contract_type.h"

#include <string>
#include <vector>

namespace crowstep::contract {

/// Returns the table as CSV with a header row; readCsv() gives it back.
std::string writeCsv(const ContractTable &Table);

/// Reads CSV with a header row; columns may stand in any order and optional
/// ones may be missing. The version is 0.
/// \throws TableCellError naming row, column, value and what is allowed; row 0
/// is the header. \throws TableFormatError where the text is no CSV.
ContractTable readCsv(const std::string &Text);

/// Returns the table as JSON with a format number, as it stands in the table
/// service and in frames.
std::string writeJson(const ContractTable &Table);

/// Reads JSON of this and all older format numbers.
/// \throws TableFormatError, TableCellError.
ContractTable readJson(const std::string &Text);

/// Checks what must hold between rows and within a row.
/// \throws TableCellError.
void validate(const ContractTable &Table);

/// Returns how \p After differs from \p Before, one line a cell
/// ("class.column: a -> b"), added or removed row; empty where they are equal
/// but for the version. Rows are matched by id.
std::vector<std::string> difference(const ContractTable &Before,
                                    const ContractTable &After);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_FUNC_H
