/// Tests of the HTTP server for callers over loopback: framing, closes and idle
/// connections.
#define BOOST_TEST_MODULE front
#include "http/caller.h"
#include "http/frontend.h"
#include "http/sse_splitter.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// A caller that accepts no byte of a finished answer for this long is given
/// up; see docs/OPERATIONS.md.
constexpr Duration FlushTimeout = 20s;

struct FrontFixture {
  LoopScheduler m_LoopTimers;
  Scheduler &m_Timers; ///< In force.
  std::vector<RefusalReason> m_Refused;
  Frontend m_Front{
      {1000, 4096, 10s, 1s},
      [this](RefusalReason Reason) { m_Refused.push_back(Reason); },
      m_Timers};
  std::vector<std::unique_ptr<Caller>> m_Callers;
  int m_DisconnectCount = 0;
  bool m_Throws = false; ///< The handling of requests fails.
  Address m_Address{INADDR_LOOPBACK, 0};

  FrontFixture() : FrontFixture(m_LoopTimers) {}
  explicit FrontFixture(Scheduler &Timers) : m_Timers(Timers) {
    FakeUpstream FreePort; // Only to find a free port.
    m_Address = FreePort.m_Address;
    FreePort.stopListening();
    m_Front.listen(m_Address, [this](const IncomingRequest &,
                                     std::unique_ptr<Caller> AnswerTo) {
      if (m_Throws)
        throw std::runtime_error("thrown by the handler");
      m_Callers.push_back(std::move(AnswerTo));
      m_Callers.back()->onDisconnect([this] { ++m_DisconnectCount; });
    });
  }
  ~FrontFixture() { m_Callers.clear(); }
  FrontFixture(const FrontFixture &) = delete;
  FrontFixture &operator=(const FrontFixture &) = delete;

  std::unique_ptr<Peer> connectAndSend(const std::string &Text) const {
    auto Result = Peer::connect(m_Address);
    Result->send(Text);
    return Result;
  }
  void answerLast() {
    CallerAnswer Answer;
    Answer.m_Body = "ok";
    m_Callers.back()->answer(Answer);
  }
};

const std::string Get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

/// Guards against request smuggling: if one parser goes by the length and
/// another by the chunks, the rest of the body is taken for a second request,
/// with a key that the sender chose.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefused) {
  FrontFixture Fixture;
  for (const char *Framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 7\r\n", "Content-Length: +5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const std::size_t Before = Fixture.m_Callers.size();
    const auto Caller =
        Fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\n" +
                               std::string(Framing) + "\r\n0\r\n\r\n" + Get);
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    BOOST_TEST(Fixture.m_Callers.size() == Before);
    BOOST_TEST(!Caller->hasReceived("200 OK"));
  }
}

/// Guards against a truncated request that is passed on as a complete one: it
/// would run with part of its body.
BOOST_AUTO_TEST_CASE(ARequestThatBreaksOffIsNotHandedOn) {
  const std::string Head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Sized = Head + "Content-Length: 8\r\n\r\n";
  for (const std::string &Text :
       {Chunked, Chunked + "4\r\nhalf\r\n", Chunked + "4\r\nhalf\r\n0",
        Chunked + "4\r\nhalf\r\n0\r\n", Chunked + "4\r\nha",
        Chunked + "4\r\nhalf", Sized, Sized + "half", Head})
    for (const bool HalfClosed : {false, true})
      for (const bool InPieces : {false, true})
        BOOST_TEST_CONTEXT(Text << HalfClosed << InPieces) {
          FrontFixture Fixture;
          const auto Caller = Fixture.connectAndSend(InPieces ? Head : Text);
          if (InPieces) {
            pumpFor(2ms);
            Caller->send(Text.substr(Head.size()));
            pumpFor(2ms);
          }
          if (HalfClosed)
            shutdown(Caller->fd(), SHUT_WR);
          else
            Caller->close();
          pumpFor(20ms);
          BOOST_TEST(Fixture.m_Callers.empty());
        }
}

