/// A simulation of a fleet in virtual time: gateways with the real balancer,
/// engines with chunked prefill, and callers by class.
///
/// It runs a load in a fraction of its time and gives the same result for the
/// same seed, so that tests can judge placement by what callers get. It has no
/// network delays and no preemption, engines' memory holds only their prefix
/// caches, and all gateways know of a crash at once.
#ifndef CROWSTEP_STANDIN_FLEET_MODEL_H
#define CROWSTEP_STANDIN_FLEET_MODEL_H

#include "balance/balance_type.h"

#include <map>
#include <vector>

namespace crowstep::standin {

/// A prefix segment that prompts of a class share.
struct ModelSegment {
  std::uint32_t m_Tokens = 0;       ///< Size of each variant.
  std::uint64_t m_VariantCount = 1; ///< Different segments to draw from.
};

/// One class of requests.
struct ModelClass {
  std::string m_Name;             ///< Key of the results.
  double m_ArrivalRate = 1;       ///< Per second; Poisson process.
  balance::Urgency m_Urgency = 0; ///< 0 is the most urgent.
  Duration m_LatencyTarget{};     ///< Limit for the first event.
  Duration m_MaxPause{};          ///< Limit between events.
  Duration m_Deadline{};          ///< The caller then gives up.
  std::vector<ModelSegment>
      m_SharedSegments; ///< In order; variants drawn at random.
  std::uint32_t m_MeanUniqueTokens =
      1000;                          ///< Drawn from 0.5 to 1.5 times this.
  std::uint32_t m_OutputTokens = 50; ///< Length of the answer.
  std::size_t m_Workspaces = 1;      ///< From which its calls come alike.
  std::string m_WorkspacePrefix;     ///< Of their names; classes with the same
                                     ///< one share workspaces.
};

/// A period in which the arrival rate of one class is changed.
struct ModelBurst {
  std::size_t m_ClassIndex = 0; ///< Index among the classes.
  Duration m_Start{};           ///< Since the start.
  Duration m_End{};             ///< Since the start.
  double m_RateFactor = 1;      ///< Multiplies the arrival rate.
};

/// A loss of engines with their calls and caches; others replace them later.
struct ModelCrash {
  Duration m_At{};          ///< Since the start.
  Duration m_OutageTime{};  ///< Until the replacements start.
  double m_EngineShare = 0; ///< Share of the engines lost.
};

/// What the gateways know about the speed of the engines.
enum class ModelSpeeds : std::uint8_t {
  Equal,   ///< All engines count as equal.
  True,    ///< Their true speeds, and the state of their machines.
  Learned, ///< What the balancers learn from events and digests.
};

/// A group of engines whose steps take a factor of the usual time.
struct ModelSpeedGroup {
  double m_Share = 0;      ///< Of the engines.
  double m_TimeFactor = 1; ///< Against the usual time of a step.
};

/// A step that slows down from a share of the slots on.
struct ModelCrowding {
  double m_FromShare = 1;  ///< Of the slots.
  double m_TimeFactor = 1; ///< Against the time of a step below it.
};

/// Machines that slow down by turns.
struct ModelSlowMachines {
  double m_Share = 0;      ///< Of the machines, at any moment.
  double m_TimeFactor = 1; ///< Against the usual time of a step.
  Duration m_MeanSpan = std::chrono::milliseconds(600); ///< Of a slow machine.
};

/// A fleet and its load. The engines' defaults are those of a large dense
/// model.
struct FleetModel {
  std::size_t m_Gateways = 9;

  /// Gateways of a zone send their digests to one another. Of more than one
  /// zone, each sends its sum to the others with every second digest.
  std::size_t m_Zones = 1;
  Duration m_DigestInterval = std::chrono::milliseconds(100);

