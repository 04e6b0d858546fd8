/// Placement by load, prefix hints, zone and health.
#include "decision/placement_func.h"

#include "decision/straggler_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace crowstep::decision {

namespace {

/// One upstream that could take the bid.
struct Candidate {
  Serving *m_Serving = nullptr; ///< Never null.
  double m_Load = 0.0;          ///< Comparable among the candidates.
  double m_Match = 0.0;         ///< Share of the prompt's prefixes, 0 to 1.
};

using Candidates = boost::container::small_vector<Candidate, 16>;

bool hasHealthy(const ClassState &Class, TimePoint Now) {
  return std::any_of(Class.m_Eligible.begin(), Class.m_Eligible.end(),
                     [Now](const Serving *One) { return One->isHealthy(Now); });
}

/// Tells whether \p One may get a bid at all. When nobody is healthy, paused
/// and ejected upstreams serve too: a slow answer is better than none.
bool mayServe(const ClassState &Class, const Serving &One, bool AnyHealthy,
              TimePoint Now) {
  if (!One.isUsable())
    return false;
  return !AnyHealthy || One.isHealthy(Now) || mayProbe(One, Class, Now);
}

std::uint64_t mix(std::uint64_t Value) {
  Value += 0x9E3779B97F4A7C15;
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EB;
  return Value ^ (Value >> 31);
}

/// Expected output of an average grant among the candidates; 1 while idle.
double meanOutstanding(const Candidates &Among) {
  double Tokens = 0.0;
  double Grants = 0.0;
  for (const Candidate &One : Among) {
    Tokens += One.m_Serving->m_Outstanding;
    Grants += static_cast<double>(One.m_Serving->m_Used);
  }
  return Tokens > 0.0 && Grants > 0.0 ? Tokens / Grants : 1.0;
}

/// Load as half slots, half expected tokens in units of average grants, and
/// dearer on slow upstreams.
void rateLoads(const Pool &In, Candidates &Among) {
  constexpr double Half = 0.5;
  constexpr double Idle = 0.05; // Even an idle slow upstream costs something.
  constexpr double Noise = 1.5; // Slowness below this is chance.
  const double Average = meanOutstanding(Among);
  for (Candidate &One : Among) {
    const Serving &Where = *One.m_Serving;
    const double Tokens = Where.m_Outstanding / Average /
                          static_cast<double>(std::max(1U, Where.m_Slots));
    One.m_Load = Half * Where.load(In.m_Now) + Half * Tokens;
    const double Slow = relativeSlowness(In, Where);
    if (Slow > Noise)
      One.m_Load = (One.m_Load + Idle) * Slow;
  }
}

void rateMatches(const Pool &In, const Bid &For, Candidates &Among) {
  const std::size_t Length = For.m_Prefixes.size();
  for (std::size_t I = Length; I > 0; --I) {
    const auto *Holders = In.m_Fleet.prefixes().find(For.m_Prefixes[I - 1]);
    if (Holders == nullptr)
      continue;
    const double Match = static_cast<double>(I) / static_cast<double>(Length);
    for (Candidate &One : Among)
      if (One.m_Match == 0.0 &&
          std::find(Holders->begin(), Holders->end(),
                    One.m_Serving->m_HintTag) != Holders->end())
        One.m_Match = Match;
  }
}

/// A hint may be wrong and must never build up a queue: a whole match is worth
/// a fixed part of a batch, so beyond that much more load it is passed by.
double costOf(const Candidate &One, const Bid &For) {
  double Cost = One.m_Load - tuning::AffinityWeight * One.m_Match;
  if (One.m_Serving->m_Upstream.m_Zone != For.m_Zone)
    Cost += tuning::OtherZoneCost;
  return Cost;
}

Serving *cheapest(Pool &In, const Bid &For, Candidates &Among) {
  rateLoads(In, Among);
  rateMatches(In, For, Among);
  const std::uint64_t Salt = mix(In.m_Config.m_Seed + ++In.m_Choices);
  Serving *Best = nullptr;
  double BestCost = 0.0;
  std::uint64_t BestTie = 0;
  for (const Candidate &One : Among) {
    const double Cost = costOf(One, For);
    const std::uint64_t Tie =
        mix(Salt ^ One.m_Serving->m_Upstream.m_Id.value());
    if (Best != nullptr && std::tie(BestCost, BestTie) <= std::tie(Cost, Tie))
      continue;
    Best = One.m_Serving;
    BestCost = Cost;
    BestTie = Tie;
  }
  return Best;
}

Serving *nextInTurn(Pool &In, const Candidates &Among) {
  // Turns go over all upstreams by id; full ones are skipped.
  const auto Next =
      std::find_if(Among.begin(), Among.end(), [&In](const Candidate &One) {
        return One.m_Serving->m_Upstream.m_Id > In.m_LastTurn;
      });
  Serving *Chosen = (Next == Among.end() ? Among.begin() : Next)->m_Serving;
  In.m_LastTurn = Chosen->m_Upstream.m_Id;
  return Chosen;
}

Serving *leastInFlight(const Candidates &Among) {
  return std::min_element(Among.begin(), Among.end(),
                          [](const Candidate &A, const Candidate &B) {
                            return A.m_Serving->m_Used < B.m_Serving->m_Used;
                          })
      ->m_Serving;
}

Serving *pickByPolicy(Pool &In, const Bid &For, Candidates &Among) {
  switch (In.m_Config.m_Policy) {
  case PolicyKind::RoundRobin:
    return nextInTurn(In, Among);
  case PolicyKind::LeastInFlight:
    return leastInFlight(Among);
  case PolicyKind::Crowstep:
    break;
  }
  return cheapest(In, For, Among);
}

} // namespace

