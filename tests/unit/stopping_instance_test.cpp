/// What an instance still sends and receives between the begin of its planned
/// stop and its end, in virtual time.
#define BOOST_TEST_MODULE stopping_instance
#include "unit/resume_fleet.h"

using namespace crowstep;
using namespace crowstep::test;

namespace {

/// Resumed streams go on nearly as often as new ones begin.
constexpr double NearlyAsOften = 0.9;

/// Time for which a stopping instance still gets new streams.
constexpr Duration StopTime = 900ms;

constexpr double StreamsPerSecond = 100;

void checkShares(const ResumeFleet &Fleet) {
  const ResumeShares &Shares = Fleet.m_Shares;
  BOOST_TEST_MESSAGE("new " << Shares.m_Begun << " of " << Shares.m_Sent
                            << ", resumed " << Shares.m_Continued << " of "
                            << Shares.m_Resumed);
  BOOST_TEST(Shares.m_Resumed >= 12U);
  BOOST_TEST(Shares.continuedShare() >= NearlyAsOften * Shares.begunShare());
}

/// Stops \p Stopping one after the other, lets all new streams begin at these,
/// and ends them while the streams are open.
void stopAndResume(ResumeFleet &Fleet,
                   const std::vector<std::size_t> &Stopping) {
  for (const std::size_t Instance : Stopping) {
    Fleet.beginStop(Instance);
    Fleet.play(10ms, 0);
  }
  Fleet.play(ResumeFleet::UsualReadTime, 0);
  Fleet.m_NewStreamsAt = Stopping;
  Fleet.play(StopTime, StreamsPerSecond);
  for (const std::size_t Instance : Stopping)
    Fleet.kill(Instance, 1s);
  Fleet.m_NewStreamsAt.clear();
  Fleet.finish();
  Fleet.checkStreams();
  checkShares(Fleet);
}

std::size_t zonesOf(std::size_t Instances) { return Instances <= 9 ? 3 : 6; }

/// Lets an instance observe that \p Request crashes three upstreams, and that
/// an upstream states a limit. Returns that upstream.
UpstreamId observeFacts(PathInstance &At, const ContentHash &Request,
                        TimePoint Now) {
  constexpr double Limit = 5; // Requests a second.
  quarantine::Quarantine &Crashes = At.m_Balancer.quarantine();
  for (std::uint64_t I = 1; I <= quarantine::Quarantine::CrashThreshold; ++I) {
    Crashes.recordBrokenCall({{Request, {}}, UpstreamId(I), IncarnationId(I)},
                             Now);
    Crashes.recordUpstreamDown(UpstreamId(I), Now);
  }
  balance::PlacementQuery Query;
  Query.m_Service = "pool";
  Query.m_Prompt = {{}, 100, 10, 10};
  const auto Call = std::get<balance::Placed>(At.m_Balancer.place(Query, Now));
  At.m_Balancer.recordRateLimit(Call.m_Ticket, Limit, Now);
  At.m_Balancer.recordCallEnd(Call.m_Ticket, balance::CallOutcome::Served, Now);
  return Call.m_Upstream;
}

bool knowsFacts(PathInstance &At, const ContentHash &Request,
                UpstreamId Limited, TimePoint Now) {
  return At.m_Balancer.quarantine().remainingHold(Request, Now) >
             Duration::zero() &&
         At.m_Balancer.limitOf(Limited).has_value();
}

/// Returns a random number of different instances.
std::vector<std::size_t> drawSome(ResumeFleet &Fleet, std::size_t Most) {
  std::set<std::size_t> Result;
  const std::size_t Count = 1 + Fleet.draw(Most);
  while (Result.size() < Count)
    Result.insert(Fleet.draw(Fleet.m_Instances.size()));
  return {Result.begin(), Result.end()};
}

/// Returns all instances in a random order.
std::vector<std::size_t> shuffled(ResumeFleet &Fleet) {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Fleet.m_Instances.size(); ++I)
    Result.insert(
        Result.begin() + static_cast<std::ptrdiff_t>(Fleet.draw(I + 1)), I);
  return Result;
}

