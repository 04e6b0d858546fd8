/// Heads without end at a real gateway.
#define BOOST_TEST_MODULE endless_heads_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

constexpr std::size_t ClientCount = 200;

struct EndlessHead {
  const char *m_Name;
  std::string m_Begin;
  std::string m_Repeated;
  std::size_t m_Bytes; ///< Of m_Repeated, by each client.
};

const std::string RequestLine = "POST /plain/x HTTP/1.1\r\n";

const std::vector<EndlessHead> EndlessHeads = {
    {"short lines", RequestLine, "a:\r\n", 60'000},
    {"folded lines", RequestLine + "a: b\r\n", " c\r\n", 60'000},
    {"names without values", RequestLine, "abcdefghijklmnop:\r\n", 76'000},
    {"one value", RequestLine + "a: ", "b", 1 << 20},
    {"one name", RequestLine, "b", 1 << 20},
    {"a target", "POST /", "b", 1 << 20},
};

} // namespace

// Guards against a process whose memory is used up by heads that never end.
BOOST_AUTO_TEST_CASE(HeadsWithoutEndLeaveRoomForOthers) {
  for (const EndlessHead &Head : EndlessHeads)
    BOOST_TEST_CONTEXT(Head.m_Name) {
      CrowdedGateway Gateway;
      const Crowd Senders(Gateway.callerAddress(), ClientCount,
                          {Head.m_Begin, Head.m_Repeated, Head.m_Bytes});
      Gateway.watchUntilSettled(Senders);
      BOOST_TEST(Gateway.isServed());
      Gateway.checkUsage();
    }
}
