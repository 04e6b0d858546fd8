/// A direct call whose progress shows whether its upstream can be reached.
#include "relay/direct_call.h"

namespace crowstep::relay {

DirectCall::DirectCall(PathTransport &Owner, const gateway::OutgoingCall &Call,
                       UpstreamListener &Listener)
    : m_Owner(Owner), m_Upstream(Call.m_Upstream), m_Listener(Listener),
      m_Began(Owner.m_Clock.now()), m_LastByteAt(m_Began),
      m_CheckTimer(Owner.m_Timers),
      m_Call(Owner.m_Direct.send(Call.m_Direct, *this)) {
  m_Owner.m_Calls.insert(this);
  m_CheckTimer.start(CheckDelay, [this] { checkProgress(); });
}

DirectCall::~DirectCall() { m_Owner.remove(*this); }

/// Runs until the request is acknowledged.
void DirectCall::checkProgress() {
  const TimePoint Now = m_Owner.m_Clock.now();
  PathMonitor &Monitor = m_Owner.m_Monitor;
  switch (m_Call->progress()) {
  case CallProgress::Acknowledged:
    Monitor.recordBytesReceived(m_Upstream, Now);
    break;
  case CallProgress::Connecting:
    Monitor.recordDelay(m_Upstream, Now);
    break;
  case CallProgress::Unacknowledged:
    if (Now - m_Began >= AcknowledgeTimeout) {
      Monitor.recordFailure(m_Upstream, PathEvidence::Unacknowledged, m_Began,
                            Now);
    } else {
      Monitor.recordDelay(m_Upstream, Now);
      m_CheckTimer.start(CheckDelay, [this] { checkProgress(); });
    }
    break;
  }
  m_Owner.startTicking();
}

/// No byte of a call that is still connecting was sent: it can go another way
/// at once.
void DirectCall::handlePathLost() {
  if (m_Call == nullptr)
    return;
  if (m_Call->progress() != CallProgress::Connecting) {
    checkSilence();
    return;
  }
  m_CheckTimer.stop();
  m_Call.reset();
  m_Listener.upstreamEnded(TransportEnd::NoPath);
}

void DirectCall::checkSilence() {
  if (!m_Owner.m_Monitor.isLost(m_Upstream))
    return;
  const Duration Silence = m_Owner.m_Clock.now() - m_LastByteAt;
  m_CheckTimer.start(Silence < SilenceLimit ? SilenceLimit - Silence
                                            : OfferInterval,
                     [this] { checkSilence(); });
  if (Silence >= SilenceLimit)
    m_Listener.upstreamUnreachable();
}

void DirectCall::recordBytes() {
  m_LastByteAt = m_Owner.m_Clock.now();
  m_Owner.m_Monitor.recordBytesReceived(m_Upstream, m_LastByteAt);
}

void DirectCall::upstreamHeaders(unsigned Status, const HeaderList &Headers) {
  recordBytes();
  m_Listener.upstreamHeaders(Status, Headers);
}

void DirectCall::upstreamBytes(std::string_view Bytes) {
  recordBytes();
  m_Listener.upstreamBytes(Bytes);
}

void DirectCall::upstreamEnded(TransportEnd End) {
  m_CheckTimer.stop();
  const TimePoint Now = m_Owner.m_Clock.now();
  if (End == TransportEnd::NotSent)
    m_Owner.m_Monitor.recordFailure(m_Upstream, PathEvidence::NoAnswer, m_Began,
                                    Now);
  if (End == TransportEnd::ConnectRefused)
    m_Owner.m_Monitor.recordFailure(m_Upstream, PathEvidence::Refused, m_Began,
                                    Now);
  m_Owner.startTicking();
  // What fails on a lost path says nothing about the upstream.
  const bool IsUnsent =
      End == TransportEnd::NotSent || End == TransportEnd::ConnectRefused;
  m_Listener.upstreamEnded(IsUnsent && m_Owner.m_Monitor.isLost(m_Upstream)
                               ? TransportEnd::NoPath
                               : End);
}

} // namespace crowstep::relay
