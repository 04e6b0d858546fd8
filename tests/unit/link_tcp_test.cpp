/// The links of two processes in one main loop, over loopback: handshake,
/// joined frames, limits, reconnection, and peers that violate the protocol.
#define BOOST_TEST_MODULE link_tcp
#include "core/http_server.h"
#include "link/handshake.h"
#include "link/link_func.h"
#include "link/link_tcp.h"
#include "unit/captured_log.h"

#include <functional>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

using namespace crowstep;
using namespace crowstep::link;
using namespace std::chrono_literals;

namespace {

/// Runs the loop until \p Done holds; fails the test after 10 s.
void runUntil(const std::function<bool()> &Done) {
  const LoopClock Time;
  const TimePoint Limit = Time.readNow() + 10s;
  bool Held = Done();
  while (!Held && Time.readNow() < Limit) {
    LoopScheduler Timers;
    Timers.runAfter(5ms, [] {});
    g_main_context_iteration(nullptr, 1);
    Held = Done();
  }
  BOOST_REQUIRE(Held);
}

Address freeAddress() {
  GSocket *Socket = openListeningSocket({0x7F000001, 0});
  GSocketAddress *Bound = g_socket_get_local_address(Socket, nullptr);
  const auto Port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Bound));
  g_object_unref(Bound);
  g_object_unref(Socket);
  return {0x7F000001, Port};
}

LinkConfig configOf(const std::string &Name, const Address &Listen) {
  LinkConfig Config;
  Config.m_Role =
      Listen.m_Port != 0 ? wire::Role::Dispatcher : wire::Role::Entry;
  Config.m_Name = Name;
  Config.m_Incarnation = Incarnation(7);
  Config.m_Zone = {"njiro"};
  Config.m_Listen = Listen;
  Config.m_Key = "secret";
  Config.m_HandshakeTimeout = 200ms;
  Config.m_MinBackoff = 10ms;
  Config.m_MaxBackoff = 50ms;
  return Config;
}

/// The links of one process, and the events that it received.
struct Node final : LinkListener {
  explicit Node(const LinkConfig &Config)
      : m_Links(Config, m_Timers, m_Stats, *this) {
    m_Links.start();
  }
  void linkUp(LinkId Link, const Peer &Remote) override {
    m_Link = Link;
    m_Peer = Remote;
    ++m_UpCount;
  }
  void linkFrame(LinkId, const wire::Frame &Frame) override {
    ++m_FrameCount;
    if (Frame.refusals() != nullptr)
      m_MessageCount += Frame.refusals()->size();
    if (m_OnFrame)
      m_OnFrame();
  }
  void linkDown(LinkId, const Peer &, CloseReason Reason) override {
    m_Link = LinkId();
    m_DownReason = Reason;
  }
  void dialFailed(const Address &, CloseReason Reason) override {
    m_DialFailure = Reason;
  }
  std::uint64_t closed(CloseReason Reason) {
    return m_Stats
        .counter("crowstep_link_closed_total",
                 {{"reason", closeReasonName(Reason)}})
        .value();
  }
  void refuse(std::uint64_t Request) {
    m_Links.outbox(m_Link).refusals.emplace_back(Request, 0, 0);
  }

  LoopScheduler m_Timers;
  Metrics m_Stats;
  TcpLinks m_Links;
  LinkId m_Link;
  Peer m_Peer;
  int m_UpCount = 0;
  int m_FrameCount = 0;
  std::size_t m_MessageCount = 0;
  std::optional<CloseReason> m_DownReason;
  std::optional<CloseReason> m_DialFailure;
  std::function<void()> m_OnFrame;
};

