/// TCP relay with injected faults.
#include "process/relay.h"

#include "core/error.h"
#include "process/process.h"

#include <array>
#include <cerrno>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace crowstep::test {

/// One direction of a connection. Reads one chunk at a time: the next read
/// starts once the chunk has been written.
struct Relay::Pipe {
  /// What the direction waits for.
  enum class State : std::uint8_t {
    Connecting, ///< The target's side to be connected.
    Reading,    ///< Bytes.
    Delayed,    ///< The end of the chunk's delay.
    Held,       ///< The end of a silence or cut.
    Writing,    ///< Room in the other socket.
  };

  bool m_IsToTarget = true;           ///< Direction of the bytes.
  State m_State = State::Connecting;  ///< See State.
  std::array<char, 16384> m_Buffer{}; ///< Current chunk.
  std::size_t m_Size = 0;             ///< Of the chunk, in bytes.
  std::size_t m_Written = 0;          ///< Part of the chunk.
};

/// A socket of a connection, which is watched and closed with it.
struct Relay::Side final : SocketListener {
  Side(int Socket, Connection &Owner)
      : m_Socket(Socket), m_Owner(Owner), m_Watch(Socket, *this) {}
  ~Side() override {
    m_Watch.setEvents({});
    close(m_Socket);
  }
  Side(const Side &) = delete;
  Side &operator=(const Side &) = delete;
  void socketReady(SocketEvents Events) override;

  int m_Socket;        ///< Owned.
  Connection &m_Owner; ///< Outlives it.
  SocketWatch m_Watch; ///< Of m_Socket.
};

struct Relay::Connection : std::enable_shared_from_this<Connection> {
  Connection(Relay &Owner, int Inbound, int Outbound, std::uint32_t ClientIp)
      : m_Owner(Owner), m_Inbound(std::make_unique<Side>(Inbound, *this)),
        m_Outbound(std::make_unique<Side>(Outbound, *this)),
        m_ClientIp(ClientIp) {
    for (Pipe *Direction : {&m_ToTarget, &m_ToClient})
      Direction->m_IsToTarget = Direction == &m_ToTarget;
  }

  [[nodiscard]] bool isOpen() const { return m_Inbound != nullptr; }

  void close() {
    m_Inbound = nullptr;
    m_Outbound = nullptr;
  }

  [[nodiscard]] int source(const Pipe &Direction) const {
    return (Direction.m_IsToTarget ? m_Inbound : m_Outbound)->m_Socket;
  }
  [[nodiscard]] int target(const Pipe &Direction) const {
    return (Direction.m_IsToTarget ? m_Outbound : m_Inbound)->m_Socket;
  }

  /// Watches the sockets for what the two directions wait for.
  void updateWatches() {
    if (!isOpen())
      return;
    using State = Pipe::State;
    const auto EventsFor = [](const Pipe &From, const Pipe &To) {
      return SocketEvents{From.m_State == State::Reading,
                          To.m_State == State::Writing, false};
    };
    m_Inbound->m_Watch.setEvents(EventsFor(m_ToTarget, m_ToClient));
    SocketEvents Outbound = EventsFor(m_ToClient, m_ToTarget);
    Outbound.m_Write |= m_ToTarget.m_State == State::Connecting;
    m_Outbound->m_Watch.setEvents(Outbound);
  }

  /// Handles events of \p From.
  void handleReady(const Side &From, SocketEvents Events) {
    // A side is destroyed when the connection is closed.
    const std::shared_ptr<Connection> Self = shared_from_this();
    Pipe &Incoming = &From == m_Inbound.get() ? m_ToTarget : m_ToClient;
    Pipe &Outgoing = &From == m_Inbound.get() ? m_ToClient : m_ToTarget;
    if (Outgoing.m_State == Pipe::State::Connecting)
      finishConnect();
    else if (Events.m_Write && Outgoing.m_State == Pipe::State::Writing)
      m_Owner.write(*this, Outgoing);
    if (isOpen() && Events.m_Read && Incoming.m_State == Pipe::State::Reading)
      m_Owner.read(*this, Incoming);
    updateWatches();
  }

