/// Time between two events of a stream, as a measure of an engine's speed.
#ifndef CROWSTEP_SPEED_EVENT_INTERVALS_H
#define CROWSTEP_SPEED_EVENT_INTERVALS_H

#include "core/clock.h"

#include <optional>

namespace crowstep::speed {

class EventIntervals {
public:
  /// One sample is taken of this many events.
  static constexpr unsigned EventsPerSample = 8;

  /// More events at once come from a buffer and not from the engine.
  static constexpr unsigned MaxEventsAtOnce = 4;

  /// An event was received. Returns the shortest interval of the last
  /// EventsPerSample events once they are complete.
  std::optional<Duration> recordEvent(TimePoint Now);

private:
  void addInterval();

  TimePoint m_Before{};          ///< Receipt before m_Last; not set: none.
  TimePoint m_Last{};            ///< Last receipt; not set: none.
  unsigned m_AtLast = 0;         ///< Events received at m_Last.
  unsigned m_Events = 0;         ///< Since the last sample.
  std::optional<Duration> m_Min; ///< Shortest interval since then.
  bool m_WasBuffered = false;    ///< Some of these events were buffered.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_EVENT_INTERVALS_H
