/// Decides how many engines a service has in each zone, and of which kind.
#include "duty/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crowstep::duty {

namespace {

/// A larger target exceeds the need by this factor.
constexpr double GrowthFactor = 1.1;

/// A target is lowered once the need with that room is below this share of it.
constexpr double ShrinkFactor = 0.8;

/// Engines for each one that the load keeps busy, below which regular ones are
/// ordered in place of spot engines: they cost several times as much.
constexpr double ShortageFactor = 1.5;

unsigned regularEngines(const ServiceCapacity &Seen) {
  unsigned Result = 0;
  for (const ZoneCapacity &Zone : Seen.m_Zones)
    Result += Zone.m_Regular;
  return Result;
}

unsigned spotEngines(const ServiceCapacity &Seen) {
  unsigned Result = 0;
  for (const ZoneCapacity &Zone : Seen.m_Zones)
    Result += Zone.m_Spot;
  return Result;
}

/// Returns \p Whole less \p Part, or 0 if that would be negative.
unsigned remainder(unsigned Whole, unsigned Part) {
  return Whole - std::min(Whole, Part);
}

/// Returns \p Count divided by \p Parts, rounded up.
unsigned dividedUp(unsigned Count, std::size_t Parts) {
  const auto Divisor = static_cast<unsigned>(Parts);
  return Divisor == 0 ? 0 : (Count + Divisor - 1) / Divisor;
}

/// Returns the regular engines that a zone has once its orders are carried out.
unsigned regularIn(const ZoneCapacity &Zone, const ZoneOrders &Orders) {
  return Orders.m_Regular.value_or(Zone.m_Regular);
}

/// Returns the spot engines, likewise.
unsigned spotIn(const ZoneCapacity &Zone, const ZoneOrders &Orders) {
  return Orders.m_Spot.value_or(Zone.m_Spot);
}

std::vector<const ZoneCapacity *> cheapestFirst(const ServiceCapacity &Seen) {
  std::vector<const ZoneCapacity *> Result;
  for (const ZoneCapacity &Zone : Seen.m_Zones)
    Result.push_back(&Zone);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto *Left, const auto *Right) {
                     return Left->m_Price < Right->m_Price;
                   });
  return Result;
}

} // namespace

CapacityPlan CapacityPlanner::plan(const ServiceCapacity &Seen,
                                   const CapacityState &InForce,
                                   TimePoint Now) {
  recordLoad(Seen.m_BusyEngines, Now);
  CapacityPlan Result;
  Result.m_State = InForce;
  Result.m_Ready = regularEngines(Seen) + spotEngines(Seen);
  Result.m_MeanBusy = m_MeanBusy;
  Result.m_Need = m_Needs.front().m_Engines;
  recordListing(regularEngines(Seen), Now);
  if (Result.m_Ready == 0)
    return Result;
  CapacityState &State = Result.m_State;
  const bool Settled = Now - m_GrownAt >= SettleTime;
  const unsigned MaxChanges = changesAllowed(Now);
  const bool IsFirst =
      std::all_of(State.m_Zones.begin(), State.m_Zones.end(),
                  [](const auto &Entry) { return !Entry.second.m_Regular; });
  if (IsFirst)
    // The engines that the operators have started are wanted, until the load
    // shows something else.
    State.m_Target = std::max(State.m_Target, regularEngines(Seen));
  State.m_Target = nextTarget(State.m_Target, Now);
  planSpot(Seen, State,
           std::max(MaxChanges, remainder(State.m_Target, Result.m_Ready)),
           Now);
  if (Settled) {
    const unsigned Surplus = remainder(Result.m_Ready, State.m_Target);
    const bool MayLower = Now - m_ShortageAt >= SurplusTime;
    planRegular(Seen, State, MayLower ? std::min(Surplus, MaxChanges) : 0);
  }
  planShortage(Seen, State, Now);
  return Result;
}

