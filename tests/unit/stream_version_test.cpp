/// A stream through the gateway while upstreams of several software versions
/// serve.
#define BOOST_TEST_MODULE stream_version
#include "gateway/upstream_list.h"
#include "unit/versioned_env.h"

using namespace crowstep;
using namespace crowstep::test;

// Guards against a stream that another version continues within one answer.
BOOST_AUTO_TEST_CASE(ABrokenStreamGoesOnAtItsVersion) {
  for (const bool FirstIsOld : {true, false}) {
    TestEnv Env(Resumable, 3, {}, PlainService{4}, {},
                withVersions(FirstIsOld ? std::vector{Old, Old, New}
                                        : std::vector{New, Old, New}));
    Env.sendGoodHeaders(0);
    Env.sendBytes(0, event(1));
    const std::string First = Env.upstreamOf(0);
    const auto VersionOf = [&](const std::string &Name) {
      return Env.m_Balancer.findUpstream(upstreamIdOf(Name))->m_Software;
    };
    Env.endCall(0, TransportEnd::Broken);
    const bool HasOther = Env.calls() == 2U;
    if (HasOther)
      BOOST_TEST(VersionOf(Env.upstreamOf(1)).matches(VersionOf(First)));
    else
      BOOST_TEST(Env.m_Record.m_Dropped);
  }
}

// Guards against a stream that goes on where the version is not known to be
// the same.
BOOST_AUTO_TEST_CASE(AStreamOfAnUnknownVersionDoesNotGoOn) {
  TestEnv Env(
      Resumable, 3, {}, PlainService{4}, {},
      withVersions({SoftwareVersion(), SoftwareVersion(), SoftwareVersion()}));
  Env.sendGoodHeaders(0);
  Env.sendBytes(0, event(1));
  Env.endCall(0, TransportEnd::Broken);
  BOOST_TEST(Env.calls() == 1U);
  BOOST_TEST(Env.m_Record.m_Dropped);
}

// Guards against a caller that is refused although nothing of the stream was
// sent to it.
BOOST_AUTO_TEST_CASE(AStreamWithoutAnEventMayMoveToAnotherVersion) {
  TestEnv Env(Resumable, 3, {}, PlainService{4}, {},
              withVersions({Old, New, New}));
  Env.sendGoodHeaders(0);
  Env.endCall(0, TransportEnd::Broken);
  Env.endCall(1, TransportEnd::Broken);
  BOOST_TEST(Env.calls() == 3U);
}

// Guards against unknown versions that count as equal, and against one that an
// incomplete entry clears.
BOOST_AUTO_TEST_CASE(UnknownVersionsMatchNothing) {
  SoftwareVersion Version;
  BOOST_TEST(!Version.matches(SoftwareVersion()));
  Version.merge(Old);
  Version.merge(SoftwareVersion());
  BOOST_TEST(Version.matches(Old));
  Version.merge(New);
  BOOST_TEST(!Version.isKnown());
  Version.merge(Old);
  BOOST_TEST(!Version.isKnown());
}

// Guards against a version that an incomplete or contradictory entry changes.
BOOST_AUTO_TEST_CASE(AnEntryDoesNotChangeTheVersionOfAProcess) {
  UpstreamList List(3s);
  const auto ListedAs = [&](const SoftwareVersion &Version, UpstreamId Id) {
    Upstream Entry;
    Entry.m_Name = "u";
    Entry.m_Id = Id;
    Entry.m_Software = Version;
    List.setListed(Entry);
    return List.all()[0].m_Software;
  };
  BOOST_TEST(ListedAs(Old, UpstreamId(1)).matches(Old));
  BOOST_TEST(ListedAs(SoftwareVersion(), UpstreamId(1)).matches(Old));
  BOOST_TEST(!ListedAs(New, UpstreamId(1)).isKnown());
  BOOST_TEST(!ListedAs(Old, UpstreamId(1)).isKnown());
  BOOST_TEST(ListedAs(New, UpstreamId(2)).matches(New));
}

// Guards against upstreams of another version that other rules of placement
// let in.
BOOST_AUTO_TEST_CASE(OnlyTheRequiredVersionIsPlaced) {
  TestEnv Env(Resumable, 3, {}, Engine{64}, {}, withVersions({Old, New, Old}));
  balance::PlacementQuery Query;
  Query.m_Service = "s";
  Query.m_RequiredSoftware = New;
  for (const bool IsPrompt : {false, true}) {
    if (IsPrompt)
      Query.m_Prompt = {{{1, 100}}, 100, 10, 10};
    for (int I = 0; I < 20; ++I) {
      const auto Placed = std::get<balance::Placed>(
          Env.m_Balancer.place(Query, Env.m_Clock.now()));
      BOOST_TEST(Placed.m_Software.matches(New));
      Env.m_Balancer.recordCallEnd(
          Placed.m_Ticket, balance::CallOutcome::Dropped, Env.m_Clock.now());
    }
  }
  Query.m_Excluded = {upstreamIdOf("u1")};
  const auto Tried = Env.m_Balancer.place(Query, Env.m_Clock.now());
  BOOST_TEST((std::get<balance::NotPlaced>(Tried).m_Reason ==
              RefusalReason::NoUpstream));
  Query.m_RequiredSoftware = SoftwareVersion("v3");
  const auto Gone = Env.m_Balancer.place(Query, Env.m_Clock.now());
  BOOST_TEST((std::get<balance::NotPlaced>(Gone).m_Reason ==
              RefusalReason::SoftwareGone));
  Query.m_RequiredSoftware = SoftwareVersion();
  const auto Unknown = Env.m_Balancer.place(Query, Env.m_Clock.now());
  BOOST_TEST((std::get<balance::NotPlaced>(Unknown).m_Reason ==
              RefusalReason::SoftwareGone));
}
