/// Decides when no process can still use a version below the one watched.
///
/// docs/TABLE.md argues why; in short: more than half of the voters of every
/// earlier version must hold the version at one and the same moment, and then
/// every right to serve that rests on older knowledge must have lapsed.
#ifndef CROWSTEP_CONTRACT_TABLE_SETTLE_H
#define CROWSTEP_CONTRACT_TABLE_SETTLE_H

#include "contract/table_vouch.h"

#include <set>

namespace crowstep::contract {

/// Follows one version.
class SettleWatch {
public:
  /// \p Since is a moment at which the version was certainly committed;
  /// \p Lapse is how long a right to serve may outlive what it rests on.
  SettleWatch(TableVersion Version, std::vector<Voters> Quorums,
              TimePoint Since, Duration Lapse);

  /// Looks at what is known now. \p Gone are voters that the platform has
  /// taken away for good; they can't vouch for anything any more.
  void update(const VouchTable &Known, const std::set<std::string> &Gone,
              TimePoint Now);

  /// Returns whether every lower version is out of use for good.
  [[nodiscard]] bool settled() const { return m_Settled; }

  [[nodiscard]] TableVersion version() const { return m_Version; }
  [[nodiscard]] const std::vector<Voters> &quorums() const { return m_Quorums; }

private:
  using Starts = std::map<InstanceId, Incarnation>;

  bool majorityIn(const Starts &Held, const std::set<std::string> &Gone) const;
  void findMoment(const VouchTable &Known, const std::set<std::string> &Gone,
                  TimePoint Now);
  bool confirmed(const VouchTable &Known,
                 const std::set<std::string> &Gone) const;

  TableVersion m_Version;            ///< Watched.
  std::vector<Voters> m_Quorums;     ///< Each needs a majority of its own.
  TimePoint m_Since;                 ///< Committed by then.
  Duration m_Lapse;                  ///< See the constructor.
  Starts m_Held;                     ///< Voters seen with the version.
  std::optional<TimePoint> m_Moment; ///< When a majority had been seen.
  bool m_Confirmed = false;          ///< They all held it at m_Moment.
  bool m_Settled = false;            ///< Stays true.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_SETTLE_H
