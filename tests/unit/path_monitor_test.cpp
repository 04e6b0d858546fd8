/// Evidence of lost paths to upstreams, and their return.
#define BOOST_TEST_MODULE path_monitor
#include "relay/path_monitor.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace crowstep;
using namespace crowstep::relay;
using namespace std::chrono_literals;

namespace {

/// A network in which probes take no time and peers answer at once.
class Network final : public PathActions {
public:
  explicit Network(std::size_t Upstreams, std::size_t Hosts = 0)
      : m_Monitor(*this, 1) {
    for (std::size_t I = 0; I < Upstreams; ++I) {
      const std::string Name = "u" + std::to_string(I);
      const auto Host =
          static_cast<std::uint32_t>(1 + (Hosts == 0 ? I : I % Hosts));
      m_List.push_back(
          {upstreamIdOf(Name), Name, "s", {Host, 80}, {"z"}, Engine{}, false});
    }
    m_Monitor.setUpstreams(m_List, m_Now);
  }

  void probePath(UpstreamId Upstream, const Address &) override {
    ++m_Probes;
    m_PendingProbes.push_back(Upstream);
  }
  void askPeers(const std::vector<UpstreamId> &Upstreams) override {
    m_Questions += Upstreams.size();
    m_Asked.insert(m_Asked.end(), Upstreams.begin(), Upstreams.end());
  }
  void pathsStayLost(const std::vector<UpstreamId> &) override {}
  void pathLost(const LostPath &Lost) override {
    ++m_Losses;
    m_Evidence[Lost.m_Upstream] = Lost.m_Evidence;
  }
  void pathRegained(UpstreamId, const std::string &, Duration) override {}

  [[nodiscard]] UpstreamId id(std::size_t Index) const {
    return m_List.at(Index).m_Id;
  }

  /// Calls the upstream; a failure shows at once.
  void call(std::size_t Index) {
    if (m_Cut.contains(id(Index)) || m_Down.contains(id(Index)))
      m_Monitor.recordFailure(id(Index), PathEvidence::Refused, m_Now, m_Now);
    else
      m_Monitor.recordConnected(id(Index), m_Now);
    settle();
  }

  /// Lets probes end and peers answer.
  void settle() {
    m_Now += 1ms;
    while (!m_PendingProbes.empty() || !m_Asked.empty()) {
      for (const UpstreamId Id : std::exchange(m_PendingProbes, {}))
        m_Monitor.recordProbe(Id,
                              m_Cut.contains(Id) || m_Down.contains(Id)
                                  ? ConnectOutcome::Refused
                                  : ConnectOutcome::Connected,
                              m_Now - 1ms, m_Now);
      for (const UpstreamId Id : std::exchange(m_Asked, {}))
        if (m_PeersReach && !m_Down.contains(Id))
          m_Monitor.recordPeerReach(Id, m_Now);
    }
  }

  void run(Duration Span) {
    for (const TimePoint End = m_Now + Span; m_Now < End;) {
      m_Now += PathMonitor::TickInterval;
      m_Monitor.tick(m_Now);
      settle();
    }
  }

  void cutAll() {
    for (const Upstream &Listed : m_List)
      m_Cut.insert(Listed.m_Id);
  }

  [[nodiscard]] std::size_t lost() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_List, [&](const Upstream &Listed) {
          return m_Monitor.isLost(Listed.m_Id);
        }));
  }

  TimePoint m_Now{10s};
  std::vector<Upstream> m_List;
  PathMonitor m_Monitor;
  std::set<UpstreamId> m_Cut;  ///< Not reached from here.
  std::set<UpstreamId> m_Down; ///< Not reached by anybody.
  bool m_PeersReach = true;    ///< Peers reach what is not down.
  std::size_t m_Probes = 0;
  std::size_t m_Questions = 0;
  std::size_t m_Losses = 0;
  std::map<UpstreamId, PathEvidence> m_Evidence; ///< Of the last loss.

