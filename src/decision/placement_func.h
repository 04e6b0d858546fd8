/// Which upstream a bid goes to.
#ifndef CROWSTEP_DECISION_PLACEMENT_FUNC_H
#define CROWSTEP_DECISION_PLACEMENT_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the best upstream with a free slot for \p Bid, or null.
Serving *chooseUpstream(Pool &P, const Request &Waiting);

/// Tells whether any upstream could take a bid of \p Class just now.
bool hasPlace(const Pool &P, const ClassState &Class);

/// Tells whether \p Where would be used for \p Class if it had a free slot.
bool wouldServe(const Pool &P, const ClassState &Class, const Serving &State);

/// Tells whether any upstream that may get work can run \p Class.
bool hasUpstream(const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_PLACEMENT_FUNC_H
