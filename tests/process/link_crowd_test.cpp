/// Crowds at the ports for other instances of a real gateway.
#define BOOST_TEST_MODULE link_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// The preamble of a link, and the length of its first frame.
const std::string Preamble = std::string("CRWSTP\1\0", 8);
const std::string LargeFrame = Preamble + std::string("\0\0\x40\0", 4);
const std::string SmallFrame = Preamble + std::string("\0\1\0\0", 4);

const std::vector<CrowdCase> LinkCrowds = {
    {"large frames", 100, {LargeFrame, "b", 1 << 20}},
    {"frames that stop short", 400, {SmallFrame, "b", 255}},
    {"connections", 1100, {"", "", 0}},
};

} // namespace

// Guards against a process whose memory or descriptors are used up by peers
// that have proved nothing.
BOOST_AUTO_TEST_CASE(LinksLeaveRoomForCallers) {
  for (const bool IsRelay : {false, true})
    for (const CrowdCase &Sent : LinkCrowds)
      BOOST_TEST_CONTEXT(Sent.m_Name << IsRelay) {
        CrowdedGateway Gateway;
        const Crowd Senders(IsRelay ? Gateway.relayAddress()
                                    : Gateway.linkAddress(),
                            Sent.m_ClientCount, Sent.m_Script);
        Gateway.watchUntilSettled(Senders);
        BOOST_TEST(Gateway.isServed());
        Gateway.checkUsage();
      }
}
