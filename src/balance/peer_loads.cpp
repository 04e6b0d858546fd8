/// Sums of other instances' loads.
#include "balance/peer_loads.h"

#include <algorithm>

namespace crowstep::balance {

void CallLoad::Part::begin(const CallTokens &Tokens) {
  ++m_Running;
  m_Unread += Tokens.m_Unread;
  m_Held += Tokens.m_Held;
  m_Tight += Tokens.m_Tight ? 1 : 0;
}

void CallLoad::Part::read(std::uint64_t UnreadTokens) {
  m_Unread -= std::min(UnreadTokens, m_Unread);
}

void CallLoad::Part::end(const CallTokens &Tokens) {
  // A call from before the upstream left the list and came back counts no more.
  m_Running -= std::min(m_Running, 1U);
  m_Held -= std::min(Tokens.m_Held, m_Held);
  m_Tight -= std::min(m_Tight, Tokens.m_Tight ? 1U : 0U);
}

void CallLoad::Part::add(const UpstreamLoad &Said) {
  m_Running += Said.m_Running;
  m_Unread += Said.m_UnreadTokens;
  m_Held += Said.m_HeldTokens;
  m_Tight += Said.m_Tight;
}

void CallLoad::Part::remove(const UpstreamLoad &Said) {
  m_Running -= Said.m_Running;
  m_Unread -= Said.m_UnreadTokens;
  m_Held -= Said.m_HeldTokens;
  m_Tight -= Said.m_Tight;
}

/// Adds to the sum what really changed: a part that has nothing left to take
/// away from takes nothing away from the others.
template <typename Job> void CallLoad::change(Urgency How, Job Change) {
  Part &Changed = m_Parts.at(How);
  const Part Before = Changed;
  Change(Changed);
  m_All.m_Running += Changed.m_Running - Before.m_Running;
  m_All.m_Unread += Changed.m_Unread - Before.m_Unread;
  m_All.m_Held += Changed.m_Held - Before.m_Held;
  m_All.m_Tight += Changed.m_Tight - Before.m_Tight;
}

void CallLoad::begin(Urgency How, const CallTokens &Tokens) {
  change(How, [&](Part &Which) { Which.begin(Tokens); });
}

void CallLoad::read(Urgency How, std::uint64_t UnreadTokens) {
  change(How, [&](Part &Which) { Which.read(UnreadTokens); });
}

void CallLoad::end(Urgency How, const CallTokens &Tokens) {
  change(How, [&](Part &Which) { Which.end(Tokens); });
}

void CallLoad::add(const UpstreamLoad &Said) {
  change(Said.m_Urgency, [&](Part &Which) { Which.add(Said); });
}

void CallLoad::remove(const UpstreamLoad &Said) {
  change(Said.m_Urgency, [&](Part &Which) { Which.remove(Said); });
}

std::uint64_t CallLoad::unreadBefore(Urgency How) const {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I <= How; ++I)
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
