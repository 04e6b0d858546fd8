/// How much longer work takes at one upstream than at others of its service.
#ifndef CROWSTEP_SPEED_UPSTREAM_EFFECT_H
#define CROWSTEP_SPEED_UPSTREAM_EFFECT_H

#include "speed/decayed_sum.h"
#include "speed/speed_type.h"

#include <array>

namespace crowstep::speed {

class UpstreamEffect {
public:
  /// With 2 s and the delay of digests, an estimate has covered two thirds of a
  /// change after 3 s. An upstream without calls is back at the mean within
  /// 10 s.
  static constexpr Duration TimeConstant = std::chrono::seconds(2);

  /// Adds samples of ln(time / expected time); their mean is clamped.
  void add(bool IsCrowded, double Samples, double LogSum, TimePoint Now);

  /// Returns the mean of ln(time / expected time), shrunk towards 0 while there
  /// are few recent samples.
  [[nodiscard]] double shrunkLog(TimePoint Now) const;

  /// Returns the mean, hardly shrunk. The baseline is learned with it: the
  /// other one would let the baseline absorb the effect of upstreams that all
  /// are in one state.
  [[nodiscard]] double meanLog(TimePoint Now) const;

  /// Returns the share of the slots up to which the upstream does not slow down
  /// more than others do; 0.5 to 1.
  [[nodiscard]] double usableShare(TimePoint Now) const;

  /// Returns the samples of one half of the slots for another instance.
  [[nodiscard]] UpstreamSpeedUpdate
  snapshot(UpstreamId Upstream, bool IsCrowded, TimePoint Now) const;

  /// Returns the time of the last sample.
  [[nodiscard]] TimePoint lastSampleAt() const;

private:
  [[nodiscard]] double shrunkLog(TimePoint Now, double PriorWeight) const;
  [[nodiscard]] static double recentWeight(const DecayedSum &Sum,
                                           TimePoint Now);

  std::array<DecayedSum, 2> m_Halves; ///< Up to half of the slots, and above.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_UPSTREAM_EFFECT_H
