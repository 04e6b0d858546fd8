/// The columns of the operators' table as data.
///
/// src/table/contract_columns.inc is the only definition of each column's
/// member, range and default; readers, writers, validation and differences
/// iterate over it.
#ifndef CROWSTEP_CONTRACT_CONTRACT_COLUMN_H
#define CROWSTEP_CONTRACT_CONTRACT_COLUMN_H

#include "contract_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::contract {

/// The member of a Contract that a column fills.
using ColumnField =
    std::variant<ClassId Contract::*, std::string Contract::*,
                 std::uint8_t Contract::*, std::uint32_t Contract::*,
                 Duration Contract::*, bool Contract::*>;

struct Column {
  std::string m_Name;                   ///< In the CSV header and in JSON.
  ColumnField m_Field;                  ///< Member that the column fills.
  std::int64_t m_Min = 0;               ///< Of a number, or of a text's length.
  std::int64_t m_Max = 0;               ///< >= m_Min.
  std::optional<std::string> m_Default; ///< None: the column is required.
  std::string m_Meaning;                ///< Description for operators.
};

/// Value of a cell, independent of its notation in CSV and JSON.
using CellValue = std::variant<std::int64_t, std::string, bool>;

/// Returns all columns in the order of CSV output.
const std::vector<Column> &columns();

/// Returns the column called \p Name, or null.
const Column *findColumn(const std::string &Name);

/// Returns the cell of \p Row in \p Col; durations in milliseconds.
CellValue cellOf(const Contract &Row, const Column &Col);

/// Sets the cell of \p Row in \p Col; \p RowNumber counts from 1.
/// \throws TableCellError if \p Value has the wrong type or is out of range.
void setCell(Contract &Row, const Column &Col, const CellValue &Value,
             std::size_t RowNumber);

/// Parses \p Text in CSV notation and sets the cell of \p Row in \p Col.
/// \throws TableCellError.
void setCellText(Contract &Row, const Column &Col, const std::string &Text,
                 std::size_t RowNumber);

/// Returns \p Value in CSV notation.
std::string textOf(const CellValue &Value);

/// Returns a description of the column's allowed values, for error messages.
std::string allowedText(const Column &Col);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_COLUMN_H
