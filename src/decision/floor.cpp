/// Floor shares and their debts.
#include "decision/floor_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

Duration slackOf(const Pool &In, const ClassState &Class) {
  Duration Least = Duration::max();
  if (!Class.m_OnTime.m_ByDeadline.empty())
    Least = Class.m_OnTime.m_ByDeadline.begin()->m_Deadline -
            Class.firstTokenAllowance() - In.m_Now;
  if (!Class.m_Late.m_ByDeadline.empty())
    Least = std::min(Least,
                     Class.m_Late.m_ByDeadline.begin()->m_Deadline - In.m_Now);
  return Least;
}

/// Tells whether all waiting bids of \p Class can still be served in time when
/// the free slot goes to a lower tier: by slots that come free without taking
/// any back, and with time left to take one back if that fails.
bool canSpareSlot(const Pool &In, const ClassState &Class, double Bids) {
  const double Rate = tuning::FreeRateTrust * freeRate(Class);
  if (Rate <= 0.0)
    return false;
  const Duration Needed =
      fromSeconds(Bids / Rate) + stopLead(In) + tuning::FloorMargin;
  return slackOf(In, Class) >= Needed;
}

bool isHarmless(const Pool &In, const ClassState &Owed) {
  double Bids = 0.0;
  for (const auto &[Number, Tier] : In.m_Queue.tiers()) {
    if (Number >= Owed.m_Tier->m_Number)
      break;
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    for (const ClassState *Class : Tier.m_Classes)
      if (Class->demand() > 0 && hasPlace(In, *Class) &&
          !canSpareSlot(In, *Class, Bids))
        return false;
  }
  return true;
}

} // namespace

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
    if (Class->m_Debt <= 0.0 || Class->demand() == 0)
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
