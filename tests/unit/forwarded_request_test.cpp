/// One request through the gateway: the caller's answer after each way in which
/// a call can end.
#define BOOST_TEST_MODULE forwarded_request
#include "gateway/forward_limits.h"
#include "unit/captured_log.h"
#include "unit/fake_speeds.h"
#include "unit/forwarded_request_env.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

ContentHash contentOfRequest() {
  return contentHashOf({"POST", "h", "/p/x?y=1", "", "body"});
}

} // namespace

/// Method, target and body are forwarded unchanged; the gateway's headers are
/// set, whatever the caller sent; and the answer is returned unchanged.
BOOST_AUTO_TEST_CASE(ARequestAndItsAnswerPassUnchanged) {
  TestEnv Env(AtMostOnce, 1,
              {{"X-Other", "kept"},
               {"Call-Workspace", "forged"},
               {"Call-Key", "secret"},
               {"Connection", "keep-alive, X-Hop"},
               {"X-Hop", "1"},
               {"Call-Time-Ms", "1500"},
               {"Call-Other", "forged"}});
  const UpstreamRequest &Sent = Env.call(0).m_Send;
  BOOST_TEST(Sent.m_Method == "POST");
  BOOST_TEST(Sent.m_Path == "/p/x?y=1");
  BOOST_TEST(Sent.m_Body == "body");
  BOOST_TEST(!Sent.m_Repeatable);
  BOOST_TEST(*findHeader(Sent.m_Headers, "X-Other") == "kept");
  BOOST_TEST(*findHeader(Sent.m_Headers, "Call-Time-Ms") == "1500");
  BOOST_TEST(findHeader(Sent.m_Headers, "Call-Upstream") != nullptr);
  for (const char *Name : {"Call-Workspace", "Call-Key", "X-Hop", "Call-Other"})
    BOOST_TEST(findHeader(Sent.m_Headers, Name) == nullptr);
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, "half ");
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  Env.sendBytes(0, "whole");
  Env.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Env.answer().m_Status == 200U);
  BOOST_TEST(Env.answer().m_Body == "half whole");
  BOOST_TEST(Env.answerHas("Call-Signed"));
}

/// The connection of a call that may run only once breaks. It may have run, so
/// it must not be retried, and the caller must not be told that it has not run.
BOOST_AUTO_TEST_CASE(ABrokenCallThatMayHaveRunIsNotRetried) {
  TestEnv Env(AtMostOnce);
  Env.endCall(0, TransportEnd::Broken);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(Env.answer().m_Status == 502U);
  BOOST_TEST((Env.answer().m_RunState == RunState::Unknown));
  BOOST_TEST(!Env.answerHas("Retry-After"));
}

/// The upstream states that it did not run the call: the call is retried at
/// another one. When the route allows no further attempt, the caller is told
/// "not run" and when to retry.
BOOST_AUTO_TEST_CASE(OnlyTheUpstreamsStatementProvesNotRun) {
  TestEnv Env(AtMostOnce, 2);
  Env.refuseCall(0);
  BOOST_TEST(Env.calls() == 2U);
  BOOST_TEST(Env.call(0).m_Stopped);
  Env.refuseCall(1);
  BOOST_TEST(Env.calls() == 2U);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST((Env.answer().m_RunState == RunState::NotRun));
  BOOST_TEST(Env.answerHas("Retry-After"));
}

/// The first attempt was refused with proof and the second broke: one unknown
/// outcome is enough to forbid "not run".
BOOST_AUTO_TEST_CASE(ProofOfOneCallIsNoProofOfAnother) {
  TestEnv Env(AtMostOnce, 2);
  Env.refuseCall(0);
  Env.endCall(1, TransportEnd::Broken);
  BOOST_TEST(Env.answer().m_Status == 502U);
}

/// An upstream answers 503 without the statement that it did not run the call.
/// Passed on, the status would promise just that.
BOOST_AUTO_TEST_CASE(A503WithoutProofIsNotPassedOn) {
  for (const unsigned Status : {408U, 429U, 503U}) {
    TestEnv Env(AtMostOnce, 1);
    Env.sendHeaders(0, Status, {{"Call-Signed", "s"}});
    Env.endCall(0, TransportEnd::Complete);
    BOOST_TEST(Env.answer().m_Status == 502U);
    BOOST_TEST(!Env.answerHas("Call-Signed"));
  }
}

