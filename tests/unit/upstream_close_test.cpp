/// An answer whose last chunk has come and whose connection closes right after.
#define BOOST_TEST_MODULE upstream_close
#include "http/upstream_call.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct Listener final : UpstreamListener {
  void upstreamHeaders(unsigned Status, const HeaderList &) override {
    m_Status = Status;
  }
  void upstreamBytes(std::string_view Bytes) override { m_Body += Bytes; }
  void upstreamEnded(TransportEnd How) override { m_End = How; }

  unsigned m_Status = 0;
  std::string m_Body;
  std::optional<TransportEnd> m_End;
};

} // namespace

/// An engine begins to leave while it streams. It ends its last streams, each
/// with the last chunk, and closes its connections in the same moment. Callers
/// must get the end: taken for a crash between two chunks, which libsoup does
/// not tell apart (upstream_call_test/ACutAnswerIsBroken), a stream that is
/// whole would be cut after its last event.
BOOST_AUTO_TEST_CASE(AWholeAnswerOfALeavingUpstreamIsWhole) {
  for (const bool Together : {true, false})
    for (int Play = 0; Play < 20; ++Play) {
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
      Peer *Engine = Upstream.next();
      BOOST_REQUIRE(Engine != nullptr);
      Engine->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      BOOST_TEST(pumpUntil([&] { return Told.m_Status == 200; }));
      Engine->send("5\r\nwhole\r\n");
      if (!Together)
        BOOST_TEST(pumpUntil([&] { return Told.m_Body == "whole"; }));
      Engine->send("0\r\n\r\n");
      Engine->close();
      BOOST_TEST(pumpUntil([&] { return Told.m_End.has_value(); }));
      BOOST_TEST(Told.m_Body == "whole");
      BOOST_TEST((Told.m_End == TransportEnd::Complete));
    }
}

/// The upstream crashes after an event that ends as a last chunk would. The
/// chunk around it has an end of its own, so the answer is still cut.
BOOST_AUTO_TEST_CASE(AnEventLikeALastChunkIsNoEnd) {
  LoopClock Clock;
  LoopScheduler Timers;
  HttpUpstreamCaller Caller(Clock, Timers);
  FakeUpstream Upstream;
  Listener Told;
  UpstreamSend What;
  What.m_Where = Upstream.m_Address;
  What.m_Path = "/x";
  What.m_SendBefore = Clock.fresh() + 10s;
  const auto Call = Caller.send(What, Told);
  Peer *Engine = Upstream.next();
  BOOST_REQUIRE(Engine != nullptr);
  Engine->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  BOOST_TEST(pumpUntil([&] { return Told.m_Status == 200; }));
  Engine->send("7\r\n\r\n0\r\n\r\n\r\n");
  Engine->close();
  BOOST_TEST(pumpUntil([&] { return Told.m_End.has_value(); }));
  BOOST_TEST((Told.m_End == TransportEnd::Broken));
}
