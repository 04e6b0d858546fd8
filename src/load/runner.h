/// Runs one experiment from the first arrival to the audited result.
#ifndef CROWSTEP_LOAD_RUNNER_H
#define CROWSTEP_LOAD_RUNNER_H

#include "load/audit.h"
#include "load/caller.h"
#include "load/recorder.h"

namespace crowstep::load {

/// Runs arrivals, actions, measurements and the audit on the main loop.
class Runner {
public:
  using Done = std::function<void(RunResult)>;

  Runner(const Experiment &Plan, std::vector<Address> Targets,
         std::string Policy);

  /// Starts the run; \p OnDone is called once, from the main loop.
  void start(Done OnDone);

private:
  void begin();
  void sendDue();
  void drain();
  void finish();
  [[nodiscard]] Duration elapsed() const { return m_Clock.fresh() - m_Start; }

  const Experiment &m_Plan; ///< Outlives the runner.
  std::string m_Policy;     ///< For the result.
  LoopClock m_Clock;        ///< For all measurements.
  LoopScheduler m_Timers;   ///< For arrivals and actions.
  HttpClient m_Http;        ///< For actions and the audit.
  Arrivals m_Arrivals;      ///< Requests still to be sent.
  Recorder m_Recorder;      ///< Outcomes so far.
  Audit m_Audit;            ///< Of the upstreams' records.
  CallerPool m_Callers;     ///< Open calls.
  TimePoint m_Start;        ///< Start of the warm-up.
  Done m_Done;              ///< Called with the result.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RUNNER_H
