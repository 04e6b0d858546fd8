/// Digests among many instances.
#define BOOST_TEST_MODULE digest_exchange
#include "unit/digest_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::test;

// Few instances: each knows of all calls after one digest.
BOOST_AUTO_TEST_CASE(FewInstancesSendToEachOther) {
  Fleet F(3, 3);
  F.placeOneEach();
  F.run(120ms);
  BOOST_TEST(F.allKnowCalls(9));
}

// Many instances in four zones: each call is known everywhere within half a
// second and counted once, though no instance has links to most others.
BOOST_AUTO_TEST_CASE(ManyInstancesKnowAllCallsThroughHubs) {
  Fleet F(4, 21);
  BOOST_TEST(F.m_Net.m_LinkEnds.size() < 4U * 21U * 23U);
  F.placeOneEach();
  F.run(500ms);
  BOOST_TEST(F.allKnowCalls(84));
  F.run(2s);
  BOOST_TEST(F.allKnowCalls(84));
  // With links between all instances, a digest each 100 ms would be 830 frames
  // a second.
  for (const auto &[Name, Frames] : F.m_Net.m_Frames)
    BOOST_TEST(Frames < 2.5 * 260);
}

// A zone's hub is killed under load. The next one takes over; the load known to
// the others is stale for a second and then complete again.
BOOST_AUTO_TEST_CASE(TheLossOfAHubDisconnectsNoZone) {
  Fleet F(3, 10);
  F.placeOneEach();
  F.run(1s);
  BOOST_TEST(F.allKnowCalls(30));
  const auto Largest = std::find_if(
      F.m_Instances.begin(), F.m_Instances.end(), [](const auto &Member) {
        return Member->m_Self.m_Zone.m_Name == "z1" &&
               Member->m_Self.m_Weight > 1;
      });
  F.m_Instances.erase(Largest);
  F.run(1500ms);
  BOOST_TEST(F.allKnowCalls(29));
  F.m_Instances.front()->place(F.m_Clock.now());
  F.run(500ms);
  BOOST_TEST(F.allKnowCalls(30));
}

// Guards against a zone that is cut off from the others because its hub is
// stopped, or has lost power, and its links stay up.
BOOST_AUTO_TEST_CASE(AHubThatFallsSilentIsReplaced) {
  Fleet F(3, 10);
  F.run(1s);
  const auto Largest = std::find_if(
      F.m_Instances.begin(), F.m_Instances.end(), [](const auto &Member) {
        return Member->m_Self.m_Zone.m_Name == "z1" &&
               Member->m_Self.m_Weight > 1;
      });
  F.m_Net.m_Stalled = (*Largest)->m_Links;
  F.run(1500ms);
  F.m_Instances[19]->place(F.m_Clock.now());
  F.run(800ms);
  for (const auto &Member : F.m_Instances)
    if (Member != *Largest)
      BOOST_TEST(Member->knownCalls(F.m_Clock.now()) == 1);
}

// Guards against work that is never reported because its calls have ended
// before the next digest.
BOOST_AUTO_TEST_CASE(WorkOfEndedCallsIsReported) {
  balance::Balancer Balancer({"a"});
  Balancer.setUpstreams(
      {{upstreamIdOf("e"), "e", "writer", {1, 1}, {"a"}, Engine{8}, false}});
  balance::PlacementQuery Query;
  Query.m_Service = "writer";
  Query.m_Prompt = {{}, 1000, 10, 10};
  const TimePoint Now{100s};
  const auto Call = std::get<balance::Placed>(Balancer.place(Query, Now));
  Balancer.recordCallEnd(Call.m_Ticket, balance::CallOutcome::Served, Now);
  const balance::LoadDigest Digest = Balancer.takeDigest(Now);
  BOOST_TEST(!Digest.m_Work.empty());
  BOOST_TEST(!Digest.empty());
}