/// An error of the upstream itself counts as run: it is passed on with
/// signature and status if the call may run only once, and retried elsewhere
/// otherwise.
BOOST_AUTO_TEST_CASE(UpstreamErrorsArePassedOnOrRetried) {
  TestEnv Once(AtMostOnce, 2);
  Once.sendHeaders(0, 500, {{"Call-Signed", "s"}});
  Once.sendBytes(0, "why");
  Once.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Once.calls() == 1U);
  BOOST_TEST(Once.answer().m_Status == 500U);
  BOOST_TEST(Once.answerHas("Call-Signed"));
  TestEnv Again(Idempotent, 2);
  Again.sendHeaders(0, 500, {{"Call-Signed", "s"}});
  Again.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Again.calls() == 2U);
  Again.sendGoodHeaders(1);
  Again.endCall(1, TransportEnd::Complete);
  BOOST_TEST(Again.answer().m_Status == 200U);
}

/// A late answer to an earlier call arrives on a kept connection, or an answer
/// that no upstream signed. Neither may reach this caller.
BOOST_AUTO_TEST_CASE(ForeignAndUnsignedAnswersAreNotRelayed) {
  TestEnv Foreign(Idempotent, 2);
  Foreign.call(0).m_Listener->upstreamHeaders(
      200, {{"Call-Id", "other"}, {"Call-Signed", "s"}});
  BOOST_TEST(Foreign.call(0).m_Stopped);
  BOOST_TEST(Foreign.calls() == 2U);
  TestEnv Unsigned(AtMostOnce, 2);
  Unsigned.sendHeaders(0, 200);
  BOOST_TEST(Unsigned.answer().m_Status == 502U);
  TestEnv Encoded(AtMostOnce, 2);
  Encoded.sendHeaders(0, 200,
                      {{"Call-Signed", "s"}, {"Content-Encoding", "gzip"}});
  BOOST_TEST(Encoded.answer().m_Status == 502U);
}

/// No connection could be made: nothing was sent, so even a call that may run
/// only once goes to another upstream; after the last one the caller is told
/// "not run".
BOOST_AUTO_TEST_CASE(CallsThatWereNeverSentGoElsewhere) {
  TestEnv Env(AtMostOnce, 1);
  Env.endCall(0, TransportEnd::NotSent);
  BOOST_TEST(Env.calls() == 2U);
  Env.endCall(1, TransportEnd::NotSent);
  Env.endCall(2, TransportEnd::NotSent);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST((Env.answer().m_RunState == RunState::NotRun));
}

/// The deadline passes. A call that is in progress may have run: 504.
BOOST_AUTO_TEST_CASE(TheDeadlineEndsARequestAtOnce) {
  TestEnv Env(AtMostOnce, 1, {{"Call-Time-Ms", "900"}});
  Env.m_Timers.advance(899ms);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  Env.m_Timers.advance(2ms);
  BOOST_TEST(Env.call(0).m_Stopped);
  BOOST_TEST(Env.answer().m_Status == 504U);
  BOOST_TEST((Env.answer().m_RunState == RunState::Unknown));
}

/// The caller closes its connection: the upstream call is ended at once, and
/// there is no further attempt.
BOOST_AUTO_TEST_CASE(ACallerThatDisconnectsEndsTheCall) {
  TestEnv Env(Resumable, 2);
  Env.m_Record.m_HasLeft = true;
  Env.m_Record.m_OnGone();
  BOOST_TEST(Env.call(0).m_Stopped);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(Env.m_Finished == 1);
}

/// The caller closed its connection while the process was frozen: the last
/// check before the first byte detects that, and also an upstream that was
/// removed.
BOOST_AUTO_TEST_CASE(TheLastCheckBeforeTheFirstByte) {
  TestEnv Env(AtMostOnce, 1);
  BOOST_TEST(Env.call(0).m_Send.m_SendCheck());
  Env.m_Balancer.setUpstreams({});
  BOOST_TEST(!Env.call(0).m_Send.m_SendCheck());
  TestEnv Left(AtMostOnce, 1);
  Left.m_Record.m_HasLeft = true;
  BOOST_TEST(!Left.call(0).m_Send.m_SendCheck());
  Left.endCall(0, TransportEnd::Withheld);
  BOOST_TEST(Left.calls() == 1U);
  BOOST_TEST(Left.m_Finished == 1);
}

