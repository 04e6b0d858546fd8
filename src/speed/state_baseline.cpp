/// Time that the calls of one service take in each state of an upstream.
#include "speed/state_baseline.h"

namespace crowstep::speed {

namespace {

constexpr double QuarterCount = 4;

/// Weight below which a mean is not used: samples would be compared mostly with
/// themselves.
constexpr double MinWeight = 4;

} // namespace

std::uint8_t stateOf(const SpeedSample &Sample) {
  const double Quarter =
      std::clamp(Sample.m_LoadShare * QuarterCount, 0.0, QuarterCount - 1);
  return static_cast<std::uint8_t>(
      static_cast<unsigned>(Quarter) +
      (Sample.m_IsPrefilling ? static_cast<unsigned>(QuarterCount) : 0U));
}

bool isCrowded(const SpeedSample &Sample) {
  constexpr double Half = 0.5;
  return Sample.m_LoadShare > Half;
}

std::optional<double> StateBaseline::expectedLog(std::uint8_t State,
                                                 TimePoint Now) const {
  const DecayedSum &Sum = m_States.at(State);
  if (Sum.weight(Now, TimeConstant) < MinWeight)
    return std::nullopt;
  return Sum.mean();
}

double StateBaseline::add(std::uint8_t State, double Samples, double LogSum,
                          TimePoint Now) {
  const double Bound = std::log(OutlierFactor);
  double Added = LogSum;
  if (const std::optional<double> Expected = expectedLog(State, Now))
    Added = Samples *
            std::clamp(LogSum / Samples, *Expected - Bound, *Expected + Bound);
  m_States.at(State).add(Samples, Added, Now, TimeConstant);
  return Added;
}

ServiceSpeedUpdate StateBaseline::snapshot(PoolId Pool, std::uint8_t State,
                                           TimePoint Now) const {
  const DecayedSum &Sum = m_States.at(State);
  const auto Samples =
      static_cast<std::uint32_t>(Sum.weight(Now, TimeConstant));
  return {Pool, State, Samples, Samples * Sum.mean()};
}

TimePoint StateBaseline::lastSampleAt() const {
  TimePoint Result{};
  for (const DecayedSum &Sum : m_States)
    Result = std::max(Result, Sum.lastSampleAt());
  return Result;
}

} // namespace crowstep::speed
