/// Rate limits that upstreams state, observed by fleets in virtual time.
#define BOOST_TEST_MODULE rate_limits
#include "balance/rate_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

using namespace crowstep;
using namespace crowstep::balance;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr Duration Step = 10ms;
constexpr Duration AnswerTime = 60ms;

/// A limit must be observed from this time after it was first stated, in any
/// window, by instances that had no fault of their own for as long.
constexpr Duration SpreadTime = 3s;
constexpr Duration Window = 4s;
constexpr double RateFactor = 1.5;
constexpr double RateSlack = 5;

const UpstreamId Limited(7);

/// Instances that call one upstream. Lists of instances and updates arrive
/// late, and some updates twice or never.
class Fleet {
public:
  Fleet(std::size_t Count, std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      add();
    for (Instance &Member : m_All)
      Member.m_Limits.setInstances(Member.m_Id, list(), Begin - 20s);
  }

  std::size_t below(std::size_t Limit) { return m_Random() % Limit; }

  /// Simulates \p Time with \p CallsPerSecond calls for this upstream, and one
  /// fault in each \p FaultInterval on average; 0: none.
  void run(Duration Time, std::size_t CallsPerSecond,
           Duration FaultInterval = Duration::zero()) {
    const TimePoint End = m_Now + Time;
    const auto StepsPerSecond = static_cast<std::size_t>(1s / Step);
    for (; m_Now < End; m_Now += Step) {
      deliverAnswers();
      deliverUpdates();
      if (m_Steps++ % 10 == 0)
        sendUpdates();
      if (FaultInterval > Duration::zero() &&
          below(static_cast<std::size_t>(FaultInterval / Step)) == 0)
        injectFault();
      for (std::size_t I = 0; I < 1 + CallsPerSecond / StepsPerSecond; ++I)
        if (below(StepsPerSecond) < CallsPerSecond)
          call(m_All[below(m_All.size())]);
    }
  }

  /// Returns whether no window since \p From had more arrivals than allowed.
  [[nodiscard]] bool observesLimit(double Limit, TimePoint From) const {
    const double Allowed =
        RateFactor * Limit * std::chrono::duration<double>(Window).count() +
        RateSlack;
    for (auto First = m_Arrivals.begin(); First != m_Arrivals.end(); ++First)
      if (*First >= From &&
          static_cast<double>(
              std::upper_bound(First, m_Arrivals.end(), *First + Window) -
              First) > Allowed)
        return false;
    return true;
  }

  [[nodiscard]] std::size_t arrivedSince(TimePoint From) const {
    return static_cast<std::size_t>(
        std::count_if(m_Arrivals.begin(), m_Arrivals.end(),
                      [&](TimePoint Arrival) { return Arrival >= From; }));
  }

  RateLimit m_Limit; ///< Stated by the upstream.
  TimePoint m_Now = Begin;

private:
  struct Instance {
    InstanceId m_Id;
    RateLimits m_Limits;
    TimePoint m_ExcusedUntil{}; ///< Time allowed after its own faults.
    TimePoint m_FrozenUntil{};  ///< It is frozen until then.
  };

  struct Answer {
    TimePoint m_At;    ///< Time of receipt.
    InstanceId m_To;   ///< Its receiver.
    TimePoint m_Sent;  ///< When the call was sent.
    RateLimit m_Limit; ///< As stated.
  };

  void add() {
    const InstanceId Id(++m_LastId * 0x9E3779B97F4A7C15U);
    m_All.push_back({Id, RateLimits(m_Random())});
    m_All.back().m_ExcusedUntil = m_Now + SpreadTime;
  }

  [[nodiscard]] std::vector<InstanceId> list() const {
    std::vector<InstanceId> Result;
    for (const Instance &Member : m_All)
      Result.push_back(Member.m_Id);
    return Result;
  }

  Instance *find(InstanceId Id) {
    const auto Found =
        std::find_if(m_All.begin(), m_All.end(),
                     [&](const Instance &Member) { return Member.m_Id == Id; });
    return Found == m_All.end() ? nullptr : &*Found;
  }

  void call(Instance &From) {
    if (m_Now < From.m_FrozenUntil || !From.m_Limits.maySend(Limited, m_Now))
      return;
    From.m_Limits.recordSend(Limited, m_Now);
    if (m_Now >= From.m_ExcusedUntil)
      m_Arrivals.push_back(m_Now);
    m_Answers.push_back({m_Now + AnswerTime, From.m_Id, m_Now, m_Limit});
  }

