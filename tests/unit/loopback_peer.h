/// Plain TCP peers for tests, which act as callers and upstreams.
#ifndef CROWSTEP_TESTS_UNIT_LOOPBACK_PEER_H
#define CROWSTEP_TESTS_UNIT_LOOPBACK_PEER_H

#include "instance_type.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <glib.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace crowstep::test {

/// Runs the main loop until \p Predicate holds, for at most 10 s.
template <typename Condition> bool pumpUntil(Condition Predicate) {
  const gint64 End = g_get_monotonic_time() + gint64(10) * G_USEC_PER_SEC;
  while (!Predicate()) {
    if (g_get_monotonic_time() > End)
      return false;
    if (g_main_context_iteration(nullptr, 0) == 0)
      g_usleep(200);
  }
  return true;
}

/// Runs the main loop for \p Span.
inline void pumpFor(std::chrono::milliseconds Span) {
  const gint64 End = g_get_monotonic_time() + Span.count() * 1000;
  while (g_get_monotonic_time() < End)
    if (g_main_context_iteration(nullptr, 0) == 0)
      g_usleep(200);
}

/// Lets the kernel reset the connection when it is closed.
inline void resetOnClose(int Fd) {
  const linger Reset = {1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

/// One end of a TCP connection that is read without blocking.
class Peer {
public:
  explicit Peer(int Fd) : m_Fd(Fd) { fcntl(m_Fd, F_SETFL, O_NONBLOCK); }
  ~Peer() { close(); }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;

  /// Connects with a receive buffer of \p ReceiveBuffer bytes, and with the
  /// segments of an Ethernet link, by which the sender's kernel sizes its own
  /// buffer; 0: as the loopback link has them.
  static std::unique_ptr<Peer> connect(const Address &Server,
                                       int ReceiveBuffer = 0) {
    const int Fd = socket(AF_INET, SOCK_STREAM, 0);
    if (ReceiveBuffer > 0) {
      constexpr int EthernetSegment = 1448;
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
      setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &EthernetSegment,
                 sizeof(EthernetSegment));
    }
    sockaddr_in Remote{};
    Remote.sin_family = AF_INET;
    Remote.sin_port = htons(Server.m_Port);
    Remote.sin_addr.s_addr = htonl(Server.m_Ip);
    (void)::connect(Fd, reinterpret_cast<sockaddr *>(&Remote), sizeof(Remote));
    return std::make_unique<Peer>(Fd);
  }

  /// Reads available bytes; returns all bytes received so far.
  const std::string &received() {
    char Buffer[65536];
    while (m_Fd >= 0) {
      const ssize_t Size = recv(m_Fd, Buffer, sizeof(Buffer), 0);
      if (Size > 0)
        m_Received.append(Buffer, static_cast<std::size_t>(Size));
      else if (Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      else
        m_Closed = true;
      m_Reset = m_Reset || (m_Closed && Size < 0);
      if (m_Closed)
        break;
    }
    return m_Received;
  }
  bool isClosed() {
    received();
    return m_Closed;
  }
  /// Returns whether the other end closed with a reset.
  bool wasReset() {
    received();
    return m_Reset;
  }
  void send(const std::string &Text) {
    for (std::size_t Sent = 0; Sent < Text.size();) {
      const ssize_t Size =
          ::send(m_Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
      if (Size < 0 && errno != EAGAIN)
        return;
      if (Size < 0)
        g_main_context_iteration(nullptr, 0);
      else
        Sent += static_cast<std::size_t>(Size);
    }
  }
  void close() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }
  /// Closes with a reset.
  void reset() {
    resetOnClose(m_Fd);
    close();
  }
  /// Closes in order, or else with a reset.
  void end(bool WithReset) {
    if (WithReset)
      reset();
    else
      close();
  }
  [[nodiscard]] int fd() const { return m_Fd; }
  [[nodiscard]] bool hasReceived(const std::string &Text) {
    return received().find(Text) != std::string::npos;
  }

private:
  int m_Fd;
  bool m_Closed = false;
  bool m_Reset = false;
  std::string m_Received;
};

/// Returns a socket that listens on a free port of loopback, and its address.
inline std::pair<int, Address> listenOnLoopback(int Backlog = 64) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(Fd, reinterpret_cast<sockaddr *>(&Local), sizeof(Local));
  listen(Fd, Backlog);
  socklen_t Size = sizeof(Local);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Local), &Size);
  return {Fd, {INADDR_LOOPBACK, ntohs(Local.sin_port)}};
}

/// A listening socket with which a test acts as an upstream.
class FakeUpstream {
public:
  FakeUpstream() {
    std::tie(m_Fd, m_Address) = listenOnLoopback();
    fcntl(m_Fd, F_SETFL, O_NONBLOCK);
  }
  ~FakeUpstream() { stopListening(); }
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  /// Waits for the next connection and a complete request on it; returns null
  /// if no connection is made.
  Peer *waitForRequest() {
    const std::size_t Before = m_Peers.size();
    pumpUntil([&] { return acceptPending() > Before; });
    if (m_Peers.size() == Before)
      return nullptr;
    Peer *NewPeer = m_Peers[Before].get();
    pumpUntil([&] {
      return isWholeRequest(NewPeer->received()) || NewPeer->isClosed();
    });
    return NewPeer;
  }
  /// Accepts a pending connection, if any; returns the number of connections so
  /// far.
  std::size_t acceptPending() {
    const int Fd = ::accept(m_Fd, nullptr, nullptr);
    if (Fd >= 0)
      m_Peers.push_back(std::make_unique<Peer>(Fd));
    return m_Peers.size();
  }
  Peer &peer(std::size_t Index) { return *m_Peers.at(Index); }
  void stopListening() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }
  /// Makes the kernel drop the SYN of further connections.
  void dropNewConnections() {
    listen(m_Fd, 0);
    // The accept queue holds one connection more than the backlog.
    m_QueueFiller = Peer::connect(m_Address);
  }
  static bool isWholeRequest(const std::string &Text) {
    const std::size_t Head = Text.find("\r\n\r\n");
    const std::size_t Length = Text.find("Content-Length: ");
    return Head != std::string::npos && Length != std::string::npos &&
           Text.size() >= Head + 4 + std::stoul(Text.substr(Length + 16));
  }

  Address m_Address;

private:
  int m_Fd;
  std::vector<std::unique_ptr<Peer>> m_Peers;
  std::unique_ptr<Peer> m_QueueFiller; ///< See dropNewConnections().
};

} // namespace crowstep::test

#endif // CROWSTEP_TESTS_UNIT_LOOPBACK_PEER_H
