/// Limits of one forwarded request.
#ifndef CROWSTEP_GATEWAY_FORWARD_LIMITS_H
#define CROWSTEP_GATEWAY_FORWARD_LIMITS_H

#include "core/clock.h"

namespace crowstep::gateway {

/// A connection within a region stands in a few milliseconds; one that takes
/// this long meets a machine that is dark or has no room for connections.
inline constexpr Duration ConnectLimit = std::chrono::milliseconds(350);

/// Upstreams that are looked for after connections that failed; nothing was
/// sent, so neither the route's attempts nor the retry budget are drawn on.
inline constexpr unsigned MaxMisses = 3;

/// With less time left than this, another upstream could not answer.
inline constexpr Duration LeastTimeToRetry = std::chrono::milliseconds(30);

/// A caller whose call found no room comes back after this: about the time in
/// which an engine ends one of its calls.
inline constexpr Duration BusyRetryAfter = std::chrono::milliseconds(250);

/// A call waits for room at an engine for two fifths of its target; reading
/// takes the rest, and calls that wait longer are late.
inline constexpr int MostWaitParts = 2;
inline constexpr int MostWaitDivisor = 5;

/// A caller that waited for room in vain comes back after this: in about this
/// time an engine of 16 slots has ended a third of its calls.
inline constexpr Duration RoomRetryAfter = std::chrono::milliseconds(500);

/// An upstream from which no byte has come on any call for this long may be
/// dark; a loaded one tells something on one of its calls.
inline constexpr Duration SignOfLife = std::chrono::milliseconds(900);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FORWARD_LIMITS_H
