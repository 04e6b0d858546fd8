/// TCP keep-alive options of a socket.
#include "core/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace crowstep {

namespace {

constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;

/// Bounds the time without an acknowledgement. It also decides when keep-alive
/// gives up, whatever the count of probes, so the two must agree.
constexpr int UserTimeoutMilliseconds = 3000;
static_assert(1000 * (ProbeAfterSeconds + ProbeCount * ProbeIntervalSeconds) ==
              UserTimeoutMilliseconds);

} // namespace

void enableKeepAlive(GSocket *Socket) {
  g_socket_set_keepalive(Socket, 1);
  // If an option is rejected, the kernel's default applies: slower detection.
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      UserTimeoutMilliseconds, nullptr);
}

} // namespace crowstep
