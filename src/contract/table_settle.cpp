/// Decides when no process can still use a lower version.
#include "contract/table_settle.h"

#include <algorithm>

namespace crowstep::contract {

SettleWatch::SettleWatch(TableVersion Version, std::vector<Voters> Quorums,
                         TimePoint Since, Duration ExpiryDelay)
    : m_Version(Version), m_Quorums(std::move(Quorums)), m_Since(Since),
      m_ExpiryDelay(ExpiryDelay) {}

void SettleWatch::update(const ConfirmationTable &Confirmations,
                         const std::set<std::string> &Removed, TimePoint Now) {
  if (!m_Confirmed) {
    findMajorityTime(Confirmations, Removed, Now);
    m_Confirmed = m_MajorityAt && isConfirmed(Confirmations, Removed);
  }
  if (m_Confirmed && Now >= std::max(m_Since, *m_MajorityAt) + m_ExpiryDelay)
    m_Settled = true;
}

bool SettleWatch::hasMajorities(const Incarnations &Holders,
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
void SettleWatch::findMajorityTime(const ConfirmationTable &Confirmations,
                                   const std::set<std::string> &Removed,
                                   TimePoint Now) {
  bool Changed = !m_MajorityAt;
  for (const auto &[Id, Report] : Confirmations.byVoter()) {
    if (Report.m_Version < m_Version)
      continue;
    const auto [Found, IsNew] = m_Holders.try_emplace(Id, Report.m_Incarnation);
    Changed = Changed || IsNew || Found->second != Report.m_Incarnation;
    Found->second = Report.m_Incarnation;
  }
  if (Changed && hasMajorities(m_Holders, Removed))
    m_MajorityAt = Now;
}

/// A voter that confirmed the version and restarted before the others had it
/// may have returned with a lower version and confirmed that one. Only a voter
/// that confirms it with the same incarnation at or after m_MajorityAt is known
/// to have held it at that time.
bool SettleWatch::isConfirmed(const ConfirmationTable &Confirmations,
                              const std::set<std::string> &Removed) const {
  Incarnations StillHolding;
  for (const auto &[Id, HolderIncarnation] : m_Holders) {
    const auto Found = Confirmations.byVoter().find(Id);
    if (Found != Confirmations.byVoter().end() &&
        Found->second.m_Incarnation == HolderIncarnation &&
        Found->second.m_ConfirmedAt >= *m_MajorityAt)
      StillHolding.emplace(Id, HolderIncarnation);
  }
  return hasMajorities(StillHolding, Removed);
}

} // namespace crowstep::contract
