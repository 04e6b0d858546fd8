/// The members that this process watches.
#include "membership/watch_list.h"

#include <algorithm>

namespace crowstep::membership {

namespace {

/// Suspicion times, instead of one, that must pass before a silent member is
/// reported while all watched members are silent.
constexpr int Stretch = 3;

/// Upper limit of the timeout factor of a member that other processes reach
/// but this one does not.
constexpr std::uint32_t MaxPatience = 32;

} // namespace

void WatchList::linkUp(InstanceId Peer, LinkId Link, TimePoint Running,
                       TimePoint Now) {
  m_Links[Link] = Peer;
  m_Watches[Peer].m_Links.insert(Link);
  heard(Link, Running, Now);
}

void WatchList::linkDown(LinkId Link, CloseReason Why) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  Watch &Which = m_Watches.at(Found->second);
  m_Links.erase(Found);
  Which.m_Links.erase(Link);
  Which.m_ClosedByPeer = Why == CloseReason::PeerClosed;
  dropUnused();
}

void WatchList::heard(LinkId Link, TimePoint Running, TimePoint Now) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  Watch &Which = m_Watches.at(Found->second);
  Which.m_HeardRunning = Running;
  Which.m_HeardNow = Now;
  Which.m_Patience = 1;
  Which.m_ClosedByPeer = false;
  Which.m_Accused = false;
}

void WatchList::setTargets(const std::set<InstanceId> &Targets,
                           TimePoint Running) {
  for (auto &[Id, Which] : m_Watches)
    Which.m_IsTarget = Targets.contains(Id);
  for (const InstanceId Id : Targets) {
    const auto [Found, IsNew] = m_Watches.try_emplace(Id);
    Found->second.m_IsTarget = true;
    if (IsNew)
      Found->second.m_HeardRunning = Running;
  }
  dropUnused();
}

bool WatchList::isSilent(const Watch &Which, TimePoint Running) const {
  return Running - Which.m_HeardRunning > m_SuspectAfter * Which.m_Patience;
}

bool WatchList::allSilent(TimePoint Running) const {
  return m_Watches.size() >= 2 &&
         std::ranges::all_of(m_Watches, [&](const auto &Each) {
           return isSilent(Each.second, Running);
         });
}

std::vector<InstanceId> WatchList::silent(TimePoint Running) const {
  const TimePoint Limit =
      allSilent(Running) ? Running - m_SuspectAfter * (Stretch - 1) : Running;
  std::vector<InstanceId> Result;
  for (const auto &[Id, Which] : m_Watches)
    if (isSilent(Which, Limit))
      Result.push_back(Id);
  return Result;
}

void WatchList::accused(InstanceId Peer) {
  const auto Found = m_Watches.find(Peer);
  if (Found != m_Watches.end())
    Found->second.m_Accused = true;
}

std::vector<LinkId> WatchList::vouched(InstanceId Peer, TimePoint Running) {
  const auto Found = m_Watches.find(Peer);
  if (Found == m_Watches.end() || !Found->second.m_Accused)
    return {};
  Watch &Which = Found->second;
  Which.m_Accused = false;
  Which.m_HeardRunning = Running;
  Which.m_Patience = std::min(Which.m_Patience * 2, MaxPatience);
  return {Which.m_Links.begin(), Which.m_Links.end()};
}

bool WatchList::closedByPeer(InstanceId Peer) const {
  const auto Found = m_Watches.find(Peer);
  return Found != m_Watches.end() && Found->second.m_Links.empty() &&
         Found->second.m_ClosedByPeer;
}

bool WatchList::hearsMost(TimePoint Now,
                          const std::function<bool(InstanceId)> &Counts) const {
  std::size_t Total = 1;
  std::size_t Heard = 1;
  for (const auto &[Id, Which] : m_Watches) {
    if (!Counts(Id))
      continue;
    ++Total;
    Heard += Now - Which.m_HeardNow <= m_SuspectAfter ? 1 : 0;
  }
  return Heard * 2 > Total;
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

void WatchList::dropUnused() {
  std::erase_if(m_Watches, [](const auto &Each) {
    return !Each.second.m_IsTarget && Each.second.m_Links.empty();
  });
}

} // namespace crowstep::membership
