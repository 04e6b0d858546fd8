/// What a placement has found out about each upstream, for those who ask why.
///
/// The functions that place calls write it as they decide, so that it can't
/// differ from what they do.
#ifndef CROWSTEP_BALANCE_PLACEMENT_TRACE_H
#define CROWSTEP_BALANCE_PLACEMENT_TRACE_H

#include "balance/placement_cost.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace crowstep::balance {

/// Why a call can't be placed at an upstream, or that it can.
enum class Verdict : std::uint8_t {
  Chosen,         ///< The call goes there.
  CouldTake,      ///< It could, but another one is chosen.
  WaitTooLong,    ///< The predicted wait exceeds the call's limit.
  NoSlot,         ///< The slots that the call may take are taken.
  NoMemory,       ///< The call could exhaust the engine's memory.
  OtherRole,      ///< The engine takes calls of the other role.
  PathLost,       ///< Enough others can be reached directly.
  Ejected,        ///< Its calls have failed, and enough others are left.
  NoRoom,         ///< It has just rejected a call, and enough others are left.
  Brittle,        ///< This instance's share of its slots is taken.
  RateLimited,    ///< This instance may send it no call now.
  PauseRequested, ///< It has asked this instance for a pause.
  Draining,       ///< It takes no new calls.
  HeldBack,       ///< Its version is not registered yet.
  AlreadyTried,   ///< The call was sent there before.
  OtherVersion,   ///< The call needs another software version.
  NotConsidered,  ///< The call was refused before upstreams were compared.
};

/// Returns the stable name in answers, such as "no_slot".
std::string_view nameOf(Verdict Found);

class PlacementTrace {
public:
  /// What was found of one upstream.
  struct Finding {
    UpstreamState *m_State = nullptr;    ///< Never null.
    Verdict m_Verdict = Verdict::Chosen; ///< Why it can't take the call, or
                                         ///< that it can.
    std::optional<std::size_t> m_Option; ///< Its place in options(), if any.
  };

  /// Records an upstream that is not compared, or one of a plain service.
  void add(UpstreamState &At, Verdict Found) {
    m_Findings.push_back({&At, Found, std::nullopt});
  }

  /// Records an engine that is compared.
  void addOption(const EngineOption &Option, Verdict Found) {
    m_Findings.push_back({Option.m_State, Found, m_Options.size()});
    m_Options.push_back(Option);
  }

  /// Records the best upstream, which may have no room for the call now.
  void setBest(const UpstreamState &Best) { m_Best = &Best; }

  /// Returns what was found, each upstream of the service once; empty if the
  /// call was refused before upstreams were considered.
  [[nodiscard]] std::vector<Finding> &findings() { return m_Findings; }

  /// Returns the engines that were compared; empty for a plain service.
  [[nodiscard]] const std::vector<EngineOption> &options() const {
    return m_Options;
  }

  /// Returns the best upstream; null if none were compared.
  [[nodiscard]] const UpstreamState *best() const { return m_Best; }

private:
  std::vector<Finding> m_Findings;       ///< In any order.
  std::vector<EngineOption> m_Options;   ///< See options().
  const UpstreamState *m_Best = nullptr; ///< See best().
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_PLACEMENT_TRACE_H
