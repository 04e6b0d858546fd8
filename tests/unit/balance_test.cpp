/// Placement decisions of single instances, without network and with a virtual
/// clock.
#define BOOST_TEST_MODULE balance
#include "balance/balancer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SharedTokens = 12000;
constexpr std::uint32_t UniqueTokens = 3000;

Upstream engine(int Number, const std::string &Name = "") {
  const std::string FullName =
      Name.empty() ? "engine-" + std::to_string(Number) : Name;
  return {upstreamIdOf(FullName),
          FullName,
          "writer",
          {0x7f000001, static_cast<std::uint16_t>(9000 + Number)},
          {"a"},
          Engine{64, {}, true, true},
          false};
}

Upstream desk(int Number, const std::string &Zone) {
  Upstream Result = engine(Number, "desk-" + std::to_string(Number));
  Result.m_Service = "desk";
  Result.m_Zone = {Zone};
  Result.m_Kind = PlainService{6};
  return Result;
}

PlacementQuery longCall(std::uint64_t Prefix, std::uint64_t Unique) {
  PlacementQuery Result;
  Result.m_Service = "writer";
  Result.m_Prompt = {{{Prefix, SharedTokens}, {Unique, UniqueTokens}},
                     SharedTokens + UniqueTokens,
                     200,
                     100};
  Result.m_LatencyTarget = 2s;
  return Result;
}

PlacementQuery shortCall(std::uint64_t Unique) {
  PlacementQuery Result = longCall(500, Unique);
  Result.m_Prompt = {{{500, 300}, {Unique, 900}}, 1200, 200, 100};
  return Result;
}

PlacementQuery plainCall() {
  PlacementQuery Result;
  Result.m_Service = "desk";
  Result.m_LatencyTarget = 100ms;
  return Result;
}

struct TestInstance {
  TimePoint m_Now{100s};
  Balancer m_Balancer{{"a"}};

  explicit TestInstance(int Engines) {
    std::vector<Upstream> List;
    List.reserve(static_cast<std::size_t>(Engines));
    for (int I = 0; I < Engines; ++I)
      List.push_back(engine(I));
    m_Balancer.setUpstreams(List);
    m_Balancer.setCacheCapacity("writer", 1000000);
  }
  Placed placeOrFail(const PlacementQuery &Query) {
    const PlacementResult Result = m_Balancer.place(Query, m_Now);
    BOOST_REQUIRE(std::holds_alternative<Placed>(Result));
    return std::get<Placed>(Result);
  }
  /// Places equal calls until one must wait; returns where they are.
  std::set<UpstreamId> placeUntilFull(PlacementQuery Query) {
    Query.m_MayWait = true;
    std::set<UpstreamId> Result;
    for (;;) {
      const auto Placement = m_Balancer.place(Query, m_Now);
      if (!std::holds_alternative<Placed>(Placement))
        return Result;
      const auto &At = std::get<Placed>(Placement);
      m_Balancer.recordFirstEvent(At.m_Ticket, m_Now);
      Result.insert(At.m_Upstream);
    }
  }
  /// Places and serves a call at once.
  Placed placeAndServe(const PlacementQuery &Query) {
    Placed Result = placeOrFail(Query);
    m_Balancer.recordFirstEvent(Result.m_Ticket, m_Now);
    m_Balancer.recordCallEnd(Result.m_Ticket, CallOutcome::Served, m_Now);
    return Result;
  }
};

} // namespace

/// Guards against a prefix that is prefilled at several engines: long prompts
/// with one prefix go to the engine that has cached it, on every instance that
/// receives the others' digests.
BOOST_AUTO_TEST_CASE(PromptsThatBeginAlikeMeet) {
  TestInstance Instance(9);
  TestInstance Other(9);
  for (std::uint64_t Prefix = 1; Prefix <= 20; ++Prefix) {
    const Placed First =
        Instance.placeAndServe(longCall(Prefix, 1000 + Prefix));
    for (std::uint64_t I = 0; I < 5; ++I)
      BOOST_TEST(
          (Instance.placeAndServe(longCall(Prefix, 2000 + I)).m_Upstream ==
           First.m_Upstream));
    Other.m_Balancer.applyPeerDigest(
        InstanceId(1), Instance.m_Balancer.takeDigest(Instance.m_Now),
        Other.m_Now);
    BOOST_TEST((Other.placeAndServe(longCall(Prefix, 3000)).m_Upstream ==
                First.m_Upstream));
    Instance.m_Balancer.applyPeerDigest(
        InstanceId(2), Other.m_Balancer.takeDigest(Other.m_Now),
        Instance.m_Now);
  }
}

