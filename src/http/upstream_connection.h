/// Connections to upstreams, and a pool of idle ones.
#ifndef CROWSTEP_HTTP_UPSTREAM_CONNECTION_H
#define CROWSTEP_HTTP_UPSTREAM_CONNECTION_H

#include "core/scheduler.h"
#include "core/socket_watch.h"
#include "http/socket_state.h"
#include "instance_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace crowstep {

/// Result of a read.
enum class ReadOutcome : std::uint8_t {
  Bytes,      ///< Bytes were read.
  WouldBlock, ///< No bytes yet.
  Closed,     ///< The peer has ended its side in order, not by a reset.
  Failed,     ///< The connection has failed; stays so for all later reads.
};

/// Result of a connection attempt.
enum class ConnectOutcome : std::uint8_t {
  Connected, ///< Established, or still in progress.
  Refused,   ///< The machine is up, but nothing listens on the port.
  Failed,    ///< Any other failure.
};

/// One TCP connection; destroying it closes it.
class UpstreamConnection {
public:
  /// Starts to connect to \p Upstream from \p Source, or from any address if it
  /// is none; returns the outcome if that fails at once. The socket becomes
  /// writable once the attempt has succeeded or failed.
  static std::variant<std::unique_ptr<UpstreamConnection>, ConnectOutcome>
  open(const Address &Upstream, const Address &Source,
       SocketListener &Listener);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  /// Returns the result of the attempt; called once the socket is writable.
  [[nodiscard]] ConnectOutcome connectOutcome();

  /// Writes what the socket accepts without blocking; returns the number of
  /// bytes, or nullopt if the peer accepts no more. What it sent before can
  /// still be read.
  std::optional<std::size_t> write(std::string_view Bytes);

  /// Reads available bytes into a buffer that all connections share; \p Bytes
  /// is valid until the next read on any connection.
  ReadOutcome read(std::string_view &Bytes);

  /// Returns whether the connection is open and has no unread bytes.
  [[nodiscard]] bool isIdle();

  /// Returns whether bytes that were written have not been acknowledged by the
  /// peer's machine. A peer that is reachable acknowledges them within a round
  /// trip, also if its process is busy.
  [[nodiscard]] bool hasUnacknowledgedBytes() const;

  /// Makes the destructor reset the connection: bytes that are still held up
  /// on the way are then not delivered any more.
  void resetOnClose();

  [[nodiscard]] SocketWatch &watch() { return m_Watch; }

  /// The process at the other end, once it has been checked; 0: unknown.
  [[nodiscard]] std::uint64_t process() const { return m_Process; }
  void setProcess(std::uint64_t Process) { m_Process = Process; }

private:
  UpstreamConnection(SocketPtr Socket, SocketListener &Listener);
  [[nodiscard]] int descriptor() const;
  void recordError(int Error);

  SocketPtr m_Socket;          ///< Never null.
  SocketWatch m_Watch;         ///< For m_Socket.
  bool m_HasFailed = false;    ///< Failed before the peer's end; never reset.
  std::uint64_t m_Process = 0; ///< See process().
};

/// Pool of connections without a call, by upstream.
class IdleConnections {
public:
  IdleConnections(const Clock &Time, Scheduler &Timers)
      : m_Clock(Time), m_ExpiryTimer(Timers) {}
  IdleConnections(const IdleConnections &) = delete;
  IdleConnections &operator=(const IdleConnections &) = delete;

  /// Keeps a connection until a call takes it, its peer closes it or sends
  /// bytes, or its idle timeout ends.
  void add(const Address &Upstream,
           std::unique_ptr<UpstreamConnection> Connection);

  /// Returns the most recently used connection to \p Upstream, or null.
  std::unique_ptr<UpstreamConnection> take(const Address &Upstream,
                                           SocketListener &Listener);

  /// Closes the connections to \p Upstream.
  void close(const Address &Upstream) { m_ByUpstream.erase(Upstream); }

private:
  /// One idle connection.
  struct IdleConnection final : SocketListener {
    void socketReady(SocketEvents) override { m_Pool->remove(*this); }

    IdleConnections *m_Pool = nullptr; ///< Never null.
    Address m_Address;                 ///< Of the upstream.
    TimePoint m_ExpiresAt;             ///< Time at which it is closed.
    std::unique_ptr<UpstreamConnection> m_Connection; ///< Never null.
  };

  void remove(const IdleConnection &Closed);
  void closeExpired();

  const Clock &m_Clock; ///< Outlives this object.
  Timer m_ExpiryTimer;  ///< Runs while the pool is not empty.
  /// No list is empty; each is in the order of m_ExpiresAt.
  std::map<Address, std::vector<std::unique_ptr<IdleConnection>>> m_ByUpstream;
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_UPSTREAM_CONNECTION_H
