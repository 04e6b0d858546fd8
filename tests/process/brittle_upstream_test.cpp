/// Upstreams that state that they are brittle, with real gateways.
#define BOOST_TEST_MODULE brittle_upstream
#include "process/scripted_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Longest time from the first statement until all instances act by it.
constexpr Duration PropagationTime = 3s;

constexpr double RejectionLimit = 5;

/// Returns the largest number of rejections in a second from \p Begin on.
std::ptrdiff_t mostRejections(const ScriptedUpstream &At, TimePoint Begin) {
  const auto &Arrivals = At.m_Arrivals;
  std::ptrdiff_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First)
    if (First->m_Time >= Begin)
      Most = std::max(
          Most, std::count_if(First, Arrivals.end(), [&](const auto &Arrival) {
            return Arrival.m_Refused && Arrival.m_Time < First->m_Time + 1s;
          }));
  return Most;
}

} // namespace

// Guards against gateways that together make a brittle upstream fall over.
BOOST_AUTO_TEST_CASE(ABrittleUpstreamRejectsLittle) {
  GatewayFleet Fleet(4);
  ScriptedUpstream First("u-1", Fleet);
  ScriptedUpstream Second("u-2", Fleet);
  BOOST_TEST(Fleet.startAll());
  sendLoad(Fleet, 4s, 10ms); // Until all gateways know one another.
  // Calls of 100 ms in 16 slots; a load of a quarter more than they bear.
  for (ScriptedUpstream *Upstream : {&First, &Second}) {
    Upstream->m_Brittle = RejectionLimit;
    Upstream->m_Room = 8;
  }
  const TimePoint Stated = Fleet.m_Clock.readNow();
  sendLoad(Fleet, PropagationTime + 6s, 5ms);
  for (const ScriptedUpstream *Upstream : {&First, &Second}) {
    BOOST_TEST(static_cast<double>(mostRejections(
                   *Upstream, Stated + PropagationTime)) <= RejectionLimit);
    const auto Served =
        std::ranges::count_if(Upstream->m_Arrivals, [&](const auto &Arrival) {
          return !Arrival.m_Refused &&
                 Arrival.m_Time > Stated + PropagationTime;
        });
    // Half of what it could serve.
    BOOST_TEST(Served > 6 * 40);
  }
}
