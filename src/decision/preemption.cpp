/// Which running work is stopped, and when.
#include "decision/preemption_func.h"

#include "decision/estimate_func.h"
#include "decision/floor_func.h"
#include "decision/placement_func.h"

#include <algorithm>
#include <limits>

namespace crowstep::decision {

namespace {

Request *victimOf(const Pool &In, ClassState &From, const ClassState &For) {
  unsigned Scanned = 0;
  for (Request &One : From.m_Victims) {
    if (wouldServe(In, For, *One.m_Serving))
      return &One;
    if (++Scanned == tuning::MaxVictimScan)
      break;
  }
  return nullptr;
}

/// Tells whether the class keeps its floor when it loses one slot. Work that
/// was ordered to stop no longer counts.
bool isAboveFloor(const ClassState &Class) {
  return static_cast<double>(Class.m_Victims.size()) >= Class.floorNow() + 1.0;
}

/// The least urgent tier gives first, and in it the classes above their floor.
Request *findVictim(const Pool &In, const ClassState &For) {
  const TierMap &Tiers = In.m_Queue.tiers();
  for (auto At = Tiers.rbegin(); At != Tiers.rend(); ++At) {
    if (At->first <= For.m_Tier->m_Number)
      return nullptr;
    for (const bool AboveFloor : {true, false})
      for (ClassState *From : At->second.m_Classes)
        if (From->isPreemptible() && isAboveFloor(*From) == AboveFloor)
          if (Request *Found = victimOf(In, *From, For))
            return Found;
  }
  return nullptr;
}

void stop(Pool &In, Request &Victim) {
  VictimQueue &From = Victim.m_Class->m_Victims;
  From.erase(From.iterator_to(Victim));
  Victim.m_Stopping = true;
  Victim.m_Since = In.m_Now;
  if (Victim.m_Preemptions < std::numeric_limits<std::uint8_t>::max())
    ++Victim.m_Preemptions;
  ++In.m_Stops;
  ++In.m_Stats.m_Preempted;
  In.m_LastStop = In.m_Now;
  In.m_Stopping.emplace_back(In.m_Now, Victim.m_Bid.m_Request);
  In.m_Actions->push_back(
      Preempt{Victim.m_Bid.m_Request, Victim.m_Serving->m_Upstream.m_Id});
}

/// Time left before a bid of the lane must have a slot, less the time to take
/// one back, in seconds.
double slackOf(const Pool &In, const ClassState &Class, const Lane &Of,
               const Request &Waiting) {
  const Duration Left = Waiting.m_Deadline - Class.allowanceOf(Of) - In.m_Now;
  return toSeconds(std::max(Duration::zero(), Left - In.m_StopLead));
}

bool stopAny(Pool &In, const ClassState &Class) {
  Request *Victim = findVictim(In, Class);
  if (Victim != nullptr)
    stop(In, *Victim);
  return Victim != nullptr;
}

void stopUntil(Pool &In, const ClassState &Class, std::size_t Most,
               double Needed, bool (&StopOne)(Pool &, const ClassState &)) {
  while (static_cast<double>(In.m_Stops) < Needed && In.m_Stops < Most)
    if (!StopOne(In, Class))
      return;
}

/// Stops as much as is missing beyond the slots that come free in time, for the
/// first bid and for the last with \p Bids before it.
void stopForLane(Pool &In, const ClassState &Class, const Lane &Of, double Bids,
                 std::size_t Most) {
  if (Of.m_ReadyCount == 0)
    return;
  const double Rate = freeRate(In, Class);
  const DeadlineQueue &Queue = Of.m_ByDeadline;
  const double First = slackOf(In, Class, Of, *Queue.begin());
  // The last bid has more slack than the first: if all fit into that, none is
  // missing. It spares a look at one more request, which is cold memory.
  if (tuning::PreemptTrust * Rate * First >= std::max(1.0, Bids))
    return;
  const double Last = slackOf(In, Class, Of, *Queue.rbegin());
  const auto Missing = [&](double Trust) {
    return std::max(1.0 - Trust * Rate * First, Bids - Trust * Rate * Last);
  };
  stopUntil(In, Class, Most, Missing(tuning::PreemptTrust), stopAboveFloor);
  stopUntil(In, Class, Most, Missing(tuning::FloorTrust), stopAny);
}

/// Returns the least urgent tier with work that could be stopped; 0: none.
std::uint8_t lastWithVictims(const Pool &In) {
  std::uint8_t Last = 0;
  for (const ClassState *Class : In.m_Queue.classes())
    if (Class->isPreemptible() && !Class->m_Victims.empty())
      Last = std::max(Last, Class->m_Tier->m_Number);
  return Last;
}

} // namespace

bool stopAboveFloor(Pool &In, const ClassState &Class) {
  bool HasMore = !isOverloaded(Class);
  for (const ClassState *Other : In.m_Queue.classes())
    HasMore = HasMore || (Other->m_Tier->m_Number > Class.m_Tier->m_Number &&
                          Other->isPreemptible() && isAboveFloor(*Other));
  return HasMore && stopAny(In, Class);
}

void preemptWhereNeeded(Pool &In) {
  if (In.isBaseline() || In.isRebuilding() || In.m_Queue.size() == 0)
    return;
  const std::uint8_t Last = lastWithVictims(In);
  const std::size_t Most = In.m_Stops + tuning::MaxPreemptionsAtOnce;
  double Bids = 0.0;
  for (auto &[Number, Tier] : In.m_Queue.tiers()) {
    if (Number >= Last)
      return;
    for (const ClassState *Class : Tier.m_Classes)
      Bids += static_cast<double>(Class->demand());
    for (const ClassState *Class : Tier.m_Classes) {
      if (Class->demand() == 0)
        continue;
      stopForLane(In, *Class, Class->m_OnTime, Bids, Most);
      stopForLane(In, *Class, Class->m_Late, Bids, Most);
    }
  }
}

void repeatStops(Pool &In) {
  while (!In.m_Stopping.empty() &&
         In.m_Stopping.front().first + tuning::PreemptPatience <= In.m_Now) {
    const RequestId Id = In.m_Stopping.front().second;
    const TimePoint Ordered = In.m_Stopping.front().first;
    In.m_Stopping.pop_front();
    const auto At = In.m_Requests.find(Id);
    if (At == In.m_Requests.end() || !At->second.m_Stopping ||
        At->second.m_Since != Ordered)
      continue;
    // The order was lost, or its entry is stuck. Waiting for this one slot
    // would let urgent bids miss their targets beside others that can be had;
    // it goes back among them, as the last to be asked.
    constexpr std::uint8_t Last = 4;
    Request &Stuck = At->second;
    Stuck.m_Stopping = false;
    Stuck.m_WasteRank = static_cast<std::uint8_t>(Stuck.m_WasteRank | Last);
    --In.m_Stops;
    Stuck.m_Class->m_Victims.insert(Stuck);
  }
}

std::optional<TimePoint> nextPreemptionCheck(const Pool &In,
                                             const ClassState &Class) {
  std::optional<TimePoint> Next;
  for (const Lane *Of : {&Class.m_OnTime, &Class.m_Late}) {
    if (Of->m_ReadyCount == 0)
      continue;
    const Duration Slack =
        fromSeconds(slackOf(In, Class, *Of, *Of->m_ByDeadline.begin()));
    if (Slack > Duration::zero() && (!Next || In.m_Now + Slack < *Next))
      Next = In.m_Now + Slack;
  }
  return Next;
}

} // namespace crowstep::decision
