/// Division of a service's engines between latency-sensitive and other calls.
///
/// Prefill of a long prompt delays every token of the batch, and the callers of
/// latency-sensitive calls notice each pause, so the two kinds of calls get
/// engines of their own. The engines are divided in proportion to the weighted
/// work of each kind; in a burst of one kind the boundary follows.
#ifndef CROWSTEP_BALANCE_ROLE_SPLIT_H
#define CROWSTEP_BALANCE_ROLE_SPLIT_H

#include "core/clock.h"

#include <cstddef>
#include <vector>

namespace crowstep::balance {

/// Work that was placed at a service's engines, as tokens of prefill.
struct WorkTokens {
  double m_LatencySensitive = 0; ///< Of latency-sensitive calls.
  double m_Other = 0;            ///< Of the other calls.

  WorkTokens &operator+=(const WorkTokens &Other) {
    m_LatencySensitive += Other.m_LatencySensitive;
    m_Other += Other.m_Other;
    return *this;
  }
};

/// Engines of one speed class.
struct SpeedGroup {
  std::size_t m_Engines = 0; ///< How many.
  double m_Speed = 1;        ///< Their mean speed, see SpeedView.
};

/// Returns a number of latency-sensitive engines, rounded: at least one and at
/// most all but one of \p Engines, unless it is exactly none or all.
[[nodiscard]] std::size_t boundedEngineCount(double Exact, std::size_t Engines);

/// The work of one service from all instances, weighted by its age.
class RoleSplit {
public:
  /// Time constant of the decay of work: long enough that single prompts don't
  /// move the boundary, short enough to follow a burst of some seconds.
  static constexpr Duration DecayTime = std::chrono::seconds(4);

  /// Adds work that was placed now, here or by another instance.
  void add(const WorkTokens &Work, TimePoint Now);

  /// Returns the recent work, for an instance that has just started.
  [[nodiscard]] const WorkTokens &recentWork() const { return m_RecentWork; }

  /// Returns the prefill tokens of the work that is placed in a second, the
  /// mean of about the decay time before \p Now.
  [[nodiscard]] double tokensPerSecond(TimePoint Now) const;

  /// Returns how many of \p Engines take latency-sensitive calls only: at least
  /// one and at most all but one; none or all if nearly all work is of one
  /// kind; none of a single one.
  [[nodiscard]] std::size_t
  latencySensitiveEngineCount(std::size_t Engines) const;

  /// Returns how many engines, which are ordered as \p Groups, have speeds that
  /// add up to the share of the latency-sensitive work; not rounded. None or
  /// all in the cases stated above.
  [[nodiscard]] double
  exactLatencySensitiveEngineCount(const std::vector<SpeedGroup> &Groups) const;

private:
  [[nodiscard]] double latencySensitiveShare() const;
  [[nodiscard]] double decayUntil(TimePoint Now) const;

  WorkTokens m_RecentWork; ///< Decayed sums; without work their ratio stays.
  TimePoint m_DecayedAt{}; ///< Time of the last decay.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ROLE_SPLIT_H