private:
  std::vector<UpstreamId> m_PendingProbes;
  std::vector<UpstreamId> m_Asked;
};

} // namespace

// Guards against upstreams that have crashed and count as behind lost paths.
BOOST_AUTO_TEST_CASE(CrashedUpstreamsAreNoLostPaths) {
  Network Net(16);
  for (std::size_t I = 0; I < 6; ++I)
    Net.m_Down.insert(Net.id(I));
  for (std::size_t I = 0; I < 16; ++I)
    Net.call(I);
  Net.run(2s);
  BOOST_TEST(Net.lost() == 0U);
  BOOST_TEST(Net.m_Losses == 0U);
}

// Guards against a crash that an older proof of a peer makes a lost path.
BOOST_AUTO_TEST_CASE(APeersReachBeforeTheFailureProvesNothing) {
  Network Net(4);
  Net.m_PeersReach = false;
  Net.m_Monitor.recordPeerReach(Net.id(0), Net.m_Now);
  Net.m_Now += 1ms;
  Net.m_Down.insert(Net.id(0));
  Net.call(0);
  BOOST_TEST(Net.lost() == 0U);
}

// Guards against calls that find out about each lost path one by one.
BOOST_AUTO_TEST_CASE(LostPathsToTwoHostsShowThatAllAreLost) {
  Network Net(160);
  for (std::size_t I = 0; I < 160; ++I)
    Net.call(I);
  Net.m_Now += 1s;
  Net.cutAll();
  Net.call(7);
  BOOST_TEST(Net.lost() == 160U);
  BOOST_TEST(Net.m_Questions <= 8U);
}

// Guards against reachable upstreams that are given up with the others.
BOOST_AUTO_TEST_CASE(PathsThatAreInUseStayOpen) {
  Network Net(20);
  Net.m_Now += 1s;
  for (std::size_t I = 10; I < 20; ++I)
    Net.m_Cut.insert(Net.id(I));
  Net.call(15);
  Net.run(300ms);
  for (std::size_t I = 0; I < 10; ++I)
    BOOST_TEST(!Net.m_Monitor.isLost(Net.id(I)));
  Net.call(16);
  Net.run(300ms);
  for (std::size_t I = 0; I < 10; ++I) {
    Net.call(I);
    BOOST_TEST(!Net.m_Monitor.isLost(Net.id(I)));
  }
  BOOST_TEST(Net.m_Monitor.isLost(Net.id(15)));
  BOOST_TEST(Net.m_Monitor.isLost(Net.id(16)));
}

// Guards against one failed host that makes all upstreams suspect.
BOOST_AUTO_TEST_CASE(OneHostShowsNothingAboutTheOthers) {
  Network Net(12, 3);
  Net.m_Now += 1s;
  for (std::size_t I = 0; I < 12; I += 3)
    Net.m_Cut.insert(Net.id(I));
  for (std::size_t I = 0; I < 12; I += 3)
    Net.call(I);
  BOOST_TEST(Net.lost() == 4U);
  Net.run(1s);
  BOOST_TEST(Net.lost() == 4U);
}

// Guards against all calls returning at once to a path that has just come back.
BOOST_AUTO_TEST_CASE(APathReturnsGradually) {
  Network Net(8);
  Net.cutAll();
  Net.call(0);
  Net.run(3s);
  BOOST_TEST(Net.lost() == 8U);
  Net.m_Cut.clear();
  while (Net.m_Monitor.isLost(Net.id(0)))
    Net.run(100ms);
  const TimePoint Returned = Net.m_Now;
  const auto Share = [&](Duration After) {
    int Direct = 0;
    for (int I = 0; I < 100; ++I)
      Direct +=
          Net.m_Monitor.prefersRelay(Net.id(0), I / 100.0, Returned + After)
              ? 0
              : 1;
    return Direct;
  };
  BOOST_TEST(Share(200ms) < 25);
  BOOST_TEST(Share(1s) < 75);
  BOOST_TEST(Share(1s) > 25);
  BOOST_TEST(Share(2s) == 100);
}

