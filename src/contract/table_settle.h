/// Decides when a version is settled: no process can still use a lower one.
///
/// In each quorum, more than half of the voters must have the version in force
/// at the same time; after that, every right to serve that was granted on older
/// confirmations must have expired. docs/TABLE.md explains why.
#ifndef CROWSTEP_CONTRACT_TABLE_SETTLE_H
#define CROWSTEP_CONTRACT_TABLE_SETTLE_H

#include "contract/table_confirmation.h"

#include <set>

namespace crowstep::contract {

/// Watches one version until it is settled.
class SettleWatch {
public:
  /// \p Since is a time by which the version was certainly committed;
  /// \p ExpiryDelay is the longest time for which an instance or its entries
  /// may serve after the confirmations that their right to serve rests on.
  SettleWatch(TableVersion Version, std::vector<Voters> Quorums,
              TimePoint Since, Duration ExpiryDelay);

  /// Evaluates the confirmations known at \p Now. \p Removed are voters that
  /// the platform no longer lists; they count in no quorum.
  void update(const ConfirmationTable &Confirmations,
              const std::set<std::string> &Removed, TimePoint Now);

  /// Returns whether no lower version can be in use any more.
  [[nodiscard]] bool isSettled() const { return m_Settled; }

  [[nodiscard]] TableVersion version() const { return m_Version; }
  [[nodiscard]] const std::vector<Voters> &quorums() const { return m_Quorums; }

private:
  using Incarnations = std::map<InstanceId, Incarnation>;

  bool hasMajorities(const Incarnations &Holders,
                     const std::set<std::string> &Removed) const;
  void findMajorityTime(const ConfirmationTable &Confirmations,
                        const std::set<std::string> &Removed, TimePoint Now);
  bool isConfirmed(const ConfirmationTable &Confirmations,
                   const std::set<std::string> &Removed) const;

  TableVersion m_Version;                ///< The version that is watched.
  std::vector<Voters> m_Quorums;         ///< A majority is needed in each.
  TimePoint m_Since;                     ///< m_Version was committed by then.
  Duration m_ExpiryDelay;                ///< See the constructor.
  Incarnations m_Holders;                ///< Instances that have confirmed the
                                         ///< version at any time.
  std::optional<TimePoint> m_MajorityAt; ///< When m_Holders last changed and
                                         ///< had a majority of every quorum.
  bool m_Confirmed = false; ///< A majority of every quorum held the
                            ///< version at m_MajorityAt.
  bool m_Settled = false;   ///< Never reset.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_SETTLE_H
