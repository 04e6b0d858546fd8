/// Records and lookups of streams' origins between instances.
#define BOOST_TEST_MODULE origin_exchange
#include "resume/holder_ranking.h"
#include "resume/origin_codec.h"
#include "resume/origin_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::resume;
using namespace std::chrono_literals;

namespace {

const AvailabilityZone Own{"a"};
const AvailabilityZone Other{"b"};

/// Keeps the frames of each link and counts flushes.
class RecordingLinks final : public link::Links {
public:
  void dial(const Address &) override {}
  void disconnect(const Address &) override {}
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(link::LinkId Link) override { return m_Frames[Link]; }
  void flush(link::LinkId Link) override { m_Flushed.insert(Link); }
  void close(link::LinkId) override {}

  std::map<link::LinkId, wire::FrameT> m_Frames; ///< Never sent.
  std::set<link::LinkId> m_Flushed;              ///< Links that were flushed.
};

struct ExchangeEnv {
  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  Metrics m_Metrics;
  RecordingLinks m_Links;
  OriginExchange m_Exchange{instanceIdOf("self"), Own, m_Clock, m_Timers,
                            m_Metrics};
  std::vector<LookupResult> m_Results; ///< Of ask().
  std::vector<std::unique_ptr<OriginLookup>> m_Lookups;

  /// Links near peers with the numbers from 1, which announce themselves.
  explicit ExchangeEnv(std::uint64_t Peers = 0) {
    for (std::uint64_t I = 1; I <= Peers; ++I) {
      addPeer(I, Own, true);
      announce(I, false);
    }
  }

  void addPeer(std::uint64_t Number, const AvailabilityZone &Zone,
               bool IsNear) {
    addLink(Number, Number, Zone, IsNear);
  }
  void addLink(std::uint64_t Link, std::uint64_t Number,
               const AvailabilityZone &Zone, bool IsNear) {
    m_Exchange.addPeer(m_Links,
                       {link::LinkId(Link), idOf(Number), Zone, IsNear});
  }
  static InstanceId idOf(std::uint64_t Number) {
    return instanceIdOf("peer-" + std::to_string(Number));
  }
  void announce(std::uint64_t Number, bool IsStopping) {
    wire::FrameT Frame;
    Frame.stream_peer = packPeerState(IsStopping);
    receive(Number, Frame);
  }
  void receive(std::uint64_t From, wire::FrameT &Frame) {
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Frame));
    m_Exchange.receive(link::LinkId(From),
                       *wire::GetFrame(Builder.GetBufferPointer()));
  }
  void receiveRecord(std::uint64_t From, const StreamRecord &Record) {
    wire::FrameT Frame;
    Frame.stream_origins.push_back(packRecord(Record));
    receive(From, Frame);
  }
  void answer(std::uint64_t From, std::uint64_t Question,
              const StreamOrigin *Origin) {
    wire::FrameT Frame;
    Frame.stream_answers.push_back(packAnswer(Question, Origin));
    receive(From, Frame);
  }
  void ask(std::uint64_t From, std::uint64_t Question, const StreamKey &Key) {
    wire::FrameT Frame;
    Frame.stream_questions.emplace_back(Question, Key.m_High, Key.m_Low, true);
    receive(From, Frame);
  }
  void startLookup(const StreamKey &Key) {
    m_Lookups.push_back(m_Exchange.ask(Key, [this](const LookupResult &Result) {
      m_Results.push_back(Result);
    }));
  }

  /// Returns the links with records, questions or answers that were not sent.
  std::vector<std::uint64_t>
  linksWith(std::size_t (*CountOf)(const wire::FrameT &)) {
    std::vector<std::uint64_t> Result;
    for (const auto &[Link, Frame] : m_Links.m_Frames)
      if (CountOf(Frame) > 0)
        Result.push_back(Link.value());
    return Result;
  }
  std::vector<std::uint64_t> linksWithRecords() {
    return linksWith(
        [](const wire::FrameT &F) { return F.stream_origins.size(); });
  }
  std::vector<std::uint64_t> linksWithQuestions() {
    return linksWith(
        [](const wire::FrameT &F) { return F.stream_questions.size(); });
  }
  std::vector<std::uint64_t> linksWithAnswers() {
    return linksWith(
        [](const wire::FrameT &F) { return F.stream_answers.size(); });
  }
  std::uint64_t questionAt(std::uint64_t Link) {
    return m_Links.m_Frames[link::LinkId(Link)].stream_questions.at(0).id();
  }
};

