/// The dispatcher that decides for a pool is killed, frozen or cut off.
#define BOOST_TEST_MODULE owner
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <glib.h>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

TestInstance &instanceNamed(Fleet &Under, const std::string &Name) {
  for (TestInstance &Each : Under.instances())
    if (Each.m_Name == Name)
      return Each;
  throw FleetNotReady("no instance " + Name);
}

/// Asks for a check at the entry \p Index until one is answered; returns how
/// long that took.
Duration untilServed(Fleet &Under, std::size_t Index, Duration Limit) {
  const gint64 Start = g_get_monotonic_time();
  std::shared_ptr<const Told> Ask;
  runUntil(
      [&] {
        if (Ask == nullptr || (Ask->m_Ended && Ask->m_Status != 200)) {
          Call What = Under.desk(Index, "check", "", "{}");
          What.m_Limit = 5s;
          Ask = Under.caller().start(What);
        }
        return Ask->m_Ended && Ask->m_Status == 200;
      },
      Limit);
  return Duration(g_get_monotonic_time() - Start);
}

} // namespace

// Passengers' checks go on when the dispatcher that decides for the desk is
// killed: its entry and the others find the new owner, within two seconds.
BOOST_AUTO_TEST_CASE(KilledOwnerIsReplaced) {
  Fleet Under({});
  Under.start();
  const std::string Owner = Under.ownerOf("desk");
  BOOST_REQUIRE(!Owner.empty());
  instanceNamed(Under, Owner).m_Dispatcher->kill();
  for (std::size_t Index = 0; Index < 3; ++Index)
    BOOST_TEST((untilServed(Under, Index, 10s) < 2s));
  const std::string Next = Under.ownerOf("desk");
  BOOST_TEST(!Next.empty());
  BOOST_TEST(Next != Owner);
}

// The owner is frozen while guides run and others wait, and wakes up after it
// was replaced. What it grants then comes too late: no answer is mixed up, none
// is cut, and callers were served in between.
BOOST_AUTO_TEST_CASE(FrozenOwnerDoesNoHarmWhenItWakes) {
  FleetPlan Plan;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Fleet Under(Plan);
  Under.start();
  const std::string Owner = Under.ownerOf("writer");
  BOOST_REQUIRE(!Owner.empty());
  std::vector<std::shared_ptr<const Told>> All;
  for (std::size_t Each = 0; Each < 24; ++Each)
    All.push_back(
        Under.caller().start(Under.chat(Each % 3, "guide", 60, true)));
  runFor(200ms);
  Process &Frozen = *instanceNamed(Under, Owner).m_Dispatcher;
  Frozen.signal(SIGSTOP);
  runFor(4s);
  const Told During = Under.caller().call(Under.chat(0, "urgent", 5, false));
  Frozen.signal(SIGCONT);
  BOOST_TEST(During.m_Status == 200U, During.m_Body);
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(All.begin(), All.end(),
                           [](const auto &Each) { return Each->m_Ended; });
      },
      40s));
  for (const auto &Each : All) {
    BOOST_TEST(Each->m_Status == 200U, Each->m_Body);
    BOOST_TEST(isWholeAnswer(Each->text(), 60), Each->m_Body);
  }
}
