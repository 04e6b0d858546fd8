/// Calls that are sent to one process only, over real sockets.
#define BOOST_TEST_MODULE process_check
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct CheckFixture {
  LoopClock m_Clock;
  LoopScheduler m_Timers;
  HttpUpstreamClient m_Caller{m_Clock, m_Timers};
  FakeUpstream m_Upstream;
  RecordingListener m_Listener;
  std::unique_ptr<UpstreamCall> m_Call;

  void send() {
    m_Listener = {};
    UpstreamRequest Request;
    Request.m_Address = m_Upstream.m_Address;
    Request.m_Path = "/x";
    Request.m_Body = "b";
    Request.m_Repeatable = true;
    Request.m_SendDeadline = m_Clock.readNow() + 10s;
    Request.m_ConnectTimeout = 300ms;
    Request.m_ProcessCheck = {"/who", 7, [](std::string_view Body) {
                                return Body == "me" ? ProcessStatement::Expected
                                       : Body == "other"
                                           ? ProcessStatement::Other
                                           : ProcessStatement::Unreadable;
                              }};
    m_Call = m_Caller.send(Request, m_Listener);
  }
  /// Waits for the connection \p Index and its first bytes.
  Peer &connection(std::size_t Index) {
    pumpUntil([&] { return m_Upstream.acceptPending() > Index; });
    Peer &Result = m_Upstream.peer(Index);
    pumpUntil([&] { return Result.hasReceived("\r\n\r\n"); });
    return Result;
  }
  static std::string answer(const std::string &Body,
                            const std::string &Status = "200 OK") {
    return "HTTP/1.1 " + Status +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }
  bool ended() {
    return pumpUntil([&] { return m_Listener.m_End.has_value(); });
  }
  /// Lets a call be answered by the expected process.
  void serveFirst() {
    send();
    Peer &Upstream = connection(0);
    BOOST_TEST(Upstream.received().starts_with("GET /who HTTP/1.1\r\n"));
    BOOST_TEST(!Upstream.hasReceived("POST"));
    BOOST_TEST((m_Call->progress() == CallProgress::Connecting));
    Upstream.send(answer("me"));
    BOOST_TEST(pumpUntil([&] { return Upstream.hasReceived("POST /x"); }));
    Upstream.send(answer("done"));
    BOOST_TEST(ended());
    BOOST_TEST((*m_Listener.m_End == TransportEnd::Complete));
    BOOST_TEST(m_Listener.m_Body == "done");
  }
};

} // namespace

// Guards against a second question on a connection whose process is known.
BOOST_FIXTURE_TEST_CASE(AConnectionIsCheckedOnce, CheckFixture) {
  serveFirst();
  send();
  Peer &Upstream = m_Upstream.peer(0);
  BOOST_TEST(pumpUntil([&] {
    return Upstream.received().find("POST", Upstream.received().find("POST") +
                                                1) != std::string::npos;
  }));
  BOOST_TEST(Upstream.received().find("GET", 1) == std::string::npos);
}

// Guards against a request that reaches a process of another version.
BOOST_FIXTURE_TEST_CASE(AnotherProcessGetsNoRequest, CheckFixture) {
  for (const auto &[Body, End] :
       {std::pair{"other", TransportEnd::OtherProcess},
        std::pair{"?", TransportEnd::Unproven}}) {
    const std::size_t Index = m_Upstream.acceptPending();
    send();
    Peer &Upstream = connection(Index);
    Upstream.send(answer(Body));
    BOOST_TEST(ended());
    BOOST_TEST((*m_Listener.m_End == End));
    BOOST_TEST(!Upstream.hasReceived("POST"));
  }
  const std::size_t Index = m_Upstream.acceptPending();
  send();
  connection(Index).send(answer("me", "404 Not Found"));
  BOOST_TEST(ended());
  BOOST_TEST((*m_Listener.m_End == TransportEnd::Unproven));
}

// Guards against a kept connection that closes with its process, and whose call
// fails with it.
BOOST_FIXTURE_TEST_CASE(AClosedConnectionIsReplacedAndChecked, CheckFixture) {
  serveFirst();
  m_Upstream.peer(0).close();
  pumpFor(20ms);
  send();
  Peer &Upstream = connection(1);
  BOOST_TEST(Upstream.received().starts_with("GET /who"));
  Upstream.send(answer("other"));
  BOOST_TEST(ended());
  BOOST_TEST((*m_Listener.m_End == TransportEnd::OtherProcess));
}

// Guards against a caller who waits for a process that does not answer.
BOOST_FIXTURE_TEST_CASE(ASilentProcessGetsNoRequest, CheckFixture) {
  send();
  Peer &Upstream = connection(0);
  BOOST_TEST(ended());
  BOOST_TEST((*m_Listener.m_End == TransportEnd::NotSent));
  BOOST_TEST(!Upstream.hasReceived("POST"));
  send();
  connection(1).close();
  BOOST_TEST(ended());
  BOOST_TEST((*m_Listener.m_End == TransportEnd::NotSent));
}

// Guards against a broken statement that passes for one of the expected
// process.
BOOST_FIXTURE_TEST_CASE(ABrokenStatementProvesNothing, CheckFixture) {
  const std::string Sized = "Content-Length: 2\r\n\r\nme";
  const std::vector<std::string> Statements = {
      "HTTP/1.1 200 OK\r\n\r\nme",
      "HTTP/1.0 200 OK\r\n" + Sized,
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nme",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nme\r\n",
      "HTTP/1.1 200 OK\r\nX A: b\r\n" + Sized,
      "HTTP/1.1 000 Text\r\n\r\nHTTP/1.1 200 OK\r\n" + Sized,
      "HTTP/2.0 200 OK\r\n" + Sized};
  for (const std::string &Text : Statements)
    for (const bool Reset : {false, true})
      BOOST_TEST_CONTEXT(Text << Reset) {
        const std::size_t Index = m_Upstream.acceptPending();
        send();
        Peer &Upstream = connection(Index);
        Upstream.send(Text);
        Upstream.end(Reset);
        BOOST_TEST(ended());
        BOOST_TEST((m_Listener.m_End == TransportEnd::Unproven ||
                    m_Listener.m_End == TransportEnd::NotSent));
        BOOST_TEST(!Upstream.hasReceived("POST"));
      }
}
