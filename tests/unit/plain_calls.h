/// Plain upstreams and calls for tests of the balancer.
#ifndef CROWSTEP_TESTS_UNIT_PLAIN_CALLS_H
#define CROWSTEP_TESTS_UNIT_PLAIN_CALLS_H

#include "balance/balancer.h"

namespace crowstep::test {

/// Returns an upstream of the service "desk".
inline Upstream desk(const std::string &Name, bool Draining = false) {
  return {upstreamIdOf(Name), Name,    "desk", {0x7f000001, 9000}, {"a"},
          PlainService{6},    Draining};
}

/// Returns a call to that service.
inline balance::PlacementQuery plainCall() {
  balance::PlacementQuery Result;
  Result.m_Service = "desk";
  Result.m_LatencyTarget = std::chrono::milliseconds(100);
  return Result;
}

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_PLAIN_CALLS_H
