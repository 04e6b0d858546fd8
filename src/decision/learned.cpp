/// Moving averages, quantiles and rates.
#include "decision/learned.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crowstep::decision {

namespace {

constexpr unsigned Bins = 54;           ///< Three per doubling.
constexpr double LowestSample = 0.25;   ///< Lower samples count as this.
constexpr double HighestSample = 65536; ///< Higher samples count as this.
constexpr double MaxSeconds = 86400.0;  ///< One day.
/// Seconds added to the age of a rate meter, which bounds early rates.
constexpr double MinMeterAge = 2.0;

} // namespace

Duration fromSeconds(double Seconds) {
  const double Bounded = std::clamp(Seconds, 0.0, MaxSeconds);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Bounded));
}

void MovingAverage::add(double Sample) {
  // The first samples have the weight of a plain mean, for a quick start.
  const double Plain = 1.0 / (static_cast<double>(m_Count) + 1.0);
  const double Gain = std::max(m_Gain, Plain);
  m_Value = m_Count == 0 ? Sample : m_Value + Gain * (Sample - m_Value);
  if (m_Count < std::numeric_limits<std::uint32_t>::max())
    ++m_Count;
}

Quantile::Quantile(double Share)
    : m_Share(Share), m_Histogram(Axis(Bins, LowestSample, HighestSample)) {}

void Quantile::add(double Sample) {
  const double Highest = std::nextafter(HighestSample, 0.0);
  m_Histogram(std::clamp(Sample, LowestSample, Highest));
  m_Weight += 1.0;
  if (m_Count < std::numeric_limits<std::uint32_t>::max())
    ++m_Count;
  // Without this a long run of long answers would determine the estimate for as
  // long again. With halved weights as many new samples outweigh the old ones.
  if (m_Weight > tuning::HistogramWindow) {
    m_Histogram *= 0.5;
    m_Weight *= 0.5;
  }
  m_Value = compute();
}

double Quantile::compute() const {
  double Remaining = m_Share * m_Weight;
  const auto &Bounds = m_Histogram.axis(0);
  for (int Bin = 0; Bin < Bounds.size(); ++Bin) {
    const double Weight = m_Histogram[Bin];
    if (Weight >= Remaining && Weight > 0.0)
      return Bounds.value(static_cast<double>(Bin) + Remaining / Weight);
    Remaining -= Weight;
  }
  return HighestSample;
}

void RateMeter::add(TimePoint Now) {
  m_First = m_First.value_or(Now);
  m_Rate = decayed(Now) + 1.0 / m_Seconds;
  m_At = Now;
}

double RateMeter::decayed(TimePoint Now) const {
  return m_Rate * std::exp(-toSeconds(Now - m_At) / m_Seconds);
}

double RateMeter::perSecond(TimePoint Now) const {
  if (!m_First)
    return 0.0;
  // A meter younger than its time constant has accumulated only part of its
  // weight; without a correction, a burst right after the start would be
  // missed.
  const double Age = toSeconds(Now - *m_First) + MinMeterAge;
  return decayed(Now) / (1.0 - std::exp(-Age / m_Seconds));
}

} // namespace crowstep::decision
