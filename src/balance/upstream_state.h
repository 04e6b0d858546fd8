/// What a gateway knows of one upstream.
#ifndef CROWSTEP_BALANCE_UPSTREAM_STATE_H
#define CROWSTEP_BALANCE_UPSTREAM_STATE_H

#include "balance/peer_loads.h"

#include <optional>

namespace crowstep::balance {

/// A running score of an upstream's answers that decides when it is kept out.
class UpstreamHealth {
public:
  /// Takes the end of a call into account.
  void ended(CallOutcome Outcome, TimePoint Now);

  /// Returns whether the upstream should get nothing now.
  [[nodiscard]] bool ejected(TimePoint Now) const {
    return Now < m_EjectedUntil;
  }

  /// Returns the weighted share of its recent calls that failed, 0 to 1.
  [[nodiscard]] double failureShare() const { return m_FailureShare; }

private:
  void eject(Duration Span, TimePoint Now);

  double m_FailureShare = 0;  ///< Exponentially weighted.
  unsigned m_InARow = 0;      ///< Failures without a success between them.
  TimePoint m_EjectedUntil{}; ///< In the past: not ejected.
};

/// One upstream, its load and its health.
struct UpstreamState {
  Upstream m_Upstream;               ///< As the directory describes it.
  std::size_t m_ShortRank = 0;       ///< See shortOrder(); of engines.
  CallLoad m_Own;                    ///< Our calls there.
  std::optional<LoadReport> m_Load;  ///< The last report.
  std::uint32_t m_RunningAtLoad = 0; ///< Our calls when it came.
  TimePoint m_LoadAt{};              ///< When it came.
  TimePoint m_HeardAt{};             ///< Its last byte, on any of our calls.
  UpstreamHealth m_Health;           ///< By its answers.
  TimePoint m_FullUntil{};           ///< It said that it had no room.
  TimePoint m_LeavingUntil{};        ///< It said that it closes.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_UPSTREAM_STATE_H
