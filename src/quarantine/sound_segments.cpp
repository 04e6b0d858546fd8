/// Segments of prompts on which upstreams have written answers lately.
#include "quarantine/sound_segments.h"

namespace crowstep::quarantine {

namespace {

/// A segment that is served again this soon keeps its time, so that one that is
/// served often has few entries.
constexpr Duration MinInterval = std::chrono::milliseconds(100);

} // namespace

void SoundSegments::record(const ContentHash &Segment, TimePoint Now) {
  const auto [Found, IsNew] = m_ServedAt.try_emplace(Segment, Now);
  if (!IsNew && Now - Found->second < MinInterval)
    return;
  Found->second = Now;
  m_Order.push_back({Segment, Now});
  evict();
}

std::optional<TimePoint> SoundSegments::lastServedAt(const ContentHash &Segment,
                                                     TimePoint Now) const {
  const auto Found = m_ServedAt.find(Segment);
  if (Found == m_ServedAt.end() || Now - Found->second > Lifetime)
    return std::nullopt;
  return Found->second;
}

void SoundSegments::evict() {
  while (m_ServedAt.size() > MaxSegments || m_Order.size() > 2 * MaxSegments) {
    const Entry Oldest = m_Order.front();
    m_Order.pop_front();
    const auto Found = m_ServedAt.find(Oldest.m_Segment);
    if (Found != m_ServedAt.end() && Found->second == Oldest.m_ServedAt)
      m_ServedAt.erase(Found);
  }
}

} // namespace crowstep::quarantine
