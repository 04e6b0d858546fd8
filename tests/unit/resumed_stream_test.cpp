/// Streams that callers resume while upstreams of several software versions
/// serve, in virtual time.
#define BOOST_TEST_MODULE resumed_stream
#include "unit/resume_fleet.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// Resumed streams go on nearly as often as new ones begin.
constexpr double NearlyAsOften = 0.9;

void checkShares(const ResumeFleet &Fleet) {
  const ResumeShares &Shares = Fleet.m_Shares;
  BOOST_TEST_MESSAGE("new " << Shares.m_Begun << " of " << Shares.m_Sent
                            << ", resumed " << Shares.m_Continued << " of "
                            << Shares.m_Resumed << ", "
                            << Fleet.m_DigestLinks.m_Bytes << " bytes");
  BOOST_TEST(Shares.m_Resumed > 0U);
  BOOST_TEST(Shares.continuedShare() >= NearlyAsOften * Shares.begunShare());
}

/// Lets instances be killed and frozen, and upstreams break and be replaced,
/// all at random times.
void playRandomly(ResumeFleet &Fleet, Duration Span, double PerSecond) {
  const TimePoint End = Fleet.m_Clock.now() + Span;
  const std::size_t Instances = Fleet.m_Instances.size();
  const std::size_t Engines = Fleet.m_World.m_List.size();
  while (Fleet.m_Clock.now() < End) {
    Fleet.play(250ms, PerSecond);
    switch (Fleet.draw(5)) {
    case 0:
      Fleet.kill(Fleet.draw(Instances), 400ms);
      break;
    case 1:
      Fleet.freezeFor(Fleet.draw(Instances), 700ms);
      break;
    case 2:
      Fleet.breakStreamsAt(Fleet.draw(Engines));
      break;
    case 3:
      Fleet.replaceUpstream(Fleet.draw(Engines),
                            "v" + std::to_string(1 + Fleet.draw(2)));
      break;
    default:
      break;
    }
  }
  Fleet.finish();
}

} // namespace

// Guards against streams with events of two software versions, and against
// refusing to continue the streams of failed instances.
BOOST_AUTO_TEST_CASE(StreamsContinueAtTheirVersion) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      ResumeFleet Fleet(9, 3, 12, Seed);
      playRandomly(Fleet, 8s, 60);
      Fleet.checkStreams();
      checkShares(Fleet);
    }
}

// Guards against origins that are lost with a third of the instances.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterTheLossOfAThird) {
  ResumeFleet Fleet(9, 3, 12, 1);
  Fleet.play(2s, 100);
  for (const std::size_t Instance : {0U, 1U, 2U})
    Fleet.kill(Instance, 5s);
  Fleet.play(2s, 100);
  Fleet.finish();
  Fleet.checkStreams();
  checkShares(Fleet);
}

// Guards against origins that are lost with a zone.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterTheLossOfAZone) {
  for (const std::size_t Instances : {9U, 84U, 300U})
    BOOST_TEST_CONTEXT(Instances << " instances") {
      const std::size_t Zones = Instances == 9 ? 3 : 6;
      ResumeFleet Fleet(Instances, Zones, 24, 1);
      Fleet.play(1500ms, 200);
      for (std::size_t I = 0; I < Instances; I += Zones)
        Fleet.kill(I, 5s);
      Fleet.play(1s, 200);
      Fleet.finish();
      Fleet.checkStreams();
      checkShares(Fleet);
    }
}

// Guards against origins whose messages grow with the number of instances.
BOOST_AUTO_TEST_CASE(AStreamCostsTheSameInAnyFleet) {
  for (const std::size_t Instances : {9U, 84U, 300U, 360U})
    BOOST_TEST_CONTEXT(Instances << " instances") {
      ResumeFleet Fleet(Instances, Instances == 9 ? 3 : 6, 24, 1);
      Fleet.play(1s, 200);
      Fleet.finish();
      double Copies = 0;
      for (std::size_t I = 0; I < Instances; ++I)
        Copies += Fleet.counterOf(I, "crowstep_stream_origins_sent_total");
      const auto Begun = static_cast<double>(Fleet.m_Shares.m_Begun);
      BOOST_TEST_MESSAGE(Copies << " copies of " << Begun << " streams");
      BOOST_TEST(Copies <= Begun * resume::OriginExchange::CopyCount);
      BOOST_TEST(Copies > 0);
    }
}
