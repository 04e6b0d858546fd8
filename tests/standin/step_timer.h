/// A timer with microsecond resolution for engine steps. GLib's timeouts have
/// a resolution of 1 ms, which is as long as a whole step of a fast engine.
#ifndef CROWSTEP_STANDIN_STEP_TIMER_H
#define CROWSTEP_STANDIN_STEP_TIMER_H

#include "core/clock.h"

#include <functional>
#include <glib.h>

namespace crowstep::standin {

/// Runs its job once at the time set by startAt().
class StepTimer {
public:
  explicit StepTimer(std::function<void()> Job);
  ~StepTimer();
  StepTimer(const StepTimer &) = delete;
  StepTimer &operator=(const StepTimer &) = delete;

  void startAt(TimePoint Due);
  void stop();

private:
  std::function<void()> m_Job; ///< Called from the main loop.
  GSource *m_Source;           ///< Owned; attached to the default context.
};

} // namespace crowstep::standin

#endif // CROWSTEP_STANDIN_STEP_TIMER_H
