/// Plain types for learning how fast upstreams work.
#ifndef CROWSTEP_SPEED_SPEED_TYPE_H
#define CROWSTEP_SPEED_SPEED_TYPE_H

#include "core/clock.h"
#include "upstream_type.h"

#include <cstdint>
#include <variant>

namespace crowstep::speed {

/// When the speeds of a service's upstreams are learned and used.
enum class LearnSpeed : std::uint8_t {
  Stated, ///< Once one of them has stated how its machine does.
  Always,
  Never,
};

/// A completed observation of one call.
struct SpeedSample {
  UpstreamId m_Upstream;       ///< That ran it.
  PoolId m_Pool;               ///< The service.
  Duration m_UnitTime{};       ///< Engine: between two events; plain service:
                               ///< of the whole call.
  double m_LoadShare = 0;      ///< Calls there, from all instances, against
                               ///< its slots.
  bool m_IsPrefilling = false; ///< Other prompts were prefilled meanwhile.
};

/// Returns the part of the id of an upstream or a service that updates carry:
/// the lower half, as the bytes of updates are limited.
template <typename Id> Id shortId(Id Whole) {
  constexpr std::uint64_t LowerHalf = 0xffffffff;
  return Id(Whole.value() & LowerHalf);
}

/// Samples of one upstream that were added up, against what its service takes
/// in the same state.
struct UpstreamSpeedUpdate {
  UpstreamId m_Upstream;       ///< That was observed; see shortId().
  bool m_IsCrowded = false;    ///< At more than half of its slots.
  std::uint32_t m_Samples = 0; ///< How many.
  double m_LogSum = 0;         ///< Sum of ln(time / expected time).
};

/// Samples of a whole service in one state that were added up.
struct ServiceSpeedUpdate {
  PoolId m_Pool;               ///< The service; see shortId().
  std::uint8_t m_State = 0;    ///< Share of slots in quarters, plus 4 with
                               ///< prefill.
  std::uint32_t m_Samples = 0; ///< How many.
  double m_LogSum = 0;         ///< Sum of ln(time in us).
};

/// What an upstream stated about its machine.
struct MachinePaceUpdate {
  UpstreamId m_Upstream;       ///< That stated it; see shortId().
  std::uint32_t m_Percent = 0; ///< Time that work takes now; 100 is usual.
  Duration m_Age{};            ///< Time since the statement.
};

/// What instances tell one another about speeds.
using SpeedUpdate =
    std::variant<UpstreamSpeedUpdate, ServiceSpeedUpdate, MachinePaceUpdate>;

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_SPEED_TYPE_H
