/// Estimated waits, from the bids ahead and the observed service times.
#include "decision/estimate_func.h"

#include "decision/placement_func.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

/// Bids ahead of a bid, and load that will overtake it.
struct QueueAhead {
  double m_Bids = 0.0;        ///< Waiting bids.
  double m_SlotSeconds = 0.0; ///< Slot-seconds that they need.
  /// Offered load of more urgent tiers, in slots.
  double m_HigherTierLoad = 0.0;
  /// The same of its own tier, if later arrivals there overtake it.
  double m_SameTierLoad = 0.0;
};

void addBids(QueueAhead &Total, const ClassState &Class, std::size_t Bids) {
  const auto Count = static_cast<double>(Bids);
  Total.m_Bids += Count;
  Total.m_SlotSeconds += Count * Class.serviceSeconds();
}

QueueAhead queueAbove(const Pool &P, std::uint8_t Number) {
  QueueAhead Found;
  for (const auto &[Other, Tier] : P.m_Queue.tiers()) {
    if (Other >= Number)
      break;
    for (const ClassState *Class : Tier.m_Classes)
      addBids(Found, *Class, Class->waitingCount());
    Found.m_HigherTierLoad = Tier.m_CumulativeOfferedLoad;
  }
  return Found;
}

/// Counts the running requests that a bid of the tier could preempt. Without
/// them an urgent bid would be refused because of a queue that preemption
/// clears at once.
double countPreemptible(const Pool &P, std::uint8_t Number) {
  double Found = 0.0;
  for (const auto &[Other, Tier] : P.m_Queue.tiers())
    for (const ClassState *Class : Tier.m_Classes)
      if (Other > Number && Class->isPreemptible())
        Found += static_cast<double>(Class->m_Victims.size());
  return Found;
}

/// Returns the share of the slots that serves the queue, without those used by
/// arrivals that overtake it. More urgent tiers leave at least the floor.
double drainShare(const ClassState &Class, const QueueAhead &Ahead) {
  const double Floor = Class.m_FloorSlots / Class.m_Slots;
  const double Above = Ahead.m_HigherTierLoad / Class.m_Slots;
  const double Same = Ahead.m_SameTierLoad / Class.m_Slots;
  const double Least = Above + Same < tuning::OverloadRatio
                           ? tuning::BusyDrainShare
                           : tuning::OverloadDrainShare;
  return std::max(std::max(1.0 - Above, Floor) - Same, Least);
}

Duration waitBehind(const Pool &P, const ClassState &Class,
                    const QueueAhead &Ahead) {
  if (Ahead.m_Bids == 0.0 && hasFreeUpstream(P, Class))
    return Duration::zero();
  const double Preemptible = countPreemptible(P, Class.m_Tier->m_Number);
  if (Ahead.m_Bids < Preemptible)
    return tuning::InitialPreemptDelay;
  if (Class.m_Slots <= 0.0)
    return Duration::zero();
  const double Left = Ahead.m_Bids - Preemptible;
  const double Seconds =
      Ahead.m_Bids > 0.0 ? Ahead.m_SlotSeconds * Left / Ahead.m_Bids : 0.0;
  const double Drain = drainShare(Class, Ahead);
  const double Free = releaseRate(P, Class);
  const double FirstSlot = Free > 0.0 ? 1.0 / Free : 0.0;
  return fromSeconds(FirstSlot + Seconds / (Class.m_Slots * Drain));
}

} // namespace

double releaseRate(const Pool &P, const ClassState &Class) {
  if (Class.m_ReleaseRateVersion == P.m_Fleet.changeCount())
    return Class.m_ReleaseRate;
  double Rate = 0.0;
  for (const UpstreamState *State : Class.m_EligibleUpstreams)
    Rate += State->m_ReleaseRate;
  Class.m_ReleaseRate = Rate;
  Class.m_ReleaseRateVersion = P.m_Fleet.changeCount();
  return Rate;
}

Duration estimateOnTimeWait(const Pool &P, const ClassState &Class,
                            WorkspaceId Workspace) {
  QueueAhead SameTier;
  std::size_t Flows = 1;
  for (const ClassState *Other : Class.m_Tier->m_Classes) {
    addBids(SameTier, *Other, Other->m_OnTime.m_ByDeadline.size());
    Flows += Other->m_OnTime.m_ReadyFlows.size();
  }
  // A workspace waits for its own bids and for as many of each other workspace;
  // the rest of a longer flow is served after it.
  const auto Own = Class.m_OnTime.m_Flows.find(Workspace);
  const std::size_t OwnCount =
      Own == Class.m_OnTime.m_Flows.end() ? 0 : Own->second.m_Queue.size();
  const auto FairCount = static_cast<double>((OwnCount + 1) * Flows);
  if (SameTier.m_Bids > FairCount) {
    SameTier.m_SlotSeconds *= FairCount / SameTier.m_Bids;
    SameTier.m_Bids = FairCount;
  }
  QueueAhead Ahead = queueAbove(P, Class.m_Tier->m_Number);
  Ahead.m_Bids += SameTier.m_Bids;
  Ahead.m_SlotSeconds += SameTier.m_SlotSeconds;
  return waitBehind(P, Class, Ahead);
}

Duration estimateLateWait(const Pool &P, const ClassState &Class) {
  QueueAhead Ahead = queueAbove(P, Class.m_Tier->m_Number);
  Ahead.m_SameTierLoad = Class.m_Tier->m_OfferedLoad;
  for (const ClassState *Other : Class.m_Tier->m_Classes)
    addBids(Ahead, *Other, Other->waitingCount());
  return waitBehind(P, Class, Ahead);
}

} // namespace crowstep::decision
