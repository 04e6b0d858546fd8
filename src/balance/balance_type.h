/// Plain types of placement decisions, which each gateway makes on its own.
#ifndef CROWSTEP_BALANCE_BALANCE_TYPE_H
#define CROWSTEP_BALANCE_BALANCE_TYPE_H

#include "core/clock.h"
#include "prompt_type.h"
#include "quarantine/crash_suspect.h"
#include "refusal_type.h"
#include "upstream_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep {

/// An upstream's own report of its load, sent with an answer.
struct LoadReport {
  std::uint32_t m_Running = 0; ///< Calls in progress.
  std::uint32_t m_Waiting = 0; ///< Calls in its queue.
  std::uint32_t m_Slots = 0;   ///< Calls that it can run at once.

  /// Time that work takes on its machine now, in percent of the usual time;
  /// none: not stated.
  std::optional<std::uint32_t> m_MachinePace;
};

namespace balance {

/// Identifies a call from its placement to its end.
using TicketId = StrongId<struct TicketTag, std::uint64_t>;

/// Urgency of a call at an engine; 0 goes first.
using Urgency = std::uint8_t;

/// Number of urgency levels that engines distinguish.
inline constexpr std::size_t UrgencyCount = 10;

/// A call for which an upstream is to be chosen.
struct PlacementQuery {
  std::string m_Service;      ///< Service that is called.
  Urgency m_Urgency = 0;      ///< Below UrgencyCount.
  PromptInfo m_Prompt;        ///< Empty for plain calls.
  Duration m_LatencyTarget{}; ///< Latency target of the call.
  Duration m_MaxPause{};      ///< Between events that are in time; 0: any.
  std::vector<UpstreamId> m_Excluded; ///< Already tried.

  /// Only upstreams with this version may be chosen. None: any; unknown: no
  /// upstream matches.
  std::optional<SoftwareVersion> m_RequiredSoftware;

  /// Of crashes; null: not known. Must outlive the placement.
  const quarantine::CallSuspects *m_Suspects = nullptr;

  /// Longest predicted wait for prefill at an engine; none: by the latency
  /// target.
  std::optional<Duration> m_WaitLimit;

  /// With m_MayWait: the call also waits where the predicted wait exceeds the
  /// limit, instead of being refused.
  bool m_WaitsBeyondLimit = false;

  /// The call takes only slots that others leave free, see
  /// RemainderSlotShare.
  bool m_TakesRemainder = false;

  bool m_MayWait = false;      ///< Until the best upstream has room.
  bool m_WaitTimedOut = false; ///< Must not wait again.
};

/// What a placement was based on, for the logs.
struct PlacementInputs {
  std::size_t m_CandidateCount = 0; ///< Upstreams that could take the call.
  double m_Calls = 0;               ///< At the chosen one, from all instances.
  std::uint64_t m_QueuedPrefillTokens =
      0;                              ///< Prompt tokens queued there before it.
  std::uint32_t m_UncachedTokens = 0; ///< Of this prompt, not cached there.
  std::size_t m_PeerCount = 0;        ///< Instances whose digests are in use.
  Duration m_UnlistedFor{};     ///< Since its entry was removed; 0: it has one.
  int m_SpeedClass = 0;         ///< Of the chosen one, see speed::SpeedView.
  Duration m_PredictedWait{};   ///< For the prefill queued there; engines only.
  bool m_LeftSaturated = false; ///< The best engine's wait was too long, and
                                ///< another one was chosen.
};

/// An upstream was chosen; the call counts towards its load.
struct Placed {
  TicketId m_Ticket;          ///< Must be passed to recordCallEnd().
  UpstreamId m_Upstream;      ///< The chosen one.
  std::string m_Name;         ///< Its name in the instance list.
  Address m_Address;          ///< Where it listens.
  PlacementInputs m_Inputs;   ///< Basis of the choice.
  SoftwareVersion m_Software; ///< Of the upstream's process.
  std::optional<std::chrono::milliseconds>
      m_StartTime; ///< Of that process, see Upstream.
};

/// No upstream can take the call now.
struct NotPlaced {
  RefusalReason m_Reason =
      RefusalReason::NoUpstream;       ///< Why the call is refused.
  Duration m_RetryAfter{};             ///< Time until an upstream may be free.
  PlacementInputs m_Inputs;            ///< Basis of the refusal.
  std::optional<ContentHash> m_HeldBy; ///< The quarantined suspect, if any.
};

/// The best upstream has no room now, and those with room would have to prefill
/// again what it has cached: the call should wait and ask again.
struct MustWait {
  PlacementInputs m_Inputs; ///< Basis of the decision.
};

using PlacementResult = std::variant<Placed, NotPlaced, MustWait>;

/// How a call at an upstream ended, as evidence of the state of the upstream.
enum class CallOutcome : std::uint8_t {
  Served,      ///< Complete answer.
  Failed,      ///< Error of the upstream, or invalid answer.
  Silent,      ///< Nothing was received within the limit.
  Refused,     ///< The upstream had no room.
  Draining,    ///< It is draining, or is not the expected upstream.
  Unreachable, ///< No connection could be made.
  Dropped,     ///< Ended by this side; no evidence.
  Broken,      ///< The connection closed before the end of the answer.
};

/// Returns the stable name in logs, such as "no_answer".
std::string_view nameOf(CallOutcome Outcome);

} // namespace balance

} // namespace crowstep

#endif // CROWSTEP_BALANCE_BALANCE_TYPE_H
