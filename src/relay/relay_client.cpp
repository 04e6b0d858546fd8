/// Calls that other instances carry for this one.
#include "relay/relay_client.h"

#include "relay/relay_codec.h"
#include "relay/relayed_call.h"

#include <algorithm>

namespace crowstep::relay {

namespace {

/// Openings with bodies go into one frame up to this size.
constexpr std::size_t FullFrameBytes = 1 << 20;

/// No further calls go through a link on which more than this waits: they would
/// be late, and their bodies fill the memory.
constexpr std::size_t MaxQueuedBytes = 512 << 10;

} // namespace

RelayClient::RelayClient(const gateway::PeerInstance &Self, std::uint64_t Seed,
                         RelayLinksFactory Open, const Clock &Time,
                         Scheduler &Timers, Metrics &Stats,
                         PeerReachCallback OnReach)
    : m_Self(Self), m_OpenLinks(std::move(Open)), m_Clock(Time),
      m_Timers(Timers), m_OnReach(std::move(OnReach)),
      m_Peers(Self.m_Zone, Seed), m_CheckTimer(Timers),
      m_CallCount(Stats.counter("crowstep_relayed_calls_total")) {
  for (std::size_t I = 0; I < m_Outcomes.size(); ++I)
    m_Outcomes.at(I) = &Stats.counter(
        "crowstep_relay_refusals_total",
        {{"reason", std::string(nameOf(static_cast<RelayOutcome>(I)))}});
}

RelayClient::~RelayClient() = default;

void RelayClient::setPeers(const gateway::PeerList &List) {
  if (m_Links == nullptr)
    m_Links = m_OpenLinks(List.m_Key, *this);
  std::vector<RelayCandidate> Candidates;
  for (const gateway::PeerInstance &Peer : List.m_Instances)
    if (Peer.m_Name != m_Self.m_Name && Peer.m_RelayAddress != Address())
      Candidates.push_back({instanceIdOf(Peer.m_Name), Peer.m_Name,
                            Peer.m_RelayAddress, Peer.m_Zone});
  m_Peers.setCandidates(std::move(Candidates));
}

// ---- Questions --------------------------------------------------------------

void RelayClient::ask(const std::vector<UpstreamId> &Upstreams) {
  if (m_Links == nullptr)
    return;
  keepAsking(Upstreams);
  for (const InstanceId Peer : selectPeers())
    sendQuestion(Peer, true);
}

void RelayClient::keepAsking(const std::vector<UpstreamId> &Upstreams) {
  m_UsedAt = m_Clock.now();
  m_Asked = Upstreams;
  if (!m_CheckTimer.isRunning())
    m_CheckTimer.start(CheckInterval, [this] { check(); });
}

std::vector<InstanceId> RelayClient::selectPeers() {
  const std::vector<RelayCandidate> Selected = m_Peers.select(m_Clock.now());
  dialSelected(Selected);
  std::vector<InstanceId> Result;
  Result.reserve(Selected.size());
  for (const RelayCandidate &Peer : Selected)
    Result.push_back(Peer.m_Id);
  return Result;
}

void RelayClient::dialSelected(const std::vector<RelayCandidate> &Selected) {
  std::vector<InstanceId> Replaced;
  for (const auto &[Id, Known] : m_PeerLinks)
    if (!m_Peers.isSelected(Id) && callsAt(Id).empty())
      Replaced.push_back(Id);
  for (const InstanceId Id : Replaced)
    close(Id);
  for (const RelayCandidate &Peer : Selected)
    if (m_PeerLinks
            .try_emplace(Peer.m_Id,
                         PeerLink{Peer.m_Name, Peer.m_Address, std::nullopt})
            .second)
      m_Links->dial(Peer.m_Address);
}

/// An instance whose link is not up yet is asked once it is.
void RelayClient::sendQuestion(InstanceId Peer, bool WithUpstreams) {
  m_Peers.recordQuestion(Peer, m_Clock.now());
  wire::FrameT *Outbox = outbox(Peer);
  if (Outbox == nullptr)
    return;
  auto Question = std::make_unique<wire::PathQuestionT>();
  Question->id = ++m_LastQuestion;
  if (WithUpstreams)
    for (const UpstreamId Asked : m_Asked)
      Question->upstreams.push_back(Asked.value());
  Outbox->path_questions.push_back(std::move(Question));
}

void RelayClient::receiveReport(InstanceId Peer,
                                const wire::PathReport &Report) {
  const PathAnswer Answer = unpack(Report);
  const TimePoint Now = m_Clock.now();
  if (Answer.m_IsStopping) {
    m_Peers.recordStop(Peer, Now);
    return;
  }
  m_Peers.recordReport(Peer, !Answer.m_Reached.empty(), Answer.m_OpenCalls,
                       Now);
  for (const UpstreamId Reached : Answer.m_Reached)
    m_OnReach(Reached);
}

/// Calls leave instances that have fallen silent; links that nobody uses are
/// closed.
void RelayClient::check() {
  const TimePoint Now = m_Clock.now();
  if (!m_Calls.empty())
    m_UsedAt = Now;
  if (Now - m_UsedAt >= IdleTime) {
    closeAll();
    return;
  }
  m_CheckTimer.start(CheckInterval, [this] { check(); });
  if (Now - m_UsedAt < AskTime)
    for (const InstanceId Peer : selectPeers())
      sendQuestion(Peer, !m_Peers.hasFreshProof(Peer, Now));
  std::vector<InstanceId> Silent;
  for (const auto &[Id, Known] : m_PeerLinks)
    if (m_Peers.isSilent(Id, Now))
      Silent.push_back(Id);
  for (const InstanceId Peer : Silent)
    for (const RelayCallId Id : callsAt(Peer))
      if (RelayedCall *Call = findCall(Id, Peer))
        Call->handlePeerSilent();
}

// ---- Calls ------------------------------------------------------------------

std::unique_ptr<UpstreamCall>
RelayClient::send(const gateway::OutgoingCall &Call,
                  UpstreamListener &Listener) {
  const RelayCallId Id(++m_LastCall);
  auto Result = std::make_unique<RelayedCall>(*this, Id, Call, Listener);
  m_Calls[Id] = Result.get();
  return Result;
}

std::optional<InstanceId>
RelayClient::open(const RelayOpening &Opening, const IncomingRequest &Request,
                  const std::vector<InstanceId> &Excluded) {
  std::vector<InstanceId> Unusable = Excluded;
  for (const auto &[Id, Known] : m_PeerLinks)
    if (!Known.m_Link || m_Links->queuedBytes(*Known.m_Link) > MaxQueuedBytes)
      Unusable.push_back(Id);
  const auto Peer = m_Peers.choose(Unusable, m_Clock.now());
  wire::FrameT *Outbox = Peer ? outbox(*Peer) : nullptr;
  if (Outbox == nullptr)
    return std::nullopt;
  std::size_t Bytes = Request.m_Body.size();
  for (const auto &Other : Outbox->relay_opens)
    Bytes += Other->body.size();
  if (Bytes > FullFrameBytes)
    m_Links->flush(*m_PeerLinks.at(*Peer).m_Link);
  // The flush may have found the link closed.
  Outbox = outbox(*Peer);
  if (Outbox == nullptr)
    return std::nullopt;
  Outbox->relay_opens.push_back(packOpening(Opening, Request));
  m_Peers.recordCallBegin(*Peer);
  return Peer;
}

/// A message of an instance that the call has left is not the call's.
RelayedCall *RelayClient::findCall(RelayCallId Id, InstanceId Peer) const {
  const auto Found = m_Calls.find(Id);
  return Found == m_Calls.end() || Found->second->peer() != Peer
             ? nullptr
             : Found->second;
}

std::vector<RelayCallId> RelayClient::callsAt(InstanceId Peer) const {
  std::vector<RelayCallId> Result;
  for (const auto &[Id, Call] : m_Calls)
    if (Call->peer() == Peer)
      Result.push_back(Id);
  return Result;
}

wire::FrameT *RelayClient::outbox(InstanceId Peer) {
  const auto Found = m_PeerLinks.find(Peer);
  return Found == m_PeerLinks.end() || !Found->second.m_Link
             ? nullptr
             : &m_Links->outbox(*Found->second.m_Link);
}

/// A failed connection to the upstream is no refusal by the instance.
void RelayClient::recordRefusal(InstanceId Peer, RelayOutcome Outcome) {
  m_Outcomes.at(static_cast<std::size_t>(Outcome))->add();
  if (Outcome == RelayOutcome::Stopping)
    m_Peers.recordStop(Peer, m_Clock.now());
  else if (Outcome == RelayOutcome::NotSent)
    m_Peers.recordNoReach(Peer, m_Clock.now());
  else if (Outcome == RelayOutcome::Busy)
    m_Peers.recordRefusal(Peer, m_Clock.now());
}

std::string RelayClient::nameOfPeer(InstanceId Peer) const {
  const auto Found = m_PeerLinks.find(Peer);
  return Found == m_PeerLinks.end() ? std::string() : Found->second.m_Name;
}

// ---- Links ------------------------------------------------------------------

void RelayClient::linkUp(link::LinkId Link, const link::Peer &Remote) {
  const auto Found = m_PeerLinks.find(Remote.m_Instance);
  if (Found == m_PeerLinks.end())
    return;
  Found->second.m_Link = Link;
  sendQuestion(Remote.m_Instance, true);
}

void RelayClient::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  const auto From = std::ranges::find_if(m_PeerLinks, [&](const auto &Entry) {
    return Entry.second.m_Link == Link;
  });
  if (From == m_PeerLinks.end())
    return;
  const InstanceId Peer = From->first;
  if (Frame.path_reports() != nullptr)
    for (const wire::PathReport *Report : *Frame.path_reports())
      receiveReport(Peer, *Report);
  receiveCallFrames(Peer, Frame);
}

