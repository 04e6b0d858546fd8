/// What can be asked of a connected socket.
#include "http/socket_state.h"

#include <poll.h>

namespace crowstep {

bool closedByPeer(GSocket *Socket) {
  pollfd Asked = {g_socket_get_fd(Socket), POLLRDHUP, 0};
  return poll(&Asked, 1, 0) > 0;
}

} // namespace crowstep
