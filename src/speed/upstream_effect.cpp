/// How much longer work takes at one upstream than at others of its service.
#include "speed/upstream_effect.h"

#include "speed/state_baseline.h"

namespace crowstep::speed {

namespace {

/// Samples that say "as fast as the mean" and are added to those taken: a
/// single outlier must not change the class of an upstream that has few calls.
constexpr double PriorWeight = 4;

/// The same for the learning of the baseline.
constexpr double BaselinePriorWeight = 0.5;

/// Greatest weight of past samples once new ones cease, so that upstreams with
/// many calls return to the mean as soon as others.
constexpr double MaxWeight = 64;

/// Factors by which calls take longer in the upper half of the slots: up to the
/// first one all slots are usable, from the second one on half of them. At a
/// factor of 2 the upper half would add no throughput at all.
constexpr double AllUsableFactor = 1.25;
constexpr double HalfUsableFactor = 1.75;
constexpr double LeastUsableShare = 0.5;

} // namespace

void UpstreamEffect::add(bool IsCrowded, double Samples, double LogSum,
                         TimePoint Now) {
  const double Bound = std::log(OutlierFactor);
  m_Halves.at(IsCrowded ? 1 : 0)
      .add(Samples, Samples * std::clamp(LogSum / Samples, -Bound, Bound), Now,
           TimeConstant);
}

double UpstreamEffect::recentWeight(const DecayedSum &Sum, TimePoint Now) {
  return std::min(Sum.weight(Now, TimeConstant),
                  MaxWeight *
                      decayFactor(Now - Sum.lastSampleAt(), TimeConstant));
}

double UpstreamEffect::shrunkLog(TimePoint Now, double Prior) const {
  double Weight = Prior;
  double Sum = 0;
  for (const DecayedSum &Half : m_Halves) {
    const double Recent = recentWeight(Half, Now);
    Weight += Recent;
    Sum += Recent * Half.mean();
  }
  return Sum / Weight;
}

double UpstreamEffect::shrunkLog(TimePoint Now) const {
  return shrunkLog(Now, PriorWeight);
}

double UpstreamEffect::meanLog(TimePoint Now) const {
  return shrunkLog(Now, BaselinePriorWeight);
}

double UpstreamEffect::usableShare(TimePoint Now) const {
  const double Weight =
      std::min(recentWeight(m_Halves[0], Now), recentWeight(m_Halves[1], Now));
  const double Factor = std::exp((m_Halves[1].mean() - m_Halves[0].mean()) *
                                 Weight / (Weight + PriorWeight));
  const double Lost =
      (Factor - AllUsableFactor) / (HalfUsableFactor - AllUsableFactor);
  return 1 - (1 - LeastUsableShare) * std::clamp(Lost, 0.0, 1.0);
}

UpstreamSpeedUpdate UpstreamEffect::snapshot(UpstreamId Upstream,
                                             bool IsCrowded,
                                             TimePoint Now) const {
  const DecayedSum &Half = m_Halves.at(IsCrowded ? 1 : 0);
  const auto Samples = static_cast<std::uint32_t>(recentWeight(Half, Now));
  return {Upstream, IsCrowded, Samples, Samples * Half.mean()};
}

TimePoint UpstreamEffect::lastSampleAt() const {
  return std::max(m_Halves[0].lastSampleAt(), m_Halves[1].lastSampleAt());
}

} // namespace crowstep::speed
