/// What callers get in overloads with waiting by prediction, against what they
/// get without it, in virtual time. Bounds are those that callers need: calls
/// in time at most two in a hundred fewer, and no fewer served in total.
#define BOOST_TEST_MODULE waiting_fleet
#include "gateway/wait_queue.h"
#include "standin/fleet_model.h"
#include "waiting/call_wait.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SmallFleetSeeds = 6;
constexpr std::uint64_t LargeFleetSeeds = 3;

/// Short urgent streams and two kinds of long ones, at two thirds of what the
/// engines can serve; 20 workspaces send each kind.
FleetModel fleet(std::size_t Gateways, std::size_t Engines) {
  constexpr std::size_t Workspaces = 20;
  constexpr std::size_t LargeFleet = 24;
  const auto Count = static_cast<double>(Engines);
  const auto Prefixes = [&](double PerEngine) {
    return static_cast<std::uint64_t>(Count * PerEngine);
  };
  FleetModel Result;
  Result.m_Gateways = Gateways;
  Result.m_Zones = Gateways > LargeFleet ? Gateways / LargeFleet : 1;
  Result.m_Engines = Engines;
  Result.m_Slots = 16;
  Result.m_CacheTokens = 538596;
  Result.m_BaseStepUs = 5610;
  Result.m_PrefillTokenUs = 18.3;
  Result.m_ArrivalPeriod = 16s;
  Result.m_CallersGiveUp = true;
  Result.m_Classes = {{"short",
                       0.95 * Count,
                       0,
                       1000ms,
                       120ms,
                       15s,
                       {{500, 8}},
                       960,
                       129,
                       Workspaces},
                      {"long",
                       1.89 * Count,
                       5,
                       2000ms,
                       500ms,
                       10s,
                       {{3300, 8}, {10000, Prefixes(2.8)}},
                       3720,
                       80,
                       Workspaces},
                      {"medium",
                       1.07 * Count,
                       3,
                       1200ms,
                       200ms,
                       6s,
                       {{3000, 8}, {3000, Prefixes(1.4)}},
                       3190,
                       60,
                       Workspaces}};
  return Result;
}

FleetModel burst(std::size_t Gateways, std::size_t Engines, Duration Span) {
  constexpr double Factor = 3;
  FleetModel Result = fleet(Gateways, Engines);
  for (std::size_t Class = 0; Class < Result.m_Classes.size(); ++Class)
    Result.m_Bursts.push_back({Class, 3s, 3s + Span, Factor});
  return Result;
}

void addTo(ModelResult &Sum, const ModelResult &Counts) {
  Sum.m_Requests += Counts.m_Requests;
  Sum.m_InTime += Counts.m_InTime;
  Sum.m_Late += Counts.m_Late;
  Sum.m_Refused += Counts.m_Refused;
  Sum.m_GivenUp += Counts.m_GivenUp;
  Sum.m_Held += Counts.m_Held;
  Sum.m_HeldTime += Counts.m_HeldTime;
  Sum.m_LongestHeld = std::max(Sum.m_LongestHeld, Counts.m_LongestHeld);
}

/// Adds the counts of all classes.
void addTo(ModelResult &Sum, const FleetResult &Result) {
  for (const auto &[Name, Counts] : Result.m_Classes)
    addTo(Sum, Counts);
}

std::string text(const char *Name, const ModelResult &Sum) {
  return std::string(Name) + ": of " + std::to_string(Sum.m_Requests) + " " +
         std::to_string(Sum.m_InTime) + " in time, " +
         std::to_string(Sum.m_Late) + " late, " +
         std::to_string(Sum.m_Refused) + " refused, " +
         std::to_string(Sum.m_GivenUp) + " given up; " +
         std::to_string(Sum.m_Held) + " held before a refusal, " +
         std::to_string(
             Sum.m_Held == 0 ? 0 : Sum.m_HeldTime.count() / Sum.m_Held / 1000) +
         " ms on average";
}

/// Plays \p Load with each of the first \p Seeds seeds, as a single play of a
/// few engines differs by two in a hundred from another.
void checkWaitingHelps(FleetModel Load, std::uint64_t Seeds = 1) {
  constexpr double MaxFewerInTime = 0.02;
  ModelResult Without;
  ModelResult With;
  for (Load.m_Seed = 1; Load.m_Seed <= Seeds; ++Load.m_Seed) {
    Load.m_WaitsByPrediction = false;
    addTo(Without, simulate(Load));
    Load.m_WaitsByPrediction = true;
    addTo(With, simulate(Load));
  }
  BOOST_TEST_MESSAGE(text("without", Without));
  BOOST_TEST_MESSAGE(text("with", With));
  BOOST_TEST(With.m_InTime >=
             Without.m_InTime - MaxFewerInTime * Without.m_Requests);
  BOOST_TEST(With.m_InTime + With.m_Late >= Without.m_InTime + Without.m_Late);
  // Of the most patient callers, whose target is two seconds.
  BOOST_TEST((With.m_LongestHeld <= waiting::patienceOf(2s, 500ms) * 6 / 10 +
                                        gateway::WaitQueue::RetryInterval));
}

} // namespace

