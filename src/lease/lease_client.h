/// Holds a lease in the table service, or tries to.
#ifndef CROWSTEP_LEASE_LEASE_CLIENT_H
#define CROWSTEP_LEASE_LEASE_CLIENT_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "lease/lease_core.h"

#include <functional>
#include <memory>
#include <optional>

namespace crowstep::lease {

/// Carries out the calls of a LeaseCore. Callbacks of calls that are in flight
/// when this object is destroyed do nothing.
class LeaseClient {
public:
  /// \p OnEvent runs several times a second while the lease is wanted, and
  /// after each answer of the table service, never from within a member
  /// function. \p Time must also run while the machine is suspended: otherwise
  /// a holder that wakes up would still call its lease valid.
  LeaseClient(LeaseConfig Config, const Clock &Time, Scheduler &Timers,
              platform::TableService &Store, Metrics &Stats,
              std::function<void()> OnEvent);

  /// Acquires and renews the lease from now on, or no longer.
  void setWanted(bool Wanted);

  /// Returns the fencing number for a call that ends within \p Timeout, or none
  /// if the lease is not held for that long. To be asked as the last step
  /// before the call is sent.
  [[nodiscard]] std::optional<FencingNumber> fencingFor(Duration Timeout) const;

  /// As the functions of LeaseCore.
  [[nodiscard]] bool mayContinue() const {
    return m_Core.mayContinue(m_Clock.readNow());
  }
  [[nodiscard]] FencingNumber heldSince() const { return m_Core.heldSince(); }
  [[nodiscard]] bool isFirstOfEra() const { return m_Core.isFirstOfEra(); }

  /// Counts the calls that are in flight under the lease.
  void recordCallStarted() { handle(OrderStarted()); }
  void recordCallEnded() { handle(OrderEnded()); }

  /// The receiver of a call has seen a higher number; 0: it did not say which.
  void recordFenced(FencingNumber HighestSeen) {
    handle(LeaseFenced{HighestSeen});
  }

private:
  void tick();
  void handle(const LeaseEvent &Event);
  void carryOut(const ReadLease &);
  void carryOut(const WriteLease &Action);
  void handleReadResult(const platform::ReadResult &Result);
  void handleWriteResult(TimePoint SentAt, const platform::WriteResult &Result);
  void reportChange();
  void reportUnreadableRow();

  template <typename Result, typename Function>
  std::function<void(Result)> guarded(Function Callback) {
    return [Alive = std::weak_ptr<bool>(m_Alive), Callback](Result Value) {
      if (!Alive.expired())
        Callback(Value);
    };
  }

  LeaseConfig m_Config;            ///< As given.
  const Clock &m_Clock;            ///< Read anew for each event.
  platform::TableService &m_Store; ///< Holds the lease's row.
  std::function<void()> m_OnEvent; ///< Never empty.
  LeaseCore m_Core;                ///< Decides.
  Counter &m_UnreadableRows;       ///< Rows that could not be read.
  Gauge &m_Held;                   ///< 1 while this process holds the lease.
  Timer m_Timer;                   ///< Of ticks; runs while it is wanted.
  bool m_Wanted = false;           ///< As last passed to m_Core.
  bool m_UnreadableLogged = false; ///< Since the row was last readable.
  std::optional<FencingNumber> m_LoggedNumber; ///< Held, as last logged.

  /// Expires with this object; see the class comment.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_LEASE_CLIENT_H
