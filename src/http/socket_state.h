/// Socket ownership, and checks of a socket and of errors of socket calls.
#ifndef CROWSTEP_HTTP_SOCKET_STATE_H
#define CROWSTEP_HTTP_SOCKET_STATE_H

#include <gio/gio.h>
#include <memory>

namespace crowstep {

/// Deleter that drops the reference to a socket.
struct SocketDeleter {
  void operator()(GSocket *Socket) const { g_object_unref(Socket); }
};
using SocketPtr = std::unique_ptr<GSocket, SocketDeleter>;

/// Returns whether a call that failed with \p Error can be tried again later:
/// it would have blocked, or was interrupted.
bool wouldBlock(int Error);

/// Returns whether the peer has closed its sending side, or the connection has
/// failed.
bool isClosedByPeer(GSocket *Socket);

} // namespace crowstep

#endif // CROWSTEP_HTTP_SOCKET_STATE_H
