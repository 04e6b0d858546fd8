/// Placement of a call that waits by prediction.
#ifndef CROWSTEP_GATEWAY_PREDICTED_PLACEMENT_H
#define CROWSTEP_GATEWAY_PREDICTED_PLACEMENT_H

#include "balance/balancer.h"
#include "gateway/wait_queue.h"
#include "waiting/call_wait.h"
#include "waiting/workspace_loads.h"

namespace crowstep::gateway {

/// Parts of an instance that decide; all outlive the placement.
struct PredictionContext {
  balance::Balancer &m_Balancer;         ///< Chooses upstreams.
  const WaitQueue &m_Queue;              ///< Calls that wait here.
  waiting::WorkspaceLoads &m_Workspaces; ///< Whose calls arrive here.
};

/// Returns the query with which such a call is placed; none if it must wait
/// behind others of its workspace. \p IsQueued: see placeByPrediction().
std::optional<balance::PlacementQuery>
predictedQuery(const PredictionContext &Context, const waiting::CallWait &Wait,
               balance::PlacementQuery Query, const WaitingCall &Call,
               bool IsQueued, TimePoint Now);

/// Places a call that may wait, or returns MustWait. \p IsQueued: it is in the
/// queue already. \p MayPreempt: it has waited for a slot long enough to get
/// one of a less urgent call.
balance::PlacementResult placeByPrediction(const PredictionContext &Context,
                                           const waiting::CallWait &Wait,
                                           balance::PlacementQuery Query,
                                           const WaitingCall &Call,
                                           bool IsQueued, bool MayPreempt,
                                           TimePoint Now);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_PREDICTED_PLACEMENT_H
