/// Choice among the upstreams of a service.
#include "balance/balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace crowstep::balance {

namespace {

/// An upstream that had no room gets no calls for this long: about the time in
/// which a slot of a plain service becomes free.
constexpr Duration FullBackoff = std::chrono::milliseconds(50);

/// An upstream that says that it is draining, or that it is another one, gets
/// no calls until the directory has its state; the directory has it within a
/// second.
constexpr Duration DrainingBackoff = std::chrono::milliseconds(1500);

/// Retry time for callers that are refused for lack of an upstream: the
/// directory learns of a new upstream within a second.
constexpr Duration NoUpstreamRetryAfter = std::chrono::milliseconds(500);

/// Longest retry time for callers that are refused because of upstreams' rate
/// limits: the limits may have ended by then.
constexpr Duration LimitedRetryAfter = std::chrono::seconds(4);

/// Cost of an upstream in another zone: for the longer way to it, it must have
/// this many calls fewer to be chosen.
constexpr double OtherZonePenalty = 2;

/// Age from which a load report is not used any more.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);

/// A call is refused at once if the prefill queued before it takes longer than
/// this share of its latency target: it would be late, and its own prefill
/// would delay calls that can still be in time. Its own prompt is not counted,
/// so that long prompts are not refused where shorter ones are accepted.
constexpr double MaxWaitInTargets = 0.75;

/// Least limit on that wait: callers with short targets wait longer than these
/// before they give up, and a late answer is still of use to them.
constexpr Duration MinWaitLimit = std::chrono::milliseconds(1200);

/// Share of an engine's memory that calls may need beside the cached segments,
/// which take about as much again.
constexpr double MaxHeldShare = 0.55;

/// Share of an engine's slots that calls may take; the rest is for calls that
/// other instances place at the same time. An engine with more calls than slots
/// makes calls wait, and preempts less urgent ones amid their streams, to
/// prefill them again later.
constexpr double MaxSlotShare = 0.85;

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

/// Largest share of a service's upstreams that is left out for their health or
/// for lack of room: when all fail alike the fault is elsewhere, and the rest
/// could not take the load.
constexpr double MaxExcludedShare = 0.5;

/// Returns the number of tokens that a call is expected to generate.
std::uint32_t expectedOutput(const PromptSize &Prompt) {
  if (Prompt.m_ExpectedOutput > 0 && Prompt.m_MaxOutput > 0)
    return std::min(Prompt.m_ExpectedOutput, Prompt.m_MaxOutput);
  return std::max(Prompt.m_ExpectedOutput, Prompt.m_MaxOutput);
}

} // namespace

void Balancer::setUpstreams(const std::vector<Upstream> &List) {
  std::map<UpstreamId, UpstreamState> NewStates;
  for (const Upstream &Listed : List) {
    const auto Found = m_States.find(Listed.m_Id);
    UpstreamState State;
    if (Found != m_States.end())
      State = std::move(Found->second);
    State.m_Upstream = Listed;
    NewStates.emplace(Listed.m_Id, std::move(State));
  }
  m_States = std::move(NewStates);
  m_Cache.keepOnly(List);
  m_Limits.keepOnly(List);
  rankEngines();
}

/// Roles follow the order among all listed engines that are not draining, so
/// that the ejection of one does not change the role of another.
void Balancer::rankEngines() {
  std::map<std::string, std::vector<UpstreamId>> Engines;
  for (const auto &[Id, State] : m_States)
    if (!State.m_Upstream.m_Leaving)
      Engines[State.m_Upstream.m_Service].push_back(Id);
  m_Staying.clear();
  for (auto &[Service, Ids] : Engines) {
    m_Staying[Service] = Ids.size();
    std::size_t Rank = 0;
    for (const UpstreamId Id : shortOrder(std::move(Ids)))
      m_States.at(Id).m_ShortRank = Rank++;
  }
}

