/// How many engines of a service take short prompts only.
///
/// Load: calls with short prompts, whose callers notice each pause, beside
/// calls with long prompts, whose reading delays every token of the batch. The
/// engines are divided as the tokens to be read are, so that both kinds find
/// their engines equally busy; in a burst of one kind the line moves with it.
#ifndef CROWSTEP_BALANCE_ROLE_SPLIT_H
#define CROWSTEP_BALANCE_ROLE_SPLIT_H

#include "core/clock.h"

#include <cstddef>

namespace crowstep::balance {

/// Tokens to read that were given to a service's engines.
struct WorkTokens {
  double m_Short = 0; ///< Of short prompts.
  double m_Long = 0;  ///< Of long prompts.

  WorkTokens &operator+=(const WorkTokens &Other) {
    m_Short += Other.m_Short;
    m_Long += Other.m_Long;
    return *this;
  }
};

/// The work of one service, by all instances, with recent work weighing most.
class RoleSplit {
public:
  /// Work is forgotten by this time constant: long enough that single prompts
  /// don't move the line, short enough to follow a burst of some seconds.
  static constexpr Duration Memory = std::chrono::seconds(4);

  /// Adds work that was placed now, here or by another instance.
  void add(const WorkTokens &Work, TimePoint Now);

  /// Returns the recent work, for an instance that has just started.
  [[nodiscard]] const WorkTokens &recent() const { return m_Recent; }

  /// Returns how many of \p Engines take short prompts only: at least one, at
  /// most half; none of a single one.
  [[nodiscard]] std::size_t shortEngines(std::size_t Engines) const;

private:
  WorkTokens m_Recent; ///< Decayed sums; their ratio stays without work.
  TimePoint m_At{};    ///< When they were decayed last.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_ROLE_SPLIT_H
