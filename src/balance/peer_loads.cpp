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

void CallLoad::Part::read(std::uint64_t PrefillTokens) {
  m_Unread -= std::min(PrefillTokens, m_Unread);
}

void CallLoad::Part::end(const CallTokens &Tokens) {
  // Nothing is left of a call from before the upstream left the list and came
  // back.
  m_Running -= std::min(m_Running, 1U);
  m_Held -= std::min(Tokens.m_Held, m_Held);
  m_Tight -= std::min(m_Tight, Tokens.m_Tight ? 1U : 0U);
}

void CallLoad::Part::add(const UpstreamLoad &Reported) {
  m_Running += Reported.m_Running;
  m_Unread += Reported.m_UnreadTokens;
  m_Held += Reported.m_HeldTokens;
  m_Tight += Reported.m_Tight;
}

void CallLoad::Part::remove(const UpstreamLoad &Reported) {
  m_Running -= Reported.m_Running;
  m_Unread -= Reported.m_UnreadTokens;
  m_Held -= Reported.m_HeldTokens;
  m_Tight -= Reported.m_Tight;
}

/// Adds to the total what really changed: the counters of an urgency stop at
/// zero, and must then not reduce the total of the others.
template <typename Function>
void CallLoad::change(Urgency Level, Function Change) {
  Part &Changed = m_Parts.at(Level);
  const Part Before = Changed;
  Change(Changed);
  m_All.m_Running += Changed.m_Running - Before.m_Running;
  m_All.m_Unread += Changed.m_Unread - Before.m_Unread;
  m_All.m_Held += Changed.m_Held - Before.m_Held;
  m_All.m_Tight += Changed.m_Tight - Before.m_Tight;
}

void CallLoad::begin(Urgency Level, const CallTokens &Tokens) {
  change(Level, [&](Part &Target) { Target.begin(Tokens); });
}

void CallLoad::read(Urgency Level, std::uint64_t PrefillTokens) {
  change(Level, [&](Part &Target) { Target.read(PrefillTokens); });
}

void CallLoad::end(Urgency Level, const CallTokens &Tokens) {
  change(Level, [&](Part &Target) { Target.end(Tokens); });
}

void CallLoad::add(const UpstreamLoad &Reported) {
  change(Reported.m_Urgency, [&](Part &Target) { Target.add(Reported); });
}

void CallLoad::remove(const UpstreamLoad &Reported) {
  change(Reported.m_Urgency, [&](Part &Target) { Target.remove(Reported); });
}

std::uint64_t CallLoad::unreadBefore(Urgency Level) const {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I <= Level; ++I)
    Result += m_Parts.at(I).m_Unread;
  return Result;
}

std::uint32_t CallLoad::moreUrgent(Urgency Level) const {
  std::uint32_t Result = 0;
  for (std::size_t I = 0; I < Level; ++I)
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
  for (const UpstreamLoad &Load : Loads)
    m_Sum[Load.m_Upstream].add(Load);
  m_Peers[Peer] = {Loads, Now};
}

void PeerLoads::drop(InstanceId Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  for (const UpstreamLoad &Load : Found->second.m_Loads) {
    CallLoad &Sum = m_Sum[Load.m_Upstream];
    Sum.remove(Load);
    if (Sum.running() == 0)
      m_Sum.erase(Load.m_Upstream);
  }
  m_Peers.erase(Found);
}

void PeerLoads::expire(TimePoint Now) {
  std::vector<InstanceId> Expired;
  for (const auto &[Peer, Report] : m_Peers)
    if (Now - Report.m_At > DigestLife)
      Expired.push_back(Peer);
  for (const InstanceId Peer : Expired)
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
