/// Which addresses this process keeps dialled, and why.
#ifndef CROWSTEP_MEMBERSHIP_DIAL_PLAN_H
#define CROWSTEP_MEMBERSHIP_DIAL_PLAN_H

#include "core/clock.h"
#include "membership/membership_event.h"

#include <map>
#include <optional>

namespace crowstep::membership {

/// Targets stay dialled; probes of hints and of the dead are short.
class DialPlan {
public:
  /// Replaces the targets and appends the dials and hang-ups to \p Out.
  void setTargets(const std::map<Address, InstanceId> &Targets, TimePoint Now,
                  std::vector<Action> &Out);

  /// Dials \p Where for a short time, unless it is dialled already.
  void probe(const Address &Where, TimePoint Now, std::vector<Action> &Out);

  /// Hangs up probes that have had their time.
  void expire(TimePoint Now, std::vector<Action> &Out);

  /// A dial failed: ends a probe, or returns the target's member.
  std::optional<InstanceId> failed(const Address &Where,
                                   std::vector<Action> &Out);

private:
  std::map<Address, InstanceId> m_Targets; ///< Kept dialled.
  std::map<Address, TimePoint> m_Probes;   ///< Until when; no targets.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_DIAL_PLAN_H
