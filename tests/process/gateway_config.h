/// Configuration of a gateway under test.
#ifndef CROWSTEP_TESTS_PROCESS_GATEWAY_CONFIG_H
#define CROWSTEP_TESTS_PROCESS_GATEWAY_CONFIG_H

#include "balance/retry_budget.h"
#include "process/caller.h"

namespace crowstep::test {

/// Addresses and time limits of one gateway.
struct GatewayConfig {
  std::string m_Name;                    ///< Instance name.
  Address m_ListenAddress;               ///< For callers.
  Address m_LinkAddress;                 ///< For other gateways.
  Address m_RelayAddress;                ///< For calls of other gateways.
  Address m_SourceAddress;               ///< Upstreams are called from it.
  Address m_ProbeAddress;                ///< For readiness.
  Address m_StoreAddress;                ///< Of the store, or of a relay to it.
  std::chrono::seconds m_GracePeriod{8}; ///< From SIGTERM to a kill.
  std::chrono::milliseconds m_DrainTime{};      ///< See StoreBounds.
  std::chrono::milliseconds m_ApplyTime{2000};  ///< See StoreBounds.
  std::chrono::milliseconds m_SettleTime{3000}; ///< See StoreBounds.
  balance::RetryBudgetSettings m_RetryBudget;   ///< Shared by all gateways.
  std::optional<Address> m_DutyAddress;         ///< None: no duties.
  std::chrono::milliseconds m_LeaseTime{1000};  ///< On the duties.
  std::chrono::seconds m_UsageWindow{1};        ///< Length of a usage window.
  std::chrono::seconds m_UsageDue{10};          ///< Of a report after it.
};

/// Returns a configuration with free loopback ports.
GatewayConfig makeGatewayConfig(const std::string &Name, const Address &Store);

/// Returns the text of the configuration file for \p Config.
std::string gatewaySettingsText(const GatewayConfig &Config);

/// Returns the request of the readiness probe; status 200 means ready.
Call readinessCall(const GatewayConfig &Config);

/// Returns the value of the store row of the upstream at \p Upstream, as JSON.
std::string upstreamRow(const Address &Upstream, unsigned Slots,
                        const std::string &State,
                        const std::string &Version = "1.0");

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_GATEWAY_CONFIG_H
