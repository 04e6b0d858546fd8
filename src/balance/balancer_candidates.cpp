/// Which upstreams of a service may get a call, and why the others may not.
#include "balance/balancer.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Largest share of a service's upstreams that is left out for their health or
/// for lack of room: when all fail alike the fault is elsewhere, and the rest
/// could not take the load.
constexpr double MaxExcludedShare = 0.5;

/// Returns whether the upstream was tried for the call already.
bool isExcluded(UpstreamId Id, const PlacementQuery &Query) {
  return std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Id) !=
         Query.m_Excluded.end();
}

/// Returns Ejected or NoRoom if its health or a lack of room keeps calls from
/// the upstream, else CouldTake.
Verdict availabilityOf(const UpstreamState &State, TimePoint Now) {
  if (State.m_Health.isEjected(Now))
    return Verdict::Ejected;
  return Now < State.m_FullUntil ? Verdict::NoRoom : Verdict::CouldTake;
}

/// Returns whether \p Left of \p All upstreams can take the load of all.
bool areEnough(std::size_t Left, std::size_t All) {
  return Left > 0 && Left >= static_cast<std::size_t>(static_cast<double>(All) *
                                                      (1 - MaxExcludedShare));
}

/// Returns those of \p From for which \p Predicate holds.
template <typename List, typename Condition>
List select(const List &From, const Condition &Predicate) {
  List Result;
  std::copy_if(From.begin(), From.end(), std::back_inserter(Result), Predicate);
  return Result;
}

/// Records the verdict \p VerdictOf of those of \p From that \p Kept lacks;
/// both have the same order.
template <typename Function>
void traceOmitted(PlacementTrace *Trace,
                  const std::vector<UpstreamState *> &From,
                  const std::vector<UpstreamState *> &Kept,
                  const Function &VerdictOf) {
  if (Trace == nullptr)
    return;
  auto Next = Kept.begin();
  for (UpstreamState *State : From)
    if (Next != Kept.end() && *Next == State)
      ++Next;
    else
      Trace->add(*State, VerdictOf(*State));
}

} // namespace

/// Returns whether the upstream can answer the call at all.
bool Balancer::isEligible(const UpstreamState &State,
                          const PlacementQuery &Query) {
  return State.m_Upstream.m_Service == Query.m_Service &&
         (!Query.m_RequiredSoftware ||
          State.m_Upstream.m_Software.matches(*Query.m_RequiredSoftware));
}

bool Balancer::isDraining(const UpstreamState &State, TimePoint Now) {
  return State.m_Upstream.m_Draining || Now < State.m_DrainingUntil;
}

/// Returns whether the upstream must get no call, not even one that was placed
/// before and is not sent yet.
bool Balancer::isBarred(const UpstreamState &State, TimePoint Now) const {
  return isDraining(State, Now) ||
         Now < m_Pauses.pausedUntil(State.m_Upstream.m_Id);
}

/// Returns why a call must not be placed at an upstream of its service, or
/// CouldTake, whatever the upstream's health and its room. These bounds hold
/// even if they leave no upstream.
Verdict Balancer::boundAt(const UpstreamState &State,
                          const PlacementQuery &Query, bool IsBrittle,
                          TimePoint Now) {
  const UpstreamId Id = State.m_Upstream.m_Id;
  if (!isEligible(State, Query))
    return Verdict::OtherVersion;
  if (isExcluded(Id, Query))
    return Verdict::AlreadyTried;
  if (!Query.m_RequiredSoftware && m_HeldBack.contains(Id))
    return Verdict::HeldBack;
  if (isDraining(State, Now))
    return Verdict::Draining;
  if (isBarred(State, Now) || !m_Pauses.maySend(Id, Now))
    return Verdict::PauseRequested;
  if (!m_RateLimits.maySend(Id, Now))
    return Verdict::RateLimited;
  return IsBrittle && !mayPlaceAtBrittle(State, Now) ? Verdict::Brittle
                                                     : Verdict::CouldTake;
}

/// For an upstream whose service is brittle.
bool Balancer::mayPlaceAtBrittle(const UpstreamState &State,
                                 TimePoint Now) const {
  return m_Brittle.maySend(poolIdOf(State.m_Upstream.m_Service, 0),
                           State.m_Upstream, State.m_OwnLoad.runningCalls(),
                           Now);
}

/// Returns the upstreams that may get the call: those that are available and
/// that this instance reaches itself, as long as each leaves enough.
Balancer::States Balancer::findCandidates(const PlacementQuery &Query,
                                          TimePoint Now,
                                          PlacementTrace *Trace) {
  const bool IsBrittle = brittlenessOf(Query.m_Service, Now).has_value();
  States Allowed;
  for (auto &[Id, State] : m_States) {
    if (State.m_Upstream.m_Service != Query.m_Service)
      continue;
    const Verdict Bound = boundAt(State, Query, IsBrittle, Now);
    if (Bound == Verdict::CouldTake)
      Allowed.push_back(&State);
    else if (Trace != nullptr)
      Trace->add(State, Bound);
  }
  States Available = select(Allowed, [Now](const UpstreamState *State) {
    return availabilityOf(*State, Now) == Verdict::CouldTake;
  });
  if (!areEnough(Available.size(), Allowed.size()))
    return Allowed;
  traceOmitted(Trace, Allowed, Available, [Now](const UpstreamState &State) {
    return availabilityOf(State, Now);
  });
  States Reachable = select(Available, [](const UpstreamState *State) {
    return !State->m_IsPathLost;
  });
  if (!areEnough(Reachable.size(), Allowed.size()))
    return Available;
  traceOmitted(Trace, Available, Reachable,
               [](const UpstreamState &) { return Verdict::PathLost; });
  return Reachable;
}

/// Returns whether only brittleness keeps the call from some upstream.
bool Balancer::isHeldBackAsBrittle(const PlacementQuery &Query,
                                   TimePoint Now) const {
  return brittlenessOf(Query.m_Service, Now) &&
         std::ranges::any_of(m_States, [&](const auto &Entry) {
           const UpstreamState &State = Entry.second;
           return isEligible(State, Query) && !isBarred(State, Now) &&
                  !mayPlaceAtBrittle(State, Now);
         });
}

} // namespace crowstep::balance
