/// Connections to upstreams over GIO's sockets.
#include "http/upstream_connection.h"

#include "core/keep_alive.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace crowstep {

namespace {

constexpr std::size_t ReadSize = 16384;

/// Upstreams close an idle connection after about ten seconds. The router
/// closes it earlier, so that a call does not pick a connection being closed.
constexpr Duration IdleTimeout = std::chrono::seconds(8);

GSocketAddress *socketAddress(const Address &Upstream) {
  sockaddr_in Native{};
  Native.sin_family = AF_INET;
  Native.sin_port = htons(Upstream.m_Port);
  Native.sin_addr.s_addr = htonl(Upstream.m_Ip);
  return g_socket_address_new_from_native(&Native, sizeof(Native));
}

/// Returns the outcome for \p Failure, which may be null, and frees it.
ConnectOutcome outcomeOf(GError *Failure) {
  if (Failure == nullptr)
    return ConnectOutcome::Connected;
  const bool Refused =
      g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != 0;
  g_error_free(Failure);
  return Refused ? ConnectOutcome::Refused : ConnectOutcome::Failed;
}

/// Binds the socket to \p Source; the port is chosen when it connects.
bool bindTo(GSocket *Socket, const Address &Source) {
  g_socket_set_option(Socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1, nullptr);
  GSocketAddress *Local = socketAddress(Source);
  const bool Bound = g_socket_bind(Socket, Local, 0, nullptr) != 0;
  g_object_unref(Local);
  return Bound;
}

/// Returns Connected if the socket is connected or still connecting.
ConnectOutcome beginConnecting(GSocket *Socket, const Address &Upstream) {
  GSocketAddress *Target = socketAddress(Upstream);
  GError *Failure = nullptr;
  g_socket_connect(Socket, Target, nullptr, &Failure);
  g_object_unref(Target);
  if (g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_PENDING) != 0)
    g_clear_error(&Failure);
  return outcomeOf(Failure);
}

} // namespace

std::variant<std::unique_ptr<UpstreamConnection>, ConnectOutcome>
UpstreamConnection::open(const Address &Upstream, const Address &Source,
                         SocketListener &Listener) {
  SocketPtr Socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, nullptr));
  if (Socket == nullptr) // Out of file descriptors.
    return ConnectOutcome::Failed;
  g_socket_set_blocking(Socket.get(), 0);
  g_socket_set_option(Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  enableKeepAlive(Socket.get());
  if (Source.m_Ip != 0 && !bindTo(Socket.get(), Source))
    return ConnectOutcome::Failed;
  if (const ConnectOutcome Outcome = beginConnecting(Socket.get(), Upstream);
      Outcome != ConnectOutcome::Connected)
    return Outcome;
  return std::unique_ptr<UpstreamConnection>(
      new UpstreamConnection(std::move(Socket), Listener));
}

UpstreamConnection::UpstreamConnection(SocketPtr Socket,
                                       SocketListener &Listener)
    : m_Socket(std::move(Socket)), m_Watch(descriptor(), Listener) {}

UpstreamConnection::~UpstreamConnection() {
  m_Watch.setEvents({});
  g_socket_close(m_Socket.get(), nullptr);
}

int UpstreamConnection::descriptor() const {
  return g_socket_get_fd(m_Socket.get());
}

ConnectOutcome UpstreamConnection::connectOutcome() {
  GError *Failure = nullptr;
  g_socket_check_connect_result(m_Socket.get(), &Failure);
  return outcomeOf(Failure);
}

std::optional<std::size_t> UpstreamConnection::write(std::string_view Bytes) {
  const ssize_t Size = send(descriptor(), Bytes.data(), Bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Size >= 0)
    return static_cast<std::size_t>(Size);
  if (wouldBlock(errno))
    return 0;
  recordError(errno);
  return std::nullopt;
}

/// The kernel reports an error of the connection to one call only; reads after
/// it look like an end in order. After such an end, a reset is reported as
/// EPIPE: the peer has sent all of its answer and refuses the rest of the
/// request.
void UpstreamConnection::recordError(int Error) {
  m_HasFailed = m_HasFailed || Error != EPIPE;
}

ReadOutcome UpstreamConnection::read(std::string_view &Bytes) {
  static std::array<char, ReadSize> Buffer;
  const ssize_t Size =
      recv(descriptor(), Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Size < 0 && wouldBlock(errno))
    return ReadOutcome::WouldBlock;
  if (Size < 0)
    recordError(errno);
  if (Size <= 0)
    return m_HasFailed ? ReadOutcome::Failed : ReadOutcome::Closed;
  Bytes = {Buffer.data(), static_cast<std::size_t>(Size)};
  return ReadOutcome::Bytes;
}

bool UpstreamConnection::isIdle() {
  char Byte = 0;
  return recv(descriptor(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         wouldBlock(errno);
}

bool UpstreamConnection::hasUnacknowledgedBytes() const {
  int Bytes = 0;
  return ioctl(descriptor(), SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

void UpstreamConnection::resetOnClose() {
  const linger Reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

void IdleConnections::add(const Address &Upstream,
                          std::unique_ptr<UpstreamConnection> Connection) {
  auto Entry = std::make_unique<IdleConnection>();
  Entry->m_Pool = this;
  Entry->m_Address = Upstream;
  Entry->m_ExpiresAt = m_Clock.now() + IdleTimeout;
  Entry->m_Connection = std::move(Connection);
  Entry->m_Connection->watch().setListener(*Entry);
  Entry->m_Connection->watch().setEvents({.m_Read = true});
  m_ByUpstream[Upstream].push_back(std::move(Entry));
  if (!m_ExpiryTimer.isRunning())
    m_ExpiryTimer.start(IdleTimeout, [this] { closeExpired(); });
}

std::unique_ptr<UpstreamConnection>
IdleConnections::take(const Address &Upstream, SocketListener &Listener) {
  const auto Found = m_ByUpstream.find(Upstream);
  if (Found == m_ByUpstream.end())
    return nullptr;
  auto &Entries = Found->second;
  std::unique_ptr<UpstreamConnection> Result;
  while (Result == nullptr && !Entries.empty()) {
    Result = std::move(Entries.back()->m_Connection);
    Entries.pop_back();
    // The event loop may not have reported yet that the peer has closed it.
    if (!Result->isIdle())
      Result.reset();
  }
  if (Entries.empty())
    m_ByUpstream.erase(Found);
  if (Result != nullptr)
    Result->watch().setListener(Listener);
  return Result;
}

void IdleConnections::remove(const IdleConnection &Closed) {
  const auto Found = m_ByUpstream.find(Closed.m_Address);
  std::erase_if(Found->second,
                [&](const auto &Entry) { return Entry.get() == &Closed; });
  if (Found->second.empty())
    m_ByUpstream.erase(Found);
}

void IdleConnections::closeExpired() {
  const TimePoint Now = m_Clock.now();
  std::optional<TimePoint> Next;
  for (auto Iter = m_ByUpstream.begin(); Iter != m_ByUpstream.end();) {
    auto &Entries = Iter->second;
    std::erase_if(Entries,
                  [&](const auto &Entry) { return Entry->m_ExpiresAt <= Now; });
    if (Entries.empty()) {
      Iter = m_ByUpstream.erase(Iter);
      continue;
    }
    const TimePoint First = Entries.front()->m_ExpiresAt;
    Next = Next ? std::min(*Next, First) : First;
    ++Iter;
  }
  if (Next)
    m_ExpiryTimer.start(*Next - Now, [this] { closeExpired(); });
}

} // namespace crowstep
