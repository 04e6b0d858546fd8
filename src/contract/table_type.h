/// Settings and outcomes of keeping the operators' table in force.
#ifndef CROWSTEP_CONTRACT_TABLE_TYPE_H
#define CROWSTEP_CONTRACT_TABLE_TYPE_H

#include "contract_type.h"
#include "instance_type.h"

#include <string>
#include <variant>
#include <vector>

namespace crowstep::contract {

/// Who this process is, how fast the table spreads and when the right to serve
/// lapses.
struct TableKeeperConfig {
  std::string m_Name;        ///< Of this instance; must be set.
  Incarnation m_Incarnation; ///< Of this start; must differ from all earlier.
  Duration m_PollInterval = std::chrono::seconds(1); ///< Of the table service.
  Duration m_ProbeInterval = std::chrono::milliseconds(500); ///< Of peers.
  std::size_t m_ProbeLinks = 4;     ///< Peers probed each time, at most.
  std::size_t m_CalmProbeLinks = 2; ///< The same while all is calm.
  std::size_t m_MaxVoters = 9;      ///< Instances that vouch for a version.
  Duration m_VotersDelay = std::chrono::seconds(3); ///< Before voters are
                                                    ///< replaced.
  Duration m_RightToServe = std::chrono::milliseconds(2000); ///< Without news.
  Duration m_EntryRight = std::chrono::seconds(1); ///< How long an entry
                                                   ///< serves after this
                                                   ///< instance lost its right.
  Duration m_Margin = std::chrono::milliseconds(100); ///< For clocks that run
                                                      ///< at other speeds.
  Duration m_AcceptLimit = std::chrono::seconds(7);   ///< Then "pending".
  std::uint64_t m_Seed = 0; ///< For jitter; 0: from the name.
};

/// The change holds everywhere.
struct ChangeAccepted {
  TableVersion m_Version; ///< Of the table with the change.
};
/// The change is committed but not yet confirmed everywhere; it will hold.
struct ChangePending {
  TableVersion m_Version;                 ///< Of the table with the change.
  std::vector<std::string> m_Unconfirmed; ///< Names of the instances.
};
/// Another operator's change came first.
struct ChangeConflict {
  TableVersion m_Present;                ///< Version in the table service.
  std::vector<std::string> m_Difference; ///< Lines "class.column: a -> b".
};
/// The table service did not answer; nothing is known to be written.
struct ChangeUnavailable {
  bool m_MayHaveCommitted = false; ///< The write's answer was lost.
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangePending,
                                   ChangeConflict, ChangeUnavailable>;

/// One line of the history.
struct HistoryEntry {
  TableVersion m_Version; ///< Which version.
  std::string m_Operator; ///< Who committed it.
  std::string m_Time;     ///< Wall clock of the committing instance; display
                          ///< only.
};

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_TYPE_H
