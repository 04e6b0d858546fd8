/// Order of service under load: tiers, floors, workspaces, late bids.
///
/// Urgent requests are in time whatever else is submitted, long work continues
/// at its floor, and a flood of one workspace does not affect a small one.
/// Arrivals are random with a fixed seed; the simulation checks each action.
#define BOOST_TEST_MODULE decision_order
#include "decision_simulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace crowstep;
using namespace crowstep::decision;
using namespace crowstep::decision::test;

namespace {

constexpr std::uint16_t Urgent = 1;
constexpr std::uint16_t Batch = 3;
constexpr int Engines = 4;
constexpr std::uint32_t Slots = 4;
constexpr double Prefill = 0.02;

/// One stream of arrivals.
struct Stream {
  std::uint16_t m_Class;     ///< Class of the requests.
  std::uint32_t m_Workspace; ///< Their workspace.
  double m_Rate;             ///< Requests per second.
  double m_Service;          ///< Mean service time in seconds.
};

/// 16 slots; urgent, interactive and batch work, the last with a floor of 1.6
/// slots.
struct LoadedPool : DeciderSimulation {
  explicit LoadedPool(PolicyKind Policy = PolicyKind::Crowstep)
      : DeciderSimulation({Policy}) {
    std::vector<Contract> Rows = {row(Urgent, 1, 500ms, 2s), row(2, 2, 2s, 10s),
                                  row(Batch, 5, 10s, 120s, true)};
    Rows[0].m_Weight = 6;
    Rows[1].m_Weight = 3;
    setTable(Rows);
    std::vector<Upstream> All;
    for (std::uint64_t Id = 1; Id <= Engines; ++Id)
      All.push_back(engine(Id, Slots));
    setUpstreams(All);
  }

  void run(const std::vector<Stream> &Streams, double Seconds) {
    std::mt19937 Random(7);
    std::multimap<double, Stream> Arrivals;
    for (const Stream &Arrival : Streams) {
      std::exponential_distribution<double> Gap(Arrival.m_Rate);
      for (double T = Gap(Random); T < Seconds; T += Gap(Random))
        Arrivals.emplace(T, Arrival);
    }
    const TimePoint Start = m_Clock.now();
    for (const auto &[T, Arrival] : Arrivals) {
      advanceTo(Start + secondsToDuration(T));
      std::exponential_distribution<double> Service(1.0 / Arrival.m_Service);
      submit(Arrival.m_Class, Arrival.m_Workspace,
             secondsToDuration(Service(Random)));
    }
    advanceTo(Start + secondsToDuration(Seconds));
  }

  void advanceTo(TimePoint Until) {
    while (m_NextSample < Until) {
      advance(std::max(Duration::zero(), m_NextSample - m_Clock.now()));
      m_BatchSlots.push_back(runningCount(ClassId(Batch)));
      m_NextSample += 250ms;
    }
    advance(Until - m_Clock.now());
  }

  /// Returns the share of first-token targets met by \p Class, of one workspace
  /// or, if 0, of all.
  [[nodiscard]] double targetsMet(std::uint16_t Class,
                                  std::uint32_t Workspace = 0) {
    double Total = 0;
    double MetCount = 0;
    for (const auto &[Id, Result] : m_Outcomes) {
      if (Result.m_Class != ClassId(Class) ||
          (Workspace != 0 && Result.m_Workspace != WorkspaceId(Workspace)))
        continue;
      Total += 1;
      MetCount +=
          Result.m_FirstTokenAt && *Result.m_FirstTokenAt <= Result.m_Target
              ? 1
              : 0;
    }
    return MetCount / Total;
  }

  /// Returns the least mean of the batch class's slots over any 60 s.
  [[nodiscard]] double minBatchSlots() const {
    constexpr std::ptrdiff_t Window = 240;
    double Minimum = Engines * Slots;
    for (auto It = m_BatchSlots.begin(); m_BatchSlots.end() - It >= Window;
         ++It)
      Minimum =
          std::min(Minimum, std::accumulate(It, It + Window, 0.0) / Window);
    return Minimum;
  }

  TimePoint m_NextSample = m_Clock.now();  ///< Of m_BatchSlots.
  std::vector<std::uint32_t> m_BatchSlots; ///< Every 250 ms.
};

} // namespace

// Batch work fills the pool; then urgent requests arrive at two thirds of its
// capacity. Each must get a slot in time, by preemption if need be, and batch
// work must still get its floor, as both together fit.
BOOST_AUTO_TEST_CASE(UrgentWorkIsInTimeUnderAFloodOfGuides) {
  LoadedPool Sim;
  Sim.run({{Urgent, 1, 40, 0.25}, {Batch, 1, 2, 8}}, 150);
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.999);
  BOOST_TEST(Sim.minBatchSlots() >= 1.6);
}

