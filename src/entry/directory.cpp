/// Updates and look-ups of table, upstreams and workspaces.
#include "entry/directory.h"

#include "core/digest.h"

#include <algorithm>

namespace crowstep::entry {

bool Directory::setTable(ContractTable Table) {
  if (Table.m_Version <= m_Table.m_Version)
    return false;
  m_Table = std::move(Table);
  return true;
}

void Directory::setUpstreams(std::vector<Upstream> Upstreams) {
  m_Upstreams = std::move(Upstreams);
}

void Directory::setWorkspaces(const std::vector<WorkspaceRow> &Workspaces) {
  m_WorkspacesByKeyHash.clear();
  for (const WorkspaceRow &Row : Workspaces)
    if (!Row.m_KeyHash.empty())
      m_WorkspacesByKeyHash.emplace(Row.m_KeyHash, Row.m_Id);
}

const Contract *Directory::contract(const std::string &Class) const {
  const auto Found =
      std::find_if(m_Table.m_Contracts.begin(), m_Table.m_Contracts.end(),
                   [&](const Contract &Row) { return Row.m_Name == Class; });
  return Found == m_Table.m_Contracts.end() ? nullptr : &*Found;
}

std::optional<WorkspaceId>
Directory::workspaceOf(const std::string &Key) const {
  const auto Found = m_WorkspacesByKeyHash.find(sha256Hex(Key));
  if (Found == m_WorkspacesByKeyHash.end())
    return std::nullopt;
  return Found->second;
}

} // namespace crowstep::entry
