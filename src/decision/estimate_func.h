/// Estimated waiting times.
#ifndef CROWSTEP_DECISION_ESTIMATE_FUNC_H
#define CROWSTEP_DECISION_ESTIMATE_FUNC_H

#include "decision/pool_base.h"

namespace crowstep::decision {

/// Returns the estimated wait of a bid of \p Workspace that joins the on-time
/// lane of \p Class now. It is served after more urgent tiers and after its
/// workspace's fair share of its own tier.
Duration estimateOnTimeWait(const Pool &P, const ClassState &Class,
                            WorkspaceId Workspace);

/// Returns the estimated wait of a bid that joins the late lane of \p Class
/// now. It is served after all bids of its tier and of more urgent ones, those
/// that arrive later included.
Duration estimateLateWait(const Pool &P, const ClassState &Class);

/// Returns how many slots per second the upstreams of \p Class release.
double releaseRate(const Pool &P, const ClassState &Class);

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_ESTIMATE_FUNC_H
