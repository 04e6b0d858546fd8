/// One-shot timers on the loop, behind an interface that tests drive by hand.
#ifndef CROWSTEP_CORE_SCHEDULER_H
#define CROWSTEP_CORE_SCHEDULER_H

#include "core/clock.h"
#include "core/strong_id.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace crowstep {

/// Names a timer; 0 names none.
using TimerId = StrongId<struct TimerTag, std::uint64_t>;

/// Source of one-shot timers.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Calls \p Job once after \p Delay; returns the timer's id.
  virtual TimerId after(Duration Delay, std::function<void()> Job) = 0;

  /// Drops a timer; one that has run or never was is ignored.
  virtual void cancel(TimerId Timer) = 0;
};

/// Timers of the default GMainContext. All of them share one GLib source:
/// GLib looks at every source in every loop iteration, so a source a timer
/// makes each iteration cost as much as there are requests.
class LoopScheduler final : public Scheduler {
public:
  LoopScheduler();
  ~LoopScheduler() override;
  LoopScheduler(const LoopScheduler &) = delete;
  LoopScheduler &operator=(const LoopScheduler &) = delete;

  TimerId after(Duration Delay, std::function<void()> Job) override;
  void cancel(TimerId Timer) override;

private:
  using Due = std::pair<TimePoint, TimerId>;
  struct Source;

  void runDue();
  void arm();

  Source *m_Source;                               ///< Owned.
  std::uint64_t m_LastId = 0;                     ///< Ids start at 1.
  std::map<Due, std::function<void()>> m_Jobs;    ///< In the order of dueness.
  std::unordered_map<TimerId, TimePoint> m_DueOf; ///< Of each of m_Jobs.
};

/// Timers of a test; they run when the test advances its ManualClock.
class ManualScheduler final : public Scheduler {
public:
  explicit ManualScheduler(ManualClock &Time) : m_Clock(Time) {}

  TimerId after(Duration Delay, std::function<void()> Job) override;
  void cancel(TimerId Timer) override;

  /// Advances the clock by \p Step and runs what falls due, in order.
  void advance(Duration Step);

private:
  using Due = std::pair<TimePoint, TimerId>;
  ManualClock &m_Clock;                        ///< Advanced with them.
  std::uint64_t m_LastId = 0;                  ///< Ids start at 1.
  std::map<Due, std::function<void()>> m_Jobs; ///< In the order of dueness.
};

/// A timer that is cancelled when its owner goes, and set anew by start().
class Timer {
public:
  explicit Timer(Scheduler &Timers) : m_Scheduler(Timers) {}
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Runs \p Job after \p Delay, in place of what was set before.
  void start(Duration Delay, std::function<void()> Job);

  /// Forgets what was set.
  void stop();

  [[nodiscard]] bool running() const { return m_Id != TimerId(); }

private:
  Scheduler &m_Scheduler; ///< Outlives the timer.
  TimerId m_Id;           ///< None while not running.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_SCHEDULER_H
