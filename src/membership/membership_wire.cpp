/// Converts between the types of the state machine and those of the wire.
#include "membership/membership_wire.h"

#include "wire/wire_text.h"

namespace crowstep::membership {

namespace {

using wire::textOf;

bool isValid(wire::MemberState State) {
  return State <= wire::MemberState::MAX;
}

MembersHeard membersIn(LinkId Link, const wire::Frame &Frame) {
  MembersHeard Result{Link, {}};
  for (const wire::Member *Each : *Frame.members()) {
    const Member Read = memberOf(*Each);
    if (isValid(Each->state()) && !Read.m_Name.empty() &&
        Read.m_Address.m_Port != 0)
      Result.m_Members.push_back(Read);
  }
  return Result;
}

NewsHeard newsIn(LinkId Link, const wire::Frame &Frame) {
  NewsHeard Result{Link, {}};
  for (const wire::MemberNews *Each : *Frame.member_news())
    if (isValid(Each->state()))
      Result.m_News.push_back({InstanceId(Each->instance()),
                               Incarnation(Each->incarnation()),
                               static_cast<MemberState>(Each->state()),
                               TableVersion(Each->table_version())});
  return Result;
}

} // namespace

Member memberOf(const wire::Member &From) {
  Member Result;
  Result.m_Name = textOf(From.instance());
  Result.m_Id = instanceIdOf(Result.m_Name);
  Result.m_Incarnation = Incarnation(From.incarnation());
  Result.m_State = static_cast<MemberState>(From.state());
  Result.m_Address = {From.ip(), From.port()};
  Result.m_Zone = {textOf(From.zone())};
  Result.m_TableVersion = TableVersion(From.table_version());
  return Result;
}

std::unique_ptr<wire::MemberT> wireOf(const Member &From) {
  auto Result = std::make_unique<wire::MemberT>();
  Result->instance = From.m_Name;
  Result->incarnation = From.m_Incarnation.value();
  Result->state = static_cast<wire::MemberState>(From.m_State);
  Result->ip = From.m_Address.m_Ip;
  Result->port = From.m_Address.m_Port;
  Result->zone = From.m_Zone.m_Name;
  Result->table_version = From.m_TableVersion.value();
  return Result;
}

Member memberOf(const link::Peer &Who) {
  Member Result;
  Result.m_Id = Who.m_Instance;
  Result.m_Name = Who.m_Name;
  Result.m_Incarnation = Who.m_Incarnation;
  Result.m_Address = Who.m_Address;
  Result.m_Zone = Who.m_Zone;
  return Result;
}

std::vector<Event> eventsOf(LinkId Link, const wire::Frame &Frame) {
  std::vector<Event> Result{PeerHeard{Link}};
  if (Frame.members() != nullptr)
    Result.emplace_back(membersIn(Link, Frame));
  if (Frame.member_news() != nullptr)
    Result.emplace_back(newsIn(Link, Frame));
  if (Frame.heartbeat() != nullptr)
    Result.emplace_back(HeartbeatHeard{Link, Frame.heartbeat()->view_hash()});
  return Result;
}

void put(const SendMembers &What, wire::FrameT &Frame) {
  for (const Member &Each : What.m_Members)
    Frame.members.push_back(wireOf(Each));
}

void put(const SendNews &What, wire::FrameT &Frame) {
  for (const MemberNews &Each : What.m_News)
    Frame.member_news.emplace_back(
        Each.m_Id.value(), Each.m_Incarnation.value(),
        Each.m_TableVersion.value(),
        static_cast<wire::MemberState>(Each.m_State));
}

void put(const SendHeartbeat &What, wire::FrameT &Frame) {
  // The frame may contain a heartbeat already.
  if (!Frame.heartbeat)
    Frame.heartbeat = std::make_unique<wire::HeartbeatT>();
  Frame.heartbeat->sequence = What.m_Sequence;
  Frame.heartbeat->table_version = What.m_TableVersion.value();
  Frame.heartbeat->view_hash = What.m_ViewHash;
}

} // namespace crowstep::membership
