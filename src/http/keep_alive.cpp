/// Keep-alive probes of connections.
#include "http/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace crowstep {

namespace {

constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;
constexpr int UnacknowledgedMilliseconds = 3000;

void onNetworkEvent(SoupMessage *, GSocketClientEvent Event, GIOStream *Stream,
                    gpointer) {
  if (Event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(Stream))
    probeConnection(
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(Stream)));
}

} // namespace

void probeConnection(GSocket *Socket) {
  g_socket_set_keepalive(Socket, 1);
  // A refused option leaves the kernel's default, which only takes longer.
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      UnacknowledgedMilliseconds, nullptr);
}

void probeConnectionOf(SoupMessage *Message) {
  g_signal_connect(Message, "network-event", G_CALLBACK(onNetworkEvent),
                   nullptr);
}

} // namespace crowstep
