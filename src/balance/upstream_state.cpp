/// Health of an upstream, from the outcomes of its calls.
#include "balance/upstream_state.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Weight of the newest outcome: the average covers about the last seven.
constexpr double NewestWeight = 0.15;

/// Share of failures above which an upstream is ejected. Healthy services
/// answer a seventh of the calls of some kinds with an error; a failing
/// upstream has a share of a third or more.
constexpr double MaxFailureShare = 0.45;

/// Ejection of a failing upstream; a single call after it shows its state.
constexpr Duration FailingEjection = std::chrono::milliseconds(1500);

/// Consecutive failures after which an upstream is ejected at any share.
constexpr unsigned MaxConsecutiveFailures = 3;

/// Ejection of an unreachable or silent upstream, for each consecutive failure:
/// one to which no connection can be made has crashed, and returns under
/// another id or after some seconds.
constexpr Duration UnreachableEjection = std::chrono::milliseconds(700);
constexpr Duration MaxEjection = std::chrono::seconds(5);

} // namespace

void UpstreamHealth::recordOutcome(CallOutcome Outcome, TimePoint Now) {
  const bool HadNoContact =
      Outcome == CallOutcome::Silent || Outcome == CallOutcome::Unreachable;
  // Calls that were placed before the ejection tell of the same failure.
  if (HadNoContact && isEjected(Now))
    return;
  switch (Outcome) {
  case CallOutcome::Served:
    m_ConsecutiveFailures = 0;
    m_FailureShare *= 1 - NewestWeight;
    return;
  case CallOutcome::Failed:
  case CallOutcome::Broken:
  case CallOutcome::Silent:
  case CallOutcome::Unreachable:
    break;
  case CallOutcome::Refused:
  case CallOutcome::Draining:
  case CallOutcome::Dropped:
    return;
  }
  ++m_ConsecutiveFailures;
  m_FailureShare += NewestWeight * (1 - m_FailureShare);
  if (HadNoContact)
    eject(UnreachableEjection * m_ConsecutiveFailures, Now);
  else if (m_FailureShare > MaxFailureShare ||
           m_ConsecutiveFailures >= MaxConsecutiveFailures)
    eject(FailingEjection, Now);
}

void UpstreamHealth::eject(Duration Span, TimePoint Now) {
  m_EjectedUntil = Now + std::min(Span, MaxEjection);
}

} // namespace crowstep::balance
