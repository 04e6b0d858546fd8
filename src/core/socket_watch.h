/// Watches sockets, all of them through one GLib source.
///
/// GLib visits every source in each iteration of its loop. With one source per
/// socket the cost of an iteration grows with the number of connections; with
/// epoll it grows with the number of those that are ready.
#ifndef CROWSTEP_CORE_SOCKET_WATCH_H
#define CROWSTEP_CORE_SOCKET_WATCH_H

#include <cstdint>

namespace crowstep {

/// Conditions of a socket. An error or a hang-up of both sides is reported as
/// all of them, whichever are watched.
struct SocketEvents {
  bool m_Read = false;  ///< Readable: bytes or the end of the stream.
  bool m_Write = false; ///< Writable.
  bool m_HungUp =
      false; ///< The peer closed its sending side or the connection.

  bool operator==(const SocketEvents &) const = default;
};

/// Receives the events of one socket.
class SocketListener {
public:
  virtual ~SocketListener() = default;

  /// The conditions in \p Events hold; called again as long as they do. May
  /// destroy the watch.
  virtual void socketReady(SocketEvents Events) = 0;
};

/// Watches one socket from the default main context.
class SocketWatch {
public:
  /// Watches no events yet. \p Listener must outlive the watch or be replaced.
  SocketWatch(int Socket, SocketListener &Listener);
  ~SocketWatch();
  SocketWatch(const SocketWatch &) = delete;
  SocketWatch &operator=(const SocketWatch &) = delete;

  /// Replaces the events that are watched. Without any, errors and hang-ups are
  /// not reported either.
  void setEvents(SocketEvents Events);

  /// Replaces the listener.
  void setListener(SocketListener &Listener) { m_Listener = &Listener; }

private:
  friend class SocketPoller;

  int m_Socket; ///< Not owned; may be closed before the watch ends.
  SocketListener *m_Listener; ///< Never null.
  std::uint64_t m_Id = 0;     ///< In the poller; 0 if not registered.
  SocketEvents m_Events;      ///< Registered with the poller.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_SOCKET_WATCH_H
