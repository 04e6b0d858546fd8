/// Senders, their parts of a limit, and trials.
#include "balance/rate_limits.h"

#include "core/pair_hash.h"

#include <algorithm>
#include <utility>

namespace crowstep::balance {

namespace {

/// Returns the number of the TrialSpan that \p Now is in.
std::int64_t spanOf(TimePoint Now) {
  return Now.time_since_epoch() / RateLimits::TrialSpan;
}

} // namespace

void RateLimits::setInstances(InstanceId Self, std::vector<InstanceId> All,
                              TimePoint Now) {
  std::sort(All.begin(), All.end());
  if (Self == m_Self && All == m_All)
    return;
  m_Self = Self;
  m_All = std::move(All);
  m_ChangedAt = Now;
  for (auto &[Upstream, What] : m_States)
    elect(Upstream, What, Now);
}

void RateLimits::keepOnly(const std::vector<Upstream> &Listed) {
  std::erase_if(m_States, [&](const auto &Each) {
    return std::none_of(Listed.begin(), Listed.end(), [&](const Upstream &One) {
      return One.m_Id == Each.first;
    });
  });
}

std::size_t RateLimits::sendersFor(double Limit) const {
  return std::min(m_All.size(), static_cast<std::size_t>(
                                    std::max(1.0, std::min(Limit, 1e6))));
}

/// Rendezvous: a change of the list moves few senders.
void RateLimits::elect(UpstreamId Upstream, State &What, TimePoint Now) const {
  const auto Score = [&](InstanceId Each) {
    return pairHash(Upstream.value(), Each.value());
  };
  const std::uint64_t Own = Score(m_Self);
  const auto Before = static_cast<std::size_t>(
      std::count_if(m_All.begin(), m_All.end(),
                    [&](InstanceId Each) { return Score(Each) > Own; }));
  const bool Sends = What.m_Limit && Before < sendersFor(*What.m_Limit) &&
                     std::binary_search(m_All.begin(), m_All.end(), m_Self);
  if (Sends && !What.m_Sender) {
    What.m_Tokens = 0;
    What.m_FilledAt = std::max(Now, m_ChangedAt + SettleSpan);
  }
  What.m_Sender = Sends;
}

void RateLimits::update(UpstreamId Upstream, RateLimit Limit,
                        TimePoint StatedAt, TimePoint Now) {
  State &What = m_States[Upstream];
  fill(What, Now);
  if (What.m_Limit != Limit) {
    // Tokens of a higher limit, or of none, are not spent on a lower one.
    if (Limit && (!What.m_Limit || *Limit < *What.m_Limit))
      What.m_Tokens = 0;
    What.m_FilledAt = std::max(What.m_FilledAt, Now);
    What.m_Limit = Limit;
    elect(Upstream, What, Now);
  }
  What.m_StatedAt = StatedAt;
  if (Limit)
    What.m_LimitAt = StatedAt;
}

void RateLimits::stated(UpstreamId Upstream, RateLimit Limit, TimePoint Sent,
                        TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (!Limit && (Found == m_States.end() || !Found->second.m_Limit ||
                 Sent <= Found->second.m_LimitAt))
    return;
  update(Upstream, Limit, Now, Now);
  m_States[Upstream].m_News = true;
}

void RateLimits::take(const std::vector<LimitNews> &News, TimePoint Now) {
  for (const LimitNews &Each : News) {
    const TimePoint At = Now - Each.m_Age;
    const auto Found = m_States.find(Each.m_Upstream);
    if (Found == m_States.end() ? !Each.m_Limit.has_value()
                                : At <= Found->second.m_StatedAt)
      continue;
    update(Each.m_Upstream, Each.m_Limit, At, Now);
  }
}

std::vector<LimitNews> RateLimits::takeNews(TimePoint Now) {
  std::vector<LimitNews> Result;
  for (auto &[Upstream, What] : m_States)
    if (std::exchange(What.m_News, false))
      Result.push_back({Upstream, What.m_Limit, Now - What.m_StatedAt});
  return Result;
}

std::vector<LimitNews> RateLimits::all(TimePoint Now) const {
  std::vector<LimitNews> Result;
  for (const auto &[Upstream, What] : m_States)
    if (What.m_Limit)
      Result.push_back({Upstream, What.m_Limit, Now - What.m_StatedAt});
  return Result;
}

/// A sender may save up what its part is in a second, and one call at least.
void RateLimits::fill(State &What, TimePoint Now) const {
  if (!What.m_Limit || !What.m_Sender || Now <= What.m_FilledAt)
    return;
  const double Part =
      *What.m_Limit / static_cast<double>(sendersFor(*What.m_Limit));
  const double Seconds =
      std::chrono::duration<double>(Now - What.m_FilledAt).count();
  What.m_Tokens = std::min(What.m_Tokens + Part * Seconds, std::max(1.0, Part));
  What.m_FilledAt = Now;
}

bool RateLimits::mayTry(UpstreamId Upstream, const State &What,
                        TimePoint Now) const {
  const std::int64_t Span = spanOf(Now);
  return !m_All.empty() && Now - What.m_StatedAt > StaleAfter &&
         Now - m_ChangedAt > SettleSpan && Span != What.m_Trial &&
         pairHash(m_Seed ^ Upstream.value(), static_cast<std::uint64_t>(Span)) %
                 m_All.size() ==
             0;
}

bool RateLimits::mayTake(UpstreamId Upstream, TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end() || !Found->second.m_Limit)
    return true;
  State &What = Found->second;
  fill(What, Now);
  return (What.m_Sender && What.m_Tokens >= 1) || mayTry(Upstream, What, Now);
}

void RateLimits::taken(UpstreamId Upstream, TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end() || !Found->second.m_Limit)
    return;
  State &What = Found->second;
  if (What.m_Tokens >= 1)
    What.m_Tokens -= 1;
  else
    What.m_Trial = spanOf(Now);
}

RateLimit RateLimits::limitOf(UpstreamId Upstream) const {
  const auto Found = m_States.find(Upstream);
  return Found == m_States.end() ? std::nullopt : Found->second.m_Limit;
}

} // namespace crowstep::balance
