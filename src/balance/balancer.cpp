/// Choice among the upstreams of a service.
#include "balance/balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace crowstep::balance {

namespace {

/// An upstream that had no room gets nothing for this long: about the time in
/// which a slot of a plain service comes free.
constexpr Duration FullSpan = std::chrono::milliseconds(50);

/// An upstream that says that it closes its connections, or that it is another
/// one, gets nothing until the directory has said what it is; the directory
/// follows within a second.
constexpr Duration LeavingSpan = std::chrono::milliseconds(1500);

/// A caller refused for want of an upstream comes back after this: the
/// directory learns of a new upstream within a second.
constexpr Duration NoUpstreamRetryAfter = std::chrono::milliseconds(500);

/// A caller refused for upstreams' limits comes back within this time: until
/// then the limits may have ended.
constexpr Duration LimitedRetryAfter = std::chrono::seconds(4);

/// Another zone's upstream must have this many calls fewer to be worth the way.
constexpr double ZoneAdvantage = 2;

/// A report older than this says nothing about now.
constexpr Duration ReportLife = std::chrono::milliseconds(1500);

/// A call is refused at once if what is read before it takes longer than this
/// many targets. Its own prompt does not count, so that long prompts are not
/// refused where shorter ones are taken. It would be late, and what is read for
/// it would make calls late that can still be in time.
constexpr double WaitInTargets = 0.75;

/// Callers with short targets wait longer than these before they give up, and a
/// late answer is worth something to them.
constexpr Duration LeastWait = std::chrono::milliseconds(1200);

/// Share of an engine's memory that calls may need beside the parts that it
/// keeps, which are as much again.
constexpr double HeldShare = 0.55;

/// Share of an engine's slots that calls may take. Over its slots an engine
/// makes calls wait, and stops less urgent ones amid their streams for more
/// urgent ones, to read them again later. The rest is for calls that other
/// instances place meanwhile.
constexpr double SlotShare = 0.85;

/// An engine whose slots are all taken frees one each time that one of its
/// calls ends: with calls of 1.5 s and 40 tokens read in a ms, this many tokens
/// could be read until all slots have changed hands.
constexpr double SlotTurnTokens = 60000;

/// A caller that is refused for load comes back after the time by which the
/// wait is too long, and not sooner than this.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(300);

/// A step of a full batch makes one token for each of its calls and takes 6 to
/// 9 ms, in which an engine could read about this many: a token made takes as
/// long as reading a slot's share of them. With one weight for all, engines of
/// 16 slots had too few of them for streams, whose slots were taken.
constexpr double StepTokens = 400;

/// At most this share of a service is kept out for its answers: when all fail
/// alike the fault is elsewhere, and the rest could not take the load.
constexpr double MaxEjected = 0.5;

/// Returns the tokens that a call is expected to make.
std::uint32_t outputOf(const PromptSize &Prompt) {
  if (Prompt.m_ExpectedOutput > 0 && Prompt.m_MaxOutput > 0)
    return std::min(Prompt.m_ExpectedOutput, Prompt.m_MaxOutput);
  return std::max(Prompt.m_ExpectedOutput, Prompt.m_MaxOutput);
}

} // namespace

void Balancer::setUpstreams(const std::vector<Upstream> &List) {
  std::map<UpstreamId, UpstreamState> Next;
  for (const Upstream &Each : List) {
    const auto Found = m_States.find(Each.m_Id);
    UpstreamState State;
    if (Found != m_States.end())
      State = std::move(Found->second);
    State.m_Upstream = Each;
    Next.emplace(Each.m_Id, std::move(State));
  }
  m_States = std::move(Next);
  m_Cache.keepOnly(List);
  m_Limits.keepOnly(List);
  rankEngines();
}

/// Roles go by the engines' order among all that are listed, so that one that
/// is kept out for a while moves no role.
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
  States Fit;
  std::copy_if(Listed.begin(), Listed.end(), std::back_inserter(Fit),
               [&](const UpstreamState *State) {
                 return !State->m_Health.ejected(Now) &&
                        Now >= State->m_FullUntil;
               });
  const auto Least = static_cast<std::size_t>(
      static_cast<double>(Listed.size()) * (1 - MaxEjected));
  return Fit.empty() || Fit.size() < Least ? Listed : Fit;
}

