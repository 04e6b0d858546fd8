/// Estimated waits from the queue ahead and the learned service times.
#include "decision/estimate_func.h"

#include "decision/placement_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// What stands before a bid.
struct Ahead {
  double m_Bids = 0.0;        ///< Waiting bids.
  double m_Seconds = 0.0;     ///< Slot-seconds that they will take.
  double m_AboveInflow = 0.0; ///< Slots that more urgent arrivals ask for.
  double m_SameInflow = 0.0;  ///< The same of its own tier, if they overtake.
};

void addBids(Ahead &To, const ClassState &Class, std::size_t Bids) {
  const auto Count = static_cast<double>(Bids);
  To.m_Bids += Count;
  To.m_Seconds += Count * Class.serviceSeconds();
}

Ahead aboveTier(const Pool &In, std::uint8_t Number) {
  Ahead Found;
  for (const auto &[Other, Tier] : In.m_Queue.tiers()) {
    if (Other >= Number)
      break;
    for (const ClassState *Class : Tier.m_Classes)
      addBids(Found, *Class, Class->waiting());
    Found.m_AboveInflow = Tier.m_OfferedTo;
  }
  return Found;
}

/// Running work that a bid of the tier could have stopped. Without it an
/// urgent bid would be refused for a queue that preemption clears at once.
double takeable(const Pool &In, std::uint8_t Number) {
  double Found = 0.0;
  for (const auto &[Other, Tier] : In.m_Queue.tiers())
    for (const ClassState *Class : Tier.m_Classes)
      if (Other > Number && Class->isPreemptible())
        Found += static_cast<double>(Class->m_Victims.size());
  return Found;
}

/// The share of the slots that is left to the queue by what arrives meanwhile
/// and goes before it. More urgent tiers leave at least the floor.
double drainShare(const ClassState &Class, const Ahead &Before) {
  const double Floor = Class.m_FloorSlots / Class.m_Slots;
  const double Above = Before.m_AboveInflow / Class.m_Slots;
  const double Same = Before.m_SameInflow / Class.m_Slots;
  const double Least = Above + Same < tuning::Overload
                           ? tuning::BusyDrainShare
                           : tuning::OverloadDrainShare;
  return std::max(std::max(1.0 - Above, Floor) - Same, Least);
}

Duration waitBehind(const Pool &In, const ClassState &Class,
                    const Ahead &Before) {
  if (Before.m_Bids == 0.0 && hasPlace(In, Class))
    return Duration::zero();
  const double Takeable = takeable(In, Class.m_Tier->m_Number);
  if (Before.m_Bids < Takeable)
    return tuning::FirstPreemptDelay;
  if (Class.m_Slots <= 0.0)
    return Duration::zero();
  const double Left = Before.m_Bids - Takeable;
  const double Seconds =
      Before.m_Bids > 0.0 ? Before.m_Seconds * Left / Before.m_Bids : 0.0;
  const double Drain = drainShare(Class, Before);
  const double Free = freeRate(In, Class);
  const double FirstSlot = Free > 0.0 ? 1.0 / Free : 0.0;
  return fromSeconds(FirstSlot + Seconds / (Class.m_Slots * Drain));
}

} // namespace

double freeRate(const Pool &In, const ClassState &Class) {
  if (Class.m_FreeRateStamp == In.m_Fleet.changes())
    return Class.m_FreeRate;
  double Rate = 0.0;
  for (const Serving *One : Class.m_Eligible)
    Rate += One->m_FreeRate;
  Class.m_FreeRate = Rate;
  Class.m_FreeRateStamp = In.m_Fleet.changes();
  return Rate;
}

Duration waitOnTime(const Pool &In, const ClassState &Class,
                    WorkspaceId Workspace) {
  Ahead Same;
  std::size_t Flows = 1;
  for (const ClassState *Other : Class.m_Tier->m_Classes) {
    addBids(Same, *Other, Other->m_OnTime.m_ByDeadline.size());
    Flows += Other->m_OnTime.m_Ready.size();
  }
  // A workspace waits for its own bids and as many of each other workspace;
  // the rest of a large one's queue is served after it.
  const auto Own = Class.m_OnTime.m_Flows.find(Workspace);
  const std::size_t Mine =
      Own == Class.m_OnTime.m_Flows.end() ? 0 : Own->second.m_Queue.size();
  const auto Fair = static_cast<double>((Mine + 1) * Flows);
  if (Same.m_Bids > Fair) {
    Same.m_Seconds *= Fair / Same.m_Bids;
    Same.m_Bids = Fair;
  }
  Ahead Before = aboveTier(In, Class.m_Tier->m_Number);
  Before.m_Bids += Same.m_Bids;
  Before.m_Seconds += Same.m_Seconds;
  return waitBehind(In, Class, Before);
}

Duration waitLate(const Pool &In, const ClassState &Class) {
  Ahead Before = aboveTier(In, Class.m_Tier->m_Number);
  Before.m_SameInflow = Class.m_Tier->m_Offered;
  for (const ClassState *Other : Class.m_Tier->m_Classes)
    addBids(Before, *Other, Other->waiting());
  return waitBehind(In, Class, Before);
}

} // namespace crowstep::decision
