/// The runtime's clock, behind an interface that tests pause and advance.
///
/// No decision reads the wall clock: two machines' wall clocks are never
/// compared, and every age is measured on one machine's monotonic clock.
#ifndef CROWSTEP_CORE_CLOCK_H
#define CROWSTEP_CORE_CLOCK_H

#include <chrono>

namespace crowstep {

using Duration = std::chrono::microseconds;

/// Tag of the time points that a Clock hands out; it has no now() on purpose.
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

  /// Returns the time read just now. A process that was frozen in the middle
  /// of an iteration sees a stale now(); the last check before a call that may
  /// not be repeated is sent must therefore use this one, which runs through
  /// the freeze.
  [[nodiscard]] virtual TimePoint fresh() const = 0;
};

/// Clock of a daemon: the main loop's monotonic clock.
class LoopClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override;
  [[nodiscard]] TimePoint fresh() const override;
};

/// Clock of a test: stands still until it is advanced.
class ManualClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const override { return m_Now; }
  [[nodiscard]] TimePoint fresh() const override { return m_Now; }

  /// Moves the time on by \p Step, which must not be negative.
  void advance(Duration Step) { m_Now += Step; }

private:
  TimePoint m_Now{std::chrono::seconds(1)}; ///< Never goes back.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_CLOCK_H
