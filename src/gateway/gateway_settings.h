/// The gateway's settings.
#ifndef CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H
#define CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H

#include "balance/retry_budget.h"
#include "core/settings.h"
#include "duty/duty_settings.h"
#include "speed/speed_type.h"

namespace crowstep::gateway {

struct GatewaySettings {
  std::string m_Name;      ///< Of the instance.
  AvailabilityZone m_Zone; ///< Of the instance.
  double m_Weight = 1;     ///< Capacity relative to others.
  Address m_ListenAddress; ///< For callers.
  Address m_LinkAddress;   ///< For the other instances.
  Address m_RelayAddress;  ///< For calls of other instances; none: no relays.
  Address m_SourceAddress; ///< Upstreams are called from it; none: any.
  Address m_ProbeAddress;  ///< For readiness and metrics.
  std::string m_ReadinessPath;   ///< Answers 200 while ready.
  Duration m_GracePeriod{};      ///< From SIGTERM to SIGKILL.
  std::size_t m_Descriptors = 0; ///< File descriptors that it may open.
  std::size_t m_MemoryBytes = 0; ///< That it may use; 0: not stated.
  balance::RetryBudgetSettings m_RetryBudget; ///< Shared by all instances.
  speed::LearnSpeed m_LearnSpeed = speed::LearnSpeed::Stated; ///< Of upstreams.

  /// Calls of services whose speeds are learned wait by prediction.
  bool m_WaitsByPrediction = false;
  std::optional<duty::DutySettings> m_Duties; ///< None: the platform has none.
};

/// Reads the settings of a gateway. \throws SettingError.
GatewaySettings readGatewaySettings(Settings &File);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H
