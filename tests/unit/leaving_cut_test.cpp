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
  void upstreamEnded(TransportEnd How) override { m_End = How; }

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
  Listener Told;
  UpstreamSend What;
  What.m_Where = Upstream.m_Address;
  What.m_Path = "/x";
  What.m_Body = "b";
  What.m_SendBefore = Clock.fresh() + 10s;
  const auto Call = Caller.send(What, Told);
  Peer *Way = Upstream.next();
  BOOST_REQUIRE(Way != nullptr);
  Way->send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  Way->close();
  BOOST_TEST(pumpUntil([&] { return Told.m_End.has_value(); }));
  BOOST_TEST((Told.m_End == TransportEnd::Broken));
}
