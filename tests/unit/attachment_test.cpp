/// Attachments of entries: contents, and the lowest table version held.
#define BOOST_TEST_MODULE attachment
#include "dispatcher/entry_attachments.h"

#include <boost/test/unit_test.hpp>

using namespace crowstep;
using namespace crowstep::dispatcher;
using namespace std::chrono_literals;

namespace {

/// Keeps the frames that would be sent.
class FakeLinks final : public link::Links {
public:
  void dial(const Address &) override {}
  void disconnect(const Address &) override {}
  void stopDialling(const Address &) override {}
  wire::FrameT &outbox(link::LinkId Link) override { return m_Out[Link]; }
  void flush(link::LinkId) override {}
  void close(link::LinkId) override {}

  std::map<link::LinkId, wire::FrameT> m_Out; ///< By link.
};

struct Bench {
  ManualClock m_Clock;                       ///< Advanced with the timers.
  ManualScheduler m_Timers{m_Clock};         ///< Advanced by the test.
  FakeLinks m_Links;                         ///< Keeps frames.
  std::vector<membership::Member> m_Members; ///< Sent to entries.
  std::vector<Upstream> m_Upstreams;         ///< Sent to entries.
  std::vector<Workspace> m_Workspaces;       ///< Sent to entries.
  EntryAttachments m_Attached{m_Clock, m_Timers, m_Links, source()};

  AttachmentSource source() {
    AttachmentSource Result;
    Result.m_HasRightToServe = [] { return true; };
    Result.m_IsDraining = [] { return false; };
    Result.m_Members = [this] { return std::cref(m_Members); };
    Result.m_Upstreams = [this] { return std::cref(m_Upstreams); };
    Result.m_Workspaces = [this] { return std::cref(m_Workspaces); };
    return Result;
  }

  /// Connects an entry on \p Link, which then attaches itself.
  void attach(std::uint64_t Link) {
    link::Peer Peer;
    Peer.m_Role = wire::Role::Entry;
    Peer.m_Name = "crowstep-" + std::to_string(Link);
    m_Attached.linkUp(link::LinkId(Link), Peer);
    acknowledge(Link, 0, 0);
  }

  /// Delivers an acknowledgement of \p Sequence by an entry with \p Version.
  void acknowledge(std::uint64_t Link, std::uint64_t Sequence,
                   std::uint64_t Version) {
    wire::FrameT Frame;
    Frame.attachment_ack = std::make_unique<wire::AttachmentAckT>();
    Frame.attachment_ack->sequence = Sequence;
    Frame.attachment_ack->table_version = Version;
    flatbuffers::FlatBufferBuilder Builder;
    Builder.Finish(wire::Frame::Pack(Builder, &Frame));
    m_Attached.linkFrame(link::LinkId(Link),
                         *wire::GetFrame(Builder.GetBufferPointer()));
  }

  std::uint64_t lowestHeldVersion() const {
    return m_Attached.lowestHeldVersion(TableVersion(99)).value();
  }
};

} // namespace

// A claim home has links to every entry of the fleet. An entry that only claims
// here must neither be sent attachments twice a second nor delay a change of
// the table.
BOOST_AUTO_TEST_CASE(EntryThatDidNotAskIsNotAttached) {
  Bench Test;
  link::Peer Peer;
  Peer.m_Role = wire::Role::Entry;
  Test.m_Attached.linkUp(link::LinkId(1), Peer);
  Test.m_Timers.advance(600ms);
  BOOST_TEST(Test.m_Links.m_Out.empty());
  BOOST_TEST(Test.lowestHeldVersion() == 99U);
}

BOOST_AUTO_TEST_CASE(TheSlowestEntryCounts) {
  Bench Test;
  Test.attach(1);
  Test.attach(2);
  Test.acknowledge(1, 1, 5);
  Test.acknowledge(2, 2, 4);
  BOOST_TEST(Test.lowestHeldVersion() == 4U);
  Test.acknowledge(2, 3, 5);
  BOOST_TEST(Test.lowestHeldVersion() == 5U);
}

