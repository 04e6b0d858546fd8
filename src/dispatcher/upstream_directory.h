/// What this dispatcher knows of upstreams: the platform's list and drains.
///
/// The list lags and may be down; the last one read stays in use. A drain is a
/// row in the table service, so that it holds on every instance.
#ifndef CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H
#define CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H

#include "core/scheduler.h"
#include "platform/platform_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crowstep::dispatcher {

/// Reads the instance list and the drains again and again.
class UpstreamDirectory {
public:
  /// Reads every \p Interval, spread by \p Spread (0 to 1) so that instances
  /// that start together don't read together.
  UpstreamDirectory(Scheduler &Timers, platform::InstanceList &List,
                    platform::TableService &Store, Duration Interval,
                    double Offset);

  void start();

  /// Takes what a peer has read, while nothing was read here yet.
  void learn(std::vector<Upstream> FromPeer);

  /// Calls \p Job after each reading that changed anything.
  void onChange(std::function<void()> Job) { m_Changed = std::move(Job); }

  /// Calls \p Job with the names of the listed instances after each reading.
  void onInstances(std::function<void(const std::vector<std::string> &)> Job) {
    m_Instances = std::move(Job);
  }

  /// Returns all upstreams; the drained and leaving ones are marked leaving.
  [[nodiscard]] const std::vector<Upstream> &upstreams() const {
    return m_Upstreams;
  }

  /// Returns the upstreams of one service.
  [[nodiscard]] std::vector<Upstream>
  ofService(const std::string &Service) const;

  /// Returns the name of the service whose pool \p Pool is, if there is one.
  [[nodiscard]] std::optional<std::string> serviceOf(PoolId Pool) const;

  /// Returns the pools of all services known.
  [[nodiscard]] std::vector<PoolId> pools() const;

  /// Returns the upstream with this id, or null.
  [[nodiscard]] const Upstream *find(UpstreamId Id) const;

  /// Returns the links of the instances listed, as hints for the membership.
  [[nodiscard]] std::vector<Address> dispatcherHints() const;

  /// Returns whether the instance \p Name is drained or listed as leaving.
  [[nodiscard]] bool instanceDrained(const std::string &Name) const;

  /// Writes or deletes the drain of "upstream/NAME" or "instance/NAME". \p Done
  /// gets false if the write failed or its outcome is unknown. If the last
  /// reading shows the wanted state, \p Done gets true and nothing is written.
  void setDrained(const std::string &Key, bool Drained,
                  std::function<void(bool Written)> Done);

private:
  void readList();
  void tellInstances() const;
  void readDrains();
  void rebuild();

  platform::InstanceList &m_List;      ///< Outlives this object.
  platform::TableService &m_Store;     ///< Outlives this object.
  Duration m_Interval;                 ///< Between readings, > 0.
  Duration m_FirstDelay;               ///< Before the first drains are read.
  Timer m_ListTimer;                   ///< For the next reading of the list.
  Timer m_DrainTimer;                  ///< For the next reading of drains.
  bool m_HasRead = false;              ///< From the list itself.
  platform::InstanceListing m_Listing; ///< As last read or learned.
  std::map<std::string, platform::RowVersion> m_Drains; ///< Rows present.
  std::vector<Upstream> m_Upstreams; ///< Listing and drains together.
  std::function<void(const std::vector<std::string> &)>
      m_Instances;                 ///< May be empty.
  std::function<void()> m_Changed; ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H
