/// Time of placing a long prompt, against the number of engines, where others
/// have calls at all of them. docs/CAPACITY.md has the figures.
#include "balance/balancer.h"

#include <benchmark/benchmark.h>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Beginnings = 1000;
constexpr std::uint32_t CallsOfOthers = 8;

PlacementQuery report(std::uint64_t Number) {
  PlacementQuery Result;
  Result.m_Service = "model";
  Result.m_Urgency = 5;
  Result.m_Target = 1500ms;
  Result.m_LongestPause = 600ms;
  Result.m_Prompt = {{{Number % 4, 2500},
                      {100 + Number % Beginnings, 3800},
                      {100000 + Number, 2900}},
                     9200,
                     50,
                     50};
  return Result;
}

void placing(benchmark::State &State) {
  std::vector<Upstream> List;
  LoadDigest Others;
  for (int I = 0; I < State.range(0); ++I) {
    const std::string Name = "engine-" + std::to_string(I);
    List.push_back({upstreamIdOf(Name),
                    Name,
                    "model",
                    Address{},
                    {"a"},
                    Engine{64, {}, true, true},
                    false});
    for (Urgency How = 0; How < 4; ++How)
      Others.m_Loads.push_back(
          {List.back().m_Id, How, CallsOfOthers / 4, 500, 3000, 0});
  }
  Balancer It({"a"});
  It.setUpstreams(List);
  It.setCacheTokens("model", 260000);
  It.peerSaid(InstanceId(1), Others, TimePoint(1s));
  std::uint64_t Number = 0;
  for (auto _ : State) {
    const PlacementResult Result = It.place(report(++Number), TimePoint(1s));
    if (const auto *Where = std::get_if<Placed>(&Result)) {
      It.answered(Where->m_Ticket, TimePoint(1s));
      It.ended(Where->m_Ticket, CallOutcome::Served, TimePoint(1s));
    }
    if (Number % 100 == 0)
      benchmark::DoNotOptimize(It.takeDigest(TimePoint(1s)));
  }
}

BENCHMARK(placing)->Arg(12)->Arg(140)->Arg(700)->Arg(2600);

} // namespace

BENCHMARK_MAIN();