// Guards against a path that is used in every gap of a cut that comes in
// series.
BOOST_AUTO_TEST_CASE(AFlappingPathIsUsedSeldom) {
  Network Net(8);
  std::size_t LossesInFirstHalf = 0;
  for (int I = 0; I < 40; ++I) {
    Net.cutAll();
    Net.call(static_cast<std::size_t>(I) % 8);
    Net.run(500ms);
    Net.m_Cut.clear();
    Net.run(1s);
    if (I == 19)
      LossesInFirstHalf = Net.m_Losses;
  }
  BOOST_TEST(Net.m_Losses - LossesInFirstHalf < LossesInFirstHalf);
  Net.run(30s);
  BOOST_TEST(Net.lost() == 0U);
}

// Guards against a flood of probes when many upstreams crash at once.
BOOST_AUTO_TEST_CASE(ACrashOfManyUpstreamsCausesFewQuestions) {
  Network Net(2600);
  for (std::size_t I = 0; I < 650; ++I)
    Net.m_Down.insert(Net.id(I));
  for (int Second = 0; Second < 5; ++Second) {
    const std::size_t Before = Net.m_Questions;
    for (std::size_t I = 0; I < 650; ++I)
      Net.call(I);
    Net.run(350ms);
    BOOST_TEST(Net.m_Questions - Before < 60U);
  }
  BOOST_TEST(Net.lost() == 0U);
}

// Guards against a call that pays for an upstream that is new behind a cut.
BOOST_AUTO_TEST_CASE(AnUpstreamThatIsNewBehindACutIsPresumedLost) {
  Network Net(8);
  Net.cutAll();
  Net.call(0);
  BOOST_TEST(Net.lost() == 8U);
  Net.m_List.push_back(
      {upstreamIdOf("new"), "new", "s", {99, 80}, {"z"}, Engine{}, false});
  Net.m_Cut.insert(upstreamIdOf("new"));
  Net.m_Monitor.setUpstreams(Net.m_List, Net.m_Now);
  BOOST_TEST(Net.m_Monitor.isLost(upstreamIdOf("new")));
}

// Guards against paths that stay lost for ever, or count as lost without a cut.
BOOST_AUTO_TEST_CASE(PathsFollowAnySeriesOfCutsAndCrashes) {
  const bool Held = rc::check("paths follow cuts", [] {
    Network Net(*rc::gen::inRange<std::size_t>(2, 20));
    const auto Pick = [&] {
      return *rc::gen::inRange<std::size_t>(0, Net.m_List.size());
    };
    for (int Step = 0; Step < 40; ++Step) {
      const auto Action = *rc::gen::inRange(0, 6);
      const std::size_t Index = Pick();
      if (Action == 0)
        Net.m_Cut.insert(Net.id(Index));
      else if (Action == 1)
        Net.m_Cut.erase(Net.id(Index));
      else if (Action == 2)
        Net.m_Down.insert(Net.id(Index));
      else if (Action == 3)
        Net.m_Down.erase(Net.id(Index));
      else
        Net.call(Index);
      Net.run(100ms * *rc::gen::inRange(0, 5));
    }
    Net.m_Cut.clear();
    Net.m_Down.clear();
    Net.run(45s);
    RC_ASSERT(Net.lost() == 0U);
    RC_ASSERT(!Net.m_Monitor.isBusy());
    // Without a cut, crashes alone lose no path.
    const std::size_t Before = Net.m_Losses;
    for (int Step = 0; Step < 20; ++Step) {
      const std::size_t Index = Pick();
      Net.m_Down.insert(Net.id(Index));
      Net.call(Index);
      Net.run(100ms);
    }
    RC_ASSERT(Net.m_Losses == Before);
  });
  BOOST_TEST(Held);
}
