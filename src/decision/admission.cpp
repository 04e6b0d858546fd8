/// Admission of bids.
#include "decision/admission_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"
#include "decision/work_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// A bid on its way in.
struct Arrival {
  const Bid &m_Bid;           ///< As sent.
  ClassState &m_Class;        ///< Its row; part of the pool.
  WorkspaceUse &m_Use;        ///< Its workspace's account in the class.
  bool m_IsFree;              ///< Bids again by our doing.
  double m_Tokens;            ///< Output to reserve.
  std::uint8_t m_Preemptions; ///< Carried over.
};

/// A limit that stands against a bid.
struct Verdict {
  RefusalReason m_Reason = RefusalReason::None; ///< None: taken in.
  Duration m_RetryAfter{};                      ///< As in Refuse.
};

Verdict checkBuckets(const Pool &In, const Arrival &New) {
  const TimePoint Now = In.m_Now;
  const ClassState &Class = New.m_Class;
  if (!Class.m_Rate.has(1.0, Now))
    return {RefusalReason::ClassRate, Class.m_Rate.until(1.0, Now)};
  if (!New.m_Use.m_Rate.has(1.0, Now))
    return {RefusalReason::WorkspaceRate, New.m_Use.m_Rate.until(1.0, Now)};
  if (!Class.m_Tokens.has(New.m_Tokens, Now))
    return {RefusalReason::ClassTokens,
            Class.m_Tokens.until(New.m_Tokens, Now)};
  if (!New.m_Use.m_Tokens.has(New.m_Tokens, Now))
    return {RefusalReason::WorkspaceTokens,
            New.m_Use.m_Tokens.until(New.m_Tokens, Now)};
  return {};
}

Flow *longestFlow(Lane &Of) {
  Flow *Longest = nullptr;
  for (auto &[Workspace, One] : Of.m_Flows)
    if (!One.m_Queue.empty() &&
        (Longest == nullptr ||
         std::pair(One.m_Queue.size(), Workspace) >
             std::pair(Longest->m_Queue.size(), Longest->m_Workspace)))
      Longest = &One;
  return Longest;
}

/// Refuses the last bid of the workspace that has most of a full queue, unless
/// that is the newcomer's. Else one workspace's flood would fill the queue and
/// every other one's bids would be refused at its door.
bool makeRoom(Pool &In, const Arrival &New) {
  Lane &Of = New.m_Class.m_OnTime.m_ByDeadline.empty() ? New.m_Class.m_Late
                                                       : New.m_Class.m_OnTime;
  const auto Own = Of.m_Flows.find(New.m_Bid.m_Workspace);
  const std::size_t Mine =
      Own == Of.m_Flows.end() ? 0 : Own->second.m_Queue.size();
  if ((Mine + 1) * Of.m_Ready.size() > Of.m_ByDeadline.size())
    return false;
  Flow *Longest = longestFlow(Of);
  if (Longest == nullptr || Longest->m_Queue.size() <= Mine + 1)
    return false;
  Request &Last = *Longest->m_Queue.rbegin();
  if (Last.m_IsKept)
    return false;
  refuseWaiting(In, Last, RefusalReason::QueueFull,
                comeBackAfter(In, New.m_Class));
  return true;
}

/// Refuses a waiting bid of the least urgent tier, if that is less urgent than
/// the newcomer's.
bool displace(Pool &In, const Arrival &New) {
  for (auto At = In.m_Queue.tiers().rbegin(); At != In.m_Queue.tiers().rend();
       ++At) {
    if (At->first <= New.m_Class.m_Tier->m_Number)
      return false;
    for (ClassState *Class : At->second.m_Classes)
      for (Lane *Of : {&Class->m_Late, &Class->m_OnTime})
        if (!Of->m_ByDeadline.empty()) {
          refuseWaiting(In, *Of->m_ByDeadline.rbegin(),
                        RefusalReason::Displaced, comeBackAfter(In, *Class));
          return true;
        }
  }
  return false;
}

Verdict checkQueue(Pool &In, const Arrival &New) {
  const std::uint32_t Limit = New.m_Class.m_Contract.m_MaxQueue;
  const bool IsFull = Limit != 0 && New.m_Class.waiting() >= Limit;
  if (IsFull && !makeRoom(In, New))
    return {RefusalReason::QueueFull, comeBackAfter(In, New.m_Class)};
  if (In.m_Queue.size() >= tuning::MaxWaiting && !displace(In, New))
    return {RefusalReason::QueueFull, comeBackAfter(In, New.m_Class)};
  return {};
}

/// Refuses a bid that would be late beyond its limit. The estimates count the
/// slots that can be taken back from lower tiers, so what is refused could not
/// be served by any of them: bids ahead of it would take them all. What lower
/// tiers hold beyond their floors is taken back first.
Verdict checkWait(Pool &In, const Arrival &New) {
  if (In.isBaseline() || In.isRebuilding() || New.m_Bid.m_DoneTokens > 0)
    return {};
  const ClassState &Class = New.m_Class;
  const Duration OnTime = waitOnTime(In, Class, New.m_Bid.m_Workspace);
  const Duration Safe = fromSeconds(tuning::WaitSafety * toSeconds(OnTime));
  if (Safe + Class.m_Allowance <= New.m_Bid.m_UntilTarget)
    return {};
  const Duration Late = waitLate(In, Class);
  if (Late <= New.m_Bid.m_UntilLimit || stopAboveFloor(In, Class))
    return {};
  return {RefusalReason::TargetUnreachable, Late - New.m_Bid.m_UntilLimit};
}

