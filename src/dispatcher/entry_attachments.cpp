/// Sends attachments to entries and evaluates their acknowledgements.
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

void EntryAttachments::linkUp(link::LinkId Link, const link::Peer &Peer) {
  if (Peer.m_Role == wire::Role::Entry)
    m_Names[Link] = Peer.m_Name;
}

void EntryAttachments::attach(link::LinkId Link) {
  Entry Added;
  Added.m_AckedAt = m_Clock.now();
  send(Link, m_Entries.emplace(Link, Added).first->second);
  logEvent(LogEvent::EntryAttached, {{"instance", m_Names.at(Link)}});
}

void EntryAttachments::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const wire::AttachmentAck *Ack = Frame.attachment_ack();
  if (Ack == nullptr || !m_Names.contains(Link))
    return;
  if (!m_Entries.contains(Link))
    attach(Link);
  Entry &Sender = m_Entries.at(Link);
  const bool IsFirstEcho = Sender.m_Acked == 0 && Ack->sequence() != 0;
  Sender.m_Acked = std::max(Sender.m_Acked, Ack->sequence());
  Sender.m_AckedAt = m_Clock.now();
  Sender.m_Version =
      std::max(Sender.m_Version, TableVersion(Ack->table_version()));
  // The first echo gives the entry its right to serve. An entry that has lost
  // its home dispatcher must not wait an interval for it.
  if (IsFirstEcho)
    send(Link, Sender);
  if (m_Held)
    m_Held(heldByAll(TableVersion(UINT64_MAX)));
}

void EntryAttachments::linkDown(link::LinkId Link) {
  m_Names.erase(Link);
  const auto Found = m_Entries.find(Link);
  if (Found == m_Entries.end())
    return;
  const Entry &Closed = Found->second;
  m_Detached.push_back(
      {Closed.m_AckedAt + EntryRightToServe, Closed.m_Version});
  m_Entries.erase(Found);
  logEvent(LogEvent::EntryDetached);
}

TableVersion EntryAttachments::heldByAll(TableVersion Highest) const {
  const TimePoint Now = m_Clock.now();
  TableVersion Result = Highest;
  for (const auto &[Link, Attached] : m_Entries)
    // The entry counts the same time from the sending of the acknowledgement,
    // which precedes its receipt, so one that is skipped here has already lost
    // its right.
    if (Attached.m_AckedAt + EntryRightToServe >= Now)
      Result = std::min(Result, Attached.m_Version);
  for (const Detached &Closed : m_Detached)
    if (Closed.m_ServesUntil >= Now)
      Result = std::min(Result, Closed.m_Version);
  return Result;
}

void EntryAttachments::membersChanged() {
  for (auto &[Link, Attached] : m_Entries)
    Attached.m_SendMembers = true;
  sendAll();
}

void EntryAttachments::upstreamsChanged() {
  for (auto &[Link, Attached] : m_Entries)
    Attached.m_SendUpstreams = true;
  sendAll();
}

void EntryAttachments::workspacesChanged() {
  for (auto &[Link, Attached] : m_Entries)
    Attached.m_SendWorkspaces = true;
  sendAll();
}

void EntryAttachments::tick() {
  const TimePoint Now = m_Clock.now();
  std::erase_if(m_Detached, [&](const Detached &Closed) {
    return Closed.m_ServesUntil < Now;
  });
  sendAll();
  // The right of the last entry with an older version may have expired.
  if (m_Held)
    m_Held(heldByAll(TableVersion(UINT64_MAX)));
  m_Timer.start(AttachmentInterval, [this] { tick(); });
}

void EntryAttachments::sendAll() {
  for (auto &[Link, Attached] : m_Entries)
    send(Link, Attached);
}

void EntryAttachments::send(link::LinkId Link, Entry &Recipient) {
  auto Out = std::make_unique<wire::AttachmentT>();
  Out->sequence = ++m_Sequence;
  Out->acked = Recipient.m_Acked;
  Out->right_to_serve = m_Source.m_RightToServe();
  Out->draining = m_Source.m_Draining();
  if (Recipient.m_SendMembers)
    addMembers(*Out);
  if (Recipient.m_SendUpstreams)
    addUpstreams(*Out);
  if (Recipient.m_SendWorkspaces)
    addWorkspaces(*Out);
  std::unique_ptr<wire::AttachmentT> &Queued = m_Links.outbox(Link).attachment;
  // Attachments of one loop iteration share a frame, which has room for one:
  // the lists of an attachment that is still queued must not be lost.
  if (Queued != nullptr) {
    if (Out->members.empty())
      Out->members = std::move(Queued->members);
    if (Out->upstreams.empty())
      Out->upstreams = std::move(Queued->upstreams);
    if (Out->workspaces.empty())
      Out->workspaces = std::move(Queued->workspaces);
  }
  Queued = std::move(Out);
  Recipient.m_SendMembers = Recipient.m_SendUpstreams =
      Recipient.m_SendWorkspaces = false;
}

void EntryAttachments::addMembers(wire::AttachmentT &Out) const {
  for (const membership::Member &Member : m_Source.m_Members())
    Out.members.push_back(membership::wireOf(Member));
}

void EntryAttachments::addUpstreams(wire::AttachmentT &Out) const {
  for (const Upstream &Info : m_Source.m_Upstreams())
    Out.upstreams.push_back(toWire(Info));
}

void EntryAttachments::addWorkspaces(wire::AttachmentT &Out) const {
  for (const Workspace &Info : m_Source.m_Workspaces())
    Out.workspaces.push_back(toWire(Info));
}

} // namespace crowstep::dispatcher
