/// Time per decision and memory per waiting request by the number of waiting
/// requests, with 16 engines of 16 slots, 12 classes in 6 tiers and 220
/// workspaces. docs/DECIDER.md has results and the command.
#include "decision/decider.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <malloc.h>
#include <random>

using namespace crowstep;
using namespace crowstep::decision;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Engines = 16;
constexpr std::uint32_t Slots = 16;
constexpr unsigned Classes = 12;
constexpr unsigned Workspaces = 220;
constexpr auto LongestWait = std::chrono::hours(10);

/// A full pool with waiting bids.
class FullPool {
public:
  explicit FullPool(std::size_t Waiting) : m_Decider(DeciderConfig{}) {
    std::vector<Contract> Rows;
    for (unsigned Id = 1; Id <= Classes; ++Id)
      Rows.push_back(rowOf(Id));
    send(TableChanged{{TableVersion(1), Rows}});
    std::vector<Upstream> All;
    for (std::uint64_t Id = 1; Id <= Engines; ++Id) {
      Upstream NewEngine;
      NewEngine.m_Id = UpstreamId(Id);
      NewEngine.m_Kind = Engine{Slots, {}, true, true};
      All.push_back(NewEngine);
    }
    send(UpstreamsChanged{All});
    const std::size_t Before = mallinfo2().uordblks;
    for (std::size_t I = 0; I < Waiting + Engines * Slots; ++I)
      bid();
    m_BytesPerBid = static_cast<double>(mallinfo2().uordblks - Before) /
                    static_cast<double>(Waiting);
    // Lets the pool learn service times and output lengths before the
    // measurement.
    for (int I = 0; I < 2000; ++I) {
      end();
      bid();
    }
  }

  void bid() {
    Bid NewBid;
    NewBid.m_Request = {InstanceId(m_Random() % 9), ++m_Number};
    NewBid.m_Class =
        ClassId(static_cast<std::uint16_t>(1 + m_Random() % Classes));
    NewBid.m_Workspace = WorkspaceId(1 + m_Random() % Workspaces);
    NewBid.m_PromptTokens = 500;
    NewBid.m_MaxTokens = 1000;
    NewBid.m_UntilTarget = LongestWait / 2 + Duration(m_Random() % 1'000'000);
    NewBid.m_UntilLimit = LongestWait;
    for (PrefixHash Depth = 0; Depth < 4; ++Depth)
      NewBid.m_Prefixes.push_back(m_Random() % 2000 * 4 + Depth);
    send(NewBid);
  }

  /// Ends the oldest running request; its slot goes to a waiting bid.
  void end() {
    const Grant Oldest = m_Running.front();
    m_Running.pop_front();
    send(FirstToken{Oldest.m_Request, 50ms});
    send(WorkEnded{Oldest.m_Request, Oldest.m_Upstream, WorkEnd::Finished,
                   static_cast<std::uint32_t>(50 + m_Random() % 400),
                   Duration(1'000'000 + m_Random() % 1'000'000)});
  }

  void send(const Event &NextEvent) {
    m_Now += 20us;
    m_Actions.clear();
    const auto Begin = std::chrono::steady_clock::now();
    m_Decider.handle(NextEvent, m_Now, m_Actions);
    benchmark::DoNotOptimize(m_Decider.nextDeadline());
    m_Duration = std::chrono::steady_clock::now() - Begin;
    for (const Action &Next : m_Actions)
      if (const auto *Granted = std::get_if<Grant>(&Next))
        m_Running.push_back(*Granted);
  }

  [[nodiscard]] std::chrono::nanoseconds duration() const { return m_Duration; }
  [[nodiscard]] double bytesPerBid() const { return m_BytesPerBid; }

private:
  static Contract rowOf(unsigned Id) {
    Contract Row;
    Row.m_Id = ClassId(static_cast<std::uint16_t>(Id));
    Row.m_Tier = static_cast<std::uint8_t>(1 + Id % 6);
    Row.m_FirstTokenTarget = LongestWait / 2;
    Row.m_TotalLimit = LongestWait;
    Row.m_Preemptible = Row.m_Tier > 3;
    return Row;
  }

  Decider m_Decider;                     ///< Under test.
  TimePoint m_Now{1s};                   ///< Advances with each event.
  std::vector<Action> m_Actions;         ///< Of the last event.
  std::deque<Grant> m_Running;           ///< The oldest first.
  std::mt19937 m_Random{20261202};       ///< Fixed seed.
  std::uint64_t m_Number = 0;            ///< Of the last request.
  std::chrono::nanoseconds m_Duration{}; ///< Of the last event.
  double m_BytesPerBid = 0.0;            ///< Heap memory per waiting request.
};

void report(benchmark::State &State, std::vector<std::int64_t> &Durations) {
  const auto At = [&Durations](double Share) {
    const auto Place = static_cast<std::ptrdiff_t>(
        Share * static_cast<double>(Durations.size() - 1));
    std::nth_element(Durations.begin(), Durations.begin() + Place,
                     Durations.end());
    return static_cast<double>(Durations[static_cast<std::size_t>(Place)]);
  };
  State.counters["median_ns"] = At(0.5);
  State.counters["p99_ns"] = At(0.99);
}

/// A request ends and the best waiting bid is granted its slot.
void grantNext(benchmark::State &State) {
  FullPool Pool(static_cast<std::size_t>(State.range(0)));
  std::vector<std::int64_t> Durations;
  for (auto Step : State) {
    Pool.end();
    Durations.push_back(Pool.duration().count());
    State.SetIterationTime(1e-9 * static_cast<double>(Pool.duration().count()));
    Pool.bid();
  }
  report(State, Durations);
  State.counters["bytes_each"] = Pool.bytesPerBid();
}

/// A bid joins the queue of a full pool.
void takeBid(benchmark::State &State) {
  FullPool Pool(static_cast<std::size_t>(State.range(0)));
  std::vector<std::int64_t> Durations;
  for (auto Step : State) {
    Pool.bid();
    Durations.push_back(Pool.duration().count());
    State.SetIterationTime(1e-9 * static_cast<double>(Pool.duration().count()));
    Pool.end();
  }
  report(State, Durations);
}

} // namespace

BENCHMARK(grantNext)->RangeMultiplier(10)->Range(1000, 100000)->UseManualTime();
BENCHMARK(takeBid)->RangeMultiplier(10)->Range(1000, 100000)->UseManualTime();

BENCHMARK_MAIN();
