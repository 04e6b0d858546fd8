/// Choice among the upstreams of a service.
#include "balance/balancer.h"

#include "balance/engine_choice.h"

#include <algorithm>

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

/// Another zone's upstream must have this many calls fewer to be worth the way.
constexpr double ZoneAdvantage = 2;

/// At most this share of a service is kept out for its answers: when all fail
/// alike the fault is elsewhere, and the rest could not take the load.
constexpr double MaxEjected = 0.5;

} // namespace

void Balancer::setUpstreams(const std::vector<Upstream> &List) {
  std::unordered_map<UpstreamId, UpstreamState> Next;
  for (const Upstream &Each : List) {
    const auto Found = m_States.find(Each.m_Id);
    UpstreamState State;
    if (Found != m_States.end())
      State = std::move(Found->second);
    State.m_Upstream = Each;
    Next.emplace(Each.m_Id, std::move(State));
  }
  m_States = std::move(Next);
}

Balancer::States Balancer::candidates(const PlacementQuery &Query,
                                      TimePoint Now) {
  States Listed;
  for (auto &[Id, State] : m_States)
    if (State.m_Upstream.m_Service == Query.m_Service &&
        !State.m_Upstream.m_Leaving &&
        std::find(Query.m_Avoid.begin(), Query.m_Avoid.end(), Id) ==
            Query.m_Avoid.end() &&
        Now >= State.m_LeavingUntil)
      Listed.push_back(&State);
  // A stable order: the same calls give the same choices in every run.
  std::sort(Listed.begin(), Listed.end(), [](auto *Left, auto *Right) {
    return Left->m_Upstream.m_Id < Right->m_Upstream.m_Id;
  });
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
  const States From = candidates(Query, Now);
  if (From.empty())
    return NotPlaced{RefusalReason::NoUpstream, NoUpstreamRetryAfter};
  UpstreamState *Chosen = choose(Query, From, Now);
  ++Chosen->m_Running;
  Chosen->m_UnreadTokens += Query.m_Prompt.m_PromptTokens;
  const TicketId Id(++m_LastTicket);
  m_Tickets[Id] = {Chosen->m_Upstream.m_Id, Query.m_Prompt.m_PromptTokens};
  return Placed{Id, Chosen->m_Upstream.m_Id, Chosen->m_Upstream.m_Name,
                Chosen->m_Upstream.m_Address};
}

UpstreamState *Balancer::choose(const PlacementQuery &Query, const States &From,
                                TimePoint Now) const {
  if (Query.m_Prompt.m_PromptTokens > 0)
    return chooseEngine(Query, From, Now);
  return chooseForPlain(From, Now);
}

UpstreamState *Balancer::chooseForPlain(const States &From,
                                        TimePoint Now) const {
  const auto Cost = [&](const UpstreamState &State) {
    const bool Near = State.m_Upstream.m_Zone == m_Zone;
    return estimatedCalls(State, Now) + (Near ? 0 : ZoneAdvantage) +
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

void Balancer::answered(TicketId Ticket) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  std::uint64_t &Unread = m_Tickets[Ticket].m_Unread;
  State->m_UnreadTokens -= std::min(Unread, State->m_UnreadTokens);
  Unread = 0;
}

void Balancer::reported(TicketId Ticket, const LoadReport &Load,
                        TimePoint Now) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  State->m_Load = Load;
  State->m_RunningAtLoad = State->m_Running;
  State->m_LoadAt = Now;
}

void Balancer::ended(TicketId Ticket, CallOutcome Outcome, TimePoint Now) {
  answered(Ticket);
  if (UpstreamState *State = stateOf(Ticket)) {
    // A call from before the upstream left the list and came back counts no
    // more.
    State->m_Running -= std::min(State->m_Running, 1U);
    State->m_Health.ended(Outcome, Now);
    if (Outcome == CallOutcome::Refused)
      State->m_FullUntil = Now + FullSpan;
    if (Outcome == CallOutcome::Leaving)
      State->m_LeavingUntil = Now + LeavingSpan;
  }
  m_Tickets.erase(Ticket);
}

bool Balancer::mayBegin(TicketId Ticket, TimePoint Now) const {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return false;
  const auto State = m_States.find(Found->second.m_Upstream);
  return State != m_States.end() && !State->second.m_Upstream.m_Leaving &&
         Now >= State->second.m_LeavingUntil;
}

} // namespace crowstep::balance
