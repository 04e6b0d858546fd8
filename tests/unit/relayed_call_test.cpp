/// Calls that other instances carry, while these fail, stop or differ.
#define BOOST_TEST_MODULE relayed_call
#include "relay/relay_server.h"
#include "unit/path_fleet.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

constexpr unsigned Hold = 0;  ///< May run once.
constexpr unsigned Check = 1; ///< May run again.
constexpr unsigned Guide = 2; ///< A stream that may resume.

/// Three instances of which the first one can't reach the upstreams, and knows
/// that already.
struct CutFleet : PathFleet {
  explicit CutFleet(std::size_t Instances = 3, std::size_t Engines = 4)
      : PathFleet(Instances, 1, Engines, 2) {
    run(500ms, 100ms);
    cut(1, PathMode::Silent);
    run(1500ms, 100ms);
    wait(3s); // Until those requests have ended.
  }

  /// Returns the instance that has begun to run \p Request, or its index at the
  /// upstreams' records.
  std::size_t senderOf(const PathRequest &Request) const {
    for (const UpstreamRun &Run : m_World.m_Runs)
      if (Run.m_Request == Request.m_Id)
        return Run.m_Sender;
    return m_Instances.size();
  }

  /// Returns the number of idle connections of an instance to upstreams.
  int keptConnections(std::size_t Instance) const {
    int Sum = 0;
    for (const auto &[Where, Count] : m_Instances[Instance]->m_Upstreams.m_Kept)
      Sum += Count;
    return Sum;
  }

  /// Advances the time without further requests.
  void wait(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += Step)
      advance();
  }
};

} // namespace

// Guards against an event that is missing or doubled behind a relay.
BOOST_AUTO_TEST_CASE(AStreamPassesUnchanged) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Guide);
  Fleet.wait(2s);
  BOOST_TEST(Request.m_Record.m_Ended);
  BOOST_TEST(isWholeStream(Request));
  BOOST_TEST(Fleet.senderOf(Request) != 0U);
  BOOST_TEST(Fleet.runsOf(Request) == 1U);
}

// Guards against requests that fill the memory as they wait for a slow link.
BOOST_AUTO_TEST_CASE(NoCallJoinsALongQueue) {
  CutFleet Fleet;
  Fleet.m_Links.m_QueuedBytes = 1 << 20;
  PathRequest &Request = Fleet.send(0, Guide);
  Fleet.wait(2s);
  BOOST_TEST(Fleet.runsOf(Request) == 0U);
  BOOST_TEST(!Request.m_Record.m_Answers.empty());
  Fleet.m_Links.m_QueuedBytes = 0;
  PathRequest &Later = Fleet.send(0, Guide);
  Fleet.wait(2s);
  BOOST_TEST(isWholeStream(Later));
}

// Guards against a stream that ends with the instance that carries it.
BOOST_AUTO_TEST_CASE(AStreamResumesWhenItsRelayIsKilled) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Guide);
  Fleet.wait(500ms);
  Fleet.stopInstance(Fleet.senderOf(Request));
  Fleet.wait(3s);
  BOOST_TEST(isWholeStream(Request));
  BOOST_TEST(Fleet.runsOf(Request) == 2U);
}

// Guards against a second run of a call whose relay was killed under it.
BOOST_AUTO_TEST_CASE(ACallThatMayRunOnceEndsWithItsRelay) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Hold);
  while (Fleet.runsOf(Request) == 0)
    Fleet.wait(1ms);
  Fleet.stopInstance(Fleet.senderOf(Request));
  Fleet.wait(1s);
  BOOST_REQUIRE(Request.m_Record.m_Answers.size() == 1U);
  BOOST_TEST(Request.m_Record.m_Answers[0].m_Status == 502U);
  BOOST_TEST((Request.m_Record.m_Answers[0].m_RunState == RunState::Unknown));
  BOOST_TEST(Fleet.runsOf(Request) == 1U);
}

