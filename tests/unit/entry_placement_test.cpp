/// Bids, grants and the right to serve between an entry and dispatchers.
#define BOOST_TEST_MODULE entry_placement
#include "contract/contract_func.h"
#include "core/digest.h"
#include "entry/dispatcher_placement.h"
#include "unit/captured_log.h"

#include <map>
#include <set>

using namespace crowstep;
using namespace crowstep::entry;
using namespace std::chrono_literals;
using link::LinkId;

namespace {

/// Records the dialled addresses and the frames to be sent.
class FakeLinks final : public link::Links {
public:
  void dial(const Address &Target) override { m_Dialled.insert(Target); }
  void disconnect(const Address &Target) override { m_Dialled.erase(Target); }
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(LinkId Link) override { return m_Out[Link.value()]; }
  void flush(LinkId) override {}
  void close(LinkId) override {}

  std::set<Address> m_Dialled;
  std::map<std::uint64_t, wire::FrameT> m_Out;
};

/// Records the results of bids.
class FakeListener final : public PlacementListener {
public:
  void slotGranted(const GrantedSlot &Slot) override {
    m_Slots.push_back(Slot);
  }
  void bidRefused(RefusalReason Reason, Duration) override {
    m_Refused = Reason;
  }
  void slotPreempted(UpstreamId) override { ++m_Preempted; }
  void grantBecameSuspect() override { ++m_Suspect; }
  void bidMoved() override { ++m_Moved; }
  [[nodiscard]] std::uint32_t callTokens() const override { return 7; }

  std::vector<GrantedSlot> m_Slots;
  std::optional<RefusalReason> m_Refused;
  int m_Preempted = 0, m_Suspect = 0, m_Moved = 0;
};

struct Bench {
  Bench() {
    m_Fleet.onFrame([this](LinkId Link, const wire::Frame &Frame) {
      m_Placement.handleFrame(Link, Frame);
    });
    m_Fleet.start(m_Links);
    up(1, "a");
    up(2, "b");
    attach(1);
  }

