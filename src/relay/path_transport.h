/// Sends each call directly or through another instance, and learns from the
/// direct ones which upstreams can be reached.
#ifndef CROWSTEP_RELAY_PATH_TRANSPORT_H
#define CROWSTEP_RELAY_PATH_TRANSPORT_H

#include "balance/balancer.h"
#include "core/metrics.h"
#include "gateway/call_transport.h"
#include "relay/path_monitor.h"
#include "relay/path_prober.h"
#include "relay/relay_client.h"

#include <set>

namespace crowstep::relay {

class DirectCall;

class PathTransport final : public gateway::CallTransport,
                            public gateway::PathView,
                            private PathActions {
public:
  /// After a connection has failed, other instances answer within this time.
  static constexpr Duration QuestionTime = std::chrono::milliseconds(20);

  /// All references outlive the transport.
  PathTransport(const Clock &Time, Scheduler &Timers,
                balance::Balancer &Balancer, UpstreamClient &Direct,
                PathProber &Prober, RelayClient &Relay, Metrics &Stats,
                std::uint64_t Seed);
  ~PathTransport() override;
  PathTransport(const PathTransport &) = delete;
  PathTransport &operator=(const PathTransport &) = delete;

  std::unique_ptr<UpstreamCall> send(const gateway::OutgoingCall &Call,
                                     UpstreamListener &Listener) override;
  [[nodiscard]] Duration retryDelay() const override;

  void recordRefused(UpstreamId Upstream, TimePoint Began) override;
  [[nodiscard]] bool isPathLost(UpstreamId Upstream) const override {
    return m_Monitor.isLost(Upstream);
  }

  void setUpstreams(const std::vector<Upstream> &List);

  /// Another instance has connected to \p Upstream after it was asked.
  void recordPeerReach(UpstreamId Upstream);

private:
  friend class DirectCall;

  void probePath(UpstreamId Upstream, const Address &Where) override;
  void askPeers(const std::vector<UpstreamId> &Upstreams) override;
  void pathsStayLost(const std::vector<UpstreamId> &Some) override;
  void pathLost(const LostPath &Lost) override;
  void pathRegained(UpstreamId Upstream, const std::string &Name,
                    Duration LostFor) override;

  void startTicking();
  void tick();
  void notifyCalls();
  void remove(DirectCall &Call) { m_Calls.erase(&Call); }

  const Clock &m_Clock;                      ///< Outlives this object.
  Scheduler &m_Timers;                       ///< Outlives this object.
  balance::Balancer &m_Balancer;             ///< Outlives this object.
  UpstreamClient &m_Direct;                  ///< Outlives this object.
  PathProber &m_Prober;                      ///< Outlives this object.
  RelayClient &m_Relay;                      ///< Outlives this object.
  PathMonitor m_Monitor;                     ///< Decides which paths are lost.
  std::mt19937_64 m_Random;                  ///< For paths that return.
  std::set<DirectCall *> m_Calls;            ///< In progress.
  std::map<UpstreamId, Address> m_Addresses; ///< Of all listed upstreams.
  std::set<UpstreamId> m_NewlyLost; ///< Their calls are not notified yet.
  TimePoint m_AskedAt{};            ///< Last askPeers().
  Timer m_TickTimer;                ///< Runs while the monitor is busy.
  Timer m_NotifyTimer;              ///< Runs while m_NewlyLost is not empty.
  Gauge &m_LostGauge;               ///< Lost paths.
};

} // namespace crowstep::relay

#endif // CROWSTEP_RELAY_PATH_TRANSPORT_H
