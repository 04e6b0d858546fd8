/// Choice and timing of the work to preempt.
#include "decision/preemption_func.h"

#include "decision/estimate_func.h"
#include "decision/floor_func.h"
#include "decision/placement_func.h"

#include <algorithm>
#include <limits>

namespace crowstep::decision {

namespace {

Request *victimOf(const Pool &P, ClassState &From, const ClassState &Urgent) {
  unsigned Scanned = 0;
  for (Request &Candidate : From.m_Victims) {
    if (wouldServe(P, Urgent, *Candidate.m_UpstreamState))
      return &Candidate;
    if (++Scanned == tuning::MaxVictimScan)
      break;
  }
  return nullptr;
}

/// Tells whether the class keeps its floor if it loses one slot. Work already
/// ordered to stop does not count.
bool isAboveFloor(const ClassState &Class) {
  return static_cast<double>(Class.m_Victims.size()) >=
         Class.effectiveFloor() + 1.0;
}

/// Returns the request to preempt: the least urgent tier comes first, and
/// within it the classes above their floors.
Request *findVictim(const Pool &P, const ClassState &Urgent) {
  const TierMap &Tiers = P.m_Queue.tiers();
  for (auto It = Tiers.rbegin(); It != Tiers.rend(); ++It) {
    if (It->first <= Urgent.m_Tier->m_Number)
      return nullptr;
    for (const bool AboveFloor : {true, false})
      for (ClassState *From : It->second.m_Classes)
        if (From->isPreemptible() && isAboveFloor(*From) == AboveFloor)
          if (Request *Found = victimOf(P, *From, Urgent))
            return Found;
  }
  return nullptr;
}

void stop(Pool &P, Request &Victim) {
  VictimQueue &From = Victim.m_Class->m_Victims;
  From.erase(From.iterator_to(Victim));
  Victim.m_IsStopping = true;
  Victim.m_StopOrderedAt = P.m_Now;
  if (Victim.m_Preemptions < std::numeric_limits<std::uint8_t>::max())
    ++Victim.m_Preemptions;
  ++P.m_PendingStops;
  ++P.m_Stats.m_Preempted;
  P.m_LastStopAt = P.m_Now;
  P.m_StopOrders.emplace_back(P.m_Now, Victim.m_Bid.m_Request);
  P.m_Actions->push_back(
      Preempt{Victim.m_Bid.m_Request, Victim.m_UpstreamState->m_Upstream.m_Id});
}

/// Returns the seconds until a bid of the lane must have a slot, less the time
/// for a preemption.
double slackOf(const Pool &P, const ClassState &Class, const Lane &L,
               const Request &Waiting) {
  const Duration Left = Waiting.m_Deadline - Class.allowanceOf(L) - P.m_Now;
  return toSeconds(std::max(Duration::zero(), Left - P.m_StopLeadTime));
}

bool stopAny(Pool &P, const ClassState &Class) {
  Request *Victim = findVictim(P, Class);
  if (Victim != nullptr)
    stop(P, *Victim);
  return Victim != nullptr;
}

void stopUntil(Pool &P, const ClassState &Class, std::size_t Limit,
               double Needed, bool (&StopNext)(Pool &, const ClassState &)) {
  while (static_cast<double>(P.m_PendingStops) < Needed &&
         P.m_PendingStops < Limit)
    if (!StopNext(P, Class))
      return;
}

/// Preempts as many slots as are missing beyond those expected to be released
/// in time, for the first bid of the lane and for the last one, \p Bids
/// counting it and all bids before it.
void stopForLane(Pool &P, const ClassState &Class, const Lane &L, double Bids,
                 std::size_t Limit) {
  if (L.m_ReadyBidCount == 0)
    return;
  const double Rate = releaseRate(P, Class);
  const DeadlineQueue &Queue = L.m_ByDeadline;
  const double First = slackOf(P, Class, L, *Queue.begin());
  // The last bid has more slack than the first, so if all fit into the first
  // one's, no slot is missing. This saves access to another request, whose
  // memory is not in the cache.
  if (tuning::PreemptTrustedShare * Rate * First >= std::max(1.0, Bids))
    return;
  const double Last = slackOf(P, Class, L, *Queue.rbegin());
  const auto Missing = [&](double Trust) {
    return std::max(1.0 - Trust * Rate * First, Bids - Trust * Rate * Last);
  };
  stopUntil(P, Class, Limit, Missing(tuning::PreemptTrustedShare),
            preemptAboveFloor);
  stopUntil(P, Class, Limit, Missing(tuning::FloorTrustedShare), stopAny);
}

/// Returns the least urgent tier with preemptible work; 0: none.
std::uint8_t lastWithVictims(const Pool &P) {
  std::uint8_t Last = 0;
  for (const ClassState *Class : P.m_Queue.classes())
    if (Class->isPreemptible() && !Class->m_Victims.empty())
      Last = std::max(Last, Class->m_Tier->m_Number);
  return Last;
}

} // namespace

bool preemptAboveFloor(Pool &P, const ClassState &Class) {
  bool HasMore = !isOverloaded(Class);
  for (const ClassState *Other : P.m_Queue.classes())
    HasMore = HasMore || (Other->m_Tier->m_Number > Class.m_Tier->m_Number &&
                          Other->isPreemptible() && isAboveFloor(*Other));
  return HasMore && stopAny(P, Class);
}

void preemptWhereNeeded(Pool &P) {
  if (P.isBaseline() || P.isRebuilding() || P.m_Queue.size() == 0)
    return;
  const std::uint8_t Last = lastWithVictims(P);
  const std::size_t Limit = P.m_PendingStops + tuning::MaxPreemptionsAtOnce;
  double Bids = 0.0;
  for (auto &[Number, Tier] : P.m_Queue.tiers()) {
    if (Number >= Last)
      return;
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    for (const ClassState *Class : Tier.m_Classes) {
      if (Class->demand() == 0)
        continue;
      stopForLane(P, *Class, Class->m_OnTime, Bids, Limit);
      stopForLane(P, *Class, Class->m_Late, Bids, Limit);
    }
  }
}

void expireStopOrders(Pool &P) {
  while (!P.m_StopOrders.empty() &&
         P.m_StopOrders.front().first + tuning::StopOrderTimeout <= P.m_Now) {
    const RequestId Id = P.m_StopOrders.front().second;
    const TimePoint OrderedAt = P.m_StopOrders.front().first;
    P.m_StopOrders.pop_front();
    const auto It = P.m_Requests.find(Id);
    if (It == P.m_Requests.end() || !It->second.m_IsStopping ||
        It->second.m_StopOrderedAt != OrderedAt)
      continue;
    // The order was lost, or the entry does not respond. Waiting for this slot
    // would let urgent bids miss their targets while others could be preempted.
    // The request becomes preemptible again, as a last resort.
    constexpr std::uint8_t LastResort = 4;
    Request &Unstopped = It->second;
    Unstopped.m_IsStopping = false;
    Unstopped.m_WasteRank =
        static_cast<std::uint8_t>(Unstopped.m_WasteRank | LastResort);
    --P.m_PendingStops;
    Unstopped.m_Class->m_Victims.insert(Unstopped);
  }
}

std::optional<TimePoint> nextPreemptionCheck(const Pool &P,
                                             const ClassState &Class) {
  std::optional<TimePoint> Next;
  for (const Lane *L : {&Class.m_OnTime, &Class.m_Late}) {
    if (L->m_ReadyBidCount == 0)
      continue;
    const Duration Slack =
        fromSeconds(slackOf(P, Class, *L, *L->m_ByDeadline.begin()));
    if (Slack > Duration::zero() && (!Next || P.m_Now + Slack < *Next))
      Next = P.m_Now + Slack;
  }
  return Next;
}

} // namespace crowstep::decision
