/// Plain types of duties: calls to the platform that one instance at a time
/// makes for all.
#ifndef CROWSTEP_DUTY_DUTY_TYPE_H
#define CROWSTEP_DUTY_DUTY_TYPE_H

#include "core/clock.h"
#include "instance_type.h"
#include "lease/lease_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace crowstep::duty {

/// Number of a usage window: window k begins k window lengths after the start
/// of 1970.
using UsageWindow = StrongId<struct UsageWindowTag, std::uint64_t>;

/// Requests that upstreams began, by workspace.
using WorkspaceCounts = std::map<std::string, std::uint64_t>;

/// The usage of one window, over all instances.
struct UsageReport {
  UsageWindow m_Window;     ///< Has ended.
  WorkspaceCounts m_Counts; ///< Workspaces without requests are left out.

  bool operator==(const UsageReport &) const = default;
};

/// The number of engines that is wanted of a service in a zone.
struct CapacityOrder {
  std::string m_Service;   ///< Of the engines.
  AvailabilityZone m_Zone; ///< Where they run.
  bool m_Spot = false;     ///< Of the kind that may be reclaimed.
  unsigned m_Count = 0;    ///< Of this kind, those that run included.

  bool operator==(const CapacityOrder &) const = default;
};

/// What every call for a duty carries.
struct DutyCall {
  std::string m_Instance;          ///< Name of the holder's instance.
  lease::FencingNumber m_Fencing;  ///< Of the holder's lease.
  Duration m_Timeout{};            ///< Ends within the lease's validity.
  std::function<bool()> m_MaySend; ///< Last check before the first byte.
};

/// How a call for a duty ended.
enum class DutyOutcome : std::uint8_t {
  Accepted,    ///< The platform has taken it.
  Unavailable, ///< Nothing of the kind can be had at the moment.
  Throttled,   ///< Rejected because of too many calls; no effect.
  Fenced,      ///< Rejected: a holder with a higher number has called.
  Rejected,    ///< Rejected for its content; no effect, now or later.
  Uncertain,   ///< No readable answer; it may have taken effect.
};

/// Returns the stable name in logs and metrics, such as "accepted".
std::string_view nameOf(DutyOutcome Outcome);

/// The platform's side of the duties; mocked in tests.
class DutyPlatform {
public:
  using Done = std::function<void(DutyOutcome)>;
  virtual ~DutyPlatform() = default;

  /// Reports the usage of a window. An exact repeat has no further effect.
  virtual void reportUsage(const DutyCall &Call, const UsageReport &Report,
                           Done OnDone) = 0;

  /// Orders a number of engines. A repeat has no further effect.
  virtual void orderCapacity(const DutyCall &Call, const CapacityOrder &Order,
                             Done OnDone) = 0;
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_TYPE_H
