/// Calls through an entry over HTTP, with failures of upstreams and callers.
#define BOOST_TEST_MODULE entry_call
#include "unit/entry_harness.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::entry;
using namespace crowstep::entry::test;

BOOST_AUTO_TEST_CASE(StreamIsRelayedAsItComes) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = Engine.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  BOOST_TEST(Call->hasReceived(R"("stream":true)"));
  BOOST_TEST(Call->hasReceived(R"("priority":3)"));
  BOOST_TEST(Call->hasReceived(R"("request_id":")"));
  BOOST_TEST(Call->hasReceived(R"("model":"guide-7b")"));
  Call->send(streamHead() + chunk(tokenEvent("one")));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  BOOST_TEST(Caller->hasReceived("Crowstep-Run: run"));
  BOOST_TEST(!Caller->hasReceived("two"));
  Call->send(chunk(tokenEvent("two")) + streamEnd());
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("[DONE]"); }));
  BOOST_TEST(
      pumpUntil([&] { return !Fixture.m_Placement.m_Released.empty(); }));
  BOOST_TEST(
      (Fixture.m_Placement.m_Released[0].m_End == decision::WorkEnd::Finished));
  BOOST_TEST(Fixture.m_Placement.m_Released[0].m_Tokens == 2U);
  BOOST_TEST(Fixture.m_Placement.m_FirstTokens == 1);
}

BOOST_AUTO_TEST_CASE(PlainAnswerIsAssembled) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  const auto Caller = Fixture.sendGuide(false);
  Peer *Call = Engine.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one ") + tokenEvent("two")) +
             streamEnd());
  BOOST_TEST(
      pumpUntil([&] { return Caller->hasReceived("completion_tokens"); }));
  BOOST_TEST(Caller->hasReceived(R"("content":"one two")"));
  BOOST_TEST(Caller->hasReceived(R"("completion_tokens":2)"));
}

// Guards against a call that is sent for a caller that has closed its
// connection: the process may serve the upstream's socket before the caller's.
BOOST_AUTO_TEST_CASE(NothingIsSentForACallerThatHasLeft) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  BOOST_REQUIRE(pumpUntil([&] { return Engine.acceptPending() == 1; }));
  Caller->close();
  pumpFor(50ms);
  BOOST_TEST(Engine.peer(0).received().empty());
}

// An engine closes in the middle of a stream. The caller gets one answer
// without a gap or duplicate: the next engine is sent the number of tokens that
// the caller has, and a partial event of the first engine is not relayed.
BOOST_AUTO_TEST_CASE(StreamIsResumedElsewhere) {
  Bench Fixture;
  FakeUpstream First, Second;
  Fixture.m_Placement.grantAt(First.m_Address);
  Fixture.m_Placement.grantAt(Second.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = First.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one") + R"(data: {"choi)"));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  Call->close();
  Peer *Again = Second.waitForRequest();
  BOOST_REQUIRE(Again != nullptr);
  BOOST_TEST(Again->hasReceived(R"("resume_tokens":1)"));
  BOOST_TEST(Fixture.m_Placement.m_Bids[1].m_Bid.m_IsRetry);
  BOOST_TEST(Fixture.m_Placement.m_Bids[1].m_Bid.m_DoneTokens == 1U);
  Again->send(streamHead() + chunk(tokenEvent("two")) + streamEnd());
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("[DONE]"); }));
  BOOST_TEST(!Caller->hasReceived("data: {\"choi\r\n"));
  BOOST_TEST(Caller->received().find("one") == Caller->received().rfind("one"));
}

// As above, but no engine can resume. The answer ends with an error event and
// without [DONE], because a restart would duplicate what the caller has.
BOOST_AUTO_TEST_CASE(StreamThatCannotResumeIsCut) {
  Bench Fixture;
  FakeUpstream First, Second;
  Fixture.m_Placement.grantAt(First.m_Address);
  Fixture.m_Placement.grantAt(Second.m_Address, 2s, false);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = First.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one")));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  Call->close();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("upstream_failed"); }));
  BOOST_TEST(!Caller->hasReceived("[DONE]"));
  BOOST_TEST(Second.acceptPending() == 0U);
}

