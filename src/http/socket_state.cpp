/// Checks of a socket and of errors of socket calls.
#include "http/socket_state.h"

#include <cerrno>
#include <poll.h>

namespace crowstep {

bool wouldBlock(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR;
}

bool isClosedByPeer(GSocket *Socket) {
  pollfd Descriptor = {g_socket_get_fd(Socket), POLLRDHUP, 0};
  return poll(&Descriptor, 1, 0) > 0;
}

} // namespace crowstep
