/// Tests of calls to upstreams over real sockets: how a call ends.
#define BOOST_TEST_MODULE upstream_call
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct CallFixture {
  LoopClock m_Clock;
  LoopScheduler m_Timers;
  HttpUpstreamClient m_Caller{m_Clock, m_Timers};
  FakeUpstream m_Upstream;
  RecordingListener m_Listener;
  std::unique_ptr<UpstreamCall> m_Call;

  void send(bool Repeatable = false, bool CloseAfter = false) {
    UpstreamRequest Request;
    Request.m_Address = m_Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_Body = "b";
    Request.m_Repeatable = Repeatable;
    Request.m_CloseAfter = CloseAfter;
    Request.m_SendDeadline = m_Clock.readNow() + 10s;
    m_Call = m_Caller.send(Request, m_Listener);
  }
  bool ended() {
    return pumpUntil([&] { return m_Listener.m_End.has_value(); });
  }
};

/// Listens, but answers no further connection, as its queue is full.
struct FullListener {
  FullListener() {
    std::tie(m_Fd, m_Address) = listenOnLoopback(0);
    m_Queued = Peer::connect(m_Address);
  }
  ~FullListener() { close(); }
  FullListener(const FullListener &) = delete;
  FullListener &operator=(const FullListener &) = delete;

  /// Stops listening: the machine refuses connections from now on.
  void close() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }

  int m_Fd = -1;
  Address m_Address;              ///< Where it listens.
  std::unique_ptr<Peer> m_Queued; ///< Fills the queue.
};

} // namespace

/// The upstream crashes within its answer. The length, the chunks or the reset
/// show it, so the call must end as Broken: otherwise the caller would act on a
/// truncated answer.
BOOST_AUTO_TEST_CASE(ACutAnswerIsBroken) {
  for (const char *Text :
       {"Content-Length: 10\r\n\r\nhalf", "Content-Length: 10\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"})
    for (const bool Reset : {false, true})
      BOOST_TEST_CONTEXT(Text << (Reset ? " reset" : " closed")) {
        CallFixture Fixture;
        Fixture.send();
        Peer *Upstream = Fixture.m_Upstream.waitForRequest();
        BOOST_REQUIRE(Upstream != nullptr);
        Upstream->send("HTTP/1.1 200 OK\r\n" + std::string(Text));
        BOOST_TEST(
            pumpUntil([&] { return Fixture.m_Listener.m_Status == 200; }));
        Upstream->end(Reset);
        BOOST_TEST(Fixture.ended());
        BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
      }
}

/// A draining engine ends its last streams with the last chunk and closes its
/// connections at the same time. Guards against taking that for a crash between
/// two chunks, as libsoup does: a complete stream would end with an error after
/// its last event.
BOOST_AUTO_TEST_CASE(AWholeAnswerOfALeavingUpstreamIsWhole) {
  for (const bool Together : {true, false})
    for (int Run = 0; Run < 20; ++Run) {
      CallFixture Fixture;
      Fixture.send();
      Peer *Upstream = Fixture.m_Upstream.waitForRequest();
      BOOST_REQUIRE(Upstream != nullptr);
      Upstream->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      BOOST_TEST(pumpUntil([&] { return Fixture.m_Listener.m_Status == 200; }));
      Upstream->send("5\r\nwhole\r\n");
      if (!Together)
        BOOST_TEST(
            pumpUntil([&] { return Fixture.m_Listener.m_Body == "whole"; }));
      Upstream->send("0\r\n\r\n");
      Upstream->close();
      BOOST_TEST(Fixture.ended());
      BOOST_TEST(Fixture.m_Listener.m_Body == "whole");
      BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Complete));
    }
}

/// Guards against a complete answer that is taken for a truncated one if it has
/// "Connection: close", however the bytes of its end are split over packets.
BOOST_AUTO_TEST_CASE(AWholeAnswerThatAnnouncesItsCloseIsWhole) {
  using Pieces = std::vector<std::string>;
  const std::string Head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Pieces> Splits = {
      {Head + "5\r\nwhole\r\n0\r\n\r\n"},
      {Head + "5\r\nwhole\r\n", "0\r\n\r\n"},
      {Head, "5\r\nwhole\r\n0\r\n\r\n"},
      {Head, "5\r\nwhole\r\n0\r\n", "\r\n"},
      {Head, "5\r\nwhole", "\r\n0", "\r\n\r\n"},
      {Head.substr(0, 30), Head.substr(30), "5\r\nwhole\r\n0\r\n\r\n"}};
  for (const Pieces &Split : Splits)
    for (int Run = 0; Run < 10; ++Run) {
      CallFixture Fixture;
      Fixture.send();
      Peer *Upstream = Fixture.m_Upstream.waitForRequest();
      BOOST_REQUIRE(Upstream != nullptr);
      for (const std::string &Piece : Split) {
        Upstream->send(Piece);
        pumpFor(2ms);
      }
      Upstream->close();
      BOOST_TEST(Fixture.ended());
      BOOST_TEST(Fixture.m_Listener.m_Body == "whole");
      BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Complete));
    }
}

