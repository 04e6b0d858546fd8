/// Segments of prompts that crash upstreams: suspects, evidence, holds in one
/// instance and in fleets in virtual time.
#define BOOST_TEST_MODULE segment_quarantine
#include "balance/balancer.h"
#include "gateway/digest_codec.h"
#include "unit/segment_fleet.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace crowstep;
using namespace crowstep::balance;
using namespace crowstep::quarantine;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr ContentHash First{2, 1};    ///< A segment that most prompts share.
constexpr ContentHash Crashing{2, 2}; ///< A segment that crashes upstreams.
constexpr ContentHash Later{2, 3};    ///< One that follows it in some prompts.

/// Lets an upstream crash under one request with \p Segments.
void crashUnder(Quarantine &Observer, std::uint64_t Request,
                std::uint64_t Process, std::vector<ContentHash> Segments,
                bool HadBegun = false, TimePoint Now = Begin) {
  Observer.recordBrokenCall({{{1, Request}, std::move(Segments)},
                             UpstreamId(Process),
                             IncarnationId(Process),
                             HadBegun},
                            Now);
  Observer.recordUpstreamDown(UpstreamId(Process), Now);
}

bool isHeld(const Quarantine &Local, const ContentHash &Segment) {
  return Local.remainingHold(Segment, Begin) > Duration::zero();
}

PromptInfo promptOf(const std::vector<std::uint64_t> &Ids) {
  PromptInfo Result;
  for (const std::uint64_t Id : Ids)
    Result.m_Segments.push_back({Id, 10});
  return Result;
}

/// Returns the share of the sound calls sent from \p Since on that were served.
double servedShare(const SegmentFleet &Fleet, TimePoint Since) {
  std::size_t Count = 0;
  std::size_t Served = 0;
  for (const auto &[SentAt, IsServed] : Fleet.m_Sound)
    if (SentAt >= Since && SentAt < Fleet.now() - 1s) {
      ++Count;
      Served += IsServed ? 1 : 0;
    }
  return static_cast<double>(Served) / static_cast<double>(Count);
}

} // namespace

// Guards against a suspect that is a request's own, and against one that counts
// twice or for another service.
BOOST_AUTO_TEST_CASE(AllSegmentsButTheLastAreSuspects) {
  const ContentHash Request{1, 1};
  const auto Count = [&](const std::vector<std::uint64_t> &Ids) {
    return suspectsOf(Request, "s", promptOf(Ids)).m_Segments.size();
  };
  BOOST_TEST(Count({}) == 0U);
  BOOST_TEST(Count({1}) == 0U);
  BOOST_TEST(Count({1, 2}) == 1U);
  BOOST_TEST(Count({1, 2, 1, 2, 3}) == 2U);
  std::vector<std::uint64_t> Many(100);
  std::iota(Many.begin(), Many.end(), 1);
  BOOST_TEST(Count(Many) == MaxSuspectSegments);
  Many.resize(MaxSuspectSegments + 1);
  BOOST_TEST(Count(Many) == MaxSuspectSegments);
  const auto Of = [&](const char *Service) {
    return suspectsOf(Request, Service, promptOf({1, 2})).m_Segments.at(0);
  };
  BOOST_TEST((Of("s") == Of("s")));
  BOOST_TEST((Of("s") != Of("t")));
}

// Guards against a hold for one request that is repeated, and for fewer crashes
// than the threshold.
BOOST_AUTO_TEST_CASE(ASegmentIsHeldAtFiveCrashesWithThreeRequests) {
  for (const std::uint64_t Requests : {1U, 2U, 3U, 5U}) {
    Quarantine Local(1);
    for (std::uint64_t I = 0; I < Quarantine::SegmentThreshold; ++I) {
      BOOST_TEST(!isHeld(Local, Crashing));
      crashUnder(Local, I % Requests, 1 + I, {First, Crashing});
    }
    BOOST_TEST(isHeld(Local, Crashing) ==
               (Requests >= Quarantine::SegmentRequests));
    BOOST_TEST(!isHeld(Local, First));
    const CrashHold Hold = Local.holdOf({{1, 99}, {First, Crashing}}, Begin);
    BOOST_TEST((Hold.m_Left > Duration::zero()) == isHeld(Local, Crashing));
    BOOST_TEST((Hold.m_Kind == SuspectKind::Segment) ==
               isHeld(Local, Crashing));
  }
}

