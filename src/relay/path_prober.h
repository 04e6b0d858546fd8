/// Connection probes to upstreams, shared by all who want an outcome.
#ifndef CROWSTEP_RELAY_PATH_PROBER_H
#define CROWSTEP_RELAY_PATH_PROBER_H

#include "core/scheduler.h"
#include "http/upstream_call.h"
#include "upstream_type.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace crowstep::relay {

/// How a probe ended.
struct ProbeResult {
  UpstreamId m_Upstream;    ///< That was probed.
  ConnectOutcome m_Outcome; ///< Connected, or why not.
  TimePoint m_Began;        ///< Start of the probe.
};

class PathProber {
public:
  using Callback = std::function<void(const ProbeResult &)>;

  /// A machine that can be reached answers within a few milliseconds, wherever
  /// it is in the region.
  static constexpr Duration Timeout = std::chrono::milliseconds(200);

  PathProber(UpstreamProber &Prober, const Clock &Time, Scheduler &Timers)
      : m_Prober(Prober), m_Clock(Time), m_CleanupTimer(Timers) {}
  PathProber(const PathProber &) = delete;
  PathProber &operator=(const PathProber &) = delete;

  /// Probes \p Upstream, or joins a probe that is running: if that one
  /// connects, it does so after this call. \p OnDone runs once, not within this
  /// call.
  void probe(UpstreamId Upstream, const Address &Where, Callback OnDone);

private:
  /// A running probe and who waits for it.
  struct Running {
    TimePoint m_Began;                      ///< Start.
    std::vector<Callback> m_Waiting;        ///< Not empty.
    std::unique_ptr<UpstreamProbe> m_Probe; ///< Never null.
  };

  void handleResult(UpstreamId Upstream, ConnectOutcome Outcome);

  UpstreamProber &m_Prober;                ///< Outlives this object.
  const Clock &m_Clock;                    ///< Outlives this object.
  std::map<UpstreamId, Running> m_Running; ///< By upstream.
  std::vector<Running> m_Ended;            ///< To be destroyed.
  Timer m_CleanupTimer;                    ///< Destroys m_Ended.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_PATH_PROBER_H
