/// Choice of the instances that carry calls.
#include "relay/relay_peers.h"

#include <algorithm>

namespace crowstep::relay {

void RelayPeers::setCandidates(std::vector<RelayCandidate> All) {
  m_Candidates = std::move(All);
  std::erase_if(m_Selected, [&](const auto &Entry) {
    return std::ranges::none_of(m_Candidates, [&](const auto &Candidate) {
      return Candidate.m_Id == Entry.first;
    });
  });
}

bool RelayPeers::isProven(const Peer &Entry, TimePoint Now) const {
  return Entry.m_ProvenAt != TimePoint() &&
         Now - Entry.m_ProvenAt <= ProofLifetime;
}

bool RelayPeers::isUsable(InstanceId Id, const Peer &Entry,
                          TimePoint Now) const {
  const auto Avoided = m_AvoidedUntil.find(Id);
  return isProven(Entry, Now) && !isSilent(Id, Now) &&
         (Avoided == m_AvoidedUntil.end() || Now >= Avoided->second);
}

bool RelayPeers::isSilent(InstanceId Peer, TimePoint Now) const {
  const auto Found = m_Selected.find(Peer);
  return Found != m_Selected.end() &&
         Found->second.m_UnansweredSince != TimePoint() &&
         Now - Found->second.m_UnansweredSince > SilenceLimit;
}

std::vector<RelayCandidate> RelayPeers::select(TimePoint Now) {
  std::erase_if(m_AvoidedUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
  std::size_t Proven = 0;
  for (auto Iter = m_Selected.begin(); Iter != m_Selected.end();) {
    const Peer &Entry = Iter->second;
    const bool IsOnTrial = Now - Entry.m_SelectedAt <= TrialTime;
    const bool IsKept = isProven(Entry, Now) && !isSilent(Iter->first, Now);
    Proven += IsKept ? 1 : 0;
    // One that carries calls stays, so that their answers still arrive.
    if (IsKept || IsOnTrial || Entry.m_OwnCalls > 0) {
      ++Iter;
      continue;
    }
    m_AvoidedUntil[Iter->first] = Now + ReplacedTime;
    Iter = m_Selected.erase(Iter);
  }
  if (Proven < ProvenPeers && m_Selected.size() < InitialPeers)
    drawPeers(InitialPeers - m_Selected.size(), Now);
  std::vector<RelayCandidate> Result;
  std::ranges::copy_if(
      m_Candidates, std::back_inserter(Result),
      [&](const auto &Candidate) { return isSelected(Candidate.m_Id); });
  return Result;
}

void RelayPeers::drawPeers(std::size_t Count, TimePoint Now) {
  std::vector<const RelayCandidate *> Near;
  std::vector<const RelayCandidate *> Far;
  for (const RelayCandidate &Candidate : m_Candidates)
    if (!isSelected(Candidate.m_Id) && !m_AvoidedUntil.contains(Candidate.m_Id))
      (Candidate.m_Zone == m_Zone ? Near : Far).push_back(&Candidate);
  std::shuffle(Near.begin(), Near.end(), m_Random);
  std::shuffle(Far.begin(), Far.end(), m_Random);
  for (std::size_t I = 0; I < Count && !(Near.empty() && Far.empty()); ++I) {
    auto &From = Far.empty() || (I % 2 == 1 && !Near.empty()) ? Near : Far;
    m_Selected[From.back()->m_Id].m_SelectedAt = Now;
    From.pop_back();
  }
}

void RelayPeers::recordQuestion(InstanceId Peer, TimePoint Now) {
  const auto Found = m_Selected.find(Peer);
  if (Found != m_Selected.end() &&
      Found->second.m_UnansweredSince == TimePoint())
    Found->second.m_UnansweredSince = Now;
}

void RelayPeers::recordReport(InstanceId Peer, bool ReachesAny,
                              std::uint32_t OpenCalls, TimePoint Now) {
  const auto Found = m_Selected.find(Peer);
  if (Found == m_Selected.end())
    return;
  Found->second.m_UnansweredSince = TimePoint();
  Found->second.m_ReportedCalls = OpenCalls;
  if (ReachesAny)
    Found->second.m_ProvenAt = Now;
}

void RelayPeers::recordProof(InstanceId Peer, TimePoint Now) {
  const auto Found = m_Selected.find(Peer);
  if (Found != m_Selected.end())
    Found->second.m_ProvenAt = Now;
}

bool RelayPeers::hasFreshProof(InstanceId Peer, TimePoint Now) const {
  const auto Found = m_Selected.find(Peer);
  return Found != m_Selected.end() && Found->second.m_ProvenAt != TimePoint() &&
         Now - Found->second.m_ProvenAt <= FreshProof;
}

/// It needs another proof, as its own path may be lost by now.
void RelayPeers::recordNoReach(InstanceId Peer, TimePoint Now) {
  recordRefusal(Peer, Now);
  const auto Found = m_Selected.find(Peer);
  if (Found != m_Selected.end())
    Found->second.m_ProvenAt = TimePoint();
}

void RelayPeers::recordRefusal(InstanceId Peer, TimePoint Now) {
  m_AvoidedUntil[Peer] = Now + RefusedTime;
}

void RelayPeers::recordStop(InstanceId Peer, TimePoint Now) {
  m_Selected.erase(Peer);
  m_AvoidedUntil[Peer] = Now + ReplacedTime;
}

void RelayPeers::recordCallBegin(InstanceId Peer) {
  const auto Found = m_Selected.find(Peer);
  if (Found != m_Selected.end())
    ++Found->second.m_OwnCalls;
}

void RelayPeers::recordCallEnd(InstanceId Peer) {
  const auto Found = m_Selected.find(Peer);
  if (Found != m_Selected.end() && Found->second.m_OwnCalls > 0)
    --Found->second.m_OwnCalls;
}

std::optional<InstanceId>
RelayPeers::choose(const std::vector<InstanceId> &Excluded, TimePoint Now) {
  std::vector<std::pair<InstanceId, std::uint32_t>> Usable;
  for (const auto &[Id, Entry] : m_Selected)
    if (isUsable(Id, Entry, Now) &&
        std::ranges::find(Excluded, Id) == Excluded.end())
      Usable.emplace_back(Id, Entry.m_OwnCalls + Entry.m_ReportedCalls);
  if (Usable.empty())
    return std::nullopt;
  std::vector<std::pair<InstanceId, std::uint32_t>> Two;
  std::sample(Usable.begin(), Usable.end(), std::back_inserter(Two), 2,
              m_Random);
  return std::ranges::min_element(
             Two, {}, [](const auto &Entry) { return Entry.second; })
      ->first;
}

bool RelayPeers::hasUsable(TimePoint Now) const {
  return std::ranges::any_of(m_Selected, [&](const auto &Entry) {
    return isUsable(Entry.first, Entry.second, Now);
  });
}

} // namespace crowstep::relay
