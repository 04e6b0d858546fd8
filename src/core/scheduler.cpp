/// Timers on GLib's loop and on a manual clock.
#include "core/scheduler.h"

#include <glib.h>

namespace crowstep {

/// What GLib hands back when a timer falls due.
struct LoopScheduler::Entry {
  LoopScheduler *m_Owner;      ///< Removes its sources before it goes.
  TimerId m_Id;                ///< Which timer.
  std::function<void()> m_Job; ///< What to run.
};

LoopScheduler::~LoopScheduler() {
  for (const auto &[Id, Source] : m_Sources)
    g_source_remove(Source);
}

int LoopScheduler::fire(void *Data) {
  auto *Due = static_cast<Entry *>(Data);
  Due->m_Owner->m_Sources.erase(Due->m_Id);
  // Moved out: the job may cancel or destroy the scheduler.
  const std::function<void()> Job = std::move(Due->m_Job);
  Job();
  return G_SOURCE_REMOVE;
}

TimerId LoopScheduler::after(Duration Delay, std::function<void()> Job) {
  const TimerId Id(++m_LastId);
  auto *Data = new Entry{this, Id, std::move(Job)};
  // GLib's timers count milliseconds; rounded up, so that none is early.
  const auto Wait =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(Delay, Duration()));
  m_Sources[Id] = g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(Wait.count()), fire, Data,
      [](void *Gone) { delete static_cast<Entry *>(Gone); });
  return Id;
}

void LoopScheduler::cancel(TimerId Timer) {
  const auto Found = m_Sources.find(Timer);
  if (Found == m_Sources.end())
    return;
  const unsigned Source = Found->second;
  m_Sources.erase(Found);
  g_source_remove(Source);
}

TimerId ManualScheduler::after(Duration Delay, std::function<void()> Job) {
  const TimerId Id(++m_LastId);
  m_Jobs.emplace(Due(m_Clock.now() + Delay, Id), std::move(Job));
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
  m_Id = m_Scheduler.after(Delay, [this, Job = std::move(Job)] {
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
