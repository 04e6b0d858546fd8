/// Upstreams that fall over if they have to reject too much, in fleets.
#define BOOST_TEST_MODULE brittle_upstreams
#include "unit/forwarded_request_env.h"

#include <deque>
#include <map>
#include <random>

using namespace crowstep;
using namespace crowstep::balance;
using namespace crowstep::test;

namespace {

constexpr Duration Step = 1ms;
constexpr Duration DigestInterval = 100ms;
constexpr Duration WaitTime = 50ms;

/// From this time after the first statement rejections count.
constexpr Duration ContactTime = 3s;

/// How a fleet is loaded, and what its upstreams bear.
struct Load {
  std::size_t m_Instances = 9;
  std::size_t m_Upstreams = 4;
  std::uint32_t m_Slots = 6;
  double m_RejectionLimit = 6;   ///< Rejections a second.
  double m_Factor = 1.5;         ///< Calls, in capacities of all upstreams.
  Duration m_CallTime = 30ms;    ///< Of a call.
  Duration m_DigestDelay = 20ms; ///< Until others know of a call.
  double m_Uneven = 1;           ///< Largest share of an instance, in means.
};

/// Instances that call the upstreams of one service, with digests.
class BrittleFleet {
public:
  BrittleFleet(const Load &Chosen, std::uint64_t Seed)
      : m_Load(Chosen), m_Random(Seed) {
    std::vector<InstanceId> Ids;
    for (std::size_t I = 0; I < Chosen.m_Instances; ++I)
      Ids.push_back(instanceIdOf("i" + std::to_string(I)));
    std::vector<Upstream> List;
    for (std::size_t I = 0; I < Chosen.m_Upstreams; ++I) {
      const std::string Name = "u" + std::to_string(I);
      List.push_back({upstreamIdOf(Name),
                      Name,
                      "s",
                      {1, 1},
                      {"a"},
                      PlainService{Chosen.m_Slots},
                      false});
      m_Servers[upstreamIdOf(Name)] = {};
    }
    for (std::size_t I = 0; I < Chosen.m_Instances; ++I) {
      m_Instances.push_back(
          std::make_unique<Balancer>(AvailabilityZone{"a"}, Seed * 1000 + I));
      m_Instances.back()->setUpstreams(List);
      m_Instances.back()->setInstances(Ids[I], Ids, m_Now - 20s);
    }
    m_Ids = Ids;
  }

  void run(Duration Span) {
    const double CallsPerSecond =
        m_Load.m_Factor * static_cast<double>(m_Load.m_Upstreams) *
        m_Load.m_Slots /
        std::chrono::duration<double>(m_Load.m_CallTime).count();
    std::poisson_distribution<int> Arriving(
        CallsPerSecond * std::chrono::duration<double>(Step).count());
    for (const TimePoint End = m_Now + Span; m_Now < End; m_Now += Step) {
      deliver();
      for (int I = Arriving(m_Random); I > 0; --I) {
        ++m_Offered;
        call(drawInstance(), true);
      }
      if (++m_Steps % static_cast<std::size_t>(DigestInterval / Step) == 0)
        sendDigests();
    }
  }

  bool m_IsBrittle = true;    ///< Upstreams state it.
  std::size_t m_Falls = 0;    ///< Of upstreams.
  std::size_t m_Served = 0;   ///< Calls.
  std::size_t m_Offered = 0;  ///< Calls.
  std::size_t m_Rejected = 0; ///< By upstreams.

private:
  struct Server {
    std::uint32_t m_Running = 0;
    std::deque<TimePoint> m_Rejections; ///< Of the last second.
    TimePoint m_DownUntil{};
  };
  struct End {
    std::size_t m_Instance;
    TicketId m_Ticket;
    UpstreamId m_Upstream;
    bool m_WasRejected;
  };

  std::size_t drawInstance() {
    // The first instance gets more than its share.
    const double First =
        m_Load.m_Uneven / static_cast<double>(m_Instances.size());
    return std::uniform_real_distribution<>()(m_Random) < First
               ? 0
               : m_Random() % m_Instances.size();
  }

  /// A call that finds no room waits once.
  void call(std::size_t Instance, bool MayWait) {
    PlacementQuery Query;
    Query.m_Service = "s";
    Query.m_MayWait = MayWait;
    const auto Result = m_Instances[Instance]->place(Query, m_Now);
    if (std::holds_alternative<MustWait>(Result))
      m_Waiting.emplace(m_Now + WaitTime, Instance);
    const auto *Placement = std::get_if<Placed>(&Result);
    if (Placement == nullptr)
      return;
    Server &At = m_Servers[Placement->m_Upstream];
    const bool Rejected =
        m_Now < At.m_DownUntil || At.m_Running >= m_Load.m_Slots;
    if (!Rejected)
      ++At.m_Running;
    else
      reject(At);
    m_Ends.emplace(
        m_Now + (Rejected ? 2ms : m_Load.m_CallTime),
        End{Instance, Placement->m_Ticket, Placement->m_Upstream, Rejected});
  }

