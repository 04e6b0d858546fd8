/// A gateway process whose use of memory is watched.
#ifndef CROWSTEP_TESTS_PROCESS_WATCHED_GATEWAY_H
#define CROWSTEP_TESTS_PROCESS_WATCHED_GATEWAY_H

#include "process/gateway_fleet.h"
#include "process/process_usage.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

namespace crowstep::test {

class WatchedGateway {
public:
  /// Resident memory that the gateway may use beyond that of its start.
  static constexpr std::size_t MaxGrowth = 80 << 20;

  /// Starts the gateway with one upstream that takes \p Slots calls.
  WatchedGateway(const Address &Upstream, unsigned Slots) {
    m_Fleet.m_Store.put("servers", "u", upstreamRow(Upstream, Slots, "ready"));
    BOOST_TEST(m_Fleet.startAll());
    runFor(std::chrono::seconds(1));
    m_Before = residentBytes();
    m_Most = m_Before;
  }

  /// Runs the main loop until \p Done returns true, for at most \p Limit, and
  /// samples the memory; returns whether \p Done has returned true.
  bool watchUntil(const std::function<bool()> &Done, Duration Limit) {
    const bool IsDone = runUntil(
        [&] {
          const bool Result = Done();
          m_Most = std::max(m_Most, residentBytes());
          return Result;
        },
        Limit);
    BOOST_TEST_MESSAGE("grew by " << (growth() >> 10U) << " KiB");
    return IsDone;
  }

  /// Returns the most memory since the start beyond that of the start.
  [[nodiscard]] std::size_t growth() const { return m_Most - m_Before; }

  [[nodiscard]] bool isRunning() { return m_Fleet.process(0).isRunning(); }

  GatewayFleet m_Fleet{1}; ///< Of this gateway only.

private:
  [[nodiscard]] std::size_t residentBytes() {
    return residentBytesOf(m_Fleet.process(0).pid());
  }

  std::size_t m_Before = 0; ///< Memory at the start.
  std::size_t m_Most = 0;   ///< Most memory since.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_WATCHED_GATEWAY_H
