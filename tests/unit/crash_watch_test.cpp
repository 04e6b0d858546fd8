/// Consequences of broken calls: probes, and the list of quarantined requests.
#define BOOST_TEST_MODULE crash_watch
#include "gateway/crash_watch.h"
#include "unit/fake_prober.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

/// Counts writes, which have no effect.
class FakeDirectory final : public Directory {
public:
  void start(DirectoryListener &, const PeerInstance &) override {}
  void leave() override {}
  void listQuarantined(const ContentHash &) override { ++m_Listed; }
  void unlistQuarantined(const ContentHash &) override { ++m_Unlisted; }
  void setReadingRole(ReadingRole) override {}
  void passedOn(const DirectoryUpdate &) override {}

  int m_Listed = 0;   ///< Writes.
  int m_Unlisted = 0; ///< Removals.
};

constexpr ContentHash Request{1, 1};

struct World {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  balance::Balancer m_Balancer{{"a"}};
  test::FakeProber m_Prober;
  Metrics m_Metrics;
  FakeDirectory m_List;
  CrashWatch m_Watch{m_Clock, m_Timers, m_Balancer, m_Prober, m_Metrics};

  World() {
    m_Timers.advance(100s);
    m_Watch.start(m_List);
    listUpstreams({"u-1", "u-2", "u-3"});
  }

  void listUpstreams(const std::vector<std::string> &Names,
                     bool Leaving = false) {
    std::vector<Upstream> All;
    All.reserve(Names.size());
    for (const std::string &Name : Names)
      All.push_back({upstreamIdOf(Name),
                     Name,
                     "s",
                     {1, 1},
                     {"a"},
                     PlainService{4},
                     Leaving});
    m_Watch.upstreamsChanged(All);
    m_Balancer.setUpstreams(All);
  }

  /// The connection of a call of the request breaks at \p Name.
  void breaks(const std::string &Name) {
    m_Balancer.quarantine().callBroken(Request, upstreamIdOf(Name),
                                       m_Clock.now());
    m_Watch.callBroken(upstreamIdOf(Name), {1, 1});
  }

  void crashes(const std::string &Name) {
    breaks(Name);
    m_Prober.m_Done.back()(ConnectOutcome::Refused);
  }

  [[nodiscard]] std::size_t count() {
    return m_Balancer.quarantine().crashesOf(Request);
  }
};

} // namespace

// Guards against a probe for each of the calls that broke at one upstream.
BOOST_AUTO_TEST_CASE(OneProbeFindsOutForAllCalls) {
  World It;
  It.breaks("u-1");
  It.breaks("u-1");
  BOOST_TEST(It.m_Prober.m_Done.size() == 1U);
  It.m_Prober.m_Done[0](ConnectOutcome::Refused);
  BOOST_TEST(It.count() == 1U);
  It.breaks("u-1");
  BOOST_TEST(It.m_Prober.m_Done.size() == 2U);
}

// Guards against a crash that is missed because the upstream is up again before
// it is probed, and against a drained upstream that counts as crashed.
BOOST_AUTO_TEST_CASE(AnEntryThatGoesWithoutLeavingIsACrash) {
  World It;
  It.breaks("u-1");
  It.m_Prober.m_Done[0](ConnectOutcome::Stands);
  BOOST_TEST(It.count() == 0U);
  It.listUpstreams({"u-2", "u-3"});
  BOOST_TEST(It.count() == 1U);
  It.breaks("u-2");
  It.listUpstreams({"u-2", "u-3"}, true);
  It.listUpstreams({});
  BOOST_TEST(It.count() == 1U);
}

// Guards against a quarantine that is listed too late to survive the loss of
// all instances, or whose write is lost and not repeated.
BOOST_AUTO_TEST_CASE(AQuarantineIsListedAtOnceAndUntilItIsSeen) {
  World It;
  for (const char *Name : {"u-1", "u-2", "u-3"})
    It.crashes(Name);
  It.m_Timers.advance(1ms);
  BOOST_TEST(It.m_List.m_Listed == 1);
  It.m_Timers.advance(CrashWatch::ListAgainAfter);
  BOOST_TEST(It.m_List.m_Listed == 2);
  It.m_Watch.quarantineChanged({Request});
  It.m_Timers.advance(1min);
  BOOST_TEST(It.m_List.m_Listed == 2);
}

// Guards against a quarantine that no instance lists because each of its
// crashes was observed by a different one.
BOOST_AUTO_TEST_CASE(ThoseThatSawOneCrashListAQuarantineOfOthers) {
  World It;
  It.crashes("u-1");
  It.m_Balancer.quarantine().take(
      {{Request, upstreamIdOf("u-2")}, {Request, upstreamIdOf("u-3")}},
      It.m_Clock.now());
  BOOST_TEST(It.m_List.m_Listed == 0);
  It.m_Timers.advance(CrashWatch::ListAfter);
  BOOST_TEST(It.m_List.m_Listed == 1);
}

// Guards against a request that stays listed after it was served.
BOOST_AUTO_TEST_CASE(AServedRequestIsTakenOffTheList) {
  World It;
  It.m_Watch.quarantineChanged({Request});
  It.m_Balancer.quarantine().served(Request);
  It.m_Timers.advance(1ms);
  BOOST_TEST(It.m_List.m_Unlisted == 1);
  It.m_Timers.advance(CrashWatch::ListAgainAfter);
  BOOST_TEST(It.m_List.m_Unlisted == 2);
  It.m_Watch.quarantineChanged({});
  It.m_Timers.advance(1min);
  BOOST_TEST(It.m_List.m_Unlisted == 2);
}
