/// A token bucket, for calls to a service that limits their rate.
#ifndef CROWSTEP_LEASE_TOKEN_BUCKET_H
#define CROWSTEP_LEASE_TOKEN_BUCKET_H

#include "core/clock.h"

#include <algorithm>

namespace crowstep::lease {

/// Gains one token per interval and holds a burst of them at most. Starts full.
class TokenBucket {
public:
  TokenBucket(Duration Interval, unsigned Burst, TimePoint Now)
      : m_Interval(Interval), m_Burst(Burst), m_FullAt(Now) {}

  /// Takes a token if there is one; returns whether it did.
  bool tryTake(TimePoint Now) {
    const TimePoint Start = std::max(m_FullAt, Now);
    if (Now < m_PausedUntil || Start + m_Interval > Now + m_Interval * m_Burst)
      return false;
    m_FullAt = Start + m_Interval;
    return true;
  }

  /// Hands out no token before \p Until, as the service asked.
  void pauseUntil(TimePoint Until) {
    m_PausedUntil = std::max(m_PausedUntil, Until);
  }

private:
  Duration m_Interval;     ///< Between tokens, > 0.
  unsigned m_Burst;        ///< Capacity in tokens, >= 1.
  TimePoint m_FullAt;      ///< When the bucket will be full again.
  TimePoint m_PausedUntil; ///< Set by pauseUntil().
};

} // namespace crowstep::lease

#endif // CROWSTEP_LEASE_TOKEN_BUCKET_H
