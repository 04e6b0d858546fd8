/// Links of an entry to dispatchers.
#include "entry/dispatcher_links.h"

#include "claim/claim_client.h"
#include "contract/contract_error.h"
#include "contract/contract_func.h"
#include "core/log.h"
#include "knowledge_wire.h"
#include "membership/membership_wire.h"
#include "wire/wire_text.h"

#include <algorithm>

namespace crowstep::entry {

namespace {

using membership::Member;

/// Limit on the acknowledgements that are kept until they are echoed; far more
/// than are sent while the right to serve lasts.
constexpr std::size_t MaxUnechoed = 64;

WorkspaceRow workspaceOf(const wire::WorkspaceInfo &Info) {
  return {WorkspaceId(Info.id()), wire::textOf(Info.key_hash())};
}

/// Replaces \p Target by the rows of \p Source, and returns true, if the list
/// is present: it has rows, or \p IsStated says so. Older senders don't state
/// it.
template <typename Rows, typename Element, typename Converter>
bool replaceRows(bool IsStated, const Rows *Source,
                 std::vector<Element> &Target, Converter Convert) {
  const bool HasRows = Source != nullptr && Source->size() > 0;
  if (!HasRows && !IsStated)
    return false;
  Target.clear();
  if (HasRows)
    for (const auto *Row : *Source)
      Target.push_back(Convert(*Row));
  return true;
}

} // namespace

DispatcherLinks::DispatcherLinks(std::vector<Address> Homes, const Clock &Time,
                                 Scheduler &Timers, Directory &Dir)
    : m_HomeAddresses(std::move(Homes)), m_Clock(Time), m_Directory(Dir),
      m_HomeTimer(Timers) {}

void DispatcherLinks::start(link::Links &NewLinks) {
  m_Links = &NewLinks;
  updateDials();
  startHomeTimer();
}

bool DispatcherLinks::hasRightToServe() const {
  const TimePoint Now = m_Clock.readNow();
  // Without workspaces every request would be refused for an unknown key, which
  // callers don't retry.
  return m_Directory.table().m_Version != TableVersion() &&
         m_Directory.hasWorkspaces() &&
         std::any_of(m_Dispatchers.begin(), m_Dispatchers.end(),
                     [&](const auto &Row) {
                       return Row.second.m_RightToServe &&
                              Now < Row.second.m_ServesUntil;
                     });
}

link::LinkId DispatcherLinks::linkTo(InstanceId Id) const {
  for (const auto &[Link, Dispatcher] : m_Dispatchers)
    if (Dispatcher.m_Peer.m_Instance == Id)
      return Link;
  return {};
}

std::optional<link::LinkId>
DispatcherLinks::linkToClaimHome(std::uint64_t Index) const {
  for (const Member *Home : membership::topRankedMembers(Index, 1, m_Members)) {
    const link::LinkId Link = linkTo(Home->m_Id);
    if (Link != link::LinkId())
      return Link;
  }
  return std::nullopt;
}

link::LinkId DispatcherLinks::linkToOwner(PoolId Pool) const {
  const Member *Owner = membership::ownerOf(Pool, m_Members);
  return Owner == nullptr ? link::LinkId() : linkTo(Owner->m_Id);
}

// ---- Links ------------------------------------------------------------------

void DispatcherLinks::linkUp(link::LinkId Link, const link::Peer &Peer) {
  DispatcherState NewState;
  NewState.m_Peer = Peer;
  m_Dispatchers.emplace(Link, std::move(NewState));
  if (Peer.m_Address == m_HomeAddresses[m_HomeIndex]) {
    m_HomeTimer.stop();
    logEvent(LogEvent::EntryHomeUp, {{"dispatcher", Peer.m_Name}});
    attachToHome();
  }
  if (m_RoutesChanged)
    m_RoutesChanged();
}

void DispatcherLinks::linkDown(link::LinkId Link, const link::Peer &Peer,
                               link::CloseReason) {
  m_Dispatchers.erase(Link);
  if (Peer.m_Address == m_HomeAddresses[m_HomeIndex]) {
    logEvent(LogEvent::EntryHomeDown, {{"dispatcher", Peer.m_Name}});
    startHomeTimer();
  }
  if (m_RoutesChanged)
    m_RoutesChanged();
}

void DispatcherLinks::dialFailed(const Address &, link::CloseReason) {}

DispatcherLinks::DispatcherState *DispatcherLinks::findHome() {
  for (auto &[Link, Dispatcher] : m_Dispatchers)
    if (Dispatcher.m_Peer.m_Address == m_HomeAddresses[m_HomeIndex])
      return &Dispatcher;
  return nullptr;
}

void DispatcherLinks::startHomeTimer() {
  if (findHome() != nullptr || m_HomeTimer.isRunning())
    return;
  m_HomeTimer.start(HomeTimeout, [this] {
    m_HomeIndex = (m_HomeIndex + 1) % m_HomeAddresses.size();
    updateDials();
    attachToHome();
    applyHomeState();
    startHomeTimer();
  });
}

void DispatcherLinks::updateDials() {
  std::set<Address> Wanted = {m_HomeAddresses[m_HomeIndex]};
  // A link to each owner of a pool. There are few owners, so the number of
  // links stays low.
  std::set<std::string> Services;
  for (const Contract &Row : m_Directory.table().m_Contracts)
    Services.insert(Row.m_Service);
  for (const std::string &Service : Services)
    if (const Member *Owner =
            membership::ownerOf(poolIdOf(Service, 0), m_Members))
      Wanted.insert(Owner->m_Address);
  for (std::uint64_t Index = 0; Index < claim::ClaimHomeCount; ++Index)
    for (const Member *Home : membership::topRankedMembers(Index, 1, m_Members))
      Wanted.insert(Home->m_Address);
  for (const Address &Target : m_DialledAddresses)
    if (!Wanted.contains(Target))
      m_Links->disconnect(Target);
  for (const Address &Target : Wanted)
    if (!m_DialledAddresses.contains(Target))
      m_Links->dial(Target);
  m_DialledAddresses = std::move(Wanted);
}

void DispatcherLinks::applyHomeState() {
  const DispatcherState *Home = findHome();
  if (Home == nullptr || Home->m_Members.empty())
    return;
  m_Members = Home->m_Members;
  m_Draining = Home->m_Draining;
  m_Directory.setUpstreams(Home->m_Upstreams);
  m_Directory.setWorkspaces(Home->m_Workspaces);
  if (m_UpstreamsChanged)
    m_UpstreamsChanged();
  updateDials();
  if (m_RoutesChanged)
    m_RoutesChanged();
}

// ---- Frames -----------------------------------------------------------------

void DispatcherLinks::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_Dispatchers.find(Link);
  if (Found == m_Dispatchers.end())
    return;
  // The table first, as the acknowledgement names the version in force.
  if (Frame.table_update() != nullptr) {
    handleTableUpdate(*Frame.table_update());
    acknowledge(Link, Found->second);
  }
  if (Frame.attachment() != nullptr)
    handleAttachment(Link, Found->second, *Frame.attachment());
  if (m_FrameHandler)
    m_FrameHandler(Link, Frame);
}

