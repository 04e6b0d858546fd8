/// Schedules from seeds.
#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace crowstep::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(FaultKind::Count)>
    FaultNames = {"gateway-term",
                  "gateway-kill",
                  "gateway-freeze",
                  "gateway-hang-up",
                  "all-gateways-kill",
                  "upstream-busy",
                  "upstream-errors",
                  "upstream-cuts",
                  "upstream-answer-lost",
                  "upstream-mute",
                  "all-upstreams-errors",
                  "upstream-crash",
                  "upstream-release",
                  "path-reset",
                  "path-silent",
                  "path-one-way",
                  "path-slow",
                  "store-busy",
                  "store-silent",
                  "store-cut",
                  "store-slow",
                  "store-old-copy",
                  "store-forgets",
                  "table-change",
                  "callers-leave"};

constexpr std::array PlannedKinds = {
    FaultKind::GatewayTerm, FaultKind::GatewayHangUp, FaultKind::TableChange,
    FaultKind::UpstreamRelease};

constexpr std::uint64_t PlannedOnlyEvery = 4;

/// Range of a fault's duration.
constexpr std::int64_t MinDurationMs = 300;
constexpr std::int64_t MaxDurationMs = 3000;

/// Longest gaps between the faults of a series, and between series.
constexpr std::int64_t MaxGapInSeriesMs = 150;
constexpr std::int64_t MaxGapBetweenSeriesMs = 1800;

/// Returns whether \p Seed belongs to a share of those with unplanned faults.
bool isInShare(std::uint64_t Seed, std::uint64_t Share) {
  constexpr std::uint64_t Groups = 11;
  constexpr std::uint64_t SeedsInShare = 3;
  return !isPlannedWorkOnly(Seed) && Seed % Groups / SeedsInShare == Share;
}

/// A fault that is drawn by itself; \p m_Draw decides its kind.
struct SingleFault {
  Duration m_Start{};       ///< Since the load's start.
  std::uint64_t m_Draw = 0; ///< Random number.
  Duration m_Duration{};    ///< Until it ends.
};

std::vector<SingleFault> drawSingleFaults(std::uint64_t Seed, Duration Length) {
  std::mt19937_64 Random(Seed);
  std::vector<SingleFault> Result;
  std::chrono::milliseconds Start(500);
  while (Start < Length) {
    const std::uint64_t Draw = Random();
    const std::chrono::milliseconds Lasting(
        MinDurationMs +
        static_cast<std::int64_t>(Random() % (MaxDurationMs - MinDurationMs)));
    Result.push_back({Start, Draw, Lasting});
    Start += std::chrono::milliseconds(Random() % MaxGapBetweenSeriesMs);
  }
  return Result;
}

/// Returns spans of the seeds in \p Share, one after the other.
std::vector<FleetSpan> drawSpans(std::uint64_t Seed, std::uint64_t Share,
                                 Duration MinLength, Duration Length) {
  if (!isInShare(Seed, Share))
    return {};
  std::vector<FleetSpan> Result;
  for (const SingleFault &Drawn :
       drawSingleFaults(Seed ^ (Share << 32U), Length))
    if (Result.empty() ||
        Result.back().m_Start + Result.back().m_Duration <= Drawn.m_Start)
      Result.push_back({Drawn.m_Start, MinLength + Drawn.m_Duration,
                        static_cast<unsigned>(Drawn.m_Draw)});
  return Result;
}

template <typename Kind> Kind kindOf(const SingleFault &Drawn) {
  return static_cast<Kind>(Drawn.m_Draw %
                           static_cast<std::uint64_t>(Kind::Count));
}

} // namespace

std::string_view nameOf(FaultKind Kind) {
  return FaultNames.at(static_cast<std::size_t>(Kind));
}

bool isPlannedWorkOnly(std::uint64_t Seed) {
  return Seed % PlannedOnlyEvery == 0;
}

bool hasCrashingRequest(std::uint64_t Seed) {
  constexpr std::uint64_t Every = 5;
  return !isPlannedWorkOnly(Seed) && Seed % Every == Every - 1;
}

bool hasCrashingSegment(std::uint64_t Seed) {
  constexpr std::uint64_t Every = 5;
  return !isPlannedWorkOnly(Seed) && Seed % Every == Every - 3;
}

std::optional<FaultKind> faultKindOf(const std::string &Name) {
  const auto Found = std::find(FaultNames.begin(), FaultNames.end(), Name);
  if (Found == FaultNames.end())
    return std::nullopt;
  return static_cast<FaultKind>(Found - FaultNames.begin());
}

