/// Which workspaces send many more calls than others.
#ifndef CROWSTEP_WAITING_WORKSPACE_LOADS_H
#define CROWSTEP_WAITING_WORKSPACE_LOADS_H

#include "waiting/backlog.h"

#include <string>

namespace crowstep::waiting {

/// Recent calls that arrived at this instance, by service and workspace. Each
/// instance gets a share of all workspaces' calls, so that no message about
/// them is needed.
class WorkspaceLoads {
public:
  /// Time constant: long enough for some calls of each workspace where an
  /// instance gets one call a second.
  static constexpr Duration Window = std::chrono::seconds(10);

  void recordArrival(PoolId Pool, const std::string &Workspace, TimePoint Now);

  /// Returns whether a workspace sends more than twice as many calls as the
  /// others do on average; false while there are too few to tell.
  [[nodiscard]] bool isHeavy(PoolId Pool, const std::string &Workspace,
                             TimePoint Now);

private:
  /// Decayed count of arrivals.
  struct Count {
    double m_Sum = 0; ///< At m_At.
    TimePoint m_At;   ///< Last change.
  };

  using Counts = std::unordered_map<std::string, Count>;

  static double at(const Count &Arrivals, TimePoint Now);

  std::unordered_map<PoolId, Counts> m_Counts; ///< By service and workspace.
};

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_WORKSPACE_LOADS_H
