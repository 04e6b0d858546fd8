/// The archive of streams' origins in the store, which outlives all instances.
#define BOOST_TEST_MODULE origin_archive
#include "gateway/exchange_plan.h"
#include "link/link_type.h"
#include "resume/origin_archive.h"
#include "resume/origin_codec.h"
#include "resume/origin_exchange.h"
#include "resume/origin_row.h"
#include "unit/simulated_tables.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace crowstep;
using namespace crowstep::resume;
using namespace std::chrono_literals;

namespace {

const StreamOrigin Old{"s", SoftwareVersion("v1")};
const StreamOrigin New{"s", SoftwareVersion("v2")};
const std::set<std::string> Mixed{"s"};
constexpr Duration Interval = OriginArchive::WriteInterval;

StreamKey keyOf(std::size_t Number) {
  return streamKeyOf("w", std::to_string(Number));
}

using Tables = test::SimulatedTables;

/// Keeps the frames of each link.
class RecordingLinks final : public link::Links {
public:
  void dial(const Address &) override {}
  void disconnect(const Address &) override {}
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(link::LinkId Link) override { return m_Frames[Link]; }
  void flush(link::LinkId) override {}
  void close(link::LinkId) override {}

  std::map<link::LinkId, wire::FrameT> m_Frames; ///< Never sent.
};

struct World {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  Tables m_Tables{m_Timers};
  Metrics m_Stats;
};

/// An instance with its own and the others' origins, without links.
struct Instance {
  explicit Instance(World &Owner, const std::string &Name = "edge-1")
      : m_World(Owner), m_Archive(Name, Owner.m_Tables, Owner.m_Clock,
                                  Owner.m_Timers, Owner.m_Stats),
        m_Exchange(instanceIdOf(Name), {"a"}, Owner.m_Clock, Owner.m_Timers,
                   Owner.m_Stats) {
    m_Exchange.setArchive(m_Archive);
  }
  void begin(std::size_t From, std::size_t Count,
             const StreamOrigin &Origin = Old, Duration Lifetime = 10s) {
    for (std::size_t I = From; I < From + Count; ++I)
      m_Exchange.record({keyOf(I), Origin, Lifetime});
  }
  [[nodiscard]] std::size_t knownCount(std::size_t Count) const {
    std::size_t Result = 0;
    for (std::size_t I = 0; I < Count; ++I)
      Result += m_Exchange.findLocal(keyOf(I)) != nullptr ? 1 : 0;
    return Result;
  }
  void addPeer(std::uint64_t Number, const std::string &Zone) {
    m_Exchange.addPeer(
        m_Links, {link::LinkId(Number), idOf(Number), {Zone}, Zone == "a"});
  }
  static InstanceId idOf(std::uint64_t Number) {
    return instanceIdOf("peer-" + std::to_string(Number));
  }
  void receive(std::uint64_t From, const wire::FrameT &Frame) {
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Frame));
    m_Exchange.receive(link::LinkId(From),
                       *wire::GetFrame(Builder.GetBufferPointer()));
  }
  void ask(std::uint64_t From, std::uint64_t Question, std::size_t Stream) {
    wire::FrameT Frame;
    const StreamKey Key = keyOf(Stream);
    Frame.stream_questions.emplace_back(Question, Key.m_High, Key.m_Low, true);
    receive(From, Frame);
  }
  /// Returns how many questions of a peer were answered.
  std::size_t answers(std::uint64_t To) {
    return m_Links.m_Frames[link::LinkId(To)].stream_answers.size();
  }
  void startLookup(std::size_t Stream) {
    m_Lookup = m_Exchange.ask(
        keyOf(Stream), [this](const LookupResult &Found) { m_Found = Found; });
  }

  World &m_World;
  RecordingLinks m_Links;
  OriginArchive m_Archive;
  OriginExchange m_Exchange;
  std::unique_ptr<OriginLookup> m_Lookup;
  std::optional<LookupResult> m_Found;
};

/// Returns how many of the first \p Count streams an instance knows that starts
/// after the loss of all others.
std::size_t countAfterLoss(World &Where, std::size_t Count) {
  Instance Later(Where, "edge-9");
  Later.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  return Later.knownCount(Count);
}

} // namespace

// Guards against calls to the store where one version alone serves.
BOOST_AUTO_TEST_CASE(OneVersionCostsNoCall) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices({});
  First.begin(0, 1000);
  Where.m_Timers.advance(10min);
  BOOST_TEST(Where.m_Tables.calls() == 0U);
  First.begin(1000, 10, {"t", SoftwareVersion("v1")});
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(1s);
  BOOST_TEST(Where.m_Tables.calls() == 0U);
}

// Guards against streams that are lost with all instances.
BOOST_AUTO_TEST_CASE(OriginsAreSavedAndRead) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  First.begin(0, 20, Old);
  First.begin(20, 20, New);
  Where.m_Timers.advance(Interval + 20ms);
  Instance Later(Where, "edge-2");
  Later.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  BOOST_TEST((*Later.m_Exchange.findLocal(keyOf(0)) == Old));
  BOOST_TEST((*Later.m_Exchange.findLocal(keyOf(39)) == New));
  BOOST_TEST(Where.m_Tables.m_Reads == 2U);
}