// Guards against a cut answer that ends as a whole one behind a relay, before
// its head and within its stream.
BOOST_AUTO_TEST_CASE(ACutAnswerIsCutBehindARelay) {
  for (const Duration Until : {0ms, 100ms, 400ms, 1000ms})
    for (const unsigned Kind : {Hold, Check, Guide}) {
      CutFleet Fleet(2);
      PathRequest &Request = Fleet.send(0, Kind);
      auto &Calls = Fleet.m_Instances.at(1)->m_Upstreams.m_Calls;
      const auto CutAll = [&] {
        while (!Calls.empty())
          Calls.begin()->second->handleCrash();
      };
      while (Fleet.runsOf(Request) == 0)
        Fleet.wait(1ms);
      if (Kind == Guide)
        Fleet.wait(Until);
      CutAll();
      for (int Step = 0; Step < 3000 && !Request.m_HasEnded; ++Step) {
        Fleet.wait(1ms);
        if (Fleet.runsOf(Request) > 1)
          CutAll();
      }
      BOOST_TEST(Request.m_HasEnded);
      BOOST_TEST(!Request.isServed());
      BOOST_TEST(!Request.isStatedNotRun());
      for (const CallerAnswer &Answer : Request.m_Record.m_Answers)
        BOOST_TEST(Answer.m_Status == 502U);
      if (Kind == Hold)
        BOOST_TEST(Fleet.runsOf(Request) == 1U);
    }
}

// Guards against a call that is given up though its relay had not sent it.
BOOST_AUTO_TEST_CASE(AnUnsentCallGoesToAnotherRelay) {
  CutFleet Fleet;
  std::vector<PathRequest *> Requests;
  Requests.reserve(10);
  for (int I = 0; I < 10; ++I)
    Requests.push_back(&Fleet.send(0, Hold));
  Fleet.stopInstance(1);
  Fleet.wait(1s);
  for (const PathRequest *Request : Requests) {
    BOOST_TEST(Request->isServed());
    BOOST_TEST(Fleet.runsOf(*Request) == 1U);
  }
}

// Guards against a stop that cuts the calls of other instances.
BOOST_AUTO_TEST_CASE(ARelayThatStopsFinishesItsCalls) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Guide);
  Fleet.wait(500ms);
  const std::size_t Relay = Fleet.senderOf(Request);
  Fleet.m_Instances.at(Relay)->m_Relay.stop();
  BOOST_TEST(Fleet.m_Instances.at(Relay)->m_Relay.carriedCalls() == 1U);
  std::vector<PathRequest *> Later;
  for (int I = 0; I < 10; ++I) {
    Fleet.wait(50ms);
    Later.push_back(&Fleet.send(0, Hold));
  }
  Fleet.wait(2s);
  BOOST_TEST(isWholeStream(Request));
  BOOST_TEST(Fleet.runsOf(Request) == 1U);
  BOOST_TEST(Fleet.m_Instances.at(Relay)->m_Relay.carriedCalls() == 0U);
  for (const PathRequest *Call : Later) {
    BOOST_TEST(Call->isServed());
    BOOST_TEST(Fleet.senderOf(*Call) != Relay);
  }
}

// Guards against calls that wait for a relay that stands still.
BOOST_AUTO_TEST_CASE(CallsLeaveAFrozenRelay) {
  CutFleet Fleet(4);
  std::vector<PathRequest *> Streams;
  Streams.reserve(6);
  for (int I = 0; I < 6; ++I)
    Streams.push_back(&Fleet.send(0, Guide));
  Fleet.wait(400ms);
  const std::size_t Frozen = Fleet.senderOf(*Streams[0]);
  Fleet.freeze(Frozen);
  Fleet.wait(200ms);
  std::vector<PathRequest *> Later;
  for (int I = 0; I < 20; ++I) {
    Later.push_back(&Fleet.send(0, I % 2 == 0 ? Hold : Check));
    Fleet.wait(100ms);
  }
  Fleet.wait(1s);
  for (const PathRequest *Request : Streams)
    BOOST_TEST(isWholeStream(*Request));
  std::size_t Served = 0;
  for (const PathRequest *Request : Later)
    Served += Request->isServed() ? 1 : 0;
  BOOST_TEST(Served >= 19U);
  Fleet.thaw(Frozen);
  Fleet.wait(3s);
  Fleet.checkRuns();
}

