/// What calls and other instances report about upstreams.
#include "balance/balancer.h"

#include <utility>

namespace crowstep::balance {

namespace {

/// An upstream that says that it is draining, or that it is another one, gets
/// no calls until the directory has its state; the directory has it within a
/// second.
constexpr Duration DrainingBackoff = std::chrono::milliseconds(1500);

} // namespace

// ---- Calls ------------------------------------------------------------------

UpstreamState *Balancer::stateOf(TicketId Ticket) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return nullptr;
  const auto State = m_States.find(Found->second.m_Upstream);
  return State == m_States.end() ? nullptr : &State->second;
}

void Balancer::recordFirstEvent(TicketId Ticket, TimePoint Now) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  struct Ticket &Found = m_Tickets[Ticket];
  m_Pauses.recordAccepted(Found.m_Upstream, Ticket, Now);
  if (Found.m_NoQueuedPrefill)
    m_PrefillSpeed.addSample(
        State->m_Upstream.m_Service, Found.m_Demand.m_PrefillTokens,
        std::chrono::duration_cast<Duration>((Now - Found.m_PlacedAt) /
                                             Found.m_TimeFactor));
  State->m_OwnLoad.finishPrefill(Found.m_Urgency,
                                 Found.m_Demand.m_PrefillTokens);
  Found.m_Demand.m_PrefillTokens = 0;
}

void Balancer::recordEvent(TicketId Ticket, TimePoint Now) {
  const UpstreamState *State = stateOf(Ticket);
  if (State == nullptr ||
      !std::holds_alternative<Engine>(State->m_Upstream.m_Kind))
    return;
  if (const std::optional<Duration> Shortest =
          m_Tickets[Ticket].m_Intervals.recordEvent(Now))
    addSpeedSample(*State, *Shortest, Now);
}

void Balancer::addSpeedSample(const UpstreamState &At, Duration UnitTime,
                              TimePoint Now) {
  const PoolId Pool = poolIdOf(At.m_Upstream.m_Service, 0);
  if (!m_Speeds.isActive(Pool))
    return;
  constexpr Urgency LeastUrgent = UrgencyCount - 1;
  const CallLoad &Peers = m_PeerLoads.at(At.m_Upstream.m_Id);
  m_Speeds.addSample({At.m_Upstream.m_Id, Pool, UnitTime,
                      callsAt(At, Peers, Now) / slotsOf(At.m_Upstream),
                      At.m_OwnLoad.prefillBefore(LeastUrgent) +
                              Peers.prefillBefore(LeastUrgent) >
                          0},
                     Now);
}

void Balancer::recordOutput(TicketId Ticket, TimePoint Now) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end() || Found->second.m_IsSound)
    return;
  struct Ticket &Call = Found->second;
  if (Call.m_FirstOutputAt == TimePoint())
    Call.m_FirstOutputAt = Now;
  Call.m_IsSound =
      Now - Call.m_FirstOutputAt >= quarantine::Quarantine::SoundOutputTime;
  if (Call.m_IsSound && Call.m_Suspects)
    m_Quarantine.recordSound(Call.m_Suspects->m_Segments, Now);
}

void Balancer::recordBytesReceived(TicketId Ticket, TimePoint Now) {
  if (UpstreamState *State = stateOf(Ticket))
    State->m_LastByteAt = Now;
}

Duration Balancer::silenceDuration(TicketId Ticket, TimePoint Now) const {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return Duration::zero();
  TimePoint Since = Found->second.m_PlacedAt;
  const auto State = m_States.find(Found->second.m_Upstream);
  if (State != m_States.end())
    Since = std::max(Since, State->second.m_LastByteAt);
  return Now - Since;
}

void Balancer::recordLoadReport(TicketId Ticket, const LoadReport &Load,
                                TimePoint Now) {
  UpstreamState *State = stateOf(Ticket);
  if (State == nullptr)
    return;
  State->m_LoadReport = Load;
  State->m_RunningAtReport = State->m_OwnLoad.runningCalls();
  State->m_ReportedAt = Now;
  if (Load.m_MachinePace)
    m_Speeds.recordMachinePace(State->m_Upstream.m_Id,
                               poolIdOf(State->m_Upstream.m_Service, 0),
                               *Load.m_MachinePace, Now);
}