// Guards against a guess about streams that began after the last write.
BOOST_AUTO_TEST_CASE(ALossBeforeTheBatchLosesItsStreamsOnly) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  First.begin(0, 10);
  Where.m_Timers.advance(Interval + 20ms);
  First.begin(10, 10);
  Instance Later(Where, "edge-2");
  Later.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  BOOST_TEST(Later.knownCount(20) == 10U);
  Later.startLookup(15);
  Where.m_Timers.advance(1ms);
  BOOST_REQUIRE(Later.m_Found.has_value());
  BOOST_TEST(!Later.m_Found->m_Origin.has_value());
  BOOST_TEST(Later.m_Found->m_UnansweredCount == 0U);
}

// Guards against streams that began while there was one version only.
BOOST_AUTO_TEST_CASE(OpenStreamsAreSavedWhenAVersionAppears) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices({});
  First.begin(0, 100, Old, 1s);
  Where.m_Timers.advance(2s);
  First.begin(100, 5000);
  Where.m_Timers.advance(2s);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(50ms);
  BOOST_TEST(countAfterLoss(Where, 5100) == 5000U);
  BOOST_TEST(Where.m_Tables.m_Writes <= 4U);
}

// Guards against a loss while the rows of a new mix wait for their turn.
BOOST_AUTO_TEST_CASE(AFullRowIsFollowedAtOnce) {
  World Where;
  Instance First(Where);
  First.m_Archive.setRoles(true, true, 24);
  First.m_Archive.setMixedServices({});
  First.begin(0, 40000);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(200ms);
  BOOST_TEST(countAfterLoss(Where, 40000) == 40000U);
}

// Guards against more calls than the store carries out on one part of a table,
// values that are too long, and rows without end.
BOOST_AUTO_TEST_CASE(AWriterIsBounded) {
  for (const std::size_t PerStep : {1U, 42U, 170U}) { // 10 to 1,700 a second.
    World Where;
    Instance First(Where);
    First.m_Archive.setRoles(true, true, 24);
    First.m_Archive.setMixedServices(Mixed);
    for (std::size_t I = 0; I < 1500; ++I) {
      First.begin(I * PerStep, PerStep);
      Where.m_Timers.advance(100ms);
    }
    const double Most = 150 * OriginArchive::MaxWritesPerSecond / 24 +
                        OriginArchive::WriteBurst;
    BOOST_TEST(static_cast<double>(Where.m_Tables.m_Writes) <= Most + 1);
    BOOST_TEST(Where.m_Tables.m_Rows.size() == OriginArchive::SlotCount);
  }
}

// Guards against calls that grow with the fleet.
BOOST_AUTO_TEST_CASE(FewInstancesWriteAndRead) {
  for (const auto &[Count, Zones, Writers, Readers] :
       {std::array{9U, 3U, 9U, 9U}, {84U, 4U, 4U, 8U}, {300U, 6U, 6U, 12U}}) {
    World Where;
    std::vector<gateway::PeerInstance> Peers;
    Peers.reserve(Count);
    for (unsigned I = 0; I < Count; ++I)
      Peers.push_back({"edge-" + std::to_string(I),
                       {0x0a000001 + I, 1},
                       {std::string(1, static_cast<char>('a' + I % Zones))}});
    std::vector<std::unique_ptr<Instance>> Fleet;
    for (const gateway::PeerInstance &Self : Peers) {
      Fleet.push_back(std::make_unique<Instance>(Where, Self.m_Name));
      const auto Hubs = gateway::planExchange(Self, Peers).m_Hubs;
      Fleet.back()->m_Exchange.setHubs(Hubs);
      const InstanceId Id = instanceIdOf(Self.m_Name);
      Fleet.back()->m_Exchange.setActiveHub(!Hubs.empty() && Hubs[0] == Id);
      // As with links to the others.
      const bool IsHub = Hubs.empty() || std::ranges::count(Hubs, Id) > 0;
      Fleet.back()->m_Archive.setRoles(Hubs.empty() || Hubs[0] == Id, IsHub,
                                       Writers);
    }
    for (const auto &Started : Fleet)
      Started->m_Archive.setMixedServices(Mixed);
    constexpr std::size_t Steps = 200; // Of 50 ms: 10 s.
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        Fleet[I]->begin(Step * Count + I, 1);
      Where.m_Timers.advance(50ms);
    }
    BOOST_TEST(Where.m_Tables.m_Reads == Readers);
    BOOST_TEST(static_cast<double>(Where.m_Tables.m_Writes) <=
               10 * OriginArchive::MaxWritesPerSecond +
                   Writers * (OriginArchive::WriteBurst + 1));
    BOOST_TEST(Where.m_Tables.m_Writes >= Writers * 10U * 10);
  }
}

