/// What happens to a bid on arrival: limits, budgets and early refusal.
#ifndef CROWSTEP_DECISION_ADMISSION_FUNC_H
#define CROWSTEP_DECISION_ADMISSION_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Takes a bid in: refuses it, or gives it a place in the queue.
void admit(Pool &P, const Bid &NewBid);

/// Returns the reason for which a waiting bid can't be served in time.
RefusalReason lateReason(const Request &Waiting);

/// Returns when coming back can help one that is refused for that reason.
Duration comeBackAfter(const Pool &P, const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_ADMISSION_FUNC_H
