/// Giving free slots to waiting bids.
#ifndef CROWSTEP_DECISION_DISPATCH_FUNC_H
#define CROWSTEP_DECISION_DISPATCH_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Grants while there are free slots and bids that they can serve.
void dispatch(Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DISPATCH_FUNC_H
