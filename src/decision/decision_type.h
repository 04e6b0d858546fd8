/// Events and actions: the whole interface of the Decider.
///
/// The Decider owns no socket, file, thread, clock or random source. Its driver
/// (a daemon, a test or a benchmark) passes in one event at a time together
/// with the current time, and carries out the returned actions.
#ifndef CROWSTEP_DECISION_DECISION_TYPE_H
#define CROWSTEP_DECISION_DECISION_TYPE_H

#include "contract_type.h"
#include "core/clock.h"
#include "refusal_type.h"
#include "upstream_type.h"
#include "workspace_type.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep::decision {

/// Identifies a request by the entry that holds it and a number of that entry.
struct RequestId {
  InstanceId m_Entry;         ///< The entry that the caller reached.
  std::uint64_t m_Number = 0; ///< Unique within one incarnation of the entry.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const RequestId &) const = default;
};

/// Hash of a prompt's prefix; identifies what an upstream's cache may hold.
using PrefixHash = std::uint64_t;

// ---- Events -----------------------------------------------------------------

/// The table in force changed. Running and waiting requests keep their places.
struct TableChanged {
  ContractTable m_Table; ///< Its version must not be lower than the last one.
};

/// The full list of the pool's upstreams; those missing from it are removed.
struct UpstreamsChanged {
  std::vector<Upstream> m_Upstreams; ///< Of this pool only.
};

/// A request asks for a slot. Idempotent: bid again with the same id, a waiting
/// request keeps its place and a granted one is granted again.
struct Bid {
  RequestId m_Request;              ///< Requesting id.
  ClassId m_Class;                  ///< Row of the table.
  WorkspaceId m_Workspace;          ///< For fairness and limits.
  std::uint32_t m_PromptTokens = 0; ///< Estimated from the prompt's length.
  std::uint32_t m_MaxTokens = 0;    ///< Longest output requested.
  std::uint32_t m_DoneTokens = 0; ///< Tokens that the caller already received.
  /// Hashes of prefixes, the shortest first.
  std::vector<PrefixHash> m_Prefixes;
  AvailabilityZone m_Zone;           ///< Zone of the entry.
  Duration m_UntilTarget{};          ///< Time left for the first token.
  Duration m_UntilLimit{};           ///< Time left for the longest wait.
  bool m_IsRetry = false;            ///< Counts against the retry budget.
  std::optional<UpstreamId> m_Avoid; ///< Upstream that just failed it.
};

/// A waiting or granted request no longer needs its place: the caller is gone.
struct BidWithdrawn {
  RequestId m_Request; ///< Unknown ones are ignored.
};

/// Reports to a new owner a request that a previous owner granted.
struct WorkRunning {
  Bid m_Bid;                  ///< As first sent.
  UpstreamId m_Upstream;      ///< Where it runs.
  std::uint32_t m_Tokens = 0; ///< Generated so far.
};

/// The first token of a granted request arrived at the entry.
struct FirstToken {
  RequestId m_Request;  ///< A granted request.
  Duration m_Latency{}; ///< From the grant to the token.
};

/// How granted work ended.
enum class WorkEnd : std::uint8_t {
  Finished,         ///< Whole answer.
  Cancelled,        ///< The caller went away; the engine was notified.
  Failed,           ///< The upstream failed or closed early.
  ConnectFailed,    ///< No connection to the upstream; nothing was sent.
  UpstreamRefused,  ///< It answered that it did not run the call.
  UpstreamDraining, ///< It answered that it is draining.
  Unused,           ///< The grant was not used: expired, or the claim failed.
  Preempted,        ///< Stopped by a Preempt action.
};

/// Granted work ended and its slot is free.
struct WorkEnded {
  RequestId m_Request;   ///< A granted request; unknown ones are ignored.
  UpstreamId m_Upstream; ///< Where it ran.
  WorkEnd m_End = WorkEnd::Finished; ///< Cause of the end.
  std::uint32_t m_Tokens = 0;        ///< Generated in this attempt.
  Duration m_Elapsed{};              ///< From the grant to the end.
};

/// An upstream's own report of its load; may be late and out of order.
struct LoadReport {
  UpstreamId m_Upstream; ///< Reporting upstream.
  /// Increases with each report of one incarnation.
  std::uint64_t m_Sequence = 0;
  Duration m_Age{};                    ///< Least age of the report.
  std::uint32_t m_Running = 0;         ///< Sequences in its batch.
  std::uint32_t m_Waiting = 0;         ///< Sequences in its own queue.
  std::uint32_t m_FreeCacheBlocks = 0; ///< Free blocks of the prefix cache.
  bool m_Draining = false;             ///< It takes no new work.
};

/// An engine's cache added or evicted a prefix; late, and some may be lost.
struct CacheEvent {
  UpstreamId m_Upstream;        ///< Owner of the cache.
  std::uint64_t m_Sequence = 0; ///< A jump means that events were lost.
  PrefixHash m_Prefix = 0;      ///< Prefix concerned.
  bool m_Added = true;          ///< False: evicted.
};

/// An entry is gone: its waiting bids are dropped and its running work ends.
struct EntryLost {
  InstanceId m_Entry; ///< Removed from the membership.
};

/// Operators (or the platform) drain an upstream, or end its draining.
struct UpstreamDrained {
  UpstreamId m_Upstream; ///< Unknown ones are ignored.
  bool m_Drained = true; ///< False: it may get work again.
};

/// The time returned by Decider::nextDeadline() was reached.
struct Tick {};

using Event = std::variant<TableChanged, UpstreamsChanged, Bid, BidWithdrawn,
                           WorkRunning, FirstToken, WorkEnded, LoadReport,
                           CacheEvent, EntryLost, UpstreamDrained, Tick>;

// ---- Actions ----------------------------------------------------------------

/// The request may be sent to the upstream until the grant expires.
struct Grant {
  RequestId m_Request;   ///< Granted bid.
  UpstreamId m_Upstream; ///< Where to send it.
  /// If unused for this long, the request must bid again.
  Duration m_ValidFor{};
  std::uint8_t m_Priority = 0; ///< For the engine; 0 is the most urgent.
};

/// The request is refused; this answer is final.
struct Refuse {
  RequestId m_Request;                          ///< Refused bid.
  RefusalReason m_Reason = RefusalReason::None; ///< Never None.
  Duration m_RetryAfter{}; ///< When a retry can succeed; 0: never.
};

/// Running work must stop; its entry bids again, stating the tokens received.
struct Preempt {
  RequestId m_Request;   ///< A granted request.
  UpstreamId m_Upstream; ///< Where it runs.
};

/// An upstream was ejected as a straggler, or restored.
struct EjectionChanged {
  UpstreamId m_Upstream;  ///< Upstream concerned.
  bool m_Ejected = false; ///< True: it gets probes only.
};

using Action = std::variant<Grant, Refuse, Preempt, EjectionChanged>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECISION_TYPE_H
