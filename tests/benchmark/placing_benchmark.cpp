/// Time to place a long prompt by the number of engines, with calls of other
/// instances at all of them. docs/CAPACITY.md has the figures.
#include "balance/balancer.h"

#include <benchmark/benchmark.h>

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

void placing(benchmark::State &State) {
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
  Gateway.applyPeerDigest(InstanceId(1), PeerDigest, TimePoint(1s));
  std::uint64_t Number = 0;
  for (auto _ : State) {
    const PlacementResult Result =
        Gateway.place(longCall(++Number), TimePoint(1s));
    if (const auto *Placement = std::get_if<Placed>(&Result)) {
      Gateway.recordFirstEvent(Placement->m_Ticket, TimePoint(1s));
      Gateway.recordCallEnd(Placement->m_Ticket, CallOutcome::Served,
                            TimePoint(1s));
    }
    if (Number % 100 == 0)
      benchmark::DoNotOptimize(Gateway.takeDigest(TimePoint(1s)));
  }
}

BENCHMARK(placing)->Arg(12)->Arg(140)->Arg(700)->Arg(2600);

} // namespace

BENCHMARK_MAIN();
