/// Connections to upstreams, and those that are kept between two calls.
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

/// What a read has brought.
enum class ReadOutcome : std::uint8_t {
  Bytes,   ///< Some.
  Nothing, ///< None yet.
  Closed,  ///< The peer has closed the connection in order.
  Failed,  ///< The connection is broken.
};

/// Whether a connection came to stand.
enum class ConnectOutcome : std::uint8_t {
  Stands,  ///< It does.
  Refused, ///< The machine is there, and nobody listens.
  Failed,  ///< For any other reason.
};

/// One TCP connection; destroying it closes it.
class UpstreamConnection {
public:
  /// Begins to connect to \p Where; the outcome if that fails at once. The
  /// connection becomes writable once it stands or has failed.
  static std::variant<std::unique_ptr<UpstreamConnection>, ConnectOutcome>
  open(const Address &Upstream, SocketListener &Listener);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  /// Returns whether the connection stands, asked once it is writable.
  [[nodiscard]] ConnectOutcome connected();

  /// Writes what the socket takes now; returns how much, or nothing if the
  /// connection is broken.
  std::optional<std::size_t> write(std::string_view Bytes);

  /// Reads what is there into a buffer that all connections share; \p Bytes is
  /// valid until the next read.
  ReadOutcome read(std::string_view &Bytes);

  /// Returns whether the peer is still there and has sent nothing unasked.
  [[nodiscard]] bool quiet();

  [[nodiscard]] SocketWatch &watch() { return m_Watch; }

private:
  UpstreamConnection(SocketPtr Socket, SocketListener &Listener);
  [[nodiscard]] int descriptor() const;

  SocketPtr m_Socket;  ///< Never null.
  SocketWatch m_Watch; ///< For m_Socket.
};

/// Connections without a call, by upstream.
class IdleConnections {
public:
  IdleConnections(const Clock &Time, Scheduler &Timers)
      : m_Clock(Time), m_ExpiryTimer(Timers) {}
  IdleConnections(const IdleConnections &) = delete;
  IdleConnections &operator=(const IdleConnections &) = delete;

  /// Keeps a connection until a call takes it, its peer closes it or sends
  /// anything, or it has been idle for too long.
  void keep(const Address &Upstream,
            std::unique_ptr<UpstreamConnection> Connection);

  /// Returns the connection to \p Where that was used last, or null.
  std::unique_ptr<UpstreamConnection> take(const Address &Upstream,
                                           SocketListener &Listener);

private:
  /// One idle connection.
  struct IdleConnection final : SocketListener {
    void socketReady(SocketEvents) override { m_Pool->remove(*this); }

    IdleConnections *m_Pool = nullptr;                ///< Never null.
    Address m_Address;                                ///< Of the upstream.
    TimePoint m_ExpiresAt;                            ///< Closed then.
    std::unique_ptr<UpstreamConnection> m_Connection; ///< Never null.
  };

  void remove(const IdleConnection &Closed);
  void closeExpired();

  const Clock &m_Clock; ///< Outlives this object.
  Timer m_ExpiryTimer;  ///< Runs while any are kept.
  /// By upstream, none empty, each in the order of m_Until.
  std::map<Address, std::vector<std::unique_ptr<IdleConnection>>> m_ByUpstream;
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_UPSTREAM_CONNECTION_H
