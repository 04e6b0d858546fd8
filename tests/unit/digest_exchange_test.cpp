/// Digests among many instances, with simulated links and a manual clock.
#define BOOST_TEST_MODULE digest_exchange
#include "gateway/digest_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::gateway;
using namespace std::chrono_literals;

namespace {

class Fabric;

/// Simulated links of one instance.
class FakeLinks final : public link::Links {
public:
  FakeLinks(Fabric &Of, const PeerInstance &Self, link::LinkListener &Listener)
      : m_Fabric(Of), m_Self(Self), m_Listener(Listener) {}
  ~FakeLinks() override;
  void dial(const Address &Where) override;
  void hangUp(const Address &) override {}
  wire::FrameT &outbox(link::LinkId Link) override;
  void close(link::LinkId) override {}

  Fabric &m_Fabric;               ///< Outlives it.
  PeerInstance m_Self;            ///< Their owner.
  link::LinkListener &m_Listener; ///< Outlives it.
};

/// Carries frames between instances.
class Fabric {
public:
  struct Wire {
    FakeLinks *m_From;      ///< Sends.
    FakeLinks *m_To;        ///< Receives.
    link::LinkId m_Id;      ///< At the sender.
    link::LinkId m_Other;   ///< At the receiver.
    wire::FrameT m_Waiting; ///< Not delivered.
    bool m_HasNews = false; ///< m_Waiting is to be sent.
  };

  void dial(FakeLinks &From, const Address &Where) {
    m_Dials.emplace_back(&From, Where);
  }

  /// Connects dialled instances that are up by now.
  void connect() {
    for (const auto &[From, Where] : m_Dials)
      for (FakeLinks *To : m_All)
        if (To->m_Self.m_Address == Where)
          join(*From, *To);
    m_Dials.clear();
  }

  void deliver() {
    connect();
    for (auto &Each : m_Wires) {
      if (!Each.second.m_HasNews)
        continue;
      Each.second.m_HasNews = false;
      flatbuffers::FlatBufferBuilder Builder;
      Builder.Finish(wire::Frame::Pack(Builder, &Each.second.m_Waiting));
      Each.second.m_Waiting = {};
      ++m_Frames[Each.second.m_From->m_Self.m_Name];
      m_Bytes[Each.second.m_From->m_Self.m_Zone !=
              Each.second.m_To->m_Self.m_Zone] += Builder.GetSize();
      Each.second.m_To->m_Listener.linkFrame(
          Each.second.m_Other, *wire::GetFrame(Builder.GetBufferPointer()));
    }
  }

  /// Removes an instance and closes its links.
  void cut(FakeLinks &Gone) {
    std::erase(m_All, &Gone);
    std::vector<Wire> Lost;
    for (auto &Each : m_Wires)
      if (Each.second.m_From == &Gone || Each.second.m_To == &Gone)
        Lost.push_back(Each.second);
    for (const Wire &Each : Lost) {
      m_Wires.erase(Each.m_Id);
      if (Each.m_From != &Gone)
        Each.m_From->m_Listener.linkDown(Each.m_Id, peerOf(Gone),
                                         link::CloseReason::PeerClosed);
    }
  }

  std::vector<FakeLinks *> m_All;         ///< Instances that are up.
  std::map<link::LinkId, Wire> m_Wires;   ///< By the sender's id.
  std::map<std::string, int> m_Frames;    ///< Sent, by instance.
  std::array<std::uint64_t, 2> m_Bytes{}; ///< Within, between zones.

private:
  static link::Peer peerOf(const FakeLinks &Which) {
    return {wire::Role::Gateway,
            Which.m_Self.m_Name,
            instanceIdOf(Which.m_Self.m_Name),
            Incarnation(1),
            Which.m_Self.m_Zone,
            Which.m_Self.m_Address};
  }

  void join(FakeLinks &From, FakeLinks &To) {
    const link::LinkId There(++m_Last);
    const link::LinkId Back(++m_Last);
    m_Wires[There] = {&From, &To, There, Back, {}, false};
    m_Wires[Back] = {&To, &From, Back, There, {}, false};
    From.m_Listener.linkUp(There, peerOf(To));
    To.m_Listener.linkUp(Back, peerOf(From));
  }

