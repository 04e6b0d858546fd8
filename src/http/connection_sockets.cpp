/// The sockets of libsoup's connections.
#include "http/connection_sockets.h"

#include <poll.h>
#include <sys/socket.h>

namespace crowstep {

bool closedByPeer(GSocket *Socket) {
  pollfd Asked = {g_socket_get_fd(Socket), POLLRDHUP, 0};
  return poll(&Asked, 1, 0) > 0;
}

std::string waitingBytes(GSocket *Socket, std::size_t Most) {
  std::string Result(Most, '\0');
  const ssize_t Size = recv(g_socket_get_fd(Socket), Result.data(), Most,
                            MSG_PEEK | MSG_DONTWAIT);
  const bool Whole = Size > 0 && static_cast<std::size_t>(Size) < Most;
  Result.resize(Whole ? static_cast<std::size_t>(Size) : 0);
  return Result;
}

void ConnectionSockets::add(const Key &Connection, GSocket *Socket) {
  std::erase_if(m_Sockets, [](const auto &Each) {
    return g_socket_is_closed(Each.second.get()) != 0;
  });
  m_Sockets[Connection].reset(G_SOCKET(g_object_ref(Socket)));
}

SocketPtr ConnectionSockets::find(const Key &Connection) const {
  const auto Found = m_Sockets.find(Connection);
  if (Found == m_Sockets.end())
    return nullptr;
  return SocketPtr(G_SOCKET(g_object_ref(Found->second.get())));
}

} // namespace crowstep
