/// Which engine takes which prompt.
#ifndef CROWSTEP_BALANCE_ENGINE_CHOICE_H
#define CROWSTEP_BALANCE_ENGINE_CHOICE_H

#include "balance/upstream_state.h"

#include <random>

namespace crowstep::balance {

/// An engine that could take a call, and what it would cost there.
struct EngineOption {
  UpstreamState *m_State = nullptr;  ///< Never null.
  double m_Calls = 0;                ///< That all instances have there.
  std::uint64_t m_UnreadTokens = 0;  ///< Of prompts waiting there to be read.
  std::uint64_t m_UnreadAfter = 0;   ///< Of prompts that are read later.
  std::uint32_t m_MoreUrgent = 0;    ///< Calls there that this one disturbs.
  std::uint32_t m_Tight = 0;         ///< Calls there, see isTight().
  std::uint32_t m_LessUrgent = 0;    ///< Calls there that yield to this one.
  std::uint32_t m_MissingTokens = 0; ///< Of this prompt, not kept there.
  std::uint64_t m_HeldTokens = 0;    ///< Memory that calls there need.
  bool m_Full = false;               ///< It has no room for this call now.
  double m_FullTokens = 0;           ///< Could be read until it has.
};

/// Returns the ids of \p Engines in the order in which they become engines for
/// short prompts; the same on every instance.
std::vector<UpstreamId> shortOrder(std::vector<UpstreamId> Engines);

/// Returns whether a call is one that a long prompt, read between its events,
/// would make late, and that itself makes no such pause. \p TightestPause is
/// the shortest that any class of the service allows; zero: none is known.
bool isTight(const PlacementQuery &Query, Duration MinPause);

/// Returns the best of \p Options, which are not empty, or of some of them.
const EngineOption &chooseEngine(const PlacementQuery &Query,
                                 bool LatencySensitive,
                                 const std::vector<EngineOption> &Options,
                                 std::mt19937_64 &Random);

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ENGINE_CHOICE_H
