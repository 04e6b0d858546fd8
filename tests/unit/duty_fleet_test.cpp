/// Duties of fleets of 4 to 700 instances under random faults: one holder at a
/// time, one report for each window, and reports that are right once the faults
/// have ended.
#define BOOST_TEST_MODULE duty_fleet
#include "unit/duty_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace crowstep;
using namespace crowstep::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Workspaces = {"ada", "bo", "cy"};

/// Runs the fleet under load.
void serve(DutyFleet &Fleet, Duration Span) {
  constexpr Duration Step = 50ms;
  for (Duration Left = Span; Left > Duration::zero(); Left -= Step) {
    const int Requests = Fleet.draw(12);
    for (int I = 0; I < Requests; ++I)
      Fleet.beginRequest(Fleet.drawMachine(),
                         Workspaces[static_cast<std::size_t>(
                             Fleet.draw(static_cast<int>(Workspaces.size())))]);
    Fleet.run(Step);
  }
}

/// Returns how many of the windows that ended in the last \p Span were reported
/// within the time limit with the right counts, and how many there were.
std::pair<int, int> rightReports(const DutyFleet &Fleet, Duration Span) {
  const std::uint64_t Current = Fleet.currentWindow().value();
  const auto Count = static_cast<std::uint64_t>(Span / WindowLength);
  int Right = 0;
  for (std::uint64_t K = Current - Count; K < Current; ++K) {
    const auto Found = Fleet.m_Record.reports().find(duty::UsageWindow(K));
    const auto Truth = Fleet.m_Truth.find(duty::UsageWindow(K));
    const TimePoint End(WindowLength * static_cast<Duration::rep>(K + 1) -
                        WallEpoch);
    if (Found != Fleet.m_Record.reports().end() &&
        Truth != Fleet.m_Truth.end() && Found->second.first == Truth->second &&
        Found->second.second <= End + ReportTimeLimit)
      ++Right;
  }
  return {Right, static_cast<int>(Count)};
}

/// Returns how many windows between the first and the last reported one have no
/// report.
std::uint64_t windowsLeftOut(const DutyFleet &Fleet) {
  const auto &Reports = Fleet.m_Record.reports();
  return Reports.rbegin()->first.value() - Reports.begin()->first.value() + 1 -
         Reports.size();
}

/// One random fault, often at the holder.
void playFault(DutyFleet &Fleet) {
  const std::size_t Target =
      Fleet.draw(3) == 0 ? Fleet.drawMachine() : Fleet.holder();
  switch (Fleet.draw(14)) {
  case 0:
    Fleet.freeze(Target);
    break;
  case 1:
    Fleet.thaw(Target);
    break;
  case 2:
    Fleet.kill(Target);
    break;
  case 3:
  case 4:
    Fleet.kill(Target);
    Fleet.start(Target);
    break;
  case 5:
    Fleet.stopGracefully(Target);
    break;
  case 6:
    Fleet.storePath(Target).m_Cut = !Fleet.storePath(Target).m_Cut;
    break;
  case 7:
    Fleet.m_Store.m_Down = !Fleet.m_Store.m_Down;
    break;
  case 8:
    Fleet.m_Store.m_LossPercent = 40 - Fleet.m_Store.m_LossPercent;
    break;
  case 9:
    Fleet.m_Store.m_LatePercent = 30 - Fleet.m_Store.m_LatePercent;
    break;
  case 10:
    Fleet.m_Store.m_MaxDelay =
        Fleet.m_Store.m_MaxDelay > 100ms ? Duration(20ms) : Duration(600ms);
    break;
  case 11:
    Fleet.m_Platform.m_LossPercent = 50 - Fleet.m_Platform.m_LossPercent;
    break;
  case 12:
    Fleet.m_Platform.m_Down = !Fleet.m_Platform.m_Down;
    break;
  default:
    Fleet.cutLinks(Target, Fleet.draw(2) == 0);
    break;
  }
}

/// Plays faults of one seed, ends them, and checks what the platform received.
void checkFleet(std::size_t Instances, std::uint64_t Seed) {
  DutyFleet Fleet(Instances, Seed);
  serve(Fleet, 5s);
  for (int Step = 0; Step < 25; ++Step) {
    playFault(Fleet);
    serve(Fleet, std::chrono::milliseconds(Fleet.draw(2500)));
  }
  Fleet.heal();
  serve(Fleet, 50s);
  RC_ASSERT(Fleet.m_Record.firstViolation() == "");
  const auto [Right, All] = rightReports(Fleet, 30s);
  RC_ASSERT(Right >= All - 1);
  for (const duty::ZoneCapacity &Zone : Fleet.m_Engines[0].m_Zones) {
    RC_ASSERT(Zone.m_Regular >= 1U);
    RC_ASSERT(Zone.m_Regular + Zone.m_Spot >= 10U);
    RC_ASSERT(Zone.m_Regular + Zone.m_Spot <= 40U);
  }
}

