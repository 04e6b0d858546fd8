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
    Names = {"gateway-term",
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

constexpr std::array Planned = {
    FaultKind::GatewayTerm, FaultKind::GatewayHangUp, FaultKind::TableChange,
    FaultKind::UpstreamRelease};

constexpr std::uint64_t CalmEvery = 4;

/// Of a trouble that lasts.
constexpr std::int64_t ShortestMs = 300;
constexpr std::int64_t LongestMs = 3000;

/// Between the troubles of a series, and between series.
constexpr std::int64_t WithinMs = 150;
constexpr std::int64_t BetweenMs = 1800;

} // namespace

std::string_view nameOf(FaultKind Kind) {
  return Names.at(static_cast<std::size_t>(Kind));
}

bool isCalm(std::uint64_t Seed) { return Seed % CalmEvery == 0; }

bool hasCrashingRequest(std::uint64_t Seed) {
  constexpr std::uint64_t Every = 5;
  return !isCalm(Seed) && Seed % Every == Every - 1;
}

std::optional<FaultKind> faultKindOf(const std::string &Name) {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<FaultKind>(Found - Names.begin());
}

std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Span,
                                std::optional<FaultKind> Only) {
  std::mt19937_64 Random(Seed);
  // Standard distributions differ between libraries; a remainder doesn't.
  const auto Below = [&](std::uint64_t Limit) {
    return static_cast<std::int64_t>(Random() % Limit);
  };
  std::vector<Fault> Result;
  std::chrono::milliseconds At(500);
  while (At < Span) {
    const auto Series = 1 + Below(3);
    const std::uint64_t Draw = Random();
    const FaultKind Kind =
        Only ? *Only
        : isCalm(Seed)
            ? Planned.at(Draw % Planned.size())
            : static_cast<FaultKind>(
                  Draw % static_cast<std::uint64_t>(FaultKind::Count));
    for (std::int64_t I = 0; I < Series && At < Span; ++I) {
      const std::chrono::milliseconds Lasts(ShortestMs +
                                            Below(LongestMs - ShortestMs));
      Result.push_back({At, Kind, static_cast<unsigned>(Random()), Lasts});
      At += std::chrono::milliseconds(Below(WithinMs));
    }
    At += std::chrono::milliseconds(Below(BetweenMs));
  }
  return Result;
}

} // namespace crowstep::soak
