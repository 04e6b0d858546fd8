/// Tests that the load tool counts no broken answer as a whole one.
#define BOOST_TEST_MODULE load_caller
#include "http/http_error.h"
#include "load/caller.h"
#include "load/token_text.h"
#include "unit/broken_upstream.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace crowstep;
using namespace crowstep::load;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Sized = "Content-Length: 4\r\n\r\nokay";
const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n";

/// One request, to a plain service or for a stream.
struct LoadFixture {
  explicit LoadFixture(bool IsStream) {
    Source Only;
    Only.m_Path = "/x";
    Only.m_Stream = IsStream;
    Only.m_AnswerTokens.m_Max = IsStream ? 10 : 0;
    Only.m_Timeout = 10s;
    m_Plan.m_Workspaces = {{"a", 1}};
    m_Plan.m_Sources = {Only};
    m_Call.m_Prompt = "prompt";
    m_Call.m_Body = "{}";
  }

  void send(const Address &Target) {
    m_Pool.emplace(m_Plan, std::vector{Target}, m_Clock, m_Timers,
                   [this](const CallOutcome &Outcome) { m_Outcome = Outcome; });
    m_Pool->send(m_Call, 0ms);
  }

  bool ended() {
    return pumpUntil([&] { return m_Outcome.has_value(); });
  }

  /// Sends to an upstream that answers \p Answer and closes; returns the end.
  CallEnd endOf(const std::string &Answer) {
    const BrokenUpstream Upstream(Answer, 1, 0us);
    send(Upstream.m_Address);
    BOOST_REQUIRE(ended());
    BOOST_TEST(m_Pool->openCalls() == 0U);
    return m_Outcome->m_End;
  }

  Experiment m_Plan;
  PlannedCall m_Call;
  LoopClock m_Clock;
  LoopScheduler m_Timers;
  std::optional<CallerPool> m_Pool;
  std::optional<CallOutcome> m_Outcome;
};

std::string nameOfEnd(const std::string &Answer, bool IsStream = false) {
  return nameOf(LoadFixture(IsStream).endOf(Answer));
}

std::string tokenEvent() {
  return R"(data: {"choices":[{"delta":{"content":")" +
         tokenText(0, promptHashOf("prompt")) + "\"}}]}\n\n";
}

std::string endEvents() {
  return R"(data: {"choices":[{"delta":{}}],"usage":{"completion_tokens":1}})"
         "\n\ndata: [DONE]\n\n";
}

} // namespace

// Guards against a broken answer of a plain service that counts as a whole one.
BOOST_AUTO_TEST_CASE(ABrokenAnswerIsNoAnswer) {
  const std::vector<std::string> Answers = {
      Ok + Chunks + "4\r\nokay\r\n",
      Ok + Chunks + "4\r\nokay\r\n0\r\n",
      Ok + "Content-Length: 5\r\n\r\nokay",
      Ok + "X A: b\r\n" + Sized,
      Ok + "Content-Length : 2\r\n\r\nokay",
      "HTTP/1.1 000 Text\r\n\r\n" + Ok + Sized,
      "HTTP/1.1 600 Text\r\n" + Sized,
      Ok + "Transfer-Encoding: x\r\n\r\nokay",
      "okay",
      " "};
  for (const std::string &Answer : Answers)
    BOOST_TEST(nameOfEnd(Answer) == "no_answer", Answer);
}

// Guards against sound answers that are lost with the broken ones.
BOOST_AUTO_TEST_CASE(ASoundAnswerIsWhole) {
  const std::vector<std::string> Answers = {
      Ok + Sized, Ok + Chunks + "4\r\nokay\r\n0\r\n\r\n", Ok + "\r\nokay",
      "HTTP/1.1 103 Early Hints\r\n\r\n" + Ok + Sized};
  for (const std::string &Answer : Answers)
    BOOST_TEST(nameOfEnd(Answer) == "whole", Answer);
  BOOST_TEST(nameOfEnd("HTTP/1.1 503 Text\r\n" + Sized) == "refused");
}