Verdict judge(Pool &In, const Arrival &New) {
  if (In.m_KnowsUpstreams && !In.isRebuilding() && !hasUpstream(New.m_Class))
    return {RefusalReason::NoUpstream, tuning::NoUpstreamRetryAfter};
  if (New.m_IsFree)
    return {};
  if (New.m_Bid.m_IsRetry) {
    if (!New.m_Class.m_Retries.spend())
      return {RefusalReason::RetryBudget, tuning::NoUpstreamRetryAfter};
  } else if (const Verdict Found = checkBuckets(In, New);
             Found.m_Reason != RefusalReason::None) {
    return Found;
  }
  New.m_Class.m_Offered.add(In.m_Now);
  if (const Verdict Found = checkWait(In, New);
      Found.m_Reason != RefusalReason::None)
    return Found;
  return checkQueue(In, New);
}

void chargeLimits(Pool &In, const Arrival &New) {
  const bool IsFirst = !New.m_IsFree && !New.m_Bid.m_IsRetry;
  if (IsFirst) {
    New.m_Class.m_Rate.take(1.0, In.m_Now);
    New.m_Use.m_Rate.take(1.0, In.m_Now);
    New.m_Class.m_Retries.earn(New.m_Class.m_Contract.m_RetryPercent);
  }
  New.m_Class.m_Tokens.take(New.m_Tokens, In.m_Now);
  New.m_Use.m_Tokens.take(New.m_Tokens, In.m_Now);
}

void enqueue(Pool &In, const Arrival &New) {
  const Bid &Asked = New.m_Bid;
  Request &Made = In.m_Requests[Asked.m_Request];
  Made.m_Bid = Asked;
  Made.m_Order = In.m_NextOrder++;
  Made.m_Class = &New.m_Class;
  Made.m_State = RequestState::Waiting;
  Made.m_Reserved = New.m_Tokens;
  Made.m_Preemptions = New.m_Preemptions;
  Made.m_IsKept = New.m_IsFree || Asked.m_DoneTokens > 0;
  Made.m_Limit = In.m_Now + Asked.m_UntilLimit;
  // A caller that has tokens already waits for no first one: its rest goes to
  // the head of its workspace's flow.
  const bool HasTarget = Asked.m_DoneTokens == 0 && !In.isBaseline();
  const TimePoint Target = In.m_Now + Asked.m_UntilTarget;
  Made.m_FlowKey = HasTarget ? Target : In.m_Now;
  Made.m_Deadline = HasTarget ? std::min(Target, Made.m_Limit) : Made.m_Limit;
  In.m_Queue.push(Made, false);
}

/// Tells whether \p Again is the bid of the running attempt, sent twice, and
/// not one for a next attempt whose end was not heard.
bool isSameAttempt(const Request &Known, const Bid &Again) {
  return Known.m_Bid.m_IsRetry == Again.m_IsRetry &&
         Known.m_Bid.m_Avoid == Again.m_Avoid &&
         Known.m_Bid.m_DoneTokens == Again.m_DoneTokens;
}

/// Handles a bid whose id is known; returns true when that was all.
bool answerKnown(Pool &In, Request &Known, const Bid &Again) {
  switch (Known.m_State) {
  case RequestState::Waiting:
    return true;
  case RequestState::Granted:
    if (isSameAttempt(Known, Again)) {
      grantAgain(In, Known);
      return true;
    }
    abandon(In, Known);
    return false;
  case RequestState::Returning:
    return false;
  }
  return false;
}

} // namespace

RefusalReason lateReason(const Request &Waiting) {
  const ClassState &Class = *Waiting.m_Class;
  if (!hasUpstream(Class))
    return RefusalReason::NoUpstream;
  const std::uint32_t Limit = Class.m_Contract.m_MaxConcurrent;
  if (Limit != 0 && Class.m_Running >= Limit)
    return RefusalReason::ClassConcurrency;
  if (Waiting.m_Flow != nullptr && Waiting.m_Flow->m_Blocked)
    return RefusalReason::WorkspaceConcurrency;
  return RefusalReason::TargetUnreachable;
}

Duration comeBackAfter(const Pool &In, const ClassState &Class) {
  const Duration Wait = waitLate(In, Class);
  return std::max(Wait - Class.m_Contract.m_TotalLimit, tuning::MinRetryAfter);
}

void admit(Pool &In, const Bid &Asked) {
  std::uint8_t Preemptions = 0;
  bool IsFree = false;
  if (const auto At = In.m_Requests.find(Asked.m_Request);
      At != In.m_Requests.end()) {
    if (answerKnown(In, At->second, Asked))
      return;
  }
  if (const auto At = In.m_Requests.find(Asked.m_Request);
      At != In.m_Requests.end()) {
    IsFree = true;
    Preemptions = At->second.m_Preemptions;
    In.m_Requests.erase(At);
  }
  ClassState *Class = In.m_Queue.find(Asked.m_Class);
  if (Class == nullptr)
    return refuse(In, Asked.m_Request, RefusalReason::UnknownClass, {});
  if (Class->m_Tier == nullptr)
    return refuse(In, Asked.m_Request, RefusalReason::NoUpstream, {});
  const double Tokens =
      static_cast<double>(expectedTokens(*Class, Asked, In.m_Now));
  WorkspaceUse &Use = Class->useOf(Asked.m_Workspace, In.m_Now);
  const Arrival New{Asked, *Class, Use, IsFree, Tokens, Preemptions};
  const Verdict Found = judge(In, New);
  if (Found.m_Reason != RefusalReason::None)
    return refuse(In, Asked.m_Request, Found.m_Reason, Found.m_RetryAfter);
  chargeLimits(In, New);
  enqueue(In, New);
}

} // namespace crowstep::decision
