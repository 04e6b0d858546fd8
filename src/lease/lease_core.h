/// One lease, as a state machine without I/O.
#ifndef CROWSTEP_LEASE_LEASE_CORE_H
#define CROWSTEP_LEASE_LEASE_CORE_H

#include "lease/lease_type.h"

namespace crowstep::lease {

/// Returns the row's JSON text.
std::string encodeLease(const LeaseRow &Row);

/// Parses a lease's row. \throws LeaseRowError.
LeaseRow decodeLease(const platform::Row &Row);

/// Acquires, renews and releases one lease.
class LeaseCore {
public:
  /// Fencing numbers that are left out for those that were given out in an era
  /// and lost with it.
  static constexpr std::uint64_t NumbersPerEra = 1000;

  explicit LeaseCore(LeaseConfig Config);

  /// Processes one event; \p Now must be a fresh clock reading.
  LeaseActions handle(TimePoint Now, const LeaseEvent &Event);

  /// Returns the fencing number for an order that ends within \p Timeout, or
  /// none if the lease is not held for that long. \p Now must be a fresh clock
  /// reading, taken as the last step before the order is sent.
  [[nodiscard]] std::optional<FencingNumber>
  fencingForOrder(TimePoint Now, Duration Timeout) const;

  /// Returns whether this process held the lease when the table service came
  /// back from an older copy, and no other one can have acquired it since.
  [[nodiscard]] bool mayContinue(TimePoint Now) const {
    return Now < m_ContinuesUntil;
  }

  /// Returns the number under which this process acquired the lease that it
  /// holds. It has had other numbers since if it continued after restores.
  [[nodiscard]] FencingNumber heldSince() const { return m_HeldSince; }

  /// Returns whether nobody had acquired the lease in this era before this
  /// process did.
  [[nodiscard]] bool isFirstOfEra() const { return m_IsFirstOfEra; }

  /// Returns whether LeaseTick events are needed.
  [[nodiscard]] bool needsTicks() const {
    return m_Wanted || (m_Config.m_Releases && isHolder());
  }

  /// Returns whether the row as last observed can't be read. The lease then
  /// can't be acquired.
  [[nodiscard]] bool isRowUnreadable() const { return m_RowUnreadable; }

private:
  void on(const LeaseWanted &Event);
  void on(const LeaseRead &Event);
  void on(const LeaseWritten &Event);
  void on(const LeaseCallFailed &Event);
  void on(const LeaseFenced &Event);
  void on(const LeaseEraSeen &Event);
  void on(const OrderStarted &Event);
  void on(const OrderEnded &Event);
  void on(const LeaseTick &Event);

  void applyRow(const std::optional<platform::Row> &Row);
  void startNextCall();
  void write(const HolderId &Holder, FencingNumber Fencing);
  [[nodiscard]] std::vector<std::string> endedEraKeys() const;
  [[nodiscard]] FencingNumber nextFencingNumber() const;
  void acquire();
  [[nodiscard]] bool isHolder() const;
  [[nodiscard]] bool isOfThisEra() const;
  [[nodiscard]] bool mayAcquire() const;

  LeaseConfig m_Config;          ///< As given.
  TimePoint m_Now;               ///< Of the event in process.
  LeaseActions m_Actions;        ///< Of the event in process.
  bool m_Wanted = false;         ///< By this process.
  bool m_RowKnown = false;       ///< m_Row is the row as last observed.
  bool m_RowUnreadable = false;  ///< See isRowUnreadable().
  std::optional<LeaseRow> m_Row; ///< None: there is no row.
  TimePoint m_RowSeenAt;         ///< When m_Row was first observed.
  TimePoint m_ValidUntil;        ///< Orders must have ended by then.
  TimePoint m_ContinuesUntil;    ///< See mayContinue().
  FencingNumber m_HeldSince;     ///< See heldSince().
  bool m_IsFirstOfEra = false;   ///< See isFirstOfEra().
  TimePoint m_NextCallAt;        ///< No call to the table service before.
  FencingNumber m_HighestSeen;   ///< Highest number that upstreams saw.
  std::optional<platform::TableEra> m_Era; ///< The highest one seen.
  bool m_CallInFlight = false;             ///< To the table service.
  std::size_t m_OrdersInFlight = 0;        ///< Started and not ended.
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_CORE_H
