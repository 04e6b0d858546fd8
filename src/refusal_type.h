/// Reasons for refusals and retries, and the state of a refused request.
///
/// Each reason is stable: it is part of answers, of counters of the same name
/// and of docs/OPERATIONS.md. New reasons are added at the end.
#ifndef CROWSTEP_REFUSAL_TYPE_H
#define CROWSTEP_REFUSAL_TYPE_H

#include <cstdint>
#include <string_view>

namespace crowstep {

/// Why a caller's request was refused.
enum class RefusalReason : std::uint8_t {
  None,                 ///< Not refused.
  MalformedBody,        ///< Not JSON, not UTF-8, or a field is missing.
  WrongContentType,     ///< Anything but application/json.
  BodyTooLarge,         ///< Over the entry's limit.
  HeaderTooLarge,       ///< A header over the entry's limit.
  SlowCaller,           ///< The request did not arrive in time.
  UnknownClass,         ///< No such row in the table in force.
  MissingKey,           ///< No Authorization header.
  UnknownKey,           ///< The key belongs to no workspace.
  UnknownPath,          ///< No such resource.
  KeyRequired,          ///< The class needs an Idempotency-Key.
  KeyReused,            ///< The key was used with another body.
  KeyInProgress,        ///< The key's first call is still running.
  OutcomeUnknown,       ///< The outcome of the key's first call is unknown.
  ClassConcurrency,     ///< The class's limit on running requests.
  ClassRate,            ///< The class's limit on requests a second.
  ClassTokens,          ///< The class's limit on tokens a second.
  QueueFull,            ///< The class's limit on waiting requests.
  WorkspaceConcurrency, ///< The workspace's limit on running requests.
  WorkspaceRate,        ///< The workspace's limit on requests a second.
  WorkspaceTokens,      ///< The workspace's limit on tokens a second.
  TargetUnreachable,    ///< The latency target can't be met any more.
  Displaced,            ///< Displaced from the queue by a more urgent tier.
  NoUpstream,           ///< No upstream of the service can take it.
  NoDispatcher,         ///< No dispatcher decides for the pool now.
  ClaimUnavailable,     ///< No claim possible: table service is down.
  RetryBudget,          ///< The class's retry budget is exhausted.
  UpstreamFailed,       ///< The upstream failed; the answer is cut or missing.
  GrantExpired,         ///< The grant had expired at the last step.
  ShuttingDown,         ///< The instance is draining.
  NotInForce,           ///< The instance has lost its right to serve.
  CallerGone,           ///< The caller closed its connection.
  AmbiguousFraming,     ///< Parsers could disagree on where the body ends.
  MalformedHeader,      ///< A header that the router needs can't be parsed.
  TimedOut,             ///< The row's or the caller's time limit is over.
  UpstreamRefused,      ///< The upstream stated that it did not run the call.
  Quarantined,          ///< The request crashes the upstreams that run it.
  UpstreamLimited,      ///< The upstreams' own rate limits are used up.
  UpstreamPaused,       ///< The upstreams have requested a pause.
  UpstreamBrittle,      ///< The upstreams must not be made to reject calls.
  SoftwareGone,         ///< No upstream has the version that began the stream.
  OriginUnknown,        ///< Which version began the stream is not known.
  SegmentQuarantined,   ///< A segment of the prompt crashes the upstreams.
  NoMemory,             ///< Requests have used up their memory.
  InternalError,        ///< An exception; the connection was closed.
  Count,                ///< Number of reasons; not a reason.
};

/// Why a request was sent again.
enum class RetryReason : std::uint8_t {
  ConnectFailed,    ///< No connection; nothing was sent.
  UpstreamRefused,  ///< The upstream stated that it did not run the call.
  UpstreamDraining, ///< The upstream is draining.
  ClosedBeforeByte, ///< Closed before any byte of the answer to a
                    ///< repeatable call.
  ClosedMidStream,  ///< Resumed after the tokens that the caller has.
  Preempted,        ///< Its slot was given to a more urgent tier.
  GrantExpired,     ///< The grant expired before it was used.
  DispatcherLost,   ///< The bid was sent again to a new dispatcher.
  PathLost,         ///< The path to the upstream was lost under a repeatable
                    ///< call, or the instance that carried it.
  Count,            ///< Number of reasons; not a reason.
};

/// Whether a request was run, as stated to its caller.
enum class RunState : std::uint8_t {
  NotRun,  ///< Certainly never reached an upstream.
  Ran,     ///< Reached an upstream and was answered.
  Unknown, ///< May have run.
};

/// Returns the stable name in answers and counters, such as "queue_full".
std::string_view nameOf(RefusalReason Reason);
std::string_view nameOf(RetryReason Reason);

/// Returns "not-run", "run" or "unknown".
std::string_view nameOf(RunState State);

/// Returns the HTTP status of an answer with this reason.
unsigned httpStatusOf(RefusalReason Reason);

} // namespace crowstep

#endif // CROWSTEP_REFUSAL_TYPE_H