const StreamKey Key = streamKeyOf("w", "attempt");
const StreamOrigin Origin{"s", SoftwareVersion("v1")};
const StreamRecord Record{Key, Origin, 10s};

} // namespace

// Guards against a record that is still in this process when the caller gets
// the first event.
BOOST_AUTO_TEST_CASE(RecordsAreFlushed) {
  ExchangeEnv Env(8);
  Env.m_Exchange.record(Record);
  const auto Holders = Env.linksWithRecords();
  BOOST_TEST(Holders.size() == OriginExchange::CopyCount);
  for (const std::uint64_t Link : Holders)
    BOOST_TEST(Env.m_Links.m_Flushed.contains(link::LinkId(Link)));
  BOOST_REQUIRE(Env.m_Exchange.findLocal(Key) != nullptr);
  BOOST_TEST((*Env.m_Exchange.findLocal(Key) == Origin));
}

// Guards against records at instances of an older version, which drop them.
BOOST_AUTO_TEST_CASE(OnlyPeersThatTakePartAreUsed) {
  ExchangeEnv Env;
  for (std::uint64_t I = 1; I <= 6; ++I)
    Env.addPeer(I, Own, true);
  Env.announce(2, false);
  Env.m_Exchange.record(Record);
  Env.startLookup(streamKeyOf("w", "other"));
  BOOST_TEST((Env.linksWithRecords() == std::vector<std::uint64_t>{2}));
  BOOST_TEST((Env.linksWithQuestions() == std::vector<std::uint64_t>{2}));
}

// Guards against an origin that no other instance has, as its stream began
// while the links to most of them were down.
BOOST_AUTO_TEST_CASE(MissingCopiesGoToPeersThatAreLinkedLater) {
  constexpr std::uint64_t Last = OriginExchange::CopyCount + 1;
  ExchangeEnv Linked(Last);
  Linked.m_Exchange.record(Record);
  std::vector<std::uint64_t> Expected = Linked.linksWithRecords();
  std::erase(Expected, 1);
  ExchangeEnv Env(1);
  Env.m_Exchange.record(Record);
  Env.m_Timers.advance(4s);
  for (std::uint64_t I = 2; I <= Last; ++I) {
    Env.addPeer(I, Own, true);
    Env.announce(I, false);
    Env.announce(I, false);
  }
  Env.m_Timers.advance(OriginExchange::CopyDelay);
  for (const std::uint64_t Link : Expected) {
    const auto &Late = Env.m_Links.m_Frames[link::LinkId(Link)].stream_origins;
    BOOST_REQUIRE(Late.size() == 1U);
    BOOST_TEST(Late[0]->lifetime_ms == 5980U);
  }
  Expected.insert(Expected.begin(), 1);
  BOOST_TEST((Env.linksWithRecords() == Expected));
}

// Guards against an origin that was sent on links which failed before it
// arrived.
BOOST_AUTO_TEST_CASE(CopiesOnFailedLinksAreSentElsewhere) {
  ExchangeEnv Env(2 * OriginExchange::CopyCount);
  Env.m_Exchange.record(Record);
  const auto First = Env.linksWithRecords();
  Env.m_Timers.advance(RecordCopies::DeliveryTime - 1s);
  for (const std::uint64_t Link : First)
    Env.m_Exchange.removePeer(link::LinkId(Link));
  Env.m_Timers.advance(OriginExchange::CopyDelay);
  BOOST_TEST(Env.linksWithRecords().size() == 2 * OriginExchange::CopyCount);
}

// Guards against the same where the peer is linked anew.
BOOST_AUTO_TEST_CASE(ACopyIsSentAgainOnTheNextLink) {
  ExchangeEnv Env(1);
  Env.m_Exchange.record(Record);
  Env.m_Exchange.removePeer(link::LinkId(1));
  Env.addLink(2, 1, Own, true);
  Env.announce(2, false);
  Env.m_Timers.advance(OriginExchange::CopyDelay);
  BOOST_TEST((Env.linksWithRecords() == std::vector<std::uint64_t>{1, 2}));
}

