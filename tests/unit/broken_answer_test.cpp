/// Answers of upstreams in trouble, over real sockets.
#define BOOST_TEST_MODULE broken_answer
#include "http/http_client.h"
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

/// More than the sockets' buffers hold.
constexpr std::size_t UploadBytes = std::size_t(16) << 20U;

/// How an upstream's end of a connection ends.
enum class PeerEnd : std::uint8_t {
  Reset,         ///< At once.
  ClosedUnread,  ///< By a close before the request was read.
  EndThenReset,  ///< In order, and then by a reset.
  EndThenRefuse, ///< In order; more of the request is then refused.
  End,           ///< In order; the rest of the request is accepted.
};

bool isInOrder(PeerEnd End) {
  return End != PeerEnd::Reset && End != PeerEnd::ClosedUnread;
}

void endConnection(Peer &Connection, PeerEnd End) {
  if (isInOrder(End))
    shutdown(Connection.fd(), SHUT_WR);
  if (End == PeerEnd::Reset || End == PeerEnd::EndThenReset) {
    Connection.reset();
    return;
  }
  if (End == PeerEnd::EndThenRefuse)
    Connection.received();
  if (End != PeerEnd::End)
    Connection.close();
}

struct IgnoredEvents final : SocketListener {
  void socketReady(SocketEvents) override {}
};

/// A connection whose other end a test holds.
struct ConnectionFixture {
  ConnectionFixture() {
    auto Opened = UpstreamConnection::open(m_Upstream.m_Address, {}, m_Events);
    m_Connection =
        std::get<std::unique_ptr<UpstreamConnection>>(std::move(Opened));
    pumpUntil([&] { return m_Upstream.acceptPending() == 1U; });
    BOOST_TEST((m_Connection->connectOutcome() == ConnectOutcome::Connected));
  }

  /// Writes until the connection fails.
  void writeUntilFailure() const {
    while (m_Connection->write("more of the request"))
      pumpFor(1ms);
  }

  /// Returns the bytes that can be read, and sets how reading ends.
  std::string readAll(ReadOutcome &End) const {
    std::string Result;
    std::string_view Bytes;
    while ((End = m_Connection->read(Bytes)) == ReadOutcome::Bytes)
      Result += Bytes;
    return Result;
  }

  FakeUpstream m_Upstream;
  IgnoredEvents m_Events;
  std::unique_ptr<UpstreamConnection> m_Connection;
};

/// A call whose upload is still being written when its answer ends.
struct UploadFixture {
  /// Sends the upload until the upstream's machine takes no more of it, on a
  /// new connection or on a kept one.
  void send(bool IsKept) {
    if (IsKept) {
      start("b");
      Peer *First = m_Upstream.waitForRequest();
      First->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      BOOST_REQUIRE(ended());
      m_Listener = RecordingListener();
    }
    start(std::string(UploadBytes, 'u'));
    BOOST_REQUIRE(pumpUntil([&] { return m_Upstream.acceptPending() == 1U; }));
    pumpFor(20ms);
    BOOST_REQUIRE(!m_Listener.m_End.has_value());
  }

  /// Lets the upstream send \p Text and end its connection before the call can
  /// write or read again.
  void answer(const std::string &Text, PeerEnd End) {
    Peer &Connection = m_Upstream.peer(0);
    BOOST_REQUIRE(::send(Connection.fd(), Text.data(), Text.size(),
                         MSG_NOSIGNAL) == static_cast<ssize_t>(Text.size()));
    endConnection(Connection, End);
    BOOST_REQUIRE(ended());
  }

  bool ended() {
    return pumpUntil([&] { return m_Listener.m_End.has_value(); });
  }