  std::vector<std::pair<FakeLinks *, Address>> m_Dials; ///< Not connected yet.
  std::uint64_t m_Last = 0;                             ///< Last link id.
};

FakeLinks::~FakeLinks() { m_Fabric.cut(*this); }

void FakeLinks::dial(const Address &Where) { m_Fabric.dial(*this, Where); }

wire::FrameT &FakeLinks::outbox(link::LinkId Link) {
  static wire::FrameT Nowhere;
  const auto Found = m_Fabric.m_Wires.find(Link);
  if (Found == m_Fabric.m_Wires.end())
    return Nowhere;
  Found->second.m_HasNews = true;
  return Found->second.m_Waiting;
}

/// An instance with one plain upstream, so that a placement shows the number of
/// all calls that it knows of.
struct Instance {
  Instance(Fabric &Net, const PeerInstance &Self, const Clock &Time,
           Scheduler &Timers)
      : m_Self(Self), m_Balancer(Self.m_Zone),
        m_Exchange(
            Self,
            [this, &Net](const std::string &, link::LinkListener &Listener) {
              auto Made = std::make_unique<FakeLinks>(Net, m_Self, Listener);
              m_Links = Made.get();
              Net.m_All.push_back(m_Links);
              return Made;
            },
            Time, Timers, m_Balancer, m_Stats,
            [this](const DirectoryUpdate &Update) {
              m_Updates.push_back(Update);
            }) {
    m_Balancer.setUpstreams({{upstreamIdOf("u"),
                              "u",
                              "desk",
                              {1, 1},
                              {"a"},
                              PlainService{6},
                              false}});
  }

  balance::Placed place(TimePoint Now) {
    balance::PlacementQuery Query;
    Query.m_Service = "desk";
    return std::get<balance::Placed>(m_Balancer.place(Query, Now));
  }

  /// Returns the number of calls that it knows of, its own and others'.
  int known(TimePoint Now) {
    const balance::Placed Probe = place(Now);
    m_Balancer.ended(Probe.m_Ticket, balance::CallOutcome::Dropped, Now);
    return static_cast<int>(Probe.m_Why.m_Calls);
  }

  PeerInstance m_Self;
  balance::Balancer m_Balancer;
  Metrics m_Stats;
  std::vector<DirectoryUpdate> m_Updates; ///< Received.
  FakeLinks *m_Links = nullptr;
  DigestExchange m_Exchange;
};

struct Fleet {
  Fleet(int Zones, int InZone) {
    for (int Z = 0; Z < Zones; ++Z)
      for (int I = 0; I < InZone; ++I) {
        const std::string Name =
            "i-" + std::to_string(Z) + "-" + std::to_string(I);
        m_List.m_Instances.push_back(
            {Name,
             {static_cast<std::uint32_t>(Z * 1000 + I + 1), 7000},
             {"z" + std::to_string(Z)},
             // The third of each zone has the largest machine.
             I == 2 ? 2.0 : 1.0});
      }
    for (const PeerInstance &Self : m_List.m_Instances)
      m_Instances.push_back(
          std::make_unique<Instance>(m_Net, Self, m_Clock, m_Timers));
    for (const auto &Each : m_Instances)
      Each->m_Exchange.setPeers(m_List);
    m_Net.connect();
  }

  void run(Duration Span) {
    for (Duration Past{}; Past < Span; Past += 10ms) {
      m_Timers.advance(10ms);
      m_Net.deliver();
    }
  }

  void placeOneEach() {
    for (const auto &Each : m_Instances)
      Each->place(m_Clock.now());
  }

  /// Returns whether all instances know of exactly \p Calls calls.
  bool allKnow(int Calls) {
    return std::all_of(
        m_Instances.begin(), m_Instances.end(),
        [&](const auto &Each) { return Each->known(m_Clock.now()) == Calls; });
  }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  Fabric m_Net;
  PeerList m_List;
  std::vector<std::unique_ptr<Instance>> m_Instances;
};

} // namespace

// Few instances: each knows of all calls after one digest.
BOOST_AUTO_TEST_CASE(FewTellOneAnother) {
  Fleet It(3, 3);
  It.placeOneEach();
  It.run(120ms);
  BOOST_TEST(It.allKnow(9));
}