/// A raw client connection, on which a test can violate the protocol.
struct RawClient {
  explicit RawClient(const Address &Remote)
      : m_Client(g_socket_client_new()),
        m_Stream(g_socket_client_connect_to_host(
            m_Client, toString(Remote).c_str(), 0, nullptr, nullptr)) {}
  ~RawClient() {
    g_object_unref(m_Stream);
    g_object_unref(m_Client);
  }
  void send(Bytes Data) {
    g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(m_Stream)), Data.data(),
        Data.size(), nullptr, nullptr, nullptr);
  }
  void send(const wire::FrameT &Frame) {
    std::vector<std::uint8_t> Encoded;
    appendFrame(Frame, Encoded);
    send(Encoded);
  }

  /// Performs the dialer's part of the handshake with \p Config.
  void authenticate(const LinkConfig &Config) {
    Handshake Own(Config, Side::Dialer);
    wire::FrameT Frame;
    Frame.hello = std::make_unique<wire::HelloT>(Own.hello());
    send(preamble());
    send(Frame);
    GSocket *Socket = g_socket_connection_get_socket(m_Stream);
    g_socket_set_blocking(Socket, 0);
    FrameReader Reader(MaxHandshakeFrame);
    runUntil([&] {
      std::array<std::uint8_t, 1024> Buffer{};
      const gssize Count =
          g_socket_receive(Socket, reinterpret_cast<gchar *>(Buffer.data()),
                           Buffer.size(), nullptr, nullptr);
      Bytes Input = Bytes(Buffer).first(Count > 0 ? Count : 0);
      const ReadResult Result = Reader.read(Input);
      const auto *Received = std::get_if<FrameArrived>(&Result);
      if (Received == nullptr)
        return false;
      const HandshakeStep Step = Own.handleFrame(*Received->m_Frame);
      Frame = wire::FrameT();
      Frame.proof = std::make_unique<wire::ProofT>(
          std::get<HandshakePending>(Step).m_Reply.value());
      send(Frame);
      return true;
    });
  }

  GSocketClient *m_Client;
  GSocketConnection *m_Stream;
};

HandshakeStep takeEncoded(Handshake &Receiver, const wire::FrameT &Frame) {
  std::vector<std::uint8_t> Buffer;
  return Receiver.handleFrame(
      *wire::GetFrame(appendFrame(Frame, Buffer).data()));
}

