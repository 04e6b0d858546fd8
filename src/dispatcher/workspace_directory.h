/// The workspaces and their keys' hashes, from the platform's table.
#ifndef CROWSTEP_DISPATCHER_WORKSPACE_DIRECTORY_H
#define CROWSTEP_DISPATCHER_WORKSPACE_DIRECTORY_H

#include "core/scheduler.h"
#include "platform/platform_type.h"
#include "workspace_type.h"

#include <functional>
#include <string>
#include <vector>

namespace crowstep::dispatcher {

/// Reads the workspaces periodically; the last reading stays in use while the
/// table service is unavailable.
class WorkspaceDirectory {
public:
  WorkspaceDirectory(Scheduler &Timers, platform::TableService &Store,
                     Duration Interval);

  void start() { read(); }

  /// Takes the workspaces that a peer has read, until the table is read here:
  /// an instance that starts while the table service is unavailable must know
  /// its callers' keys.
  void setFromPeer(std::vector<Workspace> FromPeer);

  /// Calls \p Job after each reading that changed the workspaces.
  void onChange(std::function<void()> Job) { m_Changed = std::move(Job); }

  [[nodiscard]] const std::vector<Workspace> &workspaces() const {
    return m_Workspaces;
  }

  /// Returns the operator whose key is \p Key, or null.
  [[nodiscard]] const Workspace *findOperator(const std::string &Key) const;

private:
  void read();
  void replace(std::vector<Workspace> Updated);

  platform::TableService &m_Store;     ///< Outlives this object.
  Duration m_Interval;                 ///< Between readings, > 0.
  Timer m_Timer;                       ///< For the next reading.
  bool m_HasRead = false;              ///< Read here, not from a peer.
  std::vector<Workspace> m_Workspaces; ///< As last read, here or by a peer.
  std::function<void()> m_Changed;     ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_WORKSPACE_DIRECTORY_H
