/// Upstreams that crash, lose connections, announce that they drain or are
/// drained while calls run.
#define BOOST_TEST_MODULE upstream
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

FleetPlan threeEngines() {
  FleetPlan Plan;
  Plan.m_EngineCount = 3;
  Plan.m_EngineSettings = "token_ms = 10\n";
  return Plan;
}

std::size_t recordedCallsAt(Fleet &TestFleet, const std::string &Upstream) {
  std::size_t Count = 0;
  for (const RecordedCall &Record : TestFleet.recordedCalls("writer"))
    Count += Record.m_Upstream == Upstream ? 1 : 0;
  return Count;
}

bool allEnded(const std::vector<std::shared_ptr<const CallResult>> &Answers) {
  return std::all_of(Answers.begin(), Answers.end(),
                     [](const auto &Answer) { return Answer->m_Ended; });
}

} // namespace

// An engine breaks off every stream after 10 tokens. The caller gets one
// complete answer: another engine resumes it where the first one stopped, and
// no token is repeated.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedElsewhere) {
  Fleet TestFleet(threeEngines());
  TestFleet.start();
  TestFleet.setUpstreamFault(
      "writer-1",
      {{"mode", "crash_mid_stream"}, {"after_tokens", 10}, {"count", 0}});
  std::vector<std::shared_ptr<const CallResult>> Answers;
  for (std::size_t I = 0; I < 12; ++I)
    Answers.push_back(TestFleet.caller().start(TestFleet.chatCall(
        I % 3, "guide", 40, true, "prompt " + std::to_string(I))));
  BOOST_TEST(runUntil([&] { return allEnded(Answers); }, 30s));
  for (const auto &Answer : Answers) {
    BOOST_TEST(Answer->m_Status == 200U, Answer->m_Body);
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 40), Answer->m_Body);
    BOOST_TEST(Answer->isStreamComplete());
  }
  BOOST_TEST(recordedCallsAt(TestFleet, "writer-1") > 0U);
}

// The connections to an engine break in the middle of its streams, and new ones
// are refused. Callers get complete answers: the other engines resume them.
BOOST_AUTO_TEST_CASE(CutLinkToAnEngineIsResumedElsewhere) {
  FleetPlan Plan = threeEngines();
  Plan.m_RelayUpstreams = true;
  Fleet TestFleet(Plan);
  TestFleet.start();
  std::vector<std::shared_ptr<const CallResult>> Answers;
  for (std::size_t I = 0; I < 9; ++I)
    Answers.push_back(TestFleet.caller().start(TestFleet.chatCall(
        I % 3, "guide", 100, true, "cut " + std::to_string(I))));
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(
            Answers.begin(), Answers.end(),
            [](const auto &Answer) { return !Answer->m_Body.empty(); });
      },
      10s));
  TestFleet.setUpstreamBlocked("writer-1", true);
  BOOST_TEST(runUntil([&] { return allEnded(Answers); }, 30s));
  for (const auto &Answer : Answers)
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 100), Answer->m_Body);
  BOOST_TEST(recordedCallsAt(TestFleet, "writer-1") > 0U);
}

// A keyed call reaches an upstream that closes the connection before it
// answers. Whether it ran can't be known: the caller is answered "unknown", and
// the call is not sent elsewhere.
BOOST_AUTO_TEST_CASE(ClosedKeyedCallIsUnknownAndNotRepeated) {
  FleetPlan Plan;
  Plan.m_ServiceCount = 2;
  Fleet TestFleet(Plan);
  TestFleet.start();
  for (const char *Name : {"desk-1", "desk-2"})
    TestFleet.setUpstreamFault(Name, {{"mode", "drop_answer"}, {"count", 0}});
  const CallResult First = TestFleet.caller().call(
      TestFleet.deskCall(0, "hold", "closed-1", "{\"seat\":1}"));
  BOOST_TEST(First.m_Run == "unknown", First.m_Body);
  for (const char *Name : {"desk-1", "desk-2"})
    TestFleet.setUpstreamFault(Name, {{"mode", "none"}});
  const CallResult Again = TestFleet.caller().call(
      TestFleet.deskCall(1, "hold", "closed-1", "{\"seat\":1}"));
  BOOST_TEST(Again.m_Run == "unknown", Again.m_Body);
  std::size_t Ran = 0;
  for (const RecordedCall &Record : TestFleet.recordedCalls("desk"))
    Ran +=
        Record.m_IdempotencyKey.find("closed-1") != std::string::npos ? 1 : 0;
  BOOST_TEST(Ran <= 1U);
}

