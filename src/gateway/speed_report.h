/// Logs and metrics of the speeds of upstreams.
#ifndef CROWSTEP_GATEWAY_SPEED_REPORT_H
#define CROWSTEP_GATEWAY_SPEED_REPORT_H

#include "balance/balancer.h"
#include "core/metrics.h"
#include "core/scheduler.h"

namespace crowstep::gateway {

class SpeedReport {
public:
  static constexpr Duration Interval = std::chrono::seconds(1);

  /// All references outlive this object.
  SpeedReport(const Clock &Time, Scheduler &Timers, balance::Balancer &Balancer,
              Metrics &Stats);

  /// Begins to report.
  void start();

private:
  void report();

  const Clock &m_Clock;          ///< See the constructor.
  balance::Balancer &m_Balancer; ///< See the constructor.
  Gauge &m_Services;             ///< For which speeds are learned.
  Gauge &m_Slow;                 ///< Upstreams slower than half the mean.
  Gauge &m_Fast;                 ///< Upstreams faster than twice the mean.
  Counter &m_Samples;            ///< Of this instance.
  Counter &m_Outliers;           ///< Among them, those that were clamped.
  Counter &m_Updates;            ///< Received from other instances.
  Counter &m_BadPaces;           ///< Stated percentages out of range.
  speed::SpeedCounts m_Last;     ///< As counted so far.
  Timer m_Timer;                 ///< Until the next report.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_SPEED_REPORT_H
