/// Configuration of TableKeeper and outcomes of changes to the table.
#ifndef CROWSTEP_CONTRACT_TABLE_TYPE_H
#define CROWSTEP_CONTRACT_TABLE_TYPE_H

#include "contract_type.h"
#include "instance_type.h"

#include <string>
#include <variant>
#include <vector>

namespace crowstep::contract {

/// Identity of this instance, and intervals and limits of TableKeeper.
struct TableKeeperConfig {
  std::string m_Name;        ///< Of this instance; not empty.
  Incarnation m_Incarnation; ///< Must differ from that of all earlier
                             ///< starts.
  Duration m_PollInterval = std::chrono::seconds(1); ///< Of the table service.
  Duration m_ProbeInterval = std::chrono::milliseconds(500); ///< Of peers.
  std::size_t m_ProbeLinks = 4; ///< Peers probed in each interval, at most.
  std::size_t m_SteadyProbeLinks = 2; ///< The same in the steady state; see
                                      ///< TableCore::isSteady().
  std::size_t m_MaxVoters = 9;        ///< Of one version.
  /// For how long a new choice of voters must be stable before it replaces the
  /// old one.
  Duration m_VoterReplacementDelay = std::chrono::seconds(3);
  /// For how long the right to serve lasts after the confirmations that it
  /// rests on.
  Duration m_RightDuration = std::chrono::milliseconds(2000);
  /// For how long an entry may serve after this instance lost its right.
  Duration m_EntryRightDuration = std::chrono::seconds(1);
  /// Allowance for clocks that run at different rates.
  Duration m_Margin = std::chrono::milliseconds(100);
  /// Limit for the outcome of a change; if it is committed but not accepted by
  /// then, it is reported as pending.
  Duration m_AcceptTimeout = std::chrono::seconds(7);
  std::uint64_t m_Seed = 0; ///< For jitter; 0: derived from the name and
                            ///< incarnation.
};

/// The change is in force everywhere.
struct ChangeAccepted {
  TableVersion m_Version; ///< Of the table with the change.
};
/// The change is committed but not yet confirmed everywhere; it will come into
/// force.
struct ChangePending {
  TableVersion m_Version;                 ///< Of the table with the change.
  std::vector<std::string> m_Unconfirmed; ///< Names of instances that have not
                                          ///< confirmed the version.
};
/// The rows have changed since the version that the operator read.
struct ChangeConflict {
  TableVersion m_PresentVersion;         ///< Version in the table service.
  std::vector<std::string> m_Difference; ///< From the present rows to the
                                         ///< requested ones; see difference().
};
/// The table service did not answer or holds no usable table; no write is known
/// to have taken effect.
struct ChangeUnavailable {
  bool m_MayHaveCommitted = false; ///< A write has no known outcome.
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangePending,
                                   ChangeConflict, ChangeUnavailable>;

/// One change in the history.
struct HistoryEntry {
  TableVersion m_Version; ///< That the change made.
  std::string m_Operator; ///< Who requested it.
  std::string m_Time;     ///< Wall-clock time of the committing instance; for
                          ///< display only.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_TYPE_H
