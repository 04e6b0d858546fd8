/// Events and actions of the deciding library: its whole narrow interface.
///
/// The library owns no socket, file, thread, clock or random source. Whoever
/// drives it (a daemon, a property test, a bench) hands in one typed event
/// with the time and carries out the typed actions that come back.
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

/// Names a request: the entry that holds it and that entry's own number.
struct RequestId {
  InstanceId m_Entry;         ///< The entry that the caller reached.
  std::uint64_t m_Number = 0; ///< Unique within one start of that entry.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const RequestId &) const = default;
};

/// How much of a prompt's prefix an upstream may hold; hints only.
using PrefixHash = std::uint64_t;

// ---- Events -----------------------------------------------------------------

/// The table in force changed. Running and waiting work keeps its place.
struct TableChanged {
  ContractTable m_Table; ///< Version must not be lower than the last one.
};

/// The upstreams of the pool, whole; one that is missing has gone.
struct UpstreamsChanged {
  std::vector<Upstream> m_Upstreams; ///< Of this pool only.
};

/// A request asks for a slot. Sent again with the same id it is idempotent: a
/// waiting request keeps its place and a granted one is granted again.
struct Bid {
  RequestId m_Request;                ///< Who asks.
  ClassId m_Class;                    ///< Row of the table.
  WorkspaceId m_Workspace;            ///< For fairness and limits.
  std::uint32_t m_PromptTokens = 0;   ///< Estimated from the prompt's length.
  std::uint32_t m_MaxTokens = 0;      ///< Longest output asked for.
  std::uint32_t m_DoneTokens = 0;     ///< Tokens that the caller already has.
  std::vector<PrefixHash> m_Prefixes; ///< Hashes of growing prompt prefixes.
  AvailabilityZone m_Zone;            ///< Zone of the entry.
  Duration m_UntilTarget{};           ///< Left of the first token's target.
  Duration m_UntilLimit{};            ///< Left of the longest wait.
  bool m_IsRetry = false;             ///< Counts against the class's budget.
  std::optional<UpstreamId> m_Avoid;  ///< Upstream that just failed it.
};

/// A waiting or granted request no longer needs its place (caller gone).
struct BidWithdrawn {
  RequestId m_Request; ///< Unknown ones are ignored.
};

/// A new owner hears of work that an earlier owner granted.
struct WorkRunning {
  Bid m_Bid;                  ///< As it was first sent.
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
  Finished,        ///< Whole answer.
  Cancelled,       ///< The caller went away; the engine was told.
  Failed,          ///< The upstream failed or closed early.
  ConnectFailed,   ///< No connection to the upstream; nothing was sent.
  UpstreamRefused, ///< It said that it did not run the call.
  UpstreamLeaving, ///< It said that it is leaving.
  Unused,          ///< The grant was not used (expired, claim lost).
  Preempted,       ///< Stopped on our order.
};

/// Granted work ended and its slot is free.
struct WorkEnded {
  RequestId m_Request;   ///< A granted request; unknown ones are ignored.
  UpstreamId m_Upstream; ///< Where it ran.
  WorkEnd m_End = WorkEnd::Finished; ///< How.
  std::uint32_t m_Tokens = 0;        ///< Really generated in this attempt.
  Duration m_Elapsed{};              ///< From the grant to the end.
};

/// An upstream's own account of its load; late, and possibly out of order.
struct LoadReport {
  UpstreamId m_Upstream;               ///< Who reports.
  std::uint64_t m_Sequence = 0;        ///< Grows with each report of one start.
  Duration m_Age{};                    ///< Time since it was true, at least.
  std::uint32_t m_Running = 0;         ///< Sequences in its batch.
  std::uint32_t m_Waiting = 0;         ///< Sequences in its own queue.
  std::uint32_t m_FreeCacheBlocks = 0; ///< Room for prefixes.
  bool m_Leaving = false;              ///< It takes no new work.
};

/// An engine's cache gained or lost a prefix; late and with gaps.
struct CacheEvent {
  UpstreamId m_Upstream;        ///< Whose cache.
  std::uint64_t m_Sequence = 0; ///< A jump means that events were lost.
  PrefixHash m_Prefix = 0;      ///< Which prefix.
  bool m_Added = true;          ///< False: evicted.
};

/// An entry is gone: its waiting bids are dropped, its running work ends.
struct EntryLost {
  InstanceId m_Entry; ///< Removed from the membership.
};

/// Operators (or the platform) drain an upstream, or take that back.
struct UpstreamDrained {
  UpstreamId m_Upstream; ///< Unknown ones are ignored.
  bool m_Drained = true; ///< False: it may get work again.
};

/// The time given by Decider::nextDeadline() has come.
struct Tick {};

using Event = std::variant<TableChanged, UpstreamsChanged, Bid, BidWithdrawn,
                           WorkRunning, FirstToken, WorkEnded, LoadReport,
                           CacheEvent, EntryLost, UpstreamDrained, Tick>;

// ---- Actions ----------------------------------------------------------------

/// The request may be sent to the upstream before the grant lapses.
struct Grant {
  RequestId m_Request;         ///< Which bid.
  UpstreamId m_Upstream;       ///< Where to send it.
  Duration m_ValidFor{};       ///< Unused after this long it must be bid again.
  std::uint8_t m_Priority = 0; ///< For the engine; 0 is the most urgent.
};

/// The request is refused for good, at once.
struct Refuse {
  RequestId m_Request;                          ///< Which bid.
  RefusalReason m_Reason = RefusalReason::None; ///< Never None.
  Duration m_RetryAfter{}; ///< When coming back can help; 0: it can't.
};

/// Running work must stop; its entry bids again with the tokens it has.
struct Preempt {
  RequestId m_Request;   ///< A granted request.
  UpstreamId m_Upstream; ///< Where it runs.
};

/// An upstream was judged a straggler, or is back.
struct EjectionChanged {
  UpstreamId m_Upstream;  ///< Whose state changed.
  bool m_Ejected = false; ///< True: gets probes only.
};

using Action = std::variant<Grant, Refuse, Preempt, EjectionChanged>;

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_DECISION_TYPE_H
