/// Streams that callers resume, with real gateways and upstreams of two
/// software versions.
#define BOOST_TEST_MODULE resumed_stream_version
#include "process/scripted_upstream.h"
#include "process/versioned_upstream.h"

#include <algorithm>
#include <csignal>
#include <numeric>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t StreamCount = 40;

/// Of the streams, so many go on at least.
constexpr std::ptrdiff_t MostStreams = 36;

/// Until the others know that a gateway was killed.
constexpr Duration KillTime = 100ms;

/// Until the others have read that a gateway is no longer listed.
constexpr Duration UnlistTime = 500ms;

/// Until a gateway that was started is linked with the others.
constexpr Duration StartTime = 4s;

/// Lets the callers resume their streams at \p Gateway, and checks that these
/// go on at their versions.
void resumeAndCheck(VersionFleet &Fleet, std::size_t Gateway) {
  Fleet.resumeAt(Gateway);
  Fleet.checkStreams();
  BOOST_TEST(Fleet.completeCount() >= MostStreams,
             Fleet.completeCount() << " go on at gateway " << Gateway << ", "
                                   << Fleet.statusText() << "\n"
                                   << Fleet.process(Gateway).log());
}

/// Returns the gateways in the order of their link addresses.
std::vector<std::size_t> byAddress(const VersionFleet &Fleet) {
  std::vector<std::size_t> Result(Fleet.size());
  std::iota(Result.begin(), Result.end(), std::size_t(0));
  std::ranges::sort(Result, {}, [&](std::size_t Gateway) {
    return Fleet.linkAddress(Gateway);
  });
  return Result;
}

/// Stops gateways, begins streams there, and ends them while these are open.
void stopAndResume(VersionFleet &Fleet,
                   const std::vector<std::size_t> &Stopping) {
  for (const std::size_t Gateway : Stopping)
    Fleet.process(Gateway).signal(SIGTERM);
  runFor(UnlistTime);
  for (const std::size_t Gateway : Stopping)
    Fleet.begin(Gateway, StreamCount / Stopping.size());
  for (const std::size_t Gateway : Stopping)
    Fleet.process(Gateway).signal(SIGKILL);
  runFor(KillTime);
  std::size_t Other = 0;
  while (std::ranges::find(Stopping, Other) != Stopping.end())
    ++Other;
  resumeAndCheck(Fleet, Other);
}

} // namespace

// Guards against a stream that another software version continues when its
// caller resumes it after the gateway was killed.
BOOST_AUTO_TEST_CASE(AStreamOfAKilledGatewayContinuesAtItsVersion) {
  VersionFleet Fleet(4);
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGKILL);
  runFor(KillTime);
  resumeAndCheck(Fleet, 1);
}

// Guards against a gateway that doesn't know its own streams.
BOOST_AUTO_TEST_CASE(AStreamContinuesAtItsOwnGateway) {
  VersionFleet Fleet(2);
  Fleet.begin(0, StreamCount);
  Fleet.m_Caller.cancelAll();
  resumeAndCheck(Fleet, 0);
}

// Guards against callers who wait for a gateway that is frozen.
BOOST_AUTO_TEST_CASE(AStreamOfAFrozenGatewayContinuesAtItsVersion) {
  VersionFleet Fleet(4);
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGSTOP);
  resumeAndCheck(Fleet, 2);
  Fleet.process(0).signal(SIGCONT);
}

// Guards against an origin that is lost with its gateway and others that keep
// it.
BOOST_AUTO_TEST_CASE(AStreamContinuesAfterTheLossOfThreeGateways) {
  VersionFleet Fleet(6);
  Fleet.begin(0, StreamCount);
  for (const std::size_t Killed : {0U, 1U, 2U})
    Fleet.process(Killed).signal(SIGKILL);
  runFor(KillTime);
  resumeAndCheck(Fleet, 3);
}

// Guards against streams that no other gateway knows, as they began at one
// after its SIGTERM.
BOOST_AUTO_TEST_CASE(AStreamThatBeganInAStopContinues) {
  VersionFleet Fleet(4);
  stopAndResume(Fleet, {byAddress(Fleet)[0]});
}

// Guards against the same where gateways stop that are linked to one another.
BOOST_AUTO_TEST_CASE(StreamsThatBeganInAStopOfTwoContinue) {
  VersionFleet Fleet(4);
  const std::vector<std::size_t> Order = byAddress(Fleet);
  stopAndResume(Fleet, {Order[0], Order[3]});
}

// Guards against the same where the gateway can't leave the list.
BOOST_AUTO_TEST_CASE(AStreamThatBeganInAStopWithoutTheStoreContinues) {
  using Mode = standin::StoreServer::Mode;
  for (const Mode Failure : {Mode::Busy, Mode::Silent}) {
    VersionFleet Fleet(4);
    Fleet.m_Store.setMode(Failure);
    stopAndResume(Fleet, {byAddress(Fleet)[0]});
  }
}

