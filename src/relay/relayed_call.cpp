/// One call that another instance carries for this one.
#include "relay/relayed_call.h"

#include "core/log.h"

#include <utility>

namespace crowstep::relay {

RelayedCall::RelayedCall(RelayClient &Owner, RelayCallId Id,
                         const gateway::OutgoingCall &Call,
                         UpstreamListener &Listener)
    : m_Owner(Owner), m_Id(Id), m_Call(Call), m_Listener(Listener),
      m_OpenTimer(Owner.m_Timers) {
  m_OpenTimer.start(Duration::zero(), [this] { tryNextPeer(); });
}

RelayedCall::~RelayedCall() {
  cancel();
  leavePeer();
  m_Owner.remove(m_Id);
  if (m_Destroyed != nullptr)
    *m_Destroyed = true;
}

Duration RelayedCall::timeLeft() const {
  return m_Call.m_Direct.m_SendDeadline - m_Owner.m_Clock.readNow();
}

// ---- Opening ----------------------------------------------------------------

void RelayedCall::tryNextPeer() {
  if (timeLeft() <= Duration::zero()) {
    end(TransportEnd::Withheld);
    return;
  }
  RelayOpening Opening;
  Opening.m_Call = m_Id;
  Opening.m_Upstream = m_Call.m_Upstream;
  Opening.m_TimeLeft = timeLeft();
  Opening.m_IsRepeatable = m_Call.m_Direct.m_Repeatable;
  Opening.m_LastEventId = m_Call.m_LastEventId;
  const auto Peer = m_Tried.size() >= MaxPeers
                        ? std::nullopt
                        : m_Owner.open(Opening, *m_Call.m_Request, m_Tried);
  if (!Peer) {
    end(m_WasRefused ? TransportEnd::ConnectRefused : TransportEnd::NoPath);
    return;
  }
  m_Peer = *Peer;
  m_Tried.push_back(m_Peer);
  m_OpenTimer.start(OpenTimeout, [this] {
    cancel();
    handleUnsent(RelayOutcome::NotSent);
  });
}

/// The last check before the call may be sent.
void RelayedCall::handleReady() {
  wire::FrameT *Outbox = m_Owner.outbox(m_Peer);
  if (m_IsStarted || m_HasEnded || Outbox == nullptr)
    return;
  m_OpenTimer.stop();
  if (timeLeft() <= Duration::zero() ||
      (m_Call.m_Direct.m_SendCheck && !m_Call.m_Direct.m_SendCheck())) {
    cancel();
    end(TransportEnd::Withheld);
    return;
  }
  m_IsStarted = true;
  m_Owner.m_CallCount.add();
  Outbox->relay_starts.emplace_back(
      m_Id.value(), static_cast<std::uint64_t>(timeLeft().count()));
  logEvent(LogEvent::GatewayCallRelayed,
           {{"request", m_Call.m_RequestId},
            {"upstream", m_Call.m_Name},
            {"through", m_Owner.nameOfPeer(m_Peer)}});
}

void RelayedCall::handleUnsent(RelayOutcome Outcome) {
  logEvent(LogEvent::GatewayRelayRefused,
           {{"request", m_Call.m_RequestId},
            {"upstream", m_Call.m_Name},
            {"through", m_Owner.nameOfPeer(m_Peer)},
            {"why", std::string(nameOf(Outcome))}});
  m_Owner.recordRefusal(m_Peer, Outcome);
  m_WasRefused = m_WasRefused || Outcome == RelayOutcome::ConnectRefused;
  leavePeer();
  tryNextPeer();
}

// ---- Answer -----------------------------------------------------------------

void RelayedCall::handleHead(unsigned Status, const HeaderList &Headers) {
  if (!m_IsStarted || m_HasEnded)
    return;
  m_Owner.recordAnswer(m_Peer);
  m_Listener.upstreamHeaders(Status, Headers);
}

void RelayedCall::handleBytes(std::string_view Bytes) {
  if (!m_IsStarted || m_HasEnded)
    return;
  m_UncreditedBytes += static_cast<std::uint32_t>(Bytes.size());
  bool Destroyed = false;
  m_Destroyed = &Destroyed;
  m_Listener.upstreamBytes(Bytes);
  if (Destroyed)
    return;
  m_Destroyed = nullptr;
  if (!m_IsPaused)
    sendCredit();
}

void RelayedCall::resumeReading() {
  m_IsPaused = false;
  sendCredit();
}

void RelayedCall::sendCredit() {
  wire::FrameT *Outbox = m_Owner.outbox(m_Peer);
  if (m_UncreditedBytes == 0 || Outbox == nullptr)
    return;
  Outbox->relay_credits.emplace_back(m_Id.value(),
                                     std::exchange(m_UncreditedBytes, 0));
}

/// The carrying instance may find out at its own last check that the call must
/// not be sent.
void RelayedCall::handleEnd(RelayOutcome Outcome) {
  if (m_HasEnded)
    return;
  m_OpenTimer.stop();
  if (provesNotSent(Outcome)) {
    m_IsStarted = false;
    handleUnsent(Outcome);
    return;
  }
  leavePeer();
  end(Outcome == RelayOutcome::Complete ? TransportEnd::Complete
                                        : TransportEnd::Broken);
}

void RelayedCall::handlePeerLost() {
  if (m_HasEnded)
    return;
  if (!m_IsStarted) {
    handleUnsent(RelayOutcome::NotSent);
    return;
  }
  leavePeer();
  end(TransportEnd::RelayLost);
}

void RelayedCall::handlePeerSilent() {
  if (m_HasEnded || (m_IsStarted && !m_Call.m_Direct.m_Repeatable))
    return;
  cancel();
  handlePeerLost();
}

// ---- End --------------------------------------------------------------------

void RelayedCall::cancel() {
  if (wire::FrameT *Outbox = m_Owner.outbox(m_Peer))
    Outbox->relay_cancels.emplace_back(m_Id.value());
}

void RelayedCall::leavePeer() {
  m_OpenTimer.stop();
  if (m_Peer != InstanceId())
    m_Owner.recordCallEnd(std::exchange(m_Peer, InstanceId()));
}

/// The listener may destroy the call.
void RelayedCall::end(TransportEnd End) {
  m_HasEnded = true;
  leavePeer();
  m_Listener.upstreamEnded(End);
}

} // namespace crowstep::relay
