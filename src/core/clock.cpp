/// The daemons' clock, based on GLib's monotonic clock.
#include "core/clock.h"

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

} // namespace crowstep
