/// Which addresses this process dials, and for how long.
#include "membership/dial_plan.h"

namespace crowstep::membership {

namespace {

/// Enough for a handshake and an exchange of views across regions.
constexpr Duration ProbeTime = std::chrono::seconds(3);

} // namespace

void DialPlan::setTargets(const std::map<Address, InstanceId> &Targets,
                          TimePoint Now, std::vector<Action> &Out) {
  for (const auto &[Where, Id] : Targets)
    if (!m_Targets.contains(Where) && m_Probes.erase(Where) == 0)
      Out.emplace_back(Dial{Where});
  // The link to a former target is kept for a while, as updates about the
  // change that removed the target may be under way on it.
  for (const auto &[Where, Id] : m_Targets)
    if (!Targets.contains(Where))
      m_Probes[Where] = Now + ProbeTime;
  m_Targets = Targets;
}

void DialPlan::probe(const Address &Where, TimePoint Now,
                     std::vector<Action> &Out) {
  if (m_Targets.contains(Where) ||
      !m_Probes.try_emplace(Where, Now + ProbeTime).second)
    return;
  Out.emplace_back(Dial{Where});
}

void DialPlan::expire(TimePoint Now, std::vector<Action> &Out) {
  for (auto Each = m_Probes.begin(); Each != m_Probes.end();) {
    if (Each->second > Now) {
      ++Each;
      continue;
    }
    Out.emplace_back(HangUp{Each->first});
    Each = m_Probes.erase(Each);
  }
}

std::optional<InstanceId> DialPlan::failed(const Address &Where,
                                           std::vector<Action> &Out) {
  if (m_Probes.erase(Where) > 0)
    Out.emplace_back(HangUp{Where});
  const auto Found = m_Targets.find(Where);
  if (Found == m_Targets.end())
    return std::nullopt;
  return Found->second;
}

} // namespace crowstep::membership
