/// How long it takes until every instance knows that upstreams leave, by the
/// number of instances that one reader reads for and of upstreams that leave
/// together.
#define BOOST_TEST_MODULE leave_latency
#include "unit/directory_zone.h"

using namespace crowstep;
using namespace crowstep::test;
using Mode = SimulatedStore::Mode;

namespace {

/// Times within which a change must be known, in steady state and after an
/// outage.
constexpr StoreBounds Bounds = {2s, 2s, 3s};

/// Instances that share a reader in fleets of 9, 90 and 300.
constexpr std::size_t InstanceCounts[] = {9, 23, 50};

constexpr std::size_t UpstreamCount = 100;

std::string nameOf(std::size_t Number) { return "e" + std::to_string(Number); }

struct Fleet : Zone {
  explicit Fleet(std::size_t Instances) : Zone(Instances, 0.5, Bounds) {
    for (std::size_t I = 0; I < UpstreamCount; ++I)
      list(nameOf(I));
    m_Timers.advance(5s);
  }

  /// Lets \p Count upstreams drain at once; returns the time until all
  /// instances know.
  Duration drain(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      list(nameOf(I), "draining");
    return timeUntil(
        [Count](const Instance &Member) {
          for (std::size_t I = 0; I < Count; ++I)
            if (Member.m_Names.contains(nameOf(I)))
              return false;
          return true;
        },
        10s);
  }
};

/// Plays \p Trouble and then leaves of one, a tenth and half of the upstreams,
/// in fleets of all sizes.
template <typename Job> void checkLatency(Job Trouble) {
  for (const std::size_t Instances : InstanceCounts)
    for (const std::size_t Leaving :
         {std::size_t(1), UpstreamCount / 10, UpstreamCount / 2})
      for (Duration Moment{}; Moment < 1s; Moment += 170ms)
        BOOST_TEST_CONTEXT(Leaving << " leave, " << Instances
                                   << " instances, moment " << Moment.count()) {
          Fleet Test(Instances);
          Test.m_Timers.advance(Moment);
          Trouble(Test);
          const Duration Latency = Test.drain(Leaving);
          BOOST_TEST((Latency < Bounds.m_DrainTime));
          BOOST_TEST_MESSAGE(Instances << " instances, " << Leaving << ": "
                                       << Latency.count() << " us");
        }
}

} // namespace

// Guards against leaves that are known late although nothing fails.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTime) {
  checkLatency([](Fleet &) {});
}

// Guards against leaves that are known late because the reader waits for more
// changes after the one before.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeAfterAnotherChange) {
  checkLatency([](Fleet &Test) {
    Test.list("other");
    Test.m_Timers.advance(10ms);
  });
}

// Guards against leaves that are known late where the store takes long.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeWhereTheStoreIsSlow) {
  checkLatency([](Fleet &Test) {
    Test.m_Store.setAnswerTime(400ms);
    Test.m_Timers.advance(Bounds.m_SettleTime);
  });
}

// Guards against leaves that are known late after an outage of the store that
// no call has met.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeAfterASilence) {
  checkLatency([](Fleet &Test) {
    Test.m_Store.setMode(Mode::Silent);
    Test.m_Timers.advance(300ms);
    Test.m_Store.forgetLongPolls();
    Test.m_Timers.advance(300ms);
    Test.m_Store.setMode(Mode::Up);
    Test.m_Timers.advance(Bounds.m_SettleTime);
  });
}

// Guards against leaves that are known late because the history is lost in the
// same moment.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeWhileTheHistoryIsLost) {
  checkLatency([](Fleet &Test) { Test.m_Store.dropHistory(); });
}

// Guards against leaves that are known late because the reader is lost in the
// same moment.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeWhileTheReaderIsLost) {
  checkLatency([](Fleet &Test) {
    Test.list("other");
    Test.m_Timers.advance(10ms);
    Test.m_Members[0]->m_Access = StoreAccess::Cut;
    Test.m_Members[0]->m_LinksCut = true;
  });
}

// Guards against leaves that are known late because the reader has just come
// back with what it knew before.
BOOST_AUTO_TEST_CASE(LeavesAreKnownInTimeAsTheReaderReturns) {
  checkLatency([](Fleet &Test) {
    Instance &Reader = *Test.m_Members[0];
    Reader.m_Access = StoreAccess::Cut;
    Reader.m_LinksCut = true;
    Test.m_Timers.advance(5s);
    Reader.m_Access = StoreAccess::Open;
    Reader.m_LinksCut = false;
    Test.m_Timers.advance(Bounds.m_SettleTime);
  });
}