/// Keeps the needs that may still become the largest one.
void CapacityPlanner::recordLoad(double Busy, TimePoint Now) {
  const double Decay =
      m_Needs.empty()
          ? 1
          : std::exp(-std::chrono::duration<double>(Now - m_Needs.back().m_At) /
                     std::chrono::duration<double>(m_Config.m_ShrinkDelay / 2));
  m_MeanBusy = m_MeanBusy * Decay + Busy * (1 - Decay);
  const double Engines =
      m_MeanBusy * m_Config.m_Headroom / (1 - m_Config.m_LossShare);
  while (!m_Needs.empty() && m_Needs.back().m_Engines <= Engines)
    m_Needs.pop_back();
  m_Needs.push_back({Now, Engines});
  while (Now - m_Needs.front().m_At > m_Config.m_ShrinkDelay)
    m_Needs.pop_front();
  if (m_FirstLoadAt == TimePoint() && Busy > 0)
    m_FirstLoadAt = Now;
}

/// Returns how many engines may come or go for others by this plan.
unsigned CapacityPlanner::changesAllowed(TimePoint Now) {
  const Duration Span =
      std::min<Duration>(Now - std::exchange(m_PlannedAt, Now), MaxPlanSpan);
  return static_cast<unsigned>(
      std::ceil(m_Config.m_MaxChangesPerSecond *
                std::chrono::duration<double>(Span).count()));
}

void CapacityPlanner::recordListing(unsigned Regular, TimePoint Now) {
  if (Regular <= m_MostListed)
    return;
  m_MostListed = Regular;
  m_GrownAt = Now;
}

/// Leaves some room on both sides, so that small changes of the load order
/// nothing: each engine that comes or goes takes prefixes from the others.
unsigned CapacityPlanner::nextTarget(unsigned Target, TimePoint Now) const {
  const double Need = m_Needs.front().m_Engines;
  const auto WithRoom = static_cast<unsigned>(std::ceil(Need * GrowthFactor));
  if (Need > Target)
    return WithRoom;
  const bool Watched = m_FirstLoadAt != TimePoint() &&
                       Now - m_FirstLoadAt >= m_Config.m_ShrinkDelay;
  return Watched && WithRoom < Target * ShrinkFactor ? WithRoom : Target;
}

bool CapacityPlanner::isAvailable(const AvailabilityZone &Zone,
                                  TimePoint Now) const {
  const auto Found = m_UnavailableUntil.find(Zone);
  return Found == m_UnavailableUntil.end() || Now >= Found->second;
}

/// Spot engines of a single zone could not be replaced by others when they are
/// reclaimed, and as many as replace a regular one may cost more than it.
bool CapacityPlanner::usesSpot(const ServiceCapacity &Seen) const {
  return Seen.m_Zones.size() > 1 &&
         Seen.m_Limits.m_SpotPrice * m_Config.m_SpotFactor < 1;
}

/// Returns the regular engines in each zone.
unsigned CapacityPlanner::leastRegular(const ServiceCapacity &Seen,
                                       unsigned Target) const {
  const auto Spot =
      usesSpot(Seen) ? static_cast<unsigned>(Target * m_Config.m_MaxSpotShare)
                     : 0U;
  return dividedUp(Target - Spot, Seen.m_Zones.size());
}

/// Returns the spot engines in each zone, so that the loss of one zone's leaves
/// enough.
unsigned CapacityPlanner::spotInEach(const ServiceCapacity &Seen,
                                     unsigned Target) const {
  const auto Zones = static_cast<unsigned>(Seen.m_Zones.size());
  const unsigned Regular = leastRegular(Seen, Target) * Zones;
  const auto Spot = static_cast<unsigned>(
      std::ceil(remainder(Target, Regular) * m_Config.m_SpotFactor));
  return dividedUp(Spot, Zones);
}

