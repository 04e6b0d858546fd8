/// Senders, their shares of a limit, and trials.
#include "balance/rate_limits.h"

#include "core/pair_hash.h"

#include <algorithm>
#include <utility>

namespace crowstep::balance {

namespace {

/// Returns the number of the TrialInterval that contains \p Now.
std::int64_t trialIntervalOf(TimePoint Now) {
  return Now.time_since_epoch() / RateLimits::TrialInterval;
}

} // namespace

void RateLimits::setInstances(InstanceId Self, std::vector<InstanceId> All,
                              TimePoint Now) {
  std::sort(All.begin(), All.end());
  if (Self == m_Self && All == m_Instances)
    return;
  m_Self = Self;
  m_Instances = std::move(All);
  m_InstancesChangedAt = Now;
  for (auto &[Upstream, Entry] : m_States)
    electSender(Upstream, Entry, Now);
}

void RateLimits::keepOnly(const std::vector<Upstream> &Listed) {
  std::erase_if(m_States, [&](const auto &Entry) {
    return std::none_of(Listed.begin(), Listed.end(),
                        [&](const Upstream &Candidate) {
                          return Candidate.m_Id == Entry.first;
                        });
  });
}

std::size_t RateLimits::senderCount(double Limit) const {
  return std::min(m_Instances.size(), static_cast<std::size_t>(
                                          std::max(1.0, std::min(Limit, 1e6))));
}

/// Uses rendezvous hashing, so that a change of the list replaces few senders.
void RateLimits::electSender(UpstreamId Upstream, State &Entry,
                             TimePoint Now) const {
  const auto Score = [&](InstanceId Instance) {
    return pairHash(Upstream.value(), Instance.value());
  };
  const std::uint64_t OwnScore = Score(m_Self);
  const auto HigherCount = static_cast<std::size_t>(std::count_if(
      m_Instances.begin(), m_Instances.end(),
      [&](InstanceId Instance) { return Score(Instance) > OwnScore; }));
  const bool Sends =
      Entry.m_Limit && HigherCount < senderCount(*Entry.m_Limit) &&
      std::binary_search(m_Instances.begin(), m_Instances.end(), m_Self);
  if (Sends && !Entry.m_IsSender) {
    Entry.m_Tokens = 0;
    Entry.m_RefilledAt = std::max(Now, m_InstancesChangedAt + ListSettleTime);
  }
  Entry.m_IsSender = Sends;
}

void RateLimits::update(UpstreamId Upstream, RateLimit Limit,
                        TimePoint StatedAt, TimePoint Now) {
  State &Entry = m_States[Upstream];
  refill(Entry, Now);
  if (Entry.m_Limit != Limit) {
    // Tokens that were earned under a higher limit, or under none, must not be
    // spent under a lower one.
    if (Limit && (!Entry.m_Limit || *Limit < *Entry.m_Limit))
      Entry.m_Tokens = 0;
    Entry.m_RefilledAt = std::max(Entry.m_RefilledAt, Now);
    Entry.m_Limit = Limit;
    electSender(Upstream, Entry, Now);
  }
  Entry.m_StatedAt = StatedAt;
  if (Limit)
    Entry.m_LimitStatedAt = StatedAt;
}

void RateLimits::recordStatement(UpstreamId Upstream, RateLimit Limit,
                                 TimePoint Sent, TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (!Limit && (Found == m_States.end() || !Found->second.m_Limit ||
                 Sent <= Found->second.m_LimitStatedAt))
    return;
  update(Upstream, Limit, Now, Now);
  m_States[Upstream].m_BroadcastPending = true;
}

void RateLimits::applyUpdates(const std::vector<LimitUpdate> &Updates,
                              TimePoint Now) {
  for (const LimitUpdate &Update : Updates) {
    const TimePoint StatedAt = Now - Update.m_Age;
    const auto Found = m_States.find(Update.m_Upstream);
    if (Found == m_States.end() ? !Update.m_Limit.has_value()
                                : StatedAt <= Found->second.m_StatedAt)
      continue;
    update(Update.m_Upstream, Update.m_Limit, StatedAt, Now);
  }
}

std::vector<LimitUpdate> RateLimits::takeUpdates(TimePoint Now) {
  std::vector<LimitUpdate> Result;
  for (auto &[Upstream, Entry] : m_States)
    if (std::exchange(Entry.m_BroadcastPending, false))
      Result.push_back({Upstream, Entry.m_Limit, Now - Entry.m_StatedAt});
  return Result;
}

std::vector<LimitUpdate> RateLimits::snapshot(TimePoint Now) const {
  std::vector<LimitUpdate> Result;
  for (const auto &[Upstream, Entry] : m_States)
    if (Entry.m_Limit)
      Result.push_back({Upstream, Entry.m_Limit, Now - Entry.m_StatedAt});
  return Result;
}

/// The bucket holds the share of one second, but at least one call.
void RateLimits::refill(State &Entry, TimePoint Now) const {
  if (!Entry.m_Limit || !Entry.m_IsSender || Now <= Entry.m_RefilledAt)
    return;
  const double Share =
      *Entry.m_Limit / static_cast<double>(senderCount(*Entry.m_Limit));
  const double Seconds =
      std::chrono::duration<double>(Now - Entry.m_RefilledAt).count();
  Entry.m_Tokens =
      std::min(Entry.m_Tokens + Share * Seconds, std::max(1.0, Share));
  Entry.m_RefilledAt = Now;
}

bool RateLimits::isTrialDue(UpstreamId Upstream, const State &Entry,
                            TimePoint Now) const {
  const std::int64_t Interval = trialIntervalOf(Now);
  return !m_Instances.empty() && Now - Entry.m_StatedAt > StaleAfter &&
         Now - m_InstancesChangedAt > ListSettleTime &&
         Interval != Entry.m_LastTrial &&
         pairHash(m_TrialSeed ^ Upstream.value(),
                  static_cast<std::uint64_t>(Interval)) %
                 m_Instances.size() ==
             0;
}

bool RateLimits::maySend(UpstreamId Upstream, TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end() || !Found->second.m_Limit)
    return true;
  State &Entry = Found->second;
  refill(Entry, Now);
  return (Entry.m_IsSender && Entry.m_Tokens >= 1) ||
         isTrialDue(Upstream, Entry, Now);
}

void RateLimits::recordSend(UpstreamId Upstream, TimePoint Now) {
  const auto Found = m_States.find(Upstream);
  if (Found == m_States.end() || !Found->second.m_Limit)
    return;
  State &Entry = Found->second;
  if (Entry.m_Tokens >= 1)
    Entry.m_Tokens -= 1;
  else
    Entry.m_LastTrial = trialIntervalOf(Now);
}

RateLimit RateLimits::limitOf(UpstreamId Upstream) const {
  const auto Found = m_States.find(Upstream);
  return Found == m_States.end() ? std::nullopt : Found->second.m_Limit;
}

} // namespace crowstep::balance
