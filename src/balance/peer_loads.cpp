/// Sums of other instances' loads.
#include "balance/peer_loads.h"

#include <algorithm>

namespace crowstep::balance {

void CallLoad::begin(Urgency How, const CallTokens &Tokens) {
  Part &Changed = m_Parts.at(How);
  ++Changed.m_Running;
  Changed.m_Unread += Tokens.m_Unread;
  Changed.m_Held += Tokens.m_Held;
  Changed.m_Tight += Tokens.m_Tight ? 1 : 0;
}

void CallLoad::read(Urgency How, std::uint64_t UnreadTokens) {
  Part &Changed = m_Parts.at(How);
  Changed.m_Unread -= std::min(UnreadTokens, Changed.m_Unread);
}

void CallLoad::end(Urgency How, const CallTokens &Tokens) {
  // A call from before the upstream left the list and came back counts no more.
  Part &Changed = m_Parts.at(How);
  Changed.m_Running -= std::min(Changed.m_Running, 1U);
  Changed.m_Held -= std::min(Tokens.m_Held, Changed.m_Held);
  Changed.m_Tight -= std::min(Changed.m_Tight, Tokens.m_Tight ? 1U : 0U);
}

void CallLoad::add(const UpstreamLoad &Said) {
  Part &Changed = m_Parts.at(Said.m_Urgency);
  Changed.m_Running += Said.m_Running;
  Changed.m_Unread += Said.m_UnreadTokens;
  Changed.m_Held += Said.m_HeldTokens;
  Changed.m_Tight += Said.m_Tight;
}

void CallLoad::remove(const UpstreamLoad &Said) {
  Part &Changed = m_Parts.at(Said.m_Urgency);
  Changed.m_Running -= Said.m_Running;
  Changed.m_Unread -= Said.m_UnreadTokens;
  Changed.m_Held -= Said.m_HeldTokens;
  Changed.m_Tight -= Said.m_Tight;
}

std::uint32_t CallLoad::running() const {
  std::uint32_t Result = 0;
  for (const Part &Each : m_Parts)
    Result += Each.m_Running;
  return Result;
}

std::uint32_t CallLoad::tight() const {
  std::uint32_t Result = 0;
  for (const Part &Each : m_Parts)
    Result += Each.m_Tight;
  return Result;
}

std::uint64_t CallLoad::held() const {
  std::uint64_t Result = 0;
  for (const Part &Each : m_Parts)
    Result += Each.m_Held;
  return Result;
}

std::uint64_t CallLoad::unreadBefore(Urgency How) const {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I <= How; ++I)
    Result += m_Parts.at(I).m_Unread;
  return Result;
}

std::uint64_t CallLoad::unreadAfter(Urgency How) const {
  std::uint64_t Result = 0;
  for (std::size_t I = How + 1U; I < m_Parts.size(); ++I)
    Result += m_Parts.at(I).m_Unread;
  return Result;
}

std::uint32_t CallLoad::moreUrgent(Urgency How) const {
  std::uint32_t Result = 0;
  for (std::size_t I = 0; I < How; ++I)
    Result += m_Parts.at(I).m_Running;
  return Result;
}

void CallLoad::tell(UpstreamId Upstream, std::vector<UpstreamLoad> &Out) const {
  for (std::size_t I = 0; I < m_Parts.size(); ++I)
    if (m_Parts.at(I).m_Running > 0)
      Out.push_back({Upstream, static_cast<Urgency>(I), m_Parts.at(I).m_Running,
                     static_cast<std::uint32_t>(m_Parts.at(I).m_Unread),
                     static_cast<std::uint32_t>(m_Parts.at(I).m_Held),
                     m_Parts.at(I).m_Tight});
}

void PeerLoads::take(InstanceId Peer, const std::vector<UpstreamLoad> &Loads,
                     TimePoint Now) {
  drop(Peer);
  for (const UpstreamLoad &Each : Loads)
    m_Sum[Each.m_Upstream].add(Each);
  m_Peers[Peer] = {Loads, Now};
}

void PeerLoads::drop(InstanceId Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  for (const UpstreamLoad &Each : Found->second.m_Loads) {
    CallLoad &Sum = m_Sum[Each.m_Upstream];
    Sum.remove(Each);
    if (Sum.running() == 0)
      m_Sum.erase(Each.m_Upstream);
  }
  m_Peers.erase(Found);
}

void PeerLoads::expire(TimePoint Now) {
  std::vector<InstanceId> Old;
  for (const auto &[Peer, Last] : m_Peers)
    if (Now - Last.m_At > DigestLife)
      Old.push_back(Peer);
  for (const InstanceId Peer : Old)
    drop(Peer);
}

void PeerLoads::tell(std::vector<UpstreamLoad> &Out) const {
  for (const auto &[Upstream, Sum] : m_Sum)
    Sum.tell(Upstream, Out);
}

void PeerLoads::clear() {
  m_Peers.clear();
  m_Sum.clear();
}

const CallLoad &PeerLoads::at(UpstreamId Upstream) const {
  static const CallLoad None;
  const auto Found = m_Sum.find(Upstream);
  return Found == m_Sum.end() ? None : Found->second;
}

} // namespace crowstep::balance