namespace {

/// Lets an instance observe that an upstream crashes under a request.
void observeCrash(Instance &Observer, std::uint64_t Upstream, TimePoint Now) {
  Observer.m_Balancer.quarantine().recordBrokenCall(
      {{{1, 1}, {}}, UpstreamId(Upstream), IncarnationId(Upstream)}, Now);
  Observer.m_Balancer.quarantine().recordUpstreamDown(UpstreamId(Upstream),
                                                      Now);
}

bool allQuarantine(Fleet &F) {
  return std::all_of(F.m_Instances.begin(), F.m_Instances.end(),
                     [&](const auto &Member) {
                       return Member->m_Balancer.quarantine().remainingHold(
                                  {1, 1}, F.m_Clock.now()) > Duration::zero();
                     });
}

} // namespace

// Guards against crashes observed in different zones that are never added up.
BOOST_AUTO_TEST_CASE(CrashesAddUpAcrossZones) {
  for (const auto &[Zones, InZone] :
       {std::pair(2, 2), std::pair(3, 3), std::pair(4, 21), std::pair(6, 50)}) {
    Fleet F(Zones, InZone);
    F.run(1s);
    const std::size_t Count = F.m_Instances.size();
    observeCrash(*F.m_Instances[0], 1, F.m_Clock.now());
    F.run(300ms);
    observeCrash(*F.m_Instances[Count / 2], 2, F.m_Clock.now());
    observeCrash(*F.m_Instances[Count - 1], 3, F.m_Clock.now());
    F.run(1500ms);
    BOOST_TEST(allQuarantine(F));
  }
}

// Guards against crashes that are lost with the hub that was to relay them.
BOOST_AUTO_TEST_CASE(CrashesSurviveTheLossOfTheirHub) {
  Fleet F(3, 10);
  F.run(1s);
  const auto Hub = std::find_if(F.m_Instances.begin(), F.m_Instances.end(),
                                [](const auto &Member) {
                                  return Member->m_Self.m_Zone.m_Name == "z1" &&
                                         Member->m_Self.m_Weight > 1;
                                });
  const auto Seen = std::find_if(
      F.m_Instances.begin(), F.m_Instances.end(), [](const auto &Member) {
        return Member->m_Self.m_Zone.m_Name == "z1" &&
               Member->m_Self.m_Weight == 1;
      });
  for (std::uint64_t I = 1; I <= 3; ++I)
    observeCrash(**Seen, I, F.m_Clock.now());
  F.run(100ms); // The hub has received the reports.
  F.m_Instances.erase(Hub);
  F.run(1500ms);
  BOOST_TEST(allQuarantine(F));
}

// The bytes between zones grow with the number of zones, not with the number of
// pairs of instances.
BOOST_AUTO_TEST_CASE(BytesBetweenZonesGrowWithZonesOnly) {
  const auto Between = [](int InZone) {
    Fleet F(4, InZone);
    F.placeOneEach();
    F.run(2s);
    return static_cast<double>(F.m_Net.m_Bytes[1]);
  };
  BOOST_TEST(Between(40) < 1.5 * Between(10));
}

namespace {

DirectoryUpdate someUpdate() {
  return {"t",
          DirectoryVersion(3),
          DirectoryVersion(7),
          5000ms,
          {{"k", std::string("\0v", 2), DirectoryVersion(7), false},
           {"gone", "", DirectoryVersion(5), true}}};
}

/// Returns the first instance with a role in a zone.
Instance &instanceWithRole(Fleet &F, const std::string &Zone,
                           ReadingRole Role) {
  for (const auto &Member : F.m_Instances)
    if (Member->m_Self.m_Zone.m_Name == Zone &&
        Member->m_Exchange.readingRole() == Role)
      return *Member;
  throw std::out_of_range(Zone);
}

std::uint64_t droppedUpdates(Instance &Receiver) {
  return Receiver.m_Stats.counter("crowstep_directory_updates_dropped_total")
      .value();
}

} // namespace

// Guards against a zone without a reader, or with two instances that call the
// store continuously.
BOOST_AUTO_TEST_CASE(EachZoneHasOneReaderAndOneDeputy) {
  Fleet F(3, 10);
  std::map<std::pair<std::string, ReadingRole>, int> Roles;
  for (const auto &Member : F.m_Instances)
    ++Roles[{Member->m_Self.m_Zone.m_Name, Member->m_Exchange.readingRole()}];
  for (const char *Zone : {"z0", "z1", "z2"}) {
    BOOST_TEST((Roles[{Zone, ReadingRole::Reader}] == 1));
    BOOST_TEST((Roles[{Zone, ReadingRole::Deputy}] == 1));
    BOOST_TEST((Roles[{Zone, ReadingRole::Follower}] == 8));
  }
}

