/// Rules of placement by time, each on its own, without network and with a
/// virtual clock.
#define BOOST_TEST_MODULE placement_by_time
#include "balance/balancer.h"
#include "unit/fake_speeds.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace crowstep;
using namespace crowstep::balance;
using crowstep::test::FakeSpeed;
using crowstep::test::FakeSpeeds;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Slots = 16;

UpstreamId engineId(int Number) {
  return upstreamIdOf("engine-" + std::to_string(Number));
}

Upstream engine(int Number) {
  const std::string Name = "engine-" + std::to_string(Number);
  return {engineId(Number),
          Name,
          "writer",
          {0x7f000001, 9000},
          {"a"},
          Engine{Slots, {}, true, true},
          false};
}

Upstream desk(int Number) {
  Upstream Result = engine(Number);
  Result.m_Service = "desk";
  Result.m_Kind = PlainService{6};
  return Result;
}

PlacementQuery longCall(std::uint64_t Prefix, std::uint32_t Tokens = 15000) {
  PlacementQuery Result;
  Result.m_Service = "writer";
  Result.m_Prompt = {
      {{Prefix, Tokens - 1000}, {Prefix + 1000000, 1000}}, Tokens, 100, 100};
  Result.m_LatencyTarget = 2s;
  return Result;
}

PlacementQuery shortCall(std::uint64_t Unique) {
  PlacementQuery Result = longCall(500);
  Result.m_Prompt = {{{500, 300}, {Unique + 2000000, 900}}, 1200, 100, 100};
  return Result;
}

PlacementQuery plainCall() {
  PlacementQuery Result;
  Result.m_Service = "desk";
  return Result;
}

/// An instance with a number of engines and speeds that the test sets.
struct TestInstance {
  TimePoint m_Now{100s};
  FakeSpeeds m_Speeds;
  Balancer m_Balancer;

  explicit TestInstance(int Engines, bool IsActive = true,
                        std::uint64_t Seed = 1)
      : m_Speeds(IsActive), m_Balancer({"a"}, Seed) {
    m_Balancer.setSpeedView(&m_Speeds);
    setEngines(Engines);
  }

  /// Lists the plain upstreams and engines, those from \p Draining on as such.
  void setEngines(int Engines, int Draining = 1000) {
    std::vector<Upstream> List;
    List.reserve(static_cast<std::size_t>(Engines) + 4);
    for (int I = 0; I < Engines; ++I) {
      List.push_back(engine(I));
      List.back().m_Draining = I >= Draining;
    }
    for (int I = 0; I < 4; ++I)
      List.push_back(desk(1000 + I));
    m_Balancer.setUpstreams(List);
  }

  FakeSpeed &speed(int Number) { return m_Speeds.m_Speeds[engineId(Number)]; }

  Placed placeOrFail(const PlacementQuery &Query) {
    const PlacementResult Result = m_Balancer.place(Query, m_Now);
    BOOST_REQUIRE(std::holds_alternative<Placed>(Result));
    return std::get<Placed>(Result);
  }

  /// Puts calls with this many tokens to prefill at an engine, as another
  /// instance reports them.
  void setPeerLoad(const std::map<int, std::uint32_t> &Tokens) {
    LoadDigest Digest;
    for (const auto &[Number, Count] : Tokens)
      Digest.m_Loads.push_back({engineId(Number), 0, 1, Count, Count, 0});
    m_Balancer.applyPeerDigest(InstanceId(7), Digest, m_Now);
  }

  /// Places short calls, one every 10 ms, while another instance places four
  /// times their work of other calls; returns where.
  std::set<UpstreamId> placeShortCalls(int Count) {
    std::set<UpstreamId> Result;
    for (int I = 0; I < Count; ++I) {
      m_Now += 10ms;
      const Placed At = placeOrFail(shortCall(static_cast<std::uint64_t>(I)));
      m_Balancer.recordFirstEvent(At.m_Ticket, m_Now);
      m_Balancer.recordCallEnd(At.m_Ticket, CallOutcome::Served, m_Now);
      Result.insert(At.m_Upstream);
      LoadDigest Others;
      Others.m_Work[poolIdOf("writer", 0)] = {0, 4 * 3500};
      m_Balancer.applyPeerDigest(InstanceId(7), Others, m_Now);
    }
    return Result;
  }

