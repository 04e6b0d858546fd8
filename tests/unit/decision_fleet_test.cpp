/// Upstreams that are slow, draining or failing, or that report late; and new
/// owners of a pool.
#define BOOST_TEST_MODULE decision_fleet
#include "decision_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::decision;
using namespace crowstep::decision::test;

namespace {

struct FourEngines : DeciderSimulation {
  explicit FourEngines(std::uint32_t Slots = 4, DeciderConfig Config = {})
      : DeciderSimulation(Config) {
    setTable({row(1, 1, 1s, 10s), row(2, 3, 5s, 60s)});
    list(Slots);
  }

  void list(std::uint32_t Slots) {
    std::vector<Upstream> All;
    for (std::uint64_t Id = 1; Id <= 4; ++Id)
      All.push_back(engine(Id, Slots));
    setUpstreams(All);
  }

  void report(std::uint64_t Id, std::uint64_t Sequence, std::uint32_t Running,
              bool Leaving = false) {
    send(LoadReport{UpstreamId(Id), Sequence, 2s, Running, 0, 0, Leaving});
  }

  [[nodiscard]] unsigned grantsTo(std::uint64_t Id) const {
    unsigned Found = 0;
    for (const Action &Next : m_Log)
      if (const auto *Granted = std::get_if<Grant>(&Next))
        Found += Granted->m_Upstream == UpstreamId(Id) ? 1 : 0;
    return Found;
  }

  void submitMany(int Count, Duration Gap, Duration Service) {
    for (int I = 0; I < Count; ++I) {
      submit(static_cast<std::uint16_t>(1 + I % 2), 1, Service);
      advance(Gap);
    }
  }
};

} // namespace

// Load reports arrive 2 s late. The pool's own grants in them must not be
// counted twice, an older report must not replace a newer one, and load that
// others put on the upstream must count.
BOOST_AUTO_TEST_CASE(LateReportsNeitherUndoNorDoubleOwnGrants) {
  FourEngines Sim;
  Sim.submitMany(8, 0ms, 30s);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Sim.report(Id, 5, 2);
  Sim.submitMany(8, 0ms, 30s);
  BOOST_TEST(Sim.m_Running.size() == 16U);
  for (const auto &[Id, Running] : std::map(Sim.m_Running))
    Sim.end(Id, WorkEnd::Cancelled);
  Sim.advance(10s);
  Sim.report(1, 7, 4);
  Sim.report(1, 6, 0);
  Sim.submitMany(16, 0ms, 1s);
  BOOST_TEST(Sim.m_Running.size() == 12U);
  Sim.advance(60s);
  BOOST_TEST(Sim.m_Waiting.empty());
}

// One engine runs at a tenth of its speed. It is detected by comparison with
// its peers, gets only probes, and is restored once it has recovered. A second
// slow one is not ejected, as at most one of four may be.
BOOST_AUTO_TEST_CASE(StragglerIsEjectedProbedAndTakenBack) {
  FourEngines Sim;
  Sim.m_SlowdownFactors[UpstreamId(2)] = 10;
  Sim.submitMany(300, 50ms, 200ms);
  BOOST_TEST(Sim.m_Ejected.contains(UpstreamId(2)));
  const unsigned Before = Sim.grantsTo(2);
  Sim.m_SlowdownFactors[UpstreamId(3)] = 10;
  Sim.submitMany(300, 50ms, 200ms);
  BOOST_TEST(Sim.m_Ejected.size() == 1U);
  BOOST_TEST(Sim.grantsTo(2) <= Before + 3);
  Sim.m_SlowdownFactors.clear();
  Sim.submitMany(800, 50ms, 200ms);
  BOOST_TEST(Sim.m_Ejected.empty());
}

// Guards against a second probe of an ejected engine while one runs, once an
// older one from before its last ejection ends.
BOOST_AUTO_TEST_CASE(AnOlderProbeDoesNotEndTheRunningOne) {
  constexpr std::uint64_t Slow = 2;
  FourEngines Sim;
  const auto Eject = [&Sim] {
    Sim.m_SlowdownFactors[UpstreamId(Slow)] = 10;
    Sim.submitMany(300, 50ms, 200ms);
    BOOST_REQUIRE(Sim.m_Ejected.contains(UpstreamId(Slow)));
    Sim.advance(5s);
  };
  // Returns a call of an hour that was granted to the ejected engine.
  const auto StartProbe = [&Sim] {
    for (;;) {
      const RequestId Id = Sim.submit(2, 1, 1h);
      Sim.advance(1s);
      if (Sim.m_Running.at(Id).m_Upstream == UpstreamId(Slow))
        return Id;
      Sim.end(Id, WorkEnd::Cancelled);
    }
  };
  Eject();
  const RequestId First = StartProbe();
  Sim.setUpstreams({engine(1, 4), engine(Slow, 4)});
  BOOST_REQUIRE(Sim.m_Ejected.empty());
  Sim.list(4);
  Eject();
  StartProbe();
  BOOST_REQUIRE(Sim.m_Running.contains(First));
  Sim.end(First, WorkEnd::Cancelled);
  const unsigned Before = Sim.grantsTo(Slow);
  Sim.submitMany(400, 50ms, 200ms);
  BOOST_TEST(Sim.grantsTo(Slow) == Before);
}

