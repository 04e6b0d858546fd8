/// Streams that break, with real gateways and upstreams of two software
/// versions.
#define BOOST_TEST_MODULE broken_stream_version
#include "process/versioned_upstream.h"

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

// Guards against a stream that another software version continues after its
// upstream has broken it.
BOOST_AUTO_TEST_CASE(ABrokenStreamContinuesAtItsVersion) {
  VersionFleet Fleet(1);
  Fleet.begin(0, 40);
  Fleet.m_Upstreams[0]->breakStreams();
  Fleet.m_Upstreams[1]->breakStreams();
  Fleet.waitForEnds();
  Fleet.checkStreams();
  BOOST_TEST(Fleet.completeCount() >= 36);
}
