/// Targets, limits and lapses.
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

void freeLapsed(Pool &In) {
  while (!In.m_Lapses.empty() && In.m_Lapses.begin()->first <= In.m_Now)
    abandon(In, In.m_Requests.at(In.m_Lapses.begin()->second));
}

void forgetReturning(Pool &In) {
  while (!In.m_Returning.empty() &&
         In.m_Returning.front().first + tuning::ReturnWindow <= In.m_Now) {
    const auto [Since, Id] = In.m_Returning.front();
    In.m_Returning.pop_front();
    const auto At = In.m_Requests.find(Id);
    if (At != In.m_Requests.end() &&
        At->second.m_State == RequestState::Returning &&
        At->second.m_Since == Since)
      In.m_Requests.erase(At);
  }
}

void refuseLate(Pool &In, Request &Waiting) {
  refuseWaiting(In, Waiting, lateReason(Waiting),
                comeBackAfter(In, *Waiting.m_Class));
}

void refuseAtLimit(Pool &In, Lane &Of) {
  while (!Of.m_ByDeadline.empty() &&
         Of.m_ByDeadline.begin()->m_Limit <= In.m_Now)
    refuseLate(In, *Of.m_ByDeadline.begin());
}

/// Tells whether a bid that is late now can still be served before its limit.
bool isWorthWaiting(Pool &In, const Request &Late) {
  if (Late.m_IsKept || In.isRebuilding())
    return true;
  return In.m_Now + waitLate(In, *Late.m_Class) <= Late.m_Limit ||
         stopAboveFloor(In, *Late.m_Class);
}

void moveLate(Pool &In, ClassState &Class) {
  DeadlineQueue &Queue = Class.m_OnTime.m_ByDeadline;
  const Duration Allowance = Class.m_Allowance;
  while (!Queue.empty() && Queue.begin()->m_Deadline - Allowance <= In.m_Now) {
    Request &Late = *Queue.begin();
    if (!isWorthWaiting(In, Late)) {
      refuseLate(In, Late);
      continue;
    }
    In.m_Queue.remove(Late);
    Late.m_Deadline = Late.m_Limit;
    In.m_Queue.push(Late, true);
  }
}

/// Keeps the earliest of the times that lie ahead.
class Earliest {
public:
  explicit Earliest(TimePoint Now) : m_Now(Now) {}

  void add(TimePoint When) {
    if (When > m_Now)
      m_Found = std::min(m_Found, When);
  }
  [[nodiscard]] std::optional<TimePoint> found() const {
    if (m_Found == TimePoint::max())
      return std::nullopt;
    return m_Found;
  }

private:
  TimePoint m_Now;                      ///< Only later times count.
  TimePoint m_Found = TimePoint::max(); ///< The earliest; max(): none.
};

void addClass(Earliest &Next, const Pool &In, const ClassState &Class) {
  if (!Class.m_OnTime.m_ByDeadline.empty()) {
    const Request &First = *Class.m_OnTime.m_ByDeadline.begin();
    Next.add(First.m_Limit);
    Next.add(First.m_Deadline - Class.m_Allowance);
  }
  if (!Class.m_Late.m_ByDeadline.empty())
    Next.add(Class.m_Late.m_ByDeadline.begin()->m_Limit);
  if (In.isBaseline())
    return;
  if (const auto Check = nextPreemptionCheck(In, Class))
    Next.add(*Check);
}

/// While bids wait, an upstream that is paused, probed or loaded by others may
/// come back without any event.
void addUpstreams(Earliest &Next, const Pool &In) {
  for (const auto &[Id, One] : In.m_Fleet.all()) {
    if (One.m_SaysLeaving)
      Next.add(One.m_LeavingSince + tuning::LeavingMemory);
    if (!One.isUsable())
      continue;
    Next.add(One.m_BackoffUntil);
    Next.add(One.m_ExternalUntil);
    if (!One.m_Ejected)
      continue;
    Next.add(One.m_NextProbe);
    Next.add(One.m_LastProbe + tuning::ProbeByAnyAfter);
  }
}

} // namespace

void expire(Pool &In) {
  freeLapsed(In);
  forgetReturning(In);
  repeatStops(In);
  if (In.m_Fleet.forgetLeaving(In.m_Now))
    updateFloors(In);
  for (ClassState *Class : In.m_Queue.classes()) {
    refuseAtLimit(In, Class->m_Late);
    if (In.isBaseline())
      refuseAtLimit(In, Class->m_OnTime);
    else
      moveLate(In, *Class);
    refuseAtLimit(In, Class->m_Late);
  }
}

std::optional<TimePoint> nextDue(const Pool &In) {
  Earliest Next(In.m_Now);
  if (!In.m_Lapses.empty())
    Next.add(In.m_Lapses.begin()->first);
  if (!In.m_Returning.empty())
    Next.add(In.m_Returning.front().first + tuning::ReturnWindow);
  if (!In.m_Stopping.empty())
    Next.add(In.m_Stopping.front().first + tuning::PreemptPatience);
  if (In.m_Queue.size() == 0)
    return Next.found();
  if (In.isRebuilding())
    Next.add(In.m_RebuildUntil);
  for (const ClassState *Class : In.m_Queue.classes())
    addClass(Next, In, *Class);
  addUpstreams(Next, In);
  return Next.found();
}

} // namespace crowstep::decision
