/// State of one upstream as a gateway knows it.
#ifndef CROWSTEP_BALANCE_UPSTREAM_STATE_H
#define CROWSTEP_BALANCE_UPSTREAM_STATE_H

#include "balance/peer_loads.h"

#include <optional>

namespace crowstep::balance {

/// Outcomes of an upstream's recent calls, which decide when it is ejected.
class UpstreamHealth {
public:
  /// Records the end of a call.
  void recordOutcome(CallOutcome Outcome, TimePoint Now);

  /// Returns whether the upstream should get no calls now.
  [[nodiscard]] bool isEjected(TimePoint Now) const {
    return Now < m_EjectedUntil;
  }

  /// Returns the weighted share of its recent calls that failed, 0 to 1.
  [[nodiscard]] double failureShare() const { return m_FailureShare; }

private:
  void eject(Duration Span, TimePoint Now);

  double m_FailureShare = 0; ///< Exponentially weighted.
  unsigned m_ConsecutiveFailures =
      0;                      ///< Failures without a success between them.
  TimePoint m_EjectedUntil{}; ///< In the past: not ejected.
};

/// One upstream, its load and its health.
struct UpstreamState {
  Upstream m_Upstream;        ///< As listed; draining if it has ever said so.
  std::size_t m_RoleRank = 0; ///< See roleOrder().
  int m_SpeedClass = 0;       ///< By which it was ranked.
  double m_Speed = 1;         ///< Of an engine, as of the last update of roles.
  double m_UsableShare = 1;   ///< Of its slots, as of that update.
  CallLoad m_OwnLoad;         ///< This instance's calls.
  std::optional<LoadReport> m_LoadReport; ///< Last report.
  std::uint32_t m_RunningAtReport = 0;    ///< Own calls at its receipt.
  TimePoint m_ReportedAt{};               ///< Receipt of the report.
  TimePoint m_LastByteAt{};               ///< Last byte, on any own call.
  UpstreamHealth m_Health;                ///< By its answers.
  TimePoint m_FullUntil{};                ///< Had no room.
  TimePoint m_DrainingUntil{};            ///< Reported draining.
  bool m_IsPathLost = false;              ///< Only other instances reach it.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_UPSTREAM_STATE_H