/// Guards against prefixes that are prefilled again after a restart of an
/// instance: the full digest of another one says which engine has cached what.
BOOST_AUTO_TEST_CASE(ARestartedInstanceLearnsWhoKeepsWhat) {
  TestInstance Instance(9);
  TestInstance Restarted(9);
  for (std::uint64_t Prefix = 1; Prefix <= 30; ++Prefix)
    Instance.placeAndServe(longCall(Prefix, 1000 + Prefix));
  Restarted.m_Balancer.applyPeerDigest(
      InstanceId(1), Instance.m_Balancer.fullDigest(Instance.m_Now),
      Restarted.m_Now);
  for (std::uint64_t Prefix = 1; Prefix <= 30; ++Prefix)
    BOOST_TEST(Restarted.placeAndServe(longCall(Prefix, 2000))
                   .m_Inputs.m_UncachedTokens == UniqueTokens);
}

/// Guards against one busy engine, and prefixes that are prefilled twice, while
/// all instances have just started and the engines' caches are empty. Calls
/// share a first segment with all others of their class and a second one with a
/// few; in the first tenth of a second no instance knows of another's calls.
/// With preferred engines by the first segment one engine fills up, and each
/// instance chooses another one by itself: of 60 prefixes 4 are prefilled once,
/// and the busiest engine has 32 of 120 calls. With preferred engines by the
/// last shared segment these figures are 44 and 20.
BOOST_AUTO_TEST_CASE(CallsThatShareOnlyTheirFirstPartSpread) {
  constexpr int Instances = 8;
  constexpr std::uint64_t Prefixes = 60;
  constexpr std::uint64_t CallsEach = 2;
  std::map<UpstreamId, int> ByEngine;
  std::map<std::uint64_t, std::set<UpstreamId>> Readers;
  std::vector<TestInstance> All;
  All.reserve(Instances);
  for (int I = 0; I < Instances; ++I)
    All.emplace_back(8);
  for (std::uint64_t I = 0; I < Prefixes * CallsEach; ++I) {
    const std::uint64_t Prefix = 100 + I % Prefixes;
    PlacementQuery Query = longCall(1, 0);
    Query.m_Prompt.m_Segments = {{1, 2520}, {Prefix, 3780}, {1000 + I, 2890}};
    Query.m_Prompt.m_PromptTokens = 2520 + 3780 + 2890;
    const Placed Placement = All[I % Instances].placeOrFail(Query);
    ++ByEngine[Placement.m_Upstream];
    Readers[Prefix].insert(Placement.m_Upstream);
  }
  constexpr int FairShare = 15;
  for (const auto &[Id, Calls] : ByEngine)
    BOOST_TEST(Calls <= 2 * FairShare);
  const auto ReadOnce =
      std::count_if(Readers.begin(), Readers.end(),
                    [](const auto &Entry) { return Entry.second.size() == 1; });
  BOOST_TEST(ReadOnce > static_cast<int>(Prefixes) / 2);
}

/// Guards against a burst of calls with one prefix that all queue at its engine
/// while others idle: beyond some seconds of prefill another engine is used.
BOOST_AUTO_TEST_CASE(ABurstOfOnePrefixIsShared) {
  TestInstance Instance(9);
  std::set<UpstreamId> Used;
  for (std::uint64_t I = 0; I < 40; ++I) {
    const auto Result =
        Instance.m_Balancer.place(longCall(1, 100 + I), Instance.m_Now);
    if (const auto *Placement = std::get_if<Placed>(&Result))
      Used.insert(Placement->m_Upstream);
  }
  BOOST_TEST(Used.size() > 1U);
}

