/// How often calls may be sent to a second upstream.
#ifndef CROWSTEP_BALANCE_RETRY_BUDGET_H
#define CROWSTEP_BALANCE_RETRY_BUDGET_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <string>

namespace crowstep::balance {

/// The bound on repeats that all instances together must keep to.
struct RetryBudgetSettings {
  double m_Ratio = 0.2;                         ///< Repeats to calls.
  double m_Slack = 50;                          ///< Repeats beside these.
  Duration m_Window = std::chrono::seconds(10); ///< Any span of it.
};

/// One instance's part of a budget that all instances share without asking one
/// another.
///
/// Failure: when many engines fail at once every instance repeats its calls,
/// and the repeats keep the engines down. Instances can't ask one another for
/// each repeat, so each draws only on what its own calls earn, and on a small
/// fixed part of the slack. The sum over all instances then keeps the bound
/// whatever their number, up to MaxInstances.
class RetryBudget {
public:
  /// Instances among which the slack is divided. The deployments planned for
  /// have a slack of 2.3 to 7 for each instance; with this divisor 9 instances
  /// use a third of it and 91 instances, which earn more by their calls, all.
  static constexpr double MaxInstances = 28;

  /// Part of the ratio that is used: the windows of the instances' own calls
  /// and those of the bound do not begin together.
  static constexpr double RatioUsed = 0.75;

  explicit RetryBudget(const RetryBudgetSettings &Chosen) : m_Bound(Chosen) {}

  void setBound(const RetryBudgetSettings &Chosen) { m_Bound = Chosen; }

  /// Counts a call to \p Service.
  void call(const std::string &Service, TimePoint Now);

  /// Takes one repeat if there is one left; returns whether.
  bool take(const std::string &Service, TimePoint Now);

private:
  /// Calls and repeats of one service within the window.
  struct Usage {
    std::deque<TimePoint> m_Calls;   ///< Oldest first.
    std::deque<TimePoint> m_Repeats; ///< Oldest first.
  };

  Usage &recent(const std::string &Service, TimePoint Now);

  RetryBudgetSettings m_Bound;          ///< For all instances together.
  std::map<std::string, Usage> m_Usage; ///< By service.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_RETRY_BUDGET_H
