/// Admission of bids: limits, queue space and refusal of hopeless bids.
#include "decision/admission_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"
#include "decision/work_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// A bid that is being admitted.
struct Arrival {
  const Bid &m_Bid;           ///< As sent.
  ClassState &m_Class;        ///< Its row; part of the pool.
  WorkspaceUsage &m_Use;      ///< Usage of the class by its workspace.
  bool m_IsExempt;            ///< Bids again after the pool took its slot.
  double m_Tokens;            ///< Output tokens to reserve.
  std::uint8_t m_Preemptions; ///< Carried over from earlier attempts.
};

/// Result of a check: the reason for a refusal, if any.
struct CheckResult {
  RefusalReason m_Reason = RefusalReason::None; ///< None: the bid passes.
  Duration m_RetryAfter{};                      ///< As in Refuse.
};

CheckResult checkBuckets(const Pool &P, const Arrival &New) {
  const TimePoint Now = P.m_Now;
  const ClassState &Class = New.m_Class;
  if (!Class.m_RateLimit.canTake(1.0, Now))
    return {RefusalReason::ClassRate, Class.m_RateLimit.timeUntil(1.0, Now)};
  if (!New.m_Use.m_RateLimit.canTake(1.0, Now))
    return {RefusalReason::WorkspaceRate,
            New.m_Use.m_RateLimit.timeUntil(1.0, Now)};
  if (!Class.m_TokenLimit.canTake(New.m_Tokens, Now))
    return {RefusalReason::ClassTokens,
            Class.m_TokenLimit.timeUntil(New.m_Tokens, Now)};
  if (!New.m_Use.m_TokenLimit.canTake(New.m_Tokens, Now))
    return {RefusalReason::WorkspaceTokens,
            New.m_Use.m_TokenLimit.timeUntil(New.m_Tokens, Now)};
  return {};
}

Flow *longestFlow(Lane &L) {
  Flow *Longest = nullptr;
  for (auto &[Workspace, Candidate] : L.m_Flows)
    if (!Candidate.m_Queue.empty() &&
        (Longest == nullptr ||
         std::pair(Candidate.m_Queue.size(), Workspace) >
             std::pair(Longest->m_Queue.size(), Longest->m_Workspace)))
      Longest = &Candidate;
  return Longest;
}

/// Makes room in a full queue: refuses the last bid of the workspace with the
/// longest flow, unless that is the new bid's own. Otherwise one workspace
/// could fill the queue and every other workspace's bids would be refused on
/// arrival.
bool makeRoom(Pool &P, const Arrival &New) {
  Lane &Target = New.m_Class.m_OnTime.m_ByDeadline.empty()
                     ? New.m_Class.m_Late
                     : New.m_Class.m_OnTime;
  const auto Own = Target.m_Flows.find(New.m_Bid.m_Workspace);
  const std::size_t OwnCount =
      Own == Target.m_Flows.end() ? 0 : Own->second.m_Queue.size();
  if ((OwnCount + 1) * Target.m_ReadyFlows.size() > Target.m_ByDeadline.size())
    return false;
  Flow *Longest = longestFlow(Target);
  if (Longest == nullptr || Longest->m_Queue.size() <= OwnCount + 1)
    return false;
  Request &Last = *Longest->m_Queue.rbegin();
  if (Last.m_WaitsUntilLimit)
    return false;
  refuseWaiting(P, Last, RefusalReason::QueueFull, retryAfter(P, New.m_Class));
  return true;
}

/// Refuses a waiting bid of the least urgent tier, if that is less urgent than
/// the new bid's. Returns whether it did.
bool displace(Pool &P, const Arrival &New) {
  for (auto It = P.m_Queue.tiers().rbegin(); It != P.m_Queue.tiers().rend();
       ++It) {
    if (It->first <= New.m_Class.m_Tier->m_Number)
      return false;
    for (ClassState *Class : It->second.m_Classes)
      for (Lane *L : {&Class->m_Late, &Class->m_OnTime})
        if (!L->m_ByDeadline.empty()) {
          refuseWaiting(P, *L->m_ByDeadline.rbegin(), RefusalReason::Displaced,
                        retryAfter(P, *Class));
          return true;
        }
  }
  return false;
}