// Guards against copies of all records of a peer that ends.
BOOST_AUTO_TEST_CASE(CopiesThatArrivedAreNotSentAgain) {
  ExchangeEnv Env(2 * OriginExchange::CopyCount);
  Env.m_Exchange.record(Record);
  const auto First = Env.linksWithRecords();
  Env.m_Timers.advance(RecordCopies::DeliveryTime);
  for (const std::uint64_t Link : First)
    Env.m_Exchange.removePeer(link::LinkId(Link));
  Env.m_Timers.advance(1s);
  BOOST_TEST((Env.linksWithRecords() == First));
}

// Guards against a crash by a stream whose time has passed as it begins.
BOOST_AUTO_TEST_CASE(ARecordWithoutLifetimeIsNotTracked) {
  ExchangeEnv Env;
  for (const Duration Left : {0ms, -5ms})
    Env.m_Exchange.record({Key, Origin, Left});
  Env.addPeer(1, Own, true);
  Env.announce(1, false);
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.linksWithRecords().empty());
}

// Guards against an instance that counts as several others while two links to
// it are up.
BOOST_AUTO_TEST_CASE(OneInstanceGetsOneCopy) {
  ExchangeEnv Env(OriginExchange::CopyCount);
  for (std::uint64_t I = 1; I <= OriginExchange::CopyCount; ++I) {
    Env.addLink(10 + I, I, Own, true);
    Env.announce(10 + I, false);
  }
  Env.m_Exchange.record(Record);
  BOOST_TEST(
      (Env.linksWithRecords() == std::vector<std::uint64_t>{11, 12, 13}));
}

// Guards against copies of streams that have ended, at peers that stop and at
// those of other zones.
BOOST_AUTO_TEST_CASE(MissingCopiesGoOnlyWhereTheyAreOfUse) {
  ExchangeEnv Env;
  Env.m_Exchange.record(Record);
  Env.addPeer(1, Own, true);
  Env.announce(1, true);
  Env.addPeer(2, Other, false);
  Env.announce(2, false);
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.linksWithRecords().empty());
  Env.m_Timers.advance(Record.m_Lifetime);
  Env.addPeer(3, Own, true);
  Env.announce(3, false);
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.linksWithRecords().empty());
}

// Guards against records that end with an instance that shuts down.
BOOST_AUTO_TEST_CASE(AStoppingPeerGetsNoRecordsAndIsAsked) {
  ExchangeEnv Env(4);
  for (const std::uint64_t Stopping : {1U, 2U, 3U})
    Env.announce(Stopping, true);
  Env.m_Exchange.record(Record);
  BOOST_TEST((Env.linksWithRecords() == std::vector<std::uint64_t>{4}));
  Env.startLookup(streamKeyOf("w", "other"));
  BOOST_TEST(Env.linksWithQuestions().size() == 4U);
  Env.m_Exchange.stop();
  BOOST_TEST(Env.m_Links.m_Frames[link::LinkId(4)].stream_peer->stopping);
}

// Guards against instances that look for a record where none was sent.
BOOST_AUTO_TEST_CASE(ThoseAskedIncludeThoseThatKeepIt) {
  ExchangeEnv Beginner(20);
  ExchangeEnv Asking(20);
  for (int I = 0; I < 200; ++I) {
    const StreamKey Next = streamKeyOf("w", std::to_string(I));
    Beginner.m_Links.m_Frames.clear();
    Asking.m_Links.m_Frames.clear();
    Beginner.m_Exchange.record({Next, Origin, 10s});
    Asking.startLookup(Next);
    const auto Asked = Asking.linksWithQuestions();
    for (const std::uint64_t Holder : Beginner.linksWithRecords())
      BOOST_TEST((std::ranges::find(Asked, Holder) != Asked.end()));
  }
}

