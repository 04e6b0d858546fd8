/// What callers of a stopping gateway get when its grace period is shorter than
/// their requests, or when the process ends right after their answers.
#define BOOST_TEST_MODULE stop_limit
#include "process/gateway_config.h"
#include "process/process.h"
#include "standin/deferred_answer.h"
#include "standin/store_server.h"
#include "unit/loopback_peer.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

/// From SIGTERM; the gateway stops listening after 2.6 s.
constexpr std::chrono::seconds GracePeriod = 5s;
constexpr std::chrono::milliseconds AfterListening = 3000ms;

/// More than a kernel takes for a caller that doesn't read, by the gateway's
/// limit on it; and an answer that it takes at once.
constexpr std::size_t LongAnswer = 400U << 10;
constexpr std::size_t ShortAnswer = 40U << 10;

/// Receive buffer of callers that read slowly, in bytes.
constexpr int SmallBuffer = 4096;

/// An upstream that begins no answer below /hold/ until release(), sends an
/// event every 100 ms without end below /stream/, and answers others at once.
class HoldingUpstream {
public:
  HoldingUpstream() {
    m_Server.listen(m_Address,
                    [this](SoupServerMessage *Message, const char *Path) {
                      handle(Message, Path);
                    });
  }

  ~HoldingUpstream() {
    for (const guint Source : m_Ticks)
      g_source_remove(Source);
  }
  HoldingUpstream(const HoldingUpstream &) = delete;
  HoldingUpstream &operator=(const HoldingUpstream &) = delete;

  /// Answers all held calls with a body of \p Size bytes.
  void release(std::size_t Size) {
    for (const auto &Answer : m_Held)
      Answer->answer(200, "text/plain", std::string(Size, 'a'));
  }

  Address m_Address{INADDR_LOOPBACK, freePort()}; ///< Listening address.
  int m_CallCount = 0;                            ///< So far.

private:
  void handle(SoupServerMessage *Message, const std::string &Path) {
    ++m_CallCount;
    SoupMessageHeaders *Headers =
        soup_server_message_get_response_headers(Message);
    soup_message_headers_replace(
        Headers, "X-Attempt-Id",
        requestHeader(Message, "X-Attempt-Id").c_str());
    soup_message_headers_replace(Headers, "X-Server-Signature", "s");
    if (Path.starts_with("/short/")) {
      respond(Message, 200, "text/plain", "done");
      return;
    }
    m_Held.push_back(std::make_unique<DeferredAnswer>(Message));
    if (!Path.starts_with("/stream/"))
      return;
    m_Held.back()->beginStream(200, "text/event-stream");
    m_Ticks.push_back(g_timeout_add(100, onTick, m_Held.back().get()));
  }

  static int onTick(void *Data) {
    static_cast<DeferredAnswer *>(Data)->append("data: x\n\n");
    return G_SOURCE_CONTINUE;
  }

  std::vector<std::unique_ptr<DeferredAnswer>> m_Held; ///< Never shrinks.
  std::vector<guint> m_Ticks;                          ///< Sources of events.
  HttpServer m_Server;                                 ///< For the gateway.
};

Json routeJson(const std::string &Name, const std::string &Kind,
               std::chrono::milliseconds Timeout) {
  return {{"name", Name},
          {"host", "h.example"},
          {"prefix", "/" + Name + "/"},
          {"routeKind", Kind},
          {"timeoutMs", Timeout.count()},
          {"targetLatencyMs", Timeout.count()},
          {"priority", 0},
          {"service", "s"},
          {"maxAttempts", 1}};
}

struct StoppingGateway {
  TemporaryFolder m_Folder;
  standin::StoreServer m_Store;
  Address m_StoreAddress{INADDR_LOOPBACK, freePort()};
  GatewayConfig m_Config = makeGatewayConfig("edge-1", m_StoreAddress);
  HoldingUpstream m_Upstream;
  Caller m_Caller;
  std::unique_ptr<Process> m_Process;
  std::unique_ptr<Peer> m_Holder; ///< See stopListening().

