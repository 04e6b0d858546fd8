/// Leases with fencing numbers: settings, events and actions.
///
/// docs/LEASES.md argues what they guarantee and what they can't.
#ifndef CROWSTEP_LEASE_LEASE_TYPE_H
#define CROWSTEP_LEASE_LEASE_TYPE_H

#include "platform/platform_type.h"

#include "core/clock.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::lease {

/// Grows each time the lease goes to another holder, and never shrinks.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;

/// Who holds a lease: unique for every start of a process.
using HolderId = std::string;

struct LeaseConfig {
  std::string m_Key; ///< Row of the lease table.
  HolderId m_Holder; ///< This process; never used again by another.
  Duration m_Length = std::chrono::seconds(6);        ///< Of one renewal, > 0.
  Duration m_Margin = std::chrono::milliseconds(500); ///< For clocks that run
                                                      ///< at other speeds.
  Duration m_ReadInterval = std::chrono::seconds(1);  ///< While another holds.
};

/// The lease's row.
struct LeaseRow {
  platform::RowVersion m_Version; ///< For conditional writes.
  HolderId m_Holder;              ///< Empty: released.
  FencingNumber m_Fencing;        ///< Of the last holder.
  Duration m_Length{};            ///< What the holder counts on.

  bool operator==(const LeaseRow &) const = default;
};

// ---- Events ----

/// This process wants the lease, or no longer.
struct LeaseWanted {
  bool m_Wanted = false; ///< False: give it up once no order is under way.
};
/// The row was read; none where it does not exist.
struct LeaseRead {
  std::optional<platform::Row> m_Row; ///< As read.
};
/// The table service decided about a write.
struct LeaseWritten {
  TimePoint m_SentAt;             ///< Before the call went out.
  platform::RowOutcome m_Outcome; ///< What became of it.
};
/// A call gave no outcome.
struct LeaseCallFailed {};
/// An upstream refused the number as old: somebody else holds the lease.
struct LeaseFenced {
  FencingNumber m_Highest; ///< That the upstream has seen.
};
struct OrderStarted {};
struct OrderEnded {};
/// Comes a few times in a second.
struct LeaseTick {};

using LeaseEvent =
    std::variant<LeaseWanted, LeaseRead, LeaseWritten, LeaseCallFailed,
                 LeaseFenced, OrderStarted, OrderEnded, LeaseTick>;

// ---- Actions ----

struct ReadLease {};
struct WriteLease {
  platform::RowWrite m_Write; ///< Conditional.
};

using LeaseAction = std::variant<ReadLease, WriteLease>;
using LeaseActions = std::vector<LeaseAction>;

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_TYPE_H
