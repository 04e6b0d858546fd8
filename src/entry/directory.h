/// What an entry knows of the deployment: table, upstreams, workspaces.
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

/// A customer and the proof of its key.
struct WorkspaceRow {
  WorkspaceId m_Id;      ///< Stable number.
  std::string m_KeyHash; ///< SHA-256 of its key, in hex.
};

/// As the home dispatcher last told.
class Directory {
public:
  /// Puts \p Table in force unless a higher version is. A version never goes
  /// back: a dispatcher that lags must not undo an accepted change.
  bool setTable(ContractTable Table);
  void setUpstreams(std::vector<Upstream> Upstreams);
  void setWorkspaces(const std::vector<WorkspaceRow> &Workspaces);

  [[nodiscard]] const ContractTable &table() const { return m_Table; }
  [[nodiscard]] const std::vector<Upstream> &upstreams() const {
    return m_Upstreams;
  }

  /// Returns the row of the class, or null.
  [[nodiscard]] const Contract *contract(const std::string &Class) const;

  /// Returns whether any workspace is known. Before that no caller's key can be
  /// told from a wrong one.
  [[nodiscard]] bool knowsWorkspaces() const { return !m_ByKeyHash.empty(); }

  /// Returns the workspace whose key is \p Key. Keys are looked up by their
  /// hash: the entry keeps none, and the time taken tells nothing of one.
  [[nodiscard]] std::optional<WorkspaceId>
  workspaceOf(const std::string &Key) const;

private:
  ContractTable m_Table;             ///< In force; the version only grows.
  std::vector<Upstream> m_Upstreams; ///< All services'.
  std::unordered_map<std::string, WorkspaceId> m_ByKeyHash; ///< Workspaces.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_DIRECTORY_H
