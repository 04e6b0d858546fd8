/// Sends each call directly or through another instance.
#include "relay/path_transport.h"

#include "core/log.h"
#include "relay/direct_call.h"

#include <algorithm>
#include <utility>

namespace crowstep::relay {

PathTransport::PathTransport(const Clock &Time, Scheduler &Timers,
                             balance::Balancer &Balancer,
                             UpstreamClient &Direct, PathProber &Prober,
                             RelayClient &Relay, Metrics &Stats,
                             std::uint64_t Seed)
    : m_Clock(Time), m_Timers(Timers), m_Balancer(Balancer), m_Direct(Direct),
      m_Prober(Prober), m_Relay(Relay), m_Monitor(*this, Seed), m_Random(Seed),
      m_TickTimer(Timers), m_NotifyTimer(Timers),
      m_LostGauge(Stats.gauge("crowstep_paths_lost")) {}

PathTransport::~PathTransport() = default;

std::unique_ptr<UpstreamCall>
PathTransport::send(const gateway::OutgoingCall &Call,
                    UpstreamListener &Listener) {
  const double Random = std::uniform_real_distribution<>()(m_Random);
  if (m_Monitor.prefersRelay(Call.m_Upstream, Random, m_Clock.now()) &&
      m_Relay.hasPeer())
    return m_Relay.send(Call, Listener);
  return std::make_unique<DirectCall>(*this, Call, Listener);
}

Duration PathTransport::retryDelay() const {
  return m_Clock.now() - m_AskedAt < QuestionTime ? QuestionTime
                                                  : Duration::zero();
}

void PathTransport::recordRefused(UpstreamId Upstream, TimePoint Began) {
  m_Monitor.recordFailure(Upstream, PathEvidence::Refused, Began,
                          m_Clock.now());
  startTicking();
}

void PathTransport::setUpstreams(const std::vector<Upstream> &List) {
  m_Addresses.clear();
  for (const Upstream &Listed : List)
    m_Addresses[Listed.m_Id] = Listed.m_Address;
  m_Monitor.setUpstreams(List, m_Clock.now());
  startTicking();
}

void PathTransport::recordPeerReach(UpstreamId Upstream) {
  m_Monitor.recordPeerReach(Upstream, m_Clock.now());
  startTicking();
}

// ---- For the monitor --------------------------------------------------------

void PathTransport::probePath(UpstreamId Upstream, const Address &Where) {
  m_Prober.probe(Upstream, Where, [this](const ProbeResult &Result) {
    m_Monitor.recordProbe(Result.m_Upstream, Result.m_Outcome, Result.m_Began,
                          m_Clock.now());
    startTicking();
  });
}

void PathTransport::askPeers(const std::vector<UpstreamId> &Upstreams) {
  m_AskedAt = m_Clock.now();
  m_Relay.ask(Upstreams);
}

void PathTransport::pathsStayLost(const std::vector<UpstreamId> &Some) {
  m_Relay.keepAsking(Some);
}

/// Idle connections over the path may be dead without having been closed.
void PathTransport::pathLost(const LostPath &Lost) {
  logEvent(LogEvent::GatewayPathLost,
           {{"upstream", Lost.m_Name},
            {"why", std::string(nameOf(Lost.m_Evidence))},
            {"failed_us", std::to_string(Lost.m_FailedFor.count())}});
  m_Balancer.setPathLost(Lost.m_Upstream, true);
  if (const auto Where = m_Addresses.find(Lost.m_Upstream);
      Where != m_Addresses.end())
    m_Direct.closeIdle(Where->second);
  m_NewlyLost.insert(Lost.m_Upstream);
  if (!m_NotifyTimer.isRunning())
    m_NotifyTimer.start(Duration::zero(), [this] { notifyCalls(); });
}

void PathTransport::pathRegained(UpstreamId Upstream, const std::string &Name,
                                 Duration LostFor) {
  logEvent(LogEvent::GatewayPathRegained,
           {{"upstream", Name}, {"lost_us", std::to_string(LostFor.count())}});
  m_Balancer.setPathLost(Upstream, false);
}

/// The calls may end and start others meanwhile.
void PathTransport::notifyCalls() {
  const std::set<UpstreamId> Lost = std::exchange(m_NewlyLost, {});
  const std::set<DirectCall *> Calls = m_Calls;
  for (DirectCall *Call : Calls)
    if (m_Calls.contains(Call) && Lost.contains(Call->upstream()))
      Call->handlePathLost();
}

void PathTransport::startTicking() {
  if (m_Monitor.isBusy() && !m_TickTimer.isRunning())
    m_TickTimer.start(PathMonitor::TickInterval, [this] { tick(); });
  m_LostGauge.set(static_cast<double>(m_Monitor.lostCount()));
}

void PathTransport::tick() {
  m_Monitor.tick(m_Clock.now());
  startTicking();
}

} // namespace crowstep::relay
