/// The operators' table with the data for its propagation and its history, as
/// stored in the row "current" of the table service and sent in frames.
#ifndef CROWSTEP_CONTRACT_TABLE_DOCUMENT_H
#define CROWSTEP_CONTRACT_TABLE_DOCUMENT_H

#include "contract_type.h"

#include <string>
#include <vector>

namespace crowstep::contract {

/// Identifies one commit, unique over all processes and for all time. If it is
/// in the row or its history, the commit has taken effect.
using CommitId = std::string;

/// Key of the only row of the table that is used.
inline constexpr const char *CurrentRowKey = "current";

/// Names of the instances of which more than half must confirm a version.
using Voters = std::vector<std::string>;

/// One change in the history.
struct CommitHeader {
  TableVersion m_Version; ///< That the change made.
  CommitId m_Commit;      ///< Identifies the change.
  std::string m_Operator; ///< Who requested it.
  std::string m_Time;     ///< Wall-clock time of the committing instance; for
                          ///< display only.

  bool operator==(const CommitHeader &) const = default;
};

/// One version of the table as committed and propagated.
struct TableDocument {
  ContractTable m_Table;         ///< Its version is that of the document.
  TableVersion m_EditedVersion;  ///< That last changed the rows; later versions
                                 ///< only replaced voters.
  CommitId m_Commit;             ///< Of this version.
  Voters m_Voters;               ///< Of this version.
  std::vector<Voters> m_Quorums; ///< Voters of each earlier version
                                 ///< that may still be in use.
  std::vector<CommitHeader> m_History; ///< Newest first; limited in length.

  [[nodiscard]] TableVersion version() const { return m_Table.m_Version; }

  bool operator==(const TableDocument &) const = default;
};

/// Returns whether \p Commit made \p Document or an earlier version that is
/// still in its history.
bool holdsCommit(const TableDocument &Document, const CommitId &Commit);

/// Returns the JSON text; readJson() can read the table from it.
std::string encodeDocument(const TableDocument &Value);

/// Decodes and validates. \throws TableFormatError, TableCellError.
TableDocument decodeDocument(const std::string &Text);

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_DOCUMENT_H
