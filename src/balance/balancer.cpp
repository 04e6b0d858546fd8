/// Choice among the upstreams of a service.
#include "balance/balancer.h"

#include "balance/wait_limit.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace crowstep::balance {

namespace {

/// Retry time for callers that are refused for lack of an upstream: the
/// directory learns of a new upstream within a second.
constexpr Duration NoUpstreamRetryAfter = std::chrono::milliseconds(500);

/// Longest retry time for callers that are refused because of upstreams' rate
/// limits or pauses: these may have ended by then, and other instances may have
/// none.
constexpr Duration LimitedRetryAfter = std::chrono::seconds(4);

/// Callers that are refused because of pauses get up to this many times the
/// time until the first pause ends.
constexpr double PauseRetrySpread = 1.5;

/// Cost of an upstream in another zone: for the longer way to it, it must have
/// this many calls fewer to be chosen.
constexpr double OtherZonePenalty = 2;

/// Age from which a load report is not used any more.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);

/// Share of an engine's memory that calls may need beside the cached segments,
/// which take about as much again.
constexpr double MaxHeldShare = 0.55;

/// Share of an engine's slots that calls may take; the rest is for calls that
/// other instances place at the same time. An engine with more calls than slots
/// makes calls wait, and preempts less urgent ones amid their streams, to
/// prefill them again later.
constexpr double MaxSlotShare = 0.85;

/// Share of an engine's slots up to which calls take them that get only what
/// others leave over. While the slots are scarce, other calls take all up to
/// MaxSlotShare; without the difference a call that is late anyway would take
/// each slot that becomes free, at whichever instance it waits. With 0.7, 4 in
/// 100 fewer calls were in time in a simulated burst of nine seconds.
constexpr double RemainderSlotShare = 0.4;

/// Tokens that an engine could prefill while all of its slots are freed once,
/// at 1.5 s a call and 40 tokens a ms. An engine whose slots are all taken
/// frees one each time that one of its calls ends.
constexpr double SlotTurnoverTokens = 60000;

/// Least retry time for callers that are refused for load; else it is the time
/// by which the wait exceeds the latency target.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(300);

/// Tokens that an engine could prefill during one step of a full batch, which
/// takes 6 to 9 ms and generates one token for each call: a generated token
/// costs as much as the prefill of one slot's share of these. With one weight
/// for all numbers of slots, too few engines of 16 slots went to streams, and
/// their slots were all taken.
constexpr double StepTokens = 400;

/// Returns whether \p State is among \p Options.
bool hasOption(const std::vector<EngineOption> &Options,
               const UpstreamState &State) {
  return std::ranges::any_of(Options, [&](const EngineOption &Option) {
    return Option.m_State == &State;
  });
}

/// Returns the number of tokens that a call is expected to generate.
std::uint32_t expectedOutput(const PromptInfo &Prompt) {
  if (Prompt.m_ExpectedOutputTokens > 0 && Prompt.m_MaxOutputTokens > 0)
    return std::min(Prompt.m_ExpectedOutputTokens, Prompt.m_MaxOutputTokens);
  return std::max(Prompt.m_ExpectedOutputTokens, Prompt.m_MaxOutputTokens);
}

} // namespace

void Balancer::setUpstreams(const std::vector<Upstream> &List) {
  std::map<UpstreamId, UpstreamState> NewStates;
  for (const Upstream &Listed : List) {
    if (Listed.m_Draining)
      m_Leaving.record(Listed.m_Id, true);
    const auto Found = m_States.find(Listed.m_Id);
    UpstreamState State;
    if (Found != m_States.end())
      State = std::move(Found->second);
    State.m_Upstream = Listed;
    State.m_Upstream.m_Draining = m_Leaving.contains(Listed.m_Id);
    NewStates.emplace(Listed.m_Id, std::move(State));
  }
  m_States = std::move(NewStates);
  m_Cache.keepOnly(List);
  m_RateLimits.keepOnly(List);
  m_Leaving.setListed(List);
  m_Speeds.setUpstreams(List);
  rankEngines();
}