  static link::Peer peer(const std::string &Name) {
    link::Peer Result;
    Result.m_Role = wire::Role::Dispatcher;
    Result.m_Name = Name;
    Result.m_Instance = instanceIdOf(Name);
    Result.m_Address = {0x7f000001, static_cast<std::uint16_t>(Name[0])};
    return Result;
  }
  void up(std::uint64_t Link, const std::string &Name) {
    m_Fleet.linkUp(LinkId(Link), peer(Name));
  }
  void down(std::uint64_t Link, const std::string &Name) {
    m_Fleet.linkDown(LinkId(Link), peer(Name), link::CloseReason::PeerClosed);
  }
  void frame(std::uint64_t Link, const wire::FrameT &Frame) {
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Frame));
    m_Fleet.linkFrame(LinkId(Link),
                      *wire::GetFrame(Builder.GetBufferPointer()));
  }
  /// Delivers an attachment with members, table and right to serve, as a home
  /// sends it when an entry attaches.
  void attach(std::uint64_t Link, const std::string &Members = "ab",
              std::uint64_t Acked = 0, std::uint64_t Version = 5) {
    wire::FrameT Out;
    Out.attachment = std::make_unique<wire::AttachmentT>();
    Out.attachment->sequence = ++m_Sequence;
    Out.attachment->acked = Acked;
    Out.attachment->right_to_serve = true;
    for (const char Name : Members) {
      auto Row = std::make_unique<wire::MemberT>();
      Row->instance = std::string(1, Name);
      Row->ip = 0x7f000001;
      Row->port = static_cast<std::uint8_t>(Name);
      Out.attachment->members.push_back(std::move(Row));
    }
    auto Row = std::make_unique<wire::UpstreamInfoT>();
    Row->name = "engine-1";
    Row->service = "guide-writer";
    Row->slots = 8;
    Row->engine = true;
    Out.attachment->upstreams.push_back(std::move(Row));
    if (m_SendsWorkspaces) {
      auto Info = std::make_unique<wire::WorkspaceInfoT>();
      Info->id = 1;
      Info->key_hash = sha256Hex("alpha");
      Out.attachment->workspaces.push_back(std::move(Info));
    }
    ContractTable Table;
    Contract Guide;
    Guide.m_Id = ClassId(1);
    Guide.m_Name = "guide";
    Guide.m_Service = "guide-writer";
    Guide.m_FirstTokenTarget = 30s;
    Guide.m_TotalLimit = 60s;
    Table.m_Version = TableVersion(Version);
    Table.m_Contracts = {Guide};
    Out.table_update = std::make_unique<wire::TableUpdateT>();
    Out.table_update->version = Version;
    Out.table_update->json = contract::writeJson(Table);
    frame(Link, Out);
  }
  /// Delivers an attachment that only echoes the acknowledgement \p Acked.
  void echo(std::uint64_t Link, std::uint64_t Acked, bool Draining = false) {
    wire::FrameT Out;
    Out.attachment = std::make_unique<wire::AttachmentT>();
    Out.attachment->sequence = ++m_Sequence;
    Out.attachment->acked = Acked;
    Out.attachment->right_to_serve = true;
    Out.attachment->draining = Draining;
    frame(Link, Out);
  }
  void grant(std::uint64_t Link, BidNumber Bid) {
    wire::FrameT Out;
    Out.grants.emplace_back(Bid.value(), 99, 0x7f000001, 4000, 3, true, 2000);
    frame(Link, Out);
  }
  BidNumber bid() { return bid(m_Listener); }
  BidNumber bid(PlacementListener &Listener) {
    BidTerms Terms;
    Terms.m_Service = "guide-writer";
    Terms.m_Class = ClassId(1);
    Terms.m_Bid.m_UntilTarget = 30s;
    Terms.m_Bid.m_UntilLimit = 60s;
    return m_Placement.bid(Terms, Listener);
  }
  /// Cuts all links and takes all slots of the entry's share; returns the bids.
  std::vector<BidNumber> fillLocalSlots() {
    down(1, "a");
    down(2, "b");
    constexpr std::size_t LocalSlots = 4;
    std::vector<BidNumber> Result;
    Result.reserve(LocalSlots);
    for (std::size_t Count = 0; Count < LocalSlots; ++Count)
      Result.push_back(bid());
    m_Timers.advance(OwnerTimeout + 200ms);
    BOOST_TEST(m_Listener.m_Slots.size() == LocalSlots);
    return Result;
  }
  /// Returns the link to the owner of the pool.
  std::uint64_t owner() const {
    return m_Fleet.linkToOwner(poolIdOf("guide-writer", 0)).value();
  }
  std::uint64_t other() const { return 3 - owner(); }
  /// Simulates a pause of the process: time advances, but no timer runs.
  void pause(Duration Length) { m_Clock.advance(Length); }

  ManualClock m_Clock;
  ManualScheduler m_Timers{m_Clock};
  Directory m_Directory;
  FakeLinks m_Links;
  FakeListener m_Listener;
  std::uint64_t m_Sequence = 0;
  bool m_SendsWorkspaces = true;
  PauseGuard m_Guard{m_Clock, m_Timers};
  DispatcherLinks m_Fleet{{peer("a").m_Address, peer("b").m_Address},
                          m_Clock,
                          m_Timers,
                          m_Directory};
  LocalPlacement m_Local{{{}, InstanceId(1), {}, [] { return 2U; }},
                         m_Directory,
                         m_Clock,
                         m_Timers};
  DispatcherPlacement m_Placement{m_Fleet, m_Local,  m_Guard,
                                  m_Clock, m_Timers, 1000};
};

} // namespace

BOOST_AUTO_TEST_CASE(BidGoesToTheOwnerAndIsGranted) {
  Bench Fixture;
  const BidNumber Bid = Fixture.bid();
  BOOST_REQUIRE(Fixture.m_Links.m_Out[Fixture.owner()].bids.size() == 1U);
  Fixture.grant(Fixture.owner(), Bid);
  BOOST_REQUIRE(Fixture.m_Listener.m_Slots.size() == 1U);
  BOOST_TEST(toString(Fixture.m_Listener.m_Slots[0].m_Address) ==
             "127.0.0.1:4000");
  Fixture.m_Placement.release(
      Bid, {UpstreamId(99), decision::WorkEnd::Finished, 5, 1ms});
  BOOST_TEST(Fixture.m_Links.m_Out[Fixture.owner()].work_ends.size() == 1U);
}

