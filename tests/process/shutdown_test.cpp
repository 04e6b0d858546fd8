/// A graceful shutdown truncates no answer, and a rolling restart works.
#define BOOST_TEST_MODULE shutdown
#include "process/fleet.h"
#include "unit/loopback_peer.h"

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
  // A request that is read before the signal is handled is served.
  BOOST_TEST(runUntil(
      [&] { return Entry.log().find("ProgramStopping") != std::string::npos; },
      5s));
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

// Guards against a reset that destroys the last answer of a caller which has
// sent its next request, as the process ends.
BOOST_AUTO_TEST_CASE(TheEndOfAnEntryDestroysNoAnswer) {
  constexpr std::size_t LongAnswer = 4000;
  FleetPlan Plan;
  Plan.m_EngineSettings = "token_ms = 0.2\n";
  Fleet TestFleet(Plan);
  TestFleet.start();
  const Call Request = TestFleet.chatCall(0, "guide", LongAnswer, false);
  std::string Text = "POST " + Request.m_Path + " HTTP/1.1\r\nHost: h\r\n";
  for (const auto &[Name, Value] : Request.m_Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(Request.m_Body.size()) + "\r\n\r\n" + Request.m_Body;
  constexpr int SmallBuffer = 4096;
  const auto Caller = Peer::connect(Request.m_Address, SmallBuffer);
  Caller->send(Text);
  runFor(200ms);
  Process &Entry = *TestFleet.instances()[0].m_Entry;
  Entry.signal(SIGTERM);
  char Byte = 0;
  BOOST_TEST(runUntil(
      [&] { return recv(Caller->fd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0; },
      10s));
  Entry.wait(300ms);
  Caller->send(Text);
  runFor(100ms);
  BOOST_TEST(runUntil([&] { return Caller->isClosed(); }, 5s));
  const std::size_t Body = Caller->received().find("\r\n\r\n") + 4;
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 200 "));
  const auto Answer =
      nlohmann::json::parse(Caller->received().substr(Body), nullptr, false);
  BOOST_TEST(!Answer.is_discarded());
  BOOST_TEST((Entry.wait(10s) == 0));
}
