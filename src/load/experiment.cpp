/// Sizes, and rates over time.
#include "load/experiment.h"

#include <algorithm>
#include <cmath>

namespace crowstep::load {

std::uint64_t SizeDistribution::draw(std::mt19937_64 &Random) const {
  std::lognormal_distribution<double> Sizes(std::log(m_Median), m_Sigma);
  // Rounded, not truncated: with a sigma of 0 every size equals the median.
  const auto Size = static_cast<std::uint64_t>(std::lround(Sizes(Random)));
  return std::clamp<std::uint64_t>(Size, 1, m_Max);
}

double Experiment::rateAt(std::size_t SourceIndex, Duration Time) const {
  double Rate = m_Sources[SourceIndex].m_Rate;
  for (const Phase &RatePhase : m_Phases)
    if (RatePhase.m_Source == SourceIndex && RatePhase.m_From <= Time &&
        Time < RatePhase.m_Until)
      Rate *= RatePhase.m_Factor;
  return Rate;
}

Duration Experiment::nextRateChange(std::size_t SourceIndex,
                                    Duration Time) const {
  Duration Next = m_WarmUp + m_Measured;
  for (const Phase &RatePhase : m_Phases) {
    if (RatePhase.m_Source != SourceIndex)
      continue;
    for (const Duration Edge : {RatePhase.m_From, RatePhase.m_Until})
      if (Edge > Time)
        Next = std::min(Next, Edge);
  }
  return Next;
}

} // namespace crowstep::load