  void finishConnect() {
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    getsockopt(m_Outbound->m_Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size);
    if (Failure != 0) {
      close();
      return;
    }
    m_ToTarget.m_State = Pipe::State::Reading;
    m_ToClient.m_State = Pipe::State::Reading;
  }

  Relay &m_Owner;                   ///< Valid while the connection is open.
  std::unique_ptr<Side> m_Inbound;  ///< From the client; null once closed.
  std::unique_ptr<Side> m_Outbound; ///< To the target; null once closed.
  std::uint32_t m_ClientIp;         ///< Of m_Inbound's peer.
  Pipe m_ToTarget;                  ///< From m_Inbound.
  Pipe m_ToClient;                  ///< From m_Outbound.
};

void Relay::Side::socketReady(SocketEvents Events) {
  m_Owner.handleReady(*this, Events);
}

namespace {

/// The default of GLib is 10. A fleet connects to an upstream all at once, and
/// the kernel drops what exceeds the backlog.
constexpr int ListenBacklog = 1024;

sockaddr_in nativeAddress(const Address &Where) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Where.m_Port);
  Result.sin_addr.s_addr = htonl(Where.m_Ip);
  return Result;
}

int makeSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int listenAt(const Address &Where) {
  const int Result = makeSocket();
  const int Enabled = 1;
  setsockopt(Result, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  const sockaddr_in Local = nativeAddress(Where);
  if (bind(Result, reinterpret_cast<const sockaddr *>(&Local), sizeof(Local)) !=
          0 ||
      listen(Result, ListenBacklog) != 0)
    throw Error("a relay can't listen at " + toString(Where));
  return Result;
}

} // namespace

Relay::Relay(const Address &Target, std::uint32_t ListenIp)
    : m_Target(Target), m_ListenAddress{ListenIp == 0 ? Target.m_Ip : ListenIp,
                                        freePort()},
      m_ListenSocket(listenAt(m_ListenAddress)),
      m_ListenWatch(m_ListenSocket, *this) {
  m_ListenWatch.setEvents({true, false, false});
}

Relay::~Relay() {
  block();
  m_ListenWatch.setEvents({});
  close(m_ListenSocket);
}

