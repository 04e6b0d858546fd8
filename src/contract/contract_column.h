/// The columns of the operators' table as data.
///
/// src/table/contract_columns.inc names each column's member, range and
/// default once; readers, writers, validation and differences walk over it.
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

/// One column.
struct Column {
  std::string m_Name;                   ///< As in the CSV header and in JSON.
  ColumnField m_Field;                  ///< What it fills.
  std::int64_t m_Least = 0;             ///< Of the number, or of the length.
  std::int64_t m_Greatest = 0;          ///< >= m_Least.
  std::optional<std::string> m_Default; ///< None: the column must be there.
  std::string m_Meaning;                ///< For people.
};

/// What a cell holds, apart from how CSV and JSON write it.
using CellValue = std::variant<std::int64_t, std::string, bool>;

/// Returns all columns in the order in which CSV shows them.
const std::vector<Column> &columns();

/// Returns the column called \p Name, or null.
const Column *findColumn(const std::string &Name);

/// Returns what \p Row holds in \p Where; durations in milliseconds.
CellValue cellOf(const Contract &Row, const Column &Where);

/// Puts \p Value into \p Row; \p Number counts the rows from 1.
/// \throws TableCellError where the kind or the range is wrong.
void setCell(Contract &Row, const Column &Where, const CellValue &Value,
             std::size_t Number);

/// Reads \p Text as CSV holds it and puts it into \p Row.
/// \throws TableCellError.
void setCellText(Contract &Row, const Column &Where, const std::string &Text,
                 std::size_t Number);

/// Returns \p Value as CSV holds it.
std::string textOf(const CellValue &Value);

/// Returns what may stand in the column, for errors and documents.
std::string allowedText(const Column &Where);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_COLUMN_H
