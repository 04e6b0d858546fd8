/// Which software versions the upstreams of each service have had lately.
///
/// A stream whose origin no instance knows can be continued only where nothing
/// but one version can have begun it. What this instance has seen itself isn't
/// enough for that: all instances may have been lost since the stream began. So
/// the store has a register of the versions, which outlives them.
#ifndef CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H
#define CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H

#include "core/clock.h"
#include "upstream_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crowstep::gateway {

/// Software versions of one service, by their text; the empty text stands for
/// an unknown version.
using VersionTexts = std::set<std::string>;

/// Software versions by service.
using ServiceVersions = std::map<std::string, VersionTexts>;

class SoftwareHistory {
public:
  /// A version counts for this long after its last upstream was removed: longer
  /// than a stream lasts that this upstream has begun.
  static constexpr Duration Memory = std::chrono::seconds(60);

  /// Records the whole list of upstreams.
  void record(const std::vector<Upstream> &List, TimePoint Now);

  /// Records that a stream of \p Service has begun at a process whose version
  /// isn't known.
  void recordUnproven(const std::string &Service, TimePoint Now);

  /// Records the whole register, and marks it as read.
  void setRegister(ServiceVersions Registered, TimePoint Now);

  [[nodiscard]] bool isRegisterRead() const { return m_IsRegisterRead; }

  /// Returns the register; empty until it was read.
  [[nodiscard]] const ServiceVersions &registered() const {
    return m_Registered;
  }
  [[nodiscard]] bool isRegistered(const std::string &Service,
                                  const std::string &Text) const;

  /// Returns the versions of all services that this instance has itself seen
  /// within the last Memory, the listed ones included.
  [[nodiscard]] ServiceVersions seenVersions(TimePoint Now) const;

  /// Returns the registered versions of which this instance has seen no
  /// upstream for Memory, all of which it must have been running and have known
  /// of their rows.
  [[nodiscard]] ServiceVersions disusedVersions(TimePoint Now) const;

  /// Returns the services of which several known versions count as in service:
  /// those that were seen, and the registered ones that are not disused. One
  /// process that can't prove its version must not make all streams of its
  /// service be archived.
  [[nodiscard]] std::set<std::string> mixedServices(TimePoint Now) const;

  /// Returns the version that alone can have begun a stream of \p Service; none
  /// if the register wasn't read, doesn't hold it, or if the register or this
  /// instance knows of another or an unknown one.
  [[nodiscard]] std::optional<SoftwareVersion>
  soleVersionOf(const std::string &Service, TimePoint Now) const;

private:
  struct Seen {
    bool m_IsListed = false; ///< In the last list.
    TimePoint m_LastAt{};    ///< When it was seen last, unless it is listed.
  };

  [[nodiscard]] static bool isRecent(const Seen &Known, TimePoint Now) {
    return Known.m_IsListed || Now - Known.m_LastAt < Memory;
  }

  std::map<std::string, std::map<std::string, Seen>>
      m_Services;                ///< By service, then by text of the version.
  ServiceVersions m_Registered;  ///< As read last.
  bool m_IsRegisterRead = false; ///< setRegister() was called.
  std::map<std::pair<std::string, std::string>, TimePoint>
      m_RegisteredSince; ///< Of m_Registered: when each row was read first.
  std::optional<TimePoint> m_FirstListAt; ///< When a list was read first.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_SOFTWARE_HISTORY_H