/// A stream breaks in the middle of an event. The caller has events 1 and 2;
/// the next upstream resumes after 2 but repeats it; the caller receives each
/// event once, in order, and a complete stream.
BOOST_AUTO_TEST_CASE(AResumableStreamResumesElsewhere) {
  TestEnv Env(Resumable, 2);
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(1) + event(2) + "id: 3\nda");
  Env.endCall(0, TransportEnd::Broken);
  BOOST_REQUIRE(Env.calls() == 2U);
  BOOST_TEST(*findHeader(Env.call(1).m_Send.m_Headers, "Call-After") == "2");
  BOOST_TEST((Env.call(1).m_Send.m_Headers != Env.call(0).m_Send.m_Headers));
  Env.sendGoodHeaders(1);
  Env.sendBytes(1, event(2) + event(3) + event(4));
  Env.endCall(1, TransportEnd::Complete);
  BOOST_TEST(Env.m_Record.m_Stream ==
             event(1) + event(2) + event(3) + event(4));
  BOOST_TEST(Env.m_Record.m_Ended);
  BOOST_TEST(!Env.m_Record.m_Dropped);
}

/// A stream that is not resumable breaks, or ends within an event: the caller
/// must see that it is incomplete.
BOOST_AUTO_TEST_CASE(ABrokenStreamIsVisiblyBroken) {
  for (const TransportEnd End :
       {TransportEnd::Broken, TransportEnd::Complete}) {
    TestEnv Env(NotResumable, 2);
    Env.sendGoodHeaders(0);
    Env.sendBytes(0, event(1) + "id: 2\nda");
    Env.endCall(0, End);
    BOOST_TEST(Env.calls() == 1U);
    BOOST_TEST(Env.m_Record.m_Dropped);
    BOOST_TEST(!Env.m_Record.m_Ended);
    BOOST_TEST(Env.m_Record.m_Stream == event(1));
  }
}

/// A caller resumes a stream itself: the upstream is told where, and no event
/// that the caller has is sent again.
BOOST_AUTO_TEST_CASE(ACallersOwnResumptionIsPassedOn) {
  TestEnv Env(Resumable, 2, {{"Call-After", "7"}, {"Call-Resumes", "first"}},
              PlainService{4}, {}, [](TestEnv &Made) {
                Made.m_Origins.m_Known[resume::streamKeyOf("", "first")] = {
                    "s", SoftwareVersion("1.0")};
              });
  BOOST_TEST(*findHeader(Env.call(0).m_Send.m_Headers, "Call-After") == "7");
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(7) + event(8));
  Env.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Env.m_Record.m_Stream == event(8));
}

/// The upstream sends nothing on any call: a retryable call goes to another
/// one, and one that may run only once waits for its deadline.
BOOST_AUTO_TEST_CASE(RetryableCallsLeaveASilentUpstream) {
  TestEnv Again(Idempotent, 2);
  Again.m_Timers.advance(2s);
  BOOST_TEST(Again.calls() == 2U);
  BOOST_TEST(Again.call(0).m_Stopped);
  TestEnv Once(AtMostOnce, 2);
  Once.m_Timers.advance(2s);
  BOOST_TEST(Once.calls() == 1U);
}

/// Guards against a call that runs twice because a healthy upstream sent
/// nothing for a second.
BOOST_AUTO_TEST_CASE(ASecondOfSilenceCausesNoRetry) {
  TestEnv Env(Idempotent, 2);
  Env.m_Timers.advance(1400ms);
  BOOST_TEST(Env.calls() == 1U);
  Env.sendGoodHeaders(0);
  Env.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Env.answer().m_Status == 200U);
  TestEnv Unacknowledged(Idempotent, 2);
  Unacknowledged.call(0).m_Progress = CallProgress::Unacknowledged;
  Unacknowledged.m_Timers.advance(1300ms);
  BOOST_TEST(Unacknowledged.calls() == 2U);
}

