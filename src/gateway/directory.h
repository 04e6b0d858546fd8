/// What a gateway serves by: the table in force and the upstreams.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_H
#define CROWSTEP_GATEWAY_DIRECTORY_H

#include "gateway/route_table.h"
#include "upstream_type.h"

#include <vector>

namespace crowstep::gateway {

/// Hears what has changed.
class DirectoryListener {
public:
  virtual ~DirectoryListener() = default;

  /// A table of a higher version than any before.
  virtual void tableChanged(RouteTablePtr Table) = 0;

  /// The whole list of upstreams.
  virtual void upstreamsChanged(const std::vector<Upstream> &List) = 0;
};

/// Follows the place where operators and upstreams write.
class Directory {
public:
  virtual ~Directory() = default;

  /// Begins to follow; \p Listener outlives the directory.
  virtual void start(DirectoryListener &Listener) = 0;
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_H
