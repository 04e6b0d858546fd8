/// Limit on retries of calls at other upstreams.
#ifndef CROWSTEP_BALANCE_RETRY_BUDGET_H
#define CROWSTEP_BALANCE_RETRY_BUDGET_H

#include "core/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace crowstep::balance {

/// The bound on the retries of all instances together.
struct RetryBudgetSettings {
  double m_Ratio = 0.2;                         ///< Retries for each call.
  double m_Slack = 50;                          ///< Retries beside these.
  Duration m_Window = std::chrono::seconds(10); ///< In any span of it.
};

/// One instance's share of a budget that all instances share without asking one
/// another.
///
/// When many engines fail at once, every instance retries its calls, and
/// without a bound the retries would keep the engines down. Instances can't ask
/// one another for each retry, so each uses only what its own calls earn and an
/// equal share of the slack. All instances together keep the bound if the
/// numbers of instances that they know differ by less than the unused part of
/// the slack.
class RetryBudget {
public:
  /// Share of the ratio that is used: the windows of the instances' own calls
  /// do not begin together with those of the bound.
  static constexpr double RatioUsed = 0.75;

  /// Share of the slack that is divided among the known instances. The rest is
  /// for instances that are not known everywhere yet.
  static constexpr double SlackUsed = 0.75;

  /// Growth by more than this share of the known instances means that more are
  /// starting, and that the number of instances is not reliable yet.
  static constexpr double GrowthThreshold = 0.125;

  /// The number of instances is reliable again after this long without such
  /// growth. Lists of instances lag behind by less.
  static constexpr Duration GrowthSettleTime = std::chrono::seconds(4);

  explicit RetryBudget(const RetryBudgetSettings &Bound) : m_Bound(Bound) {}

  void setBound(const RetryBudgetSettings &Bound) { m_Bound = Bound; }

  /// Sets the number of known instances, this one included. Until the first
  /// call there is no slack.
  void setInstances(std::size_t Count, TimePoint Now);

  /// Counts a call to \p Service.
  void recordCall(const std::string &Service, TimePoint Now);

  /// Uses up one retry if the budget allows it; returns whether it does.
  bool trySpend(const std::string &Service, TimePoint Now);

private:
  /// Calls and retries of one service within the window.
  struct Usage {
    std::deque<TimePoint> m_Calls;   ///< Oldest first.
    std::deque<TimePoint> m_Retries; ///< Oldest first.
  };

  /// An earlier number of instances.
  struct KnownCount {
    std::size_t m_Count;
    TimePoint m_LastKnownAt; ///< When it was replaced.
  };

  Usage &currentUsage(const std::string &Service, TimePoint Now);
  [[nodiscard]] double ownSlack(TimePoint Now);
  [[nodiscard]] std::size_t maxInstances(TimePoint Now);

  RetryBudgetSettings m_Bound;            ///< For all instances together.
  std::map<std::string, Usage> m_Usage;   ///< By service.
  std::size_t m_Instances = 0;            ///< Current number; 0: not known.
  std::deque<KnownCount> m_EarlierCounts; ///< Higher ones, highest first.
  TimePoint m_LastGrowthAt{};             ///< See GrowthThreshold.
};

} // namespace crowstep::balance

#endif // CROWSTEP_BALANCE_RETRY_BUDGET_H