/// The store is away for a moment and comes back from its last copy.
void playRestore(DutyFleet &Fleet, Duration Away) {
  Fleet.m_Store.m_Down = true;
  serve(Fleet, Away);
  Fleet.restoreCopy();
  Fleet.m_Store.m_Down = false;
}

void killAll(DutyFleet &Fleet) {
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.kill(I);
  serve(Fleet, 300ms);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.start(I);
}

/// A copy, a restore, the loss of all processes, other candidates, or another
/// fault.
void playFaultOrRestore(DutyFleet &Fleet) {
  switch (Fleet.draw(10)) {
  case 0:
  case 1:
  case 2:
    Fleet.takeCopy();
    break;
  case 3:
  case 4:
    playRestore(Fleet, std::chrono::milliseconds(Fleet.draw(4000)));
    break;
  case 5:
    killAll(Fleet);
    break;
  case 6:
    Fleet.chooseCandidates(Fleet.drawMachine());
    break;
  default:
    playFault(Fleet);
    break;
  }
}

/// Plays faults and restores of one seed, ends them, and checks the reports.
void checkRestoredFleet(std::size_t Instances, std::uint64_t Seed) {
  DutyFleet Fleet(Instances, Seed);
  if (Seed % 3 == 0)
    Fleet.takeCopy();
  serve(Fleet, 5s);
  if (Seed % 3 != 0)
    Fleet.takeCopy();
  for (int Step = 0; Step < 25; ++Step) {
    playFaultOrRestore(Fleet);
    serve(Fleet, std::chrono::milliseconds(Fleet.draw(4000)));
  }
  Fleet.heal();
  Fleet.chooseCandidates();
  // A holder that is no candidate any more is not sent all counters.
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    if (!Fleet.isCandidate(I))
      Fleet.start(I);
  serve(Fleet, 50s);
  RC_ASSERT(Fleet.m_Record.firstViolation() == "");
  const auto [Right, All] = rightReports(Fleet, 30s);
  RC_ASSERT(Right >= All - 1);
}

} // namespace

// Guards against two instances that act for one duty, for example a holder that
// was frozen between its check and its call, or one that is started anew while
// the next one acts.
BOOST_AUTO_TEST_CASE(OneInstanceActsAtATime) {
  BOOST_TEST(rc::check("duties of few and of many", [](std::uint64_t Seed) {
    checkFleet(Seed % 8 == 0 ? 30 : 4, Seed);
  }));
}

BOOST_AUTO_TEST_CASE(OneOfHundredsActsAtATime) {
  BOOST_CHECK_NO_THROW(checkFleet(700, 2));
}

// Guards against windows that depend on one machine's time of day: a third of
// the clocks jump by two seconds, and back.
BOOST_AUTO_TEST_CASE(WrongClocksMoveNoRequestToAnotherWindow) {
  DutyFleet Fleet(12, 5);
  serve(Fleet, 12s);
  for (const Duration Step : {Duration(2s), Duration(-2s)}) {
    for (std::size_t I = 0; I < Fleet.size(); I += 3)
      Fleet.stepClock(I, Step);
    serve(Fleet, 15s);
    for (std::size_t I = 0; I < Fleet.size(); I += 3)
      Fleet.stepClock(I, Duration::zero());
    serve(Fleet, 15s);
  }
  const auto [Right, All] = rightReports(Fleet, 60s);
  BOOST_TEST(Right >= All - 1);
  BOOST_TEST(Fleet.m_Record.firstViolation() == "");
}

// Guards against windows without a report after the holder has died right at
// their end.
BOOST_AUTO_TEST_CASE(AReportIsInTimeWhenTheHolderDies) {
  DutyFleet Fleet(30, 9);
  serve(Fleet, 12s);
  for (int I = 0; I < 6; ++I) {
    const auto Window = Fleet.currentWindow();
    while (Fleet.currentWindow() == Window)
      serve(Fleet, 20ms);
    const std::size_t Holder = Fleet.holder();
    Fleet.kill(Holder);
    serve(Fleet, 1s);
    Fleet.start(Holder);
  }
  serve(Fleet, 12s);
  for (const auto &[Window, Truth] : Fleet.m_Truth)
    if (Window.value() + 2 < Fleet.currentWindow().value())
      BOOST_TEST(Fleet.m_Record.reports().contains(Window));
  BOOST_TEST(Fleet.m_Record.firstViolation() == "");
}

