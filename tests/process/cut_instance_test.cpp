/// Gateways that can't reach the upstreams, with real processes: the kernel
/// drops what they send there.
#define BOOST_TEST_MODULE cut_instance
#include "process/scripted_upstream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration CallInterval = 15ms;

/// Within this time paths are found to be lost, and to have returned.
constexpr Duration DetectionTime = 1s;
constexpr Duration ReturnTime = 5s;

/// The upstreams are on machines of their own.
constexpr std::uint32_t UpstreamNet = INADDR_LOOPBACK + 0x100;

struct CutFleet : GatewayFleet {
  ScriptedUpstream m_First{"u-1", *this, UpstreamNet};
  ScriptedUpstream m_Second{"u-2", *this, UpstreamNet + 1};
  ScriptedUpstream m_Third{"u-3", *this, UpstreamNet + 2};
  std::vector<std::shared_ptr<const CallResult>> m_Results; ///< Of play().
  std::vector<std::string> m_Paths;                         ///< As m_Results.

  CutFleet() : GatewayFleet(4) {
    BOOST_TEST(startAll());
    sendLoad(*this, 4s, CallInterval); // Until all gateways know one another.
  }

  /// Cuts the paths of these gateways to all upstreams.
  void cut(const std::set<std::size_t> &Gateways) {
    std::set<std::uint32_t> Ips;
    for (const std::size_t Gateway : Gateways)
      Ips.insert(sourceOf(Gateway).m_Ip);
    for (ScriptedUpstream *Upstream : {&m_First, &m_Second, &m_Third})
      Upstream->m_Path->setCutClients(Ips);
  }

  /// Sends requests to one gateway, half of which may run once only.
  void play(std::size_t Gateway, Duration Span) {
    const TimePoint End = m_Clock.readNow() + Span;
    while (m_Clock.readNow() < End) {
      const std::string Kind =
          m_Results.size() % 2 == 0 ? "/non_idempotent/" : "/idempotent/";
      m_Paths.push_back(Kind + "n" + std::to_string(m_Results.size()));
      m_Results.push_back(
          m_Caller.start(request(Gateway, m_Paths.back(), "b")));
      runFor(CallInterval);
    }
  }

  /// Waits for all answers and returns the share of the requests from \p Begin
  /// on that were served.
  double servedShare(std::size_t Begin = 0) {
    runFor(2500ms);
    std::size_t Served = 0;
    for (std::size_t I = Begin; I < m_Results.size(); ++I)
      Served += m_Results[I]->m_Ended && m_Results[I]->m_Status == 200 ? 1 : 0;
    return static_cast<double>(Served) /
           static_cast<double>(m_Results.size() - Begin);
  }

  /// Checks that no request that may run once has run again.
  void checkRuns() const {
    std::multiset<std::string> Ran;
    for (const ScriptedUpstream *Upstream : {&m_First, &m_Second, &m_Third})
      for (const auto &Arrival : Upstream->m_Arrivals)
        Ran.insert(Arrival.m_Path);
    for (const std::string &Path : m_Paths)
      if (Path.starts_with("/non_idempotent/"))
        BOOST_TEST(Ran.count(Path) <= 1U);
  }
};

} // namespace

// Guards against refusals by a gateway that no upstream answers.
BOOST_AUTO_TEST_CASE(CallersOfACutGatewayAreServed) {
  CutFleet Fleet;
  Fleet.cut({0});
  Fleet.play(0, DetectionTime);
  const std::size_t Begin = Fleet.m_Results.size();
  Fleet.play(0, 4s);
  Fleet.cut({});
  Fleet.play(0, ReturnTime);
  BOOST_TEST(Fleet.servedShare(Begin) >= 0.98);
  Fleet.checkRuns();
}

// Guards against a fleet of which a part is cut and the rest fails with it.
BOOST_AUTO_TEST_CASE(CallersOfMostGatewaysAreServed) {
  CutFleet Fleet;
  Fleet.cut({0, 1, 2});
  for (const std::size_t Gateway : {0U, 1U, 2U, 3U})
    Fleet.play(Gateway, DetectionTime);
  const std::size_t Begin = Fleet.m_Results.size();
  for (int Round = 0; Round < 3; ++Round)
    for (const std::size_t Gateway : {0U, 1U, 2U, 3U})
      Fleet.play(Gateway, 500ms);
  BOOST_TEST(Fleet.servedShare(Begin) >= 0.98);
  Fleet.checkRuns();
}

// Guards against calls that are lost with the gateway that carries them.
BOOST_AUTO_TEST_CASE(AGatewayThatCarriesCallsIsKilled) {
  CutFleet Fleet;
  Fleet.cut({0});
  Fleet.play(0, DetectionTime);
  const std::size_t Begin = Fleet.m_Results.size();
  Fleet.play(0, 1s);
  Fleet.process(1).signal(SIGKILL);
  Fleet.play(0, 2s);
  // Calls that may run once and were under way at the killed gateway are lost.
  BOOST_TEST(Fleet.servedShare(Begin) >= 0.95);
  Fleet.checkRuns();
}

// Guards against a stop that cuts the calls of another gateway.
BOOST_AUTO_TEST_CASE(AGatewayThatCarriesCallsIsStopped) {
  CutFleet Fleet;
  Fleet.cut({0});
  Fleet.play(0, DetectionTime);
  const std::size_t Begin = Fleet.m_Results.size();
  Fleet.play(0, 1s);
  Fleet.process(1).signal(SIGTERM);
  Fleet.play(0, 1s);
  Fleet.process(2).signal(SIGTERM);
  Fleet.play(0, 1s);
  BOOST_TEST(Fleet.servedShare(Begin) == 1.0);
  Fleet.checkRuns();
}

// Guards against calls that wait for a gateway that stands still.
BOOST_AUTO_TEST_CASE(AGatewayThatCarriesCallsStandsStill) {
  CutFleet Fleet;
  Fleet.cut({0});
  Fleet.play(0, DetectionTime);
  Fleet.process(1).signal(SIGSTOP);
  Fleet.play(0, 1500ms);
  const std::size_t Begin = Fleet.m_Results.size();
  Fleet.play(0, 1500ms);
  Fleet.process(1).signal(SIGCONT);
  Fleet.play(0, 1s);
  BOOST_TEST(Fleet.servedShare(Begin) >= 0.98);
  Fleet.checkRuns();
}
