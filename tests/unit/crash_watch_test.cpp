/// Consequences of broken calls: probes, and the list of quarantined requests.
#define BOOST_TEST_MODULE crash_watch
#include "gateway/crash_watch.h"
#include "unit/captured_log.h"
#include "unit/fake_prober.h"

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

/// Counts writes, which have no effect.
class FakeDirectory final : public Directory {
public:
  void start(DirectoryListener &, const PeerInstance &) override {}
  void deregister() override {}
  void listQuarantined(const ContentHash &) override { ++m_Listed; }
  void unlistQuarantined(const ContentHash &) override { ++m_Unlisted; }
  void registerSoftware(const std::string &, const std::string &) override {}
  void unregisterSoftware(const std::string &, const std::string &) override {}
  void setReadingRole(ReadingRole) override {}
  void confirmSoftware(const ConfirmCallback &) override {}
  void receiveUpdate(const DirectoryUpdate &) override {}

  int m_Listed = 0;   ///< Writes.
  int m_Unlisted = 0; ///< Removals.
};

constexpr ContentHash Request{1, 1};

struct TestEnv {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  balance::Balancer m_Balancer{{"a"}};
  test::FakeProber m_Prober;
  Metrics m_Metrics;
  FakeDirectory m_Directory;
  CrashWatch m_Watch{m_Clock, m_Timers, m_Balancer, m_Prober, m_Metrics};

  TestEnv() {
    m_Timers.advance(100s);
    m_Watch.start(m_Directory);
    listUpstreams({"u-1", "u-2", "u-3"});
  }

  void listUpstreams(const std::vector<std::string> &Names,
                     bool Draining = false) {
    std::vector<Upstream> All;
    All.reserve(Names.size());
    for (const std::string &Name : Names)
      All.push_back({upstreamIdOf(Name),
                     Name,
                     "s",
                     {1, 1},
                     {"a"},
                     PlainService{4},
                     Draining});
    m_Watch.upstreamsChanged(All);
    m_Balancer.setUpstreams(All);
  }

  /// The connection of a call of the request breaks at \p Name.
  void breakCall(const std::string &Name) {
    const UpstreamId Id = upstreamIdOf(Name);
    m_Balancer.quarantine().recordBrokenCall(
        {{Request, {}}, Id, incarnationOf(Id, std::nullopt)}, m_Clock.now());
    m_Watch.handleBrokenCall(upstreamIdOf(Name), Name, {1, 1});
  }

  void crashUpstream(const std::string &Name) {
    breakCall(Name);
    m_Prober.m_Callbacks.back()(ConnectOutcome::Refused);
  }

  [[nodiscard]] std::size_t crashCount() {
    return m_Balancer.quarantine().crashCount(Request);
  }
};

} // namespace

// Guards against a probe for each of the calls that broke at one upstream.
BOOST_AUTO_TEST_CASE(OneProbeServesAllBrokenCalls) {
  TestEnv Env;
  Env.breakCall("u-1");
  Env.breakCall("u-1");
  BOOST_TEST(Env.m_Prober.m_Callbacks.size() == 1U);
  Env.m_Prober.m_Callbacks[0](ConnectOutcome::Refused);
  BOOST_TEST(Env.crashCount() == 1U);
  Env.breakCall("u-1");
  BOOST_TEST(Env.m_Prober.m_Callbacks.size() == 2U);
}

// Guards against a crash that is missed because the upstream is up again before
// it is probed, and against a drained upstream that counts as crashed.
BOOST_AUTO_TEST_CASE(RemovalWithoutDrainingIsACrash) {
  TestEnv Env;
  Env.breakCall("u-1");
  Env.m_Prober.m_Callbacks[0](ConnectOutcome::Connected);
  BOOST_TEST(Env.crashCount() == 0U);
  Env.listUpstreams({"u-2", "u-3"});
  BOOST_TEST(Env.crashCount() == 1U);
  Env.breakCall("u-2");
  Env.listUpstreams({"u-2", "u-3"}, true);
  Env.listUpstreams({});
  BOOST_TEST(Env.crashCount() == 1U);
}