/// A burst of 3 s: what waits at its end is served, late if need be.
BOOST_AUTO_TEST_CASE(AShortBurstAtNineInstances) {
  checkWaitingHelps(burst(9, 14, 3s), SmallFleetSeeds);
}

/// A burst longer than callers wait: late calls must not push out others.
BOOST_AUTO_TEST_CASE(ALongBurstAtNineInstances) {
  checkWaitingHelps(burst(9, 14, 9s), SmallFleetSeeds);
}

/// Sums of hubs are later than digests of the same zone.
BOOST_AUTO_TEST_CASE(AShortBurstAt88Instances) {
  checkWaitingHelps(burst(88, 42, 3s), LargeFleetSeeds);
}

BOOST_AUTO_TEST_CASE(ALongBurstAt88Instances) {
  checkWaitingHelps(burst(88, 42, 9s), LargeFleetSeeds);
}

/// Few calls wait at each instance, so order must come from the placement.
BOOST_AUTO_TEST_CASE(AShortBurstAt300Instances) {
  FleetModel Load = burst(300, 28, 3s);
  Load.m_ArrivalPeriod = 9s;
  checkWaitingHelps(Load);
}

BOOST_AUTO_TEST_CASE(ALongBurstAt300Instances) {
  FleetModel Load = burst(300, 28, 9s);
  Load.m_ArrivalPeriod = 13s;
  checkWaitingHelps(Load);
}

/// Each instance knows half of what the others state.
BOOST_AUTO_TEST_CASE(HalfOfTheDigestsAreLost) {
  FleetModel Load = burst(9, 14, 9s);
  Load.m_DigestLoss = 0.5;
  checkWaitingHelps(Load, SmallFleetSeeds);
}

/// Each instance decides by its own queue.
BOOST_AUTO_TEST_CASE(AllDigestsAreLost) {
  FleetModel Load = burst(9, 14, 9s);
  Load.m_DigestLoss = 1;
  checkWaitingHelps(Load, SmallFleetSeeds);
}

/// The queue of one instance holds most of the waiting calls.
BOOST_AUTO_TEST_CASE(MostCallsAtOneInstance) {
  FleetModel Load = burst(9, 14, 9s);
  Load.m_FirstGatewayShare = 0.7;
  checkWaitingHelps(Load, SmallFleetSeeds);
}

/// One workspace sends nine times its load; callers of the others get at least
/// 0.9 of what they get without it.
BOOST_AUTO_TEST_CASE(AWorkspaceWithNineTimesItsLoad) {
  constexpr double MinShareLeft = 0.9;
  constexpr double LoadFactor = 1.2;
  for (const std::size_t Gateways : {9, 88}) {
    FleetModel Load = fleet(Gateways, Gateways == 9 ? 14 : 42);
    for (ModelClass &Class : Load.m_Classes)
      Class.m_ArrivalRate *= LoadFactor;
    Load.m_WaitsByPrediction = true;
    const FleetResult Alone = simulate(Load);
    for (std::size_t I = 0; I < 3; ++I) {
      ModelClass Heavy = Load.m_Classes[I];
      Heavy.m_Name += "-heavy";
      Heavy.m_ArrivalRate *= 9.0 / static_cast<double>(Heavy.m_Workspaces);
      Heavy.m_Workspaces = 1;
      Heavy.m_WorkspacePrefix = "heavy";
      Load.m_Classes.push_back(Heavy);
    }
    const FleetResult Beside = simulate(Load);
    for (const auto &[Name, Counts] : Alone.m_Classes) {
      const ModelResult &Other = Beside.m_Classes.at(Name);
      BOOST_TEST(Other.inTimeShare() >= MinShareLeft * Counts.inTimeShare(),
                 Gateways << ", " << Name << ": " << Other.inTimeShare()
                          << " beside it, " << Counts.inTimeShare()
                          << " without");
    }
    for (const auto &[Name, Counts] : Beside.m_Classes)
      BOOST_TEST_MESSAGE(text(Name.c_str(), Counts));
  }
}

/// Guards against urgent short streams that are refused or go to slow engines,
/// as long streams have a long backlog.
BOOST_AUTO_TEST_CASE(UrgentStreamsWaitForFastEngines) {
  constexpr double MaxFewer = 0.02;
  FleetModel Load = burst(88, 56, 6s);
  Load.m_SpeedGroups = {{0.25, 0.55}, {0.75, 1.2}};
  Load.m_SlowMachines = {0.15, 2.5};
  Load.m_StatesPace = true;
  Load.m_Speeds = ModelSpeeds::Learned;
  ModelResult Without;
  ModelResult With;
  for (Load.m_Seed = 1; Load.m_Seed <= LargeFleetSeeds; ++Load.m_Seed) {
    Load.m_WaitsByPrediction = false;
    addTo(Without, simulate(Load).m_Classes.at("short"));
    Load.m_WaitsByPrediction = true;
    addTo(With, simulate(Load).m_Classes.at("short"));
  }
  BOOST_TEST_MESSAGE(text("without", Without));
  BOOST_TEST_MESSAGE(text("with", With));
  const double Tolerance = MaxFewer * Without.m_Requests;
  BOOST_TEST(With.m_InTime >= Without.m_InTime - Tolerance);
  BOOST_TEST(With.m_InTime + With.m_Late >=
             Without.m_InTime + Without.m_Late - Tolerance);
}
