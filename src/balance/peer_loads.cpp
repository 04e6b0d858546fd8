/// Sums of other instances' loads.
#include "balance/peer_loads.h"

#include <algorithm>

namespace crowstep::balance {

void CallLoad::Counters::addCall(const CallDemand &Tokens) {
  ++m_Running;
  m_PrefillTokens += Tokens.m_PrefillTokens;
  m_HeldTokens += Tokens.m_HeldTokens;
  m_LatencySensitive += Tokens.m_LatencySensitive ? 1 : 0;
}

void CallLoad::Counters::finishPrefill(std::uint64_t PrefillTokens) {
  m_PrefillTokens -= std::min(PrefillTokens, m_PrefillTokens);
}

void CallLoad::Counters::removeCall(const CallDemand &Tokens) {
  // Nothing is left of a call from before the upstream left the list and came
  // back.
  m_Running -= std::min(m_Running, 1U);
  m_HeldTokens -= std::min(Tokens.m_HeldTokens, m_HeldTokens);
  m_LatencySensitive -=
      std::min(m_LatencySensitive, Tokens.m_LatencySensitive ? 1U : 0U);
}

void CallLoad::Counters::add(const UpstreamLoad &Reported) {
  m_Running += Reported.m_Running;
  m_PrefillTokens += Reported.m_PrefillTokens;
  m_HeldTokens += Reported.m_HeldTokens;
  m_LatencySensitive += Reported.m_LatencySensitive;
}

void CallLoad::Counters::remove(const UpstreamLoad &Reported) {
  m_Running -= Reported.m_Running;
  m_PrefillTokens -= Reported.m_PrefillTokens;
  m_HeldTokens -= Reported.m_HeldTokens;
  m_LatencySensitive -= Reported.m_LatencySensitive;
}

/// Adds to the total what really changed: the counters of an urgency stop at
/// zero, and must then not reduce the total of the others.
template <typename Function>
void CallLoad::updateCounters(Urgency Level, Function Change) {
  Counters &Changed = m_ByUrgency.at(Level);
  const Counters Before = Changed;
  Change(Changed);
  m_Total.m_Running += Changed.m_Running - Before.m_Running;
  m_Total.m_PrefillTokens += Changed.m_PrefillTokens - Before.m_PrefillTokens;
  m_Total.m_HeldTokens += Changed.m_HeldTokens - Before.m_HeldTokens;
  m_Total.m_LatencySensitive +=
      Changed.m_LatencySensitive - Before.m_LatencySensitive;
}

void CallLoad::addCall(Urgency Level, const CallDemand &Tokens) {
  updateCounters(Level, [&](Counters &Target) { Target.addCall(Tokens); });
}

void CallLoad::finishPrefill(Urgency Level, std::uint64_t PrefillTokens) {
  updateCounters(
      Level, [&](Counters &Target) { Target.finishPrefill(PrefillTokens); });
}

void CallLoad::removeCall(Urgency Level, const CallDemand &Tokens) {
  updateCounters(Level, [&](Counters &Target) { Target.removeCall(Tokens); });
}

void CallLoad::add(const UpstreamLoad &Reported) {
  updateCounters(Reported.m_Urgency,
                 [&](Counters &Target) { Target.add(Reported); });
}

void CallLoad::remove(const UpstreamLoad &Reported) {
  updateCounters(Reported.m_Urgency,
                 [&](Counters &Target) { Target.remove(Reported); });
}

std::uint64_t CallLoad::prefillBefore(Urgency Level) const {
  std::uint64_t Result = 0;
  for (std::size_t I = 0; I <= Level; ++I)
    Result += m_ByUrgency.at(I).m_PrefillTokens;
  return Result;
}

std::uint32_t CallLoad::moreUrgentCalls(Urgency Level) const {
  std::uint32_t Result = 0;
  for (std::size_t I = 0; I < Level; ++I)
    Result += m_ByUrgency.at(I).m_Running;
  return Result;
}

void CallLoad::appendLoads(UpstreamId Upstream,
                           std::vector<UpstreamLoad> &Out) const {
  for (std::size_t I = 0; I < m_ByUrgency.size(); ++I)
    if (m_ByUrgency.at(I).m_Running > 0)
      Out.push_back(
          {Upstream, static_cast<Urgency>(I), m_ByUrgency.at(I).m_Running,
           static_cast<std::uint32_t>(m_ByUrgency.at(I).m_PrefillTokens),
           static_cast<std::uint32_t>(m_ByUrgency.at(I).m_HeldTokens),
           m_ByUrgency.at(I).m_LatencySensitive});
}

void PeerLoads::setPeerLoads(InstanceId Peer,
                             const std::vector<UpstreamLoad> &Loads,
                             TimePoint Now) {
  drop(Peer);
  for (const UpstreamLoad &Load : Loads)
    m_Sums[Load.m_Upstream].add(Load);
  m_Peers[Peer] = {Loads, Now};
}

void PeerLoads::drop(InstanceId Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  for (const UpstreamLoad &Load : Found->second.m_Loads) {
    CallLoad &Sum = m_Sums[Load.m_Upstream];
    Sum.remove(Load);
    if (Sum.runningCalls() == 0)
      m_Sums.erase(Load.m_Upstream);
  }
  m_Peers.erase(Found);
}

void PeerLoads::expire(TimePoint Now) {
  std::vector<InstanceId> Expired;
  for (const auto &[Peer, Report] : m_Peers)
    if (Report.hasExpired(Now))
      Expired.push_back(Peer);
  for (const InstanceId Peer : Expired)
    drop(Peer);
}

bool PeerLoads::hasExpired(TimePoint Now) const {
  return std::ranges::any_of(m_Peers, [Now](const auto &Entry) {
    return Entry.second.hasExpired(Now);
  });
}

DigestBasis PeerLoads::basis(TimePoint Now) const {
  DigestBasis Result;
  for (const auto &[Peer, Report] : m_Peers) {
    if (Report.hasExpired(Now))
      continue;
    ++Result.m_PeerCount;
    Result.m_OldestAge = std::max(Result.m_OldestAge.value_or(Duration::zero()),
                                  Now - Report.m_ReceivedAt);
  }
  return Result;
}

void PeerLoads::appendLoads(std::vector<UpstreamLoad> &Out) const {
  for (const auto &[Upstream, Sum] : m_Sums)
    Sum.appendLoads(Upstream, Out);
}

void PeerLoads::clear() {
  m_Peers.clear();
  m_Sums.clear();
}

const CallLoad &PeerLoads::at(UpstreamId Upstream) const {
  static const CallLoad None;
  const auto Found = m_Sums.find(Upstream);
  return Found == m_Sums.end() ? None : Found->second;
}

} // namespace crowstep::balance
