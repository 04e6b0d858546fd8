/// Measuring the waits of GLib's main loop.
#include "core/loop_load.h"

#include <cmath>
#include <glib.h>

namespace crowstep {

namespace {

/// Returns the weight of earlier time after \p Span.
double weightAfter(Duration Span) {
  return std::exp(-std::chrono::duration<double>(Span) /
                  std::chrono::duration<double>(BusyMeter::MeanTime));
}

} // namespace

void BusyMeter::recordBusy(Duration Span) { m_Share = share(Span); }

void BusyMeter::recordIdle(Duration Span) { m_Share *= weightAfter(Span); }

double BusyMeter::share(Duration Busy) const {
  return 1 - (1 - m_Share) * weightAfter(Busy);
}

/// A GLib source that is never ready. GLib asks it before and after each wait,
/// first of all sources owing to its priority.
struct MainLoopLoad::Source {
  GSource m_Base;        ///< Must come first.
  MainLoopLoad *m_Owner; ///< Destroys the source in its destructor.

  static gboolean prepare(GSource *Base, gint *Timeout) {
    reinterpret_cast<Source *>(Base)->m_Owner->handleWaitBegin();
    *Timeout = -1;
    return 0;
  }
  static gboolean check(GSource *Base) {
    reinterpret_cast<Source *>(Base)->m_Owner->handleWaitEnd();
    return 0;
  }
};

MainLoopLoad::MainLoopLoad(const Clock &Time)
    : m_Clock(Time), m_Since(Time.readNow()) {
  static GSourceFuncs Functions = {Source::prepare, Source::check, nullptr,
                                   nullptr,         nullptr,       nullptr};
  m_Source =
      reinterpret_cast<Source *>(g_source_new(&Functions, sizeof(Source)));
  m_Source->m_Owner = this;
  g_source_set_priority(&m_Source->m_Base, G_PRIORITY_HIGH);
  g_source_attach(&m_Source->m_Base, nullptr);
}

MainLoopLoad::~MainLoopLoad() {
  g_source_destroy(&m_Source->m_Base);
  g_source_unref(&m_Source->m_Base);
}

double MainLoopLoad::busyShare() const {
  return m_Meter.share(m_IsWaiting ? Duration::zero()
                                   : m_Clock.readNow() - m_Since);
}

void MainLoopLoad::handleWaitBegin() {
  const TimePoint Now = m_Clock.readNow();
  if (!m_IsWaiting)
    m_Meter.recordBusy(Now - m_Since);
  m_IsWaiting = true;
  m_Since = Now;
}

void MainLoopLoad::handleWaitEnd() {
  const TimePoint Now = m_Clock.readNow();
  if (m_IsWaiting)
    m_Meter.recordIdle(Now - m_Since);
  m_IsWaiting = false;
  m_Since = Now;
}

} // namespace crowstep
