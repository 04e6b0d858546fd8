/// Rendezvous hashing: the owner of a pool, the members ranked for a key.
///
/// All processes compute the same result from the same view, and the loss of a
/// member moves only what that member owned.
#include "membership/membership_type.h"

#include "membership/member_func.h"

#include <algorithm>

namespace crowstep::membership {

const Member *ownerOf(PoolId Pool, const std::vector<Member> &Members) {
  const Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Candidate : Members) {
    if (!isLive(Candidate.m_State))
      continue;
    const std::uint64_t Score = pairHash(Pool.value(), Candidate.m_Id.value());
    if (Best == nullptr || Score > BestScore) {
      Best = &Candidate;
      BestScore = Score;
    }
  }
  return Best;
}

std::vector<const Member *>
topRankedMembers(std::uint64_t Key, std::size_t Count,
                 const std::vector<Member> &Members) {
  std::vector<std::pair<std::uint64_t, const Member *>> Scored;
  for (const Member &Candidate : Members)
    if (isLive(Candidate.m_State))
      Scored.emplace_back(pairHash(Key, Candidate.m_Id.value()), &Candidate);
  std::sort(Scored.rbegin(), Scored.rend());
  std::vector<const Member *> Result;
  for (const auto &[Score, Ranked] : Scored)
    if (Result.size() < Count)
      Result.push_back(Ranked);
  return Result;
}

} // namespace crowstep::membership
