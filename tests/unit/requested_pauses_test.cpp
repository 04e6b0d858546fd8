/// Pauses that upstreams request, and the trial after them.
#define BOOST_TEST_MODULE requested_pauses
#include "unit/plain_calls.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::balance;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};
constexpr UpstreamId Id(1);

struct Fixture {
  TimePoint m_Now = Begin;
  Balancer m_Balancer{{"a"}};

  explicit Fixture(const std::vector<std::string> &Names) {
    std::vector<Upstream> List;
    List.reserve(Names.size());
    for (const std::string &Name : Names)
      List.push_back(desk(Name));
    m_Balancer.setUpstreams(List);
  }

  PlacementResult place() { return m_Balancer.place(plainCall(), m_Now); }

  /// Places a call, which its upstream rejects with a pause.
  void placeAndPause(Duration Span) {
    const auto Call = std::get<Placed>(place());
    m_Balancer.recordPause(Call.m_Ticket, Span, m_Now);
    m_Balancer.recordCallEnd(Call.m_Ticket, CallOutcome::Refused, m_Now);
  }

  bool mayPlace() {
    const PlacementResult Result = place();
    if (const auto *Call = std::get_if<Placed>(&Result))
      m_Balancer.recordCallEnd(Call->m_Ticket, CallOutcome::Dropped, m_Now);
    return std::holds_alternative<Placed>(Result);
  }
};

} // namespace

// Guards against pauses of unusual lengths without a defined end.
BOOST_AUTO_TEST_CASE(EachLengthHasADefinedEnd) {
  const auto EndOf = [](Duration Span) {
    RequestedPauses Pauses;
    Pauses.record(Id, Span, Begin);
    return Pauses.pausedUntil(Id);
  };
  BOOST_TEST((EndOf(3s) == Begin + 3s));
  BOOST_TEST((EndOf(250ms) == Begin + 250ms));
  BOOST_TEST((EndOf(0s) == TimePoint()));
  BOOST_TEST((EndOf(1h) == Begin + 1h));
  BOOST_TEST((EndOf(RequestedPauses::MaxPause * 1000) ==
              Begin + RequestedPauses::MaxPause));
}

// Guards against a short pause that ends a longer one.
BOOST_AUTO_TEST_CASE(AShorterPauseEndsNoLongerOne) {
  RequestedPauses Pauses;
  Pauses.record(Id, 3s, Begin);
  Pauses.record(Id, 1s, Begin + 100ms);
  BOOST_TEST((Pauses.pausedUntil(Id) == Begin + 3s));
  Pauses.record(Id, 3s, Begin + 1s);
  BOOST_TEST((Pauses.pausedUntil(Id) == Begin + 4s));
}

// Guards against a pause that a restarted upstream, or another one at the same
// address, is kept out by.
BOOST_AUTO_TEST_CASE(APauseEndsWithTheLifetime) {
  Fixture Test({"a"});
  Test.placeAndPause(1h);
  BOOST_TEST(!Test.mayPlace());
  Test.m_Balancer.setUpstreams({desk("a@2")});
  BOOST_TEST(Test.mayPlace());
}

// Guards against a pause that is forgotten with the upstream's entry.
BOOST_AUTO_TEST_CASE(APauseSurvivesTheLossOfTheEntry) {
  Fixture Test({"a"});
  Test.placeAndPause(3s);
  Test.m_Balancer.setUpstreams({});
  Test.m_Balancer.setUpstreams({desk("a")});
  BOOST_TEST(!Test.mayPlace());
}

