/// Simulates engines of different speeds in virtual time, with the real
/// balancer, and checks what callers get. The load is that of the second
/// deployment in docs/SCARCE_CAPACITY.md.
#define BOOST_TEST_MODULE uneven_engines
#include "standin/fleet_model.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <iostream>

using namespace crowstep;
using namespace crowstep::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LongClass = 1;

/// The second deployment: a quarter of 140 engines take 0.55 of the usual time,
/// the others 1.2; 0.15 of the machines take 2.5 times as long by turns; the
/// long streams with the longest prompts come 2.8 times as often for 9 s.
FleetModel secondDeployment(ModelSpeeds Speeds, std::uint64_t Seed = 1) {
  FleetModel Result;
  Result.m_Gateways = 83;
  Result.m_Zones = 4;
  Result.m_DigestInterval = 120ms;
  Result.m_Engines = 140;
  Result.m_Slots = 16;
  Result.m_CacheTokens = 538596;
  Result.m_PrefillChunk = 1024;
  Result.m_TokensPerEvent = 4;
  Result.m_BaseStepUs = 5610;
  Result.m_RunningCallUs = 121;
  Result.m_PrefillTokenUs = 1000 / 54.6;
  Result.m_SpeedGroups = {{0.25, 0.55}, {0.75, 1.2}};
  Result.m_SlowMachines = {0.15, 2.5, 600ms};
  Result.m_StatesPace = true;
  Result.m_Speeds = Speeds;
  Result.m_SpeedError = 0.05;
  Result.m_Seed = Seed;
  Result.m_ArrivalPeriod = 16s;
  Result.m_CountFrom = 5s;
  Result.m_SnapshotInterval = 250ms;
  Result.m_Classes = {
      {"short", 89, 0, 1000ms, 120ms, 6s, {{340, 8}, {230, 85}}, 890, 172},
      {"long", 176, 5, 2000ms, 500ms, 10s, {{4500, 4}, {8800, 300}}, 3720, 100},
      {"middle",
       100,
       3,
       1200ms,
       200ms,
       6s,
       {{2000, 4}, {4000, 200}},
       3190,
       60}};
  Result.m_Bursts = {{LongClass, 4s, 13s, 2.8}};
  return Result;
}

/// Index of the snapshot 5 s after the start.
constexpr std::size_t SettledFrom = 20;

/// Prints a result if CROWSTEP_PRINT is set.
void print(const char *Title, const FleetResult &Result) {
  if (std::getenv("CROWSTEP_PRINT") == nullptr)
    return;
  std::cout << Title << ": again " << Result.m_RepeatedPrefillTokens << '\n';
  for (const auto &[Name, Counts] : Result.m_Classes)
    std::cout << "  " << Name << " n " << Counts.m_Requests << " in time "
              << Counts.inTimeShare() << " refused " << Counts.m_Refused
              << " amid idle " << Counts.m_RefusedAmidIdle << " long pauses "
              << Counts.longPauseShare() << " unfinished "
              << Counts.m_Unfinished << '\n';
  std::cout << "  sensitive:";
  for (const ModelSnapshot &At : Result.m_Snapshots)
    std::cout << ' ' << At.m_SensitiveEngines;
  std::cout << '\n';
  for (const bool Fast : {true, false}) {
    std::cout << (Fast ? "  fast:" : "  other:");
    for (const ModelSnapshot &At : Result.m_Snapshots) {
      double Sum = 0;
      int Count = 0;
      for (std::size_t I = 0; I < At.m_SlotShares.size(); ++I)
        if ((Result.m_EngineTimeFactors[I] < 1) == Fast) {
          Sum += At.m_SlotShares[I];
          ++Count;
        }
      std::cout << ' ' << std::lround(100 * Sum / std::max(Count, 1));
    }
    std::cout << '\n';
  }
}

/// The deployment with this number of instances, engines and load in
/// proportion.
FleetModel scaledTo(std::size_t Instances, FleetModel Load) {
  const double Factor =
      static_cast<double>(Instances) / static_cast<double>(Load.m_Gateways);
  Load.m_Gateways = Instances;
  Load.m_Zones = Instances < 20 ? 1 : Load.m_Zones;
  Load.m_Engines = static_cast<std::size_t>(
      std::lround(static_cast<double>(Load.m_Engines) * Factor));
  for (ModelClass &Class : Load.m_Classes) {
    Class.m_ArrivalRate *= Factor;
    for (ModelSegment &Segment : Class.m_SharedSegments)
      Segment.m_VariantCount = static_cast<std::uint64_t>(
          std::max(1.0, static_cast<double>(Segment.m_VariantCount) * Factor));
  }
  return Load;
}