  StoppingGateway() {
    m_Store.listen(m_StoreAddress);
    m_Config.m_GracePeriod = GracePeriod;
    Json Stream = routeJson("stream", "streaming", 30s);
    Stream["gapAimMs"] = 500;
    const Json Table = {{"version", 1},
                        {"routes",
                         {Stream, routeJson("hold", "non_idempotent", 30s),
                          routeJson("short", "non_idempotent", 1s)}},
                        {"services", {{{"name", "s"}}}},
                        {"tenants", {{{"name", "w"}, {"apiKeys", {"key-1"}}}}}};
    m_Store.put("op", "config", Table.dump());
    m_Store.put("servers", "u-1",
                upstreamRow(m_Upstream.m_Address, 8, "ready"));
    m_Process = std::make_unique<Process>(
        m_Folder, "crowstep-gateway", "gateway", gatewaySettingsText(m_Config));
    BOOST_TEST(runUntil(
        [this] {
          return m_Caller.call(readinessCall(m_Config)).m_Status == 200;
        },
        10s));
  }

  [[nodiscard]] std::unique_ptr<Peer> connect() const {
    return Peer::connect(m_Config.m_ListenAddress);
  }
  [[nodiscard]] static std::string headOf(const std::string &Path,
                                          const std::string &Framing) {
    static int Number = 0;
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\nX-Attempt-Id: a" +
           std::to_string(++Number) + "\r\n" + Framing + "\r\n\r\n";
  }
  [[nodiscard]] static std::string request(const std::string &Path) {
    return headOf(Path, "Content-Length: 1") + "b";
  }
  /// Sends SIGTERM and waits until the gateway listens no more. A call without
  /// an answer keeps it from ending.
  void stopListening() {
    m_Holder = connect();
    m_Holder->send(request("/hold/x"));
    BOOST_TEST(waitForCalls(1));
    m_Process->signal(SIGTERM);
    runFor(AfterListening);
  }
  [[nodiscard]] bool waitForCalls(int Count) const {
    return runUntil([&] { return m_Upstream.m_CallCount >= Count; }, 5s);
  }
};

/// Returns whether the bytes are one whole answer with a stated length.
bool isWholeAnswer(const std::string &Text) {
  const std::string Field = "Content-Length: ";
  const std::size_t Head = Text.find("\r\n\r\n");
  const std::size_t Length = Text.find(Field);
  return Head != std::string::npos && Length < Head &&
         Text.size() ==
             Head + 4 + std::stoul(Text.substr(Length + Field.size()));
}

} // namespace

// Guards against a stream that begins late in a stop and is cut at its end.
BOOST_AUTO_TEST_CASE(ALateRequestThatMayTakeTooLongIsRefused) {
  StoppingGateway Gateway;
  const auto Caller = Gateway.connect();
  Gateway.stopListening();
  Caller->send(StoppingGateway::request("/stream/x"));
  BOOST_TEST(runUntil([&] { return isWholeAnswer(Caller->received()); }, 1s));
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 503 "));
  BOOST_TEST(Caller->hasReceived("Retry-After: "));
  BOOST_TEST(Caller->hasReceived("Connection: close\r\n"));
  BOOST_TEST(Gateway.m_Upstream.m_CallCount == 1);
}

// Guards against the same with a body whose end arrives late.
BOOST_AUTO_TEST_CASE(ABodyThatEndsLateInAStopIsRefused) {
  StoppingGateway Gateway;
  const auto Caller = Gateway.connect();
  Caller->send(
      StoppingGateway::headOf("/stream/x", "Transfer-Encoding: chunked") +
      "4\r\nhalf\r\n");
  Gateway.stopListening();
  Caller->send("0\r\n\r\n");
  BOOST_TEST(runUntil([&] { return isWholeAnswer(Caller->received()); }, 1s));
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 503 "));
  BOOST_TEST(Gateway.m_Upstream.m_CallCount == 1);
}

