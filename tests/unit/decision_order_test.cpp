/// Order of service under load: tiers, floors, workspaces, late bids.
///
/// What callers see: pass checks are in time whatever else is asked for; long
/// work goes on at its floor; a neighbour's flood changes nothing for a small
/// workspace. Arrivals are random with a fixed seed; World checks each action.
#define BOOST_TEST_MODULE decision_order
#include "decision_world.h"

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
  std::uint16_t m_Class;     ///< Asked for.
  std::uint32_t m_Workspace; ///< By whom.
  double m_Rate;             ///< A second.
  double m_Service;          ///< Mean seconds of service.
};

/// 16 slots; urgent work, intakes, and guides with a floor of 1.6 slots.
struct LoadedPool : World {
  explicit LoadedPool(PolicyKind Policy = PolicyKind::Crowstep)
      : World({Policy}) {
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
      advanceTo(Start + fromS(T));
      std::exponential_distribution<double> Service(1.0 / Arrival.m_Service);
      ask(Arrival.m_Class, Arrival.m_Workspace, fromS(Service(Random)));
    }
    advanceTo(Start + fromS(Seconds));
  }

  void advanceTo(TimePoint Until) {
    while (m_NextSample < Until) {
      advance(std::max(Duration::zero(), m_NextSample - m_Clock.now()));
      m_BatchSlots.push_back(running(ClassId(Batch)));
      m_NextSample += 250ms;
    }
    advance(Until - m_Clock.now());
  }

  /// Share of targets met by \p Class, of one workspace or (0) of all.
  [[nodiscard]] double targetsMet(std::uint16_t Class,
                                  std::uint32_t Workspace = 0) {
    double Total = 0;
    double MetCount = 0;
    for (const auto &[Id, Result] : m_Outcomes) {
      if (Result.m_Class != ClassId(Class) ||
          (Workspace != 0 && Result.m_Workspace != WorkspaceId(Workspace)))
        continue;
      Total += 1;
      MetCount += Result.m_First && *Result.m_First <= Result.m_Target ? 1 : 0;
    }
    return MetCount / Total;
  }

  /// Least mean of guides' slots over any 60 s.
  [[nodiscard]] double minBatchSlots() const {
    constexpr std::ptrdiff_t Window = 240;
    double Minimum = Engines * Slots;
    for (auto It = m_BatchSlots.begin(); m_BatchSlots.end() - It >= Window;
         ++It)
      Minimum =
          std::min(Minimum, std::accumulate(It, It + Window, 0.0) / Window);
    return Minimum;
  }

  TimePoint m_NextSample = m_Clock.now();  ///< Of m_GuideSlots.
  std::vector<std::uint32_t> m_BatchSlots; ///< Every 250 ms.
};

} // namespace

// A guide flood fills the pool; then pass checks arrive at two thirds of its
// slots. Each must find a slot in time, taken back from a guide if need be, and
// guides must still get their floor, as both together fit.
BOOST_AUTO_TEST_CASE(UrgentWorkIsInTimeUnderAFloodOfGuides) {
  LoadedPool Sim;
  Sim.run({{Urgent, 1, 40, 0.25}, {Batch, 1, 2, 8}}, 150);
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.999);
  BOOST_TEST(Sim.minBatchSlots() >= 1.6);
}

// Pass checks come at one and a half times what the pool serves, for minutes.
// What is admitted keeps its target; the rest is refused; and guides go on at
// their floor instead of being refused one and all at their limit.
BOOST_AUTO_TEST_CASE(FloorHoldsWhileUrgentWorkOverloadsThePool) {
  LoadedPool Sim;
  Sim.run({{Urgent, 1, 90, 0.25}, {Batch, 1, 2, 8}}, 180);
  const double CapacityShare = Engines * Slots / (0.25 + Prefill) / 90;
  BOOST_TEST(Sim.targetsMet(Urgent) >= 0.85 * CapacityShare);
  BOOST_TEST(Sim.minBatchSlots() >= 0.9 * 1.6);
  unsigned Late = 0;
  for (const auto &[Id, Result] : Sim.m_Outcomes)
    Late += Result.m_Class == ClassId(Urgent) && Result.m_First &&
                    *Result.m_First > Result.m_Target
                ? 1
                : 0;
  BOOST_TEST(Late <= 30U);
}

// Pass checks and intakes fill nine tenths of the pool, and guides wait in
// numbers. Near saturation a slot given away is hardly caught up with, so the
// floor must not stand against bids that all fit, and guides are stopped early.
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

// One workspace asks for twice the pool; another for a quarter. The small one
// must not wait behind the large one's queue.
BOOST_AUTO_TEST_CASE(LargeWorkspaceHoldsUpNoSmallOne) {
  LoadedPool Sim;
  Sim.run({{2, 1, 30, 1}, {2, 2, 4, 1}}, 120);
  BOOST_TEST(Sim.targetsMet(2, 2) >= 0.98);
}

// A bus arrives: three times what the pool serves, for 30 s. Served by target
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

// Of two guides the younger has generated less, and only one engine can resume
// its work: the stopped one must be that which wastes least.
BOOST_AUTO_TEST_CASE(PreemptionStopsWhatWastesLeast) {
  World Sim;
  Sim.setTable({row(Urgent, 1, 200ms, 2s), row(Batch, 5, 10s, 90s, true)});
  Upstream Fixed = engine(1, 1);
  std::get<Engine>(Fixed.m_Kind).m_CanResume = false;
  Sim.setUpstreams({Fixed, engine(2, 1), engine(3, 1)});
  for (int I = 0; I < 3; ++I) {
    Sim.ask(Batch, 1, 60s);
    Sim.advance(1s);
  }
  TimePoint Youngest{};
  for (const auto &[Id, Running] : Sim.m_Running)
    if (Running.m_Upstream != UpstreamId(1))
      Youngest = std::max(Youngest, Running.m_Since);
  Sim.ask(Urgent, 1, 1s);
  Sim.advance(150ms);
  BOOST_TEST(Sim.m_Decider.stats().m_Preempted == 1U);
  for (const auto &[Id, Running] : Sim.m_Running)
    BOOST_TEST((Running.m_Bid.m_Class == ClassId(Urgent) ||
                Running.m_Since != Youngest));
}
