/// Runs one experiment from its first arrival to its audited result.
#ifndef CROWSTEP_LOAD_RUNNER_H
#define CROWSTEP_LOAD_RUNNER_H

#include "load/audit.h"
#include "load/caller.h"
#include "load/recorder.h"

namespace crowstep::load {

/// Ties arrivals, callers, actions and records together on the loop.
class Runner {
public:
  using Done = std::function<void(RunResult)>;

  Runner(const Experiment &Plan, std::vector<Address> Targets,
         std::string Policy);

  /// Begins; \p OnDone is called once, from the loop.
  void start(Done OnDone);

private:
  void begin();
  void sendDue();
  void drain();
  void finish();
  [[nodiscard]] Duration elapsed() const { return m_Clock.fresh() - m_Start; }

  const Experiment &m_Plan; ///< Outlives the runner.
  std::string m_Policy;     ///< For the result.
  LoopClock m_Clock;        ///< Of all measurements.
  LoopScheduler m_Timers;   ///< Of arrivals and actions.
  HttpClient m_Http;        ///< Of actions and the audit.
  Arrivals m_Arrivals;      ///< What is left to send.
  Recorder m_Recorder;      ///< Outcomes.
  Audit m_Audit;            ///< Of the upstreams.
  CallerPool m_Callers;     ///< Open calls.
  TimePoint m_Start;        ///< Of the warm-up.
  Done m_Done;              ///< Called at the end.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_RUNNER_H
