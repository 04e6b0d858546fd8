/// The daemons' clocks, behind interfaces that tests replace and advance.
///
/// Every age is measured on one machine's monotonic clock. The wall clock is
/// read only for what the platform defines in calendar time, see
/// duty::MajorityClock.
#ifndef CROWSTEP_CORE_CLOCK_H
#define CROWSTEP_CORE_CLOCK_H

#include <chrono>

namespace crowstep {

using Duration = std::chrono::microseconds;

/// Clock type of the time points that a Clock returns. It has no now(), so that
/// time is read through a Clock only.
struct RuntimeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
};

using TimePoint = RuntimeClock::time_point;

/// Source of monotonic time.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the time at which the current loop iteration began. Cheap, and
  /// the same for all decisions of one iteration.
  [[nodiscard]] virtual TimePoint now() const = 0;

  /// Reads the clock. now() is stale in a process that was stopped during an
  /// iteration, so the last check before sending a call that may not be retried
  /// must use this function, which includes the time of the stop.
  [[nodiscard]] virtual TimePoint readNow() const = 0;
};

/// Clock of a daemon: the main loop's monotonic clock.
class LoopClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] TimePoint readNow() const override;
};

/// Monotonic clock that also runs while the machine is suspended, unlike
/// LoopClock. Its time points must not be mixed with those of another clock.
class SuspendAwareClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override { return readNow(); }
  [[nodiscard]] TimePoint readNow() const override;
};

/// Calendar time since the start of 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of calendar time; it can be wrong and can jump.
class WallClock {
public:
  virtual ~WallClock() = default;
  [[nodiscard]] virtual WallTime now() const = 0;
};

/// The machine's calendar time.
class SystemWallClock final : public WallClock {
public:
  [[nodiscard]] WallTime now() const override;
};

/// Clock for tests; changes only when it is advanced.
class ManualClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override { return m_Now; }
  [[nodiscard]] TimePoint readNow() const override { return m_Now; }

  /// Advances the time by \p Step, which must not be negative.
  void advance(Duration Step) { m_Now += Step; }

private:
  TimePoint m_Now{std::chrono::seconds(1)}; ///< Never decreases.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_CLOCK_H
