/// Crowds at the port for probes of a real gateway.
#define BOOST_TEST_MODULE probe_crowd
#include "process/crowded_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

// Guards against a process whose memory or descriptors are used up at a port
// that has little to do.
BOOST_AUTO_TEST_CASE(ProbesLeaveRoomForCallers) {
  for (const CrowdCase &Sent : sidePortCrowds("/metrics"))
    BOOST_TEST_CONTEXT(Sent.m_Name) {
      CrowdedGateway Gateway;
      const Crowd Senders(Gateway.probeAddress(), Sent.m_ClientCount,
                          Sent.m_Script);
      Gateway.watchUntilSettled(Senders);
      BOOST_TEST(Gateway.isServed());
      Gateway.checkUsage();
    }
}