// Guards against a holder that is stopped while its call is connecting, and
// sends it when it resumes, after the next one has acted.
BOOST_AUTO_TEST_CASE(AFrozenHolderSendsNothingWhenItResumes) {
  DutyFleet Fleet(6, 4);
  Fleet.m_Platform.m_MaxDelay = 400ms;
  for (int I = 0; I < 8; ++I) {
    const auto Window = Fleet.currentWindow();
    while (Fleet.currentWindow() == Window)
      serve(Fleet, 20ms);
    serve(Fleet, Usage.collectTime() + 150ms);
    const std::size_t Holder = Fleet.holder();
    Fleet.freeze(Holder);
    serve(Fleet, 12s);
    Fleet.thaw(Holder);
  }
  BOOST_TEST(Fleet.m_Record.firstViolation() == "");
}

// Guards against machines that act in turns while instances are stopped and
// started one after the other, as in an upgrade.
BOOST_AUTO_TEST_CASE(StoppedInstancesDoNotAlternate) {
  DutyFleet Fleet(4, 6);
  serve(Fleet, 12s);
  // Reports are repeated all the time.
  Fleet.m_Platform.m_LossPercent = 100;
  for (int I = 0; I < 12; ++I) {
    const std::size_t Stopped = Fleet.lastActor();
    Fleet.stopGracefully(Stopped);
    while (Fleet.lastActor() == Stopped)
      serve(Fleet, 20ms);
    Fleet.start(Stopped);
  }
  BOOST_TEST(Fleet.m_Record.firstViolation() == "");
}

// Guards against a report that is sent although its row may not have been
// written: the next holder, which knows other counts, would send another one.
BOOST_AUTO_TEST_CASE(AReportThatIsNotWrittenIsNotSent) {
  DutyFleet Fleet(6, 8);
  serve(Fleet, 8s);
  const std::size_t Holder = Fleet.holder();
  const auto Window = Fleet.currentWindow();
  Fleet.cutLinks(Holder, true);
  while (Fleet.currentWindow() == Window)
    serve(Fleet, 20ms);
  serve(Fleet, Usage.collectTime() - 100ms);
  Fleet.storePath(Holder).m_Cut = true;
  serve(Fleet, 10s);
  BOOST_TEST(Fleet.m_Record.reports().contains(Window));
  BOOST_TEST(Fleet.m_Record.firstViolation() == "");
}

// Guards against candidates that call the table service more often in larger
// fleets.
BOOST_AUTO_TEST_CASE(CallsToTheStoreDoNotGrowWithTheFleet) {
  std::vector<std::uint64_t> Calls;
  for (const std::size_t Instances : {30U, 1000U}) {
    DutyFleet Fleet(Instances, 3);
    serve(Fleet, 5s);
    const std::uint64_t Before = Fleet.m_StoreCalls;
    serve(Fleet, 20s);
    Calls.push_back(Fleet.m_StoreCalls - Before);
    BOOST_TEST_MESSAGE(Instances << " instances: " << Calls.back()
                                 << " calls to the store in 20 s");
  }
  BOOST_TEST(Calls.back() <= Calls.front() * 11 / 10);
}

// Guards against a window that is counted anew after a restore, by a holder
// that knows other counts, or none, and was reported before.
BOOST_AUTO_TEST_CASE(NoWindowIsReportedOtherwiseAfterARestore) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(8, Seed);
      serve(Fleet, std::chrono::milliseconds(10000 + Fleet.draw(5000)));
      if (Seed % 4 != 0)
        Fleet.chooseCandidates(4);
      serve(Fleet, 10s);
      Fleet.takeCopy();
      serve(Fleet, std::chrono::milliseconds(5000 + Fleet.draw(5000)));
      playRestore(Fleet, std::chrono::milliseconds(Fleet.draw(4000)));
      if (Seed % 4 == 0)
        killAll(Fleet);
      else if (Seed % 4 == 1)
        Fleet.kill(Fleet.lastActor());
      serve(Fleet, 20s);
      BOOST_TEST(Fleet.m_Record.firstViolation() == "");
      BOOST_TEST(Fleet.m_Record.reports().rbegin()->first.value() + 3 >=
                 Fleet.currentWindow().value());
    }
}

// Guards against the same where restores, take-overs, late writes and losses of
// processes overlap.
BOOST_AUTO_TEST_CASE(OverlappingRestoresContradictNoReport) {
  BOOST_TEST(rc::check("restores in few and many", [](std::uint64_t Seed) {
    checkRestoredFleet(Seed % 8 == 0 ? 30 : 5, Seed);
  }));
}