/// Roles follow the order among all listed engines that are not draining, so
/// that the ejection of one does not change the role of another.
void Balancer::rankEngines() {
  std::map<std::string, std::vector<RankedEngine>> Engines;
  for (auto &[Id, State] : m_States) {
    State.m_SpeedClass = rankedSpeedClassOf(State);
    if (!State.m_Upstream.m_Draining)
      Engines[State.m_Upstream.m_Service].push_back({Id, State.m_SpeedClass});
  }
  for (auto &[Service, Roles] : m_EngineRoles)
    Roles.invalidate();
  m_ActiveUpstreamCounts.clear();
  for (auto &[Service, Ranked] : Engines) {
    m_ActiveUpstreamCounts[Service] = Ranked.size();
    std::size_t Rank = 0;
    for (const UpstreamId Id : roleOrder(std::move(Ranked)))
      m_States.at(Id).m_RoleRank = Rank++;
  }
}

std::optional<Placed>
Balancer::placeCarried(UpstreamId Upstream,
                       const quarantine::CallSuspects &Suspects,
                       TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end() || isBarred(Found->second, Now) ||
      !m_Pauses.maySend(Upstream, Now) ||
      m_Quarantine.holdOf(Suspects, Now).m_Left > Duration::zero())
    return std::nullopt;
  const TicketId Id(++m_LastTicket);
  m_Pauses.recordSend(Upstream, Id);
  Ticket &Carried = m_Tickets[Id];
  Carried.m_Upstream = Upstream;
  Carried.m_PlacedAt = Now;
  Carried.m_Suspects = Suspects;
  Carried.m_IsCarried = true;
  const struct Upstream &Where = Found->second.m_Upstream;
  Carried.m_Incarnation = incarnationOf(Upstream, Where.m_StartTime);
  return Placed{Id, Upstream,         Where.m_Name,     Where.m_Address,
                {}, Where.m_Software, Where.m_StartTime};
}

/// What failed on a lost path says nothing about the upstream.
void Balancer::setPathLost(UpstreamId Upstream, bool IsLost) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end())
    return;
  Found->second.m_IsPathLost = IsLost;
  if (IsLost)
    Found->second.m_Health = UpstreamHealth();
}

const Upstream *Balancer::findUpstream(UpstreamId Id) const {
  const auto Found = m_States.find(Id);
  return Found == m_States.end() ? nullptr : &Found->second.m_Upstream;
}

PlacementResult Balancer::place(const PlacementQuery &Query, TimePoint Now) {
  const Decision Decided = decide(Query, Now, nullptr);
  if (const auto *Refused = std::get_if<NotPlaced>(&Decided))
    return *Refused;
  if (const auto *Waiting = std::get_if<MustWait>(&Decided))
    return *Waiting;
  const auto &Chosen = std::get<Choice>(Decided);
  return Chosen.m_Engine ? sendToEngine(Query, Chosen, Now)
                         : issueTicket(Chosen, Query, {}, Now);
}

Balancer::Decision Balancer::decide(const PlacementQuery &Query, TimePoint Now,
                                    PlacementTrace *Trace) {
  m_PeerLoads.expire(Now);
  if (Query.m_Suspects != nullptr)
    if (const quarantine::CrashHold Hold =
            m_Quarantine.holdOf(*Query.m_Suspects, Now);
        Hold.m_Left > Duration::zero())
      return NotPlaced{Hold.m_Kind == quarantine::SuspectKind::Request
                           ? RefusalReason::Quarantined
                           : RefusalReason::SegmentQuarantined,
                       Hold.m_Left,
                       {0, 0, 0, 0, m_PeerLoads.size()},
                       Hold.m_Suspect};
  beginPlacementAtBrittle(Query.m_Service, Now);
  const States Candidates = findCandidates(Query, Now, Trace);
  if (Candidates.empty())
    return noCandidateResult(Query, Now);
  if (Query.m_Prompt.m_PromptTokens > 0)
    return decideAtEngine(Query, Candidates, Now, Trace);
  UpstreamState &Chosen = *choosePlainUpstream(
      brittlenessOf(Query.m_Service, Now) ? sampleTwo(Candidates) : Candidates,
      Now);
  PlacementInputs Inputs = {Candidates.size(), callsAt(Chosen, Now), 0, 0,
                            m_PeerLoads.size()};
  Inputs.m_SpeedClass = rankedSpeedClassOf(Chosen);
  if (Trace != nullptr) {
    for (UpstreamState *State : Candidates)
      Trace->add(*State, Verdict::CouldTake);
    Trace->setBest(Chosen);
  }
  return Choice{&Chosen, Inputs, std::nullopt};
}