/// The upstream crashes after an event whose bytes look like a last chunk. They
/// are data of another chunk, so the answer is truncated.
BOOST_AUTO_TEST_CASE(AnEventLikeALastChunkIsNoEnd) {
  CallFixture Fixture;
  Fixture.send();
  Peer *Upstream = Fixture.m_Upstream.waitForRequest();
  BOOST_REQUIRE(Upstream != nullptr);
  Upstream->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  BOOST_TEST(pumpUntil([&] { return Fixture.m_Listener.m_Status == 200; }));
  Upstream->send("7\r\n\r\n0\r\n\r\n\r\n");
  Upstream->close();
  BOOST_TEST(Fixture.ended());
  BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
}

/// An answer without a length ends with the close of its connection; a reset is
/// a failure.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthEndsWithItsConnection) {
  for (const bool Reset : {false, true}) {
    CallFixture Fixture;
    Fixture.send();
    Peer *Upstream = Fixture.m_Upstream.waitForRequest();
    Upstream->send("HTTP/1.1 200 OK\r\n\r\nwhole");
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Listener.m_Body == "whole"; }));
    Upstream->end(Reset);
    BOOST_TEST(Fixture.ended());
    BOOST_TEST((Fixture.m_Listener.m_End ==
                (Reset ? TransportEnd::Broken : TransportEnd::Complete)));
  }
}

/// Guards against a hidden retry if an idle connection closes before an answer,
/// as libsoup does it: that retry would bypass the retry budget.
BOOST_AUTO_TEST_CASE(AStaleKeptConnectionIsNoSecondCall) {
  CallFixture Fixture;
  Fixture.send(true);
  Peer *Upstream = Fixture.m_Upstream.waitForRequest();
  Upstream->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST(Fixture.ended());
  Fixture.m_Listener = RecordingListener();
  Fixture.send(true);
  BOOST_TEST(pumpUntil([&] {
    return Upstream->received().find("POST", 10) != std::string::npos;
  }));
  Upstream->close();
  BOOST_TEST(Fixture.ended());
  BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
  BOOST_TEST(Fixture.m_Upstream.acceptPending() == 1U);
}

// Guards against a further call on a connection that was announced as closing.
BOOST_AUTO_TEST_CASE(AConnectionIsNotKeptAfterItsCloseWasAnnounced) {
  CallFixture Fixture;
  Fixture.send(true, true);
  Peer *Upstream = Fixture.m_Upstream.waitForRequest();
  BOOST_TEST(Upstream->hasReceived("Connection: close"));
  Upstream->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST(Fixture.ended());
  pumpFor(100ms); // Less than an idle connection is kept.
  BOOST_TEST(Upstream->isClosed());
}

/// If the last check fails, no byte may be sent.
BOOST_AUTO_TEST_CASE(TheLastCheckKeepsACallBack) {
  CallFixture Fixture;
  UpstreamRequest Request;
  Request.m_Address = Fixture.m_Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
  Request.m_SendCheck = [] { return false; };
  Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
  BOOST_TEST(Fixture.ended());
  BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Withheld));
  Fixture.m_Upstream.acceptPending();
  BOOST_TEST((Fixture.m_Upstream.acceptPending() == 0U ||
              Fixture.m_Upstream.peer(0).received().empty()));
}

/// Guards against a call that is said not to have been sent although its first
/// attempt, on a kept connection that then closed, may have been received.
BOOST_AUTO_TEST_CASE(AWithheldRetryMayHaveBeenSent) {
  CallFixture Fixture;
  Fixture.send(true);
  Peer *Upstream = Fixture.m_Upstream.waitForRequest();
  Upstream->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST(Fixture.ended());
  Fixture.m_Listener = RecordingListener();
  bool MaySend = true;
  UpstreamRequest Request;
  Request.m_Address = Fixture.m_Upstream.m_Address;
  Request.m_Path = "/second";
  Request.m_Repeatable = true;
  Request.m_RetryStaleConnection = true;
  Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
  Request.m_SendCheck = [&] { return MaySend; };
  Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
  BOOST_TEST(pumpUntil([&] { return Upstream->hasReceived("/second"); }));
  MaySend = false;
  Upstream->close();
  BOOST_TEST(Fixture.ended());
  BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
}

