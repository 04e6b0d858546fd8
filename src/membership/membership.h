/// Membership of the fleet's dispatchers, as a daemon uses it.
///
/// The state machine without I/O is in membership_core.h; this class ties it
/// to links, timers and the clock.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_H

#include "core/metrics.h"
#include "core/scheduler.h"
#include "link/link_type.h"
#include "membership/membership_type.h"

#include <functional>
#include <memory>
#include <vector>

namespace crowstep::membership {

/// How fast silence is noticed.
struct MembershipConfig {
  Duration m_HeartbeatInterval = std::chrono::milliseconds(500); ///< > 0.
  Duration m_SuspectAfter = std::chrono::milliseconds(1200); ///< Of silence.
  Duration m_DeadAfter = std::chrono::milliseconds(1500);    ///< Of suspicion.
  std::size_t m_Degree = 4; ///< Links that a member opens to watch others.
  std::uint64_t m_Seed = 1; ///< For the choice of whom to watch.
};

/// The fleet as this dispatcher sees it.
class Membership {
public:
  Membership(MembershipConfig Config, const Member &Self, const Clock &Time,
             Scheduler &Timers, link::Links &Wire, Metrics &Stats);
  ~Membership();
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;

  /// Begins to send heartbeats.
  void start();

  /// Adds addresses to try while few members are known (instance list,
  /// settings); they are hints and may be stale.
  void seed(const std::vector<Address> &Hints);

  /// The daemon passes on what its links report; other roles' are ignored.
  void linkUp(link::LinkId Link, const link::Peer &Who);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link, const link::Peer &Who,
                link::CloseReason Why);
  void dialFailed(const Address &Where, link::CloseReason Why);

  /// Returns everyone known, this process included; the dead are left out
  /// once they are forgotten.
  [[nodiscard]] const std::vector<Member> &members() const;

  /// Calls \p Job after each change of members().
  void onChange(std::function<void()> Job);

  /// Sets the table version that this process has in force; it goes out with
  /// the next heartbeat.
  void setTableVersion(TableVersion Version);

  /// Returns whether more than half of the members of the last view in which
  /// this process heard a majority were heard within the suspicion time.
  [[nodiscard]] bool hearsMajority() const;

  /// Returns the link to a member, or none while there is no direct one.
  [[nodiscard]] link::LinkId linkTo(InstanceId Id) const;

  /// Says goodbye to all, so that pools move without a suspicion.
  void leave();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_H
