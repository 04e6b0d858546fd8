/// Leases with fencing numbers: settings, events and actions.
///
/// docs/LEASES.md explains what they guarantee and what they cannot.
#ifndef CROWSTEP_LEASE_LEASE_TYPE_H
#define CROWSTEP_LEASE_LEASE_TYPE_H

#include "platform/platform_type.h"

#include "core/clock.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::lease {

/// Grows with each acquisition of the lease. If the table service is restored
/// from an older state without stating an era, it may shrink (see LeaseFenced).
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;

/// Identifies the holder of a lease; unique for every start of a process.
using HolderId = std::string;

struct LeaseConfig {
  std::string m_Key; ///< Of the row in the lease table.
  HolderId m_Holder; ///< This process; never used again by another.
  Duration m_Duration =
      std::chrono::seconds(6); ///< Validity of a renewal, > 0.
  /// Allows for clocks that run at different rates.
  Duration m_Margin = std::chrono::milliseconds(500);
  /// Between reads while another process holds the lease.
  Duration m_ReadInterval = std::chrono::seconds(1);
  /// Release the lease when it is no longer wanted. Otherwise it lapses: the
  /// next holder has then waited for its whole duration, so that holders can't
  /// alternate within it.
  bool m_Releases = true;
};

/// The lease's row.
struct LeaseRow {
  platform::RowVersion m_Version; ///< For conditional writes.
  HolderId m_Holder;              ///< Empty: released.
  FencingNumber m_Fencing;        ///< Of the last holder.
  Duration m_Duration{};          ///< Validity that the holder assumes.
  std::optional<platform::TableEra> m_Era{}; ///< In which it was written.

  bool operator==(const LeaseRow &) const = default;
};

// ---- Events ----

/// This process needs the lease, or no longer does.
struct LeaseWanted {
  bool m_Wanted = false; ///< False: release it once no order is in flight.
};
/// The row was read; none where it does not exist.
struct LeaseRead {
  std::optional<platform::Row> m_Row; ///< As read.
};
/// The table service answered a write.
struct LeaseWritten {
  TimePoint m_SentAt; ///< Clock reading before the call was sent.
  platform::RowOutcome m_Outcome;
};
/// A call to the table service gave no outcome.
struct LeaseCallFailed {};
/// An answer of the table service has stated this era.
struct LeaseEraSeen {
  platform::TableEra m_Era; ///< As stated.
};
/// An upstream rejected the fencing number as outdated: another process holds
/// the lease, or the table service was restored from an older state.
struct LeaseFenced {
  FencingNumber m_HighestSeen; ///< That the upstream has seen; 0: not stated.
};
struct OrderStarted {};
struct OrderEnded {};
/// Occurs several times a second.
struct LeaseTick {};

using LeaseEvent = std::variant<LeaseWanted, LeaseRead, LeaseWritten,
                                LeaseCallFailed, LeaseFenced, LeaseEraSeen,
                                OrderStarted, OrderEnded, LeaseTick>;

// ---- Actions ----

struct ReadLease {};
struct WriteLease {
  platform::RowWrite m_Write; ///< Conditional.
};

using LeaseAction = std::variant<ReadLease, WriteLease>;
using LeaseActions = std::vector<LeaseAction>;

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_TYPE_H
