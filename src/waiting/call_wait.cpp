/// Decisions for one call.
#include "waiting/call_wait.h"

#include <algorithm>

namespace crowstep::waiting {

namespace {

/// Callers abandon a stream after a gap of two seconds, of four times the
/// latency target or of eight times the longest pause, whichever is longest.
constexpr Duration MinPatience = std::chrono::seconds(2);
constexpr int PatienceInTargets = 4;
constexpr int PatienceInPauses = 8;

/// Share of the patience that a call may wait: the caller must not give up
/// while the call, once placed, is about to be answered.
constexpr double MaxPatienceShare = 0.6;

/// Share of the latency target up to which a call can be in time, counting its
/// age and the wait at the engine; the rest is for its own prefill. The same
/// share bounds the wait of a call that is not held.
constexpr double InTimeShare = 0.75;

/// Calls that can't be in time go only where the wait is under this share of
/// their target. Engines with less queued have room for calls in time too, so
/// those that can't be in time take none of theirs at any instance.
constexpr double RemainderShare = 0.25;

/// Callers honour a Retry-After up to this share of the time that they have
/// left.
constexpr int RetryShareDenominator = 3;

/// Callers that are refused at the same time return one after the other.
constexpr double RetrySpread = 0.5;

/// Least time after which a caller should return: about the time in which the
/// other instances learn of a change and calls of a full engine end.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(300);

Duration scaled(Duration Value, double Factor) {
  return std::chrono::duration_cast<Duration>(Value * Factor);
}

} // namespace

std::string_view nameOf(WaitVerdict Verdict) {
  switch (Verdict) {
  case WaitVerdict::NoCapacity:
    return "no_capacity";
  case WaitVerdict::LimitEnded:
    return "limit_ended";
  case WaitVerdict::Wait:
    return "waits";
  }
  return "waits";
}

Duration patienceOf(Duration Target, Duration MaxPause) {
  return std::max(
      {MinPatience, Target * PatienceInTargets, MaxPause * PatienceInPauses});
}

Duration waitLimitOf(const CallFacts &Facts, const CallWork &Work) {
  const Duration Patience = Facts.m_Patience > Duration::zero()
                                ? std::min(Facts.m_Patience, Facts.m_Deadline)
                                : Facts.m_Deadline;
  return std::min({scaled(Patience, MaxPatienceShare),
                   Patience - Work.m_UntilOutput,
                   Facts.m_Deadline - Work.m_UntilOutput - Work.m_Output});
}

bool CallWait::canBeInTime(TimePoint Now) const {
  return age(Now) < scaled(m_Facts.m_Target, InTimeShare);
}

CallStanding CallWait::standing(TimePoint Now) const {
  return {canBeInTime(Now) ? CallGroup::InTime : CallGroup::Late,
          m_Facts.m_Urgency};
}

Duration CallWait::engineWaitLimit(bool Yields, Duration IdleWait,
                                   TimePoint Now) const {
  const Duration Remainder =
      std::max(scaled(m_Facts.m_Target, RemainderShare), IdleWait);
  if (Yields)
    return Remainder;
  return std::max(scaled(m_Facts.m_Target, InTimeShare) - age(Now), Remainder);
}

void CallWait::join(CallStanding Standing, TimePoint Now) {
  m_FrontAtJoin = m_Backlog.waitingBefore(m_Facts.m_Pool, Standing, Now);
  m_PlacedAtJoin = m_Backlog.placedBefore(m_Facts.m_Pool, Standing, Now);
  m_Backlog.addWaiting(m_Facts.m_Pool, Standing, Now);
  m_Joined = Standing;
}

void CallWait::leave(TimePoint Now) {
  if (m_Joined)
    m_Backlog.removeWaiting(m_Facts.m_Pool, *m_Joined, Now);
  m_Joined.reset();
}

/// Returns this call and those that joined before it. Those that were placed or
/// refused since then are not in front any more.
double CallWait::callsInFront(TimePoint Now) {
  const double Placed =
      m_Backlog.placedBefore(m_Facts.m_Pool, *m_Joined, Now) - m_PlacedAtJoin;
  return std::clamp(
      m_FrontAtJoin + 1 - Placed, 1.0,
      std::max(1.0, m_Backlog.waitingBefore(m_Facts.m_Pool, *m_Joined, Now)));
}

/// Either in time, or late with what calls in time leave over.
bool CallWait::willBePlaced(Duration Limit, TimePoint Now) {
  const auto IsWithin = [](Duration Wait, Duration Left) {
    return Wait <= Left;
  };
  const Duration AsJoined = m_Backlog.predictedWait(m_Facts.m_Pool, *m_Joined,
                                                    callsInFront(Now), Now);
  if (m_Joined->m_Group == CallGroup::Late)
    return IsWithin(AsJoined, Limit - age(Now));
  const Duration TimeInTime = scaled(m_Facts.m_Target, InTimeShare) - age(Now);
  if (IsWithin(AsJoined, std::min(TimeInTime, Limit - age(Now))))
    return true;
  const CallStanding Late = {CallGroup::Late, m_Facts.m_Urgency};
  const double Front = m_Backlog.waitingBefore(m_Facts.m_Pool, Late, Now) + 1;
  return IsWithin(m_Backlog.predictedWait(m_Facts.m_Pool, Late, Front, Now),
                  Limit - age(Now) - TimeInTime);
}

WaitVerdict CallWait::handleNoRoom(const CallWork &Work, TimePoint Now) {
  m_LastSeenAt = Now;
  const Duration Limit = waitLimitOf(m_Facts, Work);
  if (age(Now) >= Limit) {
    leave(Now);
    return m_HasWaited ? WaitVerdict::LimitEnded : WaitVerdict::NoCapacity;
  }
  if (const CallStanding Standing = standing(Now); m_Joined != Standing) {
    leave(Now);
    join(Standing, Now);
  }
  if (!willBePlaced(Limit, Now)) {
    leave(Now);
    return WaitVerdict::NoCapacity;
  }
  m_HasWaited = true;
  return WaitVerdict::Wait;
}

void CallWait::handlePlaced(TimePoint Now) {
  m_LastSeenAt = Now;
  const CallStanding Placed =
      m_Joined ? standing(Now)
               : CallStanding{CallGroup::AtOnce, m_Facts.m_Urgency};
  leave(Now);
  m_Backlog.recordPlaced(m_Facts.m_Pool, Placed, Now);
}

Duration CallWait::retryAfter(double Random, TimePoint Now) {
  const CallStanding Late = {CallGroup::Late, m_Facts.m_Urgency};
  const Duration Expected = std::max(
      MinRetryAfter,
      m_Backlog.predictedWait(
          m_Facts.m_Pool, Late,
          m_Backlog.waitingBefore(m_Facts.m_Pool, Late, Now) + 1, Now));
  const Duration Left =
      std::max(Duration::zero(), m_Facts.m_Deadline - age(Now));
  // Where the time left bounds it, the spread stays below the bound.
  const Duration Earliest = std::min(
      Expected, scaled(Left / RetryShareDenominator, 1 / (1 + RetrySpread)));
  return scaled(Earliest, 1 + RetrySpread * Random);
}

} // namespace crowstep::waiting