// Guards against origins that are all kept in one zone.
BOOST_AUTO_TEST_CASE(HoldersAreInDifferentZones) {
  std::vector<HolderCandidate> Candidates;
  Candidates.reserve(24);
  for (int I = 0; I < 24; ++I)
    Candidates.push_back({instanceIdOf(std::to_string(I)),
                          {I < 16 ? "a" : (I < 20 ? "b" : "c")},
                          NoHub});
  for (int I = 0; I < 200; ++I) {
    std::set<AvailabilityZone> Zones;
    for (const std::size_t Index :
         rankHolders(streamKeyOf("w", std::to_string(I)), Candidates, 3))
      Zones.insert(Candidates[Index].m_Zone);
    BOOST_TEST(Zones.size() == 3U);
  }
}

// Guards against origins that hubs, which the other zones ask, don't have.
BOOST_AUTO_TEST_CASE(HubsKeepAllOriginsOfTheirZone) {
  std::vector<HolderCandidate> Candidates;
  for (std::size_t I = 0; I < 24; ++I)
    Candidates.push_back(
        {instanceIdOf(std::to_string(I)),
         {I % 2 == 0 ? "a" : "b"},
         I < 20 ? NoHub : (I == 20 ? 1 : (I == 22 ? 0 : NoHub))});
  for (int I = 0; I < 50; ++I) {
    const auto Ranked =
        rankHolders(streamKeyOf("w", std::to_string(I)), Candidates, 3);
    BOOST_TEST(Ranked.at(0) == 22U);
    BOOST_TEST(Ranked.at(1) == 20U);
  }
}

// Guards against a stream that counts as unknown because one instance has
// forgotten it.
BOOST_AUTO_TEST_CASE(OneAnswerIsEnough) {
  ExchangeEnv Env(6);
  Env.startLookup(Key);
  const auto Asked = Env.linksWithQuestions();
  BOOST_REQUIRE(Asked.size() == OriginExchange::AskedCount);
  Env.answer(Asked[0], Env.questionAt(Asked[0]), nullptr);
  BOOST_TEST(Env.m_Results.empty());
  Env.answer(Asked[1], Env.questionAt(Asked[1]), &Origin);
  BOOST_REQUIRE(Env.m_Results.size() == 1U);
  BOOST_TEST((*Env.m_Results[0].m_Origin == Origin));
  Env.answer(Asked[2], Env.questionAt(Asked[2]), &Origin);
  BOOST_TEST(Env.m_Results.size() == 1U);
}

// Guards against a lookup that waits once all have denied, and against one that
// takes silence for a denial.
BOOST_AUTO_TEST_CASE(SilenceIsNoDenial) {
  ExchangeEnv Denied(3);
  Denied.startLookup(Key);
  for (const std::uint64_t Link : Denied.linksWithQuestions())
    Denied.answer(Link, Denied.questionAt(Link), nullptr);
  BOOST_REQUIRE(Denied.m_Results.size() == 1U);
  BOOST_TEST(!Denied.m_Results[0].m_Origin.has_value());
  BOOST_TEST(Denied.m_Results[0].m_UnansweredCount == 0U);
  ExchangeEnv Silent(3);
  Silent.startLookup(Key);
  Silent.answer(1, Silent.questionAt(1), nullptr);
  Silent.m_Exchange.removePeer(link::LinkId(2));
  Silent.m_Timers.advance(OriginExchange::LookupTimeout - 1ms);
  BOOST_TEST(Silent.m_Results.empty());
  Silent.m_Timers.advance(1ms);
  BOOST_REQUIRE(Silent.m_Results.size() == 1U);
  BOOST_TEST(Silent.m_Results[0].m_UnansweredCount == 2U);
}

// Guards against a caller who waits although nobody can answer.
BOOST_AUTO_TEST_CASE(WithoutPeersALookupEndsAtOnce) {
  ExchangeEnv Env;
  Env.startLookup(Key);
  BOOST_TEST(Env.m_Results.empty());
  Env.m_Timers.advance(0ms);
  BOOST_TEST(Env.m_Results.size() == 1U);
  ExchangeEnv Lost(1);
  Lost.startLookup(Key);
  Lost.m_Exchange.removePeer(link::LinkId(1));
  BOOST_TEST(Lost.m_Results.size() == 1U);
}

