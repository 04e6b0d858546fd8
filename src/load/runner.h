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
  using ResultCallback = std::function<void(RunResult)>;

  Runner(const Experiment &Plan, std::vector<Address> Targets,
         std::string Policy);

  /// Starts the run; \p OnDone is called once, from the main loop.
  void start(ResultCallback OnDone);

private:
  void startLoad();
  void sendDueCalls();
  void drain();
  void runAudit();
  [[nodiscard]] Duration elapsed() const {
    return m_Clock.readNow() - m_StartTime;
  }

  const Experiment &m_Plan;  ///< Outlives the runner.
  std::string m_Policy;      ///< For the result.
  LoopClock m_Clock;         ///< For all measurements.
  LoopScheduler m_Timers;    ///< For arrivals and actions.
  HttpClient m_HttpClient;   ///< For actions and the audit.
  Arrivals m_Arrivals;       ///< Requests still to be sent.
  Recorder m_Recorder;       ///< Outcomes so far.
  Audit m_Audit;             ///< Of the upstreams' records.
  CallerPool m_Callers;      ///< Open calls.
  TimePoint m_StartTime;     ///< Start of the warm-up.
  ResultCallback m_OnResult; ///< Called with the result.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RUNNER_H