// Guards against a small fleet in which every instance calls the store
// continuously.
BOOST_AUTO_TEST_CASE(AFleetWithoutHubsHasOneReaderAndOneDeputy) {
  Fleet Few(3, 3);
  std::map<ReadingRole, int> Roles;
  for (const auto &Member : Few.m_Instances)
    ++Roles[Member->m_Exchange.readingRole()];
  BOOST_TEST(Roles[ReadingRole::Reader] == 1);
  BOOST_TEST(Roles[ReadingRole::Deputy] == 1);
  BOOST_TEST(Roles[ReadingRole::Follower] == 7);
  Fleet Single(1, 1);
  BOOST_TEST((Single.m_Instances.front()->m_Exchange.readingRole() ==
              ReadingRole::Alone));
}

// Guards against updates of the one reader that don't reach all zones.
BOOST_AUTO_TEST_CASE(UpdatesGoToAllInstancesOfASmallFleet) {
  Fleet Few(3, 3);
  Instance *Reader = nullptr;
  for (const auto &Member : Few.m_Instances)
    if (Member->m_Exchange.readingRole() == ReadingRole::Reader)
      Reader = Member.get();
  BOOST_REQUIRE(Reader != nullptr);
  Reader->m_Exchange.sendUpdate(someUpdate());
  Few.run(20ms);
  for (const auto &Member : Few.m_Instances)
    BOOST_TEST(Member->m_Updates.size() == (Member.get() == Reader ? 0U : 1U));
}

// Guards against updates that reach other zones, are altered or don't reach all
// instances of the own zone.
BOOST_AUTO_TEST_CASE(UpdatesGoToTheOwnZone) {
  Fleet F(2, 20);
  instanceWithRole(F, "z0", ReadingRole::Reader)
      .m_Exchange.sendUpdate(someUpdate());
  F.run(20ms);
  for (const auto &Member : F.m_Instances) {
    const bool Receives =
        Member->m_Self.m_Zone.m_Name == "z0" &&
        Member->m_Exchange.readingRole() != ReadingRole::Reader;
    BOOST_REQUIRE(Member->m_Updates.size() == (Receives ? 1U : 0U));
    if (!Receives)
      continue;
    const DirectoryUpdate &Received = Member->m_Updates.front();
    BOOST_TEST(Received.m_Table == "t");
    BOOST_TEST(Received.m_After.value() == 3U);
    BOOST_TEST(Received.m_Version.value() == 7U);
    BOOST_TEST((Received.m_ReadAt == 5000ms));
    BOOST_REQUIRE(Received.m_Rows.size() == 2U);
    BOOST_TEST(Received.m_Rows[0].m_Value == std::string("\0v", 2));
    BOOST_TEST(Received.m_Rows[1].m_Removed);
  }
}

// Guards against an update that is applied although its sender isn't a reader
// of the zone, or it is inconsistent: it must be dropped and counted.
BOOST_AUTO_TEST_CASE(OnlyReadersOfTheZoneMaySendUpdates) {
  Fleet F(2, 20);
  Instance &Other = instanceWithRole(F, "z0", ReadingRole::Follower);
  Other.m_Exchange.sendUpdate(someUpdate());
  F.run(20ms);
  for (const auto &Member : F.m_Instances) {
    const bool Near =
        Member->m_Self.m_Zone.m_Name == "z0" && Member.get() != &Other;
    BOOST_TEST(Member->m_Updates.empty());
    BOOST_TEST(droppedUpdates(*Member) == (Near ? 1U : 0U));
  }
  Instance &Reader = instanceWithRole(F, "z1", ReadingRole::Reader);
  DirectoryUpdate Backwards = someUpdate();
  Backwards.m_Version = DirectoryVersion(2);
  DirectoryUpdate Ahead = someUpdate();
  Ahead.m_Rows[0].m_Version = DirectoryVersion(8);
  for (const DirectoryUpdate &Bad : {Backwards, Ahead}) {
    Reader.m_Exchange.sendUpdate(Bad);
    F.run(20ms);
  }
  Instance &Receiver = instanceWithRole(F, "z1", ReadingRole::Follower);
  BOOST_TEST(Receiver.m_Updates.empty());
  BOOST_TEST(droppedUpdates(Receiver) == 2U);
}

