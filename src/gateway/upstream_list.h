/// The upstreams by name, and those that are used although their entry is gone.
///
/// Upstreams renew their entries in the directory. While the directory is away
/// they can't, and their entries lapse: at its return all of them would be gone
/// although they live. But an entry also goes when its upstream leaves, and an
/// instance that can't reach the directory can't tell whether the directory or
/// only its own way to it was gone. Both promises hold if an upstream without
/// an entry is used for a time that is counted from the last moment at which
/// the directory is known to have been out of reach. That moment is not after
/// its return, so the time is over before the instance must be up to date; and
/// as the instance asks often, it is not long before it either.
#ifndef CROWSTEP_GATEWAY_UPSTREAM_LIST_H
#define CROWSTEP_GATEWAY_UPSTREAM_LIST_H

#include "core/clock.h"
#include "upstream_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace crowstep::gateway {

class UpstreamList {
public:
  /// An instance that can reach the directory again must be up to date after
  /// \p Settle.
  explicit UpstreamList(Duration Settle) : m_Settle(Settle) {}

  /// There is an entry of the upstream of that name.
  void listed(const Upstream &Each);

  /// The entry of \p Name can't be read and names no upstream.
  void unreadable(const std::string &Name);

  /// The entry of \p Name is gone. The directory was out of reach last at
  /// \p OutOfReach. Returns whether the upstream is used for now.
  bool gone(const std::string &Name, TimePoint OutOfReach, TimePoint Now);

  /// Drops the upstreams without an entry if their time is over, and returns
  /// their names.
  std::vector<std::string> dropMissing(TimePoint OutOfReach, TimePoint Now);

  /// Returns until when upstreams without an entry are used.
  [[nodiscard]] TimePoint keptUntil(TimePoint OutOfReach) const;

  /// Returns how many are used without an entry.
  [[nodiscard]] std::size_t missing() const { return m_Missing.size(); }

  /// Returns all that may be used, and those that are leaving.
  [[nodiscard]] std::vector<Upstream> all() const;

private:
  Duration m_Settle;                        ///< See the constructor.
  std::map<std::string, Upstream> m_ByName; ///< Listed or missing.
  std::set<std::string> m_Missing;          ///< Without an entry.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_UPSTREAM_LIST_H