// Guards against events that wait for the store, and against origins that are
// lost while it is away or slow.
BOOST_AUTO_TEST_CASE(AStoreThatIsAwayOrSlowGetsThemLater) {
  for (const bool IsAway : {true, false}) {
    World Where;
    Instance First(Where);
    First.m_Archive.setMixedServices(Mixed);
    Where.m_Timers.advance(100ms);
    Where.m_Tables.m_IsAway = IsAway;
    Where.m_Tables.m_AnswerTime = 700ms;
    for (std::size_t I = 0; I < 50; ++I) {
      First.begin(I * 10, 10, Old, 60s);
      Where.m_Timers.advance(100ms);
    }
    BOOST_TEST(Where.m_Tables.m_MostOpen == 1U);
    Where.m_Tables.m_IsAway = false;
    Where.m_Tables.m_AnswerTime = 5ms;
    Where.m_Timers.advance(2s);
    BOOST_TEST(countAfterLoss(Where, 500) == 500U);
  }
}

// Guards against rows that a restored store has lost.
BOOST_AUTO_TEST_CASE(ARestoredStoreGetsThemAgain) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  First.begin(0, 100, Old, 60s);
  Where.m_Timers.advance(5s);
  Where.m_Tables.m_Rows.clear();
  ++Where.m_Tables.m_Era;
  First.begin(100, 1);
  Where.m_Timers.advance(2 * Interval + 50ms);
  BOOST_TEST(countAfterLoss(Where, 101) == 101U);
}

// Guards against origins that are lost with the writer of a zone, and against
// instances that all write.
BOOST_AUTO_TEST_CASE(TheNextHubWritesTheLastOnesAgain) {
  World Where;
  Instance Second(Where);
  Second.m_Exchange.setHubs({instanceIdOf("other"), instanceIdOf("edge-1")});
  Second.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(10s);
  Second.begin(0, 10);
  Where.m_Timers.advance(2s);
  Second.begin(10, 10);
  Where.m_Timers.advance(2s);
  BOOST_TEST(Where.m_Tables.m_Writes == 0U);
  Second.m_Exchange.setActiveHub(true);
  Where.m_Timers.advance(50ms);
  BOOST_TEST(Where.m_Tables.m_Writes == 1U);
  BOOST_TEST(countAfterLoss(Where, 20) == 10U);
  Instance NoHub(Where, "edge-3");
  NoHub.m_Exchange.setHubs({instanceIdOf("other")});
  const std::size_t Calls = Where.m_Tables.calls();
  NoHub.m_Archive.setMixedServices(Mixed);
  NoHub.begin(100, 10);
  Where.m_Timers.advance(10s);
  BOOST_TEST(Where.m_Tables.calls() == Calls);
}

// Guards against a loss between a second version and the writer's first row.
BOOST_AUTO_TEST_CASE(TheNextHubWritesAllOfANewMix) {
  World Where;
  Instance Second(Where);
  Second.m_Exchange.setHubs({instanceIdOf("other"), instanceIdOf("edge-1")});
  Second.m_Archive.setMixedServices({});
  Second.begin(0, 10, Old, 30s);
  Where.m_Timers.advance(10s);
  Second.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(1s);
  Second.m_Exchange.setActiveHub(true);
  Where.m_Timers.advance(50ms);
  BOOST_TEST(countAfterLoss(Where, 10) == 10U);
}

// Guards against writers that each take the rate of all, and against zones
// without one as all instances of the others are counted.
BOOST_AUTO_TEST_CASE(WritersShareTheRate) {
  for (const bool HasHubs : {false, true}) {
    World Where;
    Instance First(Where);
    for (std::uint64_t I = 1; I < 12; ++I)
      First.addPeer(I, I < 6 ? "a" : (I < 9 ? "b" : "c"));
    if (HasHubs)
      First.m_Exchange.setHubs({instanceIdOf("edge-1")});
    First.m_Exchange.setActiveHub(HasHubs);
    First.m_Archive.setMixedServices(Mixed);
    for (std::size_t I = 0; I < 1000; ++I) {
      First.begin(I, 1);
      Where.m_Timers.advance(10ms);
    }
    const double Rate = OriginArchive::MaxWritesPerSecond / (HasHubs ? 3 : 12);
    const auto Writes = static_cast<double>(Where.m_Tables.m_Writes);
    BOOST_TEST(Writes <= 10 * Rate + OriginArchive::WriteBurst + 1);
    BOOST_TEST(Writes >= 10 * Rate * 0.6);
  }
}

// Guards against a hub that saves only its own streams and not its zone's.
BOOST_AUTO_TEST_CASE(AHubSavesWhatItReceives) {
  World Where;
  Instance Hub(Where);
  Hub.addPeer(1, "a");
  Hub.m_Exchange.setHubs({instanceIdOf("edge-1")});
  Hub.m_Exchange.setActiveHub(true);
  Hub.m_Archive.setMixedServices(Mixed);
  wire::FrameT Frame;
  Frame.stream_origins.push_back(packRecord({keyOf(0), Old, 10s}));
  Hub.receive(1, Frame);
  Where.m_Timers.advance(100ms);
  BOOST_TEST(countAfterLoss(Where, 1) == 1U);
}

