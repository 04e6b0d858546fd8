/// Cost of a call at an engine.
///
/// Costs are in tokens of prefill at an engine of usual speed. For a service
/// whose speeds are learned they stand for times: each is divided by the speed
/// of its engine.
#ifndef CROWSTEP_BALANCE_PLACEMENT_COST_H
#define CROWSTEP_BALANCE_PLACEMENT_COST_H

#include "balance/upstream_state.h"

#include <optional>
#include <vector>

namespace crowstep::balance {

/// An engine that could take a call, and the state there that decides.
struct EngineOption {
  UpstreamState *m_State = nullptr;        ///< Never null.
  double m_Calls = 0;                      ///< Calls there, from all instances.
  std::uint64_t m_QueuedPrefillTokens = 0; ///< Prefill there before this call.
  std::uint64_t m_LaterPrefillTokens = 0;  ///< Prefill there after this call.
  std::uint32_t m_MoreUrgentCalls = 0; ///< Calls there that this one delays.
  std::uint32_t m_LatencySensitiveCalls = 0; ///< See isLatencySensitive().
  std::uint32_t m_LessUrgentCalls = 0; ///< Calls there that yield to this one.
  std::uint32_t m_UncachedTokens = 0;  ///< Of this prompt, not cached there.
  std::uint64_t m_HeldTokens = 0;      ///< Memory that the calls there need.
  bool m_Full = false;                 ///< It has no room for this call now.
  bool m_LacksMemory = false;          ///< It is full, but it has a slot.
  double m_SlotWaitTokens = 0;         ///< Wait for a slot, as prefill.
  double m_Speed = 1;       ///< See SpeedView; 1 if speeds are not learned.
  double m_Slowdown = 1;    ///< Of its machine; 1 if speeds are not learned.
  double m_UsableShare = 1; ///< Of its slots; 1 if speeds are not learned.
};

/// Time that an engine of usual speed takes to prefill one token; none: the
/// service's speeds are not learned, and engines are compared by tokens.
using PrefillTime = std::optional<std::chrono::duration<double, std::micro>>;

/// Returns the prefill queued at the engine before the call, as the tokens that
/// an engine of usual speed prefills in the same time.
[[nodiscard]] double queuedWork(const EngineOption &Option);

/// Returns the weight of an uncached token of a call's own prompt, by the share
/// of the options' slots that is taken and, if speeds are learned, by the
/// prefill that is queued there.
[[nodiscard]] double uncachedWeight(const std::vector<EngineOption> &Options,
                                    PrefillTime PerToken);

/// Returns the cost of the call at the engine; the lowest is chosen. \p Weight
/// is that of an uncached token.
[[nodiscard]] double costOf(const EngineOption &Option, double Weight,
                            bool LatencySensitive, bool Preferred);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PLACEMENT_COST_H