  std::size_t sensitiveEngines() {
    return m_Balancer.latencySensitiveEngineCount("writer");
  }
};

/// An engine option of a state that outlives it.
EngineOption option(UpstreamState &State, std::uint64_t Queued,
                    std::uint32_t Uncached) {
  State.m_Upstream = engine(0);
  EngineOption Result;
  Result.m_State = &State;
  Result.m_QueuedPrefillTokens = Queued;
  Result.m_UncachedTokens = Uncached;
  return Result;
}

constexpr PrefillTime PerToken = std::chrono::duration<double, std::micro>(20);

} // namespace

/// Guards against speeds that change anything where they are not learned: an
/// instance with wild speeds that are not active chooses as one without any.
BOOST_AUTO_TEST_CASE(SpeedsThatAreNotActiveChangeNothing) {
  TestInstance Wild(20, false);
  for (int I = 0; I < 20; ++I)
    Wild.speed(I) = {I % 2 == 0 ? 4.0 : 0.25, I % 5 - 2, 0.1, 10};
  for (int I = 1000; I < 1004; ++I)
    Wild.speed(I) = {I % 2 == 0 ? 4.0 : 0.25, 0, 0.1, 10};
  Wild.setEngines(20);
  TestInstance Plain(20, false);
  Plain.m_Balancer.setSpeedView(nullptr);
  for (std::uint64_t I = 0; I < 600; ++I) {
    const PlacementQuery Query =
        I % 3 == 0 ? shortCall(I)
                   : (I % 3 == 1 ? longCall(I % 40) : plainCall());
    const PlacementResult First = Wild.m_Balancer.place(Query, Wild.m_Now);
    const PlacementResult Second = Plain.m_Balancer.place(Query, Plain.m_Now);
    BOOST_REQUIRE(First.index() == Second.index());
    if (const auto *At = std::get_if<Placed>(&First))
      BOOST_TEST((At->m_Upstream == std::get<Placed>(Second).m_Upstream));
    BOOST_TEST(Wild.sensitiveEngines() == Plain.sensitiveEngines());
    Wild.m_Now += 5ms;
    Plain.m_Now += 5ms;
  }
  BOOST_TEST(Wild.m_Balancer.busyEngines("writer", Wild.m_Now) ==
             Plain.m_Balancer.busyEngines("writer", Plain.m_Now));
}

/// Guards against roles that move as soon as equal speeds are learned.
BOOST_AUTO_TEST_CASE(EqualSpeedsGiveTheSameRoles) {
  TestInstance ByTime(20);
  TestInstance ByTokens(20, false);
  const auto First = ByTime.placeShortCalls(1);
  const auto Second = ByTokens.placeShortCalls(1);
  BOOST_TEST((First == Second));
  // Before the first update of the work above, as after it.
  BOOST_TEST(ByTime.sensitiveEngines() ==
             RoleSplit().latencySensitiveEngineCount(20));
}

/// Guards against short streams at slow engines: the fastest class takes them,
/// and as many of its engines as have the speed for the share of the work.
BOOST_AUTO_TEST_CASE(TheFastestClassTakesShortCalls) {
  TestInstance Instance(20);
  std::set<UpstreamId> Fast;
  for (int I = 0; I < 20; I += 4) {
    Instance.speed(I) = {2, 1, 1, 1};
    Fast.insert(engineId(I));
  }
  const auto Used = Instance.placeShortCalls(200);
  BOOST_TEST(std::includes(Fast.begin(), Fast.end(), Used.begin(), Used.end()));
}

/// Guards against roles that count engines instead of their speeds: without
/// work a share of 0.27 is assumed for short calls. Of a total speed of 24 that
/// is 6.5, which 3 engines of speed 2 have; by numbers it would be 5 engines.
BOOST_AUTO_TEST_CASE(RolesFollowTheSumOfSpeeds) {
  TestInstance Instance(18);
  for (int I = 0; I < 6; ++I)
    Instance.speed(I) = {2, 1, 1, 1};
  Instance.placeShortCalls(1);
  BOOST_TEST(Instance.sensitiveEngines() == 3U);
}

