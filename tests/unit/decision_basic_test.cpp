/// Basic guarantees of the Decider: use of slots, order of tiers, one answer
/// per bid.
#define BOOST_TEST_MODULE decision_basic
#include "decision/decider.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::decision;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Fixture() {
    Contract Urgent;
    Urgent.m_Id = ClassId(1);
    Urgent.m_Tier = 1;
    Urgent.m_FirstTokenTarget = 500ms;
    Urgent.m_TotalLimit = 5s;
    Contract Batch = Urgent;
    Batch.m_Id = ClassId(2);
    Batch.m_Tier = 4;
    send(TableChanged{{TableVersion(1), {Urgent, Batch}}});
    Upstream Only;
    Only.m_Id = UpstreamId(7);
    Only.m_Kind = Engine{1, {}, true, true};
    send(UpstreamsChanged{{Only}});
  }

  std::vector<Action> send(const Event &NextEvent) {
    std::vector<Action> Actions;
    m_Decider.handle(NextEvent, m_Clock.now(), Actions);
    return Actions;
  }

  static Bid bid(std::uint64_t Number, std::uint16_t Class) {
    Bid NewBid;
    NewBid.m_Request = {InstanceId(1), Number};
    NewBid.m_Class = ClassId(Class);
    NewBid.m_UntilTarget = 500ms;
    NewBid.m_UntilLimit = 5s;
    return NewBid;
  }

  ManualClock m_Clock;                ///< Advanced by the tests only.
  Decider m_Decider{DeciderConfig{}}; ///< Under test.
};

} // namespace

BOOST_FIXTURE_TEST_CASE(FreeSlotGoesToTheMoreUrgentTier, Fixture) {
  BOOST_TEST(std::holds_alternative<Grant>(send(bid(1, 2)).at(0)));
  BOOST_TEST(send(bid(2, 2)).empty());
  send(bid(3, 1));
  const auto Actions =
      send(WorkEnded{{InstanceId(1), 1}, UpstreamId(7), WorkEnd::Finished});
  BOOST_REQUIRE(Actions.size() == 1);
  BOOST_TEST(std::get<Grant>(Actions[0]).m_Request.m_Number == 3U);
}

BOOST_FIXTURE_TEST_CASE(RepeatedBidIsGrantedAgainAndTakesNoSecondSlot,
                        Fixture) {
  send(bid(1, 1));
  BOOST_TEST(std::holds_alternative<Grant>(send(bid(1, 1)).at(0)));
  BOOST_TEST(m_Decider.stats().m_Running == 1U);
}

BOOST_FIXTURE_TEST_CASE(WaitingBidIsRefusedAtItsLongestWait, Fixture) {
  send(bid(1, 1));
  send(bid(2, 1));
  m_Clock.advance(5s);
  bool Refused = false;
  for (const Action &Next : send(Tick{}))
    if (const auto *Found = std::get_if<Refuse>(&Next))
      Refused = Found->m_Request.m_Number == 2;
  BOOST_TEST(Refused);
}
