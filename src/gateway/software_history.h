/// Which software versions the upstreams of each service have had lately.
///
/// A caller that resumes a stream and does not name it can be served only where
/// nothing but one version can have begun it.
#ifndef CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H
#define CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H

#include "core/clock.h"
#include "upstream_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crowstep::gateway {

class SoftwareHistory {
public:
  /// A version counts for this long after its last upstream was removed: longer
  /// than a stream lasts that this upstream has begun.
  static constexpr Duration Memory = std::chrono::seconds(60);

  /// Records the whole list of upstreams.
  void record(const std::vector<Upstream> &List, TimePoint Now);

  /// Returns the version of all upstreams of \p Service in that time, as far as
  /// this instance has seen; none: there were several, or an unknown one.
  [[nodiscard]] std::optional<SoftwareVersion>
  soleVersionOf(const std::string &Service, TimePoint Now) const;

private:
  struct Seen {
    bool m_IsListed = false;   ///< In the last list.
    TimePoint m_RemovedAt{};   ///< Of the last one, unless it is listed.
    SoftwareVersion m_Version; ///< May be unknown.
  };

  std::map<std::string, std::map<std::string, Seen>>
      m_Services; ///< By service, then by text of the version.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H
