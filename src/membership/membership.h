/// Membership of the fleet's dispatchers: the interface for daemons.
///
/// The state machine without I/O is in membership_core.h; this class connects
/// it to links, timers and the clock.
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

/// Timeouts and fan-out of failure detection.
struct MembershipConfig {
  Duration m_HeartbeatInterval = std::chrono::milliseconds(500); ///< > 0.
  Duration m_SuspectAfter = std::chrono::milliseconds(1200); ///< Of silence.
  Duration m_DeadAfter = std::chrono::milliseconds(1500);    ///< Of suspicion.
  std::size_t m_Degree = 4; ///< Links that a member opens; at least 2 are.
  std::uint64_t m_Seed = 1; ///< For the random choice of targets and probes.
};

/// The members of the fleet that this dispatcher knows.
class Membership {
public:
  Membership(MembershipConfig Config, const Member &Self, const Clock &Time,
             Scheduler &Timers, link::Links &Wire, Metrics &Stats);
  ~Membership();
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;

  /// Starts ticks and with them heartbeats.
  void start();

  /// Replaces the addresses (from the instance list or the settings) that are
  /// probed while no live member is known at them. They may be stale.
  void setHints(const std::vector<Address> &Hints);

  /// To be called on each event of the daemon's links; links to other roles
  /// than dispatchers are ignored.
  void linkUp(link::LinkId Link, const link::Peer &Remote);
  void linkFrame(link::LinkId Link, const wire::Frame &Frame);
  void linkDown(link::LinkId Link, const link::Peer &Remote,
                link::CloseReason Reason);
  void dialFailed(const Address &Dialled, link::CloseReason Reason);

  /// Returns all known members, this process included. Dead members and those
  /// that left are listed until TombstoneRetention has passed.
  [[nodiscard]] const std::vector<Member> &members() const;

  /// Calls \p Callback after each change of members().
  void onChange(std::function<void()> Callback);

  /// Sets the table version that this process has in force. The others are
  /// sent an update at once; later heartbeats carry the version as well.
  void setTableVersion(TableVersion Version);

  /// Returns whether this process is in contact with a majority: more than
  /// half of the reference members (those that were live when it last was) are
  /// alive in its view, and more than half of the live members that it watches,
  /// itself counted, sent a frame within the suspicion time.
  [[nodiscard]] bool isInMajority() const;

  /// Returns a direct link to a member, or none.
  [[nodiscard]] link::LinkId linkTo(InstanceId Id) const;

  /// Announces to all members that this process leaves, so that pools move
  /// without waiting for failure detection.
  void leave();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl; ///< Never null.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_H
