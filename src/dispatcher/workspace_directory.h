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

/// Reads the workspaces again and again; the last reading stays in use while
/// the table service is down.
class WorkspaceDirectory {
public:
  WorkspaceDirectory(Scheduler &Timers, platform::TableService &Store,
                     Duration Interval);

  void start() { read(); }

  /// Takes what a peer has read, while nothing was read here yet: an instance
  /// that starts while the table service is down must know its callers' keys.
  void learn(std::vector<Workspace> FromPeer);

  /// Calls \p Job after each reading that changed anything.
  void onChange(std::function<void()> Job) { m_Changed = std::move(Job); }

  [[nodiscard]] const std::vector<Workspace> &workspaces() const {
    return m_Workspaces;
  }

  /// Returns the operator whose key is \p Key, or null.
  [[nodiscard]] const Workspace *operatorWith(const std::string &Key) const;

private:
  void read();
  void replace(std::vector<Workspace> Updated);

  platform::TableService &m_Store;     ///< Outlives this object.
  Duration m_Interval;                 ///< Between readings, > 0.
  Timer m_Timer;                       ///< For the next reading.
  bool m_HasRead = false;              ///< From the table service itself.
  std::vector<Workspace> m_Workspaces; ///< As last read or learned.
  std::function<void()> m_Changed;     ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_WORKSPACE_DIRECTORY_H
