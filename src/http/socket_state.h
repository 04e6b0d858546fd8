/// Checks of a socket and of errors of socket calls.
#ifndef CROWSTEP_HTTP_SOCKET_STATE_H
#define CROWSTEP_HTTP_SOCKET_STATE_H

#include "core/socket_ptr.h"

namespace crowstep {

/// Returns whether a call that failed with \p Error can be tried again later:
/// it would have blocked, or was interrupted.
bool wouldBlock(int Error);

/// Returns whether the peer has closed its sending side, or the connection has
/// failed.
bool isClosedByPeer(GSocket *Socket);

} // namespace crowstep

#endif // CROWSTEP_HTTP_SOCKET_STATE_H