Balancer::Decision Balancer::noCandidateResult(const PlacementQuery &Query,
                                               TimePoint Now) {
  NotPlaced Result{RefusalReason::NoUpstream,
                   NoUpstreamRetryAfter,
                   {0, 0, 0, 0, m_PeerLoads.size()}};
  if (isHeldBackAsBrittle(Query, Now)) {
    if (Query.m_MayWait)
      return MustWait{Result.m_Inputs};
    Result.m_Reason = RefusalReason::UpstreamBrittle;
    Result.m_RetryAfter = pauseRetryAfter(MinRetryAfter);
    return Result;
  }
  double Rate = 0;
  TimePoint PauseEnd = TimePoint::max();
  if (Query.m_RequiredSoftware)
    Result.m_Reason = RefusalReason::SoftwareGone;
  for (const auto &[Id, State] : m_States) {
    if (!isEligible(State, Query) || State.m_Upstream.m_Draining)
      continue;
    if (Result.m_Reason == RefusalReason::SoftwareGone)
      Result.m_Reason = RefusalReason::NoUpstream;
    if (const RateLimit Limit = m_RateLimits.limitOf(Id)) {
      Result.m_Reason = RefusalReason::UpstreamLimited;
      Rate += *Limit;
    }
    if (!m_Pauses.maySend(Id, Now))
      PauseEnd = std::min(PauseEnd, m_Pauses.pausedUntil(Id));
  }
  if (PauseEnd != TimePoint::max()) {
    Result.m_Reason = RefusalReason::UpstreamPaused;
    Result.m_RetryAfter = pauseRetryAfter(PauseEnd - Now);
    return Result;
  }
  if (Rate > 0)
    Result.m_RetryAfter =
        std::clamp(std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(std::min(1 / Rate, 1e3))),
                   NoUpstreamRetryAfter, LimitedRetryAfter);
  return Result;
}

/// Callers that are refused in the same pause return one after the other. With
/// no time left the trial after the pause is under way.
Duration Balancer::pauseRetryAfter(Duration Left) {
  const double Spread =
      std::uniform_real_distribution<>(1, PauseRetrySpread)(m_Random);
  const Duration Base = Left > Duration::zero()
                            ? std::clamp(Left, FullBackoff, LimitedRetryAfter)
                            : MinRetryAfter;
  return std::chrono::duration_cast<Duration>(Base * Spread);
}

Balancer::Decision Balancer::decideAtEngine(const PlacementQuery &Query,
                                            const States &Candidates,
                                            TimePoint Now,
                                            PlacementTrace *Trace) {
  const bool LatencySensitive = isLatencySensitive(Query);
  updateRoles(Query.m_Service, Now);
  const std::vector<EngineOption> Options =
      engineOptions(Query, LatencySensitive, Candidates, Now, Trace);
  if (Options.empty())
    return NotPlaced{RefusalReason::TargetUnreachable,
                     MinRetryAfter,
                     {0, 0, 0, 0, m_PeerLoads.size()}};
  const EngineOption &Best =
      chooseEngine(Query, LatencySensitive, Options,
                   prefillTimeOf(Query.m_Service), m_Random);
  const std::optional<EngineOption> LessLoaded =
      chooseLessLoaded(Query, LatencySensitive, Best, Options, Candidates, Now);
  const EngineOption &Chosen = LessLoaded ? *LessLoaded : Best;
  const Duration Wait = predictedWait(Query.m_Service, Chosen);
  const PlacementInputs Inputs = {Options.size(),
                                  Chosen.m_Calls,
                                  Chosen.m_QueuedPrefillTokens,
                                  Chosen.m_UncachedTokens,
                                  m_PeerLoads.size(),
                                  {},
                                  Chosen.m_State->m_SpeedClass,
                                  Wait,
                                  LessLoaded.has_value()};
  if (Trace != nullptr) {
    for (const EngineOption &Option : Options)
      Trace->addOption(Option, verdictAt(Query, Option));
    Trace->setBest(*Chosen.m_State);
  }
  if (Chosen.m_Full)
    return MustWait{Inputs};
  if (verdictAt(Query, Chosen) == Verdict::CouldTake)
    return Choice{Chosen.m_State, Inputs, Chosen, LatencySensitive};
  if (Query.m_MayWait && Query.m_WaitsBeyondLimit)
    return MustWait{Inputs};
  return NotPlaced{RefusalReason::TargetUnreachable,
                   std::max(Wait - Query.m_LatencyTarget, MinRetryAfter),
                   Inputs};
}