  void reject(Server &At) {
    ++m_Rejected;
    if (!m_IsBrittle || m_Now < m_Begin + ContactTime || m_Now < At.m_DownUntil)
      return;
    At.m_Rejections.push_back(m_Now);
    while (At.m_Rejections.front() < m_Now - 1s)
      At.m_Rejections.pop_front();
    if (static_cast<double>(At.m_Rejections.size()) <= m_Load.m_RejectionLimit)
      return;
    ++m_Falls;
    At.m_Rejections.clear();
    At.m_DownUntil = m_Now + 3s;
  }

  void deliver() {
    for (auto Next = m_Waiting.begin();
         Next != m_Waiting.end() && Next->first <= m_Now;
         Next = m_Waiting.erase(Next))
      call(Next->second, false);
    for (auto Next = m_Ends.begin();
         Next != m_Ends.end() && Next->first <= m_Now;
         Next = m_Ends.erase(Next)) {
      const End &Ended = Next->second;
      Balancer &Caller = *m_Instances[Ended.m_Instance];
      if (!Ended.m_WasRejected) {
        --m_Servers[Ended.m_Upstream].m_Running;
        ++m_Served;
      }
      Caller.recordBrittleness(
          Ended.m_Ticket,
          m_IsBrittle ? RejectionLimit(m_Load.m_RejectionLimit) : std::nullopt,
          m_Now);
      Caller.recordCallEnd(Ended.m_Ticket,
                           Ended.m_WasRejected ? CallOutcome::Refused
                                               : CallOutcome::Served,
                           m_Now);
    }
    for (auto Next = m_Digests.begin();
         Next != m_Digests.end() && Next->first <= m_Now;
         Next = m_Digests.erase(Next))
      for (std::size_t I = 0; I < m_Instances.size(); ++I)
        if (I != Next->second.first)
          m_Instances[I]->applyPeerDigest(m_Ids[Next->second.first],
                                          Next->second.second, m_Now);
  }

  void sendDigests() {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      m_Digests.emplace(m_Now + m_Load.m_DigestDelay,
                        std::pair(I, m_Instances[I]->takeDigest(m_Now)));
  }

  Load m_Load;
  std::mt19937_64 m_Random;
  const TimePoint m_Begin{100s};
  TimePoint m_Now = m_Begin;
  std::size_t m_Steps = 0;
  std::vector<InstanceId> m_Ids;
  std::vector<std::unique_ptr<Balancer>> m_Instances;
  std::map<UpstreamId, Server> m_Servers;
  std::multimap<TimePoint, std::size_t> m_Waiting; ///< Calls, by instance.
  std::multimap<TimePoint, End> m_Ends;
  std::multimap<TimePoint, std::pair<std::size_t, LoadDigest>> m_Digests;
};

/// Falls that the platform bears within one brittle time.
double allowedFalls(const Load &Chosen) {
  return 2 + static_cast<double>(Chosen.m_Upstreams) / 10;
}

} // namespace

// Guards against upstreams that are made to fall over by rejections.
BOOST_AUTO_TEST_CASE(BrittleUpstreamsStandAnyLoad) {
  for (const std::size_t Instances : {1U, 9U, 84U})
    for (const double Limit : {2.0, 6.0, 20.0})
      for (const double Factor : {0.3, 0.9, 2.0, 5.0})
        BOOST_TEST_CONTEXT(Instances << " instances, " << Limit
                                     << " rejections a second, load "
                                     << Factor) {
          Load Chosen;
          Chosen.m_Instances = Instances;
          Chosen.m_RejectionLimit = Limit;
          Chosen.m_Factor = Factor;
          Chosen.m_Uneven = Instances > 1 ? 3 : 1;
          BrittleFleet Fleet(Chosen, 7);
          Fleet.run(15s);
          BOOST_TEST_MESSAGE(Instances
                             << " instances, limit " << Limit << ", load "
                             << Factor << ": falls " << Fleet.m_Falls
                             << ", rejected " << Fleet.m_Rejected << ", served "
                             << Fleet.m_Served << " of " << Fleet.m_Offered);
          BOOST_TEST(static_cast<double>(Fleet.m_Falls) <=
                     allowedFalls(Chosen));
        }
}

// Guards against the same with many slots, long calls and late digests.
BOOST_AUTO_TEST_CASE(BrittleEnginesStandLateDigests) {
  for (const double Factor : {0.6, 1.0, 3.0})
    BOOST_TEST_CONTEXT("load " << Factor) {
      Load Chosen;
      Chosen.m_Instances = 84;
      Chosen.m_Upstreams = 12;
      Chosen.m_Slots = 48;
      Chosen.m_CallTime = 1500ms;
      Chosen.m_DigestDelay = 400ms;
      Chosen.m_Factor = Factor;
      BrittleFleet Fleet(Chosen, 3);
      Fleet.run(20s);
      BOOST_TEST_MESSAGE("load " << Factor << ": falls " << Fleet.m_Falls
                                 << ", rejected " << Fleet.m_Rejected
                                 << ", served " << Fleet.m_Served << " of "
                                 << Fleet.m_Offered);
      BOOST_TEST(static_cast<double>(Fleet.m_Falls) <= allowedFalls(Chosen));
    }
}

