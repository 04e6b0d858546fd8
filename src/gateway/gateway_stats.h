/// The gateway's counters and latencies.
#ifndef CROWSTEP_GATEWAY_GATEWAY_STATS_H
#define CROWSTEP_GATEWAY_GATEWAY_STATS_H

#include "core/metrics.h"
#include "http/connection_admission.h"
#include "refusal_type.h"

#include <array>
#include <map>
#include <string>

namespace crowstep::gateway {

/// Latencies of one route.
struct RouteStats {
  Counter *m_Requests;            ///< Admitted.
  Counter *m_Finished;            ///< Answered completely by an upstream.
  LatencyHistogram *m_FirstEvent; ///< From the request to the first event.
  LatencyHistogram *m_Total;      ///< From the request to the answer's end.
};

class GatewayStats {
public:
  /// Maximum of routes with metrics of their own; a table may have thousands of
  /// routes, and the rest share the label "other".
  static constexpr std::size_t MaxRoutes = 32;

  explicit GatewayStats(Metrics &Stats);

  void countRefusal(RefusalReason Reason);
  void countRetry(RetryReason Reason);

  /// Counts a caller's connection that was closed unread.
  void countShed(ShedReason Reason);

  /// Counts a connection that was refused, or else one that was not answered.
  void countConnectFailure(bool Refused) {
    (Refused ? m_RefusedConnections : m_UnansweredConnections).add();
  }

  /// Counts a stated limit of an upstream that is not a number.
  void countUnreadableLimit() { m_UnreadableLimits.add(); }

  /// Counts a call that was placed at another engine than the best one because
  /// the wait there was too long.
  void countLeftSaturated() { m_LeftSaturated.add(); }

  /// Counts a pause that an upstream requested.
  void countPause() { m_Pauses.add(); }

  /// Counts an answer that is not read on until its caller has read.
  void countSlowCallerPause() { m_SlowCallerPauses.add(); }

  /// Counts a pause that an upstream requested and that is not a time.
  void countUnreadablePause() { m_UnreadablePauses.add(); }

  /// Counts a call that begins to wait by prediction.
  void countWait() { m_Waits.add(); }

  /// Counts such a call that was served, in time or late.
  void countServedAfterWait(bool InTime) {
    (InTime ? m_ServedInTimeAfterWait : m_ServedLateAfterWait).add();
  }

  /// Counts such a call that was not served.
  void countRefusedAfterWait(std::string_view Reason);

  /// Counts an answer in which another software version's events follow.
  void countMixedStream() { m_MixedStreams.add(); }

  /// Returns the metrics of a route.
  RouteStats &statsOfRoute(const std::string &Name);

private:
  RouteStats makeRouteStats(const std::string &Label);

  Metrics &m_Metrics;               ///< Outlives this object.
  Counter &m_RefusedConnections;    ///< See countConnectFailure().
  Counter &m_UnansweredConnections; ///< See countConnectFailure().
  Counter &m_UnreadableLimits;      ///< See countUnreadableLimit().
  Counter &m_LeftSaturated;         ///< See countLeftSaturated().
  Counter &m_Pauses;                ///< See countPause().
  Counter &m_SlowCallerPauses;      ///< See countSlowCallerPause().
  Counter &m_UnreadablePauses;      ///< See countUnreadablePause().
  Counter &m_MixedStreams;          ///< See countMixedStream().
  Counter &m_Waits;                 ///< See countWait().
  Counter &m_ServedInTimeAfterWait; ///< See countServedAfterWait().
  Counter &m_ServedLateAfterWait;   ///< See countServedAfterWait().
  std::array<Counter *, static_cast<std::size_t>(RefusalReason::Count)>
      m_Refusals; ///< By reason.
  std::array<Counter *, static_cast<std::size_t>(RetryReason::Count)>
      m_Retries; ///< By reason.
  std::array<Counter *, static_cast<std::size_t>(ShedReason::Count)>
      m_Shed;                                 ///< By reason.
  std::map<std::string, RouteStats> m_Routes; ///< By name.
  RouteStats m_OtherRoutes;                   ///< Of all further routes.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_GATEWAY_STATS_H
