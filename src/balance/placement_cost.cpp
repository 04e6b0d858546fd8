/// Terms of the cost of a call at an engine.
#include "balance/placement_cost.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Weight of a call's own uncached tokens while the engines have little to do:
/// their prefill delays this call once, and every call behind it as well.
constexpr double UncachedWeight = 4.5;

/// Added to UncachedWeight when all slots of the engines are taken; scaled by
/// the square of the share that is taken. Without it, in a burst that takes
/// most slots, calls go wherever a slot is free and prefill their prefixes once
/// more there, so that calls last longer and take more slots.
constexpr double ScarceSlotWeight = 8;

/// Discount on the uncached tokens at the preferred engine, as a share of them.
/// Instances that place calls with the same prefix within a tenth of a second
/// don't know of one another's calls; with it they choose the same engine, and
/// the prefix is prefilled once.
constexpr double PreferredDiscount = 0.7;

/// Weight of those tokens while no prefill is queued, if speeds are learned:
/// prefilling a prefix once more then delays hardly any other call. A higher
/// weight keeps calls at a saturated engine while others are idle.
constexpr double LeastUncachedWeight = 1.5;

/// Mean queued prefill time from which prefill is scarce. Longer queues count
/// as this, so that a few engines with long ones don't make prefill look scarce
/// everywhere.
constexpr std::chrono::duration<double, std::micro> ScarcePrefillTime =
    std::chrono::milliseconds(400);

/// Weight of the prompt tokens of less urgent calls: their prefill takes place
/// between the tokens of a more urgent call and makes its pauses longer.
constexpr double LaterPrefillWeight = 0.3;

/// Cost in tokens of each more urgent call at an engine: prefill of this call's
/// prompt takes place between its tokens and makes its pauses longer.
constexpr double TokensPerMoreUrgent = 300;

/// Cost in tokens of each latency-sensitive call at an engine, for a call that
/// is none: prefill of a long prompt makes such calls late. With this cost
/// another engine is taken unless the wait there is some tenths of a second
/// longer. The boundary between the roles moves within a second, while streams
/// that began before it moved run for six seconds more.
constexpr double TokensPerLatencySensitive = 5000;

/// Returns how scarce prefill is, from 0 to 1: the mean queued prefill time of
/// the engines as a share of ScarcePrefillTime.
double prefillScarcity(const std::vector<EngineOption> &Options,
                       std::chrono::duration<double, std::micro> PerToken) {
  double Sum = 0;
  for (const EngineOption &Option : Options)
    Sum += std::min(1.0, queuedWork(Option) * PerToken / ScarcePrefillTime);
  return Sum / static_cast<double>(Options.size());
}

/// Returns the weight of an uncached token while prefill is scarce.
double scarceUncachedWeight(const std::vector<EngineOption> &Options) {
  double LoadSum = 0;
  for (const EngineOption &Option : Options)
    LoadSum += Option.m_Calls / slotsOf(Option.m_State->m_Upstream);
  const double Share =
      std::min(1.0, LoadSum / static_cast<double>(Options.size()));
  return UncachedWeight + ScarceSlotWeight * Share * Share;
}

} // namespace

double queuedWork(const EngineOption &Option) {
  return static_cast<double>(Option.m_QueuedPrefillTokens) * Option.m_Slowdown /
         Option.m_Speed;
}

double uncachedWeight(const std::vector<EngineOption> &Options,
                      PrefillTime PerToken) {
  const double Scarce = scarceUncachedWeight(Options);
  if (!PerToken)
    return Scarce;
  const double Scarcity = prefillScarcity(Options, *PerToken);
  return LeastUncachedWeight +
         (Scarce - LeastUncachedWeight) * Scarcity * Scarcity;
}

double costOf(const EngineOption &Option, double Weight, bool LatencySensitive,
              bool Preferred) {
  const double Uncached = Weight * Option.m_UncachedTokens *
                          (Preferred ? 1 - PreferredDiscount : 1);
  const double Tokens =
      static_cast<double>(Option.m_QueuedPrefillTokens) * Option.m_Slowdown +
      Uncached +
      LaterPrefillWeight * static_cast<double>(Option.m_LaterPrefillTokens) +
      TokensPerMoreUrgent * Option.m_MoreUrgentCalls +
      (LatencySensitive
           ? 0
           : TokensPerLatencySensitive * Option.m_LatencySensitiveCalls) +
      (Option.m_Full ? Option.m_SlotWaitTokens : 0);
  return Tokens / Option.m_Speed;
}

} // namespace crowstep::balance
