/// Order and limits of calls that wait for room.
#define BOOST_TEST_MODULE waiting_room
#include "gateway/waiting_room.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

struct World {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  WaitingRoom m_Room{m_Timers};
  std::vector<int> m_Asked;
  std::vector<std::unique_ptr<WaitingRoom::Place>> m_Places;

  void enter(int Number, balance::Urgency How, const std::string &Workspace) {
    m_Places.push_back(m_Room.enter(
        {How, Workspace}, [this, Number] { m_Asked.push_back(Number); }));
  }
};

} // namespace

/// One workspace sends many calls at once, another one a single call later.
/// Placement of the single call is retried right after the first of the many,
/// not after all of them; more urgent calls come before both.
BOOST_AUTO_TEST_CASE(UrgentCallsAndEachWorkspaceComeInTurn) {
  World It;
  for (int I = 0; I < 4; ++I)
    It.enter(I, 5, "many");
  It.enter(10, 5, "one");
  It.enter(20, 1, "many");
  It.m_Timers.advance(WaitingRoom::AskInterval);
  BOOST_TEST(It.m_Asked == (std::vector<int>{20, 0, 10, 1, 2, 3}),
             boost::test_tools::per_element());
}

/// A callback removes its own call, which has found room, and another one whose
/// caller has closed its connection. Neither callback runs again, and the queue
/// stops its timer once it is empty.
BOOST_AUTO_TEST_CASE(ACallLeavesWhileItIsAsked) {
  World It;
  std::unique_ptr<WaitingRoom::Place> Second;
  std::unique_ptr<WaitingRoom::Place> First = It.m_Room.enter({0, ""}, [&] {
    It.m_Asked.push_back(1);
    First.reset();
    Second.reset();
  });
  Second = It.m_Room.enter({0, ""}, [&] { It.m_Asked.push_back(2); });
  It.m_Timers.advance(1s);
  BOOST_TEST(It.m_Asked == std::vector<int>{1},
             boost::test_tools::per_element());
  BOOST_TEST(It.m_Room.size() == 0U);
}

/// The queue is bounded, as it holds whole requests in memory.
BOOST_AUTO_TEST_CASE(TheRoomIsBounded) {
  World It;
  for (std::size_t I = 0; I < WaitingRoom::MaxCalls; ++I) {
    BOOST_TEST(!It.m_Room.full());
    It.enter(0, 0, "");
  }
  BOOST_TEST(It.m_Room.full());
  It.m_Places.pop_back();
  BOOST_TEST(!It.m_Room.full());
}
