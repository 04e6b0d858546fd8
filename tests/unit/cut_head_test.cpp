/// Tests of answers that break off at any byte, above all within their head.
#define BOOST_TEST_MODULE cut_head
#include "http/answer_parser.h"
#include "http/upstream_call.h"
#include "unit/entry_harness.h"
#include "unit/forwarded_request_env.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string ClosingHint = "HTTP/1.1 103 Early Hints\r\n"
                                "Connection: close\r\nLink: </a>\r\n\r\n";

const std::string Ok = "HTTP/1.1 200 OK\r\nCall-Id: attempt-1\r\n"
                       "Call-Signed: s\r\n";
const std::string OkWithLf = "HTTP/1.1 200 OK\nCall-Id: attempt-1\n"
                             "Call-Signed: s\n";
const std::string Events = "id: 1\ndata: x\n\n";

/// An answer, and from which byte on its end can be a whole one.
struct Sample {
  std::string m_Name;
  std::string m_Text;
  std::string m_Body;         ///< Of the whole answer.
  bool m_EndsByClose = false; ///< Has neither a length nor chunks.
  bool m_IsHead = false;      ///< Answers a HEAD request.

  /// Returns the size of the shortest prefix that is complete by the rules of
  /// HTTP.
  [[nodiscard]] std::size_t completeSize() const {
    return m_EndsByClose ? m_Text.size() - m_Body.size() : m_Text.size();
  }
};

const std::vector<Sample> &samples() {
  static const std::vector<Sample> Result = {
      {"length", Ok + "Content-Length: 12\r\n\r\ntwelve bytes", "twelve bytes"},
      {"empty", Ok + "Content-Length: 0\r\n\r\n", ""},
      {"closing", Ok + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole",
       "whole"},
      {"chunks",
       Ok + "Transfer-Encoding: chunked\r\n\r\n"
            "10;ext=1\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\n"
            "X-Trailer: end\r\n\r\n",
       "0123456789abcdefx"},
      {"no length", Ok + "\r\nwhole", "whole", true},
      {"bare LF", OkWithLf + "Content-Length: 5\n\nwhole", "whole"},
      {"bare LF, no length", OkWithLf + "\nwhole", "whole", true},
      {"HEAD", Ok + "Content-Length: 12\r\n\r\n", "", false, true},
      {"HEAD, no length", Ok + "\r\n", "", false, true},
      {"no content", "HTTP/1.1 204 No Content\r\nCall-Id: attempt-1\r\n\r\n",
       ""},
  };
  return Result;
}

const std::vector<std::string> &preludes() {
  static const std::vector<std::string> Result = {
      "", Continue, Continue + Continue + Continue};
  return Result;
}

/// What a parser made of \p First and \p Second, sent one after the other.
struct Parsed {
  AnswerState m_State;
  std::string m_Body;
  bool m_CanReuse;
};

Parsed parseAndClose(bool IsHead, std::string_view First,
                     std::string_view Second) {
  AnswerParser Parser(IsHead);
  Parser.feed(First);
  std::string Body = Parser.takeBody();
  if (Parser.state() == AnswerState::Reading)
    Parser.feed(Second);
  Body += Parser.takeBody();
  Parser.peerClosed();
  return {Parser.state(), Body + Parser.takeBody(),
          Parser.canReuseConnection()};
}

/// Which connection a call is sent on.
enum class On : std::uint8_t { First, Kept, KeptWithRetry };

struct CallFixture {
  LoopClock m_Clock;
  LoopScheduler m_Timers;
  HttpUpstreamClient m_Client{m_Clock, m_Timers};
  FakeUpstream m_Upstream;
  RecordingListener m_Listener;
  std::unique_ptr<UpstreamCall> m_Call;

  /// Sends a call and returns the upstream's end of its connection.
  Peer *send(On Connection) {
    if (Connection == On::First) {
      start(Connection);
      return m_Upstream.waitForRequest();
    }
    start(On::Kept);
    Peer *Result = m_Upstream.waitForRequest();
    Result->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    pumpUntil([&] { return m_Listener.m_End.has_value(); });
    m_Listener = RecordingListener();
    start(Connection);
    pumpUntil([&] { return Result->received().rfind("POST") > 0; });
    return Result;
  }
  bool ended() {
    return pumpUntil([&] { return m_Listener.m_End.has_value(); });
  }

private:
  void start(On Connection) {
    UpstreamRequest Request;
    Request.m_Address = m_Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_Body = "b";
    Request.m_Repeatable = Connection != On::First;
    Request.m_RetryStaleConnection = Connection == On::KeptWithRetry;
    Request.m_SendDeadline = m_Clock.readNow() + 10s;
    m_Call = m_Client.send(Request, m_Listener);
  }
};