/// Returns why the call can't be placed at a compared engine now, or CouldTake.
Verdict Balancer::verdictAt(const PlacementQuery &Query,
                            const EngineOption &Option) const {
  if (Option.m_Full)
    return Option.m_LacksMemory ? Verdict::NoMemory : Verdict::NoSlot;
  return predictedWait(Query.m_Service, Option) > waitLimitOf(Query)
             ? Verdict::WaitTooLong
             : Verdict::CouldTake;
}

/// Returns the engines to choose from. Those of the other role are used only if
/// none of the call's own role has room.
///
/// A long prompt that has waited for an engine of its role is refused rather
/// than placed where it would make other calls late; a short one delays none. A
/// resumed stream has few engines to choose from.
std::vector<EngineOption> Balancer::engineOptions(const PlacementQuery &Query,
                                                  bool LatencySensitive,
                                                  const States &Candidates,
                                                  TimePoint Now,
                                                  PlacementTrace *Trace) const {
  const bool ByTime = isPlacedByTime(Query.m_Service);
  const std::size_t SensitiveEngines =
      latencySensitiveEngineCount(Query.m_Service);
  const bool KeepsToOwnRole =
      Query.m_WaitTimedOut && !LatencySensitive && !Query.m_RequiredSoftware;
  std::vector<EngineOption> Options;
  for (const bool OwnRole : {true, false}) {
    const bool IsUsed = Options.empty() && (OwnRole || !KeepsToOwnRole);
    if (!IsUsed && Trace == nullptr)
      break;
    for (UpstreamState *State : Candidates) {
      if (((State->m_RoleRank < SensitiveEngines) == LatencySensitive) !=
          OwnRole)
        continue;
      if (IsUsed)
        Options.push_back(optionAt(*State, Query, Now));
      else if (!hasOption(Options, *State))
        Trace->add(*State, Verdict::OtherRole);
    }
    if (!IsUsed)
      break;
    if (ByTime)
      for (EngineOption &Option : Options)
        addSpeed(Option, Now);
    markFull(Query, Options);
    if (OwnRole && ByTime && LatencySensitive)
      replaceFullEngines(Query, Candidates, Options, Now, Trace);
    if (Query.m_MayWait)
      continue;
    if (Trace != nullptr)
      for (const EngineOption &Option : Options)
        if (Option.m_Full)
          Trace->add(*Option.m_State, verdictAt(Query, Option));
    std::erase_if(Options,
                  [](const EngineOption &Option) { return Option.m_Full; });
  }
  return Options;
}

/// Returns the time until the prefill that is queued at the engine is done.
Duration Balancer::predictedWait(const std::string &Service,
                                 const EngineOption &Option) const {
  const auto Tokens = static_cast<std::uint64_t>(
      static_cast<double>(Option.m_QueuedPrefillTokens) * Option.m_Slowdown);
  return std::chrono::duration_cast<Duration>(
      m_PrefillSpeed.timeToFirstEvent(Service, Tokens) / Option.m_Speed);
}

