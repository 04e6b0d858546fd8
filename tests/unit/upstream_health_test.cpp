/// When the outcomes of its calls eject an upstream, and for how long.
#define BOOST_TEST_MODULE upstream_health
#include "balance/upstream_state.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

/// Returns how long the upstream is ejected after \p Count calls that ended
/// with \p Outcome at one moment.
Duration ejectionAfter(CallOutcome Outcome, int Count) {
  UpstreamHealth Health;
  const TimePoint Now(1h);
  for (int I = 0; I < Count; ++I)
    Health.recordOutcome(Outcome, Now);
  TimePoint End = Now;
  while (Health.isEjected(End))
    End += 10ms;
  return End - Now;
}

} // namespace

/// Guards against a healthy upstream that is ejected for seconds because many
/// calls noticed the same second of silence.
BOOST_AUTO_TEST_CASE(CallsThatNoticeOneSilenceEjectOnce) {
  for (const CallOutcome Outcome :
       {CallOutcome::Silent, CallOutcome::Unreachable}) {
    BOOST_TEST((ejectionAfter(Outcome, 1) > 0ms));
    BOOST_TEST((ejectionAfter(Outcome, 20) == ejectionAfter(Outcome, 1)));
  }
}

/// An upstream that stays unreachable is tried less and less often.
BOOST_AUTO_TEST_CASE(EachFailedTrialEjectsForLonger) {
  UpstreamHealth Health;
  TimePoint Now(1h);
  Duration Last{};
  for (int I = 0; I < 4; ++I) {
    Health.recordOutcome(CallOutcome::Unreachable, Now);
    const TimePoint Begin = Now;
    while (Health.isEjected(Now))
      Now += 10ms;
    BOOST_TEST((Now - Begin > Last));
    Last = Now - Begin;
  }
}
