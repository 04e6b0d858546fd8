/// One call that this instance carries for another.
#include "relay/carried_call.h"

#include "core/log.h"
#include "gateway/upstream_request.h"
#include "relay/relay_codec.h"

namespace crowstep::relay {

namespace {

constexpr unsigned FirstServerError = 500;

RelayOutcome outcomeOf(TransportEnd End) {
  switch (End) {
  case TransportEnd::Complete:
    return RelayOutcome::Complete;
  case TransportEnd::NotSent:
  case TransportEnd::NoPath:
    return RelayOutcome::NotSent;
  case TransportEnd::ConnectRefused:
    return RelayOutcome::ConnectRefused;
  case TransportEnd::Withheld:
  case TransportEnd::OtherProcess:
  case TransportEnd::Unproven:
    return RelayOutcome::Withheld;
  case TransportEnd::Broken:
  case TransportEnd::RelayLost:
    break;
  }
  return RelayOutcome::Broken;
}

} // namespace

CarriedCall::CarriedCall(RelayServer &Owner, RelayServer::CallKey Key,
                         RelayOpening Opening,
                         gateway::AdmittedRequest Admitted,
                         const balance::Placed &Placement)
    : m_Owner(Owner), m_Key(Key), m_Opening(std::move(Opening)),
      m_Admitted(std::move(Admitted)), m_Placement(Placement),
      m_Deadline(Owner.m_Context.m_Clock.now() + m_Opening.m_TimeLeft),
      m_StartTimer(Owner.m_Context.m_Timers) {}

CarriedCall::~CarriedCall() {
  if (!m_HasEnded)
    m_Owner.m_Context.m_Balancer.recordCallEnd(m_Placement.m_Ticket,
                                               balance::CallOutcome::Dropped,
                                               m_Owner.m_Context.m_Clock.now());
}

void CarriedCall::connect() {
  UpstreamRequest Outgoing = gateway::makeUpstreamRequest(
      m_Owner.m_Context.m_Codec, m_Opening.m_Request, m_Admitted,
      {m_Placement, m_Deadline, m_Opening.m_TimeLeft, m_Opening.m_LastEventId});
  // Where the two tables differ, the stricter one decides.
  Outgoing.m_Repeatable = Outgoing.m_Repeatable && m_Opening.m_IsRepeatable;
  Outgoing.m_HoldSend = true;
  Outgoing.m_SendCheck = [this] {
    return m_Owner.m_Context.m_Balancer.mayBegin(
        m_Placement.m_Ticket, m_Owner.m_Context.m_Clock.now());
  };
  m_Call = m_Owner.m_Context.m_Upstream.send(Outgoing, *this);
}

void CarriedCall::upstreamConnected() {
  m_IsConnected = true;
  m_Owner.outbox(m_Key).relay_ready.emplace_back(m_Key.second.value());
  m_StartTimer.start(StartTimeout, [this] {
    end(RelayOutcome::Withheld, balance::CallOutcome::Dropped);
  });
}

/// The start may have waited unread while this process stood still.
void CarriedCall::start() {
  if (!m_IsConnected || m_HasEnded)
    return;
  m_IsConnected = false;
  m_StartTimer.stop();
  if (m_Owner.m_Context.m_Clock.readNow() >= m_Deadline)
    end(RelayOutcome::Withheld, balance::CallOutcome::Dropped);
  else
    m_Call->release();
}

/// The statements concern this instance as well: it is the one that the
/// upstream sees.
void CarriedCall::upstreamHeaders(unsigned Status, const HeaderList &Headers) {
  balance::Balancer &Balancer = m_Owner.m_Context.m_Balancer;
  const TimePoint Now = m_Owner.m_Context.m_Clock.now();
  const gateway::AnswerFacts Facts =
      m_Owner.m_Context.m_Codec.readAnswer(Status, Headers);
  m_Status = Status;
  m_NotRun = Facts.m_NotRun;
  Balancer.recordBytesReceived(m_Placement.m_Ticket, Now);
  if (Facts.m_Leaving && !Facts.m_WrongUpstream)
    Balancer.recordLeaveStatement(m_Placement.m_Ticket);
  if (Facts.m_RequestedPause)
    Balancer.recordPause(m_Placement.m_Ticket, *Facts.m_RequestedPause, Now);
  auto Head = std::make_unique<wire::RelayHeadT>();
  Head->call = m_Key.second.value();
  Head->status = static_cast<std::uint16_t>(Status);
  Head->headers = packHeaders(Headers);
  m_Owner.outbox(m_Key).relay_heads.push_back(std::move(Head));
}

void CarriedCall::upstreamBytes(std::string_view Bytes) {
  m_Owner.m_Context.m_Balancer.recordOutput(m_Placement.m_Ticket,
                                            m_Owner.m_Context.m_Clock.now());
  m_Owner.m_Context.m_Balancer.recordBytesReceived(
      m_Placement.m_Ticket, m_Owner.m_Context.m_Clock.now());
  auto Part = std::make_unique<wire::RelayBytesT>();
  Part->call = m_Key.second.value();
  Part->bytes.assign(Bytes.begin(), Bytes.end());
  m_Owner.outbox(m_Key).relay_bytes.push_back(std::move(Part));
  m_UncreditedBytes += Bytes.size();
  if (m_UncreditedBytes >= RelayWindow)
    m_Call->pauseReading();
}

void CarriedCall::addCredit(std::size_t Bytes) {
  const bool WasFull = m_UncreditedBytes >= RelayWindow;
  m_UncreditedBytes -= std::min(Bytes, m_UncreditedBytes);
  if (WasFull && m_UncreditedBytes < RelayWindow && m_Call != nullptr)
    m_Call->resumeReading();
}

balance::CallOutcome CarriedCall::evidenceOf(TransportEnd End) const {
  switch (End) {
  case TransportEnd::NotSent:
  case TransportEnd::ConnectRefused:
    return balance::CallOutcome::Unreachable;
  case TransportEnd::Broken:
    return balance::CallOutcome::Broken;
  case TransportEnd::Complete:
    break;
  case TransportEnd::OtherProcess:
    return balance::CallOutcome::Draining;
  case TransportEnd::Withheld:
  case TransportEnd::Unproven:
  case TransportEnd::NoPath:
  case TransportEnd::RelayLost:
    return balance::CallOutcome::Dropped;
  }
  if (m_NotRun)
    return balance::CallOutcome::Refused;
  return m_Status < FirstServerError ? balance::CallOutcome::Served
                                     : balance::CallOutcome::Failed;
}

void CarriedCall::upstreamEnded(TransportEnd End) {
  if (End == TransportEnd::OtherProcess)
    m_Owner.m_Context.m_Balancer.recordLeaveStatement(m_Placement.m_Ticket);
  if (End == TransportEnd::Broken)
    m_Owner.m_Context.m_CrashWatch.handleBrokenCall(
        m_Placement.m_Upstream, m_Placement.m_Name, m_Placement.m_Address);
  end(outcomeOf(End), evidenceOf(End));
}

void CarriedCall::end(RelayOutcome Outcome, balance::CallOutcome Evidence) {
  m_HasEnded = true;
  m_StartTimer.stop();
  m_Call.reset();
  m_Owner.m_Context.m_Balancer.recordCallEnd(m_Placement.m_Ticket, Evidence,
                                             m_Owner.m_Context.m_Clock.now());
  logEvent(LogEvent::GatewayCallCarried,
           {{"request", m_Admitted.m_Facts.m_Id},
            {"upstream", m_Placement.m_Name},
            {"outcome", std::string(nameOf(Outcome))},
            {"status", std::to_string(m_Status)}});
  m_Owner.handleCallEnd(m_Key, Outcome);
}

} // namespace crowstep::relay
