/// What can be asked of a connected socket and of the failure of a call to it.
#ifndef CROWSTEP_HTTP_SOCKET_STATE_H
#define CROWSTEP_HTTP_SOCKET_STATE_H

#include <gio/gio.h>
#include <memory>

namespace crowstep {

/// Gives back the reference to a socket.
struct SocketRelease {
  void operator()(GSocket *Socket) const { g_object_unref(Socket); }
};
using SocketPtr = std::unique_ptr<GSocket, SocketRelease>;

/// Returns whether a call failed with \p Error only because it would have to
/// wait.
bool wouldBlock(int Error);

/// Returns whether the peer has closed its sending side.
bool closedByPeer(GSocket *Socket);

} // namespace crowstep

#endif // CROWSTEP_HTTP_SOCKET_STATE_H
