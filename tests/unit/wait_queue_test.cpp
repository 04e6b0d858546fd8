/// Order and limits of calls that wait for room.
#define BOOST_TEST_MODULE wait_queue
#include "gateway/wait_queue.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

struct TestEnv {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  WaitQueue m_Queue{m_Timers};
  std::vector<int> m_Retried;
  std::vector<std::unique_ptr<WaitQueue::Entry>> m_Entries;

  void add(int Number, balance::Urgency Urgency, const std::string &Workspace) {
    m_Entries.push_back(m_Queue.enqueue(
        {Urgency, Workspace}, [this, Number] { m_Retried.push_back(Number); }));
  }
};

} // namespace

/// One workspace sends many calls at once, another one a single call later.
/// Placement of the single call is retried right after the first of the many,
/// not after all of them; more urgent calls come before both.
BOOST_AUTO_TEST_CASE(UrgentCallsThenWorkspacesInTurn) {
  TestEnv Env;
  for (int I = 0; I < 4; ++I)
    Env.add(I, 5, "many");
  Env.add(10, 5, "one");
  Env.add(20, 1, "many");
  Env.m_Timers.advance(WaitQueue::RetryInterval);
  BOOST_TEST(Env.m_Retried == (std::vector<int>{20, 0, 10, 1, 2, 3}),
             boost::test_tools::per_element());
}

/// A callback removes its own call, which has found room, and another one whose
/// caller has closed its connection. Neither callback runs again, and the queue
/// stops its timer once it is empty.
BOOST_AUTO_TEST_CASE(CallsAreRemovedDuringARetry) {
  TestEnv Env;
  std::unique_ptr<WaitQueue::Entry> Second;
  std::unique_ptr<WaitQueue::Entry> First = Env.m_Queue.enqueue({0, ""}, [&] {
    Env.m_Retried.push_back(1);
    First.reset();
    Second.reset();
  });
  Second = Env.m_Queue.enqueue({0, ""}, [&] { Env.m_Retried.push_back(2); });
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.m_Retried == std::vector<int>{1},
             boost::test_tools::per_element());
  BOOST_TEST(Env.m_Queue.size() == 0U);
}

/// The queue is bounded, as it holds whole requests in memory.
BOOST_AUTO_TEST_CASE(TheQueueIsBounded) {
  TestEnv Env;
  for (std::size_t I = 0; I < WaitQueue::MaxCalls; ++I) {
    BOOST_TEST(!Env.m_Queue.isFull());
    Env.add(0, 0, "");
  }
  BOOST_TEST(Env.m_Queue.isFull());
  Env.m_Entries.pop_back();
  BOOST_TEST(!Env.m_Queue.isFull());
}

/// Guards against calls that can't be in time any more and are placed before
/// those that can, however urgent they are.
BOOST_AUTO_TEST_CASE(CallsInTimeGoFirst) {
  TestEnv Env;
  Env.add(1, 0, "a");
  Env.add(2, 5, "b");
  Env.m_Entries[0]->setLate();
  Env.m_Timers.advance(WaitQueue::RetryInterval);
  BOOST_TEST(Env.m_Retried == (std::vector<int>{2, 1}),
             boost::test_tools::per_element());
}

/// Guards against calls that overtake those of the same workspace, and against
/// workspaces or services that hold up others.
BOOST_AUTO_TEST_CASE(EarlierCallsOfAWorkspaceAreFound) {
  TestEnv Env;
  Env.add(1, 5, "a");
  BOOST_TEST(Env.m_Queue.hasEarlier({5, "a"}));
  BOOST_TEST(!Env.m_Queue.hasEarlier({5, "b"}));
  BOOST_TEST(!Env.m_Queue.hasEarlier({4, "a"}));
  BOOST_TEST(!Env.m_Queue.hasEarlier({5, "a", PoolId(2)}));
}