// Guards against a denial, to another instance, of a stream that the archive
// may hold, and against searches without end while it is read.
BOOST_AUTO_TEST_CASE(QuestionsWaitForTheArchive) {
  World Where;
  Where.m_Tables.put("edge-2/00",
                     originRowValue("edge-2", {{keyOf(0), Old, 60s}}));
  Where.m_Tables.m_AnswerTime = 100ms;
  Instance Later(Where);
  Later.addPeer(1, "a");
  Later.addPeer(2, "a");
  Later.m_Archive.setMixedServices(Mixed);
  Later.ask(1, 1, 0);
  Later.ask(1, 2, 1);
  Later.ask(2, 3, 0);
  Later.m_Exchange.removePeer(link::LinkId(2));
  Later.m_Links.m_Frames.erase(link::LinkId(2));
  BOOST_TEST(Later.answers(1) == 0U);
  Where.m_Timers.advance(100ms);
  BOOST_TEST(Later.answers(1) == 2U);
  BOOST_TEST(Later.m_Links.m_Frames.count(link::LinkId(2)) == 0U);
  World Full;
  Full.m_Tables.m_AnswerTime = 100ms;
  Instance Busy(Full);
  Busy.addPeer(1, "a");
  Busy.m_Archive.setMixedServices(Mixed);
  for (std::size_t I = 0; I < OriginExchange::MaxSearches + 5; ++I)
    Busy.ask(1, I, I);
  Full.m_Timers.advance(100ms);
  BOOST_TEST(Busy.answers(1) == OriginExchange::MaxSearches);
  World Away;
  Away.m_Tables.m_IsAway = true;
  Instance Never(Away);
  Never.addPeer(1, "a");
  Never.m_Archive.setMixedServices(Mixed);
  Never.ask(1, 1, 0);
  Away.m_Timers.advance(1s);
  BOOST_TEST(Never.answers(1) == 0U);
}

// Guards against a lookup that the archive ends before all have answered.
BOOST_AUTO_TEST_CASE(AReadArchiveIsNotTheLastAnswer) {
  World Where;
  Where.m_Tables.m_AnswerTime = 50ms;
  Instance Later(Where);
  Later.addPeer(1, "a");
  wire::FrameT Frame;
  Frame.stream_peer = packPeerState(false);
  Later.receive(1, Frame);
  Later.m_Archive.setMixedServices(Mixed);
  Later.startLookup(0);
  Where.m_Timers.advance(100ms);
  BOOST_TEST(!Later.m_Found.has_value());
  Where.m_Timers.advance(OriginExchange::LookupTimeout);
  BOOST_TEST(Later.m_Found.has_value());
}

// Guards against lookups that wait for an archive which others read.
BOOST_AUTO_TEST_CASE(OnlyReadersWaitForTheArchive) {
  World Where;
  Instance NoHub(Where);
  NoHub.m_Exchange.setHubs({instanceIdOf("other")});
  NoHub.m_Archive.setMixedServices(Mixed);
  NoHub.startLookup(0);
  Where.m_Timers.advance(1ms);
  BOOST_REQUIRE(NoHub.m_Found.has_value());
  BOOST_TEST(NoHub.m_Found->m_UnansweredCount == 0U);
}

// Guards against two writers of one zone, after a change of its active hub.
BOOST_AUTO_TEST_CASE(AFormerWriterWritesNothing) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  Where.m_Tables.m_IsAway = true;
  First.begin(0, 10, Old, 60s);
  Where.m_Timers.advance(1s);
  First.begin(10, 10, Old, 60s);
  First.m_Archive.setRoles(false, true);
  Where.m_Tables.m_IsAway = false;
  const std::size_t Writes = Where.m_Tables.m_Writes;
  Where.m_Timers.advance(2 * OriginArchive::TakeoverMemory);
  BOOST_TEST(Where.m_Tables.m_Writes == Writes);
  // The other hub has written what waited here.
  First.m_Archive.setRoles(true, true);
  Where.m_Timers.advance(1s);
  BOOST_TEST(Where.m_Tables.m_Writes == Writes);
}

// Guards against rows that are lost with a restore of the store before the
// first write of the next hub.
BOOST_AUTO_TEST_CASE(TheNextHubNoticesARestoredStore) {
  World Where;
  Instance Second(Where);
  Second.m_Exchange.setHubs({instanceIdOf("other"), instanceIdOf("edge-1")});
  Second.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(10s);
  Second.begin(0, 10, Old, 60s);
  Where.m_Timers.advance(10s);
  ++Where.m_Tables.m_Era;
  Second.m_Exchange.setActiveHub(true);
  Second.begin(10, 1, Old, 60s);
  Where.m_Timers.advance(1s);
  BOOST_TEST(countAfterLoss(Where, 11) == 11U);
}

// Guards against a process that overwrites the rows of the one before it.
BOOST_AUTO_TEST_CASE(ARestartedWriterContinuesAfterItsLastRow) {
  World Where;
  {
    Instance First(Where);
    First.m_Archive.setMixedServices(Mixed);
    First.begin(0, 10, Old, 60s);
    Where.m_Timers.advance(1s);
    First.begin(10, 10, Old, 60s);
    Where.m_Timers.advance(1s);
  }
  Where.m_Tables.m_AnswerTime = 600ms;
  Instance Again(Where);
  Again.m_Archive.setMixedServices(Mixed);
  Again.begin(20, 10, Old, 60s);
  const std::size_t Writes = Where.m_Tables.m_Writes;
  Where.m_Timers.advance(599ms);
  BOOST_TEST(Where.m_Tables.m_Writes == Writes);
  Where.m_Timers.advance(2s);
  Where.m_Tables.m_AnswerTime = 5ms;
  BOOST_TEST(countAfterLoss(Where, 30) == 30U);
}

