/// Decides when no process can still use a lower version.
#include "contract/table_settle.h"

#include <algorithm>

namespace crowstep::contract {

SettleWatch::SettleWatch(TableVersion Version, std::vector<Voters> Quorums,
                         TimePoint Since, Duration Lapse)
    : m_Version(Version), m_Quorums(std::move(Quorums)), m_Since(Since),
      m_Lapse(Lapse) {}

void SettleWatch::update(const VouchTable &Known,
                         const std::set<std::string> &Gone, TimePoint Now) {
  if (!m_Confirmed) {
    findMoment(Known, Gone, Now);
    m_Confirmed = m_Moment && confirmed(Known, Gone);
  }
  if (m_Confirmed && Now >= std::max(m_Since, *m_Moment) + m_Lapse)
    m_Settled = true;
}

bool SettleWatch::majorityIn(const Starts &Held,
                             const std::set<std::string> &Gone) const {
  return std::ranges::all_of(m_Quorums, [&](const Voters &Quorum) {
    std::size_t Present = 0;
    std::size_t Holding = 0;
    for (const std::string &Name : Quorum) {
      if (Gone.contains(Name))
        continue;
      ++Present;
      Holding += Held.contains(instanceIdOf(Name)) ? 1 : 0;
    }
    // Without voters left, this quorum can give nobody a right to serve.
    return Present == 0 || Holding >= majorityOf(Present);
  });
}

/// A new holder, or a new incarnation of one, sets the time anew, so that it
/// can replace a holder that died before it could confirm the version again.
void SettleWatch::findMoment(const VouchTable &Known,
                             const std::set<std::string> &Gone, TimePoint Now) {
  bool Changed = !m_Moment;
  for (const auto &[Id, Vouch] : Known.voters()) {
    if (Vouch.m_Version < m_Version)
      continue;
    const auto [Found, Fresh] = m_Held.try_emplace(Id, Vouch.m_Start);
    Changed = Changed || Fresh || Found->second != Vouch.m_Start;
    Found->second = Vouch.m_Start;
  }
  if (Changed && majorityIn(m_Held, Gone))
    m_Moment = Now;
}

/// A voter that confirmed the version and restarted before the others had it
/// may have returned with a lower version and confirmed that one. Only a voter
/// that confirms it with the same incarnation at or after m_MajorityAt is known
/// to have held it at that time.
bool SettleWatch::confirmed(const VouchTable &Known,
                            const std::set<std::string> &Gone) const {
  Starts Still;
  for (const auto &[Id, Start] : m_Held) {
    const auto Found = Known.voters().find(Id);
    if (Found != Known.voters().end() && Found->second.m_Start == Start &&
        Found->second.m_Time >= *m_Moment)
      Still.emplace(Id, Start);
  }
  return majorityIn(Still, Gone);
}

} // namespace crowstep::contract
