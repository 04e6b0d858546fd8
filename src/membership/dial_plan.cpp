/// Which addresses this process dials, and for how long.
#include "membership/dial_plan.h"

namespace crowstep::membership {

namespace {

/// Enough for a handshake and an exchange of views across regions.
constexpr Duration ProbeDuration = std::chrono::seconds(3);

} // namespace

void DialPlan::setTargets(const std::map<Address, InstanceId> &Targets,
                          TimePoint Now, std::vector<Action> &Actions) {
  for (const auto &[Target, Id] : Targets)
    if (!m_Targets.contains(Target) && m_Probes.erase(Target) == 0)
      Actions.emplace_back(Dial{Target});
  // The link to a former target is kept for a while, as updates about the
  // change that removed the target may be under way on it.
  for (const auto &[Target, Id] : m_Targets)
    if (!Targets.contains(Target))
      m_Probes[Target] = Now + ProbeDuration;
  m_Targets = Targets;
}

void DialPlan::probe(const Address &Candidate, TimePoint Now,
                     std::vector<Action> &Actions) {
  if (m_Targets.contains(Candidate) ||
      !m_Probes.try_emplace(Candidate, Now + ProbeDuration).second)
    return;
  Actions.emplace_back(Dial{Candidate});
}

void DialPlan::expireProbes(TimePoint Now, std::vector<Action> &Actions) {
  for (auto Probe = m_Probes.begin(); Probe != m_Probes.end();) {
    if (Probe->second > Now) {
      ++Probe;
      continue;
    }
    Actions.emplace_back(Disconnect{Probe->first});
    Probe = m_Probes.erase(Probe);
  }
}

std::optional<InstanceId> DialPlan::dialFailed(const Address &Dialled,
                                               std::vector<Action> &Actions) {
  if (m_Probes.erase(Dialled) > 0)
    Actions.emplace_back(Disconnect{Dialled});
  const auto Found = m_Targets.find(Dialled);
  if (Found == m_Targets.end())
    return std::nullopt;
  return Found->second;
}

} // namespace crowstep::membership
