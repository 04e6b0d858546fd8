/// Time that the calls of one service take in each state of an upstream.
#ifndef CROWSTEP_SPEED_STATE_BASELINE_H
#define CROWSTEP_SPEED_STATE_BASELINE_H

#include "speed/decayed_sum.h"
#include "speed/speed_type.h"

#include <array>
#include <optional>

namespace crowstep::speed {

/// Number of states: four quarters of the slots, without and with prefill.
inline constexpr std::size_t StateCount = 8;

/// Samples are clamped to this factor of the expected time.
inline constexpr double OutlierFactor = 8;

/// Returns the state in which a sample was taken.
std::uint8_t stateOf(const SpeedSample &Sample);

/// Returns whether the upstream had calls at more than half of its slots.
bool isCrowded(const SpeedSample &Sample);

class StateBaseline {
public:
  /// The baseline follows changes of the work, which are slower than those of
  /// machines. With a time constant as short as that of upstreams, states that
  /// few upstreams are in would follow these.
  static constexpr Duration TimeConstant = std::chrono::seconds(10);

  /// Returns ln(time in us) at an upstream of speed 1, or none as long as there
  /// are too few samples.
  [[nodiscard]] std::optional<double> expectedLog(std::uint8_t State,
                                                  TimePoint Now) const;

  /// Adds samples of upstreams, after subtraction of the upstreams' effects.
  /// Returns their sum as it was added, with the mean clamped.
  double add(std::uint8_t State, double Samples, double LogSum, TimePoint Now);

  /// Returns the samples of one state for another instance.
  [[nodiscard]] ServiceSpeedUpdate snapshot(PoolId Pool, std::uint8_t State,
                                            TimePoint Now) const;

  /// Returns the time of the last sample.
  [[nodiscard]] TimePoint lastSampleAt() const;

private:
  std::array<DecayedSum, StateCount> m_States; ///< ln(time in us).
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_STATE_BASELINE_H