namespace {

/// Returns the requests of a window that an instance knows of.
std::uint64_t knownUsage(Instance &At, duty::UsageWindow Window) {
  const duty::WorkspaceCounts Counts = At.m_Meter.counts().total(Window);
  return Counts.empty() ? 0 : Counts.at("w");
}

/// Returns whether there is a candidate for the duties, and all candidates know
/// of \p Count requests.
bool candidatesKnow(Fleet &F, duty::UsageWindow Window, std::uint64_t Count) {
  int Candidates = 0;
  for (const auto &Member : F.m_Instances) {
    if (!Member->m_Exchange.isDutyCandidate())
      continue;
    ++Candidates;
    if (knownUsage(*Member, Window) != Count)
      return false;
  }
  return Candidates > 0;
}

} // namespace

// Guards against requests that are not reported because the holder of the
// duties does not learn of them.
BOOST_AUTO_TEST_CASE(UsageReachesTheCandidates) {
  for (const auto &[Zones, InZone] :
       {std::pair(1, 1), std::pair(1, 30), std::pair(3, 3), std::pair(4, 21)}) {
    Fleet F(Zones, InZone);
    F.run(1s);
    const duty::UsageWindow Window = F.m_Instances[0]->m_Meter.currentWindow();
    for (int I = 0; I < 3; ++I) {
      for (const auto &Member : F.m_Instances)
        Member->m_Meter.recordBegun("w");
      F.run(700ms);
    }
    BOOST_TEST(candidatesKnow(F, Window, 3 * F.m_Instances.size()));
  }
}

// Guards against requests that are not reported because the only instances that
// knew of them were killed: a zone's hub before it passed them on, and the
// instance that served them.
BOOST_AUTO_TEST_CASE(UsageSurvivesTheLossOfInstances) {
  Fleet F(3, 10);
  F.run(1s);
  const duty::UsageWindow Window = F.m_Instances[0]->m_Meter.currentWindow();
  const auto Hub = std::find_if(F.m_Instances.begin(), F.m_Instances.end(),
                                [](const auto &Member) {
                                  return Member->m_Self.m_Zone.m_Name == "z1" &&
                                         Member->m_Self.m_Weight > 1;
                                });
  F.m_Net.m_Stalled = (*Hub)->m_Links;
  F.m_Instances[19]->m_Meter.recordBegun("w");
  F.run(500ms);
  F.m_Instances.erase(F.m_Instances.begin() + 19);
  F.m_Instances.erase(Hub);
  F.run(1500ms);
  BOOST_TEST(candidatesKnow(F, Window, 1));
}

// Guards against requests that are not reported because a candidate was started
// after they had been counted.
BOOST_AUTO_TEST_CASE(ACandidateThatStartsLearnsAllUsage) {
  Fleet F(3, 10);
  F.run(1s);
  const duty::UsageWindow Window = F.m_Instances[0]->m_Meter.currentWindow();
  for (const auto &Member : F.m_Instances)
    Member->m_Meter.recordBegun("w");
  F.run(500ms);
  const auto Candidate = std::find_if(
      F.m_Instances.begin(), F.m_Instances.end(),
      [](const auto &Member) { return Member->m_Exchange.isDutyCandidate(); });
  const PeerInstance Self = (*Candidate)->m_Self;
  F.m_Instances.erase(Candidate);
  F.run(100ms);
  F.m_Instances.push_back(
      std::make_unique<Instance>(F.m_Net, Self, F.m_Clock, F.m_Timers));
  F.m_Instances.back()->m_Exchange.setPeers(F.m_List);
  for (const auto &Member : F.m_Instances)
    Member->m_Exchange.setPeers(F.m_List);
  F.run(500ms);
  BOOST_TEST(F.m_Instances.back()->m_Exchange.isDutyCandidate());
  BOOST_TEST(candidatesKnow(F, Window, 30));
}