// Guards against a queue that stops when an answer names no row.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutARowIsAFailure) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Tables.m_AnswersNothing = true;
  First.begin(0, 10, Old, 60s);
  Where.m_Timers.advance(1s);
  Where.m_Tables.m_AnswersNothing = false;
  Where.m_Timers.advance(1s);
  BOOST_TEST(countAfterLoss(Where, 10) == 10U);
}

// Guards against a write for each stream where one instance alone writes.
BOOST_AUTO_TEST_CASE(WritesAreNotCloserThanTheInterval) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  for (std::size_t I = 0; I < 1000; ++I) {
    First.begin(I, 1);
    Where.m_Timers.advance(1ms);
  }
  BOOST_TEST(Where.m_Tables.m_Writes <= 1s / Interval + 1);
}

// Guards against a crash, and rows that the store doesn't take, by records from
// other instances.
BOOST_AUTO_TEST_CASE(BadRecordsAreNotWritten) {
  World Where;
  Instance First(Where);
  const std::string Long(70000, 'x');
  const std::string NoText = "s\xff";
  First.m_Archive.setMixedServices({"s", Long, NoText});
  Where.m_Timers.advance(100ms);
  First.begin(0, 1, Old, 0s);
  First.begin(1, 1, {"s", SoftwareVersion(Long)});
  First.begin(2, 1, {Long, SoftwareVersion("v1")});
  Where.m_Timers.advance(1s);
  BOOST_TEST(Where.m_Tables.m_Writes == 0U);
  First.begin(3, 1, {NoText, SoftwareVersion("v1")});
  First.begin(4, 1);
  const std::string Name(250, 'x');
  for (std::size_t I = 5; I < 500; ++I)
    First.begin(I, 1, {"s", SoftwareVersion(Name + std::to_string(I))});
  Where.m_Timers.advance(1s);
  BOOST_TEST(countAfterLoss(Where, 500) == 497U);
  const auto Expired =
      readOriginRow("w/00", originRowValue("w", {{keyOf(0), Old, -5s}}));
  BOOST_REQUIRE(Expired.has_value());
  BOOST_TEST((Expired->at(0).m_Lifetime == Duration::zero()));
}

// Guards against rows of streams that can't be resumed any more.
BOOST_AUTO_TEST_CASE(ExpiredStreamsAreNotWritten) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices({});
  First.begin(0, 1, Old, 1000h);
  Where.m_Timers.advance(StreamOrigins::MaxLifetime);
  First.begin(1, 1, Old, 60s);
  First.begin(2, 100, Old, 1s);
  Where.m_Timers.advance(2s);
  First.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(50ms);
  BOOST_TEST(
      Where.m_Stats.counter("crowstep_origin_archive_saved_total").value() ==
      1U);
  Where.m_Tables.m_IsAway = true;
  First.begin(102, 100, Old, 1s);
  Where.m_Timers.advance(3s);
  Where.m_Tables.m_IsAway = false;
  Where.m_Timers.advance(1s);
  std::size_t Written = 0;
  for (const auto &[Key, Row] : Where.m_Tables.m_Rows)
    Written += readOriginRow(Key, Row.m_Value)->size();
  BOOST_TEST(Written == 1U);
}

// Guards against memory that grows with the streams, and against a reader that
// drops its own streams for those of the archive, or takes the oldest ones.
BOOST_AUTO_TEST_CASE(StreamsAreBounded) {
  World Where;
  Instance First(Where);
  constexpr std::size_t Most = StreamOrigins::MaxStreams;
  const Counter &Dropped =
      Where.m_Stats.counter("crowstep_origin_archive_dropped_total");
  First.m_Archive.setMixedServices({});
  First.begin(0, Most + 100, Old, 60s);
  First.m_Archive.setMixedServices(Mixed);
  BOOST_TEST(Dropped.value() == 0U);
  First.begin(Most + 100, 50, Old, 60s);
  BOOST_TEST(Dropped.value() == 50U);
  BOOST_TEST(Where.m_Stats.gauge("crowstep_origin_archive_pending").value() ==
             static_cast<double>(Most));
  World Full;
  constexpr std::size_t InRow = 1000;
  for (std::size_t Slot = 10; Slot < OriginArchive::SlotCount; ++Slot) {
    std::vector<StreamRecord> Records;
    for (std::size_t I = 0; I < InRow; ++I)
      Records.push_back({keyOf(Slot * InRow + I), Old, 10s});
    Full.m_Tables.put("edge-1/" + std::to_string(Slot),
                      originRowValue("edge-1", Records));
  }
  Instance Later(Full);
  Later.m_Archive.setMixedServices(Mixed);
  Full.m_Timers.advance(100ms);
  BOOST_TEST(Later.knownCount(10 * InRow + InRow) == 0U);
  BOOST_TEST(Later.knownCount(OriginArchive::SlotCount * InRow) ==
             OriginArchive::MaxRead / InRow * InRow);
}

