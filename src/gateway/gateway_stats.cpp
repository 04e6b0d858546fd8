/// The gateway's counters and latencies.
#include "gateway/gateway_stats.h"

namespace crowstep::gateway {

GatewayStats::GatewayStats(Metrics &Stats)
    : m_Metrics(Stats),
      m_RefusedConnections(Stats.counter("crowstep_connect_failures_total",
                                         {{"reason", "refused"}})),
      m_UnansweredConnections(Stats.counter("crowstep_connect_failures_total",
                                            {{"reason", "no_answer"}})),
      m_UnreadableLimits(
          Stats.counter("crowstep_upstream_limits_unreadable_total")),
      m_LeftSaturated(Stats.counter("crowstep_calls_left_saturated_total")),
      m_Pauses(Stats.counter("crowstep_upstream_pauses_total")),
      m_SlowCallerPauses(Stats.counter("crowstep_slow_caller_pauses_total")),
      m_UnreadablePauses(
          Stats.counter("crowstep_upstream_pauses_unreadable_total")),
      m_MixedStreams(Stats.counter("crowstep_streams_mixed_total")),
      m_Waits(Stats.counter("crowstep_waits_total")),
      m_ServedInTimeAfterWait(Stats.counter("crowstep_waits_served_total",
                                            {{"result", "in_time"}})),
      m_ServedLateAfterWait(
          Stats.counter("crowstep_waits_served_total", {{"result", "late"}})) {
  for (const char *Reason :
       {"no_capacity", "limit_ended", "caller_gone", "other"})
    Stats.counter("crowstep_waits_refused_total", {{"reason", Reason}});
  for (std::size_t I = 0; I < m_Refusals.size(); ++I)
    m_Refusals.at(I) = &Stats.counter(
        "crowstep_refusals_total",
        {{"reason", std::string(nameOf(static_cast<RefusalReason>(I)))}});
  for (std::size_t I = 0; I < m_Retries.size(); ++I)
    m_Retries.at(I) = &Stats.counter(
        "crowstep_retries_total",
        {{"reason", std::string(nameOf(static_cast<RetryReason>(I)))}});
  for (std::size_t I = 0; I < m_Shed.size(); ++I)
    m_Shed.at(I) = &Stats.counter(
        "crowstep_shed_connections_total",
        {{"reason", std::string(nameOf(static_cast<ShedReason>(I)))}});
  m_OtherRoutes = makeRouteStats("other");
}

void GatewayStats::countRefusal(RefusalReason Reason) {
  m_Refusals.at(static_cast<std::size_t>(Reason))->add();
}

void GatewayStats::countRetry(RetryReason Reason) {
  m_Retries.at(static_cast<std::size_t>(Reason))->add();
}

void GatewayStats::countShed(ShedReason Reason) {
  m_Shed.at(static_cast<std::size_t>(Reason))->add();
}

void GatewayStats::countRefusedAfterWait(std::string_view Reason) {
  m_Metrics
      .counter("crowstep_waits_refused_total",
               {{"reason", std::string(Reason)}})
      .add();
}

RouteStats &GatewayStats::statsOfRoute(const std::string &Name) {
  const auto Found = m_Routes.find(Name);
  if (Found != m_Routes.end())
    return Found->second;
  if (m_Routes.size() >= MaxRoutes)
    return m_OtherRoutes;
  return m_Routes.emplace(Name, makeRouteStats(Name)).first->second;
}

RouteStats GatewayStats::makeRouteStats(const std::string &Label) {
  const Labels RouteLabels = {{"route", Label}};
  return {&m_Metrics.counter("crowstep_requests_total", RouteLabels),
          &m_Metrics.counter("crowstep_finished_total", RouteLabels),
          &m_Metrics.latency("crowstep_first_event_seconds", RouteLabels),
          &m_Metrics.latency("crowstep_total_seconds", RouteLabels)};
}

} // namespace crowstep::gateway
