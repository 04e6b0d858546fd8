/// One TCP connection with its handshake, reader and send queue.
#include "link/connection.h"

#include "core/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace crowstep::link {

namespace {

/// Bytes read from a socket at a time, so that other sockets are served in
/// between.
constexpr std::size_t ReadSize = 64UL << 10U;

GSocketAddress *socketAddress(const Address &Target) {
  const std::string Text = toString(Target);
  return g_inet_socket_address_new_from_string(
      Text.substr(0, Text.rfind(':')).c_str(), Target.m_Port);
}

/// Returns why a connect failed; frees \p Failure.
CloseReason connectFailureReason(GError *Failure) {
  const bool Refused =
      g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != 0;
  g_error_free(Failure);
  return Refused ? CloseReason::ConnectRefused : CloseReason::ConnectFailed;
}

/// Returns whether \p Failure only means "try again later"; frees it.
bool wouldBlock(GError *Failure) {
  const bool Blocks =
      g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
  g_error_free(Failure);
  return Blocks;
}

} // namespace

Connection::Connection(ConnectionContext &Shared, LinkId Id,
                       const Address &Dialled)
    : m_Context(Shared), m_Id(Id), m_DialledAddress(Dialled),
      m_HandshakeTimer(Shared.m_Timers),
      m_Handshake(Shared.m_Config,
                  Dialled == Address() ? Side::Acceptor : Side::Dialer),
      m_Reader(MaxHandshakeFrame) {}

Connection::~Connection() { close(); }

void Connection::configure(GSocket *Socket) {
  m_Socket = Socket;
  m_SocketWatch.emplace(g_socket_get_fd(m_Socket), *this);
  g_socket_set_blocking(m_Socket, 0);
  // Messages are joined into frames already; Nagle's algorithm would only add
  // delay.
  g_socket_set_option(m_Socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  // The kernel would queue several MB for a slow peer, which nothing here
  // counts.
  constexpr int KernelBacklog = 64 << 10;
  g_socket_set_option(m_Socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, KernelBacklog,
                      nullptr);
  // A machine that loses power or is cut off closes nothing.
  enableKeepAlive(m_Socket);
  m_HandshakeTimer.start(m_Context.m_Config.m_HandshakeTimeout, [this] {
    fail(m_Connected ? CloseReason::HandshakeSlow : CloseReason::ConnectFailed);
  });
}

void Connection::connect() {
  GError *Failure = nullptr;
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, nullptr);
  if (Socket == nullptr) { // Out of file descriptors.
    m_HandshakeTimer.start(Duration::zero(),
                           [this] { fail(CloseReason::ConnectFailed); });
    return;
  }
  configure(Socket);
  GSocketAddress *Target = socketAddress(m_DialledAddress);
  g_socket_connect(m_Socket, Target, nullptr, &Failure);
  g_object_unref(Target);
  if (Failure != nullptr &&
      g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_PENDING) == 0) {
    const CloseReason Reason = connectFailureReason(Failure);
    m_HandshakeTimer.start(Duration::zero(), [this, Reason] { fail(Reason); });
    return;
  }
  g_clear_error(&Failure);
  watchForWriting(true);
}

void Connection::adopt(GSocket *Socket) {
  configure(Socket);
  m_Connected = true;
  startHandshake();
}

void Connection::finishConnect() {
  GError *Failure = nullptr;
  if (g_socket_check_connect_result(m_Socket, &Failure) == 0) {
    fail(connectFailureReason(Failure));
    return;
  }
  m_Connected = true;
  watchForWriting(false);
  startHandshake();
}

void Connection::startHandshake() {
  const auto Opening = preamble();
  std::vector<std::uint8_t> &Queue = m_SendQueue.buffer();
  Queue.insert(Queue.end(), Opening.begin(), Opening.end());
  watchForWriting(m_WriteBlocked);
  wire::FrameT First;
  First.hello = std::make_unique<wire::HelloT>(m_Handshake.hello());
  send(First);
}

void Connection::socketReady(SocketEvents Ready) {
  // The owner may release the connection while it handles one of its frames.
  const auto KeepAlive = shared_from_this();
  if (!m_Connected) {
    finishConnect();
    return;
  }
  if (Ready.m_Write && m_WriteBlocked)
    writeQueued();
  if (Ready.m_Read && m_Socket != nullptr)
    readSome();
}

void Connection::readSome() {
  static std::vector<std::uint8_t> Buffer(ReadSize);
  GError *Failure = nullptr;
  const gssize Count =
      g_socket_receive(m_Socket, reinterpret_cast<gchar *>(Buffer.data()),
                       Buffer.size(), nullptr, &Failure);
  if (Count > 0)
    processInput(Bytes(Buffer).first(static_cast<std::size_t>(Count)));
  else if (Count == 0 || !wouldBlock(Failure))
    fail(CloseReason::PeerClosed);
}

