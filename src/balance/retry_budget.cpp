/// An instance's share of the retry budget.
#include "balance/retry_budget.h"

namespace crowstep::balance {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint Earliest) {
  while (!Times.empty() && Times.front() < Earliest)
    Times.pop_front();
}

} // namespace

RetryBudget::Usage &RetryBudget::currentUsage(const std::string &Service,
                                              TimePoint Now) {
  Usage &Current = m_Usage[Service];
  dropBefore(Current.m_Calls, Now - m_Bound.m_Window);
  dropBefore(Current.m_Retries, Now - m_Bound.m_Window);
  return Current;
}

void RetryBudget::recordCall(const std::string &Service, TimePoint Now) {
  currentUsage(Service, Now).m_Calls.push_back(Now);
}

void RetryBudget::setInstances(std::size_t Count, TimePoint Now) {
  const auto MaxCount = static_cast<double>(maxInstances(Now));
  if (static_cast<double>(Count) > MaxCount * (1 + GrowthThreshold))
    m_LastGrowthAt = Now;
  if (Count < m_Instances)
    m_EarlierCounts.push_back({m_Instances, Now});
  while (!m_EarlierCounts.empty() && m_EarlierCounts.back().m_Count <= Count)
    m_EarlierCounts.pop_back();
  m_Instances = Count;
}

/// Instances that were removed may have retried calls within the window.
std::size_t RetryBudget::maxInstances(TimePoint Now) {
  while (!m_EarlierCounts.empty() &&
         m_EarlierCounts.front().m_LastKnownAt < Now - m_Bound.m_Window)
    m_EarlierCounts.pop_front();
  return m_EarlierCounts.empty() ? m_Instances
                                 : m_EarlierCounts.front().m_Count;
}

double RetryBudget::ownSlack(TimePoint Now) {
  const std::size_t Instances = maxInstances(Now);
  if (Instances == 0 || Now - m_LastGrowthAt < GrowthSettleTime)
    return 0;
  return SlackUsed * m_Bound.m_Slack / static_cast<double>(Instances);
}

bool RetryBudget::trySpend(const std::string &Service, TimePoint Now) {
  Usage &Current = currentUsage(Service, Now);
  const double Earned =
      m_Bound.m_Ratio * RatioUsed * static_cast<double>(Current.m_Calls.size());
  const double Allowed = Earned + ownSlack(Now);
  if (static_cast<double>(Current.m_Retries.size()) + 1 > Allowed)
    return false;
  Current.m_Retries.push_back(Now);
  return true;
}

} // namespace crowstep::balance