CheckResult checkQueue(Pool &P, const Arrival &New) {
  const std::uint32_t Limit = New.m_Class.m_Contract.m_MaxQueue;
  const bool IsFull = Limit != 0 && New.m_Class.waitingCount() >= Limit;
  if (IsFull && !makeRoom(P, New))
    return {RefusalReason::QueueFull, retryAfter(P, New.m_Class)};
  if (P.m_Queue.size() >= tuning::MaxWaiting && !displace(P, New))
    return {RefusalReason::QueueFull, retryAfter(P, New.m_Class)};
  return {};
}

/// Refuses a bid that would have to wait beyond its limit. The estimates count
/// the slots that preemption can free, so none of these could serve a refused
/// bid: the bids before it would take them all. Work of lower tiers beyond
/// their floors is stopped first.
CheckResult checkWait(Pool &P, const Arrival &New) {
  if (P.isBaseline() || P.isRebuilding() || New.m_Bid.m_DoneTokens > 0)
    return {};
  const ClassState &Class = New.m_Class;
  const Duration OnTime = estimateOnTimeWait(P, Class, New.m_Bid.m_Workspace);
  const Duration Safe =
      fromSeconds(tuning::WaitSafetyFactor * toSeconds(OnTime));
  if (Safe + Class.m_Allowance <= New.m_Bid.m_UntilTarget)
    return {};
  const Duration Late = estimateLateWait(P, Class);
  if (Late <= New.m_Bid.m_UntilLimit || preemptAboveFloor(P, Class))
    return {};
  return {RefusalReason::TargetUnreachable, Late - New.m_Bid.m_UntilLimit};
}

CheckResult checkBid(Pool &P, const Arrival &New) {
  if (P.m_KnowsUpstreams && !P.isRebuilding() &&
      !hasUsableUpstream(New.m_Class))
    return {RefusalReason::NoUpstream, tuning::DefaultRetryAfter};
  if (New.m_IsExempt)
    return {};
  if (New.m_Bid.m_IsRetry) {
    if (!New.m_Class.m_RetryBudget.trySpend())
      return {RefusalReason::RetryBudget, tuning::DefaultRetryAfter};
  } else if (const CheckResult Result = checkBuckets(P, New);
             Result.m_Reason != RefusalReason::None) {
    return Result;
  }
  New.m_Class.m_ArrivalRate.add(P.m_Now);
  if (const CheckResult Result = checkWait(P, New);
      Result.m_Reason != RefusalReason::None)
    return Result;
  return checkQueue(P, New);
}

void chargeLimits(Pool &P, const Arrival &New) {
  const bool IsFirst = !New.m_IsExempt && !New.m_Bid.m_IsRetry;
  if (IsFirst) {
    New.m_Class.m_RateLimit.take(1.0, P.m_Now);
    New.m_Use.m_RateLimit.take(1.0, P.m_Now);
    New.m_Class.m_RetryBudget.earn(New.m_Class.m_Contract.m_RetryPercent);
  }
  New.m_Class.m_TokenLimit.take(New.m_Tokens, P.m_Now);
  New.m_Use.m_TokenLimit.take(New.m_Tokens, P.m_Now);
}

