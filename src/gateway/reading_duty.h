/// When an instance reads a table of the directory itself, and how patiently.
///
/// Load: hundreds of instances that would all call the directory for each
/// change, and again and again while it is away. See ReadingRole.
#ifndef CROWSTEP_GATEWAY_READING_DUTY_H
#define CROWSTEP_GATEWAY_READING_DUTY_H

#include "core/clock.h"
#include "gateway/directory.h"

namespace crowstep::gateway {

class ReadingDuty {
public:
  /// How long a call may wait for changes where nobody relies on its answer.
  static constexpr Duration LongestWait = std::chrono::seconds(30);

  /// Sets how old updates of others may be before this instance calls the
  /// directory itself, and the longest back-off of one that gets updates.
  void setFreshness(Duration Limit, Duration LongestBackoff) {
    m_Freshness = Limit;
    m_FollowerBackoff = LongestBackoff;
  }

  void setRole(ReadingRole Role) { m_Role = Role; }
  [[nodiscard]] ReadingRole role() const { return m_Role; }

  /// An update came whose changes were complete at \p ReadAt.
  void updated(TimePoint ReadAt);

  /// Returns how long the updates of others will do; a deputy's for less time,
  /// so that it calls the directory before all others do.
  [[nodiscard]] Duration freshFor(TimePoint Now) const;

  /// Returns how old the newest update is.
  [[nodiscard]] Duration age(TimePoint Now) const { return Now - m_UpdatedAt; }

  /// Returns how long a call may wait for changes. Others rely on the answers
  /// of a reader, also on those without changes.
  [[nodiscard]] Duration waitOfCall() const;

  /// Returns the back-off after the first of a series of failures, and the
  /// longest. With the longest, and the limit of a call that is not answered,
  /// less than 0.9 s pass between the beginnings of two calls of an instance
  /// that isn't a follower: an outage that such a call has met was over at most
  /// that much later when the next one is answered.
  [[nodiscard]] Duration firstBackoff() const;
  [[nodiscard]] Duration longestBackoff() const;

private:
  [[nodiscard]] bool readsForOthers() const;

  ReadingRole m_Role = ReadingRole::Alone; ///< For the zone.
  Duration m_Freshness{};                  ///< See setFreshness().
  Duration m_FollowerBackoff{};            ///< See setFreshness().
  TimePoint m_UpdatedAt{};                 ///< Updates are not older than this.
};

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_READING_DUTY_H
