/// One-shot timers on the main loop, behind an interface that tests drive.
#ifndef CROWSTEP_CORE_SCHEDULER_H
#define CROWSTEP_CORE_SCHEDULER_H

#include "core/clock.h"
#include "core/strong_id.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace crowstep {

/// Id of a timer; 0 is no timer.
using TimerId = StrongId<struct TimerTag, std::uint64_t>;

/// Source of one-shot timers.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Calls \p Job once after \p Delay; returns the timer's id.
  virtual TimerId runAfter(Duration Delay, std::function<void()> Job) = 0;

  /// Cancels a timer; one that has run or does not exist is ignored.
  virtual void cancel(TimerId Timer) = 0;
};

/// Timers of the default GMainContext, all of them in one GLib source. GLib
/// visits every source in each loop iteration, so with one source per timer the
/// cost of an iteration would grow with the number of requests.
class LoopScheduler final : public Scheduler {
public:
  LoopScheduler();
  ~LoopScheduler() override;
  LoopScheduler(const LoopScheduler &) = delete;
  LoopScheduler &operator=(const LoopScheduler &) = delete;

  TimerId runAfter(Duration Delay, std::function<void()> Job) override;
  void cancel(TimerId Timer) override;

private:
  using JobKey = std::pair<TimePoint, TimerId>;
  struct Source;

  void runDueJobs();
  void updateReadyTime();

  Source *m_Source;                                  ///< Owned.
  std::uint64_t m_LastId = 0;                        ///< Ids start at 1.
  std::map<JobKey, std::function<void()>> m_Jobs;    ///< Ordered by due time.
  std::unordered_map<TimerId, TimePoint> m_DueTimes; ///< Due time of each job.
};

/// Timers for tests; they run within advance().
class ManualScheduler final : public Scheduler {
public:
  explicit ManualScheduler(ManualClock &Time) : m_Clock(Time) {}

  TimerId runAfter(Duration Delay, std::function<void()> Job) override;
  void cancel(TimerId Timer) override;

  /// Advances the clock by \p Step and runs the timers that are due, in order.
  void advance(Duration Step);

private:
  using JobKey = std::pair<TimePoint, TimerId>;
  ManualClock &m_Clock;                           ///< Advanced by advance().
  std::uint64_t m_LastId = 0;                     ///< Ids start at 1.
  std::map<JobKey, std::function<void()>> m_Jobs; ///< Ordered by due time.
};

/// A timer that its destructor cancels and that start() sets again.
class Timer {
public:
  explicit Timer(Scheduler &Timers) : m_Scheduler(Timers) {}
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Runs \p Job after \p Delay; replaces a job that is set.
  void start(Duration Delay, std::function<void()> Job);

  /// Cancels the job that is set, if any.
  void stop();

  [[nodiscard]] bool isRunning() const { return m_Id != TimerId(); }

private:
  Scheduler &m_Scheduler; ///< Outlives the timer.
  TimerId m_Id;           ///< 0 while not running.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_SCHEDULER_H
