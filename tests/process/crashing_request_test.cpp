/// A request that crashes every upstream that runs it. Real gateways run
/// between a store stand-in and upstreams in the test's own main loop.
#define BOOST_TEST_MODULE crashing_request
#include "process/restarting_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *CrashingBody = "crash";

/// Number of crashes from which runs are bounded.
constexpr std::size_t BoundedFrom = 3;

struct CrashTestFleet : GatewayFleet {
  std::vector<std::unique_ptr<RestartingUpstream>>
      m_Upstreams; ///< All upstreams.

  CrashTestFleet() : GatewayFleet(4) {
    for (int I = 0; I < 8; ++I)
      m_Upstreams.push_back(std::make_unique<RestartingUpstream>(
          I, *this, [](SoupServerMessage *Message) {
            return requestBody(Message) == CrashingBody;
          }));
    BOOST_TEST(startAll());
  }

  /// Sends the crashing request every 50 ms, to the gateways in turn.
  void sendCrashing(Duration Span, const std::string &Path) {
    const TimePoint End = m_Clock.readNow() + Span;
    for (std::size_t I = 0; m_Clock.readNow() < End; ++I) {
      m_Caller.start(request(I, Path, CrashingBody));
      runFor(50ms);
    }
  }

  /// Checks that every gateway serves a different request of the same caller on
  /// the idempotent path.
  void checkOthersServed() {
    for (std::size_t I = 0; I < size(); ++I)
      BOOST_TEST(m_Caller.call(request(I, "/idempotent/x", "other")).m_Status ==
                 200U);
  }

  void checkCrashingRefused(const std::string &Path) {
    for (std::size_t I = 0; I < size(); ++I) {
      const CallResult Answer = m_Caller.call(request(I, Path, CrashingBody));
      BOOST_TEST(Answer.m_Status == 503U);
      BOOST_TEST(!Answer.m_RetryAfter.empty());
      BOOST_TEST((Answer.m_Elapsed < 100ms));
    }
  }
};

} // namespace

// Guards against a request that crashes one upstream after another.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsIsStopped) {
  for (const char *Path : {"/idempotent/x", "/non_idempotent/x"}) {
    CrashTestFleet TestFleet;
    TestFleet.sendCrashing(8s, Path);
    BOOST_TEST(
        sortedTimes(TestFleet.m_Upstreams, &RestartingUpstream::m_Crashes)
            .size() >= BoundedFrom);
    BOOST_TEST(lateRuns(TestFleet.m_Upstreams, BoundedFrom) <= MaxLateRuns);
    TestFleet.checkOthersServed();
    TestFleet.checkCrashingRefused(Path);
  }
}

// Guards against a quarantine that is lost when all gateways restart.
BOOST_AUTO_TEST_CASE(ARestartOfAllForgetsNoRequestThatCrashesUpstreams) {
  CrashTestFleet TestFleet;
  TestFleet.sendCrashing(6s, "/idempotent/x");
  TestFleet.killAll();
  BOOST_TEST(TestFleet.startAll());
  runFor(PropagationTime);
  const std::size_t Before =
      sortedTimes(TestFleet.m_Upstreams, &RestartingUpstream::m_Runs).size();
  TestFleet.sendCrashing(2s, "/idempotent/x");
  BOOST_TEST(
      sortedTimes(TestFleet.m_Upstreams, &RestartingUpstream::m_Runs).size() -
          Before ==
      0U);
  TestFleet.checkOthersServed();
}