/// Guards against latency-sensitive calls with short prompts at the engines of
/// calls with long prompts while there are engines for both.
BOOST_AUTO_TEST_CASE(ShortAndLongPromptsAreApart) {
  TestInstance Instance(9);
  std::set<UpstreamId> Long;
  std::set<UpstreamId> Short;
  for (std::uint64_t I = 0; I < 400; ++I) {
    if (I == 200) { // The boundary between the roles is stable.
      Long.clear();
      Short.clear();
    }
    Long.insert(Instance.placeAndServe(longCall(I % 30, 1000 + I)).m_Upstream);
    PlacementQuery Query = shortCall(5000 + I);
    Query.m_Prompt.m_Segments[0].m_Id = 500 + I % 10;
    Short.insert(Instance.placeAndServe(Query).m_Upstream);
  }
  for (const UpstreamId Id : Short)
    BOOST_TEST(!Long.contains(Id));
  BOOST_TEST(Short.size() >= 1U);
}

/// Guards against instances that all choose the same best engine, so that their
/// calls wait in one queue while the other engines idle. Many instances have
/// the same state of forty engines, and each places a call before it receives
/// the others' digests.
BOOST_AUTO_TEST_CASE(InstancesThatKnowTheSameChooseDifferently) {
  constexpr int Engines = 40;
  constexpr int Instances = 600;
  std::vector<Upstream> List;
  List.reserve(Engines);
  for (int I = 0; I < Engines; ++I)
    List.push_back(engine(I));
  // All but an eighth of the engines have much prefill queued.
  LoadDigest Known;
  for (int I = 0; I < Engines; ++I)
    if (I % 8 != 0)
      Known.m_Loads.push_back(
          {List[static_cast<std::size_t>(I)].m_Id, 0, 2, 40000, 500});
  std::map<UpstreamId, int> Chosen;
  for (int I = 0; I < Instances; ++I) {
    Balancer Gateway({"a"}, static_cast<std::uint64_t>(I));
    Gateway.setUpstreams(List);
    Gateway.applyPeerDigest(InstanceId(1), Known, TimePoint(1s));
    PlacementQuery Query = longCall(static_cast<std::uint64_t>(I) + 1, 5000);
    const auto Result = Gateway.place(Query, TimePoint(1s));
    ++Chosen[std::get<Placed>(Result).m_Upstream];
  }
  for (const auto &[Id, Calls] : Chosen)
    BOOST_TEST(Calls <= Instances / 6);
}

/// Guards against pauses after the boundary between the roles has moved. While
/// an engine for latency-sensitive calls still prefills a long prompt, a short
/// call goes to another engine, as its tokens would be delayed by each chunk of
/// the long prompt. Likewise a long call avoids engines with latency-sensitive
/// calls that still run.
BOOST_AUTO_TEST_CASE(CallsKeepAwayFromThoseTheyWouldDisturb) {
  std::vector<UpstreamState> States(2);
  for (int I = 0; I < 2; ++I)
    States[static_cast<std::size_t>(I)].m_Upstream = engine(I);
  std::mt19937_64 Random(1);
  const auto Choose = [&](const PlacementQuery &Query,
                          const EngineOption &First,
                          const EngineOption &Second) {
    const bool LatencySensitive = isLatencySensitive(Query, Duration::zero());
    return chooseEngine(Query, LatencySensitive, {First, Second}, std::nullopt,
                        Random)
        .m_State;
  };
  const PlacementQuery Short = shortCall(5000);
  for (const bool Swapped : {false, true}) {
    UpstreamState *Prefilling = &States[Swapped ? 1 : 0];
    UpstreamState *Idle = &States[Swapped ? 0 : 1];
    BOOST_TEST((Choose(Short, {Prefilling, 1, 0, 20000, 0, 0, 0, 1200},
                       {Idle, 8, 0, 0, 0, 0, 0, 1200}) == Idle));
    BOOST_TEST((Choose(longCall(1, 2), {Prefilling, 30, 0, 0, 30, 30, 0, 3000},
                       {Idle, 30, 0, 0, 0, 0, 0, 3000}) == Idle));
  }
}

