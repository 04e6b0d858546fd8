/// Requests with very long ids at a real gateway.
#define BOOST_TEST_MODULE long_ids_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

// Guards against callers' own words that are kept after their requests.
BOOST_AUTO_TEST_CASE(LongIdsLeaveRoomForOthers) {
  constexpr std::size_t ClientCount = 300;
  constexpr std::size_t Waves = 20;
  constexpr std::size_t IdBytes = 15'000;
  CrowdedGateway Gateway;
  for (std::size_t Wave = 0; Wave < Waves; ++Wave) {
    const std::string Id =
        std::string(IdBytes, 'i') + std::to_string(Wave) + "-{n}";
    const Crowd Senders(
        Gateway.callerAddress(), ClientCount,
        {CrowdedGateway::requestText("/streaming/x", Id, 1), "", 0});
    Gateway.watchUntilSettled(Senders);
  }
  BOOST_TEST(Gateway.isServed());
  Gateway.checkUsage();
}
