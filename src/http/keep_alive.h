/// Finding out that a connection leads nowhere.
#ifndef CROWSTEP_HTTP_KEEP_ALIVE_H
#define CROWSTEP_HTTP_KEEP_ALIVE_H

#include <gio/gio.h>

namespace crowstep {

/// Lets the kernel probe a connection.
///
/// Failure: behind a partition, or on a connection that a middlebox forgot,
/// nothing comes back and nothing is closed; a call that waits for news of the
/// store would wait for the rest of its limit and miss all changes until then.
/// Probes after a second of silence, two of them a second apart, end it within
/// three seconds, which is less than any bound on how late changes may be.
void probeConnection(GSocket *Socket);

} // namespace crowstep

#endif // CROWSTEP_HTTP_KEEP_ALIVE_H
