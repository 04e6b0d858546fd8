/// Floor shares and their debts.
#include "decision/floor_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// Tells whether the first and the last bid of a lane still get slots in time
/// from those that come free without taking any back, when \p Bids stand
/// before the last; and with time left to take one back if that fails.
bool canSpareSlot(const Pool &In, const ClassState &Class, const Lane &Of,
                  double Bids) {
  if (Of.m_ByDeadline.empty())
    return true;
  const double Rate = tuning::FloorTrust * freeRate(In, Class);
  if (Rate <= 0.0)
    return false;
  const Duration Reserve =
      In.m_StopLead + tuning::FloorMargin + Class.allowanceOf(Of);
  const TimePoint First = Of.m_ByDeadline.begin()->m_Deadline;
  const TimePoint Last = Of.m_ByDeadline.rbegin()->m_Deadline;
  return First - In.m_Now >= fromSeconds(1.0 / Rate) + Reserve &&
         Last - In.m_Now >= fromSeconds(Bids / Rate) + Reserve;
}

bool canSpareSlot(const Pool &In, const ClassState &Class, double Bids) {
  return canSpareSlot(In, Class, Class.m_OnTime, Bids) &&
         canSpareSlot(In, Class, Class.m_Late, Bids);
}

/// Tells whether a free slot may go to lower tiers ahead of this one's bids:
/// it is overloaded, and what it was admitted still keeps its targets.
bool letsPass(const Pool &In, const Tier &Of, double Bids) {
  return std::all_of(
      Of.m_Classes.begin(), Of.m_Classes.end(), [&](const ClassState *Class) {
        if (Class->demand() == 0 || !hasPlace(In, *Class))
          return true;
        return isOverloaded(*Class) && canSpareSlot(In, *Class, Bids);
      });
}

/// Seconds of its floor that a class is behind, or 0 when nothing is owed.
double secondsBehind(const ClassState &Class) {
  const auto Running = static_cast<double>(Class.m_Running);
  if (Class.m_Debt <= 0.0 || Class.demand() == 0 || Running >= Class.floorNow())
    return 0.0;
  return Class.m_Debt / Class.m_FloorSlots;
}

/// Returns the least urgent tier that is owed; 0: none.
std::uint8_t lastOwedTier(const Pool &In) {
  std::uint8_t Last = 0;
  for (const ClassState *Class : In.m_Queue.classes())
    if (Class->m_Tier->m_Number > Last && secondsBehind(*Class) > 0.0)
      Last = Class->m_Tier->m_Number;
  return Last;
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
  const bool IsPaused = In.m_Stats.m_Preempted > 0 &&
                        In.m_Now < In.m_LastStop + tuning::FloorPause;
  const std::uint8_t Last = lastOwedTier(In);
  if (In.isBaseline() || IsPaused)
    return nullptr;
  ClassState *Best = nullptr;
  double Longest = 0.0;
  double Bids = 0.0;
  for (const auto &[Number, Tier] : In.m_Queue.tiers()) {
    if (Number > Last)
      break;
    // Without bids before it a tier needs no floor: it is the next to serve.
    for (ClassState *Class : Tier.m_Classes) {
      const double Behind = Bids > 0.0 ? secondsBehind(*Class) : 0.0;
      if (Behind <= Longest || !hasPlace(In, *Class))
        continue;
      Best = Class;
      Longest = Behind;
    }
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    if (Number == Last || !letsPass(In, Tier, Bids))
      break;
  }
  return Best;
}

} // namespace crowstep::decision
