/// An instance's share of the retry budget.
#include "balance/retry_budget.h"

namespace crowstep::balance {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint Earliest) {
  while (!Times.empty() && Times.front() < Earliest)
    Times.pop_front();
}

} // namespace

RetryBudget::Usage &RetryBudget::recent(const std::string &Service,
                                        TimePoint Now) {
  Usage &Current = m_Usage[Service];
  dropBefore(Current.m_Calls, Now - m_Bound.m_Window);
  dropBefore(Current.m_Repeats, Now - m_Bound.m_Window);
  return Current;
}

void RetryBudget::call(const std::string &Service, TimePoint Now) {
  recent(Service, Now).m_Calls.push_back(Now);
}

void RetryBudget::setInstances(std::size_t Count, TimePoint Now) {
  const auto MaxCount = static_cast<double>(mostInstances(Now));
  if (static_cast<double>(Count) > MaxCount * (1 + SmallGrowth))
    m_GrewAt = Now;
  if (Count < m_Instances)
    m_Earlier.push_back({m_Instances, Now});
  while (!m_Earlier.empty() && m_Earlier.back().m_Count <= Count)
    m_Earlier.pop_back();
  m_Instances = Count;
}

/// Instances that were removed may have retried calls within the window.
std::size_t RetryBudget::mostInstances(TimePoint Now) {
  while (!m_Earlier.empty() &&
         m_Earlier.front().m_Until < Now - m_Bound.m_Window)
    m_Earlier.pop_front();
  return m_Earlier.empty() ? m_Instances : m_Earlier.front().m_Count;
}

double RetryBudget::ownSlack(TimePoint Now) {
  const std::size_t Instances = mostInstances(Now);
  if (Instances == 0 || Now - m_GrewAt < GrowthSpan)
    return 0;
  return SlackUsed * m_Bound.m_Slack / static_cast<double>(Instances);
}

bool RetryBudget::take(const std::string &Service, TimePoint Now) {
  Usage &Current = recent(Service, Now);
  const double Earned =
      m_Bound.m_Ratio * RatioUsed * static_cast<double>(Current.m_Calls.size());
  const double Allowed = Earned + ownSlack(Now);
  if (static_cast<double>(Current.m_Repeats.size()) + 1 > Allowed)
    return false;
  Current.m_Repeats.push_back(Now);
  return true;
}

} // namespace crowstep::balance
