/// Floors and their deficits.
#include "decision/floor_func.h"

#include "decision/estimate_func.h"
#include "decision/placement_func.h"
#include "decision/preemption_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// Tells whether the first and the last bid of a lane still get slots in time
/// from those expected to be released without preemption, with time left to
/// preempt if these are not released. \p Bids counts the last bid and all
/// before it.
bool canSpareSlot(const Pool &P, const ClassState &Class, const Lane &L,
                  double Bids) {
  if (L.m_ByDeadline.empty())
    return true;
  const double Rate = tuning::FloorTrustedShare * releaseRate(P, Class);
  if (Rate <= 0.0)
    return false;
  const Duration Reserve =
      P.m_StopLeadTime + tuning::FloorMargin + Class.allowanceOf(L);
  const TimePoint First = L.m_ByDeadline.begin()->m_Deadline;
  const TimePoint Last = L.m_ByDeadline.rbegin()->m_Deadline;
  return First - P.m_Now >= fromSeconds(1.0 / Rate) + Reserve &&
         Last - P.m_Now >= fromSeconds(Bids / Rate) + Reserve;
}

bool canSpareSlot(const Pool &P, const ClassState &Class, double Bids) {
  return canSpareSlot(P, Class, Class.m_OnTime, Bids) &&
         canSpareSlot(P, Class, Class.m_Late, Bids);
}

/// Tells whether a free slot may go to lower tiers ahead of the bids of \p T:
/// the tier is overloaded, and its admitted bids still meet their targets.
bool canYieldSlot(const Pool &P, const Tier &T, double Bids) {
  return std::all_of(
      T.m_Classes.begin(), T.m_Classes.end(), [&](const ClassState *Class) {
        if (Class->demand() == 0 || !hasFreeUpstream(P, *Class))
          return true;
        return isOverloaded(*Class) && canSpareSlot(P, *Class, Bids);
      });
}

/// Returns the floor deficit in seconds of the full floor, or 0 if the class
/// has no claim to a slot now.
double secondsBelowFloor(const ClassState &Class) {
  const auto Running = static_cast<double>(Class.m_Running);
  if (Class.m_FloorDeficit <= 0.0 || Class.demand() == 0 ||
      Running >= Class.effectiveFloor())
    return 0.0;
  return Class.m_FloorDeficit / Class.m_FloorSlots;
}

/// Returns the least urgent tier with a class below its floor; 0: none.
std::uint8_t lastTierBelowFloor(const Pool &P) {
  std::uint8_t Last = 0;
  for (const ClassState *Class : P.m_Queue.classes())
    if (Class->m_Tier->m_Number > Last && secondsBelowFloor(*Class) > 0.0)
      Last = Class->m_Tier->m_Number;
  return Last;
}

} // namespace

void updateOfferedLoad(Pool &P) {
  // Rates change over tens of seconds; recomputing them for each event would
  // cost more than the rest of the decision.
  if (P.m_Now < P.m_OfferedLoadExpiry)
    return;
  P.m_OfferedLoadExpiry = P.m_Now + tuning::OfferedLoadLifetime;
  double Sum = 0.0;
  for (auto &[Number, Tier] : P.m_Queue.tiers()) {
    Tier.m_OfferedLoad = 0.0;
    for (const ClassState *Class : Tier.m_Classes)
      Tier.m_OfferedLoad +=
          Class->m_ArrivalRate.perSecond(P.m_Now) * Class->serviceSeconds();
    Sum += Tier.m_OfferedLoad;
    Tier.m_CumulativeOfferedLoad = Sum;
  }
}

bool isOverloaded(const ClassState &Class) {
  return Class.m_Tier->m_CumulativeOfferedLoad >=
         tuning::OverloadRatio * Class.m_Slots;
}

void updateFloors(Pool &P) {
  double Weights = 0.0;
  for (const ClassState *Class : P.m_Queue.classes())
    Weights += static_cast<double>(Class->m_Contract.m_Weight);
  for (ClassState *Class : P.m_Queue.classes()) {
    P.m_Fleet.updateClass(*Class);
    const auto Weight = static_cast<double>(Class->m_Contract.m_Weight);
    Class->m_FloorSlots = Weights > 0.0 ? Class->m_Slots * Weight / Weights : 0;
  }
}

void accrueFloorDeficits(Pool &P, Duration Elapsed) {
  const double Seconds = toSeconds(Elapsed);
  if (Seconds <= 0.0)
    return;
  for (ClassState *Class : P.m_Queue.classes()) {
    // Without waiting bids there is no deficit: the class has all that it asked
    // for.
    if (Class->demand() == 0) {
      Class->m_FloorDeficit = 0.0;
      continue;
    }
    const double Missing =
        Class->m_FloorSlots - static_cast<double>(Class->m_Running);
    Class->m_FloorDeficit =
        std::clamp(Class->m_FloorDeficit + Missing * Seconds, 0.0,
                   tuning::MaxFloorDeficitSeconds * Class->m_FloorSlots);
  }
}

ClassState *classWithLargestDeficit(const Pool &P) {
  const bool IsPaused = P.m_Stats.m_Preempted > 0 &&
                        P.m_Now < P.m_LastStopAt + tuning::FloorPause;
  const std::uint8_t Last = lastTierBelowFloor(P);
  if (P.isBaseline() || IsPaused)
    return nullptr;
  ClassState *Best = nullptr;
  double Longest = 0.0;
  double Bids = 0.0;
  for (const auto &[Number, Tier] : P.m_Queue.tiers()) {
    if (Number > Last)
      break;
    // Without bids before it a tier needs no floor: it is served next anyway.
    for (ClassState *Class : Tier.m_Classes) {
      const double Seconds = Bids > 0.0 ? secondsBelowFloor(*Class) : 0.0;
      if (Seconds <= Longest || !hasFreeUpstream(P, *Class))
        continue;
      Best = Class;
      Longest = Seconds;
    }
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    if (Number == Last || !canYieldSlot(P, Tier, Bids))
      break;
  }
  return Best;
}

} // namespace crowstep::decision