// An operator drains an engine. After five seconds it gets no new calls, and
// its running calls are not truncated.
BOOST_AUTO_TEST_CASE(DrainedEngineGetsNothingNewAndCutsNothing) {
  Fleet TestFleet(threeEngines());
  TestFleet.start();
  std::vector<std::shared_ptr<const CallResult>> Running;
  for (std::size_t I = 0; I < 9; ++I)
    Running.push_back(TestFleet.caller().start(
        TestFleet.chatCall(I % 3, "guide", 150, true)));
  runFor(300ms);
  TestFleet.caller().json("PUT", TestFleet.instances()[1].m_AdminAddress,
                          "/v1/drains/upstream/writer-2", nullptr,
                          "operator-key");
  runFor(5s);
  const std::size_t Before = recordedCallsAt(TestFleet, "writer-2");
  std::vector<std::shared_ptr<const CallResult>> Later;
  for (std::size_t I = 0; I < 18; ++I)
    Later.push_back(
        TestFleet.caller().start(TestFleet.chatCall(I % 3, "guide", 10, true)));
  BOOST_TEST(
      runUntil([&] { return allEnded(Running) && allEnded(Later); }, 30s));
  BOOST_TEST(recordedCallsAt(TestFleet, "writer-2") == Before);
  for (const auto &Answer : Running)
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 150), Answer->m_Body);
  for (const auto &Answer : Later)
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 10), Answer->m_Body);
}

// An engine reports that it is draining while the platform's directory, which
// lags, still lists it as in service. Callers get complete answers, and no call
// runs on that engine.
BOOST_AUTO_TEST_CASE(LeavingEngineIsBelievedBeforeTheList) {
  Fleet TestFleet(threeEngines());
  TestFleet.start();
  TestFleet.caller().json("POST", TestFleet.upstreamAddress("writer-3"),
                          "/v1/drain", {{"leaving", true}});
  std::vector<std::shared_ptr<const CallResult>> Answers;
  for (std::size_t I = 0; I < 9; ++I)
    Answers.push_back(
        TestFleet.caller().start(TestFleet.chatCall(I % 3, "guide", 10, true)));
  BOOST_TEST(runUntil([&] { return allEnded(Answers); }, 20s));
  for (const auto &Answer : Answers)
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 10), Answer->m_Body);
  BOOST_TEST(recordedCallsAt(TestFleet, "writer-3") == 0U);
}

// The calls of callers that disconnect are cancelled at the engine, so that the
// next request does not wait until they are complete.
BOOST_AUTO_TEST_CASE(GoneCallerCancelsTheEngine) {
  FleetPlan Plan;
  Plan.m_EngineCount = 1;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Fleet TestFleet(Plan);
  TestFleet.start();
  {
    Caller LeavingCaller;
    std::vector<std::shared_ptr<const CallResult>> Answers;
    for (std::size_t I = 0; I < 4; ++I)
      Answers.push_back(
          LeavingCaller.start(TestFleet.chatCall(0, "guide", 2000, true)));
    runUntil(
        [&] {
          return std::all_of(
              Answers.begin(), Answers.end(),
              [](const auto &Answer) { return !Answer->m_Body.empty(); });
        },
        10s);
  }
  const CallResult Next =
      TestFleet.caller().call(TestFleet.chatCall(1, "guide", 5, false));
  BOOST_TEST(Next.m_Status == 200U, Next.m_Body);
  BOOST_TEST((Next.m_Elapsed < 5s));
}
