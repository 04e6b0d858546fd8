/// Token buckets and retry budgets.
#include "decision/token_bucket.h"

#include "decision/learned.h"

#include <algorithm>

namespace crowstep::decision {

namespace {

constexpr double PerCent = 0.01;
/// Absorbs rounding of seconds, so that the time returned by timeUntil()
/// suffices; a millionth of a request.
constexpr double Rounding = 1e-6;

} // namespace

double TokenBucket::capacity() const {
  return std::max(1.0, m_PerSecond * tuning::BurstSeconds);
}

double TokenBucket::level(TimePoint Now) const {
  return std::min(capacity(), m_Level + toSeconds(Now - m_At) * m_PerSecond);
}

void TokenBucket::setRate(std::uint32_t PerSecond, TimePoint Now) {
  const bool WasUnlimited = m_PerSecond == 0.0;
  const double Level = level(Now);
  m_PerSecond = PerSecond;
  m_Level = WasUnlimited ? capacity() : std::min(Level, capacity());
  m_At = Now;
}

bool TokenBucket::canTake(double Amount, TimePoint Now) const {
  if (m_PerSecond == 0.0)
    return true;
  return level(Now) + Rounding >= std::min(Amount, capacity());
}

void TokenBucket::take(double Amount, TimePoint Now) {
  m_Level = std::min(capacity(), level(Now) - Amount);
  m_At = Now;
}

Duration TokenBucket::timeUntil(double Amount, TimePoint Now) const {
  if (canTake(Amount, Now))
    return Duration::zero();
  const double Missing = std::min(Amount, capacity()) - level(Now);
  return fromSeconds(Missing / m_PerSecond) + Duration(1);
}

RetryBudget::RetryBudget() : m_Level(tuning::RetryBurst) {}

void RetryBudget::earn(std::uint32_t Percent) {
  m_Level = std::min(tuning::RetryBurst,
                     m_Level + PerCent * static_cast<double>(Percent));
}

bool RetryBudget::trySpend() {
  if (m_Level < 1.0)
    return false;
  m_Level -= 1.0;
  return true;
}

} // namespace crowstep::decision
