/// Streams that callers resume, with real gateways and upstreams of two
/// software versions.
#define BOOST_TEST_MODULE resumed_stream_version
#include "process/versioned_upstream.h"

#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

// Guards against a stream that another software version continues when its
// caller resumes it after the gateway was killed.
BOOST_AUTO_TEST_CASE(AStreamOfAKilledGatewayContinuesAtItsVersion) {
  VersionFleet Fleet(4);
  Fleet.begin(0, 40);
  Fleet.process(0).signal(SIGKILL);
  runFor(100ms);
  Fleet.resumeAt(1);
  Fleet.checkStreams();
  BOOST_TEST(Fleet.completeCount() >= 36);
}