/// Counts the call, its prefix and its work at the chosen engine.
Placed Balancer::sendToEngine(const PlacementQuery &Query, const Choice &Chosen,
                              TimePoint Now) {
  const PromptInfo &Prompt = Query.m_Prompt;
  const UpstreamState &State = *Chosen.m_State;
  const EngineOption &Engine = *Chosen.m_Engine;
  // The last segment is unique to the call and will not be requested again.
  for (std::size_t I = 0; I + 1 < Prompt.m_Segments.size(); ++I) {
    m_Cache.recordPlacement(State.m_Upstream.m_Id, Prompt.m_Segments[I],
                            m_CacheCapacities[Query.m_Service]);
    m_UnsentSegments.push_back({State.m_Upstream.m_Id, Prompt.m_Segments[I]});
  }
  recordWork(poolIdOf(Query.m_Service, 0), Chosen.m_LatencySensitive,
             Engine.m_UncachedTokens + expectedOutput(Prompt) * StepTokens /
                                           slotsOf(State.m_Upstream),
             Now);
  Placed Result = issueTicket(Chosen, Query,
                              {Engine.m_UncachedTokens,
                               Engine.m_UncachedTokens + expectedOutput(Prompt),
                               Chosen.m_LatencySensitive},
                              Now);
  Ticket &Issued = m_Tickets[Result.m_Ticket];
  Issued.m_NoQueuedPrefill = Engine.m_QueuedPrefillTokens == 0;
  Issued.m_TimeFactor = Engine.m_Slowdown / Engine.m_Speed;
  return Result;
}

bool Balancer::isLatencySensitive(const PlacementQuery &Query) const {
  const auto Found = m_MinPauses.find(Query.m_Service);
  return balance::isLatencySensitive(
      Query, Found == m_MinPauses.end() ? Duration::zero() : Found->second);
}

EngineOption Balancer::optionAt(UpstreamState &State,
                                const PlacementQuery &Query,
                                TimePoint Now) const {
  const UpstreamId Id = State.m_Upstream.m_Id;
  const Urgency Level = Query.m_Urgency;
  const std::uint32_t Tokens = Query.m_Prompt.m_PromptTokens;
  const std::uint32_t CachedTokens =
      m_Cache.cachedTokens(Id, Query.m_Prompt.m_Segments);
  const CallLoad &Own = State.m_OwnLoad;
  const CallLoad &Peers = m_PeerLoads.at(Id);
  EngineOption Result;
  Result.m_State = &State;
  Result.m_Calls = callsAt(State, Peers, Now);
  Result.m_QueuedPrefillTokens =
      Own.prefillBefore(Level) + Peers.prefillBefore(Level);
  Result.m_LaterPrefillTokens =
      Own.prefillAfter(Level) + Peers.prefillAfter(Level);
  Result.m_MoreUrgentCalls =
      Own.moreUrgentCalls(Level) + Peers.moreUrgentCalls(Level);
  Result.m_LatencySensitiveCalls =
      Own.latencySensitiveCalls() + Peers.latencySensitiveCalls();
  Result.m_LessUrgentCalls =
      Own.lessUrgentCalls(Level) + Peers.lessUrgentCalls(Level);
  Result.m_UncachedTokens = Tokens - std::min(Tokens, CachedTokens);
  Result.m_HeldTokens = Own.heldTokens() + Peers.heldTokens();
  return Result;
}

/// The first engines by rank take latency-sensitive calls only.
std::size_t
Balancer::latencySensitiveEngineCount(const std::string &Service) const {
  if (const auto Roles = m_EngineRoles.find(Service);
      Roles != m_EngineRoles.end())
    return Roles->second.latencySensitiveEngineCount();
  const auto Engines = m_ActiveUpstreamCounts.find(Service);
  const auto Split = m_RoleSplits.find(poolIdOf(Service, 0));
  if (Engines == m_ActiveUpstreamCounts.end())
    return 0;
  return (Split == m_RoleSplits.end() ? RoleSplit() : Split->second)
      .latencySensitiveEngineCount(Engines->second);
}