// Two dispatchers consider themselves owner of the pool. Only the first grant
// from the one that has the bid is used.
BOOST_AUTO_TEST_CASE(GrantFromElsewhereIsIgnored) {
  Bench Fixture;
  const BidNumber Bid = Fixture.bid();
  Fixture.grant(Fixture.other(), Bid);
  BOOST_TEST(Fixture.m_Listener.m_Slots.empty());
  Fixture.grant(Fixture.owner(), Bid);
  Fixture.grant(Fixture.owner(), Bid);
  BOOST_TEST(Fixture.m_Listener.m_Slots.size() == 1U);
}

// The owner fails while a bid waits and a call runs. Both are sent to the next
// owner: the bid as a bid, the call as running, with its tokens.
BOOST_AUTO_TEST_CASE(NewOwnerHearsOfEverything) {
  Bench Fixture;
  Fixture.attach(1, "b");
  const BidNumber Running = Fixture.bid();
  Fixture.grant(2, Running);
  Fixture.bid();
  Fixture.down(2, "b");
  Fixture.attach(1, "a");
  BOOST_REQUIRE(Fixture.m_Links.m_Out[1].running.size() == 1U);
  BOOST_TEST(Fixture.m_Links.m_Out[1].running[0]->tokens == 7U);
  BOOST_TEST(Fixture.m_Links.m_Out[1].running[0]->upstream == 99U);
  BOOST_TEST(Fixture.m_Links.m_Out[1].bids.size() == 1U);
}

BOOST_AUTO_TEST_CASE(NotOwnerIsBidAgainSoon) {
  Bench Fixture;
  const BidNumber Bid = Fixture.bid();
  wire::FrameT Out;
  Out.not_owner.emplace_back(Bid.value(), 0);
  Fixture.frame(Fixture.owner(), Out);
  BOOST_TEST(Fixture.m_Links.m_Out[Fixture.owner()].bids.size() == 1U);
  Fixture.m_Timers.advance(200ms);
  BOOST_TEST(Fixture.m_Links.m_Out[Fixture.owner()].bids.size() == 2U);
}

// No owner can be reached for a second: the entry places locally, on its share
// of the slots (8 for 2 members). Bids that still wait go to the owner later.
BOOST_AUTO_TEST_CASE(WithoutOwnerTheEntryDecidesAlone) {
  Bench Fixture;
  Fixture.down(1, "a");
  Fixture.down(2, "b");
  std::vector<BidNumber> Bids;
  Bids.reserve(6);
  for (int Count = 0; Count < 6; ++Count)
    Bids.push_back(Fixture.bid());
  Fixture.m_Timers.advance(900ms);
  BOOST_TEST(Fixture.m_Listener.m_Slots.empty());
  Fixture.m_Timers.advance(400ms);
  BOOST_TEST(Fixture.m_Listener.m_Slots.size() == 4U);
  Fixture.up(3, "a");
  Fixture.up(4, "b");
  Fixture.m_Timers.advance(200ms);
  BOOST_TEST(Fixture.m_Links.m_Out[3].bids.size() +
                 Fixture.m_Links.m_Out[4].bids.size() ==
             2U);
}

// Guards against slots that are lost to calls that were placed locally and have
// ended.
BOOST_AUTO_TEST_CASE(ALocalSlotIsUsedAgainAfterItsCall) {
  Bench Fixture;
  const std::vector<BidNumber> Running = Fixture.fillLocalSlots();
  FakeListener Waiting;
  Fixture.bid(Waiting);
  Fixture.m_Timers.advance(OwnerTimeout + 200ms);
  BOOST_TEST(Waiting.m_Slots.empty());
  Fixture.m_Placement.release(Running[0],
                              {Fixture.m_Listener.m_Slots[0].m_Upstream,
                               decision::WorkEnd::Finished, 5, 1ms});
  Fixture.m_Timers.advance(100ms);
  BOOST_TEST(Waiting.m_Slots.size() == 1U);
}

