/// Links of an entry to dispatchers.
#include "entry/fleet.h"

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

/// Replaces \p Target by the rows of \p Source, and returns true, unless there
/// are none.
template <typename Rows, typename Element, typename Converter>
bool replaceRows(const Rows *Source, std::vector<Element> &Target,
                 Converter Convert) {
  if (Source == nullptr || Source->size() == 0)
    return false;
  Target.clear();
  for (const auto *Row : *Source)
    Target.push_back(Convert(*Row));
  return true;
}

} // namespace

Fleet::Fleet(std::vector<Address> Homes, const Clock &Time, Scheduler &Timers,
             Directory &Dir)
    : m_Homes(std::move(Homes)), m_Clock(Time), m_Directory(Dir),
      m_Patience(Timers) {}

void Fleet::start(link::Links &NewLinks) {
  m_Links = &NewLinks;
  redial();
  watchHome();
}

bool Fleet::rightToServe() const {
  const TimePoint Now = m_Clock.fresh();
  // Without workspaces every request would be refused for an unknown key, which
  // callers don't retry.
  return m_Directory.table().m_Version != TableVersion() &&
         m_Directory.knowsWorkspaces() &&
         std::any_of(m_Up.begin(), m_Up.end(), [&](const auto &Row) {
           return Row.second.m_Right && Now < Row.second.m_ServesUntil;
         });
}

link::LinkId Fleet::linkTo(InstanceId Id) const {
  for (const auto &[Link, Dispatcher] : m_Up)
    if (Dispatcher.m_Peer.m_Instance == Id)
      return Link;
  return {};
}

std::optional<link::LinkId> Fleet::linkToClaimHome(std::uint64_t Index) const {
  for (const Member *Home : membership::homesOf(Index, 1, m_Members)) {
    const link::LinkId Link = linkTo(Home->m_Id);
    if (Link != link::LinkId())
      return Link;
  }
  return std::nullopt;
}

link::LinkId Fleet::linkToOwner(PoolId Pool) const {
  const Member *Owner = membership::ownerOf(Pool, m_Members);
  return Owner == nullptr ? link::LinkId() : linkTo(Owner->m_Id);
}

// ---- Links ------------------------------------------------------------------

void Fleet::linkUp(link::LinkId Link, const link::Peer &Peer) {
  Neighbour NewState;
  NewState.m_Peer = Peer;
  m_Up.emplace(Link, std::move(NewState));
  if (Peer.m_Address == m_Homes[m_Home]) {
    m_Patience.stop();
    logEvent(LogEvent::EntryHomeUp, {{"dispatcher", Peer.m_Name}});
    attachToHome();
  }
  if (m_Routes)
    m_Routes();
}

void Fleet::linkDown(link::LinkId Link, const link::Peer &Peer,
                     link::CloseReason) {
  m_Up.erase(Link);
  if (Peer.m_Address == m_Homes[m_Home]) {
    logEvent(LogEvent::EntryHomeDown, {{"dispatcher", Peer.m_Name}});
    watchHome();
  }
  if (m_Routes)
    m_Routes();
}

void Fleet::dialFailed(const Address &, link::CloseReason) {}

Fleet::Neighbour *Fleet::home() {
  for (auto &[Link, Dispatcher] : m_Up)
    if (Dispatcher.m_Peer.m_Address == m_Homes[m_Home])
      return &Dispatcher;
  return nullptr;
}

void Fleet::watchHome() {
  if (home() != nullptr || m_Patience.running())
    return;
  m_Patience.start(HomePatience, [this] {
    m_Home = (m_Home + 1) % m_Homes.size();
    redial();
    attachToHome();
    useHome();
    watchHome();
  });
}

void Fleet::redial() {
  std::set<Address> Wanted = {m_Homes[m_Home]};
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
    for (const Member *Home : membership::homesOf(Index, 1, m_Members))
      Wanted.insert(Home->m_Address);
  for (const Address &Target : m_Dialled)
    if (!Wanted.contains(Target))
      m_Links->hangUp(Target);
  for (const Address &Target : Wanted)
    if (!m_Dialled.contains(Target))
      m_Links->dial(Target);
  m_Dialled = std::move(Wanted);
}

