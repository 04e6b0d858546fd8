/// Explanations of placements against the placements that follow them, without
/// network and with a virtual clock.
#define BOOST_TEST_MODULE placement_preview
#include "balance/placement_preview.h"
#include "unit/fake_speeds.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace crowstep;
using namespace crowstep::balance;
using crowstep::test::FakeSpeeds;
using namespace std::chrono_literals;

namespace {

Upstream engine(int Number) {
  const std::string Name = "engine-" + std::to_string(Number);
  Upstream Result = {upstreamIdOf(Name),
                     Name,
                     "writer",
                     {0x7f000001, 9000},
                     {Number % 3 == 0 ? "b" : "a"},
                     Engine{4, {}, true, true},
                     false};
  Result.m_Software = SoftwareVersion(Number % 2 == 0 ? "1.0" : "2.0");
  return Result;
}

/// An engine of another service.
Upstream coder(int Number) {
  Upstream Result = engine(500 + Number);
  Result.m_Service = "coder";
  return Result;
}

Upstream desk(int Number) {
  Upstream Result = engine(1000 + Number);
  Result.m_Service = "desk";
  Result.m_Kind = PlainService{3};
  return Result;
}

PlacementQuery modelCall(std::uint64_t Prefix, std::uint32_t Tokens) {
  PlacementQuery Result;
  Result.m_Service = "writer";
  Result.m_Urgency = static_cast<Urgency>(Prefix % 3);
  Result.m_Prompt = {
      {{Prefix, Tokens - 500}, {Prefix + 1000000, 500}}, Tokens, 100, 100};
  Result.m_LatencyTarget = 1s;
  return Result;
}

/// Compares what place() has returned, but for the ticket.
bool areEqual(const PlacementResult &Left, const PlacementResult &Right) {
  const auto Key = [](const PlacementResult &Of) {
    const auto *At = std::get_if<Placed>(&Of);
    const auto *Refused = std::get_if<NotPlaced>(&Of);
    const PlacementInputs &Inputs = std::visit(
        [](const auto &Found) -> const PlacementInputs & {
          return Found.m_Inputs;
        },
        Of);
    return std::tuple(
        Of.index(), At == nullptr ? UpstreamId() : At->m_Upstream,
        Refused == nullptr ? RefusalReason::None : Refused->m_Reason,
        Refused == nullptr ? Duration::zero() : Refused->m_RetryAfter,
        Inputs.m_CandidateCount, Inputs.m_Calls, Inputs.m_QueuedPrefillTokens,
        Inputs.m_UncachedTokens, Inputs.m_PeerCount, Inputs.m_SpeedClass,
        Inputs.m_PredictedWait, Inputs.m_LeftSaturated);
  };
  return Key(Left) == Key(Right);
}

/// Two instances in the same state: placements are explained at one of them
/// only.
class Twins {
public:
  explicit Twins(std::uint64_t Seed)
      : m_Random(Seed), m_Speeds(Seed % 2 == 0), m_Asked({"a"}, Seed),
        m_Other({"a"}, Seed) {
    both([&](Balancer &Of) {
      Of.setSpeedView(&m_Speeds);
      Of.setCacheCapacity("writer", 60000);
      std::vector<InstanceId> All;
      for (std::uint64_t I = 1; I <= 3; ++I)
        All.push_back(InstanceId(I));
      Of.setInstances(InstanceId(1), All, m_Now);
    });
    setUpstreams();
  }

  /// Changes the state, or places a call.
  void step() {
    m_Now += std::chrono::milliseconds(draw(120));
    switch (draw(24)) {
    case 0:
      applyDigest();
      break;
    case 1:
      setUpstreams();
      break;
    case 2:
      setBounds();
      break;
    case 3:
      for (int I = 0; I < Engines; ++I)
        setSpeed(engine(I));
      for (int I = 0; I < Coders; ++I)
        setSpeed(coder(I));
      break;
    case 4:
      compareDigests();
      break;
    case 5:
      explain(randomQuery());
      break;
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
      changeCall();
      break;
    default:
      place(randomQuery());
    }
  }

