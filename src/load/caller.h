/// Callers: they send planned requests over HTTP and watch the answers come.
#ifndef CROWSTEP_LOAD_CALLER_H
#define CROWSTEP_LOAD_CALLER_H

#include "core/scheduler.h"
#include "load/arrivals.h"
#include "load/call_outcome.h"

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>

namespace crowstep::load {

class ActiveCall;

/// All callers of one experiment; the targets take turns, as behind the
/// platform's balancer.
class CallerPool {
public:
  using Done = std::function<void(CallOutcome)>;

  CallerPool(const Experiment &Plan, std::vector<Address> Targets,
             const Clock &Time, Scheduler &Timers, Done OnDone);
  ~CallerPool();
  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Sends \p Call, which is \p Late after its due time.
  void send(const PlannedCall &Call, Duration Late);

  /// Ends every open call as timed out.
  void giveUp();

  [[nodiscard]] std::size_t open() const { return m_Open.size(); }

private:
  friend class ActiveCall;
  void ended(std::uint64_t Id, CallOutcome Outcome);
  [[nodiscard]] SoupSession *sessionOf(std::uint64_t Id) const {
    return m_Sessions[Id % m_Sessions.size()];
  }

  const Experiment &m_Plan;              ///< Outlives the pool.
  std::vector<Address> m_Targets;        ///< At least one.
  const Clock &m_Clock;                  ///< Outlives the pool.
  Scheduler &m_Timers;                   ///< Outlives the pool.
  Done m_Done;                           ///< Called once for each call.
  std::vector<SoupSession *> m_Sessions; ///< Owned; calls take turns.
  std::uint64_t m_LastId = 0;            ///< Also picks the target.
  std::map<std::uint64_t, std::unique_ptr<ActiveCall>> m_Open; ///< By id.
};

} // namespace crowstep::load

#endif // CROWSTEP_LOAD_CALLER_H