Balancer::States Balancer::candidates(const PlacementQuery &Query,
                                      TimePoint Now) {
  States Listed;
  for (auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Query.m_Service &&
        !State.m_Upstream.m_Leaving &&
        std::find(Query.m_Avoid.begin(), Query.m_Avoid.end(), Id) ==
            Query.m_Avoid.end() &&
        Now >= State.m_LeavingUntil && m_Limits.mayTake(Id, Now))
      Listed.push_back(&State);
  States Available;
  std::copy_if(Listed.begin(), Listed.end(), std::back_inserter(Available),
               [&](const UpstreamState *State) {
                 return !State->m_Health.ejected(Now) &&
                        Now >= State->m_FullUntil;
               });
  const auto MinAvailable = static_cast<std::size_t>(
      static_cast<double>(Listed.size()) * (1 - MaxExcludedShare));
  return Available.empty() || Available.size() < MinAvailable ? Listed
                                                              : Available;
}

PlacementResult Balancer::place(const PlacementQuery &Query, TimePoint Now) {
  m_Peers.expire(Now);
  if (Query.m_Content)
    if (const Duration Left = m_Quarantine.heldFor(*Query.m_Content, Now);
        Left > Duration::zero())
      return NotPlaced{
          RefusalReason::Quarantined, Left, {0, 0, 0, 0, m_Peers.size()}};
  const States Candidates = candidates(Query, Now);
  if (Candidates.empty())
    return nonePlaced(Query);
  if (Query.m_Prompt.m_PromptTokens > 0)
    return placeAtEngine(Query, Candidates, Now);
  UpstreamState &Chosen = *chooseForPlain(Candidates, Now);
  const PlacementInputs Inputs = {Candidates.size(), callsAt(Chosen, Now), 0, 0,
                                  m_Peers.size()};
  return begin(Chosen, Query, {}, Inputs, Now);
}

NotPlaced Balancer::nonePlaced(const PlacementQuery &Query) const {
  NotPlaced Result{RefusalReason::NoUpstream,
                   NoUpstreamRetryAfter,
                   {0, 0, 0, 0, m_Peers.size()}};
  double Rate = 0;
  for (const auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Query.m_Service)
      if (const RateLimit Limit = m_Limits.limitOf(Id)) {
        Result.m_Reason = RefusalReason::UpstreamLimited;
        Rate += *Limit;
      }
  if (Rate > 0)
    Result.m_RetryAfter =
        std::clamp(std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(std::min(1 / Rate, 1e3))),
                   NoUpstreamRetryAfter, LimitedRetryAfter);
  return Result;
}

PlacementResult Balancer::placeAtEngine(const PlacementQuery &Query,
                                        const States &Candidates,
                                        TimePoint Now) {
  const PromptSize &Prompt = Query.m_Prompt;
  const bool LatencySensitive = tight(Query);
  const PoolId Pool = poolIdOf(Query.m_Service, 0);
  const std::size_t SensitiveEngines = shortEngines(Query.m_Service);
  // Engines of the other role are used only if none of the call's own role has
  // room.
  std::vector<EngineOption> Options;
  for (const bool OwnRole : {true, false}) {
    // A call that has waited for an engine of its role is refused rather than
    // placed where it would make other calls late.
    if (!Options.empty() || (!OwnRole && Query.m_WaitedInVain))
      break;
    for (UpstreamState *State : Candidates)
      if (((State->m_ShortRank < SensitiveEngines) == LatencySensitive) ==
          OwnRole)
        Options.push_back(optionAt(*State, Query, Now));
    markFull(Query, Options);
  }
  if (Options.empty())
    return NotPlaced{RefusalReason::TargetUnreachable,
                     MinRetryAfter,
                     {0, 0, 0, 0, m_Peers.size()}};
  const EngineOption &Chosen =
      chooseEngine(Query, LatencySensitive, Options, m_Random);
  const PlacementInputs Inputs = {Options.size(), Chosen.m_Calls,
                                  Chosen.m_UnreadTokens, Chosen.m_MissingTokens,
                                  m_Peers.size()};
  if (Chosen.m_Full)
    return MustWait{Inputs};
  const Duration Wait = m_Speed.timeFor(Query.m_Service, Chosen.m_UnreadTokens);
  const auto Limit =
      std::max(MinWaitLimit,
               std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double, std::micro>(Query.m_Target) *
                   MaxWaitInTargets));
  if (Wait > Limit)
    return NotPlaced{RefusalReason::TargetUnreachable,
                     std::max(Wait - Query.m_Target, MinRetryAfter), Inputs};
  UpstreamState &State = *Chosen.m_State;
  // The last segment is unique to the call and will not be requested again.
  for (std::size_t I = 0; I + 1 < Prompt.m_Parts.size(); ++I) {
    m_Cache.placed(State.m_Upstream.m_Id, Prompt.m_Parts[I],
                   m_CacheTokens[Query.m_Service]);
    m_NewParts.push_back({State.m_Upstream.m_Id, Prompt.m_Parts[I]});
  }
  noteWork(Pool, LatencySensitive,
           Chosen.m_MissingTokens +
               expectedOutput(Prompt) * StepTokens / slotsOf(State.m_Upstream),
           Now);
  const bool NoQueuedPrefill = Chosen.m_UnreadTokens == 0;
  const Placed Result =
      begin(State, Query,
            {Chosen.m_MissingTokens,
             Chosen.m_MissingTokens + expectedOutput(Prompt), LatencySensitive},
            Inputs, Now);
  m_Tickets[Result.m_Ticket].m_Undisturbed = NoQueuedPrefill;
  return Result;
}