// Guards against a gateway that has forgotten its streams and takes them for
// new ones.
BOOST_AUTO_TEST_CASE(ARestartedGatewayAsksTheOthers) {
  VersionFleet Fleet(4);
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGKILL);
  Fleet.restart(0);
  runFor(StartTime);
  resumeAndCheck(Fleet, 0);
}

// Guards against a guess where neither a gateway nor the store knows the stream
// any more, as the store was away from its first event on.
BOOST_AUTO_TEST_CASE(StreamsThatWereNotSavedAreRefusedAfterTheLossOfAll) {
  VersionFleet Fleet(4);
  Fleet.m_Store.setMode(standin::StoreServer::Mode::Busy);
  Fleet.begin(0, StreamCount);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.process(I).signal(SIGKILL);
  Fleet.m_Store.setMode(standin::StoreServer::Mode::Up);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.restart(I);
  runFor(StartTime);
  Fleet.resumeAt(1);
  Fleet.checkStreams();
  BOOST_TEST(Fleet.refusedCount() == static_cast<std::ptrdiff_t>(StreamCount));
}

// Guards against a process of another version at the address of the one that
// began the stream.
BOOST_AUTO_TEST_CASE(AReplacedUpstreamIsNotTheSame) {
  VersionFleet Fleet(3);
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGKILL);
  Fleet.m_Upstreams[0]->replace("u-new-0", "v2");
  Fleet.m_Upstreams[1]->replace("u-new-1", "v1");
  runFor(KillTime);
  resumeAndCheck(Fleet, 1);
}

// Guards against a process of another version that starts under the name of an
// upstream, until its entry tells.
BOOST_AUTO_TEST_CASE(AnUpstreamStartsAgainUnderItsName) {
  VersionFleet Fleet(3);
  for (const auto &Upstream : Fleet.m_Upstreams)
    Upstream->stateStartTime();
  runFor(2s); // Until the gateways have read the entries.
  Fleet.begin(0, StreamCount);
  Fleet.m_Upstreams[0]->restartUnlisted("v2");
  Fleet.m_Upstreams[1]->restartUnlisted("v1");
  // Streams of the others seem to find their version there.
  Fleet.m_Upstreams[2]->breakStreams();
  Fleet.m_Upstreams[3]->breakStreams();
  Fleet.begin(1, 10);
  runFor(500ms);
  Fleet.resumeAt(2);
  Fleet.checkStreams();
  // Once they are listed, streams begin and go on there.
  Fleet.m_Upstreams[0]->list("ready");
  Fleet.m_Upstreams[1]->list("ready");
  runFor(2s);
  Fleet.m_Streams.clear();
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGKILL);
  runFor(KillTime);
  resumeAndCheck(Fleet, 1);
}

// Guards against streams that begin or go on through another gateway and change
// their version.
BOOST_AUTO_TEST_CASE(ARelayedStreamContinuesAtItsVersion) {
  VersionFleet Fleet(4);
  for (const auto &Upstream : Fleet.m_Upstreams)
    Upstream->m_Path->setCutClients({Fleet.sourceOf(0).m_Ip});
  sendLoad(Fleet, 2s, 20ms); // Until the paths are known to be lost.
  Fleet.begin(0, StreamCount);
  Fleet.process(0).signal(SIGKILL);
  runFor(KillTime);
  for (const auto &Upstream : Fleet.m_Upstreams)
    Upstream->m_Path->setCutClients({Fleet.sourceOf(1).m_Ip});
  sendLoad(Fleet, 2s, 20ms);
  resumeAndCheck(Fleet, 1);
}

// Guards against callers who resume a stream without naming a known one.
BOOST_AUTO_TEST_CASE(UnknownStreamsAreRefused) {
  VersionFleet Fleet(2);
  const auto StatusWith = [&](std::map<std::string, std::string> Headers) {
    Call Request = Fleet.request(0, "/streaming/x", "body");
    Request.m_Headers.merge(Headers);
    return Fleet.m_Caller.call(Request).m_Status;
  };
  BOOST_TEST(StatusWith({{"Last-Event-Id", "3"}}) == 503U);
  BOOST_TEST(StatusWith({{"Resumes", "none"}}) == 503U);
  BOOST_TEST(StatusWith({{"Last-Event-Id", "3"},
                         {"Resumes", std::string(4000, 'x')}}) == 503U);
  BOOST_TEST(StatusWith({{"Last-Event-Id", "x"}, {"Resumes", "none"}}) == 400U);
  BOOST_TEST(StatusWith({{"Resumes", ""}}) == 200U);
}
