/// The upstreams by name, and those in use although they are no longer listed.
///
/// Upstreams renew their entries in the directory. During an outage of the
/// directory they can't, and their entries expire: at its end all of them would
/// be removed although they are up. But an entry is also removed when its
/// upstream shuts down, and an instance that can't reach the directory can't
/// tell whether the directory or only its own connection to it failed.
/// Upstreams that are up stay in use and others don't, if an upstream without
/// an entry is used for a time that is counted from the last moment at which
/// the directory is known to have been unreachable. That moment is not after
/// the end of the outage, so the time is over before the instance must be up to
/// date; and as the instance calls often, it is not long before that end
/// either.
///
/// A second outage extends this time only if most upstreams of the service have
/// no entry, as it keeps them from renewing theirs. If most have one, the first
/// outage did not let entries expire, and an upstream without one has left.
#ifndef CROWSTEP_GATEWAY_UPSTREAM_LIST_H
#define CROWSTEP_GATEWAY_UPSTREAM_LIST_H

#include "core/clock.h"
#include "upstream_type.h"

#include <map>
#include <string>
#include <vector>

namespace crowstep::gateway {

class UpstreamList {
public:
  /// An instance that can reach the directory again must be up to date within
  /// \p Settle.
  explicit UpstreamList(Duration Settle) : m_SettleTime(Settle) {}

  /// Records that the upstream has an entry. The software version of a process
  /// never changes: an entry without one doesn't clear it, and one with another
  /// makes it unknown for good.
  void setListed(const Upstream &Entry);

  /// Removes \p Name, whose entry can't be parsed.
  void remove(const std::string &Name);

  /// Records that \p Name has no entry any more. The directory was last
  /// unreachable at \p OutOfReach. Returns whether the upstream stays in use
  /// for now.
  bool setUnlisted(const std::string &Name, TimePoint OutOfReach,
                   TimePoint Now);

  /// Removes the upstreams without an entry if their time is over, and returns
  /// them.
  std::vector<Upstream> dropUnlisted(TimePoint OutOfReach, TimePoint Now);

  /// Returns when dropUnlisted() will remove the next one, as far as is known
  /// now; TimePoint::max() if there is none to remove.
  [[nodiscard]] TimePoint nextDropAt(TimePoint OutOfReach) const;

  /// Returns how many upstreams are used without an entry.
  [[nodiscard]] std::size_t unlistedCount() const { return m_Unlisted.size(); }

  /// Returns all upstreams that may be used, and those that are draining.
  [[nodiscard]] std::vector<Upstream> all() const;

private:
  [[nodiscard]] TimePoint keptUntil(TimePoint OutOfReach) const;
  [[nodiscard]] TimePoint dropAt(const std::string &Name,
                                 TimePoint OutOfReach) const;
  [[nodiscard]] bool areMostListed(const std::string &Service) const;

  Duration m_SettleTime;                    ///< See the constructor.
  std::map<std::string, Upstream> m_ByName; ///< With or without an entry.
  std::map<std::string, TimePoint>
      m_Unlisted; ///< Without an entry: until when it is used if no other
                  ///< outage follows.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_UPSTREAM_LIST_H