// Guards against callers that are turned away from upstreams that are idle.
BOOST_AUTO_TEST_CASE(LittleLoadIsServedByBrittleUpstreams) {
  for (const std::size_t Instances : {9U, 84U, 300U})
    BOOST_TEST_CONTEXT(Instances << " instances") {
      Load Chosen;
      Chosen.m_Instances = Instances;
      Chosen.m_Factor = 0.08;
      Chosen.m_RejectionLimit = 2;
      BrittleFleet Fleet(Chosen, 5);
      Fleet.run(10s);
      BOOST_TEST_MESSAGE(Instances << " instances: falls " << Fleet.m_Falls
                                   << ", served " << Fleet.m_Served << " of "
                                   << Fleet.m_Offered);
      BOOST_TEST(static_cast<double>(Fleet.m_Served) >=
                 0.98 * static_cast<double>(Fleet.m_Offered));
      BOOST_TEST(Fleet.m_Falls == 0U);
    }
}

// Guards against upstreams that count as brittle for ever.
BOOST_AUTO_TEST_CASE(BrittlenessEndsWithTheStatements) {
  BrittleFleet Usual(Load(), 1);
  Usual.m_IsBrittle = false;
  BrittleFleet Ended(Load(), 1);
  Ended.run(5s);
  Ended.m_IsBrittle = false;
  Ended.run(2s);
  Usual.run(7s);
  const std::size_t UsualBefore = Usual.m_Served;
  const std::size_t EndedBefore = Ended.m_Served;
  Usual.run(3s);
  Ended.run(3s);
  BOOST_TEST(static_cast<double>(Ended.m_Served - EndedBefore) >
             0.9 * static_cast<double>(Usual.m_Served - UsualBefore));
}

// Guards against a fall of a brittle upstream that a request is quarantined
// for.
BOOST_AUTO_TEST_CASE(AFallOfABrittleUpstreamIsNoFaultOfItsRequests) {
  Balancer Chosen{{"a"}};
  std::vector<Upstream> List;
  for (int I = 0; I < 3; ++I) {
    const std::string Name = "u" + std::to_string(I);
    List.push_back(
        {upstreamIdOf(Name), Name, "s", {1, 1}, {"a"}, PlainService{6}, false});
  }
  Chosen.setUpstreams(List);
  PlacementQuery Query;
  Query.m_Service = "s";
  const quarantine::CallSuspects Suspects{{1, 2}, {}};
  Query.m_Suspects = &Suspects;
  TimePoint Now{10s};
  for (int I = 0; I < 3; ++I) {
    const auto Placement = std::get<Placed>(Chosen.place(Query, Now));
    Chosen.recordBrittleness(Placement.m_Ticket, 6, Now);
    Chosen.recordCallEnd(Placement.m_Ticket, CallOutcome::Broken, Now);
    Chosen.quarantine().recordUpstreamDown(Placement.m_Upstream, Now);
    Query.m_Excluded.push_back(Placement.m_Upstream);
  }
  BOOST_TEST(Chosen.quarantine().size() == 0U);
}

// Guards against a statement that is read from an answer of another upstream,
// or not read from a rejection.
BOOST_AUTO_TEST_CASE(BrittlenessIsReadFromAnyAnswer) {
  TestEnv Refused(Idempotent);
  Refused.sendHeaders(0, 503, {{"Call-Not-Run", "1"}, {"Call-Brittle", "5"}});
  BOOST_TEST(
      Refused.m_Balancer.brittlenessOf("s", Refused.m_Clock.now()).has_value());
  TestEnv Foreign(Idempotent);
  Foreign.call(0).m_Listener->upstreamHeaders(
      200, {{"Call-Id", "other"}, {"Call-Signed", "s"}, {"Call-Brittle", "5"}});
  BOOST_TEST(!Foreign.m_Balancer.brittlenessOf("s", Foreign.m_Clock.now())
                  .has_value());
}

// Guards against calls that are turned away while they could wait for room.
BOOST_AUTO_TEST_CASE(ACallWaitsForRoomAtABrittleUpstream) {
  Balancer Chosen{{"a"}};
  Chosen.setUpstreams(
      {{upstreamIdOf("u"), "u", "s", {1, 1}, {"a"}, PlainService{2}, false}});
  Chosen.setInstances(InstanceId(1), {InstanceId(1)}, TimePoint(1s));
  PlacementQuery Query;
  Query.m_Service = "s";
  const TimePoint Now{10s};
  const auto First = std::get<Placed>(Chosen.place(Query, Now));
  Chosen.recordBrittleness(First.m_Ticket, 5, Now);
  BOOST_TEST((std::get<NotPlaced>(Chosen.place(Query, Now)).m_Reason ==
              RefusalReason::UpstreamBrittle));
  Query.m_MayWait = true;
  BOOST_TEST(std::holds_alternative<MustWait>(Chosen.place(Query, Now)));
  Chosen.recordCallEnd(First.m_Ticket, CallOutcome::Served, Now);
  BOOST_TEST(std::holds_alternative<Placed>(Chosen.place(Query, Now)));
}