/// Stops and starts all instances in turn, at most about half of them at a
/// time. Returns how long that takes.
Duration scheduleRestarts(ResumeFleet &Fleet) {
  constexpr Duration Down = 500ms;
  const Duration Absence = StopTime + Down + ResumeFleet::LongestReadTime;
  const Duration Apart = std::max<Duration>(
      50ms, 2 * Absence / static_cast<Duration::rep>(Fleet.m_Instances.size()));
  Duration Begin = 100ms;
  for (const std::size_t Instance : shuffled(Fleet)) {
    Fleet.m_Timers.runAfter(Begin,
                            [&Fleet, Instance] { Fleet.beginStop(Instance); });
    Fleet.m_Timers.runAfter(Begin + StopTime, [&Fleet, Instance, Down] {
      Fleet.kill(Instance, Down);
    });
    Begin += Apart;
  }
  return Begin + Absence;
}

/// Disturbs one instance after the other for a short time. One that stops is
/// not cut off, as no other learns what it does until its end.
void scheduleTroubles(ResumeFleet &Fleet, Duration Span) {
  constexpr Duration Interval = 700ms;
  constexpr Duration Longest = 300ms;
  for (Duration At = Interval; At < Span; At += Interval)
    Fleet.m_Timers.runAfter(At, [&Fleet, Longest] {
      const std::size_t Instance = Fleet.draw(Fleet.m_Instances.size());
      const std::size_t Trouble = Fleet.draw(3);
      if (Fleet.m_Instances[Instance] == nullptr)
        return;
      if (Trouble == 0)
        Fleet.freezeFor(Instance, Longest);
      else if (Trouble == 1 && !Fleet.m_Unlisted.contains(Instance))
        Fleet.cutOffFor(Instance, Longest);
      else
        Fleet.breakDigestLinks(Instance);
    });
}

} // namespace

// Guards against streams that no other instance knows, as they began at an
// instance after it had left the list.
BOOST_AUTO_TEST_CASE(StreamsOfAStoppingInstanceContinue) {
  for (const std::size_t Instances : {4U, 9U, 84U, 300U})
    for (const std::size_t Stopping :
         {std::size_t(0), Instances / 2, Instances - 1})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Stopping) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, 1);
        stopAndResume(Fleet, {Stopping});
      }
}

// Guards against a stop or a start at which many links are made anew.
BOOST_AUTO_TEST_CASE(AStopCostsNoLinks) {
  for (const std::size_t Instances : {9U, 84U, 300U})
    for (const std::size_t Stopping :
         {std::size_t(0), Instances / 2, Instances - 1})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Stopping) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, 1);
        const PathInstance &Instance = *Fleet.m_Instances[Stopping];
        const bool IsPlain =
            Instance.m_Digests->readingRole() == ReadingRole::Follower;
        const std::size_t Before = Fleet.m_DigestLinks.m_LinkCount;
        Fleet.beginStop(Stopping);
        Fleet.play(StopTime, 0);
        const std::size_t ByStop = Fleet.m_DigestLinks.m_LinkCount - Before;
        Fleet.kill(Stopping, 1s);
        Fleet.play(1s + 2 * ResumeFleet::LongestReadTime, 0);
        const std::size_t ByStart =
            Fleet.m_DigestLinks.m_LinkCount - Before - ByStop;
        BOOST_TEST_MESSAGE((IsPlain ? "plain: " : "with a role: ")
                           << ByStop << " links by the stop, " << ByStart
                           << " by the start");
        // A new hub is linked with those of the other zones.
        const std::size_t Hubs =
            Instances > ExchangePlan::MaxInstancesWithoutHubs
                ? ExchangePlan::HubsPerZone * zonesOf(Instances)
                : 0;
        BOOST_TEST(ByStop <= (IsPlain ? 0U : Hubs));
        // Each peer may dial as well once it has read the row.
        BOOST_TEST(
            ByStart <=
            2 * (Instances / (Hubs > 0 ? zonesOf(Instances) : 1) + Hubs));
      }
}

// Guards against the same where many instances stop at once, hubs among them,
// while links break and others are killed and started.
BOOST_AUTO_TEST_CASE(StreamsOfManyStoppingInstancesContinue) {
  for (const auto &[Instances, Seeds] :
       {std::pair(std::size_t(4), 20U), std::pair(std::size_t(9), 20U),
        std::pair(std::size_t(84), 3U), std::pair(std::size_t(300), 1U)})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      BOOST_TEST_CONTEXT(Instances << " instances, seed " << Seed) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, Seed);
        const std::vector<std::size_t> Stopping =
            drawSome(Fleet, Instances / 2);
        Fleet.m_Timers.runAfter(Duration(Fleet.draw(400000)), [&] {
          Fleet.breakDigestLinks(Stopping.front());
        });
        const std::size_t Killed = Fleet.draw(Instances);
        Fleet.m_Timers.runAfter(Duration(Fleet.draw(400000)), [&] {
          if (!Fleet.m_Unlisted.contains(Killed))
            Fleet.kill(Killed, 200ms);
        });
        stopAndResume(Fleet, Stopping);
      }
}