// Guards against a stream that leaves its upstream because nothing was read
// there while its caller was slow.
BOOST_AUTO_TEST_CASE(AStreamThatWaitsForItsCallerIsNotSilent) {
  TestEnv Env(EventStream{true, 250ms}, 3);
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(1));
  Env.m_Record.m_Backlog = 1 << 20;
  Env.sendBytes(0, event(2));
  Env.m_Timers.advance(3s);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(!Env.call(0).m_Stopped);
  Env.m_Record.m_Backlog = 0;
  Env.m_Record.m_OnRoom();
  Env.m_Timers.advance(1500ms);
  BOOST_TEST(Env.calls() == 2U);
}

/// Guards against a call that stays at a silent upstream until its deadline
/// because the retry budget was used up when the silence was noticed.
BOOST_AUTO_TEST_CASE(ASilentUpstreamIsLeftOnceTheBudgetAllows) {
  TestEnv Env(Idempotent, 2);
  while (Env.m_Budget.trySpend("s", Env.m_Clock.now()))
    continue;
  Env.m_Timers.advance(2s);
  BOOST_TEST(Env.calls() == 1U);
  for (int I = 0; I < 200; ++I)
    Env.m_Budget.recordCall("s", Env.m_Clock.now());
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.calls() == 2U);
}

// Guards against a caller that is told that its request has not run because of
// a late refusal of an earlier call on the same connection.
BOOST_AUTO_TEST_CASE(ALateRefusalOfAnotherCallProvesNothing) {
  const HeaderList NotRun = {{"Call-Not-Run", "1"}};
  TestEnv Late(Idempotent, 2);
  Late.call(0).m_Listener->upstreamHeaders(
      503, {{"Call-Id", "other"}, {"Call-Not-Run", "1"}});
  Late.refuseCall(1);
  BOOST_TEST(Late.answer().m_Status == 502U);
  TestEnv WithoutId(Idempotent, 1);
  WithoutId.call(0).m_Listener->upstreamHeaders(503, NotRun);
  BOOST_TEST(WithoutId.answer().m_Status == 503U);
}

// Guards against an upstream that never ends an event and uses up the memory.
BOOST_AUTO_TEST_CASE(AnEventWithoutEndIsGivenUp) {
  const std::string Piece(64 << 10, 'x');
  const auto SendWithoutEnd = [&](TestEnv &Env) {
    Env.sendHeaders(0, 200, {{"Call-Signed", "s"}});
    Env.sendBytes(0, event(1));
    for (std::size_t Sent = 0;
         Sent <= MaxEventBytes && !Env.call(0).m_Stopped && !Env.m_Finished;
         Sent += Piece.size())
      Env.sendBytes(0, Piece);
  };
  TestEnv Resumed(Resumable, 2);
  SendWithoutEnd(Resumed);
  BOOST_TEST(Resumed.calls() == 2U);
  BOOST_TEST(Resumed.call(0).m_Stopped);
  TestEnv Once(NotResumable, 2);
  SendWithoutEnd(Once);
  BOOST_TEST(Once.calls() == 1U);
  BOOST_TEST(Once.m_Finished == 1);
}

/// A loaded upstream still sends bytes on other calls; a second copy of the
/// call would add to the load that delays it.
BOOST_AUTO_TEST_CASE(ALoadedUpstreamCausesNoRetry) {
  TestEnv Env(Idempotent, 2);
  for (int I = 0; I < 20; ++I) {
    // The ticket of the only call has id 1.
    Env.m_Balancer.recordBytesReceived(balance::TicketId(1), Env.m_Clock.now());
    Env.m_Timers.advance(100ms);
  }
  BOOST_TEST(Env.calls() == 1U);
}

/// All slots are taken when the call arrives. It waits in the gateway, with
/// nothing sent, and is placed as soon as one of the other calls ends.
BOOST_AUTO_TEST_CASE(ACallWaitsForRoom) {
  TestEnv Env(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  Env.m_Timers.advance(100ms);
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.m_WaitQueue.size() == 1U);
  Env.m_Balancer.recordCallEnd(Env.m_Others[1], balance::CallOutcome::Served,
                               Env.m_Clock.now());
  Env.m_Timers.advance(WaitQueue::RetryInterval);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(Env.m_WaitQueue.size() == 0U);
}