std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::optional<FaultKind> OnlyKind) {
  std::mt19937_64 Random(Seed);
  // Standard distributions differ between libraries; a remainder doesn't, so
  // that a seed gives the same schedule everywhere.
  const auto DrawBelow = [&](std::uint64_t Limit) {
    return static_cast<std::int64_t>(Random() % Limit);
  };
  std::vector<Fault> Result;
  std::chrono::milliseconds Start(500);
  while (Start < Length) {
    const auto SeriesSize = 1 + DrawBelow(3);
    const std::uint64_t Draw = Random();
    const FaultKind Kind =
        OnlyKind ? *OnlyKind
        : isPlannedWorkOnly(Seed)
            ? PlannedKinds.at(Draw % PlannedKinds.size())
            : static_cast<FaultKind>(
                  Draw % static_cast<std::uint64_t>(FaultKind::Count));
    for (std::int64_t I = 0; I < SeriesSize && Start < Length; ++I) {
      const std::chrono::milliseconds Lasting(
          MinDurationMs + DrawBelow(MaxDurationMs - MinDurationMs));
      Result.push_back({Start, Kind, static_cast<unsigned>(Random()), Lasting});
      Start += std::chrono::milliseconds(DrawBelow(MaxGapInSeriesMs));
    }
    Start += std::chrono::milliseconds(DrawBelow(MaxGapBetweenSeriesMs));
  }
  return Result;
}

std::vector<DutyFault> makeDutySchedule(std::uint64_t Seed, Duration Length) {
  constexpr std::uint64_t DutySeed = 0x64757479;
  if (!isInShare(Seed, 2))
    return {};
  std::vector<DutyFault> Result;
  for (const SingleFault &Drawn : drawSingleFaults(Seed ^ DutySeed, Length))
    Result.push_back(
        {Drawn.m_Start, kindOf<DutyFaultKind>(Drawn), Drawn.m_Duration});
  return Result;
}

std::vector<StatementFault> makeStatementSchedule(std::uint64_t Seed,
                                                  Duration Length) {
  constexpr std::uint64_t StatementSeed = 0x73746174;
  constexpr std::uint64_t Kinds =
      static_cast<std::uint64_t>(StatementFaultKind::Count);
  if (!isInShare(Seed, 1))
    return {};
  std::vector<StatementFault> Result;
  for (const SingleFault &Drawn :
       drawSingleFaults(Seed ^ StatementSeed, Length))
    Result.push_back({Drawn.m_Start, kindOf<StatementFaultKind>(Drawn),
                      static_cast<unsigned>(Drawn.m_Draw / Kinds),
                      Drawn.m_Duration});
  return Result;
}

std::vector<PathCut> makePathCutSchedule(std::uint64_t Seed, Duration Length) {
  constexpr std::uint64_t PathCutSeed = 0x70617468;
  constexpr std::uint64_t Kinds =
      static_cast<std::uint64_t>(PathCutKind::Count);
  // Long enough for callers to notice whether they are served meanwhile.
  constexpr Duration MinLength = 3s;
  if (!isInShare(Seed, 0))
    return {};
  std::vector<PathCut> Result;
  for (const SingleFault &Drawn : drawSingleFaults(Seed ^ PathCutSeed, Length))
    Result.push_back({Drawn.m_Start, kindOf<PathCutKind>(Drawn),
                      static_cast<unsigned>(Drawn.m_Draw / Kinds),
                      MinLength + Drawn.m_Duration});
  return Result;
}

std::vector<FleetSpan> makeRestoreSchedule(std::uint64_t Seed,
                                           Duration Length) {
  // Versions that the store gives out again take longer to pass the known ones
  // than gateways may take to learn what it holds.
  constexpr Duration MinLength = 4s;
  return drawSpans(Seed, 1, MinLength, Length);
}

std::vector<FleetSpan> makeUnevenSchedule(std::uint64_t Seed, Duration Length) {
  constexpr Duration MinLength = 2s;
  return drawSpans(Seed, 0, MinLength, Length);
}

std::vector<FleetSpan> makeStopSchedule(std::uint64_t Seed, Duration Length) {
  constexpr std::uint64_t StopSeed = 0x73746f70;
  constexpr std::uint64_t Groups = 3;
  constexpr std::size_t MaxStops = 2;
  constexpr Duration MinGap = 1s;
  if (!isPlannedWorkOnly(Seed) || Seed / PlannedOnlyEvery % Groups == 1)
    return {};
  std::vector<FleetSpan> Result;
  for (const SingleFault &Drawn : drawSingleFaults(Seed ^ StopSeed, Length))
    if (Result.empty() || (Result.size() < MaxStops &&
                           Result.back().m_Start + MinGap <= Drawn.m_Start))
      Result.push_back({Drawn.m_Start, 2 * Drawn.m_Duration,
                        static_cast<unsigned>(Drawn.m_Draw)});
  return Result;
}

} // namespace crowstep::soak
