/// Admission of bids: limits, budgets and early refusal.
#ifndef CROWSTEP_DECISION_ADMISSION_FUNC_H
#define CROWSTEP_DECISION_ADMISSION_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Refuses \p NewBid, or queues it.
void admit(Pool &P, const Bid &NewBid);

/// Returns why \p Waiting can't be served before its limit.
RefusalReason lateRefusalReason(const Request &Waiting);

/// Returns after which time a retry of a refused bid of \p Class can succeed.
Duration retryAfter(const Pool &P, const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_ADMISSION_FUNC_H