FleetModel steady(FleetModel Load, Duration Period) {
  Load.m_Bursts.clear();
  Load.m_ArrivalPeriod = Period;
  Load.m_CountFrom = 5s;
  return Load;
}

/// Returns the boundary between the roles from 5 s after the start on.
std::vector<double> roleBoundaries(const FleetResult &Result) {
  std::vector<double> Boundaries;
  for (std::size_t I = SettledFrom; I + 1 < Result.m_Snapshots.size(); ++I)
    Boundaries.push_back(
        static_cast<double>(Result.m_Snapshots[I].m_SensitiveEngines));
  return Boundaries;
}

/// Returns the mean share of slots taken at the fast or the other engines, from
/// 5 s after the start on.
std::vector<double> slotShares(const FleetResult &Result, bool Fast) {
  std::vector<double> Shares;
  for (std::size_t At = SettledFrom; At + 1 < Result.m_Snapshots.size(); ++At) {
    double Sum = 0;
    double Count = 0;
    for (std::size_t I = 0; I < Result.m_EngineTimeFactors.size(); ++I)
      if ((Result.m_EngineTimeFactors[I] < 1) == Fast) {
        Sum += Result.m_Snapshots[At].m_SlotShares[I];
        ++Count;
      }
    Shares.push_back(Sum / Count);
  }
  return Shares;
}

/// Returns how often the values turn: move by more than \p Swing against the
/// direction of a move by more than that before.
int countReversals(const std::vector<double> &Values, double Swing) {
  int Reversals = 0;
  int Direction = 0;
  double High = Values.front();
  double Low = Values.front();
  for (const double Value : Values) {
    High = std::max(High, Value);
    Low = std::min(Low, Value);
    if (Direction <= 0 && Value - Low > Swing) {
      Reversals += Direction < 0 ? 1 : 0;
      Direction = 1;
      High = Value;
    } else if (Direction >= 0 && High - Value > Swing) {
      Reversals += Direction > 0 ? 1 : 0;
      Direction = -1;
      Low = Value;
    }
  }
  return Reversals;
}

/// A loop with time constants of 3 and 4 s that oscillates turns several times
/// in 10 s. Swings count that move a tenth of the engines, or of their slots.
void checkNoOscillation(const FleetResult &Result) {
  constexpr double Swing = 0.1;
  const auto Engines = static_cast<double>(Result.m_EngineTimeFactors.size());
  BOOST_TEST(countReversals(roleBoundaries(Result),
                            std::max(1.0, Swing * Engines)) == 0);
  constexpr double FewEngines = 100; // Their load varies with each call.
  if (Engines < FewEngines)
    return;
  for (const bool Fast : {true, false})
    BOOST_TEST(countReversals(slotShares(Result, Fast), Swing) <= 1);
}

const FleetResult &withEqualPlacement() {
  static const FleetResult Result = [] {
    FleetResult Simulated = simulate(secondDeployment(ModelSpeeds::Equal));
    print("equal", Simulated);
    return Simulated;
  }();
  return Result;
}

const FleetResult &withLearnedSpeeds() {
  static const FleetResult Result = [] {
    FleetResult Simulated = simulate(secondDeployment(ModelSpeeds::Learned));
    print("learned", Simulated);
    return Simulated;
  }();
  return Result;
}

const FleetResult &withTrueSpeeds() {
  static const FleetResult Result = [] {
    FleetResult Simulated = simulate(secondDeployment(ModelSpeeds::True));
    print("true", Simulated);
    return Simulated;
  }();
  return Result;
}

} // namespace

/// Guards against changed placement where speeds are not learned. The hash of
/// all chosen engines is that of placement by tokens, before there was any by
/// time; the load has full engines, refusals and engines of the other role.
BOOST_AUTO_TEST_CASE(WithoutLearnedSpeedsChoicesAreUnchanged) {
  constexpr std::uint64_t PlacementByTokens = 12637405784481596077U;
  FleetModel Load = secondDeployment(ModelSpeeds::Equal);
  Load.m_ArrivalPeriod = 4s;
  Load.m_Bursts = {{LongClass, 1s, 3s, 2.8}};
  Load.m_StatesPace = false;
  BOOST_TEST(simulate(Load).m_ChoiceHash == PlacementByTokens);
}

