/// Plain types of waiting by prediction.
#ifndef CROWSTEP_WAITING_WAITING_TYPE_H
#define CROWSTEP_WAITING_WAITING_TYPE_H

#include "core/clock.h"
#include "upstream_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowstep::waiting {

/// What a call can still get. Digests carry it with the urgency, so the order
/// must not change.
enum class CallGroup : std::uint8_t {
  InTime, ///< It waits, or has waited, and can still be in time.
  Late,   ///< It waits, or has waited, and can't be in time any more.
  AtOnce, ///< It was placed without waiting.
  Count,  ///< Number of groups; not a group.
};

/// Number of groups.
inline constexpr std::size_t GroupCount =
    static_cast<std::size_t>(CallGroup::Count);

/// What waiting calls are counted by.
struct CallStanding {
  CallGroup m_Group = CallGroup::InTime; ///< See CallGroup.
  std::uint8_t m_Urgency = 0;            ///< Engine rank; 0 goes first.

  auto operator<=>(const CallStanding &) const = default;
};

/// Calls of one standing at one instance, or the sum over several instances.
struct WaitingCalls {
  PoolId m_Pool;               ///< The service.
  CallStanding m_Standing;     ///< Of these calls.
  std::uint32_t m_Waiting = 0; ///< Waiting now.
  std::uint32_t m_Placed = 0;  ///< Placed within the last second.
};

/// What a call needs from its upstream once it is placed.
struct CallWork {
  Duration m_UntilOutput{}; ///< Prefill of its own prompt.
  Duration m_Output{};      ///< From the first event to the last.
};

/// A call to be placed or held.
struct CallFacts {
  PoolId m_Pool;              ///< The service.
  std::uint8_t m_Urgency = 0; ///< Engine rank; 0 goes first.
  TimePoint m_ArrivedAt;      ///< When the gateway received it.
  Duration m_Target{};        ///< Latency target, above zero.
  Duration m_Patience{};      ///< Until its caller gives up without a first
                              ///< event; zero: its caller waits until the
                              ///< deadline.
  Duration m_Deadline{};      ///< From its arrival to its complete answer.
};

/// What becomes of a call that was not placed.
enum class WaitVerdict : std::uint8_t {
  Wait,       ///< It is tried again.
  NoCapacity, ///< It would not be placed within its limit.
  LimitEnded, ///< It has waited as long as helps its caller.
};

/// Returns the stable name in metrics, such as "limit_ended".
std::string_view nameOf(WaitVerdict Verdict);

} // namespace crowstep::waiting

#endif // CROWSTEP_WAITING_WAITING_TYPE_H