  LoopClock m_Clock;
  LoopScheduler m_Timers;
  HttpUpstreamClient m_Client{m_Clock, m_Timers};
  FakeUpstream m_Upstream;
  RecordingListener m_Listener;
  std::unique_ptr<UpstreamCall> m_Call;

private:
  void start(std::string Body) {
    UpstreamRequest Request;
    Request.m_Address = m_Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_Body = std::move(Body);
    Request.m_Repeatable = true;
    Request.m_SendDeadline = m_Clock.readNow() + 10s;
    m_Call = m_Client.send(Request, m_Listener);
  }
};

} // namespace

// Guards against a reset that a write has met, and that a read then takes for
// the end of the answer.
BOOST_AUTO_TEST_CASE(AResetMetByAWriteIsNoEnd) {
  for (const PeerEnd End : {PeerEnd::Reset, PeerEnd::ClosedUnread,
                            PeerEnd::EndThenReset, PeerEnd::EndThenRefuse})
    BOOST_TEST_CONTEXT(static_cast<int>(End)) {
      ConnectionFixture Fixture;
      Peer &Upstream = Fixture.m_Upstream.peer(0);
      BOOST_REQUIRE(Fixture.m_Connection->write("request").has_value());
      Upstream.send(std::string(20000, 'a'));
      endConnection(Upstream, End);
      Fixture.writeUntilFailure();
      BOOST_TEST(!Fixture.m_Connection->write("more").has_value());
      ReadOutcome Outcome{};
      BOOST_TEST(Fixture.readAll(Outcome).size() == 20000U);
      BOOST_TEST((Outcome == (isInOrder(End) ? ReadOutcome::Closed
                                             : ReadOutcome::Failed)));
      Fixture.readAll(Outcome);
      BOOST_TEST((Outcome == (isInOrder(End) ? ReadOutcome::Closed
                                             : ReadOutcome::Failed)));
    }
}

// Guards against a reset that a second read takes for an end in order.
BOOST_AUTO_TEST_CASE(AResetMetByAReadIsNoEnd) {
  ConnectionFixture Fixture;
  Peer &Upstream = Fixture.m_Upstream.peer(0);
  Upstream.send("answer");
  endConnection(Upstream, PeerEnd::Reset);
  ReadOutcome Outcome{};
  BOOST_TEST(Fixture.readAll(Outcome) == "answer");
  BOOST_TEST((Outcome == ReadOutcome::Failed));
  BOOST_TEST(Fixture.readAll(Outcome).empty());
  BOOST_TEST((Outcome == ReadOutcome::Failed));
}

// Guards against a part of an answer that passes for a whole one, as its
// connection was reset while the upload was written.
BOOST_AUTO_TEST_CASE(AnUnframedAnswerResetDuringTheUploadIsBroken) {
  const std::string Stream = "Content-Type: text/event-stream\r\n";
  for (const std::string &Head :
       {std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.0 200 OK\r\n"),
        std::string("HTTP/1.1 404 Not Found\r\n"),
        std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"),
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + Stream})
    for (const std::size_t BodyBytes : {0, 4, 60000})
      for (const bool IsKept : {false, true})
        for (const PeerEnd End : {PeerEnd::Reset, PeerEnd::ClosedUnread})
          BOOST_TEST_CONTEXT(Head << BodyBytes << " " << IsKept << " "
                                  << static_cast<int>(End)) {
            UploadFixture Fixture;
            Fixture.send(IsKept);
            Fixture.answer(Head + "\r\n" + std::string(BodyBytes, 'a'), End);
            BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
          }
}