void Fleet::useHome() {
  const Neighbour *Home = home();
  if (Home == nullptr || Home->m_Members.empty())
    return;
  m_Members = Home->m_Members;
  m_Directory.setUpstreams(Home->m_Upstreams);
  m_Directory.setWorkspaces(Home->m_Workspaces);
  if (m_Upstreams)
    m_Upstreams();
  redial();
  if (m_Routes)
    m_Routes();
}

// ---- Frames -----------------------------------------------------------------

void Fleet::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto Found = m_Up.find(Link);
  if (Found == m_Up.end())
    return;
  // The table first, as the acknowledgement names the version in force.
  if (Frame.table_update() != nullptr) {
    tableUpdate(*Frame.table_update());
    acknowledge(Link, Found->second);
  }
  if (Frame.attachment() != nullptr)
    attachment(Link, Found->second, *Frame.attachment());
  if (m_Frame)
    m_Frame(Link, Frame);
}

void Fleet::tableUpdate(const wire::TableUpdate &Update) {
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
  redial();
  if (m_Table)
    m_Table();
  if (m_Routes)
    m_Routes();
}

void Fleet::attachment(link::LinkId Link, Neighbour &Sender,
                       const wire::Attachment &Attachment) {
  Sender.m_Sequence = std::max(Sender.m_Sequence, Attachment.sequence());
  Sender.m_Right = Attachment.right_to_serve();
  // The echo names an acknowledgement whose time of sending is known. The time
  // of receipt proves nothing: after a pause the process reads old attachments
  // from its socket as if they were new.
  const auto Echoed = Sender.m_Sent.find(Attachment.acked());
  if (Echoed != Sender.m_Sent.end()) {
    Sender.m_ServesUntil =
        std::max(Sender.m_ServesUntil, Echoed->second + EntryRightToServe);
    Sender.m_Sent.erase(Sender.m_Sent.begin(), Echoed);
  }
  const bool Members = replaceRows(
      Attachment.members(), Sender.m_Members,
      [](const wire::Member &Row) { return membership::memberOf(Row); });
  const bool Upstreams =
      replaceRows(Attachment.upstreams(), Sender.m_Upstreams,
                  [](const wire::UpstreamInfo &Row) { return fromWire(Row); });
  const bool Workspaces =
      replaceRows(Attachment.workspaces(), Sender.m_Workspaces, workspaceOf);
  if (&Sender == home()) {
    m_Draining = Attachment.draining();
    if (Members || Upstreams || Workspaces)
      useHome();
  }
  acknowledge(Link, Sender);
}

void Fleet::acknowledge(link::LinkId Link, Neighbour &Dispatcher) {
  // Sequence 0 means "none" in an echo. If it were recorded as sent, the first
  // attachment of a link would grant a right that nobody confirmed.
  if (Dispatcher.m_Sequence == 0)
    return;
  // The first acknowledgement of a sequence counts, as the echo may be of it.
  Dispatcher.m_Sent.try_emplace(Dispatcher.m_Sequence, m_Clock.fresh());
  if (Dispatcher.m_Sent.size() > MaxUnechoed)
    Dispatcher.m_Sent.erase(Dispatcher.m_Sent.begin());
  sendAcknowledgement(Link, Dispatcher.m_Sequence);
}

void Fleet::attachToHome() {
  for (auto &[Link, Dispatcher] : m_Up)
    if (Dispatcher.m_Peer.m_Address == m_Homes[m_Home] &&
        !Dispatcher.m_Attached) {
      Dispatcher.m_Attached = true;
      sendAcknowledgement(Link, 0);
    }
}

void Fleet::sendAcknowledgement(link::LinkId Link, std::uint64_t Sequence) {
  wire::FrameT &Out = m_Links->outbox(Link);
  Out.attachment_ack = std::make_unique<wire::AttachmentAckT>();
  Out.attachment_ack->sequence = Sequence;
  Out.attachment_ack->table_version = m_Directory.table().m_Version.value();
}

} // namespace crowstep::entry