// An engine answers that it is draining while the list still contains it, and
// an earlier report denies it. The simulation fails the test if it is granted
// anything again.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNothingWhateverTheListSays) {
  FourEngines Sim;
  const RequestId First = Sim.submit(1, 1, 1s);
  const UpstreamId Drained = Sim.m_Running.at(First).m_Upstream;
  Sim.end(First, WorkEnd::UpstreamDraining);
  Sim.report(Drained.value(), 3, 0);
  Sim.list(4);
  Sim.submitMany(40, 20ms, 300ms);
  Sim.setUpstreams({engine(1, 4)});
  Sim.list(4);
  Sim.submitMany(40, 20ms, 300ms);
  BOOST_TEST(Sim.m_Outcomes[First].m_Finished);
}

// A crashed engine is still listed. It looks idle, so every bid would go there
// first; it must be paused after a failed connection.
BOOST_AUTO_TEST_CASE(CrashedUpstreamDrawsNoTraffic) {
  FourEngines Sim;
  Sim.m_Failing.insert(UpstreamId(4));
  Sim.m_OnGrant = [&Sim](const RequestId &Id) {
    if (Sim.m_Running.at(Id).m_Upstream == UpstreamId(4))
      Sim.end(Id, WorkEnd::ConnectFailed);
  };
  Sim.submitMany(400, 50ms, 300ms);
  BOOST_TEST(Sim.grantsTo(4) <= 12U);
  for (const auto &[Id, Result] : Sim.m_Outcomes)
    BOOST_TEST(!Result.m_RefusalReason);
}

// Prompts with a shared prefix go to the engine that holds it while that is
// about as free as the others, not beyond. After a gap in the cache events the
// hint is dropped, as a lost event may have been an eviction.
BOOST_AUTO_TEST_CASE(PrefixHintsAreFollowedWithinBoundsAndDroppedOnAGap) {
  for (const bool HasGap : {false, true}) {
    FourEngines Sim(8);
    std::optional<RequestId> OnEngine3;
    for (int I = 0; I < 4; ++I) {
      const RequestId Id = Sim.submit(1, 1, 30s);
      if (Sim.m_Running.at(Id).m_Upstream == UpstreamId(3))
        OnEngine3 = Id;
    }
    BOOST_REQUIRE(OnEngine3.has_value());
    for (const auto &[Id, Running] : std::map(Sim.m_Running))
      if (Id != OnEngine3)
        Sim.withdraw(Id);
    Sim.send(CacheEvent{UpstreamId(3), 1, 12, true});
    if (HasGap)
      Sim.send(CacheEvent{UpstreamId(3), 5, 99, true});
    const auto AddPrefixes = [](Bid &NewBid) { NewBid.m_Prefixes = {11, 12}; };
    for (int I = 0; I < 5; ++I)
      Sim.submit(1, 1, 30s, AddPrefixes);
    BOOST_TEST(Sim.grantsTo(3) == (HasGap ? 1U : 3U));
  }
}

// A dispatcher takes over while work runs. It grants nothing within its rebuild
// window, and then counts the work that entries reported, so that no engine is
// overloaded.
BOOST_AUTO_TEST_CASE(NewOwnerHearsFirstWhatRuns) {
  DeciderConfig Config;
  Config.m_RebuildWindow = 1s;
  FourEngines Sim(1, Config);
  Sim.submit(1, 1, 1s);
  BOOST_TEST(Sim.m_Running.empty());
  for (std::uint64_t Id = 1; Id <= 3; ++Id) {
    Bid Known;
    Known.m_Request = {InstanceId(9), Id};
    Known.m_Class = ClassId(2);
    Sim.m_Running[Known.m_Request] = {Known, UpstreamId(Id), Sim.m_Clock.now()};
    Sim.send(WorkRunning{Known, UpstreamId(Id), 5});
  }
  Sim.advance(1s);
  BOOST_TEST(Sim.m_Running.size() == 4U);
  Sim.submit(1, 1, 1s);
  BOOST_TEST(Sim.m_Running.size() == 4U);
}

// An entry becomes silent after a grant, and its loss is not reported. The slot
// must be freed after some time.
BOOST_AUTO_TEST_CASE(SilentGrantLapses) {
  FourEngines Sim(1);
  Sim.m_FirstTokenTime = 1h;
  for (int I = 0; I < 4; ++I)
    Sim.submit(1, 1, 1s);
  std::vector<Action> Actions;
  const auto Due = Sim.m_Decider.nextDeadline();
  BOOST_REQUIRE(Due.has_value());
  Sim.m_Running.clear();
  Sim.m_Clock.advance(20s);
  Sim.send(Tick{});
  BOOST_TEST(Sim.m_Decider.stats().m_Running == 0U);
}