// Guards against an engine whose refusal nests so deeply that copying its code
// overflows the stack.
BOOST_AUTO_TEST_CASE(ADeepRefusalEndsOnlyItsCall) {
  for (const char *Field : {"type", "code"}) {
    Bench Fixture;
    FakeUpstream Odd;
    Fixture.m_Placement.grantAt(Odd.m_Address);
    const auto Caller = Fixture.sendHold();
    Peer *Call = Odd.waitForRequest();
    BOOST_REQUIRE(Call != nullptr);
    constexpr std::size_t Depth = 100'000;
    Call->send(plainAnswer(
        503, R"({"error":{"type":"not_run",")" + std::string(Field) + "\":" +
                 std::string(Depth, '[') + std::string(Depth, ']') + "}}"));
    BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("HTTP/1.1 "); }));
  }
}

// The first upstream refuses the connection, the second is draining, the third
// is busy. The caller gets only the answer of the fourth.
BOOST_AUTO_TEST_CASE(ProvableFailuresAreRetriedElsewhere) {
  Bench Fixture;
  FakeUpstream Closed, Draining, Busy, Good;
  Closed.stopListening();
  for (const FakeUpstream *Target : {&Closed, &Draining, &Busy, &Good})
    Fixture.m_Placement.grantAt(Target->m_Address);
  const auto Caller = Fixture.sendHold();
  Peer *Call = Draining.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(notRunAnswer("leaving"));
  Call = Busy.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(notRunAnswer("busy"));
  Call = Good.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(plainAnswer(200, R"({"seat":"held"})"));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("held"); }));
  const auto &Ends = Fixture.m_Placement.m_Released;
  BOOST_REQUIRE(Ends.size() == 4U);
  BOOST_TEST((Ends[0].m_End == decision::WorkEnd::ConnectFailed));
  BOOST_TEST((Ends[1].m_End == decision::WorkEnd::UpstreamDraining));
  BOOST_TEST((Ends[2].m_End == decision::WorkEnd::UpstreamRefused));
  BOOST_TEST(Fixture.m_Claims.m_ClaimCount == 1); // One claim for all four.
  BOOST_TEST(
      Fixture.m_Metrics.text().find(
          R"(crowstep_retries_total{class="hold",reason="upstream_leaving"} 1)") !=
      std::string::npos);
}

// The service reads the call and closes. The call may have run, so it is not
// sent again, and both the caller and a further request with the key get
// "unknown".
BOOST_AUTO_TEST_CASE(HoldIsNeverSentTwice) {
  Bench Fixture;
  FakeUpstream Desk;
  Fixture.m_Placement.grantAt(Desk.m_Address);
  Fixture.m_Placement.grantAt(Desk.m_Address);
  const auto Caller = Fixture.sendHold();
  Peer *Call = Desk.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  BOOST_TEST(Call->hasReceived("Connection: close"));
  Call->close();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("upstream_failed"); }));
  BOOST_TEST(Caller->hasReceived("502"));
  BOOST_TEST(Caller->hasReceived("Crowstep-Run: unknown"));
  const auto Again = Fixture.sendHold();
  BOOST_TEST(pumpUntil([&] { return Again->hasReceived("outcome_unknown"); }));
  BOOST_TEST(Again->hasReceived("Crowstep-Run: unknown"));
  BOOST_TEST(Desk.acceptPending() == 1U);
}

