/// Waits for sockets, all of them behind one GLib source.
///
/// GLib visits every source in every iteration of its loop. With a source a
/// socket an iteration costs as much as there are connections, however few of
/// them have something to say; epoll costs as much as there are ready ones.
#ifndef CROWSTEP_CORE_SOCKET_WATCH_H
#define CROWSTEP_CORE_SOCKET_WATCH_H

#include <cstdint>

namespace crowstep {

/// Conditions of a socket; closed and failed ones are always reported.
struct SocketEvents {
  bool m_Read = false;   ///< There are bytes to read, or the end of them.
  bool m_Write = false;  ///< There is room for bytes.
  bool m_HungUp = false; ///< The peer has closed its sending side, or all.

  bool operator==(const SocketEvents &) const = default;
};

/// Hears of one socket.
class SocketListener {
public:
  virtual ~SocketListener() = default;

  /// The conditions hold at present; called again while they do. The watch may
  /// be destroyed from within.
  virtual void socketReady(SocketEvents Events) = 0;
};

/// A socket that is watched from the default main context.
class SocketWatch {
public:
  /// Watches for nothing yet. \p Listener outlives the watch, or is replaced.
  SocketWatch(int Socket, SocketListener &Listener);
  ~SocketWatch();
  SocketWatch(const SocketWatch &) = delete;
  SocketWatch &operator=(const SocketWatch &) = delete;

  /// Watches for \p What in place of what was watched for before. A watch for
  /// nothing doesn't report failures either.
  void watchFor(SocketEvents Events);

  /// Replaces the listener.
  void setListener(SocketListener &Listener) { m_Listener = &Listener; }

private:
  friend class SocketPoller;

  int m_Socket;               ///< Not owned; may be closed before the watch.
  SocketListener *m_Listener; ///< Never null.
  std::uint64_t m_Id = 0;     ///< At the poller; 0: not registered.
  SocketEvents m_Events;      ///< As registered.
};

} // namespace crowstep

#endif // CROWSTEP_CORE_SOCKET_WATCH_H
