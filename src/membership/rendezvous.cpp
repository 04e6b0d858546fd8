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
  for (const Member &Each : Members) {
    if (!isLive(Each.m_State))
      continue;
    const std::uint64_t Score = pairHash(Pool.value(), Each.m_Id.value());
    if (Best == nullptr || Score > BestScore) {
      Best = &Each;
      BestScore = Score;
    }
  }
  return Best;
}

std::vector<const Member *> homesOf(std::uint64_t Key, std::size_t Count,
                                    const std::vector<Member> &Members) {
  std::vector<std::pair<std::uint64_t, const Member *>> Scored;
  for (const Member &Each : Members)
    if (isLive(Each.m_State))
      Scored.emplace_back(pairHash(Key, Each.m_Id.value()), &Each);
  std::sort(Scored.rbegin(), Scored.rend());
  std::vector<const Member *> Result;
  for (const auto &[Score, Home] : Scored)
    if (Result.size() < Count)
      Result.push_back(Home);
  return Result;
}

} // namespace crowstep::membership
