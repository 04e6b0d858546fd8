/// How busy the main loop is.
///
/// A process with one loop has no queue that shows its load: what it has not
/// handled yet waits in the kernel, in sockets that it has not read. But a loop
/// that is behind finds events whenever it looks and never waits for them. So
/// the share of the time that it spends handling events is the load.
#ifndef CROWSTEP_CORE_LOOP_LOAD_H
#define CROWSTEP_CORE_LOOP_LOAD_H

#include "core/clock.h"

namespace crowstep {

/// Load of a loop.
class LoopLoad {
public:
  virtual ~LoopLoad() = default;

  /// Returns the share of the time, in [0, 1], in which the loop has handled
  /// events. Later times weigh more, see BusyMeter::MeanTime.
  [[nodiscard]] virtual double busyShare() const = 0;
};

/// Exponential mean of the share of busy time.
class BusyMeter {
public:
  /// Time in which an earlier time's weight falls to 1/e. Shorter, and a few
  /// requests that arrive together on a slow machine look like an overload.
  static constexpr Duration MeanTime = std::chrono::milliseconds(200);

  /// The loop has handled events for \p Span.
  void recordBusy(Duration Span);

  /// The loop has waited for \p Span.
  void recordIdle(Duration Span);

  /// Returns the mean, given that the loop has handled events for another
  /// \p Busy since.
  [[nodiscard]] double share(Duration Busy = Duration::zero()) const;

private:
  double m_Share = 0; ///< Mean of the recorded time.
};

/// Load of GLib's default main loop.
class MainLoopLoad final : public LoopLoad {
public:
  explicit MainLoopLoad(const Clock &Time);
  ~MainLoopLoad() override;
  MainLoopLoad(const MainLoopLoad &) = delete;
  MainLoopLoad &operator=(const MainLoopLoad &) = delete;

  [[nodiscard]] double busyShare() const override;

private:
  struct Source;

  void handleWaitBegin();
  void handleWaitEnd();

  const Clock &m_Clock;     ///< Outlives this object.
  BusyMeter m_Meter;        ///< Up to m_Since.
  TimePoint m_Since;        ///< Start of the current wait or busy time.
  bool m_IsWaiting = false; ///< Between two iterations.
  Source *m_Source;         ///< Owned; notices each wait.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_LOOP_LOAD_H
