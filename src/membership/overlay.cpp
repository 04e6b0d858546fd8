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
  for (const Member &Each : Members)
    if (isLive(Each.m_State) && Each.m_Id != Self)
      Others.push_back(&Each);
  // Ids are hashes, so that the ring is in random order. The unsigned distance
  // wraps around.
  const auto Distance = [Self](const Member *Which) {
    return Which->m_Id.value() - Self.value();
  };
  const std::size_t Near = std::min(RingSuccessors, Others.size());
  std::ranges::partial_sort(
      Others, Others.begin() + static_cast<std::ptrdiff_t>(Near), {}, Distance);
  const std::size_t Count = std::min(std::max(Degree, Near), Others.size());
  const std::uint64_t Salt = pairHash(Self.value(), Seed);
  const auto Score = [Salt](const Member *Which) {
    return pairHash(Salt, Which->m_Id.value());
  };
  const auto Begin = Others.begin() + static_cast<std::ptrdiff_t>(Near);
  const auto Middle = Others.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(Begin, Middle, Others.end(), {}, Score);
  Others.resize(Count);
  return Others;
}

} // namespace crowstep::membership