// Guards against a stream that is cut off and counts as whole, or as none.
BOOST_AUTO_TEST_CASE(AStreamIsWholeOnlyWithItsEnd) {
  const std::string Head = Ok + "Content-Type: text/event-stream\r\n\r\n";
  BOOST_TEST(nameOfEnd(Head + tokenEvent() + endEvents(), true) == "whole");
  BOOST_TEST(nameOfEnd(Head + tokenEvent(), true) == "cut");
  BOOST_TEST(nameOfEnd(Ok + Chunks + "ff\r\n" + tokenEvent(), true) == "cut");
}

// Guards against a part of an answer that counts as whole, as its connection
// was reset during the upload.
BOOST_AUTO_TEST_CASE(AResetDuringTheUploadIsNoEnd) {
  FakeUpstream Upstream;
  LoadFixture Fixture(false);
  Fixture.m_Call.m_Body.assign(std::size_t(16) << 20U, 'u');
  Fixture.send(Upstream.m_Address);
  BOOST_REQUIRE(pumpUntil([&] { return Upstream.acceptPending() == 1U; }));
  pumpFor(20ms);
  Upstream.peer(0).send(Ok + "\r\nokay");
  Upstream.peer(0).reset();
  BOOST_REQUIRE(Fixture.ended());
  BOOST_TEST((Fixture.m_Outcome->m_End == CallEnd::NoAnswer));
}

// Guards against a call that runs on after its caller's timeout.
BOOST_AUTO_TEST_CASE(ACallWithoutAnswerTimesOut) {
  FakeUpstream Upstream;
  LoadFixture Fixture(false);
  Fixture.m_Plan.m_Sources.front().m_Timeout = 30ms;
  Fixture.send(Upstream.m_Address);
  BOOST_REQUIRE(Fixture.ended());
  BOOST_TEST((Fixture.m_Outcome->m_End == CallEnd::TimedOut));
  Fixture.m_Plan.m_Sources.front().m_Timeout = 10s;
  Fixture.send(Upstream.m_Address);
  Fixture.m_Pool->timeOutOpenCalls();
  BOOST_TEST(Fixture.m_Pool->openCalls() == 0U);
}

// Guards against what a request states, and against a call with an idempotency
// key on a connection that may have been closed.
BOOST_AUTO_TEST_CASE(ARequestStatesItsCaller) {
  for (const std::string Key : {"", "k1"}) {
    FakeUpstream Upstream;
    LoadFixture Fixture(false);
    Fixture.m_Plan.m_KeySuffix = "-key";
    Fixture.m_Plan.m_Sources.front().m_Class = "reports";
    Fixture.m_Call.m_IdempotencyKey = Key;
    Fixture.send(Upstream.m_Address);
    Peer *Connection = Upstream.waitForRequest();
    BOOST_TEST(Connection->hasReceived("POST /x HTTP/1.1\r\n"));
    BOOST_TEST(Connection->hasReceived("Authorization: Bearer a-key\r\n"));
    BOOST_TEST(Connection->hasReceived("Crowstep-Class: reports\r\n"));
    BOOST_TEST(Connection->hasReceived("Content-Type: application/json\r\n"));
    BOOST_TEST(Connection->hasReceived("Idempotency-Key: k1\r\n") ==
               !Key.empty());
    BOOST_TEST(Connection->hasReceived("Connection: close\r\n") ==
               !Key.empty());
  }
}

// Guards against a path that ends the tool in the middle of a run.
BOOST_AUTO_TEST_CASE(APathThatCannotBeSentIsRefusedAtOnce) {
  LoadFixture Fixture(false);
  for (const std::string Path : {"", "x", "/a b"}) {
    Fixture.m_Plan.m_Sources.front().m_Path = Path;
    BOOST_CHECK_THROW(Fixture.send({}), UpstreamUriError);
  }
}