// Many instances in four zones: each call is known everywhere within half a
// second and counted once, though no instance has links to most others.
BOOST_AUTO_TEST_CASE(ManyKnowOfAllThroughHubs) {
  Fleet It(4, 21);
  BOOST_TEST(It.m_Net.m_Wires.size() < 4U * 21U * 23U);
  It.placeOneEach();
  It.run(500ms);
  BOOST_TEST(It.allKnow(84));
  It.run(2s);
  BOOST_TEST(It.allKnow(84));
  // With links between all instances, a digest each 100 ms would be 830 frames
  // a second.
  for (const auto &[Name, Frames] : It.m_Net.m_Frames)
    BOOST_TEST(Frames < 2.5 * 260);
}

// A zone's hub is killed under load. The next one takes over; the load known to
// the others is stale for a second and then complete again.
BOOST_AUTO_TEST_CASE(TheLossOfAHubCutsNoZoneOff) {
  Fleet It(3, 10);
  It.placeOneEach();
  It.run(1s);
  BOOST_TEST(It.allKnow(30));
  const auto Largest = std::find_if(
      It.m_Instances.begin(), It.m_Instances.end(), [](const auto &Each) {
        return Each->m_Self.m_Zone.m_Name == "z1" && Each->m_Self.m_Weight > 1;
      });
  It.m_Instances.erase(Largest);
  It.run(1500ms);
  BOOST_TEST(It.allKnow(29));
  It.m_Instances.front()->place(It.m_Clock.now());
  It.run(500ms);
  BOOST_TEST(It.allKnow(30));
}

namespace {

/// Lets an instance observe that an upstream crashes under a request.
void crash(Instance &At, std::uint64_t Upstream, TimePoint Now) {
  At.m_Balancer.quarantine().callBroken({1, 1}, UpstreamId(Upstream), Now);
  At.m_Balancer.quarantine().upstreamDown(UpstreamId(Upstream), Now);
}

bool allHold(Fleet &It) {
  return std::all_of(
      It.m_Instances.begin(), It.m_Instances.end(), [&](const auto &Each) {
        return Each->m_Balancer.quarantine().heldFor({1, 1}, It.m_Clock.now()) >
               Duration::zero();
      });
}

} // namespace

// Guards against crashes observed in different zones that are never added up.
BOOST_AUTO_TEST_CASE(CrashesAddUpAcrossZones) {
  for (const auto &[Zones, InZone] :
       {std::pair(2, 2), std::pair(3, 3), std::pair(4, 21), std::pair(6, 50)}) {
    Fleet It(Zones, InZone);
    It.run(1s);
    const std::size_t Count = It.m_Instances.size();
    crash(*It.m_Instances[0], 1, It.m_Clock.now());
    It.run(300ms);
    crash(*It.m_Instances[Count / 2], 2, It.m_Clock.now());
    crash(*It.m_Instances[Count - 1], 3, It.m_Clock.now());
    It.run(1500ms);
    BOOST_TEST(allHold(It));
  }
}

// Guards against crashes that are lost with the hub that was to relay them.
BOOST_AUTO_TEST_CASE(CrashesOutlastTheirHub) {
  Fleet It(3, 10);
  It.run(1s);
  const auto Hub = std::find_if(
      It.m_Instances.begin(), It.m_Instances.end(), [](const auto &Each) {
        return Each->m_Self.m_Zone.m_Name == "z1" && Each->m_Self.m_Weight > 1;
      });
  const auto Seen = std::find_if(
      It.m_Instances.begin(), It.m_Instances.end(), [](const auto &Each) {
        return Each->m_Self.m_Zone.m_Name == "z1" && Each->m_Self.m_Weight == 1;
      });
  for (std::uint64_t I = 1; I <= 3; ++I)
    crash(**Seen, I, It.m_Clock.now());
  It.run(100ms); // The hub has received the reports.
  It.m_Instances.erase(Hub);
  It.run(1500ms);
  BOOST_TEST(allHold(It));
}