/// Guards against preemption by engines with more calls than slots. When a
/// burst of short calls has taken all slots of the engines for them, further
/// calls go to the engines for long prompts, and are then refused.
BOOST_AUTO_TEST_CASE(NoEngineGetsMoreCallsThanItsSlots) {
  TestInstance Instance(4);
  std::map<UpstreamId, int> Calls;
  int Refused = 0;
  for (std::uint64_t I = 0; I < 400; ++I) {
    PlacementQuery Query = longCall(500, 5000 + I);
    Query.m_Prompt = {{{500, 300}, {5000 + I, 90}}, 390, 200, 100};
    const auto Result = Instance.m_Balancer.place(Query, Instance.m_Now);
    if (const auto *Placement = std::get_if<Placed>(&Result))
      ++Calls[Placement->m_Upstream];
    else
      ++Refused;
  }
  BOOST_TEST(Calls.size() == 4U);
  for (const auto &[Id, Count] : Calls)
    BOOST_TEST(Count <= 64);
  BOOST_TEST(Refused > 0);
}

// Guards against urgent short calls that are refused while less urgent ones
// run.
BOOST_AUTO_TEST_CASE(AnUrgentShortCallThatHasWaitedMayUseAnyEngine) {
  TestInstance Instance(2);
  PlacementQuery Long = longCall(1, 2);
  Long.m_Urgency = 5;
  const Placed LessUrgent = Instance.placeOrFail(Long);
  const auto OwnEngines = Instance.placeUntilFull(shortCall(5000));
  BOOST_REQUIRE(!OwnEngines.contains(LessUrgent.m_Upstream));
  PlacementQuery HasWaited = shortCall(5001);
  HasWaited.m_WaitTimedOut = true;
  BOOST_TEST(
      (Instance.placeOrFail(HasWaited).m_Upstream == LessUrgent.m_Upstream));
}

// Guards against short calls that a long prompt delays, as it found no engine.
BOOST_AUTO_TEST_CASE(ALongCallThatHasWaitedKeepsToItsEngines) {
  TestInstance Instance(2);
  PlacementQuery Short = shortCall(5000);
  Short.m_Urgency = 5;
  Instance.placeOrFail(Short);
  Instance.placeUntilFull(longCall(1, 2));
  PlacementQuery HasWaited = longCall(1, 3);
  HasWaited.m_WaitTimedOut = true;
  BOOST_TEST(std::holds_alternative<NotPlaced>(
      Instance.m_Balancer.place(HasWaited, Instance.m_Now)));
}

/// Guards against load counters that lose running calls. A call runs at an
/// engine that is removed from the list and listed again, with new counters.
/// When the call ends, all calls of other urgencies that have begun since must
/// still count.
BOOST_AUTO_TEST_CASE(AnEndFromBeforeTakesNothingFromOthers) {
  CallLoad Load;
  Load.addCall(1, {100, 200, true});
  Load.finishPrefill(0, 500);
  Load.removeCall(0, {500, 700, true});
  BOOST_TEST(Load.runningCalls() == 1U);
  BOOST_TEST(Load.latencySensitiveCalls() == 1U);
  BOOST_TEST(Load.heldTokens() == 200U);
  BOOST_TEST(Load.prefillAfter(0) == 100U);
  BOOST_TEST(Load.prefillBefore(1) == 100U);
}

