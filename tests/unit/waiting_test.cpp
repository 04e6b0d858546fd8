/// Who waits, how long, and when callers are told to return.
#define BOOST_TEST_MODULE waiting
#include "gateway/predicted_placement.h"
#include "waiting/wait_policy.h"
#include "waiting/waiting_sum.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::waiting;
using namespace std::chrono_literals;

namespace {

const PoolId Pool(7);
constexpr TimePoint Start{1000s};
constexpr CallStanding InTime{CallGroup::InTime, 3};
constexpr CallStanding Late{CallGroup::Late, 3};
constexpr CallStanding AtOnce{CallGroup::AtOnce, 3};

/// A stream whose caller gives up after eight seconds.
CallFacts streamFacts() { return {Pool, 3, Start, 2s, 8s, 10s}; }

/// Reports of another instance every 100 ms until \p Now.
void report(Backlog &Target, const std::vector<WaitingCalls> &Calls,
            Duration Span, TimePoint Now) {
  for (TimePoint At = Now - Span + 100ms; At <= Now; At += 100ms)
    Target.applyReport(InstanceId(2), Calls, At);
}

class FakeSpeeds final : public speed::SpeedView {
public:
  explicit FakeSpeeds(bool IsActive) : m_IsActive(IsActive) {}
  [[nodiscard]] bool isActive(PoolId) const override { return m_IsActive; }
  [[nodiscard]] double speedOf(UpstreamId, TimePoint) const override {
    return 1;
  }
  [[nodiscard]] int speedClassOf(UpstreamId) const override { return 0; }
  [[nodiscard]] double usableShareOf(UpstreamId, TimePoint) const override {
    return 1;
  }
  [[nodiscard]] double machineSlowdownOf(UpstreamId, TimePoint) const override {
    return 1;
  }

private:
  bool m_IsActive; ///< For all services.
};

} // namespace

// ---- Limits -----------------------------------------------------------------

/// Guards against callers who give up while their call still waits.
BOOST_AUTO_TEST_CASE(PatienceIsTheLongestOfThree) {
  BOOST_TEST((patienceOf(300ms, 100ms) == 2s));
  BOOST_TEST((patienceOf(1500ms, 100ms) == 6s));
  BOOST_TEST((patienceOf(300ms, 500ms) == 4s));
}

/// Guards against a wait that leaves no time for prefill, output or the caller.
BOOST_AUTO_TEST_CASE(TheLimitLeavesTimeForTheAnswer) {
  CallFacts Facts = streamFacts();
  BOOST_TEST((waitLimitOf(Facts, {}) == 4800ms));
  BOOST_TEST((waitLimitOf(Facts, {4s, 0s}) == 4s));
  BOOST_TEST((waitLimitOf(Facts, {1s, 6s}) == 3s));
  Facts.m_Deadline = 5s;
  BOOST_TEST((waitLimitOf(Facts, {}) == 3s));
}

/// Guards against a plain call that is held to its deadline.
BOOST_AUTO_TEST_CASE(PlainCallsWaitByTheirDeadline) {
  CallFacts Facts = streamFacts();
  Facts.m_Patience = Duration::zero();
  Facts.m_Deadline = 1s;
  BOOST_TEST((waitLimitOf(Facts, {}) == 600ms));
}

/// Guards against late calls that take the room of calls in time.
BOOST_AUTO_TEST_CASE(LateCallsGoOnlyWhereTheWaitIsShort) {
  Backlog Waiting;
  const CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.engineWaitLimit(false, 0s, Start) == 1500ms));
  BOOST_TEST((Call.engineWaitLimit(false, 0s, Start + 600ms) == 900ms));
  BOOST_TEST(Call.canBeInTime(Start + 1400ms));
  BOOST_TEST(!Call.canBeInTime(Start + 1500ms));
  BOOST_TEST((Call.engineWaitLimit(false, 0s, Start + 2s) == 500ms));
}

