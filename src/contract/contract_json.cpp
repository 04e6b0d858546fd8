/// The operators' table as JSON.
#include "contract/contract_json.h"

#include "contract/contract_column.h"
#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "core/untrusted_json.h"

namespace crowstep::contract {

namespace {

using nlohmann::json;

json cellToJson(const CellValue &Value) {
  return std::visit([](const auto &Alternative) { return json(Alternative); },
                    Value);
}

CellValue cellFromJson(const json &Value, const Column &Col,
                       std::size_t RowNumber) {
  if (Value.is_boolean())
    return Value.get<bool>();
  if (Value.is_string())
    return Value.get<std::string>();
  // An unsigned number beyond the signed range exceeds every column's range.
  if (Value.is_number_integer() &&
      (!Value.is_number_unsigned() ||
       Value.get<std::uint64_t>() <= static_cast<std::uint64_t>(Col.m_Max)))
    return Value.get<std::int64_t>();
  throw TableCellError(RowNumber, Col.m_Name, Value.dump(), allowedText(Col));
}

Contract rowFromJson(const json &Value, std::size_t RowNumber) {
  if (!Value.is_object())
    throw TableFormatError("row " + std::to_string(RowNumber) +
                           " is no object");
  for (const auto &Item : Value.items())
    if (findColumn(Item.key()) == nullptr)
      throw TableCellError(RowNumber, Item.key(), Item.value().dump(),
                           "a column of the table");
  Contract Result;
  for (const Column &Col : columns()) {
    const auto Found = Value.find(Col.m_Name);
    if (Found != Value.end())
      setCell(Result, Col, cellFromJson(*Found, Col, RowNumber), RowNumber);
    else if (Col.m_Default)
      setCellText(Result, Col, *Col.m_Default, RowNumber);
    else
      throw TableCellError(RowNumber, Col.m_Name, "", allowedText(Col));
  }
  return Result;
}

/// Reads format 1. A format that renames or splits a column needs a reader of
/// its own beside this one; one that only adds a column does not, as missing
/// cells take the column's default.
ContractTable tableFromFormat1(const json &Value) {
  ContractTable Result;
  Result.m_Version = TableVersion(Value.value("version", std::uint64_t{0}));
  for (const json &Row : Value.at("contracts"))
    Result.m_Contracts.push_back(
        rowFromJson(Row, Result.m_Contracts.size() + 1));
  return Result;
}

} // namespace

json tableToJson(const ContractTable &Table) {
  json Rows = json::array();
  for (const Contract &Row : Table.m_Contracts) {
    json Cells = json::object();
    for (const Column &Col : columns())
      Cells[Col.m_Name] = cellToJson(cellOf(Row, Col));
    Rows.push_back(std::move(Cells));
  }
  return {{"format", TableFormat},
          {"version", Table.m_Version.value()},
          {"contracts", std::move(Rows)}};
}

ContractTable tableFromJson(const json &Value) {
  try {
    const auto Format = Value.at("format").get<std::int64_t>();
    if (Format != TableFormat)
      throw TableFormatError("format " + std::to_string(Format) +
                             "; this build reads up to " +
                             std::to_string(TableFormat));
    return tableFromFormat1(Value);
  } catch (const json::exception &Failure) {
    throw TableFormatError(Failure.what());
  }
}

std::string writeJson(const ContractTable &Table) {
  return tableToJson(Table).dump();
}

ContractTable readJson(const std::string &Text) {
  const json Value = parseUntrustedJsonOrDiscard(Text);
  if (Value.is_discarded())
    throw TableFormatError("no JSON");
  return tableFromJson(Value);
}

} // namespace crowstep::contract
