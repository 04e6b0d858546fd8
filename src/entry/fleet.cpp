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

WorkspaceRow workspaceOf(const wire::WorkspaceInfo &In) {
  return {WorkspaceId(In.id()), wire::textOf(In.key_hash())};
}

/// Replaces \p Target by the rows of \p Source, and returns true, unless there
/// are none.
template <typename Rows, typename To, typename Make>
bool replaceRows(const Rows *From, std::vector<To> &Into, Make Convert) {
  if (From == nullptr || From->size() == 0)
    return false;
  Into.clear();
  for (const auto *Row : *From)
    Into.push_back(Convert(*Row));
  return true;
}

} // namespace

Fleet::Fleet(std::vector<Address> Homes, const Clock &Time, Scheduler &Timers,
             Directory &Known)
    : m_Homes(std::move(Homes)), m_Clock(Time), m_Directory(Known),
      m_Patience(Timers) {}

void Fleet::start(link::Links &Wire) {
  m_Links = &Wire;
  redial();
  watchHome();
}

bool Fleet::rightToServe() const {
  const TimePoint Now = m_Clock.fresh();
  // Without workspaces every request would be refused for an unknown key, which
  // callers don't retry.
  return m_Directory.table().m_Version != TableVersion() &&
         m_Directory.knowsWorkspaces() &&
         std::any_of(m_Up.begin(), m_Up.end(), [&](const auto &Each) {
           return Each.second.m_Right && Now < Each.second.m_ServesUntil;
         });
}

link::LinkId Fleet::linkTo(InstanceId Id) const {
  for (const auto &[Link, Each] : m_Up)
    if (Each.m_Peer.m_Instance == Id)
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

void Fleet::linkUp(link::LinkId Link, const link::Peer &Who) {
  Neighbour Fresh;
  Fresh.m_Peer = Who;
  m_Up.emplace(Link, std::move(Fresh));
  if (Who.m_Address == m_Homes[m_Home]) {
    m_Patience.stop();
    logEvent(LogEvent::EntryHomeUp, {{"dispatcher", Who.m_Name}});
    attachToHome();
  }
  if (m_Routes)
    m_Routes();
}

void Fleet::linkDown(link::LinkId Link, const link::Peer &Who,
                     link::CloseReason) {
  m_Up.erase(Link);
  if (Who.m_Address == m_Homes[m_Home]) {
    logEvent(LogEvent::EntryHomeDown, {{"dispatcher", Who.m_Name}});
    watchHome();
  }
  if (m_Routes)
    m_Routes();
}

void Fleet::dialFailed(const Address &, link::CloseReason) {}

Fleet::Neighbour *Fleet::home() {
  for (auto &[Link, Each] : m_Up)
    if (Each.m_Peer.m_Address == m_Homes[m_Home])
      return &Each;
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
  for (const Address &Each : m_Dialled)
    if (!Wanted.contains(Each))
      m_Links->hangUp(Each);
  for (const Address &Each : Wanted)
    if (!m_Dialled.contains(Each))
      m_Links->dial(Each);
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

void Fleet::tableUpdate(const wire::TableUpdate &What) {
  if (What.json() == nullptr ||
      TableVersion(What.version()) <= m_Directory.table().m_Version)
    return;
  try {
    ContractTable Table = contract::readJson(What.json()->str());
    Table.m_Version = TableVersion(What.version());
    if (!m_Directory.setTable(std::move(Table)))
      return;
  } catch (const Error &Failure) {
    logEvent(LogEvent::EntryTableUnreadable, {{"why", Failure.what()}});
    return;
  }
  logEvent(LogEvent::EntryTableInForce,
           {{"version", std::to_string(What.version())}});
  redial();
  if (m_Table)
    m_Table();
  if (m_Routes)
    m_Routes();
}

void Fleet::attachment(link::LinkId Link, Neighbour &From,
                       const wire::Attachment &What) {
  From.m_Sequence = std::max(From.m_Sequence, What.sequence());
  From.m_Right = What.right_to_serve();
  // The echo names an acknowledgement whose time of sending is known. The time
  // of receipt proves nothing: after a pause the process reads old attachments
  // from its socket as if they were new.
  const auto Echoed = From.m_Sent.find(What.acked());
  if (Echoed != From.m_Sent.end()) {
    From.m_ServesUntil =
        std::max(From.m_ServesUntil, Echoed->second + EntryRightToServe);
    From.m_Sent.erase(From.m_Sent.begin(), Echoed);
  }
  const bool Members =
      replaceRows(What.members(), From.m_Members, [](const wire::Member &Row) {
        return membership::memberOf(Row);
      });
  const bool Upstreams =
      replaceRows(What.upstreams(), From.m_Upstreams,
                  [](const wire::UpstreamInfo &Row) { return fromWire(Row); });
  const bool Workspaces =
      replaceRows(What.workspaces(), From.m_Workspaces, workspaceOf);
  if (&From == home()) {
    m_Draining = What.draining();
    if (Members || Upstreams || Workspaces)
      useHome();
  }
  acknowledge(Link, From);
}

void Fleet::acknowledge(link::LinkId Link, Neighbour &To) {
  // Sequence 0 means "none" in an echo. If it were recorded as sent, the first
  // attachment of a link would grant a right that nobody confirmed.
  if (To.m_Sequence == 0)
    return;
  // The first acknowledgement of a sequence counts, as the echo may be of it.
  To.m_Sent.try_emplace(To.m_Sequence, m_Clock.fresh());
  if (To.m_Sent.size() > MaxUnechoed)
    To.m_Sent.erase(To.m_Sent.begin());
  sendAcknowledgement(Link, To.m_Sequence);
}

void Fleet::attachToHome() {
  for (auto &[Link, Each] : m_Up)
    if (Each.m_Peer.m_Address == m_Homes[m_Home] && !Each.m_Attached) {
      Each.m_Attached = true;
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
