/// Probes of upstreams where calls broke, and the list of what is quarantined.
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
      m_QuarantinedSegments(Stats.gauge("crowstep_segments_quarantined")),
      m_DroppedUpdates(Stats.counter("crowstep_crash_updates_dropped_total")),
      m_ListTimer(Timers), m_CleanupTimer(Timers), m_PathTimer(Timers) {
  m_Balancer.quarantine().setListener(this);
}

CrashWatch::~CrashWatch() { m_Balancer.quarantine().setListener(nullptr); }

void CrashWatch::handleBrokenCall(UpstreamId Id, const std::string &Name,
                                  const Address &Where) {
  if (m_Probes.contains(Id))
    return;
  const auto OnDone = [this, Id](ConnectOutcome Result) {
    handleProbeResult(Id, Result);
  };
  m_Probes[Id] = {Name, m_Clock.now(),
                  m_Prober.probe(Where, ProbeTimeout, OnDone)};
}

void CrashWatch::handleProbeResult(UpstreamId Id, ConnectOutcome Result) {
  auto Node = m_Probes.extract(Id);
  const std::string Name = Node.mapped().m_Upstream;
  const TimePoint Began = Node.mapped().m_Began;
  m_EndedProbes.push_back(std::move(Node.mapped()));
  // The probe is on the call stack here.
  m_CleanupTimer.start(Duration::zero(), [this] { m_EndedProbes.clear(); });
  if (Result != ConnectOutcome::Refused)
    return;
  if (m_Paths == nullptr)
    recordUpstreamDown(Id, Name, "refuses connections");
  else
    checkPath({Id, Name, Began, m_Clock.now() + PathCheckTime});
}

void CrashWatch::checkPath(const RefusedProbe &Refused) {
  m_RefusedProbes.push_back(Refused);
  m_Paths->recordRefused(Refused.m_Id, Refused.m_Began);
  if (!m_PathTimer.isRunning())
    m_PathTimer.start(PathCheckTime, [this] { handleCheckedPaths(); });
}

void CrashWatch::handleCheckedPaths() {
  const TimePoint Now = m_Clock.now();
  while (!m_RefusedProbes.empty() &&
         m_RefusedProbes.front().m_CheckedAt <= Now) {
    const RefusedProbe Refused = m_RefusedProbes.front();
    m_RefusedProbes.pop_front();
    if (!m_Paths->isPathLost(Refused.m_Id))
      recordUpstreamDown(Refused.m_Id, Refused.m_Upstream,
                         "refuses connections");
  }
  if (!m_RefusedProbes.empty())
    m_PathTimer.start(m_RefusedProbes.front().m_CheckedAt - Now,
                      [this] { handleCheckedPaths(); });
}

void CrashWatch::handleReplaced(UpstreamId Id, const std::string &Name) {
  recordUpstreamDown(Id, Name, "another process answers");
}

void CrashWatch::upstreamsChanged(const std::vector<Upstream> &All) {
  std::map<UpstreamId, ListedUpstream> Present;
  for (const Upstream &Entry : All)
    Present[Entry.m_Id] = {Entry.m_Name, Entry.m_Draining,
                           incarnationOf(Entry.m_Id, Entry.m_StartTime)};
  for (const auto &[Id, Known] : m_Upstreams) {
    const auto Found = Present.find(Id);
    if (Known.m_Draining)
      continue;
    if (Found == Present.end())
      recordUpstreamDown(Id, Known.m_Name, "no longer listed");
    else if (Found->second.m_Incarnation != Known.m_Incarnation)
      recordUpstreamDown(Id, Known.m_Name, "was started again");
  }
  m_Upstreams = std::move(Present);
}

void CrashWatch::recordUpstreamDown(UpstreamId Id, const std::string &Name,
                                    std::string_view Reason) {
  const TimePoint Now = m_Clock.now();
  const std::size_t Calls = m_Balancer.quarantine().recordUpstreamDown(Id, Now);
  if (Calls == 0)
    return;
  m_Crashes.add();
  logEvent(LogEvent::GatewayUpstreamDown, {{"upstream", Name},
                                           {"why", std::string(Reason)},
                                           {"calls", std::to_string(Calls)}});
  m_LastCrashAt = Now;
  const bool Listable = !m_Balancer.quarantine().unlistedSuspects().empty();
  if (Listable || !m_ListTimer.isRunning())
    m_ListTimer.start(Listable ? Duration::zero() : ListCheckInterval,
                      [this] { syncQuarantineList(); });
}

void CrashWatch::quarantineChanged(const std::set<ContentHash> &Listed) {
  m_Balancer.quarantine().setListed(Listed, m_Clock.now());
}

void CrashWatch::onQuarantined(const ContentHash &Suspect,
                               quarantine::SuspectKind Kind,
                               std::size_t Crashes, Duration Span) {
  updateGauges();
  logEvent(LogEvent::GatewayQuarantined,
           {{"content", toString(Suspect)},
            {"kind", std::string(nameOf(Kind))},
            {"crashes", std::to_string(Crashes)},
            {"span_us", std::to_string(Span.count())}});
}

void CrashWatch::onCleared(const ContentHash &Suspect,
                           quarantine::SuspectKind Kind,
                           quarantine::ClearReason Reason) {
  updateGauges();
  logEvent(LogEvent::GatewayQuarantineEnded,
           {{"content", toString(Suspect)},
            {"kind", std::string(nameOf(Kind))},
            {"why", std::string(nameOf(Reason))}});
  if (Reason == quarantine::ClearReason::Served && !m_ListTimer.isRunning())
    m_ListTimer.start(Duration::zero(), [this] { syncQuarantineList(); });
}

void CrashWatch::onUpdateDropped() { m_DroppedUpdates.add(); }

void CrashWatch::updateGauges() {
  const quarantine::Quarantine &Held = m_Balancer.quarantine();
  m_Quarantined.set(static_cast<double>(Held.size()));
  m_QuarantinedSegments.set(static_cast<double>(Held.segmentCount()));
}

/// Writes may be lost; the list itself shows whether they took effect.
void CrashWatch::syncQuarantineList() {
  const quarantine::Quarantine &Quarantine = m_Balancer.quarantine();
  const std::vector<ContentHash> Unlisted = Quarantine.unlistedSuspects();
  for (const ContentHash &Request : Unlisted)
    m_Directory->listQuarantined(Request);
  for (const ContentHash &Request : Quarantine.staleListings())
    m_Directory->unlistQuarantined(Request);
  if (!Unlisted.empty() || !Quarantine.staleListings().empty())
    m_ListTimer.start(ListRetryInterval, [this] { syncQuarantineList(); });
  else if (m_Clock.now() - m_LastCrashAt < ListCheckPeriod)
    m_ListTimer.start(ListCheckInterval, [this] { syncQuarantineList(); });
}

} // namespace crowstep::gateway
