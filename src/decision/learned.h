/// What the decisions learn from past work: lengths, times and rates.
///
/// All of it forgets: a run of unusual answers changes an estimate for a while
/// and then no longer.
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

/// A mean in which old samples fade.
class Mean {
public:
  explicit Mean(double Gain = tuning::MeanGain) : m_Gain(Gain) {}

  void add(double Sample);
  void reset() { m_Count = 0; }
  [[nodiscard]] double value() const { return m_Count == 0 ? 0.0 : m_Value; }
  [[nodiscard]] std::uint32_t count() const { return m_Count; }

private:
  double m_Gain;             ///< Share of a new sample, 0 to 1.
  double m_Value = 0.0;      ///< Meaningless while m_Count is 0.
  std::uint32_t m_Count = 0; ///< Samples since the last reset.
};

/// A quantile of positive samples over a sliding window of fading weight.
class Quantile {
public:
  explicit Quantile(double Share);

  void add(double Sample);
  /// Returns the quantile; 0 before the first sample.
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

  double m_Share;            ///< 0 to 1.
  Histogram m_Histogram;     ///< Weights by logarithmic bins.
  double m_Weight = 0.0;     ///< Sum of the histogram.
  double m_Value = 0.0;      ///< The quantile as of the last sample.
  std::uint32_t m_Count = 0; ///< Samples ever, saturating.
};

/// Events a second, averaged over the last \p Seconds or so.
class RateMeter {
public:
  explicit RateMeter(double Seconds) : m_Seconds(Seconds) {}
  void add(TimePoint Now);
  [[nodiscard]] double perSecond(TimePoint Now) const;

private:
  [[nodiscard]] double decayed(TimePoint Now) const;

  double m_Seconds;                 ///< Time constant, > 0.
  double m_Rate = 0.0;              ///< As of m_At.
  TimePoint m_At;                   ///< Time of the last event.
  std::optional<TimePoint> m_First; ///< Time of the first event.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_LEARNED_H