// Urgent requests arrive at one and a half times the pool's capacity, for
// minutes. The admitted ones meet their targets and the rest is refused; batch
// work continues at its floor instead of being refused at its limit.
BOOST_AUTO_TEST_CASE(FloorHoldsWhileUrgentWorkOverloadsThePool) {
  LoadedPool Sim;
  Sim.run({{Urgent, 1, 90, 0.25}, {Batch, 1, 2, 8}}, 180);
  const double CapacityShare = Engines * Slots / (0.25 + Prefill) / 90;
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.85 * CapacityShare);
  BOOST_TEST(Sim.minBatchSlots() >= 0.9 * 1.6);
  unsigned Late = 0;
  for (const auto &[Id, Result] : Sim.m_Outcomes)
    Late += Result.m_Class == ClassId(Urgent) && Result.m_FirstTokenAt &&
                    *Result.m_FirstTokenAt > Result.m_Target
                ? 1
                : 0;
  BOOST_TEST(Late <= 30U);
}

// Urgent and interactive work fills nine tenths of the pool, with much batch
// work waiting. Near saturation a slot given away is hardly made up for, so the
// floor must not take precedence over bids that all fit, and batch work is
// preempted early.
BOOST_AUTO_TEST_CASE(GuidesCostIntakesLittleNearSaturation) {
  const std::vector<Stream> Both = {{Urgent, 1, 30, 0.25}, {2, 2, 5, 1.25}};
  std::vector<Stream> WithBatch = Both;
  WithBatch.push_back({Batch, 1, 2, 8});
  LoadedPool Sim;
  LoadedPool Alone;
  Sim.run(WithBatch, 180);
  Alone.run(Both, 180);
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.995);
  BOOST_TEST(Sim.targetsMet(2) >= Alone.targetsMet(2) - 0.05);
}

// One workspace submits twice the pool's capacity, another one a quarter. The
// small one must not wait behind the queue of the large one.
BOOST_AUTO_TEST_CASE(LargeWorkspaceHoldsUpNoSmallOne) {
  LoadedPool Sim;
  Sim.run({{2, 1, 30, 1}, {2, 2, 4, 1}}, 120);
  BOOST_TEST(Sim.targetsMet(2, 2) >= 0.98);
}

// A burst of three times the pool's capacity for 30 s. If served by target
// alone, each answer would come just too late.
BOOST_AUTO_TEST_CASE(BurstIsServedInTimeUpToCapacityAndBeatsFirstComeFirst) {
  LoadedPool Sim;
  LoadedPool Baseline(PolicyKind::LeastInFlight);
  const std::vector<Stream> Burst = {{Urgent, 1, 180, 0.25}};
  Sim.run(Burst, 30);
  Baseline.run(Burst, 30);
  const double CapacityShare = Engines * Slots / (0.25 + Prefill) / 180;
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.9 * CapacityShare);
  BOOST_TEST(Sim.targetsMet(Urgent) >= 1.3 * Baseline.targetsMet(Urgent));
}

// Three batch requests run, one of them on an engine that can't resume work.
// Preemption must stop the younger of the other two, which has generated least.
BOOST_AUTO_TEST_CASE(PreemptionStopsWhatWastesLeast) {
  DeciderSimulation Sim;
  Sim.setTable({row(Urgent, 1, 200ms, 2s), row(Batch, 5, 10s, 90s, true)});
  Upstream Fixed = engine(1, 1);
  std::get<Engine>(Fixed.m_Kind).m_CanResume = false;
  Sim.setUpstreams({Fixed, engine(2, 1), engine(3, 1)});
  for (int I = 0; I < 3; ++I) {
    Sim.submit(Batch, 1, 60s);
    Sim.advance(1s);
  }
  TimePoint Youngest{};
  for (const auto &[Id, Running] : Sim.m_Running)
    if (Running.m_Upstream != UpstreamId(1))
      Youngest = std::max(Youngest, Running.m_Since);
  Sim.submit(Urgent, 1, 1s);
  Sim.advance(150ms);
  BOOST_TEST(Sim.m_Decider.stats().m_Preempted == 1U);
  for (const auto &[Id, Running] : Sim.m_Running)
    BOOST_TEST((Running.m_Bid.m_Class == ClassId(Urgent) ||
                Running.m_Since != Youngest));
}

// Guards against a lost order to stop that makes work count as younger.
BOOST_AUTO_TEST_CASE(ALostStopOrderLeavesTheAgeOfWork) {
  DeciderSimulation Sim;
  Sim.m_StopTime = 1h;
  Sim.setTable({row(Urgent, 1, 200ms, 2s), row(Batch, 5, 10s, 90s, true)});
  Sim.setUpstreams({engine(1, 1), engine(2, 1)});
  Sim.submit(Batch, 1, 60s);
  Sim.advance(1s);
  const RequestId Youngest = Sim.submit(Batch, 1, 60s);
  Sim.advance(1s);
  std::vector<RequestId> Withdrawn;
  for (int I = 0; I < 2; ++I) {
    Withdrawn.push_back(Sim.submit(Urgent, 1, 1s));
    Sim.advance(300ms);
  }
  for (const RequestId &Id : Withdrawn)
    Sim.withdraw(Id);
  Sim.advance(5s);
  Sim.submit(Urgent, 1, 1s);
  Sim.advance(300ms);
  std::vector<RequestId> Stopped;
  for (const Action &Next : Sim.m_Log)
    if (const auto *Order = std::get_if<Preempt>(&Next))
      Stopped.push_back(Order->m_Request);
  BOOST_REQUIRE(Stopped.size() == 3U);
  BOOST_TEST((Stopped[2] == Youngest));
}