/// Guards against work for a caller that has closed its sending side while it
/// waits, also after unread bytes of a further request.
BOOST_AUTO_TEST_CASE(AHalfClosedCallerIsGone) {
  for (const std::string &Text : {Get, Get + Get}) {
    FrontFixture Fixture;
    const auto Caller = Fixture.connectAndSend(Text);
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
    BOOST_TEST(!Fixture.m_Callers[0]->hasDisconnected());
    shutdown(Caller->fd(), SHUT_WR);
    BOOST_TEST(pumpUntil([&] { return Fixture.m_DisconnectCount == 1; }));
    BOOST_TEST(Fixture.m_Callers[0]->hasDisconnected());
  }
}

/// An idle connection is closed by its timeout or at shutdown; one whose
/// request is being answered is not.
BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed) {
  FrontFixture Fixture;
  const auto Idle = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Idle->hasReceived("ok"); }));
  const auto Busy = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
  BOOST_TEST(!Idle->isClosed());
  Fixture.m_Front.closeIdleConnections();
  BOOST_TEST(pumpUntil([&] { return Idle->isClosed(); }));
  BOOST_TEST(!Busy->isClosed());
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Busy->hasReceived("ok"); }));
  BOOST_TEST(
      pumpUntil([&] { return Busy->isClosed(); })); // By its idle timeout.
}

/// Guards against a header that two parsers read as different ones, such as the
/// length of the body.
BOOST_AUTO_TEST_CASE(ABlankBehindAHeadersNameIsRefused) {
  FrontFixture Fixture;
  for (const char *Field : {"Content-Length : 5", "X-Key : k"}) {
    const auto Caller =
        Fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\n" +
                               std::string(Field) + "\r\n\r\nabcde" + Get);
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    BOOST_TEST(Caller->hasReceived("HTTP/1.1 400 "));
    BOOST_TEST(Fixture.m_Callers.empty());
  }
}

/// Guards against pipelined requests that are lost, joined or answered out of
/// order.
BOOST_AUTO_TEST_CASE(RequestsSentAheadAreAnsweredInTurn) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + Get +
      Get);
  for (std::size_t Number = 1; Number <= 3; ++Number) {
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == Number; }));
    pumpFor(5ms);
    BOOST_TEST(Fixture.m_Callers.size() == Number);
    CallerAnswer Answer;
    Answer.m_Body = "answer " + std::to_string(Number);
    Fixture.m_Callers.back()->answer(Answer);
    BOOST_TEST(pumpUntil([&] { return Caller->hasReceived(Answer.m_Body); }));
  }
  BOOST_TEST(!Caller->isClosed());
  BOOST_TEST(Fixture.m_DisconnectCount == 0);
}

/// Guards against the loss of a partly received next request when the current
/// one is answered.
BOOST_AUTO_TEST_CASE(APartOfTheNextRequestIsKept) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get + Get.substr(0, 9));
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Caller->send(Get.substr(9, 9));
  g_usleep(2000);
  Fixture.answerLast();
  pumpFor(5ms);
  Caller->send(Get.substr(18));
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
}

/// Guards against a refusal that is lost by a reset while the caller still
/// sends the refused body, on a connection that has served a request before.
BOOST_AUTO_TEST_CASE(ARefusedBodyIsReadToItsLimit) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("ok"); }));
  Caller->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n");
  for (int Piece = 0; Piece < 8; ++Piece) {
    pumpFor(200ms);
    BOOST_TEST(::send(Caller->fd(), "part", 4, MSG_NOSIGNAL) == 4);
  }
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 413 "));
  BOOST_TEST((Fixture.m_Refused == std::vector{RefusalReason::BodyTooLarge}));
}

/// Guards against a truncated stream that looks complete.
BOOST_AUTO_TEST_CASE(ACutStreamHasNoEnd) {
  for (const char *Version : {"1.1", "1.0"}) {
    FrontFixture Fixture;
    const auto Caller = Fixture.connectAndSend(
        "GET /x HTTP/" + std::string(Version) + "\r\nHost: h\r\n\r\n");
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
    Fixture.m_Callers[0]->beginStream(CallerAnswer());
    Fixture.m_Callers[0]->append("id: 1\n\n");
    BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("id: 1"); }));
    Fixture.m_Callers[0]->abortAnswer();
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    BOOST_TEST(!Caller->hasReceived("0\r\n\r\n"));
    // Without chunks only a reset shows that the stream is truncated.
    BOOST_TEST(Caller->wasReset() == (std::string_view(Version) == "1.0"));
  }
}

