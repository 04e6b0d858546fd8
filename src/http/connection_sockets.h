/// The sockets of libsoup's connections, which a message does not tell.
#ifndef CROWSTEP_HTTP_CONNECTION_SOCKETS_H
#define CROWSTEP_HTTP_CONNECTION_SOCKETS_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace crowstep {

/// Gives back the reference to a socket.
struct SocketRelease {
  void operator()(GSocket *Socket) const { g_object_unref(Socket); }
};
using SocketPtr = std::unique_ptr<GSocket, SocketRelease>;

/// Returns whether the peer has closed its sending side.
bool closedByPeer(GSocket *Socket);

/// Returns the bytes that wait to be read on a connection, and leaves them
/// there; empty if there are none, or more than \p Most.
std::string waitingBytes(GSocket *Socket, std::size_t Most);

class ConnectionSockets {
public:
  /// A connection: its session and its number there.
  using Key = std::pair<SoupSession *, guint64>;

  /// Remembers a fresh connection, and forgets those that are closed.
  void add(const Key &Connection, GSocket *Socket);

  /// Returns the socket of a connection that was added, or null.
  [[nodiscard]] SocketPtr find(const Key &Connection) const;

private:
  std::map<Key, SocketPtr> m_Sockets; ///< Open ones, and some closed ones.
};

} // namespace crowstep

#endif // CROWSTEP_HTTP_CONNECTION_SOCKETS_H
