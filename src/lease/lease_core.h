/// One lease, as a state machine without I/O.
#ifndef CROWSTEP_LEASE_LEASE_CORE_H
#define CROWSTEP_LEASE_LEASE_CORE_H

#include "lease/lease_type.h"

namespace crowstep::lease {

/// Returns the row's JSON text.
std::string encodeLease(const LeaseRow &Row);

/// \throws LeaseRowError.
LeaseRow decodeLease(const platform::Row &Row);

/// Takes, renews and releases one lease.
class LeaseCore {
public:
  explicit LeaseCore(LeaseConfig Config);

  /// Takes one event; \p Now must be read just now.
  LeaseActions handle(TimePoint Now, const LeaseEvent &Event);

  /// Returns the number for an order that ends within \p Limit, or none where
  /// the lease is not held for so long. \p Now must be read just now, at the
  /// last step before the order goes out.
  [[nodiscard]] std::optional<FencingNumber> mayOrder(TimePoint Now,
                                                      Duration Timeout) const;

private:
  void on(const LeaseWanted &Event);
  void on(const LeaseRead &Event);
  void on(const LeaseWritten &Event);
  void on(const LeaseCallFailed &Event);
  void on(const LeaseFenced &Event);
  void on(const OrderStarted &Event);
  void on(const OrderEnded &Event);
  void on(const LeaseTick &Event);

  void applyRow(const std::optional<platform::Row> &Row);
  void startNextCall();
  void write(const HolderId &Holder, FencingNumber Fencing);
  [[nodiscard]] FencingNumber nextFencingNumber() const;
  [[nodiscard]] bool isHolder() const;

  LeaseConfig m_Config;             ///< As given.
  TimePoint m_Now;                  ///< Of the event under way.
  LeaseActions m_Actions;           ///< Of the event under way.
  bool m_Wanted = false;            ///< By this process.
  bool m_RowKnown = false;          ///< m_Row is what was seen last.
  std::optional<LeaseRow> m_Row;    ///< None: there is no row.
  TimePoint m_RowSeenAt;            ///< When m_Row was first seen as it is.
  TimePoint m_ValidUntil;           ///< Orders must have ended by then.
  TimePoint m_NextCallAt;           ///< No read or renewal before this.
  FencingNumber m_HighestSeen;      ///< Seen by an upstream.
  bool m_CallInFlight = false;      ///< A call is under way.
  std::size_t m_OrdersInFlight = 0; ///< Under way.
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_CORE_H
