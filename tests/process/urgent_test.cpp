/// Urgent calls are never refused or preempted in favour of a lower tier, and
/// calls of a lower tier are served in the end.
#define BOOST_TEST_MODULE urgent
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

using CallResults = std::vector<std::shared_ptr<const CallResult>>;

bool allEnded(const CallResults &Answers) {
  return std::all_of(Answers.begin(), Answers.end(),
                     [](const auto &Answer) { return Answer->m_Ended; });
}

} // namespace

// A burst of urgent requests arrives while long preemptible calls occupy every
// slot. The first byte of each urgent answer comes within 2 s; the preempted
// calls are resumed, and each of their answers is complete in the end.
BOOST_AUTO_TEST_CASE(BurstOfUrgentWorkOverRunningGuides) {
  FleetPlan Plan;
  Plan.m_EngineCount = 2;
  Plan.m_SlotsPerEngine = 4;
  Plan.m_EngineSettings = "token_ms = 10\nbatch_penalty = 0\n";
  Fleet TestFleet(Plan);
  TestFleet.start();
  CallResults Guides;
  for (std::size_t I = 0; I < 16; ++I)
    Guides.push_back(TestFleet.caller().start(TestFleet.chatCall(
        I % 3, "guide", 250, true, "guide " + std::to_string(I))));
  runFor(500ms);
  CallResults Urgent;
  for (std::size_t I = 0; I < 16; ++I)
    Urgent.push_back(TestFleet.caller().start(TestFleet.chatCall(
        I % 3, "urgent", 10, true, "urgent " + std::to_string(I))));
  BOOST_TEST(runUntil([&] { return allEnded(Urgent); }, 20s));
  for (const auto &Answer : Urgent) {
    BOOST_TEST(Answer->m_Status == 200U, Answer->m_Body);
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 10));
    BOOST_TEST((Answer->m_FirstByteTime < 2s));
  }
  BOOST_TEST(runUntil([&] { return allEnded(Guides); }, 60s));
  for (const auto &Answer : Guides) {
    BOOST_TEST(Answer->m_Status == 200U, Answer->m_Body);
    BOOST_TEST(isCompleteAnswer(Answer->completionText(), 250),
               Answer->m_Body.size());
  }
}

// A class is at its rate limit: the request is refused at once, with the reason
// and a Retry-After. It does not wait for its deadline.
BOOST_AUTO_TEST_CASE(RefusalAtALimitComesAtOnce) {
  FleetPlan Plan;
  Plan.m_TableCsv =
      "id,class,service,model,tier,weight,first_token_ms,token_ms,total_ms,"
      "max_tokens,max_rate,repeatable,preemptible\n"
      "1,check,desk,,1,40,500,0,5000,0,5,yes,no\n"
      "4,guide,writer,m,5,10,10000,200,60000,2000,0,yes,yes\n";
  Fleet TestFleet(Plan);
  TestFleet.start();
  CallResults Answers;
  for (std::size_t I = 0; I < 40; ++I)
    Answers.push_back(
        TestFleet.caller().start(TestFleet.deskCall(I % 3, "check", "", "{}")));
  BOOST_TEST(runUntil([&] { return allEnded(Answers); }, 10s));
  std::size_t Refused = 0;
  for (const auto &Answer : Answers) {
    if (Answer->m_Status == 200)
      continue;
    ++Refused;
    BOOST_TEST(Answer->m_Status == 429U);
    BOOST_TEST(Answer->errorCode() == "class_rate");
    BOOST_TEST(Answer->m_Run == "not-run");
    BOOST_TEST(!Answer->m_RetryAfter.empty());
    BOOST_TEST((Answer->m_Elapsed < 1s));
  }
  BOOST_TEST(Refused > 20U);
}
