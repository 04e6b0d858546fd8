/// For which services calls wait by prediction.
#ifndef CROWSTEP_WAITING_WAIT_POLICY_H
#define CROWSTEP_WAITING_WAIT_POLICY_H

#include "speed/speed_view.h"
#include "waiting/call_wait.h"
#include "waiting/workspace_loads.h"

#include <memory>

namespace crowstep::waiting {

class WaitPolicy {
public:
  /// Both outlive this object.
  WaitPolicy(const speed::SpeedView &Speeds, Backlog &Waiting)
      : m_Speeds(Speeds), m_Backlog(Waiting) {}

  /// Returns the wait of a call; null if the calls of its service don't wait by
  /// prediction, or it has no latency target.
  [[nodiscard]] std::unique_ptr<CallWait> begin(const CallFacts &Facts) const {
    if (!m_Speeds.isActive(Facts.m_Pool) || Facts.m_Target <= Duration::zero())
      return nullptr;
    return std::make_unique<CallWait>(m_Backlog, Facts);
  }

  /// Returns the waiting calls of all instances.
  [[nodiscard]] Backlog &backlog() const { return m_Backlog; }

  /// Returns which workspaces' calls arrive here.
  [[nodiscard]] WorkspaceLoads &workspaces() { return m_Workspaces; }

private:
  const speed::SpeedView &m_Speeds; ///< States where the policy is active.
  Backlog &m_Backlog;               ///< Of all instances.
  WorkspaceLoads m_Workspaces;      ///< Of this instance.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_WAIT_POLICY_H