void DispatcherLinks::handleTableUpdate(const wire::TableUpdate &Update) {
  if (Update.json() == nullptr ||
      TableVersion(Update.version()) <= m_Directory.table().m_Version)
    return;
  try {
    ContractTable Table = contract::readJson(Update.json()->str());
    Table.m_Version = TableVersion(Update.version());
    if (!m_Directory.setTable(std::move(Table)))
      return;
  } catch (const Error &Failure) {
    logEvent(LogEvent::EntryTableUnreadable, {{"why", Failure.what()}});
    return;
  }
  logEvent(LogEvent::EntryTableInForce,
           {{"version", std::to_string(Update.version())}});
  updateDials();
  if (m_TableChanged)
    m_TableChanged();
  if (m_RoutesChanged)
    m_RoutesChanged();
}

void DispatcherLinks::handleAttachment(link::LinkId Link,
                                       DispatcherState &Sender,
                                       const wire::Attachment &Attachment) {
  Sender.m_LastSequence =
      std::max(Sender.m_LastSequence, Attachment.sequence());
  Sender.m_RightToServe = Attachment.right_to_serve();
  Sender.m_Draining = Attachment.draining();
  // The echo names an acknowledgement whose time of sending is known. The time
  // of receipt proves nothing: after a pause the process reads old attachments
  // from its socket as if they were new.
  const auto Echoed = Sender.m_AcknowledgedAt.find(Attachment.acked());
  if (Echoed != Sender.m_AcknowledgedAt.end()) {
    Sender.m_ServesUntil =
        std::max(Sender.m_ServesUntil, Echoed->second + EntryRightToServe);
    Sender.m_AcknowledgedAt.erase(Sender.m_AcknowledgedAt.begin(), Echoed);
  }
  const bool Members = replaceRows(
      Attachment.has_members(), Attachment.members(), Sender.m_Members,
      [](const wire::Member &Row) { return membership::memberOf(Row); });
  const bool Upstreams = replaceRows(
      Attachment.has_upstreams(), Attachment.upstreams(), Sender.m_Upstreams,
      [](const wire::UpstreamInfo &Row) { return fromWire(Row); });
  const bool Workspaces =
      replaceRows(Attachment.has_workspaces(), Attachment.workspaces(),
                  Sender.m_Workspaces, workspaceOf);
  if (&Sender == findHome()) {
    m_Draining = Sender.m_Draining;
    if (Members || Upstreams || Workspaces)
      applyHomeState();
  }
  acknowledge(Link, Sender);
}

void DispatcherLinks::acknowledge(link::LinkId Link,
                                  DispatcherState &Dispatcher) {
  // Sequence 0 means "none" in an echo. If it were recorded as sent, the first
  // attachment of a link would grant a right that nobody confirmed.
  if (Dispatcher.m_LastSequence == 0)
    return;
  // The first acknowledgement of a sequence counts, as the echo may be of it.
  Dispatcher.m_AcknowledgedAt.try_emplace(Dispatcher.m_LastSequence,
                                          m_Clock.readNow());
  if (Dispatcher.m_AcknowledgedAt.size() > MaxUnechoed)
    Dispatcher.m_AcknowledgedAt.erase(Dispatcher.m_AcknowledgedAt.begin());
  sendAcknowledgement(Link, Dispatcher.m_LastSequence);
}

void DispatcherLinks::attachToHome() {
  for (auto &[Link, Dispatcher] : m_Dispatchers)
    if (Dispatcher.m_Peer.m_Address == m_HomeAddresses[m_HomeIndex] &&
        !Dispatcher.m_Attached) {
      Dispatcher.m_Attached = true;
      sendAcknowledgement(Link, 0);
    }
}

void DispatcherLinks::sendAcknowledgement(link::LinkId Link,
                                          std::uint64_t Sequence) {
  wire::FrameT &Out = m_Links->outbox(Link);
  Out.attachment_ack = std::make_unique<wire::AttachmentAckT>();
  Out.attachment_ack->sequence = Sequence;
  Out.attachment_ack->table_version = m_Directory.table().m_Version.value();
}

} // namespace crowstep::entry
