/// Converts between the types of the state machine and those of the wire.
#include "membership/membership_wire.h"

#include "wire/wire_text.h"

namespace crowstep::membership {

namespace {

using wire::textOf;

bool isValid(wire::MemberState State) {
  return State <= wire::MemberState::MAX;
}

MembersReceived membersIn(LinkId Link, const wire::Frame &Frame) {
  MembersReceived Result{Link, {}};
  for (const wire::Member *Source : *Frame.members()) {
    const Member Read = memberOf(*Source);
    if (isValid(Source->state()) && !Read.m_Name.empty() &&
        Read.m_Address.m_Port != 0)
      Result.m_Members.push_back(Read);
  }
  return Result;
}

UpdatesReceived updatesIn(LinkId Link, const wire::Frame &Frame) {
  UpdatesReceived Result{Link, {}};
  for (const wire::MemberNews *Source : *Frame.member_news())
    if (isValid(Source->state()))
      Result.m_Updates.push_back({InstanceId(Source->instance()),
                                  Incarnation(Source->incarnation()),
                                  static_cast<MemberState>(Source->state()),
                                  TableVersion(Source->table_version())});
  return Result;
}

} // namespace

Member memberOf(const wire::Member &Source) {
  Member Result;
  Result.m_Name = textOf(Source.instance());
  Result.m_Id = instanceIdOf(Result.m_Name);
  Result.m_Incarnation = Incarnation(Source.incarnation());
  Result.m_State = static_cast<MemberState>(Source.state());
  Result.m_Address = {Source.ip(), Source.port()};
  Result.m_Zone = {textOf(Source.zone())};
  Result.m_TableVersion = TableVersion(Source.table_version());
  return Result;
}

std::unique_ptr<wire::MemberT> wireOf(const Member &Source) {
  auto Result = std::make_unique<wire::MemberT>();
  Result->instance = Source.m_Name;
  Result->incarnation = Source.m_Incarnation.value();
  Result->state = static_cast<wire::MemberState>(Source.m_State);
  Result->ip = Source.m_Address.m_Ip;
  Result->port = Source.m_Address.m_Port;
  Result->zone = Source.m_Zone.m_Name;
  Result->table_version = Source.m_TableVersion.value();
  return Result;
}

Member memberOf(const link::Peer &Remote) {
  Member Result;
  Result.m_Id = Remote.m_Instance;
  Result.m_Name = Remote.m_Name;
  Result.m_Incarnation = Remote.m_Incarnation;
  Result.m_Address = Remote.m_Address;
  Result.m_Zone = Remote.m_Zone;
  return Result;
}

std::vector<Event> eventsOf(LinkId Link, const wire::Frame &Frame) {
  std::vector<Event> Result{FrameReceived{Link}};
  if (Frame.members() != nullptr)
    Result.emplace_back(membersIn(Link, Frame));
  if (Frame.member_news() != nullptr)
    Result.emplace_back(updatesIn(Link, Frame));
  if (Frame.heartbeat() != nullptr)
    Result.emplace_back(
        HeartbeatReceived{Link, Frame.heartbeat()->view_hash()});
  return Result;
}

void addToFrame(const SendMembers &Message, wire::FrameT &Frame) {
  for (const Member &Sent : Message.m_Members)
    Frame.members.push_back(wireOf(Sent));
}

void addToFrame(const SendUpdates &Message, wire::FrameT &Frame) {
  for (const MemberUpdate &Update : Message.m_Updates)
    Frame.member_news.emplace_back(
        Update.m_Id.value(), Update.m_Incarnation.value(),
        Update.m_TableVersion.value(),
        static_cast<wire::MemberState>(Update.m_State));
}

void addToFrame(const SendHeartbeat &Message, wire::FrameT &Frame) {
  // The frame may contain a heartbeat already.
  if (!Frame.heartbeat)
    Frame.heartbeat = std::make_unique<wire::HeartbeatT>();
  Frame.heartbeat->sequence = Message.m_Sequence;
  Frame.heartbeat->table_version = Message.m_TableVersion.value();
  Frame.heartbeat->view_hash = Message.m_ViewHash;
}

} // namespace crowstep::membership
