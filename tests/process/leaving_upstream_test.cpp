/// Upstreams that state in their answers that they leave, with real gateways.
#define BOOST_TEST_MODULE leaving_upstream
#include "process/scripted_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// A gateway that has passed on such an answer sends nothing new after this
/// time.
constexpr Duration DrainTime = 2s;

/// Longest time until the other gateways know as well.
constexpr Duration PropagationTime = 1s;

constexpr Duration CallInterval = 20ms;

struct LeavingFleet : GatewayFleet {
  ScriptedUpstream m_First{"u-1", *this};
  ScriptedUpstream m_Second{"u-2", *this};

  LeavingFleet() : GatewayFleet(4) {
    BOOST_TEST(startAll());
    sendLoad(*this, 4s, CallInterval); // Until all gateways know one another.
  }

  /// Returns how many requests the first upstream got after \p Begin.
  [[nodiscard]] std::ptrdiff_t arrivalsAfter(TimePoint Begin) const {
    return std::count_if(
        m_First.m_Arrivals.begin(), m_First.m_Arrivals.end(),
        [Begin](const auto &Arrival) { return Arrival.m_Time > Begin; });
  }
};

} // namespace

// Guards against requests to an upstream that has stated that it leaves while
// the directory still lists it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStatesThatItLeavesGetsNothingNew) {
  LeavingFleet Fleet;
  BOOST_TEST(Fleet.m_First.m_Arrivals.size() > 20U);
  Fleet.m_First.m_StatesLeaving = true;
  const TimePoint Stated = Fleet.m_Clock.readNow();
  sendLoad(Fleet, DrainTime + 3s, CallInterval);
  BOOST_TEST(Fleet.arrivalsAfter(Stated + DrainTime) == 0);
  BOOST_TEST(Fleet.m_Second.m_Arrivals.size() > 100U);
}

// Guards against instances that each have to be told by the upstream itself.
BOOST_AUTO_TEST_CASE(AStatedLeaveIsKnownToAllInstances) {
  LeavingFleet Fleet;
  Fleet.m_First.m_StatesLeaving = true;
  const TimePoint Begin = Fleet.m_Clock.readNow();
  while (Fleet.arrivalsAfter(Begin) == 0)
    sendLoad(Fleet, CallInterval, CallInterval);
  runFor(PropagationTime);
  const TimePoint Known = Fleet.m_Clock.readNow();
  sendLoad(Fleet, 3s, CallInterval);
  BOOST_TEST(Fleet.arrivalsAfter(Known) == 0);
}

// Guards against an instance that starts anew and has to be told again.
BOOST_AUTO_TEST_CASE(ARestartedInstanceLearnsOfAStatedLeave) {
  LeavingFleet Fleet;
  Fleet.m_First.m_StatesLeaving = true;
  sendLoad(Fleet, DrainTime, CallInterval);
  Fleet.restart(0);
  runFor(4s); // Until it is linked to the others.
  const TimePoint Linked = Fleet.m_Clock.readNow();
  sendLoad(Fleet, 2s, CallInterval);
  BOOST_TEST(Fleet.arrivalsAfter(Linked) == 0);
}
