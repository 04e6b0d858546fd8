/// Time to place a long prompt, and to explain that, by the number of engines,
/// with calls of other instances at all of them, by tokens and by time.
/// docs/CAPACITY.md, docs/design/placement-by-time.md and
/// docs/design/explained-placement.md have the figures.
#include "balance/engine_roles.h"
#include "balance/placement_preview.h"

#include <benchmark/benchmark.h>
#include <unordered_map>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Prefixes = 1000;
constexpr std::uint32_t CallsOfPeers = 8;

PlacementQuery longCall(std::uint64_t Number) {
  PlacementQuery Result;
  Result.m_Service = "model";
  Result.m_Urgency = 5;
  Result.m_LatencyTarget = 1500ms;
  Result.m_MaxPause = 600ms;
  Result.m_Prompt = {{{Number % 4, 2500},
                      {100 + Number % Prefixes, 3800},
                      {100000 + Number, 2900}},
                     9200,
                     50,
                     50};
  return Result;
}

/// A quarter of the engines are fast. Looks an engine up as one that learns
/// does.
class FakeSpeeds final : public speed::SpeedView {
public:
  explicit FakeSpeeds(const std::vector<Upstream> &List) {
    for (std::size_t I = 0; I < List.size(); ++I)
      m_IsFast[List[I].m_Id] = I % 4 == 0;
  }
  [[nodiscard]] bool isActive(PoolId) const override { return true; }
  [[nodiscard]] double speedOf(UpstreamId Id, TimePoint) const override {
    return m_IsFast.at(Id) ? 1.8 : 0.8;
  }
  [[nodiscard]] int speedClassOf(UpstreamId Id) const override {
    return m_IsFast.at(Id) ? 1 : 0;
  }
  [[nodiscard]] double usableShareOf(UpstreamId, TimePoint) const override {
    return 1;
  }
  [[nodiscard]] double machineSlowdownOf(UpstreamId Id,
                                         TimePoint) const override {
    return m_IsFast.at(Id) ? 1 : 1.2;
  }

private:
  std::unordered_map<UpstreamId, bool> m_IsFast; ///< By engine.
};

enum class PlacedBy : std::uint8_t { Tokens, FakeSpeeds, LearnedSpeeds };

/// Whether a call is placed, or its placement is only explained.
enum class Action : std::uint8_t { Place, Explain };

/// Places calls that are \p Apart in time, or explains it.
void placeCalls(benchmark::State &State, PlacedBy Order, Duration Apart,
                Action Done = Action::Place) {
  std::vector<Upstream> List;
  LoadDigest PeerDigest;
  for (int I = 0; I < State.range(0); ++I) {
    const std::string Name = "engine-" + std::to_string(I);
    List.push_back({upstreamIdOf(Name),
                    Name,
                    "model",
                    Address{},
                    {"a"},
                    Engine{64, {}, true, true},
                    false});
    for (Urgency Level = 0; Level < 4; ++Level)
      PeerDigest.m_Loads.push_back(
          {List.back().m_Id, Level, CallsOfPeers / 4, 500, 3000, 0});
  }
  Balancer Gateway({"a"});
  Gateway.setUpstreams(List);
  Gateway.setCacheCapacity("model", 260000);
  const FakeSpeeds Speeds(List);
  if (Order == PlacedBy::FakeSpeeds)
    Gateway.setSpeedView(&Speeds);
  if (Order == PlacedBy::LearnedSpeeds)
    Gateway.speeds().setMode(speed::LearnSpeed::Always);
  TimePoint Now(1s);
  Gateway.applyPeerDigest(InstanceId(1), PeerDigest, Now);
  std::uint64_t Number = 0;
  // So that roles have been updated before the first explanation.
  benchmark::DoNotOptimize(Gateway.place(longCall(++Number), Now));
  for (auto _ : State) {
    Now += Apart;
    if (Done == Action::Explain) {
      benchmark::DoNotOptimize(
          PlacementPreview(Gateway, Now).explain(longCall(++Number)));
      continue;
    }
    const PlacementResult Result = Gateway.place(longCall(++Number), Now);
    if (const auto *Placement = std::get_if<Placed>(&Result)) {
      Gateway.recordFirstEvent(Placement->m_Ticket, Now);
      Gateway.recordCallEnd(Placement->m_Ticket, CallOutcome::Served, Now);
    }
    if (Number % 100 == 0)
      benchmark::DoNotOptimize(Gateway.takeDigest(Now));
  }
}

void placing(benchmark::State &State) {
  placeCalls(State, PlacedBy::Tokens, Duration::zero());
}

void placingByTime(benchmark::State &State) {
  placeCalls(State, PlacedBy::FakeSpeeds, Duration::zero());
}

void placingByLearnedSpeeds(benchmark::State &State) {
  placeCalls(State, PlacedBy::LearnedSpeeds, Duration::zero());
}

/// With an update of the roles for each call.
void placingAndUpdatingRoles(benchmark::State &State) {
  placeCalls(State, PlacedBy::LearnedSpeeds, EngineRoles::UpdateInterval);
}

void explaining(benchmark::State &State) {
  placeCalls(State, PlacedBy::Tokens, Duration::zero(), Action::Explain);
}

void explainingByLearnedSpeeds(benchmark::State &State) {
  placeCalls(State, PlacedBy::LearnedSpeeds, Duration::zero(), Action::Explain);
}

/// With an update of the roles, and digests that have expired.
void explainingAndUpdatingRoles(benchmark::State &State) {
  placeCalls(State, PlacedBy::LearnedSpeeds, EngineRoles::UpdateInterval,
             Action::Explain);
}

BENCHMARK(placing)->Arg(12)->Arg(140)->Arg(700)->Arg(2600);
BENCHMARK(placingByTime)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);
BENCHMARK(placingByLearnedSpeeds)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);
BENCHMARK(placingAndUpdatingRoles)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);
BENCHMARK(explaining)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);
BENCHMARK(explainingByLearnedSpeeds)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);
BENCHMARK(explainingAndUpdatingRoles)->Arg(15)->Arg(140)->Arg(500)->Arg(2600);

} // namespace

BENCHMARK_MAIN();