/// Where spot engines can't be had, those that run stay ordered, and the other
/// zones make up for them.
void CapacityPlanner::planSpot(const ServiceCapacity &Seen,
                               CapacityState &State, unsigned MaxChanges,
                               TimePoint Now) {
  unsigned Others = leastRegular(Seen, State.m_Target) *
                    static_cast<unsigned>(Seen.m_Zones.size());
  std::vector<const ZoneCapacity *> Open;
  for (const ZoneCapacity &Zone : Seen.m_Zones) {
    if (isAvailable(Zone.m_Zone, Now))
      Open.push_back(&Zone);
    else
      Others += Zone.m_Spot;
  }
  unsigned InEach = spotInEach(Seen, State.m_Target);
  if (InEach > 0)
    InEach = std::max(
        InEach, dividedUp(remainder(State.m_Target, Others), Open.size()));
  const bool MayLower = Now - m_SpotRaisedAt >= SurplusTime;
  const unsigned MaxStep = dividedUp(MaxChanges, Open.size());
  for (const ZoneCapacity *Zone : Open) {
    ZoneOrders &Orders = State.m_Zones[Zone->m_Zone];
    const unsigned Ordered = spotIn(*Zone, Orders);
    const unsigned Room =
        remainder(Seen.m_Limits.m_Max, regularIn(*Zone, Orders));
    const unsigned Wanted = std::clamp(
        std::min(InEach, Room), remainder(Ordered, MaxStep), Ordered + MaxStep);
    if (Wanted > Ordered)
      m_SpotRaisedAt = Now;
    if (Wanted > Ordered || (Wanted < Ordered && MayLower))
      Orders.m_Spot = Wanted;
  }
}

/// \p Surplus regular engines go, from the most expensive zones first, down to
/// their share and the platform's minimum.
void CapacityPlanner::planRegular(const ServiceCapacity &Seen,
                                  CapacityState &State,
                                  unsigned Surplus) const {
  const unsigned Least =
      std::max(Seen.m_Limits.m_Min, leastRegular(Seen, State.m_Target));
  std::vector<const ZoneCapacity *> Zones = cheapestFirst(Seen);
  std::reverse(Zones.begin(), Zones.end());
  for (const ZoneCapacity *Zone : Zones) {
    ZoneOrders &Orders = State.m_Zones[Zone->m_Zone];
    const unsigned Ordered = regularIn(*Zone, Orders);
    const unsigned Room = remainder(Seen.m_Limits.m_Max, spotIn(*Zone, Orders));
    const unsigned Raised = std::max(Ordered, std::min(Least, Room));
    const unsigned Dropped = std::min(Surplus, remainder(Raised, Least));
    Surplus -= Dropped;
    if (Raised - Dropped != Ordered)
      Orders.m_Regular = Raised - Dropped;
  }
}

/// Orders regular engines while no spot engines can be had anywhere, if those
/// that are there would barely carry the load.
void CapacityPlanner::planShortage(const ServiceCapacity &Seen,
                                   CapacityState &State, TimePoint Now) {
  unsigned Coming = spotEngines(Seen);
  for (const ZoneCapacity &Zone : Seen.m_Zones) {
    if (isAvailable(Zone.m_Zone, Now))
      return;
    Coming += regularIn(Zone, State.m_Zones[Zone.m_Zone]);
  }
  const auto Needed =
      static_cast<unsigned>(std::ceil(m_MeanBusy * ShortageFactor));
  unsigned Shortage = remainder(Needed, Coming);
  if (Shortage > 0)
    m_ShortageAt = Now;
  for (const ZoneCapacity *Zone : cheapestFirst(Seen)) {
    ZoneOrders &Orders = State.m_Zones[Zone->m_Zone];
    const unsigned Ordered = regularIn(*Zone, Orders);
    const unsigned Added = std::min(
        Shortage, remainder(Seen.m_Limits.m_Max, Ordered + Zone->m_Spot));
    if (Added == 0)
      continue;
    Shortage -= Added;
    Orders.m_Regular = Ordered + Added;
    Orders.m_Spot =
        std::min(spotIn(*Zone, Orders), Seen.m_Limits.m_Max - Ordered - Added);
  }
}

} // namespace crowstep::duty