  std::set<Verdict> m_Verdicts;    ///< That explanations have stated.
  std::set<std::size_t> m_Results; ///< Kinds of results, as in the variant.

private:
  static constexpr int Engines = 14;
  static constexpr int Coders = 6;
  static constexpr int Desks = 5;

  template <typename Function> void both(const Function &Change) {
    Change(m_Asked);
    Change(m_Other);
  }

  int draw(int Below) { return static_cast<int>(m_Random() % Below); }

  void setSpeed(const Upstream &Of) {
    m_Speeds.m_Speeds[Of.m_Id] = {0.5 + 0.25 * draw(8), draw(3) - 1, 0.5,
                                  1.0 + draw(2)};
  }

  PlacementQuery randomQuery() {
    PlacementQuery Result;
    if (const int Kind = draw(4); Kind == 0)
      Result.m_Service = "desk";
    else
      Result = modelCall(static_cast<std::uint64_t>(draw(12)),
                         Kind == 1 ? 1200 : 15000);
    if (Result.m_Service == "writer" && draw(4) == 0)
      Result.m_Service = "coder";
    Result.m_MayWait = draw(2) == 0;
    Result.m_WaitTimedOut = !Result.m_MayWait && draw(3) == 0;
    if (draw(8) == 0)
      Result.m_RequiredSoftware = SoftwareVersion(draw(2) == 0 ? "1.0" : "3.0");
    if (draw(8) == 0)
      Result.m_Excluded = {engine(draw(Engines)).m_Id, desk(draw(Desks)).m_Id};
    return Result;
  }

  PlacementExplanation explain(const PlacementQuery &Query) {
    PlacementExplanation Result =
        PlacementPreview(m_Asked, m_Now).explain(Query);
    m_Results.insert(Result.m_Result.index());
    for (const CandidateView &Shown : Result.m_Candidates)
      m_Verdicts.insert(Shown.m_Verdict);
    checkCandidates(Result);
    return Result;
  }

  /// The best upstream is first, exactly a placed one is chosen, and those that
  /// could take the call follow by cost.
  static void checkCandidates(const PlacementExplanation &Of) {
    const auto &All = Of.m_Candidates;
    const bool IsPlaced = std::holds_alternative<Placed>(Of.m_Result);
    BOOST_TEST(All.size() == Of.m_UpstreamCount);
    BOOST_TEST(
        std::ranges::count(All, Verdict::Chosen, &CandidateView::m_Verdict) ==
        (IsPlaced ? 1 : 0));
    if (IsPlaced)
      BOOST_TEST(std::get<Placed>(Of.m_Result).m_Name == Of.m_Upstream);
    if (!Of.m_Upstream.empty())
      BOOST_TEST(All.front().m_Name == Of.m_Upstream);
    for (std::size_t I = 2; I < All.size(); ++I)
      if (All[I].m_Verdict == Verdict::CouldTake)
        BOOST_TEST((All[I - 1].m_Verdict == Verdict::CouldTake &&
                    *All[I - 1].m_Cost <= *All[I].m_Cost));
  }

  void place(const PlacementQuery &Query) {
    const PlacementExplanation Explained = explain(Query);
    const PlacementResult Result = m_Asked.place(Query, m_Now);
    BOOST_TEST(areEqual(Explained.m_Result, Result));
    BOOST_TEST(areEqual(Result, m_Other.place(Query, m_Now)));
    if (const auto *At = std::get_if<Placed>(&Result))
      m_Calls.push_back(At->m_Ticket);
  }

