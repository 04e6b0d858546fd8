/// Detection of pauses by late ticks.
#include "entry/pause_guard.h"

namespace crowstep::entry {

PauseGuard::PauseGuard(const Clock &Time, Scheduler &Timers)
    : m_Clock(Time), m_Timer(Timers), m_LastCheck(Time.readNow()) {
  tick();
}

void PauseGuard::checkForPause() {
  const TimePoint Now = m_Clock.readNow();
  const Duration Elapsed = Now - m_LastCheck;
  m_LastCheck = Now;
  if (Elapsed <= TickInterval + MaxLateness)
    return;
  m_SuspectUntil = Now + SettleTime;
  if (m_OnPause)
    m_OnPause();
}

bool PauseGuard::isInputSuspect() {
  checkForPause();
  return m_Clock.readNow() < m_SuspectUntil;
}

void PauseGuard::tick() {
  checkForPause();
  m_Timer.start(TickInterval, [this] { tick(); });
}

} // namespace crowstep::entry