/// Guards against a call that its sender has given up and that still arrives
/// when a cut of the network heals: its connection must be reset, since a
/// closed one delivers what is under way.
BOOST_AUTO_TEST_CASE(ACallThatTimedOutIsReset) {
  CallFixture Fixture;
  UpstreamRequest Request;
  Request.m_Address = Fixture.m_Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
  Request.m_AnswerTimeout = 100ms;
  Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
  Peer *Upstream = Fixture.m_Upstream.waitForRequest();
  BOOST_TEST(Fixture.ended());
  BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Broken));
  BOOST_TEST(pumpUntil([&] { return Upstream->isClosed(); }));
  BOOST_TEST(Upstream->wasReset());
}

// Guards against a lost path that is taken for an upstream that has crashed.
BOOST_AUTO_TEST_CASE(ARefusedConnectionIsNotAnUnansweredOne) {
  const auto EndAt = [](const Address &Where) {
    CallFixture Fixture;
    UpstreamRequest Request;
    Request.m_Address = Where;
    Request.m_Path = "/x";
    Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
    Request.m_ConnectTimeout = 100ms;
    Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
    BOOST_TEST(Fixture.ended());
    BOOST_TEST((Fixture.m_Call->progress() == CallProgress::Connecting));
    return *Fixture.m_Listener.m_End;
  };
  FullListener Unanswering;
  BOOST_TEST((EndAt(Unanswering.m_Address) == TransportEnd::NotSent));
  Unanswering.close();
  BOOST_TEST((EndAt(Unanswering.m_Address) == TransportEnd::ConnectRefused));
}

// Guards against a busy upstream that is taken for one behind a lost path.
BOOST_AUTO_TEST_CASE(ABusyUpstreamsMachineAcknowledges) {
  CallFixture Fixture;
  Fixture.send();
  BOOST_TEST(
      pumpUntil([&] { return Fixture.m_Upstream.acceptPending() == 1U; }));
  BOOST_TEST(pumpUntil([&] {
    return Fixture.m_Call->progress() == CallProgress::Acknowledged;
  }));
}

// Guards against a request on its way that counts as acknowledged.
BOOST_AUTO_TEST_CASE(ARequestThatIsNotTakenIsUnacknowledged) {
  CallFixture Fixture;
  UpstreamRequest Request;
  Request.m_Address = Fixture.m_Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_Body = std::string(std::size_t(32) << 20U, 'x');
  Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
  Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
  BOOST_TEST(pumpUntil([&] {
    return Fixture.m_Call->progress() == CallProgress::Unacknowledged;
  }));
  pumpFor(100ms);
  BOOST_TEST((Fixture.m_Call->progress() == CallProgress::Unacknowledged));
}

// Guards against a call that is sent although its release was never given.
BOOST_AUTO_TEST_CASE(AHeldCallSendsNothingBeforeItsRelease) {
  CallFixture Fixture;
  for (const bool IsReused : {false, true}) {
    Fixture.m_Listener = RecordingListener();
    UpstreamRequest Request;
    Request.m_Address = Fixture.m_Upstream.m_Address;
    Request.m_Path = IsReused ? "/second" : "/first";
    Request.m_Repeatable = true;
    Request.m_HoldSend = true;
    Request.m_SendDeadline = Fixture.m_Clock.readNow() + 10s;
    Fixture.m_Call = Fixture.m_Caller.send(Request, Fixture.m_Listener);
    BOOST_TEST(pumpUntil([&] { return Fixture.m_Listener.m_Connected; }));
    pumpFor(20ms);
    Fixture.m_Upstream.acceptPending();
    Peer &Upstream = Fixture.m_Upstream.peer(0);
    BOOST_TEST(!Upstream.hasReceived(Request.m_Path));
    Fixture.m_Call->release();
    BOOST_TEST(pumpUntil([&] { return Upstream.hasReceived(Request.m_Path); }));
    Upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(Fixture.ended());
    BOOST_TEST((Fixture.m_Listener.m_End == TransportEnd::Complete));
  }
  BOOST_TEST(Fixture.m_Upstream.acceptPending() == 1U);
}