/// Guards against short streams at engines that are too slow for their pauses:
/// a third of them had a pause over 120 ms.
BOOST_AUTO_TEST_CASE(ShortStreamsKeepTheirPauses) {
  constexpr double MaxLongPauseShare = 0.05;
  constexpr double SeenLongPauseShare = 0.25;
  BOOST_TEST(withEqualPlacement().m_Classes.at("short").longPauseShare() >
             SeenLongPauseShare);
  for (const FleetResult *Result : {&withTrueSpeeds(), &withLearnedSpeeds()})
    BOOST_TEST(Result->m_Classes.at("short").longPauseShare() <
               MaxLongPauseShare);
}

/// Guards against refusals of long streams, in a burst of them, for a long
/// queue at one engine while a quarter of the engines is idle.
BOOST_AUTO_TEST_CASE(LongStreamsAreNotRefusedAmidIdleEngines) {
  const ModelResult &Equal = withEqualPlacement().m_Classes.at("long");
  BOOST_TEST(Equal.m_RefusedAmidIdle > 100);
  for (const FleetResult *Result : {&withTrueSpeeds(), &withLearnedSpeeds()})
    BOOST_TEST(Result->m_Classes.at("long").m_RefusedAmidIdle * 10 <
               Equal.m_RefusedAmidIdle);
}

/// Guards against one class that pays for another: in the burst none has fewer
/// calls in time than with equal placement.
BOOST_AUTO_TEST_CASE(NoClassIsWorseThanWithEqualPlacement) {
  for (const FleetResult *Result : {&withTrueSpeeds(), &withLearnedSpeeds()})
    for (const auto &[Name, Counts] : withEqualPlacement().m_Classes)
      BOOST_TEST(Result->m_Classes.at(Name).inTimeShare() >=
                     Counts.inTimeShare(),
                 Name);
}

/// Guards against learned speeds that are of little use: too late, wrong, or
/// used in a way that moves them.
BOOST_AUTO_TEST_CASE(LearnedSpeedsAreNearlyAsGoodAsTrueOnes) {
  for (const auto &[Name, Counts] : withLearnedSpeeds().m_Classes)
    BOOST_TEST(Counts.inTimeShare() >=
                   0.95 * withTrueSpeeds().m_Classes.at(Name).inTimeShare(),
               Name << ": " << Counts.inTimeShare());
}

namespace {

/// Guards against roles or loads that oscillate, and against figures that hold
/// for one number of instances only.
void checkSteadyLoad(std::size_t Instances, Duration Period) {
  constexpr double MaxLongPauseShare = 0.05;
  constexpr double MinOfTrueSpeeds = 0.95;
  const auto Simulate = [&](ModelSpeeds Speeds) {
    FleetResult Result =
        simulate(scaledTo(Instances, steady(secondDeployment(Speeds), Period)));
    print("steady", Result);
    return Result;
  };
  const FleetResult True = Simulate(ModelSpeeds::True);
  const FleetResult Learned = Simulate(ModelSpeeds::Learned);
  for (const FleetResult &Result : {True, Learned}) {
    checkNoOscillation(Result);
    BOOST_TEST(Result.m_Classes.at("short").longPauseShare() <
               MaxLongPauseShare);
    BOOST_TEST(Result.m_Classes.at("long").m_RefusedAmidIdle == 0);
  }
  for (const auto &[Name, Counts] : Learned.m_Classes)
    BOOST_TEST(Counts.inTimeShare() >=
                   MinOfTrueSpeeds * True.m_Classes.at(Name).inTimeShare(),
               Name << ": " << Counts.inTimeShare());
}

} // namespace

BOOST_AUTO_TEST_CASE(ASmallFleetSettles) { checkSteadyLoad(9, 180s); }

BOOST_AUTO_TEST_CASE(AFleetWithHubsSettles) { checkSteadyLoad(88, 14s); }

BOOST_AUTO_TEST_CASE(ALargeFleetSettles) { checkSteadyLoad(300, 7s); }
