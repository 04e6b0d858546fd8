/// Pauses that upstreams have requested from this instance.
#include "balance/requested_pauses.h"

#include <algorithm>

namespace crowstep::balance {

void RequestedPauses::record(UpstreamId Upstream, Duration Span,
                             TimePoint Now) {
  if (Span <= Duration::zero())
    return;
  Pause &Entry = m_Pauses[Upstream];
  Entry.m_Until = std::max(Entry.m_Until, Now + std::min(Span, MaxPause));
}

TimePoint RequestedPauses::pausedUntil(UpstreamId Upstream) const {
  const auto Found = m_Pauses.find(Upstream);
  return Found == m_Pauses.end() ? TimePoint() : Found->second.m_Until;
}

bool RequestedPauses::maySend(UpstreamId Upstream, TimePoint Now) const {
  const auto Found = m_Pauses.find(Upstream);
  return Found == m_Pauses.end() ||
         (Now >= Found->second.m_Until && Found->second.m_Trial == TicketId());
}

void RequestedPauses::recordSend(UpstreamId Upstream, TicketId Call) {
  if (const auto Found = m_Pauses.find(Upstream); Found != m_Pauses.end())
    Found->second.m_Trial = Call;
}

void RequestedPauses::recordAccepted(UpstreamId Upstream, TicketId Call,
                                     TimePoint Now) {
  const auto Found = m_Pauses.find(Upstream);
  // Another call may have been rejected with a new pause since.
  if (Found != m_Pauses.end() && Found->second.m_Trial == Call &&
      Now >= Found->second.m_Until)
    m_Pauses.erase(Found);
}

void RequestedPauses::recordCallEnd(UpstreamId Upstream, TicketId Call) {
  const auto Found = m_Pauses.find(Upstream);
  if (Found != m_Pauses.end() && Found->second.m_Trial == Call)
    Found->second.m_Trial = TicketId();
}

void RequestedPauses::expire(TimePoint Now) {
  std::erase_if(m_Pauses, [Now](const auto &Entry) {
    return Now >= Entry.second.m_Until + TrialPeriod;
  });
}

} // namespace crowstep::balance