bool Balancer::tight(const PlacementQuery &Query) const {
  const auto Found = m_TightestPauses.find(Query.m_Service);
  return isTight(Query, Found == m_TightestPauses.end() ? Duration::zero()
                                                        : Found->second);
}

EngineOption Balancer::optionAt(UpstreamState &State,
                                const PlacementQuery &Query,
                                TimePoint Now) const {
  const UpstreamId Id = State.m_Upstream.m_Id;
  const Urgency Level = Query.m_Urgency;
  const std::uint32_t Tokens = Query.m_Prompt.m_PromptTokens;
  const std::uint32_t CachedTokens = m_Cache.kept(Id, Query.m_Prompt.m_Parts);
  const CallLoad &Own = State.m_Own;
  const CallLoad &Peers = m_Peers.at(Id);
  EngineOption Result;
  Result.m_State = &State;
  Result.m_Calls = callsAt(State, Peers, Now);
  Result.m_UnreadTokens = Own.unreadBefore(Level) + Peers.unreadBefore(Level);
  Result.m_UnreadAfter = Own.unreadAfter(Level) + Peers.unreadAfter(Level);
  Result.m_MoreUrgent = Own.moreUrgent(Level) + Peers.moreUrgent(Level);
  Result.m_Tight = Own.tight() + Peers.tight();
  Result.m_LessUrgent = Own.lessUrgent(Level) + Peers.lessUrgent(Level);
  Result.m_MissingTokens = Tokens - std::min(Tokens, CachedTokens);
  Result.m_HeldTokens = Own.held() + Peers.held();
  return Result;
}