/// Guards against a truncated stream that looks complete to a caller without
/// chunks, as it was not read in time.
BOOST_AUTO_TEST_CASE(AStreamThatIsNotReadInTimeHasNoEnd) {
  for (const std::size_t Bytes : {std::size_t(7), std::size_t(32) << 20U}) {
    ManualClock Clock;
    ManualScheduler Timers(Clock);
    FrontFixture Fixture(Timers);
    const auto Caller =
        Fixture.connectAndSend("GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
    Fixture.m_Callers[0]->beginStream(CallerAnswer());
    Fixture.m_Callers[0]->append(std::string(Bytes, 'x'));
    Fixture.m_Callers[0]->endStream();
    Timers.advance(FlushTimeout);
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    const bool IsWhole = Caller->received().ends_with(std::string(Bytes, 'x'));
    BOOST_TEST(IsWhole == (Bytes == 7U));
    BOOST_TEST(Caller->wasReset() == !IsWhole);
  }
}

/// Guards against buffering the whole answer for a caller that reads slowly,
/// and against a stream that is not resumed once the caller has read.
BOOST_AUTO_TEST_CASE(ASlowReaderIsToldByTheBacklog) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  int Drained = 0;
  Fixture.m_Callers[0]->onBacklogReduced([&] { ++Drained; });
  Fixture.m_Callers[0]->beginStream(CallerAnswer());
  const std::string Event(1 << 20, 'x');
  std::size_t Given = 0;
  while (Fixture.m_Callers[0]->backlog() == 0 && Given < 64 * Event.size()) {
    Fixture.m_Callers[0]->append(Event);
    Given += Event.size();
  }
  BOOST_TEST(Fixture.m_Callers[0]->backlog() > 0U);
  BOOST_TEST(pumpUntil([&] {
    Caller->received();
    return Fixture.m_Callers[0]->backlog() == 0;
  }));
  BOOST_TEST(Drained > 0);
  Fixture.m_Callers[0]->endStream();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("\r\n0\r\n\r\n"); }));
  BOOST_TEST(Caller->received().size() > Given);
}

/// Guards against a stream that stalls: its upstream is paused for the backlog,
/// and a later append() writes that backlog without running the callback that
/// resumes the upstream.
BOOST_AUTO_TEST_CASE(ABacklogIsAlwaysReportedAsDrained) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  int Drained = 0;
  Fixture.m_Callers[0]->onBacklogReduced([&] { ++Drained; });
  Fixture.m_Callers[0]->beginStream(CallerAnswer());
  const std::string Event(1 << 16, 'x');
  while (Fixture.m_Callers[0]->backlog() == 0)
    Fixture.m_Callers[0]->append(Event);
  Caller->received();
  Fixture.m_Callers[0]->append("x");
  BOOST_TEST(pumpUntil([&] {
    Caller->received();
    return Fixture.m_Callers[0]->backlog() == 0;
  }));
  BOOST_TEST(Drained > 0);
}

/// Guards against a caller that never reads the end of its answer and holds its
/// memory for ever, and against one that reads slowly and is given up.
BOOST_AUTO_TEST_CASE(AFinishedAnswerThatIsNotReadIsDropped) {
  ManualClock Clock;
  ManualScheduler Timers(Clock);
  FrontFixture Fixture(Timers);
  const BufferBudget &Unread = Fixture.m_Front.unreadBytes();
  const auto Caller = Fixture.connectAndSend(Get);
  // Otherwise the kernel may take the whole answer.
  const int ReceiveBuffer = 64 << 10;
  setsockopt(Caller->fd(), SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
             sizeof(ReceiveBuffer));
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  CallerAnswer Answer;
  Answer.m_Body.assign(32 << 20, 'x');
  Fixture.m_Callers[0]->answer(Answer);
  const std::size_t Before = Unread.usedBytes();
  BOOST_TEST(Before > 0U);
  Timers.advance(FlushTimeout - 1ms);
  BOOST_TEST(Fixture.m_Front.connections() == 1U);
  BOOST_TEST(pumpUntil([&] {
    Caller->received();
    return Unread.usedBytes() < Before;
  }));
  BOOST_TEST(Unread.usedBytes() > 0U);
  Timers.advance(FlushTimeout - 1ms);
  BOOST_TEST(Fixture.m_Front.connections() == 1U);
  Timers.advance(1ms);
  BOOST_TEST(Fixture.m_Front.connections() == 0U);
  BOOST_TEST(Unread.usedBytes() == 0U);
  BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
  BOOST_TEST(Caller->received().size() < Answer.m_Body.size());
}

