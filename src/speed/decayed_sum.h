/// A sum of samples whose weight decays with time.
#ifndef CROWSTEP_SPEED_DECAYED_SUM_H
#define CROWSTEP_SPEED_DECAYED_SUM_H

#include "core/clock.h"

#include <algorithm>
#include <cmath>

namespace crowstep::speed {

/// Returns the share of a weight that is left after \p Elapsed.
inline double decayFactor(Duration Elapsed, Duration TimeConstant) {
  return std::exp(
      -static_cast<double>(std::max(Elapsed, Duration::zero()).count()) /
      static_cast<double>(TimeConstant.count()));
}

class DecayedSum {
public:
  /// Adds \p Samples whose values add up to \p Sum.
  void add(double Samples, double Sum, TimePoint Now, Duration TimeConstant) {
    const double Left = decayFactor(Now - m_At, TimeConstant);
    m_Weight = m_Weight * Left + Samples;
    m_Sum = m_Sum * Left + Sum;
    m_At = std::max(m_At, Now);
  }

  /// Returns the number of samples, each with the weight that is left.
  [[nodiscard]] double weight(TimePoint Now, Duration TimeConstant) const {
    return m_Weight * decayFactor(Now - m_At, TimeConstant);
  }

  /// Returns the weighted mean of the samples; 0 without samples.
  [[nodiscard]] double mean() const {
    return m_Weight > 0 ? m_Sum / m_Weight : 0;
  }

  /// Returns the time of the last sample.
  [[nodiscard]] TimePoint lastSampleAt() const { return m_At; }

private:
  double m_Weight = 0; ///< At m_At.
  double m_Sum = 0;    ///< At m_At.
  TimePoint m_At{};    ///< Last sample.
};

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_DECAYED_SUM_H
