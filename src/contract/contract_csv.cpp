/// The operators' table as CSV, parsed and quoted by libcsv.
#include "contract/contract_column.h"
#include "contract/contract_error.h"
#include "contract/contract_func.h"

#include <csv.h>
#include <memory>
#include <set>

namespace crowstep::contract {

namespace {

using Record = std::vector<std::string>;

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/// Collects the fields and records that libcsv reports.
struct RecordCollector {
  std::vector<Record> m_Records; ///< Complete records.
  Record m_Current;              ///< The record being parsed.
};

void onField(void *Text, size_t Size, void *Data) {
  const char *Begin = Text == nullptr ? "" : static_cast<const char *>(Text);
  static_cast<RecordCollector *>(Data)->m_Current.emplace_back(Begin, Size);
}

void onRecord(int, void *Data) {
  auto *Collector = static_cast<RecordCollector *>(Data);
  Collector->m_Records.push_back(std::move(Collector->m_Current));
  Collector->m_Current.clear();
}

/// Spreadsheet programs separate the cells by semicolons in locales that use
/// the comma as decimal separator.
char delimiterOf(const std::string &Text) {
  const std::string Header = Text.substr(0, Text.find('\n'));
  return Header.find(',') == std::string::npos &&
                 Header.find(';') != std::string::npos
             ? ';'
             : ',';
}

std::vector<Record> parseRecords(const std::string &Text) {
  csv_parser Parser{};
  if (csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
    throw TableFormatError("no memory for the parser");
  const std::unique_ptr<csv_parser, decltype(&csv_free)> Owner(&Parser,
                                                               csv_free);
  csv_set_delim(&Parser, static_cast<unsigned char>(delimiterOf(Text)));
  RecordCollector Collector;
  if (csv_parse(&Parser, Text.data(), Text.size(), onField, onRecord,
                &Collector) != Text.size() ||
      csv_fini(&Parser, onField, onRecord, &Collector) != 0)
    throw TableFormatError(csv_strerror(csv_error(&Parser)));
  return std::move(Collector.m_Records);
}

std::vector<const Column *> readHeader(const Record &Header) {
  std::vector<const Column *> Result;
  std::set<std::string> Seen;
  for (const std::string &Name : Header) {
    const Column *Found = findColumn(Name);
    if (Found == nullptr)
      throw TableCellError(0, Name, Name, "a column of the table");
    if (!Seen.insert(Name).second)
      throw TableCellError(0, Name, Name, "each column once");
    Result.push_back(Found);
  }
  for (const Column &Col : columns())
    if (!Col.m_Default && !Seen.contains(Col.m_Name))
      throw TableCellError(0, Col.m_Name, "", "this column must be there");
  return Result;
}

Contract readRecord(const std::vector<const Column *> &Header,
                    const Record &Cells, std::size_t RowNumber) {
  if (Cells.size() != Header.size())
    throw TableCellError(RowNumber, Header.front()->m_Name, Cells.front(),
                         std::to_string(Header.size()) + " cells, not " +
                             std::to_string(Cells.size()));
  Contract Result;
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    const Column &Col = *Header[Index];
    const bool UseDefault = Cells[Index].empty() && Col.m_Default.has_value();
    setCellText(Result, Col, UseDefault ? *Col.m_Default : Cells[Index],
                RowNumber);
  }
  return Result;
}

std::string quoted(const std::string &Cell) {
  if (Cell.find_first_of(",;\"\r\n") == std::string::npos)
    return Cell;
  std::string Result(2 * Cell.size() + 2, '\0');
  Result.resize(
      csv_write(Result.data(), Result.size(), Cell.data(), Cell.size()));
  return Result;
}

} // namespace

std::string writeCsv(const ContractTable &Table) {
  std::string Result;
  for (const Column &Col : columns())
    Result += (Result.empty() ? "" : ",") + Col.m_Name;
  Result += '\n';
  for (const Contract &Row : Table.m_Contracts) {
    std::string Line;
    for (const Column &Col : columns())
      Line += (&Col == &columns().front() ? "" : ",") +
              quoted(textOf(cellOf(Row, Col)));
    Result += Line + '\n';
  }
  return Result;
}

ContractTable readCsv(const std::string &Text) {
  const bool HasMark = Text.starts_with(ByteOrderMark);
  const std::vector<Record> Records =
      parseRecords(HasMark ? Text.substr(ByteOrderMark.size()) : Text);
  if (Records.empty())
    throw TableFormatError("no header row");
  const std::vector<const Column *> Header = readHeader(Records.front());
  ContractTable Result;
  for (std::size_t Index = 1; Index < Records.size(); ++Index)
    Result.m_Contracts.push_back(readRecord(Header, Records[Index], Index));
  return Result;
}

} // namespace crowstep::contract
