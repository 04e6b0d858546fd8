/// The operators' table as a JSON value, for embedding in larger documents.
#ifndef CROWSTEP_CONTRACT_CONTRACT_JSON_H
#define CROWSTEP_CONTRACT_CONTRACT_JSON_H

#include "contract_type.h"

#include <nlohmann/json.hpp>

namespace crowstep::contract {

/// Format number that this build writes, and the highest that it reads.
inline constexpr std::int64_t TableFormat = 1;

/// Returns the table with its version and the format number.
nlohmann::json tableToJson(const ContractTable &Table);

/// Reads a table of the present or an older format; ignores other members of
/// \p Value. \throws TableFormatError, TableCellError.
ContractTable tableFromJson(const nlohmann::json &Value);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_JSON_H
