/// The retry budget that instances share without asking one another.
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

/// Instances of a fleet, and what all of them sent.
struct Fleet {
  RetryBudgetSettings m_Bound;
  std::vector<RetryBudget> m_Budgets;
  std::vector<TimePoint> m_Calls;
  std::vector<TimePoint> m_Repeats;

  Fleet(std::size_t Count, const RetryBudgetSettings &Bound)
      : m_Bound(Bound), m_Budgets(Count, RetryBudget(Bound)) {}

  void call(std::size_t Which, TimePoint Now) {
    m_Budgets[Which].call(Service, Now);
    m_Calls.push_back(Now);
  }

  bool repeat(std::size_t Which, TimePoint Now) {
    if (!m_Budgets[Which].take(Service, Now))
      return false;
    m_Repeats.push_back(Now);
    return true;
  }

  /// Every instance repeats as often as it may.
  void repeatAll(TimePoint Now) {
    for (std::size_t I = 0; I < m_Budgets.size(); ++I)
      while (repeat(I, Now))
        continue;
  }

  /// Returns whether every window keeps the bound.
  [[nodiscard]] bool keepsBound() const {
    return std::all_of(m_Repeats.begin(), m_Repeats.end(), [&](TimePoint End) {
      return static_cast<double>(within(m_Repeats, End)) <=
             m_Bound.m_Ratio * static_cast<double>(within(m_Calls, End)) +
                 m_Bound.m_Slack;
    });
  }

  [[nodiscard]] std::ptrdiff_t within(const std::vector<TimePoint> &Sorted,
                                      TimePoint End) const {
    const auto First =
        std::upper_bound(Sorted.begin(), Sorted.end(), End - m_Bound.m_Window);
    return std::upper_bound(First, Sorted.end(), End) - First;
  }
};

} // namespace

// Guards against repeats over the bound in a fleet of any size whose instances
// know different numbers of one another.
BOOST_AUTO_TEST_CASE(RetriesOfAllInstancesKeepTheBound) {
  rc::check("bound on retries", [] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 1001);
    Fleet It(Count,
             {0.2, static_cast<double>(*rc::gen::inRange(20, 1000)), 10s});
    TimePoint Now{100s};
    for (RetryBudget &Each : It.m_Budgets)
      Each.setInstances(
          *rc::gen::inRange<std::size_t>(Count - Count / 8, 2 * Count + 1),
          Now - 20s);
    for (int Step = 0; Step < 300; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
      const auto Which = *rc::gen::inRange<std::size_t>(0, Count);
      if (*rc::gen::inRange(0, 3) > 0)
        It.call(Which, Now);
      while (It.repeat(Which, Now))
        continue;
    }
    It.repeatAll(Now);
    RC_ASSERT(It.keepsBound());
  });
}

// Guards against a slack that is divided among the few that are listed while a
// whole fleet starts.
BOOST_AUTO_TEST_CASE(AStartOfAllKeepsTheBound) {
  rc::check("bound on retries during a start", [] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 501);
    Fleet It(Count, {0.2, 600, 10s});
    const TimePoint Begin{100s};
    std::vector<TimePoint> Listed;
    for (std::size_t I = 0; I < Count; ++I)
      Listed.push_back(Begin +
                       std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
    for (TimePoint Now = Begin; Now < Begin + 12s; Now += 250ms) {
      for (std::size_t I = 0; I < Count; ++I)
        // Each reads the list when it starts and again every three seconds.
        if (Now >= Listed[I] && (Now - Listed[I]) % 3s < 250ms)
          It.m_Budgets[I].setInstances(
              static_cast<std::size_t>(
                  std::count_if(Listed.begin(), Listed.end(),
                                [&](TimePoint At) { return At <= Now; })),
              Now);
      It.repeatAll(Now);
    }
    RC_ASSERT(It.keepsBound());
  });
}

// Guards against survivors that use the slack of instances which have just left
// and have used it themselves.
BOOST_AUTO_TEST_CASE(SlackOfThoseThatLeftIsNotUsedTwice) {
  const TimePoint Begin{100s};
  Fleet It(300, {0.2, 630, 10s});
  for (RetryBudget &Each : It.m_Budgets)
    Each.setInstances(300, Begin - 20s);
  It.repeatAll(Begin);
  for (std::size_t I = 0; I < 150; ++I)
    It.m_Budgets[I].setInstances(150, Begin + 1s);
  It.repeatAll(Begin + 2s);
  It.repeatAll(Begin + 9s);
  BOOST_TEST(It.keepsBound());
  // A window later the survivors have all of it.
  const std::size_t Before = It.m_Repeats.size();
  for (std::size_t I = 0; I < 150; ++I)
    while (It.repeat(I, Begin + 30s))
      continue;
  BOOST_TEST(It.m_Repeats.size() - Before == 150 * 3U);
}

// Guards against a budget that a lone instance can't use.
BOOST_AUTO_TEST_CASE(AFewInstancesHaveMostOfTheSlack) {
  const TimePoint Begin{100s};
  Fleet It(9, {0.2, 58, 10s});
  for (RetryBudget &Each : It.m_Budgets)
    Each.setInstances(9, Begin - 20s);
  It.repeatAll(Begin);
  BOOST_TEST(It.m_Repeats.size() == 9 * 4U);
}