bool Balancer::recordLeaveStatement(TicketId Ticket) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return false;
  const UpstreamId Upstream = Found->second.m_Upstream;
  const bool New =
      m_Leaving.recordStatement(Upstream, m_States.contains(Upstream));
  markDraining(Upstream);
  return New;
}

void Balancer::markDraining(UpstreamId Upstream) {
  const auto State = m_States.find(Upstream);
  if (State == m_States.end() || State->second.m_Upstream.m_Draining)
    return;
  State->second.m_Upstream.m_Draining = true;
  rankEngines();
}

void Balancer::recordRateLimit(TicketId Ticket, RateLimit Limit,
                               TimePoint Now) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found != m_Tickets.end() && m_States.contains(Found->second.m_Upstream))
    m_RateLimits.recordStatement(Found->second.m_Upstream, Limit,
                                 Found->second.m_PlacedAt, Now);
}

void Balancer::recordBrittleness(TicketId Ticket, RejectionLimit Limit,
                                 TimePoint Now) {
  if (const UpstreamState *State = stateOf(Ticket))
    m_Brittle.recordStatement(poolIdOf(State->m_Upstream.m_Service, 0), Limit,
                              m_Tickets[Ticket].m_PlacedAt, Now);
}

void Balancer::recordPause(TicketId Ticket, Duration Span, TimePoint Now) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found != m_Tickets.end())
    m_Pauses.record(Found->second.m_Upstream, Span, Now);
}

void Balancer::recordCallEnd(TicketId Ticket, CallOutcome Outcome,
                             TimePoint Now) {
  if (const auto Found = m_Tickets.find(Ticket); Found != m_Tickets.end()) {
    const UpstreamId Upstream = Found->second.m_Upstream;
    if (Outcome == CallOutcome::Served || Outcome == CallOutcome::Failed)
      m_Pauses.recordAccepted(Upstream, Ticket, Now);
    m_Pauses.recordCallEnd(Upstream, Ticket);
  }
  if (UpstreamState *State = stateOf(Ticket)) {
    const struct Ticket &Ended = m_Tickets[Ticket];
    // The instance that placed a carried call adds its sample.
    if (Outcome == CallOutcome::Served && !Ended.m_IsCarried &&
        std::holds_alternative<PlainService>(State->m_Upstream.m_Kind))
      addSpeedSample(*State, Now - Ended.m_PlacedAt, Now);
    if (!Ended.m_IsCarried) {
      State->m_OwnLoad.finishPrefill(Ended.m_Urgency,
                                     Ended.m_Demand.m_PrefillTokens);
      State->m_OwnLoad.removeCall(Ended.m_Urgency, Ended.m_Demand);
    }
    State->m_Health.recordOutcome(Outcome, Now);
    reportToQuarantine(Ended, *State, Outcome, Now);
    if (Outcome == CallOutcome::Refused) {
      State->m_FullUntil = Now + FullBackoff;
      m_Brittle.recordRejection(poolIdOf(State->m_Upstream.m_Service, 0),
                                State->m_Upstream, Now);
    }
    if (Outcome == CallOutcome::Draining)
      State->m_DrainingUntil = Now + DrainingBackoff;
  }
  m_Tickets.erase(Ticket);
}

/// A draining upstream may cut its last calls without having crashed, and a
/// brittle one falls over under rejections, whatever runs there.
void Balancer::reportToQuarantine(const Ticket &Ended, const UpstreamState &At,
                                  CallOutcome Outcome, TimePoint Now) {
  if (!Ended.m_Suspects || brittlenessOf(At.m_Upstream.m_Service, Now))
    return;
  if (Outcome == CallOutcome::Served) {
    m_Quarantine.recordServed(Ended.m_Suspects->m_Request);
    m_Quarantine.recordSound(Ended.m_Suspects->m_Segments, Now);
  } else if (Outcome == CallOutcome::Broken && !At.m_Upstream.m_Draining &&
             Now >= At.m_DrainingUntil) {
    const bool HadBegun = Ended.m_FirstOutputAt != TimePoint() &&
                          Now - Ended.m_FirstOutputAt >=
                              quarantine::Quarantine::SuspectOutputTime;
    m_Quarantine.recordBrokenCall(
        {*Ended.m_Suspects, Ended.m_Upstream, Ended.m_Incarnation, HadBegun},
        Now);
  }
}