/// No slot becomes free. At two fifths of the latency target the caller is told
/// that the call has not run and when to retry, well before its deadline.
BOOST_AUTO_TEST_CASE(ACallThatFoundNoRoomInTimeIsRefused) {
  TestEnv Env(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  Env.m_Timers.advance(200ms);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  Env.m_Timers.advance(80ms);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.answerHas("Retry-After"));
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.m_WaitQueue.size() == 0U);
}

/// The caller closes its connection while its call waits: nothing is sent.
BOOST_AUTO_TEST_CASE(ACallerDisconnectsWhileItsCallWaits) {
  TestEnv Env(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1});
  Env.m_Timers.advance(50ms);
  Env.m_Record.m_OnGone();
  for (const balance::TicketId Other : Env.m_Others)
    Env.m_Balancer.recordCallEnd(Other, balance::CallOutcome::Served,
                                 Env.m_Clock.now());
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.m_WaitQueue.size() == 0U);
  BOOST_TEST(Env.m_Finished == 1);
}

// ---- Waiting by prediction --------------------------------------------------

namespace {

/// A prompt that is too long for a latency-sensitive call.
const HeaderList LongCall = {{"Call-Prompt", "4000"}};

/// A stream with a target of 600 ms, whose caller gives up after 2.4 s, while
/// all slots are taken.
void waitByPrediction(TestEnv &Env) {
  Env.m_Context.m_WaitPolicy = &Env.m_WaitPolicy;
  Env.takeAllSlots();
}

std::uint64_t refusedAfterWait(TestEnv &Env, const char *Reason) {
  return Env.m_Metrics
      .counter("crowstep_waits_refused_total", {{"reason", Reason}})
      .value();
}

} // namespace

/// Guards against a refusal at two fifths of the target, long before the caller
/// gives up.
BOOST_AUTO_TEST_CASE(ACallWaitsAsLongAsItHelps) {
  TestEnv Env(NotResumable, 1, LongCall, Engine{1}, {}, waitByPrediction);
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  BOOST_TEST(Env.m_WaitQueue.size() == 1U);
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 1);
  Env.m_Balancer.recordCallEnd(Env.m_Others[1], balance::CallOutcome::Served,
                               Env.m_Clock.now());
  Env.m_Timers.advance(WaitQueue::RetryInterval);
  BOOST_REQUIRE(Env.calls() == 1U);
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 0);
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(1));
  Env.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Env.m_Record.m_Ended);
  BOOST_TEST(
      Env.m_Metrics.counter("crowstep_waits_served_total", {{"result", "late"}})
          .value() == 1U);
  BOOST_TEST(Env.m_Metrics.counter("crowstep_waits_total").value() == 1U);
}

/// Guards against a call that is held until its caller gives up.
BOOST_AUTO_TEST_CASE(ACallIsRefusedAtItsLimit) {
  TestEnv Env(NotResumable, 1, LongCall, Engine{1}, {}, waitByPrediction);
  Env.m_Timers.advance(1400ms);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  Env.m_Timers.advance(100ms);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.answerHas("Retry-After"));
  BOOST_TEST(Env.calls() == 0U);
  BOOST_TEST(Env.m_WaitQueue.size() == 0U);
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 0);
  BOOST_TEST(refusedAfterWait(Env, "limit_ended") == 1U);
}

/// Guards against a call that is still counted, and an answer that is awaited,
/// after its caller has left.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesEndsTheWait) {
  TestEnv Env(NotResumable, 1, LongCall, Engine{1}, {}, waitByPrediction);
  Env.m_Timers.advance(50ms);
  Env.m_Record.m_OnGone();
  BOOST_TEST(Env.m_WaitQueue.size() == 0U);
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 0);
  BOOST_TEST(Env.m_Finished == 1);
  BOOST_TEST(refusedAfterWait(Env, "caller_gone") == 1U);
}

