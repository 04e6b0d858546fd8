/// Whom a member dials.
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
  // Ids are hashes, so that their order is a ring at random. The distance
  // wraps around.
  const auto Distance = [Self](const Member *Which) {
    return Which->m_Id.value() - Self.value();
  };
  std::ranges::sort(Others, {}, Distance);
  const std::size_t Near = std::min(RingSuccessors, Others.size());
  const std::uint64_t Salt = pairHash(Self.value(), Seed);
  std::sort(Others.begin() + static_cast<std::ptrdiff_t>(Near), Others.end(),
            [Salt](const Member *Left, const Member *Right) {
              return pairHash(Salt, Left->m_Id.value()) >
                     pairHash(Salt, Right->m_Id.value());
            });
  Others.resize(std::min(std::max(Degree, Near), Others.size()));
  return Others;
}

} // namespace crowstep::membership