// Guards against a result of a lookup that another one's result has ended.
BOOST_AUTO_TEST_CASE(AResultMayEndOtherLookups) {
  ExchangeEnv Env(1);
  std::unique_ptr<OriginLookup> Second;
  int Results = 0;
  const auto First = Env.m_Exchange.ask(Key, [&](const LookupResult &) {
    ++Results;
    Second.reset();
  });
  Second = Env.m_Exchange.ask(streamKeyOf("w", "other"),
                              [&](const LookupResult &) { ++Results; });
  Env.m_Exchange.removePeer(link::LinkId(1));
  Env.m_Timers.advance(1s);
  BOOST_TEST(Results == 1);
}

// Guards against results of a request that has ended.
BOOST_AUTO_TEST_CASE(ACancelledLookupHasNoResult) {
  ExchangeEnv Env(3);
  Env.startLookup(Key);
  Env.m_Lookups.clear();
  Env.answer(1, Env.questionAt(1), &Origin);
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.m_Results.empty());
}

// Guards against answers of instances that were not asked, and against those
// that can't be read.
BOOST_AUTO_TEST_CASE(StrayAnswersAreIgnored) {
  ExchangeEnv Env(2);
  Env.startLookup(Key);
  const std::uint64_t Question = Env.questionAt(1);
  Env.addPeer(9, Own, true);
  Env.answer(9, Question, &Origin);
  BOOST_TEST(Env.m_Results.empty());
  wire::FrameT Frame;
  Frame.stream_answers.push_back(packAnswer(Question, &Origin));
  Frame.stream_answers.back()->software.clear();
  Env.receive(1, Frame);
  BOOST_TEST(Env.m_Results.empty());
  Env.answer(2, Question, nullptr);
  BOOST_REQUIRE(Env.m_Results.size() == 1U);
  BOOST_TEST(!Env.m_Results[0].m_Origin.has_value());
}

// Guards against instances that keep records and don't answer for them.
BOOST_AUTO_TEST_CASE(KeptOriginsAreAnswered) {
  ExchangeEnv Env(2);
  Env.receiveRecord(1, Record);
  Env.ask(2, 7, Key);
  Env.ask(2, 8, streamKeyOf("w2", "attempt"));
  const auto &Answers = Env.m_Links.m_Frames[link::LinkId(2)].stream_answers;
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST(Answers[0]->question == 7U);
  BOOST_TEST(Answers[0]->software == "v1");
  BOOST_TEST(Answers[1]->software.empty());
  // A record is passed on by hubs only.
  BOOST_TEST(Env.linksWithRecords().empty());
}

// Guards against a stream of an unproven process that others take for one that
// nobody knows.
BOOST_AUTO_TEST_CASE(UnprovenStreamsAreRecordedAndAnswered) {
  ExchangeEnv Env(2);
  Env.receiveRecord(1, {Key, {"s", SoftwareVersion()}, 10s});
  BOOST_TEST(Env.m_Exchange.findLocal(Key) == nullptr);
  BOOST_TEST(Env.m_Exchange.isUnproven(Key));
  Env.ask(2, 7, Key);
  wire::FrameT &Sent = Env.m_Links.m_Frames[link::LinkId(2)];
  BOOST_REQUIRE(Sent.stream_answers.size() == 1U);
  ExchangeEnv Asking(1);
  Asking.startLookup(Key);
  Sent.stream_answers[0]->question = Asking.questionAt(1);
  Asking.receive(1, Sent);
  BOOST_REQUIRE(Asking.m_Results.size() == 1U);
  BOOST_REQUIRE(Asking.m_Results[0].m_Origin.has_value());
  BOOST_TEST(!Asking.m_Results[0].m_Origin->m_Software.isKnown());
}

// Guards against records and questions of each stream to another zone's hubs.
BOOST_AUTO_TEST_CASE(OnlyNearPeersKeepRecords) {
  ExchangeEnv Env(3);
  Env.addPeer(11, Other, false);
  Env.announce(11, false);
  Env.m_Exchange.record(Record);
  Env.startLookup(streamKeyOf("w", "other"));
  const std::vector<std::uint64_t> Near = {1, 2, 3};
  BOOST_TEST((Env.linksWithRecords() == Near));
  BOOST_TEST((Env.linksWithQuestions() == Near));
}

