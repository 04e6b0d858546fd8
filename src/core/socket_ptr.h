/// Ownership of a GLib socket.
#ifndef CROWSTEP_CORE_SOCKET_PTR_H
#define CROWSTEP_CORE_SOCKET_PTR_H

#include <gio/gio.h>
#include <memory>

namespace crowstep {

/// Deleter that drops the reference to a socket.
struct SocketDeleter {
  void operator()(GSocket *Socket) const { g_object_unref(Socket); }
};
using SocketPtr = std::unique_ptr<GSocket, SocketDeleter>;

} // namespace crowstep

#endif // CROWSTEP_CORE_SOCKET_PTR_H
