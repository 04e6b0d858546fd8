/// Leaves a process only a part of the processor time.
#ifndef CROWSTEP_TESTS_PROCESS_THROTTLE_H
#define CROWSTEP_TESTS_PROCESS_THROTTLE_H

#include "core/clock.h"

#include <csignal>
#include <sys/types.h>
#include <thread>

namespace crowstep::test {

/// While it lives, the process runs for a slice of each period only. It has a
/// thread of its own, so that the load of the test's loop does not lengthen the
/// slices.
class Throttle {
public:
  Throttle(pid_t Process, Duration Slice, Duration Period)
      : m_Thread([Process, Slice, Period](const std::stop_token &Stop) {
          while (!Stop.stop_requested()) {
            kill(Process, SIGSTOP);
            std::this_thread::sleep_for(Period - Slice);
            kill(Process, SIGCONT);
            std::this_thread::sleep_for(Slice);
          }
        }) {}

private:
  std::jthread m_Thread; ///< Ends with the process running.
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_PROCESS_THROTTLE_H