  void deliverAnswers() {
    for (; !m_Answers.empty() && m_Answers.front().m_At <= m_Now;
         m_Answers.pop_front()) {
      const Answer &Next = m_Answers.front();
      if (Instance *To = find(Next.m_To))
        To->m_Limits.recordStatement(Limited, Next.m_Limit, Next.m_Sent, m_Now);
    }
  }

  void sendUpdates() {
    for (Instance &Member : m_All) {
      if (m_Now < Member.m_FrozenUntil)
        continue;
      const auto Updates = Member.m_Limits.takeUpdates(m_Now);
      if (Updates.empty() || below(10) == 0) // Lost.
        continue;
      for (std::size_t I = 0; I < 1 + below(2); ++I)
        m_InFlight.emplace(m_Now + std::chrono::milliseconds(below(700)),
                           std::pair(m_Now, Updates));
    }
  }

  void deliverUpdates() {
    for (auto Next = m_InFlight.begin();
         Next != m_InFlight.end() && Next->first <= m_Now;
         Next = m_InFlight.erase(Next))
      for (Instance &To : m_All)
        if (m_Now >= To.m_FrozenUntil)
          To.m_Limits.applyUpdates(Next->second.second, m_Now);
    for (auto Next = m_ListsInFlight.begin();
         Next != m_ListsInFlight.end() && Next->first <= m_Now;
         Next = m_ListsInFlight.erase(Next))
      if (Instance *To = find(Next->second))
        To->m_Limits.setInstances(To->m_Id, list(), m_Now);
  }

  /// One instance restarts, freezes, is removed or is added.
  void injectFault() {
    Instance &Target = m_All[below(m_All.size())];
    switch (below(4)) {
    case 0:
      Target.m_Limits = RateLimits(m_Random());
      Target.m_ExcusedUntil = m_Now + SpreadTime;
      m_ListsInFlight.emplace(m_Now + 100ms, Target.m_Id);
      return;
    case 1:
      Target.m_FrozenUntil = m_Now + 2s;
      Target.m_ExcusedUntil = m_Now + 2s + SpreadTime;
      return;
    case 2:
      if (m_All.size() > 3)
        m_All.erase(m_All.begin() + (&Target - m_All.data()));
      break;
    default:
      add();
    }
    for (const Instance &Member : m_All)
      m_ListsInFlight.emplace(m_Now + std::chrono::milliseconds(below(3500)),
                              Member.m_Id);
  }

  std::mt19937_64 m_Random;          ///< Seeded.
  std::uint64_t m_LastId = 0;        ///< Of instances.
  std::size_t m_Steps = 0;           ///< Steps so far.
  std::vector<Instance> m_All;       ///< Current ones.
  std::deque<Answer> m_Answers;      ///< In the order of m_At.
  std::vector<TimePoint> m_Arrivals; ///< From instances not excused.
  std::multimap<TimePoint, std::pair<TimePoint, std::vector<LimitUpdate>>>
      m_InFlight;                                       ///< Updates by arrival.
  std::multimap<TimePoint, InstanceId> m_ListsInFlight; ///< By arrival.
};

} // namespace

// Guards against instances that together send an upstream more calls than its
// limit, in fleets of any size with restarts, freezes and lost updates.
BOOST_AUTO_TEST_CASE(AFleetKeepsALimit) {
  for (const std::size_t Count : {4, 9, 30, 300, 1000})
    for (const double Limit : {0.0, 0.3, 1.0, 1.8, 5.0, 20.0})
      for (const Duration FaultInterval :
           {Duration(0s), Duration(300ms), Duration(12s)})
        BOOST_TEST_CONTEXT(Count << " instances, limit " << Limit
                                 << ", a fault each " << FaultInterval.count()
                                 << " us") {
          Fleet Instances(Count, Count);
          Instances.run(1s, 500);
          Instances.m_Limit = Limit;
          const TimePoint Stated = Instances.m_Now;
          Instances.run(40s, 500, FaultInterval);
          BOOST_TEST(Instances.observesLimit(Limit, Stated + SpreadTime));
        }
}

