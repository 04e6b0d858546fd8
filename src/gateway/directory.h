/// What a gateway serves by: the table in force and the upstreams.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_H
#define CROWSTEP_GATEWAY_DIRECTORY_H

#include "content_hash.h"
#include "core/strong_id.h"
#include "gateway/route_table.h"
#include "upstream_type.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crowstep::gateway {

/// Another instance, or this one.
struct PeerInstance {
  std::string m_Name;      ///< Of the instance.
  Address m_Address;       ///< Where it takes links.
  AvailabilityZone m_Zone; ///< Where it is.
  double m_Weight = 1;     ///< What its machine can bear, beside the others.
};

/// The instances that exist and what their links are authenticated by.
struct PeerList {
  std::string m_Key;                     ///< Shared secret of all instances.
  std::vector<PeerInstance> m_Instances; ///< In no order.
};

/// A version of the whole directory; each change has a higher one.
using DirectoryVersion = StrongId<struct DirectoryVersionTag, std::uint64_t>;

/// A row of one of the directory's tables.
struct DirectoryRow {
  std::string m_Key;          ///< Unique in its table.
  std::string m_Value;        ///< Decoded bytes; empty where it is gone.
  DirectoryVersion m_Version; ///< Of its last change.
  bool m_Gone = false;        ///< It was removed by that change.
};

/// Changes of one table, as an instance that has read them passes them on.
struct DirectoryUpdate {
  std::string m_Table;        ///< Its name.
  DirectoryVersion m_After;   ///< The rows hold all changes after this one ...
  DirectoryVersion m_Version; ///< ... up to this one.

  /// When the directory said that there are no others, by its own steady
  /// clock; none: it may have been long ago.
  std::optional<std::chrono::milliseconds> m_ReadAt;

  std::vector<DirectoryRow> m_Rows; ///< The newest of each key.
};

/// What an instance does for its zone in reading the directory.
enum class ReadingRole : std::uint8_t {
  Alone,    ///< Reads for itself only.
  Reader,   ///< Reads all the time, and passes on what it reads.
  Deputy,   ///< The same while the reader's updates stay away.
  Follower, ///< Reads for itself while the updates of both stay away.
};

/// Returns the stable name in logs, such as "reader".
std::string_view nameOf(ReadingRole Role);

/// Hears what has changed.
class DirectoryListener {
public:
  virtual ~DirectoryListener() = default;

  /// A table of a higher version than any before.
  virtual void tableChanged(RouteTablePtr Table) = 0;

  /// The whole list of upstreams.
  virtual void upstreamsChanged(const std::vector<Upstream> &List) = 0;

  /// The whole list of instances.
  virtual void peersChanged(const PeerList &List) = 0;

  /// The whole list of requests that crash upstreams.
  virtual void quarantineChanged(const std::set<ContentHash> &Listed) = 0;

  /// What was just read, for the instances of the own zone. Comes in the roles
  /// of reader and deputy only.
  virtual void directoryRead(const DirectoryUpdate &Update) = 0;
};

/// Follows the place where operators and upstreams write.
class Directory {
public:
  virtual ~Directory() = default;

  /// Begins to follow and lists this instance as \p Self; \p Listener
  /// outlives the directory.
  virtual void start(DirectoryListener &Listener, const PeerInstance &Self) = 0;

  /// Takes this instance off the list; nothing waits for it.
  virtual void leave() = 0;

  /// Lists a request that crashes upstreams, for instances that start later,
  /// or takes it off the list. Nothing tells whether that succeeded but the
  /// list itself.
  virtual void listQuarantined(const ContentHash &Request) = 0;
  virtual void unlistQuarantined(const ContentHash &Request) = 0;

  /// Sets what this instance does for its zone; at first it reads alone.
  virtual void setReadingRole(ReadingRole Role) = 0;

  /// Takes what another instance of the zone has read.
  virtual void passedOn(const DirectoryUpdate &Update) = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_H