/// Marks the engines whose slots are taken, or whose memory the call could
/// exhaust. An engine without free memory preempts a call amid its stream, to
/// prefill it again later, and evicts cached segments.
///
/// A call may take all slots of an engine with less urgent calls, and even
/// exceed them if its wait has timed out: the engine then preempts the least
/// urgent call. All other engines count as full for a call whose wait has timed
/// out, as it would prefill its prefix again there. Otherwise a burst of the
/// least urgent class would take every slot that becomes free, at whichever
/// instance it waits, while urgent calls are refused. A resumed stream may take
/// any free slot: it can't go elsewhere, and its caller has part of the answer.
void Balancer::markFull(const PlacementQuery &Query,
                        std::vector<EngineOption> &Options) const {
  const auto Capacity = m_CacheCapacities.find(Query.m_Service);
  const double Limit =
      Capacity == m_CacheCapacities.end() || Capacity->second == 0
          ? std::numeric_limits<double>::infinity()
          : MaxHeldShare * static_cast<double>(Capacity->second);
  for (EngineOption &Option : Options) {
    const bool HasLessUrgent = Option.m_LessUrgentCalls > 0;
    const bool MayFill = HasLessUrgent || Query.m_RequiredSoftware.has_value();
    const bool NoSlot = hasNoSlot(Query, Option);
    const bool MayTakeNone =
        Query.m_WaitTimedOut ? !HasLessUrgent && (NoSlot || !MayFill) : NoSlot;
    Option.m_LacksMemory =
        !MayTakeNone && Option.m_HeldTokens > 0 &&
        static_cast<double>(Option.m_HeldTokens + Option.m_UncachedTokens +
                            expectedOutput(Query.m_Prompt)) > Limit;
    Option.m_Full = MayTakeNone || Option.m_LacksMemory;
    Option.m_SlotWaitTokens =
        SlotTurnoverTokens / slotsOf(Option.m_State->m_Upstream);
  }
}

/// Returns whether the slots that the call may take at the engine are taken. An
/// engine whose usable share is less than one slot has that one.
bool Balancer::hasNoSlot(const PlacementQuery &Query,
                         const EngineOption &Option) {
  const double Slots = slotsOf(Option.m_State->m_Upstream);
  if (Query.m_RequiredSoftware)
    return Option.m_Calls >= Slots;
  const double Usable = Option.m_UsableShare * Slots;
  const double SlotShare = Query.m_TakesRemainder         ? RemainderSlotShare
                           : Option.m_LessUrgentCalls > 0 ? 1
                                                          : MaxSlotShare;
  const double Limit = SlotShare * Usable;
  return Option.m_Calls >= std::max(1.0, Limit);
}

std::vector<const Upstream *>
Balancer::stayingUpstreams(const std::string &Service) const {
  std::vector<const Upstream *> Result;
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Service && !State.m_Upstream.m_Draining)
      Result.push_back(&State.m_Upstream);
  return Result;
}

double Balancer::busyEngines(const std::string &Service, TimePoint Now) const {
  const bool ByTime = isPlacedByTime(Service);
  const double MeanSpeed = ByTime ? meanSpeedOf(Service, Now) : 1;
  double BySlots = 0;
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Service)
      BySlots += callsAt(State, Now) / slotsOf(State.m_Upstream) *
                 (ByTime ? speedView().speedOf(Id, Now) / MeanSpeed : 1);
  const auto Split = m_RoleSplits.find(poolIdOf(Service, 0));
  if (Split == m_RoleSplits.end())
    return BySlots;
  const std::chrono::duration<double> ByPrefill =
      Split->second.tokensPerSecond(Now) * m_PrefillSpeed.perToken(Service) /
      MeanSpeed;
  return std::max(BySlots, ByPrefill.count());
}

void Balancer::recordWork(PoolId Pool, bool LatencySensitive, double Tokens,
                          TimePoint Now) {
  WorkTokens Work;
  (LatencySensitive ? Work.m_LatencySensitive : Work.m_Other) = Tokens;
  m_RoleSplits[Pool].add(Work, Now);
  m_UnsentWork[Pool] += Work;
}