void enqueue(Pool &P, const Arrival &New) {
  const Bid &NewBid = New.m_Bid;
  Request &Added = P.m_Requests[NewBid.m_Request];
  Added.m_Bid = NewBid;
  Added.m_ArrivalNumber = P.m_NextArrivalNumber++;
  Added.m_Class = &New.m_Class;
  Added.m_State = RequestState::Waiting;
  Added.m_ReservedTokens = New.m_Tokens;
  Added.m_Preemptions = New.m_Preemptions;
  Added.m_WaitsUntilLimit = New.m_IsExempt || NewBid.m_DoneTokens > 0;
  Added.m_Limit = P.m_Now + NewBid.m_UntilLimit;
  // A caller that has tokens already does not wait for the first one: the rest
  // of its answer goes to the head of its workspace's flow.
  const bool HasTarget = NewBid.m_DoneTokens == 0 && !P.isBaseline();
  const TimePoint Target = P.m_Now + NewBid.m_UntilTarget;
  Added.m_FlowKey = HasTarget ? Target : P.m_Now;
  Added.m_Deadline =
      HasTarget ? std::min(Target, Added.m_Limit) : Added.m_Limit;
  P.m_Queue.push(Added, false);
}

/// Tells whether \p Repeated was sent twice for the running attempt, and is not
/// a bid for the next attempt after an end that was not reported.
bool isSameAttempt(const Request &Known, const Bid &Repeated) {
  return Known.m_Bid.m_IsRetry == Repeated.m_IsRetry &&
         Known.m_Bid.m_Avoid == Repeated.m_Avoid &&
         Known.m_Bid.m_DoneTokens == Repeated.m_DoneTokens;
}

/// Handles a bid with a known id; returns true if nothing is left to do.
bool handleKnown(Pool &P, Request &Known, const Bid &Repeated) {
  switch (Known.m_State) {
  case RequestState::Waiting:
    return true;
  case RequestState::Granted:
    if (isSameAttempt(Known, Repeated)) {
      resendGrant(P, Known);
      return true;
    }
    abandon(P, Known);
    return false;
  case RequestState::AwaitingRebid:
    return false;
  }
  return false;
}

} // namespace

RefusalReason lateRefusalReason(const Request &Waiting) {
  const ClassState &Class = *Waiting.m_Class;
  if (!hasUsableUpstream(Class))
    return RefusalReason::NoUpstream;
  const std::uint32_t Limit = Class.m_Contract.m_MaxConcurrent;
  if (Limit != 0 && Class.m_Running >= Limit)
    return RefusalReason::ClassConcurrency;
  if (Waiting.m_Flow != nullptr && Waiting.m_Flow->m_Blocked)
    return RefusalReason::WorkspaceConcurrency;
  return RefusalReason::TargetUnreachable;
}

Duration retryAfter(const Pool &P, const ClassState &Class) {
  const Duration Wait = estimateLateWait(P, Class);
  return std::max(Wait - Class.m_Contract.m_TotalLimit, tuning::MinRetryAfter);
}

void admit(Pool &P, const Bid &NewBid) {
  std::uint8_t Preemptions = 0;
  bool IsExempt = false;
  if (const auto At = P.m_Requests.find(NewBid.m_Request);
      At != P.m_Requests.end()) {
    if (handleKnown(P, At->second, NewBid))
      return;
  }
  if (const auto At = P.m_Requests.find(NewBid.m_Request);
      At != P.m_Requests.end()) {
    IsExempt = true;
    Preemptions = At->second.m_Preemptions;
    P.m_Requests.erase(At);
  }
  ClassState *Class = P.m_Queue.find(NewBid.m_Class);
  if (Class == nullptr)
    return refuse(P, NewBid.m_Request, RefusalReason::UnknownClass, {});
  if (Class->m_Tier == nullptr)
    return refuse(P, NewBid.m_Request, RefusalReason::NoUpstream, {});
  const double Tokens =
      static_cast<double>(expectedTokens(*Class, NewBid, P.m_Now));
  WorkspaceUsage &Use = Class->usageOf(NewBid.m_Workspace, P.m_Now);
  const Arrival New{NewBid, *Class, Use, IsExempt, Tokens, Preemptions};
  const CheckResult Result = checkBid(P, New);
  if (Result.m_Reason != RefusalReason::None)
    return refuse(P, NewBid.m_Request, Result.m_Reason, Result.m_RetryAfter);
  chargeLimits(P, New);
  enqueue(P, New);
}

} // namespace crowstep::decision