// Guards against a crash by a frame of a link that is being removed, and by a
// record without a service.
BOOST_AUTO_TEST_CASE(UnreadableRecordsAreIgnored) {
  ExchangeEnv Env(2);
  Env.receiveRecord(9, Record);
  wire::FrameT Frame;
  Frame.stream_origins.push_back(packRecord(Record));
  Frame.stream_origins.back()->service.clear();
  Env.receive(1, Frame);
  BOOST_TEST(Env.m_Exchange.findLocal(Key) == nullptr);
  BOOST_TEST(!Env.m_Exchange.isUnproven(Key));
  // What has expired stays so.
  BOOST_TEST(packRecord({Key, Origin, -1s})->lifetime_ms == 0U);
}

// Guards against a hub's own streams that are lost with its zone, and against
// records and lookups at the hubs of another zone that end, or that are
// missing.
BOOST_AUTO_TEST_CASE(AHubsOwnStreamsAreKnownInAnotherZone) {
  ExchangeEnv Env(2);
  Env.m_Exchange.setHubs({instanceIdOf("self"), ExchangeEnv::idOf(1)});
  Env.m_Exchange.setActiveHub(true);
  Env.m_Exchange.record({streamKeyOf("w", "early"), Origin, 10s});
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  for (const std::uint64_t Far : {11U, 12U}) {
    Env.addPeer(Far, Other, false);
    Env.announce(Far, Far == 11U);
  }
  Env.m_Links.m_Frames.clear();
  Env.m_Exchange.record(Record);
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  BOOST_TEST((Env.linksWithRecords() == std::vector<std::uint64_t>{1, 2, 12}));
  Env.startLookup(streamKeyOf("w", "other"));
  BOOST_TEST(
      (Env.linksWithQuestions() == std::vector<std::uint64_t>{1, 2, 11, 12}));
  const auto IsPassedOn = [&](std::uint64_t Link) {
    return Env.m_Links.m_Frames[link::LinkId(Link)]
        .stream_questions.at(0)
        .in_other_zones();
  };
  BOOST_TEST(IsPassedOn(1));
  BOOST_TEST(!IsPassedOn(12));
}

// Guards against origins that are lost with their zone.
BOOST_AUTO_TEST_CASE(HubsPassOriginsOnToAnotherZone) {
  ExchangeEnv Env(3);
  Env.m_Exchange.setHubs({instanceIdOf("self"), ExchangeEnv::idOf(1)});
  Env.m_Exchange.setActiveHub(true);
  for (const std::uint64_t Far : {11U, 12U, 13U}) {
    Env.addPeer(Far, {Far == 13U ? "c" : "b"}, false);
    Env.announce(Far, false);
  }
  Env.receiveRecord(2, Record);
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  const auto Exported = Env.linksWithRecords();
  BOOST_TEST((Exported == std::vector<std::uint64_t>{11, 12} ||
              Exported == std::vector<std::uint64_t>{13}));
  // Those of another zone stay where they are.
  Env.m_Links.m_Frames.clear();
  Env.receiveRecord(11, {streamKeyOf("w", "far"), Origin, 10s});
  Env.m_Timers.advance(1s);
  BOOST_TEST(Env.linksWithRecords().empty());
}

