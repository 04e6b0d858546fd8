/// Why a request was refused or an attempt repeated, and what became of it.
///
/// Each reason is stable: it stands in answers, in counters of the same name
/// and in docs/OPERATIONS.md. New reasons are added at the end.
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
  SlowCaller,           ///< The request did not arrive within its limit.
  UnknownClass,         ///< No such row in the table in force.
  MissingKey,           ///< No Authorization header.
  UnknownKey,           ///< The key belongs to no workspace.
  UnknownPath,          ///< No such resource.
  KeyRequired,          ///< The class needs an Idempotency-Key.
  KeyReused,            ///< The idempotency key came with another body.
  KeyInProgress,        ///< The key's first call still runs.
  OutcomeUnknown,       ///< The key's first call has no known outcome.
  ClassConcurrency,     ///< The class's limit on running requests.
  ClassRate,            ///< The class's limit on requests a second.
  ClassTokens,          ///< The class's limit on tokens a second.
  QueueFull,            ///< The class's limit on waiting requests.
  WorkspaceConcurrency, ///< The workspace's limit on running requests.
  WorkspaceRate,        ///< The workspace's limit on requests a second.
  WorkspaceTokens,      ///< The workspace's limit on tokens a second.
  TargetUnreachable,    ///< The latency target can't be met any more.
  Displaced,            ///< Gave its queue place to a more urgent tier.
  NoUpstream,           ///< No upstream of the service can take it.
  NoDispatcher,         ///< No process decides for the pool just now.
  ClaimUnavailable,     ///< The claim can't be made: table service down.
  RetryBudget,          ///< The class's retry budget is used up.
  UpstreamFailed,       ///< The upstream failed; the answer is cut or absent.
  GrantExpired,         ///< The grant was too old at the last step.
  ShuttingDown,         ///< The instance is leaving.
  NotInForce,           ///< The instance has lost its right to serve.
  CallerGone,           ///< The caller closed its connection.
  AmbiguousFraming,     ///< Two readers could disagree about the body's end.
  MalformedHeader,      ///< A header that the router needs can't be read.
  TimedOut,             ///< The row's or the caller's time is over.
  UpstreamRefused,      ///< The upstream said that it did not run the call.
  Quarantined,          ///< It crashes the upstreams that run it.
  UpstreamLimited,      ///< The upstreams' own limits are used up.
  Count,                ///< Number of reasons; not a reason.
};

/// Why an attempt at an upstream was repeated.
enum class RetryReason : std::uint8_t {
  ConnectFailed,    ///< No connection: nothing was sent.
  UpstreamRefused,  ///< The upstream said that it did not run the call.
  UpstreamLeaving,  ///< The upstream is leaving.
  ClosedBeforeByte, ///< Closed before a byte of a repeatable call's answer.
  ClosedMidStream,  ///< Resumed from the tokens that the caller has.
  Preempted,        ///< Gave its slot to a more urgent tier.
  GrantExpired,     ///< The grant lapsed before it was used.
  DispatcherLost,   ///< The bid was sent again to a new dispatcher.
  Count,            ///< Number of reasons; not a reason.
};

/// What the caller may believe of its request.
enum class RunState : std::uint8_t {
  NotRun,  ///< Provably never reached an upstream.
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