/// Guards against a workspace with many calls that fills the engines' queues.
BOOST_AUTO_TEST_CASE(AWorkspaceWithManyCallsYields) {
  Backlog Waiting;
  const CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.engineWaitLimit(true, 0s, Start) == 500ms));
}

/// Guards against late calls with short targets that no engine may ever take.
BOOST_AUTO_TEST_CASE(AnyCallMayGoToAnIdleEngine) {
  Backlog Waiting;
  const CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.engineWaitLimit(true, 700ms, Start) == 700ms));
}

// ---- Backlog ----------------------------------------------------------------

/// Guards against digests of dead or frozen instances that count for ever.
BOOST_AUTO_TEST_CASE(OldReportsDontCount) {
  Backlog Waiting;
  Waiting.applyReport(InstanceId(2), {{Pool, InTime, 5, 0}}, Start);
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start + 1s) == 5);
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start + 1001ms) == 0);
}

/// Guards against calls that are counted once more with each digest.
BOOST_AUTO_TEST_CASE(AReportReplacesTheLastOne) {
  Backlog Waiting;
  Waiting.applyReport(InstanceId(2), {{Pool, InTime, 5, 10}}, Start);
  Waiting.applyReport(InstanceId(2), {{Pool, InTime, 3, 20}}, Start + 100ms);
  Waiting.applyReport(InstanceId(3), {{Pool, InTime, 4, 0}}, Start + 100ms);
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start + 100ms) == 7);
  // Ten a second for 100 ms, then 20 a second.
  BOOST_TEST(Waiting.placedBefore(Pool, InTime, Start + 200ms) == 3,
             boost::test_tools::tolerance(0.001));
}

/// Guards against predictions that grow with the share of digests lost.
BOOST_AUTO_TEST_CASE(ALostDigestChangesNoRate) {
  const std::vector<WaitingCalls> Calls = {{Pool, Late, 40, 20}};
  Backlog All;
  Backlog Some;
  for (Duration At{}; At <= 5s; At += 100ms) {
    All.applyReport(InstanceId(2), Calls, Start + At);
    if (At % 300ms == Duration::zero())
      Some.applyReport(InstanceId(2), Calls, Start + At);
  }
  BOOST_TEST((All.predictedWait(Pool, Late, 40, Start + 5s) ==
              Some.predictedWait(Pool, Late, 40, Start + 5s)));
}

/// Guards against less urgent calls that count as being in front.
BOOST_AUTO_TEST_CASE(OnlyCallsAsUrgentAreInFront) {
  Backlog Waiting;
  Waiting.addWaiting(Pool, {CallGroup::InTime, 1}, Start);
  Waiting.addWaiting(Pool, {CallGroup::InTime, 4}, Start);
  Waiting.addWaiting(Pool, {CallGroup::Late, 1}, Start);
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start) == 1);
  BOOST_TEST(Waiting.waitingBefore(PoolId(8), InTime, Start) == 0);
}

/// Guards against placements that count longer than the second they are stated
/// for.
BOOST_AUTO_TEST_CASE(ADigestHasTheLastSecond) {
  Backlog Waiting;
  Waiting.addWaiting(Pool, InTime, Start);
  Waiting.recordPlaced(Pool, AtOnce, Start);
  std::vector<WaitingCalls> Sent = Waiting.report(Start + 1s);
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(Sent[0].m_Waiting == 1U);
  BOOST_TEST(Sent[1].m_Placed == 1U);
  Sent = Waiting.report(Start + 1001ms);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Waiting == 1U);
}

/// Guards against sums of a hub that count dead instances.
BOOST_AUTO_TEST_CASE(SumsLeaveOutOldReports) {
  WaitingSum Sum;
  Sum.add(InstanceId(2), {{Pool, InTime, 5, 1}}, Start);
  Sum.add(InstanceId(3), {{Pool, InTime, 2, 4}}, Start + 800ms);
  std::vector<WaitingCalls> Sent = Sum.sum(1s, Start + 900ms);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Waiting == 7U);
  BOOST_TEST(Sent[0].m_Placed == 5U);
  Sent = Sum.sum(1s, Start + 1100ms);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Waiting == 2U);
  BOOST_TEST(Sent[0].m_Placed == 4U);
}

