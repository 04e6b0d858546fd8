/// How long a bid would wait.
#ifndef CROWSTEP_DECISION_ESTIMATE_FUNC_H
#define CROWSTEP_DECISION_ESTIMATE_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the wait of a bid that joins the on-time lane of \p Class now:
/// behind more urgent tiers and its workspace's fair share of its own.
Duration waitOnTime(const Pool &P, const ClassState &Class,
                    WorkspaceId Workspace);

/// Returns the wait of a bid that joins the late lane of \p Class now: behind
/// everything at its tier or above, and what still arrives there.
Duration waitLate(const Pool &P, const ClassState &Class);

/// Returns the slots that the upstreams of \p Class free a second.
double freeRate(const Pool &P, const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_ESTIMATE_FUNC_H