// The caller closes its connection while a call that is not repeatable runs.
// The call runs to its end, and a further request with the key gets the
// recorded answer without a second call. A request with the same key but
// another body or workspace does not.
BOOST_AUTO_TEST_CASE(KeptAnswerIsReplayed) {
  Bench Fixture;
  FakeUpstream Desk;
  Fixture.m_Placement.grantAt(Desk.m_Address);
  auto Caller = Fixture.sendHold();
  Peer *Call = Desk.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  BOOST_TEST(Call->hasReceived("Idempotency-Key: k1"));
  Caller.reset();
  Call->send(plainAnswer(201, R"({"seat":"held"})"));
  BOOST_TEST(
      pumpUntil([&] { return !Fixture.m_Placement.m_Released.empty(); }));
  for (int Times = 0; Times < 3; ++Times)
    Fixture.m_Placement.grantAt(Desk.m_Address);
  const auto Again = Fixture.sendHold();
  BOOST_TEST(pumpUntil([&] { return Again->hasReceived("held"); }));
  BOOST_TEST(Again->hasReceived("HTTP/1.1 201"));
  BOOST_TEST(Again->hasReceived("Crowstep-Run: run"));
  const auto Other = Fixture.sendHold("k1", R"({"seat":5})");
  BOOST_TEST(pumpUntil([&] { return Other->hasReceived("key_reused"); }));
  BOOST_TEST(Other->hasReceived("HTTP/1.1 422"));
  BOOST_TEST(Desk.acceptPending() == 1U);
  const auto Foreign = Fixture.send(
      Bench::requestText("/v1/services/pass-desk/hold", "hold", R"({"seat":4})",
                         "Idempotency-Key: k1\r\n", "beta"));
  BOOST_TEST(pumpUntil([&] { return Desk.acceptPending() == 2U; }));
  BOOST_TEST(!Foreign->hasReceived("held"));
}

// A second caller sends the same key while the first call runs. It waits
// until its limit and gets "unknown"; nothing is sent for it.
BOOST_AUTO_TEST_CASE(KeyInProgressIsToldUnknown) {
  Bench Fixture;
  FakeUpstream Desk;
  Fixture.m_Placement.grantAt(Desk.m_Address);
  Fixture.m_Placement.grantAt(Desk.m_Address);
  const auto First = Fixture.sendHold();
  BOOST_REQUIRE(Desk.waitForRequest() != nullptr);
  const auto Second = Fixture.sendHold();
  BOOST_TEST(pumpUntil([&] { return Second->hasReceived("key_in_progress"); }));
  BOOST_TEST(Second->hasReceived("HTTP/1.1 409"));
  BOOST_TEST(Second->hasReceived("Crowstep-Run: unknown"));
  BOOST_TEST(Desk.acceptPending() == 1U);
}

// The table service is down: nothing is sent and the caller may retry.
BOOST_AUTO_TEST_CASE(HoldWithoutClaimIsNotSent) {
  Bench Fixture;
  FakeUpstream Desk;
  Fixture.m_Placement.grantAt(Desk.m_Address);
  Fixture.m_Claims.m_NextStatus = claim::ClaimStatus::Unavailable;
  const auto Caller = Fixture.sendHold();
  BOOST_TEST(
      pumpUntil([&] { return Caller->hasReceived("claim_unavailable"); }));
  BOOST_TEST(Caller->hasReceived("Crowstep-Run: not-run"));
  BOOST_TEST(Caller->hasReceived("Retry-After: 1"));
  BOOST_TEST(Desk.acceptPending() == 0U);
}