/// Guards against instances that give different engines to short calls because
/// they know slightly different speeds of the same classes.
BOOST_AUTO_TEST_CASE(SpeedsWithinAClassDontChangeTheOrder) {
  std::vector<std::set<UpstreamId>> Used;
  for (const double Error : {-0.1, 0.1}) {
    TestInstance Instance(20);
    for (int I = 0; I < 20; ++I)
      Instance.speed(I) = {1 + (I % 2 == 0 ? Error : -Error), 0, 1, 1};
    Used.push_back(Instance.placeShortCalls(200));
  }
  BOOST_TEST((Used[0] == Used[1]));
}

/// Guards against an engine that keeps short calls after it has become slow,
/// and against an order that is computed for each call.
BOOST_AUTO_TEST_CASE(AChangedClassMovesRolesAtTheNextUpdate) {
  TestInstance Instance(20);
  const std::set<UpstreamId> Before = Instance.placeShortCalls(200);
  for (int I = 0; I < 20; ++I)
    if (Before.contains(engineId(I)))
      Instance.speed(I) = {0.5, -1, 1, 1};
  Instance.m_Now += EngineRoles::UpdateInterval;
  for (const UpstreamId Id : Instance.placeShortCalls(20))
    BOOST_TEST(!Before.contains(Id));
  Instance.m_Now += EngineRoles::UpdateInterval;
  Instance.placeShortCalls(1);
  const int Reads = Instance.m_Speeds.m_ClassReads;
  Instance.placeShortCalls(20);
  BOOST_TEST(Instance.m_Speeds.m_ClassReads == Reads);
}

/// Guards against roles of engines that are gone or draining, and against
/// learned ones that stay when speeds are not learned any more.
BOOST_AUTO_TEST_CASE(RolesAreThoseOfTheEnginesInService) {
  TestInstance Few(10);
  Few.placeShortCalls(200);
  TestInstance Drained(20);
  Drained.setEngines(20, 10);
  Drained.placeShortCalls(200);
  BOOST_TEST(Drained.sensitiveEngines() == Few.sensitiveEngines());
  TestInstance Shrunk(100);
  Shrunk.placeShortCalls(200);
  Shrunk.setEngines(10);
  Shrunk.placeOrFail(shortCall(1));
  BOOST_TEST(Shrunk.sensitiveEngines() == Few.sensitiveEngines());
  TestInstance Never(20, false);
  Never.placeShortCalls(200);
  TestInstance Ended(20);
  for (int I = 0; I < 20; ++I)
    Ended.speed(I) = {I < 2 ? 4.0 : 0.5, I < 2 ? 1 : 0, 1, 1};
  Ended.placeShortCalls(200);
  BOOST_TEST(Ended.sensitiveEngines() != Never.sensitiveEngines());
  Ended.m_Speeds.m_IsActive = false;
  Ended.m_Now += EngineRoles::UpdateInterval;
  Ended.placeShortCalls(1);
  BOOST_TEST(Ended.sensitiveEngines() == Never.sensitiveEngines());
}

/// Guards against a boundary that moves with each small change of the work.
BOOST_AUTO_TEST_CASE(TheBoundaryStaysWhileItIsNearlyRight) {
  const std::vector<SpeedGroup> Groups = {{10, 1}};
  RoleSplit Split;
  EngineRoles Roles;
  TimePoint Now{100s};
  // Latency-sensitive work weighs 1.5: 4.4 engines, then 4.7, then 5.2.
  Split.add({4.4 / 1.5, 5.6}, Now);
  Roles.update(Split, Groups, Now);
  BOOST_TEST(Roles.latencySensitiveEngineCount() == 4U);
  RoleSplit Near;
  Near.add({4.7 / 1.5, 5.3}, Now);
  Roles.update(Near, Groups, Now);
  BOOST_TEST(Roles.latencySensitiveEngineCount() == 4U);
  RoleSplit Far;
  Far.add({5.2 / 1.5, 4.8}, Now);
  Roles.update(Far, Groups, Now);
  BOOST_TEST(Roles.latencySensitiveEngineCount() == 5U);
}

