/// Decisions without effect, and the list of candidates.
#include "balance/placement_preview.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <tuple>
#include <utility>

namespace crowstep::balance {

PlacementPreview::PlacementPreview(Balancer &Of, TimePoint Now)
    : m_Balancer(Of), m_Now(Now), m_Random(Of.m_Random),
      m_RateLimits(Of.m_RateLimits), m_Brittle(Of.m_Brittle),
      m_Backlog(Of.m_Backlog), m_EngineRoles(Of.m_EngineRoles),
      m_RoleSplits(Of.m_RoleSplits) {
  // The only part whose size grows with instances times upstreams.
  if (Of.m_PeerLoads.hasExpired(Now))
    m_PeerLoads = Of.m_PeerLoads;
  Of.m_PeerLoads.expire(Now);
}

PlacementPreview::~PlacementPreview() {
  m_Balancer.m_Random = m_Random;
  if (m_PeerLoads)
    m_Balancer.m_PeerLoads = std::move(*m_PeerLoads);
  m_Balancer.m_RateLimits = std::move(m_RateLimits);
  m_Balancer.m_Brittle = std::move(m_Brittle);
  m_Balancer.m_Backlog = std::move(m_Backlog);
  m_Balancer.m_EngineRoles = std::move(m_EngineRoles);
  m_Balancer.m_RoleSplits = std::move(m_RoleSplits);
  auto Saved = m_States.begin();
  if (Saved == m_States.end())
    return;
  for (auto &[Id, State] : m_Balancer.m_States) {
    State.m_RoleRank = Saved->m_RoleRank;
    State.m_SpeedClass = Saved->m_SpeedClass;
    State.m_Speed = Saved->m_Speed;
    State.m_UsableShare = Saved->m_UsableShare;
    ++Saved;
  }
}

/// Only an update of roles changes them.
void PlacementPreview::saveStates() {
  m_States.reserve(m_Balancer.m_States.size());
  for (const auto &[Id, State] : m_Balancer.m_States)
    m_States.push_back({State.m_RoleRank, State.m_SpeedClass, State.m_Speed,
                        State.m_UsableShare});
}

PlacementExplanation PlacementPreview::explain(const PlacementQuery &Query) {
  if (m_States.empty() && m_Balancer.isRoleUpdateDue(Query.m_Service, m_Now))
    saveStates();
  PlacementTrace Trace;
  const Balancer::Decision Decided = m_Balancer.decide(Query, m_Now, &Trace);
  const auto *Choice = std::get_if<Balancer::Choice>(&Decided);
  PlacementExplanation Result;
  if (Choice != nullptr)
    Result.m_Result = Balancer::placedAt(*Choice, TicketId(), m_Now);
  else if (const auto *Refused = std::get_if<NotPlaced>(&Decided))
    Result.m_Result = *Refused;
  else
    Result.m_Result = std::get<MustWait>(Decided);
  Result.m_IsModelCall = Query.m_Prompt.m_PromptTokens > 0;
  Result.m_LatencySensitive =
      Result.m_IsModelCall && m_Balancer.isLatencySensitive(Query);
  std::vector<Entry> Entries = entriesOf(Query, Trace);
  if (Choice != nullptr)
    std::ranges::find(Entries, Choice->m_State, &Entry::m_State)->m_Verdict =
        Verdict::Chosen;
  Result.m_UpstreamCount = Entries.size();
  const auto RankOf = [&](const Entry &Ranked) {
    return std::tuple(Ranked.m_State != Trace.best(), Ranked.m_Verdict,
                      Ranked.m_Cost.value_or(0),
                      std::string_view(Ranked.m_State->m_Upstream.m_Name));
  };
  const std::size_t Shown = std::min(Entries.size(), MaxCandidates);
  std::ranges::partial_sort(
      Entries, Entries.begin() + static_cast<std::ptrdiff_t>(Shown),
      std::ranges::less(), RankOf);
  for (std::size_t I = 0; I < Shown; ++I)
    Result.m_Candidates.push_back(viewOf(Query, Entries[I]));
  if (Trace.best() != nullptr)
    Result.m_Upstream = Trace.best()->m_Upstream.m_Name;
  return Result;
}

/// The cost is that of the first comparison: a call that leaves a saturated
/// engine is compared again at fewer engines, and with other weights.
std::vector<PlacementPreview::Entry>
PlacementPreview::entriesOf(const PlacementQuery &Query,
                            PlacementTrace &Trace) const {
  std::vector<Entry> Result;
  if (Trace.findings().empty()) {
    for (auto &[Id, State] : m_Balancer.m_States)
      if (State.m_Upstream.m_Service == Query.m_Service)
        Result.push_back({&State, Verdict::NotConsidered, std::nullopt});
    return Result;
  }
  const bool ByTime = m_Balancer.isPlacedByTime(Query.m_Service);
  std::optional<EngineCosts> Costs;
  if (!Trace.options().empty())
    Costs.emplace(Query, m_Balancer.isLatencySensitive(Query), Trace.options(),
                  m_Balancer.prefillTimeOf(Query.m_Service));
  Result.reserve(Trace.findings().size());
  for (const PlacementTrace::Finding &Found : Trace.findings()) {
    Result.push_back({Found.m_State, Found.m_Verdict, std::nullopt});
    if (Found.m_Option)
      Result.back().m_Cost = Costs->at(Trace.options()[*Found.m_Option]);
    else if (Query.m_Prompt.m_PromptTokens == 0 &&
             Found.m_Verdict == Verdict::CouldTake)
      Result.back().m_Cost =
          m_Balancer.plainCostAt(*Found.m_State, ByTime, m_Now);
  }
  return Result;
}

CandidateView PlacementPreview::viewOf(const PlacementQuery &Query,
                                       const Entry &Shown) const {
  UpstreamState &State = *Shown.m_State;
  CandidateView Result;
  Result.m_Name = State.m_Upstream.m_Name;
  Result.m_Zone = State.m_Upstream.m_Zone;
  Result.m_Verdict = Shown.m_Verdict;
  Result.m_Calls = m_Balancer.callsAt(State, m_Now);
  Result.m_Slots = slotsOf(State.m_Upstream);
  Result.m_Cost = Shown.m_Cost;
  Result.m_SpeedClass = m_Balancer.rankedSpeedClassOf(State);
  const bool ByTime = m_Balancer.isPlacedByTime(Query.m_Service);
  if (ByTime)
    Result.m_Slowdown =
        m_Balancer.speedView().machineSlowdownOf(State.m_Upstream.m_Id, m_Now);
  if (Query.m_Prompt.m_PromptTokens == 0)
    return Result;
  EngineOption Option = m_Balancer.optionAt(State, Query, m_Now);
  if (ByTime)
    m_Balancer.addSpeed(Option, m_Now);
  Result.m_QueuedPrefillTokens = Option.m_QueuedPrefillTokens;
  Result.m_UncachedTokens = Option.m_UncachedTokens;
  Result.m_PredictedWait = m_Balancer.predictedWait(Query.m_Service, Option);
  return Result;
}

} // namespace crowstep::balance
