/// Conversion of the store's times to the local clock.
#define BOOST_TEST_MODULE store_clock
#include "store_clock.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace std::chrono_literals;

// Guards against stale updates that look fresh because the answer to a call of
// this instance was slow.
BOOST_AUTO_TEST_CASE(SlowAnswersMakeNothingFresher) {
  StoreClock Clock;
  const TimePoint Begin{100s};
  BOOST_TEST(!Clock.earliestLocalTime(7000ms, Begin).has_value());
  Clock.recordAnswer(Begin, 7900ms);
  BOOST_TEST((*Clock.earliestLocalTime(7900ms, Begin + 1s) == Begin));
  Clock.recordAnswer(Begin + 2s, 9002ms);
  BOOST_TEST((*Clock.earliestLocalTime(10002ms, Begin + 4s) == Begin + 3s));
  // A slow answer after a fast one.
  Clock.recordAnswer(Begin + 5s, 14000ms);
  BOOST_TEST((*Clock.earliestLocalTime(14002ms, Begin + 8s) == Begin + 7s));
}

// Guards against stale updates that look fresh after the machine was suspended
// and its clock stopped.
BOOST_AUTO_TEST_CASE(ASuspendedMachineKnowsNoTimes) {
  StoreClock Clock;
  const TimePoint Begin{100s};
  Clock.recordAnswer(Begin, 7000ms);
  BOOST_TEST(!Clock.earliestLocalTime(12000ms, Begin + 1s).has_value());
  BOOST_TEST(!Clock.earliestLocalTime(7000ms, Begin + 1s).has_value());
  Clock.recordAnswer(Begin + 1s, 12001ms);
  BOOST_TEST((*Clock.earliestLocalTime(12001ms, Begin + 2s) == Begin + 1s));
}