/// Guards against a boundary that leaves one kind of calls without an engine,
/// and against one that moves in a large fleet with each change of the work.
BOOST_AUTO_TEST_CASE(TheBoundaryIsPossible) {
  const auto CountAfter = [](const std::vector<std::pair<double, double>> &Of) {
    EngineRoles Roles;
    for (const auto &[Exact, Engines] : Of) {
      RoleSplit Split;
      Split.add({Exact / 1.5, Engines - Exact}, TimePoint{100s});
      Roles.update(Split, {{static_cast<std::size_t>(Engines), 1}},
                   TimePoint{100s});
    }
    return Roles.latencySensitiveEngineCount();
  };
  BOOST_TEST(CountAfter({{0.6, 10}}) == 1U);
  BOOST_TEST(CountAfter({{5.1, 6}, {4.4, 5}}) == 4U);
  BOOST_TEST(CountAfter({{0, 10}, {0.6, 10}}) == 1U);
  BOOST_TEST(CountAfter({{97, 100}, {100, 100}}) == 100U);
  BOOST_TEST(CountAfter({{44.4, 100}, {46, 100}}) == 44U);
  BOOST_TEST(CountAfter({{44.4, 100}, {47, 100}}) == 47U);
}

/// Guards against a cost that leaves out how fast an engine is, or that its
/// machine is slow at this moment.
BOOST_AUTO_TEST_CASE(CostsAreTimes) {
  UpstreamState State;
  EngineOption Usual = option(State, 10000, 2000);
  Usual.m_LaterPrefillTokens = 1000;
  Usual.m_MoreUrgentCalls = 3;
  const double Cost = costOf(Usual, 2, false, false);
  EngineOption Fast = Usual;
  Fast.m_Speed = 2;
  BOOST_TEST(costOf(Fast, 2, false, false) == Cost / 2);
  EngineOption Slowed = Usual;
  Slowed.m_Slowdown = 2.5;
  BOOST_TEST(costOf(Slowed, 2, false, false) == Cost + 1.5 * 10000);
}

/// Guards against calls that go where they delay more urgent ones, or where no
/// slot is free, and against prefixes that are prefilled again in a burst.
BOOST_AUTO_TEST_CASE(DelaysOfOthersAndTakenSlotsCost) {
  UpstreamState State;
  const EngineOption Idle = option(State, 0, 0);
  const double Least = costOf(Idle, 1, true, false);
  EngineOption Urgent = Idle;
  Urgent.m_MoreUrgentCalls = 1;
  BOOST_TEST(costOf(Urgent, 1, true, false) > Least);
  EngineOption Full = Idle;
  Full.m_SlotWaitTokens = 1000;
  BOOST_TEST(costOf(Full, 1, true, false) == Least);
  Full.m_Full = true;
  BOOST_TEST(costOf(Full, 1, true, false) == Least + 1000);
  EngineOption Taken = Idle;
  Taken.m_Calls = Slots;
  const double Scarce = uncachedWeight({Taken}, std::nullopt);
  BOOST_TEST(Scarce > 2 * uncachedWeight({Idle}, std::nullopt));
  Taken.m_Calls = 3 * Slots;
  BOOST_TEST(uncachedWeight({Taken}, std::nullopt) == Scarce);
}

/// Guards against calls that stay at a saturated engine for a cached prefix
/// while prefill is not scarce, and against a few engines with long queues that
/// make it look scarce everywhere.
BOOST_AUTO_TEST_CASE(PrefillingAgainIsExpensiveOnlyWhilePrefillIsScarce) {
  UpstreamState State;
  const std::vector<EngineOption> Idle(10, option(State, 0, 1000));
  const double ScarceWeight = uncachedWeight(Idle, std::nullopt);
  BOOST_TEST(uncachedWeight(Idle, PerToken) == 1.5);
  // 20,000 tokens take 0.4 s.
  const std::vector<EngineOption> Busy(10, option(State, 20000, 1000));
  BOOST_TEST(uncachedWeight(Busy, PerToken) == ScarceWeight);
  std::vector<EngineOption> TwoSaturated = Idle;
  for (std::size_t I = 0; I < 2; ++I)
    TwoSaturated[I] = option(State, 2000000, 1000);
  constexpr double SquareOfTwoInTen = 0.04;
  BOOST_TEST(uncachedWeight(TwoSaturated, PerToken) ==
                 1.5 + (ScarceWeight - 1.5) * SquareOfTwoInTen,
             boost::test_tools::tolerance(1e-9));
  std::vector<EngineOption> Slow(10, option(State, 10000, 1000));
  for (EngineOption &Option : Slow)
    Option.m_Slowdown = 2;
  BOOST_TEST(uncachedWeight(Slow, PerToken) == ScarceWeight);
}