PlacementResult Balancer::place(const PlacementQuery &Query, TimePoint Now) {
  m_Peers.expire(Now);
  if (Query.m_Content)
    if (const Duration Left = m_Quarantine.heldFor(*Query.m_Content, Now);
        Left > Duration::zero())
      return NotPlaced{
          RefusalReason::Quarantined, Left, {0, 0, 0, 0, m_Peers.size()}};
  const States From = candidates(Query, Now);
  if (From.empty())
    return nonePlaced(Query);
  if (Query.m_Prompt.m_PromptTokens > 0)
    return placeAtEngine(Query, From, Now);
  UpstreamState &Chosen = *chooseForPlain(From, Now);
  const PlacementInputs Why = {From.size(), callsAt(Chosen, Now), 0, 0,
                               m_Peers.size()};
  return begin(Chosen, Query, {}, Why, Now);
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
                                        const States &From, TimePoint Now) {
  const PromptSize &Prompt = Query.m_Prompt;
  const bool Tight = tight(Query);
  const PoolId Pool = poolIdOf(Query.m_Service, 0);
  const std::size_t ShortOnly = shortEngines(Query.m_Service);
  // Engines of the other role only where none of the call's own has room.
  std::vector<EngineOption> Options;
  for (const bool OwnRole : {true, false}) {
    // One that waited for engines of its role is refused rather than put where
    // it makes the others late.
    if (!Options.empty() || (!OwnRole && Query.m_WaitedInVain))
      break;
    for (UpstreamState *State : From)
      if (((State->m_ShortRank < ShortOnly) == Tight) == OwnRole)
        Options.push_back(optionAt(*State, Query, Now));
    markFull(Query, Options);
  }
  if (Options.empty())
    return NotPlaced{RefusalReason::TargetUnreachable,
                     LeastRetryAfter,
                     {0, 0, 0, 0, m_Peers.size()}};
  const EngineOption &Chosen = chooseEngine(Query, Tight, Options, m_Random);
  const PlacementInputs Why = {Options.size(), Chosen.m_Calls,
                               Chosen.m_UnreadTokens, Chosen.m_MissingTokens,
                               m_Peers.size()};
  if (Chosen.m_Full)
    return MustWait{Why};
  const Duration Wait = m_Speed.timeFor(Query.m_Service, Chosen.m_UnreadTokens);
  const auto Limit = std::max(
      LeastWait, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double, std::micro>(Query.m_Target) *
                     WaitInTargets));
  if (Wait > Limit)
    return NotPlaced{RefusalReason::TargetUnreachable,
                     std::max(Wait - Query.m_Target, LeastRetryAfter), Why};
  UpstreamState &State = *Chosen.m_State;
  // The last part is the call's own; nobody will ask for it again.
  for (std::size_t I = 0; I + 1 < Prompt.m_Parts.size(); ++I) {
    m_Cache.placed(State.m_Upstream.m_Id, Prompt.m_Parts[I],
                   m_CacheTokens[Query.m_Service]);
    m_NewParts.push_back({State.m_Upstream.m_Id, Prompt.m_Parts[I]});
  }
  noteWork(Pool, Tight,
           Chosen.m_MissingTokens +
               outputOf(Prompt) * StepTokens / slotsOf(State.m_Upstream),
           Now);
  const bool Undisturbed = Chosen.m_UnreadTokens == 0;
  const Placed Result =
      begin(State, Query,
            {Chosen.m_MissingTokens, Chosen.m_MissingTokens + outputOf(Prompt),
             Tight},
            Why, Now);
  m_Tickets[Result.m_Ticket].m_Undisturbed = Undisturbed;
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
  const Urgency How = Query.m_Urgency;
  const std::uint32_t Tokens = Query.m_Prompt.m_PromptTokens;
  const std::uint32_t Kept = m_Cache.kept(Id, Query.m_Prompt.m_Parts);
  const CallLoad &Own = State.m_Own;
  const CallLoad &Peers = m_Peers.at(Id);
  EngineOption Result;
  Result.m_State = &State;
  Result.m_Calls = callsAt(State, Peers, Now);
  Result.m_UnreadTokens = Own.unreadBefore(How) + Peers.unreadBefore(How);
  Result.m_UnreadAfter = Own.unreadAfter(How) + Peers.unreadAfter(How);
  Result.m_MoreUrgent = Own.moreUrgent(How) + Peers.moreUrgent(How);
  Result.m_Tight = Own.tight() + Peers.tight();
  Result.m_LessUrgent = Own.lessUrgent(How) + Peers.lessUrgent(How);
  Result.m_MissingTokens = Tokens - std::min(Tokens, Kept);
  Result.m_HeldTokens = Own.held() + Peers.held();
  return Result;
}

/// Returns how many engines take short prompts only: the first by rank.
std::size_t Balancer::shortEngines(const std::string &Service) const {
  const auto Engines = m_Staying.find(Service);
  const auto Split = m_Splits.find(poolIdOf(Service, 0));
  if (Engines == m_Staying.end())
    return 0;
  return (Split == m_Splits.end() ? RoleSplit() : Split->second)
      .shortEngines(Engines->second);
}