// Guards against a row that breaks the reader or states foreign origins.
BOOST_AUTO_TEST_CASE(BadRowsAreIgnored) {
  World Where;
  const std::string Good = originRowValue("edge-1", {{keyOf(0), Old, 10s}});
  Where.m_Tables.put("edge-1/00", Good);
  const std::string Other = originRowValue("edge-1", {{keyOf(1), Old, 10s}});
  for (const char *Key : {"edge-2/00", "edge-1/64", "edge-1/x1", "edge-1/1x",
                          "edge-1/001", "edge-1", "/00"})
    Where.m_Tables.put(Key, Other);
  Where.m_Tables.put("edge-1/01", "{");
  Where.m_Tables.put("edge-1/02", Other + std::string(65536, ' '));
  std::string Odd = Other; // Four bytes too many.
  Odd.replace(Odd.find('='), 1, "AAAAA");
  Where.m_Tables.put("edge-1/03", Odd);
  std::string Later = Other;
  Later.replace(Later.find("\"format\":1"), 10, "\"format\":2");
  Where.m_Tables.put("edge-1/04", Later);
  Where.m_Tables.put(
      "edge-1/05",
      originRowValue("edge-1", {{keyOf(1), {"", SoftwareVersion("v1")}, 10s}}));
  BOOST_TEST(countAfterLoss(Where, 2) == 1U);
}

// Guards against an origin that a late batch changes.
BOOST_AUTO_TEST_CASE(ALateBatchDoesNotChangeAnOrigin) {
  World Where;
  Where.m_Tables.put(
      "edge-2/00",
      originRowValue("edge-2", {{keyOf(0), Old, 10s}, {keyOf(1), New, 10s}}));
  Where.m_Tables.m_AnswerTime = 500ms;
  Instance Later(Where);
  Later.m_Archive.setMixedServices(Mixed);
  Later.begin(0, 2, Old); // Resumed, and recorded again.
  Where.m_Timers.advance(1s);
  BOOST_REQUIRE(Later.m_Exchange.findLocal(keyOf(0)) != nullptr);
  BOOST_TEST((*Later.m_Exchange.findLocal(keyOf(0)) == Old));
  BOOST_TEST(Later.m_Exchange.findLocal(keyOf(1)) == nullptr);
  BOOST_TEST(Later.m_Exchange.isUnproven(keyOf(1)));
}

// Guards against a refusal for good while the archive is being read, and
// against callers who wait for longer than for other instances.
BOOST_AUTO_TEST_CASE(ALookupWaitsForTheArchive) {
  World Where;
  Where.m_Tables.put("edge-2/00",
                     originRowValue("edge-2", {{keyOf(0), Old, 10s}}));
  Where.m_Tables.m_AnswerTime = 200ms;
  Instance Later(Where);
  Later.m_Archive.setMixedServices(Mixed);
  Later.startLookup(0);
  Where.m_Timers.advance(199ms);
  BOOST_TEST(!Later.m_Found.has_value());
  Where.m_Timers.advance(1ms);
  BOOST_REQUIRE(Later.m_Found.has_value());
  BOOST_TEST((Later.m_Found->m_Origin == Old));
}

// Guards against callers who wait for an archive that needn't be read.
BOOST_AUTO_TEST_CASE(ALookupEndsOnceOneVersionIsKnown) {
  World Where;
  Instance Later(Where);
  Later.startLookup(0);
  Where.m_Timers.advance(10ms);
  BOOST_TEST(!Later.m_Found.has_value());
  Later.m_Archive.setMixedServices({});
  BOOST_REQUIRE(Later.m_Found.has_value());
  BOOST_TEST(Later.m_Found->m_UnansweredCount == 0U);
}

// Guards against calls without pause to a store that is away, and against a hub
// that has not read the archive.
BOOST_AUTO_TEST_CASE(ReadsAreRepeatedWithPauses) {
  World Where;
  Where.m_Tables.m_IsAway = true;
  Instance Later(Where);
  Later.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(10min);
  const auto Expected =
      static_cast<std::size_t>(10min / OriginArchive::MaxReadPause);
  BOOST_TEST(Where.m_Tables.m_Reads >= Expected - 3);
  BOOST_TEST(Where.m_Tables.m_Reads <= Expected + 3);
  const std::size_t Reads = Where.m_Tables.m_Reads;
  Later.m_Archive.setRoles(true, true);
  BOOST_TEST(Where.m_Tables.m_Reads == Reads);
  World Other;
  Instance Hub(Other);
  Hub.m_Exchange.setHubs({instanceIdOf("other")});
  Hub.m_Archive.setMixedServices(Mixed);
  Other.m_Timers.advance(1s);
  BOOST_TEST(Other.m_Tables.m_Reads == 0U);
  Hub.m_Exchange.setHubs({instanceIdOf("other"), instanceIdOf("edge-1")});
  Other.m_Timers.advance(1s);
  BOOST_TEST(Other.m_Tables.m_Reads == 1U);
}

