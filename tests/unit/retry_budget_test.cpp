/// Retry budget that instances share without asking one another.
#define BOOST_TEST_MODULE retry_budget
#include "balance/retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

const std::string Service = "s";

/// The budgets of a fleet of instances, and what all of them sent.
struct Fleet {
  RetryBudgetSettings m_Bound;
  std::vector<RetryBudget> m_Budgets;
  std::vector<TimePoint> m_Calls;
  std::vector<TimePoint> m_Retries;

  Fleet(std::size_t Count, const RetryBudgetSettings &Bound)
      : m_Bound(Bound), m_Budgets(Count, RetryBudget(Bound)) {}

  void call(std::size_t Index, TimePoint Now) {
    m_Budgets[Index].recordCall(Service, Now);
    m_Calls.push_back(Now);
  }

  bool retry(std::size_t Index, TimePoint Now) {
    if (!m_Budgets[Index].trySpend(Service, Now))
      return false;
    m_Retries.push_back(Now);
    return true;
  }

  /// Every instance retries as often as its budget allows.
  void retryAll(TimePoint Now) {
    for (std::size_t I = 0; I < m_Budgets.size(); ++I)
      while (retry(I, Now))
        continue;
  }

  /// Returns whether the bound holds in every window.
  [[nodiscard]] bool holdsBound() const {
    return std::all_of(m_Retries.begin(), m_Retries.end(), [&](TimePoint End) {
      return static_cast<double>(countInWindow(m_Retries, End)) <=
             m_Bound.m_Ratio *
                     static_cast<double>(countInWindow(m_Calls, End)) +
                 m_Bound.m_Slack;
    });
  }

  [[nodiscard]] std::ptrdiff_t
  countInWindow(const std::vector<TimePoint> &Sorted, TimePoint End) const {
    const auto First =
        std::upper_bound(Sorted.begin(), Sorted.end(), End - m_Bound.m_Window);
    return std::upper_bound(First, Sorted.end(), End) - First;
  }
};

} // namespace

// Guards against retries beyond the bound in a fleet of any size whose
// instances know different numbers of instances.
BOOST_AUTO_TEST_CASE(RetriesOfAllInstancesKeepTheBound) {
  rc::check("bound on retries", [] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 1001);
    Fleet Instances(
        Count, {0.2, static_cast<double>(*rc::gen::inRange(20, 1000)), 10s});
    TimePoint Now{100s};
    for (RetryBudget &Budget : Instances.m_Budgets)
      Budget.setInstances(
          *rc::gen::inRange<std::size_t>(Count - Count / 8, 2 * Count + 1),
          Now - 20s);
    for (int Step = 0; Step < 300; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
      const auto Index = *rc::gen::inRange<std::size_t>(0, Count);
      if (*rc::gen::inRange(0, 3) > 0)
        Instances.call(Index, Now);
      while (Instances.retry(Index, Now))
        continue;
    }
    Instances.retryAll(Now);
    RC_ASSERT(Instances.holdsBound());
  });
}

// Guards against slack that is divided among the few instances that are listed
// while a whole fleet starts.
BOOST_AUTO_TEST_CASE(AStartOfAllKeepsTheBound) {
  rc::check("bound on retries during a start", [] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 501);
    Fleet Instances(Count, {0.2, 600, 10s});
    const TimePoint Begin{100s};
    std::vector<TimePoint> ListedAt;
    for (std::size_t I = 0; I < Count; ++I)
      ListedAt.push_back(Begin +
                         std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
    for (TimePoint Now = Begin; Now < Begin + 12s; Now += 250ms) {
      for (std::size_t I = 0; I < Count; ++I)
        // An instance reads the list when it starts and then every 3 s.
        if (Now >= ListedAt[I] && (Now - ListedAt[I]) % 3s < 250ms)
          Instances.m_Budgets[I].setInstances(
              static_cast<std::size_t>(std::count_if(
                  ListedAt.begin(), ListedAt.end(),
                  [&](TimePoint StartedAt) { return StartedAt <= Now; })),
              Now);
      Instances.retryAll(Now);
    }
    RC_ASSERT(Instances.holdsBound());
  });
}

// Guards against instances that use the slack of others which have just left
// and have used it themselves.
BOOST_AUTO_TEST_CASE(SlackOfThoseThatLeftIsNotUsedTwice) {
  const TimePoint Begin{100s};
  Fleet Instances(300, {0.2, 630, 10s});
  for (RetryBudget &Budget : Instances.m_Budgets)
    Budget.setInstances(300, Begin - 20s);
  Instances.retryAll(Begin);
  for (std::size_t I = 0; I < 150; ++I)
    Instances.m_Budgets[I].setInstances(150, Begin + 1s);
  Instances.retryAll(Begin + 2s);
  Instances.retryAll(Begin + 9s);
  BOOST_TEST(Instances.holdsBound());
  // After a window the remaining instances share the whole slack.
  const std::size_t Before = Instances.m_Retries.size();
  for (std::size_t I = 0; I < 150; ++I)
    while (Instances.retry(I, Begin + 30s))
      continue;
  BOOST_TEST(Instances.m_Retries.size() - Before == 150 * 3U);
}

// Guards against a small fleet that can use little of its budget.
BOOST_AUTO_TEST_CASE(AFewInstancesHaveMostOfTheSlack) {
  const TimePoint Begin{100s};
  Fleet Instances(9, {0.2, 58, 10s});
  for (RetryBudget &Budget : Instances.m_Budgets)
    Budget.setInstances(9, Begin - 20s);
  Instances.retryAll(Begin);
  BOOST_TEST(Instances.m_Retries.size() == 9 * 4U);
}