// Guards against requests that are not reported because they began after their
// instance had left the list.
BOOST_AUTO_TEST_CASE(UsageOfAStoppingInstanceIsReported) {
  for (const auto &[Zones, InZone] :
       {std::pair(2, 2), std::pair(3, 3), std::pair(4, 21), std::pair(6, 50)}) {
    const std::size_t Count = Fleet(Zones, InZone).m_Instances.size();
    for (const std::size_t Index : {std::size_t(0), Count / 2, Count - 1}) {
      Fleet F(Zones, InZone);
      F.run(1s);
      Instance &Stopping = *F.m_Instances[Index];
      const duty::UsageWindow Window = Stopping.m_Meter.currentWindow();
      F.beginStop(Stopping);
      F.run(200ms);
      Stopping.m_Meter.recordBegun("w");
      F.run(1s);
      F.m_Instances.erase(F.m_Instances.begin() +
                          static_cast<std::ptrdiff_t>(Index));
      F.run(500ms);
      BOOST_TEST(candidatesKnow(F, Window, 1));
    }
  }
}

// Guards against requests and crashes that are unknown to the others because
// they came after the last digest of an instance that ends.
BOOST_AUTO_TEST_CASE(TheLastFactsOfAnInstanceArrive) {
  const ContentHash Crashing{1, 1};
  for (const auto &[Zones, InZone] : {std::pair(3, 3), std::pair(3, 10)}) {
    Fleet F(Zones, InZone);
    F.run(1s);
    Instance &Stopping = *F.m_Instances[0];
    const duty::UsageWindow Window = Stopping.m_Meter.currentWindow();
    F.beginStop(Stopping);
    F.run(200ms);
    Stopping.m_Meter.recordBegun("w");
    quarantine::Quarantine &Crashes = Stopping.m_Balancer.quarantine();
    for (std::uint64_t I = 1; I <= quarantine::Quarantine::CrashThreshold;
         ++I) {
      Crashes.recordBrokenCall(
          {{Crashing, {}}, UpstreamId(I), IncarnationId(I)}, F.m_Clock.now());
      Crashes.recordUpstreamDown(UpstreamId(I), F.m_Clock.now());
    }
    Stopping.m_Exchange.flush();
    F.m_Instances.erase(F.m_Instances.begin());
    F.run(1s);
    BOOST_TEST(candidatesKnow(F, Window, 1));
    BOOST_TEST(std::ranges::all_of(F.m_Instances, [&](const auto &Member) {
      return Member->m_Balancer.quarantine().remainingHold(
                 Crashing, F.m_Clock.now()) > Duration::zero();
    }));
  }
}

// Guards against roles that stay with an instance that is about to end, or that
// nobody has.
BOOST_AUTO_TEST_CASE(AStoppingInstanceHasNoRoleOnceItIsUnlisted) {
  for (const auto &[Zones, InZone] : {std::pair(3, 3), std::pair(3, 10)}) {
    Fleet F(Zones, InZone);
    F.run(1s);
    for (std::size_t Index = 0; Index < F.m_Instances.size() - 3; ++Index) {
      Instance &Stopping = *F.m_Instances[Index];
      const ReadingRole Before = Stopping.m_Exchange.readingRole();
      Stopping.m_Exchange.stop();
      Stopping.m_Exchange.setPeers(F.m_List);
      BOOST_TEST((Stopping.m_Exchange.readingRole() == Before));
      F.beginStop(Stopping);
      BOOST_TEST(!Stopping.m_Exchange.isDutyCandidate());
      BOOST_TEST((Stopping.m_Exchange.readingRole() != ReadingRole::Reader));
      BOOST_TEST((Stopping.m_Exchange.readingRole() != ReadingRole::Deputy));
    }
    BOOST_TEST(std::ranges::any_of(F.m_Instances, [](const auto &Member) {
      return Member->m_Exchange.isDutyCandidate();
    }));
  }
}

// Guards against windows by a single machine's time of day.
BOOST_AUTO_TEST_CASE(PeersCorrectAWrongClock) {
  Fleet F(1, 6);
  F.m_Instances[3]->m_WallClock.m_Error = 2s;
  F.placeOneEach();
  F.run(500ms);
  for (const auto &Member : F.m_Instances)
    BOOST_TEST((std::chrono::abs(Member->m_Time.now().time_since_epoch() -
                                 F.m_Clock.now().time_since_epoch()) < 100ms));
}
