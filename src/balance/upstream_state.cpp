/// Health of an upstream by its answers.
#include "balance/upstream_state.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Weight of the newest answer: about the last seven count.
constexpr double NewestWeight = 0.15;

/// A share of failures over which an upstream is kept out. Services answer a
/// seventh of some kinds of call with an error in good health; an upstream that
/// fails has a third or more.
constexpr double MaxFailureShare = 0.45;

/// A sick upstream is tried again after this; one call then finds out.
constexpr Duration FailingEjection = std::chrono::milliseconds(1500);

/// Failures in a row that say "gone", not "sick".
constexpr unsigned MaxConsecutiveFailures = 3;

/// An upstream to which no connection can be made has crashed; it comes back
/// under another id or after seconds.
constexpr Duration UnreachableEjection = std::chrono::milliseconds(700);
constexpr Duration MaxEjection = std::chrono::seconds(5);

} // namespace

void UpstreamHealth::ended(CallOutcome Outcome, TimePoint Now) {
  switch (Outcome) {
  case CallOutcome::Served:
    m_InARow = 0;
    m_FailureShare *= 1 - NewestWeight;
    return;
  case CallOutcome::Failed:
  case CallOutcome::Broken:
  case CallOutcome::Silent:
  case CallOutcome::NoAnswer:
    break;
  case CallOutcome::Refused:
  case CallOutcome::Leaving:
  case CallOutcome::Dropped:
    return;
  }
  ++m_InARow;
  m_FailureShare += NewestWeight * (1 - m_FailureShare);
  if (Outcome == CallOutcome::Silent || Outcome == CallOutcome::NoAnswer)
    eject(UnreachableEjection * m_InARow, Now);
  else if (m_FailureShare > MaxFailureShare ||
           m_InARow >= MaxConsecutiveFailures)
    eject(FailingEjection, Now);
}

void UpstreamHealth::eject(Duration Span, TimePoint Now) {
  m_EjectedUntil = Now + std::min(Span, MaxEjection);
}

} // namespace crowstep::balance
