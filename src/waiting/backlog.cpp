/// Sums of waiting calls and rates of placements.
#include "waiting/backlog.h"

#include <algorithm>

namespace crowstep::waiting {

namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of a new sample in the average output time: covers about the last
/// ten.
constexpr double NewestOutputWeight = 0.1;

/// Longest prediction that is stated as a time; longer ones don't help any
/// caller.
constexpr double MaxPredictedSeconds = 3600;

std::size_t indexOf(CallGroup Group) { return static_cast<std::size_t>(Group); }

} // namespace

void RecentEvents::add(TimePoint Now) { m_Times.push_back(Now); }

std::uint32_t RecentEvents::count(TimePoint Now) {
  while (!m_Times.empty() && Now - m_Times.front() > Window)
    m_Times.pop_front();
  return static_cast<std::uint32_t>(m_Times.size());
}

// ---- Calls of this instance -------------------------------------------------

Backlog::Counters &Backlog::countersOf(PoolId Pool, CallStanding Standing) {
  return m_Services[Pool]
      .m_Counters.at(indexOf(Standing.m_Group))
      .at(Standing.m_Urgency);
}

Backlog::Service *Backlog::find(PoolId Pool) {
  const auto Found = m_Services.find(Pool);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

void Backlog::addWaiting(PoolId Pool, CallStanding Standing, TimePoint Now) {
  updateOverload(m_Services[Pool], Now);
  ++countersOf(Pool, Standing).m_OwnWaiting;
}

void Backlog::removeWaiting(PoolId Pool, CallStanding Standing, TimePoint Now) {
  --countersOf(Pool, Standing).m_OwnWaiting;
  updateOverload(m_Services[Pool], Now);
}

void Backlog::recordPlaced(PoolId Pool, CallStanding Standing, TimePoint Now) {
  Counters &Placed = countersOf(Pool, Standing);
  ++Placed.m_Placed;
  Placed.m_OwnPlaced.add(Now);
  Service &Of = m_Services[Pool];
  if (Of.m_BeganAt == TimePoint())
    Of.m_BeganAt = Now;
  updateOverload(Of, Now);
}

void Backlog::recordOutput(PoolId Pool, std::uint8_t Urgency, Duration Output) {
  Duration &Average = m_Services[Pool].m_OutputTime.at(Urgency);
  if (Average == Duration::zero())
    Average = Output;
  else
    Average += std::chrono::duration_cast<Duration>((Output - Average) *
                                                    NewestOutputWeight);
}

Duration Backlog::outputTime(PoolId Pool, std::uint8_t Urgency) {
  Service *Found = find(Pool);
  return Found == nullptr ? Duration::zero() : Found->m_OutputTime.at(Urgency);
}

// ---- Calls of other instances -----------------------------------------------

/// The others' placements are stated as a rate, so their number is its
/// integral.
void Backlog::countPlaced(Counters &Calls, TimePoint Now) {
  if (Calls.m_PeerPlaced > 0)
    Calls.m_Placed += Calls.m_PeerPlaced * Seconds(Now - Calls.m_CountedAt) /
                      Seconds(RecentEvents::Window);
  Calls.m_CountedAt = Now;
}

void Backlog::forget(const Report &Forgotten, TimePoint Now) {
  for (const WaitingCalls &Calls : Forgotten.m_Calls) {
    Counters &Changed = countersOf(Calls.m_Pool, Calls.m_Standing);
    countPlaced(Changed, Now);
    Changed.m_PeerWaiting -= Calls.m_Waiting;
    Changed.m_PeerPlaced -= Calls.m_Placed;
  }
}

void Backlog::applyReport(InstanceId From,
                          const std::vector<WaitingCalls> &Received,
                          TimePoint Now) {
  expire(Now);
  if (const auto Last = m_Reports.find(From); Last != m_Reports.end())
    forget(Last->second, Now);
  for (const WaitingCalls &Calls : Received) {
    Counters &Changed = countersOf(Calls.m_Pool, Calls.m_Standing);
    countPlaced(Changed, Now);
    Changed.m_PeerWaiting += Calls.m_Waiting;
    Changed.m_PeerPlaced += Calls.m_Placed;
    Service &Of = m_Services[Calls.m_Pool];
    if (Calls.m_Placed > 0 && Of.m_BeganAt == TimePoint())
      Of.m_BeganAt = Now;
  }
  m_Reports[From] = {Received, Now};
  for (auto &[Pool, Counted] : m_Services)
    updateOverload(Counted, Now);
}

/// Later reports expire later, so that most calls look at none.
void Backlog::expire(TimePoint Now) {
  if (Now <= m_NextExpiry)
    return;
  m_NextExpiry = Now + ReportLifetime;
  std::erase_if(m_Reports, [&](const auto &Entry) {
    const TimePoint Expiry = Entry.second.m_ReceivedAt + ReportLifetime;
    if (Now <= Expiry) {
      m_NextExpiry = std::min(m_NextExpiry, Expiry);
      return false;
    }
    forget(Entry.second, Now);
    return true;
  });
}

std::vector<WaitingCalls> Backlog::report(TimePoint Now) {
  std::vector<WaitingCalls> Result;
  for (auto &[Pool, Counted] : m_Services)
    for (std::size_t Group = 0; Group < GroupCount; ++Group)
      for (std::size_t Level = 0; Level < balance::UrgencyCount; ++Level) {
        Counters &Own = Counted.m_Counters.at(Group).at(Level);
        const std::uint32_t Placed = Own.m_OwnPlaced.count(Now);
        if (Own.m_OwnWaiting > 0 || Placed > 0)
          Result.push_back({Pool,
                            {static_cast<CallGroup>(Group),
                             static_cast<std::uint8_t>(Level)},
                            Own.m_OwnWaiting,
                            Placed});
      }
  return Result;
}

// ---- Prediction -------------------------------------------------------------

double Backlog::waitingBefore(PoolId Pool, CallStanding Standing,
                              TimePoint Now) {
  expire(Now);
  Service *Found = find(Pool);
  if (Found == nullptr)
    return 0;
  double Result = 0;
  for (std::size_t Level = 0; Level <= Standing.m_Urgency; ++Level) {
    const Counters &Calls =
        Found->m_Counters.at(indexOf(Standing.m_Group)).at(Level);
    Result += Calls.m_OwnWaiting + Calls.m_PeerWaiting;
  }
  return Result;
}

double Backlog::placedBefore(PoolId Pool, CallStanding Standing,
                             TimePoint Now) {
  Service *Found = find(Pool);
  if (Found == nullptr)
    return 0;
  double Result = 0;
  for (std::size_t Level = 0; Level <= Standing.m_Urgency; ++Level) {
    Counters &Calls = Found->m_Counters.at(indexOf(Standing.m_Group)).at(Level);
    countPlaced(Calls, Now);
    Result += Calls.m_Placed;
  }
  return Result;
}

/// Returns placements a second. The first ones are not spread over a whole
/// window.
double Backlog::rateOf(const Service &Of, Counters &Calls, TimePoint Now) {
  constexpr double MinCovered = 0.1;
  const double Covered =
      std::clamp(Seconds(Now - Of.m_BeganAt) / Seconds(RecentEvents::Window),
                 MinCovered, 1.0);
  return (Calls.m_OwnPlaced.count(Now) + Calls.m_PeerPlaced) /
         Seconds(RecentEvents::Window).count() / Covered;
}

double Backlog::placementRate(Service &Of, std::uint8_t Urgency,
                              TimePoint Now) {
  double Result = 0;
  for (auto &Group : Of.m_Counters)
    for (std::size_t Level = 0; Level <= Urgency; ++Level)
      Result += rateOf(Of, Group.at(Level), Now);
  return Result;
}

void Backlog::updateOverload(Service &Of, TimePoint Now) {
  double Waiting = 0;
  for (const auto &Group : Of.m_Counters)
    for (const Counters &Calls : Group)
      Waiting += Calls.m_OwnWaiting + Calls.m_PeerWaiting;
  const double Short = placementRate(Of, balance::UrgencyCount - 1, Now) *
                       Seconds(ShortBacklog).count();
  if (Waiting <= Short || Of.m_NoBacklogAt == TimePoint())
    Of.m_NoBacklogAt = Now;
}

Duration Backlog::predictedWait(PoolId Pool, CallStanding Standing,
                                double Front, TimePoint Now) {
  Service *Found = find(Pool);
  if (Found == nullptr)
    return Duration::zero();
  const double All = placementRate(*Found, Standing.m_Urgency, Now);
  if (All == 0)
    // Nothing is known until the first placement.
    return Found->m_BeganAt == TimePoint() ? Duration::zero() : Duration::max();
  double AfterWaiting = 0;
  for (std::size_t Level = 0; Level <= Standing.m_Urgency; ++Level)
    AfterWaiting += rateOf(
        *Found, Found->m_Counters.at(indexOf(Standing.m_Group)).at(Level), Now);
  // With the first power calls were held half as long again before a refusal.
  const double Share =
      Seconds(RecentEvents::Window) /
      Seconds(RecentEvents::Window + (Now - Found->m_NoBacklogAt));
  const double PriorShare = Share * Share;
  const double Predicted = Front / std::max(AfterWaiting, All * PriorShare);
  if (Predicted > MaxPredictedSeconds)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(Seconds(Predicted));
}

bool Backlog::hasWaiting(PoolId Pool, TimePoint Now) {
  expire(Now);
  const Service *Found = find(Pool);
  return Found != nullptr &&
         std::ranges::any_of(Found->m_Counters, [](const auto &Group) {
           return std::ranges::any_of(Group, [](const Counters &Calls) {
             return Calls.m_OwnWaiting + Calls.m_PeerWaiting > 0;
           });
         });
}

double Backlog::totalWaiting(TimePoint Now) {
  expire(Now);
  double Result = 0;
  for (const auto &[Pool, Counted] : m_Services)
    for (const auto &Group : Counted.m_Counters)
      for (const Counters &Calls : Group)
        Result += Calls.m_OwnWaiting + Calls.m_PeerWaiting;
  return Result;
}

} // namespace crowstep::waiting
