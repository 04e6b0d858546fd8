/// The end of an answer from an upstream that closes its connections and breaks
/// off as well.
#define BOOST_TEST_MODULE leaving_cut
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct Listener final : UpstreamListener {
  void upstreamHeaders(unsigned, const HeaderList &) override {}
  void upstreamBytes(std::string_view) override {}
  void upstreamEnded(TransportEnd End) override { m_End = End; }

  std::optional<TransportEnd> m_End;
};

} // namespace

// A caller gets half an answer, or a stream without its last events, as a whole
// one. The upstream leaves, so its answers say that the connection closes, and
// it breaks off between two chunks. Cause: of such answers the close alone
// counts as their end, whether the last chunk came or not.
BOOST_AUTO_TEST_CASE(ACutAnswerOfALeavingUpstreamIsBroken) {
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamCaller Caller(Clock, Timers);
  FakeUpstream Upstream;
  Listener CallListener;
  UpstreamSend Request;
  Request.m_Where = Upstream.m_Address;
  Request.m_Path = "/x";
  Request.m_Body = "b";
  Request.m_SendBefore = Clock.fresh() + 10s;
  const auto Call = Caller.send(Request, CallListener);
  Peer *Connection = Upstream.next();
  BOOST_REQUIRE(Connection != nullptr);
  Connection->send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  Connection->close();
  BOOST_TEST(pumpUntil([&] { return CallListener.m_End.has_value(); }));
  BOOST_TEST((CallListener.m_End == TransportEnd::Broken));
}
