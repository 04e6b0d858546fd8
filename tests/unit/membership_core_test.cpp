/// Properties of the membership protocol over a simulated network: what all
/// views must agree on after faults, within which time, and at what cost.
#define BOOST_TEST_MODULE membership_core
#include "unit/membership_sim.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace crowstep;
using namespace crowstep::membership;
using namespace std::chrono_literals;

namespace {

std::size_t pick(std::size_t Below) {
  return *rc::gen::inRange<std::size_t>(0, Below);
}

/// A converged fleet of \p Min to \p Max members.
struct StartedFleet : FleetSim {
  StartedFleet(std::size_t Min, std::size_t Max)
      : FleetSim(*rc::gen::arbitrary<std::uint64_t>()) {
    addMany(Min + pick(Max - Min + 1));
    RC_ASSERT(runUntil(20s, [this] { return converged(); }) < 20s);
    run(1s);
  }
  std::size_t randomNode() { return pick(m_Nodes.size()); }
};

/// Injects a random fault or repair and lets some time pass.
void injectRandomFault(StartedFleet &Fleet) {
  const std::size_t Victim = Fleet.randomNode();
  const std::size_t Other = Fleet.randomNode();
  switch (pick(7)) {
  case 0:
    Fleet.kill(Victim);
    break;
  case 1:
    if (!Fleet.isUp(Victim))
      Fleet.start(Victim, 1'000'000 + Fleet.m_Random() % 1000, {Other});
    break;
  case 2:
    Fleet.freeze(Victim);
    break;
  case 3:
    Fleet.thaw(Victim);
    break;
  case 4:
    Fleet.breakRandomLink(Victim);
    break;
  case 5:
    if (Victim != Other)
      Fleet.cut(Victim, Other);
    break;
  default:
    Fleet.healAll();
  }
  Fleet.run(std::chrono::milliseconds(pick(3000)));
}

/// Checks that all members name the same live owner for each of many pools.
void assertOneOwner(const FleetSim &Fleet) {
  for (std::uint64_t Pool = 0; Pool < 40; ++Pool) {
    std::set<InstanceId> Owners;
    for (const FleetSim::Node &Node : Fleet.m_Nodes)
      if (Node.m_Core)
        Owners.insert(ownerOf(PoolId(Pool), Node.m_Core->members())->m_Id);
    RC_ASSERT(Owners.size() == 1U);
  }
}

} // namespace

/// Several faults may coincide. Once they end, each running member must list
/// exactly the running members as alive, and all must agree on every owner.
RC_BOOST_PROP(ViewsConvergeOnceFaultsStop, ()) {
  StartedFleet Fleet(2, 10);
  const std::size_t Steps = 1 + pick(15);
  for (std::size_t Step = 0; Step < Steps; ++Step)
    injectRandomFault(Fleet);
  Fleet.healAll();
  for (std::size_t Index = 0; Index < Fleet.m_Nodes.size(); ++Index)
    if (!Fleet.isUp(Index))
      Fleet.start(Index, 2'000'000, {(Index + 1) % Fleet.m_Nodes.size()});
  const Duration Took = Fleet.runUntil(60s, [&] { return Fleet.converged(); });
  RC_ASSERT(Took < 60s);
  assertOneOwner(Fleet);
}

/// The kernel of a killed process closes its connections and refuses new ones.
/// The members that dialled it observe both, declare it dead at once and flood
/// the update. The limit is far below the 2 s within which a pool must move.
RC_BOOST_PROP(KillIsSeenByAllWithinHalfASecond, ()) {
  StartedFleet Fleet(2, 24);
  const std::size_t Victim = Fleet.randomNode();
  Fleet.kill(Victim);
  RC_ASSERT(Fleet.runUntil(2s, [&] { return Fleet.isRemovedForAll(Victim); }) <
            500ms);
}