  /// An upstream states something on one of the calls, or the call ends.
  void changeCall() {
    if (m_Calls.empty())
      return;
    const int Index = draw(static_cast<int>(m_Calls.size()));
    const TicketId Call = m_Calls[static_cast<std::size_t>(Index)];
    const int Kind = draw(12);
    constexpr CallOutcome Outcomes[] = {
        CallOutcome::Served,  CallOutcome::Served,      CallOutcome::Served,
        CallOutcome::Refused, CallOutcome::Unreachable, CallOutcome::Draining};
    const CallOutcome Outcome = Outcomes[draw(6)];
    both([&](Balancer &Of) {
      if (Kind < 3)
        Of.recordFirstEvent(Call, m_Now);
      else if (Kind == 3)
        Of.recordRateLimit(Call, 4.0, m_Now);
      else if (Kind == 4)
        Of.recordPause(Call, 400ms, m_Now);
      else if (Kind == 5)
        Of.recordBrittleness(Call, 5.0, m_Now);
      else
        Of.recordCallEnd(Call, Outcome, m_Now);
    });
    if (Kind > 5)
      m_Calls.erase(m_Calls.begin() + Index);
  }

  void applyDigest() {
    LoadDigest Digest;
    for (int I = 0; I < Engines; ++I)
      if (draw(3) == 0)
        Digest.m_Loads.push_back({engine(I).m_Id, static_cast<Urgency>(draw(3)),
                                  static_cast<std::uint32_t>(1 + draw(4)),
                                  static_cast<std::uint32_t>(draw(90000)),
                                  static_cast<std::uint32_t>(draw(30000)), 0});
    Digest.m_Work[poolIdOf("writer", 0)] = {draw(9000) * 1.0, draw(9000) * 1.0};
    const InstanceId From(static_cast<std::uint64_t>(2 + draw(2)));
    both([&](Balancer &Of) { Of.applyPeerDigest(From, Digest, m_Now); });
  }

  void setUpstreams() {
    std::vector<Upstream> List;
    for (int I = 0; I < Engines; ++I)
      if (draw(20) > 0)
        List.push_back(engine(I));
    for (int I = 0; I < Coders; ++I)
      if (draw(20) > 0)
        List.push_back(coder(I));
    for (int I = 0; I < Desks; ++I)
      if (draw(20) > 0)
        List.push_back(desk(I));
    List[static_cast<std::size_t>(draw(static_cast<int>(List.size())))]
        .m_Draining = draw(8) == 0;
    both([&](Balancer &Of) { Of.setUpstreams(List); });
  }

  void setBounds() {
    const std::set<UpstreamId> Held = {engine(draw(Engines)).m_Id,
                                       desk(draw(Desks)).m_Id};
    const UpstreamId Lost = engine(draw(Engines)).m_Id;
    const bool IsLost = draw(3) > 0;
    both([&](Balancer &Of) {
      Of.setHeldBack(Held);
      Of.setPathLost(Lost, IsLost);
    });
  }

  /// Also compares what placements only show later.
  void compareDigests() {
    explain(randomQuery());
    BOOST_TEST(m_Asked.busyEngines("writer", m_Now) ==
               m_Other.busyEngines("writer", m_Now));
    BOOST_TEST(m_Asked.latencySensitiveEngineCount("writer") ==
               m_Other.latencySensitiveEngineCount("writer"));
    const LoadDigest Asked = m_Asked.takeDigest(m_Now);
    const LoadDigest Other = m_Other.takeDigest(m_Now);
    BOOST_TEST(Asked.m_Loads.size() == Other.m_Loads.size());
    BOOST_TEST(Asked.m_Segments.size() == Other.m_Segments.size());
    BOOST_TEST(Asked.m_Work.size() == Other.m_Work.size());
    BOOST_TEST(m_Asked.fullDigest(m_Now).m_Work.size() ==
               m_Other.fullDigest(m_Now).m_Work.size());
  }

  TimePoint m_Now{100s};
  std::mt19937_64 m_Random; ///< Of the test, not of the instances.
  FakeSpeeds m_Speeds;
  Balancer m_Asked;
  Balancer m_Other;
  std::vector<TicketId> m_Calls; ///< In progress.
};

} // namespace

