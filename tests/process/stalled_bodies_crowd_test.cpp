/// Bodies that stop just short of their length at a real gateway.
#define BOOST_TEST_MODULE stalled_bodies_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

constexpr std::size_t ClientCount = 60;
constexpr std::size_t OrdinaryBytes = 100 << 10;

} // namespace

// Guards against bodies that never arrive whole and keep the room of those that
// do.
BOOST_AUTO_TEST_CASE(BodiesThatStopLeaveRoomForOthers) {
  const CrowdLimits Limits;
  CrowdedGateway Gateway(Limits);
  const std::string Head =
      CrowdedGateway::headOf("/plain/x", "client-{n}") +
      "Content-Length: " + std::to_string(Limits.m_MaxBodyBytes) + "\r\n\r\n";
  const Crowd Senders(Gateway.callerAddress(), ClientCount,
                      {Head, "b", Limits.m_MaxBodyBytes - 1});
  Gateway.watchUntilSettled(Senders);
  BOOST_TEST(Gateway.isServed(OrdinaryBytes));
  Gateway.checkUsage();
}