/// Guards against a body where HTTP allows none: the caller would take it for
/// the next answer.
BOOST_AUTO_TEST_CASE(AnswersWithoutABodyHaveNone) {
  FrontFixture Fixture;
  const auto Caller =
      Fixture.connectAndSend("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n" + Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
  BOOST_TEST(Caller->received().ends_with("Content-Length: 2\r\n\r\n"));
  CallerAnswer Empty;
  Empty.m_Status = 204;
  Fixture.m_Callers.back()->answer(Empty);
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("204 No Content"); }));
  BOOST_TEST(Caller->received().ends_with("\r\n\r\n"));
}

/// Guards against a caller that waits for "100 Continue" and gets none.
BOOST_AUTO_TEST_CASE(ACallerThatAsksFirstIsToldToGoOn) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\n"
                                             "Expect: 100-continue\r\n"
                                             "Content-Length: 4\r\n\r\n");
  BOOST_TEST(
      pumpUntil([&] { return Caller->hasReceived("100 Continue\r\n\r\n"); }));
  BOOST_TEST(Fixture.m_Callers.empty());
  Caller->send("body");
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
}

/// Guards against a reset for a request that arrived in time but was not read
/// yet, as the process was suspended past the end of the idle timeout.
BOOST_AUTO_TEST_CASE(ARequestThatCameInTimeIsReadAfterAPause) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("ok"); }));
  Caller->send(Get);
  g_usleep(1200000);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
  BOOST_TEST(!Caller->isClosed());
}

/// Guards against a reset at shutdown for a request that has arrived unread.
BOOST_AUTO_TEST_CASE(ARequestThatHasComeIsReadBeforeIdleOnesAreClosed) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Caller->hasReceived("ok"); }));
  Caller->send(Get);
  g_usleep(2000);
  Fixture.m_Front.closeIdleConnections();
  BOOST_TEST(Fixture.m_Callers.size() == 2U);
  BOOST_TEST(Fixture.m_Front.openRequests() == 1U);
  BOOST_TEST(Fixture.m_Front.unansweredRequests() == 1U);
}

