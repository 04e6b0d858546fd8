/// Confirmations by instances and by the table service.
#include "contract/table_vouch.h"

#include <algorithm>
#include <functional>

namespace crowstep::contract {

void VouchTable::add(InstanceId Who, const Vouch &What) {
  const auto [Found, Fresh] = m_Voters.try_emplace(Who, What);
  if (!Fresh && What.m_Time > Found->second.m_Time)
    Found->second = What;
}

void VouchTable::addStore(const StoreVouch &What) {
  if (!m_Store || What.m_Time > m_Store->m_Time)
    m_Store = What;
}

std::optional<TimePoint> VouchTable::majorityAtMost(const Voters &Quorum,
                                                    TableVersion Version,
                                                    InstanceId Self,
                                                    bool OwnVoice) const {
  std::vector<TimePoint> Times;
  for (const std::string &Name : Quorum) {
    const InstanceId Id = instanceIdOf(Name);
    const auto Found = m_Voters.find(Id);
    if (Id == Self && OwnVoice)
      Times.push_back(TimePoint::max());
    else if (Id != Self && Found != m_Voters.end() &&
             Found->second.m_Version <= Version)
      Times.push_back(Found->second.m_Time);
  }
  const std::size_t Needed = majorityOf(Quorum.size());
  if (Times.size() < Needed)
    return std::nullopt;
  std::ranges::sort(Times, std::greater<>());
  return Times[Needed - 1];
}

void VouchTable::expire(TimePoint Oldest) {
  std::erase_if(m_Voters,
                [&](const auto &Each) { return Each.second.m_Time < Oldest; });
}

} // namespace crowstep::contract
