/// Prefill speed of engines, estimated from times to first events.
#include "balance/prefill_speed.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Samples with fewer tokens adjust the fixed time, the others the time per
/// token.
constexpr std::uint64_t PerTokenSampleMin = 4000;

/// Weight of a new sample: the average covers about the last twenty.
constexpr double NewestWeight = 0.05;

/// Samples are clamped to this factor of the estimate. Beyond it they say
/// nothing about the speed: a retry, a frozen machine, a prompt that was cached
/// although the model had no record of it.
constexpr double OutlierFactor = 3;

void updateAverage(double &Value, double Sample) {
  const double Bounded =
      std::clamp(Sample, Value / OutlierFactor, Value * OutlierFactor);
  Value += NewestWeight * (Bounded - Value);
}

} // namespace

void PrefillSpeed::addSample(const std::string &Service, std::uint64_t Tokens,
                             Duration Elapsed) {
  Speed &Estimate = m_Speeds.try_emplace(Service, DefaultSpeed).first->second;
  const auto ElapsedUs = static_cast<double>(Elapsed.count());
  const auto Count = static_cast<double>(Tokens);
  if (Tokens < PerTokenSampleMin)
    updateAverage(Estimate.m_BaseUs,
                  std::max(0.0, ElapsedUs - Count * Estimate.m_PerTokenUs));
  else
    updateAverage(Estimate.m_PerTokenUs,
                  std::max(0.0, ElapsedUs - Estimate.m_BaseUs) / Count);
}

Duration PrefillSpeed::timeToFirstEvent(const std::string &Service,
                                        std::uint64_t Tokens) const {
  const Speed Estimate = estimateOf(Service);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(Estimate.m_BaseUs +
                                                static_cast<double>(Tokens) *
                                                    Estimate.m_PerTokenUs));
}

std::chrono::duration<double, std::micro>
PrefillSpeed::perToken(const std::string &Service) const {
  return std::chrono::duration<double, std::micro>(
      estimateOf(Service).m_PerTokenUs);
}

PrefillSpeed::Speed PrefillSpeed::estimateOf(const std::string &Service) const {
  const auto Found = m_Speeds.find(Service);
  return Found == m_Speeds.end() ? DefaultSpeed : Found->second;
}

} // namespace crowstep::balance