bool Balancer::mayBegin(TicketId Ticket, TimePoint Now) const {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return false;
  if (const auto &Suspects = Found->second.m_Suspects;
      Suspects && m_Quarantine.holdOf(*Suspects, Now).m_Left > Duration::zero())
    return false;
  const auto State = m_States.find(Found->second.m_Upstream);
  const auto &Required = Found->second.m_RequiredSoftware;
  return State != m_States.end() && !isBarred(State->second, Now) &&
         (!Required || State->second.m_Upstream.m_Software.matches(*Required));
}

// ---- Other instances --------------------------------------------------------

void Balancer::applyPeerDigest(InstanceId Peer, const LoadDigest &Digest,
                               TimePoint Now) {
  m_PeerLoads.setPeerLoads(Peer, Digest.m_Loads, Now);
  m_Backlog.applyReport(Peer, Digest.m_Waiting, Now);
  m_Quarantine.applyUpdates(Digest.m_Crashes, Now);
  m_RateLimits.applyUpdates(Digest.m_Limits, Now);
  m_Brittle.applyUpdates(Digest.m_Brittle, Now);
  m_Speeds.applyUpdates(Digest.m_Speeds, Now);
  for (const UpstreamId Leaving : Digest.m_Leaving) {
    m_Leaving.record(Leaving, m_States.contains(Leaving));
    markDraining(Leaving);
  }
  for (const auto &[Pool, Work] : Digest.m_Work)
    m_RoleSplits[Pool].add(Work, Now);
  for (const SegmentPlacement &Placement : Digest.m_Segments) {
    const auto Found = m_States.find(Placement.m_Upstream);
    if (Found != m_States.end())
      m_Cache.recordPlacement(
          Placement.m_Upstream, Placement.m_Segment,
          m_CacheCapacities[Found->second.m_Upstream.m_Service]);
  }
}

LoadDigest Balancer::fullDigest(TimePoint Now) const {
  LoadDigest Result;
  for (const auto &[Id, State] : m_States) {
    State.m_OwnLoad.appendLoads(Id, Result.m_Loads);
    std::vector<PrefixSegment> Segments;
    m_Cache.appendSegments(Id, Segments);
    for (const PrefixSegment &Segment : Segments)
      Result.m_Segments.push_back({Id, Segment});
  }
  // Only the proportion matters, so it may be received from several instances.
  for (const auto &[Pool, Split] : m_RoleSplits)
    Result.m_Work[Pool] = Split.recentWork();
  Result.m_Crashes = m_Quarantine.snapshot();
  Result.m_Limits = m_RateLimits.snapshot(Now);
  Result.m_Leaving = m_Leaving.snapshot();
  Result.m_Speeds = m_Speeds.snapshot(Now);
  return Result;
}

LoadDigest Balancer::takeDigest(TimePoint Now) {
  m_Leaving.expire(Now);
  m_Pauses.expire(Now);
  m_Brittle.expire(Now);
  LoadDigest Result;
  for (const auto &[Id, State] : m_States)
    State.m_OwnLoad.appendLoads(Id, Result.m_Loads);
  Result.m_Segments = std::exchange(m_UnsentSegments, {});
  Result.m_Work = std::exchange(m_UnsentWork, {});
  Result.m_Crashes = m_Quarantine.takeUpdates();
  Result.m_Limits = m_RateLimits.takeUpdates(Now);
  Result.m_Brittle = m_Brittle.takeUpdates(Now);
  Result.m_Leaving = m_Leaving.takeUpdates();
  Result.m_Speeds = m_Speeds.takeUpdates(Now);
  if (m_ReportsWaiting)
    Result.m_Waiting = m_Backlog.report(Now);
  return Result;
}

} // namespace crowstep::balance
