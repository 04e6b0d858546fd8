/// Confirmations by instances and by the table service.
#include "contract/table_vouch.h"

#include <algorithm>
#include <functional>

namespace crowstep::contract {

void VouchTable::add(InstanceId Instance, const Vouch &Report) {
  const auto [Found, Inserted] = m_Voters.try_emplace(Instance, Report);
  if (!Inserted && Report.m_Time > Found->second.m_Time)
    Found->second = Report;
}

void VouchTable::addStore(const StoreVouch &Report) {
  if (!m_Store || Report.m_Time > m_Store->m_Time)
    m_Store = Report;
}

std::optional<TimePoint> VouchTable::majorityAtMost(const Voters &Quorum,
                                                    TableVersion Version,
                                                    InstanceId Self,
                                                    bool CountSelf) const {
  std::vector<TimePoint> Times;
  for (const std::string &Name : Quorum) {
    const InstanceId Id = instanceIdOf(Name);
    const auto Found = m_Voters.find(Id);
    if (Id == Self && CountSelf)
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
  std::erase_if(m_Voters, [&](const auto &Known) {
    return Known.second.m_Time < Oldest;
  });
}

} // namespace crowstep::contract
