/// When an instance reads the directory itself.
#include "gateway/directory_read_policy.h"

#include <algorithm>

namespace crowstep::gateway {

namespace {

/// Most failures are a single lost answer.
constexpr Duration FirstBackoff = std::chrono::milliseconds(80);
constexpr Duration LongestBackoff = std::chrono::milliseconds(550);

/// The first backoff of a follower is this part of its maximum. It calls only
/// while its zone's readers send no updates, whose own calls have then probably
/// failed before.
constexpr int FirstInLongest = 4;

/// A reader's calls are answered this often while an update stays fresh, so
/// that one answer may be lost.
constexpr int CallsInFreshness = 2;

/// Fraction of the freshness limit after which the deputy calls.
constexpr int DeputyShare = 3;
constexpr int DeputyShareOf = 4;

} // namespace

bool DirectoryReadPolicy::readsForOthers() const {
  return m_Role == ReadingRole::Reader || m_Role == ReadingRole::Deputy;
}

void DirectoryReadPolicy::recordUpdate(TimePoint ReadAt) {
  m_UpdatedAt = std::max(m_UpdatedAt, ReadAt);
}

Duration DirectoryReadPolicy::freshnessLeft(TimePoint Now) const {
  Duration Limit{};
  if (m_Role == ReadingRole::Follower)
    Limit = m_Freshness;
  else if (m_Role == ReadingRole::Deputy)
    Limit = m_Freshness * DeputyShare / DeputyShareOf;
  return std::max(Limit - age(Now), Duration::zero());
}

Duration DirectoryReadPolicy::callWait() const {
  return readsForOthers() ? m_Freshness / CallsInFreshness : m_Freshness;
}

Duration DirectoryReadPolicy::firstBackoff() const {
  return m_Role == ReadingRole::Follower
             ? std::max(FirstBackoff, m_MaxFollowerBackoff / FirstInLongest)
             : FirstBackoff;
}

Duration DirectoryReadPolicy::maxBackoff() const {
  return m_Role == ReadingRole::Follower
             ? std::max(LongestBackoff, m_MaxFollowerBackoff)
             : LongestBackoff;
}

} // namespace crowstep::gateway
