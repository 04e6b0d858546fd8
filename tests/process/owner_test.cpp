/// The dispatcher that owns a pool is killed or suspended.
#define BOOST_TEST_MODULE owner
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <glib.h>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

TestInstance &instanceNamed(Fleet &TestFleet, const std::string &Name) {
  for (TestInstance &Instance : TestFleet.instances())
    if (Instance.m_Name == Name)
      return Instance;
  throw FleetNotReady("unknown instance " + Name);
}

/// Sends "check" requests to the entry of instance \p Index until one is served
/// or \p Limit has passed; returns the time that took.
Duration timeUntilServed(Fleet &TestFleet, std::size_t Index, Duration Limit) {
  const gint64 Start = g_get_monotonic_time();
  std::shared_ptr<const CallResult> Answer;
  runUntil(
      [&] {
        if (Answer == nullptr || (Answer->m_Ended && Answer->m_Status != 200)) {
          Call Request = TestFleet.deskCall(Index, "check", "", "{}");
          Request.m_Timeout = 5s;
          Answer = TestFleet.caller().start(Request);
        }
        return Answer->m_Ended && Answer->m_Status == 200;
      },
      Limit);
  return Duration(g_get_monotonic_time() - Start);
}

} // namespace

// The owner of the pool of "desk" is killed: each entry finds the new owner and
// serves "check" requests again within two seconds.
BOOST_AUTO_TEST_CASE(KilledOwnerIsReplaced) {
  Fleet TestFleet({});
  TestFleet.start();
  const std::string Owner = TestFleet.ownerOf("desk");
  BOOST_REQUIRE(!Owner.empty());
  instanceNamed(TestFleet, Owner).m_Dispatcher->kill();
  for (std::size_t Index = 0; Index < 3; ++Index)
    BOOST_TEST((timeUntilServed(TestFleet, Index, 10s) < 2s));
  const std::string Next = TestFleet.ownerOf("desk");
  BOOST_TEST(!Next.empty());
  BOOST_TEST(Next != Owner);
}

// The owner is suspended while calls run and others wait, and resumes after it
// was replaced. Its grants are stale then: no answer is mixed up or truncated,
// and callers are served in the meantime.
BOOST_AUTO_TEST_CASE(FrozenOwnerDoesNoHarmWhenItWakes) {
  FleetPlan Plan;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Fleet TestFleet(Plan);
  TestFleet.start();
  const std::string Owner = TestFleet.ownerOf("writer");
  BOOST_REQUIRE(!Owner.empty());
  std::vector<std::shared_ptr<const CallResult>> Answers;
  for (std::size_t I = 0; I < 24; ++I)
    Answers.push_back(
        TestFleet.caller().start(TestFleet.chatCall(I % 3, "guide", 60, true)));
  runFor(200ms);
  Process &Frozen = *instanceNamed(TestFleet, Owner).m_Dispatcher;
  Frozen.signal(SIGSTOP);
  runFor(4s);
  const CallResult During =
      TestFleet.caller().call(TestFleet.chatCall(0, "urgent", 5, false));
  Frozen.signal(SIGCONT);
  BOOST_TEST(During.m_Status == 200U, During.m_Body);
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(Answers.begin(), Answers.end(),
                           [](const auto &Answer) { return Answer->m_Ended; });
      },
      40s));
  for (const auto &Answer : Answers) {
    BOOST_TEST(Answer->m_Status == 200U, Answer->m_Body);
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 60), Answer->m_Body);
  }
}
