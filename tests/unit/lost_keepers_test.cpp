/// Streams that callers resume after those that kept their origins were lost,
/// in virtual time.
#define BOOST_TEST_MODULE lost_keepers
#include "unit/resume_fleet.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// Resumed streams go on nearly as often as new ones begin.
constexpr double NearlyAsOften = 0.9;

constexpr double StreamsPerSecond = 100;

std::size_t zonesOf(std::size_t Instances) { return Instances <= 24 ? 4 : 6; }

/// A fleet that saves origins and has played for some time.
struct SavingFleet : ResumeFleet {
  SavingFleet(std::size_t Instances, std::uint64_t Seed,
              double PerSecond = StreamsPerSecond)
      : ResumeFleet(Instances, zonesOf(Instances), 24, Seed) {
    m_Tables.m_AnswerTime = ReadTime;
    archiveOrigins();
    play(1s, 0);
    m_StartReads = m_Tables.m_Reads;
    play(1500ms, PerSecond);
  }

  /// Kills \p Count instances within \p Span, drawn at random. They start
  /// again a second later.
  void killSome(std::size_t Count, Duration Span) {
    std::vector<std::size_t> All(m_Instances.size());
    for (std::size_t I = 0; I < All.size(); ++I)
      All[I] = I;
    for (std::size_t I = 0; I < Count; ++I) {
      std::swap(All[I], All[I + draw(All.size() - I)]);
      m_Timers.runAfter(Span * static_cast<Duration::rep>(I) /
                            static_cast<Duration::rep>(Count),
                        [this, Killed = All[I]] { kill(Killed, 1s); });
    }
  }

  /// Returns how often the archive was read after the start.
  [[nodiscard]] std::size_t reads() const {
    return m_Tables.m_Reads - m_StartReads;
  }

  void finishAndCheck() {
    finish();
    checkStreams();
    BOOST_TEST_MESSAGE("new " << m_Shares.m_Begun << " of " << m_Shares.m_Sent
                              << ", resumed " << m_Shares.m_Continued << " of "
                              << m_Shares.m_Resumed << ", " << reads()
                              << " reads");
    BOOST_TEST(m_Shares.continuedShare() >=
               NearlyAsOften * m_Shares.begunShare());
  }

  static constexpr Duration ReadTime = 20ms; ///< Of a call to the store.
  std::size_t m_StartReads = 0;              ///< By instances that start.
};

} // namespace

// Guards against streams that are refused for good by the instances that are
// left, as all that kept them were lost.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterTheLossOfAnySubset) {
  for (const auto &[Instances, Seeds] :
       {std::pair(std::size_t(4), 20U), std::pair(std::size_t(9), 20U),
        std::pair(std::size_t(13), 20U), std::pair(std::size_t(24), 10U),
        std::pair(std::size_t(84), 3U), std::pair(std::size_t(300), 1U)})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      BOOST_TEST_CONTEXT(Instances << " instances, seed " << Seed) {
        SavingFleet Fleet(Instances, Seed);
        Fleet.killSome(1 + Fleet.draw(Instances - 1),
                       Seed % 2 == 0 ? Duration(1ms) : Duration(800ms));
        Fleet.play(Seed % 2 == 0 ? Duration(10ms) : Duration(800ms), 0);
        Fleet.finishAndCheck();
      }
}

// Guards against the same where one instance is left.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterTheLossOfAllButOne) {
  for (const std::size_t Instances : {4U, 9U, 13U, 24U, 84U, 300U})
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
      BOOST_TEST_CONTEXT(Instances << " instances, seed " << Seed) {
        SavingFleet Fleet(Instances, Seed);
        Fleet.killSome(Instances - 1, 1ms);
        Fleet.play(10ms, 0);
        Fleet.finishAndCheck();
      }
}

// Guards against calls to the store for a planned stop, and for up to three
// losses at once.
BOOST_AUTO_TEST_CASE(FewLossesCostNoRead) {
  for (const std::size_t Instances : {9U, 13U, 24U, 84U, 300U})
    for (const std::size_t Lost : {1U, 2U, 3U})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Lost << " lost") {
        SavingFleet Fleet(Instances, Lost);
        for (std::size_t I = 0; I < Lost; ++I) {
          if (Lost == 1)
            Fleet.beginStop(I);
          Fleet.play(100ms, 0);
          Fleet.stopInstance(I);
          Fleet.m_Unlisted.insert(I);
        }
        Fleet.finishAndCheck();
        BOOST_TEST(Fleet.reads() == 0U);
      }
}

// Guards against streams that are lost with all hubs of a zone, and those that
// are resumed in that zone.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterTheLossOfHubs) {
  for (const std::size_t Instances : {84U, 300U})
    BOOST_TEST_CONTEXT(Instances << " instances") {
      SavingFleet Fleet(Instances, 1, 5 * StreamsPerSecond);
      for (std::size_t I = 0; I < Instances; ++I)
        if (Fleet.m_Instances[I]->m_Digests->readingRole() !=
            ReadingRole::Follower)
          Fleet.kill(I, 5s);
      Fleet.killSome(Instances / 3, 1ms);
      Fleet.play(10ms, 0);
      Fleet.finishAndCheck();
    }
}
