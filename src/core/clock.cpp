/// The daemons' clocks, based on GLib's monotonic clock and the kernel's.
#include "core/clock.h"

#include <ctime>
#include <glib.h>

namespace crowstep {

TimePoint LoopClock::now() const {
  if (GSource *Current = g_main_current_source())
    return TimePoint(Duration(g_source_get_time(Current)));
  return readNow();
}

TimePoint LoopClock::readNow() const {
  return TimePoint(Duration(g_get_monotonic_time()));
}

TimePoint SuspendAwareClock::readNow() const {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

WallTime SystemWallClock::now() const {
  return WallTime(Duration(g_get_real_time()));
}

} // namespace crowstep