namespace {

/// Ten engines, of which one has the prefix of a call cached. Others report the
/// tokens that are queued for prefill; a token takes 25 us, and the call's
/// limit is 1.5 s.
struct SaturatedEngine : TestInstance {
  static constexpr int Engines = 10;
  static constexpr std::uint32_t Saturated = 64000; ///< 1.66 s.
  PlacementQuery m_Query = longCall(1, 17000);
  UpstreamId m_Cached; ///< The engine with the prefix.

  SaturatedEngine() : TestInstance(Engines) {
    const Placed First = placeOrFail(m_Query);
    m_Cached = First.m_Upstream;
    m_Balancer.recordFirstEvent(First.m_Ticket, m_Now);
    m_Balancer.recordCallEnd(First.m_Ticket, CallOutcome::Served, m_Now);
  }

  /// Saturates the engine with the prefix and loads the others; \p Roomy with
  /// 20,000 tokens, half a second.
  void load(std::uint32_t Elsewhere, UpstreamId Roomy = UpstreamId()) {
    std::map<int, std::uint32_t> Tokens;
    for (int I = 0; I < Engines; ++I)
      Tokens[I] = Elsewhere;
    for (int I = 0; I < Engines; ++I) {
      if (engineId(I) == m_Cached)
        Tokens[I] = Saturated;
      if (engineId(I) == Roomy)
        Tokens[I] = 20000;
    }
    setPeerLoad(Tokens);
  }

  bool isRefused() {
    const PlacementResult Result = m_Balancer.place(m_Query, m_Now);
    const auto *Refused = std::get_if<NotPlaced>(&Result);
    return Refused != nullptr &&
           Refused->m_Reason == RefusalReason::TargetUnreachable;
  }
};

} // namespace

/// Guards against refusals of a call whose prefix is cached at a saturated
/// engine while others have room.
BOOST_AUTO_TEST_CASE(ACallLeavesASaturatedEngineWhileOthersHaveRoom) {
  SaturatedEngine Instance;
  Instance.load(20000);
  const Placed At = Instance.placeOrFail(Instance.m_Query);
  BOOST_TEST((At.m_Upstream != Instance.m_Cached));
  BOOST_TEST(At.m_Inputs.m_LeftSaturated);
  BOOST_TEST((At.m_Inputs.m_PredictedWait < 750ms));
}

/// Guards against prefixes that are prefilled again at engines without room for
/// it: one engine has room, but the service on the whole has none.
BOOST_AUTO_TEST_CASE(ACallStaysWhileTheServiceHasNoRoom) {
  SaturatedEngine Instance;
  Instance.load(20000);
  const UpstreamId Roomy = Instance.placeOrFail(Instance.m_Query).m_Upstream;
  SaturatedEngine Other;
  Other.load(45000, Roomy);
  BOOST_TEST(Other.isRefused());
}

/// Guards against calls that leave the engine with their prefix although its
/// wait, 0.83 s, is within their limit.
BOOST_AUTO_TEST_CASE(ACallStaysWhileItsWaitIsWithinTheLimit) {
  SaturatedEngine Instance;
  std::map<int, std::uint32_t> Tokens;
  for (int I = 0; I < SaturatedEngine::Engines; ++I)
    Tokens[I] = engineId(I) == Instance.m_Cached ? 32000 : 10000;
  Instance.setPeerLoad(Tokens);
  BOOST_TEST(
      (Instance.placeOrFail(Instance.m_Query).m_Upstream == Instance.m_Cached));
}

/// Guards against a call that goes to an engine which is nearly as busy: the
/// mean wait is under 0.6 of the limit, but none is under half.
BOOST_AUTO_TEST_CASE(ACallLeavesOnlyForAnEngineWithRoom) {
  SaturatedEngine Instance;
  Instance.load(30000);
  BOOST_TEST(Instance.isRefused());
}

