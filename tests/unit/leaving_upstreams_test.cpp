/// Upstreams that have announced that they leave: as one instance treats them,
/// and as a fleet learns of them.
#define BOOST_TEST_MODULE leaving_upstreams
#include "unit/digest_fleet.h"
#include "unit/plain_calls.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::balance;
using namespace crowstep::test;

namespace {

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

// Guards against a statement that only the instance that got it acts on, or
// that is broadcast again and again.
BOOST_AUTO_TEST_CASE(AStatementIsBroadcastOnce) {
  Fixture Test;
  Test.m_Balancer.setUpstreams({desk("a")});
  const auto Call =
      std::get<Placed>(Test.m_Balancer.place(plainCall(), Test.m_Now));
  BOOST_TEST(Test.m_Balancer.recordLeaveStatement(Call.m_Ticket));
  BOOST_TEST(!Test.m_Balancer.recordLeaveStatement(Call.m_Ticket));
  BOOST_TEST(!Test.mayPlace());
  BOOST_TEST(Test.m_Balancer.takeDigest(Test.m_Now).m_Leaving.size() == 1U);
  BOOST_TEST(Test.m_Balancer.takeDigest(Test.m_Now).m_Leaving.empty());
  BOOST_TEST(Test.m_Balancer.fullDigest(Test.m_Now).m_Leaving.size() == 1U);
}

// Guards against a statement that is forgotten while the upstream is listed,
// because the list doesn't change for a long time.
BOOST_AUTO_TEST_CASE(AStatementIsKeptWhileTheUpstreamIsListed) {
  Fixture Test;
  Test.m_Balancer.setUpstreams({desk("a")});
  const auto Call =
      std::get<Placed>(Test.m_Balancer.place(plainCall(), Test.m_Now));
  Test.m_Balancer.recordLeaveStatement(Call.m_Ticket);
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Now += LeavingUpstreams::UnlistedMemory;
  Test.m_Balancer.takeDigest(Test.m_Now);
  Test.m_Balancer.setUpstreams({desk("a"), desk("b")});
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(!Test.mayPlace());
}

// Guards against an upstream that has stated that it leaves and still counts as
// capacity, so that no other one is ordered in its place.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesIsNoCapacity) {
  Fixture Test;
  Test.m_Balancer.setUpstreams({desk("a"), desk("b")});
  BOOST_TEST(Test.m_Balancer.stayingUpstreams("desk").size() == 2U);
  LoadDigest Digest;
  Digest.m_Leaving = {upstreamIdOf("a")};
  Test.m_Balancer.applyPeerDigest(InstanceId(7), Digest, Test.m_Now);
  const auto Staying = Test.m_Balancer.stayingUpstreams("desk");
  BOOST_REQUIRE(Staying.size() == 1U);
  BOOST_TEST(Staying[0]->m_Name == "b");
}

// Guards against a statement that comes before the upstream's entry, from
// another instance.
BOOST_AUTO_TEST_CASE(AStatementHoldsForAnEntryThatComesLater) {
  Fixture Test;
  LoadDigest Digest;
  Digest.m_Leaving = {upstreamIdOf("a")};
  Test.m_Balancer.applyPeerDigest(InstanceId(7), Digest, Test.m_Now);
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(!Test.mayPlace());
}

namespace {

/// Returns whether no instance places a call on the fleet's only upstream.
bool allKnowOfLeave(Fleet &F) {
  return std::none_of(F.m_Instances.begin(), F.m_Instances.end(),
                      [&](const auto &Member) {
                        PlacementQuery Query;
                        Query.m_Service = "desk";
                        return std::holds_alternative<Placed>(
                            Member->m_Balancer.place(Query, F.m_Clock.now()));
                      });
}

void stateLeave(Instance &Observer, TimePoint Now) {
  Observer.m_Balancer.recordLeaveStatement(Observer.place(Now).m_Ticket);
}

} // namespace

// Guards against a statement that does not reach all zones.
BOOST_AUTO_TEST_CASE(AStatementReachesAllInstances) {
  for (const auto &[Zones, InZone] :
       {std::pair(3, 3), std::pair(4, 21), std::pair(6, 50)}) {
    Fleet F(Zones, InZone);
    F.run(1s);
    stateLeave(*F.m_Instances.back(), F.m_Clock.now());
    F.run(1s);
    BOOST_TEST(allKnowOfLeave(F));
  }
}

// Guards against a statement that is lost with the hub that was to relay it.
BOOST_AUTO_TEST_CASE(AStatementSurvivesTheLossOfItsHub) {
  Fleet F(3, 10);
  F.run(1s);
  const auto InZone = [&](double Weight) {
    return std::find_if(F.m_Instances.begin(), F.m_Instances.end(),
                        [&](const auto &Member) {
                          return Member->m_Self.m_Zone.m_Name == "z1" &&
                                 Member->m_Self.m_Weight == Weight;
                        });
  };
  stateLeave(**InZone(1), F.m_Clock.now());
  F.run(100ms); // The hub has received the statement.
  F.m_Instances.erase(InZone(2));
  F.run(1500ms);
  BOOST_TEST(allKnowOfLeave(F));
}