// Guards against work at an upstream for a caller that has left.
BOOST_AUTO_TEST_CASE(ACarriedCallEndsWithItsCaller) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Guide);
  Fleet.wait(300ms);
  const std::size_t Relay = Fleet.senderOf(Request);
  BOOST_TEST(Fleet.m_Instances.at(Relay)->m_Upstreams.m_Calls.size() == 1U);
  Request.m_Record.m_HasLeft = true;
  Request.m_Record.m_OnGone();
  Fleet.wait(20ms);
  BOOST_TEST(Fleet.m_Instances.at(Relay)->m_Upstreams.m_Calls.empty());
}

// Guards against one slow caller that holds up the others of a link, or fills
// the memory of two instances.
BOOST_AUTO_TEST_CASE(ASlowCallerHoldsUpNoOther) {
  CutFleet Fleet(2);
  Fleet.m_World.m_EventBytes = 8000;
  PathRequest &Slow = Fleet.send(0, Guide);
  Slow.m_Record.m_Backlog = 1 << 20;
  PathRequest &Fast = Fleet.send(0, Guide);
  Fleet.wait(2s);
  BOOST_TEST(Fast.m_Record.m_Ended);
  BOOST_TEST(!Slow.m_Record.m_Ended);
  // What the window and one read of the caller's connection let pass.
  BOOST_TEST(Slow.m_Record.m_Stream.size() <
             relay::RelayWindow + 2 * Fleet.m_World.m_EventBytes);
  Slow.m_Record.m_Backlog = 0;
  Slow.m_Record.m_OnRoom();
  Fleet.wait(2s);
  BOOST_TEST(Slow.m_Record.m_Ended);
}

// Guards against a route that the relay's own table no longer has, or does not
// have yet.
BOOST_AUTO_TEST_CASE(ARelayChecksItsOwnTable) {
  CutFleet Fleet(3);
  Fleet.m_Instances.at(1)->m_Relay.setTable(
      std::make_shared<RouteTable>(RouteTableData()));
  std::vector<PathRequest *> Requests;
  for (int I = 0; I < 20; ++I) {
    Requests.push_back(&Fleet.send(0, Hold));
    Fleet.wait(50ms);
  }
  for (const PathRequest *Request : Requests) {
    BOOST_TEST(Request->isServed());
    BOOST_TEST(Fleet.senderOf(*Request) == 2U);
  }
}

// Guards against a call through an instance that knows that the upstream
// leaves.
BOOST_AUTO_TEST_CASE(ARelaySendsNothingToAnUpstreamThatItKnowsToLeave) {
  CutFleet Fleet(2);
  std::vector<Upstream> List = Fleet.m_World.m_List;
  List[4].m_Draining = true;
  Fleet.m_Instances.at(1)->setUpstreams(List);
  for (int I = 0; I < 20; ++I) {
    Fleet.send(0, Hold);
    Fleet.wait(50ms);
  }
  Fleet.wait(1s);
  const std::size_t Before = Fleet.runsAt(List[4].m_Name);
  for (int I = 0; I < 20; ++I) {
    Fleet.send(0, Hold);
    Fleet.wait(50ms);
  }
  BOOST_TEST(Fleet.runsAt(List[4].m_Name) == Before);
}

// Guards against a version that does not know relayed calls and gets one.
BOOST_AUTO_TEST_CASE(AnOlderInstanceIsLeftOut) {
  PathFleet Fleet(3, 1, 4, 2);
  for (std::size_t I = 1; I < 3; ++I)
    Fleet.m_Peers.m_Instances[I].m_RelayAddress = Address();
  Fleet.startInstance(0);
  Fleet.run(500ms, 100ms);
  Fleet.cut(1, PathMode::Reset);
  Fleet.run(2s, 100ms);
  BOOST_TEST(Fleet.m_Links.m_LinkCount == 0U);
  Fleet.heal();
  Fleet.run(3s, 100ms);
  const TimePoint Since = Fleet.m_Clock.now();
  Fleet.run(1s, 100ms);
  BOOST_TEST(Fleet.served(false, Since).share() == 1.0);
}