// Guards against callers that are told that a stream is lost because the store
// is away.
BOOST_AUTO_TEST_CASE(WithoutTheStoreALookupIsUnanswered) {
  World Where;
  Where.m_Tables.put("edge-2/00",
                     originRowValue("edge-2", {{keyOf(0), Old, 60s}}));
  Where.m_Tables.m_IsAway = true;
  Instance Later(Where); // Not even the register was read.
  for (const bool IsRegisterRead : {false, true}) {
    if (IsRegisterRead)
      Later.m_Archive.setMixedServices(Mixed);
    Later.m_Found.reset();
    Later.startLookup(0);
    Where.m_Timers.advance(OriginExchange::LookupTimeout - 1ms);
    BOOST_TEST(!Later.m_Found.has_value());
    Where.m_Timers.advance(1ms);
    BOOST_REQUIRE(Later.m_Found.has_value());
    BOOST_TEST(Later.m_Found->m_UnansweredCount == 1U);
  }
  Where.m_Tables.m_IsAway = false;
  Where.m_Timers.advance(OriginArchive::MaxReadPause);
  BOOST_TEST(Later.knownCount(1) == 1U);
}

// Guards against a stream of an unproven process that is saved as of none.
BOOST_AUTO_TEST_CASE(AnUnprovenStreamIsSavedAsSuch) {
  World Where;
  Instance First(Where);
  First.m_Archive.setMixedServices(Mixed);
  First.begin(0, 1, {"s", SoftwareVersion()});
  Where.m_Timers.advance(Interval + 20ms);
  Instance Later(Where, "edge-2");
  Later.m_Archive.setMixedServices(Mixed);
  Where.m_Timers.advance(100ms);
  BOOST_TEST(Later.m_Exchange.isUnproven(keyOf(0)));
}

namespace {

/// An instance that has run on while another one saved streams from 0 to 9.
struct LateReader {
  LateReader() : m_Instance(m_World, "edge-1"), m_Other(m_World, "edge-2") {
    m_Instance.m_Archive.setMixedServices(Mixed);
    m_Other.m_Archive.setMixedServices(Mixed);
    m_World.m_Timers.advance(100ms);
    for (std::uint64_t Peer = 1; Peer <= 2; ++Peer) {
      m_Instance.addPeer(Peer, "a");
      announce(Peer);
    }
    m_Other.begin(0, 10);
    m_World.m_Timers.advance(1s);
    m_FirstReads = m_World.m_Tables.m_Reads;
  }

  void announce(std::uint64_t Peer) {
    wire::FrameT Frame;
    Frame.stream_peer = packPeerState(false);
    m_Instance.receive(Peer, Frame);
  }
  void deny(std::uint64_t Peer) {
    wire::FrameT &Sent = m_Instance.m_Links.m_Frames[link::LinkId(Peer)];
    wire::FrameT Frame;
    for (const wire::StreamQuestion &Asked : Sent.stream_questions)
      Frame.stream_answers.push_back(packAnswer(Asked.id(), nullptr));
    Sent.stream_questions.clear();
    m_Instance.receive(Peer, Frame);
  }
  /// Looks a stream up and lets the peers deny it.
  LookupResult lookUp(std::size_t Stream, std::uint64_t Peers = 1) {
    m_Instance.m_Found.reset();
    m_Instance.startLookup(Stream);
    for (std::uint64_t Peer = 1; Peer <= Peers; ++Peer)
      deny(Peer);
    m_World.m_Timers.advance(OriginExchange::ArchiveTimeout);
    BOOST_REQUIRE(m_Instance.m_Found.has_value());
    return *m_Instance.m_Found;
  }
  /// Returns the reads since the streams were saved.
  [[nodiscard]] std::size_t reads() const {
    return m_World.m_Tables.m_Reads - m_FirstReads;
  }

  World m_World;
  Instance m_Instance;
  Instance m_Other;
  std::size_t m_FirstReads = 0;
};

} // namespace

// Guards against a stream that is refused for good as those that kept it are
// lost.
BOOST_AUTO_TEST_CASE(ALossIsAReasonToReadAgain) {
  LateReader Late;
  Late.m_Instance.m_Exchange.removePeer(link::LinkId(2));
  BOOST_TEST(Late.lookUp(3).m_Origin.has_value());
  BOOST_TEST(Late.reads() == 1U);
}

// Guards against calls to the store for each question and without a loss.
BOOST_AUTO_TEST_CASE(ALossCostsOneRead) {
  LateReader Late;
  BOOST_TEST(Late.lookUp(100, 2).m_UnansweredCount == 0U);
  BOOST_TEST(Late.reads() == 0U);
  Late.m_Instance.m_Exchange.removePeer(link::LinkId(2));
  for (std::size_t Unknown = 100; Unknown < 120; ++Unknown) {
    const LookupResult Found = Late.lookUp(Unknown);
    BOOST_TEST(!Found.m_Origin.has_value());
    BOOST_TEST(Found.m_UnansweredCount == 0U);
  }
  BOOST_TEST(Late.reads() == 1U);
}

