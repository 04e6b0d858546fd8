/// Evidence of lost paths, and their return.
#include "relay/path_monitor.h"

#include <algorithm>
#include <array>
#include <set>

namespace crowstep::relay {

std::string_view nameOf(PathEvidence Evidence) {
  static constexpr std::array<std::string_view, 4> Names = {
      "refused", "no_answer", "unacknowledged", "presumed"};
  return Names.at(static_cast<std::size_t>(Evidence));
}

PathMonitor::Path *PathMonitor::find(UpstreamId Upstream) {
  const auto Found = m_Paths.find(Upstream);
  return Found == m_Paths.end() ? nullptr : &Found->second;
}

const PathMonitor::Path *PathMonitor::find(UpstreamId Upstream) const {
  const auto Found = m_Paths.find(Upstream);
  return Found == m_Paths.end() ? nullptr : &Found->second;
}

void PathMonitor::updateCounts() {
  m_BusyCount = 0;
  m_LostCount = 0;
  for (const auto &[Id, Entry] : m_Paths) {
    m_BusyCount += isBusy(Entry) ? 1 : 0;
    m_LostCount += Entry.m_Phase != Phase::Open ? 1 : 0;
  }
}

/// An upstream that is new while most others can't be reached is presumed lost
/// like them.
void PathMonitor::setUpstreams(const std::vector<Upstream> &List,
                               TimePoint Now) {
  const bool MostAreLost = m_LostCount * 2 > m_Paths.size();
  std::map<UpstreamId, Path> Paths;
  std::vector<UpstreamId> New;
  for (const Upstream &Listed : List) {
    if (const auto Known = m_Paths.find(Listed.m_Id); Known != m_Paths.end()) {
      Paths.insert(m_Paths.extract(Known));
    } else {
      Paths[Listed.m_Id].m_Name = Listed.m_Name;
      New.push_back(Listed.m_Id);
    }
    Paths[Listed.m_Id].m_Address = Listed.m_Address;
  }
  m_Paths = std::move(Paths);
  if (MostAreLost)
    for (const UpstreamId Id : New)
      lose(Id, m_Paths.at(Id), PathEvidence::Presumed, Now);
  updateCounts();
}

// ---- Evidence ---------------------------------------------------------------

void PathMonitor::recordConnected(UpstreamId Upstream, TimePoint Now) {
  Path *Entry = find(Upstream);
  if (Entry == nullptr)
    return;
  Entry->m_ConnectedAt = Now;
  Entry->m_ReceivedAt = Now;
  if (Entry->m_Phase != Phase::Open || Entry->m_FailedSince == TimePoint())
    return;
  Entry->m_FailedSince = TimePoint();
  updateCounts();
}

/// Where only new connections fail, bytes still come over older ones.
void PathMonitor::recordBytesReceived(UpstreamId Upstream, TimePoint Now) {
  Path *Entry = find(Upstream);
  if (Entry == nullptr)
    return;
  Entry->m_ReceivedAt = Now;
  if (Entry->m_Phase == Phase::Open && Entry->m_FailedSince != TimePoint() &&
      Entry->m_Evidence == PathEvidence::Unacknowledged) {
    Entry->m_FailedSince = TimePoint();
    updateCounts();
  }
}

void PathMonitor::recordDelay(UpstreamId Upstream, TimePoint Now) {
  if (const Path *Entry = find(Upstream);
      Entry != nullptr && Entry->m_Phase == Phase::Open)
    check(Upstream, Now);
}

void PathMonitor::recordFailure(UpstreamId Upstream, PathEvidence Evidence,
                                TimePoint Began, TimePoint Now) {
  Path *Entry = find(Upstream);
  if (Entry == nullptr)
    return;
  if (Entry->m_Phase != Phase::Open) {
    Entry->m_StableSince = TimePoint();
    if (Entry->m_Phase == Phase::Returning)
      lose(Upstream, *Entry, Evidence, Now);
    return;
  }
  if (Entry->m_FailedSince == TimePoint()) {
    Entry->m_FailedSince = Began;
    Entry->m_Evidence = Evidence;
    ++m_BusyCount;
  }
  check(Upstream, Now);
  askAbout(Upstream, *Entry, Now);
  evaluate(Upstream, *Entry, Now);
}

void PathMonitor::recordPeerReach(UpstreamId Upstream, TimePoint Now) {
  Path *Entry = find(Upstream);
  if (Entry == nullptr)
    return;
  Entry->m_PeerReachedAt = Now;
  evaluate(Upstream, *Entry, Now);
}

/// Probes the upstream and some others, and asks other instances about them.
void PathMonitor::check(UpstreamId Suspect, TimePoint Now) {
  if (Now - m_CheckedAt < CheckInterval)
    return;
  m_CheckedAt = Now;
  std::vector<UpstreamId> Others;
  const Address Where = m_Paths.at(Suspect).m_Address;
  for (const auto &[Id, Entry] : m_Paths)
    if (Entry.m_Phase == Phase::Open && Entry.m_Address.m_Ip != Where.m_Ip)
      Others.push_back(Id);
  std::vector<UpstreamId> Checked = {Suspect};
  std::sample(Others.begin(), Others.end(), std::back_inserter(Checked),
              ComparedUpstreams, m_Random);
  for (const UpstreamId Id : Checked) {
    probe(Id, m_Paths.at(Id));
    m_Paths.at(Id).m_AskedAt = Now;
  }
  m_Actions.askPeers(Checked);
}

void PathMonitor::askAbout(UpstreamId Suspect, Path &Entry, TimePoint Now) {
  if (Now - Entry.m_AskedAt < CheckInterval || !takeQuestion(Now))
    return;
  Entry.m_AskedAt = Now;
  m_Actions.askPeers({Suspect});
}

bool PathMonitor::takeQuestion(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_Questions = std::min(QuestionBurst,
                         m_Questions + Elapsed.count() * QuestionsPerSecond);
  if (m_Questions < 1)
    return false;
  --m_Questions;
  return true;
}

void PathMonitor::probe(UpstreamId Upstream, Path &Entry) {
  if (Entry.m_IsProbing)
    return;
  Entry.m_IsProbing = true;
  m_Actions.probePath(Upstream, Entry.m_Address);
}

void PathMonitor::recordProbe(UpstreamId Upstream, ConnectOutcome Outcome,
                              TimePoint Began, TimePoint Now) {
  Path *Entry = find(Upstream);
  if (Entry == nullptr)
    return;
  Entry->m_IsProbing = false;
  const bool Connected = Outcome == ConnectOutcome::Connected;
  if (Connected)
    recordConnected(Upstream, Now);
  if (Entry->m_Phase == Phase::Lost)
    handleProbeOfLost(Upstream, *Entry, Connected, Now);
  else if (!Connected)
    recordFailure(Upstream,
                  Outcome == ConnectOutcome::Refused ? PathEvidence::Refused
                                                     : PathEvidence::NoAnswer,
                  Began, Now);
}

// ---- Loss -------------------------------------------------------------------

/// A failure that began after another instance was last known to connect may be
/// the upstream's own.
void PathMonitor::evaluate(UpstreamId Upstream, Path &Entry, TimePoint Now) {
  if (Entry.m_Phase != Phase::Open || Entry.m_FailedSince == TimePoint() ||
      Entry.m_PeerReachedAt < Entry.m_FailedSince)
    return;
  const TimePoint Since = Entry.m_FailedSince;
  lose(Upstream, Entry, Entry.m_Evidence, Now);
  presumeOthersLost(Since, Now);
  updateCounts();
}

void PathMonitor::lose(UpstreamId Upstream, Path &Entry, PathEvidence Evidence,
                       TimePoint Now) {
  if (Now - Entry.m_ReturnedAt > LossMemory)
    Entry.m_Losses = 0;
  ++Entry.m_Losses;
  const bool WasOpen = Entry.m_Phase == Phase::Open;
  const Duration FailedFor = Entry.m_FailedSince == TimePoint()
                                 ? Duration::zero()
                                 : Now - Entry.m_FailedSince;
  Entry.m_Phase = Phase::Lost;
  Entry.m_Evidence = Evidence;
  Entry.m_FailedSince = TimePoint();
  Entry.m_StableSince = TimePoint();
  if (WasOpen)
    Entry.m_LostAt = Now;
  Entry.m_NextProbeAt =
      Evidence == PathEvidence::Presumed ? Now : Now + LostProbeInterval;
  m_Actions.pathLost({Upstream, Entry.m_Name, Evidence, FailedFor});
}

/// Spares those that have sent something since the last failure began, at \p
/// Since.
void PathMonitor::presumeOthersLost(TimePoint Since, TimePoint Now) {
  std::set<std::uint32_t> Hosts;
  for (const auto &[Id, Entry] : m_Paths)
    if (Entry.m_Phase == Phase::Lost &&
        Entry.m_Evidence != PathEvidence::Presumed &&
        Now - Entry.m_LostAt < EventSpan)
      Hosts.insert(Entry.m_Address.m_Ip);
  if (Hosts.size() < 2)
    return;
  for (auto &[Id, Entry] : m_Paths)
    if (Entry.m_Phase == Phase::Open && Entry.m_ReceivedAt <= Since)
      lose(Id, Entry, PathEvidence::Presumed, Now);
}

// ---- Return -----------------------------------------------------------------

Duration PathMonitor::stableTime(const Path &Entry) {
  return MinStableTime *
         (1U << std::min(Entry.m_Losses > 0 ? Entry.m_Losses - 1 : 0,
                         MaxDoublings));
}

void PathMonitor::handleProbeOfLost(UpstreamId Upstream, Path &Entry,
                                    bool Connected, TimePoint Now) {
  if (!Connected) {
    Entry.m_StableSince = TimePoint();
    Entry.m_NextProbeAt = Now + LostProbeInterval;
    return;
  }
  Entry.m_NextProbeAt = Now + ProbeInterval;
  if (Entry.m_StableSince == TimePoint())
    Entry.m_StableSince = Now;
  // Nothing was seen to fail on a path that was only presumed lost.
  if (Entry.m_Evidence == PathEvidence::Presumed && Entry.m_Losses == 1) {
    regain(Upstream, Entry, Now);
    Entry.m_Phase = Phase::Open;
    updateCounts();
  } else if (Now - Entry.m_StableSince >= stableTime(Entry)) {
    regain(Upstream, Entry, Now);
  }
}

void PathMonitor::regain(UpstreamId Upstream, Path &Entry, TimePoint Now) {
  Entry.m_Phase = Phase::Returning;
  Entry.m_ReturnedAt = Now;
  m_RegainedAt = Now;
  m_Actions.pathRegained(Upstream, Entry.m_Name, Now - Entry.m_LostAt);
}

void PathMonitor::tick(TimePoint Now) {
  for (auto &[Id, Entry] : m_Paths) {
    if (Entry.m_Phase == Phase::Returning &&
        Now - Entry.m_ReturnedAt >= RampTime)
      Entry.m_Phase = Phase::Open;
    if (Entry.m_FailedSince != TimePoint() &&
        Now - Entry.m_FailedSince > FailureLifetime)
      Entry.m_FailedSince = TimePoint();
  }
  updateCounts();
  if (m_LostCount == 0)
    return;
  probeLostPaths(Now);
  reportLostPaths(Now);
}

/// Goes round among the lost paths, so that each gets its turn.
void PathMonitor::probeLostPaths(TimePoint Now) {
  std::size_t Left = Now - m_RegainedAt < std::chrono::seconds(1)
                         ? MaxProbesAfterRegain
                         : MaxProbes;
  auto Next = m_Paths.upper_bound(m_LastProbed);
  for (std::size_t I = 0; I < m_Paths.size() && Left > 0; ++I, ++Next) {
    if (Next == m_Paths.end())
      Next = m_Paths.begin();
    Path &Entry = Next->second;
    if (Entry.m_Phase != Phase::Lost || Entry.m_IsProbing ||
        Now < Entry.m_NextProbeAt)
      continue;
    m_LastProbed = Next->first;
    --Left;
    probe(Next->first, Entry);
  }
}

void PathMonitor::reportLostPaths(TimePoint Now) {
  if (Now - m_ReportedAt < CheckInterval)
    return;
  m_ReportedAt = Now;
  std::vector<UpstreamId> Lost;
  for (const auto &[Id, Entry] : m_Paths)
    if (Entry.m_Phase == Phase::Lost)
      Lost.push_back(Id);
  std::vector<UpstreamId> Some;
  std::sample(Lost.begin(), Lost.end(), std::back_inserter(Some),
              ComparedUpstreams, m_Random);
  if (!Some.empty())
    m_Actions.pathsStayLost(Some);
}

// ---- Use --------------------------------------------------------------------

bool PathMonitor::isLost(UpstreamId Upstream) const {
  const Path *Entry = find(Upstream);
  return Entry != nullptr && Entry->m_Phase == Phase::Lost;
}

bool PathMonitor::prefersRelay(UpstreamId Upstream, double Random,
                               TimePoint Now) const {
  const Path *Entry = find(Upstream);
  if (Entry == nullptr || Entry->m_Phase == Phase::Open)
    return false;
  if (Entry->m_Phase == Phase::Lost)
    return true;
  const std::chrono::duration<double> Elapsed = Now - Entry->m_ReturnedAt;
  const std::chrono::duration<double> Whole = RampTime;
  return Random >= Elapsed / Whole;
}

} // namespace crowstep::relay