// Guards against a hold of segments whose calls were well into their answers.
BOOST_AUTO_TEST_CASE(CallsThatHadBegunAreNoSuspects) {
  Quarantine Local(1);
  for (std::uint64_t I = 0; I < 20; ++I)
    crashUnder(Local, I, 1 + I, {First, Crashing}, true);
  BOOST_TEST(Local.crashCount(Crashing) == 0U);
}

// Guards against a second crash of an upstream that started again under its
// name and counts as the first one.
BOOST_AUTO_TEST_CASE(EachProcessOfAnUpstreamCrashesOnItsOwn) {
  const UpstreamId Name = upstreamIdOf("u");
  BOOST_TEST((incarnationOf(Name, 1ms) != incarnationOf(Name, 2ms)));
  BOOST_TEST((incarnationOf(Name, 1ms) != incarnationOf(Name, std::nullopt)));
  for (const ContentHash &Suspect : {ContentHash{1, 7}, Crashing}) {
    Quarantine Local(1);
    for (int Start = 1; Start <= 3; ++Start) {
      Local.recordBrokenCall(
          {{{1, 7}, {Crashing}},
           Name,
           incarnationOf(Name, std::chrono::milliseconds(Start))},
          Begin);
      Local.recordUpstreamDown(Name, Begin);
    }
    BOOST_TEST(Local.crashCount(Suspect) == 3U);
  }
}

// Guards against the hold of a segment that was at each crash of another one,
// in whichever order instances learn of the crashes.
BOOST_AUTO_TEST_CASE(ACrashHasOneReason) {
  std::vector<CrashUpdate> Updates;
  for (std::uint64_t I = 1; I <= 7; ++I) {
    if (I <= 6)
      Updates.push_back({First, IncarnationId(I), SegmentEvidence{I, 0}});
    Updates.push_back({Crashing, IncarnationId(I), SegmentEvidence{I, 1}});
    if (I <= 5)
      Updates.push_back({Later, IncarnationId(I), SegmentEvidence{I, 2}});
  }
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::shuffle(Updates.begin(), Updates.end(), Random);
    Quarantine Local(Seed);
    for (const CrashUpdate &Update : Updates)
      Local.applyUpdates({Update}, Begin);
    BOOST_TEST(isHeld(Local, Crashing));
    BOOST_TEST(!isHeld(Local, First));
    BOOST_TEST(!isHeld(Local, Later));
  }
}

// Guards against a segment that stays free since another one, which was held
// for its crashes, turned out to be sound.
BOOST_AUTO_TEST_CASE(CrashesOfASoundSegmentCountForOthersAgain) {
  Quarantine Local(1);
  for (std::uint64_t I = 1; I <= 5; ++I)
    crashUnder(Local, I, I, {Crashing, Later});
  BOOST_TEST(isHeld(Local, Later));
  BOOST_TEST(!isHeld(Local, Crashing));
  Local.recordSound({Later}, Begin);
  BOOST_TEST(!isHeld(Local, Later));
  BOOST_TEST(isHeld(Local, Crashing));
}

// Guards against a hold of a segment that other instances have served, and
// against a statement for each segment that nobody suspects.
BOOST_AUTO_TEST_CASE(InstancesStateThatASuspectIsSound) {
  Quarantine Local(1);
  Quarantine Other(2);
  Other.recordSound({First, Later}, Begin);
  BOOST_TEST(Other.takeUpdates().empty());
  for (std::uint64_t I = 1; I <= 2; ++I)
    crashUnder(Local, I, I, {First, Crashing});
  Other.applyUpdates(Local.takeUpdates(), Begin);
  const auto Statement = Other.takeUpdates();
  BOOST_REQUIRE(Statement.size() == 1U);
  BOOST_TEST((Statement[0].m_Suspect == First));
  BOOST_TEST(!Statement[0].m_Crash);
  Local.applyUpdates(Statement, Begin);
  BOOST_TEST(Local.crashCount(First) == 0U);
  BOOST_TEST(Local.crashCount(Crashing) == 2U);
  // Without a further answer it is not stated again.
  for (std::uint64_t I = 3; I <= 11; ++I)
    crashUnder(Local, I, I, {First});
  BOOST_TEST(!isHeld(Local, First));
  Other.applyUpdates(Local.takeUpdates(), Begin);
  BOOST_TEST(Other.takeUpdates().empty());
  for (std::uint64_t I = 12; I <= 13; ++I)
    crashUnder(Local, I, I, {First});
  BOOST_TEST(isHeld(Local, First));
}

