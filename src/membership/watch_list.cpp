/// The members that this process watches.
#include "membership/watch_list.h"

#include <algorithm>

namespace crowstep::membership {

namespace {

/// Suspicion times, instead of one, that must pass before a silent member is
/// reported while all watched members are silent.
constexpr int AllSilentFactor = 3;

/// Upper limit of the timeout factor of a member that other processes reach
/// but this one does not.
constexpr std::uint32_t MaxTimeoutFactor = 32;

} // namespace

void WatchList::linkUp(InstanceId Peer, LinkId Link, TimePoint RunningTime,
                       TimePoint Now) {
  m_Links[Link] = Peer;
  m_Watches[Peer].m_Links.insert(Link);
  frameReceived(Link, RunningTime, Now);
}

void WatchList::linkDown(LinkId Link, CloseReason Reason) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  Watch &Watched = m_Watches.at(Found->second);
  m_Links.erase(Found);
  Watched.m_Links.erase(Link);
  Watched.m_ClosedByPeer = Reason == CloseReason::PeerClosed;
  removeUnused();
}

void WatchList::frameReceived(LinkId Link, TimePoint RunningTime,
                              TimePoint Now) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  Watch &Watched = m_Watches.at(Found->second);
  Watched.m_LastReceivedRunning = RunningTime;
  Watched.m_LastReceivedReal = Now;
  Watched.m_TimeoutFactor = 1;
  Watched.m_ClosedByPeer = false;
  Watched.m_FailureReported = false;
}

void WatchList::setTargets(const std::set<InstanceId> &Targets,
                           TimePoint RunningTime) {
  for (auto &[Id, Watched] : m_Watches)
    Watched.m_IsTarget = Targets.contains(Id);
  for (const InstanceId Id : Targets) {
    const auto [Found, IsNew] = m_Watches.try_emplace(Id);
    Found->second.m_IsTarget = true;
    if (IsNew)
      Found->second.m_LastReceivedRunning = RunningTime;
  }
  removeUnused();
}

bool WatchList::isSilent(const Watch &Watched, TimePoint RunningTime) const {
  return RunningTime - Watched.m_LastReceivedRunning >
         m_SuspectAfter * Watched.m_TimeoutFactor;
}

bool WatchList::areAllSilent(TimePoint RunningTime) const {
  return m_Watches.size() >= 2 &&
         std::ranges::all_of(m_Watches, [&](const auto &Entry) {
           return isSilent(Entry.second, RunningTime);
         });
}

std::vector<InstanceId> WatchList::silentPeers(TimePoint RunningTime) const {
  const TimePoint Limit =
      areAllSilent(RunningTime)
          ? RunningTime - m_SuspectAfter * (AllSilentFactor - 1)
          : RunningTime;
  std::vector<InstanceId> Result;
  for (const auto &[Id, Watched] : m_Watches)
    if (isSilent(Watched, Limit))
      Result.push_back(Id);
  return Result;
}

void WatchList::recordFailureReport(InstanceId Peer) {
  const auto Found = m_Watches.find(Peer);
  if (Found != m_Watches.end())
    Found->second.m_FailureReported = true;
}

std::vector<LinkId> WatchList::handleRefutation(InstanceId Peer,
                                                TimePoint RunningTime) {
  const auto Found = m_Watches.find(Peer);
  if (Found == m_Watches.end() || !Found->second.m_FailureReported)
    return {};
  Watch &Watched = Found->second;
  Watched.m_FailureReported = false;
  Watched.m_LastReceivedRunning = RunningTime;
  Watched.m_TimeoutFactor =
      std::min(Watched.m_TimeoutFactor * 2, MaxTimeoutFactor);
  return {Watched.m_Links.begin(), Watched.m_Links.end()};
}

bool WatchList::wasClosedByPeer(InstanceId Peer) const {
  const auto Found = m_Watches.find(Peer);
  return Found != m_Watches.end() && Found->second.m_Links.empty() &&
         Found->second.m_ClosedByPeer;
}

bool WatchList::receivedFromMajority(
    TimePoint Now, const std::function<bool(InstanceId)> &Counts) const {
  std::size_t Total = 1;
  std::size_t Received = 1;
  for (const auto &[Id, Watched] : m_Watches) {
    if (!Counts(Id))
      continue;
    ++Total;
    Received += Now - Watched.m_LastReceivedReal <= m_SuspectAfter ? 1 : 0;
  }
  return Received * 2 > Total;
}

LinkId WatchList::linkTo(InstanceId Peer) const {
  const auto Found = m_Watches.find(Peer);
  if (Found == m_Watches.end() || Found->second.m_Links.empty())
    return {};
  return *Found->second.m_Links.begin();
}

InstanceId WatchList::peerOf(LinkId Link) const {
  const auto Found = m_Links.find(Link);
  return Found == m_Links.end() ? InstanceId() : Found->second;
}

void WatchList::removeUnused() {
  std::erase_if(m_Watches, [](const auto &Entry) {
    return !Entry.second.m_IsTarget && Entry.second.m_Links.empty();
  });
}

} // namespace crowstep::membership