  std::size_t m_Engines = 12;
  std::uint32_t m_Slots = 64;
  std::uint64_t m_CacheTokens = 290000;
  std::uint32_t m_PrefillChunk = 2048; ///< Prefill tokens in one step.
  std::uint32_t m_TokensPerEvent = 3;  ///< Tokens in one event.
  double m_BaseStepUs = 6000;          ///< Step time without calls or prefill.
  double m_RunningCallUs = 45;         ///< Added for each running call.
  double m_PrefillTokenUs = 22;        ///< Added for each prefill token.
  double m_MaxWaitShare = 0.4; ///< Of the target, for a slot; 0: no wait.
  Duration m_ArrivalPeriod = std::chrono::seconds(20);
  std::uint64_t m_Seed = 1;
  std::vector<ModelClass> m_Classes;
  std::vector<ModelBurst> m_Bursts;
  std::vector<ModelCrash> m_Crashes;

  std::vector<ModelSpeedGroup> m_SpeedGroups; ///< The rest takes usual time.
  ModelCrowding m_Crowding;                   ///< Of all engines.
  ModelSlowMachines m_SlowMachines;           ///< One engine a machine.
  bool m_StatesPace = false; ///< Engines state the fourth figure of their load.
  ModelSpeeds m_Speeds = ModelSpeeds::Equal;

  /// Largest share by which the speeds that gateways know differ from the true
  /// ones, at each gateway by another amount. Only for ModelSpeeds::True.
  double m_SpeedError = 0;

  bool m_WaitsByPrediction = false; ///< As in a gateway with speeds learned.
  bool m_CallersGiveUp = false;     ///< Callers leave when their patience ends.
  double m_DigestLoss = 0;          ///< Share of the digests that are lost.
  double m_FirstGatewayShare =
      0; ///< Share of the calls that arrive at the first gateway.

  Duration m_CountFrom{}; ///< Requests that arrive earlier are not counted.
  Duration m_SnapshotInterval{}; ///< Zero: no snapshots.
};

/// Outcomes of the requests of one class.
struct ModelResult {
  int m_Requests = 0;
  int m_InTime = 0; ///< First event and all pauses in time, and complete.
  int m_Late = 0;   ///< Complete, but not in time.
  int m_Refused = 0;
  int m_Unfinished = 0;      ///< Their deadline came first.
  int m_Lost = 0;            ///< Their engine crashed.
  int m_GivenUp = 0;         ///< Their caller left before the first event.
  int m_Held = 0;            ///< Refused after they had waited.
  Duration m_HeldTime{};     ///< Of all of these.
  Duration m_LongestHeld{};  ///< Of these.
  int m_PauseTooLong = 0;    ///< Complete, with a pause over the limit.
  int m_RefusedAmidIdle = 0; ///< Refused while a quarter of the engines was
                             ///< idle: no prefill, half of the slots free.

  /// Returns the share of complete answers with a pause over the limit.
  [[nodiscard]] double longPauseShare() const {
    const int Complete = m_InTime + m_Late;
    return Complete == 0 ? 0 : static_cast<double>(m_PauseTooLong) / Complete;
  }

  /// Returns the share of requests answered in time.
  [[nodiscard]] double inTimeShare() const {
    return m_Requests == 0 ? 1 : static_cast<double>(m_InTime) / m_Requests;
  }
};

/// State of the fleet at one moment.
struct ModelSnapshot {
  std::size_t m_SensitiveEngines = 0; ///< By gateway 0, see isLatencySensitive.
  std::vector<double> m_SlotShares;   ///< Taken at each engine, by index.
};

/// Result of a simulation.
struct FleetResult {
  std::map<std::string, ModelResult> m_Classes; ///< By name.
  std::uint64_t m_RepeatedPrefillTokens =
      0;                          ///< Prefill tokens of segments that some
                                  ///< engine had computed before.
  std::size_t m_EnginesUsed = 0;  ///< Engines with at least one call.
  std::uint64_t m_ChoiceHash = 0; ///< Of the chosen engines, in order.
  std::vector<ModelSnapshot> m_Snapshots;  ///< While requests arrive.
  std::vector<double> m_EngineTimeFactors; ///< As in ModelSnapshot, by index.
};

/// Simulates a load to its end.
FleetResult simulate(const FleetModel &Load);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_FLEET_MODEL_H
