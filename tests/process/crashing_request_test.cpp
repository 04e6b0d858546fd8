/// Requests that crash the upstreams that run them, at real gateways between a
/// stand-in of the store and upstreams in the test's own loop.
#define BOOST_TEST_MODULE crashing_request
#include "process/gateway_fleet.h"
#include "standin/held_answer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;
using standin::StoreServer;

namespace {

constexpr const char *CrashingBody = "crash";

/// Instances know of a crash this long after it.
constexpr Duration Contact = 3s;

/// Runs that a request may still have after it has crashed three upstreams.
constexpr std::size_t RunsAfter = 3;

constexpr Duration CrashAfter = 20ms;   ///< A run of the crashing request.
constexpr Duration RunTime = 60ms;      ///< A run of any other.
constexpr Duration BackAfter = 700ms;   ///< A crashed upstream.
constexpr Duration EntryLasts = 2500ms; ///< In the store after a crash.

/// A place of an upstream, which starts again after a crash under another name.
class Seat {
public:
  Seat(int Number, StoreServer &Store, const Clock &Time, Scheduler &Timers)
      : m_Number(Number), m_Where(freeAddress()), m_Store(Store), m_Clock(Time),
        m_Timers(Timers) {
    start();
  }

  std::vector<TimePoint> m_Crashes; ///< So far.
  std::vector<TimePoint> m_Runs;    ///< Of the crashing request.

private:
  void start() {
    m_Name = "u-" + std::to_string(m_Number) + "-" + std::to_string(++m_Starts);
    m_Server = std::make_unique<HttpServer>();
    m_Server->listen(m_Where, [this](SoupServerMessage *Message, const char *) {
      handle(Message);
    });
    m_Store.put("servers", m_Name, upstreamRow(m_Where, 8, "ready"));
  }

  void handle(SoupServerMessage *Message) {
    signAnswer(Message);
    const auto Held = std::make_shared<HeldAnswer>(Message);
    m_Open.push_back(Held);
    if (requestBody(Message) == CrashingBody) {
      m_Runs.push_back(m_Clock.fresh());
      m_Timers.after(CrashAfter, [this, Start = m_Starts] {
        if (m_Server != nullptr && Start == m_Starts)
          crash();
      });
      return;
    }
    m_Timers.after(RunTime, [Held] { Held->answer(200, "text/plain", "ok"); });
  }

  void crash() {
    m_Crashes.push_back(m_Clock.fresh());
    for (const auto &Each : m_Open)
      Each->cut();
    m_Open.clear();
    m_Server = nullptr;
    m_Timers.after(BackAfter, [this] { start(); });
    m_Timers.after(EntryLasts,
                   [this, Gone = m_Name] { m_Store.put("servers", Gone, ""); });
  }

  int m_Number;                                    ///< From 0.
  int m_Starts = 0;                                ///< So far.
  std::string m_Name;                              ///< Of this start.
  Address m_Where;                                 ///< The same for all starts.
  StoreServer &m_Store;                            ///< Outlives it.
  const Clock &m_Clock;                            ///< Outlives it.
  Scheduler &m_Timers;                             ///< Outlives it.
  std::unique_ptr<HttpServer> m_Server;            ///< Null while it is down.
  std::vector<std::shared_ptr<HeldAnswer>> m_Open; ///< Of this start.
};

struct World : GatewayFleet {
  std::vector<std::unique_ptr<Seat>> m_Seats; ///< Of upstreams.

  World() : GatewayFleet(4) {
    for (int I = 0; I < 8; ++I)
      m_Seats.push_back(std::make_unique<Seat>(I, m_Store, m_Clock, m_Timers));
    BOOST_TEST(startAll());
  }

  /// The crashing request comes again and again, at one gateway after the
  /// other.
  void sendCrashing(Duration Span, const std::string &Path) {
    const TimePoint End = m_Clock.fresh() + Span;
    for (std::size_t I = 0; m_Clock.fresh() < End; ++I) {
      m_Caller.start(request(I, Path, CrashingBody));
      runFor(50ms);
    }
  }

  std::vector<TimePoint> all(std::vector<TimePoint> Seat::*What) const {
    std::vector<TimePoint> Result;
    for (const auto &Each : m_Seats)
      Result.insert(Result.end(), ((*Each).*What).begin(),
                    ((*Each).*What).end());
    std::sort(Result.begin(), Result.end());
    return Result;
  }

  /// Runs that came too late after the third crash.
  [[nodiscard]] std::size_t lateRuns() const {
    const auto Crashes = all(&Seat::m_Crashes);
    if (Crashes.size() < 3)
      return 0;
    const auto Runs = all(&Seat::m_Runs);
    return static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(), [&](TimePoint Each) {
          return Each > Crashes[2] + Contact;
        }));
  }

  /// Every gateway serves another request of the same caller on the same path.
  void othersAreServed() {
    for (std::size_t I = 0; I < size(); ++I)
      BOOST_TEST(m_Caller.call(request(I, "/idempotent/x", "other")).m_Status ==
                 200U);
  }

  void crashingIsRefused(const std::string &Path) {
    for (std::size_t I = 0; I < size(); ++I) {
      const Told Answer = m_Caller.call(request(I, Path, CrashingBody));
      BOOST_TEST(Answer.m_Status == 503U);
      BOOST_TEST(!Answer.m_RetryAfter.empty());
      BOOST_TEST((Answer.m_Elapsed < 100ms));
    }
  }
};

} // namespace

// Guards against a request that takes down one upstream after the other.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsIsStopped) {
  for (const char *Path : {"/idempotent/x", "/non_idempotent/x"}) {
    World It;
    It.sendCrashing(8s, Path);
    BOOST_TEST(It.all(&Seat::m_Crashes).size() >= 3U);
    BOOST_TEST(It.lateRuns() <= RunsAfter);
    It.othersAreServed();
    It.crashingIsRefused(Path);
  }
}

// Guards against a fleet that forgets such a request when all of it restarts.
BOOST_AUTO_TEST_CASE(ARestartOfAllForgetsNoRequestThatCrashesUpstreams) {
  World It;
  It.sendCrashing(6s, "/idempotent/x");
  It.killAll();
  BOOST_TEST(It.startAll());
  runFor(Contact);
  const std::size_t Before = It.all(&Seat::m_Runs).size();
  It.sendCrashing(2s, "/idempotent/x");
  BOOST_TEST(It.all(&Seat::m_Runs).size() - Before == 0U);
  It.othersAreServed();
}
