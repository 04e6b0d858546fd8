/// Plain types of the decisions of a gateway that decides alone.
#ifndef CROWSTEP_BALANCE_BALANCE_TYPE_H
#define CROWSTEP_BALANCE_BALANCE_TYPE_H

#include "content_hash.h"
#include "core/clock.h"
#include "prompt_type.h"
#include "refusal_type.h"
#include "upstream_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crowstep {

/// An upstream's load as it says itself, with an answer.
struct LoadReport {
  std::uint32_t m_Running = 0; ///< Calls that it works on.
  std::uint32_t m_Waiting = 0; ///< Calls in its queue.
  std::uint32_t m_Slots = 0;   ///< Calls that it works on at once.
};

namespace balance {

/// Names a call from its placement to its end.
using TicketId = StrongId<struct TicketTag, std::uint64_t>;

/// How urgent a call is, as engines know it: 0 goes first.
using Urgency = std::uint8_t;

/// Engines know this many.
inline constexpr std::size_t UrgencyCount = 10;

/// A call that wants an upstream.
struct PlacementQuery {
  std::string m_Service;                ///< Its service.
  Urgency m_Urgency = 0;                ///< Below UrgencyCount.
  PromptSize m_Prompt;                  ///< Empty for plain calls.
  Duration m_Target{};                  ///< Latency for a good answer.
  Duration m_LongestPause{};            ///< Between events, in time; 0: any.
  std::vector<UpstreamId> m_Avoid;      ///< Tried before.
  std::optional<ContentHash> m_Content; ///< Of the request, where known.
  bool m_MayWait = false;               ///< For room at the best upstream.
  bool m_WaitedInVain = false;          ///< And may not wait any more.
};

/// What an upstream was chosen by, for the logs.
struct PlacementInputs {
  std::size_t m_Options = 0;         ///< Upstreams that could take the call.
  double m_Calls = 0;                ///< At the chosen one, by all instances.
  std::uint64_t m_UnreadTokens = 0;  ///< Waiting there to be read before it.
  std::uint32_t m_MissingTokens = 0; ///< Of this prompt, to be read there.
  std::size_t m_Peers = 0;           ///< Instances whose digests count.
};

/// An upstream was chosen and the call counts there.
struct Placed {
  TicketId m_Ticket;     ///< To be ended.
  UpstreamId m_Upstream; ///< Which one.
  std::string m_Name;    ///< As the upstream calls itself.
  Address m_Address;     ///< Where it listens.
  PlacementInputs m_Why; ///< What decided.
};

/// No upstream can take the call now.
struct NotPlaced {
  RefusalReason m_Reason = RefusalReason::NoUpstream; ///< Why.
  Duration m_RetryAfter{}; ///< When there may be one.
  PlacementInputs m_Why;   ///< What decided.
};

/// The best upstream has no room now, and one that has some would read again
/// what that one keeps: the call should wait and ask again.
struct MustWait {
  PlacementInputs m_Why; ///< What decided.
};

using PlacementResult = std::variant<Placed, NotPlaced, MustWait>;

/// How a call at an upstream ended, as far as it tells of the upstream.
enum class CallOutcome : std::uint8_t {
  Served,   ///< A whole answer.
  Failed,   ///< An error of its own, or a false answer.
  Silent,   ///< Nothing came within the limit.
  Refused,  ///< It had no room.
  Leaving,  ///< It said that it is not this upstream, or is going.
  NoAnswer, ///< No connection could be made.
  Dropped,  ///< Ended from our side; says nothing.
  Broken,   ///< Its connection ended before the answer did.
};

/// Returns the stable name in logs, such as "no_answer".
std::string_view nameOf(CallOutcome Outcome);

} // namespace balance

} // namespace crowstep

#endif // CROWSTEP_BALANCE_BALANCE_TYPE_H
