/// Plain types for customers.
#ifndef CROWSTEP_WORKSPACE_TYPE_H
#define CROWSTEP_WORKSPACE_TYPE_H

#include "core/strong_id.h"

#include <string>

namespace crowstep {

/// Identifies a workspace; the number is in the platform's workspace rows.
using WorkspaceId = StrongId<struct WorkspaceTag, std::uint32_t>;

/// A customer, or an operator.
struct Workspace {
  WorkspaceId m_Id;        ///< Stable number.
  std::string m_Name;      ///< For operators and logs.
  std::string m_KeyHash;   ///< SHA-256 of its key, in hex.
  bool m_Operator = false; ///< May use the administration API.

  bool operator==(const Workspace &) const = default;
};

} // namespace crowstep

#endif // CROWSTEP_WORKSPACE_TYPE_H