/// Guards against refusals while the prefill that is queued at the engines can
/// end within the caller's patience; without prediction the call is refused.
BOOST_AUTO_TEST_CASE(ACallWaitsForQueuedPrefillOnlyByPrediction) {
  for (const bool ByPrediction : {false, true}) {
    TestEnv Env(NotResumable, 1, LongCall, Engine{16}, {},
                [&](TestEnv &Started) {
                  if (ByPrediction)
                    Started.m_Context.m_WaitPolicy = &Started.m_WaitPolicy;
                  Started.queuePrefill();
                });
    BOOST_TEST(Env.m_WaitQueue.size() == (ByPrediction ? 1U : 0U));
    if (!ByPrediction) {
      BOOST_TEST(Env.answer().m_Status == 503U);
      continue;
    }
    Env.m_Timers.advance(500ms);
    Env.m_Balancer.recordFirstEvent(Env.m_Others[0], Env.m_Clock.now());
    Env.m_Timers.advance(WaitQueue::RetryInterval);
    BOOST_TEST(Env.calls() == 1U);
  }
}

/// Guards against a deployment without learned speeds whose calls wait
/// otherwise than before, although the policy is there.
BOOST_AUTO_TEST_CASE(WithoutLearnedSpeedsCallsWaitAsBefore) {
  TestEnv Env(NotResumable, 1, LongCall, Engine{1}, {}, [](TestEnv &Started) {
    static const speed::UpstreamSpeeds NotLearned;
    static waiting::WaitPolicy Inactive(NotLearned,
                                        Started.m_Balancer.backlog());
    Started.m_Context.m_WaitPolicy = &Inactive;
    Started.takeAllSlots();
  });
  Env.m_Timers.advance(200ms);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 0);
  Env.m_Timers.advance(80ms);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.m_Balancer.takeDigest(Env.m_Clock.now()).m_Waiting.empty());
}

// Guards against a quarantined request, which has crashed three upstreams, that
// is forwarded, or refused with a wrong run state or without Retry-After.
BOOST_AUTO_TEST_CASE(AQuarantinedRequestIsRefusedBeforeAnyUpstream) {
  for (const RouteKind &Kind : {AtMostOnce, Idempotent, Resumable}) {
    TestEnv Env(Kind, 3);
    Env.m_Balancer.quarantine().setListed({contentOfRequest()},
                                          Env.m_Clock.now());
    Env.refuseCall(0);
    BOOST_TEST(Env.calls() == 1U);
    BOOST_TEST(Env.answer().m_Status == 503U);
    BOOST_TEST((Env.answer().m_RunState == RunState::NotRun));
    BOOST_TEST(Env.answerHas("Retry-After"));
    BOOST_TEST(!Env.call(0).m_Send.m_SendCheck());
  }
}

// Guards against a caller that is told "not run" for a request that may have
// run and was quarantined afterwards.
BOOST_AUTO_TEST_CASE(ARequestThatRanAndIsQuarantinedMayHaveRun) {
  TestEnv Env(Idempotent, 3);
  Env.m_Balancer.quarantine().setListed({contentOfRequest()},
                                        Env.m_Clock.now());
  Env.endCall(0, TransportEnd::Broken);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(Env.answer().m_Status == 502U);
  BOOST_TEST(!Env.answerHas("Retry-After"));
}

// Guards against a broken call without a probe, or with two, and against a
// connection that broke for another reason and counts as a crash.
BOOST_AUTO_TEST_CASE(ABrokenCallIsACrashIfConnectsAreRefused) {
  for (const auto &[Found, Crashes] :
       {std::pair(ConnectOutcome::Refused, 1U),
        std::pair(ConnectOutcome::Failed, 0U),
        std::pair(ConnectOutcome::Connected, 0U)}) {
    TestEnv Env(Idempotent, 2);
    Env.endCall(0, TransportEnd::Broken);
    BOOST_REQUIRE(Env.m_Prober.m_Callbacks.size() == 1U);
    Env.m_Prober.m_Callbacks[0](Found);
    BOOST_TEST(Env.m_Balancer.quarantine().crashCount(contentOfRequest()) ==
               Crashes);
    Env.sendGoodHeaders(1);
    Env.endCall(1, TransportEnd::Complete);
    BOOST_TEST(Env.m_Balancer.quarantine().crashCount(contentOfRequest()) ==
               0U);
  }
}

