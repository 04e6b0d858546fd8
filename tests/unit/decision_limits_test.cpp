/// Limits of the operators' table, retry budgets and estimated output lengths.
#define BOOST_TEST_MODULE decision_limits
#include "decision/learned.h"
#include "decision_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::decision;
using namespace crowstep::decision::test;

namespace {

/// One class on one large engine and one of a single slot.
struct OneClass : DeciderSimulation {
  explicit OneClass(const std::function<void(Contract &)> &Change,
                    std::uint32_t Slots = 1000) {
    Contract Row = row(1, 1, 1s, 10s);
    Change(Row);
    setTable({Row});
    setUpstreams({engine(1, Slots), engine(2, 1)});
  }

  [[nodiscard]] std::optional<RefusalReason> refused(const RequestId &Id) {
    return m_Outcomes[Id].m_RefusalReason;
  }
};

} // namespace

RC_BOOST_PROP(NoWindowAdmitsMoreThanItsRateAndBurst, ()) {
  const auto Rate = *rc::gen::inRange(1U, 20U);
  const auto Gaps = *rc::gen::container<std::vector<unsigned>>(
      200, rc::gen::inRange(0U, 200U));
  OneClass Sim([&](Contract &Row) { Row.m_WorkspaceRate = Rate; });
  std::vector<TimePoint> Admitted;
  for (const unsigned Gap : Gaps) {
    Sim.advance(std::chrono::milliseconds(Gap));
    const RequestId Id = Sim.submit(1, 1, 1ms);
    if (!Sim.refused(Id)) {
      Admitted.push_back(Sim.m_Clock.now());
      continue;
    }
    RC_ASSERT(Sim.refused(Id) == RefusalReason::WorkspaceRate);
    // Other workspaces are not affected, and a retry after the stated delay
    // succeeds.
    RC_ASSERT(!Sim.refused(Sim.submit(1, 2 + Admitted.size(), 1ms)));
    Sim.advance(Sim.m_Outcomes[Id].m_RetryAfter);
    RC_ASSERT(!Sim.refused(Sim.submit(1, 1, 1ms)));
    Admitted.push_back(Sim.m_Clock.now());
  }
  for (std::size_t From = 0; From < Admitted.size(); ++From)
    for (std::size_t To = From; To < Admitted.size(); ++To)
      RC_ASSERT(static_cast<double>(To - From + 1) <=
                Rate * toSeconds(Admitted[To] - Admitted[From]) + Rate + 1.01);
}

// Answers become ten times as long as estimated. Tokens beyond the estimate are
// charged to later bids, so that the rate holds on average.
BOOST_AUTO_TEST_CASE(TokensAreChargedAsGenerated) {
  OneClass Sim([](Contract &Row) { Row.m_MaxTokenRate = 500; });
  for (int I = 0; I < 1200; ++I) {
    Sim.submit(1, 1, I < 100 ? 300ms : 3s);
    Sim.advance(100ms);
  }
  const double Seconds = 120;
  const auto Generated = static_cast<double>(Sim.m_Tokens[ClassId(1)]);
  BOOST_TEST(Generated <= 1.15 * 500 * Seconds);
  BOOST_TEST(Generated >= 0.7 * 500 * Seconds);
}

BOOST_AUTO_TEST_CASE(RunOfLongAnswersIsForgotten) {
  Quantile Length(0.7);
  for (int I = 0; I < 500; ++I)
    Length.add(100);
  const double Usual = Length.value();
  for (int I = 0; I < 2000; ++I)
    Length.add(8000);
  BOOST_TEST(Length.value() > 6000);
  for (int I = 0; I < 500; ++I)
    Length.add(100);
  BOOST_TEST(Length.value() < 1.5 * Usual);
}

// One workspace fills the class's queue. A bid of another one must not be
// refused on arrival: the last bid of the first gives up its place.
BOOST_AUTO_TEST_CASE(FullQueueTakesFromTheLargestWorkspace) {
  OneClass Sim([](Contract &Row) { Row.m_MaxQueue = 10; }, 1);
  std::vector<RequestId> Flood;
  Flood.reserve(12);
  for (int I = 0; I < 12; ++I)
    Flood.push_back(Sim.submit(1, 1, 5s));
  BOOST_TEST(!Sim.refused(Flood.back()));
  BOOST_TEST((Sim.refused(Sim.submit(1, 1, 5s)) == RefusalReason::QueueFull));
  BOOST_TEST(!Sim.refused(Sim.submit(1, 2, 5s)));
  BOOST_TEST((Sim.refused(Flood.back()) == RefusalReason::QueueFull));
  BOOST_TEST(Sim.m_Waiting.size() == 10U);
}

// Every attempt fails. Retries must end when the class's budget is used up, so
// that they do not overload the upstreams.
BOOST_AUTO_TEST_CASE(RetriesEndWithTheBudget) {
  OneClass Sim([](Contract &Row) { Row.m_RetryPercent = 10; });
  Sim.m_OnGrant = [&Sim](const RequestId &Id) { Sim.end(Id, WorkEnd::Failed); };
  unsigned Grants = 0;
  for (int I = 0; I < 500; ++I) {
    Sim.submit(1, 1, 1s);
    Sim.advance(50ms);
  }
  for (const auto &[Id, Result] : Sim.m_Outcomes)
    Grants += Result.m_Grants;
  BOOST_TEST(Grants > 500U + 50U);
  BOOST_TEST(Grants <= 500U + 50U + 20U);
}

// Preempted work bids again, dozens of times. As the pool caused this, neither
// a retry budget of zero nor a rate limit may refuse it.
BOOST_AUTO_TEST_CASE(PreemptedWorkIsChargedForNoRetry) {
  DeciderSimulation Sim;
  Contract Batch = row(3, 5, 20s, 90s, true);
  Batch.m_RetryPercent = 0;
  Batch.m_MaxRate = 1;
  Sim.setTable({row(1, 1, 200ms, 2s), Batch});
  Sim.setUpstreams({engine(1, 1)});
  const RequestId Long = Sim.submit(3, 1, 30s);
  for (int I = 0; I < 40; ++I) {
    Sim.submit(1, 1, 100ms);
    Sim.advance(1s);
  }
  BOOST_TEST(Sim.m_Decider.stats().m_Preempted >= 20U);
  Sim.advance(60s);
  BOOST_TEST(Sim.m_Outcomes[Long].m_Finished);
}
