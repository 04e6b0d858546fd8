/// Errors in the operators' table and its settings.
#ifndef CROWSTEP_CONTRACT_CONTRACT_ERROR_H
#define CROWSTEP_CONTRACT_CONTRACT_ERROR_H

#include "core/error.h"

namespace crowstep::contract {

/// A cell holds a value that its column does not allow.
class TableCellError : public Error {
public:
  TableCellError(std::size_t Row, const std::string &Column,
                 const std::string &Value, const std::string &Allowed)
      : Error("row " + std::to_string(Row) + ", column " + Column + ": '" +
              Value + "': allowed: " + Allowed),
        m_Row(Row), m_Column(Column) {}

  [[nodiscard]] std::size_t row() const { return m_Row; }
  [[nodiscard]] const std::string &column() const { return m_Column; }

private:
  std::size_t m_Row;    ///< 0: the header; 1: the first row below it.
  std::string m_Column; ///< As in the header.
};

/// The text is not a table in a format that this build reads.
class TableFormatError : public Error {
public:
  explicit TableFormatError(const std::string &Reason)
      : Error("not a table: " + Reason) {}
};

/// The configuration of a TableKeeper is invalid.
class TableKeeperConfigError : public Error {
public:
  explicit TableKeeperConfigError(const std::string &Reason)
      : Error("table keeper: " + Reason) {}
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_ERROR_H
