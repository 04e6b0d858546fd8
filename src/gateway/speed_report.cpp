/// Logs and metrics of the speeds of upstreams.
#include "gateway/speed_report.h"

#include "core/log.h"

namespace crowstep::gateway {

SpeedReport::SpeedReport(const Clock &Time, Scheduler &Timers,
                         balance::Balancer &Balancer, Metrics &Stats)
    : m_Clock(Time), m_Balancer(Balancer),
      m_Services(Stats.gauge("crowstep_speed_services")),
      m_Slow(Stats.gauge("crowstep_upstreams_slow")),
      m_Fast(Stats.gauge("crowstep_upstreams_fast")),
      m_Samples(Stats.counter("crowstep_speed_samples_total")),
      m_Outliers(Stats.counter("crowstep_speed_outliers_total")),
      m_Updates(Stats.counter("crowstep_speed_updates_total")),
      m_BadPaces(Stats.counter("crowstep_machine_paces_ignored_total")),
      m_Timer(Timers) {}

void SpeedReport::start() {
  m_Timer.start(Interval, [this] {
    report();
    start();
  });
}

void SpeedReport::report() {
  speed::UpstreamSpeeds &Speeds = m_Balancer.speeds();
  const speed::SpeedCounts Counts = Speeds.counts(m_Clock.now());
  m_Services.set(static_cast<double>(Counts.m_Services));
  m_Slow.set(static_cast<double>(Counts.m_Slow));
  m_Fast.set(static_cast<double>(Counts.m_Fast));
  m_Samples.add(Counts.m_Samples - m_Last.m_Samples);
  m_Outliers.add(Counts.m_Outliers - m_Last.m_Outliers);
  m_Updates.add(Counts.m_Updates - m_Last.m_Updates);
  m_BadPaces.add(Counts.m_BadPaces - m_Last.m_BadPaces);
  m_Last = Counts;
  for (const speed::SpeedClassChange &Change : Speeds.takeClassChanges())
    logEvent(LogEvent::GatewayUpstreamSpeedClass,
             {{"upstream", Change.m_Name},
              {"before", std::to_string(Change.m_Before)},
              {"class", std::to_string(Change.m_Class)},
              {"speed", std::to_string(Change.m_Speed)}});
}

} // namespace crowstep::gateway
