/// Probes of upstreams over real sockets.
#define BOOST_TEST_MODULE upstream_probe
#include "http/upstream_call.h"
#include "relay/path_prober.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Timers that run before sockets in each iteration of the loop, as the
/// gateway's do: they were there first.
LoopScheduler &timers() {
  static LoopScheduler Timers;
  return Timers;
}

} // namespace

// Guards against a probe that reports twice, once its time is over and its
// connection is established in the same iteration of the loop.
BOOST_AUTO_TEST_CASE(AProbeReportsOnce) {
  LoopClock Clock;
  HttpUpstreamClient Client(Clock, timers());
  FakeUpstream Upstream;
  for (int Round = 0; Round < 5; ++Round) {
    int Results = 0;
    const auto Probe = Client.probe(Upstream.m_Address, 1ms,
                                    [&](ConnectOutcome) { ++Results; });
    g_usleep(5000); // Both are due by now.
    pumpFor(20ms);
    BOOST_TEST(Results == 1);
  }
}

// Guards against a gateway that ends with a segmentation fault when the path to
// an upstream returns just as a probe of it is given up.
BOOST_AUTO_TEST_CASE(AProbeThatIsGivenUpAsItConnectsEndsOnce) {
  LoopClock Clock;
  HttpUpstreamClient Client(Clock, timers());
  FakeUpstream Upstream;
  relay::PathProber Prober(Client, Clock, timers());
  std::vector<ConnectOutcome> Outcomes;
  Prober.probe(UpstreamId(1), Upstream.m_Address,
               [&](const relay::ProbeResult &Result) {
                 Outcomes.push_back(Result.m_Outcome);
               });
  g_usleep(Duration(relay::PathProber::Timeout + 5ms).count());
  pumpFor(20ms);
  BOOST_TEST(Outcomes.size() == 1U);
}