/// A request through the gateway whose calls go to a real upstream.
struct GatewayFixture {
  explicit GatewayFixture(const RouteKind &Kind) : m_Env(Kind) {}

  /// Lets the upstream answer call \p Index with \p Text and close.
  void answer(std::size_t Index, const std::string &Text, bool Reset) {
    BOOST_REQUIRE(m_Env.calls() == Index + 1);
    PlayedCall &Played = m_Env.call(Index);
    UpstreamRequest Request = Played.m_Send;
    Request.m_Address = m_Upstream.m_Address;
    Request.m_SendDeadline = m_Clock.readNow() + 10s;
    Request.m_SendCheck = nullptr;
    Request.m_ProcessCheck.reset();
    const auto Call = m_Client.send(Request, *Played.m_Listener);
    Peer *Connection = m_Upstream.waitForRequest();
    BOOST_REQUIRE(Connection != nullptr);
    Connection->send(Text);
    Connection->end(Reset);
    BOOST_TEST(pumpUntil([&] { return Played.m_Stopped; }));
  }

  LoopClock m_Clock;
  LoopScheduler m_Timers;
  HttpUpstreamClient m_Client{m_Clock, m_Timers};
  FakeUpstream m_Upstream;
  TestEnv m_Env;
};

const std::string StreamHead =
    Ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";

std::string chunkOf(const std::string &Text) {
  char Size[16];
  (void)snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

} // namespace

// Guards against an answer that is taken for a whole one as its head or body
// breaks off, in one piece or in two.
BOOST_AUTO_TEST_CASE(ACutAtAnyByteIsInvalid) {
  for (const Sample &Tried : samples())
    for (const std::string &Prelude : preludes()) {
      const std::string All = Prelude + Tried.m_Text;
      const std::size_t Complete = Prelude.size() + Tried.completeSize();
      for (std::size_t Cut = 0; Cut <= All.size(); ++Cut)
        for (std::size_t Split = 0; Split <= Cut; ++Split)
          BOOST_TEST_CONTEXT(Tried.m_Name << " after " << Prelude.size()
                                          << " bytes, cut at " << Cut
                                          << ", split at " << Split) {
            const std::string_view Sent = std::string_view(All).substr(0, Cut);
            const Parsed Result = parseAndClose(
                Tried.m_IsHead, Sent.substr(0, Split), Sent.substr(Split));
            const bool IsWhole = Result.m_State == AnswerState::Complete;
            if (IsWhole != (Cut >= Complete))
              BOOST_ERROR("whole: " << IsWhole);
            if (Cut == All.size() && Result.m_Body != Tried.m_Body)
              BOOST_ERROR("body: " << Result.m_Body);
            if (Result.m_CanReuse)
              BOOST_ERROR("reused after the close");
          }
    }
}

// Guards against a 1xx that is taken for the answer, or that hides it, as it
// announces the close of its connection.
BOOST_AUTO_TEST_CASE(AnInformationalAnswerIsNoAnswer) {
  for (const std::string &Hint : {Continue, ClosingHint}) {
    for (std::size_t Cut = 0; Cut <= Hint.size(); ++Cut)
      if (parseAndClose(false, Hint.substr(0, Cut), "").m_State !=
          AnswerState::Invalid)
        BOOST_ERROR("cut at " << Cut << " of " << Hint);
    for (const Sample &Tried : samples())
      for (std::size_t Cut = 0; Cut < Tried.completeSize(); ++Cut)
        if (parseAndClose(Tried.m_IsHead, Hint, Tried.m_Text.substr(0, Cut))
                .m_State != AnswerState::Invalid)
          BOOST_ERROR(Tried.m_Name << " cut at " << Cut << " after " << Hint);
  }
  const Sample &Whole = samples().front();
  const Parsed Result = parseAndClose(false, ClosingHint, Whole.m_Text);
  BOOST_TEST((Result.m_State == AnswerState::Complete));
  BOOST_TEST(Result.m_Body == Whole.m_Body);
}

