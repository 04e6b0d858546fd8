/// A graceful shutdown truncates no answer, and a rolling restart works.
#define BOOST_TEST_MODULE shutdown
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Tokens = 80;

bool allEnded(const std::vector<std::shared_ptr<const CallResult>> &Answers) {
  return std::all_of(Answers.begin(), Answers.end(),
                     [](const auto &Answer) { return Answer->m_Ended; });
}

FleetPlan longAnswers() {
  FleetPlan Plan;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Plan.m_SlotsPerEngine = 16;
  return Plan;
}

} // namespace

// An entry gets SIGTERM while it streams answers. Each stream runs to its end,
// new requests are not served, and the entry then exits with 0.
BOOST_AUTO_TEST_CASE(StoppingEntryFinishesItsStreams) {
  Fleet TestFleet(longAnswers());
  TestFleet.start();
  std::vector<std::shared_ptr<const CallResult>> Streams;
  Streams.reserve(12);
  for (int I = 0; I < 12; ++I)
    Streams.push_back(
        TestFleet.caller().start(TestFleet.chatCall(0, "guide", Tokens, true)));
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(
            Streams.begin(), Streams.end(),
            [](const auto &Answer) { return !Answer->m_Body.empty(); });
      },
      10s));
  Process &Entry = *TestFleet.instances()[0].m_Entry;
  Entry.signal(SIGTERM);
  const CallResult Late =
      TestFleet.caller().call(TestFleet.chatCall(0, "guide", 5, false));
  BOOST_TEST(Late.m_Status != 200U);
  BOOST_TEST(runUntil([&] { return allEnded(Streams); }, 20s));
  for (const auto &Answer : Streams) {
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), Tokens));
    BOOST_TEST(Answer->isStreamComplete());
  }
  const std::optional<int> Code = Entry.wait(10s);
  BOOST_TEST((Code == 0), "exit code " << Code.value_or(-1));
}

// Rolling restart under load: every instance is stopped and started again in
// turn. A request that is refused has not run, and no answer that has begun is
// truncated.
BOOST_AUTO_TEST_CASE(AllInstancesAreReplacedUnderLoad) {
  Fleet TestFleet(longAnswers());
  TestFleet.start();
  std::vector<std::shared_ptr<const CallResult>> Answers;
  std::size_t CallNumber = 0;
  const auto StartCall = [&] {
    ++CallNumber;
    Answers.push_back(TestFleet.caller().start(TestFleet.chatCall(
        CallNumber % 3, CallNumber % 2 == 0 ? "guide" : "urgent", 30, true)));
  };
  for (std::size_t Index = 0; Index < 3; ++Index) {
    for (int I = 0; I < 6; ++I)
      StartCall();
    runFor(150ms);
    TestInstance &Stopping = TestFleet.instances()[Index];
    Stopping.m_Entry->signal(SIGTERM);
    for (int I = 0; I < 6; ++I)
      StartCall();
    BOOST_TEST((Stopping.m_Entry->wait(20s) == 0));
    Stopping.m_Dispatcher->signal(SIGTERM);
    BOOST_TEST((Stopping.m_Dispatcher->wait(10s) == 0));
    TestFleet.startInstance(Index);
    BOOST_TEST(TestFleet.waitUntilReady(Index, 15s));
  }
  BOOST_TEST(runUntil([&] { return allEnded(Answers); }, 30s));
  std::size_t Whole = 0;
  for (const auto &Answer : Answers) {
    if (Answer->m_Status == 200) {
      BOOST_TEST(isCompleteAnswer(Answer->completionText(), 30),
                 Answer->m_Body);
      ++Whole;
    } else {
      BOOST_TEST((Answer->m_Run == "not-run" || Answer->m_Status == 0));
    }
  }
  BOOST_TEST_MESSAGE(Whole << " of " << Answers.size() << " answered whole");
  BOOST_TEST(Whole * 2 >= Answers.size());
}
