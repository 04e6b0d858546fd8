/// Long polls that the store forgets while their connections stay open.
#define BOOST_TEST_MODULE forgotten_long_poll
#include "unit/directory_zone.h"

using namespace crowstep;
using namespace crowstep::test;
using Mode = SimulatedStore::Mode;

namespace {

/// Times within which a change must be known, in steady state and after an
/// outage.
constexpr StoreBounds Bounds = {2s, 2s, 3s};

/// Roles of the instances that are checked.
enum class Fleet : std::uint8_t {
  Alone,           ///< One instance, which reads for itself.
  WithReader,      ///< A reader, a deputy and three followers.
  ReadersAreCutOff ///< The same; reader and deputy reach nobody.
};

void cutOffReaders(Zone &Z) {
  for (const std::size_t Number : {0, 1}) {
    Z.m_Members[Number]->m_Access = StoreAccess::Cut;
    Z.m_Members[Number]->m_LinksCut = true;
  }
  Z.m_Timers.advance(Bounds.m_SettleTime);
}

/// A store that was silent for four seconds, beginning \p Moment after the last
/// call, forgets the long polls that began before; then an upstream leaves and
/// the table changes.
void changeAfterSilence(Fleet Kind, double Draw, Duration Moment) {
  Zone Z(Kind == Fleet::Alone ? 1 : 5, Draw, Bounds);
  if (Kind == Fleet::Alone)
    Z.m_Members[0]->m_Directory->setReadingRole(ReadingRole::Alone);
  if (Kind == Fleet::ReadersAreCutOff)
    cutOffReaders(Z);
  Z.m_Timers.advance(Moment);
  Z.m_Store.setMode(Mode::Silent);
  Z.m_Timers.advance(1s);
  Z.m_Store.forgetLongPolls();
  Z.m_Timers.advance(3s);
  Z.m_Store.setMode(Mode::Up);
  Z.m_Timers.advance(Bounds.m_SettleTime);
  Z.unlist("a");
  Z.m_Store.put("op", "config", Zone::manifest(3));
  BOOST_TEST((Z.timeUntilDropped("a", 10s) < Bounds.m_DrainTime));
  BOOST_TEST(
      (Z.timeUntil([](const Instance &Member) { return Member.m_Version == 3; },
                   10s) < Bounds.m_ApplyTime));
}

void atManyMoments(Fleet Kind) {
  for (const double Draw : {0.0, 0.5, 0.999})
    for (Duration Moment{}; Moment < 2s; Moment += 130ms)
      BOOST_TEST_CONTEXT("back-off drawn " << Draw << ", moment "
                                           << Moment.count() << " us") {
        changeAfterSilence(Kind, Draw, Moment);
      }
}

} // namespace

// Guards against an instance that sends to an upstream that has left, or
// applies an old table, because its long poll will never be answered.
BOOST_AUTO_TEST_CASE(AForgottenLongPollHidesNoChange) {
  atManyMoments(Fleet::Alone);
}

// Guards against the same at all instances of a zone at once.
BOOST_AUTO_TEST_CASE(AForgottenLongPollOfAReaderHidesNoChange) {
  atManyMoments(Fleet::WithReader);
}

// Guards against the same at instances that read for themselves because the
// zone's readers can't.
BOOST_AUTO_TEST_CASE(AForgottenLongPollOfAFollowerHidesNoChange) {
  atManyMoments(Fleet::ReadersAreCutOff);
}
