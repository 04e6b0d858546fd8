/// Upstreams that announce a limit on the rate of requests from all instances
/// together, with real gateways.
#define BOOST_TEST_MODULE limited_upstream
#include "process/scripted_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Longest time from the first announcement of a limit until all instances keep
/// it.
constexpr Duration PropagationTime = 3s;

/// The limit must hold in any window of this length, within a tolerance.
constexpr Duration Window = 4s;
constexpr double RateFactor = 1.5;
constexpr double RateSlack = 5;

constexpr Duration CallInterval = 20ms;

/// Returns the largest number of arrivals in any window that starts at \p Begin
/// or later.
std::ptrdiff_t maxArrivalsInWindow(const ScriptedUpstream &At,
                                   TimePoint Begin) {
  const auto &Arrivals = At.m_Arrivals;
  std::ptrdiff_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First)
    if (First->m_Time >= Begin)
      Most = std::max(
          Most, std::upper_bound(First, Arrivals.end(), First->m_Time + Window,
                                 [](TimePoint Time, const auto &Arrival) {
                                   return Time < Arrival.m_Time;
                                 }) -
                    First);
  return Most;
}

struct LimitTestFleet : GatewayFleet {
  ScriptedUpstream m_First{"u-1", *this};
  ScriptedUpstream m_Second{"u-2", *this};

  LimitTestFleet() : GatewayFleet(6) {
    BOOST_TEST(startAll());
    sendLoad(4s); // Until all gateways know one another.
  }

  void sendLoad(Duration Span) { test::sendLoad(*this, Span, CallInterval); }

  /// Lets the first upstream announce \p Limit under load; returns whether the
  /// gateways kept it.
  bool keepsLimit(double Limit) {
    m_First.m_Limit = Limit;
    const TimePoint Stated = m_Clock.readNow();
    sendLoad(PropagationTime + 2 * Window);
    const double Allowed =
        RateFactor * Limit * std::chrono::duration<double>(Window).count() +
        RateSlack;
    const auto Most = maxArrivalsInWindow(m_First, Stated + PropagationTime);
    BOOST_TEST_MESSAGE("limit " << Limit << ": " << Most << " of " << Allowed);
    return static_cast<double>(Most) <= Allowed;
  }
};

} // namespace

// Guards against instances that together exceed the limit of an upstream.
BOOST_AUTO_TEST_CASE(AStatedLimitIsKeptByAllInstances) {
  for (const double Limit : {1.0, 4.0}) {
    LimitTestFleet TestFleet;
    BOOST_TEST(TestFleet.keepsLimit(Limit));
    BOOST_TEST(TestFleet.m_Second.m_Arrivals.size() > 100U);
  }
}

// Guards against a limit that stays in force after the upstream has stopped
// announcing it.
BOOST_AUTO_TEST_CASE(AnUpstreamWhoseLimitEndsIsUsedAgain) {
  LimitTestFleet TestFleet;
  BOOST_TEST(TestFleet.keepsLimit(1));
  TestFleet.m_First.m_Limit = std::nullopt;
  TestFleet.sendLoad(3s);
  const auto Before = TestFleet.m_First.m_Arrivals.size();
  TestFleet.sendLoad(2s);
  BOOST_TEST(TestFleet.m_First.m_Arrivals.size() - Before > 20U);
}
