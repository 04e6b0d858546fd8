/// New connections that the platform hands almost all to one gateway of nine.
/// Real gateways run between a store stand-in and upstreams in the test's own
/// main loop.
#define BOOST_TEST_MODULE uneven_connections
#include "process/gateway_fleet.h"
#include "process/raw_caller.h"
#include "process/throttle.h"
#include "standin/deferred_answer.h"
#include "unit/descriptor_limit.h"
#include "unit/loopback_peer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t GatewayCount = 9;

/// Gateway that gets the connections.
constexpr std::size_t Favored = 0;

/// From this time on the favored gateway serves what it reads.
constexpr Duration AdaptTime = 3s;

/// Requests are served at the first attempt that a gateway reads this often,
/// compared with an even spread.
constexpr double MinServedRatio = 0.75;

/// An upstream that runs each request for \p RunTime.
class SimpleUpstream {
public:
  SimpleUpstream(const std::string &Name, GatewayFleet &Fleet,
                 Duration RunTime) {
    const Address Listen = freeAddress();
    m_Server.listen(
        Listen, [&Fleet, RunTime](SoupServerMessage *Message, const char *) {
          addSignatureHeaders(Message);
          const auto Open = std::make_shared<DeferredAnswer>(Message);
          Fleet.m_Timers.runAfter(
              RunTime, [Open] { Open->answer(200, "text/plain", "ok"); });
        });
    Fleet.m_Store.put("servers", Name, upstreamRow(Listen, 64, "ready"));
  }

private:
  HttpServer m_Server; ///< For gateways.
};

/// A request of a caller that tries another gateway while its connections are
/// closed without an answer.
struct Attempts {
  static constexpr int Max = 4;
  static constexpr Duration Timeout = 2s; ///< Of each.

  TimePoint m_SentAt;                         ///< First attempt.
  int m_Count = 0;                            ///< So far.
  std::shared_ptr<const CallResult> m_Result; ///< Of the last attempt.

  /// Returns whether the connection was closed before any answer.
  [[nodiscard]] bool isUnread() const {
    return m_Result->m_Ended && m_Result->m_Status == 0 &&
           m_Result->m_Elapsed < Timeout;
  }
  [[nodiscard]] bool isServed() const {
    return m_Result->m_Status == 200 && !m_Result->m_ConnectionBroken;
  }
};

class UnevenFleet : public GatewayFleet {
public:
  explicit UnevenFleet(Duration RunTime) : GatewayFleet(GatewayCount) {
    for (int I = 0; I < 4; ++I)
      m_Upstreams.push_back(std::make_unique<SimpleUpstream>(
          "u-" + std::to_string(I), *this, RunTime));
    BOOST_TEST(startAll());
    runFor(1s);
  }

  /// Opens a connection for each of \p PerSecond requests a second, with the
  /// probability \p ToFavored at the favored gateway.
  void play(Duration Span, int PerSecond, double ToFavored) {
    const TimePoint Begin = m_Clock.readNow();
    for (std::int64_t Sent = 0; m_Clock.readNow() < Begin + Span;) {
      const auto Due =
          (m_Clock.readNow() - Begin) * std::int64_t(PerSecond) / Duration(1s);
      for (; Sent < Due; ++Sent)
        sendNew(ToFavored);
      retryUnread();
      runFor(2ms);
    }
  }

  /// Waits for all answers.
  void finish() {
    for (int Round = 0; Round < 300; ++Round) {
      retryUnread();
      if (std::ranges::all_of(m_Requests, [](const Attempts &Request) {
            return Request.m_Result->m_Ended;
          }))
        return;
      runFor(10ms);
    }
  }

