/// How often calls may be sent to a second upstream.
#ifndef CROWSTEP_BALANCE_RETRY_BUDGET_H
#define CROWSTEP_BALANCE_RETRY_BUDGET_H

#include "core/clock.h"

#include <cstddef>
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
/// each repeat, so each draws only on what its own calls earn, and on an equal
/// part of the slack. The sum over all instances keeps the bound if what they
/// know of their number differs by less than the unused part of the slack.
class RetryBudget {
public:
  /// Part of the ratio that is used: the windows of the instances' own calls
  /// and those of the bound do not begin together.
  static constexpr double RatioUsed = 0.75;

  /// Part of the slack that is divided among the known instances. The rest is
  /// for instances that are not known everywhere yet.
  static constexpr double SlackUsed = 0.75;

  /// Growth by more than this share of the known instances means that more are
  /// starting, and that the number is not to be relied on yet.
  static constexpr double SmallGrowth = 0.125;

  /// The number is relied on again after so long without such growth. Lists of
  /// instances lag behind by less.
  static constexpr Duration GrowthSpan = std::chrono::seconds(4);

  explicit RetryBudget(const RetryBudgetSettings &Bound) : m_Bound(Bound) {}

  void setBound(const RetryBudgetSettings &Bound) { m_Bound = Bound; }

  /// Takes the number of instances that are known, this one among them. Until
  /// the first time there is no slack.
  void setInstances(std::size_t Count, TimePoint Now);

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

  /// A number of instances and when it was known last.
  struct KnownCount {
    std::size_t m_Count;
    TimePoint m_Until; ///< The latest time for the number in force.
  };

  Usage &recent(const std::string &Service, TimePoint Now);
  [[nodiscard]] double ownSlack(TimePoint Now);
  [[nodiscard]] std::size_t mostInstances(TimePoint Now);

  RetryBudgetSettings m_Bound;          ///< For all instances together.
  std::map<std::string, Usage> m_Usage; ///< By service.
  std::size_t m_Instances = 0;          ///< Known now; 0: not known.
  std::deque<KnownCount> m_Earlier;     ///< Higher numbers, highest first.
  TimePoint m_GrewAt{};                 ///< See SmallGrowth.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_RETRY_BUDGET_H
