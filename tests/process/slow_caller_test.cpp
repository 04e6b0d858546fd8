/// Callers that read slowly, or not at all, and upstreams that read requests
/// slowly, a hundred at once, at a real gateway.
#define BOOST_TEST_MODULE slow_caller
#include "process/endless_server.h"
#include "process/watched_gateway.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr int CallerCount = 100;

constexpr const char *Signature = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
                                  "X-Server-Signature: s\r\n";

/// An event of 1,008 bytes.
const std::string Event = "data: " + std::string(1000, 'a') + "\n\n";

std::string headWithLength(std::size_t Bytes) {
  return Signature + ("Content-Length: " + std::to_string(Bytes)) + "\r\n\r\n";
}

std::string requestText(const std::string &Path, const std::string &Id,
                        std::size_t BodyBytes = 1) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\nX-Attempt-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
         std::string(BodyBytes, 'b');
}

/// A gateway and callers that send requests and read only when told to.
struct Fixture {
  WatchedGateway m_Gateway;
  std::vector<std::unique_ptr<Peer>> m_Callers;
  std::vector<std::string> m_Unsent; ///< By caller.

  explicit Fixture(const Address &Upstream)
      : m_Gateway(Upstream, 2 * CallerCount) {}
  [[nodiscard]] std::unique_ptr<Peer> connect() const {
    return Peer::connect(m_Gateway.m_Fleet.listenAddress(0));
  }
  void start(int Count, const std::string &Path, std::size_t BodyBytes = 1) {
    for (int I = 0; I < Count; ++I) {
      m_Callers.push_back(connect());
      m_Unsent.push_back(requestText(
          Path, "slow-" + std::to_string(m_Callers.size()), BodyBytes));
    }
  }
  /// Sends requests, watches the memory and reads nothing.
  void watch(Duration Span) {
    m_Gateway.watchUntil(
        [this] {
          for (std::size_t I = 0; I < m_Callers.size(); ++I)
            sendPart(I);
          return false;
        },
        Span);
  }
  void sendPart(std::size_t Number) {
    std::string &Rest = m_Unsent.at(Number);
    const ssize_t Size = send(m_Callers.at(Number)->fd(), Rest.data(),
                              Rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size > 0)
      Rest.erase(0, static_cast<std::size_t>(Size));
  }
};

} // namespace

// Guards against a stream that is lost because its caller stops reading for a
// while: the upstream cuts off an answer that is not read, though the gateway
// has room for it.
BOOST_AUTO_TEST_CASE(AStreamIsReadOnWhileThereIsRoom) {
  const std::size_t Bytes = 12'000 * Event.size();
  EndlessServer Upstream(headWithLength(Bytes), Event, {Bytes, 1000ms});
  Fixture Test(Upstream.address());
  Test.start(1, "/streaming/x");
  Test.watch(2500ms);
  Peer &Caller = *Test.m_Callers[0];
  BOOST_TEST(runUntil(
      [&] { return Caller.received().ends_with("\r\n0\r\n\r\n"); }, 8s));
  BOOST_TEST(Caller.received().size() > Bytes);
  BOOST_TEST(Upstream.cutOff() == 0);
}

// Guards against answers that fill the memory because their callers don't read
// them: the request has ended by then, and its answer counts for no limit on
// unfinished ones.
BOOST_AUTO_TEST_CASE(AHundredUnreadAnswersLeaveTheMemoryFlat) {
  constexpr std::size_t Bytes = 3 << 20;
  EndlessServer Upstream(headWithLength(Bytes), "aaaaaaaa", {Bytes, 0ms});
  Fixture Test(Upstream.address());
  // So few at once that the limit on unfinished answers lets them end.
  for (int Wave = 0; Wave < CallerCount / 10; ++Wave) {
    Test.start(10, "/non_idempotent/x");
    Test.watch(300ms);
  }
  BOOST_TEST(Test.m_Gateway.growth() < WatchedGateway::MaxGrowth);
  BOOST_TEST(Test.m_Gateway.isRunning());
}

// Guards against streams without end that are buffered for callers that don't
// read them, and against other callers that are then not served.
BOOST_AUTO_TEST_CASE(AHundredUnreadStreamsLeaveTheMemoryFlat) {
  EndlessServer Upstream(std::string(Signature) + "\r\n", Event);
  Fixture Test(Upstream.address());
  Test.start(CallerCount, "/streaming/x");
  Test.watch(2s);
  BOOST_TEST(Test.m_Gateway.growth() < WatchedGateway::MaxGrowth);
  const auto Reader = Test.connect();
  Reader->send(requestText("/streaming/x", "reader"));
  BOOST_TEST(
      runUntil([&] { return Reader->received().size() > (256U << 10); }, 3s));
  BOOST_TEST(Test.m_Gateway.isRunning());
}

// Guards against requests that fill the memory while upstreams don't read them.
BOOST_AUTO_TEST_CASE(AHundredRequestsThatAreNotReadLeaveTheMemoryFlat) {
  const auto [Listening, Where] = listenOnLoopback(512);
  Fixture Test(Where);
  Test.start(CallerCount, "/non_idempotent/x", 1 << 20);
  Test.watch(5s);
  BOOST_TEST(Test.m_Gateway.growth() < WatchedGateway::MaxGrowth);
  BOOST_TEST(Test.m_Gateway.isRunning());
  close(Listening);
}
