/// The row "current" of the table service and the frame that spreads it: the
/// operators' table with what its spread and its history need.
#ifndef CROWSTEP_CONTRACT_TABLE_DOCUMENT_H
#define CROWSTEP_CONTRACT_TABLE_DOCUMENT_H

#include "contract_type.h"

#include <string>
#include <vector>

namespace crowstep::contract {

/// Names one commit, in all processes and for ever. Who reads it back in the
/// row or its history knows that the commit took effect.
using CommitId = std::string;

/// Key of the only row that matters.
inline constexpr const char *CurrentRowKey = "current";

/// Names of the instances of which more than half must vouch for a version.
using Voters = std::vector<std::string>;

/// One change in the history.
struct CommitHeader {
  TableVersion m_Version; ///< Which version it made.
  CommitId m_Commit;      ///< Unique.
  std::string m_Operator; ///< Who asked for it.
  std::string m_Time;     ///< Wall clock of the committing instance; for
                          ///< people only.

  bool operator==(const CommitHeader &) const = default;
};

/// One version of the table as it is committed and spread.
struct TableDocument {
  ContractTable m_Table; ///< Its version is the document's.
  TableVersion m_Edited; ///< The version that last altered the rows; later
                         ///< ones only replaced voters.
  CommitId m_Commit;     ///< Of this version.
  Voters m_Voters;       ///< May vouch for this version.
  std::vector<Voters> m_Quorums;       ///< Voters of every earlier version
                                       ///< that may still be in use.
  std::vector<CommitHeader> m_History; ///< Newest first, the last few.

  [[nodiscard]] TableVersion version() const { return m_Table.m_Version; }

  bool operator==(const TableDocument &) const = default;
};

/// Returns whether \p Commit made \p Where or an earlier version of it that
/// its history still shows.
bool holdsCommit(const TableDocument &Where, const CommitId &Commit);

/// Returns the JSON text; readJson() reads the table in it.
std::string encodeDocument(const TableDocument &Value);

/// \throws TableFormatError, TableCellError.
TableDocument decodeDocument(const std::string &Text);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_DOCUMENT_H
