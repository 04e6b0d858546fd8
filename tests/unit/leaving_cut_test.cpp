/// Test of a truncated answer from an upstream that announces the close of its
/// connection.
#define BOOST_TEST_MODULE leaving_cut
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"
#include "unit/recording_listener.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {} // namespace

// Guards against a truncated answer that is taken for a complete one. A
// draining upstream sends "Connection: close" and breaks off between two
// chunks; if the close alone counted as the end of such an answer, the missing
// last chunk would go unnoticed.
BOOST_AUTO_TEST_CASE(ACutAnswerOfALeavingUpstreamIsBroken) {
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamClient Caller(Clock, Timers);
  FakeUpstream Upstream;
  RecordingListener CallListener;
  UpstreamRequest Request;
  Request.m_Address = Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_Body = "b";
  Request.m_SendDeadline = Clock.readNow() + 10s;
  const auto Call = Caller.send(Request, CallListener);
  Peer *Connection = Upstream.waitForRequest();
  BOOST_REQUIRE(Connection != nullptr);
  Connection->send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  Connection->close();
  BOOST_TEST(pumpUntil([&] { return CallListener.m_End.has_value(); }));
  BOOST_TEST((CallListener.m_End == TransportEnd::Broken));
}
