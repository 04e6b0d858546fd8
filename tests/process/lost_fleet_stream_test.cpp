/// Streams that callers resume after all gateways were lost at once, with real
/// gateways and upstreams of two software versions.
#define BOOST_TEST_MODULE lost_fleet_stream
#include "process/versioned_upstream.h"

#include <csignal>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t StreamCount = 40;

/// At least this share of the streams whose version is still served goes on.
constexpr double LeastShare = 0.9;

/// Until what must survive the gateways has left them.
constexpr Duration SaveTime = 500ms;

/// Until all gateways that stop have left the list.
constexpr Duration UnlistTime = 500ms;

/// Until gateways that were started have read the store and are linked.
constexpr Duration StartTime = 1500ms;

/// A fleet of which all gateways can be lost at once.
class LostFleet : public VersionFleet {
public:
  explicit LostFleet(const std::vector<std::string> &Versions = {"v1", "v2",
                                                                 "v1", "v2"},
                     std::size_t Gateways = 4)
      : VersionFleet(Gateways, Versions) {}

  /// Begins streams that stay incomplete until the gateways are back.
  void beginOpenStreams() {
    begin(0, StreamCount);
    for (const auto &Upstream : m_Upstreams)
      Upstream->setPaused(true);
  }

  /// Kills all gateways, runs \p WhileDown, and starts them again.
  template <typename Function> void loseAll(Function WhileDown) {
    for (std::size_t I = 0; I < size(); ++I)
      process(I).signal(SIGKILL);
    WhileDown();
    for (std::size_t I = 0; I < size(); ++I)
      restart(I);
    runFor(StartTime);
    for (const auto &Upstream : m_Upstreams)
      Upstream->setPaused(false);
  }
  void loseAll() {
    loseAll([] {});
  }

  /// Callers don't name the attempt that brought the first event.
  void dropNames() {
    for (const auto &Stream : m_Streams)
      Stream->m_Headers["Resumes"] = "";
  }

  /// Returns how many streams began at \p Version.
  [[nodiscard]] std::ptrdiff_t countOf(const std::string &Version) const {
    return std::ranges::count_if(m_Streams, [&](const auto &Stream) {
      return Stream->text().starts_with("1:" + Version + " ");
    });
  }

  /// Checks that no stream is mixed, and that enough of \p Servable go on.
  void resumeAndCheck(std::ptrdiff_t Servable) {
    resumeAt(1);
    checkStreams();
    BOOST_TEST(static_cast<double>(completeCount()) >=
               LeastShare * static_cast<double>(Servable));
  }
};

} // namespace

// Guards against origins that are lost with all gateways while upstreams of
// both versions are in service.
BOOST_AUTO_TEST_CASE(StreamsOfBothVersionsContinue) {
  LostFleet Fleet;
  Fleet.beginOpenStreams();
  runFor(SaveTime);
  Fleet.loseAll();
  Fleet.resumeAndCheck(StreamCount);
}

// Guards against origins that the only gateway that is left doesn't know, as it
// kept no copy of them.
BOOST_AUTO_TEST_CASE(StreamsContinueAtTheOnlyGatewayThatIsLeft) {
  LostFleet Fleet({"v1", "v2", "v1", "v2"}, 7);
  constexpr std::size_t Left = 1;
  Fleet.begin(0, StreamCount);
  runFor(SaveTime);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    if (I != Left)
      Fleet.process(I).signal(SIGKILL);
  Fleet.resumeAndCheck(StreamCount);
}

// Guards against origins that nobody keeps, as no gateway that stops gets
// records of others.
BOOST_AUTO_TEST_CASE(StreamsThatBeganWhileAllStoppedContinue) {
  LostFleet Fleet;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.process(I).signal(SIGTERM);
  runFor(UnlistTime);
  Fleet.beginOpenStreams();
  runFor(SaveTime);
  Fleet.loseAll();
  Fleet.resumeAndCheck(StreamCount);
}

// Guards against a guess by gateways that know one version only, as the
// upstreams of the other one left before they started.
BOOST_AUTO_TEST_CASE(AVersionThatHasLeftIsRemembered) {
  LostFleet Fleet;
  Fleet.beginOpenStreams();
  runFor(SaveTime);
  Fleet.loseAll([&] {
    Fleet.m_Upstreams[0]->list("");
    Fleet.m_Upstreams[2]->list("");
  });
  Fleet.resumeAndCheck(Fleet.countOf("v2"));
}

// Guards against the same guess for callers that don't name their streams.
BOOST_AUTO_TEST_CASE(AnUnnamedStreamIsNotGuessed) {
  LostFleet Fleet;
  Fleet.beginOpenStreams();
  runFor(SaveTime);
  Fleet.dropNames();
  Fleet.loseAll([&] {
    Fleet.m_Upstreams[0]->list("");
    Fleet.m_Upstreams[2]->list("");
  });
  Fleet.resumeAt(1);
  Fleet.checkStreams();
}

// Guards against a version that is forgotten when its upstreams leave while the
// gateways run, and these are lost a moment later.
BOOST_AUTO_TEST_CASE(AVersionThatLeftBeforeTheLossIsRemembered) {
  LostFleet Fleet;
  Fleet.beginOpenStreams();
  Fleet.dropNames();
  Fleet.m_Upstreams[0]->list("");
  Fleet.m_Upstreams[2]->list("");
  runFor(SaveTime);
  Fleet.loseAll();
  Fleet.resumeAt(1);
  Fleet.checkStreams();
}

// Guards against refusals where only one version can have begun the streams.
BOOST_AUTO_TEST_CASE(StreamsOfTheOnlyVersionContinue) {
  LostFleet Fleet({"v1", "v1", "v1", "v1"});
  Fleet.beginOpenStreams();
  Fleet.loseAll();
  Fleet.resumeAndCheck(StreamCount);
}

// Guards against origins that were not saved since only one version was known
// when the streams began.
BOOST_AUTO_TEST_CASE(StreamsBegunBeforeASecondVersionContinue) {
  LostFleet Fleet({"v1", "v1", "v1", "v1"});
  Fleet.beginOpenStreams();
  Fleet.addUpstream("v2");
  runFor(SaveTime + 500ms);
  Fleet.loseAll();
  Fleet.resumeAndCheck(StreamCount);
}