/// The kernel of a frozen process keeps its connections open, so that only
/// silence shows the failure: 1.2 s until suspicion and 1.5 s more until death,
/// plus up to a heartbeat and some ticks. Once resumed, the process must
/// suspect nobody for the time it missed, and must rejoin by refuting its
/// death.
RC_BOOST_PROP(FrozenMemberIsGivenUpAndComesBackHarmless, ()) {
  StartedFleet Fleet(4, 16);
  const std::size_t Victim = Fleet.randomNode();
  Fleet.freeze(Victim);
  RC_ASSERT(Fleet.runUntil(10s, [&] { return Fleet.isRemovedForAll(Victim); }) <
            3500ms);
  Fleet.run(std::chrono::milliseconds(pick(20'000)));
  const int Deaths = Fleet.noticeCount(NoticeKind::Died);
  const int Suspicions = Fleet.m_Nodes[Victim].m_Notices[NoticeKind::Suspected];
  Fleet.thaw(Victim);
  RC_ASSERT(Fleet.runUntil(10s, [&] { return Fleet.converged(); }) < 5s);
  RC_ASSERT(Fleet.noticeCount(NoticeKind::Died) == Deaths);
  RC_ASSERT(Fleet.m_Nodes[Victim].m_Notices[NoticeKind::Suspected] ==
            Suspicions);
}

/// Two members fail while the others are slow, some so much that they are
/// suspected. They refute in time: no running member is declared dead.
RC_BOOST_PROP(SlowMembersAreNeverGivenUp, ()) {
  FleetSim Fleet(*rc::gen::arbitrary<std::uint64_t>());
  Fleet.m_MaxDelay = 250ms;
  Fleet.m_TickJitter = 900ms;
  const std::size_t Count = 5 + pick(10);
  Fleet.addMany(Count);
  RC_ASSERT(Fleet.runUntil(30s, [&] { return Fleet.converged(); }) < 30s);
  const std::size_t First = pick(Count);
  const std::size_t Second = pick(Count);
  Fleet.kill(First);
  Fleet.freeze(Second);
  for (int Step = 0; Step < 200; ++Step) {
    Fleet.run(50ms);
    for (std::size_t Observer = 0; Observer < Count; ++Observer)
      for (std::size_t Subject = 0; Subject < Count; ++Subject)
        if (Subject != First && Subject != Second && Observer != Second &&
            Fleet.isUp(Observer))
          RC_ASSERT(Fleet.isLiveInViewOf(Observer, Subject));
  }
}

/// A member is frozen while another one dies, and its connections are reset
/// meanwhile. Once resumed, it still takes the other for alive; its outdated
/// updates must not revive the dead member elsewhere.
RC_BOOST_PROP(OldNewsBringsNobodyBack, ()) {
  StartedFleet Fleet(4, 12);
  const std::size_t Frozen = Fleet.randomNode();
  const std::size_t Victim = (Frozen + 1) % Fleet.m_Nodes.size();
  Fleet.freeze(Frozen);
  Fleet.kill(Victim);
  Fleet.runUntil(10s, [&] { return Fleet.isRemovedForAll(Victim); });
  Fleet.run(std::chrono::seconds(pick(60)));
  Fleet.resetWhileFrozen(Frozen);
  Fleet.thaw(Frozen);
  for (int Step = 0; Step < 200; ++Step) {
    Fleet.run(50ms);
    for (std::size_t Observer = 0; Observer < Fleet.m_Nodes.size();
         ++Observer) {
      const bool Revived = Observer != Frozen && Fleet.isUp(Observer) &&
                           Fleet.isLiveInViewOf(Observer, Victim);
      RC_ASSERT(!Revived);
    }
  }
  RC_ASSERT(Fleet.converged());
}

/// Only the path between two members is cut. Each suspects the other, which
/// refutes it through the rest. They must not repeat this every second, as each
/// false suspicion floods the whole fleet.
RC_BOOST_PROP(CutBetweenTwoIsNoDeath, ()) {
  StartedFleet Fleet(4, 10);
  const std::size_t First = Fleet.randomNode();
  const std::size_t Second = (First + 1) % Fleet.m_Nodes.size();
  Fleet.cut(First, Second);
  Fleet.run(60s);
  RC_ASSERT(Fleet.noticeCount(NoticeKind::Died) == 0);
  RC_ASSERT(Fleet.m_Nodes[First].m_Notices[NoticeKind::Refuted] < 8);
  RC_ASSERT(Fleet.m_Nodes[Second].m_Notices[NoticeKind::Refuted] < 8);
  Fleet.healAll();
  RC_ASSERT(Fleet.runUntil(10s, [&] { return Fleet.converged(); }) < 10s);
}

/// The fleet is partitioned in two. The smaller part must notice it within the
/// suspicion time and some ticks, before the larger part declares it dead. The
/// larger part keeps its majority, and the parts merge soon after the partition
/// ends.
RC_BOOST_PROP(OnlyTheLargerPartHearsAMajority, ()) {
  StartedFleet Fleet(5, 15);
  const std::size_t Count = Fleet.m_Nodes.size();
  const std::size_t Small = 1 + pick((Count - 1) / 2);
  for (std::size_t Left = 0; Left < Small; ++Left)
    for (std::size_t Right = Small; Right < Count; ++Right)
      Fleet.cut(Left, Right);
  const auto IsInMajority = [&](std::size_t Index) {
    return Fleet.m_Nodes[Index].m_Core->isInMajority(Fleet.m_Time.now());
  };
  Fleet.run(2500ms);
  for (int Step = 0; Step < 300; ++Step) {
    for (std::size_t Index = 0; Index < Small; ++Index)
      RC_ASSERT(!IsInMajority(Index));
    Fleet.run(50ms);
  }
  for (std::size_t Index = Small; Index < Count; ++Index)
    RC_ASSERT(IsInMajority(Index));
  Fleet.healAll();
  RC_ASSERT(Fleet.runUntil(30s, [&] { return Fleet.converged(); }) < 30s);
  Fleet.run(2s);
  for (std::size_t Index = 0; Index < Count; ++Index)
    RC_ASSERT(IsInMajority(Index));
}

/// The instance's clock was set back between two starts, so that the second
/// start has the lower incarnation. Its updates must not be taken for outdated.
RC_BOOST_PROP(RestartWithAnOlderClockIsTakenBack, ()) {
  StartedFleet Fleet(3, 10);
  const std::size_t Victim = Fleet.randomNode();
  Fleet.kill(Victim);
  Fleet.run(std::chrono::milliseconds(pick(4000)));
  Fleet.start(Victim, 1, {(Victim + 1) % Fleet.m_Nodes.size()});
  RC_ASSERT(Fleet.runUntil(10s, [&] { return Fleet.converged(); }) < 5s);
}

/// A member that leaves is removed at once, without a suspicion or a death.
RC_BOOST_PROP(GoodbyeIsNoDeath, ()) {
  StartedFleet Fleet(2, 16);
  const std::size_t Leaver = Fleet.randomNode();
  Fleet.deliver(Leaver, Leave{});
  RC_ASSERT(Fleet.runUntil(1s, [&] { return Fleet.isRemovedForAll(Leaver); }) <
            100ms);
  Fleet.kill(Leaver);
  Fleet.run(5s);
  RC_ASSERT(Fleet.converged());
  RC_ASSERT(Fleet.noticeCount(NoticeKind::Died) == 0);
  RC_ASSERT(Fleet.noticeCount(NoticeKind::Suspected) == 0);
}

/// Every member confirms a table version; all views must show it soon.
RC_BOOST_PROP(ConfirmedVersionsReachAll, ()) {
  StartedFleet Fleet(2, 16);
  for (std::size_t Index = 0; Index < Fleet.m_Nodes.size(); ++Index)
    Fleet.deliver(Index, VersionConfirmed{TableVersion(7)});
  const auto AllConfirmed = [&] {
    for (const FleetSim::Node &Node : Fleet.m_Nodes)
      for (const Member &Known : Node.m_Core->members())
        if (Known.m_TableVersion != TableVersion(7))
          return false;
    return true;
  };
  RC_ASSERT(Fleet.runUntil(2s, AllConfirmed) < 600ms);
}

/// When one member fails or leaves, only the pools that it owned move. The
/// highest ranked member for a key is the owner of the pool with that number.
RC_BOOST_PROP(OnlyPoolsOfTheChangedMemberMove, ()) {
  std::vector<Member> Members(2 + pick(40));
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    Members[Index].m_Name = *rc::gen::arbitrary<std::string>();
    Members[Index].m_Id =
        instanceIdOf(Members[Index].m_Name + std::to_string(Index));
  }
  std::vector<Member> After = Members;
  Member &Changed = After[pick(After.size())];
  Changed.m_State = *rc::gen::element(MemberState::Dead, MemberState::Left);
  for (std::uint64_t Pool = 0; Pool < 100; ++Pool) {
    const InstanceId Before = ownerOf(PoolId(Pool), Members)->m_Id;
    const InstanceId Now = ownerOf(PoolId(Pool), After)->m_Id;
    RC_ASSERT(Now != Changed.m_Id);
    RC_ASSERT(Before == Changed.m_Id || Before == Now);
    const auto Homes = topRankedMembers(Pool, 3, Members);
    RC_ASSERT(Homes.size() == std::min<std::size_t>(3, Members.size()));
    RC_ASSERT(Homes[0]->m_Id == Before);
  }
}

/// The bytes that a member sends in a fleet without changes do not grow with
/// the fleet. Those for a change of the table, confirmed by all members within
/// a second, do, but by far less than if each sent a message to each.
BOOST_AUTO_TEST_CASE(CostOfAMemberIsConstantFrom8To360) {
  std::map<std::size_t, double> QuietRates;
  for (const std::size_t Count : {8U, 64U, 360U}) {
    FleetSim Fleet(Count);
    Fleet.addMany(Count);
    BOOST_REQUIRE(
        (Fleet.runUntil(60s, [&] { return Fleet.converged(); }) < 60s));
    Fleet.run(8s); // Until the exchanges of views after the start end.
    Fleet.m_CountBytes = true;
    const auto SentIn = [&](Duration Span) {
      const auto Sum = [&] {
        double Bytes = 0;
        for (const FleetSim::Node &Node : Fleet.m_Nodes)
          Bytes += static_cast<double>(Node.m_Bytes);
        return Bytes / static_cast<double>(Count);
      };
      const double Before = Sum();
      Fleet.run(Span);
      return Sum() - Before;
    };
    QuietRates[Count] = SentIn(5s) / 5;
    double Change = -3 * QuietRates[Count];
    for (std::size_t Step = 0; Step < 20; ++Step) {
      for (std::size_t Index = Step; Index < Count; Index += 20)
        Fleet.deliver(Index, VersionConfirmed{TableVersion(1)});
      Change += SentIn(50ms);
    }
    Change += SentIn(2s);
    BOOST_TEST_MESSAGE(Count << " members: each sends " << QuietRates[Count]
                             << " bytes/s, and " << Change
                             << " bytes for a change of the table");
    BOOST_TEST(Change < 250.0 * static_cast<double>(Count) + 2500.0);
  }
  for (const auto &[Count, Rate] : QuietRates) {
    BOOST_TEST(Rate < 1.2 * QuietRates[8]);
    BOOST_TEST(Rate < 1500.0);
  }
}
