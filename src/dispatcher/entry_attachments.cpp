/// Attachments to entries and their acknowledgements.
#include "dispatcher/entry_attachments.h"

#include "core/log.h"
#include "knowledge_wire.h"
#include "membership/membership_wire.h"

#include <algorithm>

namespace crowstep::dispatcher {

EntryAttachments::EntryAttachments(const Clock &Time, Scheduler &Timers,
                                   link::Links &Wire, AttachmentSource Source)
    : m_Clock(Time), m_Links(Wire), m_Source(std::move(Source)),
      m_Timer(Timers) {
  m_Timer.start(AttachmentInterval, [this] { tick(); });
}

void EntryAttachments::linkUp(link::LinkId Link, const link::Peer &Who) {
  if (Who.m_Role == wire::Role::Entry)
    m_Names[Link] = Who.m_Name;
}

void EntryAttachments::attach(link::LinkId Link) {
  Entry Fresh;
  Fresh.m_AckedAt = m_Clock.now();
  send(Link, m_Entries.emplace(Link, Fresh).first->second);
  logEvent(LogEvent::EntryAttached, {{"instance", m_Names.at(Link)}});
}

void EntryAttachments::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const wire::AttachmentAck *Ack = Frame.attachment_ack();
  if (Ack == nullptr || !m_Names.contains(Link))
    return;
  if (!m_Entries.contains(Link))
    attach(Link);
  Entry &From = m_Entries.at(Link);
  const bool First = From.m_Acked == 0 && Ack->sequence() != 0;
  From.m_Acked = std::max(From.m_Acked, Ack->sequence());
  From.m_AckedAt = m_Clock.now();
  From.m_Version = std::max(From.m_Version, TableVersion(Ack->table_version()));
  // The first echo gives the right to serve; an entry that has lost its home
  // must not wait an interval for it.
  if (First)
    send(Link, From);
  if (m_Held)
    m_Held(heldByAll(TableVersion(UINT64_MAX)));
}

void EntryAttachments::linkDown(link::LinkId Link) {
  m_Names.erase(Link);
  const auto Found = m_Entries.find(Link);
  if (Found == m_Entries.end())
    return;
  const Entry &Gone = Found->second;
  m_Detached.push_back({Gone.m_AckedAt + EntryRightToServe, Gone.m_Version});
  m_Entries.erase(Found);
  logEvent(LogEvent::EntryDetached);
}

TableVersion EntryAttachments::heldByAll(TableVersion Highest) const {
  const TimePoint Now = m_Clock.now();
  TableVersion Result = Highest;
  for (const auto &[Link, Each] : m_Entries)
    // The acknowledgement was sent before it came, so an entry that counts the
    // same span from the sending has lost its right by now.
    if (Each.m_AckedAt + EntryRightToServe >= Now)
      Result = std::min(Result, Each.m_Version);
  for (const Detached &Each : m_Detached)
    if (Each.m_ServesUntil >= Now)
      Result = std::min(Result, Each.m_Version);
  return Result;
}

void EntryAttachments::membersChanged() {
  for (auto &[Link, Each] : m_Entries)
    Each.m_SendMembers = true;
  sendAll();
}

void EntryAttachments::upstreamsChanged() {
  for (auto &[Link, Each] : m_Entries)
    Each.m_SendUpstreams = true;
  sendAll();
}

void EntryAttachments::workspacesChanged() {
  for (auto &[Link, Each] : m_Entries)
    Each.m_SendWorkspaces = true;
  sendAll();
}

void EntryAttachments::tick() {
  const TimePoint Now = m_Clock.now();
  std::erase_if(m_Detached,
                [&](const Detached &Each) { return Each.m_ServesUntil < Now; });
  sendAll();
  // An entry that fell silent may have been the last one to wait for.
  if (m_Held)
    m_Held(heldByAll(TableVersion(UINT64_MAX)));
  m_Timer.start(AttachmentInterval, [this] { tick(); });
}

void EntryAttachments::sendAll() {
  for (auto &[Link, Each] : m_Entries)
    send(Link, Each);
}

void EntryAttachments::send(link::LinkId Link, Entry &To) {
  auto Out = std::make_unique<wire::AttachmentT>();
  Out->sequence = ++m_Sequence;
  Out->acked = To.m_Acked;
  Out->right_to_serve = m_Source.m_RightToServe();
  Out->draining = m_Source.m_Draining();
  if (To.m_SendMembers)
    addMembers(*Out);
  if (To.m_SendUpstreams)
    addUpstreams(*Out);
  if (To.m_SendWorkspaces)
    addWorkspaces(*Out);
  std::unique_ptr<wire::AttachmentT> &Slot = m_Links.outbox(Link).attachment;
  // Two attachments of one loop iteration share a frame, which has room for
  // one: what the first one carried whole must not be lost.
  if (Slot != nullptr) {
    if (Out->members.empty())
      Out->members = std::move(Slot->members);
    if (Out->upstreams.empty())
      Out->upstreams = std::move(Slot->upstreams);
    if (Out->workspaces.empty())
      Out->workspaces = std::move(Slot->workspaces);
  }
  Slot = std::move(Out);
  To.m_SendMembers = To.m_SendUpstreams = To.m_SendWorkspaces = false;
}

void EntryAttachments::addMembers(wire::AttachmentT &Out) const {
  for (const membership::Member &Each : m_Source.m_Members())
    Out.members.push_back(membership::wireOf(Each));
}

void EntryAttachments::addUpstreams(wire::AttachmentT &Out) const {
  for (const Upstream &Each : m_Source.m_Upstreams())
    Out.upstreams.push_back(toWire(Each));
}

void EntryAttachments::addWorkspaces(wire::AttachmentT &Out) const {
  for (const Workspace &Each : m_Source.m_Workspaces())
    Out.workspaces.push_back(toWire(Each));
}

} // namespace crowstep::dispatcher