/// Guards against the same for a request that was read with the one before.
BOOST_AUTO_TEST_CASE(ARequestThatWasReadAheadIsServedAtAStop) {
  FrontFixture Fixture;
  const auto Caller = Fixture.connectAndSend(Get + Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.answerLast();
  Fixture.m_Front.closeIdleConnections();
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
}

/// Guards against a request that is accepted by a server that is about to end:
/// it comes right behind a stream that began before the stop and whose head
/// could not announce the close.
BOOST_AUTO_TEST_CASE(NoRequestFollowsAnAnswerAfterTheStop) {
  for (const bool SentBehind : {false, true}) {
    FrontFixture Fixture;
    const auto Caller = Fixture.connectAndSend(Get);
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
    Fixture.m_Callers[0]->beginStream({});
    Fixture.m_Front.stopListening();
    if (SentBehind) {
      Caller->send(Get);
      pumpFor(2ms);
    }
    Fixture.m_Callers[0]->append("event");
    Fixture.m_Callers[0]->endStream();
    Caller->send(Get);
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    BOOST_TEST(Caller->hasReceived("event"));
    BOOST_TEST(Caller->hasReceived("0\r\n\r\n"));
    BOOST_TEST(Fixture.m_Callers.size() == 1U);
  }
}

namespace {

/// Feeds \p Text in pieces of \p Step bytes; returns all events.
std::vector<SseEvent> splitInSteps(SseSplitter &Splitter,
                                   const std::string &Text, std::size_t Step) {
  std::vector<SseEvent> Result;
  for (std::size_t Offset = 0; Offset < Text.size(); Offset += Step)
    for (SseEvent &Event : Splitter.feed(Text.substr(Offset, Step)))
      Result.push_back(std::move(Event));
  return Result;
}

} // namespace

// Guards against events that are never passed on, or without their id, because
// their lines end in another of the three ways that the format allows.
BOOST_AUTO_TEST_CASE(EventsAreSplitAtAnyLineEnd) {
  for (const std::string End : {"\n", "\r\n", "\r"}) {
    std::string Text;
    for (const char *Line : {"id: 4", "data: a", "", "data: b", "id:5", ""})
      Text += Line + End;
    for (std::size_t Step = 1; Step <= Text.size(); ++Step) {
      SseSplitter Splitter;
      const std::vector<SseEvent> Events = splitInSteps(Splitter, Text, Step);
      BOOST_REQUIRE(Events.size() == 2U);
      BOOST_TEST((Events[0].m_Id == 4U && Events[1].m_Id == 5U));
      BOOST_TEST(Events[0].m_Bytes + Events[1].m_Bytes == Text);
      BOOST_TEST(!Splitter.isMidEvent());
    }
  }
}

/// Events are returned complete, however their bytes are split.
BOOST_AUTO_TEST_CASE(EventsAreSplitWhole) {
  const std::string Text = "id: 4\ndata: a\n\nx: 1\nid:5\r\ndata: b\r\n\r\n";
  for (std::size_t Step = 1; Step < Text.size(); ++Step) {
    SseSplitter Splitter;
    const std::vector<SseEvent> Events = splitInSteps(Splitter, Text, Step);
    BOOST_REQUIRE(Events.size() == 2U);
    BOOST_TEST(*Events[0].m_Id == 4U);
    BOOST_TEST(*Events[1].m_Id == 5U);
    BOOST_TEST(Events[0].m_Bytes + Events[1].m_Bytes == Text);
    BOOST_TEST(!Splitter.isMidEvent());
  }
}

/// Guards against one request that ends the process: an exception of its
/// handling would end the event loop.
BOOST_AUTO_TEST_CASE(AnExceptionEndsOnlyItsRequest) {
  FrontFixture Fixture;
  const auto Other = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  Fixture.m_Throws = true;
  const auto Caller = Fixture.connectAndSend(Get);
  BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
  BOOST_TEST(Caller->received().empty());
  BOOST_TEST((Fixture.m_Refused ==
              std::vector<RefusalReason>{RefusalReason::InternalError}));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Other->hasReceived("ok"); }));
}

/// Guards against a target that can't be sent to an upstream as it is.
BOOST_AUTO_TEST_CASE(ControlCharactersInATargetAreRefused) {
  FrontFixture Fixture;
  for (const char *Target : {"/a\tb", "/a\fb", "/\x7f", "http://h/\t"}) {
    const auto Caller = Fixture.connectAndSend("GET " + std::string(Target) +
                                               " HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(pumpUntil([&] { return Caller->isClosed(); }));
    BOOST_TEST(Caller->hasReceived("HTTP/1.1 400 "));
  }
  BOOST_TEST(Fixture.m_Callers.empty());
}

namespace {

constexpr std::size_t SmallMemory = 128 << 10;

/// A server with little memory for requests.
struct ScarceFixture : FrontFixture {
  ScarceFixture() {
    m_Front.setLimits({1 << 20, 4096, 10s, 10s});
    m_Front.receivedBytes().setMaxBytes(SmallMemory);
  }
  /// Connects and sends a request, less \p MissingBytes of its body.
  [[nodiscard]] std::unique_ptr<Peer>
  sendBody(std::size_t Bytes, std::size_t MissingBytes = 0) const {
    return connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(Bytes) + "\r\n\r\n" +
                          std::string(Bytes - MissingBytes, 'b'));
  }
};

} // namespace

