/// Sum of the waiting calls of several instances.
#include "waiting/waiting_sum.h"

#include <utility>

namespace crowstep::waiting {

void WaitingSum::add(InstanceId From, const std::vector<WaitingCalls> &Report,
                     TimePoint Now) {
  m_Reports[From] = {Report, Now};
}

std::vector<WaitingCalls> WaitingSum::sum(Duration Lifetime, TimePoint Now) {
  std::erase_if(m_Reports, [&](const auto &Entry) {
    return Now - Entry.second.m_ReceivedAt > Lifetime;
  });
  std::map<std::pair<PoolId, CallStanding>, WaitingCalls> Sums;
  for (const auto &[From, Last] : m_Reports)
    for (const WaitingCalls &Calls : Last.m_Calls) {
      WaitingCalls &Sum = Sums[{Calls.m_Pool, Calls.m_Standing}];
      Sum.m_Pool = Calls.m_Pool;
      Sum.m_Standing = Calls.m_Standing;
      Sum.m_Waiting += Calls.m_Waiting;
      Sum.m_Placed += Calls.m_Placed;
    }
  std::vector<WaitingCalls> Result;
  Result.reserve(Sums.size());
  for (const auto &[At, Sum] : Sums)
    Result.push_back(Sum);
  return Result;
}

} // namespace crowstep::waiting