/// Guards against a workspace with nine times the calls of others that is
/// treated like them, and against others that are treated like it.
BOOST_AUTO_TEST_CASE(AHeavyWorkspaceIsTold) {
  WorkspaceLoads Loads;
  for (int I = 0; I < 4; ++I) {
    const TimePoint Now = Start + I * 100ms;
    for (int Call = 0; Call < 9; ++Call)
      Loads.recordArrival(Pool, "heavy", Now);
    for (const char *Name : {"a", "b", "c", "d"})
      Loads.recordArrival(Pool, Name, Now);
  }
  Loads.recordArrival(Pool, "a", Start + 500ms);
  Loads.recordArrival(Pool, "a", Start + 500ms);
  BOOST_TEST(Loads.isHeavy(Pool, "heavy", Start + 1s));
  BOOST_TEST(!Loads.isHeavy(Pool, "a", Start + 1s));
  BOOST_TEST(!Loads.isHeavy(Pool, "unknown", Start + 1s));
  BOOST_TEST(!Loads.isHeavy(PoolId(8), "heavy", Start + 1s));
}

/// Guards against a workspace that yields for calls that came by chance.
BOOST_AUTO_TEST_CASE(AFewCallsMoreAreNoSign) {
  WorkspaceLoads Loads;
  for (const char *Name : {"a", "b", "c", "d", "d", "d"})
    Loads.recordArrival(Pool, Name, Start);
  BOOST_TEST(!Loads.isHeavy(Pool, "d", Start));
}

/// Guards against a workspace that yields although it is the only one.
BOOST_AUTO_TEST_CASE(ASingleWorkspaceIsNotHeavy) {
  WorkspaceLoads Loads;
  for (int I = 0; I < 50; ++I)
    Loads.recordArrival(Pool, "only", Start);
  BOOST_TEST(!Loads.isHeavy(Pool, "only", Start));
}

/// Guards against a prediction that counts calls placed at arrival as progress
/// of the backlog, long after the overload began.
BOOST_AUTO_TEST_CASE(OnlyPlacementsAfterWaitingShortenALongBacklog) {
  Backlog Waiting;
  const TimePoint Now = Start + 10s;
  report(Waiting, {{Pool, Late, 100, 10}, {Pool, AtOnce, 0, 200}}, 10s, Now);
  const Duration Predicted = Waiting.predictedWait(Pool, Late, 100, Now);
  BOOST_TEST((Predicted > 9s));
  BOOST_TEST((Predicted < 11s));
}

/// Guards against refusals of all that would wait when a short burst begins.
BOOST_AUTO_TEST_CASE(AtTheStartOfABurstAllPlacementsCount) {
  Backlog Waiting;
  report(Waiting, {{Pool, AtOnce, 0, 200}}, 5s, Start);
  const TimePoint Now = Start + 100ms;
  Waiting.applyReport(InstanceId(2),
                      {{Pool, InTime, 100, 0}, {Pool, AtOnce, 0, 200}}, Now);
  const Duration Predicted = Waiting.predictedWait(Pool, InTime, 100, Now);
  BOOST_TEST((Predicted > 300ms));
  BOOST_TEST((Predicted < 1s));
}

/// Guards against an overload that is taken for a new one after each moment in
/// which no call waits here.
BOOST_AUTO_TEST_CASE(AnOverloadEndsWithTheBacklog) {
  Backlog Waiting;
  const TimePoint Now = Start + 5s;
  const std::vector<WaitingCalls> Busy = {{Pool, Late, 100, 0},
                                          {Pool, AtOnce, 0, 200}};
  report(Waiting, Busy, 5s, Now);
  const Duration Before = Waiting.predictedWait(Pool, Late, 10, Now);
  Waiting.addWaiting(Pool, Late, Now);
  Waiting.removeWaiting(Pool, Late, Now);
  BOOST_TEST((Waiting.predictedWait(Pool, Late, 10, Now) == Before));
  Waiting.applyReport(InstanceId(2),
                      {{Pool, Late, 1, 0}, {Pool, AtOnce, 0, 200}}, Now);
  BOOST_TEST((Waiting.predictedWait(Pool, Late, 10, Now) < Before / 10));
}

