/// An instance's part of the shared retry budget.
#include "balance/retry_budget.h"

namespace crowstep::balance {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint Limit) {
  while (!Times.empty() && Times.front() < Limit)
    Times.pop_front();
}

} // namespace

RetryBudget::Usage &RetryBudget::recent(const std::string &Service,
                                        TimePoint Now) {
  Usage &Found = m_Usage[Service];
  dropBefore(Found.m_Calls, Now - m_Bound.m_Window);
  dropBefore(Found.m_Repeats, Now - m_Bound.m_Window);
  return Found;
}

void RetryBudget::call(const std::string &Service, TimePoint Now) {
  recent(Service, Now).m_Calls.push_back(Now);
}

bool RetryBudget::take(const std::string &Service, TimePoint Now) {
  Usage &Found = recent(Service, Now);
  const double Earned =
      m_Bound.m_Ratio * RatioUsed * static_cast<double>(Found.m_Calls.size());
  const double Allowed = Earned + m_Bound.m_Slack / MaxInstances;
  if (static_cast<double>(Found.m_Repeats.size()) + 1 > Allowed)
    return false;
  Found.m_Repeats.push_back(Now);
  return true;
}

} // namespace crowstep::balance