// The bytes between zones grow with the number of zones, not with the number of
// pairs of instances.
BOOST_AUTO_TEST_CASE(FewBytesLeaveAZone) {
  const auto Between = [](int InZone) {
    Fleet It(4, InZone);
    It.placeOneEach();
    It.run(2s);
    return static_cast<double>(It.m_Net.m_Bytes[1]);
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
Instance &withRole(Fleet &It, const std::string &Zone, ReadingRole Role) {
  for (const auto &Each : It.m_Instances)
    if (Each->m_Self.m_Zone.m_Name == Zone &&
        Each->m_Exchange.readingRole() == Role)
      return *Each;
  throw std::out_of_range(Zone);
}

std::uint64_t dropped(Instance &At) {
  return At.m_Stats.counter("crowstep_directory_updates_dropped_total").value();
}

} // namespace

// Guards against a zone without a reader, or with two instances that call the
// store continuously.
BOOST_AUTO_TEST_CASE(EachZoneHasOneReaderAndOneDeputy) {
  Fleet It(3, 10);
  std::map<std::pair<std::string, ReadingRole>, int> Roles;
  for (const auto &Each : It.m_Instances)
    ++Roles[{Each->m_Self.m_Zone.m_Name, Each->m_Exchange.readingRole()}];
  for (const char *Zone : {"z0", "z1", "z2"}) {
    BOOST_TEST((Roles[{Zone, ReadingRole::Reader}] == 1));
    BOOST_TEST((Roles[{Zone, ReadingRole::Deputy}] == 1));
    BOOST_TEST((Roles[{Zone, ReadingRole::Follower}] == 8));
  }
  Fleet Few(3, 3);
  BOOST_TEST((Few.m_Instances.front()->m_Exchange.readingRole() ==
              ReadingRole::Alone));
}

// Guards against updates that reach other zones, are altered or don't reach all
// instances of the own zone.
BOOST_AUTO_TEST_CASE(UpdatesGoToTheOwnZone) {
  Fleet It(2, 20);
  withRole(It, "z0", ReadingRole::Reader).m_Exchange.passOn(someUpdate());
  It.run(20ms);
  for (const auto &Each : It.m_Instances) {
    const bool Gets = Each->m_Self.m_Zone.m_Name == "z0" &&
                      Each->m_Exchange.readingRole() != ReadingRole::Reader;
    BOOST_REQUIRE(Each->m_Updates.size() == (Gets ? 1U : 0U));
    if (!Gets)
      continue;
    const DirectoryUpdate &Got = Each->m_Updates.front();
    BOOST_TEST(Got.m_Table == "t");
    BOOST_TEST(Got.m_After.value() == 3U);
    BOOST_TEST(Got.m_Version.value() == 7U);
    BOOST_TEST((Got.m_ReadAt == 5000ms));
    BOOST_REQUIRE(Got.m_Rows.size() == 2U);
    BOOST_TEST(Got.m_Rows[0].m_Value == std::string("\0v", 2));
    BOOST_TEST(Got.m_Rows[1].m_Gone);
  }
}

// Guards against an update that is applied although its sender isn't a reader
// of the zone, or it is inconsistent: it must be dropped and counted.
BOOST_AUTO_TEST_CASE(OnlyReadersOfTheZoneAreBelieved) {
  Fleet It(2, 20);
  Instance &Other = withRole(It, "z0", ReadingRole::Follower);
  Other.m_Exchange.passOn(someUpdate());
  It.run(20ms);
  for (const auto &Each : It.m_Instances) {
    const bool Near =
        Each->m_Self.m_Zone.m_Name == "z0" && Each.get() != &Other;
    BOOST_TEST(Each->m_Updates.empty());
    BOOST_TEST(dropped(*Each) == (Near ? 1U : 0U));
  }
  Instance &Reader = withRole(It, "z1", ReadingRole::Reader);
  DirectoryUpdate Backwards = someUpdate();
  Backwards.m_Version = DirectoryVersion(2);
  DirectoryUpdate Ahead = someUpdate();
  Ahead.m_Rows[0].m_Version = DirectoryVersion(8);
  for (const DirectoryUpdate &Bad : {Backwards, Ahead}) {
    Reader.m_Exchange.passOn(Bad);
    It.run(20ms);
  }
  Instance &Taker = withRole(It, "z1", ReadingRole::Follower);
  BOOST_TEST(Taker.m_Updates.empty());
  BOOST_TEST(dropped(Taker) == 2U);
}
