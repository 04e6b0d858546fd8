/// A graceful shutdown cuts no answer, and all instances can be replaced.
#define BOOST_TEST_MODULE shutdown
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Tokens = 80;

bool ended(const std::vector<std::shared_ptr<const Told>> &All) {
  return std::all_of(All.begin(), All.end(),
                     [](const auto &Each) { return Each->m_Ended; });
}

FleetPlan longAnswers() {
  FleetPlan Plan;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Plan.m_Slots = 16;
  return Plan;
}

} // namespace

// Travellers read streamed guides while their entry is told to stop. Each sees
// its guide run to the end; the entry then ends by itself with success.
BOOST_AUTO_TEST_CASE(StoppingEntryFinishesItsStreams) {
  Fleet Under(longAnswers());
  Under.start();
  std::vector<std::shared_ptr<const Told>> Streams;
  Streams.reserve(12);
  for (int Each = 0; Each < 12; ++Each)
    Streams.push_back(
        Under.caller().start(Under.chat(0, "guide", Tokens, true)));
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(Streams.begin(), Streams.end(),
                           [](const auto &S) { return !S->m_Body.empty(); });
      },
      10s));
  Process &Entry = *Under.instances()[0].m_Entry;
  Entry.signal(SIGTERM);
  const Told Late = Under.caller().call(Under.chat(0, "guide", 5, false));
  BOOST_TEST(Late.m_Status != 200U);
  BOOST_TEST(runUntil([&] { return ended(Streams); }, 20s));
  for (const auto &Each : Streams) {
    BOOST_TEST(isWholeAnswer(Each->text(), Tokens));
    BOOST_TEST(Each->streamEnded());
  }
  const std::optional<int> Code = Entry.wait(10s);
  BOOST_TEST((Code == 0), "exit code " << Code.value_or(-1));
}

// Every instance is stopped and started again, one after the other, while
// callers keep asking. A caller that is refused was told so before its call
// ran; no answer that began is cut.
BOOST_AUTO_TEST_CASE(AllInstancesAreReplacedUnderLoad) {
  Fleet Under(longAnswers());
  Under.start();
  std::vector<std::shared_ptr<const Told>> All;
  std::size_t Turn = 0;
  const auto Ask = [&] {
    ++Turn;
    All.push_back(Under.caller().start(
        Under.chat(Turn % 3, Turn % 2 == 0 ? "guide" : "urgent", 30, true)));
  };
  for (std::size_t Index = 0; Index < 3; ++Index) {
    for (int Each = 0; Each < 6; ++Each)
      Ask();
    runFor(150ms);
    TestInstance &Leaving = Under.instances()[Index];
    Leaving.m_Entry->signal(SIGTERM);
    for (int Each = 0; Each < 6; ++Each)
      Ask();
    BOOST_TEST((Leaving.m_Entry->wait(20s) == 0));
    Leaving.m_Dispatcher->signal(SIGTERM);
    BOOST_TEST((Leaving.m_Dispatcher->wait(10s) == 0));
    Under.startInstance(Index);
    BOOST_TEST(Under.waitReady(Index, 15s));
  }
  BOOST_TEST(runUntil([&] { return ended(All); }, 30s));
  std::size_t Whole = 0;
  for (const auto &Each : All) {
    if (Each->m_Status == 200) {
      BOOST_TEST(isWholeAnswer(Each->text(), 30), Each->m_Body);
      ++Whole;
    } else {
      BOOST_TEST((Each->m_Run == "not-run" || Each->m_Status == 0));
    }
  }
  BOOST_TEST_MESSAGE(Whole << " of " << All.size() << " answered whole");
  BOOST_TEST(Whole * 2 >= All.size());
}
