/// Segments of prompts on which upstreams have written answers lately.
#ifndef CROWSTEP_QUARANTINE_SOUND_SEGMENTS_H
#define CROWSTEP_QUARANTINE_SOUND_SEGMENTS_H

#include "content_hash.h"
#include "core/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace crowstep::quarantine {

class SoundSegments {
public:
  /// How long a segment is remembered.
  static constexpr Duration Lifetime = std::chrono::minutes(5);

  /// Limit on the segments; the least recently served one is forgotten.
  static constexpr std::size_t MaxSegments = 4096;

  /// An answer was written on \p Segment.
  void record(const ContentHash &Segment, TimePoint Now);

  /// Returns when the last answer was written on \p Segment; none: not within
  /// Lifetime.
  [[nodiscard]] std::optional<TimePoint>
  lastServedAt(const ContentHash &Segment, TimePoint Now) const;

private:
  struct Entry {
    ContentHash m_Segment; ///< The segment.
    TimePoint m_ServedAt;  ///< May be served again later.
  };

  void evict();

  std::unordered_map<ContentHash, TimePoint> m_ServedAt; ///< Last times.
  std::deque<Entry> m_Order; ///< Each segment at least once, oldest first.
};

} // namespace crowstep::quarantine

#endif // CROWSTEP_QUARANTINE_SOUND_SEGMENTS_H
