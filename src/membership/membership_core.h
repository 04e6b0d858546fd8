/// The membership protocol as a state machine without I/O: handles typed events
/// with the current time and returns typed actions. docs/MEMBERSHIP.md argues
/// why it is correct.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H

#include "membership/dial_plan.h"
#include "membership/member_view.h"
#include "membership/membership.h"
#include "membership/view_exchange.h"
#include "membership/watch_list.h"

#include <random>

namespace crowstep::membership {

/// Interval at which the core expects a Tick.
inline constexpr Duration TickInterval = std::chrono::milliseconds(100);

/// How long tombstones of members that died or left are kept. A tombstone keeps
/// outdated updates from reviving its member. A process that was cut off for
/// longer may revive a dead member, until those that then watch it detect that
/// nothing answers.
inline constexpr Duration TombstoneRetention = std::chrono::minutes(10);

/// The protocol state of one member.
class MembershipCore {
public:
  MembershipCore(const MembershipConfig &Config, const Member &Self,
                 TimePoint Now);

  /// Handles one event and returns the actions to take, in order.
  std::vector<Action> handle(TimePoint Now, const Event &Incoming);

  /// See Membership.
  [[nodiscard]] const std::vector<Member> &members() const;
  [[nodiscard]] bool isInMajority(TimePoint Now) const;
  [[nodiscard]] LinkId linkTo(InstanceId Id) const;

private:
  void on(const Tick &Elapsed);
  void on(const PeerUp &Up);
  void on(const PeerDown &Down);
  void on(const DialFailed &Failure);
  void on(const FrameReceived &Received);
  void on(const HeartbeatReceived &Heartbeat);
  void on(const MembersReceived &Received);
  void on(const UpdatesReceived &Received);
  void on(const HintsSet &Set);
  void on(const VersionConfirmed &Confirmed);
  void on(const Leave &Leaving);

  void applyUpdate(const Member &Update);
  void applyUpdateAboutSelf(const Member &Update);
  void reportFailure(InstanceId Id, MemberState State);
  void advanceRunningTime();
  void sendHeartbeat(LinkId Link);
  void sendHeartbeats();
  void sendPendingVersions();
  void probe();
  [[nodiscard]] std::vector<Address> probeCandidates() const;
  void updateTargets();
  void resetReference();
  void updateViewMajority();
  void finishEvent();
  void addNotice(NoticeKind Kind, const Member &Subject);
  [[nodiscard]] const Member &self() const;

  MembershipConfig m_Config;
  InstanceId m_Self;              ///< This member.
  MemberView m_View;              ///< Always contains this member.
  WatchList m_WatchList;          ///< Detects silent members.
  ViewExchange m_Exchange;        ///< Decides when to send the full view.
  DialPlan m_DialPlan;            ///< Which addresses to dial.
  std::vector<Address> m_Hints;   ///< May be stale.
  std::mt19937_64 m_Random;       ///< For the choice and the times of probes.
  TimePoint m_Now;                ///< Time of the current event.
  TimePoint m_LastTick;           ///< Real time, like m_Now.
  TimePoint m_RunningTime;        ///< Stands still while the process is frozen.
  TimePoint m_NextHeartbeat;      ///< Real time of the next round.
  TimePoint m_NextTombstoneSweep; ///< On running time.
  TimePoint m_NextProbe;          ///< Real time of the next probes.
  std::uint64_t m_Sequence = 0;   ///< Of the last round of heartbeats.
  /// Members whose confirmed version is to be passed on, each with the links
  /// whose peers have it already.
  std::map<InstanceId, std::set<LinkId>> m_PendingVersions;
  std::vector<InstanceId> m_Reference; ///< Live members when this process was
                                       ///< last in a majority.
  bool m_ReferenceIsStale = false;     ///< The live members have changed since.
  bool m_ViewHasMajority = true;       ///< More than half of m_Reference are
                                       ///< alive in m_View.
  bool m_Leaving = false;              ///< After Leave.

  // State of the current event:
  std::vector<Action> m_Actions;              ///< Returned by handle().
  LinkId m_SourceLink;                        ///< Source of the update, if any.
  std::vector<Member> m_MembersToFlood;       ///< Full records to be flooded.
  std::vector<MemberUpdate> m_UpdatesToFlood; ///< Updates to be flooded.
  bool m_ViewChanged = false;                 ///< The view changed in any way.
  bool m_LiveChanged = false; ///< A state or an incarnation changed.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H
