/// Taking slots back from lower tiers.
#ifndef CROWSTEP_DECISION_PREEMPTION_FUNC_H
#define CROWSTEP_DECISION_PREEMPTION_FUNC_H

#include "decision/pool_base.h"

#include <optional>

namespace crowstep::decision {

/// Stops running work of lower tiers where a waiting bid would otherwise miss
/// its target, or its limit once it is late.
void preemptWhereNeeded(Pool &P);

/// Stops one piece of lower work for a bid of \p Class that would be refused
/// else, unless its tier is overloaded and lower tiers hold no more than their
/// floors. Returns whether it did.
bool stopAboveFloor(Pool &P, const ClassState &Class);

/// Gives orders to stop again that were not followed for too long.
void repeatStops(Pool &P);

/// Returns when a bid of \p Class next needs a look by the clock alone.
std::optional<TimePoint> nextPreemptionCheck(const Pool &P,
                                             const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_PREEMPTION_FUNC_H
