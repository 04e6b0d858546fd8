/// Polls the upstreams of the pools owned here for load and cache events.
///
/// Only a pool's owner polls, so the load of polling on an upstream does not
/// depend on the number of instances.
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

  /// Polls these upstreams from now on, and no others.
  void watch(const std::vector<Upstream> &Upstreams);

private:
  struct Watched;
  void ask(const std::shared_ptr<Watched> &Target);
  void answered(const std::shared_ptr<Watched> &Target, HttpResult Result);

  HttpCaller &m_Http;  ///< Outlives this object.
  Scheduler &m_Timers; ///< Outlives this object.
  Duration m_Interval; ///< From an answer to the next poll, > 0.
  Report m_Report;     ///< Gets each load report and cache event.
  std::map<UpstreamId, std::shared_ptr<Watched>> m_Watched; ///< Polled now.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_LOAD_MONITOR_H
