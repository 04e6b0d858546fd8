/// Confirmations: when each instance was last known to have a version in force.
///
/// A confirmation says that an instance had a version in force no earlier than
/// a given time. Processes pass confirmations on, with their age, in answers to
/// probes. The receiver subtracts the age from the time before it sent the
/// probe, so that its time for a confirmation is never later than the moment at
/// which the instance reported. A slow link or a frozen process can make a
/// confirmation look older than it is, but never fresher.
#ifndef CROWSTEP_CONTRACT_TABLE_CONFIRMATION_H
#define CROWSTEP_CONTRACT_TABLE_CONFIRMATION_H

#include "contract/table_document.h"
#include "core/clock.h"
#include "instance_type.h"

#include <map>
#include <optional>
#include <vector>

namespace crowstep::contract {

/// The version that an instance had in force at a given time.
struct Confirmation {
  Incarnation m_Incarnation; ///< Of the instance, to detect a restart.
  TableVersion m_Version;    ///< In force there.
  TimePoint m_ConfirmedAt;   ///< On this process's clock; never later
                             ///< than the true time.
};

/// The version that a read of the table service returned.
struct StoreConfirmation {
  TableVersion m_Version;  ///< Of the row; 0: there was no row.
  TimePoint m_ConfirmedAt; ///< When the read was sent, or earlier.
};

/// The freshest known confirmation of each instance and the table service.
class ConfirmationTable {
public:
  /// Adds \p Report unless a fresher one is known.
  void add(InstanceId Instance, const Confirmation &Report);
  void addStore(const StoreConfirmation &Report);

  [[nodiscard]] const std::map<InstanceId, Confirmation> &byVoter() const {
    return m_ByVoter;
  }
  [[nodiscard]] const std::optional<StoreConfirmation> &store() const {
    return m_Store;
  }

  /// Returns the latest time T such that more than half of \p Quorum confirmed
  /// \p Version or a lower one at T or later, or none.
  /// Confirmations by \p Self are ignored; if \p CountSelf, it counts as
  /// confirming at any time (TimePoint::max()).
  [[nodiscard]] std::optional<TimePoint> lastMajorityTime(const Voters &Quorum,
                                                          TableVersion Version,
                                                          InstanceId Self,
                                                          bool CountSelf) const;

  /// Removes confirmations by instances from before \p Oldest.
  void expire(TimePoint Oldest);

private:
  std::map<InstanceId, Confirmation>
      m_ByVoter;                            ///< The freshest of each instance.
  std::optional<StoreConfirmation> m_Store; ///< None before the first read.
};

/// Returns the smallest number that is more than half of \p Size voters.
constexpr std::size_t majorityOf(std::size_t Size) { return Size / 2 + 1; }

} // namespace crowstep::contract

#endif // CROWSTEP_CONTRACT_TABLE_CONFIRMATION_H
