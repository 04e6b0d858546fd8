/// Targets, limits and expired grants.
#include "decision/expiry_func.h"

#include "decision/admission_func.h"
#include "decision/estimate_func.h"
#include "decision/floor_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"
#include "decision/work_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

void freeSilentGrants(Pool &P) {
  while (!P.m_SilenceDeadlines.empty() &&
         P.m_SilenceDeadlines.begin()->first <= P.m_Now)
    abandon(P, P.m_Requests.at(P.m_SilenceDeadlines.begin()->second));
}

void forgetAwaitingRebid(Pool &P) {
  while (!P.m_AwaitingRebid.empty() &&
         P.m_AwaitingRebid.front().first + tuning::RebidWindow <= P.m_Now) {
    const auto [Since, Id] = P.m_AwaitingRebid.front();
    P.m_AwaitingRebid.pop_front();
    const auto It = P.m_Requests.find(Id);
    if (It != P.m_Requests.end() &&
        It->second.m_State == RequestState::AwaitingRebid &&
        It->second.m_StateSince == Since)
      P.m_Requests.erase(It);
  }
}

void refuseLate(Pool &P, Request &Waiting) {
  refuseWaiting(P, Waiting, lateRefusalReason(Waiting),
                retryAfter(P, *Waiting.m_Class));
}

void refuseAtLimit(Pool &P, Lane &L) {
  while (!L.m_ByDeadline.empty() && L.m_ByDeadline.begin()->m_Limit <= P.m_Now)
    refuseLate(P, *L.m_ByDeadline.begin());
}

/// Tells whether a late bid can still be served before its limit.
bool canMeetLimit(Pool &P, const Request &Late) {
  if (Late.m_WaitsUntilLimit || P.isRebuilding())
    return true;
  return P.m_Now + estimateLateWait(P, *Late.m_Class) <= Late.m_Limit ||
         preemptAboveFloor(P, *Late.m_Class);
}

void moveLate(Pool &P, ClassState &Class) {
  DeadlineQueue &Queue = Class.m_OnTime.m_ByDeadline;
  const Duration Allowance = Class.m_Allowance;
  while (!Queue.empty() && Queue.begin()->m_Deadline - Allowance <= P.m_Now) {
    Request &Late = *Queue.begin();
    if (!canMeetLimit(P, Late)) {
      refuseLate(P, Late);
      continue;
    }
    P.m_Queue.remove(Late);
    Late.m_Deadline = Late.m_Limit;
    P.m_Queue.push(Late, true);
  }
}

/// The earliest of the added times that lie in the future.
class Earliest {
public:
  explicit Earliest(TimePoint Now) : m_Now(Now) {}

  void add(TimePoint Time) {
    if (Time > m_Now)
      m_Found = std::min(m_Found, Time);
  }
  [[nodiscard]] std::optional<TimePoint> found() const {
    if (m_Found == TimePoint::max())
      return std::nullopt;
    return m_Found;
  }

private:
  TimePoint m_Now;                      ///< Only later times count.
  TimePoint m_Found = TimePoint::max(); ///< TimePoint::max() if there is none.
};

void addClassTimes(Earliest &Next, const Pool &P, const ClassState &Class) {
  if (!Class.m_OnTime.m_ByDeadline.empty()) {
    const Request &First = *Class.m_OnTime.m_ByDeadline.begin();
    Next.add(First.m_Limit);
    Next.add(First.m_Deadline - Class.m_Allowance);
  }
  if (!Class.m_Late.m_ByDeadline.empty())
    Next.add(Class.m_Late.m_ByDeadline.begin()->m_Limit);
  if (P.isBaseline())
    return;
  if (const auto Check = nextPreemptionCheck(P, Class))
    Next.add(*Check);
}

/// While bids wait, an upstream that is paused, ejected, draining or loaded by
/// others may become available without an event.
void addUpstreamTimes(Earliest &Next, const Pool &P) {
  for (const auto &[Id, State] : P.m_Fleet.upstreams()) {
    if (State.m_IsDraining)
      Next.add(State.m_DrainingSince + tuning::DrainingHoldTime);
    if (!State.isUsable())
      continue;
    Next.add(State.m_BackoffUntil);
    Next.add(State.m_ExternalLoadExpiry);
    if (!State.m_Ejected)
      continue;
    Next.add(State.m_NextProbe);
    Next.add(State.m_LastProbe + tuning::ProbeByAnyAfter);
  }
}

} // namespace

void expire(Pool &P) {
  freeSilentGrants(P);
  forgetAwaitingRebid(P);
  expireStopOrders(P);
  if (P.m_Fleet.expireDraining(P.m_Now))
    updateFloors(P);
  for (ClassState *Class : P.m_Queue.classes()) {
    refuseAtLimit(P, Class->m_Late);
    if (P.isBaseline())
      refuseAtLimit(P, Class->m_OnTime);
    else
      moveLate(P, *Class);
    refuseAtLimit(P, Class->m_Late);
  }
}

std::optional<TimePoint> nextTimeout(const Pool &P) {
  Earliest Next(P.m_Now);
  if (!P.m_SilenceDeadlines.empty())
    Next.add(P.m_SilenceDeadlines.begin()->first);
  if (!P.m_AwaitingRebid.empty())
    Next.add(P.m_AwaitingRebid.front().first + tuning::RebidWindow);
  if (!P.m_StopOrders.empty())
    Next.add(P.m_StopOrders.front().first + tuning::StopOrderTimeout);
  if (P.m_Queue.size() == 0)
    return Next.found();
  if (P.isRebuilding())
    Next.add(P.m_RebuildUntil);
  for (const ClassState *Class : P.m_Queue.classes())
    addClassTimes(Next, P, *Class);
  addUpstreamTimes(Next, P);
  return Next.found();
}

} // namespace crowstep::decision