// The grant expires between its receipt and the connection. The last check
// stops the call before a byte is sent, and the request bids again.
BOOST_AUTO_TEST_CASE(LapsedGrantSendsNoByte) {
  Bench Fixture;
  FakeUpstream Late, Good;
  Fixture.m_Placement.grantAt(Late.m_Address, 0s);
  Fixture.m_Placement.grantAt(Good.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = Good.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  BOOST_REQUIRE(Late.acceptPending() == 1U);
  BOOST_TEST(pumpUntil([&] { return Late.peer(0).isClosed(); }));
  BOOST_TEST(Late.peer(0).received().empty());
  BOOST_TEST((Fixture.m_Placement.m_Released.at(0).m_End ==
              decision::WorkEnd::Unused));
}

// The caller closes its connection while an answer streams: the engine's
// connection is closed, the engine is ordered to stop, and the slot is
// released.
BOOST_AUTO_TEST_CASE(CallerGoneCancelsRepeatableWork) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  auto Caller = Fixture.sendGuide(true);
  Peer *Call = Engine.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one")));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  Caller.reset();
  Peer *Order = Engine.waitForRequest();
  BOOST_REQUIRE(Order != nullptr);
  BOOST_TEST(Order->hasReceived("POST /v1/cancel"));
  BOOST_TEST(pumpUntil([&] { return Call->isClosed(); }));
  BOOST_TEST((Fixture.m_Placement.m_Released.at(0).m_End ==
              decision::WorkEnd::Cancelled));
}

// Guards against a bid that keeps its place in the queue after its caller has
// closed the connection.
BOOST_AUTO_TEST_CASE(CallerGoneWithdrawsBid) {
  Bench Fixture;
  auto Caller = Fixture.sendGuide(true);
  BOOST_TEST(pumpUntil([&] { return !Fixture.m_Placement.m_Waiting.empty(); }));
  Caller.reset();
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Placement.m_Waiting.empty(); }));
}

// A more urgent request preempts the slot. The call is cancelled, the request
// bids again with the tokens that the caller has, and another engine resumes
// the answer.
BOOST_AUTO_TEST_CASE(PreemptedStreamGoesOn) {
  Bench Fixture;
  FakeUpstream First, Second;
  Fixture.m_Placement.grantAt(First.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = First.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one")));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  Fixture.m_Placement.m_Holder->slotPreempted(
      UpstreamId(First.m_Address.m_Port));
  BOOST_TEST(pumpUntil([&] { return Call->isClosed(); }));
  BOOST_TEST((Fixture.m_Placement.m_Released.at(0).m_End ==
              decision::WorkEnd::Preempted));
  Fixture.m_Placement.grantAt(Second.m_Address);
  Peer *Again = Second.waitForRequest();
  BOOST_REQUIRE(Again != nullptr);
  BOOST_TEST(Again->hasReceived(R"("resume_tokens":1)"));
  Again->send(streamHead() + chunk(tokenEvent("two")) + streamEnd());
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("[DONE]"); }));
}