// Guards against the same over a connection, new or kept, that is closed or
// reset.
BOOST_AUTO_TEST_CASE(ACallWhoseAnswerIsCutIsBroken) {
  for (const char *Name : {"length", "chunks", "no length"})
    for (const On Connection : {On::First, On::Kept, On::KeptWithRetry})
      for (const bool Reset : {false, true}) {
        const Sample &Tried =
            *std::ranges::find(samples(), std::string(Name),
                               [](const Sample &S) { return S.m_Name; });
        const std::string All = Continue + Tried.m_Text;
        const std::size_t Complete = Continue.size() + Tried.completeSize();
        const std::size_t Cuts = Reset ? All.size() : Complete;
        for (std::size_t Cut = 0; Cut < Cuts; ++Cut)
          BOOST_TEST_CONTEXT(Name << " cut at " << Cut
                                  << (Reset ? " reset" : "") << " on "
                                  << static_cast<int>(Connection)) {
            CallFixture Fixture;
            Peer *Upstream = Fixture.send(Connection);
            BOOST_REQUIRE(Upstream != nullptr);
            Upstream->send(All.substr(0, Cut));
            Upstream->end(Reset);
            if (Cut == 0 && Connection == On::KeptWithRetry) {
              Peer *Again = Fixture.m_Upstream.waitForRequest();
              BOOST_REQUIRE(Again != nullptr);
              Again->end(Reset);
            }
            BOOST_REQUIRE(Fixture.ended());
            BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
            BOOST_TEST((Cut >= Complete || !Fixture.m_Listener.m_HasHead ||
                        Cut > All.find("\r\n\r\n", Continue.size())));
          }
      }
}

// Guards against a caller of a plain route who gets part of an answer as a
// whole one, or a promise that nothing ran.
BOOST_AUTO_TEST_CASE(ACutPlainAnswerIsNoSuccess) {
  for (const Sample &Tried : samples())
    for (const bool Reset : {false, true})
      for (std::size_t Cut = 0; Cut < Tried.completeSize(); ++Cut)
        BOOST_TEST_CONTEXT(Tried.m_Name << " cut at " << Cut
                                        << (Reset ? " reset" : "")) {
          if (Tried.m_IsHead)
            continue; // The route's calls are POST requests.
          GatewayFixture Once(AtMostOnce);
          Once.answer(0, Tried.m_Text.substr(0, Cut), Reset);
          BOOST_TEST(Once.m_Env.calls() == 1U);
          BOOST_TEST(Once.m_Env.answer().m_Status == 502U);
          BOOST_TEST((Once.m_Env.answer().m_RunState == RunState::Unknown));
          BOOST_TEST(!Once.m_Env.answerHas("Call-Signed"));
        }
}

// Guards against a retried call that ends with the parts of two answers.
BOOST_AUTO_TEST_CASE(ARetryAfterACutAnswerIsWhole) {
  const Sample &Tried = samples().front();
  for (std::size_t Cut = 0; Cut < Tried.completeSize(); ++Cut)
    BOOST_TEST_CONTEXT("cut at " << Cut) {
      const std::string Part = Tried.m_Text.substr(0, Cut);
      GatewayFixture Whole(Idempotent);
      Whole.answer(0, Part, false);
      Whole.answer(1, Tried.m_Text, false);
      BOOST_TEST(Whole.m_Env.answer().m_Status == 200U);
      BOOST_TEST(Whole.m_Env.answer().m_Body == Tried.m_Body);
      GatewayFixture Cuts(Idempotent);
      Cuts.answer(0, Part, false);
      Cuts.answer(1, Part, false);
      BOOST_TEST(Cuts.m_Env.answer().m_Status == 502U);
      BOOST_TEST(!Cuts.m_Env.answerHas("Call-Signed"));
    }
}

