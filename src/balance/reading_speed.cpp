/// How fast engines read prompts, learned from first events.
#include "balance/reading_speed.h"

#include <algorithm>

namespace crowstep::balance {

namespace {

/// Prompts below this tell of the fixed time, prompts above it of the time a
/// token.
constexpr std::uint64_t ManyTokens = 4000;

/// Weight of a new sample: some twenty of them count.
constexpr double NewestWeight = 0.05;

/// A sample beyond this factor is no matter of speed: a retry, a frozen
/// machine, a prompt that was kept although nobody knew.
constexpr double Outlier = 3;

void follow(double &Value, double Sample) {
  const double Bounded = std::clamp(Sample, Value / Outlier, Value * Outlier);
  Value += NewestWeight * (Bounded - Value);
}

} // namespace

void ReadingSpeed::seen(const std::string &Service, std::uint64_t Tokens,
                        Duration Took) {
  Speed &Known = m_Speeds.try_emplace(Service, Unseen).first->second;
  const auto Us = static_cast<double>(Took.count());
  const auto Count = static_cast<double>(Tokens);
  if (Tokens < ManyTokens)
    follow(Known.m_BaseUs, std::max(0.0, Us - Count * Known.m_PerTokenUs));
  else
    follow(Known.m_PerTokenUs, std::max(0.0, Us - Known.m_BaseUs) / Count);
}

Duration ReadingSpeed::timeFor(const std::string &Service,
                               std::uint64_t Tokens) const {
  const auto Found = m_Speeds.find(Service);
  const Speed Known = Found == m_Speeds.end() ? Unseen : Found->second;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(
          Known.m_BaseUs + static_cast<double>(Tokens) * Known.m_PerTokenUs));
}

} // namespace crowstep::balance
