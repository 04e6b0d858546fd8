/// Empty lines without end before a request at a real gateway.
#define BOOST_TEST_MODULE empty_lines_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

// Guards against empty lines that take memory, or keep the loop from others.
BOOST_AUTO_TEST_CASE(EmptyLinesLeaveRoomForOthers) {
  constexpr std::size_t ClientCount = 100;
  constexpr std::size_t Bytes = 4 << 20;
  CrowdedGateway Gateway;
  const Crowd Senders(Gateway.callerAddress(), ClientCount,
                      {"", "\r\n", Bytes});
  Gateway.watchUntilSettled(Senders);
  BOOST_TEST(Gateway.isServed());
  Gateway.checkUsage();
}
