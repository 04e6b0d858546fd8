/// Several gateway processes that share one store stand-in, with a table of an
/// idempotent and a non-idempotent route.
#ifndef CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H
#define CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H

#include "core/scheduler.h"
#include "process/gateway_config.h"
#include "process/process.h"
#include "standin/duty_server.h"
#include "standin/store_server.h"

#include <arpa/inet.h>
#include <memory>
#include <vector>

namespace crowstep::test {

/// Returns a loopback address with a free port.
inline Address freeAddress() { return {INADDR_LOOPBACK, freePort()}; }

/// Sets the response headers by which a gateway accepts an upstream's answer:
/// the request's attempt id and a signature.
void addSignatureHeaders(SoupServerMessage *Message);

class GatewayFleet {
public:
  /// Writes the table to the store; startAll() starts the gateways. \p Scaling
  /// is how engines of the service can be ordered; null: they can't.
  explicit GatewayFleet(std::size_t Count,
                        const nlohmann::json &Scaling = nullptr);

  /// Sets the limits of the gateways that are started from now on.
  void setLimits(const ProcessLimits &Limits) { m_Limits = Limits; }

  /// Starts all gateways; returns whether each became ready within 10 s.
  bool startAll();

  /// Kills all gateways.
  void killAll();

  /// Returns the process of a gateway that startAll() has started.
  Process &process(std::size_t Gateway) { return *m_Processes.at(Gateway); }

  /// Kills a gateway if it still runs, and starts it anew.
  void restart(std::size_t Gateway);

  /// Returns the number of the gateway called \p Name.
  [[nodiscard]] std::size_t numberOf(const std::string &Name) const;

  /// Returns the address from which a gateway calls upstreams.
  [[nodiscard]] Address sourceOf(std::size_t Gateway) const {
    return m_Configs.at(Gateway).m_SourceAddress;
  }

  /// Returns a request to the gateway \p Gateway modulo the number of gateways.
  /// Paths below /idempotent/ may run more than once, those below
  /// /non_idempotent/ at most once, and those below /streaming/ are answered
  /// with streams that may be resumed.
  Call request(std::size_t Gateway, const std::string &Path,
               const std::string &Body);

  /// Returns the address at which a gateway serves callers.
  [[nodiscard]] Address listenAddress(std::size_t Gateway) const {
    return m_Configs.at(Gateway).m_ListenAddress;
  }

  /// Return where a gateway serves probes, other gateways and their calls.
  [[nodiscard]] Address probeAddress(std::size_t Gateway) const {
    return m_Configs.at(Gateway).m_ProbeAddress;
  }
  [[nodiscard]] Address linkAddress(std::size_t Gateway) const {
    return m_Configs.at(Gateway).m_LinkAddress;
  }
  [[nodiscard]] Address relayAddress(std::size_t Gateway) const {
    return m_Configs.at(Gateway).m_RelayAddress;
  }

  [[nodiscard]] std::size_t size() const { return m_Configs.size(); }

  LoopClock m_Clock;            ///< Of the test process.
  LoopScheduler m_Timers;       ///< Of the test process.
  standin::StoreServer m_Store; ///< Must outlive the upstreams.
  standin::DutyServer m_Duties; ///< The platform's interface for duties.
  Caller m_Caller;              ///< Client that sends the requests.

private:
  TemporaryFolder m_Folder;             ///< Settings and logs.
  std::vector<GatewayConfig> m_Configs; ///< By gateway.
  ProcessLimits m_Limits;               ///< See setLimits().
  std::vector<std::unique_ptr<Process>>
      m_Processes;        ///< As m_Configs; empty: stopped.
  int m_RequestCount = 0; ///< Attempt ids used so far.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H
