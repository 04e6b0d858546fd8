/// A fleet in virtual time: gateways with the real balancer, engines that read
/// prompts in chunks between the tokens of other calls, and callers by class.
///
/// It plays a load in a fraction of its time and gives the same result for the
/// same seed, so that a decision can be tested by what callers get. It has no
/// network delays and no preemption, engines' memory holds what they keep of
/// prompts only, and a crash is known to all gateways at once.
#ifndef CROWSTEP_STANDIN_FLEET_MODEL_H
#define CROWSTEP_STANDIN_FLEET_MODEL_H

#include "balance/balance_type.h"

#include <map>

namespace crowstep::standin {

/// A part that prompts of a class share.
struct ModelPart {
  std::uint32_t m_Tokens = 0; ///< Size of each.
  std::uint64_t m_Count = 1;  ///< How many different ones there are.
};

/// One class of calls.
struct ModelClass {
  std::string m_Name;               ///< For results.
  double m_PerSecond = 1;           ///< Poisson arrivals.
  balance::Urgency m_Urgency = 0;   ///< 0 goes first.
  Duration m_Target{};              ///< To the first event.
  Duration m_LongestPause{};        ///< Between events, in time.
  Duration m_Deadline{};            ///< The caller leaves then.
  std::vector<ModelPart> m_Shared;  ///< From the first on; chosen at random.
  std::uint32_t m_OwnTokens = 1000; ///< Mean; from a half to one and a half.
  std::uint32_t m_Output = 50;      ///< Tokens made.
};

/// More or less of one class for a while.
struct ModelBurst {
  std::size_t m_Class = 0; ///< Index among the classes.
  Duration m_From{};       ///< Since the start.
  Duration m_To{};         ///< Since the start.
  double m_Factor = 1;     ///< Times its usual rate.
};

/// Engines are lost with their calls and memory, and others take their places.
struct ModelCrash {
  Duration m_At{};    ///< Since the start.
  Duration m_For{};   ///< Until the others are there.
  double m_Share = 0; ///< Of the engines.
};

/// A fleet and its load. The engine's figures are those of a large dense model.
struct FleetModel {
  std::size_t m_Gateways = 9;

  /// With one zone all gateways tell one another; of more zones, each zone
  /// tells the others its sum with every second digest.
  std::size_t m_Zones = 1;
  Duration m_DigestInterval = std::chrono::milliseconds(100);

  std::size_t m_Engines = 12;
  std::uint32_t m_Slots = 64;
  std::uint64_t m_CacheTokens = 290000;
  std::uint32_t m_Chunk = 2048; ///< Prompt tokens read in a step.
  std::uint32_t m_Stride = 3;   ///< Tokens of an event.
  double m_StepUs = 6000;       ///< Of a step with nothing to read.
  double m_SlotUs = 45;         ///< Added for each call that runs.
  double m_ReadUs = 22;         ///< Added for each prompt token read.
  double m_WaitShare = 0.4;     ///< Of the target, for room; 0: none waits.
  Duration m_Length = std::chrono::seconds(20);
  std::uint64_t m_Seed = 1;
  std::vector<ModelClass> m_Classes;
  std::vector<ModelBurst> m_Bursts;
  std::vector<ModelCrash> m_Crashes;
};

/// What the callers of a class got.
struct ModelResult {
  int m_Asked = 0;
  int m_InTime = 0; ///< First event and all pauses in time, and complete.
  int m_Late = 0;   ///< Complete, but not in time.
  int m_Refused = 0;
  int m_Unfinished = 0; ///< Their deadline came first.
  int m_Lost = 0;       ///< Their engine crashed.

  /// Returns the share that was answered in time.
  [[nodiscard]] double inTime() const {
    return m_Asked == 0 ? 1 : static_cast<double>(m_InTime) / m_Asked;
  }
};

/// What a play came to.
struct FleetResult {
  std::map<std::string, ModelResult> m_Classes; ///< By name.
  std::uint64_t m_ReadAgain = 0; ///< Tokens of shared parts that some engine
                                 ///< had read before.
  std::size_t m_EnginesUsed = 0; ///< That got at least one call.
};

/// Plays a load to its end.
FleetResult play(const FleetModel &What);

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_FLEET_MODEL_H
