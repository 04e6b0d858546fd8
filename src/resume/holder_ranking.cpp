/// Rendezvous hashing that takes zones by turns.
#include "resume/holder_ranking.h"

#include "core/pair_hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace crowstep::resume {

namespace {

struct Ranked {
  std::size_t m_HubRank;  ///< Lower first.
  std::size_t m_ZoneTurn; ///< Rank within its zone; lower first.
  std::uint64_t m_Score;  ///< Higher first.
  std::size_t m_Index;    ///< Of the candidate.

  bool operator<(const Ranked &Other) const {
    return std::tie(m_HubRank, m_ZoneTurn, Other.m_Score) <
           std::tie(Other.m_HubRank, Other.m_ZoneTurn, m_Score);
  }
};

} // namespace

std::vector<std::size_t>
rankHolders(const StreamKey &Key,
            const std::vector<HolderCandidate> &Candidates, std::size_t Count) {
  std::vector<Ranked> Order;
  Order.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Order.push_back({Candidates[I].m_HubRank, 0,
                     pairHash(Key.m_Low, Candidates[I].m_Instance.value()), I});
  std::sort(Order.begin(), Order.end());
  std::map<AvailabilityZone, std::size_t> Turns;
  for (Ranked &Entry : Order)
    Entry.m_ZoneTurn = Turns[Candidates[Entry.m_Index].m_Zone]++;
  std::sort(Order.begin(), Order.end());
  std::vector<std::size_t> Result;
  for (const Ranked &Entry : Order)
    if (Result.size() < Count)
      Result.push_back(Entry.m_Index);
  return Result;
}

} // namespace crowstep::resume
