/// Detection of dead connections by TCP keep-alive.
#ifndef CROWSTEP_CORE_KEEP_ALIVE_H
#define CROWSTEP_CORE_KEEP_ALIVE_H

#include <gio/gio.h>

namespace crowstep {

/// Enables TCP keep-alive probes on a connection.
///
/// During a network partition, or after a middlebox has dropped its state of
/// the connection, no bytes and no close arrive. Without probes a long poll of
/// the store would wait until its timeout and miss all updates meanwhile, and a
/// link to a machine that has lost power would stay up.
/// Probes start after one second of silence; two of them, one second apart,
/// detect the failure within three seconds, less than any bound on the delay of
/// updates.
void enableKeepAlive(GSocket *Socket);

} // namespace crowstep

#endif // CROWSTEP_CORE_KEEP_ALIVE_H