/// The first engines by rank take latency-sensitive calls only.
std::size_t Balancer::shortEngines(const std::string &Service) const {
  const auto Engines = m_Staying.find(Service);
  const auto Split = m_Splits.find(poolIdOf(Service, 0));
  if (Engines == m_Staying.end())
    return 0;
  return (Split == m_Splits.end() ? RoleSplit() : Split->second)
      .shortEngines(Engines->second);
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
/// instance it waits, while urgent calls are refused.
void Balancer::markFull(const PlacementQuery &Query,
                        std::vector<EngineOption> &Options) const {
  const auto Capacity = m_CacheTokens.find(Query.m_Service);
  const double Limit =
      Capacity == m_CacheTokens.end() || Capacity->second == 0
          ? std::numeric_limits<double>::infinity()
          : MaxHeldShare * static_cast<double>(Capacity->second);
  for (EngineOption &Option : Options) {
    const double Slots = slotsOf(Option.m_State->m_Upstream);
    const bool HasLessUrgent = Option.m_LessUrgent > 0;
    const bool NoSlot =
        Option.m_Calls >= (HasLessUrgent ? 1 : MaxSlotShare) * Slots;
    Option.m_Full =
        (Query.m_WaitedInVain ? !HasLessUrgent : NoSlot) ||
        (Option.m_HeldTokens > 0 &&
         static_cast<double>(Option.m_HeldTokens + Option.m_MissingTokens +
                             expectedOutput(Query.m_Prompt)) > Limit);
    Option.m_FullTokens = SlotTurnoverTokens / Slots;
  }
  if (!Query.m_MayWait)
    std::erase_if(Options,
                  [](const EngineOption &Option) { return Option.m_Full; });
}

void Balancer::noteWork(PoolId Pool, bool LatencySensitive, double Tokens,
                        TimePoint Now) {
  WorkTokens Work;
  (LatencySensitive ? Work.m_Short : Work.m_Long) = Tokens;
  m_Splits[Pool].add(Work, Now);
  m_NewWork[Pool] += Work;
}

Placed Balancer::begin(UpstreamState &Chosen, const PlacementQuery &Query,
                       const CallTokens &Tokens, const PlacementInputs &Inputs,
                       TimePoint Now) {
  Chosen.m_Own.begin(Query.m_Urgency, Tokens);
  m_Limits.taken(Chosen.m_Upstream.m_Id, Now);
  const TicketId Id(++m_LastTicket);
  m_Tickets[Id] = {Chosen.m_Upstream.m_Id, Query.m_Urgency, Tokens, Now, false,
                   Query.m_Content};
  return Placed{Id, Chosen.m_Upstream.m_Id, Chosen.m_Upstream.m_Name,
                Chosen.m_Upstream.m_Address, Inputs};
}

double Balancer::callsAt(const UpstreamState &State, TimePoint Now) const {
  return callsAt(State, m_Peers.at(State.m_Upstream.m_Id), Now);
}

double Balancer::callsAt(const UpstreamState &State, const CallLoad &Peers,
                         TimePoint Now) const {
  const auto Own = static_cast<double>(State.m_Own.running());
  if (m_Peers.size() > 0)
    return Own + Peers.running();
  if (!State.m_Load || Now - State.m_LoadAt > ReportLifetime)
    return Own;
  const double Reported = State.m_Load->m_Running + State.m_Load->m_Waiting;
  return std::max(Own, Reported + Own - State.m_RunningAtLoad);
}

void Balancer::peerSaid(InstanceId Peer, const LoadDigest &Digest,
                        TimePoint Now) {
  m_Peers.take(Peer, Digest.m_Loads, Now);
  m_Quarantine.take(Digest.m_Crashes, Now);
  m_Limits.take(Digest.m_Limits, Now);
  for (const auto &[Pool, Work] : Digest.m_Work)
    m_Splits[Pool].add(Work, Now);
  for (const PartPlaced &Placement : Digest.m_Parts) {
    const auto Found = m_States.find(Placement.m_Upstream);
    if (Found != m_States.end())
      m_Cache.placed(Placement.m_Upstream, Placement.m_Part,
                     m_CacheTokens[Found->second.m_Upstream.m_Service]);
  }
}

LoadDigest Balancer::wholeDigest(TimePoint Now) const {
  LoadDigest Result;
  for (const auto &[Id, State] : m_States) {
    State.m_Own.tell(Id, Result.m_Loads);
    std::vector<PromptPart> Segments;
    m_Cache.tell(Id, Segments);
    for (const PromptPart &Segment : Segments)
      Result.m_Parts.push_back({Id, Segment});
  }
  // Only the proportion matters, so it may be received from several instances.
  for (const auto &[Pool, Split] : m_Splits)
    Result.m_Work[Pool] = Split.recent();
  Result.m_Crashes = m_Quarantine.all();
  Result.m_Limits = m_Limits.all(Now);
  return Result;
}

LoadDigest Balancer::takeDigest(TimePoint Now) {
  LoadDigest Result;
  for (const auto &[Id, State] : m_States)
    State.m_Own.tell(Id, Result.m_Loads);
  Result.m_Parts = std::exchange(m_NewParts, {});
  Result.m_Work = std::exchange(m_NewWork, {});
  Result.m_Crashes = m_Quarantine.takeNews();
  Result.m_Limits = m_Limits.takeNews(Now);
  return Result;
}

UpstreamState *Balancer::chooseForPlain(const States &Candidates,
                                        TimePoint Now) const {
  const auto Cost = [&](const UpstreamState &State) {
    const bool SameZone = State.m_Upstream.m_Zone == m_Zone;
    return callsAt(State, Now) + (SameZone ? 0 : OtherZonePenalty) +
           // Among upstreams with equal calls, prefers those with fewer
           // failures.
           State.m_Health.failureShare();
  };
  return *std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](auto *Left, auto *Right) { return Cost(*Left) < Cost(*Right); });
}

