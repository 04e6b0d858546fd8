/// Sees that this process was frozen.
#ifndef CROWSTEP_ENTRY_PAUSE_GUARD_H
#define CROWSTEP_ENTRY_PAUSE_GUARD_H

#include "core/scheduler.h"

#include <functional>

namespace crowstep::entry {

/// A tick that comes late tells of a freeze (SIGSTOP, a paused machine). What
/// was in the sockets at that time looks new when it is read, so whoever
/// counts an age from a receipt asks here first.
class PauseGuard {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  static constexpr Duration MaxLateness = std::chrono::milliseconds(500);
  /// Within this after the end of a freeze, what arrives may be old: the loop
  /// needs a few iterations to read what waits in the sockets.
  static constexpr Duration Settling = std::chrono::milliseconds(250);

  PauseGuard(const Clock &Time, Scheduler &Timers);

  /// Returns whether what arrives now may be old. Checks the time itself, as
  /// the sockets may be served before the tick.
  [[nodiscard]] bool suspect();

  /// Sets what runs once after each freeze, when it is noticed.
  void onPause(std::function<void()> Job) { m_Job = std::move(Job); }

private:
  void look();
  void tick();

  const Clock &m_Clock;        ///< Outlives this object.
  Timer m_Timer;               ///< The next tick.
  TimePoint m_LastLook;        ///< Of the last tick or check.
  TimePoint m_SuspectUntil;    ///< End of the settling time.
  std::function<void()> m_Job; ///< May be empty.
};

} // namespace crowstep::entry

#endif // CROWSTEP_ENTRY_PAUSE_GUARD_H
