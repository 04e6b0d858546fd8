/// Statistics of past work: lengths, times and rates.
///
/// All of them weight recent samples higher, so that a run of unusual answers
/// affects the estimates only for a while.
#ifndef CROWSTEP_DECISION_LEARNED_H
#define CROWSTEP_DECISION_LEARNED_H

#include "core/clock.h"
#include "decision/tuning.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace crowstep::decision {

/// Returns \p Time in seconds.
inline double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Returns \p Seconds as a duration, at most a day.
Duration fromSeconds(double Seconds);

/// A moving average: plain at first, later with a constant gain.
class MovingAverage {
public:
  explicit MovingAverage(double Gain = tuning::MeanGain) : m_Gain(Gain) {}

  void add(double Sample);
  void reset() { m_Count = 0; }
  [[nodiscard]] double value() const { return m_Count == 0 ? 0.0 : m_Value; }
  [[nodiscard]] std::uint32_t count() const { return m_Count; }

private:
  double m_Gain;             ///< Weight of a new sample, 0 to 1.
  double m_Value = 0.0;      ///< Meaningless while m_Count is 0.
  std::uint32_t m_Count = 0; ///< Samples since the last reset.
};

/// A quantile of positive samples; older samples weigh less.
class Quantile {
public:
  explicit Quantile(double Share);

  void add(double Sample);
  /// Returns the quantile; 0 without samples.
  [[nodiscard]] double value() const { return m_Value; }
  [[nodiscard]] std::uint32_t count() const { return m_Count; }

private:
  using Axis = boost::histogram::axis::regular<
      double, boost::histogram::axis::transform::log,
      boost::histogram::use_default, boost::histogram::use_default>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  [[nodiscard]] double compute() const;

  double m_Share;            ///< Quantile to compute, 0 to 1.
  Histogram m_Histogram;     ///< Weights in logarithmic bins.
  double m_Weight = 0.0;     ///< Sum of the histogram's weights.
  double m_Value = 0.0;      ///< The quantile as of the last sample.
  std::uint32_t m_Count = 0; ///< Samples ever, saturating.
};

/// Events per second, as a moving average with a time constant of \p Seconds.
class RateMeter {
public:
  explicit RateMeter(double Seconds) : m_Seconds(Seconds) {}
  void add(TimePoint Now);
  [[nodiscard]] double perSecond(TimePoint Now) const;

private:
  [[nodiscard]] double decayed(TimePoint Now) const;

  double m_Seconds;                 ///< Time constant, > 0.
  double m_Rate = 0.0;              ///< At m_At.
  TimePoint m_At;                   ///< Time of the last event.
  std::optional<TimePoint> m_First; ///< Time of the first event.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_LEARNED_H
