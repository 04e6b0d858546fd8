/// Performs the duties while this instance holds the lease on them.
#ifndef CROWSTEP_DUTY_DUTY_HOLDER_H
#define CROWSTEP_DUTY_DUTY_HOLDER_H

#include "duty/capacity_manager.h"
#include "duty/duty_settings.h"
#include "duty/usage_reporter.h"

namespace crowstep::duty {

class DutyHolder {
public:
  /// \p Steady must also run while the machine is suspended. \p Meter is
  /// null if no usage is reported, \p View empty if no engines are ordered.
  /// Everything outlives this object.
  DutyHolder(const DutySettings &Config, const UsageSource &Self,
             const std::string &Instance, const Clock &Steady,
             Scheduler &Timers, platform::TableService &Store,
             DutyPlatform &Platform, UsageMeter *Meter, CapacityView View,
             Metrics &Stats);
  DutyHolder(const DutyHolder &) = delete;
  DutyHolder &operator=(const DutyHolder &) = delete;

  /// Sets whether this instance competes for the lease. A holder keeps it.
  void setCandidate(bool Candidate);

  /// Gives the duties up for good: the lease lapses, and another instance takes
  /// over.
  void stop();

private:
  void run();
  void updateWanted();

  lease::LeaseClient m_Lease;                   ///< On all duties.
  DutyCaller m_Caller;                          ///< Sends the calls.
  std::optional<UsageReporter> m_UsageReporter; ///< None: no usage is reported.
  std::optional<CapacityManager> m_Capacity; ///< None: no engines are ordered.
  bool m_Candidate = false;                  ///< See setCandidate().
  bool m_Stopped = false;                    ///< After stop().
};

} // namespace crowstep::duty

#endif // CROWSTEP_DUTY_DUTY_HOLDER_H
