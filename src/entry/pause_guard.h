/// Detects pauses of this process.
#ifndef CROWSTEP_ENTRY_PAUSE_GUARD_H
#define CROWSTEP_ENTRY_PAUSE_GUARD_H

#include "core/scheduler.h"

#include <functional>

namespace crowstep::entry {

/// Detects a pause of the process (SIGSTOP, a paused machine) by a late timer.
/// Data that was in the sockets during a pause looks new when it is read, so
/// code that counts an age from a receipt must check isInputSuspect() first.
class PauseGuard {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  static constexpr Duration MaxLateness = std::chrono::milliseconds(500);
  /// For this long after a pause, received data may be old: the loop needs a
  /// few iterations to read what the sockets hold.
  static constexpr Duration SettleTime = std::chrono::milliseconds(250);

  PauseGuard(const Clock &Time, Scheduler &Timers);

  /// Returns whether data that is received now may be old. Checks the time
  /// itself, because the sockets may be served before the timer.
  [[nodiscard]] bool isInputSuspect();

  /// Sets the callback for each detected pause.
  void onPause(std::function<void()> Callback) {
    m_OnPause = std::move(Callback);
  }

private:
  void checkForPause();
  void tick();

  const Clock &m_Clock;            ///< Outlives this object.
  Timer m_Timer;                   ///< For the next tick.
  TimePoint m_LastCheck;           ///< Time of the last tick or check.
  TimePoint m_SuspectUntil;        ///< End of the settle time.
  std::function<void()> m_OnPause; ///< May be empty.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_PAUSE_GUARD_H
