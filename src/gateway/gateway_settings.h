/// The gateway's settings.
#ifndef CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H
#define CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H

#include "balance/retry_budget.h"
#include "core/settings.h"

namespace crowstep::gateway {

struct GatewaySettings {
  std::string m_Name;                         ///< Of the instance.
  AvailabilityZone m_Zone;                    ///< Of the instance.
  double m_Weight = 1;                        ///< Capacity relative to others.
  Address m_Listen;                           ///< For callers.
  Address m_Links;                            ///< For the other instances.
  Address m_Probes;                           ///< For readiness and metrics.
  std::string m_ReadinessPath;                ///< Answers 200 while ready.
  Duration m_Grace{};                         ///< From SIGTERM to SIGKILL.
  balance::RetryBudgetSettings m_RetryBudget; ///< Shared by all instances.
};

/// Reads the settings of a gateway. \throws SettingError.
GatewaySettings readGatewaySettings(Settings &File);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_GATEWAY_SETTINGS_H
