/// Sends attachments to entries and evaluates their acknowledgements.
#include "dispatcher/entry_attachments.h"

#include "core/log.h"
#include "knowledge_wire.h"
#include "membership/membership_wire.h"

#include <algorithm>

namespace crowstep::dispatcher {

namespace {

/// Moves the lists that only \p Queued has to \p Next, which replaces it.
void keepQueuedLists(wire::AttachmentT &Queued, wire::AttachmentT &Next) {
  const auto Keep = [](bool HasQueued, auto &QueuedRows, bool &HasNext,
                       auto &NextRows) {
    if (!HasQueued || HasNext)
      return;
    HasNext = true;
    NextRows = std::move(QueuedRows);
  };
  Keep(Queued.has_members, Queued.members, Next.has_members, Next.members);
  Keep(Queued.has_upstreams, Queued.upstreams, Next.has_upstreams,
       Next.upstreams);
  Keep(Queued.has_workspaces, Queued.workspaces, Next.has_workspaces,
       Next.workspaces);
}

} // namespace

EntryAttachments::EntryAttachments(const Clock &Time, Scheduler &Timers,
                                   link::Links &Wire, AttachmentSource Source)
    : m_Clock(Time), m_Links(Wire), m_Source(std::move(Source)),
      m_Timer(Timers) {
  m_Timer.start(AttachmentInterval, [this] { tick(); });
}

void EntryAttachments::linkUp(link::LinkId Link, const link::Peer &Peer) {
  if (Peer.m_Role == wire::Role::Entry)
    m_EntryNames[Link] = Peer.m_Name;
}

void EntryAttachments::attach(link::LinkId Link) {
  Entry Added;
  Added.m_LastAckAt = m_Clock.now();
  // An empty list may be one that this instance has not read yet.
  Added.m_SendMembers = !m_Source.m_Members().empty();
  Added.m_SendUpstreams = !m_Source.m_Upstreams().empty();
  Added.m_SendWorkspaces = !m_Source.m_Workspaces().empty();
  send(Link, m_Attached.emplace(Link, Added).first->second);
  logEvent(LogEvent::EntryAttached, {{"instance", m_EntryNames.at(Link)}});
}

void EntryAttachments::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const wire::AttachmentAck *Ack = Frame.attachment_ack();
  if (Ack == nullptr || !m_EntryNames.contains(Link))
    return;
  if (!m_Attached.contains(Link))
    attach(Link);
  Entry &Sender = m_Attached.at(Link);
  const bool IsFirstEcho = Sender.m_LastAcked == 0 && Ack->sequence() != 0;
  Sender.m_LastAcked = std::max(Sender.m_LastAcked, Ack->sequence());
  Sender.m_LastAckAt = m_Clock.now();
  Sender.m_Version =
      std::max(Sender.m_Version, TableVersion(Ack->table_version()));
  // The first echo gives the entry its right to serve. An entry that has lost
  // its home dispatcher must not wait an interval for it.
  if (IsFirstEcho)
    send(Link, Sender);
  if (m_EntriesVersionChanged)
    m_EntriesVersionChanged(lowestHeldVersion(TableVersion(UINT64_MAX)));
}

void EntryAttachments::linkDown(link::LinkId Link) {
  m_EntryNames.erase(Link);
  const auto Found = m_Attached.find(Link);
  if (Found == m_Attached.end())
    return;
  const Entry &Closed = Found->second;
  m_Detached.push_back(
      {Closed.m_LastAckAt + EntryRightToServe, Closed.m_Version});
  m_Attached.erase(Found);
  logEvent(LogEvent::EntryDetached);
}

TableVersion EntryAttachments::lowestHeldVersion(TableVersion Highest) const {
  const TimePoint Now = m_Clock.now();
  TableVersion Result = Highest;
  for (const auto &[Link, Attached] : m_Attached)
    // The entry counts the same time from the sending of the acknowledgement,
    // which precedes its receipt, so one that is skipped here has already lost
    // its right.
    if (Attached.m_LastAckAt + EntryRightToServe >= Now)
      Result = std::min(Result, Attached.m_Version);
  for (const Detached &Closed : m_Detached)
    if (Closed.m_ServesUntil >= Now)
      Result = std::min(Result, Closed.m_Version);
  return Result;
}

void EntryAttachments::membersChanged() {
  for (auto &[Link, Attached] : m_Attached)
    Attached.m_SendMembers = true;
  sendAll();
}

void EntryAttachments::upstreamsChanged() {
  for (auto &[Link, Attached] : m_Attached)
    Attached.m_SendUpstreams = true;
  sendAll();
}

void EntryAttachments::workspacesChanged() {
  for (auto &[Link, Attached] : m_Attached)
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
  if (m_EntriesVersionChanged)
    m_EntriesVersionChanged(lowestHeldVersion(TableVersion(UINT64_MAX)));
  m_Timer.start(AttachmentInterval, [this] { tick(); });
}

void EntryAttachments::sendAll() {
  for (auto &[Link, Attached] : m_Attached)
    send(Link, Attached);
}

void EntryAttachments::send(link::LinkId Link, Entry &Recipient) {
  auto Out = std::make_unique<wire::AttachmentT>();
  Out->sequence = ++m_Sequence;
  Out->acked = Recipient.m_LastAcked;
  Out->right_to_serve = m_Source.m_HasRightToServe();
  Out->draining = m_Source.m_IsDraining();
  if (Recipient.m_SendMembers)
    addMembers(*Out);
  if (Recipient.m_SendUpstreams)
    addUpstreams(*Out);
  if (Recipient.m_SendWorkspaces)
    addWorkspaces(*Out);
  std::unique_ptr<wire::AttachmentT> &Queued = m_Links.outbox(Link).attachment;
  // Attachments of one loop iteration share a frame, which has room for one:
  // the lists of an attachment that is still queued must not be lost.
  if (Queued != nullptr)
    keepQueuedLists(*Queued, *Out);
  Queued = std::move(Out);
  Recipient.m_SendMembers = Recipient.m_SendUpstreams =
      Recipient.m_SendWorkspaces = false;
}

void EntryAttachments::addMembers(wire::AttachmentT &Out) const {
  Out.has_members = true;
  for (const membership::Member &Member : m_Source.m_Members())
    Out.members.push_back(membership::wireOf(Member));
}

void EntryAttachments::addUpstreams(wire::AttachmentT &Out) const {
  Out.has_upstreams = true;
  for (const Upstream &Info : m_Source.m_Upstreams())
    Out.upstreams.push_back(toWire(Info));
}

void EntryAttachments::addWorkspaces(wire::AttachmentT &Out) const {
  Out.has_workspaces = true;
  for (const Workspace &Info : m_Source.m_Workspaces())
    Out.workspaces.push_back(toWire(Info));
}

} // namespace crowstep::dispatcher
