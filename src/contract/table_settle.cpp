/// Decides when no process can still use a lower version.
#include "contract/table_settle.h"

#include <algorithm>

namespace crowstep::contract {

SettleWatch::SettleWatch(TableVersion Version, std::vector<Voters> Quorums,
                         TimePoint Since, Duration ExpiryDelay)
    : m_Version(Version), m_Quorums(std::move(Quorums)), m_Since(Since),
      m_Lapse(ExpiryDelay) {}

void SettleWatch::update(const VouchTable &Confirmations,
                         const std::set<std::string> &Removed, TimePoint Now) {
  if (!m_Confirmed) {
    findMoment(Confirmations, Removed, Now);
    m_Confirmed = m_Moment && confirmed(Confirmations, Removed);
  }
  if (m_Confirmed && Now >= std::max(m_Since, *m_Moment) + m_Lapse)
    m_Settled = true;
}

bool SettleWatch::majorityIn(const Starts &Holders,
                             const std::set<std::string> &Removed) const {
  return std::ranges::all_of(m_Quorums, [&](const Voters &Quorum) {
    std::size_t Listed = 0;
    std::size_t Holding = 0;
    for (const std::string &Name : Quorum) {
      if (Removed.contains(Name))
        continue;
      ++Listed;
      Holding += Holders.contains(instanceIdOf(Name)) ? 1 : 0;
    }
    // Without voters left, this quorum can give nobody a right to serve.
    return Listed == 0 || Holding >= majorityOf(Listed);
  });
}

/// A new holder, or a new incarnation of one, sets the time anew, so that it
/// can replace a holder that died before it could confirm the version again.
void SettleWatch::findMoment(const VouchTable &Confirmations,
                             const std::set<std::string> &Removed,
                             TimePoint Now) {
  bool Changed = !m_Moment;
  for (const auto &[Id, Report] : Confirmations.voters()) {
    if (Report.m_Version < m_Version)
      continue;
    const auto [Found, IsNew] = m_Held.try_emplace(Id, Report.m_Start);
    Changed = Changed || IsNew || Found->second != Report.m_Start;
    Found->second = Report.m_Start;
  }
  if (Changed && majorityIn(m_Held, Removed))
    m_Moment = Now;
}

/// A voter that confirmed the version and restarted before the others had it
/// may have returned with a lower version and confirmed that one. Only a voter
/// that confirms it with the same incarnation at or after m_MajorityAt is known
/// to have held it at that time.
bool SettleWatch::confirmed(const VouchTable &Confirmations,
                            const std::set<std::string> &Removed) const {
  Starts StillHolding;
  for (const auto &[Id, HolderIncarnation] : m_Held) {
    const auto Found = Confirmations.voters().find(Id);
    if (Found != Confirmations.voters().end() &&
        Found->second.m_Start == HolderIncarnation &&
        Found->second.m_Time >= *m_Moment)
      StillHolding.emplace(Id, HolderIncarnation);
  }
  return majorityIn(StillHolding, Removed);
}

} // namespace crowstep::contract