/// Marks the engines whose slots are taken or whose memory the call could fill.
/// One that runs out stops a call amid its stream to read it again later, and
/// drops what it keeps of prompts.
///
/// An engine with less urgent calls has all its slots for this one, and if it
/// has waited in vain, more: the engine then stops the least urgent one. Others
/// are full for such a call; it would read its beginning again there. Else a
/// burst of the least urgent class would take every slot that comes free, at
/// whatever instance it waits, and urgent calls would be refused meanwhile.
void Balancer::markFull(const PlacementQuery &Query,
                        std::vector<EngineOption> &Options) const {
  const auto Capacity = m_CacheTokens.find(Query.m_Service);
  const double Limit = Capacity == m_CacheTokens.end() || Capacity->second == 0
                           ? std::numeric_limits<double>::infinity()
                           : HeldShare * static_cast<double>(Capacity->second);
  for (EngineOption &Each : Options) {
    const double Slots = slotsOf(Each.m_State->m_Upstream);
    const bool Yields = Each.m_LessUrgent > 0;
    const bool NoSlot = Each.m_Calls >= (Yields ? 1 : SlotShare) * Slots;
    Each.m_Full =
        (Query.m_WaitedInVain ? !Yields : NoSlot) ||
        (Each.m_HeldTokens > 0 &&
         static_cast<double>(Each.m_HeldTokens + Each.m_MissingTokens +
                             outputOf(Query.m_Prompt)) > Limit);
    Each.m_FullTokens = SlotTurnTokens / Slots;
  }
  if (!Query.m_MayWait)
    std::erase_if(Options,
                  [](const EngineOption &Each) { return Each.m_Full; });
}

void Balancer::noteWork(PoolId Pool, bool Tight, double Tokens, TimePoint Now) {
  WorkTokens Work;
  (Tight ? Work.m_Short : Work.m_Long) = Tokens;
  m_Splits[Pool].add(Work, Now);
  m_NewWork[Pool] += Work;
}

Placed Balancer::begin(UpstreamState &Chosen, const PlacementQuery &Query,
                       const CallTokens &Tokens, const PlacementInputs &Why,
                       TimePoint Now) {
  Chosen.m_Own.begin(Query.m_Urgency, Tokens);
  m_Limits.taken(Chosen.m_Upstream.m_Id, Now);
  const TicketId Id(++m_LastTicket);
  m_Tickets[Id] = {Chosen.m_Upstream.m_Id, Query.m_Urgency, Tokens, Now, false,
                   Query.m_Content};
  return Placed{Id, Chosen.m_Upstream.m_Id, Chosen.m_Upstream.m_Name,
                Chosen.m_Upstream.m_Address, Why};
}

double Balancer::callsAt(const UpstreamState &State, TimePoint Now) const {
  return callsAt(State, m_Peers.at(State.m_Upstream.m_Id), Now);
}

double Balancer::callsAt(const UpstreamState &State, const CallLoad &Peers,
                         TimePoint Now) const {
  const auto Own = static_cast<double>(State.m_Own.running());
  if (m_Peers.size() > 0)
    return Own + Peers.running();
  if (!State.m_Load || Now - State.m_LoadAt > ReportLife)
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
  for (const PartPlaced &Each : Digest.m_Parts) {
    const auto Found = m_States.find(Each.m_Upstream);
    if (Found != m_States.end())
      m_Cache.placed(Each.m_Upstream, Each.m_Part,
                     m_CacheTokens[Found->second.m_Upstream.m_Service]);
  }
}

LoadDigest Balancer::wholeDigest(TimePoint Now) const {
  LoadDigest Result;
  for (const auto &[Id, State] : m_States) {
    State.m_Own.tell(Id, Result.m_Loads);
    std::vector<PromptPart> Parts;
    m_Cache.tell(Id, Parts);
    for (const PromptPart &Each : Parts)
      Result.m_Parts.push_back({Id, Each});
  }
  // Only the proportion matters, so it does no harm to hear it from several.
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

UpstreamState *Balancer::chooseForPlain(const States &From,
                                        TimePoint Now) const {
  const auto Cost = [&](const UpstreamState &State) {
    const bool Near = State.m_Upstream.m_Zone == m_Zone;
    return callsAt(State, Now) + (Near ? 0 : ZoneAdvantage) +
           // A sick upstream that isn't kept out is the last choice.
           State.m_Health.failureShare();
  };
  return *std::min_element(
      From.begin(), From.end(),
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
    const struct Ticket &Over = m_Tickets[Ticket];
    State->m_Own.read(Over.m_Urgency, Over.m_Tokens.m_Unread);
    State->m_Own.end(Over.m_Urgency, Over.m_Tokens);
    State->m_Health.ended(Outcome, Now);
    reportToQuarantine(Over, *State, Outcome, Now);
    if (Outcome == CallOutcome::Refused)
      State->m_FullUntil = Now + FullSpan;
    if (Outcome == CallOutcome::Leaving)
      State->m_LeavingUntil = Now + LeavingSpan;
  }
  m_Tickets.erase(Ticket);
}

/// An upstream that leaves ends its last calls without a crash.
void Balancer::reportToQuarantine(const Ticket &Over,
                                  const UpstreamState &Where,
                                  CallOutcome Outcome, TimePoint Now) {
  if (!Over.m_Content)
    return;
  if (Outcome == CallOutcome::Served)
    m_Quarantine.served(*Over.m_Content);
  else if (Outcome == CallOutcome::Broken && !Where.m_Upstream.m_Leaving &&
           Now >= Where.m_LeavingUntil)
    m_Quarantine.callBroken(*Over.m_Content, Over.m_Upstream, Now);
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
