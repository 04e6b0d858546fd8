/// Several gateways around one stand-in of the store, with a table of one plain
/// route of each kind.
#ifndef CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H
#define CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H

#include "core/scheduler.h"
#include "process/gateway_place.h"
#include "process/process.h"
#include "standin/store_server.h"

#include <arpa/inet.h>
#include <memory>
#include <vector>

namespace crowstep::test {

/// Returns a loopback address with a free port.
inline Address freeAddress() { return {INADDR_LOOPBACK, freePort()}; }

/// Sets the headers by which a gateway knows an upstream's answer.
void signAnswer(SoupServerMessage *Message);

class GatewayFleet {
public:
  /// Tells the store of the table; gateways are started by startAll().
  explicit GatewayFleet(std::size_t Count);

  /// Starts all gateways; returns whether all became ready.
  bool startAll();

  /// Kills all gateways.
  void killAll();

  /// Returns a request to a gateway, counted modulo their number. Paths below
  /// /idempotent/ may run again, those below /non_idempotent/ once.
  Call request(std::size_t Gateway, const std::string &Path,
               const std::string &Body);

  [[nodiscard]] std::size_t size() const { return m_Configs.size(); }

  LoopClock m_Clock;            ///< Of the test.
  LoopScheduler m_Timers;       ///< Of the test.
  standin::StoreServer m_Store; ///< Outlives the upstreams.
  Caller m_Caller;              ///< Of requests.

private:
  TemporaryFolder m_Folder;                          ///< Settings and logs.
  std::vector<GatewayPlace> m_Configs;               ///< Of all gateways.
  std::vector<std::unique_ptr<Process>> m_Processes; ///< At m_Places.
  int m_RequestCount = 0;                            ///< Ids so far.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_GATEWAY_FLEET_H