void RelayClient::receiveCallFrames(InstanceId Peer, const wire::Frame &Frame) {
  if (Frame.relay_ready() != nullptr)
    for (const wire::RelayReady *Ready : *Frame.relay_ready())
      if (RelayedCall *Call = findCall(RelayCallId(Ready->call()), Peer))
        Call->handleReady();
  if (Frame.relay_heads() != nullptr)
    for (const wire::RelayHead *Head : *Frame.relay_heads())
      if (RelayedCall *Call = findCall(RelayCallId(Head->call()), Peer))
        Call->handleHead(Head->status(), unpackHeaders(Head->headers()));
  if (Frame.relay_bytes() != nullptr)
    for (const wire::RelayBytes *Part : *Frame.relay_bytes())
      if (RelayedCall *Call = findCall(RelayCallId(Part->call()), Peer);
          Call != nullptr && Part->bytes() != nullptr)
        Call->handleBytes(
            {reinterpret_cast<const char *>(Part->bytes()->data()),
             Part->bytes()->size()});
  if (Frame.relay_ends() != nullptr)
    for (const wire::RelayEnd *End : *Frame.relay_ends())
      if (RelayedCall *Call = findCall(RelayCallId(End->call()), Peer))
        Call->handleEnd(outcomeOf(End->end()));
}

void RelayClient::linkDown(link::LinkId Link, const link::Peer &Remote,
                           link::CloseReason) {
  const auto Found = m_PeerLinks.find(Remote.m_Instance);
  if (Found == m_PeerLinks.end() || Found->second.m_Link != Link)
    return;
  Found->second.m_Link.reset();
  m_Peers.recordRefusal(Remote.m_Instance, m_Clock.now());
  for (const RelayCallId Id : callsAt(Remote.m_Instance))
    if (RelayedCall *Call = findCall(Id, Remote.m_Instance))
      Call->handlePeerLost();
}

void RelayClient::dialFailed(const Address &, link::CloseReason) {
  // The links count, log and retry it.
}

void RelayClient::close(InstanceId Peer) {
  m_Links->disconnect(m_PeerLinks.at(Peer).m_Address);
  m_PeerLinks.erase(Peer);
}

void RelayClient::closeAll() {
  for (const auto &[Id, Known] : m_PeerLinks)
    m_Links->disconnect(Known.m_Address);
  m_PeerLinks.clear();
  m_Peers.clearSelection();
}

} // namespace crowstep::relay