/// Guards against choices by own calls alone: nine instances that each receive
/// a ninth of a burst would send all of it to one engine.
BOOST_AUTO_TEST_CASE(DigestsOfOthersMoveTheChoice) {
  TestInstance Instance(2);
  const Placed First = Instance.placeAndServe(longCall(1, 2));
  LoadDigest Digest;
  Digest.m_Loads.push_back({First.m_Upstream, 0, 30, 400000, 0, 0});
  Instance.m_Balancer.applyPeerDigest(InstanceId(7), Digest, Instance.m_Now);
  // The prefix is prefilled elsewhere, as the wait would be ten seconds.
  BOOST_TEST(
      (Instance.placeAndServe(longCall(1, 3)).m_Upstream != First.m_Upstream));
  // With the other engine equally busy, the call is refused for the wait.
  Digest.m_Loads.push_back(Digest.m_Loads.front());
  Digest.m_Loads.back().m_Upstream =
      upstreamIdOf(First.m_Name == "engine-0" ? "engine-1" : "engine-0");
  Instance.m_Balancer.applyPeerDigest(InstanceId(7), Digest, Instance.m_Now);
  BOOST_TEST(std::holds_alternative<NotPlaced>(
      Instance.m_Balancer.place(longCall(1, 4), Instance.m_Now)));
  // The digest of the other instance expires.
  Instance.m_Now += PeerLoads::DigestLifetime + 1ms;
  BOOST_TEST(std::holds_alternative<Placed>(
      Instance.m_Balancer.place(longCall(1, 5), Instance.m_Now)));
}

/// Guards against calls that wait in vain under overload by long prompts: such
/// a call is refused at once, with a time to retry. More urgent calls are still
/// accepted, as their prompts are prefilled before the queued ones.
BOOST_AUTO_TEST_CASE(WhatWouldWaitTooLongIsRefusedAtOnce) {
  TestInstance Instance(4);
  PlacementQuery Query = longCall(1, 1);
  Query.m_Urgency = 5;
  std::optional<NotPlaced> Refused;
  for (std::uint64_t I = 0; I < 200 && !Refused; ++I) {
    Query.m_Prompt.m_Segments = {{I, SharedTokens}, {1000 + I, UniqueTokens}};
    const auto Result = Instance.m_Balancer.place(Query, Instance.m_Now);
    if (const auto *Refusal = std::get_if<NotPlaced>(&Result))
      Refused = *Refusal;
  }
  BOOST_REQUIRE(Refused.has_value());
  BOOST_TEST((Refused->m_Reason == RefusalReason::TargetUnreachable));
  BOOST_TEST((Refused->m_RetryAfter >= 300ms));
  Query.m_Urgency = 0;
  BOOST_TEST(std::holds_alternative<Placed>(
      Instance.m_Balancer.place(Query, Instance.m_Now)));
}

/// Guards against an engine that runs out of memory and preempts a call amid
/// its stream: the calls at it stay below the share of its memory for calls.
BOOST_AUTO_TEST_CASE(CallsFitIntoAnEnginesMemory) {
  TestInstance Instance(2);
  Instance.m_Balancer.setCacheCapacity("writer", 100000);
  std::map<UpstreamId, std::uint64_t> Held;
  for (std::uint64_t I = 0; I < 50; ++I) {
    const auto Result =
        Instance.m_Balancer.place(longCall(I, 1000 + I), Instance.m_Now);
    if (const auto *Placement = std::get_if<Placed>(&Result)) {
      Instance.m_Balancer.recordFirstEvent(
          Placement->m_Ticket,
          Instance.m_Now); // Prefilled, still runs.
      Held[Placement->m_Upstream] += SharedTokens + UniqueTokens + 100;
    }
  }
  BOOST_TEST(!Held.empty());
  for (const auto &[Engine, Tokens] : Held)
    BOOST_TEST(Tokens <= 55000U);
}

/// Guards against new calls to an upstream that is draining, by the list or by
/// its own answer, and against the start of a call that was placed there
/// before.
BOOST_AUTO_TEST_CASE(LeavingUpstreamsGetNothing) {
  TestInstance Instance(0);
  std::vector<Upstream> List = {desk(1, "a"), desk(2, "a")};
  Instance.m_Balancer.setUpstreams(List);
  const Placed Waiting = Instance.placeOrFail(plainCall());
  for (Upstream &Desk : List)
    Desk.m_Draining = Desk.m_Id == Waiting.m_Upstream;
  Instance.m_Balancer.setUpstreams(List);
  BOOST_TEST(!Instance.m_Balancer.mayBegin(Waiting.m_Ticket, Instance.m_Now));
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(
        (Instance.placeOrFail(plainCall()).m_Upstream != Waiting.m_Upstream));
  // The other one answers that it is draining.
  const Placed Last = Instance.placeOrFail(plainCall());
  Instance.m_Balancer.recordCallEnd(Last.m_Ticket, CallOutcome::Draining,
                                    Instance.m_Now);
  BOOST_TEST(std::holds_alternative<NotPlaced>(
      Instance.m_Balancer.place(plainCall(), Instance.m_Now)));
}

