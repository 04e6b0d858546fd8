/// What a request's answers state about their upstreams.
#define BOOST_TEST_MODULE upstream_statement
#include "unit/forwarded_request_env.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// Places another call on the upstream called \p Name, if that is allowed.
balance::PlacementResult placeAt(TestEnv &Env, const std::string &Name) {
  balance::PlacementQuery Query;
  Query.m_Service = "s";
  for (const char *Other : {"u0", "u1", "u2"})
    if (Name != Other)
      Query.m_Excluded.push_back(upstreamIdOf(Other));
  return Env.m_Balancer.place(Query, Env.m_Clock.now());
}

bool mayPlace(TestEnv &Env, const std::string &Name) {
  return std::holds_alternative<balance::Placed>(placeAt(Env, Name));
}

} // namespace

// Guards against a leave that is read from one kind of answer only.
BOOST_AUTO_TEST_CASE(ALeaveIsReadFromAnyAnswer) {
  const HeaderList Good = {{"Call-Signed", "s"}, {"Call-Leaving", "1"}};
  for (const RouteKind &Kind : {AtMostOnce, Idempotent, Resumable})
    for (const unsigned Status : {200U, 500U}) {
      TestEnv Env(Kind);
      const std::string Name = Env.upstreamOf(0);
      Env.sendHeaders(0, Status, Good);
      BOOST_TEST(!mayPlace(Env, Name));
    }
  TestEnv Refused(Idempotent);
  const std::string Name = Refused.upstreamOf(0);
  Refused.sendHeaders(0, 503, {{"Call-Not-Run", "1"}, {"Call-Leaving", "1"}});
  BOOST_TEST(!mayPlace(Refused, Name));
  BOOST_TEST(Refused.calls() == 2U);
}

// Guards against a leave that is taken from another upstream's answer, at a
// reused address or late on a kept connection.
BOOST_AUTO_TEST_CASE(ALeaveIsNotReadFromAnothersAnswer) {
  TestEnv Foreign(Idempotent);
  const std::string Name = Foreign.upstreamOf(0);
  Foreign.call(0).m_Listener->upstreamHeaders(
      200, {{"Call-Id", "other"}, {"Call-Signed", "s"}, {"Call-Leaving", "1"}});
  BOOST_TEST(mayPlace(Foreign, Name));
}

// Guards against a call that was placed before an upstream stated that it
// leaves, waited for its connection and is sent after.
BOOST_AUTO_TEST_CASE(ACallThatWaitsForItsConnectionIsWithheld) {
  TestEnv Env(Idempotent);
  const std::string Name = Env.upstreamOf(0);
  balance::PlacementQuery Query;
  Query.m_Service = "s";
  for (const char *Other : {"u0", "u1", "u2"})
    if (Name != Other)
      Query.m_Excluded.push_back(upstreamIdOf(Other));
  const auto Answered =
      std::get<balance::Placed>(Env.m_Balancer.place(Query, Env.m_Clock.now()));
  BOOST_TEST(Env.call(0).m_Send.m_SendCheck());
  Env.m_Balancer.recordLeaveStatement(Answered.m_Ticket);
  BOOST_TEST(!Env.call(0).m_Send.m_SendCheck());
  Env.endCall(0, TransportEnd::Withheld);
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(Env.upstreamOf(1) != Name);
}

// Guards against a stream that resumes at an upstream that has stated that it
// leaves.
BOOST_AUTO_TEST_CASE(AStreamResumesElsewhere) {
  TestEnv Env(Resumable, 3);
  const std::string Name = Env.upstreamOf(0);
  Env.sendHeaders(0, 200, {{"Call-Signed", "s"}, {"Call-Leaving", "1"}});
  Env.sendBytes(0, event(1));
  Env.endCall(0, TransportEnd::Broken);
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(Env.upstreamOf(1) != Name);
  BOOST_TEST(!mayPlace(Env, Name));
}

// Guards against a pause that is not read from a refusal, and against a retry
// at the upstream that requested it.
BOOST_AUTO_TEST_CASE(APauseIsReadFromARefusal) {
  TestEnv Env(Idempotent);
  const std::string Name = Env.upstreamOf(0);
  Env.sendHeaders(0, 503, {{"Call-Not-Run", "1"}, {"Call-Pause-Ms", "3000"}});
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(Env.upstreamOf(1) != Name);
  Env.m_Timers.advance(2900ms);
  BOOST_TEST(!mayPlace(Env, Name));
  Env.m_Timers.advance(100ms);
  BOOST_TEST(mayPlace(Env, Name));
}

// Guards against a call that was placed before its upstream requested a pause
// and is sent in it.
BOOST_AUTO_TEST_CASE(ACallIsWithheldInAPause) {
  TestEnv Env(Idempotent);
  balance::PlacementQuery Query;
  Query.m_Service = "s";
  const std::string Name = Env.upstreamOf(0);
  for (const char *Other : {"u0", "u1", "u2"})
    if (Name != Other)
      Query.m_Excluded.push_back(upstreamIdOf(Other));
  const auto Refused =
      std::get<balance::Placed>(Env.m_Balancer.place(Query, Env.m_Clock.now()));
  BOOST_TEST(Env.call(0).m_Send.m_SendCheck());
  Env.m_Balancer.recordPause(Refused.m_Ticket, 3s, Env.m_Clock.now());
  BOOST_TEST(!Env.call(0).m_Send.m_SendCheck());
  Env.endCall(0, TransportEnd::Withheld);
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(Env.upstreamOf(1) != Name);
}

// Guards against a caller that is held back until near its deadline because all
// upstreams are paused: it learns at once that its request has not run and when
// to come back.
BOOST_AUTO_TEST_CASE(ACallerIsRefusedAtOnceWhereAllArePaused) {
  TestEnv Env(Idempotent, 3);
  for (std::size_t I = 0; I < 3; ++I)
    Env.sendHeaders(I, 503, {{"Call-Not-Run", "1"}, {"Call-Pause-Ms", "3000"}});
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.answerHas("Retry-After"));
}

namespace {

/// A request that arrives while all upstreams are paused for \p Span.
struct PausedEnv : TestEnv {
  explicit PausedEnv(Duration Span)
      : TestEnv(Idempotent, 2, {}, PlainService{4}, {}, [Span](TestEnv &Env) {
          balance::PlacementQuery Query;
          Query.m_Service = "s";
          for (int I = 0; I < 3; ++I) {
            const auto Call = std::get<balance::Placed>(
                Env.m_Balancer.place(Query, Env.m_Clock.now()));
            Env.m_Balancer.recordPause(Call.m_Ticket, Span, Env.m_Clock.now());
            Env.m_Balancer.recordCallEnd(Call.m_Ticket,
                                         balance::CallOutcome::Refused,
                                         Env.m_Clock.now());
          }
        }) {}
};

} // namespace

// Guards against a refusal where a pause ends within the time that the request
// may wait, and against a wait where it doesn't.
BOOST_AUTO_TEST_CASE(ARequestWaitsForTheEndOfAShortPauseOnly) {
  PausedEnv Short(100ms);
  BOOST_TEST(Short.calls() == 0U);
  BOOST_TEST(Short.m_Finished == 0);
  Short.m_Timers.advance(150ms);
  BOOST_TEST(Short.calls() == 1U);
  PausedEnv Long(1s);
  BOOST_TEST(Long.answer().m_Status == 503U);
  BOOST_TEST(Long.calls() == 0U);
  BOOST_TEST(Long.answerHas("Retry-After"));
}
