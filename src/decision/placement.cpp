/// Placement by load, prefix hints, availability zone and health.
#include "decision/placement_func.h"

#include "decision/straggler_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace crowstep::decision {

namespace {

/// An upstream that could take the bid.
struct Candidate {
  UpstreamState *m_Serving = nullptr; ///< Never null.
  double m_Load = 0.0;                ///< Relative to the other candidates.
  double m_Match = 0.0; ///< Matched part of the prompt's prefixes, 0 to 1.
};

using Candidates = boost::container::small_vector<Candidate, 16>;

bool hasHealthy(const ClassState &Class, TimePoint Now) {
  return std::any_of(
      Class.m_EligibleUpstreams.begin(), Class.m_EligibleUpstreams.end(),
      [Now](const UpstreamState *State) { return State->isHealthy(Now); });
}

/// Tells whether \p State may get a bid. If no upstream is healthy, paused and
/// ejected ones serve too: a slow answer is better than none.
bool mayServe(const ClassState &Class, const UpstreamState &State,
              bool AnyHealthy, TimePoint Now) {
  if (!State.isUsable())
    return false;
  return !AnyHealthy || State.isHealthy(Now) || mayProbe(State, Class, Now);
}

std::uint64_t mix(std::uint64_t Value) {
  Value += 0x9E3779B97F4A7C15;
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EB;
  return Value ^ (Value >> 31);
}

/// Returns the mean expected output of the candidates' grants; 1 without any.
double meanOutstanding(const Candidates &Options) {
  double Tokens = 0.0;
  double Grants = 0.0;
  for (const Candidate &C : Options) {
    Tokens += C.m_Serving->m_OutstandingTokens;
    Grants += static_cast<double>(C.m_Serving->m_UsedSlots);
  }
  return Tokens > 0.0 && Grants > 0.0 ? Tokens / Grants : 1.0;
}

/// Computes loads: one half by used slots, the other by expected tokens in
/// units of the mean grant; multiplied by the slowness of slow upstreams.
void computeLoads(const Pool &P, Candidates &Options) {
  constexpr double Half = 0.5;
  constexpr double Idle = 0.05; // Gives an idle slow upstream a cost, too.
  constexpr double Noise = 1.5; // Slowness up to this is random variation.
  const double Average = meanOutstanding(Options);
  for (Candidate &C : Options) {
    const UpstreamState &State = *C.m_Serving;
    const double Tokens = State.m_OutstandingTokens / Average /
                          static_cast<double>(std::max(1U, State.m_Slots));
    C.m_Load = Half * State.load(P.m_Now) + Half * Tokens;
    const double Slowness = relativeSlowness(P, State);
    if (Slowness > Noise)
      C.m_Load = (C.m_Load + Idle) * Slowness;
  }
}

void computeMatches(const Pool &P, const Bid &NewBid, Candidates &Options) {
  const std::size_t Length = NewBid.m_Prefixes.size();
  for (std::size_t I = Length; I > 0; --I) {
    const auto *Holders = P.m_Fleet.prefixes().find(NewBid.m_Prefixes[I - 1]);
    if (Holders == nullptr)
      continue;
    const double Match = static_cast<double>(I) / static_cast<double>(Length);
    for (Candidate &C : Options)
      if (C.m_Match == 0.0 &&
          std::find(Holders->begin(), Holders->end(), C.m_Serving->m_HintTag) !=
              Holders->end())
        C.m_Match = Match;
  }
}

/// Returns the cost of a candidate. A hint may be wrong and must never build up
/// a queue, so a full match is worth a fixed share of a batch and is ignored
/// beyond that much more load.
double costOf(const Candidate &C, const Bid &NewBid) {
  double Cost = C.m_Load - tuning::AffinityWeight * C.m_Match;
  if (C.m_Serving->m_Upstream.m_Zone != NewBid.m_Zone)
    Cost += tuning::OtherZoneCost;
  return Cost;
}

UpstreamState *cheapest(Pool &P, const Bid &NewBid, Candidates &Options) {
  computeLoads(P, Options);
  computeMatches(P, NewBid, Options);
  const std::uint64_t Salt = mix(P.m_Config.m_Seed + ++P.m_PlacementCount);
  UpstreamState *Best = nullptr;
  double BestCost = 0.0;
  std::uint64_t BestTie = 0;
  for (const Candidate &C : Options) {
    const double Cost = costOf(C, NewBid);
    const std::uint64_t Tie = mix(Salt ^ C.m_Serving->m_Upstream.m_Id.value());
    if (Best != nullptr && std::tie(BestCost, BestTie) <= std::tie(Cost, Tie))
      continue;
    Best = C.m_Serving;
    BestCost = Cost;
    BestTie = Tie;
  }
  return Best;
}

UpstreamState *nextRoundRobin(Pool &P, const Candidates &Options) {
  // The order is by id; full upstreams are skipped.
  const auto Next =
      std::find_if(Options.begin(), Options.end(), [&P](const Candidate &C) {
        return C.m_Serving->m_Upstream.m_Id > P.m_LastRoundRobin;
      });
  UpstreamState *Chosen =
      (Next == Options.end() ? Options.begin() : Next)->m_Serving;
  P.m_LastRoundRobin = Chosen->m_Upstream.m_Id;
  return Chosen;
}

UpstreamState *leastInFlight(const Candidates &Options) {
  return std::min_element(Options.begin(), Options.end(),
                          [](const Candidate &A, const Candidate &B) {
                            return A.m_Serving->m_UsedSlots <
                                   B.m_Serving->m_UsedSlots;
                          })
      ->m_Serving;
}

UpstreamState *pickByPolicy(Pool &P, const Bid &NewBid, Candidates &Options) {
  switch (P.m_Config.m_Policy) {
  case PolicyKind::RoundRobin:
    return nextRoundRobin(P, Options);
  case PolicyKind::LeastInFlight:
    return leastInFlight(Options);
  case PolicyKind::Crowstep:
    break;
  }
  return cheapest(P, NewBid, Options);
}

} // namespace