/// An upstream that answers with errors although its probe succeeds is ejected
/// for some time and then tried again; when all fail alike none is ejected.
BOOST_AUTO_TEST_CASE(SickUpstreamsAreKeptOutUpToACeiling) {
  TestInstance Instance(0);
  Instance.m_Balancer.setUpstreams(
      {desk(1, "a"), desk(2, "a"), desk(3, "a"), desk(4, "a")});
  const UpstreamId Failing = upstreamIdOf("desk-1");
  const auto RunRound = [&](auto Fails) {
    std::map<UpstreamId, int> Count;
    std::vector<Placed> Open;
    Open.reserve(4);
    for (int I = 0; I < 4; ++I)
      Open.push_back(Instance.placeOrFail(plainCall()));
    for (const Placed &Call : Open) {
      ++Count[Call.m_Upstream];
      Instance.m_Balancer.recordCallEnd(
          Call.m_Ticket,
          Fails(Call.m_Upstream) ? CallOutcome::Failed : CallOutcome::Served,
          Instance.m_Now);
    }
    return Count;
  };
  for (int I = 0; I < 5; ++I)
    RunRound([&](UpstreamId Id) { return Id == Failing; });
  BOOST_TEST(RunRound([](UpstreamId) { return false; })[Failing] == 0);
  Instance.m_Now += 2s;
  BOOST_TEST(RunRound([](UpstreamId) { return false; })[Failing] > 0);
  for (int I = 0; I < 10; ++I)
    RunRound([](UpstreamId) { return true; });
  BOOST_TEST(RunRound([](UpstreamId) { return true; }).size() == 4U);
}

/// Guards against state that survives a restart of an upstream: its new
/// incarnation has another id, none of the earlier load or cache counts for it,
/// and a late end of an earlier call has no effect.
BOOST_AUTO_TEST_CASE(ARestartStartsAnew) {
  TestInstance Instance(2);
  const Placed Before = Instance.placeOrFail(longCall(1, 2));
  Upstream Restarted = engine(0, Before.m_Name);
  Restarted.m_Id = upstreamIdOf(Before.m_Name + "@2");
  Instance.m_Balancer.setUpstreams({Restarted});
  const Placed After = Instance.placeOrFail(longCall(1, 3));
  BOOST_TEST(After.m_Inputs.m_Calls == 0);
  BOOST_TEST(After.m_Inputs.m_UncachedTokens == SharedTokens + UniqueTokens);
  Instance.m_Balancer.recordCallEnd(Before.m_Ticket, CallOutcome::Failed,
                                    Instance.m_Now);
  Instance.m_Balancer.recordCallEnd(After.m_Ticket, CallOutcome::Served,
                                    Instance.m_Now);
  BOOST_TEST(Instance.placeOrFail(longCall(1, 4)).m_Inputs.m_Calls == 0);
}

/// Guards against plain calls that leave their zone although an upstream in
/// another one is not clearly less loaded.
BOOST_AUTO_TEST_CASE(PlainCallsPreferTheirZone) {
  TestInstance Instance(0);
  Instance.m_Balancer.setUpstreams({desk(1, "a"), desk(2, "b")});
  BOOST_TEST(Instance.placeOrFail(plainCall()).m_Name == "desk-1");
  BOOST_TEST(Instance.placeOrFail(plainCall()).m_Name == "desk-1");
  bool UsedOtherZone = false;
  for (int I = 0; I < 4; ++I)
    UsedOtherZone =
        UsedOtherZone || Instance.placeOrFail(plainCall()).m_Name == "desk-2";
  BOOST_TEST(UsedOtherZone);
}