// Guards against a grant to a request that has withdrawn its bid and may no
// longer exist.
BOOST_AUTO_TEST_CASE(AWithdrawnLocalBidIsNotGranted) {
  Bench Fixture;
  const std::vector<BidNumber> Running = Fixture.fillLocalSlots();
  FakeListener Withdrawn;
  const BidNumber Bid = Fixture.bid(Withdrawn);
  Fixture.m_Timers.advance(OwnerTimeout + 200ms);
  Fixture.m_Placement.withdraw(Bid);
  for (const BidNumber Ended : Running)
    Fixture.m_Placement.release(Ended,
                                {Fixture.m_Listener.m_Slots[0].m_Upstream,
                                 decision::WorkEnd::Finished, 5, 1ms});
  Fixture.m_Timers.advance(100ms);
  BOOST_TEST(Withdrawn.m_Slots.empty());
  Fixture.m_Timers.advance(2min);
  BOOST_TEST(!Withdrawn.m_Refused.has_value());
}

// Guards against bids that are kept for good after the entry refused them
// itself.
BOOST_AUTO_TEST_CASE(ALocallyRefusedBidIsForgotten) {
  Bench Fixture;
  const std::vector<BidNumber> Running = Fixture.fillLocalSlots();
  FakeListener Waiting;
  Fixture.bid(Waiting);
  BOOST_TEST(Fixture.m_Placement.openBids() == Running.size() + 1);
  Fixture.m_Timers.advance(2min);
  BOOST_TEST(Waiting.m_Refused.has_value());
  BOOST_TEST(Fixture.m_Placement.openBids() == Running.size());
}

// The process is paused for longer than a grant is valid. Afterwards the grant
// in its socket looks new, but the upstream may have been removed. The grant is
// returned unused, and the bid is sent again when the sockets are read.
BOOST_AUTO_TEST_CASE(GrantReadAfterAFreezeIsGivenBack) {
  Bench Fixture;
  const BidNumber Bid = Fixture.bid();
  Fixture.pause(5s);
  Fixture.grant(Fixture.owner(), Bid);
  BOOST_TEST(Fixture.m_Listener.m_Slots.empty());
  BOOST_TEST(Fixture.m_Links.m_Out[Fixture.owner()].bids.size() == 1U);
  Fixture.m_Timers.advance(300ms);
  BOOST_TEST(Fixture.m_Links.m_Out[Fixture.owner()].bids.size() == 2U);
  Fixture.grant(Fixture.owner(), Bid);
  BOOST_TEST(Fixture.m_Listener.m_Slots.size() == 1U);
}

// A grant that was received before a pause but not used yet is reported as
// suspect, so that the request checks it again before it sends the call.
BOOST_AUTO_TEST_CASE(HeldGrantIsSuspectAfterAFreeze) {
  Bench Fixture;
  Fixture.grant(Fixture.owner(), Fixture.bid());
  Fixture.pause(5s);
  Fixture.m_Timers.advance(100ms);
  BOOST_TEST(Fixture.m_Listener.m_Suspect == 1);
}

// Guards against grants that were lost to a pause without a word in the log.
BOOST_AUTO_TEST_CASE(APauseIsLogged) {
  const test::CapturedLog Log;
  Bench Fixture;
  Fixture.bid();
  Fixture.pause(5s);
  Fixture.m_Timers.advance(100ms);
  BOOST_TEST(Log.read().find(R"("name":"EntryPaused","bids":"1")") !=
             std::string::npos);
}

// Guards against a slot that the entry granted itself before a pause and that
// is used after it, at an upstream that may have been removed.
BOOST_AUTO_TEST_CASE(ALocalGrantIsSuspectAfterAFreeze) {
  Bench Fixture;
  Fixture.fillLocalSlots();
  FakeListener Waiting;
  Fixture.bid(Waiting);
  Fixture.m_Timers.advance(OwnerTimeout + 200ms);
  Fixture.pause(5s);
  Fixture.m_Timers.advance(100ms);
  BOOST_TEST(Fixture.m_Listener.m_Suspect == 4);
  BOOST_TEST(Waiting.m_Suspect == 0);
}

