/// Rate limits of the table: token buckets and retry budgets.
#ifndef CROWSTEP_DECISION_TOKEN_BUCKET_H
#define CROWSTEP_DECISION_TOKEN_BUCKET_H

#include "core/clock.h"

#include <cstdint>

namespace crowstep::decision {

/// A limit a second. A rate of 0 is no limit. The level may fall below zero
/// when work took more than was reserved; later work pays for it.
class TokenBucket {
public:
  /// Takes over a rate from the table. The level stays, so that a change of an
  /// unrelated cell doesn't hand out a second burst.
  void setRate(std::uint32_t PerSecond, TimePoint Now);

  /// Tells whether \p Amount, or as much as the bucket can ever hold, is there.
  [[nodiscard]] bool has(double Amount, TimePoint Now) const;

  /// Takes \p Amount, also when it isn't there; negative amounts give back.
  void take(double Amount, TimePoint Now);

  /// Returns how long it takes until has(\p Amount).
  [[nodiscard]] Duration until(double Amount, TimePoint Now) const;

private:
  [[nodiscard]] double level(TimePoint Now) const;
  [[nodiscard]] double capacity() const;

  double m_PerSecond = 0.0; ///< 0: no limit.
  double m_Level = 0.0;     ///< As of m_At; at most capacity().
  TimePoint m_At;           ///< When m_Level was true.
};

/// Retries allowed as a share of first attempts.
class RetryBudget {
public:
  RetryBudget();
  void earn(std::uint32_t Percent);
  /// Takes one retry; returns false when the budget is used up.
  [[nodiscard]] bool spend();

private:
  double m_Level; ///< Retries left, 0 to tuning::RetryBurst.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_TOKEN_BUCKET_H
