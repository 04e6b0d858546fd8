/// The members that a member dials.
#include "membership/overlay.h"

#include "membership/member_func.h"

#include <algorithm>

namespace crowstep::membership {

namespace {

constexpr std::size_t RingSuccessors = 2;

} // namespace

std::vector<const Member *> targetsOf(InstanceId Self, std::size_t Degree,
                                      std::uint64_t Seed,
                                      const std::vector<Member> &Members) {
  std::vector<const Member *> Others;
  for (const Member &Candidate : Members)
    if (isLive(Candidate.m_State) && Candidate.m_Id != Self)
      Others.push_back(&Candidate);
  // Ids are hashes, so that the ring is in random order. The unsigned distance
  // wraps around.
  const auto Distance = [Self](const Member *Other) {
    return Other->m_Id.value() - Self.value();
  };
  const std::size_t Successors = std::min(RingSuccessors, Others.size());
  std::ranges::partial_sort(
      Others, Others.begin() + static_cast<std::ptrdiff_t>(Successors), {},
      Distance);
  const std::size_t Count =
      std::min(std::max(Degree, Successors), Others.size());
  const std::uint64_t Salt = pairHash(Self.value(), Seed);
  const auto Score = [Salt](const Member *Other) {
    return pairHash(Salt, Other->m_Id.value());
  };
  const auto RandomBegin =
      Others.begin() + static_cast<std::ptrdiff_t>(Successors);
  const auto RandomEnd = Others.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(RandomBegin, RandomEnd, Others.end(), {}, Score);
  Others.resize(Count);
  return Others;
}

} // namespace crowstep::membership