/// Returns what the caller of place() gets.
Placed Balancer::placedAt(const Choice &Chosen, TicketId Ticket,
                          TimePoint Now) {
  const Upstream &At = Chosen.m_State->m_Upstream;
  Placed Result{Ticket,          At.m_Id,       At.m_Name,     At.m_Address,
                Chosen.m_Inputs, At.m_Software, At.m_StartTime};
  if (At.m_UnlistedAt != TimePoint())
    Result.m_Inputs.m_UnlistedFor = Now - At.m_UnlistedAt;
  return Result;
}

Placed Balancer::issueTicket(const Choice &Chosen, const PlacementQuery &Query,
                             const CallDemand &Tokens, TimePoint Now) {
  const Upstream &At = Chosen.m_State->m_Upstream;
  Chosen.m_State->m_OwnLoad.addCall(Query.m_Urgency, Tokens);
  m_RateLimits.recordSend(At.m_Id, Now);
  const TicketId Id(++m_LastTicket);
  m_Pauses.recordSend(At.m_Id, Id);
  m_Tickets[Id] = {At.m_Id,
                   Query.m_Urgency,
                   Tokens,
                   Now,
                   false,
                   Query.m_Suspects == nullptr
                       ? std::nullopt
                       : std::optional(*Query.m_Suspects),
                   false,
                   Query.m_RequiredSoftware,
                   incarnationOf(At.m_Id, At.m_StartTime)};
  return placedAt(Chosen, Id, Now);
}

double Balancer::callsAt(const UpstreamState &State, TimePoint Now) const {
  return callsAt(State, m_PeerLoads.at(State.m_Upstream.m_Id), Now);
}

double Balancer::callsAt(const UpstreamState &State, const CallLoad &Peers,
                         TimePoint Now) const {
  const auto Own = static_cast<double>(State.m_OwnLoad.runningCalls());
  if (m_PeerLoads.size() > 0)
    return Own + Peers.runningCalls();
  if (!State.m_LoadReport || Now - State.m_ReportedAt > ReportLifetime)
    return Own;
  const double Reported =
      State.m_LoadReport->m_Running + State.m_LoadReport->m_Waiting;
  return std::max(Own, Reported + Own - State.m_RunningAtReport);
}

void Balancer::beginPlacementAtBrittle(const std::string &Service,
                                       TimePoint Now) {
  if (!brittlenessOf(Service, Now))
    return;
  double Calls = 0;
  double Slots = 0;
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Service && !isBarred(State, Now)) {
      Calls += callsAt(State, Now);
      Slots +=
          static_cast<double>(BrittleUpstreams::usableSlots(State.m_Upstream));
    }
  if (Slots > 0)
    m_Brittle.beginPlacement(poolIdOf(Service, 0), Calls / Slots,
                             std::uniform_real_distribution<>()(m_Random), Now);
}

/// Instances that all take the best one would make it reject calls.
Balancer::States Balancer::sampleTwo(const States &Candidates) {
  States Result;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Result),
              2, m_Random);
  return Result;
}

UpstreamState *Balancer::choosePlainUpstream(const States &Candidates,
                                             TimePoint Now) const {
  const bool ByTime = isPlacedByTime(Candidates.front()->m_Upstream.m_Service);
  return *std::min_element(Candidates.begin(), Candidates.end(),
                           [&](auto *Left, auto *Right) {
                             return plainCostAt(*Left, ByTime, Now) <
                                    plainCostAt(*Right, ByTime, Now);
                           });
}

double Balancer::plainCostAt(const UpstreamState &State, bool ByTime,
                             TimePoint Now) const {
  const bool SameZone = State.m_Upstream.m_Zone == m_Zone;
  const double Calls = callsAt(State, Now);
  return (ByTime ? (Calls + 1) * timeFactorOf(State.m_Upstream.m_Id, Now)
                 : Calls) +
         (SameZone ? 0 : OtherZonePenalty) +
         // Among upstreams with equal calls, prefers those with fewer failures.
         State.m_Health.failureShare();
}

} // namespace crowstep::balance
