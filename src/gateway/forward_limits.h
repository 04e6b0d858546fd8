/// Limits of one forwarded request.
#ifndef CROWSTEP_GATEWAY_FORWARD_LIMITS_H
#define CROWSTEP_GATEWAY_FORWARD_LIMITS_H

#include "core/clock.h"

namespace crowstep::gateway {

/// A connection within a region is established in a few milliseconds; where it
/// takes this long, the machine is unreachable or its accept queue is full.
inline constexpr Duration ConnectTimeout = std::chrono::milliseconds(350);

/// Further upstreams that are tried after failed connections. Nothing was sent,
/// so these use up neither the route's attempts nor the retry budget.
inline constexpr unsigned MaxUnsentAttempts = 3;

/// With less time left than this, another upstream could not answer.
inline constexpr Duration MinTimeToRetry = std::chrono::milliseconds(30);

/// Retry-After of a call that found no room: about the time in which an engine
/// ends one of its calls.
inline constexpr Duration BusyRetryAfter = std::chrono::milliseconds(250);

/// A call waits for room at an engine for at most two fifths of its latency
/// target: reading takes the rest, and calls that wait longer are late.
inline constexpr int MaxWaitNumerator = 2;
inline constexpr int MaxWaitDenominator = 5;

/// Retry-After of a call that found no room within that time: in about this
/// time an engine of 16 slots has ended a third of its calls.
inline constexpr Duration QueueRetryAfter = std::chrono::milliseconds(500);

/// An upstream that has sent no byte on any call for this long may have hung.
/// Healthy ones are silent for a second at times, and a call that is repeated
/// then runs twice.
inline constexpr Duration UpstreamSilenceLimit =
    std::chrono::milliseconds(1500);

/// The same where the upstream's machine has not acknowledged the request: one
/// that is up acknowledges within milliseconds, whatever its processes do.
inline constexpr Duration UnacknowledgedSilenceLimit =
    std::chrono::milliseconds(900);

/// A caller takes up a stream within this time after the end of its last
/// attempt.
inline constexpr Duration TimeBetweenAttempts = std::chrono::seconds(30);

/// An event that is longer than this fails its call: events are held until they
/// are complete, and an upstream that never ends one would use up the memory.
inline constexpr std::size_t MaxEventBytes = 1 << 20;

/// A resumed stream of unknown origin waits this long for calls to the store.
/// In this time a lost answer is followed by another call, as is the call of an
/// earlier request.
inline constexpr Duration ConfirmTimeout = std::chrono::seconds(1);

/// Limit on the body of an answer that is no stream: it is collected whole, and
/// an upstream that never ends one would use up the memory.
inline constexpr std::size_t MaxPlainAnswerBytes = 4 << 20;

/// Interval at which a call at a silent upstream asks the retry budget again.
inline constexpr Duration BudgetCheckInterval = std::chrono::milliseconds(250);

} // namespace crowstep::gateway

#endif // CROWSTEP_GATEWAY_FORWARD_LIMITS_H