// The right to serve is counted from the sending of the acknowledgement that is
// echoed. Attachments that were in the socket during a pause bring old echoes,
// which must not extend the right.
BOOST_AUTO_TEST_CASE(RightRunsFromTheOwnAcknowledgement) {
  Bench Fixture;
  BOOST_TEST(!Fixture.m_Fleet.hasRightToServe()); // Nothing is echoed yet.
  const std::uint64_t Acked = Fixture.m_Sequence;
  Fixture.m_Timers.advance(500ms);
  Fixture.echo(1, Acked);
  BOOST_TEST(Fixture.m_Fleet.hasRightToServe());
  Fixture.pause(EntryRightToServe - 600ms);
  BOOST_TEST(Fixture.m_Fleet.hasRightToServe());
  Fixture.pause(5s);
  BOOST_TEST(!Fixture.m_Fleet.hasRightToServe());
  Fixture.echo(1, Acked); // An old echo from the socket.
  BOOST_TEST(!Fixture.m_Fleet.hasRightToServe());
  const std::uint64_t Latest = Fixture.m_Sequence;
  Fixture.m_Timers.advance(10ms);
  Fixture.echo(1, Latest);
  BOOST_TEST(Fixture.m_Fleet.hasRightToServe());
}

// The table service is down and the home knows no workspaces yet. The entry
// would refuse every request for an unknown key, so it does not serve.
BOOST_AUTO_TEST_CASE(NoRightWithoutWorkspaces) {
  Bench Fixture;
  Fixture.m_Directory.setWorkspaces({});
  Fixture.echo(1, Fixture.m_Sequence);
  BOOST_TEST(!Fixture.m_Fleet.hasRightToServe());
  Fixture.attach(1);
  BOOST_TEST(Fixture.m_Fleet.hasRightToServe());
}

BOOST_AUTO_TEST_CASE(TableNeverGoesBack) {
  Bench Fixture;
  Fixture.attach(2, "ab", 0, 4);
  BOOST_TEST(Fixture.m_Directory.table().m_Version.value() == 5U);
  BOOST_TEST(Fixture.m_Links.m_Out[2].attachment_ack->table_version == 5U);
  Fixture.attach(2, "ab", 0, 6);
  BOOST_TEST(Fixture.m_Directory.table().m_Version.value() == 6U);
}

// Guards against calls to upstreams of which none is left, and an entry that
// takes a missing list for an empty one.
BOOST_AUTO_TEST_CASE(AnEmptyListIsTakenIfItIsStated) {
  Bench Fixture;
  BOOST_TEST(Fixture.m_Directory.upstreams().size() == 1U);
  Fixture.echo(1, 0);
  BOOST_TEST(Fixture.m_Directory.upstreams().size() == 1U);
  wire::FrameT Out;
  Out.attachment = std::make_unique<wire::AttachmentT>();
  Out.attachment->sequence = ++Fixture.m_Sequence;
  Out.attachment->has_upstreams = true;
  Fixture.frame(1, Out);
  BOOST_TEST(Fixture.m_Directory.upstreams().empty());
}

// Guards against an entry that refuses new work because its previous home was
// draining.
BOOST_AUTO_TEST_CASE(TheDrainOfAPreviousHomeEndsWithIt) {
  Bench Fixture;
  Fixture.attach(2);
  Fixture.echo(1, 0, true);
  BOOST_TEST(Fixture.m_Fleet.isDraining());
  Fixture.down(1, "a");
  Fixture.m_Timers.advance(HomeTimeout + 10ms);
  BOOST_TEST(!Fixture.m_Fleet.isDraining());
}

// The link to the home is down for longer than HomeTimeout: the next home is
// dialled.
BOOST_AUTO_TEST_CASE(LostHomeIsReplaced) {
  Bench Fixture;
  Fixture.attach(1, "a"); // Owner of all pools: only it is dialled.
  BOOST_TEST(!Fixture.m_Links.m_Dialled.contains(Bench::peer("b").m_Address));
  Fixture.down(1, "a");
  Fixture.down(2, "b");
  Fixture.m_Timers.advance(HomeTimeout - 10ms);
  BOOST_TEST(!Fixture.m_Links.m_Dialled.contains(Bench::peer("b").m_Address));
  Fixture.m_Timers.advance(20ms);
  BOOST_TEST(Fixture.m_Links.m_Dialled.contains(Bench::peer("b").m_Address));
}
