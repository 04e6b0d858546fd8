/// Sums of waiting calls and rates of placements.
#include "waiting/backlog.h"

#include <algorithm>
#include <cmath>

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

void DecayingRate::add(double Count, TimePoint Now) {
  if (m_BeganAt == TimePoint())
    m_BeganAt = Now;
  m_Sum = m_Sum * std::exp(-Seconds(Now - m_At) / Seconds(Window)) + Count;
  m_At = Now;
}

double DecayingRate::perSecond(TimePoint Now) const {
  if (m_BeganAt == TimePoint())
    return 0;
  const double Sum = m_Sum * std::exp(-Seconds(Now - m_At) / Seconds(Window));
  // The first events are not spread over a whole window.
  const double Covered =
      1 - std::exp(-std::max(Seconds(Now - m_BeganAt) / Seconds(Window), 0.1));
  return Sum / Seconds(Window).count() / Covered;
}

// ---- Calls of this instance -------------------------------------------------

Backlog::Counters &Backlog::countersOf(PoolId Pool, CallStanding Standing) {
  return m_Services[Pool]
      .m_Counters.at(indexOf(Standing.m_Group))
      .at(Standing.m_Urgency);
}

const Backlog::Service *Backlog::find(PoolId Pool) const {
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
  ++Placed.m_Unsent;
  ++Placed.m_Placed;
  Placed.m_Rate.add(1, Now);
  updateOverload(m_Services[Pool], Now);
}

void Backlog::recordOutput(PoolId Pool, std::uint8_t Urgency, Duration Output) {
  Duration &Average = m_Services[Pool].m_OutputTime.at(Urgency);
  if (Average == Duration::zero())
    Average = Output;
  else
    Average += std::chrono::duration_cast<Duration>((Output - Average) *
                                                    NewestOutputWeight);
}

Duration Backlog::outputTime(PoolId Pool, std::uint8_t Urgency) const {
  const Service *Found = find(Pool);
  return Found == nullptr ? Duration::zero() : Found->m_OutputTime.at(Urgency);
}

// ---- Calls of other instances -----------------------------------------------

void Backlog::forgetWaiting(const Report &Forgotten) {
  for (const WaitingCalls &Calls : Forgotten.m_Calls)
    countersOf(Calls.m_Pool, Calls.m_Standing).m_PeerWaiting -= Calls.m_Waiting;
}

void Backlog::applyReport(InstanceId From,
                          const std::vector<WaitingCalls> &Received,
                          TimePoint Now) {
  expire(Now);
  if (const auto Last = m_Reports.find(From); Last != m_Reports.end())
    forgetWaiting(Last->second);
  for (const WaitingCalls &Calls : Received) {
    Counters &Changed = countersOf(Calls.m_Pool, Calls.m_Standing);
    Changed.m_PeerWaiting += Calls.m_Waiting;
    if (Calls.m_Placed > 0) {
      Changed.m_Placed += Calls.m_Placed;
      Changed.m_Rate.add(Calls.m_Placed, Now);
    }
  }
  m_Reports[From] = {Received, Now};
  for (auto &[Pool, Counted] : m_Services)
    updateOverload(Counted, Now);
}

void Backlog::drop(InstanceId From) {
  const auto Found = m_Reports.find(From);
  if (Found == m_Reports.end())
    return;
  forgetWaiting(Found->second);
  m_Reports.erase(Found);
}

void Backlog::expire(TimePoint Now) {
  std::erase_if(m_Reports, [&](const auto &Entry) {
    if (Now - Entry.second.m_ReceivedAt <= ReportLifetime)
      return false;
    forgetWaiting(Entry.second);
    return true;
  });
}

std::vector<WaitingCalls> Backlog::snapshot() const {
  std::vector<WaitingCalls> Result;
  for (const auto &[Pool, Counted] : m_Services)
    for (std::size_t Group = 0; Group < GroupCount; ++Group)
      for (std::size_t Level = 0; Level < balance::UrgencyCount; ++Level) {
        const Counters &Own = Counted.m_Counters.at(Group).at(Level);
        if (Own.m_OwnWaiting > 0 || Own.m_Unsent > 0)
          Result.push_back({Pool,
                            {static_cast<CallGroup>(Group),
                             static_cast<std::uint8_t>(Level)},
                            Own.m_OwnWaiting,
                            0});
      }
  return Result;
}

std::vector<WaitingCalls> Backlog::takeReport() {
  std::vector<WaitingCalls> Result = snapshot();
  for (WaitingCalls &Calls : Result)
    Calls.m_Placed =
        std::exchange(countersOf(Calls.m_Pool, Calls.m_Standing).m_Unsent, 0);
  return Result;
}

// ---- Prediction -------------------------------------------------------------

double Backlog::waitingBefore(PoolId Pool, CallStanding Standing,
                              TimePoint Now) {
  expire(Now);
  const Service *Found = find(Pool);
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

double Backlog::placedBefore(PoolId Pool, CallStanding Standing) const {
  const Service *Found = find(Pool);
  if (Found == nullptr)
    return 0;
  double Result = 0;
  for (std::size_t Level = 0; Level <= Standing.m_Urgency; ++Level)
    Result +=
        Found->m_Counters.at(indexOf(Standing.m_Group)).at(Level).m_Placed;
  return Result;
}

double Backlog::placementRate(const Service &Of, std::uint8_t Urgency,
                              TimePoint Now) {
  double Result = 0;
  for (const auto &Group : Of.m_Counters)
    for (std::size_t Level = 0; Level <= Urgency; ++Level)
      Result += Group.at(Level).m_Rate.perSecond(Now);
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
  const Service *Found = find(Pool);
  if (Found == nullptr)
    return Duration::zero();
  const double All = placementRate(*Found, Standing.m_Urgency, Now);
  // Nothing was placed since the start, so nothing is known.
  if (All == 0)
    return Duration::zero();
  double AfterWaiting = 0;
  for (std::size_t Level = 0; Level <= Standing.m_Urgency; ++Level)
    AfterWaiting += Found->m_Counters.at(indexOf(Standing.m_Group))
                        .at(Level)
                        .m_Rate.perSecond(Now);
  const double PriorShare =
      Seconds(DecayingRate::Window) /
      Seconds(DecayingRate::Window + (Now - Found->m_NoBacklogAt));
  const double Predicted = Front / std::max(AfterWaiting, All * PriorShare);
  if (Predicted > MaxPredictedSeconds)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(Seconds(Predicted));
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
