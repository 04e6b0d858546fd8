/// Detection of pauses by late ticks.
#include "entry/pause_guard.h"

namespace crowstep::entry {

PauseGuard::PauseGuard(const Clock &Time, Scheduler &Timers)
    : m_Clock(Time), m_Timer(Timers), m_LastLook(Time.fresh()) {
  tick();
}

void PauseGuard::look() {
  const TimePoint Now = m_Clock.fresh();
  const Duration Elapsed = Now - m_LastLook;
  m_LastLook = Now;
  if (Elapsed <= TickInterval + MaxLateness)
    return;
  m_SuspectUntil = Now + Settling;
  if (m_Job)
    m_Job();
}

bool PauseGuard::suspect() {
  look();
  return m_Clock.fresh() < m_SuspectUntil;
}

void PauseGuard::tick() {
  look();
  m_Timer.start(TickInterval, [this] { tick(); });
}

} // namespace crowstep::entry
