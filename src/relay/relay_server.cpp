/// Calls that this instance carries for others.
#include "relay/relay_server.h"

#include "gateway/upstream_request.h"
#include "relay/carried_call.h"
#include "relay/relay_codec.h"

#include <algorithm>

namespace crowstep::relay {

namespace {

bool allowsService(const gateway::Route &Route, const std::string &Service) {
  return std::ranges::any_of(Route.m_Services, [&](const auto &Share) {
    return Share.m_Service == Service;
  });
}

} // namespace

RelayServer::RelayServer(const RelayServerContext &Context,
                         RelayLinksFactory Open, Metrics &Stats)
    : m_Context(Context), m_OpenLinks(std::move(Open)),
      m_CleanupTimer(Context.m_Timers),
      m_CallCount(Stats.counter("crowstep_carried_calls_total")),
      m_OpenGauge(Stats.gauge("crowstep_carried_calls_open")) {}

RelayServer::~RelayServer() = default;

void RelayServer::start(const std::string &Key) {
  if (m_Links == nullptr)
    m_Links = m_OpenLinks(Key, *this);
}

void RelayServer::stop() {
  m_IsStopping = true;
  for (const auto &[Link, Name] : m_Peers)
    sendAnswer(Link, {});
}

// ---- Questions --------------------------------------------------------------

void RelayServer::receiveQuestion(link::LinkId Link,
                                  const wire::PathQuestion &From) {
  Question Asked;
  Asked.m_Link = Link;
  Asked.m_Answer.m_Question = From.id();
  const std::uint64_t Number = ++m_LastQuestion;
  std::vector<const Upstream *> Known;
  if (From.upstreams() != nullptr && !m_IsStopping)
    for (const std::uint64_t Id : *From.upstreams())
      if (const Upstream *Found =
              m_Context.m_Balancer.findUpstream(UpstreamId(Id));
          Found != nullptr && Known.size() < MaxAsked)
        Known.push_back(Found);
  if (Known.empty()) {
    sendAnswer(Link, Asked.m_Answer);
    return;
  }
  Asked.m_Left = Known.size();
  m_Questions[Number] = std::move(Asked);
  for (const Upstream *Entry : Known)
    m_Context.m_Prober.probe(Entry->m_Id, Entry->m_Address,
                             [this, Number](const ProbeResult &Result) {
                               handleProbe(Number, Result);
                             });
}

/// Each upstream that is reached is reported at once: another one that does not
/// answer must not delay the report.
void RelayServer::handleProbe(std::uint64_t Number, const ProbeResult &Result) {
  const auto Found = m_Questions.find(Number);
  if (Found == m_Questions.end())
    return;
  Question &Asked = Found->second;
  --Asked.m_Left;
  if (Result.m_Outcome == ConnectOutcome::Connected)
    Asked.m_Answer.m_Reached = {Result.m_Upstream};
  else
    Asked.m_Answer.m_Reached.clear();
  if (!Asked.m_Answer.m_Reached.empty() || Asked.m_Left == 0)
    sendAnswer(Asked.m_Link, Asked.m_Answer);
  if (Asked.m_Left == 0)
    m_Questions.erase(Found);
}

void RelayServer::sendAnswer(link::LinkId Link, PathAnswer Answer) {
  Answer.m_OpenCalls = static_cast<std::uint32_t>(m_Calls.size());
  Answer.m_IsStopping = m_IsStopping;
  if (m_Links != nullptr && m_Peers.contains(Link))
    m_Links->outbox(Link).path_reports.push_back(packAnswer(Answer));
}

// ---- Calls ------------------------------------------------------------------

void RelayServer::receiveOpening(link::LinkId Link,
                                 const wire::RelayOpen &From) {
  const CallKey Key = {Link, RelayCallId(From.call())};
  if (m_Calls.contains(Key))
    return;
  auto Opening = unpack(From);
  const auto Refusal =
      Opening ? openCall(Link, std::move(*Opening)) : RelayOutcome::NotAdmitted;
  if (Refusal)
    sendEnd(Key, *Refusal);
}

/// Returns why the call is not carried, or nullopt.
std::optional<RelayOutcome> RelayServer::openCall(link::LinkId Link,
                                                  RelayOpening Opening) {
  if (m_IsStopping)
    return RelayOutcome::Stopping;
  if (m_Calls.size() >= MaxCalls ||
      m_RequestBytes + Opening.m_Request.m_Body.size() > MaxRequestBytes)
    return RelayOutcome::Busy;
  auto Admission =
      gateway::admit(Opening.m_Request, m_Table, m_Context.m_Codec);
  auto *Admitted = std::get_if<gateway::AdmittedRequest>(&Admission);
  const Upstream *Target =
      m_Context.m_Balancer.findUpstream(Opening.m_Upstream);
  if (Admitted == nullptr || Target == nullptr ||
      !allowsService(*Admitted->m_Route, Target->m_Service))
    return RelayOutcome::NotAdmitted;
  if (m_Context.m_Paths.isPathLost(Opening.m_Upstream))
    return RelayOutcome::NotSent;
  const auto Placement = m_Context.m_Balancer.placeCarried(
      Opening.m_Upstream,
      quarantine::suspectsOf(
          gateway::contentHashOf(Opening.m_Request, *Admitted),
          Target->m_Service, Admitted->m_Facts.m_Prompt),
      m_Context.m_Clock.now());
  if (!Placement)
    return RelayOutcome::Withheld;
  const CallKey Key = {Link, Opening.m_Call};
  auto Call = std::make_unique<CarriedCall>(*this, Key, std::move(Opening),
                                            std::move(*Admitted), *Placement);
  m_RequestBytes += Call->requestBytes();
  CarriedCall &Opened = *Call;
  m_Calls[Key] = std::move(Call);
  m_CallCount.add();
  m_OpenGauge.set(static_cast<double>(m_Calls.size()));
  Opened.connect();
  return std::nullopt;
}

CarriedCall *RelayServer::findCall(const CallKey &Key) const {
  const auto Found = m_Calls.find(Key);
  return Found == m_Calls.end() ? nullptr : Found->second.get();
}

void RelayServer::sendEnd(const CallKey &Key, RelayOutcome Outcome) {
  m_Links->outbox(Key.first).relay_ends.emplace_back(
      Key.second.value(), static_cast<std::uint8_t>(Outcome));
}

void RelayServer::handleCallEnd(const CallKey &Key, RelayOutcome Outcome) {
  sendEnd(Key, Outcome);
  // The call is on the call stack here.
  m_Ended.push_back(extractCall(Key));
  m_CleanupTimer.start(Duration::zero(), [this] { m_Ended.clear(); });
}

/// Returns null if there is no such call.
std::unique_ptr<CarriedCall> RelayServer::extractCall(const CallKey &Key) {
  auto Node = m_Calls.extract(Key);
  if (Node.empty())
    return nullptr;
  m_RequestBytes -= Node.mapped()->requestBytes();
  m_OpenGauge.set(static_cast<double>(m_Calls.size()));
  return std::move(Node.mapped());
}

// ---- Links ------------------------------------------------------------------

void RelayServer::linkUp(link::LinkId Link, const link::Peer &Remote) {
  m_Peers[Link] = Remote.m_Name;
}

/// A cancelled call must not be started by the same frame, so cancels come
/// first.
void RelayServer::linkFrame(link::LinkId Link, const wire::Frame &Frame) {
  if (Frame.path_questions() != nullptr)
    for (const wire::PathQuestion *Asked : *Frame.path_questions())
      receiveQuestion(Link, *Asked);
  if (Frame.relay_opens() != nullptr)
    for (const wire::RelayOpen *Opening : *Frame.relay_opens())
      receiveOpening(Link, *Opening);
  if (Frame.relay_cancels() != nullptr)
    for (const wire::RelayCancel *Cancel : *Frame.relay_cancels())
      extractCall({Link, RelayCallId(Cancel->call())});
  if (Frame.relay_starts() != nullptr)
    for (const wire::RelayStart *Start : *Frame.relay_starts())
      if (CarriedCall *Call = findCall({Link, RelayCallId(Start->call())}))
        Call->start();
  if (Frame.relay_credits() != nullptr)
    for (const wire::RelayCredit *Credit : *Frame.relay_credits())
      if (CarriedCall *Call = findCall({Link, RelayCallId(Credit->call())}))
        Call->addCredit(Credit->bytes());
}

/// Nobody is left to receive the answers.
void RelayServer::linkDown(link::LinkId Link, const link::Peer &,
                           link::CloseReason) {
  m_Peers.erase(Link);
  std::vector<CallKey> Lost;
  for (const auto &[Key, Call] : m_Calls)
    if (Key.first == Link)
      Lost.push_back(Key);
  for (const CallKey &Key : Lost)
    extractCall(Key);
  std::erase_if(m_Questions,
                [&](const auto &Entry) { return Entry.second.m_Link == Link; });
}

void RelayServer::dialFailed(const Address &, link::CloseReason) {
  // The server dials nobody.
}

} // namespace crowstep::relay