// Guards against an HTTP client that resends a call by itself after a closed
// kept-alive connection, or follows a redirect: only the request's own retry
// may send it again.
BOOST_AUTO_TEST_CASE(LibraryNeitherResendsNorRedirects) {
  Bench Fixture;
  FakeUpstream Desk, Other;
  Fixture.m_Placement.grantAt(Desk.m_Address);
  const auto First = Fixture.send(Bench::requestText(
      "/v1/services/pass-desk/check", "check", R"({"pass":1})"));
  Peer *Call = Desk.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send("HTTP/1.1 303 X\r\nLocation: http://" + toString(Other.m_Address) +
             "/elsewhere\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(pumpUntil([&] { return First->hasReceived("HTTP/1.1 303"); }));
  BOOST_TEST(Other.acceptPending() == 0U);
  Fixture.m_Placement.grantAt(Desk.m_Address);
  Fixture.m_Placement.grantAt(Other.m_Address);
  const auto Second = Fixture.send(Bench::requestText(
      "/v1/services/pass-desk/check", "check", R"({"pass":2})"));
  BOOST_TEST(pumpUntil([&] { return Call->hasReceived(R"({"pass":2})"); }));
  Call->close();
  Peer *Retry = Other.waitForRequest();
  BOOST_REQUIRE(Retry != nullptr);
  Retry->send(plainAnswer(200, "{}"));
  BOOST_TEST(pumpUntil([&] { return Second->hasReceived("HTTP/1.1 200"); }));
  BOOST_TEST(Desk.acceptPending() == 1U);
}

// A caller stops reading a long answer. The entry stops reading from the
// engine, so that its memory use stays bounded. When the caller reads on, it
// gets the complete answer.
BOOST_AUTO_TEST_CASE(SlowCallerHoldsBackTheEngine) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = Engine.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  constexpr std::size_t TextSize = 8000;
  const std::string Event = chunk(tokenEvent(std::string(TextSize, 'x')));
  Call->send(streamHead());
  std::size_t Written = 0;
  const int Fd = Call->fd();
  gint64 LastProgress = g_get_monotonic_time();
  while (g_get_monotonic_time() - LastProgress < G_USEC_PER_SEC / 2) {
    const ssize_t Size = ::send(Fd, Event.data() + Written % Event.size(),
                                Event.size() - Written % Event.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size > 0) {
      Written += static_cast<std::size_t>(Size);
      LastProgress = g_get_monotonic_time();
    }
    g_main_context_iteration(nullptr, 0);
    BOOST_REQUIRE(Written < (64U << 20));
  }
  BOOST_TEST_MESSAGE("held back after " << Written << " bytes");
  // Only the text is compared, as it may be split into other chunks.
  const auto Text = [&] {
    const std::string &All = Caller->received();
    const auto Head = static_cast<std::ptrdiff_t>(All.find("\r\n\r\n"));
    return static_cast<std::size_t>(
        std::count(All.begin() + Head, All.end(), 'x'));
  };
  const std::size_t CompleteEvents = Written / Event.size();
  const std::size_t CompleteText = CompleteEvents * TextSize;
  BOOST_TEST(pumpUntil([&] { // Counting all bytes each time would take long.
    return Caller->received().size() >= CompleteText && Text() >= CompleteText;
  }));
  Call->send(Event.substr(Written % Event.size()) + streamEnd());
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("[DONE]"); }));
  BOOST_TEST(Text() == (CompleteEvents + 1) * TextSize);
}

// The entry is stopped while an answer streams. Health checks fail and new
// requests are refused at once, but the answer in progress is completed.
BOOST_AUTO_TEST_CASE(ShutdownCutsNothing) {
  Bench Fixture;
  FakeUpstream Engine;
  Fixture.m_Placement.grantAt(Engine.m_Address);
  const auto Caller = Fixture.sendGuide(true);
  Peer *Call = Engine.waitForRequest();
  BOOST_REQUIRE(Call != nullptr);
  Call->send(streamHead() + chunk(tokenEvent("one")));
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("one"); }));
  bool Stopped = false;
  Fixture.m_Service.stop([&] { Stopped = true; });
  const auto Late = Fixture.sendGuide(true);
  BOOST_TEST(pumpUntil([&] { return Late->hasReceived("shutting_down"); }));
  BOOST_TEST(Late->hasReceived("Retry-After: 1"));
  const auto Health = Fixture.send("GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n");
  BOOST_TEST(pumpUntil([&] { return Health->hasReceived("HTTP/1.1 503"); }));
  BOOST_TEST(!Stopped);
  Call->send(chunk(tokenEvent("two")) + streamEnd());
  BOOST_TEST(pumpUntil([&] { return Stopped; }));
  BOOST_TEST(Caller->hasReceived("[DONE]"));
}

BOOST_AUTO_TEST_CASE(RefusalIsFinalAtOnce) {
  Bench Fixture;
  Fixture.m_Placement.refuseNext(RefusalReason::QueueFull, 1500ms);
  const auto Caller = Fixture.sendGuide(false);
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("queue_full"); }));
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 429"));
  BOOST_TEST(Caller->hasReceived("Retry-After: 2"));
  BOOST_TEST(Caller->hasReceived("Crowstep-Run: not-run"));
}
