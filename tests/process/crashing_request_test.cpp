/// A request that crashes every upstream that runs it. Real gateways run
/// between a store stand-in and upstreams in the test's own main loop.
#define BOOST_TEST_MODULE crashing_request
#include "process/gateway_fleet.h"
#include "standin/deferred_answer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;
using standin::StoreServer;

namespace {

constexpr const char *CrashingBody = "crash";

/// Longest time until all instances know of a crash.
constexpr Duration PropagationTime = 3s;

/// Runs that a request may still have more than PropagationTime after it has
/// crashed three upstreams.
constexpr std::size_t MaxLateRuns = 3;

constexpr Duration CrashDelay = 20ms; ///< From the start of a run to its crash.
constexpr Duration RunTime = 60ms;    ///< Of any other request.
constexpr Duration RestartDelay = 700ms;    ///< Of a crashed upstream.
constexpr Duration EntryRetention = 2500ms; ///< Of a store row after a crash.

/// An upstream that restarts after a crash, on the same address with a new
/// name.
class RestartingUpstream {
public:
  RestartingUpstream(int Number, StoreServer &Store, const Clock &Time,
                     Scheduler &Timers)
      : m_Number(Number), m_ListenAddress(freeAddress()), m_Store(Store),
        m_Clock(Time), m_Timers(Timers) {
    start();
  }

  std::vector<TimePoint> m_Crashes; ///< Times of all crashes.
  std::vector<TimePoint> m_Runs;    ///< Starts of the crashing request.

private:
  void start() {
    m_Name = "u-" + std::to_string(m_Number) + "-" + std::to_string(++m_Starts);
    m_Server = std::make_unique<HttpServer>();
    m_Server->listen(
        m_ListenAddress,
        [this](SoupServerMessage *Message, const char *) { handle(Message); });
    m_Store.put("servers", m_Name, upstreamRow(m_ListenAddress, 8, "ready"));
  }

  void handle(SoupServerMessage *Message) {
    addSignatureHeaders(Message);
    const auto Deferred = std::make_shared<DeferredAnswer>(Message);
    m_OpenAnswers.push_back(Deferred);
    if (requestBody(Message) == CrashingBody) {
      m_Runs.push_back(m_Clock.readNow());
      m_Timers.runAfter(CrashDelay, [this, Start = m_Starts] {
        if (m_Server != nullptr && Start == m_Starts)
          crash();
      });
      return;
    }
    m_Timers.runAfter(
        RunTime, [Deferred] { Deferred->answer(200, "text/plain", "ok"); });
  }

  void crash() {
    m_Crashes.push_back(m_Clock.readNow());
    for (const auto &Answer : m_OpenAnswers)
      Answer->closeConnection();
    m_OpenAnswers.clear();
    m_Server = nullptr;
    m_Timers.runAfter(RestartDelay, [this] { start(); });
    m_Timers.runAfter(EntryRetention, [this, Name = m_Name] {
      m_Store.put("servers", Name, "");
    });
  }

  int m_Number;                         ///< From 0.
  int m_Starts = 0;                     ///< Number of starts so far.
  std::string m_Name;                   ///< Changes with each start.
  Address m_ListenAddress;              ///< The same for all starts.
  StoreServer &m_Store;                 ///< Outlives it.
  const Clock &m_Clock;                 ///< Outlives it.
  Scheduler &m_Timers;                  ///< Outlives it.
  std::unique_ptr<HttpServer> m_Server; ///< Null between a crash and a start.
  std::vector<std::shared_ptr<DeferredAnswer>>
      m_OpenAnswers; ///< Of this start.
};

struct CrashTestFleet : GatewayFleet {
  std::vector<std::unique_ptr<RestartingUpstream>>
      m_Upstreams; ///< All upstreams.

  CrashTestFleet() : GatewayFleet(4) {
    for (int I = 0; I < 8; ++I)
      m_Upstreams.push_back(
          std::make_unique<RestartingUpstream>(I, m_Store, m_Clock, m_Timers));
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

  std::vector<TimePoint>
  sortedTimes(std::vector<TimePoint> RestartingUpstream::*Times) const {
    std::vector<TimePoint> Result;
    for (const auto &Upstream : m_Upstreams)
      Result.insert(Result.end(), ((*Upstream).*Times).begin(),
                    ((*Upstream).*Times).end());
    std::sort(Result.begin(), Result.end());
    return Result;
  }

  /// Returns the number of runs that started more than PropagationTime after
  /// the third crash.
  [[nodiscard]] std::size_t lateRuns() const {
    const auto Crashes = sortedTimes(&RestartingUpstream::m_Crashes);
    if (Crashes.size() < 3)
      return 0;
    const auto Runs = sortedTimes(&RestartingUpstream::m_Runs);
    return static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(), [&](TimePoint Run) {
          return Run > Crashes[2] + PropagationTime;
        }));
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
    BOOST_TEST(TestFleet.sortedTimes(&RestartingUpstream::m_Crashes).size() >=
               3U);
    BOOST_TEST(TestFleet.lateRuns() <= MaxLateRuns);
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
      TestFleet.sortedTimes(&RestartingUpstream::m_Runs).size();
  TestFleet.sendCrashing(2s, "/idempotent/x");
  BOOST_TEST(
      TestFleet.sortedTimes(&RestartingUpstream::m_Runs).size() - Before == 0U);
  TestFleet.checkOthersServed();
}
