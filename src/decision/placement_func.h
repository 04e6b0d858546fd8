/// Choice of the upstream for a bid.
#ifndef CROWSTEP_DECISION_PLACEMENT_FUNC_H
#define CROWSTEP_DECISION_PLACEMENT_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the best upstream with a free slot for \p Waiting, or null.
UpstreamState *chooseUpstream(Pool &P, const Request &Waiting);

/// Tells whether any upstream can take a bid of \p Class now.
bool hasFreeUpstream(const Pool &P, const ClassState &Class);

/// Tells whether \p State would be used for \p Class if it had a free slot.
bool wouldServe(const Pool &P, const ClassState &Class,
                const UpstreamState &State);

/// Tells whether any usable upstream can run \p Class.
bool hasUsableUpstream(const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_PLACEMENT_FUNC_H