// Guards against calls to an upstream beyond the limit that it has stated, and
// a refusal without that reason or without a time to retry.
BOOST_AUTO_TEST_CASE(UpstreamsOverTheirLimitGetNothing) {
  TestInstance Instance(0);
  Instance.m_Balancer.setUpstreams({desk(1, "a"), desk(2, "a")});
  Instance.m_Balancer.setInstances(InstanceId(1), {InstanceId(1)},
                                   Instance.m_Now - 10s);
  const auto StateLimit = [&](const Placed &Call, RateLimit Limit) {
    Instance.m_Balancer.recordRateLimit(Call.m_Ticket, Limit, Instance.m_Now);
    Instance.m_Balancer.recordCallEnd(Call.m_Ticket, CallOutcome::Served,
                                      Instance.m_Now);
  };
  const Placed First = Instance.placeOrFail(plainCall());
  const Placed Second = Instance.placeOrFail(plainCall());
  BOOST_TEST(First.m_Name != Second.m_Name);
  StateLimit(First, 0.5);
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(Instance.placeOrFail(plainCall()).m_Name == Second.m_Name);
  StateLimit(Second, 0.5);
  const auto Result = Instance.m_Balancer.place(plainCall(), Instance.m_Now);
  BOOST_REQUIRE(std::holds_alternative<NotPlaced>(Result));
  const auto &None = std::get<NotPlaced>(Result);
  BOOST_TEST((None.m_Reason == RefusalReason::UpstreamLimited));
  BOOST_TEST((None.m_RetryAfter == 1s));
  Instance.m_Now += 2100ms;
  StateLimit(Instance.placeOrFail(plainCall()), std::nullopt);
  Instance.placeOrFail(plainCall());
  BOOST_TEST(Instance.placeOrFail(plainCall()).m_Name != "");
}

/// The engines are divided in proportion to the work. Each kind has at least
/// one engine while there is work of both; a kind without work has none, as
/// they would idle.
BOOST_AUTO_TEST_CASE(TheSplitFollowsTheWork) {
  RoleSplit Split;
  TimePoint Now{100s};
  BOOST_TEST(Split.latencySensitiveEngineCount(1) == 0U);
  for (int I = 0; I < 100; ++I) {
    Now += 100ms;
    Split.add({1500, 100000}, Now);
  }
  BOOST_TEST(Split.latencySensitiveEngineCount(9) == 1U);
  for (int I = 0; I < 100; ++I) {
    Now += 100ms;
    Split.add({100000, 3000}, Now);
  }
  BOOST_TEST(Split.latencySensitiveEngineCount(9) == 8U);
  for (int I = 0; I < 400; ++I) {
    Now += 100ms;
    Split.add({100000, 0}, Now);
  }
  BOOST_TEST(Split.latencySensitiveEngineCount(9) == 9U);
  for (int I = 0; I < 400; ++I) {
    Now += 100ms;
    Split.add({0, 100000}, Now);
  }
  BOOST_TEST(Split.latencySensitiveEngineCount(9) == 0U);
  // After an hour without work the sums are zero.
  Now += 1h;
  Split.add({}, Now);
  BOOST_TEST(Split.latencySensitiveEngineCount(10) == 3U);
}

/// The cache model evicts the least recently used segments, and a segment
/// counts only together with all segments before it.
BOOST_AUTO_TEST_CASE(TheCacheModelForgetsOldParts) {
  CacheModel Model;
  const UpstreamId Engine = upstreamIdOf("e");
  for (std::uint64_t I = 0; I < 10; ++I)
    Model.recordPlacement(Engine, {I, 1000}, 10000); // Room for six.
  BOOST_TEST(Model.cachedTokens(Engine, {{9, 1000}}) == 1000U);
  BOOST_TEST(Model.cachedTokens(Engine, {{0, 1000}}) == 0U);
  BOOST_TEST(Model.cachedTokens(Engine, {{0, 1000}, {9, 1000}}) == 0U);
  BOOST_TEST(Model.cachedTokens(Engine, {{9, 1000}, {8, 1000}, {77, 5}}) ==
             2000U);
  Model.keepOnly({});
  BOOST_TEST(Model.cachedTokens(Engine, {{9, 1000}}) == 0U);
}
