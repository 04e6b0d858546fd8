/// Rate limits of the operators' table: token buckets and retry budgets.
#ifndef CROWSTEP_DECISION_TOKEN_BUCKET_H
#define CROWSTEP_DECISION_TOKEN_BUCKET_H

#include "core/clock.h"

#include <cstdint>

namespace crowstep::decision {

/// A limit per second; a rate of 0 means no limit. The level becomes negative
/// when work took more than was reserved; later work waits for it to recover.
class TokenBucket {
public:
  /// Sets the rate. The level is kept, so that a change of an unrelated cell of
  /// the table does not allow a second burst.
  void setRate(std::uint32_t PerSecond, TimePoint Now);

  /// Tells whether \p Amount, or a full bucket if that is less, is available.
  [[nodiscard]] bool canTake(double Amount, TimePoint Now) const;

  /// Takes \p Amount, also if it is not available. A negative amount is
  /// returned to the bucket.
  void take(double Amount, TimePoint Now);

  /// Returns the time until canTake(\p Amount).
  [[nodiscard]] Duration timeUntil(double Amount, TimePoint Now) const;

private:
  [[nodiscard]] double level(TimePoint Now) const;
  [[nodiscard]] double capacity() const;

  double m_PerSecond = 0.0; ///< 0: no limit.
  double m_Level = 0.0;     ///< As of m_At; at most capacity().
  TimePoint m_At;           ///< Time of m_Level.
};

/// Budget of retries, as a percentage of first attempts.
class RetryBudget {
public:
  RetryBudget();
  void earn(std::uint32_t Percent);
  /// Takes one retry; returns false if the budget is used up.
  [[nodiscard]] bool trySpend();

private:
  double m_Level; ///< Retries available, 0 to tuning::RetryBurst.
};

} // namespace crowstep::decision

#endif // CROWSTEP_DECISION_TOKEN_BUCKET_H