// Guards against a limit that is not read from a refusal, or cleared by one.
BOOST_AUTO_TEST_CASE(ALimitIsReadFromAnyAnswer) {
  TestEnv Env(Idempotent, 3);
  const UpstreamId First = upstreamIdOf(Env.upstreamOf(0));
  Env.sendHeaders(0, 503, {{"Call-Not-Run", "1"}, {"Call-Limit", "2"}});
  BOOST_TEST(Env.m_Balancer.limitOf(First).value_or(0) == 2);
  BOOST_TEST(Env.calls() == 2U);
  const UpstreamId Second = upstreamIdOf(Env.upstreamOf(1));
  Env.sendHeaders(1, 200, {{"Call-Signed", "s"}, {"Call-Limit", "3"}});
  BOOST_TEST(Env.m_Balancer.limitOf(Second).value_or(0) == 3);
}

namespace {

/// A request of a workspace, whose usage is counted.
struct CountedEnv : TestEnv {
  explicit CountedEnv(RouteKind Kind)
      : TestEnv(Kind, 2, {{"Call-Key", "k"}}, PlainService{4},
                {{"w", {"k"}, {}}}) {}

  /// Returns how often the request was counted.
  std::uint64_t counted() {
    std::uint64_t Result = 0;
    for (const duty::UsageCount &Count : m_Meter.counts().all())
      Result += Count.m_Count;
    return Result;
  }
};

} // namespace

// Guards against requests that are reported twice because they were repeated,
// or although no upstream began them.
BOOST_AUTO_TEST_CASE(ARequestThatBeganIsCountedOnce) {
  CountedEnv Plain(AtMostOnce);
  BOOST_TEST(Plain.counted() == 0U);
  Plain.sendGoodHeaders(0);
  Plain.endCall(0, TransportEnd::Complete);
  BOOST_TEST(Plain.counted() == 1U);

  CountedEnv Stream(Resumable);
  Stream.sendGoodHeaders(0);
  BOOST_TEST(Stream.counted() == 0U);
  Stream.sendBytes(0, event(1));
  BOOST_TEST(Stream.counted() == 1U);
  Stream.endCall(0, TransportEnd::Broken);
  BOOST_TEST(Stream.calls() == 2U);
  Stream.sendGoodHeaders(1);
  Stream.sendBytes(1, event(2));
  BOOST_TEST(Stream.counted() == 1U);

  CountedEnv Refused(Idempotent);
  Refused.refuseCall(0);
  Refused.endCall(1, TransportEnd::NotSent);
  BOOST_TEST(Refused.counted() == 0U);
}

// Guards against requests that an upstream ran and that are not reported, as
// their answers were lost.
BOOST_AUTO_TEST_CASE(ARequestWhoseAnswerIsLostIsCounted) {
  for (const RouteKind &Kind : {AtMostOnce, Idempotent, NotResumable}) {
    CountedEnv Env(Kind);
    Env.endCall(0, TransportEnd::Broken);
    BOOST_TEST(Env.counted() == 1U);
  }
}

// Guards against a stream without a length that ends inside an event, or before
// the first one, and counts as whole or hides a crash.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsBroken) {
  for (const char *Events : {"", "id: 1\ndata: a\n\nid: 2\ndata"}) {
    TestEnv Env(Resumable, 2);
    Env.sendGoodHeaders(0);
    Env.sendBytes(0, Events);
    Env.endCall(0, TransportEnd::Complete);
    BOOST_TEST(Env.m_Prober.m_Callbacks.size() == 1U);
    BOOST_TEST(Env.calls() == 2U);
  }
}

// Guards against memory that grows with the number of answers that never end.
BOOST_AUTO_TEST_CASE(AllAnswersWithoutEndHaveOneBound) {
  AnswerMemory Memory;
  AnswerMemory::Part Large(Memory);
  BOOST_TEST(Large.tryResize(AnswerMemory::MaxBytes));
  AnswerMemory::Part Small(Memory);
  BOOST_TEST(Small.tryResize(AnswerMemory::OwnBytes));
  BOOST_TEST(!Small.tryResize(AnswerMemory::OwnBytes + 1));
  BOOST_TEST(!Large.tryResize(AnswerMemory::MaxBytes + 1));
  {
    AnswerMemory::Part Ended(Memory);
    BOOST_TEST(Ended.tryResize(AnswerMemory::OwnBytes));
  }
  Large.release();
  BOOST_TEST(Small.tryResize(AnswerMemory::MaxBytes));
}