UpstreamState *Balancer::stateOf(TicketId Ticket) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return nullptr;
  const auto State = m_States.find(Found->second.m_Upstream);
  return State == m_States.end() ? nullptr : &State->second;
}

void Balancer::answered(TicketId Ticket, TimePoint Now) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  struct Ticket &Found = m_Tickets[Ticket];
  if (Found.m_Undisturbed)
    m_Speed.seen(State->m_Upstream.m_Service, Found.m_Tokens.m_Unread,
                 Now - Found.m_Begin);
  State->m_Own.read(Found.m_Urgency, Found.m_Tokens.m_Unread);
  Found.m_Tokens.m_Unread = 0;
}

void Balancer::heard(TicketId Ticket, TimePoint Now) {
  if (UpstreamState *State = stateOf(Ticket))
    State->m_HeardAt = Now;
}

Duration Balancer::unheardOf(TicketId Ticket, TimePoint Now) const {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return Duration::zero();
  TimePoint Since = Found->second.m_Begin;
  const auto State = m_States.find(Found->second.m_Upstream);
  if (State != m_States.end())
    Since = std::max(Since, State->second.m_HeardAt);
  return Now - Since;
}

void Balancer::reported(TicketId Ticket, const LoadReport &Load,
                        TimePoint Now) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  State->m_Load = Load;
  State->m_RunningAtLoad = State->m_Own.running();
  State->m_LoadAt = Now;
}

void Balancer::stated(TicketId Ticket, RateLimit Limit, TimePoint Now) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found != m_Tickets.end() && m_States.contains(Found->second.m_Upstream))
    m_Limits.stated(Found->second.m_Upstream, Limit, Found->second.m_Begin,
                    Now);
}

void Balancer::ended(TicketId Ticket, CallOutcome Outcome, TimePoint Now) {
  if (UpstreamState *State = stateOf(Ticket)) {
    const struct Ticket &Ended = m_Tickets[Ticket];
    State->m_Own.read(Ended.m_Urgency, Ended.m_Tokens.m_Unread);
    State->m_Own.end(Ended.m_Urgency, Ended.m_Tokens);
    State->m_Health.ended(Outcome, Now);
    reportToQuarantine(Ended, *State, Outcome, Now);
    if (Outcome == CallOutcome::Refused)
      State->m_FullUntil = Now + FullBackoff;
    if (Outcome == CallOutcome::Leaving)
      State->m_LeavingUntil = Now + DrainingBackoff;
  }
  m_Tickets.erase(Ticket);
}

/// A draining upstream may cut its last calls without having crashed.
void Balancer::reportToQuarantine(const Ticket &Ended, const UpstreamState &At,
                                  CallOutcome Outcome, TimePoint Now) {
  if (!Ended.m_Content)
    return;
  if (Outcome == CallOutcome::Served)
    m_Quarantine.served(*Ended.m_Content);
  else if (Outcome == CallOutcome::Broken && !At.m_Upstream.m_Leaving &&
           Now >= At.m_LeavingUntil)
    m_Quarantine.callBroken(*Ended.m_Content, Ended.m_Upstream, Now);
}

bool Balancer::mayBegin(TicketId Ticket, TimePoint Now) const {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return false;
  if (const auto &Content = Found->second.m_Content;
      Content && m_Quarantine.heldFor(*Content, Now) > Duration::zero())
    return false;
  const auto State = m_States.find(Found->second.m_Upstream);
  return State != m_States.end() && !State->second.m_Upstream.m_Leaving &&
         Now >= State->second.m_LeavingUntil;
}

} // namespace crowstep::balance