void Relay::socketReady(SocketEvents) {
  std::erase_if(m_Connections, [](const std::shared_ptr<Connection> &Known) {
    return !Known->isOpen();
  });
  sockaddr_in Client{};
  socklen_t Size = sizeof(Client);
  int Accepted = -1;
  while (
      (Accepted = accept4(m_ListenSocket, reinterpret_cast<sockaddr *>(&Client),
                          &Size, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    if (m_Blocked)
      close(Accepted);
    else
      forwardConnection(Accepted, ntohl(Client.sin_addr.s_addr));
}

/// Targets run in this process too: waiting here for one whose backlog is full
/// would keep it from accepting.
void Relay::forwardConnection(int Accepted, std::uint32_t ClientIp) {
  const int Outbound = makeSocket();
  const sockaddr_in Remote = nativeAddress(m_Target);
  if (connect(Outbound, reinterpret_cast<const sockaddr *>(&Remote),
              sizeof(Remote)) != 0 &&
      errno != EINPROGRESS) {
    close(Outbound);
    close(Accepted);
    return;
  }
  filterPackets(Accepted);
  m_Connections.push_back(
      std::make_shared<Connection>(*this, Accepted, Outbound, ClientIp));
  const std::shared_ptr<Connection> &Added = m_Connections.back();
  Added->updateWatches();
}

void Relay::read(Connection &From, Pipe &Direction) {
  const ssize_t Size = recv(From.source(Direction), Direction.m_Buffer.data(),
                            Direction.m_Buffer.size(), MSG_DONTWAIT);
  if (Size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Size <= 0) {
    From.close();
    return;
  }
  Direction.m_Size = static_cast<std::size_t>(Size);
  Direction.m_Written = 0;
  if (m_Delay == Duration::zero()) {
    forward(From, Direction);
    return;
  }
  Direction.m_State = Pipe::State::Delayed;
  struct Delayed {
    std::shared_ptr<Connection> m_Connection;
    Pipe &m_Direction;
  };
  const auto OnTimer = +[](gpointer Data) -> gboolean {
    const std::unique_ptr<Delayed> Owned(static_cast<Delayed *>(Data));
    Connection &Current = *Owned->m_Connection;
    // The relay closes its connections before it is destroyed, so m_Owner is
    // valid while the connection is open.
    if (Current.isOpen())
      Current.m_Owner.forward(Current, Owned->m_Direction);
    Current.updateWatches();
    return G_SOURCE_REMOVE;
  };
  const auto Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(m_Delay).count();
  g_timeout_add(static_cast<guint>(Milliseconds), OnTimer,
                new Delayed{From.shared_from_this(), Direction});
}

/// Forwards or holds back a chunk that was read.
void Relay::forward(Connection &From, Pipe &Direction) {
  if (isHeldBack(From, Direction))
    Direction.m_State = Pipe::State::Held;
  else
    write(From, Direction);
}

void Relay::write(Connection &From, Pipe &Direction) {
  const ssize_t Size = send(
      From.target(Direction), Direction.m_Buffer.data() + Direction.m_Written,
      Direction.m_Size - Direction.m_Written, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Size < 0 && errno != EAGAIN && errno != EINTR) {
    From.close();
    return;
  }
  Direction.m_Written += Size > 0 ? static_cast<std::size_t>(Size) : 0;
  Direction.m_State = Direction.m_Written == Direction.m_Size
                          ? Pipe::State::Reading
                          : Pipe::State::Writing;
}

bool Relay::isHeldBack(const Connection &From, const Pipe &Direction) const {
  return m_Silence == Silence::Both ||
         (m_Silence == Silence::ToTarget && Direction.m_IsToTarget) ||
         m_CutClients.contains(From.m_ClientIp);
}

void Relay::setSilence(Silence Mode) {
  m_Silence = Mode;
  forwardHeldPipes();
}

void Relay::setCutClients(const std::set<std::uint32_t> &Ips) {
  if (Ips == m_CutClients)
    return;
  m_CutClients = Ips;
  filterPackets(m_ListenSocket);
  for (const std::shared_ptr<Connection> &Open : m_Connections)
    if (Open->isOpen())
      filterPackets(Open->m_Inbound->m_Socket);
  forwardHeldPipes();
}

/// Lets the kernel drop the packets of cut clients before it answers them.
void Relay::filterPackets(int Socket) const {
  constexpr std::uint32_t SourceOffset = 12; // Within the IP header.
  constexpr std::uint32_t WholePacket = 0xffffffff;
  std::vector<sock_filter> Program = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
               static_cast<std::uint32_t>(SKF_NET_OFF) + SourceOffset)};
  for (const std::uint32_t Ip : m_CutClients) {
    Program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Ip, 0, 1));
    Program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  }
  Program.push_back(BPF_STMT(BPF_RET | BPF_K, WholePacket));
  const sock_fprog Filter = {static_cast<unsigned short>(Program.size()),
                             Program.data()};
  setsockopt(Socket, SOL_SOCKET, SO_ATTACH_FILTER, &Filter, sizeof(Filter));
}

void Relay::forwardHeldPipes() {
  for (const std::shared_ptr<Connection> &Known : m_Connections) {
    for (Pipe *Direction : {&Known->m_ToTarget, &Known->m_ToClient})
      if (Known->isOpen() && Direction->m_State == Pipe::State::Held)
        forward(*Known, *Direction);
    Known->updateWatches();
  }
}

void Relay::reset() {
  for (const std::shared_ptr<Connection> &Open : m_Connections)
    Open->close();
  m_Connections.clear();
}

void Relay::block() {
  m_Blocked = true;
  reset();
}

void Relay::unblock() { m_Blocked = false; }

} // namespace crowstep::test