bool hasPlace(const Pool &In, const ClassState &Class) {
  bool AnyHealthy = false;
  bool AnyFree = false;
  for (const Serving *One : Class.m_Eligible) {
    if (!One->isUsable())
      continue;
    const bool IsHealthy = One->isHealthy(In.m_Now);
    AnyHealthy = AnyHealthy || IsHealthy;
    if (!One->hasFreeSlot(In.m_Now))
      continue;
    if (IsHealthy || mayProbe(*One, Class, In.m_Now))
      return true;
    AnyFree = true;
  }
  return AnyFree && !AnyHealthy;
}

bool wouldServe(const Pool &In, const ClassState &Class, const Serving &Where) {
  const auto &Eligible = Class.m_Eligible;
  if (std::find(Eligible.begin(), Eligible.end(), &Where) == Eligible.end())
    return false;
  if (!hasHealthy(Class, In.m_Now))
    return Where.isUsable();
  return Where.isHealthy(In.m_Now);
}

bool hasUpstream(const ClassState &Class) {
  return std::any_of(Class.m_Eligible.begin(), Class.m_Eligible.end(),
                     [](const Serving *One) { return One->isUsable(); });
}

Serving *chooseUpstream(Pool &In, const Request &Bid) {
  const ClassState &Class = *Bid.m_Class;
  const bool AnyHealthy = hasHealthy(Class, In.m_Now);
  Candidates Among;
  bool AnotherCan = false;
  Serving *Avoided = nullptr;
  for (Serving *One : Class.m_Eligible) {
    if (!mayServe(Class, *One, AnyHealthy, In.m_Now))
      continue;
    const bool IsAvoided = Bid.m_Bid.m_Avoid == One->m_Upstream.m_Id;
    AnotherCan = AnotherCan || (!IsAvoided && One->isHealthy(In.m_Now));
    if (!One->hasFreeSlot(In.m_Now))
      continue;
    if (IsAvoided)
      Avoided = One;
    else if (One->m_Ejected && AnyHealthy)
      return One;
    else
      Among.push_back({One});
  }
  if (!Among.empty())
    return pickByPolicy(In, Bid.m_Bid, Among);
  return AnotherCan ? nullptr : Avoided;
}

} // namespace crowstep::decision