// Guards against memory that grows with an answer that never ends.
BOOST_AUTO_TEST_CASE(APlainAnswerWithoutEndFails) {
  TestEnv Env(AtMostOnce, 2);
  Env.sendGoodHeaders(0);
  const std::string Piece(1 << 20, 'a');
  for (std::size_t Sent = 0; Sent < MaxPlainAnswerBytes; Sent += Piece.size())
    Env.sendBytes(0, Piece);
  BOOST_TEST(Env.m_Finished == 0);
  Env.sendBytes(0, "a");
  BOOST_TEST(Env.m_Finished == 1);
  BOOST_TEST(Env.answer().m_Status == 502U);
}

/// Guards against engines whose events don't count as samples of their speed.
BOOST_AUTO_TEST_CASE(EventsOfAStreamAreSamplesOfTheEnginesSpeed) {
  TestEnv Env(NotResumable, 1, LongCall, Engine{4});
  Env.m_Balancer.speeds().setMode(speed::LearnSpeed::Always);
  Env.sendGoodHeaders(0);
  for (int I = 1; I <= 17; ++I) {
    Env.m_Clock.advance(5ms);
    Env.sendBytes(0, event(I));
  }
  BOOST_TEST(Env.m_Balancer.speeds().counts(Env.m_Clock.now()).m_Samples == 2U);
}

/// Guards against a log that doesn't tell why a call went to a slow engine: the
/// best one was saturated. The fast engine is for short prompts.
BOOST_AUTO_TEST_CASE(ACallThatLeftASaturatedEngineIsLogged) {
  const CapturedLog Log;
  FakeSpeeds Speeds;
  Speeds.m_Speeds[upstreamIdOf("u0")] = {1, 1, 1, 1};
  Speeds.m_Speeds[upstreamIdOf("u2")] = {0.5, -1, 1, 1};
  TestEnv Env(NotResumable, 1, {{"Call-Prompt", "5000"}}, Engine{64}, {},
              [&Speeds](TestEnv &Prepared) {
                Prepared.m_Balancer.setSpeedView(&Speeds);
                balance::LoadDigest Peer;
                // 64,000 tokens to prefill, or 30 latency-sensitive calls.
                Peer.m_Loads = {{upstreamIdOf("u1"), 0, 1, 64000, 64000, 0},
                                {upstreamIdOf("u2"), 0, 30, 0, 3000, 30}};
                Prepared.m_Balancer.applyPeerDigest(InstanceId(2), Peer,
                                                    Prepared.m_Clock.now());
              });
  BOOST_TEST(Env.upstreamOf(0) == "u2");
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, "whole");
  Env.endCall(0, TransportEnd::Complete);
  const std::string Text = Log.read();
  BOOST_TEST(Text.find("\"speed_class\":\"-1\"") != std::string::npos, Text);
  // Without prefill an engine needs 60 ms, one of half the speed 120 ms.
  BOOST_TEST(Text.find("\"wait_us\":\"120000\"") != std::string::npos, Text);
  BOOST_TEST(Env.m_Metrics.text().find(
                 "crowstep_calls_left_saturated_total 1") != std::string::npos);
}

/// Guards against a latency-sensitive call that is judged by the backlog of the
/// service: it waits for a slot for two fifths of its target.
BOOST_AUTO_TEST_CASE(ALatencySensitiveCallDoesNotWaitByPrediction) {
  TestEnv Env(NotResumable, 1, {{"Call-Prompt", "100"}}, Engine{1}, {},
              waitByPrediction);
  Env.m_Timers.advance(200ms);
  BOOST_TEST(Env.m_Record.m_Answers.empty());
  BOOST_TEST(Env.m_Balancer.backlog().totalWaiting(Env.m_Clock.now()) == 0);
  Env.m_Timers.advance(80ms);
  BOOST_TEST(Env.answer().m_Status == 503U);
  BOOST_TEST(Env.m_Metrics.counter("crowstep_waits_total").value() == 0U);
}
