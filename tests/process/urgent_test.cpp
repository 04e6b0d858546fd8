/// Urgent work is never refused or stopped for lower work, and lower work is
/// served in the end.
#define BOOST_TEST_MODULE urgent
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

using Answers = std::vector<std::shared_ptr<const Told>>;

bool allEnded(const Answers &All) {
  return std::all_of(All.begin(), All.end(),
                     [](const auto &Each) { return Each->m_Ended; });
}

} // namespace

// A busload asks for urgent answers while long guides hold every slot. Each
// urgent answer comes within its target; the guides give way, are resumed, and
// every reader gets a whole guide in the end.
BOOST_AUTO_TEST_CASE(BurstOfUrgentWorkOverRunningGuides) {
  FleetPlan Plan;
  Plan.m_Engines = 2;
  Plan.m_Slots = 4;
  Plan.m_EngineSettings = "token_ms = 10\nbatch_penalty = 0\n";
  Fleet Under(Plan);
  Under.start();
  Answers Guides;
  for (std::size_t Each = 0; Each < 16; ++Each)
    Guides.push_back(Under.caller().start(Under.chat(
        Each % 3, "guide", 250, true, "guide " + std::to_string(Each))));
  runFor(500ms);
  Answers Urgent;
  for (std::size_t Each = 0; Each < 16; ++Each)
    Urgent.push_back(Under.caller().start(Under.chat(
        Each % 3, "urgent", 10, true, "urgent " + std::to_string(Each))));
  BOOST_TEST(runUntil([&] { return allEnded(Urgent); }, 20s));
  for (const auto &Each : Urgent) {
    BOOST_TEST(Each->m_Status == 200U, Each->m_Body);
    BOOST_TEST(isWholeAnswer(Each->text(), 10));
    BOOST_TEST((Each->m_FirstByte < 2s));
  }
  BOOST_TEST(runUntil([&] { return allEnded(Guides); }, 60s));
  for (const auto &Each : Guides) {
    BOOST_TEST(Each->m_Status == 200U, Each->m_Body);
    BOOST_TEST(isWholeAnswer(Each->text(), 250), Each->m_Body.size());
  }
}

// A class is at its limit: the caller gets its final answer at once, with the
// reason and a time to come back. It is not held until its deadline.
BOOST_AUTO_TEST_CASE(RefusalAtALimitComesAtOnce) {
  FleetPlan Plan;
  Plan.m_Table =
      "id,class,service,model,tier,weight,first_token_ms,token_ms,total_ms,"
      "max_tokens,max_rate,repeatable,preemptible\n"
      "1,check,desk,,1,40,500,0,5000,0,5,yes,no\n"
      "4,guide,writer,m,5,10,10000,200,60000,2000,0,yes,yes\n";
  Fleet Under(Plan);
  Under.start();
  Answers All;
  for (std::size_t Each = 0; Each < 40; ++Each)
    All.push_back(
        Under.caller().start(Under.desk(Each % 3, "check", "", "{}")));
  BOOST_TEST(runUntil([&] { return allEnded(All); }, 10s));
  std::size_t Refused = 0;
  for (const auto &Each : All) {
    if (Each->m_Status == 200)
      continue;
    ++Refused;
    BOOST_TEST(Each->m_Status == 429U);
    BOOST_TEST(Each->code() == "class_rate");
    BOOST_TEST(Each->m_Run == "not-run");
    BOOST_TEST(!Each->m_RetryAfter.empty());
    BOOST_TEST((Each->m_Elapsed < 1s));
  }
  BOOST_TEST(Refused > 20U);
}
