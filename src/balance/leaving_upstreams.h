/// Upstreams that have announced that they leave.
///
/// An upstream that leaves takes no new calls for the rest of its lifetime. It
/// announces this in its entry and in its answers; where the directory can't be
/// written or read, only an answer says so, and only to the instance that gets
/// it. As it is a fact about the upstream and not a belief of one instance, it
/// is broadcast. Its entry may say otherwise later: a write of the upstream
/// that was delayed, or another writer's. So the announcement is kept by the
/// upstream's id, which differs between lifetimes, also while it is not listed.
#ifndef CROWSTEP_BALANCE_LEAVING_UPSTREAMS_H
#define CROWSTEP_BALANCE_LEAVING_UPSTREAMS_H

#include "core/clock.h"
#include "upstream_type.h"

#include <unordered_map>
#include <utility>
#include <vector>

namespace crowstep::balance {

class LeavingUpstreams {
public:
  /// An announcement is forgotten when the upstream has not been listed for
  /// this long: longer than any upstream goes on serving after it.
  static constexpr Duration UnlistedMemory = std::chrono::minutes(10);

  /// Records that \p Upstream leaves, as its entry or another instance says;
  /// returns whether that is new. \p IsListed tells whether it has an entry.
  bool record(UpstreamId Upstream, bool IsListed) {
    return m_States.try_emplace(Upstream, State{IsListed, {}}).second;
  }

  /// Records the same as an answer says, which is to be broadcast if it is new.
  bool recordStatement(UpstreamId Upstream, bool IsListed);

  /// Returns the statements that were recorded since the last call.
  std::vector<UpstreamId> takeUpdates() {
    return std::exchange(m_UnsentStatements, {});
  }

  /// Returns all that leave, for an instance that has just been linked.
  [[nodiscard]] std::vector<UpstreamId> snapshot() const;

  [[nodiscard]] bool contains(UpstreamId Upstream) const {
    return m_States.contains(Upstream);
  }

  /// Sets which upstreams are listed.
  void setListed(const std::vector<Upstream> &All);

  /// Forgets those that have not been listed for UnlistedMemory.
  void expire(TimePoint Now);

private:
  /// What is known of one that leaves.
  struct State {
    bool m_Listed = false;    ///< Now.
    TimePoint m_UnlistedAt{}; ///< First expire() without it; not set: listed.
  };

  std::unordered_map<UpstreamId, State> m_States; ///< Those that leave.
  std::vector<UpstreamId> m_UnsentStatements;     ///< Since takeUpdates().
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_LEAVING_UPSTREAMS_H