// Guards against a call to the store for each of many losses.
BOOST_AUTO_TEST_CASE(LossesInSeriesShareReads) {
  LateReader Late;
  std::vector<std::unique_ptr<OriginLookup>> Lookups;
  std::size_t Ended = 0;
  constexpr std::uint64_t Losses = 40;
  for (std::uint64_t I = 0; I < Losses; ++I) {
    Late.m_Instance.addPeer(10 + I, "a");
    Late.m_Instance.m_Exchange.removePeer(link::LinkId(10 + I));
    Lookups.push_back(Late.m_Instance.m_Exchange.ask(
        keyOf(100 + I), [&](const LookupResult &) { ++Ended; }));
    Late.deny(1);
    Late.deny(2);
    Late.m_World.m_Timers.advance(50ms);
  }
  Late.m_World.m_Timers.advance(OriginExchange::ArchiveTimeout);
  BOOST_TEST(Ended == Losses);
  BOOST_TEST(Late.reads() <= 2s / OriginArchive::MinReadPause + 1);
}

// Guards against a stream that counts as lost as a peer doesn't answer.
BOOST_AUTO_TEST_CASE(SilenceIsAReasonToReadAgain) {
  LateReader Late;
  const LookupResult First = Late.lookUp(3, 1);
  BOOST_TEST(!First.m_Origin.has_value());
  BOOST_TEST(First.m_UnansweredCount > 0U);
  BOOST_TEST((Late.m_Instance.m_Exchange.findLocal(keyOf(3)) != nullptr));
}

// Guards against callers that wait for a store that is away, or that are
// refused for good meanwhile.
BOOST_AUTO_TEST_CASE(ALossWithoutTheStoreLeavesItOpen) {
  LateReader Late;
  Late.m_World.m_Tables.m_IsAway = true;
  Late.m_Instance.m_Exchange.removePeer(link::LinkId(2));
  Late.m_Instance.startLookup(3);
  Late.deny(1);
  Late.m_World.m_Timers.advance(100ms);
  BOOST_REQUIRE(Late.m_Instance.m_Found.has_value());
  BOOST_TEST(Late.m_Instance.m_Found->m_UnansweredCount > 0U);
  Late.m_World.m_Tables.m_IsAway = false;
  Late.m_World.m_Timers.advance(OriginArchive::MaxReadPause);
  BOOST_TEST(Late.lookUp(3).m_Origin.has_value());
}

// Guards against origins that aren't saved while the archive is read again.
BOOST_AUTO_TEST_CASE(WritesGoOnWhileTheArchiveIsReadAgain) {
  LateReader Late;
  Late.m_World.m_Tables.m_AnswerTime = 200ms;
  Late.m_Instance.m_Exchange.removePeer(link::LinkId(2));
  Late.m_Instance.startLookup(3);
  Late.deny(1);
  Late.m_Instance.begin(200, 1);
  const std::size_t Before = Late.m_World.m_Tables.m_Writes;
  Late.m_World.m_Timers.advance(100ms);
  BOOST_TEST(Late.m_World.m_Tables.m_Writes == Before + 1);
}

// Guards against reads by each instance of a zone with hubs, and against none
// where the hubs are lost as well.
BOOST_AUTO_TEST_CASE(HubsReadForTheirZone) {
  for (const bool IsHubLost : {false, true}) {
    LateReader Late;
    Late.m_Instance.m_Exchange.setHubs({Instance::idOf(1)});
    Late.m_Instance.m_Exchange.removePeer(link::LinkId(IsHubLost ? 1 : 2));
    Late.m_Instance.startLookup(3);
    Late.deny(IsHubLost ? 2 : 1);
    Late.m_World.m_Timers.advance(OriginExchange::ArchiveTimeout);
    BOOST_TEST(Late.reads() == (IsHubLost ? 1U : 0U));
    BOOST_REQUIRE(Late.m_Instance.m_Found.has_value());
    BOOST_TEST(Late.m_Instance.m_Found->m_Origin.has_value() == IsHubLost);
  }
  LateReader Both;
  Both.m_World.m_Tables.m_AnswerTime = 100ms;
  Both.m_Instance.m_Exchange.setHubs({Instance::idOf(1)});
  Both.m_Instance.m_Exchange.removePeer(link::LinkId(1));
  std::size_t Found = 0;
  std::vector<std::unique_ptr<OriginLookup>> Lookups;
  for (const std::size_t Stream : {3U, 4U}) {
    Lookups.push_back(Both.m_Instance.m_Exchange.ask(
        keyOf(Stream),
        [&](const LookupResult &Result) { Found += Result.m_Origin ? 1 : 0; }));
    Both.deny(2);
    Both.m_World.m_Timers.advance(50ms);
  }
  Both.m_World.m_Timers.advance(OriginExchange::ArchiveTimeout);
  BOOST_TEST(Found == 2U);
  LateReader Hub;
  Hub.m_Instance.m_Exchange.setHubs({instanceIdOf("edge-1")});
  Hub.m_Instance.m_Exchange.removePeer(link::LinkId(2));
  Hub.m_Instance.ask(1, 7, 3);
  Hub.m_World.m_Timers.advance(100ms);
  BOOST_TEST(Hub.m_Instance.answers(1) == 1U);
  BOOST_TEST(Hub.reads() == 1U);
}
