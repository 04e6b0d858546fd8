/// A GSource with a ready time.
#include "standin/step_timer.h"

namespace crowstep::standin {

namespace {

int dispatch(GSource *Source, GSourceFunc, gpointer Job) {
  g_source_set_ready_time(Source, -1);
  (*static_cast<std::function<void()> *>(Job))();
  return G_SOURCE_CONTINUE;
}

GSourceFuncs SourceFuncs = {nullptr, nullptr, dispatch,
                            nullptr, nullptr, nullptr};

} // namespace

StepTimer::StepTimer(std::function<void()> Job)
    : m_Job(std::move(Job)),
      m_Source(g_source_new(&SourceFuncs, sizeof(GSource))) {
  // dispatch() uses the data only, but GLib passes it on only if a function is
  // set.
  g_source_set_callback(
      m_Source, [](gpointer) -> int { return G_SOURCE_CONTINUE; }, &m_Job,
      nullptr);
  g_source_set_ready_time(m_Source, -1);
  g_source_attach(m_Source, nullptr);
}

StepTimer::~StepTimer() {
  g_source_destroy(m_Source);
  g_source_unref(m_Source);
}

void StepTimer::startAt(TimePoint Due) {
  g_source_set_ready_time(m_Source, Due.time_since_epoch().count());
}

void StepTimer::stop() { g_source_set_ready_time(m_Source, -1); }

} // namespace crowstep::standin
