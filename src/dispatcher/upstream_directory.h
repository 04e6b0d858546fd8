/// The upstreams and instances in the platform's list, with their drains.
///
/// The list lags and may be unavailable; the last one read stays in use. A
/// drain is a row in the table service, so that it holds on every instance.
#ifndef CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H
#define CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H

#include "core/scheduler.h"
#include "platform/platform_type.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crowstep::dispatcher {

/// Reads the instance list and the drains periodically.
class UpstreamDirectory {
public:
  /// The pause between readings is \p Interval. The first reading of the drains
  /// is delayed by the share \p Offset (0 to 1) of it, so that instances that
  /// start together don't read the drains together.
  UpstreamDirectory(Scheduler &Timers, platform::InstanceList &List,
                    platform::TableService &Store, Duration Interval,
                    double Offset);

  void start();

  /// Takes the upstreams that a peer has read, until the list is read here.
  void setFromPeer(std::vector<Upstream> FromPeer);

  /// Calls \p Job after each reading that changed the upstreams.
  void onChange(std::function<void()> Job) { m_Changed = std::move(Job); }

  /// Calls \p Job with the names of the listed instances after each reading.
  void
  onInstancesRead(std::function<void(const std::vector<std::string> &)> Job) {
    m_InstancesRead = std::move(Job);
  }

  /// Returns all upstreams; those with a drain are marked as draining too.
  [[nodiscard]] const std::vector<Upstream> &upstreams() const {
    return m_Upstreams;
  }

  /// Returns the upstreams of one service.
  [[nodiscard]] std::vector<Upstream>
  upstreamsOfService(const std::string &Service) const;

  /// Returns the name of the service whose pool \p Pool is, if there is one.
  [[nodiscard]] std::optional<std::string> serviceOf(PoolId Pool) const;

  /// Returns the pools of all services that have upstreams.
  [[nodiscard]] std::vector<PoolId> pools() const;

  /// Returns the upstream with this id, or null.
  [[nodiscard]] const Upstream *find(UpstreamId Id) const;

  /// Returns the link addresses of the listed instances, as hints for the
  /// membership.
  [[nodiscard]] std::vector<Address> dispatcherHints() const;

  /// Returns whether the instance \p Name has a drain or is listed as draining.
  [[nodiscard]] bool isInstanceDraining(const std::string &Name) const;

  /// Writes or deletes the drain of "upstream/NAME" or "instance/NAME". \p Done
  /// gets false if the write failed or its outcome is unknown. The row is read
  /// first, as another dispatcher may have changed it since the last reading;
  /// if it is in the wanted state, \p Done gets true and nothing is written.
  void setDrained(const std::string &Key, bool Drained,
                  std::function<void(bool Written)> Done);

private:
  void readList();
  void reportInstances() const;
  void readDrains();
  void writeDrain(const platform::RowWrite &Write,
                  std::function<void(bool)> Done);
  void rebuild();

  platform::InstanceList &m_List;      ///< Outlives this object.
  platform::TableService &m_Store;     ///< Outlives this object.
  Duration m_Interval;                 ///< Between readings, > 0.
  Duration m_FirstDrainDelay;          ///< Before the first reading of drains.
  Timer m_ListTimer;                   ///< For the next reading of the list.
  Timer m_DrainTimer;                  ///< For the next reading of drains.
  bool m_HasReadList = false;          ///< Read here, not from a peer.
  platform::InstanceListing m_Listing; ///< As last read, here or by a peer.
  std::set<std::string> m_Drains;      ///< Keys, as last read.
  std::vector<Upstream> m_Upstreams;   ///< Listing with drains applied.
  std::function<void(const std::vector<std::string> &)>
      m_InstancesRead;             ///< May be empty.
  std::function<void()> m_Changed; ///< May be empty.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_UPSTREAM_DIRECTORY_H
