/// Upstreams that have announced that they leave, as the balancer treats them.
#define BOOST_TEST_MODULE leaving_upstreams
#include "balance/balancer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

Upstream desk(const std::string &Name, bool Draining = false) {
  return {upstreamIdOf(Name), Name,    "desk", {0x7f000001, 9000}, {"a"},
          PlainService{6},    Draining};
}

PlacementQuery plainCall() {
  PlacementQuery Result;
  Result.m_Service = "desk";
  Result.m_LatencyTarget = 100ms;
  return Result;
}

struct Fixture {
  TimePoint m_Now{100s};
  Balancer m_Balancer{{"a"}};

  /// Returns whether a call may be placed on one of the listed upstreams.
  bool mayPlace() {
    const PlacementResult Result = m_Balancer.place(plainCall(), m_Now);
    if (const auto *Placement = std::get_if<Placed>(&Result))
      m_Balancer.recordCallEnd(Placement->m_Ticket, CallOutcome::Dropped,
                               m_Now);
    return std::holds_alternative<Placed>(Result);
  }
};

} // namespace

// Guards against an entry that is written late and takes back the announcement
// of an upstream that it leaves.
BOOST_AUTO_TEST_CASE(AnEntryDoesNotTakeBackALeave) {
  Fixture Test;
  Test.m_Balancer.setUpstreams({desk("a", true)});
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(!Test.mayPlace());
  Test.m_Balancer.setUpstreams({});
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Now += 10s;
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(!Test.mayPlace());
}

// Guards against an upstream that gets no calls after a restart because its
// previous lifetime has left, and against a memory that only grows.
BOOST_AUTO_TEST_CASE(ALeaveEndsWithTheLifetime) {
  Fixture Test;
  Test.m_Balancer.setUpstreams({desk("a", true)});
  Test.m_Balancer.setUpstreams({desk("a@2")});
  BOOST_TEST(Test.mayPlace());
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Now += LeavingUpstreams::UnlistedMemory;
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(Test.mayPlace());
}
