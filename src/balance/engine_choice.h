/// Choice of an engine for a prompt.
#ifndef CROWSTEP_BALANCE_ENGINE_CHOICE_H
#define CROWSTEP_BALANCE_ENGINE_CHOICE_H

#include "balance/upstream_state.h"

#include <random>

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
  double m_SlotWaitTokens = 0;         ///< Wait for a slot, as prefill.
};

/// Returns the ids of \p Engines in the order in which they are given to
/// latency-sensitive calls; the same on every instance.
std::vector<UpstreamId> roleOrder(std::vector<UpstreamId> Engines);

/// Returns whether a call would be late if a long prompt were prefilled between
/// its events, while its own prompt is short enough not to delay others.
/// \p MinPause is the shortest pause between events that a class of the service
/// allows; zero: none is known.
bool isLatencySensitive(const PlacementQuery &Query, Duration MinPause);

/// Returns the best of a sample of \p Options, which must not be empty.
const EngineOption &chooseEngine(const PlacementQuery &Query,
                                 bool LatencySensitive,
                                 const std::vector<EngineOption> &Options,
                                 std::mt19937_64 &Random);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ENGINE_CHOICE_H