// Guards against a relay that is called though it can't reach the upstreams.
BOOST_AUTO_TEST_CASE(ARelayThatLosesItsPathsIsReplaced) {
  CutFleet Fleet(5);
  PathRequest &Request = Fleet.send(0, Hold);
  Fleet.wait(200ms);
  Fleet.m_World.m_CutInstances.insert(Fleet.senderOf(Request));
  Fleet.pathsChanged();
  Fleet.wait(500ms);
  const TimePoint Since = Fleet.m_Clock.now();
  Fleet.run(2s, 50ms);
  BOOST_TEST(Fleet.served(true, Since).share() > 0.98);
  Fleet.checkRuns();
}

// Guards against a load that is counted at two instances, or at none.
BOOST_AUTO_TEST_CASE(ACarriedCallsLoadCountsWhereItWasPlaced) {
  CutFleet Fleet(2);
  for (int I = 0; I < 4; ++I)
    Fleet.send(0, Guide);
  Fleet.wait(300ms);
  const auto Calls = [&](std::size_t Instance) {
    std::uint32_t Sum = 0;
    for (const auto &Load : Fleet.m_Instances.at(Instance)
                                ->m_Balancer.fullDigest(Fleet.m_Clock.now())
                                .m_Loads)
      Sum += Load.m_Running;
    return Sum;
  };
  BOOST_TEST(Calls(0) == 4U);
  BOOST_TEST(Calls(1) == 0U);
  Fleet.wait(3s);
  BOOST_TEST(Calls(0) == 0U);
}

// Guards against a call that runs twice because the relay's table says that it
// may.
BOOST_AUTO_TEST_CASE(TheStricterOfTwoTablesDecides) {
  CutFleet Fleet(2);
  RouteTableData Data = Fleet.m_Table->data();
  for (Route &Changed : Data.m_Routes)
    if (Changed.m_Prefix == "/hold/")
      Changed.m_Kind = PlainCall{true};
  Fleet.m_Instances.at(1)->m_Relay.setTable(
      std::make_shared<RouteTable>(std::move(Data)));
  for (int I = 0; I < 6; ++I)
    Fleet.send(1, Check); // Leaves idle connections to both desks.
  Fleet.wait(200ms);
  const int Before = Fleet.keptConnections(1);
  PathRequest &Request = Fleet.send(0, Hold);
  Fleet.wait(200ms);
  BOOST_TEST(Request.isServed());
  // It was sent on a connection of its own, as an idle one may be stale.
  BOOST_TEST(Fleet.keptConnections(1) == Before + 1);
}

// Guards against a ready answer that is lost as its relay seems to be silent.
BOOST_AUTO_TEST_CASE(ACallThatMayRunOnceStaysWithASilentRelay) {
  CutFleet Fleet;
  PathRequest &Request = Fleet.send(0, Hold);
  while (Fleet.runsOf(Request) == 0)
    Fleet.wait(1ms);
  Fleet.freeze(0); // Its answer stays unread.
  Fleet.wait(2s);
  BOOST_TEST(!Request.m_HasEnded);
  Fleet.thaw(0);
  Fleet.wait(100ms);
  BOOST_TEST(Request.isServed());
}

// Guards against a call that a relay sends after its caller's time is over.
BOOST_AUTO_TEST_CASE(ARelaySendsNothingTooLate) {
  CutFleet Fleet(2);
  const SimulatedUpstreams &Upstreams = Fleet.m_Instances.at(1)->m_Upstreams;
  const std::size_t Before = Upstreams.m_SendCount;
  PathRequest &Request = Fleet.send(0, Hold, {}, {{"Call-Time-Ms", "60"}});
  while (Fleet.m_Instances.at(1)->m_Relay.carriedCalls() == 0)
    Fleet.wait(1ms);
  Fleet.wait(2 * UpstreamWorld::Delay);
  Fleet.freeze(1); // It is connected, and the start is under way.
  Fleet.wait(100ms);
  Fleet.thaw(1);
  Fleet.wait(500ms);
  BOOST_TEST(Request.m_HasEnded);
  BOOST_TEST(Upstreams.m_SendCount == Before);
}

