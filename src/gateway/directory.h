/// What a gateway serves by: the table in force and the upstreams.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_H
#define CROWSTEP_GATEWAY_DIRECTORY_H

#include "gateway/route_table.h"
#include "upstream_type.h"

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
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_H