// Guards against the same where all instances are stopped and started in turn,
// several at a time, while others are cut off, freeze or lose their links.
BOOST_AUTO_TEST_CASE(StreamsContinueWhileAllInstancesAreRestarted) {
  for (const auto &[Instances, Seeds] :
       {std::pair(std::size_t(4), 6U), std::pair(std::size_t(9), 6U),
        std::pair(std::size_t(24), 3U), std::pair(std::size_t(25), 3U),
        std::pair(std::size_t(84), 1U)})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      BOOST_TEST_CONTEXT(Instances << " instances, seed " << Seed) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, Seed);
        Fleet.m_NewStreamsAt = shuffled(Fleet);
        const Duration Span = scheduleRestarts(Fleet);
        scheduleTroubles(Fleet, Span);
        Fleet.play(Span, StreamsPerSecond);
        Fleet.finish();
        Fleet.checkStreams();
        checkShares(Fleet);
      }
}

// Guards against records that are lost with the links on which they were sent.
BOOST_AUTO_TEST_CASE(StreamsOfAStoppingInstanceThatIsCutOffContinue) {
  for (const std::size_t Instances : {4U, 9U, 25U, 84U, 300U})
    for (const std::size_t Stopping :
         {std::size_t(0), Instances / 2, Instances - 1})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Stopping) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, 1);
        Fleet.m_Timers.runAfter(100ms,
                                [&] { Fleet.cutOffFor(Stopping, 300ms); });
        stopAndResume(Fleet, {Stopping});
      }
}

// Guards against an instance that takes streams before those that should dial
// it have read that it is listed.
BOOST_AUTO_TEST_CASE(StreamsOfAnInstanceThatHasJustStartedContinue) {
  for (const std::size_t Instances : {4U, 9U, 84U, 300U})
    for (const std::size_t Started :
         {std::size_t(0), Instances / 2, Instances - 1})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Started) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, 1);
        Fleet.beginStop(Started);
        Fleet.play(StopTime, 0);
        Fleet.stopInstance(Started);
        Fleet.play(1s, 0);
        Fleet.startUnread(Started);
        Fleet.play(ResumeFleet::LinkTime, 0);
        Fleet.m_NewStreamsAt = {Started};
        Fleet.play(1s, StreamsPerSecond);
        Fleet.kill(Started, 5s);
        Fleet.m_NewStreamsAt.clear();
        Fleet.finish();
        Fleet.checkStreams();
        checkShares(Fleet);
      }
}

// Guards against crashes and limits that a stopping instance alone knows, or
// that it alone doesn't know.
BOOST_AUTO_TEST_CASE(FactsReachAndLeaveAStoppingInstance) {
  const ContentHash SeenThere{1, 1};
  const ContentHash SeenElsewhere{2, 2};
  for (const std::size_t Instances : {4U, 9U, 84U, 300U})
    for (const std::size_t Stopping :
         {std::size_t(0), Instances / 2, Instances - 1})
      BOOST_TEST_CONTEXT(Instances << " instances, " << Stopping) {
        ResumeFleet Fleet(Instances, zonesOf(Instances), 24, 1);
        Fleet.play(200ms, 0);
        Fleet.beginStop(Stopping);
        Fleet.play(200ms, 0);
        const UpstreamId LimitedThere = observeFacts(
            *Fleet.m_Instances[Stopping], SeenThere, Fleet.m_Clock.now());
        const UpstreamId LimitedElsewhere =
            observeFacts(*Fleet.m_Instances[(Stopping + 1) % Instances],
                         SeenElsewhere, Fleet.m_Clock.now());
        Fleet.play(ResumeFleet::ContactTime, 0);
        const TimePoint Now = Fleet.m_Clock.now();
        std::size_t IgnorantOfThere = 0;
        std::size_t IgnorantOfElsewhere = 0;
        for (const auto &Instance : Fleet.m_Instances) {
          IgnorantOfThere +=
              knowsFacts(*Instance, SeenThere, LimitedThere, Now) ? 0 : 1;
          IgnorantOfElsewhere +=
              knowsFacts(*Instance, SeenElsewhere, LimitedElsewhere, Now) ? 0
                                                                          : 1;
        }
        BOOST_TEST(IgnorantOfThere == 0U);
        BOOST_TEST(IgnorantOfElsewhere == 0U);
      }
}