/// Guards against heads that take many times their size, uncounted.
BOOST_AUTO_TEST_CASE(ShortHeaderLinesCountAsWhatTheyOccupy) {
  constexpr std::size_t LineCount = 500;
  ScarceFixture Fixture;
  std::string Head = "GET /x HTTP/1.1\r\nHost: h\r\n";
  for (std::size_t I = 0; I < LineCount; ++I)
    Head += "a:\r\n";
  const auto Endless = Fixture.connectAndSend(Head);
  pumpFor(20ms);
  const BufferBudget &Received = Fixture.m_Front.receivedBytes();
  BOOST_TEST(Received.usedBytes() >= LineCount * sizeof(HeaderField));
  const auto Whole = Fixture.connectAndSend(Head + "\r\n");
  BOOST_TEST(pumpUntil([&] { return !Fixture.m_Callers.empty(); }));
  BOOST_TEST(Received.usedBytes() >= 3 * LineCount * sizeof(HeaderField));
  BOOST_TEST(Received.usedBytes() <= SmallMemory);
}

/// Guards against memory that is kept for a body which never arrives whole.
BOOST_AUTO_TEST_CASE(AStalledBodyIsGivenUpForOthers) {
  ScarceFixture Fixture;
  const auto Stalled = Fixture.sendBody(100 << 10, 1);
  pumpFor(20ms);
  const auto Other = Fixture.sendBody(40 << 10);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
  BOOST_TEST(Stalled->hasReceived("HTTP/1.1 408 "));
  BOOST_TEST((Fixture.m_Refused ==
              std::vector<RefusalReason>{RefusalReason::SlowCaller}));
  Fixture.answerLast();
  BOOST_TEST(pumpUntil([&] { return Other->hasReceived("ok"); }));
}

/// Guards against a slow caller that is given up though nobody needs the
/// memory.
BOOST_AUTO_TEST_CASE(ASlowBodyIsAwaitedInCalm) {
  ScarceFixture Fixture;
  const auto Slow = Fixture.sendBody(20 << 10, 1);
  const auto Other = Fixture.sendBody(1 << 10);
  pumpFor(1200ms);
  BOOST_TEST(Fixture.m_Callers.size() == 1);
  Slow->send("b");
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 2; }));
  BOOST_TEST(Fixture.m_Refused.empty());
}

/// Guards against bodies that wait for one another for ever: together they have
/// used up the memory that each of them needs.
BOOST_AUTO_TEST_CASE(BodiesThatCannotBeCompletedMakeRoom) {
  ScarceFixture Fixture;
  constexpr std::size_t SenderCount = 4;
  std::vector<std::unique_ptr<Peer>> Senders(SenderCount);
  for (std::unique_ptr<Peer> &Sender : Senders)
    Sender = Fixture.sendBody(60 << 10);
  std::size_t Answered = 0;
  const auto Ended = [&] {
    for (; Answered < Fixture.m_Callers.size(); ++Answered) {
      CallerAnswer Answer;
      Answer.m_Body = "ok";
      Fixture.m_Callers[Answered]->answer(Answer);
    }
    return Answered + Fixture.m_Refused.size() == Senders.size();
  };
  BOOST_TEST(pumpUntil(Ended));
  BOOST_TEST(Answered > 0);
  for (const RefusalReason Reason : Fixture.m_Refused)
    BOOST_TEST(httpStatusOf(Reason) == 503U);
}

/// Guards against a short request that waits behind long ones.
BOOST_AUTO_TEST_CASE(AShortRequestNeedsNoFreeMemory) {
  ScarceFixture Fixture;
  BufferBudget::Part Others(Fixture.m_Front.receivedBytes(), [] {});
  Others.resize(2 * SmallMemory);
  const auto Caller = Fixture.sendBody(500);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
}

/// Guards against a request that no memory would do for.
BOOST_AUTO_TEST_CASE(TheOnlyRequestMayOccupyEverything) {
  ScarceFixture Fixture;
  const auto Caller = Fixture.sendBody(500 << 10);
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Callers.size() == 1; }));
}