struct Pair {
  Address m_ServerAddress = freeAddress();
  std::optional<Node> m_Server{configOf("server", m_ServerAddress)};
  std::optional<Node> m_Client{configOf("client", {})};
  void connect() {
    m_Client->m_Links.dial(m_ServerAddress);
    runUntil([this] {
      return m_Client->m_Link != LinkId() && m_Server->m_Link != LinkId();
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(HandshakeTellsWhoIsThere, Pair) {
  connect();
  BOOST_TEST(m_Client->m_Peer.m_Name == "server");
  BOOST_TEST((m_Client->m_Peer.m_Address == m_ServerAddress));
  BOOST_TEST((m_Client->m_Peer.m_Role == wire::Role::Dispatcher));
  BOOST_TEST(m_Server->m_Peer.m_Name == "client");
  BOOST_TEST((m_Server->m_Peer.m_Incarnation == Incarnation(7)));
  BOOST_TEST(m_Server->m_Peer.m_Address.m_Port == 0);
}

BOOST_FIXTURE_TEST_CASE(MessagesOfOneIterationJoinIntoOneFrame, Pair) {
  connect();
  for (int Request = 0; Request < 100; ++Request)
    m_Client->refuse(Request);
  runUntil([this] { return m_Server->m_MessageCount == 100; });
  BOOST_TEST(m_Server->m_FrameCount == 1);
  const Labels Serving = {{"direction", "in"}, {"mechanism", "serving"}};
  BOOST_TEST(m_Server->m_Stats.counter("crowstep_link_messages_total", Serving)
                 .value() == 100U);
  // 100 messages of 16 bytes each, the vector's length of 4 bytes, and at most
  // 12 bytes of padding.
  const auto Size =
      m_Server->m_Stats.counter("crowstep_link_mechanism_bytes_total", Serving)
          .value();
  BOOST_TEST(Size >= 1604U);
  BOOST_TEST(Size <= 1616U);
}

BOOST_FIXTURE_TEST_CASE(LinkComesBackAfterThePeerRestarts, Pair) {
  connect();
  m_Server.reset();
  runUntil([this] { return m_Client->m_DialFailure.has_value(); });
  BOOST_TEST((m_Client->m_DownReason == CloseReason::PeerClosed));
  BOOST_TEST((m_Client->m_DialFailure == CloseReason::ConnectRefused));
  m_Server.emplace(configOf("server", m_ServerAddress));
  runUntil([this] { return m_Client->m_UpCount == 2; });
}

BOOST_FIXTURE_TEST_CASE(ListenerMayCloseWithinItsCallbacks, Pair) {
  connect();
  m_Server->m_OnFrame = [this] { m_Server->m_Links.close(m_Server->m_Link); };
  m_Client->refuse(1);
  runUntil([this] { return m_Server->m_DownReason == CloseReason::Local; });
  runUntil([this] { return m_Client->m_UpCount == 2; });
  m_Client->m_Links.disconnect(m_ServerAddress);
  runUntil([this] { return m_Client->m_DownReason == CloseReason::Local; });
  m_Client->refuse(2); // Discarded, as there is no link.
  BOOST_TEST(m_Client->m_UpCount == 2);
}

// Guards against a link that ends with the wish to dial, and against a second
// one beside it.
BOOST_FIXTURE_TEST_CASE(ALinkOutlivesTheWishToDial, Pair) {
  connect();
  m_Client->m_Links.stopDialling(m_ServerAddress);
  m_Client->m_Links.dial(m_ServerAddress);
  m_Client->m_Links.stopDialling(m_ServerAddress);
  m_Client->refuse(1);
  runUntil([this] { return m_Server->m_MessageCount == 1; });
  BOOST_TEST(m_Server->m_UpCount == 1);
  m_Server.reset();
  runUntil([this] { return m_Client->m_DownReason.has_value(); });
  m_Server.emplace(configOf("server", m_ServerAddress));
  LoopScheduler Timers;
  bool HasWaited = false;
  Timers.runAfter(200ms, [&] { HasWaited = true; });
  runUntil([&] { return HasWaited; });
  BOOST_TEST(m_Server->m_UpCount == 0);
}

// Guards against attempts to dial an address after they should have stopped.
BOOST_FIXTURE_TEST_CASE(AnAttemptEndsWithTheWishToDial, Pair) {
  m_Server.reset();
  m_Client->m_Links.dial(m_ServerAddress);
  runUntil([this] { return m_Client->m_DialFailure.has_value(); });
  m_Client->m_Links.stopDialling(m_ServerAddress);
  m_Server.emplace(configOf("server", m_ServerAddress));
  LoopScheduler Timers;
  bool HasWaited = false;
  Timers.runAfter(200ms, [&] { HasWaited = true; });
  runUntil([&] { return HasWaited; });
  BOOST_TEST(m_Server->m_UpCount == 0);
}

// Guards against a link that is missing although the log shows it up.
BOOST_FIXTURE_TEST_CASE(ALinkThatThisSideClosesIsLogged, Pair) {
  const test::CapturedLog Log;
  connect();
  Log.read();
  m_Client->m_Links.disconnect(m_ServerAddress);
  runUntil([this] { return m_Client->m_DownReason == CloseReason::Local; });
  BOOST_TEST(Log.read().find(R"("peer":"server","why":"local")") !=
             std::string::npos);
}

/// A peer that knows the key connects and then stops reading. The server keeps
/// sending: the kernel's buffers fill, then the send queue up to its limit. The
/// server must close the link instead of using more and more memory.
BOOST_AUTO_TEST_CASE(PeerThatReadsNothingIsDropped) {
  LinkConfig Config = configOf("server", freeAddress());
  Config.m_MaxQueuedBytes = 1U << 20;
  Node Server(Config);
  RawClient Unresponsive(Config.m_Listen);
  Unresponsive.authenticate(configOf("deaf", {}));
  runUntil([&] { return Server.m_Link != LinkId(); });
  runUntil([&] {
    if (Server.m_Link != LinkId())
      Server.m_Links.outbox(Server.m_Link).refusals.resize(20'000);
    return Server.m_DownReason.has_value();
  });
  BOOST_TEST((Server.m_DownReason == CloseReason::Backlog));
  BOOST_TEST(Server.closed(CloseReason::Backlog) == 1U);
}

// Guards against digests that queue up for a peer behind a slow link, at each
// link up to the limit: the peer gets the latest ones and the link stays up.
BOOST_AUTO_TEST_CASE(ASlowPeerHasAShortQueue) {
  constexpr std::size_t MessageCount = 2000;
  LinkConfig Config = configOf("server", freeAddress());
  Config.m_HoldAboveBytes = 64U << 10U;
  Node Server(Config);
  RawClient Slow(Config.m_Listen);
  Slow.authenticate(configOf("slow", {}));
  runUntil([&] { return Server.m_Link != LinkId(); });
  std::size_t Most = 0;
  int Sent = 0;
  runUntil([&] {
    Server.m_Links.outbox(Server.m_Link).refusals.resize(MessageCount);
    Most = std::max(Most, Server.m_Links.queuedBytes(Server.m_Link));
    return ++Sent == 500;
  });
  BOOST_TEST(Most < (64U << 10U) + 32 * MessageCount);
  BOOST_TEST(!Server.m_DownReason.has_value());
  // What is held is sent without a further message.
  constexpr std::uint64_t LastRequest = 0x4c41535452455155;
  Server.refuse(LastRequest);
  const std::string Marker(reinterpret_cast<const char *>(&LastRequest),
                           sizeof(LastRequest));
  GSocket *Socket = g_socket_connection_get_socket(Slow.m_Stream);
  std::string Received;
  runUntil([&] {
    std::array<char, 65536> Buffer{};
    gssize Count = 0;
    while ((Count = g_socket_receive(Socket, Buffer.data(), Buffer.size(),
                                     nullptr, nullptr)) > 0)
      Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    return Received.find(Marker) != std::string::npos;
  });
  BOOST_TEST(!Server.m_DownReason.has_value());
}

/// A malicious peer that a process dials replies with that process's own nonce
/// and then sends that process's own proof back. Only the side, which the proof
/// covers, distinguishes this from a proof of the peer.
BOOST_AUTO_TEST_CASE(ReflectedProofIsRejected) {
  Handshake Victim(configOf("victim", {}), Side::Dialer);
  wire::FrameT Echo;
  Echo.hello = std::make_unique<wire::HelloT>(Victim.hello());
  Echo.hello->instance = "stranger";
  const HandshakeStep Replied = takeEncoded(Victim, Echo);
  wire::FrameT Reflected;
  Reflected.proof = std::make_unique<wire::ProofT>(
      std::get<HandshakePending>(Replied).m_Reply.value());
  const HandshakeStep Step = takeEncoded(Victim, Reflected);
  BOOST_REQUIRE(std::holds_alternative<Rejected>(Step));
  BOOST_TEST((std::get<Rejected>(Step).m_Reason == CloseReason::BadProof));
}

BOOST_FIXTURE_TEST_CASE(WrongKeyIsRefusedByBothSides, Pair) {
  LinkConfig Config = configOf("client", {});
  Config.m_Key = "guess";
  m_Client.emplace(Config);
  m_Client->m_Links.dial(m_ServerAddress);
  runUntil([this] { return m_Server->closed(CloseReason::BadProof) > 0; });
  BOOST_TEST(m_Server->m_UpCount + m_Client->m_UpCount == 0);
}

/// Unauthenticated clients send what a peer never sends. Nothing of it reaches
/// the listener, and each connection is closed with its own reason.
BOOST_FIXTURE_TEST_CASE(StrangersAreClosedWithTheirReason, Pair) {
  const auto Opening = preamble();
  const auto Expect = [this](CloseReason Reason) {
    runUntil([this, Reason] { return m_Server->closed(Reason) == 1; });
  };
  RawClient Http(m_ServerAddress);
  const std::string Get = "GET / HTTP/1.1\r\n\r\n";
  Http.send({reinterpret_cast<const std::uint8_t *>(Get.data()), Get.size()});
  Expect(CloseReason::Foreign);

  RawClient Newer(m_ServerAddress);
  auto NewerOpening = Opening;
  NewerOpening[6] ^= 0x40;
  Newer.send(NewerOpening);
  Expect(CloseReason::WrongSchema);

  RawClient Large(m_ServerAddress);
  Large.send(Opening);
  const std::array<std::uint8_t, 4> Megabyte = {0, 0, 16, 0};
  Large.send(Megabyte);
  Expect(CloseReason::FrameTooLarge);

  RawClient Garbage(m_ServerAddress);
  Garbage.send(Opening);
  const std::array<std::uint8_t, 8> Noise = {4, 0, 0, 0, 255, 255, 255, 255};
  Garbage.send(Noise);
  Expect(CloseReason::BadFrame);

  RawClient Eager(m_ServerAddress);
  Eager.send(Opening);
  wire::FrameT Early;
  Early.refusals.emplace_back(1, 0, 0);
  Eager.send(Early);
  Expect(CloseReason::BadProof);

  const RawClient Silent(m_ServerAddress);
  Expect(CloseReason::HandshakeSlow);
  BOOST_TEST(m_Server->m_UpCount + m_Server->m_FrameCount == 0);
}

namespace {

/// Returns an option of the open sockets that are connected on loopback.
std::vector<int> optionOfConnections(int Level, int Option) {
  constexpr int MaxDescriptors = 256;
  std::vector<int> Result;
  for (int Descriptor = 0; Descriptor < MaxDescriptors; ++Descriptor) {
    sockaddr_in Remote{};
    socklen_t Size = sizeof(Remote);
    int Value = 0;
    socklen_t ValueSize = sizeof(Value);
    if (getpeername(Descriptor, reinterpret_cast<sockaddr *>(&Remote), &Size) ==
            0 &&
        Remote.sin_family == AF_INET &&
        getsockopt(Descriptor, Level, Option, &Value, &ValueSize) == 0)
      Result.push_back(Value);
  }
  return Result;
}

} // namespace

// Guards against a link that stays up for many minutes after the peer's machine
// has lost power or was cut off: nothing closes it then.
BOOST_FIXTURE_TEST_CASE(BothEndsOfALinkNoticeASilentPeer, Pair) {
  connect();
  const std::vector<int> KeepAlive =
      optionOfConnections(SOL_SOCKET, SO_KEEPALIVE);
  BOOST_TEST(KeepAlive.size() == 2U);
  for (const int Enabled : KeepAlive)
    BOOST_TEST(Enabled != 0);
  for (const int Milliseconds :
       optionOfConnections(IPPROTO_TCP, TCP_USER_TIMEOUT))
    BOOST_TEST((Milliseconds > 0 && Milliseconds <= 3000));
}

namespace {

/// Makes every further accept on this process's listening sockets fail while
/// they stay readable, as if there were no file descriptors left.
void failAccepts() {
  constexpr int MaxDescriptors = 256;
  for (int Descriptor = 0; Descriptor < MaxDescriptors; ++Descriptor) {
    int Listens = 0;
    socklen_t Size = sizeof(Listens);
    if (getsockopt(Descriptor, SOL_SOCKET, SO_ACCEPTCONN, &Listens, &Size) ==
            0 &&
        Listens != 0)
      shutdown(Descriptor, SHUT_RDWR);
  }
}

/// Returns how many iterations the main loop makes in \p Span.
int countIterations(Duration Span) {
  const LoopClock Time;
  const TimePoint End = Time.readNow() + Span;
  LoopScheduler Timers;
  Timers.runAfter(Span, [] {});
  int Result = 0;
  for (; Time.readNow() < End; ++Result)
    g_main_context_iteration(nullptr, 1);
  return Result;
}

} // namespace

// Guards against an event loop that spins when no connection can be accepted.
BOOST_FIXTURE_TEST_CASE(AFailedAcceptDoesNotSpin, Pair) {
  failAccepts();
  BOOST_TEST(countIterations(300ms) < 100);
}