// Guards against origins that are lost between two hubs of a zone.
BOOST_AUTO_TEST_CASE(ASecondHubPassesOnWhatTheFirstMayHaveLost) {
  ExchangeEnv Env(2);
  Env.m_Exchange.setHubs({ExchangeEnv::idOf(1), instanceIdOf("self")});
  Env.addPeer(11, Other, false);
  Env.announce(11, false);
  Env.receiveRecord(2, Record);
  Env.m_Timers.advance(500ms);
  BOOST_TEST(Env.linksWithRecords().empty());
  Env.m_Exchange.setActiveHub(true);
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  BOOST_TEST((Env.linksWithRecords() == std::vector<std::uint64_t>{11}));
  // What the first one had time for is not sent again, and not kept.
  const auto &Sent = Env.m_Links.m_Frames[link::LinkId(11)].stream_origins;
  Env.m_Exchange.setActiveHub(false);
  Env.receiveRecord(2, {streamKeyOf("w", "old"), Origin, 10s});
  Env.m_Timers.advance(OriginExchange::ExportMemory + 100ms);
  Env.receiveRecord(2, {streamKeyOf("w", "new"), Origin, 10s});
  Env.m_Exchange.setActiveHub(true);
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  BOOST_TEST(Sent.size() == 2U);
  Env.m_Exchange.setActiveHub(false);
  for (std::size_t I = 0; I < StreamOrigins::MaxStreams + 10; ++I)
    Env.receiveRecord(2, {streamKeyOf("w", std::to_string(I)), Origin, 10s});
  Env.m_Exchange.setActiveHub(true);
  Env.m_Timers.advance(OriginExchange::ExportInterval);
  BOOST_TEST(Sent.size() == 2 + StreamOrigins::MaxStreams);
}

// Guards against streams that can't be resumed in another zone.
BOOST_AUTO_TEST_CASE(AHubSearchesInOtherZones) {
  ExchangeEnv Env(2);
  Env.m_Exchange.setHubs({instanceIdOf("self"), ExchangeEnv::idOf(1)});
  for (const std::uint64_t Far : {11U, 12U}) {
    Env.addPeer(Far, Other, false);
    Env.announce(Far, false);
  }
  Env.addPeer(13, Other, false); // Of an older version.
  Env.ask(2, 7, Key);
  BOOST_TEST((Env.linksWithQuestions() == std::vector<std::uint64_t>{11, 12}));
  BOOST_TEST(!Env.m_Links.m_Frames[link::LinkId(11)]
                  .stream_questions.at(0)
                  .in_other_zones());
  BOOST_TEST(Env.linksWithAnswers().empty());
  Env.answer(12, Env.questionAt(12), &Origin);
  const auto &Answers = Env.m_Links.m_Frames[link::LinkId(2)].stream_answers;
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(Answers[0]->question == 7U);
  BOOST_TEST(Answers[0]->software == "v1");
  // Where a zone is silent, the stream is not unknown.
  Env.ask(2, 8, streamKeyOf("w", "far"));
  Env.m_Timers.advance(OriginExchange::SearchTimeout);
  BOOST_TEST(Answers.size() == 1U);
}

// Guards against questions that instances pass on in circles.
BOOST_AUTO_TEST_CASE(OnlyHubsPassOnQuestionsOfTheirZone) {
  for (const bool IsHub : {false, true}) {
    ExchangeEnv Env(2);
    Env.m_Exchange.setHubs(
        {IsHub ? instanceIdOf("self") : ExchangeEnv::idOf(1)});
    for (const std::uint64_t Far : {11U, 12U}) {
      Env.addPeer(Far, Other, false);
      Env.announce(Far, false);
    }
    wire::FrameT Frame;
    Frame.stream_questions.emplace_back(7, Key.m_High, Key.m_Low, !IsHub);
    Env.receive(IsHub ? 11 : 2, Frame);
    BOOST_TEST(Env.linksWithQuestions().empty());
    BOOST_TEST(Env.linksWithAnswers().size() == 1U);
  }
}

// Guards against a hub that denies a stream because it is too busy to search in
// other zones, and against searches without end.
BOOST_AUTO_TEST_CASE(AFullHubDoesNotDeny) {
  ExchangeEnv Env(2);
  Env.m_Exchange.setHubs({instanceIdOf("self"), ExchangeEnv::idOf(1)});
  Env.addPeer(11, Other, false);
  Env.announce(11, false);
  for (std::size_t I = 0; I <= OriginExchange::MaxSearches; ++I)
    Env.ask(2, I, streamKeyOf("w", std::to_string(I)));
  BOOST_TEST(Env.m_Links.m_Frames[link::LinkId(11)].stream_questions.size() ==
             OriginExchange::MaxSearches);
  BOOST_TEST(Env.linksWithAnswers().empty());
  Env.receiveRecord(1, Record);
  Env.ask(2, 9999, Key);
  BOOST_TEST(Env.linksWithAnswers().size() == 1U);
}
