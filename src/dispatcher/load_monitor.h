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
  using EventCallback = std::function<void(const decision::Event &)>;

  LoadMonitor(HttpClientInterface &Http, Scheduler &Timers, Duration Interval,
              EventCallback OnEvent);

  /// Polls these upstreams from now on, and no others.
  void watch(const std::vector<Upstream> &Upstreams);

private:
  struct WatchedUpstream;
  void requestLoad(const std::shared_ptr<WatchedUpstream> &Target);
  void handleAnswer(const std::shared_ptr<WatchedUpstream> &Target,
                    HttpResult Result);

  HttpClientInterface &m_HttpClient; ///< Outlives this object.
  Scheduler &m_Timers;               ///< Outlives this object.
  Duration m_Interval;               ///< From an answer to the next poll, > 0.
  EventCallback m_OnEvent;           ///< Gets each load report and cache event.
  std::map<UpstreamId, std::shared_ptr<WatchedUpstream>>
      m_WatchedUpstreams; ///< Polled now.
};

} // namespace crowstep::dispatcher

#endif // CROWSTEP_DISPATCHER_LOAD_MONITOR_H
