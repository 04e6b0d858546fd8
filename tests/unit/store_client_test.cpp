/// Calls to the store over real sockets.
#define BOOST_TEST_MODULE store_client
#include "store_client.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::adapter;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  LoopClock m_Time;
  Metrics m_Stats;
  FakeUpstream m_Store;
  StoreClient m_Client{std::make_unique<HttpClient>(), m_Store.m_Address,
                       m_Stats};
  std::optional<StoreResult> m_Result;

  void follow() {
    m_Result.reset();
    m_Client.follow("servers", StoreVersion(1), 5s,
                    [this](const StoreResult &Answer) { m_Result = Answer; });
  }
  /// Returns the time from now until the call has ended.
  Duration timeUntilResult() {
    const TimePoint Begin = m_Time.readNow();
    BOOST_TEST(pumpUntil([&] { return m_Result.has_value(); }));
    return m_Time.readNow() - Begin;
  }
};

} // namespace

// Guards against a long poll without a connect timeout, by which callers were
// sent to an upstream seconds after it had left. If an instance is cut off from
// the store when the call needs a new connection, the kernel retransmits the
// SYN after 1, 3, 7 and 15 s, so the call hangs although the network has
// recovered. Its own timeout is its wait, 30 s; the log showed two tables lost
// and nothing of the third for 12.4 s.
BOOST_AUTO_TEST_CASE(AWaitingCallThatGetsNoConnectionEndsSoon) {
  Fixture Test;
  Test.m_Store.dropNewConnections();
  Test.follow();
  BOOST_TEST((Test.timeUntilResult() < 1s));
  BOOST_TEST(
      (std::get<StoreFailure>(*Test.m_Result) == StoreFailure::Unreachable));
}

// The same with a call whose connection is reset just as the network is cut:
// libsoup retries it by itself on a new connection.
BOOST_AUTO_TEST_CASE(AWaitingCallThatIsSentAgainEndsSoon) {
  Fixture Test;
  Test.follow();
  BOOST_REQUIRE(pumpUntil([&] { return Test.m_Store.acceptPending() > 0; }));
  Peer &Connection = Test.m_Store.peer(0);
  BOOST_TEST(pumpUntil([&] { return Connection.hasReceived("\r\n\r\n"); }));
  const std::string Body = R"({"rows":[],"schemaVersion":1})";
  Connection.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body);
  Test.timeUntilResult();
  BOOST_TEST(std::holds_alternative<StoreRows>(*Test.m_Result));
  Test.follow();
  BOOST_TEST(pumpUntil([&] {
    return Connection.received().find("GET", 10) != std::string::npos;
  }));
  Test.m_Store.dropNewConnections();
  Connection.close();
  BOOST_TEST((Test.timeUntilResult() < 1s));
  BOOST_TEST(
      (std::get<StoreFailure>(*Test.m_Result) == StoreFailure::Unreachable));
}

/// Guards against a truncated answer that is taken for complete: half of the
/// rows would pass for the whole table.
BOOST_AUTO_TEST_CASE(AShortAnswerIsNoAnswer) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string &Text :
       {Ok + "Content-Length: 10\r\n\r\nhalf",
        Ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        Ok + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nhalf\r\n0\r\n"}) {
    FakeUpstream Server;
    HttpClient Client;
    std::optional<HttpResult> Result;
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Body = "{}";
    Call.m_Address = Server.m_Address;
    Call.m_Path = "/x";
    Client.call(Call, [&](HttpResult Answer) { Result = std::move(Answer); });
    Peer *Connection = Server.waitForRequest();
    BOOST_REQUIRE(Connection != nullptr);
    Connection->send(Text);
    Connection->close();
    BOOST_TEST(pumpUntil([&] { return Result.has_value(); }));
    const auto *Failure = std::get_if<HttpFailure>(&*Result);
    BOOST_REQUIRE(Failure != nullptr);
    BOOST_TEST((*Failure == HttpFailure::NoAnswer));
  }
}

/// Guards against a call that exceeds its timeout, and against one that is
/// reported as unsent although its bytes were sent.
BOOST_AUTO_TEST_CASE(ACallEndsAtItsLimit) {
  FakeUpstream Server;
  HttpClient Client;
  std::optional<HttpResult> Result;
  HttpCall Call;
  Call.m_Address = Server.m_Address;
  Call.m_Path = "/x";
  Call.m_Timeout = 50ms;
  Client.call(Call, [&](HttpResult Answer) { Result = std::move(Answer); });
  BOOST_TEST(pumpUntil([&] { return Result.has_value(); }));
  BOOST_TEST((std::get<HttpFailure>(*Result) == HttpFailure::TimedOut));
}
