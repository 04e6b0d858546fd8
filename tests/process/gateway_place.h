/// Configuration of a gateway under test.
#ifndef CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H
#define CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H

#include "balance/retry_budget.h"
#include "process/caller.h"

namespace crowstep::test {

/// Addresses and time limits of one gateway.
struct GatewayPlace {
  std::string m_Name;                  ///< Instance name.
  Address m_Listen;                    ///< For callers.
  Address m_Links;                     ///< For other gateways.
  Address m_Probes;                    ///< For readiness.
  Address m_Store;                     ///< Of the store, or of a relay to it.
  std::chrono::seconds m_Grace{8};     ///< From SIGTERM to a kill.
  std::chrono::milliseconds m_Drain{}; ///< See StoreBounds.
  std::chrono::milliseconds m_Apply{2000};  ///< See StoreBounds.
  std::chrono::milliseconds m_Settle{3000}; ///< See StoreBounds.
  balance::RetryBudgetSettings m_Retry;     ///< Shared by all gateways.
};

/// Returns a configuration with free loopback ports.
GatewayPlace gatewayPlace(const std::string &Name, const Address &Store);

/// Returns the text of the configuration file for \p Config.
std::string settingsOf(const GatewayPlace &Config);

/// Returns the request of the readiness probe; status 200 means ready.
Call readinessCall(const GatewayPlace &Config);

/// Returns the value of the store row of the upstream at \p Upstream, as JSON.
std::string upstreamRow(const Address &Upstream, unsigned Slots,
                        const std::string &State);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H
