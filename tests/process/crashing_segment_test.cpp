/// A segment of prompts that crashes every upstream that begins an answer on
/// it, amid requests that share all else. Real gateways run between a store
/// stand-in and upstreams in the test's own main loop.
#define BOOST_TEST_MODULE crashing_segment
#include "process/restarting_upstream.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *CrashingSegment = "dead";

/// Number of crashes from which runs are bounded.
constexpr std::size_t BoundedFrom = 5;

/// Sound requests are to be served again this long after that crash, and which
/// share of them.
constexpr Duration RecoveryTime = 2 * PropagationTime;
constexpr double MinServedShare = 0.9;

class SegmentFleet : public GatewayFleet {
public:
  SegmentFleet() : GatewayFleet(4) {
    for (int I = 0; I < 8; ++I)
      m_Upstreams.push_back(std::make_unique<RestartingUpstream>(
          I, *this, [](SoupServerMessage *Message) {
            return requestHeader(Message, "X-Prefix-Hash")
                       .find(CrashingSegment) != std::string::npos;
          }));
    BOOST_TEST(startAll());
  }

  /// Sends crashing and sound requests in turn for \p Span, no two alike.
  void sendMixed(Duration Span, const std::string &Path) {
    const TimePoint End = m_Clock.readNow() + Span;
    while (m_Clock.readNow() < End) {
      m_Caller.start(nextRequest(Path, true));
      runFor(15ms);
      sendSound(Path);
      runFor(20ms);
    }
  }

  void sendSound(const std::string &Path) {
    m_Sound.emplace_back(m_Clock.readNow(),
                         m_Caller.start(nextRequest(Path, false)));
  }

  [[nodiscard]] std::size_t runCount() const {
    return sortedTimes(m_Upstreams, &RestartingUpstream::m_Runs).size();
  }

  /// Checks the sound requests that were sent from \p Since on.
  void checkSoundServed(TimePoint Since) const {
    std::size_t Count = 0;
    std::size_t Served = 0;
    for (const auto &[SentAt, Result] : m_Sound) {
      if (SentAt < Since)
        continue;
      ++Count;
      if (Result->m_Status == 200 && !Result->m_ConnectionBroken)
        ++Served;
    }
    BOOST_TEST(Count >= 20U);
    BOOST_TEST(static_cast<double>(Served) >=
                   MinServedShare * static_cast<double>(Count),
               Served << " of " << Count << " sound requests were served");
  }

  std::vector<std::unique_ptr<RestartingUpstream>> m_Upstreams; ///< By number.

private:
  /// All requests share first segments; each has a body and a last segment of
  /// its own.
  Call nextRequest(const std::string &Path, bool IsCrashing) {
    const std::size_t Number = ++m_RequestNumber;
    Call Result = request(Number, Path, "body " + std::to_string(Number));
    std::string &Segments = Result.m_Headers["X-Prefix-Hash"];
    Segments = "a" + std::to_string(Number % 3) + ":200,";
    if (IsCrashing)
      Segments += std::string(CrashingSegment) + ":50,";
    Segments += "b" + std::to_string(Number % 7) + ":140,";
    Segments += "c" + std::to_string(Number) + ":100";
    Result.m_Headers["X-Token-Usage"] = IsCrashing ? "490,50" : "440,50";
    return Result;
  }

  std::size_t m_RequestNumber = 0; ///< Requests sent so far.
  std::vector<std::pair<TimePoint, std::shared_ptr<const CallResult>>>
      m_Sound; ///< Sound requests with the times of their sending.
};

} // namespace

// Guards against a segment that crashes one upstream after another, and against
// a hold of requests that have all but this segment in common.
BOOST_AUTO_TEST_CASE(ASegmentThatCrashesUpstreamsIsStoppedAlone) {
  for (const char *Path :
       {"/streaming/x", "/idempotent/x", "/non_idempotent/x"}) {
    SegmentFleet Fleet;
    Fleet.sendMixed(9s, Path);
    runFor(1s);
    BOOST_TEST_CONTEXT(Path) {
      BOOST_TEST(Fleet.runCount() >= BoundedFrom);
      BOOST_TEST(lateRuns(Fleet.m_Upstreams, BoundedFrom) <= MaxLateRuns);
      Fleet.checkSoundServed(crashTime(Fleet.m_Upstreams, BoundedFrom) +
                             RecoveryTime);
    }
  }
}

// Guards against a hold of a segment that is lost when all gateways restart.
BOOST_AUTO_TEST_CASE(ARestartOfAllForgetsNoSegmentThatCrashesUpstreams) {
  SegmentFleet Fleet;
  Fleet.sendMixed(6s, "/streaming/x");
  Fleet.killAll();
  BOOST_TEST(Fleet.startAll());
  runFor(PropagationTime);
  const std::size_t Before = Fleet.runCount();
  const TimePoint Since = Fleet.m_Clock.readNow();
  Fleet.sendMixed(2s, "/streaming/x");
  runFor(1s);
  BOOST_TEST(Fleet.runCount() - Before == 0U);
  Fleet.checkSoundServed(Since);
}
