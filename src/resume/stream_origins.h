/// The origins of streams that one instance keeps, for itself and for others.
#ifndef CROWSTEP_RESUME_STREAM_ORIGINS_H
#define CROWSTEP_RESUME_STREAM_ORIGINS_H

#include "resume/stream_origin.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace crowstep::resume {

class StreamOrigins {
public:
  /// With more streams, those that expire first are forgotten: their
  /// continuation is refused.
  static constexpr std::size_t MaxStreams = 1 << 16;

  /// Records with longer names are not kept.
  static constexpr std::size_t MaxNameBytes = 256;

  /// No stream is kept for longer.
  static constexpr Duration MaxLifetime = std::chrono::minutes(15);

  /// Keeps \p Record. A stream that is recorded with two origins has an unknown
  /// version for as long as it may be resumed.
  void record(const StreamRecord &Record, TimePoint Now);

  /// Returns the origin of a stream, or null if it isn't known; valid until the
  /// next call of another function.
  [[nodiscard]] const StreamOrigin *find(const StreamKey &Key,
                                         TimePoint Now) const;

  /// Returns the origin of a stream that began at an unknown version, or was
  /// recorded with two origins: it can't be continued, whatever others know.
  [[nodiscard]] const StreamOrigin *findUnproven(const StreamKey &Key,
                                                 TimePoint Now) const;

  /// Forgets the streams that can't be resumed any more.
  void expire(TimePoint Now);

  [[nodiscard]] std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    StreamOrigin m_Origin; ///< With an unknown version: contradictory.
    TimePoint m_ExpiresAt; ///< Also in m_Expiries.
  };

  [[nodiscard]] const StreamOrigin *findAny(const StreamKey &Key,
                                            TimePoint Now) const;
  void forgetFirst();

  std::unordered_map<StreamKey, Entry> m_Entries;       ///< By stream.
  std::set<std::pair<TimePoint, StreamKey>> m_Expiries; ///< Of all entries.
};

} // namespace crowstep::resume

#endif // CROWSTEP_RESUME_STREAM_ORIGINS_H
