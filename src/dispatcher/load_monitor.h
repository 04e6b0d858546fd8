/// Asks the upstreams of the pools owned here for their load and cache events.
///
/// Only a pool's owner asks, so an upstream answers one process however many
/// instances there are.
#ifndef CROWSTEP_DISPATCHER_LOAD_MONITOR_H
#define CROWSTEP_DISPATCHER_LOAD_MONITOR_H

#include "core/scheduler.h"
#include "decision/decision_type.h"
#include "http/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace crowstep::dispatcher {

class LoadMonitor {
public:
  using Report = std::function<void(const decision::Event &)>;

  LoadMonitor(HttpCaller &Http, Scheduler &Timers, Duration Interval,
              Report OnEvent);

  /// Asks these upstreams from now on, and no others.
  void watch(const std::vector<Upstream> &Upstreams);

private:
  struct Watched;
  void ask(const std::shared_ptr<Watched> &Target);
  void answered(const std::shared_ptr<Watched> &Target, HttpResult Result);

  HttpCaller &m_Http;  ///< Outlives this object.
  Scheduler &m_Timers; ///< Outlives this object.
  Duration m_Interval; ///< Between two questions to one upstream.
  Report m_Report;     ///< Hears of each report and cache event.
  std::map<UpstreamId, std::shared_ptr<Watched>> m_Watched; ///< Asked now.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_LOAD_MONITOR_H
