/// Membership as a state machine without I/O: typed events and the time go in,
/// typed actions come out. docs/MEMBERSHIP.md argues why it is correct.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H

#include "membership/dial_plan.h"
#include "membership/member_view.h"
#include "membership/membership.h"
#include "membership/view_exchange.h"
#include "membership/watch_list.h"

#include <random>

namespace crowstep::membership {

/// How often the core wants a Tick.
inline constexpr Duration TickInterval = std::chrono::milliseconds(100);

/// How long the dead are remembered. Older news that would bring one back
/// must not outlive this; a process that was cut off for longer may bring a
/// dead member back, until its new watchers find nobody there.
inline constexpr Duration RememberDead = std::chrono::minutes(10);

/// The decisions of one member.
class MembershipCore {
public:
  MembershipCore(const MembershipConfig &Config, const Member &Self,
                 TimePoint Now);

  /// Takes one event and returns what is to be done, in order.
  std::vector<Action> handle(TimePoint Now, const Event &What);

  /// See Membership.
  [[nodiscard]] const std::vector<Member> &members() const;
  [[nodiscard]] bool hearsMajority(TimePoint Now) const;
  [[nodiscard]] LinkId linkTo(InstanceId Id) const;

private:
  void on(const Tick &What);
  void on(const PeerUp &What);
  void on(const PeerDown &What);
  void on(const DialFailed &What);
  void on(const PeerHeard &What);
  void on(const HeartbeatHeard &What);
  void on(const MembersHeard &What);
  void on(const NewsHeard &What);
  void on(const HintsGiven &What);
  void on(const VersionConfirmed &What);
  void on(const Leave &What);

  void accept(const Member &News);
  void acceptAboutSelf(const Member &News);
  void accuse(InstanceId Id, MemberState State);
  void advanceRunningTime();
  void sendHeartbeat(LinkId Link);
  void sendHeartbeats();
  void sendHeldVersions();
  void probe();
  [[nodiscard]] std::vector<Address> probeCandidates() const;
  void retarget();
  void rebaseReference();
  void countMajority();
  void settle();
  void notice(NoticeKind Kind, const Member &Whom);
  [[nodiscard]] const Member &self() const;

  MembershipConfig m_Config;    ///< As given.
  InstanceId m_Self;            ///< This member.
  MemberView m_View;            ///< Always holds this member.
  WatchList m_Watches;          ///< Who is heard.
  ViewExchange m_Exchange;      ///< When whole views go out.
  DialPlan m_Dials;             ///< Whom to dial.
  std::vector<Address> m_Hints; ///< May be stale.
  std::mt19937_64 m_Random;     ///< Only for the choice of probes.
  TimePoint m_Now;              ///< Of the present event.
  TimePoint m_LastTick;         ///< On the clock of m_Now.
  TimePoint m_Running;          ///< Stands still while the process does.
  TimePoint m_NextHeartbeat;    ///< When to send the next round.
  TimePoint m_NextForget;       ///< When to look for the long dead.
  TimePoint m_NextProbe;        ///< When to try a hint or a dead member.
  std::uint64_t m_Sequence = 0; ///< Of the last round of heartbeats.
  std::map<InstanceId, std::set<LinkId>> m_Held; ///< Versions to pass on, and
                                                 ///< who has them.
  std::vector<InstanceId> m_Reference; ///< Live members when a majority was
                                       ///< last heard.
  bool m_ReferenceIsOld = false;       ///< Who is live has changed since.
  bool m_ViewHasMajority = true;       ///< More than half of m_Reference are
                                       ///< alive in m_View.
  bool m_Leaving = false;              ///< After Leave.

  // Of the present event:
  std::vector<Action> m_Out;      ///< What handle() returns.
  LinkId m_Source;                ///< Where the news came from.
  std::vector<Member> m_Whole;    ///< To be flooded whole.
  std::vector<MemberNews> m_News; ///< To be flooded.
  bool m_ViewChanged = false;     ///< Something in the view changed.
  bool m_LiveChanged = false;     ///< Who is live, or where, changed.
};

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_CORE_H
