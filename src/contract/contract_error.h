/// Failures of the operators' table.
#ifndef CROWSTEP_CONTRACT_CONTRACT_ERROR_H
#define CROWSTEP_CONTRACT_CONTRACT_ERROR_H

#include "core/error.h"

namespace crowstep::contract {

/// A cell holds what it may not.
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
  std::size_t m_Row;    ///< 1 is the first row below the header.
  std::string m_Column; ///< As in the header.
};

/// The text is no table of a format that this build reads.
class TableFormatError : public Error {
public:
  explicit TableFormatError(const std::string &Why)
      : Error("not a table: " + Why) {}
};

/// The keeper of the table was set up wrongly.
class TableKeeperConfigError : public Error {
public:
  explicit TableKeeperConfigError(const std::string &Why)
      : Error("keeper of the table: " + Why) {}
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_CONTRACT_ERROR_H
