/// The operators' table as a JSON document, for what embeds it in another.
#ifndef CROWSTEP_CONTRACT_CONTRACT_JSON_H
#define CROWSTEP_CONTRACT_CONTRACT_JSON_H

#include "contract_type.h"

#include <nlohmann/json.hpp>

namespace crowstep::contract {

/// The format number that this build writes, and the highest that it reads.
inline constexpr std::int64_t TableFormat = 1;

/// Returns the table with its format number.
nlohmann::json tableToJson(const ContractTable &Table);

/// Reads a table of this and all older formats; further members of the
/// document are left alone. \throws TableFormatError, TableCellError.
ContractTable tableFromJson(const nlohmann::json &Value);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_JSON_H