/// Guards against a resumed stream that gets events of another software version
/// because the engine of its own version is saturated.
BOOST_AUTO_TEST_CASE(AResumedStreamStaysWithItsVersion) {
  SaturatedEngine Instance;
  std::vector<Upstream> List;
  for (int I = 0; I < SaturatedEngine::Engines; ++I) {
    List.push_back(engine(I));
    List.back().m_Software =
        SoftwareVersion(engineId(I) == Instance.m_Cached ? "old" : "new");
  }
  Instance.m_Balancer.setUpstreams(List);
  Instance.load(0);
  Instance.m_Query.m_RequiredSoftware = SoftwareVersion("old");
  BOOST_TEST(Instance.isRefused());
}

namespace {

/// Places calls that run on at the only engine until it has no room; returns
/// how many it took.
int fillEngine(double UsableShare, bool IsResumed) {
  TestInstance Instance(0);
  Upstream Only = engine(0);
  Only.m_Software = SoftwareVersion("one");
  Instance.m_Balancer.setUpstreams({Only});
  Instance.speed(0) = {1, 0, UsableShare, 1};
  int Taken = 0;
  for (std::uint64_t I = 0;; ++I) {
    PlacementQuery Query = shortCall(I);
    Query.m_MayWait = true;
    if (IsResumed)
      Query.m_RequiredSoftware = Only.m_Software;
    const PlacementResult Result =
        Instance.m_Balancer.place(Query, Instance.m_Now);
    if (!std::holds_alternative<Placed>(Result))
      return Taken;
    Instance.m_Balancer.recordFirstEvent(std::get<Placed>(Result).m_Ticket,
                                         Instance.m_Now);
    ++Taken;
  }
}

} // namespace

/// Guards against calls that slow down an engine beyond its usable slots, one
/// that gets no call at all, and a resumed stream that finds no slot.
BOOST_AUTO_TEST_CASE(CallsTakeTheUsableShareOfSlots) {
  // 0.85 of 16 slots are taken without a resumed stream.
  BOOST_TEST(fillEngine(1, false) == 14);
  BOOST_TEST(fillEngine(0.5, false) == 7);
  BOOST_TEST(fillEngine(0.01, false) == 1);
  BOOST_TEST(fillEngine(0, false) == 1);
  BOOST_TEST(fillEngine(0.5, true) == 16);
}

/// Guards against short calls that wait for a slot of their role while a fast
/// engine of the other one has room, and against those that go to a slow one.
BOOST_AUTO_TEST_CASE(ShortCallsLeaveFullEnginesForFastOnes) {
  constexpr int FastEngines = 6; // Of 18; 3 of them take short calls.
  TestInstance Instance(18);
  for (int I = 0; I < FastEngines; ++I)
    Instance.speed(I) = {2, 1, 1, 1};
  Instance.placeShortCalls(1);
  BOOST_REQUIRE(Instance.sensitiveEngines() == 3U);
  PlacementQuery Query = shortCall(1);
  Query.m_MayWait = true;
  std::set<UpstreamId> Used;
  for (int I = 0; I < static_cast<int>(FastEngines * Slots); ++I) {
    Query.m_Prompt = shortCall(static_cast<std::uint64_t>(I)).m_Prompt;
    const PlacementResult Result =
        Instance.m_Balancer.place(Query, Instance.m_Now);
    const auto *At = std::get_if<Placed>(&Result);
    if (At == nullptr)
      break;
    Used.insert(At->m_Upstream);
  }
  BOOST_TEST(Used.size() == static_cast<std::size_t>(FastEngines));
  for (const UpstreamId Id : Used)
    BOOST_TEST(Instance.m_Speeds.speedClassOf(Id) == 1);
  BOOST_TEST(std::holds_alternative<MustWait>(
      Instance.m_Balancer.place(Query, Instance.m_Now)));
}

