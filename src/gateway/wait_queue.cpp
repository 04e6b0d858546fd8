/// Order in which the placement of waiting calls is retried.
#include "gateway/wait_queue.h"

#include <algorithm>
#include <string_view>
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

void WaitQueue::Entry::setLate() {
  m_Queue.m_Calls.at(m_Number).m_Call.m_IsLate = true;
}

bool WaitQueue::hasEarlier(const WaitingCall &Call) const {
  return std::ranges::any_of(m_Calls, [&](const auto &Queued) {
    const WaitingCall &Other = Queued.second.m_Call;
    return Other.m_Pool == Call.m_Pool && Other.m_Urgency == Call.m_Urgency &&
           Other.m_Workspace == Call.m_Workspace;
  });
}

/// Calls that can be in time first, then the most urgent; among equals the
/// first call of each workspace, then the second of each, so that a workspace
/// with many calls delays no other.
std::vector<std::uint64_t> WaitQueue::placementOrder() const {
  using Rank = std::tuple<bool, balance::Urgency, std::size_t, std::uint64_t>;
  std::map<std::tuple<bool, balance::Urgency, std::string_view>, std::size_t>
      CallsSeen;
  std::vector<Rank> Ranks;
  Ranks.reserve(m_Calls.size());
  for (const auto &[Number, Queued] : m_Calls) {
    const WaitingCall &Call = Queued.m_Call;
    Ranks.emplace_back(
        Call.m_IsLate, Call.m_Urgency,
        CallsSeen[{Call.m_IsLate, Call.m_Urgency, Call.m_Workspace}]++, Number);
  }
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<std::uint64_t> Result;
  Result.reserve(Ranks.size());
  for (const Rank &Ranked : Ranks)
    Result.push_back(std::get<3>(Ranked));
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
