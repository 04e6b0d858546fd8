/// Connections to upstreams over GIO's sockets.
#include "http/upstream_connection.h"

#include "http/keep_alive.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crowstep {

namespace {

constexpr std::size_t ReadSize = 16384;

/// Upstreams close an idle connection after about ten seconds; one that is
/// given up before is never found closed by a call.
constexpr Duration IdleLimit = std::chrono::seconds(8);

GSocketAddress *socketAddress(const Address &Where) {
  sockaddr_in Native{};
  Native.sin_family = AF_INET;
  Native.sin_port = htons(Where.m_Port);
  Native.sin_addr.s_addr = htonl(Where.m_Ip);
  return g_socket_address_new_from_native(&Native, sizeof(Native));
}

/// Returns what became of a connection, and frees \p Failure.
ConnectOutcome outcomeOf(GError *Failure) {
  if (Failure == nullptr)
    return ConnectOutcome::Stands;
  const bool Refused =
      g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != 0;
  g_error_free(Failure);
  return Refused ? ConnectOutcome::Refused : ConnectOutcome::Failed;
}

/// Returns Stands where the socket is connecting or connected.
ConnectOutcome beginConnecting(GSocket *Socket, const Address &Where) {
  GSocketAddress *Target = socketAddress(Where);
  GError *Failure = nullptr;
  g_socket_connect(Socket, Target, nullptr, &Failure);
  g_object_unref(Target);
  if (g_error_matches(Failure, G_IO_ERROR, G_IO_ERROR_PENDING) != 0)
    g_clear_error(&Failure);
  return outcomeOf(Failure);
}

} // namespace

std::variant<std::unique_ptr<UpstreamConnection>, ConnectOutcome>
UpstreamConnection::open(const Address &Where, SocketListener &Listener) {
  SocketPtr Socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, nullptr));
  if (Socket == nullptr) // Out of descriptors.
    return ConnectOutcome::Failed;
  g_socket_set_blocking(Socket.get(), 0);
  g_socket_set_option(Socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  probeConnection(Socket.get());
  if (const ConnectOutcome Begun = beginConnecting(Socket.get(), Where);
      Begun != ConnectOutcome::Stands)
    return Begun;
  return std::unique_ptr<UpstreamConnection>(
      new UpstreamConnection(std::move(Socket), Listener));
}

UpstreamConnection::UpstreamConnection(SocketPtr Socket,
                                       SocketListener &Listener)
    : m_Socket(std::move(Socket)), m_Watch(descriptor(), Listener) {}

UpstreamConnection::~UpstreamConnection() {
  m_Watch.watchFor({});
  g_socket_close(m_Socket.get(), nullptr);
}

int UpstreamConnection::descriptor() const {
  return g_socket_get_fd(m_Socket.get());
}

ConnectOutcome UpstreamConnection::connected() {
  GError *Failure = nullptr;
  g_socket_check_connect_result(m_Socket.get(), &Failure);
  return outcomeOf(Failure);
}

std::optional<std::size_t> UpstreamConnection::write(std::string_view Bytes) {
  const ssize_t Size = send(descriptor(), Bytes.data(), Bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Size >= 0)
    return static_cast<std::size_t>(Size);
  return wouldBlock(errno) ? std::optional<std::size_t>(0) : std::nullopt;
}

ReadOutcome UpstreamConnection::read(std::string_view &Bytes) {
  static std::array<char, ReadSize> Buffer;
  const ssize_t Size =
      recv(descriptor(), Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Size < 0)
    return wouldBlock(errno) ? ReadOutcome::Nothing : ReadOutcome::Failed;
  if (Size == 0)
    return ReadOutcome::Closed;
  Bytes = {Buffer.data(), static_cast<std::size_t>(Size)};
  return ReadOutcome::Bytes;
}

bool UpstreamConnection::quiet() {
  char Byte = 0;
  return recv(descriptor(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         wouldBlock(errno);
}

void IdleConnections::keep(const Address &Where,
                           std::unique_ptr<UpstreamConnection> Connection) {
  auto Fresh = std::make_unique<Idle>();
  Fresh->m_Owner = this;
  Fresh->m_Where = Where;
  Fresh->m_Until = m_Clock.now() + IdleLimit;
  Fresh->m_Connection = std::move(Connection);
  Fresh->m_Connection->watch().setListener(*Fresh);
  Fresh->m_Connection->watch().watchFor({.m_Read = true});
  m_Idle[Where].push_back(std::move(Fresh));
  if (!m_Expiry.running())
    m_Expiry.start(IdleLimit, [this] { closeExpired(); });
}

std::unique_ptr<UpstreamConnection>
IdleConnections::take(const Address &Where, SocketListener &Listener) {
  const auto Found = m_Idle.find(Where);
  if (Found == m_Idle.end())
    return nullptr;
  auto &Kept = Found->second;
  std::unique_ptr<UpstreamConnection> Result;
  while (Result == nullptr && !Kept.empty()) {
    Result = std::move(Kept.back()->m_Connection);
    Kept.pop_back();
    // The loop may not have seen yet that the peer has closed it.
    if (!Result->quiet())
      Result.reset();
  }
  if (Kept.empty())
    m_Idle.erase(Found);
  if (Result != nullptr)
    Result->watch().setListener(Listener);
  return Result;
}

void IdleConnections::drop(const Idle &Which) {
  const auto Found = m_Idle.find(Which.m_Where);
  std::erase_if(Found->second,
                [&](const auto &Each) { return Each.get() == &Which; });
  if (Found->second.empty())
    m_Idle.erase(Found);
}

void IdleConnections::closeExpired() {
  const TimePoint Now = m_Clock.now();
  std::optional<TimePoint> Next;
  for (auto Each = m_Idle.begin(); Each != m_Idle.end();) {
    auto &Kept = Each->second;
    std::erase_if(Kept, [&](const auto &One) { return One->m_Until <= Now; });
    if (Kept.empty()) {
      Each = m_Idle.erase(Each);
      continue;
    }
    const TimePoint First = Kept.front()->m_Until;
    Next = Next ? std::min(*Next, First) : First;
    ++Each;
  }
  if (Next)
    m_Expiry.start(*Next - Now, [this] { closeExpired(); });
}

} // namespace crowstep
