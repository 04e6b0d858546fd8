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

/// A customer, or an operator.
struct Workspace {
  WorkspaceId m_Id;        ///< Stable number.
  std::string m_Name;      ///< For operators and logs.
  std::string m_KeyHash;   ///< SHA-256 of its key, in hex.
  bool m_Operator = false; ///< May use the administration API.

  bool operator==(const Workspace &) const = default;
};

/// Reads the workspaces again and again; the last reading stays in use while
/// the table service is down.
class WorkspaceDirectory {
public:
  WorkspaceDirectory(Scheduler &Timers, platform::TableService &Store,
                     Duration Interval);

  void start() { read(); }

  /// Calls \p Job after each reading that changed anything.
  void onChange(std::function<void()> Job) { m_Changed = std::move(Job); }

  [[nodiscard]] const std::vector<Workspace> &workspaces() const {
    return m_Workspaces;
  }

  /// Returns the operator whose key is \p Key, or null.
  [[nodiscard]] const Workspace *operatorWith(const std::string &Key) const;

private:
  void read();

  platform::TableService &m_Store;     ///< Outlives this object.
  Duration m_Interval;                 ///< Between readings, > 0.
  Timer m_Timer;                       ///< For the next reading.
  std::vector<Workspace> m_Workspaces; ///< As last read.
  std::function<void()> m_Changed;     ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_WORKSPACE_DIRECTORY_H
