/// Preemption of work of lower tiers.
#ifndef CROWSTEP_DECISION_PREEMPTION_FUNC_H
#define CROWSTEP_DECISION_PREEMPTION_FUNC_H

#include "decision/pool_base.h"

#include <optional>

namespace crowstep::decision {

/// Stops running work of lower tiers where a waiting bid would otherwise miss
/// its target, or its limit if it is late.
void preemptWhereNeeded(Pool &P);

/// Stops one request of a lower tier for a bid of \p Class that would otherwise
/// be refused; not if the tier of \p Class is overloaded and all lower classes
/// are within their floors. Returns whether it did.
bool preemptAboveFloor(Pool &P, const ClassState &Class);

/// Makes requests that did not obey an order to stop within
/// tuning::StopOrderTimeout preemptible again.
void expireStopOrders(Pool &P);

/// Returns when time alone requires the next check of \p Class for preemption;
/// empty if never.
std::optional<TimePoint> nextPreemptionCheck(const Pool &P,
                                             const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_PREEMPTION_FUNC_H
