/// The directory: route table in force, upstreams, instances and quarantine.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_H
#define CROWSTEP_GATEWAY_DIRECTORY_H

#include "content_hash.h"
#include "core/strong_id.h"
#include "gateway/route_table.h"
#include "gateway/software_history.h"
#include "upstream_type.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep::gateway {

/// An instance, this one included.
struct PeerInstance {
  std::string m_Name;      ///< Of the instance.
  Address m_Address;       ///< For links from other instances.
  AvailabilityZone m_Zone; ///< Of the instance.
  double m_Weight = 1;     ///< Capacity relative to others.
  Address m_RelayAddress;  ///< For calls of other instances; none: it carries
                           ///< none.
};

/// The listed instances and the key that authenticates their links.
struct PeerList {
  std::string m_Key;                     ///< Shared secret of all instances.
  std::vector<PeerInstance> m_Instances; ///< In any order.
};

/// Version of the whole directory; it increases with each change.
using DirectoryVersion = StrongId<struct DirectoryVersionTag, std::uint64_t>;

/// Era of the directory's content: rises each time that the directory comes
/// back from an older copy. Versions are then given out again, so those of
/// different eras can't be compared.
using DirectoryEra = StrongId<struct DirectoryEraTag, std::uint64_t>;

/// A row of one of the directory's tables.
struct DirectoryRow {
  std::string m_Key;          ///< Unique in its table.
  std::string m_Value;        ///< Decoded bytes; empty if removed.
  DirectoryVersion m_Version; ///< Of its last change.
  bool m_Removed = false;     ///< That change removed it.

  /// Nobody removed it: the directory came back from a copy without it.
  bool m_IsLost = false;
};

/// Changes of one table, as sent by an instance that has read them.
struct DirectoryUpdate {
  std::string m_Table;        ///< Its name.
  DirectoryVersion m_After;   ///< The rows hold all changes after this one ...
  DirectoryVersion m_Version; ///< ... up to this one.

  /// When the directory stated that there are no other changes, by its own
  /// steady clock; none: unknown, perhaps long ago.
  std::optional<std::chrono::milliseconds> m_ReadAt;

  std::vector<DirectoryRow> m_Rows; ///< The latest of each key.

  std::optional<DirectoryEra> m_Era; ///< Of the versions; none: not stated.
};

/// Role of an instance in reading the directory for its near peers: those of
/// its zone, or all in a fleet without hubs.
enum class ReadingRole : std::uint8_t {
  Alone,    ///< Reads for itself only.
  Reader,   ///< Reads continuously and sends the others what it reads.
  Deputy,   ///< Does the same while the reader sends no updates.
  Follower, ///< Reads for itself while neither of them sends updates.
};

/// Returns the stable name in logs, such as "reader".
std::string_view nameOf(ReadingRole Role);

/// Receives changes of the directory.
class DirectoryListener {
public:
  virtual ~DirectoryListener() = default;

  /// A table with a higher version than any before.
  virtual void tableChanged(RouteTablePtr Table) = 0;

  /// The whole list of upstreams.
  virtual void upstreamsChanged(const std::vector<Upstream> &List) = 0;

  /// The whole list of instances.
  virtual void peersChanged(const PeerList &List) = 0;

  /// The whole list of quarantined requests and segments.
  virtual void quarantineChanged(const std::set<ContentHash> &Listed) = 0;

  /// The whole register of software versions, also if it is empty, once the
  /// directory has been read and whenever instances or versions change.
  virtual void softwareRegistered(const ServiceVersions &Registered) = 0;

  /// Changes just read, to be sent to the near peers. Called in the roles of
  /// reader and deputy only.
  virtual void updateRead(const DirectoryUpdate &Update) = 0;
};

/// Follows the store that operators and upstreams write to.
class Directory {
public:
  virtual ~Directory() = default;

  /// Starts following and lists this instance as \p Self; \p Listener
  /// outlives the directory.
  virtual void start(DirectoryListener &Listener, const PeerInstance &Self) = 0;

  /// Removes this instance from the list; does not wait for the result.
  virtual void deregister() = 0;

  /// Lists a request or a segment that crashes upstreams, for instances that
  /// start later, or removes it from the list. Only the list itself shows
  /// whether that succeeded.
  virtual void listQuarantined(const ContentHash &Suspect) = 0;
  virtual void unlistQuarantined(const ContentHash &Suspect) = 0;

  /// Adds a software version of a service to the register, or removes it. An
  /// empty \p Text stands for an unknown version. Only the register itself
  /// shows whether that succeeded.
  virtual void registerSoftware(const std::string &Service,
                                const std::string &Text) = 0;
  virtual void unregisterSoftware(const std::string &Service,
                                  const std::string &Text) = 0;

  /// Returns whether the register is as new as the directory's readers get it;
  /// an instance that is cut off from the store doesn't learn of new versions.
  [[nodiscard]] virtual bool isRegisterCurrent() const { return true; }

  /// Callback that its owner releases to cancel it, also from within.
  using ConfirmCallback = std::shared_ptr<std::function<void()>>;

  /// Reads the register and the list of upstreams from the store, with calls
  /// that begin after this one. \p OnDone runs once, not within this call, when
  /// both have been answered and reported, unless it was released before.
  virtual void confirmSoftware(const ConfirmCallback &OnDone) = 0;

  /// Returns a time at which the list of upstreams was complete; none: not
  /// known.
  [[nodiscard]] virtual std::optional<TimePoint> upstreamsReadAt() const {
    return std::nullopt;
  }

  /// Sets the role of this instance; Alone at first.
  virtual void setReadingRole(ReadingRole Role) = 0;

  /// Takes an update that a reader has read.
  virtual void receiveUpdate(const DirectoryUpdate &Update) = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_H
