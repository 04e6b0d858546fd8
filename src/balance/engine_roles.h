/// Roles of the engines of a service whose speeds are learned.
///
/// Learned speeds and the work of each kind change all the time, and moving an
/// engine between roles makes it prefill other prompts. So the boundary is
/// updated in steps, and stays where it is while it is nearly right.
#ifndef CROWSTEP_BALANCE_ENGINE_ROLES_H
#define CROWSTEP_BALANCE_ENGINE_ROLES_H

#include "balance/role_split.h"

#include <optional>

namespace crowstep::balance {

class EngineRoles {
public:
  /// Shortest time between two updates: a fraction of the time constants of
  /// speeds and work, so that it adds little delay to either.
  static constexpr Duration UpdateInterval = std::chrono::milliseconds(250);

  /// Returns whether the interval since the last update has passed.
  [[nodiscard]] bool isUpdateDue(TimePoint Now) const {
    return !m_UpdatedAt || Now - *m_UpdatedAt >= UpdateInterval;
  }

  /// Divides engines of these speeds by the recent work of each kind.
  void update(const RoleSplit &Split, const std::vector<SpeedGroup> &Groups,
              TimePoint Now);

  /// The engines or their order have changed: the next update is due at once.
  void invalidate() { m_UpdatedAt.reset(); }

  /// Returns how many engines, the first by role rank, take latency-sensitive
  /// calls only, as of the last update.
  [[nodiscard]] std::size_t latencySensitiveEngineCount() const {
    return m_Count.value_or(0);
  }

private:
  std::optional<TimePoint> m_UpdatedAt; ///< None: an update is due.
  std::optional<std::size_t> m_Count;   ///< None: before the first update.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ENGINE_ROLES_H
