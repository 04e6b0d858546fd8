/// Assignment of free slots to waiting bids.
#ifndef CROWSTEP_DECISION_DISPATCH_FUNC_H
#define CROWSTEP_DECISION_DISPATCH_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Grants waiting bids as long as free slots can serve them.
void dispatch(Pool &P);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DISPATCH_FUNC_H
