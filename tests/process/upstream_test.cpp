/// Upstreams crash, crawl, leave and are drained while callers wait.
#define BOOST_TEST_MODULE upstream
#include "process/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

FleetPlan threeEngines() {
  FleetPlan Plan;
  Plan.m_Engines = 3;
  Plan.m_EngineSettings = "token_ms = 10\n";
  return Plan;
}

std::size_t ranAt(Fleet &Under, const std::string &Upstream) {
  std::size_t Count = 0;
  for (const RanCall &Each : Under.ran("writer"))
    Count += Each.m_Upstream == Upstream ? 1 : 0;
  return Count;
}

bool allEnded(const std::vector<std::shared_ptr<const Told>> &All) {
  return std::all_of(All.begin(), All.end(),
                     [](const auto &Each) { return Each->m_Ended; });
}

} // namespace

// An engine closes every stream in the middle. The reader sees one whole
// answer: what is missing comes from another engine, from where the first one
// stopped, and no token comes twice.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedElsewhere) {
  Fleet Under(threeEngines());
  Under.start();
  Under.upstreamFault(
      "writer-1",
      {{"mode", "crash_mid_stream"}, {"after_tokens", 10}, {"count", 0}});
  std::vector<std::shared_ptr<const Told>> All;
  for (std::size_t Each = 0; Each < 12; ++Each)
    All.push_back(Under.caller().start(Under.chat(
        Each % 3, "guide", 40, true, "prompt " + std::to_string(Each))));
  BOOST_TEST(runUntil([&] { return allEnded(All); }, 30s));
  for (const auto &Each : All) {
    BOOST_TEST(Each->m_Status == 200U, Each->m_Body);
    BOOST_TEST(isWholeAnswer(Each->text(), 40), Each->m_Body);
    BOOST_TEST(Each->streamEnded());
  }
  BOOST_TEST(ranAt(Under, "writer-1") > 0U);
}

// The link to an engine is cut in the middle of all its streams, and stays cut.
// Readers see whole answers: the rest comes from the engines that are left.
BOOST_AUTO_TEST_CASE(CutLinkToAnEngineIsResumedElsewhere) {
  FleetPlan Plan = threeEngines();
  Plan.m_CanCutUpstreams = true;
  Fleet Under(Plan);
  Under.start();
  std::vector<std::shared_ptr<const Told>> All;
  for (std::size_t Each = 0; Each < 9; ++Each)
    All.push_back(Under.caller().start(Under.chat(
        Each % 3, "guide", 100, true, "cut " + std::to_string(Each))));
  BOOST_TEST(runUntil(
      [&] {
        return std::all_of(All.begin(), All.end(), [](const auto &Each) {
          return !Each->m_Body.empty();
        });
      },
      10s));
  Under.cutUpstream("writer-1", true);
  BOOST_TEST(runUntil([&] { return allEnded(All); }, 30s));
  for (const auto &Each : All)
    BOOST_TEST(isWholeAnswer(Each->text(), 100), Each->m_Body);
  BOOST_TEST(ranAt(Under, "writer-1") > 0U);
}

// Keyed calls reach a desk that closes before it answers. Nobody can know
// whether it ran: the caller is told "unknown", and it runs nowhere else.
BOOST_AUTO_TEST_CASE(ClosedKeyedCallIsUnknownAndNotRepeated) {
  FleetPlan Plan;
  Plan.m_Services = 2;
  Fleet Under(Plan);
  Under.start();
  for (const char *Name : {"desk-1", "desk-2"})
    Under.upstreamFault(Name, {{"mode", "drop_answer"}, {"count", 0}});
  const Told First =
      Under.caller().call(Under.desk(0, "hold", "closed-1", "{\"seat\":1}"));
  BOOST_TEST(First.m_Run == "unknown", First.m_Body);
  for (const char *Name : {"desk-1", "desk-2"})
    Under.upstreamFault(Name, {{"mode", "none"}});
  const Told Again =
      Under.caller().call(Under.desk(1, "hold", "closed-1", "{\"seat\":1}"));
  BOOST_TEST(Again.m_Run == "unknown", Again.m_Body);
  std::size_t Ran = 0;
  for (const RanCall &Each : Under.ran("desk"))
    Ran += Each.m_Key.find("closed-1") != std::string::npos ? 1 : 0;
  BOOST_TEST(Ran <= 1U);
}

