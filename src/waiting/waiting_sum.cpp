/// Sum of the waiting calls of several instances.
#include "waiting/waiting_sum.h"

#include <utility>

namespace crowstep::waiting {

void WaitingSum::add(InstanceId From, const std::vector<WaitingCalls> &Report,
                     TimePoint Now) {
  m_Reports[From] = {Report, Now};
  for (const WaitingCalls &Calls : Report)
    if (Calls.m_Placed > 0)
      m_Placed[{Calls.m_Pool, Calls.m_Standing}] += Calls.m_Placed;
}

void WaitingSum::clear() {
  m_Reports.clear();
  m_Placed.clear();
}

std::vector<WaitingCalls> WaitingSum::take(Duration Lifetime, TimePoint Now) {
  std::erase_if(m_Reports, [&](const auto &Entry) {
    return Now - Entry.second.m_ReceivedAt > Lifetime;
  });
  std::map<Key, WaitingCalls> Sums;
  for (const auto &[At, Count] : std::exchange(m_Placed, {}))
    Sums[At].m_Placed = Count;
  for (const auto &[From, Last] : m_Reports)
    for (const WaitingCalls &Calls : Last.m_Calls)
      if (Calls.m_Waiting > 0)
        Sums[{Calls.m_Pool, Calls.m_Standing}].m_Waiting += Calls.m_Waiting;
  std::vector<WaitingCalls> Result;
  for (auto &[At, Sum] : Sums) {
    Sum.m_Pool = At.first;
    Sum.m_Standing = At.second;
    Result.push_back(Sum);
  }
  return Result;
}

} // namespace crowstep::waiting
