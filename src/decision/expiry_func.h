/// What the clock alone brings about.
#ifndef CROWSTEP_DECISION_EXPIRY_FUNC_H
#define CROWSTEP_DECISION_EXPIRY_FUNC_H

#include "decision/pool_base.h"

#include <optional>

namespace crowstep::decision {

/// Frees lapsed grants, forgets returning requests, moves bids whose target
/// can't be met any more to the late lane, and refuses those at their limit.
void expire(Pool &P);

/// Returns when expire(), a preemption or a probe is due next.
std::optional<TimePoint> nextDue(const Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_EXPIRY_FUNC_H