/// Guards against an explanation that differs from the placement that follows,
/// and one that changes a later placement, in random states of many seeds.
BOOST_AUTO_TEST_CASE(ExplanationsAreWhatPlacementsDo) {
  std::set<Verdict> Verdicts;
  std::set<std::size_t> Results;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Twins Both(Seed);
    for (int I = 0; I < 600; ++I)
      Both.step();
    Verdicts.merge(Both.m_Verdicts);
    Results.merge(Both.m_Results);
  }
  for (auto Kind = Verdict::Chosen; Kind < Verdict::NotConsidered;
       Kind = static_cast<Verdict>(static_cast<int>(Kind) + 1))
    BOOST_TEST(Verdicts.contains(Kind), nameOf(Kind) << " was never stated");
  BOOST_TEST(Results.size() == 3U);
}

/// Guards against a preview that doesn't go on with the random numbers that it
/// has drawn, as further placements of a call do, or doesn't put them back.
BOOST_AUTO_TEST_CASE(APreviewGoesOnAndPutsBack) {
  Balancer Of({"a"});
  Of.setUpstreams({desk(0)});
  const TimePoint Now(100s);
  PlacementQuery Query;
  Query.m_Service = "desk";
  const auto First = std::get<Placed>(Of.place(Query, Now));
  Of.recordPause(First.m_Ticket, 400ms, Now);
  // Drawn for each refusal.
  const auto RetryAfterOf = [](const PlacementResult &Result) {
    return std::get<NotPlaced>(Result).m_RetryAfter;
  };
  std::vector<Duration> Explained;
  {
    PlacementPreview Preview(Of, Now);
    for (int I = 0; I < 3; ++I)
      Explained.push_back(RetryAfterOf(Preview.explain(Query).m_Result));
  }
  BOOST_TEST((Explained[0] != Explained[1]));
  for (const Duration Expected : Explained)
    BOOST_TEST((RetryAfterOf(Of.place(Query, Now)) == Expected));
}

/// Guards against a rate limit's tokens that are counted in other steps: a
/// tenth of a token, added ten times, is less than one.
BOOST_AUTO_TEST_CASE(TokensOfRateLimitsAreNotTouched) {
  Balancer Of({"a"});
  Of.setUpstreams({desk(0)});
  Of.setInstances(InstanceId(1), {InstanceId(1)}, TimePoint(10s));
  PlacementQuery Query;
  Query.m_Service = "desk";
  const TimePoint Start(100s);
  const auto First = std::get<Placed>(Of.place(Query, Start));
  Of.recordRateLimit(First.m_Ticket, 1.0, Start);
  for (Duration After = 100ms; After < 1s; After += 100ms) {
    const auto Explained = PlacementPreview(Of, Start + After).explain(Query);
    BOOST_TEST((Explained.m_Candidates[0].m_Verdict == Verdict::RateLimited));
  }
  BOOST_TEST(std::holds_alternative<Placed>(Of.place(Query, Start + 1s)));
}

/// Guards against answers whose size grows with the number of upstreams, and
/// against a quarantined call that is explained as if it were compared.
BOOST_AUTO_TEST_CASE(CandidatesAreBoundedAndQuarantineComesFirst) {
  Balancer Of({"a"});
  std::vector<Upstream> List;
  List.reserve(300);
  for (int I = 0; I < 300; ++I)
    List.push_back(engine(I));
  Of.setUpstreams(List);
  const TimePoint Now(100s);
  PlacementQuery Query = modelCall(1, 15000);
  const auto Explained = PlacementPreview(Of, Now).explain(Query);
  BOOST_TEST(Explained.m_UpstreamCount == 300U);
  BOOST_TEST(Explained.m_Candidates.size() == PlacementPreview::MaxCandidates);
  BOOST_TEST((Explained.m_Candidates[0].m_Verdict == Verdict::Chosen));
  const quarantine::CallSuspects Suspects = {{1, 2}, {}};
  Of.quarantine().setListed({Suspects.m_Request}, Now);
  Query.m_Suspects = &Suspects;
  const auto Held = PlacementPreview(Of, Now).explain(Query);
  BOOST_TEST((std::get<NotPlaced>(Held.m_Result).m_Reason ==
              RefusalReason::Quarantined));
  BOOST_TEST(Held.m_Upstream.empty());
  for (const CandidateView &Shown : Held.m_Candidates)
    BOOST_TEST((Shown.m_Verdict == Verdict::NotConsidered));
}