  /// Returns the share of the requests sent between \p Since and \p Until that
  /// the first gateway that read them has served.
  [[nodiscard]] double servedShare(TimePoint Since, TimePoint Until) const {
    double Sent = 0;
    double Served = 0;
    for (const Attempts &Request : m_Requests) {
      if (Request.m_SentAt < Since || Request.m_SentAt >= Until)
        continue;
      ++Sent;
      Served += Request.isServed() ? 1 : 0;
    }
    BOOST_TEST(Sent >= 100);
    return Served / Sent;
  }

private:
  void sendNew(double ToFavored) {
    const bool IsFavored = std::bernoulli_distribution(ToFavored)(m_Random);
    m_Requests.push_back({m_Clock.readNow(), 0, nullptr});
    send(m_Requests.back(), IsFavored ? Favored : drawOther());
  }

  void send(Attempts &Request, std::size_t Gateway) {
    ++Request.m_Count;
    Call Next = request(Gateway, "/idempotent/x", "b");
    Next.m_Timeout = Attempts::Timeout;
    Request.m_Result = m_Caller.start(Next);
  }

  void retryUnread() {
    for (Attempts &Request : m_Requests)
      if (Request.isUnread() && Request.m_Count < Attempts::Max)
        send(Request, drawOther());
  }

  std::size_t drawOther() { return 1 + m_Random() % (GatewayCount - 1); }

  RawCaller m_Caller; ///< Opens the connections.
  std::vector<std::unique_ptr<SimpleUpstream>> m_Upstreams; ///< All.
  std::vector<Attempts> m_Requests;                         ///< In order.
  std::mt19937_64 m_Random{1};                              ///< Of the callers.
};

std::string rawRequest(std::size_t Number) {
  return "POST /idempotent/x HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
         "X-Attempt-Id: k" +
         std::to_string(Number) + "\r\nContent-Length: 1\r\n\r\nb";
}

} // namespace

// Guards against requests that are read by a gateway without the processor time
// to serve them in time.
BOOST_AUTO_TEST_CASE(AGatewayReadsNoMoreThanItCanServe) {
  UnevenFleet Fleet(1ms);
  const Throttle Slowed(Fleet.process(Favored).pid(), 2ms, 100ms);
  const TimePoint Begin = Fleet.m_Clock.readNow();
  Fleet.play(4s, 350, 1.0 / GatewayCount);
  const TimePoint Uneven = Fleet.m_Clock.readNow();
  Fleet.play(10s, 350, 0.9);
  const TimePoint End = Fleet.m_Clock.readNow();
  Fleet.finish();
  const double Before = Fleet.servedShare(Begin, Uneven);
  const double During = Fleet.servedShare(Uneven + AdaptTime, End);
  BOOST_TEST_MESSAGE("served " << Before << " before, " << During);
  BOOST_TEST(During >= MinServedRatio * Before);
}

// Guards against connections of callers that leave no file descriptors for
// calls to upstreams.
BOOST_AUTO_TEST_CASE(KeptConnectionsAreServedBesideManyNewOnes) {
  constexpr std::size_t Limit = 300;
  std::optional<DescriptorLimit> Lowered(Limit);
  UnevenFleet Fleet(100ms);
  Lowered.reset();
  std::vector<std::unique_ptr<Peer>> Kept;
  for (std::size_t I = 0; I < Limit; ++I) {
    Kept.push_back(Peer::connect(Fleet.listenAddress(Favored)));
    Kept.back()->send(rawRequest(I));
    runFor(10ms);
  }
  runFor(1s);
  const std::size_t Closed = std::erase_if(Kept, [](const auto &Connection) {
    return Connection->received().empty() && Connection->isClosed();
  });
  BOOST_TEST(Closed > 0U);
  BOOST_TEST(Kept.size() >= Limit / 3);
  // At once, so that each needs a connection to an upstream.
  for (std::size_t I = 0; I < Kept.size(); ++I)
    Kept[I]->send(rawRequest(Limit + I));
  runFor(1500ms);
  for (const auto &Connection : Kept)
    BOOST_TEST(countOf("200 OK", Connection->received()) == 2U);
}
