/// Validates the operators' table and compares two tables.
#include "contract/contract_column.h"
#include "contract/contract_error.h"
#include "contract/contract_func.h"

#include <algorithm>
#include <set>

namespace crowstep::contract {

namespace {

/// Frames carry the whole table; this many rows are far below their limit.
constexpr std::size_t MaxRows = 1000;

void fail(const Contract &Row, const char *Name, std::size_t RowNumber,
          const std::string &Allowed) {
  const Column *Col = findColumn(Name);
  throw TableCellError(RowNumber, Name, textOf(cellOf(Row, *Col)), Allowed);
}

/// Checks every cell, as a table may come from code rather than a reader.
void checkCells(const Contract &Row, std::size_t RowNumber) {
  Contract Copy;
  for (const Column &Col : columns())
    setCell(Copy, Col, cellOf(Row, Col), RowNumber);
}

void checkRow(const Contract &Row, std::size_t RowNumber) {
  checkCells(Row, RowNumber);
  if (Row.m_TotalLimit < Row.m_FirstTokenTarget)
    fail(Row, "total_ms", RowNumber, "no less than first_token_ms");
  // A preempted call that may not be retried would have an unknown outcome.
  if (Row.m_Preemptible && !Row.m_Repeatable)
    fail(Row, "preemptible", RowNumber, "no, where repeatable is no");
}

const Contract *findRow(const ContractTable &Table, ClassId Id) {
  const auto Found = std::ranges::find(Table.m_Contracts, Id, &Contract::m_Id);
  return Found == Table.m_Contracts.end() ? nullptr : &*Found;
}

void addRowDifference(const Contract &Before, const Contract &After,
                      std::vector<std::string> &Lines) {
  for (const Column &Col : columns()) {
    const std::string Old = textOf(cellOf(Before, Col));
    const std::string New = textOf(cellOf(After, Col));
    if (Old == New)
      continue;
    std::string Line = Before.m_Name + "." + Col.m_Name;
    Line += ": " + Old;
    Line += " -> " + New;
    Lines.push_back(std::move(Line));
  }
}

std::vector<ClassId> commonIdsInOrder(const ContractTable &Table,
                                      const ContractTable &Other) {
  std::vector<ClassId> Result;
  for (const Contract &Row : Table.m_Contracts)
    if (findRow(Other, Row.m_Id) != nullptr)
      Result.push_back(Row.m_Id);
  return Result;
}

} // namespace

void validate(const ContractTable &Table) {
  std::set<ClassId> Ids;
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < Table.m_Contracts.size(); ++Index) {
    const Contract &Row = Table.m_Contracts[Index];
    const std::size_t RowNumber = Index + 1;
    checkRow(Row, RowNumber);
    if (!Ids.insert(Row.m_Id).second)
      fail(Row, "id", RowNumber, "each id once");
    if (!Names.insert(Row.m_Name).second)
      fail(Row, "class", RowNumber, "each class once");
    if (RowNumber > MaxRows)
      fail(Row, "id", RowNumber, std::to_string(MaxRows) + " rows");
  }
}

std::vector<std::string> difference(const ContractTable &Before,
                                    const ContractTable &After) {
  std::vector<std::string> Result;
  for (const Contract &Row : Before.m_Contracts)
    if (findRow(After, Row.m_Id) == nullptr)
      Result.push_back(Row.m_Name + ": removed");
  for (const Contract &Row : After.m_Contracts) {
    const Contract *Old = findRow(Before, Row.m_Id);
    if (Old == nullptr)
      Result.push_back(Row.m_Name + ": added");
    else
      addRowDifference(*Old, Row, Result);
  }
  if (commonIdsInOrder(Before, After) != commonIdsInOrder(After, Before))
    Result.emplace_back("order of the rows");
  return Result;
}

} // namespace crowstep::contract
