/// Upstreams that reject calls and request a pause, with real gateways.
#define BOOST_TEST_MODULE paused_upstream
#include "process/scripted_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration Pause = 3s;
constexpr const char *PauseText = "3";

/// A gateway may send this many requests within a pause, beginning this long
/// after it was requested.
constexpr std::ptrdiff_t MaxInPause = 2;
constexpr Duration PauseGrace = 500ms;

constexpr Duration CallInterval = 20ms;

struct PausingFleet : GatewayFleet {
  ScriptedUpstream m_First{"u-1", *this};
  ScriptedUpstream m_Second{"u-2", *this};
  ScriptedUpstream m_Third{"u-3", *this};

  PausingFleet() : GatewayFleet(3) {
    BOOST_TEST(startAll());
    sendLoad(*this, 2s, CallInterval);
  }
};

/// Returns the largest number of requests that one gateway sent in a pause that
/// the upstream had requested from it.
std::ptrdiff_t maxArrivalsInPause(const ScriptedUpstream &At) {
  std::ptrdiff_t Most = 0;
  for (const auto &Refused : At.m_Arrivals)
    if (Refused.m_Refused)
      Most = std::max(
          Most, std::count_if(At.m_Arrivals.begin(), At.m_Arrivals.end(),
                              [&](const auto &Arrival) {
                                return Arrival.m_Path == Refused.m_Path &&
                                       Arrival.m_Time >
                                           Refused.m_Time + PauseGrace &&
                                       Arrival.m_Time < Refused.m_Time + Pause;
                              }));
  return Most;
}

} // namespace

// Guards against requests to an upstream that has asked for none for some time.
BOOST_AUTO_TEST_CASE(ARequestedPauseIsKept) {
  PausingFleet Fleet;
  Fleet.m_First.m_RetryAfter = PauseText;
  sendLoad(Fleet, 2 * Pause, CallInterval);
  BOOST_TEST(maxArrivalsInPause(Fleet.m_First) <= MaxInPause);
  BOOST_TEST(Fleet.m_Second.m_Arrivals.size() > 50U);
}

// Guards against requests to paused upstreams because more than half of them
// are paused.
BOOST_AUTO_TEST_CASE(APauseIsKeptWhereMostUpstreamsArePaused) {
  PausingFleet Fleet;
  Fleet.m_First.m_RetryAfter = PauseText;
  Fleet.m_Second.m_RetryAfter = PauseText;
  sendLoad(Fleet, 2 * Pause, CallInterval);
  BOOST_TEST(maxArrivalsInPause(Fleet.m_First) <= MaxInPause);
  BOOST_TEST(maxArrivalsInPause(Fleet.m_Second) <= MaxInPause);
}

// Guards against an upstream that is not used as before after its pause.
BOOST_AUTO_TEST_CASE(AnUpstreamIsUsedAgainAfterItsPause) {
  PausingFleet Fleet;
  const auto ArrivalsInLoad = [&] {
    const std::size_t Before = Fleet.m_First.m_Arrivals.size();
    sendLoad(Fleet, 2s, CallInterval);
    return Fleet.m_First.m_Arrivals.size() - Before;
  };
  const std::size_t Usual = ArrivalsInLoad();
  Fleet.m_First.m_RetryAfter = PauseText;
  sendLoad(Fleet, 1s, CallInterval);
  Fleet.m_First.m_RetryAfter = std::nullopt;
  sendLoad(Fleet, Pause, CallInterval);
  const std::size_t After = ArrivalsInLoad();
  BOOST_TEST_MESSAGE(Usual << " before, " << After << " after");
  BOOST_TEST(After * 2 > Usual);
}
