/// Confirmations by instances and by the table service.
#include "contract/table_confirmation.h"

#include <algorithm>
#include <functional>

namespace crowstep::contract {

void ConfirmationTable::add(InstanceId Instance, const Confirmation &Report) {
  const auto [Found, Inserted] = m_ByVoter.try_emplace(Instance, Report);
  if (!Inserted && Report.m_ConfirmedAt > Found->second.m_ConfirmedAt)
    Found->second = Report;
}

void ConfirmationTable::addStore(const StoreConfirmation &Report) {
  if (!m_Store || Report.m_ConfirmedAt > m_Store->m_ConfirmedAt)
    m_Store = Report;
}

std::optional<TimePoint>
ConfirmationTable::lastMajorityTime(const Voters &Quorum, TableVersion Version,
                                    InstanceId Self, bool CountSelf) const {
  std::vector<TimePoint> Times;
  for (const std::string &Name : Quorum) {
    const InstanceId Id = instanceIdOf(Name);
    const auto Found = m_ByVoter.find(Id);
    if (Id == Self && CountSelf)
      Times.push_back(TimePoint::max());
    else if (Id != Self && Found != m_ByVoter.end() &&
             Found->second.m_Version <= Version)
      Times.push_back(Found->second.m_ConfirmedAt);
  }
  const std::size_t Needed = majorityOf(Quorum.size());
  if (Times.size() < Needed)
    return std::nullopt;
  std::ranges::sort(Times, std::greater<>());
  return Times[Needed - 1];
}

void ConfirmationTable::expire(TimePoint Oldest) {
  std::erase_if(m_ByVoter, [&](const auto &Known) {
    return Known.second.m_ConfirmedAt < Oldest;
  });
}

} // namespace crowstep::contract
