/// Floor shares and their debts.
#include "decision/floor_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

Duration slackOf(const Pool &In, const Request &Waiting) {
  const Duration Allowance =
      isLate(Waiting) ? Duration::zero() : Waiting.m_Class->m_Allowance;
  return Waiting.m_Deadline - Allowance - In.m_Now;
}

/// Tells whether the first and the last of \p Queue still get slots in time
/// from those that come free without taking any back, when \p Bids stand
/// before the last; and with time left to take one back if that fails.
bool canSpareSlot(const Pool &In, const ClassState &Class,
                  const DeadlineQueue &Queue, double Bids) {
  if (Queue.empty())
    return true;
  const double Rate = tuning::FloorTrust * freeRate(Class);
  if (Rate <= 0.0)
    return false;
  const Duration Reserve = In.m_StopLead + tuning::FloorMargin;
  return slackOf(In, *Queue.begin()) >= fromSeconds(1.0 / Rate) + Reserve &&
         slackOf(In, *Queue.rbegin()) >= fromSeconds(Bids / Rate) + Reserve;
}

bool canSpareSlot(const Pool &In, const ClassState &Class, double Bids) {
  return canSpareSlot(In, Class, Class.m_OnTime.m_ByDeadline, Bids) &&
         canSpareSlot(In, Class, Class.m_Late.m_ByDeadline, Bids);
}

/// A slot may be given ahead of a tier's bids when the tier is overloaded and
/// what it was admitted still keeps its targets.
bool isHarmless(const Pool &In, const ClassState &Owed) {
  double Bids = 0.0;
  for (const auto &[Number, Tier] : In.m_Queue.tiers()) {
    if (Number >= Owed.m_Tier->m_Number)
      break;
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    for (const ClassState *Class : Tier.m_Classes)
      if (Class->demand() > 0 && hasPlace(In, *Class) &&
          !(isOverloaded(*Class) && canSpareSlot(In, *Class, Bids)))
        return false;
  }
  return true;
}

} // namespace

void updateOffered(Pool &In) {
  // Rates change over tens of seconds; working them out for each event would
  // cost more than the rest of the decision.
  if (In.m_Now < In.m_OfferedUntil)
    return;
  In.m_OfferedUntil = In.m_Now + tuning::OfferedLifetime;
  double Sum = 0.0;
  for (auto &[Number, Tier] : In.m_Queue.tiers()) {
    Tier.m_Offered = 0.0;
    for (const ClassState *Class : Tier.m_Classes)
      Tier.m_Offered +=
          Class->m_Offered.perSecond(In.m_Now) * Class->serviceSeconds();
    Sum += Tier.m_Offered;
    Tier.m_OfferedTo = Sum;
  }
}

bool isOverloaded(const ClassState &Class) {
  return Class.m_Tier->m_OfferedTo >= tuning::Overload * Class.m_Slots;
}

void updateFloors(Pool &In) {
  double Weights = 0.0;
  for (const ClassState *Class : In.m_Queue.classes())
    Weights += static_cast<double>(Class->m_Contract.m_Weight);
  for (ClassState *Class : In.m_Queue.classes()) {
    In.m_Fleet.updateClass(*Class);
    const auto Weight = static_cast<double>(Class->m_Contract.m_Weight);
    Class->m_FloorSlots = Weights > 0.0 ? Class->m_Slots * Weight / Weights : 0;
  }
}

void accrueFloors(Pool &In, Duration Elapsed) {
  const double Seconds = toSeconds(Elapsed);
  if (Seconds <= 0.0)
    return;
  for (ClassState *Class : In.m_Queue.classes()) {
    // Without waiting bids nothing is owed: the class has what it asked for.
    if (Class->demand() == 0) {
      Class->m_Debt = 0.0;
      continue;
    }
    const double Short =
        Class->m_FloorSlots - static_cast<double>(Class->m_Running);
    Class->m_Debt = std::clamp(Class->m_Debt + Short * Seconds, 0.0,
                               tuning::FloorSeconds * Class->m_FloorSlots);
  }
}

ClassState *owedClass(const Pool &In) {
  if (In.isBaseline())
    return nullptr;
  const bool IsPaused = In.m_Stats.m_Preempted > 0 &&
                        In.m_Now < In.m_LastStop + tuning::FloorPause;
  if (IsPaused)
    return nullptr;
  ClassState *Best = nullptr;
  double Longest = 0.0;
  for (ClassState *Class : In.m_Queue.classes()) {
    const auto Running = static_cast<double>(Class->m_Running);
    if (Class->m_Debt <= 0.0 || Class->demand() == 0 ||
        Running >= Class->floorNow())
      continue;
    const double Behind = Class->m_Debt / Class->m_FloorSlots;
    if (Behind <= Longest || !hasPlace(In, *Class) || !isHarmless(In, *Class))
      continue;
    Best = Class;
    Longest = Behind;
  }
  return Best;
}

} // namespace crowstep::decision
