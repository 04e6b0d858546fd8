/// What goes into the membership's state machine and what comes out of it.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H

#include "link/link_type.h"
#include "membership/membership_type.h"

#include <variant>

namespace crowstep::membership {

using link::CloseReason;
using link::LinkId;

/// What changes in a member that is already known.
struct MemberNews {
  InstanceId m_Id;                          ///< Whose.
  Incarnation m_Incarnation;                ///< Of its present start.
  MemberState m_State = MemberState::Alive; ///< New state.
  TableVersion m_TableVersion;              ///< Confirmed version.

  bool operator==(const MemberNews &) const = default;
};

// ---- Events ----

/// Time went by; comes every TickInterval.
struct Tick {};
/// A link to another member is up; \p m_Peer is what its Hello says.
struct PeerUp {
  LinkId m_Link; ///< Which.
  Member m_Peer; ///< State Alive, table version 0.
};
/// A link to another member closed.
struct PeerDown {
  LinkId m_Link;                          ///< Which.
  CloseReason m_Why = CloseReason::Local; ///< Why.
};
/// A dial did not get as far as up.
struct DialFailed {
  Address m_Where;                        ///< Dialled.
  CloseReason m_Why = CloseReason::Local; ///< Why.
};
/// A member sent a frame, whatever is in it.
struct PeerHeard {
  LinkId m_Link; ///< From where.
};
/// A member sent a heartbeat.
struct HeartbeatHeard {
  LinkId m_Link;                ///< From where.
  std::uint64_t m_ViewHash = 0; ///< Of the sender's view.
};
/// A member sent whole members.
struct MembersHeard {
  LinkId m_Link;                 ///< From where.
  std::vector<Member> m_Members; ///< As it believes.
};
/// A member sent changes of members.
struct NewsHeard {
  LinkId m_Link;                  ///< From where.
  std::vector<MemberNews> m_News; ///< As it believes.
};
/// Addresses where members may be.
struct HintsGiven {
  std::vector<Address> m_Hints; ///< In place of the earlier ones.
};
/// This process has a table version in force.
struct VersionConfirmed {
  TableVersion m_Version; ///< Which.
};
/// This process goes.
struct Leave {};

using Event =
    std::variant<Tick, PeerUp, PeerDown, DialFailed, PeerHeard, HeartbeatHeard,
                 MembersHeard, NewsHeard, HintsGiven, VersionConfirmed, Leave>;

// ---- Actions ----

/// Keep a link to this address.
struct Dial {
  Address m_Where; ///< Of a member or a hint.
};
/// Stop keeping a link to this address.
struct HangUp {
  Address m_Where; ///< Dialled before.
};
/// Close one link; a dialled one comes back.
struct Drop {
  LinkId m_Link; ///< Which.
};
/// Send a heartbeat.
struct SendHeartbeat {
  LinkId m_Link;                ///< Where to.
  std::uint64_t m_Sequence = 0; ///< Grows by one with each round.
  TableVersion m_TableVersion;  ///< Of this process.
  std::uint64_t m_ViewHash = 0; ///< Of this process.
};
/// Send whole members.
struct SendMembers {
  LinkId m_Link;                 ///< Where to.
  std::vector<Member> m_Members; ///< To be sent.
};
/// Send changes of members.
struct SendNews {
  LinkId m_Link;                  ///< Where to.
  std::vector<MemberNews> m_News; ///< To be sent.
};

/// What is worth a counter and a log line.
enum class NoticeKind : std::uint8_t {
  Joined,    ///< A member is new or came back.
  Suspected, ///< A member turned suspect.
  Died,      ///< A member is dead.
  Left,      ///< A member said goodbye.
  Refuted,   ///< This process refuted news of its own end.
  Slow,      ///< This process lags or hears nobody, and accuses nobody.
  Exchanged, ///< The whole view went out, as views differed.
  Count,     ///< Number of kinds; not a kind.
};
struct Notice {
  NoticeKind m_Kind = NoticeKind::Joined; ///< What.
  Member m_Member;                        ///< Whom it is about.
};

/// members() is not what it was.
struct ViewChanged {};

using Action = std::variant<Dial, HangUp, Drop, SendHeartbeat, SendMembers,
                            SendNews, Notice, ViewChanged>;

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H