// Guards against a log that doesn't name an upstream which was unlisted before
// its probe ended.
BOOST_AUTO_TEST_CASE(AnUnlistedUpstreamIsNamedInTheLog) {
  const test::CapturedLog Log;
  TestEnv Env;
  Env.breakCall("u-1");
  Env.listUpstreams({"u-1"}, true);
  Env.listUpstreams({});
  Env.m_Prober.m_Callbacks[0](ConnectOutcome::Refused);
  BOOST_TEST(Log.read().find(R"("upstream":"u-1")") != std::string::npos);
}

// Guards against a quarantine that is listed too late to survive the loss of
// all instances, or whose write is lost and not repeated.
BOOST_AUTO_TEST_CASE(AQuarantineIsListedAtOnceAndRetried) {
  TestEnv Env;
  for (const char *Name : {"u-1", "u-2", "u-3"})
    Env.crashUpstream(Name);
  Env.m_Timers.advance(1ms);
  BOOST_TEST(Env.m_Directory.m_Listed == 1);
  Env.m_Timers.advance(CrashWatch::ListRetryInterval);
  BOOST_TEST(Env.m_Directory.m_Listed == 2);
  Env.m_Watch.quarantineChanged({Request});
  Env.m_Timers.advance(1min);
  BOOST_TEST(Env.m_Directory.m_Listed == 2);
}

// Guards against a quarantine that no instance lists because each of its
// crashes was observed by a different one.
BOOST_AUTO_TEST_CASE(ObserversOfOneCrashListTheQuarantine) {
  TestEnv Env;
  Env.crashUpstream("u-1");
  Env.m_Balancer.quarantine().applyUpdates(
      {{Request, incarnationOf(upstreamIdOf("u-2"), std::nullopt)},
       {Request, incarnationOf(upstreamIdOf("u-3"), std::nullopt)}},
      Env.m_Clock.now());
  BOOST_TEST(Env.m_Directory.m_Listed == 0);
  Env.m_Timers.advance(CrashWatch::ListCheckInterval);
  BOOST_TEST(Env.m_Directory.m_Listed == 1);
}

// Guards against a request that stays listed after it was served.
BOOST_AUTO_TEST_CASE(AServedRequestIsUnlisted) {
  TestEnv Env;
  Env.m_Watch.quarantineChanged({Request});
  Env.m_Balancer.quarantine().recordServed(Request);
  Env.m_Timers.advance(1ms);
  BOOST_TEST(Env.m_Directory.m_Unlisted == 1);
  Env.m_Timers.advance(CrashWatch::ListRetryInterval);
  BOOST_TEST(Env.m_Directory.m_Unlisted == 2);
  Env.m_Watch.quarantineChanged({});
  Env.m_Timers.advance(1min);
  BOOST_TEST(Env.m_Directory.m_Unlisted == 2);
}

// Guards against crashes that are missed since the upstream is back under its
// name or at its address before it is probed.
BOOST_AUTO_TEST_CASE(AnotherProcessAtTheAddressShowsACrash) {
  TestEnv Env;
  Env.breakCall("u-1");
  Env.m_Prober.m_Callbacks.back()(ConnectOutcome::Connected);
  BOOST_TEST(Env.crashCount() == 0U);
  Env.m_Watch.handleReplaced(upstreamIdOf("u-1"), "u-1");
  BOOST_TEST(Env.crashCount() == 1U);
  Env.breakCall("u-2");
  std::vector<Upstream> All = {
      {upstreamIdOf("u-2"), "u-2", "s", {1, 1}, {"a"}},
      {upstreamIdOf("u-3"), "u-3", "s", {1, 1}, {"a"}}};
  Env.m_Watch.upstreamsChanged(All);
  BOOST_TEST(Env.crashCount() == 1U);
  All[0].m_StartTime = 2ms;
  Env.m_Watch.upstreamsChanged(All);
  BOOST_TEST(Env.crashCount() == 2U);
}
