/// Transitions caused by time alone: expired grants, targets and limits.
#ifndef CROWSTEP_DECISION_EXPIRY_FUNC_H
#define CROWSTEP_DECISION_EXPIRY_FUNC_H

#include "decision/pool_base.h"

#include <optional>

namespace crowstep::decision {

/// Frees grants that show no sign of use, forgets requests whose rebid window
/// has passed, moves bids that can no longer meet their target to the late
/// lane, and refuses those that have reached their limit.
void expire(Pool &P);

/// Returns when expire(), a preemption or a probe is due next; empty if none
/// is.
std::optional<TimePoint> nextTimeout(const Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_EXPIRY_FUNC_H
