/// Probes of upstreams where calls broke, and the list of quarantined requests.
#include "gateway/crash_watch.h"

#include "core/log.h"

#include <utility>

namespace crowstep::gateway {

CrashWatch::CrashWatch(const Clock &Time, Scheduler &Timers,
                       balance::Balancer &Balancer, UpstreamProber &Prober,
                       Metrics &Stats)
    : m_Clock(Time), m_Balancer(Balancer), m_Prober(Prober),
      m_Crashes(Stats.counter("crowstep_upstream_crashes_total")),
      m_Quarantined(Stats.gauge("crowstep_requests_quarantined")),
      m_KeepList(Timers), m_Sweep(Timers) {
  m_Balancer.quarantine().setListener(this);
}

CrashWatch::~CrashWatch() { m_Balancer.quarantine().setListener(nullptr); }

void CrashWatch::callBroken(UpstreamId Id, const Address &Where) {
  if (m_Probes.contains(Id))
    return;
  m_Probes[Id] =
      m_Prober.probe(Where, ProbeLimit,
                     [this, Id](ConnectOutcome Result) { probed(Id, Result); });
}

void CrashWatch::probed(UpstreamId Id, ConnectOutcome Result) {
  auto Node = m_Probes.extract(Id);
  m_Ended.push_back(std::move(Node.mapped()));
  // The probe is on the call stack here.
  m_Sweep.start(Duration::zero(), [this] { m_Ended.clear(); });
  if (Result == ConnectOutcome::Refused)
    upstreamDown(Id, "refuses connections");
}

void CrashWatch::upstreamsChanged(const std::vector<Upstream> &All) {
  std::map<UpstreamId, Listed> Present;
  for (const Upstream &Entry : All)
    Present[Entry.m_Id] = {Entry.m_Name, Entry.m_Leaving};
  for (const auto &[Id, Known] : m_Upstreams)
    if (!Known.m_Leaving && !Present.contains(Id))
      upstreamDown(Id, "no longer listed");
  m_Upstreams = std::move(Present);
}

void CrashWatch::upstreamDown(UpstreamId Id, std::string_view Reason) {
  const TimePoint Now = m_Clock.now();
  const std::size_t Calls = m_Balancer.quarantine().upstreamDown(Id, Now);
  if (Calls == 0)
    return;
  m_Crashes.add();
  logEvent(LogEvent::GatewayUpstreamDown, {{"upstream", m_Upstreams[Id].m_Name},
                                           {"why", std::string(Reason)},
                                           {"calls", std::to_string(Calls)}});
  m_LastCrash = Now;
  const bool Listable = !m_Balancer.quarantine().unlisted().empty();
  if (Listable || !m_KeepList.running())
    m_KeepList.start(Listable ? Duration::zero() : ListAfter,
                     [this] { keepList(); });
}

void CrashWatch::quarantineChanged(const std::set<ContentHash> &Listed) {
  m_Balancer.quarantine().setListed(Listed, m_Clock.now());
}

void CrashWatch::quarantined(const ContentHash &Request, std::size_t Crashes,
                             Duration Span) {
  m_Quarantined.set(static_cast<double>(m_Balancer.quarantine().size()));
  logEvent(LogEvent::GatewayQuarantined,
           {{"content", toString(Request)},
            {"crashes", std::to_string(Crashes)},
            {"span_us", std::to_string(Span.count())}});
}

void CrashWatch::cleared(const ContentHash &Request,
                         balance::ClearReason Reason) {
  m_Quarantined.set(static_cast<double>(m_Balancer.quarantine().size()));
  logEvent(
      LogEvent::GatewayQuarantineEnded,
      {{"content", toString(Request)}, {"why", std::string(nameOf(Reason))}});
  if (Reason == balance::ClearReason::Served && !m_KeepList.running())
    m_KeepList.start(Duration::zero(), [this] { keepList(); });
}

/// Writes may be lost; the list itself shows whether they took effect.
void CrashWatch::keepList() {
  const balance::Quarantine &Quarantine = m_Balancer.quarantine();
  const std::vector<ContentHash> Unlisted = Quarantine.unlisted();
  for (const ContentHash &Request : Unlisted)
    m_List->listQuarantined(Request);
  for (const ContentHash &Request : Quarantine.wronglyListed())
    m_List->unlistQuarantined(Request);
  if (!Unlisted.empty() || !Quarantine.wronglyListed().empty())
    m_KeepList.start(ListAgainAfter, [this] { keepList(); });
  else if (m_Clock.now() - m_LastCrash < KeepWatchFor)
    m_KeepList.start(ListAfter, [this] { keepList(); });
}

} // namespace crowstep::gateway