// An entry freezes while the operator changes the table. The change may be
// accepted only once the entry can no longer serve under the old version, that
// is EntryRightToServe after its last acknowledgement, and must then be delayed
// no longer.
BOOST_AUTO_TEST_CASE(SilentEntryCountsUntilItsRightHasLapsed) {
  Bench Test;
  Test.attach(1);
  Test.acknowledge(1, 1, 4);
  Test.m_Timers.advance(EntryRightToServe - 100ms);
  BOOST_TEST(Test.lowestHeldVersion() == 4U);
  Test.m_Timers.advance(200ms);
  BOOST_TEST(Test.lowestHeldVersion() == 99U);
}

// A closed link does not end an entry's right to serve: until the right expires
// the entry may still serve under the version that it held.
BOOST_AUTO_TEST_CASE(DetachedEntryCountsUntilItsRightHasLapsed) {
  Bench Test;
  Test.attach(1);
  Test.acknowledge(1, 1, 4);
  Test.m_Timers.advance(1s);
  Test.m_Attached.linkDown(link::LinkId(1));
  Test.m_Timers.advance(EntryRightToServe - 1100ms);
  BOOST_TEST(Test.lowestHeldVersion() == 4U);
  Test.m_Timers.advance(200ms);
  BOOST_TEST(Test.lowestHeldVersion() == 99U);
}

// The entry's right to serve runs from the sending of the acknowledgement that
// is echoed, so every attachment must echo the last one received.
BOOST_AUTO_TEST_CASE(AttachmentsEchoTheLastAcknowledgement) {
  Bench Test;
  Test.attach(1);
  Test.acknowledge(1, 7, 4);
  Test.m_Timers.advance(600ms);
  const auto &Sent = Test.m_Links.m_Out[link::LinkId(1)].attachment;
  BOOST_REQUIRE(Sent != nullptr);
  BOOST_TEST(Sent->acked == 7U);
}

// Two attachments in one loop iteration share a frame. If the second replaced
// the members in the first, the entry would not learn who owns its pool.
BOOST_AUTO_TEST_CASE(WholeListsSurviveAJoinedFrame) {
  Bench Test;
  Test.m_Members.push_back({InstanceId(1),
                            "crowstep-1",
                            Incarnation(1),
                            membership::MemberState::Alive,
                            {},
                            {},
                            {}});
  Test.attach(1);
  Test.m_Attached.upstreamsChanged();
  const auto &Sent = Test.m_Links.m_Out[link::LinkId(1)].attachment;
  BOOST_REQUIRE(Sent != nullptr);
  BOOST_TEST(Sent->members.size() == 1U);
}

// Guards against entries that keep the last upstream or the last key for good,
// because an empty list looks like one that has not changed.
BOOST_AUTO_TEST_CASE(AListThatBecameEmptyIsSent) {
  Bench Test;
  Test.m_Upstreams = {{UpstreamId(1), "u-1", "s"}};
  Test.m_Workspaces.emplace_back();
  Test.attach(1);
  const auto Last = [&]() -> wire::AttachmentT & {
    return *Test.m_Links.m_Out[link::LinkId(1)].attachment;
  };
  BOOST_TEST(Last().upstreams.size() == 1U);
  Test.m_Links.m_Out.clear();
  Test.m_Upstreams.clear();
  Test.m_Attached.upstreamsChanged();
  BOOST_TEST((Last().has_upstreams && Last().upstreams.empty()));
  BOOST_TEST(!Last().has_workspaces);
  Test.m_Workspaces.clear();
  Test.m_Attached.workspacesChanged(); // Joins the queued one.
  BOOST_TEST((Last().has_upstreams && Last().has_workspaces));
}

// Guards against an entry that forgets what another home sent it because a home
// that has just started has not read its lists yet.
BOOST_AUTO_TEST_CASE(AListThatIsNotKnownYetIsNotSent) {
  Bench Test;
  Test.attach(1);
  const auto &First = *Test.m_Links.m_Out[link::LinkId(1)].attachment;
  BOOST_TEST((!First.has_upstreams && !First.has_workspaces));
}