// Guards against an instance that carries so many calls of others that it
// serves its own callers no more.
BOOST_AUTO_TEST_CASE(ARelayCarriesABoundedNumberOfCalls) {
  CutFleet Fleet(2, 8);
  constexpr std::size_t Sent = relay::RelayServer::MaxCalls + 44;
  std::vector<PathRequest *> Requests;
  Requests.reserve(Sent);
  for (std::size_t I = 0; I < Sent; ++I)
    Requests.push_back(&Fleet.send(0, Guide));
  Fleet.wait(400ms);
  BOOST_TEST(Fleet.m_Instances.at(1)->m_Relay.carriedCalls() ==
             relay::RelayServer::MaxCalls);
  Fleet.wait(5s);
  std::size_t Whole = 0;
  for (const PathRequest *Request : Requests) {
    BOOST_TEST(Request->m_HasEnded);
    Whole += isWholeStream(*Request) ? 1 : 0;
  }
  BOOST_TEST(Whole >= relay::RelayServer::MaxCalls);
}

// Guards against an upstream's pause that the relay, which it concerns,
// ignores.
BOOST_AUTO_TEST_CASE(ARelayKeepsARequestedPause) {
  CutFleet Fleet(2);
  Fleet.m_World.m_PausedDesks = true;
  Fleet.send(0, Hold);
  Fleet.wait(200ms);
  Fleet.m_World.m_PausedDesks = false;
  const std::size_t Before = Fleet.m_World.m_Runs.size();
  PathRequest &Own = Fleet.send(1, Hold);
  Fleet.wait(200ms);
  BOOST_TEST(!Own.isServed());
  BOOST_TEST(Fleet.m_World.m_Runs.size() == Before);
  Fleet.wait(3s);
  PathRequest &Later = Fleet.send(1, Hold);
  Fleet.wait(200ms);
  BOOST_TEST(Later.isServed());
}

// Guards against a quarantine of requests whose calls broke with the path.
BOOST_AUTO_TEST_CASE(ALostPathIsNoCrashOfTheUpstreams) {
  PathFleet Fleet(3, 1, 4, 4);
  Fleet.run(500ms, 100ms);
  for (int I = 0; I < 4; ++I)
    Fleet.send(0, Hold, "same");
  Fleet.run(10ms, 1s);
  Fleet.cut(1, PathMode::Reset);
  Fleet.run(500ms, 1s);
  PathRequest &Request = Fleet.send(0, Hold, "same");
  Fleet.run(500ms, 1s);
  BOOST_TEST(Request.isServed());
}

// Guards against a second run, a false "not run" and a stream with a gap, in
// any series of cuts, kills, freezes and stops.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderRandomFaults) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      std::mt19937 Random(Seed);
      const auto Below = [&](std::size_t Bound) { return Random() % Bound; };
      PathFleet Fleet(5, 2, 5, 3);
      for (int Action = 0; Action < 25; ++Action) {
        const std::size_t Instance = Below(5);
        switch (Below(6)) {
        case 0:
          Fleet.heal();
          Fleet.cut(1 + Below(4), static_cast<PathMode>(1 + Below(3)));
          break;
        case 1:
          Fleet.heal();
          break;
        case 2:
          Fleet.stopInstance(Instance);
          break;
        case 3:
          Fleet.startInstance(Instance);
          break;
        case 4:
          Fleet.freeze(Instance);
          break;
        default:
          Fleet.thaw(Instance);
          break;
        }
        Fleet.run(std::chrono::milliseconds(50 + Below(700)), 40ms);
      }
      Fleet.heal();
      for (std::size_t I = 0; I < 5; ++I) {
        Fleet.thaw(I);
        Fleet.startInstance(I);
      }
      Fleet.run(6s, 40ms);
      Fleet.checkRuns();
      Fleet.checkStreams();
      const TimePoint Since = Fleet.m_Clock.now();
      Fleet.run(3s, 40ms);
      BOOST_TEST(Fleet.served(false, Since).share() == 1.0);
    }
}