// Guards against all waiting calls being sent to the first upstream whose pause
// ends.
BOOST_AUTO_TEST_CASE(ASingleCallFollowsAPause) {
  Fixture Test({"a"});
  Test.placeAndPause(3s);
  Test.m_Now += 3s;
  const auto Trial = std::get<Placed>(Test.place());
  BOOST_TEST(!Test.mayPlace());
  Test.m_Balancer.recordCallEnd(Trial.m_Ticket, CallOutcome::Dropped,
                                Test.m_Now);
  const auto Second = std::get<Placed>(Test.place());
  BOOST_TEST(!Test.mayPlace());
  Test.m_Balancer.recordFirstEvent(Second.m_Ticket, Test.m_Now);
  BOOST_TEST(Test.mayPlace());
  std::get<Placed>(Test.place());
  BOOST_TEST(Test.mayPlace());
}

// Guards against calls to paused upstreams because most of them are paused, and
// against a refusal that doesn't say when the first one's pause ends.
BOOST_AUTO_TEST_CASE(CallsAreRefusedWhileAllUpstreamsArePaused) {
  Fixture Test({"a", "b", "c"});
  for (const Duration Span : {3s, 2s, 3s})
    Test.placeAndPause(Span);
  const auto Refused = std::get<NotPlaced>(Test.place());
  BOOST_TEST((Refused.m_Reason == RefusalReason::UpstreamPaused));
  BOOST_TEST((Refused.m_RetryAfter >= 2s && Refused.m_RetryAfter <= 3s));
  Test.m_Now += 2s;
  std::get<Placed>(Test.place());
  const auto DuringTrial = std::get<NotPlaced>(Test.place());
  BOOST_TEST((DuringTrial.m_Reason == RefusalReason::UpstreamPaused));
  BOOST_TEST(
      (DuringTrial.m_RetryAfter >= 200ms && DuringTrial.m_RetryAfter <= 500ms));
}

// Guards against callers that are refused together and return together.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnAtDifferentTimes) {
  Fixture Test({"a"});
  Test.placeAndPause(2s);
  std::set<Duration> Times;
  for (int I = 0; I < 20; ++I)
    Times.insert(std::get<NotPlaced>(Test.place()).m_RetryAfter);
  BOOST_TEST(Times.size() > 15U);
}

// Guards against any order of calls, answers and pauses in which an upstream
// gets a call within a pause: random schedules at three upstreams.
BOOST_AUTO_TEST_CASE(NoCallIsPlacedInAPause) {
  BOOST_TEST(rc::check([] {
    Fixture Test({"a", "b", "c"});
    std::map<UpstreamId, TimePoint> Paused;
    std::vector<Placed> Open;
    for (int Step = 0; Step < 200; ++Step) {
      Test.m_Now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
      if (Open.empty() || *rc::gen::inRange(0, 2) == 0) {
        const PlacementResult Result = Test.place();
        if (const auto *Call = std::get_if<Placed>(&Result)) {
          RC_ASSERT(Test.m_Now >= Paused[Call->m_Upstream]);
          Open.push_back(*Call);
        }
        continue;
      }
      const auto Index = *rc::gen::inRange<std::size_t>(0, Open.size());
      const Placed Call = Open[Index];
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Index));
      // A call that was placed before a pause and not sent is withheld.
      RC_ASSERT(Test.m_Now >= Paused[Call.m_Upstream] ||
                !Test.m_Balancer.mayBegin(Call.m_Ticket, Test.m_Now));
      const int Outcome = *rc::gen::inRange(0, 4);
      if (Outcome == 0) {
        const auto Span = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        Test.m_Balancer.recordPause(Call.m_Ticket, Span, Test.m_Now);
        Paused[Call.m_Upstream] =
            std::max(Paused[Call.m_Upstream], Test.m_Now + Span);
      }
      constexpr CallOutcome Outcomes[] = {
          CallOutcome::Refused, CallOutcome::Served, CallOutcome::Broken,
          CallOutcome::Dropped};
      Test.m_Balancer.recordCallEnd(Call.m_Ticket, Outcomes[Outcome],
                                    Test.m_Now);
      if (*rc::gen::inRange(0, 10) == 0)
        Test.m_Balancer.takeDigest(Test.m_Now);
    }
  }));
}