// ---- One call ---------------------------------------------------------------

/// Guards against a call that is held although it can't be served in time: the
/// backlog in front of it takes longer than its limit.
BOOST_AUTO_TEST_CASE(ACallThatWouldWaitTooLongIsRefusedAtOnce) {
  Backlog Waiting;
  report(
      Waiting,
      {{Pool, InTime, 400, 10}, {Pool, Late, 400, 10}, {Pool, AtOnce, 0, 200}},
      10s, Start);
  CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.handleNoRoom({}, Start) == WaitVerdict::NoCapacity));
  BOOST_TEST(!Call.hasWaited());
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start) == 400);
}

/// Guards against refusals where the backlog ends within the limit.
BOOST_AUTO_TEST_CASE(ACallThatIsPlacedInTimeWaits) {
  Backlog Waiting;
  report(Waiting, {{Pool, InTime, 10, 20}, {Pool, AtOnce, 0, 200}}, 10s, Start);
  CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.handleNoRoom({}, Start) == WaitVerdict::Wait));
  BOOST_TEST(Waiting.waitingBefore(Pool, InTime, Start) == 11);
}

/// Guards against a call that goes on waiting after the prediction has become
/// worse than its limit.
BOOST_AUTO_TEST_CASE(AHeldCallIsGivenUpOnceItIsHopeless) {
  Backlog Waiting;
  report(Waiting, {{Pool, Late, 40, 30}}, 10s, Start + 1500ms);
  CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.handleNoRoom({}, Start + 1500ms) == WaitVerdict::Wait));
  report(Waiting, {{Pool, Late, 40, 0}}, 2s, Start + 3500ms);
  BOOST_TEST(
      (Call.handleNoRoom({}, Start + 3500ms) == WaitVerdict::NoCapacity));
  BOOST_TEST(Call.hasWaited());
}

/// Guards against calls that arrived later and count as being in front.
BOOST_AUTO_TEST_CASE(LaterCallsAreNotInFront) {
  Backlog Waiting;
  const TimePoint Now = Start + 1500ms;
  report(Waiting, {{Pool, Late, 5, 10}}, 10s, Now);
  CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.handleNoRoom({}, Now) == WaitVerdict::Wait));
  report(Waiting, {{Pool, Late, 300, 10}}, 200ms, Now + 200ms);
  BOOST_TEST((Call.handleNoRoom({}, Now + 200ms) == WaitVerdict::Wait));
  CallWait Other(Waiting, streamFacts());
  BOOST_TEST((Other.handleNoRoom({}, Now + 200ms) == WaitVerdict::NoCapacity));
}

/// Guards against an instance that was frozen and holds its calls longer.
BOOST_AUTO_TEST_CASE(ACallPastItsLimitIsAnsweredAtOnce) {
  Backlog Waiting;
  CallWait Call(Waiting, streamFacts());
  BOOST_TEST((Call.handleNoRoom({}, Start) == WaitVerdict::Wait));
  BOOST_TEST(
      (Call.handleNoRoom({}, Start + 4800ms) == WaitVerdict::LimitEnded));
  BOOST_TEST(Waiting.totalWaiting(Start + 4800ms) == 0);
}

/// Guards against an instance that is cut off and refuses all that would wait.
BOOST_AUTO_TEST_CASE(AnInstanceWithoutOthersDecidesByItsOwnQueue) {
  Backlog Waiting;
  for (Duration At{}; At < 5s; At += 50ms)
    Waiting.recordPlaced(Pool, InTime, Start - 5s + At);
  CallWait First(Waiting, streamFacts());
  BOOST_TEST((First.handleNoRoom({}, Start) == WaitVerdict::Wait));
  for (int I = 0; I < 400; ++I)
    Waiting.addWaiting(Pool, InTime, Start);
  for (int I = 0; I < 400; ++I)
    Waiting.addWaiting(Pool, Late, Start);
  CallWait Last(Waiting, streamFacts());
  BOOST_TEST((Last.handleNoRoom({}, Start) == WaitVerdict::NoCapacity));
}

