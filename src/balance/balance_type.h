/// Plain types of the decisions of a gateway that decides alone.
#ifndef CROWSTEP_BALANCE_BALANCE_TYPE_H
#define CROWSTEP_BALANCE_BALANCE_TYPE_H

#include "core/clock.h"
#include "prompt_type.h"
#include "refusal_type.h"
#include "upstream_type.h"

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

/// A call that wants an upstream.
struct PlacementQuery {
  std::string m_Service;           ///< Its service.
  PromptSize m_Prompt;             ///< Empty for plain calls.
  Duration m_Target{};             ///< Latency for a good answer.
  Duration m_LongestPause{};       ///< Between events; 0: any.
  std::vector<UpstreamId> m_Avoid; ///< Tried before.
};

/// An upstream was chosen and the call counts there.
struct Placed {
  TicketId m_Ticket;     ///< To be ended.
  UpstreamId m_Upstream; ///< Which one.
  std::string m_Name;    ///< As the upstream calls itself.
  Address m_Address;     ///< Where it listens.
};

/// No upstream can take the call now.
struct NotPlaced {
  RefusalReason m_Reason = RefusalReason::NoUpstream; ///< Why.
  Duration m_RetryAfter{}; ///< When there may be one.
};

using PlacementResult = std::variant<Placed, NotPlaced>;

/// How a call at an upstream ended, as far as it tells of the upstream.
enum class CallOutcome : std::uint8_t {
  Served,   ///< A whole answer.
  Failed,   ///< An error of its own, a broken or a false answer.
  Silent,   ///< Nothing came within the limit.
  Refused,  ///< It had no room.
  Leaving,  ///< It said that it is not this upstream, or is going.
  NoAnswer, ///< No connection could be made.
  Dropped,  ///< Ended from our side; says nothing.
};

} // namespace balance

} // namespace crowstep

#endif // CROWSTEP_BALANCE_BALANCE_TYPE_H
