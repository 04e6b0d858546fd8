/// Upstreams that announce a limit on the rate of requests from all instances
/// together, with real gateways.
#define BOOST_TEST_MODULE limited_upstream
#include "process/gateway_fleet.h"
#include "standin/deferred_answer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// Longest time from the first announcement of a limit until all instances keep
/// it.
constexpr Duration PropagationTime = 3s;

/// The limit must hold in any window of this length, within a tolerance.
constexpr Duration Window = 4s;
constexpr double RateFactor = 1.5;
constexpr double RateSlack = 5;

constexpr Duration CallInterval = 20ms;

/// Long enough that calls overlap, so that all upstreams get some.
constexpr Duration RunTime = 100ms;

/// An upstream that announces its limit with every answer while it has one.
class Upstream {
public:
  Upstream(const std::string &Name, GatewayFleet &Fleet)
      : m_Clock(Fleet.m_Clock), m_Timers(Fleet.m_Timers) {
    const Address Listen = freeAddress();
    m_Server.listen(Listen, [this](SoupServerMessage *Message, const char *) {
      handle(Message);
    });
    Fleet.m_Store.put("servers", Name, upstreamRow(Listen, 8, "ready"));
  }

  std::optional<double> m_Limit;     ///< Requests per second.
  std::vector<TimePoint> m_Arrivals; ///< Of all requests.

  /// Returns the largest number of arrivals in any window that starts at
  /// \p Begin or later.
  [[nodiscard]] std::ptrdiff_t maxArrivalsInWindow(TimePoint Begin) const {
    std::ptrdiff_t Most = 0;
    for (auto First = m_Arrivals.begin(); First != m_Arrivals.end(); ++First)
      if (*First >= Begin)
        Most = std::max(
            Most,
            std::upper_bound(First, m_Arrivals.end(), *First + Window) - First);
    return Most;
  }

private:
  void handle(SoupServerMessage *Message) {
    m_Arrivals.push_back(m_Clock.readNow());
    addSignatureHeaders(Message);
    if (m_Limit)
      soup_message_headers_replace(
          soup_server_message_get_response_headers(Message), "Server-Limit",
          std::to_string(*m_Limit).c_str());
    const auto Deferred = std::make_shared<DeferredAnswer>(Message);
    m_OpenAnswers.push_back(Deferred);
    m_Timers.runAfter(RunTime, [Weak = std::weak_ptr(Deferred)] {
      if (const auto Open = Weak.lock())
        Open->answer(200, "text/plain", "ok");
    });
  }

  const Clock &m_Clock;                                       ///< Outlives it.
  Scheduler &m_Timers;                                        ///< Outlives it.
  HttpServer m_Server;                                        ///< For gateways.
  std::vector<std::shared_ptr<DeferredAnswer>> m_OpenAnswers; ///< All so far.
};

struct LimitTestFleet : GatewayFleet {
  Upstream m_First{"u-1", *this};
  Upstream m_Second{"u-2", *this};

  LimitTestFleet() : GatewayFleet(6) {
    BOOST_TEST(startAll());
    sendLoad(4s); // Until all gateways know one another.
  }

  /// Sends a request every CallInterval, to the gateways in turn.
  void sendLoad(Duration Span) {
    const TimePoint End = m_Clock.readNow() + Span;
    for (std::size_t I = 0; m_Clock.readNow() < End; ++I) {
      m_Caller.start(request(I, "/idempotent/x", "b"));
      runFor(CallInterval);
    }
  }

  /// Lets the first upstream announce \p Limit under load; returns whether the
  /// gateways kept it.
  bool keepsLimit(double Limit) {
    m_First.m_Limit = Limit;
    const TimePoint Stated = m_Clock.readNow();
    sendLoad(PropagationTime + 2 * Window);
    const double Allowed =
        RateFactor * Limit * std::chrono::duration<double>(Window).count() +
        RateSlack;
    const auto Most = m_First.maxArrivalsInWindow(Stated + PropagationTime);
    BOOST_TEST_MESSAGE("limit " << Limit << ": " << Most << " of " << Allowed);
    return static_cast<double>(Most) <= Allowed;
  }
};

} // namespace

// Guards against instances that together exceed the limit of an upstream.
BOOST_AUTO_TEST_CASE(AStatedLimitIsKeptByAllInstances) {
  for (const double Limit : {1.0, 4.0}) {
    LimitTestFleet TestFleet;
    BOOST_TEST(TestFleet.keepsLimit(Limit));
    BOOST_TEST(TestFleet.m_Second.m_Arrivals.size() > 100U);
  }
}

// Guards against a limit that stays in force after the upstream has stopped
// announcing it.
BOOST_AUTO_TEST_CASE(AnUpstreamWhoseLimitEndsIsUsedAgain) {
  LimitTestFleet TestFleet;
  BOOST_TEST(TestFleet.keepsLimit(1));
  TestFleet.m_First.m_Limit = std::nullopt;
  TestFleet.sendLoad(3s);
  const auto Before = TestFleet.m_First.m_Arrivals.size();
  TestFleet.sendLoad(2s);
  BOOST_TEST(TestFleet.m_First.m_Arrivals.size() - Before > 20U);
}