/// Guards against calls that stay counted after they have ended.
BOOST_AUTO_TEST_CASE(AnEndedCallIsNotCounted) {
  Backlog Waiting;
  {
    CallWait Call(Waiting, streamFacts());
    Call.handleNoRoom({}, Start);
    BOOST_TEST(Waiting.totalWaiting(Start) == 1);
  }
  BOOST_TEST(Waiting.totalWaiting(Start) == 0);
  CallWait Placed(Waiting, streamFacts());
  Placed.handleNoRoom({}, Start);
  Placed.handlePlaced(Start);
  BOOST_TEST(Waiting.totalWaiting(Start) == 0);
  BOOST_TEST(Waiting.placedBefore(Pool, InTime, Start) == 1);
}

/// Guards against callers that all return at the same moment, before there is
/// capacity, or later than they honour.
BOOST_AUTO_TEST_CASE(CallersReturnOneAfterTheOther) {
  Backlog Waiting;
  report(Waiting, {{Pool, Late, 20, 20}}, 10s, Start);
  CallWait Call(Waiting, streamFacts());
  const Duration Expected = Waiting.predictedWait(Pool, Late, 21, Start);
  BOOST_TEST((Call.retryAfter(0, Start) == Expected));
  BOOST_TEST((Call.retryAfter(0.999, Start) > Expected * 14 / 10));
  report(Waiting, {{Pool, Late, 2000, 20}}, 1s, Start + 1s);
  // A third of the nine seconds left.
  BOOST_TEST((Call.retryAfter(0.999, Start + 1s) <= 3s));
  BOOST_TEST((Call.retryAfter(0, Start + 1s) == 2s));
  BOOST_TEST((Call.retryAfter(0, Start + 11s) == 0s));
}

/// Guards against waiting by prediction in deployments that didn't ask for it.
BOOST_AUTO_TEST_CASE(CallsWaitOnlyWhereSpeedsAreLearned) {
  Backlog Waiting;
  const FakeSpeeds Off(false);
  BOOST_TEST((WaitPolicy(Off, Waiting).begin(streamFacts()) == nullptr));
  const FakeSpeeds On(true);
  BOOST_TEST((WaitPolicy(On, Waiting).begin(streamFacts()) != nullptr));
  CallFacts NoTarget = streamFacts();
  NoTarget.m_Target = Duration::zero();
  BOOST_TEST((WaitPolicy(On, Waiting).begin(NoTarget) == nullptr));
}

/// Guards against a workspace whose arrivals are placed before its calls that
/// wait, so that it gets all room that becomes free.
BOOST_AUTO_TEST_CASE(AnArrivalIsNotPlacedBeforeEarlierCalls) {
  ManualClock Clock;
  ManualScheduler Timers(Clock);
  gateway::WaitQueue Queue(Timers);
  balance::Balancer Upstreams({"a"});
  Upstreams.setUpstreams(
      {{upstreamIdOf("e"), "e", "s", {1, 1}, {"a"}, Engine{16}, false}});
  WorkspaceLoads Loads;
  balance::PlacementQuery Query;
  Query.m_Service = "s";
  Query.m_Prompt = {{{1, 100}}, 100, 10, 10};
  const auto Earlier = Queue.enqueue({3, "w", Pool}, [] {});
  const CallWait Wait(Upstreams.backlog(), streamFacts());
  const auto IsPlaced = [&](const char *Workspace, bool IsQueued) {
    return std::holds_alternative<balance::Placed>(gateway::placeByPrediction(
        {Upstreams, Queue, Loads}, Wait, Query, {3, Workspace, Pool}, IsQueued,
        false, Start));
  };
  BOOST_TEST(!IsPlaced("w", false));
  BOOST_TEST(IsPlaced("w", true));
  BOOST_TEST(IsPlaced("other", false));
}