// Guards against a stream that ends as a whole one when the upstream that
// continues it breaks off.
BOOST_AUTO_TEST_CASE(AStreamWhoseContinuationIsCutIsNoWholeOne) {
  const std::string Begun = StreamHead + chunkOf(Events);
  const std::string Rest = StreamHead + chunkOf("id: 2\ndata: y\n\n") +
                           "0\r\nX-Trailer: end\r\n\r\n";
  for (const bool Reset : {false, true})
    for (std::size_t Cut = 0; Cut < Rest.size(); ++Cut)
      BOOST_TEST_CONTEXT("cut at " << Cut << (Reset ? " reset" : "")) {
        GatewayFixture Fixture(Resumable);
        Fixture.answer(0, Begun, Reset);
        Fixture.answer(1, Rest.substr(0, Cut), Reset);
        BOOST_TEST(!Fixture.m_Env.m_Record.m_Ended);
        BOOST_TEST(Fixture.m_Env.m_Record.m_Dropped);
        BOOST_TEST(Fixture.m_Env.m_Record.m_Answers.empty());
      }
  GatewayFixture Whole(Resumable);
  Whole.answer(0, Begun, false);
  Whole.answer(1, Rest, false);
  BOOST_TEST(Whole.m_Env.m_Record.m_Ended);
  BOOST_TEST(Whole.m_Env.m_Record.m_Stream == Events + "id: 2\ndata: y\n\n");
}

// Guards against a stream that ends as a whole one as the upstream that
// continues it stops right after a head without length and chunks.
BOOST_AUTO_TEST_CASE(AContinuationWithoutANewEventIsNoEnd) {
  const std::string EventHead = Ok + "Content-Type: text/event-stream\r\n";
  const std::string Unframed = EventHead + "\r\n";
  struct Case {
    std::string m_Text;
    bool m_IsEnd;
  };
  for (const Case &Tried :
       {Case{Unframed, false}, Case{Unframed + Events, false},
        Case{EventHead + "Transfer-Encoding: x\r\n\r\n", false},
        Case{Unframed + "id: 2\ndata: y\n\n", true},
        Case{EventHead + "Content-Length: 0\r\n\r\n", true},
        Case{StreamHead + "0\r\n\r\n", true}})
    BOOST_TEST_CONTEXT(Tried.m_Text) {
      GatewayFixture Fixture(Resumable);
      Fixture.answer(0, StreamHead + chunkOf(Events), false);
      Fixture.answer(1, Tried.m_Text, false);
      BOOST_TEST(Fixture.m_Env.m_Record.m_Ended == Tried.m_IsEnd);
      BOOST_TEST(Fixture.m_Env.m_Record.m_Dropped == !Tried.m_IsEnd);
    }
}

// Guards against the same at an entry, for plain calls and engines' streams.
BOOST_AUTO_TEST_CASE(AnEntryPassesOnNoCutAnswer) {
  namespace entry_test = crowstep::entry::test;
  const Sample &Plain = samples().front();
  for (std::size_t Cut = 0; Cut < Plain.completeSize(); ++Cut)
    BOOST_TEST_CONTEXT("plain, cut at " << Cut) {
      entry_test::Bench Fixture;
      FakeUpstream Desk;
      Fixture.m_Placement.grantAt(Desk.m_Address);
      const auto Caller = Fixture.sendHold();
      Peer *Call = Desk.waitForRequest();
      BOOST_REQUIRE(Call != nullptr);
      Call->send(Plain.m_Text.substr(0, Cut));
      Call->close();
      BOOST_TEST(
          pumpUntil([&] { return Caller->hasReceived("upstream_failed"); }));
      BOOST_TEST(Caller->hasReceived("HTTP/1.1 502"));
    }
  const std::string Whole = entry_test::streamHead() +
                            entry_test::chunk(entry_test::tokenEvent("one")) +
                            entry_test::streamEnd();
  for (const std::string &Head :
       {entry_test::streamHead(),
        std::string("HTTP/1.1 200 OK\r\n"
                    "Content-Type: text/event-stream\r\n\r\n")})
    for (std::size_t Cut = 0; Cut <= Head.size(); ++Cut)
      for (const bool Streamed : {false, true})
        BOOST_TEST_CONTEXT(Head << "stream " << Streamed << ", cut at "
                                << Cut) {
          entry_test::Bench Fixture;
          FakeUpstream First, Second;
          Fixture.m_Placement.grantAt(First.m_Address);
          Fixture.m_Placement.grantAt(Second.m_Address);
          const auto Caller = Fixture.sendGuide(Streamed);
          Peer *Call = First.waitForRequest();
          BOOST_REQUIRE(Call != nullptr);
          Call->send(Head.substr(0, Cut));
          Call->close();
          Peer *Again = Second.waitForRequest();
          BOOST_REQUIRE(Again != nullptr);
          Again->send(Whole);
          BOOST_TEST(pumpUntil([&] {
            return Caller->hasReceived(Streamed ? "[DONE]"
                                                : "completion_tokens");
          }));
          BOOST_TEST(Caller->hasReceived("one"));
        }
}
