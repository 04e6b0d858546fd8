/// Order in which the placement of waiting calls is retried.
#include "gateway/wait_queue.h"

#include <algorithm>
#include <tuple>

namespace crowstep::gateway {

std::unique_ptr<WaitQueue::Entry>
WaitQueue::enqueue(WaitingCall Call, std::function<void()> RetryPlacement) {
  const std::uint64_t Number = ++m_LastNumber;
  m_Calls.emplace(Number,
                  QueuedCall{std::move(Call), std::move(RetryPlacement)});
  if (!m_RetryTimer.isRunning())
    m_RetryTimer.start(RetryInterval, [this] { retryPlacements(); });
  return std::unique_ptr<Entry>(new Entry(*this, Number));
}

void WaitQueue::remove(std::uint64_t Number) { m_Calls.erase(Number); }

/// The most urgent first; among equals the first call of each workspace, then
/// the second of each, so that a workspace with many calls delays no other.
std::vector<std::uint64_t> WaitQueue::placementOrder() const {
  using Rank = std::tuple<balance::Urgency, std::size_t, std::uint64_t>;
  std::map<std::pair<balance::Urgency, std::string>, std::size_t> CallsSeen;
  std::vector<Rank> Ranks;
  Ranks.reserve(m_Calls.size());
  for (const auto &[Number, Queued] : m_Calls) {
    const balance::Urgency Urgency = Queued.m_Call.m_Urgency;
    Ranks.emplace_back(
        Urgency, CallsSeen[{Urgency, Queued.m_Call.m_Workspace}]++, Number);
  }
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<std::uint64_t> Result;
  Result.reserve(Ranks.size());
  for (const Rank &Ranked : Ranks)
    Result.push_back(std::get<2>(Ranked));
  return Result;
}

void WaitQueue::retryPlacements() {
  for (const std::uint64_t Number : placementOrder()) {
    // A callback that ran before may have removed this call.
    const auto Found = m_Calls.find(Number);
    if (Found == m_Calls.end())
      continue;
    // A copy, since the callback may remove its call while it runs.
    const std::function<void()> RetryPlacement = Found->second.m_RetryPlacement;
    RetryPlacement();
  }
  if (!m_Calls.empty())
    m_RetryTimer.start(RetryInterval, [this] { retryPlacements(); });
}

} // namespace crowstep::gateway