// Guards against sound answers that are lost as their upstream does not read
// the rest of the upload.
BOOST_AUTO_TEST_CASE(AnEarlyAnswerWithItsEndIsWhole) {
  struct Case {
    std::string m_Text;
    bool m_EndsByClose;
  };
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const Case &Tried : {Case{Ok + "Content-Length: 5\r\n\r\nwhole", false},
                            Case{Ok + "Transfer-Encoding: chunked\r\n\r\n"
                                      "5\r\nwhole\r\n0\r\n\r\n",
                                 false},
                            Case{"HTTP/1.1 103 Early Hints\r\n\r\n" + Ok +
                                     "Content-Length: 5\r\n\r\nwhole",
                                 false},
                            Case{Ok + "\r\nwhole", true},
                            Case{"HTTP/1.0 200 OK\r\n\r\nwhole", true}})
    for (const PeerEnd End :
         {PeerEnd::Reset, PeerEnd::ClosedUnread, PeerEnd::EndThenReset,
          PeerEnd::EndThenRefuse, PeerEnd::End}) {
      if (Tried.m_EndsByClose && !isInOrder(End))
        continue;
      for (const bool IsKept : {false, true})
        BOOST_TEST_CONTEXT(Tried.m_Text << static_cast<int>(End) << IsKept) {
          UploadFixture Fixture;
          Fixture.send(IsKept);
          Fixture.answer(Tried.m_Text, End);
          BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Complete));
          BOOST_TEST(Fixture.m_Listener.m_Status == 200U);
          BOOST_TEST(Fixture.m_Listener.m_Body == "whole");
        }
    }
}

// Guards against the same for the short calls to the store, the platform and
// dispatchers, where an empty body means that there is nothing.
BOOST_AUTO_TEST_CASE(AShortCallTakesNoResetForAnEnd) {
  for (const std::string Body : {"", "{}"}) {
    FakeUpstream Server;
    HttpClient Client;
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Body = std::string(UploadBytes, 'u');
    Call.m_Address = Server.m_Address;
    Call.m_Path = "/x";
    Call.m_Timeout = 10s;
    std::optional<HttpResult> Result;
    Client.call(Call, [&](HttpResult Answer) { Result = std::move(Answer); });
    BOOST_REQUIRE(pumpUntil([&] { return Server.acceptPending() == 1U; }));
    pumpFor(20ms);
    Peer &Connection = Server.peer(0);
    Connection.send("HTTP/1.1 200 OK\r\n\r\n" + Body);
    endConnection(Connection, PeerEnd::Reset);
    BOOST_REQUIRE(pumpUntil([&] { return Result.has_value(); }));
    BOOST_REQUIRE(std::holds_alternative<HttpFailure>(*Result));
    BOOST_TEST((std::get<HttpFailure>(*Result) == HttpFailure::NoAnswer));
  }
}

// Guards against broken answers that operators can't see, or that are counted
// twice.
BOOST_AUTO_TEST_CASE(EveryBrokenAnswerIsCountedOnce) {
  Metrics Stats;
  BrokenAnswerStats BrokenAnswers(Stats);
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamClient Client(Clock, Timers, {}, &BrokenAnswers);
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Sized = "Content-Length: 4\r\n\r\nokay";
  const std::vector<std::string> Answers = {
      "",
      Ok + Sized,
      Ok + "\r\nokay",
      "HTTP/1.1 000\r\n" + Sized,
      Ok + "X A: b\r\n" + Sized,
      Ok + "Transfer-Encoding: x\r\n\r\nokay",
      "okay",
  };
  for (const std::string &Text : Answers) {
    FakeUpstream Upstream;
    RecordingListener CallListener;
    UpstreamRequest Request;
    Request.m_Address = Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_SendDeadline = Clock.readNow() + 10s;
    const auto Call = Client.send(Request, CallListener);
    Peer *Connection = Upstream.waitForRequest();
    Connection->send(Text);
    pumpFor(5ms);
    Connection->reset();
    BOOST_REQUIRE(pumpUntil([&] { return CallListener.m_End.has_value(); }));
    BOOST_TEST((CallListener.m_End == TransportEnd::Complete) ==
               (Text == Ok + Sized));
  }
  for (const char *Reason :
       {"cut_off", "malformed", "status_line", "header", "transfer_coding"})
    BOOST_TEST(
        Stats.counter("crowstep_broken_answers_total", {{"reason", Reason}})
                .value() == 1U,
        Reason);
}