/// Guards against plain calls at an idle upstream that takes longer for one
/// than others for two.
BOOST_AUTO_TEST_CASE(PlainUpstreamsAreComparedByTime) {
  TestInstance Instance(0);
  constexpr int First = 1000;
  for (int I = 0; I < 4; ++I)
    Instance.speed(First + I) = {0.5, -1, 1, 1};
  Instance.speed(First) = {1, 0, 1, 1};
  const UpstreamId Fast = engineId(First);
  // One call there takes 1, two 2 as one elsewhere, three 3.
  BOOST_TEST((Instance.placeOrFail(plainCall()).m_Upstream == Fast));
  std::multiset<UpstreamId> Used = {Fast};
  for (int I = 0; I < 5; ++I)
    Used.insert(Instance.placeOrFail(plainCall()).m_Upstream);
  BOOST_TEST(Used.count(Fast) >= 2U);
  TestInstance Slow(0);
  for (int I = 1; I < 4; ++I)
    Slow.speed(First + I).m_Slowdown = 10;
  for (int I = 0; I < 6; ++I)
    BOOST_TEST((Slow.placeOrFail(plainCall()).m_Upstream == Fast));
}

/// Guards against engines that are ordered, or given back, by a count that
/// takes a fast engine for a usual one.
BOOST_AUTO_TEST_CASE(BusyEnginesCountSpeeds) {
  TestInstance Instance(2);
  Instance.speed(0) = {3, 2, 1, 1};
  LoadDigest Digest;
  Digest.m_Loads.push_back({engineId(0), 0, Slots, 0, 0, 0});
  Instance.m_Balancer.applyPeerDigest(InstanceId(7), Digest, Instance.m_Now);
  // The fast engine, whose slots are taken, has 3 of 4 parts of the capacity.
  BOOST_TEST(Instance.m_Balancer.busyEngines("writer", Instance.m_Now) == 1.5);
}

/// Guards against predictions that leave out how fast an engine is, and against
/// a service's prefill time that its fast engines make too short for others.
BOOST_AUTO_TEST_CASE(PredictedWaitsAreTimesOfTheEngine) {
  const auto WaitAt = [](FakeSpeed Speed) {
    TestInstance Instance(1);
    Instance.speed(0) = Speed;
    for (std::uint64_t I = 0; I < 100; ++I) {
      // Prefill of 15,000 tokens at 25 us, after 60 ms.
      const Placed At = Instance.placeOrFail(longCall(I * 7 + 1));
      Instance.m_Now += std::chrono::duration_cast<Duration>(
          435ms * Speed.m_Slowdown / Speed.m_Speed);
      Instance.m_Balancer.recordFirstEvent(At.m_Ticket, Instance.m_Now);
      Instance.m_Balancer.recordCallEnd(At.m_Ticket, CallOutcome::Served,
                                        Instance.m_Now);
    }
    Instance.setPeerLoad({{0, 20000}});
    return std::chrono::duration<double>(
               Instance.placeOrFail(longCall(5000)).m_Inputs.m_PredictedWait)
        .count();
  };
  constexpr double Usual = 0.06 + 20000 * 25e-6;
  const auto Tolerance = boost::test_tools::tolerance(0.01);
  BOOST_TEST(WaitAt({1, 0, 1, 1}) == Usual, Tolerance);
  BOOST_TEST(WaitAt({2, 1, 1, 1}) == Usual / 2, Tolerance);
  BOOST_TEST(WaitAt({1, 0, 1, 2}) == 0.06 + 20000 * 50e-6,
             boost::test_tools::tolerance(0.1));
}

/// Guards against a prediction that leaves out that the machine of an engine is
/// slow at this moment.
BOOST_AUTO_TEST_CASE(ASlowMachineMakesTheWaitLonger) {
  TestInstance Instance(1);
  Instance.speed(0) = {1, 0, 1, 2.5};
  Instance.setPeerLoad({{0, 20000}});
  PlacementQuery Query = longCall(1);
  Query.m_WaitLimit = 5s;
  BOOST_TEST(
      (Instance.placeOrFail(Query).m_Inputs.m_PredictedWait == 60ms + 1250ms));
  // It is over before the next update of the roles.
  Instance.speed(0).m_Slowdown = 1;
  Instance.setPeerLoad({{0, 20000}});
  BOOST_TEST(
      (Instance.placeOrFail(Query).m_Inputs.m_PredictedWait < 60ms + 1250ms));
}
