/// Tests of the properties of the stand-ins on which the router's tests rely:
/// tokens depend on their prompt, a resumed stream continues the same answer,
/// urgent work is admitted first, writes are conditional, reports are late.
#define BOOST_TEST_MODULE standin
#include "load/token_text.h"
#include "standin/engine_batch.h"
#include "standin/platform_store.h"
#include "standin/upstream_state.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr TimePoint Start{1h};

/// An engine whose steps the test runs.
struct ManualEngine {
  EngineSettings m_Settings;            ///< Set before m_Batch is used.
  std::vector<std::uint64_t> m_Evicted; ///< Prefixes that the cache evicted.
  EngineBatch m_Batch{m_Settings, [this](std::uint64_t Prefix, bool Added) {
                        if (!Added)
                          m_Evicted.push_back(Prefix);
                      }};
  TimePoint m_Now = Start; ///< End of the last step.

  SequenceId add(int Priority, std::uint64_t Length, std::uint64_t From = 0) {
    Sequence Work;
    Work.m_Priority = Priority;
    Work.m_TotalTokens = Length;
    Work.m_NextToken = From;
    return m_Batch.add(std::move(Work));
  }

  std::vector<GeneratedToken> step() {
    m_Now = m_Batch.beginStep(m_Now).value();
    return m_Batch.finishStep();
  }
};

json insertOf(const std::string &Key, std::uint64_t Expected) {
  return {
      {"writes", {{{"key", Key}, {"expected", Expected}, {"value", "{}"}}}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(TokensNameTheirPromptAndPlace) {
  const json Chat = {{"messages",
                      {{{"role", "system"}, {"content", "a"}},
                       {{"role", "user"}, {"content", "b"}}}}};
  BOOST_TEST(load::promptOf(Chat) == "a\nb");
  const std::uint32_t Hash = load::promptHashOf("a\nb");
  BOOST_TEST(load::tokenText(7, Hash).starts_with("t7."));
  BOOST_TEST(load::tokenText(7, Hash) !=
             load::tokenText(7, load::promptHashOf("a\nc")));
}

BOOST_AUTO_TEST_CASE(LengthDependsOnThePromptAlone) {
  const EngineSettings Config;
  BOOST_TEST(naturalLength(Config, "x [len=17] y") == 17U);
  BOOST_TEST(naturalLength(Config, "same") == naturalLength(Config, "same"));
}

BOOST_AUTO_TEST_CASE(ResumedSequenceGivesTheRestOnly) {
  ManualEngine Engine;
  Engine.add(0, 5, 3);
  BOOST_TEST(Engine.step().at(0).m_Index == 3U);
  const GeneratedToken Last = Engine.step().at(0);
  BOOST_TEST(Last.m_Index == 4U);
  BOOST_TEST(Last.m_IsLast);
}

BOOST_AUTO_TEST_CASE(UrgentWorkIsAdmittedFirstAndStepsGrowWithTheBatch) {
  ManualEngine Engine;
  Engine.m_Settings.m_Slots = 2;
  Engine.m_Settings.m_TokenTime = 10ms;
  Engine.m_Settings.m_BatchPenalty = 0.5;
  const SequenceId Late = Engine.add(5, 1);
  const SequenceId Early = Engine.add(1, 1);
  const SequenceId Middle = Engine.add(3, 1);
  const std::vector<GeneratedToken> First = Engine.step();
  BOOST_TEST(First.size() == 2U);
  for (const GeneratedToken &Token : First)
    BOOST_TEST((Token.m_Sequence == Early || Token.m_Sequence == Middle));
  BOOST_TEST((Engine.m_Now - Start == 15ms));
  BOOST_TEST((Engine.step().at(0).m_Sequence == Late));
}

BOOST_AUTO_TEST_CASE(CachedPrefixIsNotPrefilledAgainUntilEvicted) {
  PrefixCache Cache(2, [](std::uint64_t, bool) {});
  const auto First = prefixHashes(std::string(600, 'a'));
  const auto Second = prefixHashes(std::string(300, 'b'));
  BOOST_TEST(First.size() == 2U);
  BOOST_TEST(Cache.matchAndInsert(First) == 0U);
  BOOST_TEST(Cache.matchAndInsert(First) == 2U);
  BOOST_TEST(Cache.matchAndInsert(Second) ==
             0U); // Evicts the second block of the first.
  BOOST_TEST(Cache.matchAndInsert(First) == 1U);
}

BOOST_AUTO_TEST_CASE(WritesStandOnlyAgainstTheExpectedVersion) {
  PlatformStore Store;
  const json First = Store.write("t", insertOf("k", 0), Start);
  BOOST_TEST(First["outcomes"][0]["written"].get<bool>());
  const json Second = Store.write("t", insertOf("k", 0), Start);
  BOOST_TEST(!Second["outcomes"][0]["written"].get<bool>());
  BOOST_TEST(Second["outcomes"][0]["row"] == First["outcomes"][0]["row"]);
  // A row that is inserted again does not get its old version.
  json Delete = insertOf("k", 1);
  Delete["writes"][0]["value"] = nullptr;
  BOOST_TEST(
      Store.write("t", Delete, Start)["outcomes"][0]["written"].get<bool>());
  const json Again = Store.write("t", insertOf("k", 0), Start);
  BOOST_TEST(Again["outcomes"][0]["row"]["version"].get<int>() == 2);
}

BOOST_AUTO_TEST_CASE(ReportsAndListingAreLate) {
  LoadReports Reports(100ms);
  LoadSnapshot Busy;
  Busy.m_TakenAt = Start;
  Busy.m_Running = 3;
  Reports.addSnapshot(Busy);
  Reports.addCacheEvent(1, true, Start);
  BOOST_TEST(Reports.visibleReport(Start + 50ms, false)["running"] == 0);
  BOOST_TEST(
      Reports.visibleReport(Start + 50ms, false)["cache_events"].empty());
  BOOST_TEST(Reports.visibleReport(Start + 100ms, false)["running"] == 3);
  BOOST_TEST(
      Reports.visibleReport(Start + 100ms, false)["cache_events"].size() == 1U);
  LaggingListing Listing;
  Listing.set({{"v", 1}}, Start);
  Listing.setLag(1s);
  Listing.set({{"v", 2}}, Start + 1s);
  BOOST_TEST(Listing.visible(Start + 1s)["v"] == 1);
  BOOST_TEST(Listing.visible(Start + 2s)["v"] == 2);
}
