/// A timer with microseconds, for engine steps; GLib's timeouts count
/// milliseconds, which is as long as a whole step of a fast engine.
#ifndef CROWSTEP_STANDIN_STEP_TIMER_H
#define CROWSTEP_STANDIN_STEP_TIMER_H

#include "core/clock.h"

#include <functional>
#include <glib.h>

namespace crowstep::standin {

/// Runs its job whenever the time set by wakeAt() has come.
class StepTimer {
public:
  explicit StepTimer(std::function<void()> Job);
  ~StepTimer();
  StepTimer(const StepTimer &) = delete;
  StepTimer &operator=(const StepTimer &) = delete;

  void wakeAt(TimePoint When);
  void stop();

private:
  std::function<void()> m_Job; ///< Called from the loop.
  GSource *m_Source;           ///< Owned and attached.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_STEP_TIMER_H
