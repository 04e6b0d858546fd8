/// Time between two events of a stream.
#include "speed/event_intervals.h"

#include <algorithm>
#include <utility>

namespace crowstep::speed {

/// Events that are received at once share the time since the receipt before
/// them: a loop that is late would else see intervals of 0.
void EventIntervals::addInterval() {
  m_WasBuffered = m_WasBuffered || m_AtLast > MaxEventsAtOnce;
  if (m_Before == TimePoint())
    return;
  const Duration Interval = (m_Last - m_Before) / m_AtLast;
  m_Min = m_Min ? std::min(*m_Min, Interval) : Interval;
}

std::optional<Duration> EventIntervals::recordEvent(TimePoint Now) {
  if (m_Last == TimePoint()) {
    m_Last = Now;
    m_AtLast = 1;
    return std::nullopt;
  }
  ++m_Events;
  if (Now == m_Last) {
    ++m_AtLast;
    return std::nullopt;
  }
  addInterval();
  m_Before = std::exchange(m_Last, Now);
  m_AtLast = 1;
  if (m_Events < EventsPerSample)
    return std::nullopt;
  m_Events = 0;
  const std::optional<Duration> Result = std::exchange(m_Min, std::nullopt);
  return std::exchange(m_WasBuffered, false) ? std::nullopt : Result;
}

} // namespace crowstep::speed