// Guards against a row of a segment that was found to be sound before the row
// was read.
BOOST_AUTO_TEST_CASE(ARowOfASoundSegmentIsRemoved) {
  Quarantine Local(1);
  for (std::uint64_t I = 1; I <= 5; ++I)
    crashUnder(Local, I, I, {Crashing});
  BOOST_TEST((Local.unlistedSuspects() == std::vector{Crashing}));
  Local.recordSound({Crashing}, Begin);
  Local.setListed({Crashing}, Begin);
  BOOST_TEST(!isHeld(Local, Crashing));
  BOOST_TEST((Local.staleListings() == std::set{Crashing}));
}

// Guards against crashes that are lost since a message has no room for them.
BOOST_AUTO_TEST_CASE(UpdatesBeyondOneMessageFollow) {
  Quarantine Local(1);
  HoldCounter Counter;
  Local.setListener(&Counter);
  std::vector<ContentHash> Segments;
  for (std::uint64_t I = 0; I < 2 * Quarantine::MaxUpdates; ++I)
    Segments.push_back({5, I});
  crashUnder(Local, 1, 1, Segments);
  std::size_t Count = 0;
  for (std::size_t Size = 1; Size > 0; Count += Size) {
    Size = Local.takeUpdates().size();
    BOOST_TEST(Size <= Quarantine::MaxUpdates);
  }
  BOOST_TEST(Count == Segments.size() + 1);
  BOOST_TEST(Counter.m_Dropped == 0U);
  for (std::uint64_t I = 2; I < 6; ++I)
    crashUnder(Local, I, I, Segments);
  BOOST_TEST(Counter.m_Dropped > 0U);
}

// Guards against evidence that changes between instances, and against a crash
// of a segment that a version without them takes for a request's.
BOOST_AUTO_TEST_CASE(UpdatesCrossLinksUnchanged) {
  LoadDigest Sent;
  Sent.m_Crashes = {{{1, 2}, IncarnationId(3), std::nullopt},
                    {{1, 3}, std::nullopt, std::nullopt},
                    {{1, 4}, IncarnationId(5), SegmentEvidence{6, 7}},
                    {{1, 5}, std::nullopt, SegmentEvidence{}}};
  std::unique_ptr<wire::GatewayDigestT> Packed;
  gateway::packDigest(Sent, Packed);
  BOOST_TEST(Packed->crashes.size() == 2U);
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::GatewayDigest::Pack(Builder, Packed.get()));
  const auto *Received =
      flatbuffers::GetRoot<wire::GatewayDigest>(Builder.GetBufferPointer());
  BOOST_TEST((gateway::unpack(*Received).m_Crashes == Sent.m_Crashes));
}

