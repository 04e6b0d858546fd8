/// Sends planned requests over HTTP and measures their answers.
#ifndef CROWSTEP_LOAD_CALLER_H
#define CROWSTEP_LOAD_CALLER_H

#include "core/scheduler.h"
#include "http/upstream_call.h"
#include "load/arrivals.h"
#include "load/call_outcome.h"

#include <functional>
#include <map>
#include <memory>

namespace crowstep::load {

class ActiveCall;

/// All callers of one experiment. Requests go to the targets round robin, as
/// behind the platform's load balancer.
class CallerPool {
public:
  using OutcomeCallback = std::function<void(CallOutcome)>;

  /// \throws UpstreamUriError for a source whose path can't be sent.
  CallerPool(const Experiment &Plan, std::vector<Address> Targets,
             const Clock &Time, Scheduler &Timers, OutcomeCallback OnDone);
  ~CallerPool();
  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Sends \p Call, \p Late after its due time.
  void send(const PlannedCall &Call, Duration Late);

  /// Ends every open call as timed out.
  void timeOutOpenCalls();

  [[nodiscard]] std::size_t openCalls() const { return m_OpenCalls.size(); }

private:
  friend class ActiveCall;
  void finishCall(std::uint64_t Id, CallOutcome Outcome);

  const Experiment &m_Plan;       ///< Outlives the pool.
  std::vector<Address> m_Targets; ///< At least one.
  const Clock &m_Clock;           ///< Outlives the pool.
  Scheduler &m_Timers;            ///< Outlives the pool.
  OutcomeCallback m_OnOutcome;    ///< Called once per call.
  HttpUpstreamClient m_Client;    ///< Sends the calls.
  std::uint64_t m_LastId = 0;     ///< Also selects the target.
  std::map<std::uint64_t, std::unique_ptr<ActiveCall>> m_OpenCalls; ///< By id.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_CALLER_H