// An operator drains an engine. After five seconds it gets nothing new, and
// what it was doing is not cut.
BOOST_AUTO_TEST_CASE(DrainedEngineGetsNothingNewAndCutsNothing) {
  Fleet Under(threeEngines());
  Under.start();
  std::vector<std::shared_ptr<const Told>> Running;
  for (std::size_t Each = 0; Each < 9; ++Each)
    Running.push_back(
        Under.caller().start(Under.chat(Each % 3, "guide", 150, true)));
  runFor(300ms);
  Under.caller().json("PUT", Under.instances()[1].m_Admin,
                      "/v1/drains/upstream/writer-2", nullptr, "operator-key");
  runFor(5s);
  const std::size_t Before = ranAt(Under, "writer-2");
  std::vector<std::shared_ptr<const Told>> Later;
  for (std::size_t Each = 0; Each < 18; ++Each)
    Later.push_back(
        Under.caller().start(Under.chat(Each % 3, "guide", 10, true)));
  BOOST_TEST(
      runUntil([&] { return allEnded(Running) && allEnded(Later); }, 30s));
  BOOST_TEST(ranAt(Under, "writer-2") == Before);
  for (const auto &Each : Running)
    BOOST_TEST(isWholeAnswer(Each->text(), 150), Each->m_Body);
  for (const auto &Each : Later)
    BOOST_TEST(isWholeAnswer(Each->text(), 10), Each->m_Body);
}

// An engine says that it is leaving while the platform's list, which lags,
// still shows it. Callers see whole answers; after a few seconds no call
// reaches it.
BOOST_AUTO_TEST_CASE(LeavingEngineIsBelievedBeforeTheList) {
  Fleet Under(threeEngines());
  Under.start();
  Under.caller().json("POST", Under.upstreamAddress("writer-3"), "/v1/drain",
                      {{"leaving", true}});
  std::vector<std::shared_ptr<const Told>> All;
  for (std::size_t Each = 0; Each < 9; ++Each)
    All.push_back(
        Under.caller().start(Under.chat(Each % 3, "guide", 10, true)));
  BOOST_TEST(runUntil([&] { return allEnded(All); }, 20s));
  for (const auto &Each : All)
    BOOST_TEST(isWholeAnswer(Each->text(), 10), Each->m_Body);
  BOOST_TEST(ranAt(Under, "writer-3") == 0U);
}

// Callers that go away free their engine: the engine stops generating for
// nobody, and the next caller does not wait behind them.
BOOST_AUTO_TEST_CASE(GoneCallerCancelsTheEngine) {
  FleetPlan Plan;
  Plan.m_Engines = 1;
  Plan.m_EngineSettings = "token_ms = 10\n";
  Fleet Under(Plan);
  Under.start();
  {
    Caller Gone;
    std::vector<std::shared_ptr<const Told>> All;
    for (std::size_t Each = 0; Each < 4; ++Each)
      All.push_back(Gone.start(Under.chat(0, "guide", 2000, true)));
    runUntil(
        [&] {
          return std::all_of(All.begin(), All.end(),
                             [](const auto &S) { return !S->m_Body.empty(); });
        },
        10s);
  }
  const Told Next = Under.caller().call(Under.chat(1, "guide", 5, false));
  BOOST_TEST(Next.m_Status == 200U, Next.m_Body);
  BOOST_TEST((Next.m_Elapsed < 5s));
}
