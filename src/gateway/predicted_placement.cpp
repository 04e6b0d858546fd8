/// Placement of a call that waits by prediction.
#include "gateway/predicted_placement.h"

namespace crowstep::gateway {

/// A call that arrives is not placed before those of its workspace that wait:
/// arrivals try at once, so a workspace with many of them would get most of the
/// room that becomes free.
std::optional<balance::PlacementQuery>
predictedQuery(const PredictionContext &Context, const waiting::CallWait &Wait,
               balance::PlacementQuery Query, const WaitingCall &Call,
               bool IsQueued, TimePoint Now) {
  if (!IsQueued && Context.m_Queue.hasEarlier(Call))
    return std::nullopt;
  Query.m_MayWait = true;
  Query.m_WaitsBeyondLimit = true;
  balance::Balancer &Upstreams = Context.m_Balancer;
  const bool Yields =
      Upstreams.backlog().hasWaiting(Call.m_Pool, Now) &&
      Context.m_Workspaces.isHeavy(Call.m_Pool, Call.m_Workspace, Now);
  Query.m_TakesRemainder = Yields || !Wait.canBeInTime(Now);
  Query.m_WaitLimit = Wait.engineWaitLimit(
      Yields, Upstreams.timeToFirstEvent(Query.m_Service, 0), Now);
  return Query;
}

/// Also used where the queue is full: placed as a call that may not wait, a
/// long prompt would go to an engine of latency-sensitive calls.
balance::PlacementResult placeByPrediction(const PredictionContext &Context,
                                           const waiting::CallWait &Wait,
                                           balance::PlacementQuery Query,
                                           const WaitingCall &Call,
                                           bool IsQueued, bool MayPreempt,
                                           TimePoint Now) {
  const auto Predicted =
      predictedQuery(Context, Wait, std::move(Query), Call, IsQueued, Now);
  if (!Predicted)
    return balance::MustWait{};
  Query = *Predicted;
  balance::Balancer &Upstreams = Context.m_Balancer;
  balance::PlacementResult Result = Upstreams.place(Query, Now);
  if (!std::holds_alternative<balance::MustWait>(Result) || !MayPreempt ||
      Query.m_TakesRemainder)
    return Result;
  // At an engine that preempts less urgent calls for it, as a call whose wait
  // has timed out without prediction.
  Query.m_MayWait = false;
  Query.m_WaitTimedOut = true;
  balance::PlacementResult Preempting = Upstreams.place(Query, Now);
  return std::holds_alternative<balance::Placed>(Preempting) ? Preempting
                                                             : Result;
}

} // namespace crowstep::gateway
