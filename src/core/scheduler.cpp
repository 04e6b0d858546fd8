/// Timers on GLib's main loop and on a manual clock.
#include "core/scheduler.h"

#include <algorithm>
#include <glib.h>

namespace crowstep {

/// A GLib source with a pointer to its scheduler; allocated by GLib.
struct LoopScheduler::Source {
  GSource m_Base;         ///< Must come first.
  LoopScheduler *m_Owner; ///< Destroys the source in its destructor.

  static gboolean dispatch(GSource *Base, GSourceFunc, gpointer) {
    reinterpret_cast<Source *>(Base)->m_Owner->runDueJobs();
    return G_SOURCE_CONTINUE;
  }
};

LoopScheduler::LoopScheduler() {
  static GSourceFuncs Functions = {nullptr, nullptr, Source::dispatch,
                                   nullptr, nullptr, nullptr};
  m_Source =
      reinterpret_cast<Source *>(g_source_new(&Functions, sizeof(Source)));
  m_Source->m_Owner = this;
  g_source_attach(&m_Source->m_Base, nullptr);
}

LoopScheduler::~LoopScheduler() {
  g_source_destroy(&m_Source->m_Base);
  g_source_unref(&m_Source->m_Base);
}

void LoopScheduler::updateReadyTime() {
  const gint64 Ready =
      m_Jobs.empty() ? -1
                     : m_Jobs.begin()->first.first.time_since_epoch().count();
  g_source_set_ready_time(&m_Source->m_Base, Ready);
}

void LoopScheduler::runDueJobs() {
  const TimePoint Now{Duration(g_get_monotonic_time())};
  // Timers that these jobs start, even without delay, wait for the next
  // iteration, so that a job that restarts itself does not starve the loop.
  const TimerId Newest(m_LastId);
  while (!m_Jobs.empty() && m_Jobs.begin()->first.first <= Now &&
         m_Jobs.begin()->first.second <= Newest) {
    const auto Next = m_Jobs.extract(m_Jobs.begin());
    m_DueTimes.erase(Next.key().second);
    Next.mapped()();
  }
  updateReadyTime();
}

TimerId LoopScheduler::runAfter(Duration Delay, std::function<void()> Job) {
  const TimerId Id(++m_LastId);
  const TimePoint DueTime = TimePoint(Duration(g_get_monotonic_time())) +
                            std::max(Delay, Duration::zero());
  m_Jobs.emplace(JobKey(DueTime, Id), std::move(Job));
  m_DueTimes.emplace(Id, DueTime);
  if (m_Jobs.begin()->first.second == Id)
    updateReadyTime();
  return Id;
}

void LoopScheduler::cancel(TimerId Timer) {
  const auto Found = m_DueTimes.find(Timer);
  if (Found == m_DueTimes.end())
    return;
  m_Jobs.erase(JobKey(Found->second, Timer));
  m_DueTimes.erase(Found);
}

TimerId ManualScheduler::runAfter(Duration Delay, std::function<void()> Job) {
  const TimerId Id(++m_LastId);
  m_Jobs.emplace(JobKey(m_Clock.now() + Delay, Id), std::move(Job));
  return Id;
}

void ManualScheduler::cancel(TimerId Timer) {
  std::erase_if(m_Jobs,
                [&](const auto &Job) { return Job.first.second == Timer; });
}

void ManualScheduler::advance(Duration Step) {
  const TimePoint End = m_Clock.now() + Step;
  while (!m_Jobs.empty() && m_Jobs.begin()->first.first <= End) {
    auto Next = m_Jobs.extract(m_Jobs.begin());
    if (Next.key().first > m_Clock.now())
      m_Clock.advance(Next.key().first - m_Clock.now());
    Next.mapped()();
  }
  if (End > m_Clock.now())
    m_Clock.advance(End - m_Clock.now());
}

void Timer::start(Duration Delay, std::function<void()> Job) {
  stop();
  m_Id = m_Scheduler.runAfter(Delay, [this, Job = std::move(Job)] {
    m_Id = TimerId();
    Job();
  });
}

void Timer::stop() {
  if (m_Id != TimerId())
    m_Scheduler.cancel(m_Id);
  m_Id = TimerId();
}

} // namespace crowstep
