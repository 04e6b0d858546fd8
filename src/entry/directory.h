/// Table, upstreams and workspaces that an entry uses.
#ifndef CROWSTEP_ENTRY_DIRECTORY_H
#define CROWSTEP_ENTRY_DIRECTORY_H

#include "contract_type.h"
#include "upstream_type.h"
#include "workspace_type.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crowstep::entry {

/// A workspace and the hash of its key.
struct WorkspaceRow {
  WorkspaceId m_Id;      ///< Stable id.
  std::string m_KeyHash; ///< SHA-256 of the key, in hex.
};

/// The table in force, and the upstreams and workspaces that the home
/// dispatcher last sent.
class Directory {
public:
  /// Puts \p Table in force if its version is higher than the present one, and
  /// returns whether it did. The version never decreases, so that a dispatcher
  /// that lags behind can't undo an accepted change.
  bool setTable(ContractTable Table);
  void setUpstreams(std::vector<Upstream> Upstreams);
  void setWorkspaces(const std::vector<WorkspaceRow> &Workspaces);

  [[nodiscard]] const ContractTable &table() const { return m_Table; }
  [[nodiscard]] const std::vector<Upstream> &upstreams() const {
    return m_Upstreams;
  }

  /// Returns the row of the class, or null.
  [[nodiscard]] const Contract *contract(const std::string &Class) const;

  /// Returns whether any workspace is known. Until then a valid key can't be
  /// told from an unknown one.
  [[nodiscard]] bool hasWorkspaces() const {
    return !m_WorkspacesByKeyHash.empty();
  }

  /// Returns the workspace with the key \p Key, if any. Keys are looked up by
  /// hash: the entry stores no keys, and the time of a look-up reveals nothing
  /// about one.
  [[nodiscard]] std::optional<WorkspaceId>
  workspaceOf(const std::string &Key) const;

private:
  ContractTable m_Table;             ///< In force; the version only grows.
  std::vector<Upstream> m_Upstreams; ///< Of all services.
  std::unordered_map<std::string, WorkspaceId> m_WorkspacesByKeyHash; ///< Ids.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DIRECTORY_H