// Guards against a call with a held segment that is placed, carried or begun.
BOOST_AUTO_TEST_CASE(AHeldSegmentIsNotSent) {
  Balancer Chosen{{"a"}};
  const UpstreamId Engine = upstreamIdOf("u");
  Chosen.setUpstreams(
      {{Engine, "u", "s", {1, 1}, {"a"}, PlainService{6}, false}});
  PlacementQuery Query;
  Query.m_Service = "s";
  const CallSuspects Suspects{{1, 1}, {First, Crashing}};
  Query.m_Suspects = &Suspects;
  const auto Before = std::get<Placed>(Chosen.place(Query, Begin));
  BOOST_TEST(Chosen.mayBegin(Before.m_Ticket, Begin));
  for (std::uint64_t I = 1; I <= 5; ++I)
    crashUnder(Chosen.quarantine(), I, I, {Crashing});
  BOOST_TEST(!Chosen.mayBegin(Before.m_Ticket, Begin));
  BOOST_TEST(!Chosen.placeCarried(Engine, Suspects, Begin));
  const auto Refused = std::get<NotPlaced>(Chosen.place(Query, Begin));
  BOOST_TEST((Refused.m_Reason == RefusalReason::SegmentQuarantined));
  BOOST_TEST((Refused.m_HeldBy == Crashing));
  BOOST_TEST((Refused.m_RetryAfter >= Quarantine::InitialHold));
  // What began before may show that the segment is sound.
  Chosen.recordOutput(Before.m_Ticket, Begin);
  Chosen.recordOutput(Before.m_Ticket, Begin + 900ms);
  BOOST_TEST(isHeld(Chosen.quarantine(), Crashing));
  Chosen.recordOutput(Before.m_Ticket, Begin + Quarantine::SoundOutputTime);
  BOOST_TEST(!isHeld(Chosen.quarantine(), Crashing));
}

// Guards against sends beyond the bound in a fleet of any size, against a hold
// of what shares requests with the segment, and against both at any rate.
BOOST_AUTO_TEST_CASE(ACrashingSegmentIsHeldAloneInAFleet) {
  struct Case {
    std::size_t m_Instances;
    std::size_t m_Engines;
    double m_Sound;
    double m_Crashing;
  };
  for (const Case &Tried :
       {Case{4, 8, 20, 1}, Case{9, 12, 40, 10}, Case{9, 12, 40, 1},
        Case{84, 60, 400, 15}, Case{300, 160, 1500, 15}})
    for (std::uint64_t Seed = 1; Seed <= (Tried.m_Instances > 50 ? 2U : 10U);
         ++Seed) {
      SegmentFleet Fleet({Tried.m_Instances, Tried.m_Engines, Tried.m_Sound},
                         Seed);
      Fleet.run(4s);
      Fleet.setCrashingPerSecond(Tried.m_Crashing);
      Fleet.run(20s);
      BOOST_TEST_CONTEXT(Tried.m_Instances << " instances, " << Tried.m_Crashing
                                           << " a second, seed " << Seed) {
        BOOST_REQUIRE(Fleet.m_Crashes.size() >= 5U);
        const TimePoint FifthAt = Fleet.m_Crashes[4];
        const auto Late =
            std::ranges::count_if(Fleet.m_CrashingSends, [&](TimePoint Sent) {
              return Sent > FifthAt + 3s;
            });
        BOOST_TEST(Late <= 3);
        BOOST_TEST(Fleet.holders() == Tried.m_Instances);
        BOOST_TEST(Fleet.wronglyHeld() == 0U);
        BOOST_TEST(servedShare(Fleet, FifthAt + 6s) >= 0.9);
      }
    }
}

// Guards against a hold of sound segments while engines crash for other
// reasons, a third of them within some seconds.
BOOST_AUTO_TEST_CASE(NoSoundSegmentIsHeldWhileEnginesCrash) {
  struct Case {
    std::size_t m_Instances;
    std::size_t m_Engines;
    double m_Sound;
  };
  for (const Case &Tried :
       {Case{9, 12, 40}, Case{84, 60, 400}, Case{300, 160, 1500}})
    for (std::uint64_t Seed = 1; Seed <= (Tried.m_Instances > 50 ? 2U : 20U);
         ++Seed) {
      SegmentFleet Fleet(
          {Tried.m_Instances, Tried.m_Engines, Tried.m_Sound, 0, 10}, Seed);
      Fleet.run(2s);
      std::mt19937_64 Random(Seed);
      for (int Round = 0; Round < 6; ++Round) {
        for (std::size_t I = 0; I < Tried.m_Engines / 18 + 1; ++I)
          Fleet.crashEngine(Random() % Tried.m_Engines);
        Fleet.run(1s);
      }
      Fleet.run(1s);
      BOOST_TEST_CONTEXT(Tried.m_Instances << " instances, seed " << Seed)
      BOOST_TEST(Fleet.wronglyHeld() == 0U);
    }
}