bool hasFreeUpstream(const Pool &P, const ClassState &Class) {
  bool AnyHealthy = false;
  bool AnyFree = false;
  for (const UpstreamState *State : Class.m_EligibleUpstreams) {
    if (!State->isUsable())
      continue;
    const bool IsHealthy = State->isHealthy(P.m_Now);
    AnyHealthy = AnyHealthy || IsHealthy;
    if (!State->hasFreeSlot(P.m_Now))
      continue;
    if (IsHealthy || mayProbe(*State, Class, P.m_Now))
      return true;
    AnyFree = true;
  }
  return AnyFree && !AnyHealthy;
}

bool wouldServe(const Pool &P, const ClassState &Class,
                const UpstreamState &State) {
  const auto &Eligible = Class.m_EligibleUpstreams;
  if (std::find(Eligible.begin(), Eligible.end(), &State) == Eligible.end())
    return false;
  if (!hasHealthy(Class, P.m_Now))
    return State.isUsable();
  return State.isHealthy(P.m_Now);
}

bool hasUsableUpstream(const ClassState &Class) {
  return std::any_of(
      Class.m_EligibleUpstreams.begin(), Class.m_EligibleUpstreams.end(),
      [](const UpstreamState *State) { return State->isUsable(); });
}

UpstreamState *chooseUpstream(Pool &P, const Request &Waiting) {
  const ClassState &Class = *Waiting.m_Class;
  const bool AnyHealthy = hasHealthy(Class, P.m_Now);
  Candidates Options;
  bool HasAlternative = false;
  UpstreamState *Avoided = nullptr;
  for (UpstreamState *State : Class.m_EligibleUpstreams) {
    if (!mayServe(Class, *State, AnyHealthy, P.m_Now))
      continue;
    const bool IsAvoided = Waiting.m_Bid.m_Avoid == State->m_Upstream.m_Id;
    HasAlternative =
        HasAlternative || (!IsAvoided && State->isHealthy(P.m_Now));
    if (!State->hasFreeSlot(P.m_Now))
      continue;
    if (IsAvoided)
      Avoided = State;
    else if (State->m_Ejected && AnyHealthy)
      return State;
    else
      Options.push_back({State});
  }
  if (!Options.empty())
    return pickByPolicy(P, Waiting.m_Bid, Options);
  return HasAlternative ? nullptr : Avoided;
}

} // namespace crowstep::decision