// Guards against a limit that is hardly used.
BOOST_AUTO_TEST_CASE(AFleetUsesALimit) {
  for (const std::size_t Count : {4, 9, 30, 300})
    for (const double Limit : {1.0, 5.0, 20.0}) {
      Fleet Instances(Count, Count);
      Instances.m_Limit = Limit;
      Instances.run(6s, 2000);
      const TimePoint Since = Instances.m_Now;
      Instances.run(10s, 2000);
      BOOST_TEST(static_cast<double>(Instances.arrivedSince(Since)) >=
                 5 * Limit);
    }
}

// Guards against a limit that persists after its upstream has ended it.
BOOST_AUTO_TEST_CASE(AnEndedLimitIsForgotten) {
  for (const std::size_t Count : {4, 30, 300})
    for (const double Limit : {0.0, 0.3, 1.0, 5.0})
      BOOST_TEST_CONTEXT(Count << " instances, limit " << Limit) {
        Fleet Instances(Count, Count);
        Instances.m_Limit = Limit;
        Instances.run(8s, 80);
        Instances.m_Limit = std::nullopt;
        Instances.run(40s, 80);
        const TimePoint Since = Instances.m_Now;
        Instances.run(5s, 80);
        BOOST_TEST(Instances.arrivedSince(Since) > 200U);
      }
}

// Guards against the use of tokens from a higher limit, or from none.
BOOST_AUTO_TEST_CASE(ALowerLimitBeginsWithoutTokens) {
  RateLimits Limits(1);
  Limits.setInstances(InstanceId(1), {InstanceId(1)}, Begin - 10s);
  Limits.recordStatement(Limited, 50, Begin, Begin);
  BOOST_TEST(Limits.maySend(Limited, Begin + 1s));
  Limits.recordStatement(Limited, 1, Begin + 1s, Begin + 1s);
  BOOST_TEST(!Limits.maySend(Limited, Begin + 1s));
  BOOST_TEST(!Limits.maySend(Limited, Begin + 1900ms));
  BOOST_TEST(Limits.maySend(Limited, Begin + 2100ms));
}

// Guards against a new sender beside an earlier one that has not stopped yet.
BOOST_AUTO_TEST_CASE(ANewSenderWaitsUntilListsAgree) {
  RateLimits Limits(1);
  Limits.setInstances(InstanceId(1), {InstanceId(2)}, Begin - 10s);
  Limits.recordStatement(Limited, 100, Begin - 5s, Begin - 5s);
  Limits.setInstances(InstanceId(1), {InstanceId(1), InstanceId(2)}, Begin);
  BOOST_TEST(!Limits.maySend(Limited, Begin + RateLimits::ListSettleTime));
  BOOST_TEST(
      Limits.maySend(Limited, Begin + RateLimits::ListSettleTime + 100ms));
  Limits.setInstances(InstanceId(1), {InstanceId(2)}, Begin + 10s);
  BOOST_TEST(!Limits.maySend(Limited, Begin + 10s));
}

// Guards against an answer that ends a limit which was stated after its call.
BOOST_AUTO_TEST_CASE(AnAnswerToAnOlderCallEndsNoLimit) {
  RateLimits Limits(1);
  Limits.setInstances(InstanceId(1), {InstanceId(1)}, Begin - 10s);
  Limits.recordStatement(Limited, 1, Begin, Begin + 100ms);
  Limits.recordStatement(Limited, std::nullopt, Begin + 50ms, Begin + 200ms);
  BOOST_TEST(Limits.limitOf(Limited).has_value());
  Limits.applyUpdates({{Limited, std::nullopt, 500ms}}, Begin + 300ms);
  BOOST_TEST(Limits.limitOf(Limited).has_value());
  Limits.recordStatement(Limited, std::nullopt, Begin + 150ms, Begin + 400ms);
  BOOST_TEST(!Limits.limitOf(Limited).has_value());
}

// Guards against state of upstreams that are no longer listed.
BOOST_AUTO_TEST_CASE(UnlistedUpstreamsAreForgotten) {
  RateLimits Limits(1);
  Limits.recordStatement(Limited, 1, Begin, Begin);
  Limits.keepOnly({});
  BOOST_TEST(!Limits.limitOf(Limited).has_value());
  BOOST_TEST(Limits.maySend(Limited, Begin));
}