// Guards against refusals of requests that end in time.
BOOST_AUTO_TEST_CASE(ALateRequestThatEndsInTimeIsServed) {
  StoppingGateway Gateway;
  const auto Caller = Gateway.connect();
  Gateway.stopListening();
  Caller->send(StoppingGateway::request("/short/x"));
  BOOST_TEST(runUntil([&] { return isWholeAnswer(Caller->received()); }, 1s));
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 200 "));
}

// Guards against a closed connection in place of an answer when the grace
// period ends while an upstream has sent nothing.
BOOST_AUTO_TEST_CASE(ARequestThatHasNoAnswerByTheEndIsToldSo) {
  StoppingGateway Gateway;
  const auto Caller = Gateway.connect();
  Caller->send(StoppingGateway::request("/hold/x"));
  BOOST_TEST(Gateway.waitForCalls(1));
  Gateway.m_Process->signal(SIGTERM);
  BOOST_TEST(runUntil([&] { return Caller->isClosed(); }, GracePeriod));
  BOOST_TEST(isWholeAnswer(Caller->received()));
  BOOST_TEST(Caller->hasReceived("HTTP/1.1 502 "));
  BOOST_TEST((Gateway.m_Process->wait(1s) == 0));
}

// Guards against a stream that is cut by a stop and that no log line names.
BOOST_AUTO_TEST_CASE(ACutStreamIsNamed) {
  StoppingGateway Gateway;
  const auto Caller = Gateway.connect();
  Caller->send(StoppingGateway::request("/stream/x"));
  BOOST_TEST(Gateway.waitForCalls(1));
  Gateway.m_Process->signal(SIGTERM);
  BOOST_TEST((Gateway.m_Process->wait(GracePeriod) == 0));
  BOOST_TEST(Caller->isClosed());
  BOOST_TEST(!Caller->received().ends_with("\r\n0\r\n\r\n"));
  const std::string Log = Gateway.m_Process->log();
  for (const char *Event : {"GatewayRequestCut", "GatewayRequestFailed"})
    BOOST_TEST(Log.find(Event) != std::string::npos, Event);
}

// Guards against a reset that destroys the last answer of a caller which has
// sent its next request, as the process ends.
BOOST_AUTO_TEST_CASE(TheEndOfTheProcessDestroysNoAnswer) {
  StoppingGateway Gateway;
  const auto Caller =
      Peer::connect(Gateway.m_Config.m_ListenAddress, SmallBuffer);
  Caller->send(StoppingGateway::request("/hold/x"));
  BOOST_TEST(Gateway.waitForCalls(1));
  Gateway.m_Process->signal(SIGTERM);
  runFor(AfterListening);
  Gateway.m_Upstream.release(ShortAnswer);
  runFor(300ms);
  Caller->send(StoppingGateway::request("/hold/x"));
  runFor(100ms);
  BOOST_TEST(runUntil([&] { return Caller->isClosed(); }, 3s));
  BOOST_TEST(isWholeAnswer(Caller->received()));
}

// Guards against an answer whose end is lost with the process as its caller
// reads slowly.
BOOST_AUTO_TEST_CASE(AnUnreadAnswerOutlivesTheProcess) {
  StoppingGateway Gateway;
  const auto Caller =
      Peer::connect(Gateway.m_Config.m_ListenAddress, SmallBuffer);
  Caller->send(StoppingGateway::request("/hold/x"));
  BOOST_TEST(Gateway.waitForCalls(1));
  Gateway.m_Process->signal(SIGTERM);
  Gateway.m_Upstream.release(LongAnswer);
  BOOST_TEST((Gateway.m_Process->wait(GracePeriod) == 0));
  BOOST_TEST(runUntil([&] { return Caller->isClosed(); }, 3s));
  BOOST_TEST(isWholeAnswer(Caller->received()));
}
