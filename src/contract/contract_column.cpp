/// The columns of the operators' table, and access to their cells.
#include "contract/contract_column.h"

#include "contract/contract_error.h"

#include <algorithm>
#include <charconv>

namespace crowstep::contract {

namespace {

using std::chrono::milliseconds;

const std::optional<std::string> Required = std::nullopt;

/// Allows only characters that spreadsheet programs and shells do not
/// interpret. A text can't begin with - or /, so that no spreadsheet program
/// takes a cell for a formula.
bool isPlainText(const std::string &Text) {
  const auto IsAllowed = [](char Ch) {
    return (Ch >= 'a' && Ch <= 'z') || (Ch >= 'A' && Ch <= 'Z') ||
           (Ch >= '0' && Ch <= '9') ||
           std::string_view("-_./:").find(Ch) != std::string_view::npos;
  };
  return std::ranges::all_of(Text, IsAllowed) &&
         (Text.empty() ||
          std::string_view("-/").find(Text.front()) == std::string_view::npos);
}

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Result = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Result);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Result;
}

/// Accepts TRUE and FALSE too, as some spreadsheet programs convert a typed
/// yes or no into them.
std::optional<bool> parseFlag(const std::string &Text) {
  if (Text == "yes" || Text == "TRUE" || Text == "true")
    return true;
  if (Text == "no" || Text == "FALSE" || Text == "false")
    return false;
  return std::nullopt;
}

/// Reads a member as a cell.
struct CellGetter {
  const Contract &m_Row; ///< Read from.

  CellValue operator()(ClassId Contract::*Field) const {
    return std::int64_t{(m_Row.*Field).value()};
  }
  CellValue operator()(std::string Contract::*Field) const {
    return m_Row.*Field;
  }
  CellValue operator()(std::uint8_t Contract::*Field) const {
    return std::int64_t{m_Row.*Field};
  }
  CellValue operator()(std::uint32_t Contract::*Field) const {
    return std::int64_t{m_Row.*Field};
  }
  CellValue operator()(Duration Contract::*Field) const {
    return std::int64_t{
        std::chrono::duration_cast<milliseconds>(m_Row.*Field).count()};
  }
  CellValue operator()(bool Contract::*Field) const { return m_Row.*Field; }
};

/// Writes a cell into a member; returns false if the value has the wrong type
/// or is out of range.
struct CellSetter {
  Contract &m_Row;          ///< Written to.
  const Column &m_Column;   ///< For the range.
  const CellValue &m_Value; ///< Value to write.

  [[nodiscard]] bool inRange(std::int64_t Number) const {
    return Number >= m_Column.m_Min && Number <= m_Column.m_Max;
  }
  [[nodiscard]] std::optional<std::int64_t> number() const {
    const auto *Number = std::get_if<std::int64_t>(&m_Value);
    if (Number == nullptr || !inRange(*Number))
      return std::nullopt;
    return *Number;
  }
  template <typename Value> bool setNumber(Value &Member) const {
    const std::optional<std::int64_t> Number = number();
    if (Number)
      Member = Value(*Number);
    return Number.has_value();
  }

  bool operator()(ClassId Contract::*Field) const {
    std::uint16_t Id = 0;
    const bool IsValid = setNumber(Id);
    m_Row.*Field = ClassId(Id);
    return IsValid;
  }
  bool operator()(std::string Contract::*Field) const {
    const auto *Text = std::get_if<std::string>(&m_Value);
    if (Text == nullptr || !isPlainText(*Text) ||
        !inRange(static_cast<std::int64_t>(Text->size())))
      return false;
    m_Row.*Field = *Text;
    return true;
  }
  bool operator()(std::uint8_t Contract::*Field) const {
    return setNumber(m_Row.*Field);
  }
  bool operator()(std::uint32_t Contract::*Field) const {
    return setNumber(m_Row.*Field);
  }
  bool operator()(Duration Contract::*Field) const {
    milliseconds Time{};
    const bool IsValid = setNumber(Time);
    m_Row.*Field = Time;
    return IsValid;
  }
  bool operator()(bool Contract::*Field) const {
    const auto *Flag = std::get_if<bool>(&m_Value);
    if (Flag != nullptr)
      m_Row.*Field = *Flag;
    return Flag != nullptr;
  }
};

std::optional<CellValue> parseCell(const Column &Col, const std::string &Text) {
  if (std::holds_alternative<std::string Contract::*>(Col.m_Field))
    return Text;
  if (std::holds_alternative<bool Contract::*>(Col.m_Field))
    return parseFlag(Text);
  return parseNumber(Text);
}

} // namespace

const std::vector<Column> &columns() {
  static const std::vector<Column> All = {
#define CROWSTEP_COLUMN(Name, Member, Least, Greatest, Default, Meaning)       \
  {#Name, &Contract::Member, Least, Greatest, Default, Meaning},
#include "table/contract_columns.inc"
#undef CROWSTEP_COLUMN
  };
  return All;
}

const Column *findColumn(const std::string &Name) {
  const auto Found = std::ranges::find(columns(), Name, &Column::m_Name);
  return Found == columns().end() ? nullptr : &*Found;
}

CellValue cellOf(const Contract &Row, const Column &Col) {
  return std::visit(CellGetter{Row}, Col.m_Field);
}

void setCell(Contract &Row, const Column &Col, const CellValue &Value,
             std::size_t RowNumber) {
  if (!std::visit(CellSetter{Row, Col, Value}, Col.m_Field))
    throw TableCellError(RowNumber, Col.m_Name, textOf(Value),
                         allowedText(Col));
}

void setCellText(Contract &Row, const Column &Col, const std::string &Text,
                 std::size_t RowNumber) {
  const std::optional<CellValue> Value = parseCell(Col, Text);
  if (!Value)
    throw TableCellError(RowNumber, Col.m_Name, Text, allowedText(Col));
  setCell(Row, Col, *Value, RowNumber);
}

std::string textOf(const CellValue &Value) {
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return std::to_string(*Number);
  if (const auto *Flag = std::get_if<bool>(&Value))
    return *Flag ? "yes" : "no";
  return std::get<std::string>(Value);
}

std::string allowedText(const Column &Col) {
  const std::string Range =
      std::to_string(Col.m_Min) + " to " + std::to_string(Col.m_Max);
  if (std::holds_alternative<bool Contract::*>(Col.m_Field))
    return "yes or no";
  if (std::holds_alternative<std::string Contract::*>(Col.m_Field))
    return Range + " letters, digits and -_./: (not - or / first)";
  return "whole numbers from " + Range;
}

} // namespace crowstep::contract
