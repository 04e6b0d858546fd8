/// Which addresses this process dials, and for how long.
#ifndef CROWSTEP_MEMBERSHIP_DIAL_PLAN_H
#define CROWSTEP_MEMBERSHIP_DIAL_PLAN_H

#include "core/clock.h"
#include "membership/membership_event.h"

#include <map>
#include <optional>

namespace crowstep::membership {

/// Targets are dialled permanently; hints and dead members are probed for a
/// short time each. All functions append their actions to \p Actions.
class DialPlan {
public:
  /// Replaces the targets. Former ones are kept like probes for a while.
  void setTargets(const std::map<Address, InstanceId> &Targets, TimePoint Now,
                  std::vector<Action> &Actions);

  /// Dials \p Candidate for a short time, unless it is dialled already.
  void probe(const Address &Candidate, TimePoint Now,
             std::vector<Action> &Actions);

  /// Disconnects probes whose time has passed.
  void expireProbes(TimePoint Now, std::vector<Action> &Actions);

  /// A dial failed: ends a probe, or returns the member that is the target.
  std::optional<InstanceId> dialFailed(const Address &Dialled,
                                       std::vector<Action> &Actions);

private:
  std::map<Address, InstanceId> m_Targets; ///< Dialled permanently.
  std::map<Address, TimePoint> m_Probes; ///< Time of expiry; none is a target.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_DIAL_PLAN_H
