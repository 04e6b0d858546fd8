/// Events that the membership state machine handles and actions it returns.
#ifndef CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H
#define CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H

#include "link/link_type.h"
#include "membership/membership_type.h"

#include <variant>

namespace crowstep::membership {

using link::CloseReason;
using link::LinkId;

/// The changeable fields of a member that the receiver knows already.
struct MemberUpdate {
  InstanceId m_Id;                          ///< Of the member.
  Incarnation m_Incarnation;                ///< Of the start that it concerns.
  MemberState m_State = MemberState::Alive; ///< New state.
  TableVersion m_TableVersion;              ///< Confirmed version.

  bool operator==(const MemberUpdate &) const = default;
};

// ---- Events ----

/// Comes every TickInterval.
struct Tick {};
/// A link to another member is up; m_Peer is taken from its Hello.
struct PeerUp {
  LinkId m_Link;
  Member m_Peer; ///< State Alive, table version 0.
};
/// A link to another member closed.
struct PeerDown {
  LinkId m_Link;
  CloseReason m_Reason = CloseReason::Local;
};
/// A dial failed before the link was up.
struct DialFailed {
  Address m_Address; ///< The address dialled.
  CloseReason m_Reason = CloseReason::Local;
};
/// A frame arrived from a member, with any content.
struct FrameReceived {
  LinkId m_Link; ///< Source.
};
/// A member sent a heartbeat.
struct HeartbeatReceived {
  LinkId m_Link;                ///< Source.
  std::uint64_t m_ViewHash = 0; ///< Of the sender's view.
};
/// A member sent full member records.
struct MembersReceived {
  LinkId m_Link;                 ///< Source.
  std::vector<Member> m_Members; ///< From the sender's view.
};
/// A member sent updates of members.
struct UpdatesReceived {
  LinkId m_Link;                       ///< Source.
  std::vector<MemberUpdate> m_Updates; ///< From the sender's view.
};
/// Addresses at which members may be reached.
struct HintsSet {
  std::vector<Address> m_Hints; ///< Replace the earlier ones.
};
/// This process has a table version in force.
struct VersionConfirmed {
  TableVersion m_Version;
};
/// This process is about to stop.
struct Leave {};

using Event = std::variant<Tick, PeerUp, PeerDown, DialFailed, FrameReceived,
                           HeartbeatReceived, MembersReceived, UpdatesReceived,
                           HintsSet, VersionConfirmed, Leave>;

// ---- Actions ----

/// Keep a link to this address.
struct Dial {
  Address m_Address; ///< Of a member or a hint.
};
/// Close the link to this address and stop dialling it.
struct Disconnect {
  Address m_Address; ///< Of an earlier Dial.
};
/// Close one link; if this process dialled it, it is dialled again.
struct CloseLink {
  LinkId m_Link;
};
/// Send a heartbeat.
struct SendHeartbeat {
  LinkId m_Link;                ///< Destination.
  std::uint64_t m_Sequence = 0; ///< Grows by one with each round.
  TableVersion m_TableVersion;  ///< Confirmed by this process.
  std::uint64_t m_ViewHash = 0; ///< Of this process's view.
};
/// Send full member records.
struct SendMembers {
  LinkId m_Link; ///< Destination.
  std::vector<Member> m_Members;
};
/// Send updates of members.
struct SendUpdates {
  LinkId m_Link; ///< Destination.
  std::vector<MemberUpdate> m_Updates;
};

/// Occurrences that are counted and logged.
enum class NoticeKind : std::uint8_t {
  Joined,    ///< A member is new or has a higher incarnation.
  Suspected, ///< A member became suspect.
  Died,      ///< A member was declared dead.
  Left,      ///< A member announced that it leaves.
  Refuted,   ///< This process raised its own incarnation.
  Slow,      ///< A tick of this process was late.
  Exchanged, ///< The full view was sent to a peer whose view differs.
  Count,     ///< Number of kinds; not a kind.
};
struct Notice {
  NoticeKind m_Kind = NoticeKind::Joined;
  Member m_Member; ///< The member concerned.
};

/// The result of members() changed.
struct ViewChanged {};

using Action = std::variant<Dial, Disconnect, CloseLink, SendHeartbeat,
                            SendMembers, SendUpdates, Notice, ViewChanged>;

} // namespace crowstep::membership

#endif // CROWSTEP_MEMBERSHIP_MEMBERSHIP_EVENT_H
