/// When an instance reads a table of the directory itself, and how often.
///
/// Without such rules, hundreds of instances would all call the directory for
/// each change, and over and over during an outage of it. See ReadingRole.
#ifndef CROWSTEP_GATEWAY_DIRECTORY_READ_POLICY_H
#define CROWSTEP_GATEWAY_DIRECTORY_READ_POLICY_H

#include "core/clock.h"
#include "gateway/directory.h"

namespace crowstep::gateway {

class DirectoryReadPolicy {
public:
  /// Sets how old updates of others may be before this instance calls the
  /// directory itself, and the maximum backoff of a follower.
  void setFreshness(Duration Limit, Duration LongestBackoff) {
    m_Freshness = Limit;
    m_MaxFollowerBackoff = LongestBackoff;
  }

  void setRole(ReadingRole Role) { m_Role = Role; }
  [[nodiscard]] ReadingRole role() const { return m_Role; }

  /// Records an update whose changes were complete at \p ReadAt.
  void recordUpdate(TimePoint ReadAt);

  /// Returns how long the updates of others stay fresh enough; for a deputy
  /// less time, so that it calls the directory before the followers do.
  [[nodiscard]] Duration freshnessLeft(TimePoint Now) const;

  /// Returns the age of the newest update.
  [[nodiscard]] Duration age(TimePoint Now) const { return Now - m_UpdatedAt; }

  /// Returns how long a call may wait for changes. A directory that fails may
  /// forget a waiting call and leave its connection open: until the call times
  /// out, the instance knows of no change. So every call ends within the
  /// freshness limit, a reader's sooner, as others rely on its answers.
  [[nodiscard]] Duration callWait() const;

  /// Returns the backoff after the first of a series of failures, and the
  /// maximum. With the maximum, and the timeout of a call that is not answered,
  /// less than 0.9 s pass between the starts of two calls of an instance that
  /// isn't a follower: if a call fails and the next one is answered, the outage
  /// was over at most that long after the failed call began.
  [[nodiscard]] Duration firstBackoff() const;
  [[nodiscard]] Duration maxBackoff() const;

private:
  [[nodiscard]] bool readsForOthers() const;

  ReadingRole m_Role = ReadingRole::Alone;        ///< In the zone.
  Duration m_Freshness = std::chrono::seconds(1); ///< See setFreshness().
  Duration m_MaxFollowerBackoff{};                ///< See setFreshness().
  TimePoint m_UpdatedAt{}; ///< When the newest was complete.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_DIRECTORY_READ_POLICY_H