// Guards against windows that are left out after a restore although their
// holder still runs, also one that is no candidate any more.
BOOST_AUTO_TEST_CASE(AHolderLeavesNoWindowOutAfterARestore) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(6, Seed);
      serve(Fleet, 12s);
      if (Seed % 2 == 0)
        Fleet.chooseCandidates(4);
      for (int Restore = 0; Restore < 4; ++Restore) {
        Fleet.takeCopy();
        serve(Fleet, std::chrono::milliseconds(Fleet.draw(9000)));
        playRestore(Fleet, std::chrono::milliseconds(Fleet.draw(500)));
      }
      serve(Fleet, 15s);
      BOOST_TEST(windowsLeftOut(Fleet) == 0U);
      BOOST_TEST(Fleet.m_Record.firstViolation() == "");
    }
}

// Guards against windows that are left out since the holder is lost too, some
// time after the restore.
BOOST_AUTO_TEST_CASE(WhatAHolderKnowsIsStoredSoonAfterARestore) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(6, Seed);
      serve(Fleet, std::chrono::milliseconds(15000 + Fleet.draw(5000)));
      Fleet.takeCopy();
      serve(Fleet, 4s);
      playRestore(Fleet, std::chrono::milliseconds(Fleet.draw(500)));
      serve(Fleet, 2s);
      Fleet.kill(Fleet.holder());
      serve(Fleet, 20s);
      BOOST_TEST(windowsLeftOut(Fleet) == 0U);
      BOOST_TEST(Fleet.m_Record.firstViolation() == "");
    }
}

// Guards against a former holder that goes by what it knew, although another
// one has reported since, whose row is lost.
BOOST_AUTO_TEST_CASE(AFormerHolderKnowsNothingAfterARestore) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(3, Seed);
      serve(Fleet, std::chrono::milliseconds(15000 + Fleet.draw(5000)));
      const std::size_t Former = Fleet.holder();
      Fleet.takeCopy();
      Fleet.storePath(Former).m_Cut = true;
      Fleet.cutLinks(Former, true);
      serve(Fleet, 15s);
      BOOST_TEST(Fleet.lastActor() != Former);
      Fleet.storePath(Former).m_Cut = false;
      Fleet.cutLinks(Former, false);
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        if (I != Former)
          Fleet.kill(I);
      playRestore(Fleet, 300ms);
      serve(Fleet, 15s);
      BOOST_TEST(Fleet.lastActor() == Former);
      BOOST_TEST(Fleet.m_Record.firstViolation() == "");
    }
}

// Guards against a report that a late write has put back into a restored row:
// another holder has sent one with other counts.
BOOST_AUTO_TEST_CASE(AReportThatALateWritePutsBackIsNotSent) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(3, Seed);
      serve(Fleet, 12s);
      const std::size_t First = Fleet.holder();
      Fleet.cutLinks(First, true);
      serve(Fleet, 4s);
      const auto Window = Fleet.currentWindow();
      while (Fleet.currentWindow() == Window)
        serve(Fleet, 20ms);
      serve(Fleet, Usage.collectTime() - 200ms);
      Fleet.takeCopy();
      Fleet.storePath(First).m_LatePercent = 100;
      serve(Fleet, 500ms);
      Fleet.kill(First);
      for (int Step = 0;
           Step < 100 && !Fleet.m_Record.reports().contains(Window); ++Step)
        serve(Fleet, 50ms);
      playRestore(Fleet, 50ms);
      killAll(Fleet);
      serve(Fleet, 15s);
      BOOST_TEST(Fleet.m_Record.firstViolation() == "");
    }
}

// Guards against engines that go, as their holder, or the next one, goes by the
// orders of a restored row.
BOOST_AUTO_TEST_CASE(ARestoredRowOrdersNoEngineAway) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      DutyFleet Fleet(6, Seed);
      const auto Engines = [&] {
        unsigned Result = 0;
        for (const duty::ZoneCapacity &Zone : Fleet.m_Engines[0].m_Zones)
          Result += Zone.m_Regular + Zone.m_Spot;
        return Result;
      };
      serve(Fleet, 12s);
      Fleet.takeCopy();
      Fleet.m_Engines[0].m_BusyEngines = 40;
      serve(Fleet, 6s);
      Fleet.m_Engines[0].m_BusyEngines = 1;
      serve(Fleet, 1s);
      const unsigned Before = Engines();
      playRestore(Fleet, std::chrono::milliseconds(Fleet.draw(500)));
      for (int Step = 0; Step < 80; ++Step) {
        if (Step == 20 && Seed % 2 == 0)
          Fleet.kill(Fleet.holder());
        serve(Fleet, 100ms);
        BOOST_REQUIRE(Engines() >= Before);
      }
    }
}