void Connection::processInput(Bytes Input) {
  while (m_Socket != nullptr) {
    const ReadResult Result = m_Reader.read(Input);
    if (const auto *Rejection = std::get_if<Rejected>(&Result))
      fail(Rejection->m_Reason);
    const auto *Received = std::get_if<FrameArrived>(&Result);
    if (Received == nullptr)
      return;
    processFrame(*Received);
  }
}

void Connection::processFrame(const FrameArrived &Received) {
  m_Context.m_In.count(*Received.m_Frame, Received.m_Bytes);
  if (m_Up)
    m_Context.m_Owner.connectionFrame(*this, *Received.m_Frame);
  else
    processHandshakeStep(m_Handshake.handleFrame(*Received.m_Frame));
}

void Connection::processHandshakeStep(const HandshakeStep &Step) {
  if (const auto *Rejection = std::get_if<Rejected>(&Step)) {
    fail(Rejection->m_Reason);
    return;
  }
  const auto *Done = std::get_if<HandshakeDone>(&Step);
  const auto &Reply = Done != nullptr
                          ? Done->m_Reply
                          : std::get<HandshakePending>(Step).m_Reply;
  if (Reply) {
    wire::FrameT Frame;
    Frame.proof = std::make_unique<wire::ProofT>(*Reply);
    send(Frame);
  }
  if (Done == nullptr || m_Socket == nullptr)
    return;
  m_Up = true;
  m_HandshakeTimer.stop();
  m_Reader.setMaxFrame(m_Context.m_Config.m_MaxFrameBytes);
  m_Peer = Done->m_Peer;
  fillPeerAddress();
  m_Context.m_Owner.connectionUp(*this);
}

/// A peer that listens on all interfaces can't state its address in its Hello;
/// the remote address of the connection is used instead.
void Connection::fillPeerAddress() {
  if (m_Peer.m_Address.m_Port == 0 || m_Peer.m_Address.m_Ip != 0)
    return;
  GSocketAddress *Remote = g_socket_get_remote_address(m_Socket, nullptr);
  if (Remote == nullptr)
    return;
  gchar *Text = g_inet_address_to_string(
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(Remote)));
  m_Peer.m_Address.m_Ip = parseAddress(std::string(Text) + ":1").m_Ip;
  g_free(Text);
  g_object_unref(Remote);
}

/// A peer behind a slow link gets the latest state instead of a queue of
/// earlier ones, which would grow for as long as the link is too slow.
void Connection::flush() {
  if (m_Up && queuedBytes() > m_Context.m_Config.m_HoldAboveBytes) {
    m_HoldsOutbox = true;
    return;
  }
  const wire::FrameT Frame = std::exchange(m_Outbox, wire::FrameT());
  if (m_Socket != nullptr && m_Up)
    send(Frame);
}

void Connection::send(const wire::FrameT &Frame) {
  const Bytes Encoded = appendFrame(Frame, m_SendQueue.buffer());
  m_Context.m_Out.count(*wire::GetFrame(Encoded.data()), Encoded);
  if (m_Up && Encoded.size() > m_Context.m_Config.m_MaxFrameBytes)
    fail(CloseReason::FrameTooLarge); // The peer would reject it.
  else if (m_SendQueue.unwritten().size() > m_Context.m_Config.m_MaxQueuedBytes)
    fail(CloseReason::Backlog);
  else if (!m_WriteBlocked)
    writeQueued();
}

void Connection::writeQueued() {
  while (!m_SendQueue.unwritten().empty()) {
    const Bytes Unwritten = m_SendQueue.unwritten();
    GError *Failure = nullptr;
    const gssize Count = g_socket_send(
        m_Socket, reinterpret_cast<const gchar *>(Unwritten.data()),
        Unwritten.size(), nullptr, &Failure);
    if (Count < 0 && wouldBlock(Failure)) {
      watchForWriting(true);
      return;
    }
    if (Count < 0) {
      fail(CloseReason::PeerClosed);
      return;
    }
    m_SendQueue.recordWritten(static_cast<std::size_t>(Count));
  }
  watchForWriting(false);
  if (std::exchange(m_HoldsOutbox, false))
    flush();
}

void Connection::watchForWriting(bool Blocked) {
  m_WriteBlocked = Blocked;
  m_SocketWatch->setEvents({.m_Read = m_Connected, .m_Write = m_WriteBlocked});
}

void Connection::close() {
  m_HandshakeTimer.stop();
  m_SocketWatch.reset();
  if (m_Socket == nullptr)
    return;
  g_socket_close(m_Socket, nullptr);
  g_object_unref(m_Socket);
  m_Socket = nullptr;
}

void Connection::fail(CloseReason Reason) {
  const auto KeepAlive = shared_from_this();
  close();
  m_Context.m_Owner.connectionFailed(*this, Reason);
}

} // namespace crowstep::link
