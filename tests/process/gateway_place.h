/// What a gateway under test and its surroundings are told.
#ifndef CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H
#define CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H

#include "balance/retry_budget.h"
#include "process/caller.h"

namespace crowstep::test {

/// One gateway's addresses and bounds.
struct GatewayPlace {
  std::string m_Name;                      ///< Of the instance.
  Address m_Listen;                        ///< For callers.
  Address m_Links;                         ///< For other gateways.
  Address m_Probes;                        ///< For readiness.
  Address m_Store;                         ///< Its way to the store.
  std::chrono::seconds m_Grace{8};         ///< From SIGTERM to a kill.
  std::chrono::milliseconds m_Drain{};     ///< Leaving upstreams serve as long.
  std::chrono::milliseconds m_Apply{2000}; ///< See StoreBounds.
  std::chrono::milliseconds m_Settle{3000}; ///< See StoreBounds.
  balance::RetryBudgetSettings m_Retry;     ///< For all gateways together.
};

/// Returns a free place on loopback.
GatewayPlace gatewayPlace(const std::string &Name, const Address &Store);

/// Returns the settings of the gateway at \p Where.
std::string settingsOf(const GatewayPlace &Config);

/// Returns the call that asks whether the gateway is ready.
Call readinessCall(const GatewayPlace &Config);

/// Returns an upstream's row in the store.
std::string upstreamRow(const Address &Upstream, unsigned Slots,
                        const std::string &State);

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_GATEWAY_PLACE_H
